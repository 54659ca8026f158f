//! The store's fake: one topic that keeps the newest record of each key, with the faults of the real
//! one.

use crate::World;
use bytes::Bytes;
use engine::Input;
use indexmap::IndexMap;
use indexmap::IndexSet;
use journal::Record;
use journal::State;
use journal::TopicEntry;
use proto::Incarnation;
use std::sync::Arc;
use std::time::Duration;

/// How long a node waits for the store's answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// How long one read waits for new records.
const READ_WAIT: Duration = Duration::from_secs(5);

/// How long a node waits after a read that failed.
const READ_PAUSE: Duration = Duration::from_secs(1);

/// How many records one read gives at most.
const BATCH: usize = 100;

/// The store's fake.
#[derive(Debug, Default)]
pub struct Log {
    /// The offset of the first record that is kept.
    pub first: u64,
    /// The values that are kept.
    pub records: Vec<Bytes>,
    /// The newest value of each key, and its offset.
    newest: IndexMap<Arc<str>, (u64, Bytes)>,
    /// What the records say, as the operators' tool folds them.
    said: State,
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

    /// Forgets all but the newest records and the newest of each key, as the store does after its
    /// retention.
    pub fn expire(&mut self, keep: usize) {
        let gone = self.records.len().saturating_sub(keep);
        self.records.drain(..gone);
        self.first += gone as u64;
    }

    /// The newest value of each key, by offset.
    fn newest(&self) -> Vec<(u64, Bytes)> {
        self.newest.values().cloned().collect()
    }

    fn push(&mut self, (key, value): TopicEntry) {
        let offset = self.end();
        self.said.apply(offset, &value);
        if value.is_empty() {
            self.newest.swap_remove(&key);
        } else {
            self.newest.insert(key, (offset, value.clone()));
        }
        self.records.push(value);
    }

    fn is_down_for(&self, node: usize) -> bool {
        self.down || self.cut.contains(&node)
    }

    fn latency(&self) -> Duration {
        Duration::from_millis(10) + self.slow
    }
}

impl World {
    /// Publishes as an operator's tool does: on top of the version that the operator saw, or not.
    pub fn publish(&mut self, expected: u64, publication: u128, operator: &str, file: &str) {
        if self.log.said.version != expected {
            self.note(format!("{operator} is overtaken at version {expected}"));
            return;
        }
        let record = Record::Publish {
            version: expected + 1,
            publication,
            operator: operator.into(),
            file: file.into(),
        };
        self.append(record.entries());
    }

    fn append(&mut self, entries: Vec<TopicEntry>) {
        for entry in entries {
            self.log.push(entry);
        }
        for (node, number) in std::mem::take(&mut self.log.waiting) {
            self.read(node, number);
        }
    }

    /// An append of a node is on its way to the store.
    pub(crate) fn append_from(
        &mut self,
        node: usize,
        number: u64,
        at: u64,
        entries: Vec<TopicEntry>,
    ) {
        let from = self.nodes[node].incarnation;
        let keys: Vec<&str> = entries.iter().map(|(key, _)| &**key).collect();
        let what = keys.join(" ");
        self.note(format!("{} appends {what} at {at}", self.nodes[node].name));
        self.schedule_after(self.log.latency(), move |world| {
            let log = &mut world.log;
            let down = log.is_down_for(node);
            let lost = down || log.lose_answers > 0 || log.slow >= PATIENCE;
            let conflict = log.end() != at;
            if !down {
                log.lose_answers = log.lose_answers.saturating_sub(1);
                if !conflict {
                    world.append(entries);
                }
            }
            let (wait, input) = match (lost, conflict) {
                (true, _) => (PATIENCE, Input::AppendLost(number)),
                (false, true) => (world.log.latency(), Input::AppendConflict(number)),
                (false, false) => (world.log.latency(), Input::Appended(number)),
            };
            world.schedule_in_process(node, wait, move |world| world.feed(node, from, input));
        });
    }

    /// A node asks whether there are newer rules.
    pub(crate) fn check_rules(&mut self, node: usize) {
        let asked = self.nodes[node].time(self.now);
        let from = self.nodes[node].incarnation;
        self.schedule_after(self.log.latency(), move |world| {
            let lost = world.log.is_down_for(node) || world.log.slow >= PATIENCE;
            let version = world.log.said.version;
            let (wait, input) = match lost {
                true => (PATIENCE, Input::RulesCheckFailed),
                false => (world.log.latency(), Input::RulesChecked { asked, version }),
            };
            world.schedule_in_process(node, wait, move |world| world.feed(node, from, input));
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
        self.schedule_after(self.log.latency(), move |world| world.on_read(node, number));
    }

    fn on_read(&mut self, node: usize, number: u64) {
        let place = &mut self.nodes[node];
        let Some(engine) = place.engine.as_ref().filter(|_| place.read == number) else {
            return;
        };
        if self.log.is_down_for(node) || self.log.slow >= PATIENCE {
            self.input(node, PATIENCE, Input::LogUnreachable);
            return self
                .schedule_after(PATIENCE + READ_PAUSE, move |world| world.read(node, number));
        }
        let next = engine.next_offset();
        let (first, end) = (self.log.first, self.log.end());
        // A start begins with the newest of each key, and so does a node whose records have expired.
        if next < first || (next == 0 && end > 0) {
            let values = self.log.newest();
            let from = self.nodes[node].incarnation;
            let latency = self.log.latency();
            self.input(node, latency, Input::TopicSnapshot { values, end });
            self.schedule_in_process(node, latency, move |world| world.on_end(node, from, end));
            return self.schedule_after(latency, move |world| world.read(node, number));
        }
        let skip = next.saturating_sub(first) as usize;
        let numbered = (self.log.first..).zip(&self.log.records).skip(skip);
        let batch: Vec<_> = numbered
            .take(BATCH)
            .map(|(at, r)| (at, r.clone()))
            .collect();
        let read_to_end = batch.last().map_or(next, |(at, _)| at + 1) >= self.log.end();
        let latency = self.log.latency();
        if batch.is_empty() && std::mem::replace(&mut place.read_to_end, true) {
            self.log.waiting.push((node, number));
            return self
                .schedule_after(READ_WAIT, move |world| world.on_read_timeout(node, number));
        }
        if !batch.is_empty() {
            self.input(node, latency, Input::Records(batch));
        }
        if read_to_end {
            let from = self.nodes[node].incarnation;
            self.schedule_in_process(node, latency, move |world| world.on_end(node, from, end));
        }
        self.schedule_after(latency, move |world| world.read(node, number));
    }

    /// The end of the topic was read, unless something sent the reader back before it.
    fn on_end(&mut self, node: usize, from: Incarnation, end: u64) {
        let engine = self.nodes[node].engine.as_ref();
        if engine.is_some_and(|engine| engine.next_offset() >= end) {
            self.feed(node, from, Input::LogCaughtUp);
        }
    }

    /// A read waited long enough and is answered with nothing.
    fn on_read_timeout(&mut self, node: usize, number: u64) {
        let before = self.log.waiting.len();
        self.log
            .waiting
            .retain(|waiting| *waiting != (node, number));
        if self.log.waiting.len() < before {
            // The store answers a read that waited in vain: nothing new up to now.
            self.nodes[node].read_to_end = false;
            self.read(node, number);
        }
    }
}
