//! Concurrency limit and queue of one backend server, on a simulated clock.

use bilberry_policy::AdmissionDecision;
use bilberry_policy::ServerAdmission;
use bilberry_policy::Switches;
use bilberry_policy::WorkItem;
use bilberry_policy::WorkOutcome;
use proto::Class;
use proto::Reason;
use std::time::Duration;
use stdx::Time;

const MAX_WAIT: Duration = Duration::from_millis(100);

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1000)
}

fn work_item(id: u64, class: Class, now: Time) -> WorkItem {
    WorkItem {
        id,
        class,
        priority: 0,
        passed_level: 0,
        random_value: u16::MAX,
        deadline: now + Duration::from_secs(2),
        latest_start: None,
        operation: 0,
        patient: false,
        organisation: 0,
        arrived: now,
        admitted: false,
        only_here: false,
    }
}

fn completed(ms: u64) -> WorkOutcome {
    let took = Duration::from_millis(ms);
    WorkOutcome::Completed {
        elapsed: took,
        own_time: took,
    }
}

/// A server with a single slot, which is occupied, and a known run time of 10 ms.
fn busy() -> ServerAdmission {
    let mut server = ServerAdmission::new(Switches::ALL, 1, 1, MAX_WAIT);
    assert_eq!(
        server.offer(at(0), work_item(0, Class::Order, at(0))),
        AdmissionDecision::Start
    );
    server.on_finished(at(10), Class::Order, completed(10));
    assert_eq!(
        server.offer(at(10), work_item(0, Class::Order, at(10))),
        AdmissionDecision::Start
    );
    server
}

/// Returns the id of each work item that leaves the queue, and whether it was started.
fn drain(server: &mut ServerAdmission, now: Time) -> Vec<(u64, bool)> {
    let next = std::iter::from_fn(|| server.next_decision(now));
    next.map(|(item, decision)| (item.id, decision == AdmissionDecision::Start))
        .collect()
}

fn check_order(classes: &[Class], expected: &[u64]) {
    let mut server = busy();
    for (id, class) in (1..).zip(classes) {
        assert_eq!(
            server.offer(at(11), work_item(id, *class, at(11))),
            AdmissionDecision::Queued
        );
    }
    let mut order = Vec::new();
    for step in 0..classes.len() as u64 {
        server.on_finished(at(12 + step), Class::Order, completed(10));
        order.extend(drain(&mut server, at(12 + step)).iter().map(|(id, _)| *id));
    }
    assert_eq!(order, expected);
}

#[test]
fn protected_classes_leave_the_queue_first() {
    check_order(&[Class::Lookup, Class::Order], &[2, 1]);
    check_order(
        &[
            Class::Lookup,
            Class::Lookup,
            Class::PrintJob,
            Class::Booking,
        ],
        &[3, 4, 1, 2],
    );
}

/// An order arrives when the queue is full of lookups. A lookup must be refused in its place.
#[test]
fn an_order_evicts_a_queued_lookup() {
    let mut server = busy();
    for id in 1..=10 {
        let decision = server.offer(at(11), work_item(id, Class::Lookup, at(11)));
        assert_eq!(decision, AdmissionDecision::Queued);
    }
    let full = server.offer(at(11), work_item(11, Class::Lookup, at(11)));
    assert!(
        matches!(full, AdmissionDecision::Refused(refusal) if refusal.reason == Reason::QueueFull)
    );
    let order = server.offer(at(11), work_item(12, Class::Order, at(11)));
    assert_eq!(order, AdmissionDecision::Queued);
    assert_eq!(drain(&mut server, at(11)), [(1, false)]);
}

/// Orders alone exceed the capacity, and one is refused. A lookup that arrives a moment later must
/// not get the slot that the order needed.
#[test]
fn no_lookup_is_admitted_after_a_refused_order() {
    let mut server = busy();
    let mut refused = false;
    for id in 1..=11 {
        let decision = server.offer(at(11), work_item(id, Class::Order, at(11)));
        refused |= matches!(decision, AdmissionDecision::Refused(_));
    }
    assert!(refused);
    let lookup = server.offer(at(12), work_item(20, Class::Lookup, at(12)));
    assert!(matches!(lookup, AdmissionDecision::Refused(_)));
}

/// The queue is so long that new work would start after its deadline. If it is not refused
/// immediately, the caller spends the time in which it could try another instance on waiting.
#[test]
fn work_that_cannot_meet_its_deadline_is_refused_immediately() {
    let mut server = busy();
    for id in 1..=3 {
        server.offer(at(11), work_item(id, Class::Order, at(11)));
    }
    let mut urgent = work_item(4, Class::Order, at(11));
    urgent.deadline = at(11 + 25);
    let AdmissionDecision::Refused(refusal) = server.offer(at(11), urgent) else {
        panic!("work that would miss its deadline was not refused");
    };
    assert_eq!(refusal.reason, Reason::QueueFull);
    assert!(refusal.retry_after_ms >= 500);
}

/// Calls to an unreachable backend server fail immediately. If the server reported its low load, it
/// would attract all work, which would then fail.
#[test]
fn an_unreachable_server_reports_full_load_and_gets_single_probes() {
    let mut server = busy();
    server.on_finished(at(12), Class::Order, WorkOutcome::Unreachable);
    assert_eq!(server.report().utilisation, u16::MAX);
    let first = server.offer(at(13), work_item(1, Class::Order, at(13)));
    assert!(
        matches!(first, AdmissionDecision::Refused(refusal) if refusal.reason == Reason::ServerLost)
    );
    let probe = server.offer(at(300), work_item(2, Class::Order, at(300)));
    assert_eq!(probe, AdmissionDecision::Start);
    let second = server.offer(at(300), work_item(3, Class::Order, at(300)));
    assert_eq!(second, AdmissionDecision::Queued);
}

/// A simulated backend server with a number of slots.
struct SimulatedBackend {
    server: ServerAdmission,
    /// When each slot becomes free, in milliseconds.
    slots: Vec<u64>,
    /// End and start time of each run in progress, in milliseconds.
    running: Vec<(u64, u64)>,
    /// The simulated time in milliseconds.
    now: u64,
    last_id: u64,
}

impl SimulatedBackend {
    fn new(server: ServerAdmission, slots: usize) -> Self {
        Self {
            server,
            slots: vec![0; slots],
            running: Vec::new(),
            now: 0,
            last_id: 0,
        }
    }

    fn start(&mut self, run_ms: u64) {
        let slot = self.slots.iter_mut().min().expect("there are slots");
        *slot = (*slot).max(self.now) + run_ms;
        self.running.push((*slot, self.now));
    }

    /// Offers two lookups per millisecond, each of which runs for `run_ms`. Returns the limit at
    /// the end and the number of lookups that ended in the last second.
    fn run(&mut self, run_ms: u64, seconds: u64) -> (u16, u64) {
        let end = self.now + seconds * 1000;
        let mut done = 0;
        while self.now < end {
            let now = at(self.now);
            let running = std::mem::take(&mut self.running);
            let (ended, running): (Vec<_>, Vec<_>) = running
                .into_iter()
                .partition(|(ends_at, _)| *ends_at <= self.now);
            self.running = running;
            for (_, started_at) in ended {
                let outcome = completed(self.now - started_at);
                self.server.on_finished(now, Class::Lookup, outcome);
                done += u64::from(self.now + 1000 >= end);
            }
            for _ in 0..2 {
                self.last_id += 1;
                let decision = self
                    .server
                    .offer(now, work_item(self.last_id, Class::Lookup, now));
                if decision == AdmissionDecision::Start {
                    self.start(run_ms);
                }
            }
            for (_, started) in drain(&mut self.server, now) {
                if started {
                    self.start(run_ms);
                }
            }
            self.now += 1;
        }
        (self.server.report().limit, done)
    }
}

/// The backend server becomes ten times slower although nothing is queued inside it. If the limit
/// took every longer run as a sign of queueing, it would fall to its minimum, and slots would stay
/// unused.
#[test]
fn the_limit_matches_the_slots_even_if_the_server_slows_down() {
    let server = ServerAdmission::new(Switches::ALL, 2, 400, MAX_WAIT);
    let mut backend = SimulatedBackend::new(server, 20);
    let (limit, done) = backend.run(20, 20);
    assert!((18..=32).contains(&limit), "limit {limit}");
    assert!(done >= 950, "{done} of 1000");
    let (limit, done) = backend.run(200, 40);
    assert!((16..=40).contains(&limit), "limit {limit} when slow");
    assert!(done >= 90, "{done} of 100 when slow");
    let (_, done) = backend.run(20, 10);
    assert!(done >= 950, "{done} of 1000 after");
}

/// A burst of orders arrives at a server that has just started and is still cold. It has the slots
/// for them, so slow start must not refuse orders while the server is idle.
#[test]
fn a_cold_server_accepts_a_burst_of_orders() {
    let mut server = ServerAdmission::new(Switches::ALL, 2, 400, MAX_WAIT);
    for id in 0..32 {
        let decision = server.offer(at(0), work_item(id, Class::Order, at(0)));
        assert_eq!(decision, AdmissionDecision::Start, "order {id}");
    }
}

/// An order that takes longer than the averaging time of the load was shed by an idle server with one
/// slot, again and again.
#[test]
fn idle_server_with_one_slot_accepts_a_long_order() {
    let mut switches = Switches::ALL;
    switches.adaptive_limit = false;
    let mut server = ServerAdmission::new(switches, 1, 1, MAX_WAIT);
    for nth in 0..20 {
        let now = at(nth * 3000);
        let order = WorkItem {
            random_value: 0,
            ..work_item(nth, Class::Order, now)
        };
        assert_eq!(server.offer(now, order), AdmissionDecision::Start, "{nth}");
        server.on_finished(at(nth * 3000 + 1500), Class::Order, completed(1500));
    }
}

/// Runs payments to their end, all of which take 9.8 s.
fn run_slow_payments(server: &mut ServerAdmission, count: u64) {
    for id in 0..count {
        let item = work_item(id, Class::Payment, at(0));
        let item = WorkItem {
            deadline: at(20_000),
            ..item
        };
        assert_eq!(server.offer(at(0), item), AdmissionDecision::Start);
    }
    for _ in 0..count {
        server.on_finished(at(9800), Class::Payment, completed(9800));
    }
}

/// Offers a payment with a deadline of 4 s that does not run as one of the random probes.
fn offer_payment(server: &mut ServerAdmission, ms: u64) -> bool {
    let payment = WorkItem {
        deadline: at(ms + 4000),
        ..work_item(ms, Class::Payment, at(ms))
    };
    assert_ne!(payment.random_value % 16, 0);
    server.offer(at(ms), payment) == AdmissionDecision::Start
}

/// A server was frozen for 9.8 s while it ran its first payments. It refused nearly all payments
/// after that, minutes later as well, because only runs correct the estimate of the run time. A
/// caller that resends within the 4 s until its deadline must be served.
#[test]
fn payments_run_again_soon_after_a_server_was_frozen() {
    for frozen in [2, 20] {
        let mut server = ServerAdmission::new(Switches::ALL, 1, 100, MAX_WAIT);
        run_slow_payments(&mut server, frozen);
        for second in 10..70 {
            let has_run = offer_payment(&mut server, second * 1000);
            assert!(has_run || second < 14, "{frozen} frozen, {second} s");
            if has_run {
                server.on_finished(at(second * 1000 + 100), Class::Payment, completed(100));
            }
        }
    }
}

/// A server answers within 9.8 s and stays as slow. Payments that are due within 4 s would occupy
/// its slots in vain, so no more than one at a time may run to measure whether it is still slow.
#[test]
fn payments_that_would_end_too_late_are_refused_while_the_server_stays_slow() {
    let mut server = ServerAdmission::new(Switches::ALL, 1, 100, MAX_WAIT);
    run_slow_payments(&mut server, 32);
    let mut ends = Vec::new();
    let mut started = 0;
    for ms in (10_000..70_000).step_by(100) {
        while ends.first().is_some_and(|end| *end <= ms) {
            server.on_finished(at(ends.remove(0)), Class::Payment, completed(9800));
        }
        if offer_payment(&mut server, ms) {
            started += 1;
            ends.push(ms + 9800);
        }
    }
    assert!(started <= 60_000 / 9800 + 1, "{started} of 600");
}

/// The payment that measures whether a server is still slow never ends. The others must not be
/// refused for as long as it hangs.
#[test]
fn a_payment_that_hangs_does_not_hold_up_the_others() {
    let mut server = ServerAdmission::new(Switches::ALL, 1, 100, MAX_WAIT);
    run_slow_payments(&mut server, 2);
    let mut hangs = true;
    let mut refused = 0;
    for second in 11..131 {
        if !offer_payment(&mut server, second * 1000) {
            refused += 1;
        } else if !std::mem::replace(&mut hangs, false) {
            server.on_finished(at(second * 1000 + 100), Class::Payment, completed(100));
        }
    }
    assert!(refused <= 20, "{refused} of 120");
}
