//! Runs requests on the own backend server, by HTTP.

use crate::caller::REASON_HEADER;
use crate::shell::Shell;
use crate::Settings;
use awc::error::PayloadError;
use awc::error::SendRequestError;
use awc::http::header::HeaderMap;
use awc::http::header::HeaderName;
use awc::http::Method;
use awc::http::StatusCode;
use bytes::Bytes;
use engine::Input;
use engine::RunEnd;
use indexmap::IndexMap;
use proto::Reason;
use proto::Request;
use proto::Response;
use proto::RunId;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Copied by the backend server from the call it serves to the calls it makes.
pub(crate) const CONTEXT_HEADER: &str = "bilberry-context";

/// Milliseconds that the backend server has for its answer.
pub(crate) const DEADLINE_HEADER: &str = "bilberry-deadline-ms";

pub(crate) struct Backend {
    client: awc::Client,
    addr: SocketAddr,
    refusal_header: String,
    max_body: usize,
    running: RefCell<IndexMap<RunId, oneshot::Sender<()>>>,
}

impl Backend {
    pub(crate) fn new(settings: &Settings) -> Self {
        // A redirect would be a second run.
        let client = awc::Client::builder()
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self {
            client,
            addr: settings.backend_server_addr,
            refusal_header: settings.refusal_header.clone(),
            max_body: settings.max_body,
            running: RefCell::default(),
        }
    }

    pub(crate) fn run(
        &self,
        shell: &Rc<Shell>,
        run: RunId,
        request: Request,
        remaining: Duration,
        start_by: Option<Instant>,
    ) {
        let (cancel, cancelled) = oneshot::channel();
        self.running.borrow_mut().insert(run, cancel);
        let shell = shell.clone();
        actix_rt::spawn(async move {
            let backend = shell.backend();
            let end = tokio::select! {
                end = backend.exchange(run, request, remaining, start_by) => end,
                () = tokio::time::sleep(remaining) => RunEnd::Lost,
                _ = cancelled => RunEnd::Lost,
            };
            backend.running.borrow_mut().swap_remove(&run);
            shell.feed(Input::RunEnded { run, end });
        });
    }

    pub(crate) fn cancel(&self, run: RunId) {
        if let Some(cancel) = self.running.borrow_mut().swap_remove(&run) {
            let _ = cancel.send(());
        }
    }

    async fn exchange(
        &self,
        run: RunId,
        request: Request,
        remaining: Duration,
        start_by: Option<Instant>,
    ) -> RunEnd {
        let method = Method::from_bytes(request.method.as_bytes()).unwrap_or(Method::GET);
        let url = format!("http://{}{}", self.addr, request.path);
        let mut req = self
            .client
            .request(method, url)
            .no_decompress()
            .timeout(remaining);
        for (name, value) in &request.headers {
            req = req.append_header((&**name, &value[..]));
        }
        req = req.insert_header((CONTEXT_HEADER, run.to_string()));
        req = req.insert_header((DEADLINE_HEADER, remaining.as_millis().to_string()));
        // The process may have been paused since the engine decided; the right to start may have
        // gone to another node meanwhile, and a run here would be the second one.
        if start_by.is_some_and(|start_by| Instant::now() >= start_by) {
            return RunEnd::NeverSent;
        }
        let mut response = match req.send_body(request.body).await {
            Ok(response) => response,
            Err(SendRequestError::Connect(_) | SendRequestError::Url(_)) => {
                return RunEnd::NeverSent;
            }
            Err(_) => return RunEnd::Lost,
        };
        let body = match response.body().limit(self.max_body).await {
            Ok(body) => body,
            // The work is done, but its answer does not fit. Taken for a broken connection, it would
            // be run again, and its request be held for one that crashes servers.
            Err(PayloadError::Overflow) => return RunEnd::Response(too_large()),
            Err(_) => return RunEnd::Lost,
        };
        if response.headers().contains_key(&self.refusal_header) {
            return RunEnd::Refused {
                retry_after: retry_after(&response),
            };
        }
        RunEnd::Response(Response {
            status: response.status().as_u16(),
            headers: end_to_end(response.headers()),
            body,
        })
    }
}

fn retry_after<S>(response: &awc::ClientResponse<S>) -> Option<Duration> {
    let value = response.headers().get(awc::http::header::RETRY_AFTER)?;
    value.to_str().ok()?.parse().ok().map(Duration::from_secs)
}

/// What a caller gets whose answer is larger than allowed.
fn too_large() -> Response {
    Response {
        status: StatusCode::BAD_GATEWAY.as_u16(),
        headers: vec![(REASON_HEADER.into(), Reason::TooLarge.name().into())],
        body: Bytes::new(),
    }
}

/// The headers that are passed on.
pub(crate) fn end_to_end(headers: &HeaderMap) -> Vec<(Arc<str>, Bytes)> {
    let passed_on = headers.iter().filter(|(name, _)| is_end_to_end(name));
    passed_on
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().into(), value)
        })
        .collect()
}

/// Headers that are about one connection are not passed on (RFC 9110, section 7.6.1).
fn is_end_to_end(name: &HeaderName) -> bool {
    !matches!(
        name.as_str(),
        "connection"
            | "content-length"
            | "host"
            | "keep-alive"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "expect"
            | "date"
            | CONTEXT_HEADER
            | DEADLINE_HEADER
    )
}

impl Shell {
    pub(crate) fn run_count(&self) -> usize {
        self.backend().running.borrow().len()
    }
}
