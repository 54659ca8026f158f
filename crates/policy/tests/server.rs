//! The limit and the queue in front of a backend server, driven on a clock of the test's own.

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

fn ticket(id: u64, class: Class, now: Time) -> WorkItem {
    WorkItem {
        id,
        class,
        priority: 0,
        passed_level: 0,
        random_value: u16::MAX,
        deadline: now + Duration::from_secs(2),
        arrived: now,
        admitted: false,
    }
}

fn whole(ms: u64) -> WorkOutcome {
    let took = Duration::from_millis(ms);
    WorkOutcome::Completed {
        elapsed: took,
        own_time: took,
    }
}

/// A server with one place, taken, and a known service time of 10 ms.
fn busy() -> ServerAdmission {
    let mut server = ServerAdmission::new(Switches::ALL, 1, 1, MAX_WAIT);
    assert_eq!(
        server.offer(at(0), ticket(0, Class::Order, at(0))),
        AdmissionDecision::Start
    );
    server.on_finished(at(10), Class::Order, whole(10));
    assert_eq!(
        server.offer(at(10), ticket(0, Class::Order, at(10))),
        AdmissionDecision::Start
    );
    server
}

fn drain(server: &mut ServerAdmission, now: Time) -> Vec<(u64, bool)> {
    let next = std::iter::from_fn(|| server.next_decision(now));
    next.map(|(ticket, offer)| (ticket.id, offer == AdmissionDecision::Start))
        .collect()
}

fn check_order(classes: &[Class], expected: &[u64]) {
    let mut server = busy();
    for (id, class) in (1..).zip(classes) {
        assert_eq!(
            server.offer(at(11), ticket(id, *class, at(11))),
            AdmissionDecision::Queued
        );
    }
    let mut order = Vec::new();
    for now in 0..classes.len() as u64 {
        server.on_finished(at(12 + now), Class::Order, whole(10));
        order.extend(drain(&mut server, at(12 + now)).iter().map(|(id, _)| *id));
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

/// Lookups have filled the queue when an order comes. If the order were refused, the franchisee's
/// sale would be lost to browsing.
#[test]
fn an_order_displaces_a_queued_lookup() {
    let mut server = busy();
    for id in 1..=10 {
        let offer = server.offer(at(11), ticket(id, Class::Lookup, at(11)));
        assert_eq!(offer, AdmissionDecision::Queued);
    }
    let full = server.offer(at(11), ticket(11, Class::Lookup, at(11)));
    assert!(
        matches!(full, AdmissionDecision::Refused(refusal) if refusal.reason == Reason::QueueFull)
    );
    let order = server.offer(at(11), ticket(12, Class::Order, at(11)));
    assert_eq!(order, AdmissionDecision::Queued);
    assert_eq!(drain(&mut server, at(11)), [(1, false)]);
}

/// Orders alone are too much, and one is refused. A lookup that comes a moment later must not get
/// the place that the order lacked, or the shop sees its order refused while others browse.
#[test]
fn no_lookup_after_a_refused_order() {
    let mut server = busy();
    let mut refused = false;
    for id in 1..=11 {
        let offer = server.offer(at(11), ticket(id, Class::Order, at(11)));
        refused |= matches!(offer, AdmissionDecision::Refused(_));
    }
    assert!(refused);
    let lookup = server.offer(at(12), ticket(20, Class::Lookup, at(12)));
    assert!(matches!(lookup, AdmissionDecision::Refused(_)));
}

/// The queue is so long that the work would start after its deadline. Without a refusal the caller
/// waits for nothing, and learns only then that it could have asked elsewhere.
#[test]
fn work_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut server = busy();
    for id in 1..=3 {
        server.offer(at(11), ticket(id, Class::Order, at(11)));
    }
    let mut hasty = ticket(4, Class::Order, at(11));
    hasty.deadline = at(11 + 25);
    let AdmissionDecision::Refused(refusal) = server.offer(at(11), hasty) else {
        panic!("it cannot be done in time");
    };
    assert_eq!(refusal.reason, Reason::QueueFull);
    assert!(refusal.retry_after_ms >= 500);
}

/// A backend server is gone and answers each try at once with an error. It looks idle, so all
/// work would go there and fail.
#[test]
fn an_unreachable_server_is_no_bargain() {
    let mut server = busy();
    server.on_finished(at(12), Class::Order, WorkOutcome::Unreachable);
    assert_eq!(server.report().utilisation, u16::MAX);
    let offer = server.offer(at(13), ticket(1, Class::Order, at(13)));
    assert!(
        matches!(offer, AdmissionDecision::Refused(refusal) if refusal.reason == Reason::ServerLost)
    );
    let probe = server.offer(at(300), ticket(2, Class::Order, at(300)));
    assert_eq!(probe, AdmissionDecision::Start);
    let second = server.offer(at(300), ticket(3, Class::Order, at(300)));
    assert_eq!(second, AdmissionDecision::Queued);
}

/// A backend server with `slots` that takes `service_ms` for each piece of work.
struct Backend {
    server: ServerAdmission,
    /// When each slot is free.
    slots: Vec<u64>,
    /// End and start of what runs.
    running: Vec<(u64, u64)>,
    now: u64,
    next: u64,
}

impl Backend {
    fn new(server: ServerAdmission, slots: usize) -> Self {
        Self {
            server,
            slots: vec![0; slots],
            running: Vec::new(),
            now: 0,
            next: 0,
        }
    }

    fn start(&mut self, service_ms: u64) {
        let slot = self.slots.iter_mut().min().expect("there are slots");
        *slot = (*slot).max(self.now) + service_ms;
        self.running.push((*slot, self.now));
    }

    /// Offers two lookups a millisecond, and gives the limit at the end and the work that was done
    /// in the last second.
    fn run(&mut self, service_ms: u64, seconds: u64) -> (u16, u64) {
        let end = self.now + seconds * 1000;
        let mut done = 0;
        while self.now < end {
            let now = at(self.now);
            let running = std::mem::take(&mut self.running);
            let (ended, running): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|(end, _)| *end <= self.now);
            self.running = running;
            for (_, started) in ended {
                let took = whole(self.now - started);
                self.server.on_finished(now, Class::Lookup, took);
                done += u64::from(self.now + 1000 >= end);
            }
            for _ in 0..2 {
                self.next += 1;
                let offer = self
                    .server
                    .offer(now, ticket(self.next, Class::Lookup, now));
                if offer == AdmissionDecision::Start {
                    self.start(service_ms);
                }
            }
            for (_, started) in drain(&mut self.server, now) {
                if started {
                    self.start(service_ms);
                }
            }
            self.now += 1;
        }
        (self.server.report().limit, done)
    }
}

/// The backend server becomes ten times slower without anything waiting inside it. A limit that
/// takes each longer time for a queue goes down to its minimum, and the slots stand empty.
#[test]
fn the_limit_finds_the_slots_and_keeps_them_when_the_server_slows() {
    let server = ServerAdmission::new(Switches::ALL, 2, 400, MAX_WAIT);
    let mut backend = Backend::new(server, 20);
    let (limit, done) = backend.run(20, 20);
    assert!((18..=32).contains(&limit), "limit {limit}");
    assert!(done >= 950, "{done} of 1000");
    let (limit, done) = backend.run(200, 40);
    assert!((16..=40).contains(&limit), "limit {limit} when slow");
    assert!(done >= 90, "{done} of 100 when slow");
    let (_, done) = backend.run(20, 10);
    assert!(done >= 950, "{done} of 1000 after");
}

/// A server has just started, and sixteen counters send orders at once while it is still cold. It
/// has the slots for them; a ramp that refuses them would lose sales with an idle server.
#[test]
fn a_cold_server_takes_a_burst_of_orders() {
    let mut server = ServerAdmission::new(Switches::ALL, 2, 400, MAX_WAIT);
    for id in 0..32 {
        let offer = server.offer(at(0), ticket(id, Class::Order, at(0)));
        assert_eq!(offer, AdmissionDecision::Start, "order {id}");
    }
}
