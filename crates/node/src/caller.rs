//! HTTP from callers and from the own backend server.

use crate::backend::end_to_end;
use crate::backend::CONTEXT_HEADER;
use crate::backend::DEADLINE_HEADER;
use crate::body;
use crate::body::Limits;
use crate::body::Reservation;
use crate::shell::Reply;
use crate::shell::Shell;
use actix_http::body::BoxBody;
use actix_http::error::DispatchError;
use actix_http::error::ParseError;
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
use engine::Input;
use engine::Token;
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

/// Says `not-run` if this attempt certainly did not run, whatever an earlier one with the same key
/// did.
const ATTEMPT_HEADER: &str = "bilberry-attempt";

/// When to ask again with the same key what became of a call, in seconds.
const UNKNOWN_RETRY_AFTER: &str = "1";

/// Says why a call did not end whole.
pub(crate) const REASON_HEADER: &str = "bilberry-reason";

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
    // Half-closed counts as gone, so that the work of a caller that hung up is cancelled.
    let factory = HttpService::build()
        .h1_allow_half_closed(false)
        .h1(handler.into_factory());
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
        let shell = shell.clone();
        actix_rt::spawn(async move {
            if let Err(e) = service.call((stream, Some(peer))).await {
                log::debug!("event=caller_connection_ended peer={peer} error=\"{e}\"");
                if let Some(reason) = library_refusal(&e) {
                    shell.count(engine::Counter::NotRun(reason));
                }
            }
        });
    }
}

/// Why the library refused a head before it reached the handler: with 400, 408 or 431, and without
/// an outcome header.
fn library_refusal(e: &DispatchError) -> Option<Reason> {
    match e {
        DispatchError::Parse(ParseError::TooLarge) => Some(Reason::TooLarge),
        DispatchError::Parse(_) => Some(Reason::BadRequest),
        DispatchError::SlowRequestTimeout => Some(Reason::Deadline),
        _ => None,
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
    let entry = match read_entry(&shell, &mut req).await {
        Ok(entry) => entry,
        Err(reason) => {
            log::debug!("event=refused reason={}", reason.name());
            shell.count(engine::Counter::NotRun(reason));
            let keyed = req.headers().contains_key(KEY_HEADER);
            return respond((not_run(reason, keyed), None));
        }
    };
    let Entry {
        caller,
        context,
        key,
        patience,
        request,
        reservation: _reservation,
    } = entry;
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

/// A request as its caller sent it.
struct Entry {
    caller: Arc<str>,
    context: Option<Arc<str>>,
    key: Option<Arc<str>>,
    patience: Option<Duration>,
    request: Request,
    reservation: Reservation,
}

async fn read_entry(shell: &Shell, req: &mut HttpRequest) -> Result<Entry, Reason> {
    let address = req.peer_addr().map(|addr| addr.ip().to_string().into());
    let caller = header(req, &shell.settings.caller_header, Reason::BadRequest)?;
    let (service, path) = target(req)?;
    let context = header(req, CONTEXT_HEADER, Reason::BadRequest)?;
    let key = header(req, KEY_HEADER, Reason::BadKey)?;
    let patience = patience(req)?;
    let limits = Limits {
        max: shell.settings.max_body,
        time: shell.settings.body_timeout,
    };
    let (body, reservation) = body::read(req, limits, &shell.bodies).await?;
    let headers = end_to_end(req.headers());
    Ok(Entry {
        caller: caller.or(address).unwrap_or_else(|| "".into()),
        context,
        key,
        patience,
        request: Request {
            service,
            method: req.method().as_str().into(),
            path,
            headers,
            body,
        },
        reservation,
    })
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

/// A header that may stand once, in visible ASCII.
fn header(req: &HttpRequest, name: &str, bad: Reason) -> Result<Option<Arc<str>>, Reason> {
    let mut values = req.headers().get_all(name);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad);
    }
    let text = value.to_str().map_err(|_| bad)?;
    Ok(Some(text.into()))
}

fn not_run(reason: Reason, keyed: bool) -> Outcome {
    let refusal = Refusal::new(reason, Duration::from_secs(1));
    if keyed && !reason.is_callers_mistake() {
        return Outcome::NotRun(refusal.of_this_attempt());
    }
    Outcome::NotRun(refusal)
}

fn respond((outcome, made_key): Reply) -> HttpResponse<BoxBody> {
    let mut response = match &outcome {
        Outcome::Whole(whole) => {
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
            if !refusal.reason.is_callers_mistake() {
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
