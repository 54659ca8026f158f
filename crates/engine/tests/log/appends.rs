//! Appends, in particular joins and leaves, reach the log despite lost answers and outages.

use crate::driver::instance;
use crate::driver::Driver;
use bilberry_engine::Config;
use bilberry_engine::Counter;
use bilberry_engine::Input;
use journal::Record;
use proto::Incarnation;
use std::time::Duration;

/// A node is stopped just after its start, before its `Join` has been answered. Without a `Leave`,
/// the views of its service would go on listing it, and callers would wait for its share of the
/// keys until it is evicted.
#[test]
fn leave_follows_a_join_in_flight() {
    let mut driver = Driver::new();
    driver.feed(Input::LogCaughtUp);
    let (join, record) = driver.take_one_append();
    assert_eq!(record, Record::Join(instance(1)));

    driver.feed(Input::Stop);
    assert!(!driver.stopped);
    driver.feed(Input::AppendLost(join));
    let (leave, record) = driver.take_one_append();
    assert_eq!(record, Record::Leave(Incarnation(1)));
    assert!(!driver.stopped);
    driver.feed(Input::Appended(leave));
    assert!(driver.stopped);
}

/// A node is stopped during an outage of the log. If the stop waited for the log to return, the
/// operator would see a process that never exits, and kill it.
#[test]
fn a_stop_in_an_outage_ends() {
    let mut driver = Driver::new();
    driver.read_record(&Record::Join(instance(1)));
    driver.feed(Input::Stop);
    let end = driver.now + Config::default().leave_timeout;
    while driver.now < end {
        assert!(!driver.stopped);
        for (number, record) in driver.take_appends() {
            assert_eq!(record, Record::Leave(Incarnation(1)));
            driver.feed(Input::AppendLost(number));
        }
        driver.advance(Duration::from_millis(500));
    }
    assert!(driver.stopped);
    assert_eq!(driver.count(Counter::LeaveNotAppended), 1);
    assert_eq!(
        driver.engine.next_timer().filter(|due| *due <= driver.now),
        None
    );
}

/// A node was paused for so long that the others evicted it. When it resumes it is in no view, and
/// its incarnation can never join again, so the process must exit and be restarted.
#[test]
fn an_evicted_node_stops() {
    let mut driver = Driver::new();
    driver.read_record(&Record::Join(instance(1)));
    driver.read_record(&Record::Join(instance(2)));
    driver.read_record(&Record::Evict {
        incarnation: Incarnation(1),
        by: Incarnation(2),
    });
    driver.advance(Duration::from_secs(60));
    assert!(driver.stopped);
    assert_eq!(driver.count(Counter::Expelled), 1);
    assert_eq!(driver.take_appends(), []);
}

/// The answer to an append is lost, but the record is in the topic. Appending it again would waste
/// the budget of store calls.
#[test]
fn a_lost_answer_is_resolved_by_reading_the_topic() {
    let mut driver = Driver::new();
    driver.feed(Input::LogCaughtUp);
    let (number, record) = driver.take_one_append();
    driver.feed(Input::AppendLost(number));
    driver.read_record(&record);
    driver.advance(Duration::from_secs(120));
    assert_eq!(driver.take_appends(), []);
}

/// All nodes lose the log at the same time. If each retried at a fixed interval, they would all hit
/// the log when it returns and take it down again.
#[test]
fn lost_appends_are_retried_with_exponential_backoff() {
    let mut driver = Driver::new();
    driver.feed(Input::LogCaughtUp);
    let mut gaps = Vec::new();
    for _ in 0..8 {
        let (number, _) = driver.take_one_append();
        driver.feed(Input::AppendLost(number));
        let lost = driver.now;
        while driver.appends.is_empty() {
            driver.advance_to_next_timer();
        }
        gaps.push(driver.now.since(lost));
    }
    for (gap, base) in gaps.iter().zip([1, 2, 4, 8, 16, 30, 30, 30]) {
        let base = Duration::from_secs(base);
        assert!(base / 2 <= *gap && *gap <= base, "{gaps:?}");
    }
    assert_eq!(driver.count(Counter::AppendLost), 8);
}

/// Many nodes start at the same time, and an append succeeds only at the end of the topic. The
/// losers must retry at different times, or the same ones would lose each time.
#[test]
fn a_conflicting_append_is_built_again() {
    let mut driver = Driver::new();
    driver.feed(Input::LogCaughtUp);
    let mut gaps = Vec::new();
    for n in 2..8 {
        let (join, record) = driver.take_one_append();
        assert_eq!(record, Record::Join(instance(1)));
        let before = driver.now;
        driver.feed(Input::AppendConflict(join));
        driver.read_record(&Record::Join(instance(n)));
        while driver.appends.is_empty() {
            driver.advance_to_next_timer();
        }
        gaps.push(driver.now.since(before));
    }
    assert_eq!(driver.count(Counter::AppendConflict), 6);
    for (gap, base) in gaps.iter().zip([20, 40, 80, 160, 320, 640]) {
        assert!(*gap <= Duration::from_millis(base), "{gaps:?}");
    }
}

/// This node considers another one dead but is evicted by it first. Its own eviction record must
/// not be appended: it has the key of the other node's departure and would replace the record that
/// took effect in the compacted topic.
#[test]
fn an_evicted_node_evicts_nobody() {
    let mut driver = Driver::new();
    driver.read_record(&Record::Join(instance(1)));
    driver.read_record(&Record::Join(instance(2)));
    driver.take_appends();
    driver.read_record(&Record::Evict {
        incarnation: Incarnation(1),
        by: Incarnation(2),
    });
    driver.advance(Duration::from_secs(60));
    assert_eq!(driver.take_appends(), []);
}

/// The store is slow, and records of other nodes come first. Until this node has read them, each
/// further attempt would conflict as well, and if each one restarted the read, it would never
/// finish.
#[test]
fn a_conflicting_append_waits_for_the_record_that_won() {
    let mut driver = Driver::new();
    driver.feed(Input::LogCaughtUp);
    let (join, _) = driver.take_one_append();
    driver.feed(Input::AppendConflict(join));
    driver.advance(Duration::from_secs(60));
    assert_eq!(driver.take_appends(), []);
    assert_eq!(driver.read_requests, 0);
    driver.read_record(&Record::Join(instance(2)));
    driver.advance(Duration::from_secs(1));
    assert_eq!(driver.take_one_append().1, Record::Join(instance(1)));
}
