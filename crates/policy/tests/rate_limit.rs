//! The rate limit that a backend server names, at the admission control beside it.

use bilberry_policy::AdmissionDecision;
use bilberry_policy::RequestRate;
use bilberry_policy::ServerAdmission;
use bilberry_policy::Switches;
use bilberry_policy::WorkItem;
use bilberry_policy::WorkOutcome;
use proptest::prelude::any;
use proptest::proptest;
use proto::Class;
use proto::Reason;
use std::time::Duration;
use stdx::Time;

const MAX_WAIT: Duration = Duration::from_millis(100);

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1000)
}

fn rate(per_second: u64) -> Option<RequestRate> {
    Some(RequestRate::from_millihertz(per_second * 1000))
}

fn server() -> ServerAdmission {
    let mut switches = Switches::ALL;
    switches.adaptive_limit = false;
    ServerAdmission::new(switches, 1, 100, MAX_WAIT)
}

fn limited(per_second: u64) -> ServerAdmission {
    let mut server = server();
    server.set_rate_limit(at(0), rate(per_second));
    server
}

fn item(id: u64, class: Class, now: Time) -> WorkItem {
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

fn completed() -> WorkOutcome {
    let elapsed = Duration::from_millis(1);
    WorkOutcome::Completed {
        elapsed,
        own_time: elapsed,
    }
}

/// Offers work every `gap_ms` up to `end_ms` and returns when work was started, in milliseconds.
/// Work ends at once.
fn start_times(server: &mut ServerAdmission, begin_ms: u64, end_ms: u64, gap_ms: u64) -> Vec<u64> {
    let mut started = Vec::new();
    for ms in begin_ms..end_ms {
        let now = at(ms);
        let mut starts = 0;
        if ms % gap_ms == 0 {
            let decision = server.offer(now, item(ms, Class::Lookup, now));
            starts += u64::from(decision == AdmissionDecision::Start);
        }
        while let Some((_, decision)) = server.next_decision(now) {
            starts += u64::from(decision == AdmissionDecision::Start);
        }
        for _ in 0..starts {
            started.push(ms);
            server.on_finished(now, Class::Lookup, completed());
        }
    }
    started
}

/// The largest number of starts in any window of this length.
fn most_in_window(starts: &[u64], window_ms: u64) -> usize {
    let counts = starts.iter().map(|begin| {
        let window = *begin..begin + window_ms;
        starts.iter().filter(|ms| window.contains(ms)).count()
    });
    counts.max().unwrap_or(0)
}

/// A limited server is offered ten times its limit, and gets neither more nor much less.
#[test]
fn limit_is_used_and_not_exceeded() {
    for per_second in [1, 3, 10, 50] {
        let mut server = limited(per_second);
        let starts = start_times(&mut server, 0, 20_000, 10);
        let limit = per_second as usize;
        assert!(most_in_window(&starts, 4000) <= limit * 5, "{per_second}");
        assert!(starts.len() <= limit * 20, "{per_second}: {}", starts.len());
        assert!(starts.len() >= limit * 18, "{per_second}: {}", starts.len());
    }
}

/// What the server named before, or what gathered in an idle time, must not come on top of a limit
/// that was lowered.
#[test]
fn lowered_limit_applies_at_once() {
    let mut server = limited(50);
    start_times(&mut server, 0, 2000, 10);
    server.set_rate_limit(at(5000), rate(2));
    let starts = start_times(&mut server, 5000, 15_000, 10);
    assert!(most_in_window(&starts, 4000) <= 2 * 5, "{starts:?}");
    assert!(most_in_window(&starts, 100) <= 2, "{starts:?}");
}

/// A burst takes all tokens that gathered in an idle time, and the server lowers its limit right
/// after it. In some 4 s the server then gets more than half more than its limits allow, and 5
/// requests.
#[test]
fn burst_before_a_lowered_limit_stays_within_what_the_limits_allow() {
    for (high, low) in [(2, 0), (6, 1), (10, 1), (50, 0), (50, 2)] {
        for burst_ms in [1, 100, 300, 500, 1000] {
            let mut server = limited(high);
            let (begin, lowered) = (5000, 5000 + burst_ms);
            let mut starts = start_times(&mut server, begin, lowered, 1);
            server.set_rate_limit(at(lowered), rate(low));
            starts.extend(start_times(&mut server, lowered, begin + 4000, 10));
            let allowed = (high * burst_ms + low * (4000 - burst_ms)) as f64 / 1000.0;
            assert!(
                starts.len() as f64 <= allowed * 1.5 + 5.0,
                "{} at {high} and {low} a second, lowered after {burst_ms} ms",
                starts.len()
            );
        }
    }
}

#[test]
fn lifted_limit_no_longer_applies() {
    let mut server = limited(1);
    start_times(&mut server, 0, 1000, 10);
    server.set_rate_limit(at(1000), None);
    let starts = start_times(&mut server, 1000, 2000, 10);
    assert!(starts.len() >= 100, "{}", starts.len());
}

#[test]
fn limit_of_zero_admits_nothing() {
    let mut server = limited(0);
    assert_eq!(start_times(&mut server, 0, 20_000, 10), Vec::<u64>::new());
    assert_eq!(server.report().utilisation, u16::MAX);
}

/// A new process of the server must not inherit the limit of its predecessor.
#[test]
fn restarted_server_is_not_limited() {
    let mut server = limited(1);
    server.on_server_restart(at(0), 20);
    assert_eq!(start_times(&mut server, 0, 1000, 10).len(), 100);
}

/// An order that arrives while lookups wait for the limit goes before them.
#[test]
fn orders_are_started_before_lookups() {
    let mut server = limited(20);
    let started = server.offer(at(50), item(1, Class::Lookup, at(50)));
    assert_eq!(started, AdmissionDecision::Start);
    for (id, class) in [(2, Class::Lookup), (3, Class::Order)] {
        let decision = server.offer(at(60), item(id, class, at(60)));
        assert_eq!(decision, AdmissionDecision::Queued);
    }
    assert_eq!(server.next_decision(at(80)), None);
    assert_eq!(server.next_timer(), Some(at(100)), "the next token is due");
    let (next, decision) = server.next_decision(at(100)).unwrap();
    assert_eq!((next.id, decision), (3, AdmissionDecision::Start));
}

/// A caller that returns after the delay that it was given finds that the limit permits a request.
#[test]
fn retry_delay_covers_the_wait_for_the_limit() {
    let mut server = limited(0);
    server.set_rate_limit(at(0), Some(RequestRate::from_millihertz(200)));
    let mut refused = None;
    for id in 0..3 {
        if let AdmissionDecision::Refused(refusal) =
            server.offer(at(0), item(id, Class::Order, at(0)))
        {
            refused = refused.or(Some(refusal));
        }
    }
    let refusal = refused.expect("the limit does not permit three orders at once");
    assert_eq!(refusal.reason, Reason::QueueFull);
    // With one token every five seconds and a jitter of one half.
    assert!(refusal.retry_after_ms >= 2500, "{refusal:?}");
}

/// A call that waits for the limit while other instances are idle could be late without need.
#[test]
fn admitted_call_is_refused_early_if_siblings_have_room() {
    let call = |id| WorkItem {
        admitted: true,
        ..item(id, Class::Lookup, at(1000))
    };
    let mut server = limited(1);
    assert_eq!(server.offer(at(1000), call(1)), AdmissionDecision::Start);
    assert_eq!(server.offer(at(1000), call(2)), AdmissionDecision::Queued);
    server.set_siblings_have_room(true);
    let AdmissionDecision::Refused(refusal) = server.offer(at(1000), call(3)) else {
        panic!("the call would wait for two seconds");
    };
    assert_eq!(refusal.reason, Reason::QueueFull);
    // The call that was queued before leaves after the maximum wait as well.
    let (left, decision) = server.next_decision(at(1100)).unwrap();
    assert_eq!(left.id, 2);
    assert!(matches!(decision, AdmissionDecision::Refused(_)));
}

/// A booking can only run at the home of its key. It was refused so that it could be sent to an
/// instance with room, came back to the same one, and failed.
#[test]
fn work_of_a_home_waits_for_the_limit_although_siblings_have_room() {
    for admitted in [true, false] {
        let booking = |id| WorkItem {
            admitted,
            only_here: true,
            ..item(id, Class::Booking, at(1000))
        };
        let mut server = limited(1);
        server.set_siblings_have_room(true);
        assert_eq!(server.offer(at(1000), booking(1)), AdmissionDecision::Start);
        server.on_finished(at(1001), Class::Booking, completed());
        assert_eq!(
            server.offer(at(1001), booking(2)),
            AdmissionDecision::Queued
        );
        // Work that may run elsewhere leaves, and does not take the next token.
        let other = WorkItem {
            only_here: false,
            ..booking(3)
        };
        assert!(matches!(
            server.offer(at(1001), other),
            AdmissionDecision::Refused(_)
        ));
        assert_eq!(server.next_decision(at(1999)), None);
        let (left, decision) = server.next_decision(at(2001)).unwrap();
        assert_eq!((left.id, decision), (2, AdmissionDecision::Start));
        // A third one would wait until after its deadline.
        assert!(matches!(
            server.offer(
                at(2001),
                WorkItem {
                    deadline: at(2900),
                    ..booking(4)
                }
            ),
            AdmissionDecision::Refused(_)
        ));
    }
}

/// Actions are shed at their first hop for a limit only if no other instance has room.
#[test]
fn level_rises_only_without_room_at_siblings() {
    let mut server = limited(5);
    start_times(&mut server, 0, 5000, 10);
    assert!(server.level() > 0);
    server.set_siblings_have_room(true);
    assert_eq!(server.level(), 0);
    assert!(server.report().utilisation > 1000);
}

/// A single order at an idle server was shed, because one request exceeds the average of a limit of
/// one request in five seconds.
#[test]
fn idle_server_with_a_low_limit_accepts_an_order() {
    let mut server = limited(0);
    server.set_rate_limit(at(0), Some(RequestRate::from_millihertz(200)));
    for n in 1..4 {
        let now = at(n * 6000);
        let order = WorkItem {
            random_value: 0,
            ..item(n, Class::Order, now)
        };
        let decision = server.offer(now, order);
        assert_eq!(decision, AdmissionDecision::Start);
        server.on_finished(now, Class::Order, completed());
    }
}

/// Lookups of admitted actions queue up behind the limit. They are no reason to shed orders, which
/// go before them.
#[test]
fn queued_lookups_shed_no_orders() {
    let mut server = limited(4);
    for id in 0..40 {
        let lookup = WorkItem {
            admitted: true,
            deadline: at(1000) + Duration::from_secs(30),
            ..item(id, Class::Lookup, at(1000))
        };
        server.offer(at(1000), lookup);
    }
    // One order a second is a quarter of the limit.
    for id in 100..102 {
        server.offer(at(1000), item(id, Class::Order, at(1000)));
    }
    server.tick(at(1100));
    assert!((1..0x8000).contains(&server.level()), "{}", server.level());
}

proptest! {
    /// Whatever the limits and their changes, a window never gets more than the highest limit
    /// allows for it and for the second that the bucket holds.
    #[test]
    fn no_window_exceeds_the_highest_limit(
        steps in proptest::collection::vec((any::<Option<u16>>(), 1_u64..3000, 1_u64..40), 1..12)
    ) {
        let mut server = limited(1);
        let (mut ms, mut highest, mut starts) = (0, 1, Vec::new());
        for (per_second, duration, gap) in steps {
            let per_second = u64::from(per_second.unwrap_or(0) % 50);
            highest = highest.max(per_second);
            server.set_rate_limit(at(ms), rate(per_second));
            starts.extend(start_times(&mut server, ms, ms + duration, gap));
            ms += duration;
        }
        assert!(most_in_window(&starts, 4000) as u64 <= highest * 5 + 1);
    }
}
