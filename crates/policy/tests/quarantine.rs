//! Requests that were in flight when a backend server crashed.

use bilberry_policy::Quarantine;
use bilberry_policy::Verdict;
use proto::Incarnation;
use std::time::Duration;
use stdx::Time;

const START: Time = Time::from_micros(60_000_000);

#[derive(Clone, Copy)]
enum Event {
    /// The server of this node crashes with the request in flight.
    Crash(u64),
    /// Another node reports its number of crashes.
    RemoteCrashes(u64, u32),
    Completed,
    /// This many seconds pass.
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
            Event::RemoteCrashes(node, count) => {
                quarantine.record_remote_crashes(now, "request", Incarnation(node), count)
            }
            Event::Completed => quarantine.record_completed(now, "request"),
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

/// A request crashes every server that runs it, and its caller keeps re-sending it. Unless it is
/// refused everywhere after the second crash, it takes down all servers of the service one after
/// the other.
#[test]
fn a_request_is_refused_after_two_crashes() {
    check(&[Event::Crash(1)], "suspect");
    check(&[Event::Crash(1), Event::Crash(1)], "refused");
    check(&[Event::Crash(1), Event::RemoteCrashes(2, 1)], "refused");
    check(&[Event::RemoteCrashes(2, 2)], "refused");
    check(
        &[Event::RemoteCrashes(2, 1), Event::RemoteCrashes(2, 1)],
        "suspect",
    );
}

/// A harmless request was in flight together with one that crashes servers. Unless a complete
/// answer clears it, it is refused for minutes although it caused no crash.
#[test]
fn a_completely_answered_request_is_cleared() {
    check(&[Event::Crash(1), Event::Completed], "clear");
    check(
        &[Event::Completed, Event::Crash(1), Event::Crash(1)],
        "clear",
    );
    check(
        &[
            Event::Crash(1),
            Event::Completed,
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
