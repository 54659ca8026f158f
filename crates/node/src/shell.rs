//! The node as one `actix-rt` system: starts everything, and carries inputs and outputs.

use crate::attached;
use crate::attached::PlatformAddrs;
use crate::backend::Backend;
use crate::backend::Work;
use crate::body::Budget;
use crate::caller;
use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::dialect::Reply;
use crate::events;
use crate::events::Cap;
use crate::fetch;
use crate::metrics::add;
use crate::metrics::Metrics;
use crate::peers;
use crate::peers::Peers;
use crate::store_reader;
use crate::udp;
use crate::Settings;
use engine::Config;
use engine::Counter;
use engine::Engine;
use engine::Input;
use engine::Output;
use engine::RequestToken;
use indexmap::IndexMap;
use journal::TopicEntry;
use platform::Store;
use platform::StoreError;
use policy::FleetRetryLimits;
use proto::Incarnation;
use proto::Instance;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use stdx::Time;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How often a pair of free ports for TCP and UDP is looked for.
const BIND_ATTEMPTS: u32 = 20;

/// The longest wait for last frames to be written, when a node stops.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// The time that the tasks which write get, and between two looks at what they have left.
const FLUSH_PAUSE: Duration = Duration::from_millis(50);

/// Of the retries for each first send that the settings allow, what is used; the rest makes up for what
/// is in hand at the beginning of a window.
const RATIO_USED: f64 = 0.8;

/// Of the retries beyond those, what is used.
const SPARE_USED: f64 = 0.9;

/// How often gauges go to the metrics service.
const GAUGE_INTERVAL: Duration = Duration::from_secs(10);

/// Why a node did not start.
#[derive(Debug)]
pub enum StartError {
    /// An address could not be bound.
    Bind(SocketAddr, std::io::Error),
    /// The metrics socket could not be made.
    Metrics(std::io::Error),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Bind(addr, e) => write!(f, "{addr} cannot be bound: {e}"),
            StartError::Metrics(e) => write!(f, "no socket for metrics: {e}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A node that runs in this system.
pub struct Node {
    /// Where it takes HTTP.
    pub http_addr: SocketAddr,
    /// Where other nodes reach it.
    pub peer_addr: SocketAddr,
    /// Where the users' platform reaches it, if it is on one.
    pub platform_addrs: Option<PlatformAddrs>,
    shell: Rc<Shell>,
}

impl Node {
    /// Asks for a graceful shutdown.
    pub fn stop(&self) {
        self.shell.feed(Input::Stop);
    }

    /// Waits until a graceful shutdown is complete.
    pub async fn stopped(&self) {
        self.shell.stopped.notified().await;
        self.flush().await;
    }

    /// The last answers were given to tasks that write them. If the process ended before they did,
    /// callers would see connections that break off, for work that was done.
    async fn flush(&self) {
        let ends = Instant::now() + FLUSH_TIMEOUT;
        while self.shell.peers.has_unsent() && Instant::now() < ends {
            tokio::time::sleep(FLUSH_PAUSE).await;
        }
        // What has left the queues is on its way into the sockets.
        tokio::time::sleep(FLUSH_PAUSE).await;
    }

    /// Counters by name, in order.
    pub fn totals(&self) -> Vec<(String, u64)> {
        self.shell.metrics.totals()
    }
}

pub(crate) struct Shell {
    pub(crate) settings: Settings,
    pub(crate) me: Instance,
    pub(crate) engine: RefCell<Engine>,
    pub(crate) dialect: Dialect,
    pub(crate) store: Store,
    pub(crate) read_store: Notify,
    /// From where the store is read for newer rules; nothing before it was read once.
    pub(crate) rules_offset: Cell<Option<u64>>,
    /// The offset and version of the newest rules that were read from there.
    pub(crate) newest_rules: Cell<(u64, u64)>,
    pub(crate) metrics: Metrics,
    pub(crate) lines: Cap,
    pub(crate) bodies: Budget,
    clock: Clock,
    waiting: RefCell<IndexMap<RequestToken, oneshot::Sender<Reply>>>,
    next_token: Cell<u64>,
    peers: Peers,
    backend: Backend,
    pub(crate) socket: Rc<UdpSocket>,
    timer: Notify,
    stopped: Notify,
}

/// Starts a node in the running system.
///
/// # Errors
///
/// [`StartError`] if an address cannot be bound.
pub async fn start(settings: Settings) -> Result<Node, StartError> {
    let bind = |e| StartError::Bind(settings.http_addr, e);
    let http = TcpListener::bind(settings.http_addr).await.map_err(bind)?;
    let http_addr = http.local_addr().map_err(bind)?;
    let (tcp, socket) = bind_peer(settings.peer_addr).await?;
    let bind = |e| StartError::Bind(settings.peer_addr, e);
    let peer_addr = tcp.local_addr().map_err(bind)?;

    let me = Instance {
        incarnation: Incarnation(uuid::Uuid::new_v4().as_u64_pair().0),
        service: settings.service.as_str().into(),
        failure_domain: settings.failure_domain.as_str().into(),
        region: settings.region.as_str().into(),
        addr: settings.advertised_addr.unwrap_or(peer_addr),
    };
    let seed = me.incarnation.0;
    let mut cfg = Config {
        seed,
        contacts: settings.contacts.clone(),
        policy: settings.switches,
        retry_budget: within(settings.retries),
        revocation_bound: settings.revocation,
        quota_bounds: settings.quotas,
        ..Config::default()
    };
    if settings.platform.is_some() {
        attached::configure(&mut cfg);
    }
    cfg.membership.seed = seed;
    let socket = Rc::new(socket);
    let shell = Rc::new(Shell {
        engine: RefCell::new(Engine::new(cfg, me.clone())),
        dialect: Dialect::new(&settings),
        store: Store::new(settings.store_addr),
        read_store: Notify::new(),
        rules_offset: Cell::new(None),
        newest_rules: Cell::new((0, 0)),
        metrics: Metrics::new(settings.metrics_addr).map_err(StartError::Metrics)?,
        lines: Cap::new(),
        bodies: Budget::new(settings.max_bodies),
        clock: Clock::new(),
        waiting: RefCell::default(),
        next_token: Cell::new(0),
        peers: Peers::default(),
        backend: Backend::new(&settings),
        socket: socket.clone(),
        timer: Notify::new(),
        stopped: Notify::new(),
        me,
        settings,
    });
    log::info!(
        "event=started incarnation={} service={} http={http_addr} peer={peer_addr}",
        shell.me.incarnation,
        shell.me.service
    );
    actix_rt::spawn(caller::accept(shell.clone(), http));
    actix_rt::spawn(peers::accept(shell.clone(), tcp));
    actix_rt::spawn(udp::receive(shell.clone(), socket));
    let platform_addrs = match &shell.settings.platform {
        Some(cfg) => Some(attached::start(&shell, cfg).await?),
        None => {
            actix_rt::spawn(store_reader::follow_views(shell.clone()));
            None
        }
    };
    if let Some(addr) = shell.settings.metrics_http_addr {
        let listener = TcpListener::bind(addr).await;
        let listener = listener.map_err(|e| StartError::Bind(addr, e))?;
        actix_rt::spawn(caller::serve(shell.clone(), listener, caller::on_metrics));
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

/// The part of the fleet's retries that nodes plan with: others may count the same sends in another
/// window, and nodes do not know exactly how many they are.
fn within(fleet: FleetRetryLimits) -> FleetRetryLimits {
    FleetRetryLimits {
        ratio: fleet.ratio * RATIO_USED,
        spare: fleet.spare * SPARE_USED,
        ..fleet
    }
}

/// TCP and UDP on the same port. A port that the system chose for TCP may be taken for UDP, hence
/// several attempts.
async fn bind_peer(addr: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let bind = |e| StartError::Bind(addr, e);
    let mut attempt = 0;
    loop {
        let tcp = TcpListener::bind(addr).await.map_err(bind)?;
        let bound = tcp.local_addr().map_err(bind)?;
        match UdpSocket::bind(bound).await {
            Ok(udp) => return Ok((tcp, udp)),
            Err(e) if attempt == BIND_ATTEMPTS => return Err(bind(e)),
            Err(_) => attempt += 1,
        }
    }
}

async fn run_timers(shell: Rc<Shell>) {
    loop {
        let due = shell.engine.borrow().next_timer();
        let due = due.map(|due| shell.clock.instant(due));
        let sleep = async {
            match due {
                Some(due) => tokio::time::sleep_until(due).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = sleep => shell.feed(Input::Tick),
            () = shell.timer.notified() => {}
        }
    }
}

async fn send_gauges(shell: Rc<Shell>) {
    loop {
        tokio::time::sleep(GAUGE_INTERVAL).await;
        let gauges = shell.engine.borrow().gauges(shell.now());
        shell.metrics.gauge(&gauges);
    }
}

impl Shell {
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Whether the process was asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.engine.borrow().is_stopping()
    }

    pub(crate) fn count(&self, counter: Counter) {
        self.metrics.count(counter);
    }

    /// Counts bytes from outside that are no message.
    pub(crate) fn count_broken(&self) {
        self.count(Counter::UnexpectedMessage);
    }

    /// Enters a request; the receiver gets its answer.
    pub(crate) fn request(
        self: &Rc<Self>,
        input: impl FnOnce(RequestToken) -> Input,
    ) -> (RequestToken, oneshot::Receiver<Reply>) {
        let token = RequestToken(self.next_token.get());
        self.next_token.set(token.0 + 1);
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(token, tx);
        self.feed(input(token));
        (token, rx)
    }

    /// Tells the engine what happened and does what it asks for.
    pub(crate) fn feed(self: &Rc<Self>, input: Input) {
        if let Some(suspended) = self.clock.notice_suspension() {
            let ms = suspended.as_millis();
            log::warn!("event=woken suspended_ms={ms}");
            // Whatever was read before may be old by now, and its connection gone.
            self.read_store.notify_one();
        }
        let now = self.clock.compared();
        let (outputs, timer) = {
            let mut engine = self.engine.borrow_mut();
            let before = engine.next_timer();
            let outputs = engine.handle(now, input);
            (outputs, engine.next_timer() != before)
        };
        for output in outputs {
            self.perform(now, output);
        }
        if timer {
            self.timer.notify_one();
        }
    }

    fn perform(self: &Rc<Self>, decided: Time, output: Output) {
        events::note(self, &output);
        match output {
            Output::Answer {
                token,
                outcome,
                generated_key,
            } => {
                if let Some(tx) = self.waiting.borrow_mut().swap_remove(&token) {
                    // The caller may have gone meanwhile.
                    let _ = tx.send(Reply {
                        outcome,
                        made_key: generated_key,
                    });
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
                // Counted from the time that the engine was told. Counted from here, a pause in
                // between would lengthen the right to start, and another home's run be the second.
                let start_by = start_within.map(|within| decided + within);
                let work = Work {
                    run,
                    request,
                    expect: expected_server,
                    remaining,
                    start_by,
                };
                self.backend.run(self, work);
            }
            Output::CheckServer { id, path } => self.backend.check(self, id, path),
            Output::CancelRun(run) => self.backend.cancel(run),
            Output::Append {
                number,
                at,
                entries,
            } => self.append(number, at, entries),
            Output::FetchState { from, known } => fetch::ask(self, from, known),
            Output::CheckRules => match self.settings.platform {
                Some(_) => attached::check_rules(self),
                None => store_reader::check_rules(self),
            },
            Output::ReadLog => self.read_store.notify_one(),
            Output::Count(counter) => self.count(counter),
            Output::Diagnostic(_) => {}
            Output::Stopped => self.stopped.notify_one(),
        }
    }

    fn append(self: &Rc<Self>, number: u64, at: u64, entries: Vec<TopicEntry>) {
        let shell = self.clone();
        for (_, value) in &entries {
            add(&self.metrics.bytes.store_out, value.len());
        }
        actix_rt::spawn(async move {
            let topic = platform::topic(&shell.settings.store_stream);
            match shell.store.append(&topic, Some(at), &entries).await {
                Ok(_) => shell.feed(Input::Appended(number)),
                Err(StoreError::Conflict) => shell.feed(Input::AppendConflict(number)),
                Err(e) => {
                    log::warn!("event=append_lost number={number} at={at} error=\"{e}\"");
                    shell.feed(Input::AppendLost(number));
                }
            }
        });
    }

    pub(crate) fn peers(&self) -> &Peers {
        &self.peers
    }

    pub(crate) fn backend(&self) -> &Backend {
        &self.backend
    }
}
