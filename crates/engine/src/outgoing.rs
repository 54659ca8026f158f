//! A call of this node to another, or to itself.

use crate::operation_key::OperationKey;
use crate::RequestToken;
use policy::Account;
use proto::ActionId;
use proto::CallId;
use proto::Class;
use proto::Fingerprint;
use proto::Incarnation;
use proto::Instance;
use proto::KeyHash;
use proto::Refusal;
use proto::Request;
use stdx::Time;

/// A call in flight.
#[derive(Debug)]
pub(crate) struct OutgoingCall {
    pub(crate) token: RequestToken,
    pub(crate) target: Instance,
    pub(crate) action_id: ActionId,
    pub(crate) admission_sample: u16,
    pub(crate) class: Class,
    pub(crate) priority: u8,
    pub(crate) passed_level: u16,
    pub(crate) depth: u8,
    pub(crate) deadline: Time,
    pub(crate) idempotent: bool,
    pub(crate) key: Option<(KeyHash, Fingerprint)>,
    pub(crate) first_attempt: bool,
    pub(crate) operation: OperationKey,
    pub(crate) retry_allowance: Account,
    /// Lent to the present attempt.
    pub(crate) delegated_retries: u16,
    /// Each attempt below counts as a retry.
    pub(crate) possible_repeat: bool,
    /// An attempt may have run whose answer was lost.
    pub(crate) may_have_run: bool,
    /// Attempts below, as far as answers told.
    pub(crate) calls_below: u16,
    /// Attempts of this call itself.
    pub(crate) attempts: u16,
    /// How often this call itself may be tried again, whatever its action has left.
    pub(crate) retries_left: u16,
    /// Left of [`policy::Switches::hop_retries`].
    pub(crate) hop_retries: u8,
    /// The attempt before this one, while both are awaited.
    pub(crate) earlier: Option<EarlierAttempt>,
    pub(crate) redirects: u8,
    pub(crate) reattaches: u8,
    /// Nodes that this call shall not go to again.
    pub(crate) avoid: Vec<Incarnation>,
    pub(crate) request: Request,
}

/// An attempt whose answer is late.
#[derive(Debug)]
pub(crate) struct EarlierAttempt {
    pub(crate) id: CallId,
    pub(crate) target: Instance,
    pub(crate) delegated_retries: u16,
}

impl OutgoingCall {
    /// A refusal by somebody who does not know the key's record. An earlier attempt with a key that
    /// a caller sent may have run; saying "not run" of it, the caller might order again with
    /// another key, and get two.
    pub(crate) fn scope_refusal(&self, refusal: Refusal) -> Refusal {
        if self.key.is_some() && !self.first_attempt {
            refusal.of_this_attempt()
        } else {
            refusal
        }
    }
}
