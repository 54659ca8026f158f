//! The table of peers: what is heard, from whom, and what it changes.

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
use proto::Rumour;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Bounded;
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
    Changed {
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
    beat: u32,
    rumours: RumourQueue,
    gossip_at: Time,
    /// When suspects count as dead.
    pub(crate) suspects: BTreeSet<(Time, Incarnation)>,
    /// `true` while it holds; the log may list one again.
    pub(crate) buried: Bounded<Incarnation, bool>,
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
            rumours: RumourQueue::default(),
            gossip_at: Time::ZERO,
            suspects: BTreeSet::new(),
            buried: Bounded::new(MAX_BURIED),
        }
    }

    /// Handles a message.
    pub fn on_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: MemberMessage,
    ) -> Vec<Effect> {
        match message {
            MemberMessage::Ping {
                from: sender,
                seq,
                digest,
                load,
                rumours,
            } => {
                self.hear_sender(now, &sender, load);
                self.hear_all(now, &rumours);
                self.on_ping(from, &sender, seq);
                self.compare(now, from, digest);
            }
            MemberMessage::Ack {
                from: sender,
                seq,
                digest,
                load,
                rumours,
            } => {
                self.on_ack(now, &sender, seq, digest, load);
                self.hear_sender(now, &sender, load);
                self.hear_all(now, &rumours);
                self.compare(now, sender.instance.addr, digest);
            }
            MemberMessage::PingReq { seq, target } => self.on_ping_req(from, seq, target),
            MemberMessage::Gossip { rumours } => self.hear_all(now, &rumours),
            MemberMessage::Pull { digests } => self.on_pull(from, &digests),
            MemberMessage::News { rumours } => self.on_news(now, &rumours),
        }
        std::mem::take(&mut self.effects)
    }

    /// Does what is due. Call when [`Membership::next_timer`] has come.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
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
                self.send(to, MemberMessage::Gossip { rumours });
            }
        }
        std::mem::take(&mut self.effects)
    }

    /// Says to all others whether the own backend server takes new work. It goes by gossip, which
    /// reaches a large fleet in a few rounds; a load report would reach most nodes only with the
    /// next probe between the two.
    /// Gives whether that is news.
    pub fn set_open(&mut self, open: bool) -> bool {
        let news = self.open != open;
        if news {
            self.open = open;
            self.raise_beat(self.beat);
        }
        news
    }

    /// Asks the nodes at these addresses who they are, and keeps the addresses as hints. Some may
    /// be gone; who answers tells of the rest.
    pub fn meet(&mut self, addrs: &[SocketAddr]) -> Vec<Effect> {
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

    fn set_open_of(&mut self, incarnation: Incarnation, open: bool) {
        if let Some(entry) = self.peers.get_mut(&incarnation) {
            entry.peer.open = open;
        }
    }

    /// What this node says of its own load from now on.
    pub fn set_load(&mut self, load: LoadReport) {
        self.load = load;
    }

    /// Takes a report that came with an answer.
    pub fn heard_load(&mut self, now: Time, from: Incarnation, load: LoadReport) {
        if let Some(entry) = self.peers.get_mut(&from) {
            entry.peer.load = load;
            entry.heard = Some(now);
        }
    }

    /// A peer by its incarnation.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Peer> {
        self.peers.get(&incarnation).map(|entry| &entry.peer)
    }

    /// Every peer that is remembered, the dead included.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().map(|entry| &entry.peer)
    }

    /// The peers that may be given new work for `service`.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Peer> {
        self.peers().filter(move |peer| {
            &*peer.instance.service == service
                && peer.state == PeerState::Alive
                && peer.open
                && !peer.load.draining
        })
    }

    pub(crate) fn send(&mut self, to: SocketAddr, message: MemberMessage) {
        self.effects.push(Effect::Send { to, message });
    }

    pub(crate) fn my_state(&self) -> PeerState {
        if self.leaving {
            PeerState::Leaving
        } else {
            PeerState::Alive
        }
    }

    pub(crate) fn my_rumour(&self) -> Rumour {
        Rumour {
            instance: self.me.clone(),
            state: self.my_state(),
            beat: self.beat,
            open: self.open,
        }
    }

    /// The rumours for one datagram.
    pub(crate) fn take_rumours(&mut self, first: Option<Rumour>) -> Vec<Rumour> {
        let mine = self.my_rumour();
        self.rumours.take(first, |about| {
            if about == mine.instance.incarnation {
                return Some(mine.clone());
            }
            self.peers.get(&about).map(Entry::rumour)
        })
    }

    pub(crate) fn hear_all(&mut self, now: Time, rumours: &[Rumour]) {
        for rumour in rumours {
            self.hear(now, rumour);
        }
    }

    /// Takes a message's sender: what it says of itself, and that it is there.
    fn hear_sender(&mut self, now: Time, sender: &Rumour, load: LoadReport) {
        self.hear(now, sender);
        if let Some(entry) = self.peers.get_mut(&sender.instance.incarnation) {
            entry.heard = Some(now);
            entry.peer.load = load;
        }
    }

    fn hear(&mut self, now: Time, rumour: &Rumour) {
        let instance = &rumour.instance;
        let incarnation = instance.incarnation;
        if incarnation == self.me.incarnation {
            return self.refute(rumour);
        }
        if self.is_buried(incarnation) && !self.peers.contains_key(&incarnation) {
            return;
        }
        if instance.addr == self.me.addr {
            return self.disown(now, rumour);
        }
        if rumour.state != PeerState::Dead && !self.may_be_at(incarnation, instance.addr) {
            return self.probes.doubt(instance.addr);
        }
        match self.peers.get(&incarnation) {
            None if rumour.state == PeerState::Dead => {}
            None => self.discover(now, rumour),
            Some(entry) if entry.is_news(rumour) => {
                let turned = entry.peer.open != rumour.open;
                self.set_open_of(incarnation, rumour.open);
                self.set_state(now, incarnation, rumour.state, rumour.beat);
                if turned {
                    let state = rumour.state;
                    self.effects.push(Effect::Changed { incarnation, state });
                }
            }
            Some(_) => {}
        }
    }

    /// Whether nobody else is known to be alive at the address. Rumours are late at times, so a
    /// rumour of another incarnation there does not tell which of the two came first; a ping does.
    fn may_be_at(&self, incarnation: Incarnation, addr: SocketAddr) -> bool {
        let Some(occupant) = self.occupants.get(&addr) else {
            return true;
        };
        *occupant == incarnation || self.peers.get(occupant).is_none_or(Entry::is_dead)
    }

    /// Only this node gives out its own beats, so a higher one overrides what others say of it.
    fn refute(&mut self, rumour: &Rumour) {
        let wrong = rumour.state != self.my_state();
        if rumour.beat > self.beat || (rumour.beat == self.beat && wrong) {
            self.raise_beat(rumour.beat);
        }
    }

    fn raise_beat(&mut self, above: u32) {
        self.beat = above.saturating_add(1);
        self.digests.invalidate();
        self.spread(self.me.incarnation);
    }

    fn discover(&mut self, now: Time, rumour: &Rumour) {
        if self.peers.len() >= self.cfg.max_peers {
            return self.effects.push(Effect::TableFull);
        }
        let incarnation = rumour.instance.incarnation;
        self.enter(now, rumour.clone());
        self.spread(incarnation);
    }

    pub(crate) fn enter(&mut self, now: Time, rumour: Rumour) {
        let incarnation = rumour.instance.incarnation;
        let state = rumour.state;
        self.occupants.insert(rumour.instance.addr, incarnation);
        self.peers.insert(incarnation, Entry::new(now, rumour));
        self.after_change(now, incarnation, state);
    }

    /// Takes a peer's new state, and passes it on.
    pub(crate) fn set_state(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        state: PeerState,
        beat: u32,
    ) {
        self.change(now, incarnation, state, beat);
        self.spread(incarnation);
    }

    pub(crate) fn change(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        state: PeerState,
        beat: u32,
    ) {
        let Some(entry) = self.peers.get_mut(&incarnation) else {
            return;
        };
        let changed = entry.peer.state != state;
        entry.peer.state = state;
        entry.beat = beat;
        if let Some(at) = entry.dead_at.take() {
            self.suspects.remove(&(at, incarnation));
        }
        if changed {
            entry.since = now;
            if state != PeerState::Dead {
                let addr = entry.peer.instance.addr;
                self.occupants.insert(addr, incarnation);
            }
            self.after_change(now, incarnation, state);
        }
    }

    fn after_change(&mut self, now: Time, incarnation: Incarnation, state: PeerState) {
        self.digests.invalidate();
        if state == PeerState::Suspect {
            self.start_suspicion(now, incarnation);
        }
        self.effects.push(Effect::Changed { incarnation, state });
    }

    pub(crate) fn spread(&mut self, about: Incarnation) {
        let size = self.peers.len() as u32 + 2;
        let times = self.cfg.retransmit * (size.ilog2() + 1);
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
                self.send(to, MemberMessage::Gossip { rumours });
            }
        }
    }

    pub(crate) fn is_buried(&self, incarnation: Incarnation) -> bool {
        self.buried.get(&incarnation).is_some_and(|buried| *buried)
    }
}
