//! Records expire. A reader that begins late must come to the same state as one that saw them all.

use bilberry_journal::Change;
use bilberry_journal::Record;
use bilberry_journal::State;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proto::Incarnation;
use proto::Instance;

const RULES: &str = "operation press POST /slots class=booking deadline=2s # asked by Anna";

/// One append, as the test chooses it.
#[derive(Debug, Clone)]
enum Step {
    Publish {
        behind: u64,
        bad: bool,
        publication: u128,
    },
    Join {
        incarnation: u64,
        port: u16,
    },
    Leave(u64),
    Evict {
        incarnation: u64,
        by: u64,
    },
    Garbage(Vec<u8>),
    /// A snapshot of the state as it was so many records before.
    Snapshot {
        late: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..2u64, any::<bool>(), 0..20u128).prop_map(|(behind, bad, publication)| {
            Step::Publish { behind, bad, publication }
        }),
        4 => (1..12u64, 1..8u16).prop_map(|(incarnation, port)| Step::Join { incarnation, port }),
        2 => (1..12u64).prop_map(Step::Leave),
        2 => (1..12u64, 1..12u64).prop_map(|(incarnation, by)| Step::Evict { incarnation, by }),
        1 => prop::collection::vec(any::<u8>(), 0..8).prop_map(Step::Garbage),
        2 => (0..6u64).prop_map(|late| Step::Snapshot { late }),
    ]
}

fn record(step: &Step, states: &[State]) -> Vec<u8> {
    let now = states.last().expect("there is the first state");
    proto::encode(&match step.clone() {
        Step::Publish {
            behind,
            bad,
            publication,
        } => Record::Publish {
            expected: now.version.saturating_sub(behind),
            publication,
            operator: "anna".into(),
            file: if bad {
                "bad".into()
            } else {
                format!("{RULES} {publication}").into()
            },
        },
        Step::Join { incarnation, port } => Record::Join(Instance {
            incarnation: Incarnation(incarnation),
            service: if incarnation % 2 == 0 {
                "press".into()
            } else {
                "order".into()
            },
            failure_domain: "milano-1".into(),
            region: "lombardia".into(),
            addr: ([127, 0, 0, 1], port).into(),
        }),
        Step::Leave(incarnation) => Record::Leave(Incarnation(incarnation)),
        Step::Evict { incarnation, by } => Record::Evict {
            incarnation: Incarnation(incarnation),
            by: Incarnation(by),
        },
        Step::Garbage(bytes) => return bytes,
        Step::Snapshot { late } => {
            let base = states.len().saturating_sub(1 + late as usize);
            Record::Snapshot(Box::new(states[base].clone()))
        }
    })
}

/// The stream, and the state before each of its records and after the last.
fn stream(steps: &[Step]) -> (Vec<Vec<u8>>, Vec<State>) {
    let mut records = Vec::new();
    let mut states = vec![State::default()];
    for (step, offset) in steps.iter().zip(0..) {
        let record = record(step, &states);
        let mut state = states[offset].clone();
        state.apply(offset as u64, &record);
        records.push(record);
        states.push(state);
    }
    (records, states)
}

/// Reads what is left of the stream from `first` on, as the shell does.
fn read(state: &mut State, records: &[Vec<u8>], first: u64) {
    state.expired_before(first);
    while let Some(record) = records.get(state.read_from() as usize) {
        state.apply(state.read_from(), record);
    }
}

/// Whether a snapshot stands in the suffix together with all records that it does not cover.
fn is_covered(records: &[Vec<u8>], first: u64) -> bool {
    let suffix = records.iter().zip(0..).skip(first as usize);
    suffix
        .into_iter()
        .any(|(record, offset)| match proto::decode(record) {
            Ok(Record::Snapshot(snapshot)) => first <= snapshot.next && snapshot.next <= offset,
            _ => false,
        })
}

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// A node is started after the first records have expired. If it came to another state than
    /// the others, it would take other rules for the ones in force, or another node for the home
    /// of a key, and an order could run twice.
    #[test]
    fn any_covered_suffix_folds_to_the_same_state(
        steps in prop::collection::vec(step(), 1..60),
        known in 0..20usize,
    ) {
        let (records, states) = stream(&steps);
        let whole = states.last().unwrap();
        for first in 0..=records.len() as u64 {
            // A new node, and one that was cut from the log for long.
            for begin in [State::default(), states[known.min(records.len())].clone()] {
                let mut state = begin.clone();
                read(&mut state, &records, first);
                if begin.next >= first || is_covered(&records, first) {
                    prop_assert_eq!(&state, whole);
                } else {
                    prop_assert!(state.is_scanning());
                    prop_assert_eq!(state.version, begin.version);
                }
            }
        }
    }

    /// A stale copy reaches a node, from a peer or as a late snapshot. Taking it would bring back
    /// rules that were replaced.
    #[test]
    fn no_copy_takes_anything_back(
        steps in prop::collection::vec(step(), 1..60),
        forged in prop::collection::vec(step(), 1..60),
        next in 0..200u64,
    ) {
        let (_, mut states) = stream(&steps);
        let (_, mut others) = stream(&forged);
        let mut state = states.pop().unwrap();
        let before = state.clone();
        let mut copy = others.pop().unwrap();
        copy.next = copy.next.max(next);
        let change = state.adopt(copy);
        if change != Change::Restored {
            prop_assert_eq!(&state, &before);
        }
        prop_assert!(state.version >= before.version);
        for (service, view) in &before.views {
            prop_assert!(state.view(service).unwrap().number >= view.number);
        }
    }
}
