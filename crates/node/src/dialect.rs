//! HTTP representation of requests and responses, towards callers and the node's own backend
//! server.
//!
//! The engine works on requests, outcomes and refusals. Which headers and statuses carry them
//! depends on the deployment; each `Dialect` maps them with a set of functions.

mod native;
mod platform;

use crate::Settings;
use ::platform::ResponseMatch;
use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_http::Request as HttpRequest;
use actix_http::Response as HttpResponse;
use actix_http::StatusCode;
use bytes::Bytes;
use bytes::BytesMut;
use engine::RunEnd;
use engine::ServerReport;
use httpconn::CompleteResponse;
use httpconn::ResponseStart;
use proto::Outcome;
use proto::Reason;
use proto::Request;
use proto::Response;
use proto::RunId;
use rules::KeyDigest;
use std::sync::Arc;
use std::time::Duration;

/// The head of a caller's request.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub(crate) caller: Arc<str>,
    /// The id of the run that makes this request, from the context header.
    pub(crate) context: Option<Arc<str>>,
    /// The id of the request being served by the caller, if this request's id reveals it.
    pub(crate) parent: Option<Arc<str>>,
    pub(crate) idempotency_key: Option<Arc<str>>,
    /// The digest of the organisation's API key.
    pub(crate) credential: Option<KeyDigest>,
    pub(crate) caller_timeout: Option<Duration>,
    /// The request without its body.
    pub(crate) request: Request,
}

/// The answer to a caller.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) outcome: Outcome,
    /// The idempotency key that the node generated for the request.
    pub(crate) generated_key: Option<Arc<str>>,
}

impl Reply {
    pub(crate) fn new(outcome: Outcome) -> Self {
        Self {
            outcome,
            generated_key: None,
        }
    }
}

/// A run as it is sent to the node's own backend server.
#[derive(Debug)]
pub(crate) struct OutgoingRun<'a> {
    pub(crate) id: RunId,
    pub(crate) request: &'a Request,
    pub(crate) remaining: Duration,
    pub(crate) expected_server: Option<&'a str>,
}

type ParseServerReport = fn(StatusCode, &HeaderMap, Option<&str>) -> Option<ServerReport>;
type ReadHead = dyn Fn(&HttpRequest) -> Result<RequestHead, Reason>;
type RejectHead = dyn Fn(&HttpRequest, Reason) -> HttpResponse<BoxBody>;
type Respond = dyn Fn(&str, Reply) -> HttpResponse<BoxBody>;

/// Maps requests and responses to HTTP for one kind of deployment.
pub(crate) struct Dialect {
    /// Parses a request head.
    pub(crate) read_head: Box<ReadHead>,
    /// Builds the response to a request that could not be read.
    pub(crate) reject_head: Box<RejectHead>,
    /// Builds the response to the request with this id.
    pub(crate) respond: Box<Respond>,
    /// Encodes a request to the backend server.
    pub(crate) encode_run: Box<dyn Fn(&OutgoingRun<'_>) -> BytesMut>,
    /// Encodes a health check of the backend server, from path and host.
    pub(crate) encode_health_check: fn(&str, &str) -> BytesMut,
    /// Whether the response to a health check says that this incarnation is healthy and keeps
    /// accepting work.
    pub(crate) is_healthy: fn(&CompleteResponse, &str) -> bool,
    /// Parses what the expected server incarnation says about itself in the head of a response, if
    /// the response is from that incarnation.
    pub(crate) parse_server_report: ParseServerReport,
    /// Whether a response of the backend server belongs to the request.
    pub(crate) match_response: fn(ResponseStart<'_>, &Request) -> ResponseMatch,
    /// Derives the result of a run from its complete response.
    pub(crate) classify_response: Box<dyn Fn(CompleteResponse) -> RunEnd>,
    /// What the caller gets instead of a response that is too large. The work is done; if this
    /// counted as a broken connection, the request would run again and be suspected of crashing
    /// servers.
    pub(crate) oversized_response: fn() -> Response,
}

impl Dialect {
    pub(crate) fn new(settings: &Settings) -> Self {
        match &settings.platform {
            Some(_) => platform::dialect(settings),
            None => native::dialect(settings),
        }
    }
}

/// A request whose body has not been read yet.
fn request_without_body(
    req: &HttpRequest,
    path: Arc<str>,
    headers: Vec<(Arc<str>, Bytes)>,
) -> Request {
    Request {
        id: "".into(),
        host: "".into(),
        service: "".into(),
        organisation: "".into(),
        method: req.method().as_str().into(),
        path,
        headers,
        body: Bytes::new(),
    }
}
