//! A request from a caller or from the own backend server, as its entry holds it.

use crate::RequestToken;
use organisation::Credit;
use policy::Account;
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

/// Stands for a caller and its request, whole.
pub(crate) type RequestHash = u64;

/// A request in flight at this node.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    /// The present attempt.
    pub(crate) call: CallId,
    /// The run that asked, for a child call.
    pub(crate) parent: Option<RunId>,
    /// The retries that the parent lent.
    pub(crate) delegated_retries: u16,
    /// The key that this node made.
    pub(crate) generated_key: Option<Arc<str>>,
    pub(crate) operation: Operation,
    /// The token of its organisation's quota that it was admitted with.
    pub(crate) quota_token: Option<Credit>,
    /// What was sent, for a request whose re-sends may wait for it.
    pub(crate) request_hash: Option<RequestHash>,
    /// Requests that wait for this one's answer.
    pub(crate) followers: Vec<RequestToken>,
}

/// A request as it came.
#[derive(Debug)]
pub(crate) struct Arrival {
    pub(crate) token: RequestToken,
    pub(crate) at: Time,
    pub(crate) caller: Arc<str>,
    pub(crate) parents: ParentInfo,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) credential: Option<KeyDigest>,
    pub(crate) caller_timeout: Option<Duration>,
    pub(crate) request: Request,
}

/// What is written down and answered of a request that is refused before it was opened.
#[derive(Debug)]
pub(crate) struct RefusedRequest {
    pub(crate) token: RequestToken,
    pub(crate) request: Arc<str>,
    pub(crate) organisation: Arc<str>,
    /// Its caller sent an idempotency key.
    pub(crate) keyed: bool,
}

impl RefusedRequest {
    pub(crate) fn new(token: RequestToken, keyed: bool, request: &Request) -> Self {
        Self {
            token,
            request: request.id.clone(),
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

/// What a request says of the run that it is part of.
#[derive(Debug, Clone)]
pub(crate) struct ParentInfo {
    pub(crate) context: Option<Arc<str>>,
    pub(crate) parent: Option<Arc<str>>,
}

/// What the filters have found out about a request.
pub(crate) struct RequestDraft {
    pub(crate) token: RequestToken,
    pub(crate) request: Request,
    pub(crate) operation: Operation,
    pub(crate) action_id: ActionId,
    pub(crate) admission_sample: u16,
    /// What the whole action is for.
    pub(crate) class: Class,
    pub(crate) priority: u8,
    /// The admission level that the action passed at its first hop, as far as it got there.
    pub(crate) passed_level: u16,
    pub(crate) depth: u8,
    pub(crate) deadline: Time,
    pub(crate) retry_allowance: Account,
    pub(crate) parent: Option<RunId>,
    pub(crate) delegated_retries: u16,
    pub(crate) key: Option<(KeyHash, Fingerprint)>,
    /// No attempt with this key can have been made before.
    pub(crate) first_attempt: bool,
    pub(crate) generated_key: Option<Arc<str>>,
    /// Each attempt below counts as a retry.
    pub(crate) possible_repeat: bool,
    pub(crate) quota_token: Option<Credit>,
    pub(crate) request_hash: Option<RequestHash>,
}
