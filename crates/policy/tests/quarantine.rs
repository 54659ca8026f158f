//! Requests that were in flight when a backend server crashed.

use bilberry_policy::Quarantine;
use bilberry_policy::Verdict;
use proto::Incarnation;
use std::time::Duration;
use stdx::Time;

const START: Time = Time::from_micros(60_000_000);

#[derive(Clone, Copy)]
enum Event {
    /// A crash at this node with the request in flight.
    Crash(u64),
    /// Another node's report: the node, and its count.
    Heard(u64, u32),
    Whole,
    /// Seconds pass.
    Wait(u64),
}

fn check(events: &[Event], expected: &str) {
    let mut quarantine = Quarantine::new();
    let mut now = START;
    for event in events {
        match *event {
            Event::Crash(node) => {
                quarantine.record_crash(now, "request", Incarnation(node));
            }
            Event::Heard(node, count) => {
                quarantine.record_remote_crashes(now, "request", Incarnation(node), count)
            }
            Event::Whole => quarantine.record_completed(now, "request"),
            Event::Wait(secs) => now = now + Duration::from_secs(secs),
        }
    }
    let verdict = match quarantine.verdict(now, &"request") {
        Verdict::Clear => "clear",
        Verdict::Suspect => "suspect",
        Verdict::Refused(_) => "refused",
    };
    assert_eq!(verdict, expected);
}

/// One label job crashes each server that runs it, and its maker sends it again and again. After
/// the second crash it must not run anywhere, or it takes the whole service down, one by one.
#[test]
fn two_crashes_are_enough() {
    check(&[Event::Crash(1)], "suspect");
    check(&[Event::Crash(1), Event::Crash(1)], "refused");
    check(&[Event::Crash(1), Event::Heard(2, 1)], "refused");
    check(&[Event::Heard(2, 2)], "refused");
    check(&[Event::Heard(2, 1), Event::Heard(2, 1)], "suspect");
}

/// A lookup was in flight beside the one that crashes servers. If it were refused as well, a
/// customer could not see that pattern for minutes, for no fault of its own.
#[test]
fn what_was_answered_whole_is_cleared() {
    check(&[Event::Crash(1), Event::Whole], "clear");
    check(&[Event::Whole, Event::Crash(1), Event::Crash(1)], "clear");
    check(
        &[
            Event::Crash(1),
            Event::Whole,
            Event::Wait(20),
            Event::Crash(2),
        ],
        "suspect",
    );
}

#[test]
fn quarantine_expires() {
    check(
        &[Event::Crash(1), Event::Crash(2), Event::Wait(299)],
        "refused",
    );
    check(
        &[Event::Crash(1), Event::Crash(2), Event::Wait(300)],
        "clear",
    );
}
