//! Node operation on the users' platform: instead of following the log, the node reads the
//! operators' configuration and the addresses of other nodes from the store, and receives
//! heartbeats from its own backend server.

use crate::body;
use crate::body::BodyLimits;
use crate::caller::serve;
use crate::connections::Account;
use crate::settings::PlatformSettings;
use crate::shell::Shell;
use crate::shell::StartError;
use crate::store_reader::follow_topic;
use crate::store_reader::StoreBackoff;
use crate::store_reader::StoreBatch;
use actix_http::body::BoxBody;
use actix_http::Request as HttpRequest;
use actix_http::Response as HttpResponse;
use actix_http::StatusCode;
use engine::Config;
use engine::Counter;
use engine::Input;
use engine::KeylessCalls;
use engine::StoreRole;
use engine::TreeRetries;
use platform::ConfigError;
use platform::Records;
use platform::StoreError;
use platform::StoreRecord;
use proto::Reason;
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// How long one read waits for a new configuration. Reads are billed, and peers pass on new
/// configurations as well.
const CONFIG_POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long one read of a monitor waits for a new configuration. A read that was lost in a silence
/// of the store is noticed only when this time and that of a call are over. Operators may rely on a
/// configuration being in force 5.5 s after the store has returned, if nodes have 3 s to recover and
/// a configuration has 2.5 s to reach all of them.
pub(crate) const MONITOR_POLL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Minimum time a node that has just started waits for a peer to send the configuration; a random
/// delay up to the same length is added. Of nodes that start together, a few read the store and
/// send the configuration to the others.
const PEER_CONFIG_TIMEOUT: Duration = Duration::from_secs(1);

/// One in this many of the nodes already in the directory reads the configuration from the store
/// without waiting for a peer.
const DIRECT_READER_STRIDE: usize = 8;

/// Of the nodes not yet in the directory, this many, the first to register, do not wait for a peer
/// either.
const DIRECT_READER_REGISTRATIONS: u64 = 16;

/// How often a waiting node checks whether it has received a configuration.
const CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How often a node that knows no peers reads the directory again.
const REDISCOVERY_INTERVAL: Duration = Duration::from_secs(2);

/// How long a stopping node keeps accepting requests. The platform probes readiness every second
/// and removes a node after two failures.
const STOP_GRACE_PERIOD: Duration = Duration::from_millis(2200);

/// Number of calls of an action per allowed retry. The fleet-wide retry limits apply to these
/// retries as well.
const CALLS_PER_RETRY: u16 = 2;

/// Largest heartbeat body, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 64 * 1024;

/// How long the backend server may take to send a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);

/// Applies the configuration that is specific to the platform.
pub(crate) fn configure(cfg: &mut Config) {
    cfg.parse_rules = |text| platform::parse_rules(text).ok();
    cfg.keyless_calls = KeylessCalls::OwnedByIngress;
    cfg.server_announces = true;
    cfg.shared_store_reads = true;
    cfg.tree_retries = TreeRetries::ScaledByCalls(CALLS_PER_RETRY);
    cfg.stop_grace_period = STOP_GRACE_PERIOD;
    // Servers announce their slots and queue excess work themselves. A limit estimated from latency
    // falls to a fraction of the slots when one class mixes short and long work.
    cfg.policy.adaptive_limit = false;
    // Each attempt has its own id, so a request that a caller sends again cannot be recognised.
    cfg.policy.resend_limit = false;
}

/// Addresses on which the platform reaches a node.
#[derive(Debug, Clone, Copy)]
pub struct PlatformAddrs {
    /// Serves the readiness probe.
    pub ready_addr: SocketAddr,
    /// Receives announcements from the node's own backend server.
    pub control_addr: SocketAddr,
}

/// Starts the platform tasks and returns the bound addresses, as the OS may have chosen the ports.
pub(crate) async fn start(
    shell: &Rc<Shell>,
    cfg: &PlatformSettings,
) -> Result<PlatformAddrs, StartError> {
    let (ready, ready_addr) = bind(cfg.ready_addr).await?;
    let (control, control_addr) = bind(cfg.control_addr).await?;
    actix_rt::spawn(serve(
        shell.clone(),
        ready,
        shell.operators.clone(),
        handle_readiness,
    ));
    actix_rt::spawn(serve(
        shell.clone(),
        control,
        shell.operators.clone(),
        handle_control,
    ));
    actix_rt::spawn(join_cluster(shell.clone()));
    Ok(PlatformAddrs {
        ready_addr,
        control_addr,
    })
}

async fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let bind_error = |e| StartError::Bind(addr, e);
    let listener = TcpListener::bind(addr).await.map_err(bind_error)?;
    let bound = listener.local_addr().map_err(bind_error)?;
    Ok((listener, bound))
}

/// Discovers peers, then applies each new configuration as soon as the store or a peer provides it.
async fn join_cluster(shell: Rc<Shell>) {
    let directory = read_directory(&shell).await;
    let position = directory
        .iter()
        .position(|addr| *addr == shell.own_instance.addr);
    shell.handle_input(Input::Directory(directory));
    actix_rt::spawn(rediscover_when_isolated(shell.clone()));
    let reads_directly = match position {
        Some(position) => position % DIRECT_READER_STRIDE == 0,
        None => register_in_directory(&shell).await < DIRECT_READER_REGISTRATIONS,
    };
    if !reads_directly {
        wait_for_config(&shell).await;
    }
    follow_config(shell).await;
}

/// Waits for a peer to provide the configuration.
async fn wait_for_config(shell: &Shell) {
    let wait = PEER_CONFIG_TIMEOUT.mul_f64(rand::rng().random_range(1.0..2.0));
    let deadline = Instant::now() + wait;
    while shell.engine.borrow().rules_version() == 0 && Instant::now() < deadline {
        tokio::time::sleep(CONFIG_CHECK_INTERVAL).await;
    }
}

async fn follow_config(shell: Rc<Shell>) {
    follow_topic(
        shell,
        platform::CONFIG_TOPIC,
        |shell| match shell.engine.borrow().store_role(shell.now()) {
            StoreRole::Monitor => MONITOR_POLL_TIMEOUT,
            StoreRole::Reader | StoreRole::Follower => CONFIG_POLL_TIMEOUT,
        },
        |shell| shell.engine.borrow().reads_store(shell.now()),
        |shell, asked, batch| match batch {
            StoreBatch::Newest(newest) => {
                apply_configs(shell, &newest.records);
                advance_rules_offset(shell, newest.end_offset);
                let version = shell.latest_rules.get().1;
                shell.handle_input(Input::RulesChecked { asked, version });
            }
            StoreBatch::Records { records, .. } => {
                apply_configs(shell, &records);
                if let Some(last) = records.last() {
                    advance_rules_offset(shell, last.offset + 1);
                }
            }
        },
    )
    .await;
}

/// Checks whether the store has a newer configuration. Runs as a task of its own, so that a check
/// lost on a connection that has gone silent does not hold up reads that are still answered.
pub(crate) fn check_rules(shell: &Rc<Shell>) {
    let shell = shell.clone();
    actix_rt::spawn(async move {
        let asked = shell.now();
        let input = match read_new_configs(&shell).await {
            Ok(version) => Input::RulesChecked { asked, version },
            Err(e) => {
                log::debug!("event=rules_unchecked error=\"{e}\"");
                Input::RulesCheckFailed
            }
        };
        shell.handle_input(input);
    });
}

/// Applies the configurations published since the last read; returns the newest version in the
/// store.
async fn read_new_configs(shell: &Rc<Shell>) -> Result<u64, StoreError> {
    if let Some(from) = shell.next_rules_offset.get() {
        let read = shell
            .store
            .read(platform::CONFIG_TOPIC, from, Duration::ZERO);
        if let Records::Available {
            records,
            next_offset,
            end_offset,
        } = read.await?
        {
            apply_configs(shell, &records);
            if next_offset >= end_offset {
                advance_rules_offset(shell, next_offset);
                return Ok(shell.latest_rules.get().1);
            }
        }
    }
    let newest = shell.store.newest_records(platform::CONFIG_TOPIC).await?;
    apply_configs(shell, &newest.records);
    advance_rules_offset(shell, newest.end_offset);
    Ok(shell.latest_rules.get().1)
}

fn advance_rules_offset(shell: &Shell, next_offset: u64) {
    let current = shell.next_rules_offset.get();
    shell.next_rules_offset.set(current.max(Some(next_offset)));
}

fn apply_configs(shell: &Rc<Shell>, records: &[StoreRecord]) {
    for StoreRecord { key, value, offset } in records {
        if &**key != platform::CONFIG_KEY || value.is_empty() {
            continue;
        }
        let config = parse_config(value);
        // A configuration that cannot be parsed might revoke any key, so it counts as newer than
        // every version in force.
        let version = config.as_ref().map_or(u64::MAX, |(version, _)| *version);
        let newest = shell.latest_rules.get().max((*offset, version));
        shell.latest_rules.set(newest);
        match config {
            Ok((version, file)) => shell.handle_input(Input::RulesPublished { version, file }),
            Err(e) => {
                log::warn!("event=config_refused error=\"{e}\"");
                shell.count(Counter::PublicationRejected);
            }
        }
    }
}

/// Returns the version of a configuration, and its text with API keys replaced by digests.
fn parse_config(value: &[u8]) -> Result<(u64, Arc<str>), ConfigError> {
    let text = std::str::from_utf8(value).map_err(|_| ConfigError::Malformed)?;
    let version = platform::config_version(text)?;
    Ok((version, platform::hash_api_keys(text)?.into()))
}

/// Reads the addresses of the nodes that are registered in the directory.
async fn read_directory(shell: &Shell) -> Vec<SocketAddr> {
    let mut backoff = StoreBackoff::new();
    loop {
        match shell.store.newest_records(platform::NODES_TOPIC).await {
            Ok(newest) => {
                backoff.record_success("directory");
                let addrs = newest.records.iter();
                let addrs = addrs.filter_map(|record| record.key.parse().ok());
                let addrs: Vec<SocketAddr> = addrs.collect();
                log::info!("event=directory nodes={}", addrs.len());
                return addrs;
            }
            Err(e) => {
                backoff
                    .wait_after_failure("directory", Duration::ZERO, e)
                    .await
            }
        }
    }
}

/// Registers this node in the directory; returns how many registrations preceded it.
async fn register_in_directory(shell: &Shell) -> u64 {
    let mut backoff = StoreBackoff::new();
    let addr = shell.own_instance.addr.to_string();
    let entry = [(addr.as_str().into(), addr.clone().into())];
    loop {
        match shell
            .store
            .append(platform::NODES_TOPIC, None, &entry)
            .await
        {
            Ok(before) => return before,
            Err(e) => {
                backoff
                    .wait_after_failure("announce", Duration::ZERO, e)
                    .await
            }
        }
    }
}

/// Reads the directory again while no peer is known. One read is normally enough: nodes that read
/// the directory after this one has registered find it there, also if they started together with
/// it.
async fn rediscover_when_isolated(shell: Rc<Shell>) {
    loop {
        tokio::time::sleep(REDISCOVERY_INTERVAL).await;
        if !shell.engine.borrow().has_peers() {
            let directory = read_directory(&shell).await;
            shell.handle_input(Input::Directory(directory));
        }
    }
}

async fn handle_readiness(
    shell: Rc<Shell>,
    _account: Rc<Account>,
    req: HttpRequest,
) -> HttpResponse<BoxBody> {
    let ready = shell.engine.borrow().is_ready();
    let status = match platform::is_readiness_probe(req.method(), req.path()) {
        true if ready => StatusCode::OK,
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::NOT_FOUND,
    };
    HttpResponse::build(status).body("").map_into_boxed_body()
}

/// Handles an announcement of the node's own backend server. The response is sent after the engine
/// has processed it, so a draining server receives no new work once it has its acknowledgement.
async fn handle_control(
    shell: Rc<Shell>,
    account: Rc<Account>,
    mut req: HttpRequest,
) -> HttpResponse<BoxBody> {
    let status = match receive_announcement(&shell, &account, &mut req).await {
        Ok(()) => StatusCode::OK,
        Err(Reason::NoSuchOperation) => StatusCode::NOT_FOUND,
        Err(_) => StatusCode::BAD_REQUEST,
    };
    let body = platform::acknowledgement_body();
    let mut response = HttpResponse::build(status);
    response.insert_header(("content-type", "application/json"));
    response.body(body).map_into_boxed_body()
}

async fn receive_announcement(
    shell: &Rc<Shell>,
    account: &Rc<Account>,
    req: &mut HttpRequest,
) -> Result<(), Reason> {
    let limits = BodyLimits {
        max_bytes: MAX_HEARTBEAT_BYTES,
        timeout: HEARTBEAT_TIMEOUT,
    };
    let (body, _reservation) = body::read_body(req, limits, &shell.body_budget, account).await?;
    let server = shell.settings.backend_server_addr;
    match platform::parse_announcement(req.method(), req.path(), &body, server) {
        Ok(announcement) => {
            shell.handle_input(Input::Server(announcement));
            Ok(())
        }
        Err(platform::AnnouncementError::UnknownEndpoint) => Err(Reason::NoSuchOperation),
        Err(e) => {
            let path = req.path();
            log::warn!("event=heartbeat_refused path={path} error=\"{e}\"");
            shell.count(Counter::WrongServiceHeartbeat);
            Err(Reason::BadRequest)
        }
    }
}
