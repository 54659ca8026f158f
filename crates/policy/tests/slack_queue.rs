//! Properties of the queue where work is scheduled by slack, for arbitrary sequences of work on
//! virtual time.

use bilberry_policy::AdmissionDecision;
use bilberry_policy::RequestRate;
use bilberry_policy::ServerAdmission;
use bilberry_policy::Switches;
use bilberry_policy::WorkItem;
use bilberry_policy::WorkOutcome;
use proptest::prelude::*;
use proto::Class;
use std::collections::BTreeMap;
use std::time::Duration;
use stdx::Time;

const SLOTS: usize = 3;
const RUN_MS: u64 = 50;

/// The longest time until a deadline.
const MAX_DEADLINE_MS: u64 = 1500;

/// The number of runs that the server can end until the longest deadline.
const MAX_RUNS: usize = SLOTS * (MAX_DEADLINE_MS / RUN_MS) as usize;

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1000)
}

/// Work that arrives some time after the previous one. Times are in milliseconds.
#[derive(Debug, Clone)]
struct Arrival {
    after: u64,
    is_lookup: bool,
    priority: u8,
    objective: u64,
    deadline: u64,
    patient: bool,
    organisation: u32,
    admitted: bool,
}

fn arrivals() -> impl Strategy<Value = Vec<Arrival>> {
    let arrival = (
        0_u64..30,
        any::<bool>(),
        0_u8..3,
        100_u64..4000,
        100_u64..MAX_DEADLINE_MS,
        any::<bool>(),
        0_u32..4,
        prop::bool::weighted(0.2),
    );
    let arrival = arrival.prop_map(
        |(after, is_lookup, priority, objective, deadline, patient, organisation, admitted)| {
            Arrival {
                after,
                is_lookup,
                priority,
                objective,
                deadline,
                patient,
                organisation,
                admitted,
            }
        },
    );
    prop::collection::vec(arrival, 1..400)
}

struct Simulation {
    server: ServerAdmission,
    now: u64,
    waiting: BTreeMap<u64, WorkItem>,
    ends: BTreeMap<u64, Vec<Class>>,
    running: usize,
    ended: usize,
    /// The part of each run that does not wait for child calls.
    own_time: Duration,
}

impl Simulation {
    fn new(own_time: Duration) -> Self {
        let mut switches = Switches::ALL;
        switches.adaptive_limit = false;
        // The level sheds work before it is queued.
        switches.levels = false;
        let max_wait = Duration::from_millis(100);
        let mut simulation = Self {
            server: ServerAdmission::new(switches, 1, SLOTS as u16, max_wait),
            now: 0,
            waiting: BTreeMap::new(),
            ends: BTreeMap::new(),
            running: 0,
            ended: 0,
            own_time,
        };
        simulation.learn_run_times();
        simulation
    }

    fn completed(&self) -> WorkOutcome {
        WorkOutcome::Completed {
            elapsed: Duration::from_millis(RUN_MS),
            own_time: self.own_time,
        }
    }

    fn learn_run_times(&mut self) {
        let (took, completed) = (Duration::from_millis(RUN_MS), self.completed());
        for class in [Class::Lookup, Class::Order] {
            for _ in 0..32 {
                self.server.on_finished(at(0), class, completed);
                self.server.record_run_time(0, took);
            }
        }
    }

    fn item(&self, id: u64, arrival: &Arrival) -> WorkItem {
        let end = at(self.now + arrival.objective).as_micros();
        WorkItem {
            id,
            class: match arrival.is_lookup {
                true => Class::Lookup,
                false => Class::Order,
            },
            priority: arrival.priority,
            random_value: 100,
            passed_level: 0,
            deadline: at(self.now + arrival.deadline),
            latest_start: Some(Time::from_micros(end - RUN_MS * 1000)),
            operation: 0,
            patient: arrival.patient,
            organisation: arrival.organisation,
            arrived: at(self.now),
            admitted: arrival.admitted,
        }
    }

    fn advance(&mut self, ms: u64) -> Result<(), TestCaseError> {
        for _ in 0..ms {
            self.now += 1;
            let due = self.server.next_timer();
            let running = self.running;
            let slots_freed = self.ends.contains_key(&self.now);
            for class in self.ends.remove(&self.now).unwrap_or_default() {
                self.running -= 1;
                let completed = self.completed();
                self.server.on_finished(at(self.now), class, completed);
            }
            self.server.tick(at(self.now));
            self.drain()?;
            let is_due = due.is_some_and(|due| due <= at(self.now));
            prop_assert!(slots_freed || is_due || self.running == running);
        }
        Ok(())
    }

    fn offer(&mut self, item: WorkItem) -> Result<(), TestCaseError> {
        match self.server.offer(at(self.now), item) {
            AdmissionDecision::Start => self.start(item),
            AdmissionDecision::Queued => {
                self.waiting.insert(item.id, item);
            }
            AdmissionDecision::Refused(_) => self.ended += 1,
        }
        self.drain()
    }

    fn drain(&mut self) -> Result<(), TestCaseError> {
        while let Some((item, decision)) = self.server.next_decision(at(self.now)) {
            let waited = self.waiting.remove(&item.id);
            prop_assert_eq!(waited, Some(item), "each work item leaves the queue once");
            match decision {
                AdmissionDecision::Start => {
                    self.check_order(&item)?;
                    self.start(item);
                }
                AdmissionDecision::Refused(_) => self.ended += 1,
                AdmissionDecision::Queued => prop_assert!(false, "{item:?}"),
            }
        }
        self.check_queue()
    }

    fn start(&mut self, item: WorkItem) {
        self.running += 1;
        self.ended += 1;
        let ends = self.ends.entry(self.now + RUN_MS).or_default();
        ends.push(item.class);
    }

    /// No work that goes before the started one in rank, by lateness or by latest start is left
    /// waiting.
    fn check_order(&self, started: &WorkItem) -> Result<(), TestCaseError> {
        let now = at(self.now);
        let order = |item: &WorkItem| {
            let latest = item.latest_start.unwrap();
            let is_late = latest < now;
            let within = if is_late { item.deadline } else { latest };
            let is_lookup = !item.class.is_protected();
            (is_lookup, item.priority, is_late, within)
        };
        for item in self.waiting.values() {
            prop_assert!(order(started) <= order(item), "{started:?} before {item:?}");
        }
        Ok(())
    }

    fn check_queue(&self) -> Result<(), TestCaseError> {
        let (running, queued, _) = self.server.occupancy();
        prop_assert_eq!(usize::from(running), self.running);
        prop_assert_eq!(queued, self.waiting.len());
        let timer = self.server.next_timer();
        prop_assert!(timer.is_none_or(|due| due > at(self.now)), "{timer:?}");
        let kept = usize::from(self.server.reserved_slots());
        prop_assert!(
            self.running >= SLOTS - kept || queued == 0,
            "a slot is free"
        );

        let begins_here = self.waiting.values().filter(|item| !item.admitted);
        let mut by_organisation: BTreeMap<u32, usize> = BTreeMap::new();
        let mut queued = 0;
        for item in begins_here {
            queued += 1;
            if item.organisation != 0 {
                *by_organisation.entry(item.organisation).or_default() += 1;
            }
        }
        prop_assert!(queued <= MAX_RUNS, "{queued} queued");
        if by_organisation.len() > 1 {
            let most = by_organisation.values().max().copied().unwrap_or(0);
            prop_assert!(most <= MAX_RUNS / 2, "{by_organisation:?}");
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a slot that stays free while work waits, work that may start but that no timer
    /// announces, work that starts before more urgent work, a queue without a bound, an organisation
    /// that fills the queue, and work that is decided on twice or never.
    #[test]
    fn queue_is_work_conserving_ordered_and_bounded(
        arrivals in arrivals(),
        mostly_waits in any::<bool>(),
    ) {
        let own_time_ms = if mostly_waits { RUN_MS / 10 } else { RUN_MS };
        let mut simulation = Simulation::new(Duration::from_millis(own_time_ms));
        for (id, arrival) in arrivals.iter().enumerate() {
            simulation.advance(arrival.after)?;
            let item = simulation.item(id as u64, arrival);
            simulation.offer(item)?;
        }
        simulation.advance(2 * MAX_DEADLINE_MS)?;
        prop_assert_eq!(simulation.ended, arrivals.len());
    }
}

/// Patient orders, offered to a simulation without waits for child calls.
struct Orders {
    simulation: Simulation,
    next_id: u64,
    deadline: u64,
}

impl Orders {
    fn new() -> Self {
        Self {
            simulation: Simulation::new(Duration::from_millis(RUN_MS)),
            next_id: 0,
            deadline: MAX_DEADLINE_MS,
        }
    }

    /// One organisation fills the queue.
    fn of_one_organisation() -> Self {
        let mut load = Self::new();
        while load.next_id < SLOTS as u64 || load.offer(1, 2) {
            load.offer(1, 2);
        }
        assert!(load.queued_of(1) > MAX_RUNS / 2);
        load
    }

    /// Offers an order, and returns whether it is waiting.
    fn offer(&mut self, organisation: u32, priority: u8) -> bool {
        let arrival = Arrival {
            after: 0,
            is_lookup: false,
            priority,
            objective: 4000,
            deadline: self.deadline,
            patient: true,
            organisation,
            admitted: false,
        };
        self.next_id += 1;
        let item = self.simulation.item(self.next_id, &arrival);
        self.simulation.offer(item).unwrap();
        self.simulation.waiting.contains_key(&self.next_id)
    }

    fn queued_of(&self, organisation: u32) -> usize {
        let waiting = self.simulation.waiting.values();
        waiting
            .filter(|item| item.organisation == organisation)
            .count()
    }
}

/// One organisation fills the queue, and another one arrives. Its work must find a place, although
/// the first one has more work waiting than fits.
#[test]
fn an_organisation_gets_half_of_the_queue_while_another_one_fills_it() {
    let mut load = Orders::of_one_organisation();
    for _ in 0..MAX_RUNS / 4 {
        assert!(load.offer(2, 2));
    }
    assert!(load.queued_of(1) <= MAX_RUNS / 2);
    assert!(!load.offer(1, 2));
}

/// An organisation has its part of the queue filled with less urgent work. Urgent work of its own
/// must displace that work, and not be refused behind it.
#[test]
fn urgent_work_displaces_less_urgent_work_of_its_organisation() {
    let mut load = Orders::of_one_organisation();
    load.offer(2, 2);
    let queued = load.queued_of(1);
    assert!(load.offer(1, 0));
    assert_eq!(load.queued_of(1), queued);
}

/// New rules, or a change of the server, must not have work refused that was queued before.
#[test]
fn new_bounds_leave_queued_work_waiting() {
    let mut load = Orders::of_one_organisation();
    load.offer(2, 2);
    let queued = load.queued_of(1);
    let max_wait = Duration::from_millis(100);
    let server = &mut load.simulation.server;
    server.set_bounds(1, SLOTS as u16, max_wait);
    load.simulation.drain().unwrap();
    assert_eq!(load.queued_of(1), queued);
}

/// Under a rate limit, while other instances have room, a protected action waits for 0.3 s only.
/// It must leave then although other work has an earlier deadline. If it stayed, its timer would lie
/// in the past, and the node would be woken without end.
#[test]
fn work_leaves_for_another_instance_whatever_its_deadline() {
    let mut load = Orders::new();
    for _ in 0..SLOTS {
        load.offer(0, 2);
    }
    let server = &mut load.simulation.server;
    server.set_rate_limit(at(0), Some(RequestRate::from_millihertz(1_000_000)));
    server.set_siblings_have_room(true);
    assert!(load.offer(0, 2));
    load.simulation.now = 250;
    load.deadline = 400;
    assert!(load.offer(0, 2));
    load.simulation.now = 300;
    load.simulation.drain().unwrap();
    assert_eq!(load.queued_of(0), 1);
}
