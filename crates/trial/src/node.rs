//! A simulated instance: a node process and its backend server.

use crate::caller::Waiter;
use crate::world::Event;
use crate::ClusterConfig;
use crate::FakeBackendServer;
use engine::Engine;
use engine::RequestToken;
use indexmap::IndexMap;
use indexmap::IndexSet;
use proto::Incarnation;
use proto::Instance;
use proto::RunId;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

/// A simulated instance: a node process and its backend server.
pub struct Node {
    /// The name, as `SERVICE-N`.
    pub name: String,
    /// The instance as it is known to the other nodes.
    pub instance: Instance,
    /// The current or last incarnation of the process.
    pub incarnation: Incarnation,
    /// The engine; `None` while no process is running.
    pub engine: Option<Engine>,
    /// When the process started; its local clock counts from here.
    pub started_at: Time,
    /// The rate of its local clock relative to the virtual clock.
    pub clock_rate: f64,
    /// The process is paused.
    pub paused: bool,
    /// When the process was last paused or resumed.
    pub pause_changed_at: Time,
    /// The newest rules version in force at any node when the process started.
    pub version_at_start: u64,
    /// When a graceful shutdown was requested.
    pub stop_requested_at: Option<Time>,
    /// When the process received that request, which is later if it was paused.
    pub stop_received_at: Option<Time>,
    /// The backend server.
    pub server: FakeBackendServer,
    /// Unanswered requests.
    pub pending_requests: IndexMap<RequestToken, Waiter>,
    /// The unanswered requests that the process has accepted.
    pub accepted_requests: IndexSet<RequestToken>,
    /// Runs in progress, with the id of the work on the backend server, or `None` before the server
    /// has accepted it.
    pub runs: IndexMap<RunId, Option<u64>>,
    /// How long to pause the process at its next run.
    pub(crate) pause_at_run: Option<Duration>,
    /// The id of the current sequence of log reads; reads with another id are cancelled.
    pub(crate) read_id: u64,
    /// The last read found no new records, so the next one waits for some.
    pub(crate) reached_log_end: bool,
    /// Events that fell due while the process was paused.
    pub(crate) deferred_events: Vec<Event>,
    /// When the next timer event is scheduled.
    pub(crate) scheduled_tick: Option<Time>,
}

impl Node {
    pub(crate) fn new(cluster: &ClusterConfig, index: usize) -> Self {
        let placement = &cluster.placements[index];
        let nth = cluster.placements[..index]
            .iter()
            .filter(|other| other.service == placement.service)
            .count();
        let incarnation = Incarnation(0);
        Self {
            name: format!("{}-{}", placement.service, nth + 1),
            instance: Instance {
                incarnation,
                service: placement.service.clone(),
                failure_domain: placement.failure_domain.clone(),
                region: placement.region.clone(),
                addr: SocketAddr::from(([10, 0, 0, index as u8 + 1], 7000)),
            },
            incarnation,
            engine: None,
            started_at: Time::ZERO,
            clock_rate: 1.0,
            paused: false,
            pause_changed_at: Time::ZERO,
            version_at_start: 0,
            stop_requested_at: None,
            stop_received_at: None,
            server: FakeBackendServer::new(cluster),
            pending_requests: IndexMap::new(),
            accepted_requests: IndexSet::new(),
            runs: IndexMap::new(),
            pause_at_run: None,
            read_id: 0,
            reached_log_end: false,
            deferred_events: Vec::new(),
            scheduled_tick: None,
        }
    }

    /// The time on the local clock of the process.
    pub(crate) fn local_time(&self, now: Time) -> Time {
        Time::ZERO + now.since(self.started_at).mul_f64(self.clock_rate)
    }
}

impl std::fmt::Display for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.name, self.incarnation)?;
        let Some(engine) = &self.engine else {
            return write!(f, " not running");
        };
        let (journal, tables) = (engine.journal(), engine.table_sizes());
        let view = journal.view(&self.instance.service);
        let members = view.map(|view| {
            view.members
                .iter()
                .map(|member| member.incarnation.to_string())
        });
        let members: Vec<_> = members.into_iter().flatten().collect();
        write!(
            f,
            " stop requested at {:?}, rules version {}, next offset {},",
            self.stop_requested_at, journal.rules_version, journal.next_offset
        )?;
        write!(
            f,
            " view {:?} with members {members:?}, tables {tables:?}",
            view.map(|view| view.number)
        )
    }
}
