//! The HTTP interface of the users' platform; the `platform` package defines its names and formats.

use super::request_without_body;
use super::Dialect;
use super::OutgoingRun;
use super::Reply;
use super::RequestHead;
use crate::Settings;
use actix_http::body::BoxBody;
use actix_http::Request as HttpRequest;
use actix_http::Response as HttpResponse;
use actix_http::StatusCode;
use bytes::Bytes;
use engine::RunEnd;
use httpconn::CompleteResponse;
use platform::ResponseKind;
use proto::Outcome;
use proto::Reason;
use proto::Refusal;
use proto::Request;
use proto::Response;
use std::time::Duration;

/// When a caller may retry a request that could not be read.
const RETRY_AFTER: Duration = Duration::from_secs(1);

pub(super) fn dialect(settings: &Settings) -> Dialect {
    let service = settings.service.clone();
    Dialect {
        read_head: Box::new(move |req| read_head(req, &service)),
        reject_head: Box::new(reject_head),
        respond: Box::new(respond),
        encode_run: Box::new(|run: &OutgoingRun<'_>| {
            platform::encode_server_request(run.request, run.remaining, run.expected_server)
        }),
        encode_health_check: platform::encode_health_check,
        is_healthy: platform::is_healthy,
        parse_server_report: platform::parse_server_report,
        match_response: |start, request| platform::match_response(start, &request.id),
        classify_response: Box::new(classify_response),
        oversized_response,
    }
}

fn read_head(req: &HttpRequest, service: &str) -> Result<RequestHead, Reason> {
    let head = platform::parse_head(req.head(), service)?;
    let headers = platform::compact_headers(head.headers);
    let request = Request {
        id: head.id,
        host: head.host,
        ..request_without_body(req, head.path, headers)
    };
    Ok(RequestHead {
        caller: service.into(),
        context: None,
        parent: head.parent,
        idempotency_key: None,
        credential: head.key_digest,
        caller_timeout: head.caller_timeout,
        request,
    })
}

fn reject_head(_req: &HttpRequest, reason: Reason) -> HttpResponse<BoxBody> {
    let refusal = Refusal::new(reason, RETRY_AFTER);
    platform::respond("", &Outcome::NotRun(refusal))
}

fn respond(id: &str, reply: Reply) -> HttpResponse<BoxBody> {
    platform::respond(id, &reply.outcome)
}

/// The response to a client whose actual response exceeds the size limit. The status does not claim
/// that the request was not run.
fn oversized_response() -> Response {
    Response {
        status: StatusCode::BAD_GATEWAY.as_u16(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

fn classify_response(response: CompleteResponse) -> RunEnd {
    match platform::classify_response(response) {
        ResponseKind::Executed(response) => RunEnd::Response(Response {
            headers: platform::compact_headers(response.headers),
            ..response
        }),
        ResponseKind::Refused { retry_after } => RunEnd::Refused { retry_after },
        ResponseKind::Misdirected => RunEnd::Misdirected,
    }
}
