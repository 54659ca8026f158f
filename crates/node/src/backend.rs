//! Runs requests on the node's own backend server over HTTP.

use crate::dialect::OutgoingRun;
use crate::shell::Shell;
use crate::Settings;
use engine::Counter;
use engine::Input;
use engine::RunEnd;
use httpconn::Connection;
use httpconn::ExchangeError;
use httpconn::Parser;
use httpconn::Pool;
use httpconn::ReadLimits;
use httpconn::ResponseBudget;
use httpconn::ResponseStart;
use httpconn::Reuse;
use indexmap::IndexMap;
use platform::ResponseMatch;
use proto::Request;
use proto::RunId;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;
use tokio::sync::oneshot;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio::time::Instant;

/// Time-out for connecting to the server. When many connections open at once, the server's accept
/// queue overflows and the kernel resends the SYN after a second; a shorter time-out would take a
/// busy server for a dead one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(2500);

/// HTTP client of the node's own backend server.
pub(crate) struct BackendClient {
    parser: Parser,
    addr: SocketAddr,
    limits: ReadLimits,
    /// One for each connection that may serve a run.
    permits: Semaphore,
    idle: RefCell<IdleConnections>,
    /// Runs in progress, with the channels that cancel them.
    running: RefCell<IndexMap<RunId, oneshot::Sender<()>>>,
}

/// Time-out of a health check. The next heartbeat triggers another check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest body of a response to a health check, in bytes.
const MAX_HEALTH_BODY: usize = 64 * 1024;

/// Idle connections, all to the same incarnation of the server.
#[derive(Default)]
struct IdleConnections {
    /// The server's incarnation.
    server: Option<Arc<str>>,
    pool: Pool,
}

/// A request to run on the backend server.
pub(crate) struct BackendRun {
    pub(crate) run: RunId,
    pub(crate) request: Request,
    /// The incarnation of the server that may run the request.
    pub(crate) expected_server: Option<Arc<str>>,
    /// The time that the server has for its response.
    pub(crate) remaining: Duration,
    /// The run must not start after this time.
    pub(crate) start_by: Option<Time>,
}

impl BackendClient {
    pub(crate) fn new(settings: &Settings, max_connections: usize) -> Self {
        Self {
            parser: Parser::default(),
            addr: settings.backend_server_addr,
            limits: ReadLimits::new(settings.max_body, settings.max_responses),
            permits: Semaphore::new(max_connections.min(Semaphore::MAX_PERMITS)),
            idle: RefCell::default(),
            running: RefCell::default(),
        }
    }

    /// The memory for responses.
    pub(crate) fn budget(&self) -> ResponseBudget {
        self.limits.budget.clone()
    }

    pub(crate) fn run(&self, shell: &Rc<Shell>, backend_run: BackendRun) {
        let run = backend_run.run;
        let (cancel, cancelled) = oneshot::channel();
        self.running.borrow_mut().insert(run, cancel);
        let shell = shell.clone();
        actix_rt::spawn(async move {
            let backend = shell.backend();
            // Dropping the exchange closes its connection, so the server stops working on it.
            let end = tokio::select! {
                end = backend.exchange(&shell, &backend_run) => end,
                () = tokio::time::sleep(backend_run.remaining) => RunEnd::TimedOut,
                _ = cancelled => RunEnd::TimedOut,
            };
            backend.running.borrow_mut().swap_remove(&run);
            shell.handle_input(Input::RunEnded { run, end });
        });
    }

    pub(crate) fn cancel(&self, run: RunId) {
        if let Some(cancel) = self.running.borrow_mut().swap_remove(&run) {
            let _ = cancel.send(());
        }
    }

    async fn exchange(&self, shell: &Rc<Shell>, backend_run: &BackendRun) -> RunEnd {
        let started = Instant::now();
        let Ok(Ok(_permit)) = timeout(CONNECT_TIMEOUT, self.permits.acquire()).await else {
            return RunEnd::NeverSent;
        };
        let connection = match self.acquire(backend_run).await {
            Ok(connection) => connection,
            Err(_) => return RunEnd::NeverSent,
        };
        // The process may have been paused since the engine decided. The permit to start may have
        // passed to another node in the meantime, and the request would run twice.
        if backend_run
            .start_by
            .is_some_and(|start_by| shell.now() >= start_by)
        {
            return RunEnd::NeverSent;
        }
        let remaining = backend_run.remaining.saturating_sub(started.elapsed());
        let run = OutgoingRun {
            id: backend_run.run,
            request: &backend_run.request,
            remaining,
            expected_server: backend_run.expected_server.as_deref(),
        };
        let request = (shell.dialect.encode_run)(&run);
        let sent_at = shell.now();
        let is_identified = Cell::new(true);
        let accept_head = |start: ResponseStart<'_>| {
            let matched = (shell.dialect.match_response)(start, &backend_run.request);
            is_identified.set(matched == ResponseMatch::Identified);
            if matched == ResponseMatch::Other {
                let (id, run) = (&backend_run.request.id, backend_run.run);
                let status = start.status.as_u16();
                log::info!("event=response_skipped request={id} run={run} status={status}");
                shell.count(Counter::ResponseSkipped);
                return false;
            }
            if let Some(id) = &backend_run.expected_server {
                pass_server_report(shell, id, sent_at, start);
            }
            true
        };
        match connection
            .exchange(&request, &self.limits, accept_head)
            .await
        {
            Ok((response, connection)) => {
                if response.reuse != Reuse::No && is_identified.get() {
                    self.release(backend_run, connection);
                }
                (shell.dialect.classify_response)(response)
            }
            Err(e) => {
                let (id, run) = (&backend_run.request.id, backend_run.run);
                log::info!("event=run_lost request={id} run={run} error=\"{e}\"");
                count_cut_off(shell, e);
                match e {
                    ExchangeError::TooLarge => {
                        RunEnd::Response((shell.dialect.oversized_response)())
                    }
                    _ => RunEnd::Lost,
                }
            }
        }
    }

    /// Asks the server over a separate connection whether it is healthy and keeps accepting work.
    pub(crate) fn check_health(&self, shell: &Rc<Shell>, id: Arc<str>, path: Arc<str>) {
        let shell = shell.clone();
        actix_rt::spawn(async move {
            let backend = shell.backend();
            let result = tokio::time::timeout(
                HEALTH_CHECK_TIMEOUT,
                backend.query_health(&shell, &id, &path),
            )
            .await;
            let healthy = match result {
                Ok(Ok(healthy)) => healthy,
                Ok(Err(e)) => {
                    log::info!("event=health_check_lost server={id} error=\"{e}\"");
                    false
                }
                Err(_) => false,
            };
            shell.handle_input(Input::ServerChecked { id, healthy });
        });
    }

    async fn query_health(
        &self,
        shell: &Rc<Shell>,
        id: &Arc<str>,
        path: &str,
    ) -> Result<bool, ExchangeError> {
        let connection = Connection::open(&self.parser, self.addr, HEALTH_CHECK_TIMEOUT).await?;
        let request = (shell.dialect.encode_health_check)(path, &self.addr.to_string());
        let limits = self.limits.with_max_body(MAX_HEALTH_BODY);
        let sent_at = shell.now();
        let accept_head = |start: ResponseStart<'_>| {
            pass_server_report(shell, id, sent_at, start);
            true
        };
        let (response, _) = connection
            .exchange(&request, &limits, accept_head)
            .await
            .inspect_err(|e| count_cut_off(shell, *e))?;
        Ok((shell.dialect.is_healthy)(&response, id))
    }

    async fn acquire(&self, backend_run: &BackendRun) -> Result<Connection, ExchangeError> {
        let pooled = {
            let mut idle = self.idle.borrow_mut();
            if idle.server != backend_run.expected_server {
                // The pooled connections lead to another incarnation.
                idle.pool.clear();
                idle.server = backend_run.expected_server.clone();
            }
            idle.pool.take()
        };
        match pooled {
            Some(connection) => Ok(connection),
            None => Connection::open(&self.parser, self.addr, CONNECT_TIMEOUT).await,
        }
    }

    fn release(&self, backend_run: &BackendRun, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.server == backend_run.expected_server {
            idle.pool.put(connection);
        }
    }
}

/// Counts a response that was not read to its end for what the server sent.
fn count_cut_off(shell: &Shell, e: ExchangeError) {
    match e {
        ExchangeError::TooLarge | ExchangeError::ExcessiveOverhead => {
            shell.count(Counter::ResponseTooLong);
        }
        ExchangeError::Malformed => shell.count(Counter::ResponseMalformed),
        ExchangeError::NoMemory => shell.count(Counter::ResponseMemoryUsedUp),
        _ => {}
    }
}

/// Passes on to the engine what the server says about itself in the head of a response. This does
/// not wait for the body, which may be late or never complete.
fn pass_server_report(shell: &Rc<Shell>, id: &Arc<str>, sent_at: Time, start: ResponseStart<'_>) {
    let (status, headers) = (start.status, start.headers);
    let Some(report) = (shell.dialect.parse_server_report)(status, headers, Some(id)) else {
        return;
    };
    if shell.engine.borrow().may_omit_report(shell.now(), report) {
        return;
    }
    let id = id.clone();
    shell.handle_input(Input::ServerReport {
        id,
        sent_at,
        report,
    });
}

impl Shell {
    pub(crate) fn run_count(&self) -> usize {
        self.backend().running.borrow().len()
    }
}
