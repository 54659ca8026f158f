//! How long work is expected to wait, and how long it may.

use super::ServerAdmission;
use crate::AdmissionDecision;
use crate::SlackEvent;
use crate::WorkItem;
use std::time::Duration;
use stdx::Time;

/// Of the work that is expected to miss its deadline, one item in this many runs anyway. If none
/// did, a decrease of the run times would never be measured.
const LATE_PROBE_INTERVAL: u16 = 16;

/// Factor by which protected work may wait longer than lookups.
const PROTECTED_WAIT_FACTOR: u32 = 3;

/// Maximum length of the queue. It is more than a server can process within any deadline and only
/// bounds memory.
const MAX_QUEUE_LEN: usize = 10_000;

impl ServerAdmission {
    /// Queues work that cannot start now, or refuses it if it would wait too long.
    pub(super) fn enqueue(&mut self, now: Time, item: WorkItem) -> AdmissionDecision {
        self.record_slack(&item);
        self.queue.demote_late(now);
        let ahead = self.queue.ahead_of(now, &item, self.switches.class_order);
        let is_over_share = self.is_over_share(&item, ahead);
        let ahead = ahead.saturating_sub(self.displaced_by(&item));
        let token_wait = self.token_wait(now, ahead + 1);
        let drain_time = match item.latest_start.filter(|_| !item.admitted) {
            Some(_) if ahead == 0 && self.can_start_item(now, &item) => Duration::ZERO,
            Some(_) => self.expected_wait(now, &item, ahead + 1),
            None => self.drain_time(ahead + 1),
        };
        let wait = drain_time.max(token_wait);
        let too_late = self.switches.deadline_queue && self.is_too_late(now, &item, wait)
            || self.would_become_late(now, &item, wait);
        let has_own_bound = item.admitted || item.only_here || item.latest_start.is_some();
        let queue_full = ahead >= self.queue_capacity() && !has_own_bound;
        let prefers_siblings =
            self.siblings_have_room && !item.only_here && token_wait > self.max_wait;
        if prefers_siblings || too_late || queue_full || self.queue.len() >= MAX_QUEUE_LEN {
            return self.refuse_arrival(now, item, SlackEvent::RefusedOnArrival);
        }
        if is_over_share {
            return self.refuse_arrival(now, item, SlackEvent::RefusedOverShare);
        }
        self.count_queued(now, &item);
        self.queue.push(now, item);
        AdmissionDecision::Queued
    }

    pub(super) fn pop_expired(&mut self, now: Time) -> Option<WorkItem> {
        let (max_wait, slot_time) = (self.max_wait(), self.slot_time_by_class);
        let recent_runs = self.recent_runs;
        let by_deadline = self.switches.deadline_queue;
        self.queue.pop_expired(|item| {
            let probe = !by_deadline || item.random_value % LATE_PROBE_INTERVAL == 0;
            let lower_bound = if probe {
                Duration::ZERO
            } else {
                let class = item.class as usize;
                recent_runs[class].lower_bound(now, slot_time[class])
            };
            let waited = now.since(item.arrived);
            waited >= max_wait.of(item) || now + lower_bound >= item.deadline
        })
    }

    /// When queued work may start because the rate limit permits it.
    pub(super) fn token_timer(&self) -> Option<Time> {
        let at = self.rate_limiter.as_ref()?.next_token_at()?;
        // Later than the last tick, or the work waits for a slot and not for the rate limit.
        Some(at).filter(|at| !self.queue.is_empty() && *at > self.last_tick)
    }

    /// Whether not even a quick run would end before the deadline after waiting for `wait`.
    pub(super) fn is_too_late(&self, now: Time, item: &WorkItem, wait: Duration) -> bool {
        if !self.switches.deadline_queue {
            return now >= item.deadline;
        }
        if now + wait >= item.deadline {
            return true;
        }
        let class = item.class as usize;
        let lower_bound = self.recent_runs[class].lower_bound(now, self.slot_time_by_class[class]);
        now + wait + lower_bound >= item.deadline && item.random_value % LATE_PROBE_INTERVAL != 0
    }

    /// Maximum number of work items that can leave the queue within the maximum queueing time.
    pub(super) fn queue_capacity(&self) -> usize {
        self.capacity_within(self.max_wait)
    }

    /// Number of work items that can leave the queue within a time.
    pub(super) fn capacity_within(&self, time: Duration) -> usize {
        let limit = f64::from(self.limit.get());
        let capacity = match self.slot_time.0 {
            Some((mean, _)) => limit * time.as_secs_f64() / mean.max(1e-6),
            None => limit,
        };
        let capacity = match &self.rate_limiter {
            Some(limiter) => capacity.min(limiter.rate().per_second() * time.as_secs_f64()),
            None => capacity,
        };
        (capacity as usize).clamp(1, MAX_QUEUE_LEN)
    }

    /// The time until the rate limit permits `count` more requests.
    pub(super) fn token_wait(&self, now: Time, count: usize) -> Duration {
        let limiter = self.rate_limiter.as_ref();
        limiter.map_or(Duration::ZERO, |limiter| limiter.time_for(now, count))
    }

    /// How long work that arrives now would wait for the rate limit, behind all queued work.
    pub fn next_token_wait(&self, now: Time) -> Duration {
        self.token_wait(now, self.queue.len() + 1)
    }

    pub(super) fn max_wait(&self) -> MaxWait {
        let leaves_early = self.rate_limiter.is_some() && self.siblings_have_room;
        MaxWait {
            lookups: self.max_wait,
            bounds_admitted: leaves_early,
        }
    }

    /// The time until `items` work items have left the queue.
    pub(super) fn drain_time(&self, items: usize) -> Duration {
        let Some((mean, _)) = self.slot_time.0 else {
            return Duration::ZERO;
        };
        let secs = items as f64 * mean / f64::from(self.limit.get().max(1));
        Duration::from_secs_f64(secs.min(3600.0))
    }
}

/// How long work items may be queued.
#[derive(Debug, Clone, Copy)]
pub(super) struct MaxWait {
    /// The maximum wait of lookups that begin here.
    lookups: Duration,
    /// Whether calls of admitted actions have a maximum wait too, because another instance may run
    /// them.
    bounds_admitted: bool,
}

impl MaxWait {
    /// The maximum wait of a work item. Work with a latest start was queued because it is expected
    /// to leave the queue in time, and waits until its deadline. Protected work leaves the queue
    /// before all lookups, so it waits long only if protected work alone exceeds the capacity. If
    /// it were refused after the maximum wait of lookups, all queued lookups would be refused with
    /// it (see `hold_lookups`).
    pub(super) fn of(self, item: &WorkItem) -> Duration {
        let has_own_bound = item.admitted || item.latest_start.is_some();
        if item.only_here || has_own_bound && !self.bounds_admitted {
            Duration::MAX
        } else if item.class.is_protected() {
            self.lookups * PROTECTED_WAIT_FACTOR
        } else {
            self.lookups
        }
    }
}
