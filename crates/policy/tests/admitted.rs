//! Calls of actions that were admitted at their first hop, in front of a server without room.

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

/// How long one piece of work takes, in milliseconds.
const WORK: u64 = 50;

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1000)
}

fn lookup(id: u64, now: Time, admitted: bool) -> WorkItem {
    WorkItem {
        id,
        class: Class::Lookup,
        priority: 0,
        passed_level: 0,
        random_value: 100,
        deadline: now + Duration::from_secs(2),
        arrived: now,
        admitted,
    }
}

/// Offers a lookup every 20 ms to a server with room for one every 50 ms, for a second, and gives
/// how many were refused.
fn refused_in_a_surge(admitted: bool) -> usize {
    let mut switches = Switches::ALL;
    switches.adaptive_limit = false;
    let mut server = ServerAdmission::new(switches, 1, 1, MAX_WAIT);
    let mut ends: Option<u64> = None;
    let mut refused = 0;
    for ms in 0..1000 {
        let now = at(ms);
        if ends == Some(ms) {
            let took = Duration::from_millis(WORK);
            server.on_finished(
                now,
                Class::Lookup,
                WorkOutcome::Completed {
                    elapsed: took,
                    own_time: took,
                },
            );
            ends = None;
        }
        if ms % 20 == 0 {
            match server.offer(now, lookup(ms, now, admitted)) {
                AdmissionDecision::Start => ends = Some(ms + WORK),
                AdmissionDecision::Queued => {}
                AdmissionDecision::Refused(_) => refused += 1,
            }
        }
        while let Some((_, offer)) = server.next_decision(now) {
            match offer {
                AdmissionDecision::Start => ends = Some(ms + WORK),
                AdmissionDecision::Refused(_) => refused += 1,
                AdmissionDecision::Queued => {}
            }
        }
    }
    refused
}

/// A lookup reads eight times from a deep service, which is asked for more than it can do. With one
/// read in three refused, hardly a lookup gets through, and all that was done for it is lost. What
/// begins at the service is refused early instead.
#[test]
fn reads_of_an_admitted_lookup_wait_while_others_are_shed() {
    assert_eq!(refused_in_a_surge(true), 0);
    assert!(refused_in_a_surge(false) > 10);
}

/// A read of an admitted lookup waits behind so many others that its answer would come too late. It
/// is refused at once; kept waiting, it would hold up its lookup for nothing.
#[test]
fn a_read_that_would_be_late_is_refused_at_once() {
    let mut server = ServerAdmission::new(Switches::ALL, 1, 1, MAX_WAIT);
    let took = Duration::from_millis(WORK);
    assert_eq!(
        server.offer(at(0), lookup(0, at(0), true)),
        AdmissionDecision::Start
    );
    server.on_finished(
        at(WORK),
        Class::Lookup,
        WorkOutcome::Completed {
            elapsed: took,
            own_time: took,
        },
    );
    let now = at(WORK);
    assert_eq!(
        server.offer(now, lookup(1, now, true)),
        AdmissionDecision::Start
    );
    let due = |id| WorkItem {
        deadline: now + Duration::from_millis(570),
        ..lookup(id, now, true)
    };
    for id in 2..12 {
        assert_eq!(server.offer(now, due(id)), AdmissionDecision::Queued);
    }
    let offer = server.offer(now, due(12));
    let AdmissionDecision::Refused(refusal) = offer else {
        panic!("{offer:?}");
    };
    assert_eq!(refusal.reason, Reason::Deadline);
}

/// The last read of a lookup comes to a full server with little time left, and goes before all that wait,
/// because they are due later. Judged by how many wait, it would be refused, and seven reads that were
/// done would be lost.
#[test]
fn a_read_that_goes_first_is_not_taken_for_late() {
    let mut server = ServerAdmission::new(Switches::ALL, 1, 1, MAX_WAIT);
    let took = Duration::from_millis(WORK);
    assert_eq!(
        server.offer(at(0), lookup(0, at(0), true)),
        AdmissionDecision::Start
    );
    server.on_finished(
        at(WORK),
        Class::Lookup,
        WorkOutcome::Completed {
            elapsed: took,
            own_time: took,
        },
    );
    let now = at(WORK);
    assert_eq!(
        server.offer(now, lookup(1, now, true)),
        AdmissionDecision::Start
    );
    for id in 2..12 {
        assert_eq!(
            server.offer(now, lookup(id, now, true)),
            AdmissionDecision::Queued
        );
    }
    let hurried = WorkItem {
        deadline: now + Duration::from_millis(200),
        ..lookup(12, now, true)
    };
    assert_eq!(server.offer(now, hurried), AdmissionDecision::Queued);
    let now = at(2 * WORK);
    server.on_finished(
        now,
        Class::Lookup,
        WorkOutcome::Completed {
            elapsed: took,
            own_time: took,
        },
    );
    let next = server
        .next_decision(now)
        .map(|(ticket, offer)| (ticket.id, offer));
    assert_eq!(next, Some((12, AdmissionDecision::Start)));
}

/// Lookups that were admitted elsewhere wait, and an order comes. It is served before them all; a
/// shop that orders is not to wait for shops that browse.
#[test]
fn an_order_goes_before_admitted_lookups() {
    let mut server = ServerAdmission::new(Switches::ALL, 1, 1, MAX_WAIT);
    assert_eq!(
        server.offer(at(0), lookup(0, at(0), true)),
        AdmissionDecision::Start
    );
    assert_eq!(
        server.offer(at(1), lookup(1, at(1), true)),
        AdmissionDecision::Queued
    );
    let order = WorkItem {
        class: Class::Order,
        ..lookup(2, at(2), false)
    };
    assert_eq!(server.offer(at(2), order), AdmissionDecision::Queued);
    let took = Duration::from_millis(WORK);
    server.on_finished(
        at(WORK),
        Class::Lookup,
        WorkOutcome::Completed {
            elapsed: took,
            own_time: took,
        },
    );
    let next = server
        .next_decision(at(WORK))
        .map(|(ticket, offer)| (ticket.id, offer));
    assert_eq!(next, Some((2, AdmissionDecision::Start)));
}

/// A call of an order arrives with hardly any time left, because the order was slow elsewhere. It is
/// refused; if the lookups that wait were refused with it, and the server kept free for a while, one
/// slow order would cost a score of lookups that are half done.
#[test]
fn an_order_that_was_slow_elsewhere_takes_no_lookups_with_it() {
    let mut server = ServerAdmission::new(Switches::ALL, 1, 1, MAX_WAIT);
    let took = Duration::from_millis(WORK);
    for begin in [0, WORK] {
        let now = at(begin);
        assert_eq!(
            server.offer(now, lookup(0, now, true)),
            AdmissionDecision::Start
        );
        server.on_finished(
            now + took,
            Class::Lookup,
            WorkOutcome::Completed {
                elapsed: took,
                own_time: took,
            },
        );
    }
    let now = at(2 * WORK);
    assert_eq!(
        server.offer(now, lookup(1, now, true)),
        AdmissionDecision::Start
    );
    assert_eq!(
        server.offer(now, lookup(2, now, true)),
        AdmissionDecision::Queued
    );
    let order = WorkItem {
        class: Class::Order,
        deadline: now + Duration::from_millis(10),
        ..lookup(3, now, true)
    };
    assert!(matches!(
        server.offer(now, order),
        AdmissionDecision::Refused(_)
    ));
    assert_eq!(server.next_decision(now), None);
    let now = now + took;
    server.on_finished(
        now,
        Class::Lookup,
        WorkOutcome::Completed {
            elapsed: took,
            own_time: took,
        },
    );
    let next = server
        .next_decision(now)
        .map(|(ticket, offer)| (ticket.id, offer));
    assert_eq!(next, Some((2, AdmissionDecision::Start)));
}

/// Two lookups read from a busy server. One has its last read to do and little time, the other has just
/// begun. In the order of arrival the first is late and all that was done for it is lost, though the
/// second could wait.
#[test]
fn a_read_that_is_due_sooner_goes_first() {
    let mut server = ServerAdmission::new(Switches::ALL, 1, 1, MAX_WAIT);
    assert_eq!(
        server.offer(at(0), lookup(0, at(0), true)),
        AdmissionDecision::Start
    );
    let begun = lookup(1, at(1), true);
    assert_eq!(server.offer(at(1), begun), AdmissionDecision::Queued);
    let nearly_done = WorkItem {
        deadline: at(400),
        ..lookup(2, at(2), true)
    };
    assert_eq!(server.offer(at(2), nearly_done), AdmissionDecision::Queued);
    let took = Duration::from_millis(WORK);
    for (id, now) in [(2, at(WORK)), (1, at(2 * WORK))] {
        server.on_finished(
            now,
            Class::Lookup,
            WorkOutcome::Completed {
                elapsed: took,
                own_time: took,
            },
        );
        let next = server
            .next_decision(now)
            .map(|(ticket, offer)| (ticket.id, offer));
        assert_eq!(next, Some((id, AdmissionDecision::Start)));
    }
}
