//! What this node has to say in the topic: a bounded queue, one append in flight.

use proto::Incarnation;
use stdx::plain;
use stdx::Time;

/// The most that waits. What is left out is asked for again by whoever wanted it.
const MAX_QUEUED: usize = 64;

plain! {
    /// What is to be said. The record is made when it is sent, because it has to follow from all
    /// records before it. In the order of their urgency.
    #[derive(PartialOrd, Ord)]
    pub(crate) enum AppendKey {
        /// This node leaves.
        Leave,
        /// This node announces itself.
        Join,
        /// Another node is taken for dead.
        Evict(Incarnation),
        /// The oldest departure is dropped.
        DropDeparture,
    }
}

#[derive(Debug)]
struct QueuedAppend {
    key: AppendKey,
    due: Time,
    attempts: u32,
}

/// What the topic does not show yet.
#[derive(Debug, Default)]
pub(crate) struct AppendQueue {
    entries: Vec<QueuedAppend>,
    /// The append that waits for its answer. Its entry may be gone meanwhile.
    in_flight: Option<(u64, AppendKey)>,
}

impl AppendQueue {
    pub(crate) fn contains(&self, key: AppendKey) -> bool {
        self.entries.iter().any(|entry| entry.key == key)
    }

    /// Whether there is room for something new.
    pub(crate) fn has_room(&self, key: AppendKey) -> bool {
        // What this node says of itself always fits.
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

    /// Keeps only what `wanted` still wants said.
    pub(crate) fn retain(&mut self, wanted: impl Fn(AppendKey) -> bool) {
        self.entries.retain(|entry| wanted(entry.key));
    }

    /// When [`AppendQueue::start`] has something to start.
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

    /// The append in flight has ended; says which it was and how often it was tried.
    pub(crate) fn finish(&mut self, number: u64) -> Option<(AppendKey, u32)> {
        let (_, key) = self.in_flight.take_if(|(id, _)| *id == number)?;
        let entry = self.entries.iter().find(|entry| entry.key == key);
        Some((key, entry.map_or(1, |entry| entry.attempts)))
    }

    /// Does not try again before `due`.
    pub(crate) fn postpone(&mut self, key: AppendKey, due: Time) {
        for entry in &mut self.entries {
            if entry.key == key {
                entry.due = due;
            }
        }
    }
}
