//! Applying records one by one: conflicts, membership and skipped records.

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

/// Folds the records, and checks the members of all views by incarnation.
fn check(records: &[Record], members: &[u64]) -> State {
    let state = fold(records);
    let listed: Vec<u64> = state
        .instances()
        .map(|instance| instance.incarnation.0)
        .collect();
    assert_eq!(listed, members);
    state
}

/// A release with a different rules parser publishes a file that this one cannot parse. The
/// previous rules must stay in force; without any rules, a node would refuse every call.
#[test]
fn an_invalid_rules_file_leaves_the_previous_rules_in_force() {
    let bad = Record::Publish {
        version: 2,
        publication: 2,
        operator: "ugo".into(),
        file: "operation press".into(),
    };
    let state = check(&[publish(1, 1), bad], &[]);
    assert_eq!((state.rules_version, &*state.file), (1, RULES));
    assert_eq!((state.publication, &*state.operator), (1, "anna"));
}

/// An old publication is read again after a newer one. It must not put replaced rules back in
/// force.
#[test]
fn a_version_only_increases() {
    let state = check(&[publish(2, 5), publish(1, 4), publish(2, 6)], &[]);
    assert_eq!((state.rules_version, state.publication), (2, 5));
}

/// Records are truncated, followed by trailing bytes, too large or foreign. A reader that stopped
/// there or interpreted them differently would have other rules in force than the other readers.
#[test]
fn invalid_records_are_skipped() {
    let valid = proto::encode(&publish(1, 1));
    let trailing = [&valid[..], b"x"].concat();
    let mut long_name = instance(1, "press", 7001);
    long_name.region = "x".repeat(MAX_NAME_LEN + 1).into();
    let invalid = [
        valid[..valid.len() - 1].to_vec(),
        trailing,
        vec![0xff; 64],
        vec![0; MAX_RECORD_LEN + 1],
        proto::encode(&Record::Join(long_name)),
    ];
    let mut state = State::default();
    for (record, offset) in invalid.iter().zip(0..) {
        assert_eq!(state.apply(offset, record), Change::Invalid, "{offset}");
        assert_eq!(state.next_offset, offset + 1);
    }
    assert_eq!(state.apply(state.next_offset, &valid), Change::Rules);
}

/// A node stops while its `Join` is in flight, and the `Leave` overtakes it. Accepting the late
/// `Join` would list a process that has ended.
#[test]
fn a_departed_incarnation_never_joins_again() {
    check(&[Record::Leave(Incarnation(1)), join(1)], &[]);
    check(&[join(1), Record::Leave(Incarnation(1)), join(1)], &[]);
    check(&[join(1), join(2), evict(1, 2), join(1)], &[2]);
}

/// A network partition splits a service, and both sides consider each other dead. If both evictions
/// were applied, no member would be left.
#[test]
fn one_of_two_members_that_evict_each_other_stays() {
    check(&[join(1), join(2), evict(2, 1), evict(1, 2)], &[1]);
    check(&[join(1), evict(1, 1), evict(1, 9)], &[1]);
}

/// A node is killed, and a node of another service starts at its address. Calls still routed to the
/// old node would reach the wrong backend server.
#[test]
fn a_joining_instance_evicts_the_member_at_its_address() {
    let joining = Record::Join(instance(2, "order", 7001));
    let state = check(&[join(1), joining], &[2]);
    assert_eq!(state.view("press").unwrap().number, 1);
    check(&[join(1), Record::Join(instance(2, "press", 7001))], &[2]);
}
