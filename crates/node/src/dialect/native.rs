//! The native HTTP interface: paths of the form `/SERVICE/REST`, and headers that start with
//! `bilberry`.

use super::request_without_body;
use super::Dialect;
use super::OutgoingRun;
use super::Reply;
use super::RequestHead;
use crate::Settings;
use actix_http::body::BoxBody;
use actix_http::header::HeaderName;
use actix_http::header::AUTHORIZATION;
use actix_http::header::RETRY_AFTER;
use actix_http::HttpMessage;
use actix_http::Request as HttpRequest;
use actix_http::Response as HttpResponse;
use actix_http::StatusCode;
use bytes::Bytes;
use bytes::BytesMut;
use engine::RunEnd;
use httpconn::encode_request;
use httpconn::end_to_end_headers;
use httpconn::single_header;
use httpconn::CompleteResponse;
use platform::ResponseMatch;
use proto::Outcome;
use proto::Reason;
use proto::Refusal;
use proto::Request;
use proto::Response;
use rules::KeyDigest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How a call ended: `whole`, `not-run` or `unknown`.
const OUTCOME_HEADER: &str = "bilberry-outcome";

/// `not-run` if this attempt certainly did not run, regardless of earlier attempts with the same
/// key.
const ATTEMPT_HEADER: &str = "bilberry-attempt";

/// When to repeat a call with an unknown outcome, with the same key, in seconds.
const UNKNOWN_RETRY_AFTER: &str = "1";

/// Why a call did not complete.
const REASON_HEADER: &str = "bilberry-reason";

/// The caller's idempotency key, or the one that the node generated.
const KEY_HEADER: &str = "idempotency-key";

/// The id of a run, copied by the backend server from the request it serves to the requests it
/// makes.
const CONTEXT_HEADER: &str = "bilberry-context";

/// The time left for the response, in milliseconds: on requests from callers and to the backend
/// server.
const DEADLINE_HEADER: &str = "bilberry-deadline-ms";

/// Headers that the node sets itself, removed from the backend server's responses.
const NODE_SET_HEADERS: [&str; 3] = [CONTEXT_HEADER, DEADLINE_HEADER, ORGANISATION_HEADER];

/// Request headers that are not forwarded: those that the node sets itself, and the organisation's
/// API key.
const STRIPPED_REQUEST_HEADERS: [&str; 4] = [
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    ORGANISATION_HEADER,
    "authorization",
];

/// The organisation that sent the request, for the backend server.
const ORGANISATION_HEADER: &str = "bilberry-organisation";

/// Prefix of an organisation's API key (RFC 6750, 2.1).
const BEARER_PREFIX: &str = "Bearer ";

pub(super) fn dialect(settings: &Settings) -> Dialect {
    let caller_header = settings.caller_header.clone();
    let refusal_header = settings.refusal_header.clone();
    let addr = settings.backend_server_addr;
    Dialect {
        read_head: Box::new(move |req| read_head(req, &caller_header)),
        reject_head: Box::new(reject_head),
        respond: Box::new(|_id, reply| respond(reply)),
        encode_run: Box::new(move |run: &OutgoingRun<'_>| encode_run(run, addr)),
        encode_health_check: |path, host| {
            httpconn::encode_request("GET", path, &[], &[("host", host)], &[])
        },
        is_healthy: |response, _| response.status.is_success(),
        parse_server_report: |_, _, _| None,
        match_response: |_, _| ResponseMatch::Identified,
        classify_response: Box::new(move |response| classify_response(response, &refusal_header)),
        oversized_response,
    }
}

fn read_head(req: &HttpRequest, caller_header: &str) -> Result<RequestHead, Reason> {
    let address = req.peer_addr().map(|addr| addr.ip().to_string().into());
    let caller = optional_header(req, caller_header, Reason::BadRequest)?;
    let (service, path) = split_target(req)?;
    let headers = end_to_end_headers(req.headers(), &STRIPPED_REQUEST_HEADERS);
    Ok(RequestHead {
        caller: caller.or(address).unwrap_or_else(|| "".into()),
        credential: credential(req),
        context: optional_header(req, CONTEXT_HEADER, Reason::BadRequest)?,
        parent: None,
        idempotency_key: optional_header(req, KEY_HEADER, Reason::BadKey)?,
        caller_timeout: read_caller_timeout(req)?,
        request: Request {
            service,
            ..request_without_body(req, path, headers)
        },
    })
}

fn credential(req: &HttpRequest) -> Option<KeyDigest> {
    let value = single_header(req.headers(), AUTHORIZATION.as_str()).ok()??;
    let key = value.strip_prefix(BEARER_PREFIX)?;
    Some(KeyDigest::of(key)).filter(|_| !key.is_empty())
}

fn reject_head(req: &HttpRequest, reason: Reason) -> HttpResponse<BoxBody> {
    let has_key = req.headers().contains_key(KEY_HEADER);
    respond(Reply::new(not_run_outcome(reason, has_key)))
}

fn encode_run(run: &OutgoingRun<'_>, addr: SocketAddr) -> BytesMut {
    let req = run.request;
    let (host, id) = (addr.to_string(), run.id.to_string());
    let millis = run.remaining.as_millis().to_string();
    let mut extra_headers = vec![
        ("host", &*host),
        (CONTEXT_HEADER, &*id),
        (DEADLINE_HEADER, &*millis),
    ];
    if !req.organisation.is_empty() {
        extra_headers.push((ORGANISATION_HEADER, &*req.organisation));
    }
    encode_request(
        &req.method,
        &req.path,
        &req.headers,
        &extra_headers,
        &req.body,
    )
}

fn classify_response(response: CompleteResponse, refusal_header: &str) -> RunEnd {
    if response.headers.contains_key(refusal_header) {
        let retry_after = response.headers.get(RETRY_AFTER);
        let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        return RunEnd::Refused {
            retry_after: seconds.map(Duration::from_secs),
        };
    }
    RunEnd::Response(Response {
        status: response.status.as_u16(),
        headers: end_to_end_headers(&response.headers, &NODE_SET_HEADERS),
        body: response.body,
    })
}

/// The response to a caller whose actual response exceeds the size limit.
fn oversized_response() -> Response {
    Response {
        status: StatusCode::BAD_GATEWAY.as_u16(),
        headers: vec![(REASON_HEADER.into(), Reason::TooLarge.name().into())],
        body: Bytes::new(),
    }
}

/// Splits `/SERVICE/REST` into the service and `/REST`.
fn split_target(req: &HttpRequest) -> Result<(Arc<str>, Arc<str>), Reason> {
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    let path = path.strip_prefix('/').unwrap_or(path);
    let (service, rest) = path.split_once('/').ok_or(Reason::NoSuchOperation)?;
    Ok((service.into(), format!("/{rest}").into()))
}

/// Reads the caller's time limit from its header. An invalid value is an error: if it were ignored,
/// the work would continue long after the caller has left.
fn read_caller_timeout(req: &HttpRequest) -> Result<Option<Duration>, Reason> {
    let Some(text) = optional_header(req, DEADLINE_HEADER, Reason::BadRequest)? else {
        return Ok(None);
    };
    let millis = text.parse().map_err(|_| Reason::BadRequest)?;
    Ok(Some(Duration::from_millis(millis)))
}

fn optional_header(
    req: &HttpRequest,
    name: &str,
    invalid: Reason,
) -> Result<Option<Arc<str>>, Reason> {
    let text = single_header(req.headers(), name).map_err(|_| invalid)?;
    Ok(text.map(Into::into))
}

fn not_run_outcome(reason: Reason, has_key: bool) -> Outcome {
    let refusal = Refusal::new(reason, Duration::from_secs(1));
    if has_key && !reason.is_client_error() {
        return Outcome::NotRun(refusal.for_attempt_only());
    }
    Outcome::NotRun(refusal)
}

fn respond(reply: Reply) -> HttpResponse<BoxBody> {
    let Reply {
        outcome,
        generated_key,
    } = reply;
    let mut response = match &outcome {
        Outcome::Completed(completed) => {
            let status = StatusCode::from_u16(completed.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut response = HttpResponse::build(status);
            for (name, value) in &completed.headers {
                response.append_header((&**name, &value[..]));
            }
            response.insert_header((OUTCOME_HEADER, outcome.name()));
            response.body(completed.body.clone())
        }
        Outcome::NotRun(refusal) => {
            let mut response = HttpResponse::build(refusal_status(refusal.reason));
            response.insert_header((OUTCOME_HEADER, outcome.name()));
            response.insert_header((ATTEMPT_HEADER, "not-run"));
            response.insert_header((REASON_HEADER, refusal.reason.name()));
            if !refusal.reason.is_client_error() {
                let seconds = refusal.retry_after_ms.div_ceil(1000).max(1);
                response.insert_header(("retry-after", seconds.to_string()));
            }
            response.body(Bytes::new())
        }
        Outcome::Unknown(reason) => {
            let mut response = HttpResponse::build(StatusCode::GATEWAY_TIMEOUT);
            response.insert_header((OUTCOME_HEADER, outcome.name()));
            response.insert_header(("retry-after", UNKNOWN_RETRY_AFTER));
            response.insert_header((REASON_HEADER, reason.name()));
            response.body(Bytes::new())
        }
    };
    if let Some(key) = generated_key.and_then(|key| key.parse().ok()) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(KEY_HEADER), key);
    }
    response.map_into_boxed_body()
}

fn refusal_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::BadKey | Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::NoSuchOperation => StatusCode::NOT_FOUND,
        Reason::ResendLimit => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
