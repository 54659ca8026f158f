//! A node catches up from the latest record of each key after older records have expired.

use crate::driver::instance;
use crate::driver::Driver;
use bilberry_engine::Counter;
use bilberry_engine::Input;
use bytes::Bytes;
use journal::Record;
use proto::Incarnation;

/// The values of these records in order, with offsets that start at `from`.
fn values(records: &[Record], from: u64) -> Vec<(u64, Bytes)> {
    let entries = records.iter().flat_map(Record::entries);
    let values = entries.map(|(_, value)| value);
    (from..).zip(values).collect()
}

fn apply_snapshot(driver: &mut Driver, values: Vec<(u64, Bytes)>, end: u64) {
    driver.offset = end;
    driver.feed(Input::TopicSnapshot { values, end });
    driver.feed(Input::LogCaughtUp);
}

fn evict(n: u16, by: u16) -> Record {
    Record::Evict {
        incarnation: instance(n).incarnation,
        by: instance(by).incarnation,
    }
}

/// A node starts long after the others, when the store holds only the latest record of each key. It
/// must learn all members and every view that led to them, since otherwise it could not tell which
/// views have ended.
#[test]
fn a_node_started_after_retention_knows_all_members() {
    let mut driver = Driver::new();
    let old = [2, 3, 4].map(|n| Record::Join(instance(n)));
    apply_snapshot(&mut driver, values(&old, 100), 120);
    assert_eq!(driver.engine.next_offset(), 120);
    assert_eq!(driver.engine.journal().instances().count(), 3);
    assert_eq!(driver.count(Counter::ViewApplied), 3);
    assert_eq!(driver.take_one_append().1, Record::Join(instance(1)));
}

/// Records that arrive while the pages are read may or may not be on a page. They are read again in
/// order. If they were applied at once, a departure could precede the view that it ends.
#[test]
fn records_that_arrive_during_a_snapshot_are_read_later() {
    let mut driver = Driver::new();
    let records = [Record::Join(instance(2)), Record::Join(instance(3))];
    let mut values = values(&records, 7);
    values.reverse();
    driver.feed(Input::TopicSnapshot { values, end: 8 });
    assert_eq!(driver.engine.journal().instances().count(), 1);
    assert_eq!(driver.engine.next_offset(), 8);
}

/// A listed node was cut off from the store until its records had expired. It continues through the
/// views that it missed. If it exited instead, its idempotency records would be lost.
#[test]
fn a_listed_node_continues_after_a_gap() {
    let mut driver = Driver::new();
    for n in 1..=3 {
        driver.read_record(&Record::Join(instance(n)));
    }
    let missed = [Record::Join(instance(4)), evict(2, 3)];
    apply_snapshot(&mut driver, values(&missed, 50), 60);
    assert_eq!(driver.count(Counter::Expelled), 0);
    let members: Vec<Incarnation> = driver
        .engine
        .journal()
        .instances()
        .map(|i| i.incarnation)
        .collect();
    assert_eq!(members, [1, 3, 4].map(|n| instance(n).incarnation));
}

/// The same, but departures were forgotten meanwhile. It is no longer known whether this node was
/// taken for dead and its slots were reassigned, so it must exit, or an order could run twice.
#[test]
fn a_node_that_missed_forgotten_departures_exits() {
    let mut driver = Driver::new();
    for n in 1..=3 {
        driver.read_record(&Record::Join(instance(n)));
    }
    let forget = Record::Forget {
        incarnation: instance(2).incarnation,
        departed: 40,
    };
    let records = [1, 3].map(|n| Record::Join(instance(n)));
    let mut snapshot = values(&records, 0);
    snapshot.push((50, proto::encode(&forget).into()));
    apply_snapshot(&mut driver, snapshot, 60);
    assert_eq!(driver.count(Counter::Expelled), 1);
    assert!(!driver.engine.journal().is_listed(instance(2).incarnation));
}

/// Nodes come and go for months. Exactly one of them must remove the oldest departures. If none
/// did, the topic would grow with every start; if all did, hundreds of nodes would fill it with the
/// same records.
#[test]
fn only_the_oldest_member_removes_the_oldest_departure() {
    for (me, removes) in [(1, true), (2, false)] {
        let mut driver = Driver::with_config(me, bilberry_engine::Config::default());
        driver.read_record(&Record::Join(instance(1)));
        driver.read_record(&Record::Join(instance(2)));
        let departures = 0..=journal::MAX_DEPARTED as u64;
        let leaves: Vec<Record> = departures
            .map(|n| Record::Leave(Incarnation(1000 + n)))
            .collect();
        driver.offset += leaves.len() as u64;
        driver.feed(Input::Records(values(&leaves, 2)));
        driver.feed(Input::LogCaughtUp);
        let forget = Record::Forget {
            incarnation: Incarnation(1000),
            departed: 2,
        };
        let appended: Vec<Record> = driver
            .take_appends()
            .into_iter()
            .map(|(_, record)| record)
            .collect();
        assert_eq!(appended.contains(&forget), removes);
    }
}
