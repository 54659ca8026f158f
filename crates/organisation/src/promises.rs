//! The times for which tokens are promised to refused callers.

use std::collections::BTreeMap;
use std::time::Duration;
use stdx::Time;

/// Maximum number of promises of a node for one organisation.
const MAX_PROMISES: usize = 512;

/// How long before its time a promised token is requested. It is longer than a request to the
/// lender takes, and shorter than a token is valid.
const LEAD: Duration = Duration::from_millis(100);

/// How long after its time a promised token is held. Callers return within some milliseconds of
/// the end of their retry delay; the rest allows for a scheduling delay on a busy machine.
const GRACE: Duration = Duration::from_millis(150);

/// Identifies a promise.
pub type PromiseId = (Time, u64);

/// Promises by their time, with whether they are for urgent work.
#[derive(Debug, Default)]
pub(crate) struct Promises {
    by_time: BTreeMap<PromiseId, bool>,
    last_id: u64,
}

impl Promises {
    /// Adds a promise, unless there are too many.
    pub(crate) fn add(&mut self, at: Time, is_urgent: bool) -> Option<PromiseId> {
        if self.by_time.len() >= MAX_PROMISES {
            return None;
        }
        self.last_id += 1;
        let id = (at, self.last_id);
        self.by_time.insert(id, is_urgent);
        Some(id)
    }

    /// Removes a promise whose caller has returned. Returns whether it was still valid.
    pub(crate) fn take(&mut self, id: PromiseId) -> bool {
        self.by_time.remove(&id).is_some()
    }

    /// Removes the promises whose callers have not returned in time.
    pub(crate) fn drop_expired(&mut self, now: Time) {
        while self
            .by_time
            .first_key_value()
            .is_some_and(|((at, _), _)| *at + GRACE <= now)
        {
            self.by_time.pop_first();
        }
    }

    /// The number of promises for work of the given urgency that are due by `until`.
    pub(crate) fn due_by(&self, until: Time, is_urgent: bool) -> usize {
        let due = self.by_time.range(..=(until, u64::MAX));
        due.filter(|(_, urgent)| **urgent == is_urgent).count()
    }

    /// The number of promises for which tokens are held or requested now, and which work of the
    /// given urgency does not precede.
    pub(crate) fn held(&self, now: Time, is_urgent: bool) -> usize {
        let due = self.by_time.range(..=(now + LEAD, u64::MAX));
        due.filter(|(_, urgent)| **urgent || !is_urgent).count()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_time.len()
    }
}
