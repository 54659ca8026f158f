//! Refusals that this node gives by itself.

use crate::Engine;
use proto::Outcome;
use proto::Reason;
use proto::Refusal;
use std::time::Duration;

/// When a caller may come back after a refusal that says nothing more exact: long enough for another
/// node to be heard of, and short against the deadlines of callers, which are seconds.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Engine {
    pub(crate) fn refusal(&self, reason: Reason) -> Refusal {
        Refusal::new(reason, RETRY_AFTER)
    }

    pub(crate) fn not_run(&self, reason: Reason) -> Outcome {
        Outcome::NotRun(self.refusal(reason))
    }
}
