//! The log controller: folds the topic of views, announces this node, and takes it out again.

use crate::append_queue::AppendKey;
use crate::append_queue::AppendQueue;
use crate::Counter;
use crate::Engine;
use crate::Output;
use bytes::Bytes;
use journal::Change;
use journal::Record;
use journal::State;
use policy::PriorityBands;
use rand::RngExt;
use std::time::Duration;
use stdx::Time;

/// The longest wait between two tries of the same append.
const MAX_APPEND_RETRY: Duration = Duration::from_secs(30);

/// How often the wait between two tries doubles at most.
const MAX_DOUBLINGS: u32 = 5;

/// The wait after an append that came second, doubled with each try and taken in a random part. A
/// read and an append take some 20 ms together; of nodes that start at once, one wins each round.
const CONFLICT_PAUSE: Duration = Duration::from_millis(20);

/// How often that wait doubles at most: up to 2.5 s.
const MAX_CONFLICT_DOUBLINGS: u32 = 7;

/// What this node has to say to the log and whether it got through.
#[derive(Debug, Default)]
pub(crate) struct LogController {
    /// The last read got no answer.
    pub(crate) unreachable: bool,
    /// The log was read to its end once, or its state came from a peer. Before that the rules and
    /// views may be older than what this address had in force when it was last up.
    pub(crate) synced: bool,
    pub(crate) appends: AppendQueue,
    /// Where the append in flight is to stand, or the last one was.
    append_at: u64,
    /// The last append came second. Before the record that came first is read, each further one would
    /// come second as well.
    overtaken: bool,
    /// A `Join` may stand in the topic, now or later.
    join_sent: bool,
    /// When a stop no longer waits for its `Leave`.
    give_up: Option<Time>,
}

impl LogController {
    /// Whether nothing is left to say before the process ends.
    pub(crate) fn leave_settled(&self) -> bool {
        !self.appends.contains(AppendKey::Leave)
    }

    /// Whether a stop no longer waits for its `Leave`.
    pub(crate) fn leave_wait_ended(&self) -> bool {
        self.give_up.is_none()
    }

    fn may_append(&self, next: u64) -> bool {
        !self.overtaken || next > self.append_at
    }

    /// When the controller has something to do, if the topic was read up to `next`.
    pub(crate) fn next_timer(&self, next: u64) -> Option<Time> {
        let append = self.appends.next_due().filter(|_| self.may_append(next));
        let timers = [append, self.give_up];
        timers.into_iter().flatten().min()
    }
}

impl Engine {
    pub(crate) fn on_records(&mut self, now: Time, records: Vec<(u64, Bytes)>) {
        let before = self.journal.version;
        for (offset, value) in records {
            match self.journal.apply(offset, &value) {
                Change::Unchanged | Change::Stale | Change::Restored => {}
                Change::Invalid => self.count(Counter::MalformedRecord),
                Change::Rules => {
                    self.count(Counter::RulesInForce);
                    self.on_rules(now);
                }
                Change::View(_) => self.on_view_change(now),
                Change::Gap => return self.outputs.push(Output::ReadLog),
            }
        }
        // What is read at the start is no news to anybody.
        if self.log.synced && self.journal.version > before {
            self.announce_progress(true);
        }
    }

    /// Takes the newest record of each key, at a start or after records that this node lacks have
    /// expired.
    pub(crate) fn on_topic_snapshot(&mut self, now: Time, values: Vec<(u64, Bytes)>, end: u64) {
        let values = journal::sorted_before(values, end);
        let newest = State::from_newest(&values, end);
        if !newest.is_complete_since(self.journal.next_offset) {
            return self.begin_anew(now, newest);
        }
        for (offset, value) in values {
            if offset >= self.journal.next_offset {
                self.journal.skip_to(offset);
                self.on_records(now, vec![(offset, value)]);
            }
        }
        self.journal.skip_to(end);
    }

    /// Views were missed, and the topic does not have them any more.
    fn begin_anew(&mut self, now: Time, newest: State) {
        let rules_back = newest.version < self.journal.version;
        let views_back = newest.next_offset < self.journal.next_offset;
        if rules_back || views_back {
            return self.count(Counter::MalformedRecord);
        }
        self.journal = newest;
        self.count(Counter::StateRestored);
        self.on_rules(now);
        if let Some(view) = self.journal.view(&self.own_instance.service).cloned() {
            let effects = self.home.on_baseline(now, &view);
            self.apply_home(now, effects);
        }
        // Whether this incarnation was in one of the views that were missed cannot be told. In a
        // view again, after others took its place for lost, it could start what they have started.
        if self.log.join_sent && !self.stopping {
            self.expel(now);
        }
    }

    fn on_rules(&mut self, now: Time) {
        let limit = self
            .journal
            .rules
            .service_limits(&self.own_instance.service);
        let operations = || self.journal.rules.all_operations();
        let longest = operations().map(|operation| operation.deadline).max();
        let ranks = match self.cfg.policy.ranks {
            true => PriorityBands::new(self.journal.rules.class_priorities()),
            false => PriorityBands::default(),
        };
        self.server.set_priority_bands(ranks.clone());
        self.admission.set_priority_bands(ranks);
        self.update_quotas();
        let longest = longest.unwrap_or(limit.key_retention);
        self.home.set_time_limits(limit.key_retention, longest);
        self.update_concurrency_bounds();
        self.check_server(now);
        self.mark_roster_changed(now);
    }

    /// Takes a rules file that was given its version elsewhere.
    pub(crate) fn on_rules_published(&mut self, now: Time, version: u64, file: &str) {
        self.log.unreachable = false;
        match self
            .journal
            .apply_external_rules(version, file, self.cfg.parse_rules)
        {
            Change::Rules => {
                self.count(Counter::RulesInForce);
                self.log.synced = true;
                self.on_rules(now);
                self.announce_progress(true);
            }
            Change::Invalid => self.count(Counter::PublicationRejected),
            _ => {}
        }
    }

    pub(crate) fn on_state_restored(&mut self, now: Time) {
        self.count(Counter::StateRestored);
        self.on_rules(now);
        // Views before the one in the state may have been missed.
        self.apply_new_views(now);
    }

    fn on_view_change(&mut self, now: Time) {
        self.mark_roster_changed(now);
        self.apply_new_views(now);
    }

    pub(crate) fn on_log_caught_up(&mut self, now: Time) {
        self.log.unreachable = false;
        self.log.synced = true;
        self.home.on_log_read(now);
        self.check_departed(now);
        // An incarnation that the views have dropped never comes back: it ends, and its next start
        // is another one.
        let dropped = self
            .journal
            .departed
            .contains_key(&self.own_instance.incarnation);
        if !self.stopping
            && !dropped
            && !self.is_listed()
            && self.journal.can_join(&self.own_instance)
        {
            self.append(AppendKey::Join);
        }
        if self.is_oldest_member() && self.journal.next_forget_record().is_some() {
            self.append(AppendKey::DropDeparture);
        }
    }

    /// Whether this is the first instance that the views name: the one that drops what is old.
    fn is_oldest_member(&self) -> bool {
        let oldest = self.journal.instances().next();
        oldest.is_some_and(|oldest| oldest.incarnation == self.own_instance.incarnation)
    }

    /// Has something said, unless it waits to be said already. It is tried until the fold shows its
    /// effect. When the queue is full it is left out and counted; ask again later.
    pub(crate) fn append(&mut self, key: AppendKey) {
        if self.log.appends.contains(key) {
            return;
        }
        if !self.log.appends.has_room(key) {
            return self.count(Counter::AppendDropped);
        }
        self.log.appends.push(key);
    }

    fn record(&self, key: AppendKey) -> Option<Record> {
        let mine = self.own_instance.incarnation;
        Some(match key {
            AppendKey::Join => Record::Join(self.own_instance.clone()),
            AppendKey::Leave => Record::Leave(mine),
            AppendKey::Evict(incarnation) => Record::Evict {
                incarnation,
                by: mine,
            },
            AppendKey::DropDeparture => self.journal.next_forget_record()?,
        })
    }

    /// Drops what the topic shows by now, and starts the next append that is due.
    pub(crate) fn start_due_append(&mut self, now: Time) {
        let mine = self.own_instance.incarnation;
        let journal = &self.journal;
        // A record that would change nothing must not land: it would take the key of one that did.
        self.log.appends.retain(|key| match key {
            AppendKey::Join => !journal.is_listed(mine),
            AppendKey::Leave => !journal.departed.contains_key(&mine),
            AppendKey::Evict(other) => journal.is_listed(other) && journal.is_listed(mine),
            AppendKey::DropDeparture => journal.next_forget_record().is_some(),
        });
        if self.log.give_up.is_some_and(|give_up| give_up <= now) {
            self.log.give_up = None;
            if !self.log.leave_settled() {
                self.log.appends.remove(AppendKey::Leave);
                self.count(Counter::LeaveNotAppended);
            }
        }
        let due = self.log.appends.next_due();
        if due.is_none_or(|due| due > now) || !self.log.may_append(self.journal.next_offset) {
            return;
        }
        let number = self.allocate_id();
        let Some(key) = self.log.appends.start(now, number) else {
            return;
        };
        let Some(record) = self.record(key) else {
            return;
        };
        self.log.join_sent |= key == AppendKey::Join;
        self.log.append_at = self.journal.next_offset;
        self.log.overtaken = false;
        self.outputs.push(Output::Append {
            number,
            at: self.journal.next_offset,
            entries: record.entries(),
        });
    }

    pub(crate) fn on_appended(&mut self, now: Time, number: u64) {
        let Some((key, _)) = self.log.appends.finish(number) else {
            return;
        };
        match key {
            AppendKey::Leave => self.log.appends.remove(key),
            // The fold has the last word; meanwhile there is no reason to say it again.
            _ => self.log.appends.postpone(key, now + MAX_APPEND_RETRY),
        }
        self.outputs.push(Output::ReadLog);
    }

    /// Another record came first, so this one was not appended and never will be. It is made anew
    /// once the other has been read.
    pub(crate) fn on_append_conflict(&mut self, now: Time, number: u64) {
        let Some((key, attempts)) = self.log.appends.finish(number) else {
            return;
        };
        self.count(Counter::AppendConflict);
        let doublings = attempts.saturating_sub(1).min(MAX_CONFLICT_DOUBLINGS);
        let wait = CONFLICT_PAUSE * (1 << doublings);
        let wait = wait.mul_f64(self.rng.random_range(0.0..1.0));
        self.log.appends.postpone(key, now + wait);
        self.log.overtaken = true;
    }

    /// The record may stand in the topic all the same; reading it again tells. All nodes lose
    /// their answers together when the log goes down, so the next try waits longer each time and
    /// for a random part of it; else they would all come back at once.
    pub(crate) fn on_append_lost(&mut self, now: Time, number: u64) {
        let Some((key, attempts)) = self.log.appends.finish(number) else {
            return;
        };
        self.count(Counter::AppendLost);
        let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
        let wait = self.cfg.append_retry_delay * (1 << doublings);
        let wait = wait
            .min(MAX_APPEND_RETRY)
            .mul_f64(self.rng.random_range(0.5..1.0));
        self.log.appends.postpone(key, now + wait);
        self.outputs.push(Output::ReadLog);
    }

    /// Says in the topic that this node leaves. A `Join` that may be on its way makes no difference:
    /// of the two, the one that is appended first keeps the other out or comes before it.
    pub(crate) fn queue_leave(&mut self, now: Time) {
        self.log.appends.remove(AppendKey::Join);
        let gone = self
            .journal
            .departed
            .contains_key(&self.own_instance.incarnation);
        if !gone && (self.log.join_sent || self.is_listed()) {
            self.append(AppendKey::Leave);
            // In an outage of the log a stop would never end. The views go on naming this node
            // then, until another one evicts it.
            self.log.give_up = Some(now + self.cfg.leave_timeout);
        }
    }

    /// Whether rules are in force here that are as new as the log's, or as a peer's.
    pub(crate) fn has_rules(&self) -> bool {
        self.log.synced && self.journal.version > 0
    }

    /// Whether the log's views name this incarnation.
    pub fn is_listed(&self) -> bool {
        self.journal.is_listed(self.own_instance.incarnation)
    }
}
