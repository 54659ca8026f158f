//! The log controller: folds the stream, announces this node, and takes it out again.

use crate::appends::AppendKey;
use crate::appends::AppendQueue;
use crate::fetch::Tail;
use crate::snapshots::SnapshotClock;
use crate::Counter;
use crate::Engine;
use crate::Output;
use bytes::Bytes;
use journal::Change;
use journal::Record;
use proto::Incarnation;
use rand::RngExt;
use std::time::Duration;
use stdx::Time;

/// The longest wait between two tries of the same append.
const MAX_APPEND_RETRY: Duration = Duration::from_secs(30);

/// How often the wait between two tries doubles at most.
const MAX_DOUBLINGS: u32 = 5;

/// What this node has to say to the log and whether it got through.
#[derive(Debug, Default)]
pub(crate) struct LogLink {
    /// The last read got no answer.
    pub(crate) down: bool,
    /// The log was read to its end once, or its state came from a peer. Before that the rules and
    /// views may be older than what this address had in force when it was last up.
    pub(crate) ready: bool,
    pub(crate) snapshots: SnapshotClock,
    /// The oldest record that the log still has.
    pub(crate) first: u64,
    /// The newest records, for peers that lack them.
    pub(crate) tail: Tail,
    pub(crate) appends: AppendQueue,
    /// A `Join` may stand in the stream, now or later.
    join_sent: bool,
    /// When a stop no longer waits for its `Leave`.
    give_up: Option<Time>,
}

impl LogLink {
    /// Whether nothing is left to say before the process ends.
    pub(crate) fn left(&self) -> bool {
        !self.appends.contains(AppendKey::Leave)
    }

    /// Whether a stop no longer waits for its `Leave`.
    pub(crate) fn has_given_up(&self) -> bool {
        self.give_up.is_none()
    }

    /// When the controller has something to do.
    pub(crate) fn next_timer(&self) -> Option<Time> {
        let timers = [self.appends.next_due(), self.give_up];
        timers.into_iter().flatten().min()
    }
}

impl Engine {
    pub(crate) fn on_records(&mut self, now: Time, records: Vec<(u64, Bytes)>) {
        let before = self.journal.version;
        self.fold(now, records);
        // What is read at the start is no news to anybody.
        if self.log.ready && self.journal.version > before {
            self.spread_offset();
        }
    }

    fn fold(&mut self, now: Time, records: Vec<(u64, Bytes)>) {
        for (offset, record) in records {
            let change = self.journal.apply(offset, &record);
            if self.journal.next == offset + 1 && change != Change::Old {
                self.log.tail.push(offset, record);
            }
            match change {
                Change::Nothing | Change::Old => {}
                Change::Broken => self.count(Counter::BrokenRecord),
                Change::Rejected => self.count(Counter::RejectedPublication),
                Change::Rules => {
                    self.count(Counter::RulesInForce);
                    self.on_rules(now);
                }
                Change::View(_) => self.on_view_change(now),
                Change::Restored => {
                    self.on_restored(now);
                    // What follows here comes after records that the snapshot does not cover.
                    return self.out.push(Output::ReadLog);
                }
                Change::Gap => return self.out.push(Output::ReadLog),
            }
        }
    }

    fn on_rules(&mut self, now: Time) {
        let limit = self.journal.rules.limit(&self.me.service);
        let rules = &self.journal.rules;
        let routes = rules.routes.iter().map(|route| &route.operation);
        let operations = rules.operations.iter().chain(routes);
        let longest = operations.map(|operation| operation.deadline).max();
        let longest = longest.unwrap_or(limit.key_retention);
        self.home.set_times(limit.key_retention, longest);
        self.set_server_bounds();
        self.update_roster(now);
    }

    /// Takes a rules file that was given its version elsewhere.
    pub(crate) fn on_published(&mut self, now: Time, version: u64, file: &str) {
        self.log.down = false;
        match self
            .journal
            .take_version(version, file, self.cfg.parse_rules)
        {
            Change::Rules => {
                self.count(Counter::RulesInForce);
                self.log.ready = true;
                self.on_rules(now);
                self.spread_offset();
            }
            Change::Broken => self.count(Counter::RejectedPublication),
            _ => {}
        }
    }

    pub(crate) fn on_restored(&mut self, now: Time) {
        self.count(Counter::Restored);
        self.on_rules(now);
        // Views before the one in the state may have been missed.
        self.update_home(now);
    }

    fn on_view_change(&mut self, now: Time) {
        self.update_roster(now);
        self.update_home(now);
    }

    pub(crate) fn on_log_start(&mut self, first: u64) {
        self.log.first = first;
        self.journal.expired_before(first);
    }

    pub(crate) fn on_log_read(&mut self, now: Time) {
        self.log.down = false;
        if self.journal.is_scanning() {
            // The records that this node lacks have expired, and no snapshot stands in for them.
            self.count(Counter::NoSnapshot);
            return self.schedule_fetch(now, Duration::ZERO);
        }
        self.log.ready = true;
        self.home.on_log_read(now);
        self.check_departed(now);
        self.check_snapshot(now);
        // An incarnation that the views have dropped never comes back: it ends, and its next start
        // is another one.
        let mine = self.me.incarnation;
        let dropped = self.journal.departed.contains_key(&mine);
        if !self.stopping && !dropped && !self.is_listed() {
            self.append(&Record::Join(self.me.clone()));
        }
    }

    /// Has a record appended, unless the same is waiting already. It is tried until the fold shows
    /// its effect. When the queue is full it is left out and counted; ask again later.
    pub(crate) fn append(&mut self, record: &Record) {
        let key = match record {
            Record::Join(_) => AppendKey::Join,
            Record::Leave(_) => AppendKey::Leave,
            Record::Evict { incarnation, .. } => AppendKey::Evict(*incarnation),
            Record::Snapshot(_) => AppendKey::Snapshot,
            // Only operators publish.
            Record::Publish { .. } => return self.count(Counter::Unexpected),
        };
        if self.log.appends.contains(key) {
            return;
        }
        if !self.log.appends.has_room(key) {
            return self.count(Counter::AppendLeftOut);
        }
        let record = Bytes::from(proto::encode(record));
        self.log.appends.push(key, record);
    }

    /// Drops what the stream shows by now, and starts the next append that is due.
    pub(crate) fn pump_appends(&mut self, now: Time) {
        let mine = self.me.incarnation;
        let journal = &self.journal;
        let snapshot_missing = self.log.snapshots.is_missing(journal.snapshot);
        self.log.appends.retain(|key| match key {
            AppendKey::Join => !journal.is_listed(mine),
            AppendKey::Leave => true,
            AppendKey::Evict(other) => journal.is_listed(other),
            AppendKey::Snapshot => snapshot_missing,
        });
        if self.log.give_up.is_some_and(|give_up| give_up <= now) {
            self.log.give_up = None;
            if !self.log.left() {
                self.log.appends.remove(AppendKey::Leave);
                self.count(Counter::LeaveUnsaid);
            }
        }
        if self.log.appends.next_due().is_none_or(|due| due > now) {
            return;
        }
        let number = self.number();
        if let Some((key, record)) = self.log.appends.start(now, number) {
            self.log.join_sent |= key == AppendKey::Join;
            self.out.push(Output::Append { number, record });
        }
    }

    pub(crate) fn on_appended(&mut self, now: Time, number: u64) {
        let Some((key, _)) = self.log.appends.ended(number) else {
            return;
        };
        match key {
            AppendKey::Leave => self.log.appends.remove(key),
            // The fold has the last word; meanwhile there is no reason to say it again.
            _ => self.log.appends.postpone(key, now + MAX_APPEND_RETRY),
        }
        self.out.push(Output::ReadLog);
    }

    /// The record may stand in the stream all the same; reading it again tells. All nodes lose
    /// their answers together when the log goes down, so the next try waits longer each time and
    /// for a random part of it; else they would all come back at once.
    pub(crate) fn on_append_lost(&mut self, now: Time, number: u64) {
        let Some((key, attempts)) = self.log.appends.ended(number) else {
            return;
        };
        self.count(Counter::AppendLost);
        let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
        let wait = self.cfg.append_retry * (1 << doublings);
        let wait = wait
            .min(MAX_APPEND_RETRY)
            .mul_f64(self.rng.random_range(0.5..1.0));
        self.log.appends.postpone(key, now + wait);
        self.out.push(Output::ReadLog);
    }

    /// Says to the log that this node leaves. A `Join` that may be on its way makes no difference:
    /// the `Leave` is said after it.
    pub(crate) fn leave_log(&mut self, now: Time) {
        self.log.appends.remove(AppendKey::Join);
        let gone = self.journal.departed.contains_key(&self.me.incarnation);
        if !gone && (self.log.join_sent || self.is_listed()) {
            self.append(&Record::Leave(self.me.incarnation));
            // In an outage of the log a stop would never end. The views go on naming this node
            // then, until another one evicts it.
            self.log.give_up = Some(now + self.cfg.leave_patience);
        }
    }

    /// Whether rules are in force here that are as new as the log's, or as a peer's.
    pub(crate) fn has_rules(&self) -> bool {
        self.log.ready && self.journal.version > 0
    }

    /// Whether the log's views name this incarnation.
    pub fn is_listed(&self) -> bool {
        let mine: Incarnation = self.me.incarnation;
        self.journal.is_listed(mine)
    }
}
