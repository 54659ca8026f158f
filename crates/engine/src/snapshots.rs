//! Writing the state into the stream again, before the records that it came from expire.

use crate::Engine;
use journal::Record;
use journal::SnapshotMark;
use proto::hash64;
use std::time::Duration;
use stdx::Time;

/// A snapshot is written when the last one has this part of the log's retention behind it.
const RETENTION_PARTS: u32 = 4;

/// The least time between two snapshots, and before the first one.
const MIN_AGE: Duration = Duration::from_secs(60);

/// How much longer each further node waits for the one before it to write.
const STAGGER: Duration = Duration::from_secs(10);

/// What this node knows about the age of the newest snapshot.
#[derive(Debug, Default)]
pub(crate) struct SnapshotClock {
    mark: Option<SnapshotMark>,
    /// When this node first saw the mark. Records carry no time, so an older age is not known.
    seen: Option<Time>,
    /// Since when a new one is wanted.
    wanted: Option<Time>,
    /// The base of the one that this node wrote last.
    written: u64,
}

impl SnapshotClock {
    /// Whether the snapshot that this node wrote is still missing from the stream.
    pub(crate) fn is_missing(&self, mark: Option<SnapshotMark>) -> bool {
        mark.is_none_or(|mark| mark.base < self.written)
    }
}

impl Engine {
    /// Writes a snapshot if it is time for one and no node before this one has.
    ///
    /// Without it, rules and views would be lost once their records expire: a node started then
    /// would find no rules and no home for any key.
    pub(crate) fn check_snapshot(&mut self, now: Time) {
        if self.stopping || !self.is_listed() {
            return;
        }
        let mark = self.journal.snapshot;
        let clock = &mut self.log.snapshots;
        if clock.mark != mark || clock.seen.is_none() {
            clock.mark = mark;
            clock.seen = Some(now);
            clock.wanted = None;
        }
        let age = clock.seen.map_or(Duration::ZERO, |seen| now.since(seen));
        let interval = self.cfg.log_retention / RETENTION_PARTS;
        let first = self.log.first;
        let half_gone = |mark: SnapshotMark| {
            mark.base.saturating_sub(first) < self.journal.next.saturating_sub(first) / 2
        };
        // Nodes that live for less than the interval see no age; the log's own start tells them.
        let is_old = match mark {
            None => age >= MIN_AGE,
            Some(mark) => {
                age >= interval || (first > 0 && age >= MIN_AGE.min(interval) && half_gone(mark))
            }
        };
        if !is_old {
            self.log.snapshots.wanted = None;
            return;
        }
        let since = *self.log.snapshots.wanted.get_or_insert(now);
        if now.since(since) >= STAGGER * self.snapshot_rank() {
            self.log.snapshots.written = self.journal.next;
            self.append(&Record::Snapshot(Box::new(self.journal.clone())));
        }
    }

    /// How many nodes come before this one; another order after each snapshot.
    fn snapshot_rank(&self) -> u32 {
        let base = self.journal.snapshot.map_or(0, |mark| mark.base);
        let mine = hash64(&(base, self.me.incarnation));
        let before = self
            .journal
            .instances()
            .filter(|other| hash64(&(base, other.incarnation)) < mine);
        before.count() as u32
    }
}
