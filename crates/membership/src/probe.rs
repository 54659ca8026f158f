//! One probe a period: a ping, then pings through others, then suspicion.

use crate::members::Membership;
use crate::table::Entry;
use proto::Incarnation;
use proto::LoadReport;
use proto::MemberMessage;
use proto::PeerState;
use proto::PeerUpdate;
use rand::seq::SliceRandom;
use rand::RngExt;
use std::collections::VecDeque;
use std::net::SocketAddr;
use stdx::BoundedMap;
use stdx::Time;

/// Pings of which the ack is still of interest.
const MAX_ASKED: usize = 64;

/// Pings on behalf of others, of which the ack is passed on.
const MAX_RELAYED: usize = 256;

/// Addresses where another incarnation may have started.
const MAX_DOUBTS: usize = 64;

/// In one of so many periods a dead peer and a contact are pinged as well.
const RECONNECT_EVERY: u64 = 8;

/// A probe whose ack is awaited.
#[derive(Debug)]
struct Probe {
    target: Incarnation,
    addr: SocketAddr,
    seq: u64,
    /// When others are asked, if they have not been yet.
    indirect_at: Option<Time>,
}

/// The probes of a node, and whom it asks next.
#[derive(Debug)]
pub(crate) struct Probes {
    next_at: Time,
    periods: u64,
    seq: u64,
    current: Option<Probe>,
    /// The rest of the present rounds, shuffled.
    near: Vec<Incarnation>,
    far: Vec<Incarnation>,
    /// Where each ping went that may tell who is at an address now.
    asked: BoundedMap<u64, SocketAddr>,
    /// Who asked for a ping, and under which number.
    relayed: BoundedMap<u64, (SocketAddr, u64)>,
    /// Addresses at which a rumour tells of another incarnation than the table does.
    doubts: VecDeque<SocketAddr>,
}

impl Probes {
    pub(crate) fn new() -> Self {
        Self {
            next_at: Time::ZERO,
            periods: 0,
            seq: 0,
            current: None,
            near: Vec::new(),
            far: Vec::new(),
            asked: BoundedMap::new(MAX_ASKED),
            relayed: BoundedMap::new(MAX_RELAYED),
            doubts: VecDeque::new(),
        }
    }

    pub(crate) fn next_timer(&self) -> Time {
        let indirect = self.current.as_ref().and_then(|probe| probe.indirect_at);
        indirect.map_or(self.next_at, |at| at.min(self.next_at))
    }

    /// Notes that it has to be found out who is at `addr`.
    pub(crate) fn doubt(&mut self, addr: SocketAddr) {
        if self.doubts.len() < MAX_DOUBTS && !self.doubts.contains(&addr) {
            self.doubts.push_back(addr);
        }
    }

    /// Gives up the probe under way without a verdict.
    pub(crate) fn abandon(&mut self) {
        self.current = None;
    }
}

impl Membership {
    pub(crate) fn tick_probes(&mut self, now: Time) {
        self.ask_others(now);
        if now < self.probes.next_at {
            return;
        }
        self.judge_probe(now);
        self.probes.periods += 1;
        // Nodes that started together would otherwise probe together for ever.
        let jitter = self.rng.random_range(0.9..1.1);
        let first = self.probes.periods == 1;
        let interval = self.cfg.probe_interval.mul_f64(jitter);
        self.probes.next_at = now
            + if first {
                interval.mul_f64(0.5)
            } else {
                interval
            };
        self.start_probe(now);
        self.ask_contacts();
        self.ask_dead();
        self.forget(now);
        self.check_evictions(now);
    }

    /// The ack is late: others may have a path that this node has not.
    fn ask_others(&mut self, now: Time) {
        let Some(probe) = &mut self.probes.current else {
            return;
        };
        if probe.indirect_at.is_none_or(|at| now < at) {
            return;
        }
        probe.indirect_at = None;
        let (seq, addr, target) = (probe.seq, probe.addr, probe.target);
        for helper in self.pick_helpers(self.cfg.indirect_probes, Some(target)) {
            self.send(helper, MemberMessage::PingReq { seq, target: addr });
        }
    }

    fn judge_probe(&mut self, now: Time) {
        let Some(probe) = self.probes.current.take() else {
            return;
        };
        let Some(entry) = self.peers.get(&probe.target) else {
            return;
        };
        match entry.peer.state {
            PeerState::Alive => {
                let beat = entry.beat;
                self.set_state(now, probe.target, PeerState::Suspect, beat);
            }
            PeerState::Suspect | PeerState::Leaving => self.start_suspicion(now, probe.target),
            PeerState::Dead => {}
        }
    }

    fn start_probe(&mut self, now: Time) {
        if let Some(addr) = self.probes.doubts.pop_front() {
            self.ping(addr);
        }
        let Some(target) = self.next_target() else {
            return;
        };
        let addr = self.peers[&target].peer.instance.addr;
        let seq = self.ping(addr);
        self.probes.current = Some(Probe {
            target,
            addr,
            seq,
            indirect_at: Some(now + self.cfg.ack_timeout),
        });
    }

    /// The next peer of the round: each is probed once before any is probed again, which bounds
    /// the time to find out about it.
    fn next_target(&mut self) -> Option<Incarnation> {
        let far = self.probes.periods % u64::from(self.cfg.cross_region_every.max(1)) == 0;
        self.next_of_round(far).or_else(|| self.next_of_round(!far))
    }

    fn next_of_round(&mut self, far: bool) -> Option<Incarnation> {
        for _ in 0..2 {
            loop {
                let round = if far {
                    &mut self.probes.far
                } else {
                    &mut self.probes.near
                };
                let Some(target) = round.pop() else { break };
                if self
                    .peers
                    .get(&target)
                    .is_some_and(|entry| !entry.is_dead())
                {
                    return Some(target);
                }
            }
            let live = self.peers.iter().filter(|(_, entry)| !entry.is_dead());
            let mut round: Vec<Incarnation> = live
                .filter(|(_, entry)| self.is_near(&entry.peer.instance) != far)
                .map(|(incarnation, _)| *incarnation)
                .collect();
            round.shuffle(&mut self.rng);
            *(if far {
                &mut self.probes.far
            } else {
                &mut self.probes.near
            }) = round;
        }
        None
    }

    /// While nobody is known the contacts are asked, one a period; later now and then, so that
    /// groups that started apart find each other.
    fn ask_contacts(&mut self) {
        let alone = self.probes.current.is_none();
        let len = self.contacts.len() as u64;
        if len == 0 || !(alone || self.probes.periods % RECONNECT_EVERY == 0) {
            return;
        }
        let turn = if alone {
            self.probes.periods
        } else {
            self.probes.periods / RECONNECT_EVERY
        };
        let contact = self.contacts[(turn % len) as usize];
        if contact != self.me.addr {
            self.ping(contact);
        }
    }

    /// A verdict may be wrong, and after a long cut nobody probes the dead any more: without this
    /// the two sides would hold each other for dead for ever.
    fn ask_dead(&mut self) {
        let offset = RECONNECT_EVERY / 2;
        if self.probes.periods % RECONNECT_EVERY != offset {
            return;
        }
        if let Some(addr) = self.pick(|entry| entry.is_dead() && !entry.gone) {
            self.ping(addr);
        }
    }

    /// Pings whoever is at `addr`.
    pub(crate) fn ping(&mut self, addr: SocketAddr) -> u64 {
        self.probes.seq += 1;
        let seq = self.probes.seq;
        self.probes.asked.insert(seq, addr);
        let about = self.view_of(addr);
        let message = MemberMessage::Ping {
            from: self.my_rumour(),
            seq,
            digest: self.digest(),
            load: self.load,
            updates: self.take_rumours(about),
        };
        self.send(addr, message);
        seq
    }

    pub(crate) fn on_ping(&mut self, from: SocketAddr, sender: &PeerUpdate, seq: u64) {
        let about = self.peers.get(&sender.instance.incarnation);
        let about = about.map(Entry::rumour).filter(needs_refuting);
        let message = MemberMessage::Ack {
            from: self.my_rumour(),
            seq,
            digest: self.digest(),
            load: self.load,
            updates: self.take_rumours(about),
        };
        self.send(from, message);
    }

    pub(crate) fn on_ping_req(&mut self, from: SocketAddr, seq: u64, target: SocketAddr) {
        let relayed = self.ping(target);
        self.probes.relayed.insert(relayed, (from, seq));
    }

    /// Takes an ack to a ping of this node, and passes it on if it was asked for by another.
    pub(crate) fn on_ack(
        &mut self,
        now: Time,
        sender: &PeerUpdate,
        seq: u64,
        digest: u64,
        load: LoadReport,
    ) {
        let Some(addr) = self.probes.asked.get(&seq).copied() else {
            return;
        };
        if let Some((to, seq)) = self.probes.relayed.get(&seq).copied() {
            let ack = MemberMessage::Ack {
                from: sender.clone(),
                seq,
                digest,
                load,
                updates: Vec::new(),
            };
            self.send(to, ack);
        }
        if addr == sender.instance.addr {
            self.settle_address(now, sender);
        }
        if self
            .probes
            .current
            .as_ref()
            .is_some_and(|probe| probe.seq == seq)
        {
            self.probes.current = None;
        }
        self.on_check_ack(now, seq);
    }

    /// What this node says to a peer about itself, so that it can refute.
    fn view_of(&self, addr: SocketAddr) -> Option<PeerUpdate> {
        let occupant = self.occupants.get(&addr)?;
        let entry = self.peers.get(occupant)?;
        Some(entry.rumour()).filter(needs_refuting)
    }
}

fn needs_refuting(rumour: &PeerUpdate) -> bool {
    matches!(rumour.state, PeerState::Suspect | PeerState::Dead)
}
