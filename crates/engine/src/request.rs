//! A request from a caller or from this node's backend server, as its ingress node holds it.

use crate::RequestToken;
use organisation::QuotaToken;
use policy::RetryAllowance;
use proto::ActionId;
use proto::CallId;
use proto::Class;
use proto::Fingerprint;
use proto::KeyHash;
use proto::Request;
use proto::RunId;
use rules::KeyDigest;
use rules::Operation;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

/// A hash of a caller and its complete request.
pub(crate) type RequestHash = u64;

/// A request in flight at this node.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    /// The current attempt.
    pub(crate) call: CallId,
    /// The run that made this child call.
    pub(crate) parent: Option<RunId>,
    /// The retries that the parent run delegated to this request.
    pub(crate) retries_from_parent: u16,
    /// The idempotency key that this node generated.
    pub(crate) generated_key: Option<Arc<str>>,
    pub(crate) operation: Operation,
    /// The quota token with which the request was admitted.
    pub(crate) quota_token: Option<QuotaToken>,
    /// Identifies the request if re-sends of it may wait for its answer.
    pub(crate) request_hash: Option<RequestHash>,
    /// Requests that wait for the answer to this one.
    pub(crate) followers: Vec<RequestToken>,
}

/// A request as it arrived.
#[derive(Debug)]
pub(crate) struct Arrival {
    pub(crate) token: RequestToken,
    pub(crate) at: Time,
    /// When the caller's first attempt arrived; earlier than `at` if the caller was refused and has
    /// returned.
    pub(crate) first_at: Time,
    pub(crate) caller: Arc<str>,
    pub(crate) parents: ParentInfo,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) credential: Option<KeyDigest>,
    pub(crate) caller_timeout: Option<Duration>,
    pub(crate) request: Request,
}

/// What is needed to answer and log a request that is refused before it is opened.
#[derive(Debug)]
pub(crate) struct RefusedRequest {
    pub(crate) token: RequestToken,
    pub(crate) request_id: Arc<str>,
    pub(crate) organisation: Arc<str>,
    /// Whether the caller sent an idempotency key.
    pub(crate) keyed: bool,
}

impl RefusedRequest {
    pub(crate) fn new(token: RequestToken, keyed: bool, request: &Request) -> Self {
        Self {
            token,
            request_id: request.id.clone(),
            organisation: request.organisation.clone(),
            keyed,
        }
    }
}

impl From<&Arrival> for RefusedRequest {
    fn from(arrival: &Arrival) -> Self {
        Self::new(arrival.token, arrival.key.is_some(), &arrival.request)
    }
}

/// What a request says about the run that it is part of.
#[derive(Debug, Clone)]
pub(crate) struct ParentInfo {
    /// The context header, which names the run.
    pub(crate) context: Option<Arc<str>>,
    /// The id of the request that the run serves, if it could be derived from the id of this one.
    pub(crate) parent_request_id: Option<Arc<str>>,
}

/// A request on its way through the filter chain.
pub(crate) struct RequestDraft {
    pub(crate) token: RequestToken,
    pub(crate) request: Request,
    pub(crate) operation: Operation,
    pub(crate) action_id: ActionId,
    pub(crate) admission_sample: u16,
    /// The class of the whole action.
    pub(crate) class: Class,
    pub(crate) priority: u8,
    /// The admission level that the action passed at its entry node; 0 until it is checked there.
    pub(crate) passed_level: u16,
    pub(crate) depth: u8,
    pub(crate) deadline: Time,
    /// When the latency objective of the action ends, if work is scheduled by slack.
    pub(crate) objective: Option<Time>,
    pub(crate) retry_allowance: RetryAllowance,
    pub(crate) parent: Option<RunId>,
    /// The retries that the parent run delegated to this request.
    pub(crate) retries_from_parent: u16,
    pub(crate) key: Option<(KeyHash, Fingerprint)>,
    /// Whether this is certainly the first attempt with this key.
    pub(crate) first_attempt: bool,
    pub(crate) generated_key: Option<Arc<str>>,
    /// Whether the run of this call may repeat an earlier one, so that each of its child calls
    /// spends a retry.
    pub(crate) possible_repeat: bool,
    pub(crate) quota_token: Option<QuotaToken>,
    pub(crate) request_hash: Option<RequestHash>,
}
