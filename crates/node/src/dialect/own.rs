//! The product's own interface: `/SERVICE/REST`, and headers that begin with `bilberry`.

use super::without_body;
use super::Dialect;
use super::Head;
use super::Reply;
use super::Run;
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
use httpconn::end_to_end;
use httpconn::single_header;
use httpconn::Whole;
use proto::Outcome;
use proto::Reason;
use proto::Refusal;
use proto::Request;
use proto::Response;
use rules::KeyDigest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Says how a call ended: `whole`, `not-run` or `unknown`.
const OUTCOME_HEADER: &str = "bilberry-outcome";

/// Says `not-run` if this attempt certainly did not run, whatever an earlier one with the same key
/// did.
const ATTEMPT_HEADER: &str = "bilberry-attempt";

/// When to ask again with the same key what became of a call, in seconds.
const UNKNOWN_RETRY_AFTER: &str = "1";

/// Says why a call did not end whole.
const REASON_HEADER: &str = "bilberry-reason";

/// The caller's key, and the one that the node made.
const KEY_HEADER: &str = "idempotency-key";

/// Copied by the backend server from the call it serves to the calls it makes.
const CONTEXT_HEADER: &str = "bilberry-context";

/// Milliseconds that the backend server has for its answer.
const DEADLINE_HEADER: &str = "bilberry-deadline-ms";

/// Headers that this node sets itself.
const SET_HERE: [&str; 3] = [CONTEXT_HEADER, DEADLINE_HEADER, ORGANISATION_HEADER];

/// Headers of requests that are not passed on: those, and the organisation's key.
const NOT_PASSED_ON: [&str; 4] = [
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    ORGANISATION_HEADER,
    "authorization",
];

/// The organisation that a request is from, for the backend server.
const ORGANISATION_HEADER: &str = "bilberry-organisation";

/// What comes before an organisation's key (RFC 6750, 2.1).
const KEY_SCHEME: &str = "Bearer ";

pub(super) fn dialect(settings: &Settings) -> Dialect {
    let caller_header = settings.caller_header.clone();
    let refusal_header = settings.refusal_header.clone();
    let addr = settings.backend_server_addr;
    Dialect {
        read_head: Box::new(move |req| read_head(req, &caller_header)),
        refuse_head: Box::new(refuse_head),
        respond: Box::new(|_id, reply| respond(reply)),
        encode: Box::new(move |run: &Run<'_>| encode(run, addr)),
        encode_check: |path, host| {
            httpconn::encode_request("GET", path, &[], &[("host", host)], &[])
        },
        is_healthy: |whole, _| whole.status.is_success(),
        is_ours: |_, _| true,
        judge: Box::new(move |whole| judge(whole, &refusal_header)),
        too_large,
    }
}

fn read_head(req: &HttpRequest, caller_header: &str) -> Result<Head, Reason> {
    let address = req.peer_addr().map(|addr| addr.ip().to_string().into());
    let caller = header(req, caller_header, Reason::BadRequest)?;
    let (service, path) = target(req)?;
    let headers = end_to_end(req.headers(), &NOT_PASSED_ON);
    Ok(Head {
        caller: caller.or(address).unwrap_or_else(|| "".into()),
        credential: credential(req),
        context: header(req, CONTEXT_HEADER, Reason::BadRequest)?,
        parent: None,
        key: header(req, KEY_HEADER, Reason::BadKey)?,
        patience: patience(req)?,
        request: Request {
            service,
            ..without_body(req, path, headers)
        },
    })
}

fn credential(req: &HttpRequest) -> Option<KeyDigest> {
    let value = single_header(req.headers(), AUTHORIZATION.as_str()).ok()??;
    let key = value.strip_prefix(KEY_SCHEME)?;
    Some(KeyDigest::of(key)).filter(|_| !key.is_empty())
}

fn refuse_head(req: &HttpRequest, reason: Reason) -> HttpResponse<BoxBody> {
    let keyed = req.headers().contains_key(KEY_HEADER);
    respond(Reply::new(not_run(reason, keyed)))
}

fn encode(run: &Run<'_>, addr: SocketAddr) -> BytesMut {
    let req = run.request;
    let (host, id) = (addr.to_string(), run.id.to_string());
    let millis = run.remaining.as_millis().to_string();
    let mut more = vec![
        ("host", &*host),
        (CONTEXT_HEADER, &*id),
        (DEADLINE_HEADER, &*millis),
    ];
    if !req.organisation.is_empty() {
        more.push((ORGANISATION_HEADER, &*req.organisation));
    }
    encode_request(&req.method, &req.path, &req.headers, &more, &req.body)
}

fn judge(whole: Whole, refusal_header: &str) -> RunEnd {
    if whole.headers.contains_key(refusal_header) {
        let retry_after = whole.headers.get(RETRY_AFTER);
        let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        return RunEnd::Refused {
            retry_after: seconds.map(Duration::from_secs),
        };
    }
    RunEnd::Response(Response {
        status: whole.status.as_u16(),
        headers: end_to_end(&whole.headers, &SET_HERE),
        body: whole.body,
    })
}

/// What a caller gets whose answer is larger than allowed.
fn too_large() -> Response {
    Response {
        status: StatusCode::BAD_GATEWAY.as_u16(),
        headers: vec![(REASON_HEADER.into(), Reason::TooLarge.name().into())],
        body: Bytes::new(),
    }
}

/// `/SERVICE/REST` asks `SERVICE` for `/REST`.
fn target(req: &HttpRequest) -> Result<(Arc<str>, Arc<str>), Reason> {
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    let path = path.strip_prefix('/').unwrap_or(path);
    let (service, rest) = path.split_once('/').ok_or(Reason::NoSuchOperation)?;
    Ok((service.into(), format!("/{rest}").into()))
}

/// The milliseconds that the caller has. A value that is no number is an error: taken for none, the
/// work would go on long after the caller has gone.
fn patience(req: &HttpRequest) -> Result<Option<Duration>, Reason> {
    let Some(text) = header(req, DEADLINE_HEADER, Reason::BadRequest)? else {
        return Ok(None);
    };
    let millis = text.parse().map_err(|_| Reason::BadRequest)?;
    Ok(Some(Duration::from_millis(millis)))
}

fn header(req: &HttpRequest, name: &str, bad: Reason) -> Result<Option<Arc<str>>, Reason> {
    let text = single_header(req.headers(), name).map_err(|_| bad)?;
    Ok(text.map(Into::into))
}

fn not_run(reason: Reason, keyed: bool) -> Outcome {
    let refusal = Refusal::new(reason, Duration::from_secs(1));
    if keyed && !reason.is_client_error() {
        return Outcome::NotRun(refusal.for_attempt_only());
    }
    Outcome::NotRun(refusal)
}

fn respond(reply: Reply) -> HttpResponse<BoxBody> {
    let Reply { outcome, made_key } = reply;
    let mut response = match &outcome {
        Outcome::Completed(whole) => {
            let status = StatusCode::from_u16(whole.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut response = HttpResponse::build(status);
            for (name, value) in &whole.headers {
                response.append_header((&**name, &value[..]));
            }
            response.insert_header((OUTCOME_HEADER, outcome.name()));
            response.body(whole.body.clone())
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
    if let Some(key) = made_key.and_then(|key| key.parse().ok()) {
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
