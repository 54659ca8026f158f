//! The node as one `actix-rt` system: starts all tasks, feeds inputs to the engine and executes its
//! outputs.

use crate::backend::BackendClient;
use crate::backend::BackendRun;
use crate::body::BodyBudget;
use crate::caller;
use crate::clock::Clock;
use crate::connections::Account;
use crate::connections::Connections;
use crate::connections::Held;
use crate::descriptors;
use crate::descriptors::DescriptorShares;
use crate::descriptors::MAX_OPERATOR_CONNECTIONS;
use crate::dialect::Dialect;
use crate::dialect::Reply;
use crate::events;
use crate::events::LogRateLimiter;
use crate::fetch;
use crate::metrics::add_bytes;
use crate::metrics::Metrics;
use crate::peers;
use crate::peers::Peers;
use crate::pipeline::BusyConnections;
use crate::platform_mode;
use crate::platform_mode::PlatformAddrs;
use crate::store_reader;
use crate::udp;
use crate::Settings;
use engine::Config;
use engine::Counter;
use engine::Engine;
use engine::Gauge;
use engine::Input;
use engine::Output;
use engine::RequestToken;
use indexmap::IndexMap;
use journal::TopicEntry;
use platform::StoreClient;
use platform::StoreError;
use policy::ConnectionLimits;
use policy::FleetRetryLimits;
use proto::Incarnation;
use proto::Instance;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;
use stdx::Time;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How many times binding is retried to find a port that is free for both TCP and UDP.
const MAX_BIND_RETRIES: u32 = 20;

/// How long a stopping node waits for queued frames to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a stopping node waits for callers that read their responses slowly. The process
/// supervisor may kill it sooner.
const CALLER_FLUSH_TIMEOUT: Duration = Duration::from_secs(10);

/// How often the flush checks for unsent frames, and how long the writer tasks get after the queues
/// are empty.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Share of `retries.ratio` that nodes plan with. The rest covers retries that are already
/// available at the start of a window.
const PLANNED_RATIO_SHARE: f64 = 0.8;

/// Share of `retries.spare` that nodes plan with.
const PLANNED_SPARE_SHARE: f64 = 0.9;

/// Most bytes held for connections of operators, probes and the server's heartbeats.
const MAX_OPERATOR_BYTES: usize = 4 << 20;

/// How often gauges are sent to the metrics service.
const GAUGE_INTERVAL: Duration = Duration::from_secs(10);

/// Why a node failed to start.
#[derive(Debug)]
pub enum StartError {
    /// Binding a listen address failed.
    Bind(SocketAddr, std::io::Error),
    /// Creating the metrics socket failed.
    Metrics(std::io::Error),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Bind(addr, e) => write!(f, "cannot bind {addr}: {e}"),
            StartError::Metrics(e) => write!(f, "cannot create the metrics socket: {e}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running node.
pub struct Node {
    /// Address that serves callers' HTTP requests.
    pub http_addr: SocketAddr,
    /// Address that accepts connections and datagrams from other nodes.
    pub peer_addr: SocketAddr,
    /// Addresses that the users' platform connects to, if the node runs on one.
    pub platform_addrs: Option<PlatformAddrs>,
    shell: Rc<Shell>,
}

impl Node {
    /// Starts a graceful shutdown.
    pub fn stop(&self) {
        self.shell.handle_input(Input::Stop);
    }

    /// Waits for the graceful shutdown to complete.
    pub async fn stopped(&self) {
        self.shell.stopped.notified().await;
        self.flush().await;
    }

    /// Waits until the last responses are written to other nodes and to callers. If the process
    /// exited first, callers would see connections cut off for work that was done.
    async fn flush(&self) {
        let started = Instant::now();
        let is_unsent = || {
            let (peers, busy) = (&self.shell.peers, &self.shell.busy_connections);
            let elapsed = started.elapsed();
            (peers.has_unsent() && elapsed < FLUSH_TIMEOUT)
                || (busy.count() > 0 && elapsed < CALLER_FLUSH_TIMEOUT)
        };
        while is_unsent() {
            tokio::time::sleep(FLUSH_POLL_INTERVAL).await;
        }
        // Frames taken from the queues may still be on their way into the sockets.
        tokio::time::sleep(FLUSH_POLL_INTERVAL).await;
        let (ms, cut) = (
            started.elapsed().as_millis(),
            self.shell.busy_connections.count(),
        );
        match cut {
            0 => log::info!("event=flushed flush_ms={ms}"),
            cut => log::warn!("event=responses_cut_off connections={cut} flush_ms={ms}"),
        }
    }

    /// Counter totals, sorted by name.
    pub fn counters(&self) -> Vec<(String, u64)> {
        self.shell.metrics.counters()
    }
}

/// The I/O shell around the engine: the state shared by all tasks of a node.
pub(crate) struct Shell {
    pub(crate) settings: Settings,
    pub(crate) own_instance: Instance,
    pub(crate) engine: RefCell<Engine>,
    pub(crate) dialect: Dialect,
    pub(crate) store: StoreClient,
    /// Wakes the store reader when the engine is missing something from the store.
    pub(crate) store_read_requested: Notify,
    /// Offset in the operators' topic from which to read newer rules; `None` until that topic was
    /// read for the first time. Used only on the users' platform.
    pub(crate) next_rules_offset: Cell<Option<u64>>,
    /// Offset and version of the newest rules read from the operators' topic.
    pub(crate) latest_rules: Cell<(u64, u64)>,
    pub(crate) metrics: Metrics,
    pub(crate) log_limiter: LogRateLimiter,
    pub(crate) body_budget: BodyBudget,
    pub(crate) busy_connections: BusyConnections,
    /// Connections of callers.
    pub(crate) callers: Rc<Connections>,
    /// Connections to the listeners for operators, probes and the server's heartbeats.
    pub(crate) operators: Rc<Connections>,
    clock: Clock,
    pending_replies: RefCell<IndexMap<RequestToken, PendingReply>>,
    next_token: Cell<u64>,
    peers: Peers,
    backend: BackendClient,
    pub(crate) udp_socket: Rc<UdpSocket>,
    /// Wakes the timer task when the engine's next timer has changed.
    timer_changed: Notify,
    stopped: Notify,
}

/// A request whose caller waits for the reply.
struct PendingReply {
    /// The account of the caller's connection, which may have ended.
    account: Weak<Account>,
    tx: oneshot::Sender<(Reply, Held)>,
}

/// Starts a node on the current `actix-rt` system.
///
/// # Errors
///
/// [`StartError`] if an address cannot be bound or the metrics socket cannot be created.
pub async fn start(settings: Settings) -> Result<Node, StartError> {
    let bind_error = |e| StartError::Bind(settings.http_addr, e);
    let http_listener = TcpListener::bind(settings.http_addr)
        .await
        .map_err(bind_error)?;
    let http_addr = http_listener.local_addr().map_err(bind_error)?;
    let (peer_listener, udp_socket) = bind_peer(settings.peer_addr).await?;
    let bind_error = |e| StartError::Bind(settings.peer_addr, e);
    let peer_addr = peer_listener.local_addr().map_err(bind_error)?;

    let own_instance = Instance {
        incarnation: Incarnation(uuid::Uuid::new_v4().as_u64_pair().0),
        service: settings.service.as_str().into(),
        failure_domain: settings.failure_domain.as_str().into(),
        region: settings.region.as_str().into(),
        addr: settings.advertised_addr.unwrap_or(peer_addr),
    };
    let seed = own_instance.incarnation.0;
    let mut cfg = Config {
        seed,
        contacts: settings.contacts.clone(),
        policy: settings.switches,
        retry_budget: with_safety_margin(settings.retry_limits),
        revocation_bound: settings.revocation_bound,
        quota_tolerance: settings.quota_tolerance,
        ..Config::default()
    };
    if settings.platform.is_some() {
        platform_mode::configure(&mut cfg);
    }
    cfg.membership.seed = seed;
    let udp_socket = Rc::new(udp_socket);
    let descriptors = descriptors::system_limit().min(settings.max_descriptors);
    let shares = DescriptorShares::new(descriptors);
    let backend = BackendClient::new(&settings, shares.backend);
    let shell = Rc::new(Shell {
        engine: RefCell::new(Engine::new(cfg, own_instance.clone())),
        dialect: Dialect::new(&settings),
        store: StoreClient::new(settings.store_addr),
        store_read_requested: Notify::new(),
        next_rules_offset: Cell::new(None),
        latest_rules: Cell::new((0, 0)),
        metrics: Metrics::new(settings.metrics_addr).map_err(StartError::Metrics)?,
        log_limiter: LogRateLimiter::new(),
        body_budget: BodyBudget::new(settings.max_bodies),
        busy_connections: BusyConnections::default(),
        callers: Connections::new(ConnectionLimits {
            connections: settings.max_connections.unwrap_or(shares.callers),
            bytes: settings.max_held,
        }),
        operators: Connections::new(ConnectionLimits {
            connections: MAX_OPERATOR_CONNECTIONS,
            bytes: MAX_OPERATOR_BYTES,
        }),
        clock: Clock::new(),
        pending_replies: RefCell::default(),
        next_token: Cell::new(0),
        peers: Peers::new(backend.budget()),
        backend,
        udp_socket: udp_socket.clone(),
        timer_changed: Notify::new(),
        stopped: Notify::new(),
        own_instance,
        settings,
    });
    log::info!(
        "event=started incarnation={} service={} http={http_addr} peer={peer_addr}",
        shell.own_instance.incarnation,
        shell.own_instance.service
    );
    actix_rt::spawn(caller::serve_callers(shell.clone(), http_listener));
    actix_rt::spawn(peers::accept(shell.clone(), peer_listener));
    actix_rt::spawn(udp::receive(shell.clone(), udp_socket));
    let platform_addrs = match &shell.settings.platform {
        Some(cfg) => Some(platform_mode::start(&shell, cfg).await?),
        None => {
            actix_rt::spawn(store_reader::follow_log(shell.clone()));
            None
        }
    };
    if let Some(addr) = shell.settings.metrics_http_addr {
        let listener = TcpListener::bind(addr).await;
        let listener = listener.map_err(|e| StartError::Bind(addr, e))?;
        actix_rt::spawn(caller::serve(
            shell.clone(),
            listener,
            shell.operators.clone(),
            caller::handle_metrics,
        ));
    }
    actix_rt::spawn(run_timers(shell.clone()));
    actix_rt::spawn(send_gauges(shell.clone()));
    Ok(Node {
        http_addr,
        peer_addr,
        platform_addrs,
        shell,
    })
}

/// Reduces the fleet-wide retry limits to what nodes plan with. The limits may be checked over
/// windows that start at other times than a node's own, and a node knows the fleet size only
/// approximately.
fn with_safety_margin(limits: FleetRetryLimits) -> FleetRetryLimits {
    FleetRetryLimits {
        ratio: limits.ratio * PLANNED_RATIO_SHARE,
        spare: limits.spare * PLANNED_SPARE_SHARE,
        ..limits
    }
}

/// Binds TCP and UDP to the same port. A port that the OS picked for TCP may already be taken for
/// UDP, so a failure to bind UDP is retried with a newly picked port.
async fn bind_peer(addr: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let bind_error = |e| StartError::Bind(addr, e);
    let mut retries = 0;
    loop {
        let peer_listener = TcpListener::bind(addr).await.map_err(bind_error)?;
        let bound = peer_listener.local_addr().map_err(bind_error)?;
        match UdpSocket::bind(bound).await {
            Ok(udp) => return Ok((peer_listener, udp)),
            Err(e) if retries == MAX_BIND_RETRIES => return Err(bind_error(e)),
            Err(_) => retries += 1,
        }
    }
}

async fn run_timers(shell: Rc<Shell>) {
    loop {
        let due = shell.engine.borrow().next_timer();
        let due = due.map(|due| shell.clock.to_instant(due));
        let sleep = async {
            match due {
                Some(due) => tokio::time::sleep_until(due).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = sleep => shell.handle_input(Input::Tick),
            () = shell.timer_changed.notified() => {}
        }
    }
}

async fn send_gauges(shell: Rc<Shell>) {
    loop {
        tokio::time::sleep(GAUGE_INTERVAL).await;
        shell.metrics.report_gauges(&shell.gauges());
    }
}

impl Shell {
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Gauges of the engine and of callers' connections.
    pub(crate) fn gauges(&self) -> Vec<Gauge> {
        let mut gauges = self.engine.borrow().gauges(self.now());
        gauges.push(("callers.connections", self.callers.count() as u64));
        gauges.push(("callers.held_bytes", self.callers.held_bytes() as u64));
        gauges
    }

    /// Whether a shutdown was requested.
    pub(crate) fn is_stopping(&self) -> bool {
        self.engine.borrow().is_stopping()
    }

    pub(crate) fn count(&self, counter: Counter) {
        self.metrics.count(counter);
    }

    /// Counts bytes from a peer that are not an expected message.
    pub(crate) fn count_unexpected_message(&self) {
        self.count(Counter::UnexpectedMessage);
    }

    /// Submits a request to the engine; the receiver yields its reply.
    pub(crate) fn submit_request(
        self: &Rc<Self>,
        account: &Rc<Account>,
        input: impl FnOnce(RequestToken) -> Input,
    ) -> (RequestToken, oneshot::Receiver<(Reply, Held)>) {
        let token = RequestToken(self.next_token.get());
        self.next_token.set(token.0 + 1);
        let (tx, rx) = oneshot::channel();
        let account = Rc::downgrade(account);
        let pending = PendingReply { account, tx };
        self.pending_replies.borrow_mut().insert(token, pending);
        self.handle_input(input(token));
        (token, rx)
    }

    /// Forgets a request whose caller is gone, and tells the engine.
    pub(crate) fn withdraw_request(self: &Rc<Self>, token: RequestToken) {
        self.pending_replies.borrow_mut().swap_remove(&token);
        self.handle_input(Input::CallerGone(token));
    }

    /// Passes an input to the engine and executes the outputs.
    pub(crate) fn handle_input(self: &Rc<Self>, input: Input) {
        if let Some(suspended) = self.clock.take_suspension() {
            let ms = suspended.as_millis();
            log::warn!("event=woken suspended_ms={ms}");
            // What was read before the suspension may be stale, and the store connection dead.
            self.store_read_requested.notify_one();
        }
        let now = self.clock.now_without_update();
        let (outputs, timer_moved) = {
            let mut engine = self.engine.borrow_mut();
            let before = engine.next_timer();
            let outputs = engine.handle(now, input);
            (outputs, engine.next_timer() != before)
        };
        for output in outputs {
            self.execute_output(now, output);
        }
        if timer_moved {
            self.timer_changed.notify_one();
        }
    }

    fn execute_output(self: &Rc<Self>, decided_at: Time, output: Output) {
        events::log_output(self, &output);
        match output {
            Output::Answer {
                token,
                outcome,
                generated_key,
            } => {
                let pending = self.pending_replies.borrow_mut().swap_remove(&token);
                let pending = pending.and_then(|p| Some((p.account.upgrade()?, p.tx)));
                if let Some((account, tx)) = pending {
                    let held = account.hold_answer(outcome.size());
                    let reply = Reply {
                        outcome,
                        generated_key,
                    };
                    let _ = tx.send((reply, held));
                }
            }
            Output::Send { to, frame } => self.peers.send(self, to, frame),
            Output::Datagram { to, datagram } => udp::send(self, to, &datagram),
            Output::Run {
                run,
                request,
                expected_server,
                remaining,
                start_within,
            } => {
                // Measured from when the engine decided, not from now: a pause in between would
                // extend the permit to start, and the key's next home node could start a second
                // run.
                let start_by = start_within.map(|delay| decided_at + delay);
                let backend_run = BackendRun {
                    run,
                    request,
                    expected_server,
                    remaining,
                    start_by,
                };
                self.backend.run(self, backend_run);
            }
            Output::CheckServer { id, path } => self.backend.check_health(self, id, path),
            Output::CancelRun(run) => self.backend.cancel(run),
            Output::Append {
                number,
                at,
                entries,
            } => self.append(number, at, entries),
            Output::FetchState { from, known } => fetch::fetch_state(self, from, known),
            Output::CheckRules => match self.settings.platform {
                Some(_) => platform_mode::check_rules(self),
                None => store_reader::check_rules(self),
            },
            Output::ReadLog => self.store_read_requested.notify_one(),
            Output::Count(counter) => self.count(counter),
            Output::Diagnostic(_) => {}
            Output::Stopped => self.stopped.notify_one(),
        }
    }

    fn append(self: &Rc<Self>, number: u64, at: u64, entries: Vec<TopicEntry>) {
        let shell = self.clone();
        for (_, value) in &entries {
            add_bytes(&self.metrics.control_bytes.store_out, value.len());
        }
        actix_rt::spawn(async move {
            let topic = platform::stream_topic(&shell.settings.store_stream);
            match shell.store.append(&topic, Some(at), &entries).await {
                Ok(_) => shell.handle_input(Input::Appended(number)),
                Err(StoreError::Conflict) => shell.handle_input(Input::AppendConflict(number)),
                Err(e) => {
                    log::warn!("event=append_lost number={number} at={at} error=\"{e}\"");
                    shell.handle_input(Input::AppendLost(number));
                }
            }
        });
    }

    pub(crate) fn peers(&self) -> &Peers {
        &self.peers
    }

    pub(crate) fn backend(&self) -> &BackendClient {
        &self.backend
    }
}
