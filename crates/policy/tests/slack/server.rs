//! One server with a fixed number of slots, on virtual time in milliseconds. Run times of
//! operations are learned as the engine does.

use bilberry_policy::AdmissionDecision;
use bilberry_policy::ServerAdmission;
use bilberry_policy::SlackEvent;
use bilberry_policy::Switches;
use bilberry_policy::WorkItem;
use bilberry_policy::WorkOutcome;
use proto::Class;
use std::collections::BTreeMap;
use std::time::Duration;
use stdx::Time;

pub const MAX_WAIT: Duration = Duration::from_millis(100);

pub fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1000)
}

/// How work of one operation ended.
#[derive(Debug, Default, Clone)]
pub struct Outcomes {
    pub offered: u32,
    /// Answered before the deadline.
    pub in_time: u32,
    /// Run, and answered after the deadline.
    pub overdue: u32,
    pub refused_on_arrival: u32,
    /// How long before its deadline queued work was refused, in milliseconds.
    pub refused_in_queue: Vec<u64>,
}

impl Outcomes {
    pub fn refused(&self) -> u32 {
        self.refused_on_arrival + self.refused_in_queue.len() as u32
    }
}

pub struct Server {
    pub admission: ServerAdmission,
    pub now: u64,
    pub waiting: BTreeMap<u64, WorkItem>,
    pub outcomes: [Outcomes; 2],
    pub slack_events: BTreeMap<SlackEvent, u32>,
    /// How long runs of each operation hold a slot, and how much of it they wait for child calls.
    pub runs: [(u64, u64); 2],
    slots: u16,
    next_id: u64,
    /// Running work by the time of its end, with the feedback on its run.
    ends: BTreeMap<u64, Vec<(WorkItem, WorkOutcome)>>,
}

impl Server {
    pub fn new(mut switches: Switches, slots: u16, runs: [(u64, u64); 2]) -> Self {
        // The server announces its slots.
        switches.adaptive_limit = false;
        Self {
            admission: ServerAdmission::new(switches, 1, slots, MAX_WAIT),
            now: 0,
            waiting: BTreeMap::new(),
            outcomes: Default::default(),
            slack_events: BTreeMap::new(),
            runs,
            slots,
            next_id: 0,
            ends: BTreeMap::new(),
        }
    }

    /// An action that begins here now.
    pub fn item(&mut self, class: Class, operation: usize, objective: u64, left: u64) -> WorkItem {
        self.next_id += 1;
        let run_time = self.admission.long_run_time(operation as u32);
        let end = at(self.now + objective).as_micros();
        let latest = |run_time: Duration| Time::from_micros(end - run_time.as_micros() as u64);
        WorkItem {
            id: self.next_id,
            class,
            priority: 0,
            random_value: 100,
            passed_level: 0,
            deadline: at(self.now + left),
            latest_start: run_time.map(latest),
            operation: operation as u32,
            patient: objective >= 2 * left,
            organisation: 0,
            arrived: at(self.now),
            admitted: false,
            only_here: false,
        }
    }

    /// Offers work, and returns whether it is waiting.
    pub fn offer(&mut self, item: WorkItem) -> bool {
        let outcomes = &mut self.outcomes[item.operation as usize];
        outcomes.offered += 1;
        match self.admission.offer(at(self.now), item) {
            AdmissionDecision::Start => self.start(item),
            AdmissionDecision::Queued => {
                self.waiting.insert(item.id, item);
            }
            AdmissionDecision::Refused(_) => outcomes.refused_on_arrival += 1,
        }
        self.drain();
        self.waiting.contains_key(&item.id)
    }

    /// Advances the time by a millisecond.
    pub fn advance(&mut self) {
        self.now += 1;
        let timer = self.admission.next_timer();
        let ends = self.ends.remove(&self.now).unwrap_or_default();
        let has_cause = !ends.is_empty() || timer.is_some_and(|due| due <= at(self.now));
        for (item, outcome) in ends {
            self.finish(&item, outcome);
        }
        let running = self.running();
        self.admission.tick(at(self.now));
        self.drain();
        assert!(
            has_cause || self.running() == running,
            "no timer announced a start"
        );
    }

    pub fn running(&self) -> usize {
        self.ends.values().map(Vec::len).sum()
    }

    pub fn drain(&mut self) {
        while let Some((item, decision)) = self.admission.next_decision(at(self.now)) {
            let waited = self.waiting.remove(&item.id);
            assert_eq!(waited, Some(item), "each work item leaves the queue once");
            if let AdmissionDecision::Refused(_) = decision {
                let ahead = at(self.now).until(item.deadline).as_millis() as u64;
                let outcomes = &mut self.outcomes[item.operation as usize];
                outcomes.refused_in_queue.push(ahead);
            } else {
                self.check_order(&item);
                self.start(item);
            }
        }
        for (event, count) in self.admission.take_slack_events() {
            *self.slack_events.entry(event).or_insert(0) += count;
        }
        self.check();
    }

    fn start(&mut self, item: WorkItem) {
        let (held, waits) = self.runs[item.operation as usize];
        let outcome = WorkOutcome::Completed {
            elapsed: Duration::from_millis(held),
            own_time: Duration::from_millis(held - waits),
        };
        let ends = self.ends.entry(self.now + held).or_default();
        ends.push((item, outcome));
    }

    fn finish(&mut self, item: &WorkItem, outcome: WorkOutcome) {
        self.admission
            .on_finished(at(self.now), item.class, outcome);
        if let WorkOutcome::Completed { elapsed, .. } = outcome {
            self.admission.record_run_time(item.operation, elapsed);
        }
        let outcomes = &mut self.outcomes[item.operation as usize];
        match at(self.now) <= item.deadline {
            true => outcomes.in_time += 1,
            false => outcomes.overdue += 1,
        }
    }

    /// No work that goes before the started one in rank, by lateness or by latest start is left
    /// waiting.
    fn check_order(&self, started: &WorkItem) {
        let now = at(self.now);
        let order = |item: &WorkItem| {
            let (lane, within) = match item.latest_start {
                None if item.admitted => (0, item.deadline),
                None => (1, item.arrived),
                Some(latest) if latest >= now => (2, latest),
                Some(_) => (3, item.deadline),
            };
            (!item.class.is_protected(), item.priority, lane, within)
        };
        for item in self.waiting.values() {
            assert!(order(started) <= order(item), "{started:?} before {item:?}");
        }
    }

    fn check(&self) {
        let (running, queued, _) = self.admission.occupancy();
        assert_eq!(usize::from(running), self.running());
        assert_eq!(queued, self.waiting.len());
        let timer = self.admission.next_timer();
        assert!(
            timer.is_none_or(|due| due > at(self.now)),
            "{timer:?} is past"
        );
        let kept = self.admission.reserved_slots();
        assert!(
            running + kept >= self.slots || queued == 0,
            "a slot is free"
        );
    }
}
