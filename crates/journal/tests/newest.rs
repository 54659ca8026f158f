//! Records expire, all but the newest of each key. A reader that begins with those must come to the
//! same state as one that saw them all.

use bilberry_journal::Change;
use bilberry_journal::Record;
use bilberry_journal::State;
use bilberry_journal::TopicEntry;
use bilberry_journal::MAX_DEPARTED;
use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proto::Incarnation;
use proto::Instance;
use std::collections::BTreeMap;
use std::sync::Arc;

const RULES: &str = "operation press POST /slots class=booking deadline=2s # asked by Anna";

/// What a writer wants to say, as the test chooses it.
#[derive(Debug, Clone)]
enum Step {
    Publish,
    Join { incarnation: u64, port: u16 },
    Leave(u64),
    Evict { incarnation: u64, by: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Publish),
        4 => (1..30u64, 1..8u16).prop_map(|(incarnation, port)| Step::Join { incarnation, port }),
        2 => (1..30u64).prop_map(Step::Leave),
        3 => (1..30u64, 1..30u64).prop_map(|(incarnation, by)| Step::Evict { incarnation, by }),
    ]
}

fn instance(incarnation: u64, port: u16) -> Instance {
    Instance {
        incarnation: Incarnation(incarnation),
        service: ["press", "order"][incarnation as usize % 2].into(),
        failure_domain: "milano-1".into(),
        region: "lombardia".into(),
        addr: ([127, 0, 0, 1], port).into(),
    }
}

/// The record of a writer that has read everything, if it has something to say.
fn record(step: &Step, state: &State) -> Option<Record> {
    let listed = |incarnation| state.is_listed(Incarnation(incarnation));
    let gone = |incarnation| state.departed.contains_key(&Incarnation(incarnation));
    match *step {
        Step::Publish => Some(Record::Publish {
            version: state.version + 1,
            publication: u128::from(state.version) + 100,
            operator: "anna".into(),
            file: format!("{RULES} {}", state.version).into(),
        }),
        Step::Join { incarnation, port } => {
            let new = !listed(incarnation) && !gone(incarnation);
            new.then(|| Record::Join(instance(incarnation, port)))
        }
        Step::Leave(incarnation) => {
            (!gone(incarnation)).then_some(Record::Leave(Incarnation(incarnation)))
        }
        Step::Evict { incarnation, by } => {
            let may = by != incarnation && listed(by) && listed(incarnation);
            may.then_some(Record::Evict {
                incarnation: Incarnation(incarnation),
                by: Incarnation(by),
            })
        }
    }
}

/// A topic, and the state of a reader that saw all of it.
#[derive(Debug, Clone, Default)]
struct Topic {
    values: Vec<Bytes>,
    newest: BTreeMap<Arc<str>, (u64, Bytes)>,
    state: State,
    /// The state before each record.
    states: Vec<State>,
}

impl Topic {
    fn of(steps: &[Step]) -> Self {
        let mut topic = Self::default();
        for step in steps {
            if let Some(record) = record(step, &topic.state) {
                topic.append(&record);
            }
        }
        topic
    }

    fn append(&mut self, record: &Record) {
        for (key, value) in record.entries() {
            self.push((key, value));
        }
    }

    fn push(&mut self, (key, value): TopicEntry) {
        let offset = self.values.len() as u64;
        self.states.push(self.state.clone());
        self.state.apply(offset, &value);
        self.values.push(value.clone());
        match value.is_empty() {
            true => drop(self.newest.remove(&key)),
            false => drop(self.newest.insert(key, (offset, value))),
        }
    }

    fn late_reader(&self) -> State {
        let mut values: Vec<_> = self.newest.values().cloned().collect();
        values.sort_by_key(|(offset, _)| *offset);
        State::from_newest(&values, self.values.len() as u64)
    }
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
    fn the_newest_records_fold_to_the_same_state(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let topic = Topic::of(&steps);
        prop_assert_eq!(&topic.late_reader(), &topic.state);
        prop_assert!(topic.late_reader().is_complete_since(0));
    }

    /// Old departures are dropped from the topic. A reader that begins later does not know them, and
    /// must come to the same members all the same, and know that there were others.
    #[test]
    fn forgotten_departures_make_no_difference_to_members(
        steps in prop::collection::vec(step(), 1..80),
        forgotten in 1..10usize,
    ) {
        let mut topic = Topic::of(&steps);
        for _ in 0..forgotten {
            let Some((incarnation, departed)) = topic.state.departed.first() else {
                break;
            };
            topic.append(&Record::Forget { incarnation: *incarnation, departed: *departed });
        }
        let late = topic.late_reader();
        prop_assert_eq!(late.last_forgotten, topic.state.last_forgotten);
        prop_assert_eq!(&late.departed, &topic.state.departed);
        prop_assert_eq!(late.version, topic.state.version);
        for (service, view) in &topic.state.views {
            let members = late.view(service).map(|view| view.members.clone());
            prop_assert_eq!(members.unwrap_or_default(), view.members.clone());
        }
        prop_assert_eq!(late.is_complete_since(0), late.last_forgotten.is_none());
    }

    /// A stale copy reaches a node from a peer. Taking it would bring back rules that were replaced.
    #[test]
    fn no_copy_takes_anything_back(
        steps in prop::collection::vec(step(), 1..60),
        forged in prop::collection::vec(step(), 1..60),
        next in 0..200u64,
    ) {
        let mut state = Topic::of(&steps).state;
        let before = state.clone();
        let mut copy = Topic::of(&forged).state;
        copy.next_offset = copy.next_offset.max(next);
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

/// Each start of a node leaves records behind. Without a bound the topic would grow for ever, and
/// each start would read all of it.
#[test]
fn too_many_departures_are_forgotten_oldest_first() {
    let mut topic = Topic::default();
    for incarnation in 1..=MAX_DEPARTED as u64 {
        topic.append(&Record::Leave(Incarnation(incarnation)));
    }
    assert_eq!(topic.state.next_forget_record(), None);
    topic.append(&Record::Leave(Incarnation(9999)));
    let forget = Record::Forget {
        incarnation: Incarnation(1),
        departed: 0,
    };
    assert_eq!(topic.state.next_forget_record(), Some(forget.clone()));
    topic.append(&forget);
    assert_eq!(topic.state.next_forget_record(), None);
    assert_eq!(topic.late_reader(), topic.state);
}

/// A node was away from the store while departures came and were forgotten. Going on from where it
/// was, it would name a node as a member for ever that everybody else saw depart.
#[test]
fn a_reader_notices_that_it_missed_departures() {
    let mut topic = Topic::default();
    topic.append(&Record::Join(instance(2, 1)));
    let away_since = topic.state.next_offset;
    topic.append(&Record::Leave(Incarnation(2)));
    let forget = Record::Forget {
        incarnation: Incarnation(2),
        departed: away_since,
    };
    topic.append(&forget);
    let late = topic.late_reader();
    assert!(!late.is_complete_since(away_since));
    assert!(late.is_complete_since(away_since + 1));
}
