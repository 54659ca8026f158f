//! The state is written again before its records expire.

use crate::driver::instance;
use crate::driver::Driver;
use bilberry_engine::Config;
use bilberry_engine::Counter;
use bilberry_engine::Input;
use journal::Record;
use journal::State;
use std::time::Duration;

const RETENTION: Duration = Duration::from_secs(3600);

/// A node that is listed together with `others`.
fn listed(n: u16, others: u16) -> Driver {
    let cfg = Config {
        log_retention: RETENTION,
        ..Config::default()
    };
    let mut d = Driver::with_config(n, cfg);
    for other in 1..=others {
        d.show(&Record::Join(instance(other)));
    }
    for (number, _) in d.appended() {
        d.feed(Input::Appended(number));
    }
    d
}

/// Reads the log to its end every five seconds, for `time`; gives the snapshot that was written.
fn idle(d: &mut Driver, time: Duration) -> Option<State> {
    let end = d.now + time;
    while d.now < end {
        d.pass(Duration::from_secs(5));
        d.feed(Input::LogRead);
    }
    let mut snapshots = d.appended();
    assert!(snapshots.len() <= 1, "{snapshots:?}");
    let (number, record) = snapshots.pop()?;
    d.feed(Input::Appended(number));
    d.show(&record);
    match record {
        Record::Snapshot(state) => Some(*state),
        other => panic!("{other:?}"),
    }
}

/// Nobody publishes or joins for longer than the log keeps records. Without a copy of the state a
/// node that is started then finds an empty stream, and takes no work.
#[test]
fn a_quiet_stream_is_written_again() {
    let mut d = listed(1, 1);
    let first = idle(&mut d, RETENTION / 4).unwrap();
    assert_eq!((first.next, first.instances().count()), (1, 1));
    assert!(idle(&mut d, RETENTION / 8).is_none());
    let second = idle(&mut d, RETENTION / 4).unwrap();
    assert_eq!(second.next, 2);
}

/// All nodes see at the same time that a snapshot is due. If each wrote it, a fleet of 700 would
/// fill the stream with hundreds of copies of the same state.
#[test]
fn one_node_writes_for_all() {
    let mut writers = Vec::new();
    for n in 1..=8 {
        let mut d = listed(n, 8);
        idle(&mut d, Duration::from_secs(60));
        if d.engine.journal().snapshot.is_some() {
            writers.push(n);
        }
    }
    assert_eq!(writers.len(), 1, "{writers:?}");

    // The first one in rank is paused: the next ones take over.
    let written = (1..=8).filter(|n| idle(&mut listed(*n, 8), RETENTION / 4).is_some());
    assert_eq!(written.count(), 8);
}

/// Every node is replaced more often than a snapshot falls due, so none sees it grow old. What the
/// log says of its own start shows that the snapshot is about to expire.
#[test]
fn young_nodes_go_by_the_log_start() {
    let mut d = listed(1, 6);
    let snapshot = d.engine.journal().clone();
    d.show(&Record::Snapshot(Box::new(snapshot)));
    for _ in 0..20 {
        d.show(&Record::Leave(instance(99).incarnation));
    }
    assert!(idle(&mut d, Duration::from_secs(120)).is_none());
    d.feed(Input::LogStart(5));
    assert!(idle(&mut d, Duration::from_secs(120)).is_some());
}

/// A node was cut off from the log until records that it lacks had expired, and no snapshot stands
/// for them. If it took the end of the stream for its own state, it would route by views of nobody.
#[test]
fn a_reader_that_lacks_records_says_so() {
    let mut d = Driver::new();
    d.feed(Input::LogStart(7));
    d.feed(Input::LogRead);
    assert_eq!(d.count(Counter::NoSnapshot), 1);
    assert_eq!(d.appended(), []);
}
