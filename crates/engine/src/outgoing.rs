//! Calls from this node to other nodes and to itself.

use crate::operation_key::OperationKey;
use crate::RequestToken;
use policy::RetryAllowance;
use proto::ActionId;
use proto::CallId;
use proto::Class;
use proto::Fingerprint;
use proto::Incarnation;
use proto::Instance;
use proto::KeyHash;
use proto::Refusal;
use proto::Request;
use std::time::Duration;
use stdx::Time;

/// A call in flight.
#[derive(Debug)]
pub(crate) struct OutgoingCall {
    pub(crate) token: RequestToken,
    pub(crate) target: Instance,
    /// When the current attempt was first sent.
    pub(crate) sent_at: Time,
    pub(crate) action_id: ActionId,
    pub(crate) admission_sample: u16,
    pub(crate) class: Class,
    pub(crate) priority: u8,
    pub(crate) passed_level: u16,
    pub(crate) depth: u8,
    pub(crate) deadline: Time,
    /// When the latency objective of the action ends, if work is scheduled by slack.
    pub(crate) objective: Option<Time>,
    pub(crate) idempotent: bool,
    pub(crate) key: Option<(KeyHash, Fingerprint)>,
    pub(crate) first_attempt: bool,
    /// The last attempt that the home of the key refused.
    pub(crate) refused_attempt: Option<CallId>,
    pub(crate) operation: OperationKey,
    pub(crate) retry_allowance: RetryAllowance,
    /// The retries delegated to the current attempt.
    pub(crate) delegated_retries: u16,
    /// Whether the run of this call may repeat an earlier one, so that each of its child calls
    /// spends a retry.
    pub(crate) possible_repeat: bool,
    /// Whether an attempt may have run although its answer was lost.
    pub(crate) may_have_run: bool,
    /// Number of calls made directly and indirectly by the runs of this one, as far as answers have
    /// reported them.
    pub(crate) downstream_calls: u16,
    /// Number of attempts of this call.
    pub(crate) attempts: u16,
    /// How often this call may still be retried, whatever its action has left.
    pub(crate) retries_left: u16,
    /// The remaining retries out of [`policy::Switches::hop_retries`].
    pub(crate) hop_retries: u8,
    /// The original attempt of a hedged call, while the answers to both attempts are awaited.
    pub(crate) original: Option<OriginalAttempt>,
    pub(crate) redirects: u8,
    pub(crate) reattaches: u8,
    /// Nodes that this call must not be sent to again.
    pub(crate) avoid: Vec<Incarnation>,
    /// The refusal for load, among those of the instances tried, with the shortest retry delay.
    pub(crate) soonest_refusal: Option<Refusal>,
    pub(crate) request: Request,
}

/// The original attempt of a hedged call.
#[derive(Debug)]
pub(crate) struct OriginalAttempt {
    pub(crate) id: CallId,
    pub(crate) target: Instance,
    pub(crate) delegated_retries: u16,
}

impl OutgoingCall {
    /// Records that an instance refused the call for load.
    pub(crate) fn record_refusal(&mut self, refusal: Refusal) {
        let refusals = self.soonest_refusal.into_iter().chain([refusal]);
        self.soonest_refusal = refusals.min_by_key(|refusal| refusal.retry_after_ms);
    }

    /// Whether a refusal by the key's home is true of all attempts with the key. Once the home may
    /// start runs with the key again, an attempt that was on its way may have run.
    pub(crate) fn refusal_holds(&self, now: Time, refusal: &Refusal) -> bool {
        let promised = Duration::from_millis(u64::from(refusal.no_run_within_ms));
        refusal.reason.is_client_error() || now.since(self.sent_at) <= promised
    }

    /// Limits a refusal to the current attempt if an earlier one may have run. The refusal comes
    /// from a node that has not seen the record of the key, and a key sent by the caller may have
    /// been sent before. If the caller were told that nothing ran, it might order again with
    /// another key and get two orders.
    pub(crate) fn scope_refusal(&self, refusal: Refusal) -> Refusal {
        if self.key.is_some() && !self.first_attempt {
            refusal.for_attempt_only()
        } else {
            refusal
        }
    }
}
