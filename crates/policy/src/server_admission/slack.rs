//! Work that is scheduled by slack: how long it may wait, and when it is refused.

use super::ServerAdmission;
use crate::queue::Place;
use crate::AdmissionDecision;
use crate::RunTimes;
use crate::SlackEvent;
use crate::WorkItem;
use crate::WorkOutcome;
use proto::Class;
use std::time::Duration;
use stdx::Time;

/// Queued work is refused as infeasible only if it would miss its deadline even after this share of
/// the expected wait for the work ahead. Refusals are final, and the wait varies with the mean run
/// time.
const INFEASIBLE_WAIT_SHARE: f64 = 0.75;

/// The maximum number of operations whose run times are kept.
pub(super) const MAX_OPERATIONS: usize = 1024;

/// Weight of a run in the recent slot time: one in this many. It follows a change within a second
/// on a server that ends 30 runs per second.
const RECENT_WINDOW: f64 = 16.0;

/// The share of the slots that less urgent work is assumed to get at least. The load offered by more
/// urgent work is an average over 0.6 s, and a short burst of it must not have other work refused.
const MIN_FREE_SHARE: f64 = 0.25;

/// The share of the queue that one organisation may hold while another one is waiting: one in this
/// many.
const ORGANISATION_SHARE: usize = 2;

/// Counts of events since they were last taken.
#[derive(Debug, Default)]
pub(super) struct SlackCounts([u32; SlackEvent::ALL.len()]);

impl SlackCounts {
    pub(super) fn add(&mut self, event: SlackEvent) {
        let count = &mut self.0[event as usize];
        *count = count.saturating_add(1);
    }
}

impl ServerAdmission {
    /// The admission level that an action which begins here has to pass. Patient work with a known
    /// latest start is exempt from the slot level: the level takes a burst of 0.6 s for overload,
    /// and the queue can serve the burst later and still in time. What the queue cannot serve in
    /// time is refused on arrival instead.
    pub fn level_of(&self, item: &WorkItem) -> u16 {
        match item.waits_by_choice() {
            true => self.rate_level(),
            false => self.level(),
        }
    }

    /// The events of scheduling by slack since the last call, with their numbers.
    pub fn take_slack_events(&mut self) -> impl Iterator<Item = (SlackEvent, u32)> {
        let counts = std::mem::take(&mut self.slack_counts).0;
        let events = SlackEvent::ALL.into_iter().zip(counts);
        events.filter(|(_, count)| *count > 0)
    }

    /// Number of queued work items that can no longer meet their objectives, and number of patient
    /// actions that wait for a slot.
    pub fn slack_occupancy(&self) -> (usize, usize) {
        (self.queue.late_len(), self.queue.patient_len())
    }

    /// Records how long a run of an operation took, with the calls that it made.
    pub fn record_run_time(&mut self, operation: u32, elapsed: Duration) {
        if self.run_times.get(&operation).is_none() {
            self.run_times.insert(operation, RunTimes::default());
        }
        if let Some(run_times) = self.run_times.get_mut(&operation) {
            run_times.record(elapsed);
        }
    }

    /// A duration that few runs of an operation exceed, if enough of them were recorded.
    pub fn long_run_time(&self, operation: u32) -> Option<Duration> {
        self.run_times.get(&operation)?.high_quantile()
    }

    pub(super) fn record_recent_slot_time(&mut self, class: Class, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let mean = self.recent_slot_time[class as usize].get_or_insert(elapsed);
        *mean += (elapsed - *mean) / RECENT_WINDOW;
    }

    /// The time that `items` work items take on `slots`. Those before a work item are mostly of its
    /// own class.
    fn wait_on(&self, item: &WorkItem, items: usize, slots: f64) -> Duration {
        let mean = self.recent_slot_time[item.class as usize].unwrap_or(0.0);
        let secs = items as f64 * mean / slots.max(MIN_FREE_SHARE);
        Duration::from_secs_f64(secs.clamp(0.0, 3600.0))
    }

    /// The expected time until `items` work items up to this one have left the queue. More urgent
    /// work that arrives meanwhile goes before it, so it counts only on the slots that such work
    /// leaves.
    pub(super) fn expected_wait(&self, now: Time, item: &WorkItem, items: usize) -> Duration {
        let slots = f64::from(self.limit.get());
        let left = slots - self.level.slots_before(now, item);
        self.wait_on(item, items, left.max(slots * MIN_FREE_SHARE))
    }

    /// Whether an action that begins here cannot be queued, because it would wait beyond its latest
    /// start, or end after its deadline. Work that is late on arrival waits for as long as its
    /// deadline allows, and so do calls of admitted actions.
    pub(super) fn would_become_late(&self, now: Time, item: &WorkItem, wait: Duration) -> bool {
        let latest = item.latest_start.filter(|at| *at >= now && !item.admitted);
        latest.is_some_and(|at| now + wait > at) || self.would_end_too_late(now, item, wait)
    }

    /// Whether a patient action that begins here would probably end after its deadline, if it were
    /// started after this wait. Its caller can come back and still be served in time, whereas the
    /// caller of a run that ends too late does not know whether it ran.
    pub(super) fn would_end_too_late(&self, now: Time, item: &WorkItem, wait: Duration) -> bool {
        if !self.switches.deadline_queue || !item.waits_by_choice() {
            return false;
        }
        let Some(run_time) = self.long_run_time(item.operation) else {
            return false;
        };
        // Work that is started soon after its arrival always runs: if none did, a decrease of the
        // run times would never be measured.
        let run_time = run_time.min(item.arrived.until(item.deadline) / 2);
        now + wait + run_time > item.deadline
    }

    /// Whether the organisation of an action that begins here has its share of the queue, while
    /// another one is waiting, and none of its queued actions is less urgent than this one, which
    /// has `ahead` work items before it. A less urgent one would be refused instead.
    pub(super) fn is_over_share(&self, item: &WorkItem, ahead: usize) -> bool {
        let queued = self.queue.contended_count(item.organisation);
        let queued = queued.filter(|_| item.counts_for_organisation());
        queued.is_some_and(|queued| queued >= self.organisation_share())
            && !self.queue.has_behind(item.organisation, ahead)
    }

    /// How many of the work items ahead of an action leave the queue because their organisations
    /// have more than their share of it, as soon as the action is waiting.
    pub(super) fn displaced_by(&self, item: &WorkItem) -> usize {
        if !item.counts_for_organisation() {
            return 0;
        }
        let share = self.organisation_share();
        self.queue.excess_of_others(item.organisation, share)
    }

    /// The number of queued actions that one organisation may have while another one is waiting:
    /// half of what the server can run within the longest time that its work may wait.
    fn organisation_share(&self) -> usize {
        let within = self.longest_slack.max(self.max_wait);
        (self.capacity_within(within) / ORGANISATION_SHARE).max(1)
    }

    /// Records how long work may wait.
    pub(super) fn record_slack(&mut self, item: &WorkItem) {
        self.longest_slack = self.longest_slack.max(item.slack().unwrap_or_default());
    }

    /// Removes a queued action that must be refused: of an organisation above its share, or one
    /// that can no longer be answered by its deadline although it is not yet due. Such work is
    /// refused early, so that its caller can come back.
    pub(super) fn evict_by_slack(&mut self, now: Time) -> Option<WorkItem> {
        let over_share = self.queue.find_over_share(self.organisation_share());
        let (place, event) = match over_share {
            Some(place) => (place, SlackEvent::RefusedOverShare),
            None => (self.find_infeasible(now)?, SlackEvent::RefusedInQueue),
        };
        let item = self.queue.take(place)?;
        self.slack_counts.add(event);
        Some(item)
    }

    fn find_infeasible(&self, now: Time) -> Option<Place> {
        if !self.switches.deadline_queue || !self.switches.class_order {
            return None;
        }
        self.queue.find_infeasible(|item, ahead| {
            // A slot may become free at any moment, so only the work ahead counts.
            let wait = self.expected_wait(now, item, ahead);
            let wait = wait.mul_f64(INFEASIBLE_WAIT_SHARE);
            self.is_too_late(now, item, wait) || self.would_end_too_late(now, item, wait)
        })
    }

    /// The number of slots that are kept for urgent work.
    pub fn reserved_slots(&self) -> u16 {
        self.reserve.slots(self.last_tick, self.limit.get())
    }

    pub(super) fn record_urgent(&mut self, now: Time, item: &WorkItem) {
        if let Some(run_time) = self.long_run_time(item.operation) {
            self.reserve.record_arrival(now, item, run_time);
        }
    }

    pub(super) fn record_hold(&mut self, now: Time, outcome: WorkOutcome) {
        let (WorkOutcome::Completed { elapsed, own_time }
        | WorkOutcome::Abandoned { elapsed, own_time }) = outcome
        else {
            return;
        };
        self.reserve.record_run(now, elapsed, own_time);
    }

    /// Whether work may use a free slot, or all free slots are kept for more urgent work.
    pub(super) fn may_use_slot(&self, now: Time, item: &WorkItem) -> bool {
        let limit = self.limit.get();
        let kept = self.reserve.slots(now, limit);
        self.running < limit.saturating_sub(kept) || kept == 0 || self.reserve.is_urgent(now, item)
    }

    pub(super) fn can_start_item(&self, now: Time, item: &WorkItem) -> bool {
        self.can_start(now, item.class) && self.may_use_slot(now, item)
    }

    /// When queued work may use the slots that are kept for urgent work.
    pub(super) fn reserve_timer(&self) -> Option<Time> {
        let front = self.queue.front(self.switches.class_order)?;
        if self.may_use_slot(self.last_tick, front) {
            return None;
        }
        let kept = self.reserved_slots();
        let at = self.reserve.released_at(self.last_tick, front, kept);
        at.filter(|at| *at > self.last_tick)
    }

    /// Counts queued work that has a latest start, by what it waits for.
    pub(super) fn count_queued(&mut self, now: Time, item: &WorkItem) {
        if item.latest_start.is_none() {
            return;
        }
        self.slack_counts.add(match self.has_capacity(item.class) {
            true if !self.has_token(now) => SlackEvent::WaitedForRateLimit,
            true if !self.may_use_slot(now, item) => SlackEvent::WaitedForReserve,
            _ => SlackEvent::WaitedForSlot,
        });
    }

    pub(super) fn count_expired(&mut self, item: &WorkItem) {
        if item.latest_start.is_some() {
            self.slack_counts.add(SlackEvent::RefusedInQueue);
        }
    }

    pub(super) fn count_started(&mut self, now: Time, item: &WorkItem) {
        if item.latest_start.is_some_and(|at| at < now) {
            self.slack_counts.add(SlackEvent::StartedLate);
        }
    }

    /// Refuses work on arrival, and counts why.
    pub(super) fn refuse_arrival(
        &mut self,
        now: Time,
        item: WorkItem,
        event: SlackEvent,
    ) -> AdmissionDecision {
        if item.latest_start.is_some() && !item.admitted {
            self.slack_counts.add(event);
        }
        self.refuse_for_load(now, item)
    }
}
