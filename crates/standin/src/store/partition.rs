//! One partition of a topic: its records, the conditions of appends, and the newest record of each
//! key.

use bytes::Buf;
use bytes::Bytes;
use indexmap::IndexMap;
use std::collections::VecDeque;

/// How many recent appends of a producer are remembered, so that a repeat gets the same answer.
const MAX_RECENT_APPENDS: usize = 5;

/// The conditions under which an append takes effect.
#[derive(Debug, Clone, Default)]
pub(crate) struct AppendConditions {
    /// The required end of the partition.
    pub(crate) expected_end: Option<u64>,
    /// Name, epoch and sequence number of the producer, if the append has them.
    pub(crate) producer: Option<(String, u64, u64)>,
}

/// The offsets of appended records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Appended {
    /// The offset of the first record.
    pub(crate) offset: u64,
    /// The end of the partition after the append.
    pub(crate) end: u64,
}

/// Why an append was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendError {
    /// The body is not a sequence of records.
    Malformed,
    /// The partition does not end at the required offset.
    EndMismatch { end: u64 },
    /// The producer has already used a higher epoch.
    Fenced,
    /// The sequence number does not follow that of the previous append.
    OutOfSequence { expected: u64 },
}

/// The epoch of a producer and its recent appends.
#[derive(Debug, Default)]
struct Producer {
    epoch: u64,
    /// Sequence number and result of each append, the oldest first.
    recent_appends: VecDeque<(u64, Appended)>,
}

/// One partition of a topic.
#[derive(Debug, Default)]
pub(crate) struct Partition {
    /// The offset of the oldest record that was not trimmed.
    pub(crate) first_offset: u64,
    records: VecDeque<Bytes>,
    /// Whether records have keys. If so, the newest record of each key is kept when it is trimmed.
    keyed: bool,
    /// Value and offset of the newest record by key.
    newest_by_key: IndexMap<String, (Bytes, u64)>,
    producers: IndexMap<String, Producer>,
}

impl Partition {
    pub(crate) fn new(keyed: bool) -> Self {
        Self {
            keyed,
            ..Self::default()
        }
    }

    /// The offset that the next record will get.
    pub(crate) fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    /// Appends all records of a call, or none of them. A repeated call of a producer has no effect
    /// and returns the result of the original call.
    pub(crate) fn append(
        &mut self,
        conditions: &AppendConditions,
        body: Bytes,
    ) -> Result<Appended, AppendError> {
        let records = split_records(body).ok_or(AppendError::Malformed)?;
        if let Some(earlier) = self.check_producer(conditions, records.is_empty())? {
            return Ok(earlier);
        }
        let end = self.end_offset();
        if conditions
            .expected_end
            .is_some_and(|expected| expected != end)
        {
            return Err(AppendError::EndMismatch { end });
        }
        for record in records {
            self.push(record);
        }
        let appended = Appended {
            offset: end,
            end: self.end_offset(),
        };
        self.record_producer_append(conditions, appended);
        Ok(appended)
    }

    /// Checks the epoch and the sequence number of an append. A higher epoch becomes the producer's
    /// current one. Returns the result of the original append if this one is a repeat.
    fn check_producer(
        &mut self,
        conditions: &AppendConditions,
        has_no_records: bool,
    ) -> Result<Option<Appended>, AppendError> {
        let Some((name, epoch, sequence)) = &conditions.producer else {
            return Ok(None);
        };
        let producer = self.producers.entry(name.clone()).or_default();
        if *epoch < producer.epoch {
            return Err(AppendError::Fenced);
        }
        if *epoch > producer.epoch {
            *producer = Producer {
                epoch: *epoch,
                recent_appends: VecDeque::new(),
            };
        }
        let earlier = producer
            .recent_appends
            .iter()
            .find(|(recent, _)| recent == sequence);
        if let Some((_, appended)) = earlier {
            return Ok(Some(*appended));
        }
        match producer.recent_appends.back() {
            Some((last, _)) if !has_no_records && last + 1 != *sequence => {
                Err(AppendError::OutOfSequence { expected: last + 1 })
            }
            _ => Ok(None),
        }
    }

    /// Remembers an append of a producer, so that a repeat gets the same answer.
    fn record_producer_append(&mut self, conditions: &AppendConditions, appended: Appended) {
        let Some((name, _, sequence)) = &conditions.producer else {
            return;
        };
        if appended.offset == appended.end {
            return;
        }
        let producer = self.producers.entry(name.clone()).or_default();
        producer.recent_appends.push_back((*sequence, appended));
        if producer.recent_appends.len() > MAX_RECENT_APPENDS {
            producer.recent_appends.pop_front();
        }
    }

    /// Appends one record. In a keyed partition, a record with an empty value deletes its key.
    fn push(&mut self, record: Bytes) {
        let offset = self.end_offset();
        if let Some((key, value)) = split_key(&record).filter(|_| self.keyed) {
            if value.is_empty() {
                self.newest_by_key.swap_remove(&key);
            } else {
                self.newest_by_key.insert(key, (value, offset));
            }
        }
        self.records.push_back(record);
    }

    /// The records from an offset on; `None` if some of them were trimmed.
    pub(crate) fn records_from(&self, from: u64) -> Option<impl Iterator<Item = &Bytes>> {
        let skip = from.checked_sub(self.first_offset)?;
        Some(self.records.iter().skip(skip as usize))
    }

    /// Removes the records before an offset. The newest record of each key is kept.
    pub(crate) fn trim(&mut self, before: u64) {
        while self.first_offset < before.min(self.end_offset()) {
            self.records.pop_front();
            self.first_offset += 1;
        }
    }

    /// The newest records of the keys after `after`, sorted by key: key, value and offset.
    pub(crate) fn newest_after(&self, after: &str) -> Vec<(&str, &Bytes, u64)> {
        let mut records: Vec<_> = self
            .newest_by_key
            .iter()
            .filter(|(key, _)| after.is_empty() || key.as_str() > after)
            .map(|(key, (value, offset))| (key.as_str(), value, *offset))
            .collect();
        records.sort_by_key(|(key, ..)| *key);
        records
    }
}

/// Splits a body into its records, each after a 4-byte length; `None` if it is malformed.
fn split_records(mut body: Bytes) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let len = body.try_get_u32().ok()? as usize;
        if body.len() < len {
            return None;
        }
        records.push(body.split_to(len));
    }
    Some(records)
}

/// Splits a record into its key, after a 1-byte length, and its value; `None` if it is malformed.
fn split_key(record: &Bytes) -> Option<(String, Bytes)> {
    let mut rest = record.clone();
    let len = usize::from(rest.try_get_u8().ok()?);
    if rest.len() < len {
        return None;
    }
    let key = rest.split_to(len);
    Some((String::from_utf8_lossy(&key).into_owned(), rest))
}
