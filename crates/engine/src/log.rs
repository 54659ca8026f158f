//! The log controller: applies the records of the log topic, and appends this node's own records,
//! above all when it joins and leaves.

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

/// The longest delay between two attempts of the same append.
const MAX_APPEND_BACKOFF: Duration = Duration::from_secs(30);

/// The maximum number of times that the delay after a lost append doubles.
const MAX_LOST_DOUBLINGS: u32 = 5;

/// The delay after an append lost the race for its offset. Doubles with each attempt and is
/// multiplied by a random factor. A read and an append take about 20 ms together, and of nodes that
/// start at the same time one succeeds in each round.
const CONFLICT_BACKOFF: Duration = Duration::from_millis(20);

/// The maximum number of times that the delay after a conflict doubles, up to 2.5 s.
const MAX_CONFLICT_DOUBLINGS: u32 = 7;

/// State of the log controller: the appends of this node, and how far the log could be read.
#[derive(Debug, Default)]
pub(crate) struct LogController {
    /// Whether the last read got no answer.
    pub(crate) unreachable: bool,
    /// Whether the log was read to its end once, or its state was fetched from a peer and no other
    /// node holds newer rules. Before that, the rules and views may be older than those in force
    /// when this process started.
    pub(crate) synced: bool,
    pub(crate) appends: AppendQueue,
    /// The offset of the append in flight, or of the last one.
    append_offset: u64,
    /// Whether the last append conflicted with another record. Until that record has been read,
    /// every further append would conflict as well.
    append_conflicted: bool,
    /// Whether a `Join` of this node is in the topic, or may still reach it.
    join_sent: bool,
    /// When a stopping node gives up waiting for its `Leave` to be appended.
    leave_deadline: Option<Time>,
}

impl LogController {
    /// Whether no `Leave` is waiting to be appended.
    pub(crate) fn leave_settled(&self) -> bool {
        !self.appends.contains(AppendKey::Leave)
    }

    /// Whether a stopping node no longer waits for its `Leave`.
    pub(crate) fn leave_wait_ended(&self) -> bool {
        self.leave_deadline.is_none()
    }

    fn may_append_at(&self, next: u64) -> bool {
        !self.append_conflicted || next > self.append_offset
    }

    /// When the controller next has work to do, given that the topic was read up to `next`.
    pub(crate) fn next_timer(&self, next: u64) -> Option<Time> {
        let append = self.appends.next_due().filter(|_| self.may_append_at(next));
        let timers = [append, self.leave_deadline];
        timers.into_iter().flatten().min()
    }
}

impl Engine {
    pub(crate) fn on_records(&mut self, now: Time, records: Vec<(u64, Bytes)>) {
        let old_version = self.journal.rules_version;
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
        // Records that are read at the start are known to the other nodes.
        if self.log.synced && self.journal.rules_version > old_version {
            self.announce_progress(now, true);
        }
    }

    /// Applies the latest record of each key, at the start or after records that this node has not
    /// read have expired.
    pub(crate) fn on_topic_snapshot(&mut self, now: Time, values: Vec<(u64, Bytes)>, end: u64) {
        let values = journal::sorted_before(values, end);
        let snapshot = State::from_newest(&values, end);
        if !snapshot.is_complete_since(self.journal.next_offset) {
            return self.reset_to(now, snapshot);
        }
        for (offset, value) in values {
            if offset >= self.journal.next_offset {
                self.journal.skip_to(offset);
                self.on_records(now, vec![(offset, value)]);
            }
        }
        self.journal.skip_to(end);
    }

    /// Replaces the state after views were missed that the topic no longer holds.
    fn reset_to(&mut self, now: Time, snapshot: State) {
        let rules_regressed = snapshot.rules_version < self.journal.rules_version;
        let views_regressed = snapshot.next_offset < self.journal.next_offset;
        if rules_regressed || views_regressed {
            return self.count(Counter::MalformedRecord);
        }
        self.journal = snapshot;
        self.count(Counter::StateRestored);
        self.on_rules(now);
        if let Some(view) = self.journal.view(&self.own_instance.service).cloned() {
            let effects = self.home.on_baseline(now, &view);
            self.apply_home(now, effects);
        }
        // It is unknown whether one of the missed views listed this incarnation. If it was
        // considered dead and others took over its slots, joining again could make it start work
        // that they have already started.
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
        let longest_deadline = operations().map(|operation| operation.deadline).max();
        let bands = match self.cfg.policy.ranks {
            true => PriorityBands::new(self.journal.rules.class_priorities()),
            false => PriorityBands::default(),
        };
        self.server.set_priority_bands(bands.clone());
        self.server.forget_runs();
        self.admission.set_priority_bands(bands);
        self.schedules_by_slack = self.journal.rules.schedules_by_slack();
        self.update_quotas();
        let longest_deadline = longest_deadline.unwrap_or(limit.key_retention);
        self.home
            .set_time_limits(limit.key_retention, longest_deadline);
        self.update_concurrency_bounds();
        self.request_health_check(now);
        self.mark_roster_changed(now);
    }

    /// Takes a rules file whose version number was assigned by another service.
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
                self.announce_progress(now, true);
            }
            Change::Invalid => self.count(Counter::PublicationRejected),
            _ => {}
        }
    }

    pub(crate) fn on_state_restored(&mut self, now: Time) {
        self.count(Counter::StateRestored);
        self.on_rules(now);
        // The views before the one in the restored state may have been missed.
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
        // An incarnation that was dropped from the views never joins again: its process ends, and
        // the next start is another incarnation.
        let has_departed = self
            .journal
            .departed
            .contains_key(&self.own_instance.incarnation);
        if !self.stopping
            && !has_departed
            && !self.is_listed()
            && self.journal.can_join(&self.own_instance)
        {
            self.queue_append(AppendKey::Join);
        }
        if self.is_oldest_member() && self.journal.next_forget_record().is_some() {
            self.queue_append(AppendKey::ForgetDeparture);
        }
    }

    /// Whether this is the first instance in the views, the one that removes old departures.
    fn is_oldest_member(&self) -> bool {
        let oldest = self.journal.instances().next();
        oldest.is_some_and(|oldest| oldest.incarnation == self.own_instance.incarnation)
    }

    /// Queues an append unless it is queued already. It is tried until the applied records show its
    /// effect. If the queue is full, the append is dropped and counted, and the caller has to queue
    /// it again later.
    pub(crate) fn queue_append(&mut self, key: AppendKey) {
        if self.log.appends.contains(key) {
            return;
        }
        if !self.log.appends.has_room(key) {
            return self.count(Counter::AppendDropped);
        }
        self.log.appends.push(key);
    }

    fn record_of(&self, key: AppendKey) -> Option<Record> {
        let own_incarnation = self.own_instance.incarnation;
        Some(match key {
            AppendKey::Join => Record::Join(self.own_instance.clone()),
            AppendKey::Leave => Record::Leave(own_incarnation),
            AppendKey::Evict(incarnation) => Record::Evict {
                incarnation,
                by: own_incarnation,
            },
            AppendKey::ForgetDeparture => self.journal.next_forget_record()?,
        })
    }

    /// Removes appends whose effect the topic already shows, and starts the next one that is due.
    pub(crate) fn start_due_append(&mut self, now: Time) {
        let own_incarnation = self.own_instance.incarnation;
        let journal = &self.journal;
        // A record without effect must not be appended: in the compacted topic it would replace the
        // effective record of the same key.
        self.log.appends.retain(|key| match key {
            AppendKey::Join => !journal.is_listed(own_incarnation),
            AppendKey::Leave => !journal.departed.contains_key(&own_incarnation),
            AppendKey::Evict(other) => {
                journal.is_listed(other) && journal.is_listed(own_incarnation)
            }
            AppendKey::ForgetDeparture => journal.next_forget_record().is_some(),
        });
        if self
            .log
            .leave_deadline
            .is_some_and(|deadline| deadline <= now)
        {
            self.log.leave_deadline = None;
            if !self.log.leave_settled() {
                self.log.appends.remove(AppendKey::Leave);
                self.count(Counter::LeaveNotAppended);
            }
        }
        let due = self.log.appends.next_due();
        if due.is_none_or(|due| due > now) || !self.log.may_append_at(self.journal.next_offset) {
            return;
        }
        let number = self.allocate_id();
        let Some(key) = self.log.appends.start(now, number) else {
            return;
        };
        let Some(record) = self.record_of(key) else {
            return;
        };
        self.log.join_sent |= key == AppendKey::Join;
        self.log.append_offset = self.journal.next_offset;
        self.log.append_conflicted = false;
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
            // The applied records decide whether the append took effect; until they show it, there
            // is no reason to repeat it.
            _ => self.log.appends.postpone(key, now + MAX_APPEND_BACKOFF),
        }
        self.outputs.push(Output::ReadLog);
    }

    /// Handles an append whose offset was taken by another record, so that it had no effect and
    /// never will. The record is built again once the other one has been read.
    pub(crate) fn on_append_conflict(&mut self, now: Time, number: u64) {
        let Some((key, attempts)) = self.log.appends.finish(number) else {
            return;
        };
        self.count(Counter::AppendConflict);
        let doublings = attempts.saturating_sub(1).min(MAX_CONFLICT_DOUBLINGS);
        let delay = CONFLICT_BACKOFF * (1 << doublings);
        let delay = delay.mul_f64(self.rng.random_range(0.0..1.0));
        self.log.appends.postpone(key, now + delay);
        self.log.append_conflicted = true;
    }

    /// Handles an append that got no answer. Its record may nevertheless be in the topic; reading
    /// the topic shows whether it is. When the log fails, all nodes lose their answers together, so
    /// the delay doubles with each attempt and has a random part. Otherwise all nodes would return
    /// at the same time.
    pub(crate) fn on_append_lost(&mut self, now: Time, number: u64) {
        let Some((key, attempts)) = self.log.appends.finish(number) else {
            return;
        };
        self.count(Counter::AppendLost);
        let doublings = attempts.saturating_sub(1).min(MAX_LOST_DOUBLINGS);
        let delay = self.cfg.append_retry_delay * (1 << doublings);
        let delay = delay
            .min(MAX_APPEND_BACKOFF)
            .mul_f64(self.rng.random_range(0.5..1.0));
        self.log.appends.postpone(key, now + delay);
        self.outputs.push(Output::ReadLog);
    }

    /// Queues the `Leave` of this node. A `Join` that is still in flight does no harm: if the
    /// `Leave` is appended first, it keeps the `Join` out; otherwise it follows it.
    pub(crate) fn queue_leave(&mut self, now: Time) {
        self.log.appends.remove(AppendKey::Join);
        let has_departed = self
            .journal
            .departed
            .contains_key(&self.own_instance.incarnation);
        if !has_departed && (self.log.join_sent || self.is_listed()) {
            self.queue_append(AppendKey::Leave);
            // Without a time limit, a stop during an outage of the log would never end. The views
            // then still list this node until another one evicts it.
            self.log.leave_deadline = Some(now + self.cfg.leave_timeout);
        }
    }

    /// Whether rules are in force that came from a log read to its end, or from peers.
    pub(crate) fn has_rules(&self) -> bool {
        self.log.synced && self.journal.rules_version > 0
    }

    /// Whether the views in the log list this incarnation.
    pub fn is_listed(&self) -> bool {
        self.journal.is_listed(self.own_instance.incarnation)
    }
}
