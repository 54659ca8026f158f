//! Refusals by this node itself.

use crate::Engine;
use proto::Outcome;
use proto::Reason;
use proto::Refusal;
use std::time::Duration;

/// The retry delay of a refusal without a more precise one. Long enough to learn of another node,
/// and short compared with the deadlines of callers, which are several seconds.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Engine {
    pub(crate) fn refusal(&self, reason: Reason) -> Refusal {
        Refusal::new(reason, DEFAULT_RETRY_AFTER)
    }

    pub(crate) fn not_run(&self, reason: Reason) -> Outcome {
        Outcome::NotRun(self.refusal(reason))
    }
}
