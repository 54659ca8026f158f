//! Records that this node has to append to the shared log: a bounded queue, one append in flight.

use proto::Incarnation;
use stdx::plain;
use stdx::Time;

/// The queue length from which further evictions are dropped. The membership controller requests a
/// dropped eviction again.
const MAX_QUEUED: usize = 64;

plain! {
    /// Which record to append, the most urgent first. The record itself is built when it is sent,
    /// because its content depends on all records before it.
    #[derive(PartialOrd, Ord)]
    pub(crate) enum AppendKey {
        /// This node leaves the service.
        Leave,
        /// This node joins the service.
        Join,
        /// Another node is considered dead.
        Evict(Incarnation),
        /// The oldest recorded departure is removed from the state.
        ForgetDeparture,
    }
}

#[derive(Debug)]
struct QueuedAppend {
    key: AppendKey,
    /// Not to be sent before this time.
    due: Time,
    attempts: u32,
}

/// Appends whose records this node has not yet read back from the log.
#[derive(Debug, Default)]
pub(crate) struct AppendQueue {
    entries: Vec<QueuedAppend>,
    /// The append whose result is pending. Its entry may have been removed in the meantime.
    in_flight: Option<(u64, AppendKey)>,
}

impl AppendQueue {
    pub(crate) fn contains(&self, key: AppendKey) -> bool {
        self.entries.iter().any(|entry| entry.key == key)
    }

    /// Whether the queue has room for another append.
    pub(crate) fn has_room(&self, key: AppendKey) -> bool {
        // There is at most one append of each other kind, so those always fit.
        !matches!(key, AppendKey::Evict(_)) || self.entries.len() < MAX_QUEUED
    }

    pub(crate) fn push(&mut self, key: AppendKey) {
        self.entries.push(QueuedAppend {
            key,
            due: Time::ZERO,
            attempts: 0,
        });
    }

    pub(crate) fn remove(&mut self, key: AppendKey) {
        self.entries.retain(|entry| entry.key != key);
    }

    /// Removes the appends that `wanted` rejects.
    pub(crate) fn retain(&mut self, wanted: impl Fn(AppendKey) -> bool) {
        self.entries.retain(|entry| wanted(entry.key));
    }

    /// The time at which [`AppendQueue::start`] next returns an append.
    pub(crate) fn next_due(&self) -> Option<Time> {
        if self.in_flight.is_some() {
            return None;
        }
        self.entries.iter().map(|entry| entry.due).min()
    }

    /// Starts the most urgent append that is due, under `number`.
    pub(crate) fn start(&mut self, now: Time, number: u64) -> Option<AppendKey> {
        if self.in_flight.is_some() {
            return None;
        }
        let due = self.entries.iter_mut().filter(|entry| entry.due <= now);
        let entry = due.min_by_key(|entry| entry.key)?;
        entry.attempts += 1;
        self.in_flight = Some((number, entry.key));
        Some(entry.key)
    }

    /// Ends the append in flight, and returns its key and the number of attempts so far.
    pub(crate) fn finish(&mut self, number: u64) -> Option<(AppendKey, u32)> {
        let (_, key) = self
            .in_flight
            .take_if(|(in_flight, _)| *in_flight == number)?;
        let entry = self.entries.iter().find(|entry| entry.key == key);
        Some((key, entry.map_or(1, |entry| entry.attempts)))
    }

    /// Delays the next attempt until `due`.
    pub(crate) fn postpone(&mut self, key: AppendKey, due: Time) {
        for entry in &mut self.entries {
            if entry.key == key {
                entry.due = due;
            }
        }
    }
}
