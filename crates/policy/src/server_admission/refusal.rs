//! Refusals, their retry delays, and the hold of lookups after protected work was refused.

use super::ServerAdmission;
use crate::admission_level::retry_jitter;
use crate::AdmissionDecision;
use crate::WorkItem;
use proto::Class;
use proto::Reason;
use proto::Refusal;
use std::time::Duration;
use stdx::Time;

/// Bounds of the retry delay given to refused callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

impl ServerAdmission {
    pub(super) fn refuse_for_load(&mut self, now: Time, item: WorkItem) -> AdmissionDecision {
        if item.admitted {
            // Its deadline is too close because it was delayed before it arrived here. Holding back
            // lookups would not have helped it, and the queued lookups are partly done actions as
            // well. Under a rate limit, another instance may still run it in time.
            let reason = match &self.rate_limiter {
                Some(_) if self.siblings_have_room && !item.only_here => Reason::QueueFull,
                _ => Reason::Deadline,
            };
            return self.refuse(now, reason, item);
        }
        self.hold_lookups(now, item.class);
        self.refuse(now, Reason::QueueFull, item)
    }

    /// Records that work was refused for load before it was offered.
    pub fn on_refused_before_offer(&mut self, now: Time, class: Class) {
        self.hold_lookups(now, class);
    }

    /// If a protected call is refused for load, the queued lookups are refused as well, and so are
    /// those that arrive shortly afterwards.
    pub(super) fn hold_lookups(&mut self, now: Time, class: Class) {
        if class.is_protected() && self.switches.class_order {
            self.lookup_hold.begin(now);
        }
    }

    /// Refuses work with a retry delay.
    pub(super) fn refuse(&self, now: Time, reason: Reason, item: WorkItem) -> AdmissionDecision {
        let wait = self.retry_delay(now, item.random_value);
        AdmissionDecision::Refused(Refusal::new(reason, wait))
    }

    /// The delay after which refused work should come back: the time to work off the backlog, at least
    /// until the rate limit permits one more request, multiplied by the ratio of offered load to
    /// capacity. Callers refused together would come back together, so the random value of the action
    /// varies the delay.
    pub(super) fn retry_delay(&self, now: Time, random_value: u16) -> Duration {
        let backlog = self.drain_time(self.queue.len() + usize::from(self.running));
        let backlog = backlog.max(self.token_wait(now, self.queue.len() + 1));
        let wait = (backlog + MIN_RETRY_AFTER).mul_f64(self.level.overload_ratio().min(100.0));
        let jitter = if self.switches.spread {
            retry_jitter(random_value)
        } else {
            1.0
        };
        wait.mul_f64(jitter).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
