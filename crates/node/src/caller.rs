//! HTTP from callers and from the own backend server.

use crate::body;
use crate::body::Limits;
use crate::body::Reservation;
use crate::dialect::Head;
use crate::dialect::Reply;
use crate::pipeline;
use crate::pipeline::ConnectionError;
use crate::shell::Shell;
use actix_http::body::BoxBody;
use actix_http::error::ParseError;
use actix_http::Request as HttpRequest;
use actix_http::Response as HttpResponse;
use actix_http::ServiceConfig;
use actix_http::StatusCode;
use engine::Input;
use engine::RequestToken;
use proto::Outcome;
use proto::Reason;
use proto::Request;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// The path of the status page; no service has this name.
const STATUS_PATH: &str = "/-/status";

/// Serves callers on the listener for ever.
pub(crate) async fn accept(shell: Rc<Shell>, listener: TcpListener) {
    let handler = |shell, req| handle(shell, req);
    serve(shell, listener, handler).await;
}

/// Serves HTTP/1.1 on the listener for ever.
pub(crate) async fn serve<F>(
    shell: Rc<Shell>,
    listener: TcpListener,
    handler: impl Fn(Rc<Shell>, HttpRequest) -> F + Copy + 'static,
) where
    F: Future<Output = HttpResponse<BoxBody>> + 'static,
{
    let cfg = ServiceConfig::default();
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Out of file descriptors, most likely; do not spin.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (shell, cfg) = (shell.clone(), cfg.clone());
        actix_rt::spawn(async move {
            let handle = |req| handler(shell.clone(), req);
            if let Err(e) = pipeline::run(stream, &cfg, handle, || shell.is_stopping()).await {
                log::debug!("event=caller_connection_ended peer={peer} error=\"{e}\"");
                if let Some(reason) = reason_of(&e) {
                    shell.count(engine::Counter::NotRun(reason));
                }
            }
        });
    }
}

/// Why a head was refused before it reached the handler: with 400, 408 or 431, and without an
/// outcome header.
fn reason_of(e: &ConnectionError) -> Option<Reason> {
    match e {
        ConnectionError::Parse(ParseError::TooLarge) => Some(Reason::TooLarge),
        ConnectionError::Parse(_) => Some(Reason::BadRequest),
        ConnectionError::SlowHead => Some(Reason::Deadline),
        ConnectionError::SlowReader | ConnectionError::Io(_) => None,
    }
}

/// Tells the engine that nobody waits any more, unless the answer was delivered.
struct Waiting {
    shell: Rc<Shell>,
    token: Option<RequestToken>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if let Some(token) = self.token.take() {
            self.shell.feed(Input::CallerGone(token));
        }
    }
}

/// Serves counters and times.
pub(crate) async fn on_metrics(shell: Rc<Shell>, _req: HttpRequest) -> HttpResponse<BoxBody> {
    HttpResponse::build(StatusCode::OK)
        .body(shell.metrics.page())
        .map_into_boxed_body()
}

async fn handle(shell: Rc<Shell>, mut req: HttpRequest) -> HttpResponse<BoxBody> {
    if req.path() == STATUS_PATH {
        return HttpResponse::build(StatusCode::OK)
            .body(shell.status())
            .map_into_boxed_body();
    }
    let began = Instant::now();
    let (head, _reservation) = match read_entry(&shell, &mut req).await {
        Ok(entry) => entry,
        Err(reason) => {
            log::debug!("event=refused reason={}", reason.name());
            shell.count(engine::Counter::NotRun(reason));
            return (shell.dialect.refuse_head)(&req, reason);
        }
    };
    let id = head.request.id.clone();
    let input = |token| Input::Request {
        token,
        caller: head.caller,
        context: head.context,
        parent: head.parent,
        key: head.key,
        credential: head.credential,
        caller_timeout: head
            .patience
            .map(|patience| patience.saturating_sub(began.elapsed())),
        request: head.request,
    };
    let (token, rx) = shell.request(input);
    let mut waiting = Waiting {
        shell: shell.clone(),
        token: Some(token),
    };
    let reply = rx.await;
    waiting.token = None;
    let lost = || Reply::new(Outcome::Unknown(Reason::PeerLost));
    let reply = reply.unwrap_or_else(|_| lost());
    shell.metrics.time(reply.outcome.name(), began.elapsed());
    (shell.dialect.respond)(&id, reply)
}

/// Reads a request whole. The reservation is for its body.
async fn read_entry(shell: &Shell, req: &mut HttpRequest) -> Result<(Head, Reservation), Reason> {
    let head = (shell.dialect.read_head)(req)?;
    let limits = Limits {
        max: shell.settings.max_body,
        time: shell.settings.body_timeout,
    };
    let (body, reservation) = body::read(req, limits, &shell.bodies).await?;
    let request = Request {
        body,
        ..head.request
    };
    Ok((Head { request, ..head }, reservation))
}
