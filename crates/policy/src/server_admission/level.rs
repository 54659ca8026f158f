//! The admission level of one backend server: from the load offered to its slots, and from the
//! requests offered under the rate limit that it has named.

use super::ServerAdmission;
use crate::admission_level::Capacity;
use crate::rate_limiter::RateLimiter;
use crate::RequestRate;
use crate::WorkItem;
use proto::Class;
use std::time::Duration;
use stdx::Time;

impl ServerAdmission {
    /// The current admission level.
    pub fn level(&self) -> u16 {
        self.slot_level().max(self.rate_level())
    }

    /// The admission level for an action that arrives now.
    pub(super) fn level_for(&self, now: Time, item: &WorkItem) -> u16 {
        let is_idle = self.running == 0 && self.queue.is_empty();
        // The load of one long action can exceed the average that a few slots can take.
        let is_exempt = is_idle || item.waits_by_choice();
        let slot_level = if is_exempt { 0 } else { self.slot_level() };
        let rate_level = match self.rate_limit_permits(now, item.class) {
            true => 0,
            false => self.rate_level(),
        };
        slot_level.max(rate_level)
    }

    /// The admission level by the rate limit.
    pub(super) fn rate_level(&self) -> u16 {
        match self.switches.levels && !self.siblings_have_room {
            true => self.level.rate_level(),
            false => 0,
        }
    }

    /// Whether the rate limit permits an action of this class now, whatever the average says. Under a
    /// limit of less than one request per second, the average would shed nearly all actions, also
    /// those that the server accepts. A lookup needs a full bucket, so that under overload the
    /// tokens are left to protected actions.
    pub(super) fn rate_limit_permits(&self, now: Time, class: Class) -> bool {
        let Some(limiter) = &self.rate_limiter else {
            return true;
        };
        let has_token = limiter.is_full(now) || class.is_protected() && limiter.has_token(now);
        self.queue.is_empty() && has_token
    }

    /// The admission level by the concurrency limit.
    pub(super) fn slot_level(&self) -> u16 {
        if self.switches.levels {
            self.level.get()
        } else {
            0
        }
    }

    /// Updates the admission level, so that it also falls while no work arrives.
    pub fn tick(&mut self, now: Time) {
        self.last_tick = now;
        let rate = self.rate_limiter.as_ref().map(RateLimiter::rate);
        let capacity = Capacity {
            slots: self.limit.get(),
            requests_per_second: rate.map(RequestRate::per_second),
            queued: self.queue.len(),
            queued_protected: self.queue.protected_len(),
            queued_by_choice: self.queue.patient_len(),
            slot_time: self.slot_time.mean().unwrap_or(Duration::ZERO),
        };
        self.level.update(now, capacity);
    }
}
