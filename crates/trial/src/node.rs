//! One instance: a process of the system and its backend server.

use crate::caller::Waiter;
use crate::world::Event;
use crate::ClusterConfig;
use crate::Server;
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

/// One instance: a process of the system and its backend server.
pub struct Node {
    /// `SERVICE-N`.
    pub name: String,
    /// Who it is now.
    pub instance: Instance,
    /// Its present incarnation.
    pub incarnation: Incarnation,
    /// `None` while no process runs.
    pub engine: Option<Engine>,
    /// Its clock's origin.
    pub started: Time,
    /// How fast its clock runs.
    pub clock_rate: f64,
    /// The process is frozen.
    pub paused: bool,
    /// When it was last frozen or set free.
    pub moved: Time,
    /// The newest version that was in force anywhere when the process started.
    pub known_version: u64,
    /// When its graceful shutdown began.
    pub stopping: Option<Time>,
    /// When the process heard of it, which may be frozen.
    pub heard_stop: Option<Time>,
    /// Its backend server.
    pub server: Server,
    /// Requests without an answer.
    pub waiting: IndexMap<RequestToken, Waiter>,
    /// Those of them that the process has taken.
    pub taken: IndexSet<RequestToken>,
    /// Runs handed to the backend server, by the name that the engine gave: the server's number.
    pub runs: IndexMap<RunId, Option<u64>>,
    pub(crate) pause_at_run: Option<Duration>,
    pub(crate) read: u64,
    pub(crate) read_to_end: bool,
    pub(crate) held: Vec<Event>,
    pub(crate) tick: Option<Time>,
}

impl Node {
    pub(crate) fn new(cluster: &ClusterConfig, at: usize) -> Self {
        let place = &cluster.placements[at];
        let nth = cluster.placements[..at]
            .iter()
            .filter(|other| other.service == place.service)
            .count();
        let incarnation = Incarnation(0);
        Self {
            name: format!("{}-{}", place.service, nth + 1),
            instance: Instance {
                incarnation,
                service: place.service.clone(),
                failure_domain: place.failure_domain.clone(),
                region: place.region.clone(),
                addr: SocketAddr::from(([10, 0, 0, at as u8 + 1], 7000)),
            },
            incarnation,
            engine: None,
            started: Time::ZERO,
            clock_rate: 1.0,
            paused: false,
            moved: Time::ZERO,
            known_version: 0,
            stopping: None,
            heard_stop: None,
            server: Server::new(cluster),
            waiting: IndexMap::new(),
            taken: IndexSet::new(),
            runs: IndexMap::new(),
            pause_at_run: None,
            read: 0,
            read_to_end: false,
            held: Vec::new(),
            tick: None,
        }
    }

    /// What its process takes for the time.
    pub(crate) fn time(&self, now: Time) -> Time {
        Time::ZERO + now.since(self.started).mul_f64(self.clock_rate)
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
            " stopping {:?} version {} next {}",
            self.stopping, journal.version, journal.next_offset
        )?;
        write!(
            f,
            " view {:?} of {members:?} {tables:?}",
            view.map(|view| view.number)
        )
    }
}
