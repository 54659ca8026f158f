//! The records of keys, grouped by slot, with their total size and expiry times.

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

/// Approximate size of a record without its response: key, fingerprint, state, and its entries in
/// the maps and in the expiry order.
pub(crate) const RECORD_OVERHEAD_BYTES: usize = 192;

/// The record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Record {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) state: RunState,
    /// When the record may be dropped; for [`RunState::RunningAt`], when the outcome of the run
    /// counts as unknown. `None` while the run is queued or in flight here.
    pub(crate) expires_at: Option<Time>,
}

/// The state of a key's run. It advances in the order of the variants, except that the state of a
/// run on this node is restored when its slot comes back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunState {
    /// Waiting here to be started. Such a record is never transferred, because its run can still be
    /// refused.
    Queued,
    /// In flight here.
    Running,
    /// In flight at this node, the home of the key in an earlier view.
    RunningAt(Incarnation),
    /// The run may have taken place.
    Unknown,
    /// The run has ended with this response.
    Done(Response),
}

impl RunState {
    /// The state as sent to other homes; `None` for a queued run, which is not transferred.
    fn to_message(&self, me: Incarnation) -> Option<RecordState> {
        match self {
            RunState::Queued => None,
            RunState::Running => Some(RecordState::Running(me)),
            RunState::RunningAt(at) => Some(RecordState::Running(*at)),
            RunState::Unknown => Some(RecordState::Unknown),
            RunState::Done(response) => Some(RecordState::Done(response.clone())),
        }
    }
}

/// The table of records.
#[derive(Debug)]
pub(crate) struct Records {
    slots: Vec<IndexMap<KeyHash, Record>>,
    expiries: BTreeSet<(Time, KeyHash)>,
    /// Number of bytes reserved for the response of each run that is queued or in flight here.
    reserve_bytes: usize,
    bytes: usize,
}

impl Records {
    /// Creates an empty table that reserves `reserve_bytes` bytes for the response of each run that
    /// is queued or in flight here.
    pub(crate) fn new(reserve_bytes: usize) -> Self {
        Self {
            slots: vec![IndexMap::new(); usize::from(SLOT_COUNT)],
            expiries: BTreeSet::new(),
            reserve_bytes,
            bytes: 0,
        }
    }

    fn size(&self, record: &Record) -> usize {
        RECORD_OVERHEAD_BYTES
            + match &record.state {
                RunState::Queued | RunState::Running => self.reserve_bytes,
                RunState::RunningAt(_) | RunState::Unknown => 0,
                RunState::Done(response) => response.size(),
            }
    }

    pub(crate) fn get(&self, key: KeyHash) -> Option<&Record> {
        self.slots[usize::from(key.slot())].get(&key)
    }

    /// Inserts a record, replacing any existing one.
    pub(crate) fn put(&mut self, key: KeyHash, record: Record) {
        self.remove(key);
        self.bytes += self.size(&record);
        if let Some(expires_at) = record.expires_at {
            self.expiries.insert((expires_at, key));
        }
        self.slots[usize::from(key.slot())].insert(key, record);
    }

    /// Removes and returns a record.
    pub(crate) fn remove(&mut self, key: KeyHash) -> Option<Record> {
        let record = self.slots[usize::from(key.slot())].swap_remove(&key)?;
        self.bytes -= self.size(&record);
        if let Some(expires_at) = record.expires_at {
            self.expiries.remove(&(expires_at, key));
        }
        Some(record)
    }

    /// Removes and returns all records of a slot.
    pub(crate) fn take_slot(&mut self, slot: u16) -> Vec<(KeyHash, Record)> {
        let keys: Vec<KeyHash> = self.slots[usize::from(slot)].keys().copied().collect();
        keys.into_iter()
            .filter_map(|key| Some((key, self.remove(key)?)))
            .collect()
    }

    pub(crate) fn of_slot(&self, slot: u16) -> impl Iterator<Item = (&KeyHash, &Record)> {
        self.slots[usize::from(slot)].iter()
    }

    /// Keys of a slot whose runs are queued here.
    pub(crate) fn queued_keys(&self, slot: u16) -> Vec<KeyHash> {
        self.of_slot(slot)
            .filter(|(_, record)| record.state == RunState::Queued)
            .map(|(key, _)| *key)
            .collect()
    }

    /// The key whose record expires first, if that record has expired.
    pub(crate) fn next_expired(&self, now: Time) -> Option<KeyHash> {
        let (expires_at, key) = self.expiries.first()?;
        (*expires_at <= now).then_some(*key)
    }

    /// When the next record expires.
    pub(crate) fn next_expiry(&self) -> Option<Time> {
        self.expiries.first().map(|(expires_at, _)| *expires_at)
    }

    /// Total size of all records in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of records.
    pub(crate) fn len(&self) -> usize {
        self.slots.iter().map(IndexMap::len).sum()
    }
}

/// Converts a record to the form sent to another home; `None` if it is not transferred.
pub(crate) fn to_message(
    now: Time,
    me: Incarnation,
    key: KeyHash,
    record: &Record,
    retention: Duration,
) -> Option<KeyRecord> {
    let retention_left = match record.state {
        // Retention begins when the run ends.
        RunState::Running | RunState::RunningAt(_) => retention,
        _ => record
            .expires_at
            .map_or(retention, |expires_at| now.until(expires_at)),
    };
    Some(KeyRecord {
        key,
        fingerprint: record.fingerprint,
        state: record.state.to_message(me)?,
        retention_ms: to_ms(retention_left),
    })
}

/// Converts to milliseconds, rounded up.
pub(crate) fn to_ms(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}

pub(crate) fn from_ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}
