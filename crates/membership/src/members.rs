//! The table of peers.

use indexmap::IndexMap;
use proto::Incarnation;
use proto::Instance;
use proto::LoadReport;
use proto::MemberMessage;
use proto::PeerState;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

/// How often to probe and how long to wait.
#[derive(Debug, Clone)]
pub struct Config {
    /// The time between two probes of this node.
    pub probe_interval: Duration,
    /// How long an ack may take before others are asked to probe, and again before suspicion.
    pub ack_timeout: Duration,
    /// How long a suspect has to refute before it counts as dead.
    pub suspicion_timeout: Duration,
    /// Seed for the choice of whom to probe.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(250),
            suspicion_timeout: Duration::from_secs(3),
            seed: 0,
        }
    }
}

/// What is known of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Who it is.
    pub instance: Instance,
    /// Its state.
    pub state: PeerState,
    /// What it last said of its load.
    pub load: LoadReport,
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(
    clippy::large_enum_variant,
    reason = "effects are handled at once, never stored"
)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: MemberMessage,
    },
    /// A peer's state is not what it was.
    Changed {
        /// Whose.
        incarnation: Incarnation,
        /// The new one.
        state: PeerState,
    },
}

/// The table of peers, and the probes that keep it.
#[derive(Debug)]
pub struct Membership {
    me: Instance,
    peers: IndexMap<Incarnation, Peer>,
    load: LoadReport,
}

impl Membership {
    /// A table that knows only this instance, and contact addresses that are hints.
    pub fn new(_cfg: Config, me: Instance, _contacts: Vec<SocketAddr>) -> Self {
        Self {
            me,
            peers: IndexMap::new(),
            load: LoadReport::default(),
        }
    }

    /// Takes the log's word on who joined; it never makes a dead peer alive again.
    pub fn set_roster<'a>(
        &mut self,
        _now: Time,
        roster: impl Iterator<Item = &'a Instance>,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        for instance in roster {
            let incarnation = instance.incarnation;
            if incarnation == self.me.incarnation || self.peers.contains_key(&incarnation) {
                continue;
            }
            let peer = Peer {
                instance: instance.clone(),
                state: PeerState::Alive,
                load: LoadReport::default(),
            };
            self.peers.insert(incarnation, peer);
            effects.push(Effect::Changed {
                incarnation,
                state: PeerState::Alive,
            });
        }
        effects
    }

    /// Handles a message.
    pub fn on_message(&mut self, _now: Time, _from: SocketAddr, _: MemberMessage) -> Vec<Effect> {
        Vec::new()
    }

    /// Does what is due. Call when [`Membership::next_timer`] has come.
    pub fn tick(&mut self, _now: Time) -> Vec<Effect> {
        Vec::new()
    }

    /// When [`Membership::tick`] is due.
    pub fn next_timer(&self) -> Option<Time> {
        None
    }

    /// Tells the others that this instance is leaving.
    pub fn leave(&mut self, _now: Time) -> Vec<Effect> {
        self.load.draining = true;
        Vec::new()
    }

    /// What this node says of its own load from now on.
    pub fn set_load(&mut self, load: LoadReport) {
        self.load = load;
    }

    /// Takes a report that came with an answer.
    pub fn heard_load(&mut self, from: Incarnation, load: LoadReport) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.load = load;
        }
    }

    /// A peer by its incarnation.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Peer> {
        self.peers.get(&incarnation)
    }

    /// The peers that may be given new work for `service`.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Peer> {
        self.peers.values().filter(move |peer| {
            &*peer.instance.service == service
                && peer.state == PeerState::Alive
                && !peer.load.draining
        })
    }
}
