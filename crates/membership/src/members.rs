//! The peer table and its public interface.

use crate::digest::Digests;
use crate::evict::Evictions;
use crate::peer::PeerEntry;
use crate::probe::Probes;
use crate::update_queue::UpdateQueue;
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

/// Maximum number of tombstones of incarnations that will not come back. They are kept longer than
/// the entries, because old updates about these incarnations may still be in flight.
const MAX_TOMBSTONES: usize = 4096;

/// A peer that was heard within this time is notified directly when this node leaves.
const DIRECT_NOTIFY_WINDOW: Duration = Duration::from_secs(30);

/// Maximum number of peers that are notified directly; the others learn it by gossip.
const MAX_DIRECT_NOTIFICATIONS: usize = 64;

/// Maximum number of contact addresses.
const MAX_CONTACTS: usize = 1024;

/// Maximum number of contacts that are pinged at once. They answer with digests of what they know,
/// so a few live ones are enough to discover all peers.
const MAX_CONTACT_PINGS: usize = 32;

/// How long after the start a contact address at which no node was heard of counts as a node. It
/// does not count forever, because some contact addresses are out of date.
const UNSEEN_CONTACT_WINDOW: Duration = Duration::from_secs(60);

/// An action for the driver to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: MemberMessage,
    },
    /// A peer changed its state or started or stopped accepting new work.
    PeerChanged {
        /// The peer.
        incarnation: Incarnation,
        /// Its current state.
        state: PeerState,
    },
    /// Append the eviction of this peer to the log.
    Evict(Incarnation),
    /// The table is full, so a peer known only from updates was not added.
    TableFull,
}

/// The peer table and the probes that maintain it.
#[derive(Debug)]
pub struct Membership {
    pub(crate) cfg: Config,
    pub(crate) me: Instance,
    pub(crate) rng: StdRng,
    pub(crate) peers: IndexMap<Incarnation, PeerEntry>,
    /// The incarnation last known to be at each address.
    pub(crate) incarnation_by_addr: IndexMap<SocketAddr, Incarnation>,
    pub(crate) contacts: Vec<SocketAddr>,
    pub(crate) load: LoadReport,
    pub(crate) probes: Probes,
    pub(crate) digests: Digests,
    pub(crate) evictions: Evictions,
    /// Whether the views in the log contain this node.
    pub(crate) listed: bool,
    pub(crate) leaving: bool,
    /// Whether this node's backend server accepts new work.
    accepts_work: bool,
    pub(crate) effects: Vec<Effect>,
    pub(crate) revision: u32,
    /// Time of the first tick.
    pub(crate) started_at: Option<Time>,
    /// When the last message from another node arrived.
    pub(crate) last_message_at: Option<Time>,
    update_queue: UpdateQueue,
    next_gossip_at: Time,
    /// Suspects, by the time at which they are considered dead.
    pub(crate) suspects: BTreeSet<(Time, Incarnation)>,
    /// `true` while the tombstone is in force; `false` after the log has listed the incarnation
    /// again.
    pub(crate) tombstones: BoundedMap<Incarnation, bool>,
}

impl Membership {
    /// Creates a table that contains only this instance. `contacts` are addresses at which other
    /// nodes may be found.
    pub fn new(cfg: Config, me: Instance, contacts: Vec<SocketAddr>) -> Self {
        Self {
            rng: StdRng::seed_from_u64(cfg.seed),
            cfg,
            me,
            peers: IndexMap::new(),
            incarnation_by_addr: IndexMap::new(),
            contacts,
            load: LoadReport::default(),
            probes: Probes::new(),
            digests: Digests::default(),
            evictions: Evictions::default(),
            listed: false,
            leaving: false,
            accepts_work: true,
            effects: Vec::new(),
            revision: 0,
            started_at: None,
            last_message_at: None,
            update_queue: UpdateQueue::default(),
            next_gossip_at: Time::ZERO,
            suspects: BTreeSet::new(),
            tombstones: BoundedMap::new(MAX_TOMBSTONES),
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
            self.last_message_at = Some(now);
        }
        match message {
            MemberMessage::Ping {
                from: sender,
                seq,
                digest,
                load,
                updates,
            } => {
                self.apply_sender(now, &sender, load);
                self.apply_updates(now, &updates);
                self.on_ping(from, &sender, seq);
                self.pull_if_different(now, from, digest);
            }
            MemberMessage::Ack {
                from: sender,
                seq,
                digest,
                load,
                updates,
            } => {
                self.on_ack(now, &sender, seq, digest, load);
                self.apply_sender(now, &sender, load);
                self.apply_updates(now, &updates);
                self.pull_if_different(now, sender.instance.addr, digest);
            }
            MemberMessage::PingReq { seq, target } => self.on_ping_req(from, seq, target),
            MemberMessage::Gossip { updates } => self.apply_updates(now, &updates),
            MemberMessage::Pull { digests } => self.on_pull(from, &digests),
            MemberMessage::PullReply { updates } => self.on_pull_reply(now, &updates),
        }
        std::mem::take(&mut self.effects)
    }

    /// Performs all due actions. Must be called when [`Membership::next_timer`] has passed.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        self.started_at.get_or_insert(now);
        if self.next_timer().is_some_and(|at| now < at) {
            return Vec::new();
        }
        self.restart_timers_after_pause(now);
        self.tick_probes(now);
        self.finish_eviction_check(now);
        self.expire_suspicions(now);
        self.tick_gossip(now);
        std::mem::take(&mut self.effects)
    }

    /// When [`Membership::tick`] is due.
    pub fn next_timer(&self) -> Option<Time> {
        let gossip = Some(self.next_gossip_at).filter(|_| !self.update_queue.is_empty());
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

    /// Announces that this instance is leaving: directly to peers that were heard recently, to the
    /// others by gossip.
    pub fn leave(&mut self, now: Time) -> Vec<Effect> {
        if !self.leaving {
            self.leaving = true;
            self.load.draining = true;
            self.bump_revision(self.revision);
            let is_recent = |entry: &&PeerEntry| {
                let heard_recently = entry
                    .last_heard
                    .is_some_and(|at| now.since(at) < DIRECT_NOTIFY_WINDOW);
                heard_recently && !entry.is_dead()
            };
            let recipients = self
                .peers
                .values()
                .filter(is_recent)
                .take(MAX_DIRECT_NOTIFICATIONS);
            let recipients: Vec<SocketAddr> =
                recipients.map(|entry| entry.peer.instance.addr).collect();
            for to in recipients {
                let updates = vec![self.my_update()];
                self.send(to, MemberMessage::Gossip { updates });
            }
        }
        std::mem::take(&mut self.effects)
    }

    /// Announces by gossip whether this node's backend server accepts new work. Gossip reaches a
    /// large fleet in a few rounds, while a load report reaches another node only with the next
    /// probe between the two. Returns whether the value changed.
    pub fn set_accepting_work(&mut self, accepts_work: bool) -> bool {
        let changed = self.accepts_work != accepts_work;
        if changed {
            self.accepts_work = accepts_work;
            self.bump_revision(self.revision);
        }
        changed
    }

    /// Keeps these addresses as contacts and pings some of them, in random order. Nodes that answer
    /// pass on what they know of other nodes.
    pub fn add_contacts(&mut self, addrs: &[SocketAddr]) -> Vec<Effect> {
        let others = addrs.iter().filter(|addr| **addr != self.me.addr);
        let mut others: Vec<SocketAddr> = others.copied().collect();
        others.shuffle(&mut self.rng);
        self.contacts.extend(&others);
        self.contacts.sort_unstable();
        self.contacts.dedup();
        self.contacts.truncate(MAX_CONTACTS);
        for addr in others.into_iter().take(MAX_CONTACT_PINGS) {
            self.ping(addr);
        }
        std::mem::take(&mut self.effects)
    }

    pub(crate) fn set_peer_accepts_work(&mut self, incarnation: Incarnation, accepts_work: bool) {
        if let Some(entry) = self.peers.get_mut(&incarnation) {
            entry.peer.accepts_work = accepts_work;
        }
    }

    /// Returns a peer by its incarnation.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Peer> {
        self.peers.get(&incarnation).map(|entry| &entry.peer)
    }

    /// Number of machines in the fleet, including this one, as far as this node knows. Dead ones
    /// count: otherwise each side of a partition would consider itself the whole fleet.
    pub fn fleet_size(&self) -> usize {
        self.incarnation_by_addr.len() + 1
    }

    /// Number of nodes that may be operating, including this one. Unlike [`Membership::fleet_size`]
    /// it excludes nodes that have ended after announcing that they were leaving, and includes
    /// contact addresses at which no node was heard of yet: a node that starts in a small part of a
    /// partitioned fleet must not consider that part the whole fleet.
    pub fn voter_count(&self, now: Time) -> usize {
        let peers = self.incarnation_by_addr.iter().filter(|(addr, occupant)| {
            let entry = self.peers.get(*occupant);
            **addr != self.me.addr && entry.is_none_or(|entry| !entry.has_left())
        });
        let started = self.started_at.unwrap_or(now);
        let counts_unseen = now.since(started) < UNSEEN_CONTACT_WINDOW;
        let unseen = self.contacts.iter().filter(|addr| {
            counts_unseen && **addr != self.me.addr && !self.incarnation_by_addr.contains_key(*addr)
        });
        1 + peers.count() + unseen.count()
    }

    /// All remembered peers, including dead ones.
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

    /// Returns the peer last known to be at an address.
    pub fn peer_at(&self, addr: SocketAddr) -> Option<&Peer> {
        self.get(*self.incarnation_by_addr.get(&addr)?)
    }

    pub(crate) fn my_state(&self) -> PeerState {
        if self.leaving {
            PeerState::Leaving
        } else {
            PeerState::Alive
        }
    }

    pub(crate) fn my_update(&self) -> PeerUpdate {
        PeerUpdate {
            instance: self.me.clone(),
            state: self.my_state(),
            revision: self.revision,
            accepts_work: self.accepts_work,
        }
    }

    /// The updates to send in one datagram, with `first` at the front.
    pub(crate) fn take_updates(&mut self, first: Option<PeerUpdate>) -> Vec<PeerUpdate> {
        let mine = self.my_update();
        self.update_queue.take(first, |peer| {
            if peer == mine.instance.incarnation {
                return Some(mine.clone());
            }
            self.peers.get(&peer).map(PeerEntry::to_update)
        })
    }

    pub(crate) fn enqueue_update(&mut self, peer: Incarnation) {
        let size = self.peers.len() as u32 + 2;
        let times = self.cfg.retransmit_mult * (size.ilog2() + 1);
        self.update_queue.push(peer, times);
    }

    fn tick_gossip(&mut self, now: Time) {
        if now < self.next_gossip_at || self.update_queue.is_empty() {
            return;
        }
        self.next_gossip_at = now + self.cfg.gossip_interval;
        for to in self.pick_live_peers(self.cfg.gossip_fanout, None) {
            let updates = self.take_updates(None);
            if !updates.is_empty() {
                self.send(to, MemberMessage::Gossip { updates });
            }
        }
    }

    pub(crate) fn has_tombstone(&self, incarnation: Incarnation) -> bool {
        self.tombstones
            .get(&incarnation)
            .is_some_and(|is_active| *is_active)
    }
}
