//! Serves HTTP requests from callers and from the node's own backend server.

use crate::body;
use crate::body::BodyLimits;
use crate::body::Reservation;
use crate::connections::Account;
use crate::connections::Connections;
use crate::dialect::Reply;
use crate::dialect::RequestHead;
use crate::pipeline;
use crate::pipeline::Answer;
use crate::pipeline::ConnectionError;
use crate::shell::Shell;
use actix_http::body::BoxBody;
use actix_http::error::ParseError;
use actix_http::Request as HttpRequest;
use actix_http::Response as HttpResponse;
use actix_http::ServiceConfig;
use actix_http::StatusCode;
use engine::Counter;
use engine::Input;
use engine::RequestToken;
use policy::ShedReason;
use proto::Outcome;
use proto::Reason;
use proto::Request;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Path of the status page. `-` is not a valid service name.
const STATUS_PATH: &str = "/-/status";

/// Serves callers on the listener.
pub(crate) async fn serve_callers(shell: Rc<Shell>, listener: TcpListener) {
    let connections = shell.callers.clone();
    serve(shell, listener, connections, handle_request).await;
}

/// Accepts connections on the listener and serves HTTP/1.1 on each.
pub(crate) async fn serve<F>(
    shell: Rc<Shell>,
    listener: TcpListener,
    connections: Rc<Connections>,
    handler: impl Fn(Rc<Shell>, Rc<Account>, HttpRequest) -> F + Copy + 'static,
) where
    F: Future<Output: Into<Answer>> + 'static,
{
    let cfg = ServiceConfig::default();
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Most likely out of file descriptors; back off instead of spinning.
            shell.count(Counter::AcceptFailed);
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok((account, shed)) = connections.open() else {
            // Nothing was read, so the caller may send its request elsewhere.
            shell.count(Counter::ConnectionShed(ShedReason::Connections));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (shell, cfg) = (shell.clone(), cfg.clone());
        actix_rt::spawn(async move {
            let handle = |req| handler(shell.clone(), account.clone(), req);
            let is_stopping = || shell.is_stopping();
            let busy = &shell.busy_connections;
            let served =
                pipeline::serve_connection(stream, &cfg, handle, is_stopping, busy, &account);
            let result = tokio::select! {
                biased;
                Ok(shed) = shed => Err(ConnectionError::Shed(shed)),
                result = served => result,
            };
            if let Err(e) = result {
                report_error(&shell, peer, &e);
            }
        });
    }
}

/// Counts and logs why a connection ended before its caller closed it.
fn report_error(shell: &Shell, peer: SocketAddr, e: &ConnectionError) {
    if let ConnectionError::Shed(shed) = e {
        shell.count(Counter::ConnectionShed(shed.reason));
        if shell.log_limiter.admit() {
            let (reason, activity) = (shed.reason.name(), shed.activity.name());
            log::info!(
                "event=connection_shed peer={peer} reason={reason} activity={activity} ms={} \
                 held={} transferred={}",
                shed.duration.as_millis(),
                shed.held,
                shed.transferred
            );
        }
        return;
    }
    log::debug!("event=caller_connection_ended peer={peer} error=\"{e}\"");
    if let ConnectionError::Overhead = e {
        shell.count(Counter::RequestOverhead);
    }
    if let Some(reason) = rejection_reason(e) {
        shell.count(Counter::NotRun(reason));
    }
}

/// The reason to count for a request head that was rejected before it reached the handler. The
/// response has status 400, 408 or 431 and no outcome header.
fn rejection_reason(e: &ConnectionError) -> Option<Reason> {
    match e {
        ConnectionError::Parse(ParseError::TooLarge) => Some(Reason::TooLarge),
        ConnectionError::Parse(_) => Some(Reason::BadRequest),
        ConnectionError::HeadTimeout => Some(Reason::Deadline),
        ConnectionError::WriteTimeout
        | ConnectionError::Shed(_)
        | ConnectionError::Overhead
        | ConnectionError::Io(_) => None,
    }
}

/// Reports to the engine that the caller is gone, unless the answer was delivered.
struct CancelGuard {
    shell: Rc<Shell>,
    token: Option<RequestToken>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(token) = self.token.take() {
            self.shell.withdraw_request(token);
        }
    }
}

/// Serves counters and latency quantiles.
pub(crate) async fn handle_metrics(
    shell: Rc<Shell>,
    _account: Rc<Account>,
    _req: HttpRequest,
) -> HttpResponse<BoxBody> {
    let gauges = shell.gauges();
    HttpResponse::build(StatusCode::OK)
        .body(shell.metrics.render(&gauges))
        .map_into_boxed_body()
}

async fn handle_request(shell: Rc<Shell>, account: Rc<Account>, mut req: HttpRequest) -> Answer {
    if req.path() == STATUS_PATH {
        let response = HttpResponse::build(StatusCode::OK).body(shell.status());
        return response.map_into_boxed_body().into();
    }
    let started = Instant::now();
    let (head, _reservation) = match read_request(&shell, &account, &mut req).await {
        Ok(request) => request,
        Err(reason) => {
            log::debug!("event=refused reason={}", reason.name());
            shell.count(Counter::NotRun(reason));
            return (shell.dialect.reject_head)(&req, reason).into();
        }
    };
    let id = head.request.id.clone();
    let input = |token| Input::Request {
        token,
        caller: head.caller,
        context: head.context,
        parent: head.parent,
        key: head.idempotency_key,
        credential: head.credential,
        caller_timeout: head
            .caller_timeout
            .map(|timeout| timeout.saturating_sub(started.elapsed())),
        request: head.request,
    };
    let (token, rx) = shell.submit_request(&account, input);
    let mut cancel_guard = CancelGuard {
        shell: shell.clone(),
        token: Some(token),
    };
    let reply = rx.await;
    cancel_guard.token = None;
    let peer_lost = || Reply::new(Outcome::Unknown(Reason::PeerLost));
    let (reply, held) = match reply {
        Ok((reply, held)) => (reply, Some(held)),
        Err(_) => (peer_lost(), None),
    };
    shell
        .metrics
        .record_latency(reply.outcome.name(), started.elapsed());
    Answer {
        response: (shell.dialect.respond)(&id, reply),
        held,
    }
}

/// Reads a complete request. The reservation covers its body.
async fn read_request(
    shell: &Shell,
    account: &Rc<Account>,
    req: &mut HttpRequest,
) -> Result<(RequestHead, Reservation), Reason> {
    let head = (shell.dialect.read_head)(req)?;
    let limits = BodyLimits {
        max_bytes: shell.settings.max_body,
        timeout: shell.settings.body_timeout,
    };
    let (body, reservation) = body::read_body(req, limits, &shell.body_budget, account).await?;
    let request = Request {
        body,
        ..head.request
    };
    Ok((RequestHead { request, ..head }, reservation))
}
