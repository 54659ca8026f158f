//! What a node does on the users' platform in place of reading the log: it takes the
//! operators' configuration and other nodes' addresses from the store, and hears its own server.

use crate::body;
use crate::body::Limits;
use crate::caller::serve;
use crate::settings::PlatformSettings;
use crate::shell::Shell;
use crate::shell::StartError;
use crate::store_reader::follow;
use crate::store_reader::Batch;
use crate::store_reader::Pause;
use actix_http::body::BoxBody;
use actix_http::Request as HttpRequest;
use actix_http::Response as HttpResponse;
use actix_http::StatusCode;
use engine::Config;
use engine::Counter;
use engine::Input;
use engine::KeylessCalls;
use engine::TreeRetries;
use platform::ConfigError;
use platform::Item;
use platform::Records;
use platform::StoreError;
use proto::Reason;
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// How long one read waits for a new configuration. Reads are paid for, and peers tell of a new one
/// as well; but a read over a connection that has gone silent is noticed only at its end.
const READ_WAIT: Duration = Duration::from_secs(10);

/// How long a node that has just started waits for its peers to tell it the configuration, and a random
/// part of as much more. Of nodes that start together a few read it, and tell the others.
const WAIT_FOR_PEERS: Duration = Duration::from_secs(1);

/// One in so many of the nodes that the directory has already reads at once.
const FIRST_OF_DIRECTORY: usize = 8;

/// So many of those that it has not, the first to announce themselves, do as well.
const FIRST_TO_ANNOUNCE: u64 = 16;

/// How often a node that waits looks whether it has a configuration.
const WAIT_STEP: Duration = Duration::from_millis(20);

/// How long a node that knows no other waits before it looks again.
const LOOK_AGAIN: Duration = Duration::from_secs(2);

/// How long a stopping node goes on taking requests. The platform asks each second, and leaves out
/// a node that said no twice.
const LINGER: Duration = Duration::from_millis(2200);

/// Calls of an action for which one of them may be tried again. All retries are bounded by the fleet's
/// part as well.
const CALLS_FOR_A_RETRY: u16 = 2;

/// The largest body of a heartbeat, in bytes.
const MAX_HEARTBEAT: usize = 64 * 1024;

/// How long a server may take for its heartbeat.
const HEARTBEAT_TIME: Duration = Duration::from_secs(5);

/// Sets what differs on the platform.
pub(crate) fn configure(cfg: &mut Config) {
    cfg.parse_rules = |text| platform::parse_rules(text).ok();
    cfg.keyless_calls = KeylessCalls::OwnedByIngress;
    cfg.server_announces = true;
    cfg.shared_store_reads = true;
    cfg.tree_retries = TreeRetries::ScaledByCalls(CALLS_FOR_A_RETRY);
    cfg.stop_grace_period = LINGER;
    // The servers tell their slots, and work beyond those waits inside them. A limit that is guessed
    // from times went down to 2 of 14 slots where one class had work of 55 and of 180 ms.
    cfg.policy.adaptive_limit = false;
    // Each attempt has an id of its own, so no two requests are alike.
    cfg.policy.resend_limit = false;
}

/// Where the platform reaches a node.
#[derive(Debug, Clone, Copy)]
pub struct PlatformAddrs {
    /// Where it asks whether the node takes clients.
    pub ready_addr: SocketAddr,
    /// Where the own backend server announces itself.
    pub control_addr: SocketAddr,
}

/// Starts the tasks; says where they listen, because the system may have chosen the ports.
pub(crate) async fn start(
    shell: &Rc<Shell>,
    cfg: &PlatformSettings,
) -> Result<PlatformAddrs, StartError> {
    let (ready, ready_addr) = bind(cfg.ready_addr).await?;
    let (control, control_addr) = bind(cfg.control_addr).await?;
    actix_rt::spawn(serve(shell.clone(), ready, on_ready));
    actix_rt::spawn(serve(shell.clone(), control, on_control));
    actix_rt::spawn(join_others(shell.clone()));
    Ok(PlatformAddrs {
        ready_addr,
        control_addr,
    })
}

async fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let failed = |e| StartError::Bind(addr, e);
    let listener = TcpListener::bind(addr).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

/// Meets the others, and takes each new configuration as soon as the store has it or a peer tells of it.
async fn join_others(shell: Rc<Shell>) {
    let directory = read_directory(&shell).await;
    let place = directory.iter().position(|addr| *addr == shell.me.addr);
    shell.feed(Input::Directory(directory));
    actix_rt::spawn(look_for_others(shell.clone()));
    let reads_first = match place {
        Some(place) => place % FIRST_OF_DIRECTORY == 0,
        None => announce(&shell).await < FIRST_TO_ANNOUNCE,
    };
    if !reads_first {
        wait_for_config(&shell).await;
    }
    follow_config(shell).await;
}

/// Gives the peers a chance to tell the configuration.
async fn wait_for_config(shell: &Shell) {
    let wait = WAIT_FOR_PEERS.mul_f64(rand::rng().random_range(1.0..2.0));
    let ends = Instant::now() + wait;
    while shell.engine.borrow().rules_version() == 0 && Instant::now() < ends {
        tokio::time::sleep(WAIT_STEP).await;
    }
}

async fn follow_config(shell: Rc<Shell>) {
    follow(
        shell,
        platform::CONFIG_TOPIC,
        READ_WAIT,
        |shell| shell.engine.borrow().reads_store(shell.now()),
        |shell, asked, batch| match batch {
            Batch::Newest(newest) => {
                take_configs(shell, &newest.items);
                note_offset(shell, newest.end);
                let version = shell.newest_rules.get().1;
                shell.feed(Input::RulesChecked { asked, version });
            }
            Batch::Records { items, .. } => {
                take_configs(shell, &items);
                if let Some(last) = items.last() {
                    note_offset(shell, last.offset + 1);
                }
            }
        },
    )
    .await;
}

/// Finds out whether the store has a newer configuration. The question may be lost on a connection that has
/// gone silent while another answer is under way, so it has a task of its own.
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
        shell.feed(input);
    });
}

/// Takes the configurations that the store has had since it was read last; gives the newest version that it
/// has.
async fn read_new_configs(shell: &Rc<Shell>) -> Result<u64, StoreError> {
    if let Some(from) = shell.rules_offset.get() {
        let read = shell
            .store
            .read(platform::CONFIG_TOPIC, from, Duration::ZERO);
        if let Records::Some { items, next, end } = read.await? {
            take_configs(shell, &items);
            if next >= end {
                note_offset(shell, next);
                return Ok(shell.newest_rules.get().1);
            }
        }
    }
    let newest = shell.store.newest(platform::CONFIG_TOPIC).await?;
    take_configs(shell, &newest.items);
    note_offset(shell, newest.end);
    Ok(shell.newest_rules.get().1)
}

fn note_offset(shell: &Shell, next: u64) {
    let read = shell.rules_offset.get();
    shell.rules_offset.set(read.max(Some(next)));
}

fn take_configs(shell: &Rc<Shell>, items: &[Item]) {
    for Item { key, value, offset } in items {
        if &**key != platform::CONFIG_KEY || value.is_empty() {
            continue;
        }
        let config = read_config(value);
        // One that cannot be read may revoke any key.
        let version = config.as_ref().map_or(u64::MAX, |(version, _)| *version);
        let newest = shell.newest_rules.get().max((*offset, version));
        shell.newest_rules.set(newest);
        match config {
            Ok((version, file)) => shell.feed(Input::RulesPublished { version, file }),
            Err(e) => {
                log::warn!("event=config_refused error=\"{e}\"");
                shell.count(Counter::PublicationRejected);
            }
        }
    }
}

/// The version of a configuration, and its text without keys.
fn read_config(value: &[u8]) -> Result<(u64, Arc<str>), ConfigError> {
    let text = std::str::from_utf8(value).map_err(|_| ConfigError::Malformed)?;
    let version = platform::version_of(text)?;
    Ok((version, platform::without_keys(text)?.into()))
}

/// Reads where other nodes announced themselves.
async fn read_directory(shell: &Shell) -> Vec<SocketAddr> {
    let mut pause = Pause::new();
    loop {
        match shell.store.newest(platform::NODES_TOPIC).await {
            Ok(newest) => {
                pause.done("directory");
                let addrs = newest.items.iter();
                let addrs = addrs.filter_map(|item| item.key.parse().ok());
                let addrs: Vec<SocketAddr> = addrs.collect();
                log::info!("event=directory nodes={}", addrs.len());
                return addrs;
            }
            Err(e) => pause.after("directory", e).await,
        }
    }
}

/// Announces this node; gives how many announcements came before.
async fn announce(shell: &Shell) -> u64 {
    let mut pause = Pause::new();
    let addr = shell.me.addr.to_string();
    let entry = [(addr.as_str().into(), addr.clone().into())];
    loop {
        match shell
            .store
            .append(platform::NODES_TOPIC, None, &entry)
            .await
        {
            Ok(before) => return before,
            Err(e) => pause.after("announce", e).await,
        }
    }
}

/// Who comes later finds this node, so having read the directory once is enough; only a node that is
/// alone looks again. Of nodes that start together, those that read before any other had announced
/// itself are found by those that read after it.
async fn look_for_others(shell: Rc<Shell>) {
    loop {
        tokio::time::sleep(LOOK_AGAIN).await;
        if !shell.engine.borrow().has_peers() {
            let directory = read_directory(&shell).await;
            shell.feed(Input::Directory(directory));
        }
    }
}

async fn on_ready(shell: Rc<Shell>, req: HttpRequest) -> HttpResponse<BoxBody> {
    let ready = shell.engine.borrow().is_ready();
    let status = match platform::is_readiness_probe(req.method(), req.path()) {
        true if ready => StatusCode::OK,
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::NOT_FOUND,
    };
    HttpResponse::build(status).body("").map_into_boxed_body()
}

/// Hears the own server. It is answered once the engine has taken what it said: from then on no
/// new work goes to a server that leaves.
async fn on_control(shell: Rc<Shell>, mut req: HttpRequest) -> HttpResponse<BoxBody> {
    let status = match hear_server(&shell, &mut req).await {
        Ok(()) => StatusCode::OK,
        Err(Reason::NoSuchOperation) => StatusCode::NOT_FOUND,
        Err(_) => StatusCode::BAD_REQUEST,
    };
    let body = platform::acknowledgement();
    let mut response = HttpResponse::build(status);
    response.insert_header(("content-type", "application/json"));
    response.body(body).map_into_boxed_body()
}

async fn hear_server(shell: &Rc<Shell>, req: &mut HttpRequest) -> Result<(), Reason> {
    let limits = Limits {
        max: MAX_HEARTBEAT,
        time: HEARTBEAT_TIME,
    };
    let (body, _reservation) = body::read(req, limits, &shell.bodies).await?;
    let server = shell.settings.backend_server_addr;
    match platform::announcement(req.method(), req.path(), &body, server) {
        Ok(announcement) => {
            shell.feed(Input::Server(announcement));
            Ok(())
        }
        Err(platform::HeartbeatError::NoSuchCall) => Err(Reason::NoSuchOperation),
        Err(e) => {
            let path = req.path();
            log::warn!("event=heartbeat_refused path={path} error=\"{e}\"");
            shell.count(Counter::WrongServiceHeartbeat);
            Err(Reason::BadRequest)
        }
    }
}
