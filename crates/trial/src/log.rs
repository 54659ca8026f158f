//! Simulated store with a single topic, the log, which contains the rules and the views. It keeps
//! the newest record of each key and can have the faults of the real store.

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

/// How long a node waits for a response of the store.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the store holds a read at the end of the log until there are new records.
const MAX_READ_WAIT: Duration = Duration::from_secs(5);

/// Delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of records in the response to a read.
const MAX_BATCH_RECORDS: usize = 100;

/// The simulated store.
#[derive(Debug, Default)]
pub struct Log {
    /// The offset of the oldest record that is kept.
    pub first_offset: u64,
    /// The values of the kept records, in order of their offsets.
    pub records: Vec<Bytes>,
    /// The newest value of each key, with its offset.
    newest_by_key: IndexMap<Arc<str>, (u64, Bytes)>,
    /// The state that results from all records, as `bilberryctl` computes it.
    state: State,
    /// The store is unavailable: it does not respond, and appends have no effect.
    pub down: bool,
    /// Latency added to each message to and from the store.
    pub extra_latency: Duration,
    /// Number of appends whose response will be lost, though the append takes effect.
    pub responses_to_lose: u32,
    /// Nodes that cannot reach the store.
    pub cut_off_nodes: IndexSet<usize>,
    /// Reads that wait for new records: node and read id.
    pending_reads: Vec<(usize, u64)>,
}

impl Log {
    /// The offset of the next append.
    pub fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    /// Drops all but the `keep` newest records, as the store does when its retention ends. The
    /// newest value of each key is kept as well.
    pub fn expire(&mut self, keep: usize) {
        let expired = self.records.len().saturating_sub(keep);
        self.records.drain(..expired);
        self.first_offset += expired as u64;
    }

    /// The newest value of each key, with its offset.
    fn snapshot(&self) -> Vec<(u64, Bytes)> {
        self.newest_by_key.values().cloned().collect()
    }

    fn push(&mut self, (key, value): TopicEntry) {
        let offset = self.end_offset();
        self.state.apply(offset, &value);
        if value.is_empty() {
            self.newest_by_key.swap_remove(&key);
        } else {
            self.newest_by_key.insert(key, (offset, value.clone()));
        }
        self.records.push(value);
    }

    fn is_unreachable_from(&self, node: usize) -> bool {
        self.down || self.cut_off_nodes.contains(&node)
    }

    fn latency(&self) -> Duration {
        Duration::from_millis(10) + self.extra_latency
    }
}

impl World {
    /// Publishes a rules file as `bilberryctl` does: only if `expected` is still the version
    /// in force.
    pub fn publish(&mut self, expected: u64, publication: u128, operator: &str, file: &str) {
        if self.log.state.rules_version != expected {
            self.trace_event(format!(
                "publication of {operator} rejected: version {expected} is not in force"
            ));
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
        for (node, read_id) in std::mem::take(&mut self.log.pending_reads) {
            self.schedule_read(node, read_id);
        }
    }

    /// Sends a node's append to the store. It takes effect only if `expected_end` is the end of
    /// the log.
    pub(crate) fn submit_append(
        &mut self,
        node: usize,
        append_number: u64,
        expected_end: u64,
        entries: Vec<TopicEntry>,
    ) {
        let incarnation = self.nodes[node].incarnation;
        let keys: Vec<&str> = entries.iter().map(|(key, _)| &**key).collect();
        let key_list = keys.join(" ");
        self.trace_event(format!(
            "{} appends {key_list} at {expected_end}",
            self.nodes[node].name
        ));
        self.schedule_after(self.log.latency(), move |world| {
            let log = &mut world.log;
            let unreachable = log.is_unreachable_from(node);
            let lost =
                unreachable || log.responses_to_lose > 0 || log.extra_latency >= RESPONSE_TIMEOUT;
            let conflict = log.end_offset() != expected_end;
            if !unreachable {
                log.responses_to_lose = log.responses_to_lose.saturating_sub(1);
                if !conflict {
                    world.append(entries);
                }
            }
            let (wait, input) = match (lost, conflict) {
                (true, _) => (RESPONSE_TIMEOUT, Input::AppendLost(append_number)),
                (false, true) => (world.log.latency(), Input::AppendConflict(append_number)),
                (false, false) => (world.log.latency(), Input::Appended(append_number)),
            };
            world.schedule_in_process(node, wait, move |world| {
                world.handle_input(node, incarnation, input)
            });
        });
    }

    /// Asks the store for the current rules version on behalf of a node.
    pub(crate) fn check_rules(&mut self, node: usize) {
        let asked_at = self.nodes[node].local_time(self.now);
        let incarnation = self.nodes[node].incarnation;
        self.schedule_after(self.log.latency(), move |world| {
            let lost =
                world.log.is_unreachable_from(node) || world.log.extra_latency >= RESPONSE_TIMEOUT;
            let version = world.log.state.rules_version;
            let (wait, input) = match lost {
                true => (RESPONSE_TIMEOUT, Input::RulesCheckFailed),
                false => (
                    world.log.latency(),
                    Input::RulesChecked {
                        asked: asked_at,
                        version,
                    },
                ),
            };
            world.schedule_in_process(node, wait, move |world| {
                world.handle_input(node, incarnation, input)
            });
        });
    }

    /// Cancels a node's current read and starts reading anew; each read schedules the next one.
    pub(crate) fn restart_reading(&mut self, node: usize) {
        let read_id = self.nodes[node].read_id + 1;
        self.nodes[node].read_id = read_id;
        self.nodes[node].reached_log_end = false;
        self.schedule_read(node, read_id);
    }

    fn schedule_read(&mut self, node: usize, read_id: u64) {
        self.schedule_after(self.log.latency(), move |world| {
            world.on_read(node, read_id)
        });
    }

    /// Serves a read with the snapshot, or with the next records and whether they reach the end of
    /// the log. At the end of the log the read waits for new records.
    fn on_read(&mut self, node: usize, read_id: u64) {
        let node_state = &mut self.nodes[node];
        let Some(engine) = node_state
            .engine
            .as_ref()
            .filter(|_| node_state.read_id == read_id)
        else {
            return;
        };
        if self.log.is_unreachable_from(node) || self.log.extra_latency >= RESPONSE_TIMEOUT {
            self.schedule_input(node, RESPONSE_TIMEOUT, Input::LogUnreachable);
            return self.schedule_after(RESPONSE_TIMEOUT + READ_RETRY_DELAY, move |world| {
                world.schedule_read(node, read_id)
            });
        }
        let next = engine.next_offset();
        let (first, end) = (self.log.first_offset, self.log.end_offset());
        // A node that starts reads the newest record of each key first, and so does a node whose
        // next record has expired.
        if next < first || (next == 0 && end > 0) {
            let values = self.log.snapshot();
            let incarnation = self.nodes[node].incarnation;
            let latency = self.log.latency();
            self.schedule_input(node, latency, Input::TopicSnapshot { values, end });
            self.schedule_in_process(node, latency, move |world| {
                world.on_log_end_read(node, incarnation, end)
            });
            return self.schedule_after(latency, move |world| world.schedule_read(node, read_id));
        }
        let skip = next.saturating_sub(first) as usize;
        let with_offsets = (self.log.first_offset..).zip(&self.log.records).skip(skip);
        let batch: Vec<_> = with_offsets
            .take(MAX_BATCH_RECORDS)
            .map(|(offset, record)| (offset, record.clone()))
            .collect();
        let reads_to_end =
            batch.last().map_or(next, |(offset, _)| offset + 1) >= self.log.end_offset();
        let latency = self.log.latency();
        if batch.is_empty() && std::mem::replace(&mut node_state.reached_log_end, true) {
            self.log.pending_reads.push((node, read_id));
            return self.schedule_after(MAX_READ_WAIT, move |world| {
                world.on_read_timeout(node, read_id)
            });
        }
        if !batch.is_empty() {
            self.schedule_input(node, latency, Input::Records(batch));
        }
        if reads_to_end {
            let incarnation = self.nodes[node].incarnation;
            self.schedule_in_process(node, latency, move |world| {
                world.on_log_end_read(node, incarnation, end)
            });
        }
        self.schedule_after(latency, move |world| world.schedule_read(node, read_id));
    }

    /// Tells the engine that it has read the log up to `end`, unless it has been set back to an
    /// earlier offset in the meantime.
    fn on_log_end_read(&mut self, node: usize, incarnation: Incarnation, end: u64) {
        let engine = self.nodes[node].engine.as_ref();
        if engine.is_some_and(|engine| engine.next_offset() >= end) {
            self.handle_input(node, incarnation, Input::LogCaughtUp);
        }
    }

    /// Answers a read that has waited for [`MAX_READ_WAIT`] without new records.
    fn on_read_timeout(&mut self, node: usize, read_id: u64) {
        let pending_before = self.log.pending_reads.len();
        self.log
            .pending_reads
            .retain(|waiting| *waiting != (node, read_id));
        if self.log.pending_reads.len() < pending_before {
            // The store responds that there is nothing new, so the next read may report the end
            // again.
            self.nodes[node].reached_log_end = false;
            self.schedule_read(node, read_id);
        }
    }
}
