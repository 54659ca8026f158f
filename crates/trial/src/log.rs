//! The log service's fake: one stream, with the faults of the real one.

use crate::World;
use bytes::Bytes;
use engine::Input;
use indexmap::IndexSet;
use journal::Record;
use proto::Incarnation;
use std::time::Duration;

/// How long a node waits for the log service's answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// How long one read waits for new records.
const READ_WAIT: Duration = Duration::from_secs(5);

/// How long a node waits after a read that failed.
const READ_PAUSE: Duration = Duration::from_secs(1);

/// How many records one read gives at most.
const BATCH: usize = 100;

/// The log service's fake.
#[derive(Debug, Default)]
pub struct Log {
    /// The offset of the first record that is kept.
    pub first: u64,
    /// The records that are kept.
    pub records: Vec<Bytes>,
    /// Nothing is answered and nothing takes effect.
    pub down: bool,
    /// How long each answer takes longer.
    pub slow: Duration,
    /// The answers of this many appends are lost after they took effect.
    pub lose_answers: u32,
    /// Nodes that do not reach it.
    pub cut: IndexSet<usize>,
    /// Reads that wait for a record: node, which read.
    waiting: Vec<(usize, u64)>,
}

impl Log {
    /// The offset that the next append gets.
    pub fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Forgets all but the newest records, as the service does after its retention; never the last
    /// snapshot, which nodes write again long before it is that old.
    pub fn expire(&mut self, keep: usize) {
        let is_snapshot = |r: &Bytes| matches!(proto::decode(r), Ok(Record::Snapshot(_)));
        let snapshot = self.records.iter().rposition(is_snapshot).unwrap_or(0);
        let gone = self.records.len().saturating_sub(keep).min(snapshot);
        self.records.drain(..gone);
        self.first += gone as u64;
    }

    fn is_down_for(&self, node: usize) -> bool {
        self.down || self.cut.contains(&node)
    }

    fn latency(&self) -> Duration {
        Duration::from_millis(10) + self.slow
    }
}

impl World {
    /// Appends without a node, as an operator's tool does.
    pub fn append(&mut self, record: Bytes) {
        self.log.records.push(record);
        for (node, number) in std::mem::take(&mut self.log.waiting) {
            self.read(node, number);
        }
    }

    /// An append of a node is on its way to the log service.
    pub(crate) fn append_from(&mut self, node: usize, number: u64, record: Bytes) {
        let from = self.nodes[node].incarnation;
        let what = proto::decode::<Record>(&record).map(|record| format!("{record:?}"));
        let what = what
            .unwrap_or_default()
            .chars()
            .take(60)
            .collect::<String>();
        self.note(format!("{} appends {what}", self.nodes[node].name));
        self.after(self.log.latency(), move |world| {
            let log = &mut world.log;
            let down = log.is_down_for(node);
            let lost = down || log.lose_answers > 0 || log.slow >= PATIENCE;
            if !down {
                log.lose_answers = log.lose_answers.saturating_sub(1);
                world.append(record);
            }
            let (wait, input) = match lost {
                true => (PATIENCE, Input::AppendLost(number)),
                false => (world.log.latency(), Input::Appended(number)),
            };
            world.after_in(node, wait, move |world| world.feed(node, from, input));
        });
    }

    /// The node drops its present read and reads at once, for ever.
    pub(crate) fn read_now(&mut self, node: usize) {
        let number = self.nodes[node].read + 1;
        self.nodes[node].read = number;
        self.nodes[node].read_to_end = false;
        self.read(node, number);
    }

    fn read(&mut self, node: usize, number: u64) {
        self.after(self.log.latency(), move |world| world.on_read(node, number));
    }

    fn on_read(&mut self, node: usize, number: u64) {
        let place = &mut self.nodes[node];
        let Some(engine) = place.engine.as_ref().filter(|_| place.read == number) else {
            return;
        };
        if self.log.is_down_for(node) || self.log.slow >= PATIENCE {
            self.input(node, PATIENCE, Input::LogUnreachable);
            return self.after(PATIENCE + READ_PAUSE, move |world| world.read(node, number));
        }
        let next = engine.next_offset();
        let skip = next.saturating_sub(self.log.first) as usize;
        let numbered = (self.log.first..).zip(&self.log.records).skip(skip);
        let batch: Vec<_> = numbered
            .take(BATCH)
            .map(|(at, r)| (at, r.clone()))
            .collect();
        let read_to_end = batch.last().map_or(next, |(at, _)| at + 1) >= self.log.end();
        let latency = self.log.latency();
        if batch.is_empty() && std::mem::replace(&mut place.read_to_end, true) {
            self.log.waiting.push((node, number));
            return self.after(READ_WAIT, move |world| world.on_read_timeout(node, number));
        }
        let (first, end) = (self.log.first, self.log.end());
        self.input(node, latency, Input::LogStart(first));
        if !batch.is_empty() {
            self.input(node, latency, Input::Records(batch));
        }
        if read_to_end {
            let from = self.nodes[node].incarnation;
            self.after_in(node, latency, move |world| world.on_end(node, from, end));
        }
        self.after(latency * 2, move |world| world.read(node, number));
    }

    /// The end of the stream was read, unless a snapshot sent the reader back before it.
    fn on_end(&mut self, node: usize, from: Incarnation, end: u64) {
        let engine = self.nodes[node].engine.as_ref();
        if engine.is_some_and(|engine| engine.next_offset() >= end) {
            self.feed(node, from, Input::LogRead);
        }
    }

    /// A read waited long enough and is answered with nothing.
    fn on_read_timeout(&mut self, node: usize, number: u64) {
        let before = self.log.waiting.len();
        self.log
            .waiting
            .retain(|waiting| *waiting != (node, number));
        if self.log.waiting.len() < before {
            // The log service answers a read that waited in vain: nothing new up to now.
            self.nodes[node].read_to_end = false;
            self.read(node, number);
        }
    }
}
