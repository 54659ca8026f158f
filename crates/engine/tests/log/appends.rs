//! What a node has to say to the log gets there: joins, leaves, through lost answers and outages.

use crate::driver::instance;
use crate::driver::Driver;
use bilberry_engine::Config;
use bilberry_engine::Counter;
use bilberry_engine::Input;
use journal::Record;
use proto::Incarnation;
use std::time::Duration;

/// A node is stopped just after it started, while the answer to its `Join` is outstanding. Had it
/// gone without a word, its service would go on naming it, and callers would wait on its share of
/// the keys until it is evicted.
#[test]
fn leave_follows_a_join_in_flight() {
    let mut d = Driver::new();
    d.feed(Input::LogCaughtUp);
    let (join, record) = d.one_append();
    assert_eq!(record, Record::Join(instance(1)));

    d.feed(Input::Stop);
    assert!(!d.stopped);
    d.feed(Input::AppendLost(join));
    let (leave, record) = d.one_append();
    assert_eq!(record, Record::Leave(Incarnation(1)));
    assert!(!d.stopped);
    d.feed(Input::Appended(leave));
    assert!(d.stopped);
}

/// The log goes down and the node is stopped. The stop must not wait for the log's return; the
/// operator would see a process that never ends and kill it.
#[test]
fn a_stop_in_an_outage_ends() {
    let mut d = Driver::new();
    d.show(&Record::Join(instance(1)));
    d.feed(Input::Stop);
    let end = d.now + Config::default().leave_timeout;
    while d.now < end {
        assert!(!d.stopped);
        for (number, record) in d.appended() {
            assert_eq!(record, Record::Leave(Incarnation(1)));
            d.feed(Input::AppendLost(number));
        }
        d.pass(Duration::from_millis(500));
    }
    assert!(d.stopped);
    assert_eq!(d.count(Counter::LeaveNotAppended), 1);
    assert_eq!(d.engine.next_timer().filter(|due| *due <= d.now), None);
}

/// A node was paused for so long that the others evicted it. It wakes, and is in no view any more;
/// with the same incarnation it can never be again, so it has to end and be started anew.
#[test]
fn an_evicted_node_stops() {
    let mut d = Driver::new();
    d.show(&Record::Join(instance(1)));
    d.show(&Record::Join(instance(2)));
    d.show(&Record::Evict {
        incarnation: Incarnation(1),
        by: Incarnation(2),
    });
    d.pass(Duration::from_secs(60));
    assert!(d.stopped);
    assert_eq!(d.count(Counter::Expelled), 1);
    assert_eq!(d.appended(), []);
}

/// The answer to an append is lost, but the record stands in the stream. Appending it once more
/// would spend the log's budget for nothing.
#[test]
fn a_lost_answer_is_settled_by_the_stream() {
    let mut d = Driver::new();
    d.feed(Input::LogCaughtUp);
    let (number, record) = d.one_append();
    d.feed(Input::AppendLost(number));
    d.show(&record);
    d.pass(Duration::from_secs(120));
    assert_eq!(d.appended(), []);
}

/// All nodes lose the log together. If each tried again at a fixed interval, they would hit the
/// log together when it returns, and take it down once more.
#[test]
fn lost_appends_are_tried_again_ever_more_slowly() {
    let mut d = Driver::new();
    d.feed(Input::LogCaughtUp);
    let mut gaps = Vec::new();
    for _ in 0..8 {
        let (number, _) = d.one_append();
        d.feed(Input::AppendLost(number));
        let lost = d.now;
        while d.appends.is_empty() {
            d.pass_one();
        }
        gaps.push(d.now.since(lost));
    }
    for (gap, base) in gaps.iter().zip([1, 2, 4, 8, 16, 30, 30, 30]) {
        let base = Duration::from_secs(base);
        assert!(base / 2 <= *gap && *gap <= base, "{gaps:?}");
    }
    assert_eq!(d.count(Counter::AppendLost), 8);
}

/// Many nodes start at once, and each append is taken only if it is the next one. The losers try
/// again at different times, or the same ones would come second each time.
#[test]
fn an_append_that_came_second_is_made_anew() {
    let mut d = Driver::new();
    d.feed(Input::LogCaughtUp);
    let mut gaps = Vec::new();
    for n in 2..8 {
        let (join, record) = d.one_append();
        assert_eq!(record, Record::Join(instance(1)));
        let before = d.now;
        d.feed(Input::AppendConflict(join));
        d.show(&Record::Join(instance(n)));
        while d.appends.is_empty() {
            d.pass_one();
        }
        gaps.push(d.now.since(before));
    }
    assert_eq!(d.count(Counter::AppendConflict), 6);
    for (gap, base) in gaps.iter().zip([20, 40, 80, 160, 320, 640]) {
        assert!(*gap <= Duration::from_millis(base), "{gaps:?}");
    }
}

/// This node takes another for dead, and is evicted by it first. Its own eviction must not stand in
/// the topic: under the key of the other's departure it would hide the one that counted.
#[test]
fn a_node_that_is_out_evicts_nobody() {
    let mut d = Driver::new();
    d.show(&Record::Join(instance(1)));
    d.show(&Record::Join(instance(2)));
    d.appended();
    d.show(&Record::Evict {
        incarnation: Incarnation(1),
        by: Incarnation(2),
    });
    d.pass(Duration::from_secs(60));
    assert_eq!(d.appended(), []);
}

/// The store is slow, and other records come first. Before the node has read them, each further try
/// comes second too; and were the read begun anew each time, it would never end.
#[test]
fn an_overtaken_append_waits_for_what_came_first() {
    let mut d = Driver::new();
    d.feed(Input::LogCaughtUp);
    let (join, _) = d.one_append();
    d.feed(Input::AppendConflict(join));
    d.pass(Duration::from_secs(60));
    assert_eq!(d.appended(), []);
    assert_eq!(d.reads, 0);
    d.show(&Record::Join(instance(2)));
    d.pass(Duration::from_secs(1));
    assert_eq!(d.one_append().1, Record::Join(instance(1)));
}
