//! A node whose records have expired goes on by the newest of each key.

use crate::driver::instance;
use crate::driver::Driver;
use bilberry_engine::Counter;
use bilberry_engine::Input;
use bytes::Bytes;
use journal::Record;
use proto::Incarnation;

/// Values in the order of these records, from an offset on.
fn values(records: &[Record], from: u64) -> Vec<(u64, Bytes)> {
    let entries = records.iter().flat_map(Record::entries);
    let values = entries.map(|(_, value)| value);
    (from..).zip(values).collect()
}

fn newest(d: &mut Driver, values: Vec<(u64, Bytes)>, end: u64) {
    d.offset = end;
    d.feed(Input::TopicSnapshot { values, end });
    d.feed(Input::LogCaughtUp);
}

fn evict(n: u16, by: u16) -> Record {
    Record::Evict {
        incarnation: instance(n).incarnation,
        by: instance(by).incarnation,
    }
}

/// A node starts long after the others, and the store has only the newest record of each key. It has
/// to know all members and every view that led to them, or it could not tell which of them are over.
#[test]
fn a_start_after_retention_knows_all_members() {
    let mut d = Driver::new();
    let old = [2, 3, 4].map(|n| Record::Join(instance(n)));
    newest(&mut d, values(&old, 100), 120);
    assert_eq!(d.engine.next_offset(), 120);
    assert_eq!(d.engine.journal().instances().count(), 3);
    assert_eq!(d.count(Counter::ViewApplied), 3);
    assert_eq!(d.one_append().1, Record::Join(instance(1)));
}

/// What comes while the pages are read stands on a page or not. It is read again in its order; taken
/// at once, a departure could come before the view that it ends.
#[test]
fn what_comes_while_pages_are_read_waits() {
    let mut d = Driver::new();
    let records = [Record::Join(instance(2)), Record::Join(instance(3))];
    let mut values = values(&records, 7);
    values.reverse();
    d.feed(Input::TopicSnapshot { values, end: 8 });
    assert_eq!(d.engine.journal().instances().count(), 1);
    assert_eq!(d.engine.next_offset(), 8);
}

/// A listed node was cut from the store until its records had expired. It goes on through the views
/// that it missed; were it to end, its records of orders would be lost with it.
#[test]
fn a_listed_node_goes_on_after_a_gap() {
    let mut d = Driver::new();
    for n in 1..=3 {
        d.show(&Record::Join(instance(n)));
    }
    let missed = [Record::Join(instance(4)), evict(2, 3)];
    newest(&mut d, values(&missed, 50), 60);
    assert_eq!(d.count(Counter::Expelled), 0);
    let left: Vec<Incarnation> = d
        .engine
        .journal()
        .instances()
        .map(|i| i.incarnation)
        .collect();
    assert_eq!(left, [1, 3, 4].map(|n| instance(n).incarnation));
}

/// The same, but departures were forgotten meanwhile. Whether this node was taken for dead and its
/// keys given to others cannot be told any more: it must end, or an order could run twice.
#[test]
fn a_node_that_missed_forgotten_departures_ends() {
    let mut d = Driver::new();
    for n in 1..=3 {
        d.show(&Record::Join(instance(n)));
    }
    let forget = Record::Forget {
        incarnation: instance(2).incarnation,
        departed: 40,
    };
    let records = [1, 3].map(|n| Record::Join(instance(n)));
    let mut kept = values(&records, 0);
    kept.push((50, proto::encode(&forget).into()));
    newest(&mut d, kept, 60);
    assert_eq!(d.count(Counter::Expelled), 1);
    assert!(!d.engine.journal().is_listed(instance(2).incarnation));
}

/// Nodes come and go for months. One of them, and only one, drops what is said of the oldest; else
/// the topic would grow with every start, or be filled by hundreds of nodes dropping the same.
#[test]
fn the_oldest_member_drops_the_oldest_departure() {
    for (me, asks) in [(1, true), (2, false)] {
        let mut d = Driver::with_config(me, bilberry_engine::Config::default());
        d.show(&Record::Join(instance(1)));
        d.show(&Record::Join(instance(2)));
        let gone = 0..=journal::MAX_DEPARTED as u64;
        let left: Vec<Record> = gone.map(|n| Record::Leave(Incarnation(1000 + n))).collect();
        d.offset += left.len() as u64;
        d.feed(Input::Records(values(&left, 2)));
        d.feed(Input::LogCaughtUp);
        let forget = Record::Forget {
            incarnation: Incarnation(1000),
            departed: 2,
        };
        let appended: Vec<Record> = d.appended().into_iter().map(|(_, record)| record).collect();
        assert_eq!(appended.contains(&forget), asks);
    }
}
