//! The fold, record by record: who wins, who is in, and what is passed over.

use bilberry_journal::Change;
use bilberry_journal::Record;
use bilberry_journal::Rejection;
use bilberry_journal::State;
use bilberry_journal::MAX_NAME;
use bilberry_journal::MAX_RECORD;
use proto::Incarnation;
use proto::Instance;

const RULES: &str = "operation press POST /slots class=booking deadline=2s # asked by Anna";

fn publish(expected: u64, publication: u128) -> Record {
    Record::Publish {
        expected,
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

fn verdicts(state: &State) -> Vec<(u128, Result<u64, Rejection>)> {
    let verdicts = state.verdicts.iter();
    verdicts
        .map(|(id, verdict)| (*id, verdict.result))
        .collect()
}

/// Two operators publish at the same moment on top of the same version. Were both accepted, one
/// file would replace the other unseen; one of them has to be told.
#[test]
fn one_of_two_racing_operators_wins() {
    let state = check(&[publish(0, 1), publish(0, 2), publish(1, 3)], &[]);
    let expected = [(1, Ok(1)), (2, Err(Rejection::Overtaken(1))), (3, Ok(2))];
    assert_eq!(verdicts(&state), expected);
    assert_eq!(state.winner(2).unwrap().offset, 2);
}

/// The answer to a publication is lost and the operator's tool sends the record again. It must
/// not count twice, or the operator would be told of a rejection by their own publication.
#[test]
fn a_publication_counts_once() {
    let state = check(&[publish(0, 1), publish(0, 1)], &[]);
    assert_eq!(verdicts(&state), [(1, Ok(1))]);
}

#[test]
fn a_bad_file_changes_nothing_in_force() {
    let bad = Record::Publish {
        expected: 1,
        publication: 2,
        operator: "ugo".into(),
        file: "operation press".into(),
    };
    let state = check(&[publish(0, 1), bad], &[]);
    assert_eq!(verdicts(&state)[1], (2, Err(Rejection::BadFile)));
    assert_eq!((state.version, &*state.file), (1, RULES));
}

/// Records are cut short, written twice, too large or not ours at all. A reader that stopped there,
/// or that read them in its own way, would have other rules in force than the rest.
#[test]
fn what_cannot_be_read_is_passed_over() {
    let whole = proto::encode(&publish(0, 1));
    let trailing = [&whole[..], b"x"].concat();
    let mut long_name = instance(1, "press", 7001);
    long_name.region = "x".repeat(MAX_NAME + 1).into();
    let broken = [
        Vec::new(),
        whole[..whole.len() - 1].to_vec(),
        trailing,
        vec![0xff; 64],
        vec![0; MAX_RECORD + 1],
        proto::encode(&Record::Join(long_name)),
    ];
    let mut state = State::default();
    for (record, offset) in broken.iter().zip(0..) {
        assert_eq!(state.apply(offset, record), Change::Broken, "{offset}");
        assert_eq!(state.next, offset + 1);
    }
    assert_eq!(state.apply(state.next, &whole), Change::Rules);
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
