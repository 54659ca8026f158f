//! How requests and answers look: to callers, and to the own backend server.
//!
//! The engine knows requests, outcomes and refusals. Which headers and statuses carry them differs
//! from one deployment to another, and is said here by functions.

mod own;
mod platform;

use crate::Settings;
use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_http::Request as HttpRequest;
use actix_http::Response as HttpResponse;
use bytes::Bytes;
use bytes::BytesMut;
use engine::RunEnd;
use httpconn::CompleteResponse;
use proto::Outcome;
use proto::Reason;
use proto::Request;
use proto::Response;
use proto::RunId;
use rules::KeyDigest;
use std::sync::Arc;
use std::time::Duration;

/// What the head of a request from a caller says.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) caller: Arc<str>,
    pub(crate) context: Option<Arc<str>>,
    pub(crate) parent: Option<Arc<str>>,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) credential: Option<KeyDigest>,
    pub(crate) patience: Option<Duration>,
    /// The request without its body.
    pub(crate) request: Request,
}

/// An answer to a caller.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) outcome: Outcome,
    /// The key that was made for the request.
    pub(crate) made_key: Option<Arc<str>>,
}

impl Reply {
    pub(crate) fn new(outcome: Outcome) -> Self {
        Self {
            outcome,
            made_key: None,
        }
    }
}

/// A run as the own backend server is to see it.
#[derive(Debug)]
pub(crate) struct Run<'a> {
    pub(crate) id: RunId,
    pub(crate) request: &'a Request,
    pub(crate) remaining: Duration,
    pub(crate) expect: Option<&'a str>,
}

type ReadHead = dyn Fn(&HttpRequest) -> Result<Head, Reason>;
type RefuseHead = dyn Fn(&HttpRequest, Reason) -> HttpResponse<BoxBody>;
type Respond = dyn Fn(&str, Reply) -> HttpResponse<BoxBody>;

/// How requests and answers look.
pub(crate) struct Dialect {
    /// Reads a request's head.
    pub(crate) read_head: Box<ReadHead>,
    /// Answers a request that could not be read.
    pub(crate) refuse_head: Box<RefuseHead>,
    /// Answers a request with this id.
    pub(crate) respond: Box<Respond>,
    /// Writes a request to the own backend server.
    pub(crate) encode: Box<dyn Fn(&Run<'_>) -> BytesMut>,
    /// Asks the own backend server at a path whether it is healthy and stays.
    pub(crate) encode_check: fn(&str, &str) -> BytesMut,
    /// Whether it says that this incarnation is.
    pub(crate) is_healthy: fn(&CompleteResponse, &str) -> bool,
    /// Whether a response of the server belongs to the request.
    pub(crate) is_ours: fn(&HeaderMap, &Request) -> bool,
    /// What a whole response says of its run.
    pub(crate) judge: Box<dyn Fn(CompleteResponse) -> RunEnd>,
    /// What the caller gets in place of a response that is too large. The work is done; taken for a
    /// broken connection, it would be run again, and its request be held for one that crashes
    /// servers.
    pub(crate) too_large: fn() -> Response,
}

impl Dialect {
    pub(crate) fn new(settings: &Settings) -> Self {
        match &settings.platform {
            Some(_) => platform::dialect(settings),
            None => own::dialect(settings),
        }
    }
}

/// A request whose body is still to come.
fn without_body(req: &HttpRequest, path: Arc<str>, headers: Vec<(Arc<str>, Bytes)>) -> Request {
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
