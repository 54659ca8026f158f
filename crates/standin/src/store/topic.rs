//! One partition of a topic: records, conditions of appends, and the newest record of each key.

use bytes::Buf;
use bytes::Bytes;
use indexmap::IndexMap;
use std::collections::VecDeque;

/// How many of a producer's last appends are answered again.
const REMEMBERED: usize = 5;

/// What an append asks for beside its records.
#[derive(Debug, Clone, Default)]
pub(crate) struct Conditions {
    /// The partition has to end here.
    pub(crate) at: Option<u64>,
    /// Producer, epoch and number, if it is numbered.
    pub(crate) producer: Option<(String, u64, u64)>,
}

/// Where an append went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Appended {
    pub(crate) offset: u64,
    pub(crate) end: u64,
}

/// Why an append did not take place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendError {
    /// The body is no sequence of records.
    Malformed,
    /// The partition does not end where it was to.
    Elsewhere { end: u64 },
    /// A later epoch of the producer has been seen.
    Fenced,
    /// The number does not follow the last one.
    Sequence { expected: u64 },
}

#[derive(Debug, Default)]
struct Producer {
    epoch: u64,
    last: VecDeque<(u64, Appended)>,
}

#[derive(Debug, Default)]
pub(crate) struct Partition {
    pub(crate) first: u64,
    records: VecDeque<Bytes>,
    /// Whether keys keep their newest record.
    keyed: bool,
    /// Key, value and offset.
    newest: IndexMap<String, (Bytes, u64)>,
    producers: IndexMap<String, Producer>,
}

impl Partition {
    pub(crate) fn new(keyed: bool) -> Self {
        Self {
            keyed,
            ..Self::default()
        }
    }

    pub(crate) fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Appends all records of a call, or none.
    pub(crate) fn append(
        &mut self,
        conditions: &Conditions,
        body: Bytes,
    ) -> Result<Appended, AppendError> {
        let records = split(body).ok_or(AppendError::Malformed)?;
        if let Some(earlier) = self.check_producer(conditions, records.is_empty())? {
            return Ok(earlier);
        }
        let end = self.end();
        if conditions.at.is_some_and(|at| at != end) {
            return Err(AppendError::Elsewhere { end });
        }
        for record in records {
            self.push(record);
        }
        let appended = Appended {
            offset: end,
            end: self.end(),
        };
        self.note_producer(conditions, appended);
        Ok(appended)
    }

    /// The answer to an append that was done before, if it is one.
    fn check_producer(
        &mut self,
        conditions: &Conditions,
        only_epoch: bool,
    ) -> Result<Option<Appended>, AppendError> {
        let Some((name, epoch, number)) = &conditions.producer else {
            return Ok(None);
        };
        let producer = self.producers.entry(name.clone()).or_default();
        if *epoch < producer.epoch {
            return Err(AppendError::Fenced);
        }
        if *epoch > producer.epoch {
            *producer = Producer {
                epoch: *epoch,
                last: VecDeque::new(),
            };
        }
        let earlier = producer.last.iter().find(|(known, _)| known == number);
        if let Some((_, appended)) = earlier {
            return Ok(Some(*appended));
        }
        match producer.last.back() {
            Some((last, _)) if !only_epoch && last + 1 != *number => {
                Err(AppendError::Sequence { expected: last + 1 })
            }
            _ => Ok(None),
        }
    }

    fn note_producer(&mut self, conditions: &Conditions, appended: Appended) {
        let Some((name, _, number)) = &conditions.producer else {
            return;
        };
        if appended.offset == appended.end {
            return;
        }
        let producer = self.producers.entry(name.clone()).or_default();
        producer.last.push_back((*number, appended));
        if producer.last.len() > REMEMBERED {
            producer.last.pop_front();
        }
    }

    fn push(&mut self, record: Bytes) {
        let offset = self.end();
        if let Some((key, value)) = split_key(&record).filter(|_| self.keyed) {
            if value.is_empty() {
                self.newest.swap_remove(&key);
            } else {
                self.newest.insert(key, (value, offset));
            }
        }
        self.records.push_back(record);
    }

    /// The records from an offset on; nothing if some of them have been dropped.
    pub(crate) fn read(&self, from: u64) -> Option<impl Iterator<Item = &Bytes>> {
        let skip = from.checked_sub(self.first)?;
        Some(self.records.iter().skip(skip as usize))
    }

    /// Drops the records before an offset. Newest records of keys stay.
    pub(crate) fn trim(&mut self, before: u64) {
        while self.first < before.min(self.end()) {
            self.records.pop_front();
            self.first += 1;
        }
    }

    /// Keys after `after` in their order, with value and offset.
    pub(crate) fn newest(&self, after: &str) -> Vec<(&str, &Bytes, u64)> {
        let mut items: Vec<_> = self
            .newest
            .iter()
            .filter(|(key, _)| after.is_empty() || key.as_str() > after)
            .map(|(key, (value, offset))| (key.as_str(), value, *offset))
            .collect();
        items.sort_by_key(|(key, ..)| *key);
        items
    }
}

fn split(mut body: Bytes) -> Option<Vec<Bytes>> {
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

fn split_key(record: &Bytes) -> Option<(String, Bytes)> {
    let mut rest = record.clone();
    let len = usize::from(rest.try_get_u8().ok()?);
    if rest.len() < len {
        return None;
    }
    let key = rest.split_to(len);
    Some((String::from_utf8_lossy(&key).into_owned(), rest))
}
