//! The fold, record by record: who wins, who is in, and what is passed over.

use bilberry_journal::Change;
use bilberry_journal::Record;
use bilberry_journal::State;
use bilberry_journal::MAX_NAME_LEN;
use bilberry_journal::MAX_RECORD_LEN;
use proto::Incarnation;
use proto::Instance;

const RULES: &str = "operation press POST /slots class=booking deadline=2s # asked by Anna";

fn publish(version: u64, publication: u128) -> Record {
    Record::Publish {
        version,
        publication,
        operator: "anna".into(),
        file: RULES.into(),
    }
}

fn instance(incarnation: u64, service: &str, port: u16) -> Instance {
    Instance {
        incarnation: Incarnation(incarnation),
        service: service.into(),
        failure_domain: "milano-1".into(),
        region: "lombardia".into(),
        addr: ([127, 0, 0, 1], port).into(),
    }
}

fn join(incarnation: u64) -> Record {
    Record::Join(instance(incarnation, "press", 7000 + incarnation as u16))
}

fn evict(incarnation: u64, by: u64) -> Record {
    Record::Evict {
        incarnation: Incarnation(incarnation),
        by: Incarnation(by),
    }
}

fn fold(records: &[Record]) -> State {
    let mut state = State::default();
    for (record, offset) in records.iter().zip(0..) {
        state.apply(offset, &proto::encode(record));
    }
    state
}

/// Folds the records; says who is in the views, by incarnation.
fn check(records: &[Record], members: &[u64]) -> State {
    let state = fold(records);
    let listed: Vec<u64> = state.instances().map(|i| i.incarnation.0).collect();
    assert_eq!(listed, members);
    state
}

/// A release that reads rules in another way puts a file in the store that this one cannot read. The
/// rules that were in force stay; without any, a node would refuse every call.
#[test]
fn a_bad_file_changes_nothing_in_force() {
    let bad = Record::Publish {
        version: 2,
        publication: 2,
        operator: "ugo".into(),
        file: "operation press".into(),
    };
    let state = check(&[publish(1, 1), bad], &[]);
    assert_eq!((state.version, &*state.file), (1, RULES));
    assert_eq!((state.publication, &*state.operator), (1, "anna"));
}

/// An old publication is read again after a newer one. Were it put in force, rules that were
/// replaced would come back.
#[test]
fn a_version_only_rises() {
    let state = check(&[publish(2, 5), publish(1, 4), publish(2, 6)], &[]);
    assert_eq!((state.version, state.publication), (2, 5));
}

/// Records are cut short, written twice, too large or not ours at all. A reader that stopped there,
/// or that read them in its own way, would have other rules in force than the rest.
#[test]
fn what_cannot_be_read_is_passed_over() {
    let whole = proto::encode(&publish(1, 1));
    let trailing = [&whole[..], b"x"].concat();
    let mut long_name = instance(1, "press", 7001);
    long_name.region = "x".repeat(MAX_NAME_LEN + 1).into();
    let broken = [
        whole[..whole.len() - 1].to_vec(),
        trailing,
        vec![0xff; 64],
        vec![0; MAX_RECORD_LEN + 1],
        proto::encode(&Record::Join(long_name)),
    ];
    let mut state = State::default();
    for (record, offset) in broken.iter().zip(0..) {
        assert_eq!(state.apply(offset, record), Change::Invalid, "{offset}");
        assert_eq!(state.next_offset, offset + 1);
    }
    assert_eq!(state.apply(state.next_offset, &whole), Change::Rules);
}

/// A node is stopped while its `Join` is on its way, and the `Leave` overtakes it. Taking the late
/// `Join` would list a process that has ended.
#[test]
fn a_departed_incarnation_never_comes_back() {
    check(&[Record::Leave(Incarnation(1)), join(1)], &[]);
    check(&[join(1), Record::Leave(Incarnation(1)), join(1)], &[]);
    check(&[join(1), join(2), evict(1, 2), join(1)], &[2]);
}

/// The network splits a service and both halves take each other for dead. If both evictions
/// counted, nobody would be left.
#[test]
fn of_two_that_evict_each_other_one_stays() {
    check(&[join(1), join(2), evict(2, 1), evict(1, 2)], &[1]);
    check(&[join(1), evict(1, 1), evict(1, 9)], &[1]);
}

/// A node is killed and another one starts at its address, for another service. Whoever still
/// routed to the old one would reach the wrong backend server.
#[test]
fn a_newcomer_takes_the_place_at_its_address() {
    let newcomer = Record::Join(instance(2, "order", 7001));
    let state = check(&[join(1), newcomer], &[2]);
    assert_eq!(state.view("press").unwrap().number, 1);
    check(&[join(1), Record::Join(instance(2, "press", 7001))], &[2]);
}
