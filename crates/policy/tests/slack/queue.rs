//! Properties of the queue where work is scheduled by slack, for arbitrary sequences of work.

use crate::server::at;
use crate::server::Server;
use crate::server::MAX_WAIT;
use bilberry_policy::RequestRate;
use bilberry_policy::Switches;
use bilberry_policy::WorkItem;
use bilberry_policy::WorkOutcome;
use proptest::prelude::*;
use proto::Class;
use std::collections::BTreeMap;
use std::time::Duration;

const SLOTS: usize = 3;
const RUN_MS: u64 = 50;

/// The longest time until a deadline.
const MAX_DEADLINE_MS: u64 = 1500;

/// The number of runs that the server can end until the longest deadline.
const MAX_RUNS: usize = SLOTS * (MAX_DEADLINE_MS / RUN_MS) as usize;

/// A server that has learned how long runs take and how long they wait. The level, which would shed
/// work before it is queued, is off.
fn server_of(slots: usize, (held, waits): (u64, u64)) -> Server {
    let mut switches = Switches::ALL;
    switches.levels = false;
    let mut server = Server::new(switches, slots as u16, [(held, waits); 2]);
    let elapsed = Duration::from_millis(held);
    let own_time = Duration::from_millis(held - waits);
    let completed = WorkOutcome::Completed { elapsed, own_time };
    for _ in 0..32 {
        for class in [Class::Lookup, Class::Order] {
            server.admission.on_finished(at(0), class, completed);
        }
        server.admission.record_run_time(0, elapsed);
    }
    server
}

fn server(waits: u64) -> Server {
    server_of(SLOTS, (RUN_MS, waits))
}

/// Work that arrives some time after the previous one, with times in milliseconds: the class and the
/// priority, the time until the end of the objective and until the deadline, whether its latest
/// start is known, whether it is patient, its organisation, and whether it is a call of an admitted
/// action.
type Arrival = (u64, (bool, u8), (u64, u64), bool, bool, u32, bool);

fn arrivals() -> impl Strategy<Value = Vec<Arrival>> {
    let arrival = (
        0_u64..30,
        (any::<bool>(), 0_u8..3),
        (100_u64..4000, 100_u64..MAX_DEADLINE_MS),
        prop::bool::weighted(0.9),
        any::<bool>(),
        0_u32..4,
        prop::bool::weighted(0.2),
    );
    prop::collection::vec(arrival, 1..400)
}

fn offer(server: &mut Server, arrival: Arrival) {
    let (after, (is_lookup, priority), (objective, left), known, patient, organisation, admitted) =
        arrival;
    for _ in 0..after {
        server.advance();
        check_bounds(server);
    }
    let class = if is_lookup {
        Class::Lookup
    } else {
        Class::Order
    };
    let item = server.item(class, 0, objective, left);
    server.offer(WorkItem {
        priority,
        latest_start: item.latest_start.filter(|_| known),
        patient,
        organisation,
        admitted,
        ..item
    });
    check_bounds(server);
}

fn check_bounds(server: &Server) {
    let begins_here = server.waiting.values().filter(|item| !item.admitted);
    let mut by_organisation: BTreeMap<u32, usize> = BTreeMap::new();
    let mut queued = 0;
    for item in begins_here {
        queued += 1;
        if item.organisation != 0 && item.latest_start.is_some() {
            *by_organisation.entry(item.organisation).or_default() += 1;
        }
    }
    assert!(queued <= MAX_RUNS, "{queued} queued");
    let most = by_organisation.values().max().copied().unwrap_or(0);
    let is_shared = by_organisation.len() > 1;
    assert!(!is_shared || most <= MAX_RUNS / 2, "{by_organisation:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a slot that stays free while work waits, work that may start but that no timer
    /// announces, a timer that stays due, work that starts before more urgent work, a queue without
    /// a bound, an organisation that fills the queue, and work that is decided on twice or never.
    #[test]
    fn queue_is_work_conserving_ordered_and_bounded(
        arrivals in arrivals(),
        mostly_waits in any::<bool>(),
    ) {
        let mut server = server(if mostly_waits { RUN_MS * 9 / 10 } else { 0 });
        let count = arrivals.len() as u32;
        for arrival in arrivals {
            offer(&mut server, arrival);
        }
        for _ in 0..2 * MAX_DEADLINE_MS {
            server.advance();
        }
        let outcomes = &server.outcomes[0];
        prop_assert_eq!(outcomes.in_time + outcomes.overdue + outcomes.refused(), count);
    }
}

/// Offers a patient order, and returns whether it is waiting.
fn offer_order(server: &mut Server, organisation: u32, priority: u8) -> bool {
    let item = server.item(Class::Order, 0, 4000, MAX_DEADLINE_MS);
    server.offer(WorkItem {
        organisation,
        priority,
        ..item
    })
}

fn queued_of(server: &Server, organisation: u32) -> usize {
    let waiting = server.waiting.values();
    let is_own = |item: &&WorkItem| item.organisation == organisation;
    waiting.filter(is_own).count()
}

/// A server whose queue one organisation has filled.
fn filled_server() -> Server {
    let mut server = server(0);
    while offer_order(&mut server, 1, 2) || server.waiting.is_empty() {}
    assert!(queued_of(&server, 1) > MAX_RUNS / 2);
    server
}

/// One organisation fills the queue, and another one arrives. Its work must find a place, although
/// the first one has more work waiting than fits.
#[test]
fn an_organisation_gets_half_of_the_queue_while_another_one_fills_it() {
    let mut server = filled_server();
    for _ in 0..MAX_RUNS / 4 {
        assert!(offer_order(&mut server, 2, 2));
    }
    assert!(queued_of(&server, 1) <= MAX_RUNS / 2);
    assert!(!offer_order(&mut server, 1, 2));
}

/// An organisation has its part of the queue filled with less urgent work. Urgent work of its own
/// must displace that work, and not be refused behind it.
#[test]
fn urgent_work_displaces_less_urgent_work_of_its_organisation() {
    let mut server = filled_server();
    offer_order(&mut server, 2, 2);
    let queued = queued_of(&server, 1);
    assert!(offer_order(&mut server, 1, 0));
    assert_eq!(queued_of(&server, 1), queued);
}

/// New rules, or a change of the server, must not have work refused that was queued before.
#[test]
fn new_bounds_leave_queued_work_waiting() {
    let mut server = filled_server();
    offer_order(&mut server, 2, 2);
    let queued = queued_of(&server, 1);
    server.admission.set_bounds(1, SLOTS as u16, MAX_WAIT);
    server.drain();
    assert_eq!(queued_of(&server, 1), queued);
}

/// Under a rate limit, while other instances have room, a protected action waits for 0.3 s only.
/// It must leave then although other work has an earlier deadline. If it stayed, its timer would lie
/// in the past, and the node would be woken without end.
#[test]
fn work_leaves_for_another_instance_whatever_its_deadline() {
    let mut server = server(0);
    for _ in 0..SLOTS {
        assert!(!offer_order(&mut server, 0, 2));
    }
    let rate = RequestRate::from_millihertz(1_000_000);
    server.admission.set_rate_limit(at(0), Some(rate));
    server.admission.set_siblings_have_room(true);
    assert!(offer_order(&mut server, 0, 2));
    server.now = 250;
    let item = server.item(Class::Order, 0, 4000, 400);
    assert!(server.offer(WorkItem {
        priority: 2,
        ..item
    }));
    server.now = 300;
    server.drain();
    assert_eq!(server.waiting.len(), 1);
}

/// The only slot is held for 0.4 s, and work that waits for it can then end 0.1 s before its
/// deadline. Until the slot is free, it must not be refused for want of the time that the running
/// work has already spent.
#[test]
fn work_next_in_line_is_not_refused_while_its_deadline_can_be_met() {
    let mut server = server_of(1, (400, 0));
    for waits in [false, true] {
        let item = server.item(Class::Order, 0, 900, 900);
        assert_eq!(server.offer(item), waits);
    }
    for _ in 0..900 {
        server.advance();
    }
    assert_eq!(server.outcomes[0].in_time, 2);
}

/// Work whose objective has passed needs no slot soon. If slots were kept for it, they would stay
/// free while work waits that can still meet its objective.
#[test]
fn no_slots_are_kept_for_late_work() {
    for (objective, keeps_slots) in [(1400, true), (1200, false)] {
        let mut server = server_of(4, (1300, 1200));
        server.now = 5000;
        for _ in 0..8 {
            let item = server.item(Class::Order, 0, objective, 1500);
            server.offer(item);
        }
        assert_eq!(server.admission.reserved_slots() > 0, keeps_slots);
    }
}
