//! The records of keys, by slot, with their bytes and their ends counted.

use indexmap::IndexMap;
use proto::Fingerprint;
use proto::Incarnation;
use proto::KeyHash;
use proto::KeyRecord;
use proto::RecordState;
use proto::Response;
use proto::SLOT_COUNT;
use std::collections::BTreeSet;
use std::time::Duration;
use stdx::Time;

/// Bytes that a record takes up beside its response, roughly: key, fingerprint, state, its place in
/// the maps and in the order of ends.
pub(crate) const RECORD_BYTES: usize = 192;

/// What is remembered of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Record {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) state: State,
    /// When the record may be forgotten; for a run elsewhere, when its end counts as unknown.
    pub(crate) ends: Option<Time>,
}

/// How far the run of a key is. It only ever moves down this list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum State {
    /// It waits here for its start. Such a record never moves: its run can still be refused.
    Queued,
    /// It is under way here.
    Running,
    /// It is under way at an earlier home.
    RunningAt(Incarnation),
    /// It may have run.
    Unknown,
    /// It ended with this response.
    Done(Response),
}

impl State {
    /// As in messages; a queued run is no record yet.
    fn to_message(&self, me: Incarnation) -> Option<RecordState> {
        match self {
            State::Queued => None,
            State::Running => Some(RecordState::Running(me)),
            State::RunningAt(at) => Some(RecordState::Running(*at)),
            State::Unknown => Some(RecordState::Unknown),
            State::Done(response) => Some(RecordState::Done(response.clone())),
        }
    }
}

/// The table of records.
#[derive(Debug)]
pub(crate) struct Records {
    slots: Vec<IndexMap<KeyHash, Record>>,
    ends: BTreeSet<(Time, KeyHash)>,
    /// Kept free for the response of each run here.
    reserve: usize,
    bytes: usize,
}

impl Records {
    /// An empty table that keeps `reserve` bytes free for the response of each run here.
    pub(crate) fn new(reserve: usize) -> Self {
        Self {
            slots: vec![IndexMap::new(); usize::from(SLOT_COUNT)],
            ends: BTreeSet::new(),
            reserve,
            bytes: 0,
        }
    }

    fn size(&self, record: &Record) -> usize {
        RECORD_BYTES
            + match &record.state {
                State::Queued | State::Running => self.reserve,
                State::RunningAt(_) | State::Unknown => 0,
                State::Done(response) => response.size(),
            }
    }

    /// The record of a key.
    pub(crate) fn get(&self, key: KeyHash) -> Option<&Record> {
        self.slots[usize::from(key.slot())].get(&key)
    }

    /// Puts a record in place of whatever was there.
    pub(crate) fn put(&mut self, key: KeyHash, record: Record) {
        self.remove(key);
        self.bytes += self.size(&record);
        if let Some(ends) = record.ends {
            self.ends.insert((ends, key));
        }
        self.slots[usize::from(key.slot())].insert(key, record);
    }

    /// Takes a record out.
    pub(crate) fn remove(&mut self, key: KeyHash) -> Option<Record> {
        let record = self.slots[usize::from(key.slot())].swap_remove(&key)?;
        self.bytes -= self.size(&record);
        if let Some(ends) = record.ends {
            self.ends.remove(&(ends, key));
        }
        Some(record)
    }

    /// Takes all records of a slot out.
    pub(crate) fn take_slot(&mut self, slot: u16) -> Vec<(KeyHash, Record)> {
        let keys: Vec<KeyHash> = self.slots[usize::from(slot)].keys().copied().collect();
        keys.into_iter()
            .filter_map(|key| Some((key, self.remove(key)?)))
            .collect()
    }

    /// The records of a slot.
    pub(crate) fn of_slot(&self, slot: u16) -> impl Iterator<Item = (&KeyHash, &Record)> {
        self.slots[usize::from(slot)].iter()
    }

    /// Keys of a slot whose runs wait here for their start.
    pub(crate) fn queued(&self, slot: u16) -> Vec<KeyHash> {
        self.of_slot(slot)
            .filter(|(_, record)| record.state == State::Queued)
            .map(|(key, _)| *key)
            .collect()
    }

    /// A key whose record's end has come.
    pub(crate) fn ended(&self, now: Time) -> Option<KeyHash> {
        let (ends, key) = self.ends.first()?;
        (*ends <= now).then_some(*key)
    }

    /// The next end.
    pub(crate) fn next_end(&self) -> Option<Time> {
        self.ends.first().map(|(ends, _)| *ends)
    }

    /// Bytes in use.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// How many records there are.
    pub(crate) fn len(&self) -> usize {
        self.slots.iter().map(IndexMap::len).sum()
    }
}

/// A record as it goes to another home; `None` if there is nothing to tell.
pub(crate) fn to_message(
    now: Time,
    me: Incarnation,
    key: KeyHash,
    record: &Record,
    retention: Duration,
) -> Option<KeyRecord> {
    let left = match record.state {
        State::Running | State::RunningAt(_) => retention,
        _ => record.ends.map_or(retention, |ends| now.until(ends)),
    };
    Some(KeyRecord {
        key,
        fingerprint: record.fingerprint,
        state: record.state.to_message(me)?,
        retention_ms: to_ms(left),
    })
}

/// Whole milliseconds, rounded up.
pub(crate) fn to_ms(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}

/// The time in milliseconds of a message.
pub(crate) fn from_ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}
