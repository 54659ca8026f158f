//! Runs requests on the own backend server, by HTTP.

use crate::dialect::Run;
use crate::shell::Shell;
use crate::Settings;
use engine::Input;
use engine::RunEnd;
use httpconn::Connection;
use httpconn::ExchangeError;
use httpconn::Parser;
use httpconn::Pool;
use httpconn::Reuse;
use indexmap::IndexMap;
use proto::Request;
use proto::RunId;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// How long a connection to the server may take to open. When many open at once the server's queue
/// of new connections overflows; the system sends the opening packet again after a second, and a
/// shorter wait would take a server that is merely busy for one that is gone.
const CONNECT_PATIENCE: Duration = Duration::from_millis(2500);

pub(crate) struct Backend {
    parser: Parser,
    addr: SocketAddr,
    max_body: usize,
    idle: RefCell<Idle>,
    running: RefCell<IndexMap<RunId, oneshot::Sender<()>>>,
}

/// How long the server may take to say that it is healthy. It is asked again after its next heartbeat.
const CHECK_PATIENCE: Duration = Duration::from_secs(1);

/// Idle connections, all to one incarnation of the server.
#[derive(Default)]
struct Idle {
    server: Option<Arc<str>>,
    pool: Pool,
}

/// What is to be run.
pub(crate) struct Work {
    pub(crate) run: RunId,
    pub(crate) request: Request,
    pub(crate) expect: Option<Arc<str>>,
    pub(crate) remaining: Duration,
    /// The run may not start later.
    pub(crate) start_by: Option<Time>,
}

impl Backend {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            parser: Parser::default(),
            addr: settings.backend_server_addr,
            max_body: settings.max_body,
            idle: RefCell::default(),
            running: RefCell::default(),
        }
    }

    pub(crate) fn run(&self, shell: &Rc<Shell>, work: Work) {
        let run = work.run;
        let (cancel, cancelled) = oneshot::channel();
        self.running.borrow_mut().insert(run, cancel);
        let shell = shell.clone();
        actix_rt::spawn(async move {
            let backend = shell.backend();
            // Whatever is dropped here takes its connection with it: the server then stops working.
            let end = tokio::select! {
                end = backend.exchange(&shell, &work) => end,
                () = tokio::time::sleep(work.remaining) => RunEnd::TimedOut,
                _ = cancelled => RunEnd::TimedOut,
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

    async fn exchange(&self, shell: &Shell, work: &Work) -> RunEnd {
        let began = Instant::now();
        let connection = match self.connection(work).await {
            Ok(connection) => connection,
            Err(_) => return RunEnd::NeverSent,
        };
        // The process may have been paused since the engine decided; the right to start may have
        // gone to another node meanwhile, and a run here would be the second one.
        if work
            .start_by
            .is_some_and(|start_by| shell.now() >= start_by)
        {
            return RunEnd::NeverSent;
        }
        let remaining = work.remaining.saturating_sub(began.elapsed());
        let run = Run {
            id: work.run,
            request: &work.request,
            remaining,
            expect: work.expect.as_deref(),
        };
        let request = (shell.dialect.encode)(&run);
        let is_ours = |headers: &_| (shell.dialect.is_ours)(headers, &work.request);
        match connection.exchange(&request, self.max_body, is_ours).await {
            Ok((whole, connection)) => {
                if whole.reuse != Reuse::No {
                    self.keep(work, connection);
                }
                (shell.dialect.judge)(whole)
            }
            Err(ExchangeError::TooLarge) => RunEnd::Response((shell.dialect.too_large)()),
            Err(e) => {
                let (id, run) = (&work.request.id, work.run);
                log::info!("event=run_lost request={id} run={run} error=\"{e}\"");
                RunEnd::Lost
            }
        }
    }

    /// Asks the server whether it is healthy and stays, over a connection of its own.
    pub(crate) fn check(&self, shell: &Rc<Shell>, id: Arc<str>, path: Arc<str>) {
        let shell = shell.clone();
        actix_rt::spawn(async move {
            let backend = shell.backend();
            let asked = tokio::time::timeout(CHECK_PATIENCE, backend.ask(&shell, &id, &path)).await;
            let healthy = asked.is_ok_and(|asked| asked.unwrap_or(false));
            shell.feed(Input::ServerChecked { id, healthy });
        });
    }

    async fn ask(&self, shell: &Shell, id: &str, path: &str) -> Result<bool, ExchangeError> {
        let connection = Connection::open(&self.parser, self.addr, CHECK_PATIENCE).await?;
        let request = (shell.dialect.encode_check)(path, &self.addr.to_string());
        let (whole, _) = connection
            .exchange(&request, self.max_body, |_| true)
            .await?;
        Ok((shell.dialect.is_healthy)(&whole, id))
    }

    async fn connection(&self, work: &Work) -> Result<Connection, ExchangeError> {
        let kept = {
            let mut idle = self.idle.borrow_mut();
            if idle.server != work.expect {
                // These lead to an incarnation that is gone.
                idle.pool.clear();
                idle.server = work.expect.clone();
            }
            idle.pool.take()
        };
        match kept {
            Some(connection) => Ok(connection),
            None => Connection::open(&self.parser, self.addr, CONNECT_PATIENCE).await,
        }
    }

    fn keep(&self, work: &Work, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.server == work.expect {
            idle.pool.put(connection);
        }
    }
}

impl Shell {
    pub(crate) fn run_count(&self) -> usize {
        self.backend().running.borrow().len()
    }
}
