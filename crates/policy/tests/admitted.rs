//! Calls of actions that were admitted at their entry node, at a server without free capacity.

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

/// Duration of one run, in milliseconds.
const RUN_MS: u64 = 50;

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
        latest_start: None,
        operation: 0,
        patient: false,
        organisation: 0,
        arrived: now,
        admitted,
        only_here: false,
    }
}

/// Offers a lookup every 20 ms for one second to a server that can run one every 50 ms, and returns
/// how many were refused.
fn refusals_in_a_surge(admitted: bool) -> usize {
    let mut switches = Switches::ALL;
    switches.adaptive_limit = false;
    let mut server = ServerAdmission::new(switches, 1, 1, MAX_WAIT);
    let mut ends_at: Option<u64> = None;
    let mut refused = 0;
    for ms in 0..1000 {
        let now = at(ms);
        if ends_at == Some(ms) {
            let took = Duration::from_millis(RUN_MS);
            server.on_finished(
                now,
                Class::Lookup,
                WorkOutcome::Completed {
                    elapsed: took,
                    own_time: took,
                },
            );
            ends_at = None;
        }
        if ms % 20 == 0 {
            match server.offer(now, lookup(ms, now, admitted)) {
                AdmissionDecision::Start => ends_at = Some(ms + RUN_MS),
                AdmissionDecision::Queued => {}
                AdmissionDecision::Refused(_) => refused += 1,
            }
        }
        while let Some((_, decision)) = server.next_decision(now) {
            match decision {
                AdmissionDecision::Start => ends_at = Some(ms + RUN_MS),
                AdmissionDecision::Refused(_) => refused += 1,
                AdmissionDecision::Queued => {}
            }
        }
    }
    refused
}

/// A lookup makes eight reads from an overloaded service deep in the call tree. If one read in
/// three is refused, hardly any lookup succeeds, and the work already done for it is wasted.
/// Lookups that begin at the service are refused instead.
#[test]
fn reads_of_admitted_lookups_wait_while_new_lookups_are_refused() {
    assert_eq!(refusals_in_a_surge(true), 0);
    assert!(refusals_in_a_surge(false) > 10);
}

/// A read of an admitted lookup would be queued behind so many others that it would miss its
/// deadline. It is refused immediately; otherwise its lookup would wait in vain.
#[test]
fn a_read_that_would_be_late_is_refused_immediately() {
    let mut server = ServerAdmission::new(Switches::ALL, 1, 1, MAX_WAIT);
    let took = Duration::from_millis(RUN_MS);
    assert_eq!(
        server.offer(at(0), lookup(0, at(0), true)),
        AdmissionDecision::Start
    );
    server.on_finished(
        at(RUN_MS),
        Class::Lookup,
        WorkOutcome::Completed {
            elapsed: took,
            own_time: took,
        },
    );
    let now = at(RUN_MS);
    assert_eq!(
        server.offer(now, lookup(1, now, true)),
        AdmissionDecision::Start
    );
    let read = |id| WorkItem {
        deadline: now + Duration::from_millis(570),
        ..lookup(id, now, true)
    };
    for id in 2..12 {
        assert_eq!(server.offer(now, read(id)), AdmissionDecision::Queued);
    }
    let decision = server.offer(now, read(12));
    let AdmissionDecision::Refused(refusal) = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(refusal.reason, Reason::Deadline);
}

/// The last read of a lookup arrives at a full server with little time left, and goes before all
/// queued reads because their deadlines are later. If it were judged by the length of the whole
/// queue, it would be refused, and the seven reads already made would be wasted.
#[test]
fn a_read_with_the_earliest_deadline_is_not_considered_late() {
    let mut server = ServerAdmission::new(Switches::ALL, 1, 1, MAX_WAIT);
    let took = Duration::from_millis(RUN_MS);
    assert_eq!(
        server.offer(at(0), lookup(0, at(0), true)),
        AdmissionDecision::Start
    );
    server.on_finished(
        at(RUN_MS),
        Class::Lookup,
        WorkOutcome::Completed {
            elapsed: took,
            own_time: took,
        },
    );
    let now = at(RUN_MS);
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
    let urgent = WorkItem {
        deadline: now + Duration::from_millis(200),
        ..lookup(12, now, true)
    };
    assert_eq!(server.offer(now, urgent), AdmissionDecision::Queued);
    let now = at(2 * RUN_MS);
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
        .map(|(item, decision)| (item.id, decision));
    assert_eq!(next, Some((12, AdmissionDecision::Start)));
}

/// An order arrives while lookups admitted at other nodes are queued. It must be served before
/// them: orders do not wait for lookups.
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
    let took = Duration::from_millis(RUN_MS);
    server.on_finished(
        at(RUN_MS),
        Class::Lookup,
        WorkOutcome::Completed {
            elapsed: took,
            own_time: took,
        },
    );
    let next = server
        .next_decision(at(RUN_MS))
        .map(|(item, decision)| (item.id, decision));
    assert_eq!(next, Some((2, AdmissionDecision::Start)));
}

/// A call of an order arrives with hardly any time left, because the order was delayed at another
/// node, and is refused. If the queued lookups were refused with it and further ones held back for
/// a while, one slow order would waste about twenty partly done lookups.
#[test]
fn an_order_delayed_elsewhere_does_not_evict_lookups() {
    let mut server = ServerAdmission::new(Switches::ALL, 1, 1, MAX_WAIT);
    let took = Duration::from_millis(RUN_MS);
    for start in [0, RUN_MS] {
        let now = at(start);
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
    let now = at(2 * RUN_MS);
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
        .map(|(item, decision)| (item.id, decision));
    assert_eq!(next, Some((2, AdmissionDecision::Start)));
}

/// Two lookups read from a busy server. One has its last read left and little time, the other has
/// just begun. In order of arrival the first would be late and the work done for it wasted,
/// although the second could wait.
#[test]
fn the_read_with_the_earlier_deadline_goes_first() {
    let mut server = ServerAdmission::new(Switches::ALL, 1, 1, MAX_WAIT);
    assert_eq!(
        server.offer(at(0), lookup(0, at(0), true)),
        AdmissionDecision::Start
    );
    let just_begun = lookup(1, at(1), true);
    assert_eq!(server.offer(at(1), just_begun), AdmissionDecision::Queued);
    let nearly_done = WorkItem {
        deadline: at(400),
        ..lookup(2, at(2), true)
    };
    assert_eq!(server.offer(at(2), nearly_done), AdmissionDecision::Queued);
    let took = Duration::from_millis(RUN_MS);
    for (id, now) in [(2, at(RUN_MS)), (1, at(2 * RUN_MS))] {
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
            .map(|(item, decision)| (item.id, decision));
        assert_eq!(next, Some((id, AdmissionDecision::Start)));
    }
}
