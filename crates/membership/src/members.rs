//! The table of peers, and what others ask of it.

use crate::digest::Digests;
use crate::evict::Evictions;
use crate::probe::Probes;
use crate::rumours::RumourQueue;
use crate::table::Entry;
use crate::Config;
use crate::Peer;
use indexmap::IndexMap;
use proto::Incarnation;
use proto::Instance;
use proto::LoadReport;
use proto::MemberMessage;
use proto::PeerState;
use proto::PeerUpdate;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::BoundedMap;
use stdx::Time;

/// Incarnations that never come back, remembered beyond their entries, because old rumours about
/// them may still be under way.
const MAX_BURIED: usize = 4096;

/// A peer that was heard within this time is told directly when this node leaves.
const IN_TOUCH: Duration = Duration::from_secs(30);

/// The most peers that are told directly; the others hear it by gossip.
const MAX_TOLD: usize = 64;

/// The most addresses that are kept as hints.
const MAX_CONTACTS: usize = 1024;

/// The most addresses that are asked at once. They answer with digests of what they know, so a few
/// that are alive are enough to hear of everybody.
const MAX_MET: usize = 32;

/// For how long after a start the addresses count at which nobody has been heard of. Some are out of date.
const UNSEEN_COUNT: Duration = Duration::from_secs(60);

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: MemberMessage,
    },
    /// A peer's state is not what it was.
    PeerChanged {
        /// Whose.
        incarnation: Incarnation,
        /// The new one.
        state: PeerState,
    },
    /// Ask the log to take out a peer.
    Evict(Incarnation),
    /// The table is full: a peer that only rumours tell of was left out.
    TableFull,
}

/// The table of peers, and the probes that keep it.
#[derive(Debug)]
pub struct Membership {
    pub(crate) cfg: Config,
    pub(crate) me: Instance,
    pub(crate) rng: StdRng,
    pub(crate) peers: IndexMap<Incarnation, Entry>,
    /// Who was last known to be at an address.
    pub(crate) occupants: IndexMap<SocketAddr, Incarnation>,
    pub(crate) contacts: Vec<SocketAddr>,
    pub(crate) load: LoadReport,
    pub(crate) probes: Probes,
    pub(crate) digests: Digests,
    pub(crate) evictions: Evictions,
    /// The log's views name this node.
    pub(crate) listed: bool,
    pub(crate) leaving: bool,
    /// The own backend server takes new work.
    open: bool,
    pub(crate) effects: Vec<Effect>,
    pub(crate) beat: u32,
    /// When this node first looked at the time.
    pub(crate) started: Option<Time>,
    /// When another node was last heard.
    pub(crate) heard_at: Option<Time>,
    rumours: RumourQueue,
    gossip_at: Time,
    /// When suspects count as dead.
    pub(crate) suspects: BTreeSet<(Time, Incarnation)>,
    /// `true` while it holds; the log may list one again.
    pub(crate) buried: BoundedMap<Incarnation, bool>,
}

impl Membership {
    /// A table that knows only this instance, and contact addresses that are hints.
    pub fn new(cfg: Config, me: Instance, contacts: Vec<SocketAddr>) -> Self {
        Self {
            rng: StdRng::seed_from_u64(cfg.seed),
            cfg,
            me,
            peers: IndexMap::new(),
            occupants: IndexMap::new(),
            contacts,
            load: LoadReport::default(),
            probes: Probes::new(),
            digests: Digests::default(),
            evictions: Evictions::default(),
            listed: false,
            leaving: false,
            open: true,
            effects: Vec::new(),
            beat: 0,
            started: None,
            heard_at: None,
            rumours: RumourQueue::default(),
            gossip_at: Time::ZERO,
            suspects: BTreeSet::new(),
            buried: BoundedMap::new(MAX_BURIED),
        }
    }

    /// Handles a message.
    pub fn on_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: MemberMessage,
    ) -> Vec<Effect> {
        if from != self.me.addr {
            self.heard_at = Some(now);
        }
        match message {
            MemberMessage::Ping {
                from: sender,
                seq,
                digest,
                load,
                updates,
            } => {
                self.hear_sender(now, &sender, load);
                self.hear_all(now, &updates);
                self.on_ping(from, &sender, seq);
                self.compare(now, from, digest);
            }
            MemberMessage::Ack {
                from: sender,
                seq,
                digest,
                load,
                updates,
            } => {
                self.on_ack(now, &sender, seq, digest, load);
                self.hear_sender(now, &sender, load);
                self.hear_all(now, &updates);
                self.compare(now, sender.instance.addr, digest);
            }
            MemberMessage::PingReq { seq, target } => self.on_ping_req(from, seq, target),
            MemberMessage::Gossip { updates } => self.hear_all(now, &updates),
            MemberMessage::Pull { digests } => self.on_pull(from, &digests),
            MemberMessage::PullReply { updates } => self.on_news(now, &updates),
        }
        std::mem::take(&mut self.effects)
    }

    /// Does what is due. Call when [`Membership::next_timer`] has come.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        self.started.get_or_insert(now);
        if self.next_timer().is_some_and(|at| now < at) {
            return Vec::new();
        }
        self.excuse_pause(now);
        self.tick_probes(now);
        self.tick_evictions(now);
        self.tick_suspects(now);
        self.tick_gossip(now);
        std::mem::take(&mut self.effects)
    }

    /// When [`Membership::tick`] is due.
    pub fn next_timer(&self) -> Option<Time> {
        let gossip = Some(self.gossip_at).filter(|_| !self.rumours.is_empty());
        let suspect = self.suspects.first().map(|(at, _)| *at);
        [
            Some(self.probes.next_timer()),
            gossip,
            suspect,
            self.evictions.next_timer(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Tells the others that this instance is leaving: those that it is in touch with at once, the
    /// rest by gossip.
    pub fn leave(&mut self, now: Time) -> Vec<Effect> {
        if !self.leaving {
            self.leaving = true;
            self.load.draining = true;
            self.raise_beat(self.beat);
            let recent = |entry: &&Entry| {
                let heard = entry.heard.is_some_and(|at| now.since(at) < IN_TOUCH);
                heard && !entry.is_dead()
            };
            let told = self.peers.values().filter(recent).take(MAX_TOLD);
            let told: Vec<SocketAddr> = told.map(|entry| entry.peer.instance.addr).collect();
            for to in told {
                let rumours = vec![self.my_rumour()];
                self.send(to, MemberMessage::Gossip { updates: rumours });
            }
        }
        std::mem::take(&mut self.effects)
    }

    /// Says to all others whether the own backend server takes new work. It goes by gossip, which
    /// reaches a large fleet in a few rounds; a load report would reach most nodes only with the
    /// next probe between the two.
    /// Gives whether that is news.
    pub fn set_accepting_work(&mut self, open: bool) -> bool {
        let news = self.open != open;
        if news {
            self.open = open;
            self.raise_beat(self.beat);
        }
        news
    }

    /// Asks the nodes at these addresses who they are, and keeps the addresses as hints. Some may
    /// be gone; who answers tells of the rest.
    pub fn add_contacts(&mut self, addrs: &[SocketAddr]) -> Vec<Effect> {
        let strangers = addrs.iter().filter(|addr| **addr != self.me.addr);
        let mut strangers: Vec<SocketAddr> = strangers.copied().collect();
        strangers.shuffle(&mut self.rng);
        self.contacts.extend(&strangers);
        self.contacts.sort_unstable();
        self.contacts.dedup();
        self.contacts.truncate(MAX_CONTACTS);
        for addr in strangers.into_iter().take(MAX_MET) {
            self.ping(addr);
        }
        std::mem::take(&mut self.effects)
    }

    pub(crate) fn set_peer_accepts_work(&mut self, incarnation: Incarnation, open: bool) {
        if let Some(entry) = self.peers.get_mut(&incarnation) {
            entry.peer.accepts_work = open;
        }
    }

    /// What this node says of its own load from now on.
    pub fn set_load(&mut self, load: LoadReport) {
        self.load = load;
    }

    /// Takes a report that came with an answer.
    pub fn on_load_report(&mut self, now: Time, from: Incarnation, load: LoadReport) {
        if let Some(entry) = self.peers.get_mut(&from) {
            entry.peer.load = load;
            entry.heard = Some(now);
        }
    }

    /// A peer by its incarnation.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Peer> {
        self.peers.get(&incarnation).map(|entry| &entry.peer)
    }

    /// How many machines the fleet has, this one included, as far as this one knows. Those that are taken
    /// for dead count: the two sides of a cut would otherwise each take themselves for the whole.
    pub fn fleet_size(&self) -> usize {
        self.occupants.len() + 1
    }

    /// How many nodes may be at work, this one included. Unlike [`Membership::fleet_size`] it leaves out
    /// nodes that have said that they leave, and counts addresses that nobody has been heard of at yet: a
    /// node that starts in a small part of a fleet that is cut apart must not take it for the whole.
    pub fn voter_count(&self, now: Time) -> usize {
        let peers = self.occupants.iter().filter(|(addr, occupant)| {
            let entry = self.peers.get(*occupant);
            **addr != self.me.addr && entry.is_none_or(|entry| !entry.has_left())
        });
        let started = self.started.unwrap_or(now);
        let counts_unseen = now.since(started) < UNSEEN_COUNT;
        let unseen = self.contacts.iter().filter(|addr| {
            counts_unseen && **addr != self.me.addr && !self.occupants.contains_key(*addr)
        });
        1 + peers.count() + unseen.count()
    }

    /// Every peer that is remembered, the dead included.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().map(|entry| &entry.peer)
    }

    /// The peers that may be given new work for `service`.
    pub fn usable_peers<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Peer> {
        self.peers().filter(move |peer| {
            &*peer.instance.service == service
                && peer.state == PeerState::Alive
                && peer.accepts_work
                && !peer.load.draining
        })
    }

    pub(crate) fn send(&mut self, to: SocketAddr, message: MemberMessage) {
        self.effects.push(Effect::Send { to, message });
    }

    /// Who was last known to be at an address.
    pub fn peer_at(&self, addr: SocketAddr) -> Option<&Peer> {
        self.get(*self.occupants.get(&addr)?)
    }

    pub(crate) fn my_state(&self) -> PeerState {
        if self.leaving {
            PeerState::Leaving
        } else {
            PeerState::Alive
        }
    }

    pub(crate) fn my_rumour(&self) -> PeerUpdate {
        PeerUpdate {
            instance: self.me.clone(),
            state: self.my_state(),
            revision: self.beat,
            accepts_work: self.open,
        }
    }

    /// The rumours for one datagram.
    pub(crate) fn take_rumours(&mut self, first: Option<PeerUpdate>) -> Vec<PeerUpdate> {
        let mine = self.my_rumour();
        self.rumours.take(first, |about| {
            if about == mine.instance.incarnation {
                return Some(mine.clone());
            }
            self.peers.get(&about).map(Entry::rumour)
        })
    }

    pub(crate) fn spread(&mut self, about: Incarnation) {
        let size = self.peers.len() as u32 + 2;
        let times = self.cfg.retransmit_mult * (size.ilog2() + 1);
        self.rumours.push(about, times);
    }

    fn tick_gossip(&mut self, now: Time) {
        if now < self.gossip_at || self.rumours.is_empty() {
            return;
        }
        self.gossip_at = now + self.cfg.gossip_interval;
        for to in self.pick_helpers(self.cfg.gossip_fanout, None) {
            let rumours = self.take_rumours(None);
            if !rumours.is_empty() {
                self.send(to, MemberMessage::Gossip { updates: rumours });
            }
        }
    }

    pub(crate) fn is_buried(&self, incarnation: Incarnation) -> bool {
        self.buried.get(&incarnation).is_some_and(|buried| *buried)
    }
}
