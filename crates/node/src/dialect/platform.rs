//! The users' platform, by the package that knows its words.

use super::without_body;
use super::Dialect;
use super::Head;
use super::Reply;
use super::Run;
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

/// When a request that could not be read may come again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

pub(super) fn dialect(settings: &Settings) -> Dialect {
    let service = settings.service.clone();
    Dialect {
        read_head: Box::new(move |req| read_head(req, &service)),
        refuse_head: Box::new(refuse_head),
        respond: Box::new(respond),
        encode: Box::new(|run: &Run<'_>| {
            platform::encode_server_request(run.request, run.remaining, run.expect)
        }),
        encode_check: platform::encode_health_check,
        is_healthy: platform::is_healthy,
        is_ours: |headers, request| platform::matches_request(headers, &request.id),
        judge: Box::new(judge),
        too_large,
    }
}

fn read_head(req: &HttpRequest, service: &str) -> Result<Head, Reason> {
    let head = platform::parse_head(req.head(), service)?;
    let headers = platform::compact_headers(head.headers);
    let request = Request {
        id: head.id,
        host: head.host,
        ..without_body(req, head.path, headers)
    };
    Ok(Head {
        caller: service.into(),
        context: None,
        parent: head.parent,
        key: None,
        credential: head.key_digest,
        patience: head.caller_timeout,
        request,
    })
}

fn refuse_head(_req: &HttpRequest, reason: Reason) -> HttpResponse<BoxBody> {
    let refusal = Refusal::new(reason, RETRY_AFTER);
    platform::respond("", &Outcome::NotRun(refusal))
}

fn respond(id: &str, reply: Reply) -> HttpResponse<BoxBody> {
    platform::respond(id, &reply.outcome)
}

/// What a client gets whose answer is larger than allowed: nothing is promised by it.
fn too_large() -> Response {
    Response {
        status: StatusCode::BAD_GATEWAY.as_u16(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

fn judge(whole: CompleteResponse) -> RunEnd {
    match platform::classify_response(whole) {
        ResponseKind::Executed(response) => RunEnd::Response(Response {
            headers: platform::compact_headers(response.headers),
            ..response
        }),
        ResponseKind::Refused { retry_after } => RunEnd::Refused { retry_after },
        ResponseKind::Misdirected => RunEnd::Misdirected,
    }
}
