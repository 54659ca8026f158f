//! HTTP from callers and from the own backend server.

use crate::backend::is_end_to_end;
use crate::backend::CONTEXT_HEADER;
use crate::backend::DEADLINE_HEADER;
use crate::shell::Reply;
use crate::shell::Shell;
use actix_http::body::BoxBody;
use actix_http::HttpMessage;
use actix_http::HttpService;
use actix_http::Request as HttpRequest;
use actix_http::Response as HttpResponse;
use actix_http::StatusCode;
use actix_service::fn_service;
use actix_service::IntoServiceFactory;
use actix_service::Service;
use actix_service::ServiceFactory;
use bytes::Bytes;
use bytes::BytesMut;
use engine::Input;
use engine::Token;
use futures_util::StreamExt;
use proto::Outcome;
use proto::Reason;
use proto::Refusal;
use proto::Request;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Says how a call ended: `whole`, `not-run` or `unknown`.
const OUTCOME_HEADER: &str = "bilberry-outcome";

/// Says why a call did not end whole.
const REASON_HEADER: &str = "bilberry-reason";

/// The caller's key, and the one that the node made.
const KEY_HEADER: &str = "idempotency-key";

/// The path of the status page; no service has this name.
const STATUS_PATH: &str = "/-/status";

/// Serves HTTP/1.1 on the listener for ever.
pub(crate) async fn accept(shell: Rc<Shell>, listener: TcpListener) {
    let handler = {
        let shell = shell.clone();
        fn_service(move |req: HttpRequest| {
            let shell = shell.clone();
            async move { Ok::<_, Infallible>(handle(shell, req).await) }
        })
    };
    let factory = HttpService::build().h1(handler.into_factory());
    let Ok(service) = factory.new_service(()).await else {
        return log::error!("the HTTP service did not start");
    };
    let service = Rc::new(service);
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Out of file descriptors, most likely; do not spin.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        actix_rt::spawn(async move {
            if let Err(e) = service.call((stream, Some(peer))).await {
                log::debug!("{peer}: {e}");
            }
        });
    }
}

/// Tells the engine that nobody waits any more, unless the answer was delivered.
struct Waiting {
    shell: Rc<Shell>,
    token: Option<Token>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if let Some(token) = self.token.take() {
            self.shell.feed(Input::CallerGone(token));
        }
    }
}

async fn handle(shell: Rc<Shell>, mut req: HttpRequest) -> HttpResponse<BoxBody> {
    if req.path() == STATUS_PATH {
        return HttpResponse::build(StatusCode::OK)
            .body(shell.status())
            .map_into_boxed_body();
    }
    let request = match read_request(&shell, &mut req).await {
        Ok(request) => request,
        Err(reason) => {
            shell.count(engine::Counter::NotRun(reason));
            return respond((not_run(reason), None));
        }
    };
    let caller = header(&req, &shell.settings.caller_header)
        .or_else(|| req.peer_addr().map(|addr| addr.ip().to_string().into()))
        .unwrap_or_else(|| "".into());
    let context = header(&req, CONTEXT_HEADER);
    let key = header(&req, KEY_HEADER);
    let patience = header(&req, DEADLINE_HEADER)
        .and_then(|millis| millis.parse().ok())
        .map(Duration::from_millis);
    let input = |token| Input::Request {
        token,
        caller,
        context,
        key,
        patience,
        request,
    };
    let began = Instant::now();
    let (token, rx) = shell.request(input);
    let mut waiting = Waiting {
        shell: shell.clone(),
        token: Some(token),
    };
    let reply = rx.await;
    waiting.token = None;
    let reply = reply.unwrap_or((Outcome::Unknown(Reason::PeerLost), None));
    shell.metrics.time(reply.0.name(), began.elapsed());
    respond(reply)
}

/// `/SERVICE/REST` becomes a request for `/REST` to `SERVICE`.
async fn read_request(shell: &Shell, req: &mut HttpRequest) -> Result<Request, Reason> {
    let uri = req.uri().clone();
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let (service, rest) = path[1..].split_once('/').ok_or(Reason::NoSuchOperation)?;
    let headers = req.headers().iter();
    let headers = headers
        .filter(|(name, _)| is_end_to_end(name))
        .map(|(name, value)| {
            (
                name.as_str().into(),
                Bytes::copy_from_slice(value.as_bytes()),
            )
        })
        .collect();
    Ok(Request {
        service: service.into(),
        method: req.method().as_str().into(),
        path: format!("/{rest}").into(),
        headers,
        body: read_body(req, shell.settings.max_body).await?,
    })
}

async fn read_body(req: &mut HttpRequest, max: usize) -> Result<Bytes, Reason> {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| Reason::BadRequest)?;
        if body.len() + chunk.len() > max {
            return Err(Reason::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn header(req: &HttpRequest, name: &str) -> Option<Arc<str>> {
    req.headers().get(name)?.to_str().ok().map(Into::into)
}

fn not_run(reason: Reason) -> Outcome {
    Outcome::NotRun(Refusal::new(reason, Duration::from_secs(1)))
}

fn respond((outcome, made_key): Reply) -> HttpResponse<BoxBody> {
    let mut response = match outcome {
        Outcome::Whole(whole) => {
            let status = StatusCode::from_u16(whole.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut response = HttpResponse::build(status);
            for (name, value) in &whole.headers {
                response.append_header((&**name, &value[..]));
            }
            response.insert_header((OUTCOME_HEADER, "whole"));
            response.body(whole.body)
        }
        Outcome::NotRun(refusal) => {
            let mut response = HttpResponse::build(refusal_status(refusal.reason));
            response.insert_header((OUTCOME_HEADER, "not-run"));
            response.insert_header((REASON_HEADER, refusal.reason.name()));
            if !refusal.reason.is_callers_mistake() {
                let seconds = refusal.retry_after_ms.div_ceil(1000).max(1);
                response.insert_header(("retry-after", seconds.to_string()));
            }
            response.body(Bytes::new())
        }
        Outcome::Unknown(reason) => {
            let mut response = HttpResponse::build(StatusCode::GATEWAY_TIMEOUT);
            response.insert_header((OUTCOME_HEADER, "unknown"));
            response.insert_header((REASON_HEADER, reason.name()));
            response.body(Bytes::new())
        }
    };
    if let Some(key) = made_key.and_then(|key| key.parse().ok()) {
        response
            .headers_mut()
            .insert(actix_http::header::HeaderName::from_static(KEY_HEADER), key);
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

impl Shell {
    /// The status page: `key value` lines, for `bilberryctl status`.
    fn status(&self) -> String {
        let engine = self.engine.borrow();
        let mut lines = vec![
            format!("incarnation {}", self.me.incarnation),
            format!("service {}", self.me.service),
            format!("failure_domain {}", self.me.failure_domain),
            format!("rules_version {}", engine.rules_version()),
            format!("next_offset {}", engine.next_offset()),
            format!("listed {}", engine.is_listed()),
            format!("instances {}", engine.journal().instances().count()),
            format!("runs {}", self.run_count()),
        ];
        lines.extend(
            self.metrics
                .totals()
                .iter()
                .map(|(name, n)| format!("counter.{name} {n}")),
        );
        lines.push(String::new());
        lines.join("\n")
    }
}
