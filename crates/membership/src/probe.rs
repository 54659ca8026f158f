//! Failure detection: one probe per period, consisting of a ping, then indirect pings, then
//! suspicion.

use crate::members::Membership;
use crate::peer::PeerEntry;
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

/// Maximum number of pings whose acks are still processed.
const MAX_RECENT_PINGS: usize = 64;

/// Maximum number of pings sent on behalf of others, whose acks are forwarded.
const MAX_RELAYED_PINGS: usize = 256;

/// Maximum number of addresses waiting to be checked for a new incarnation.
const MAX_ADDR_CHECKS: usize = 64;

/// Once in this many periods a contact, and once a dead peer, is pinged in addition to the probe.
const RECONNECT_EVERY: u64 = 8;

/// With one suspect in this many peers, and with this many at least, a cause that machines share is
/// likely, such as the loss of a region. Packet loss makes fewer peers suspects at a time, and more
/// probes would then only make more of them.
const MASS_FAILURE_DIVISOR: usize = 12;
const MIN_MASS_FAILURE_SUSPECTS: usize = 3;

/// How many periods a node probes more often after there were that many suspects.
const MASS_FAILURE_PERIODS: u64 = 10;

/// Number of peers that are probed in each of these periods.
const MASS_FAILURE_PROBES: usize = 2;

/// One in this many of these periods probes another region.
const MASS_FAILURE_CROSS_REGION_EVERY: u64 = 2;

/// A probe that waits for its ack.
#[derive(Debug)]
struct Probe {
    target: Incarnation,
    addr: SocketAddr,
    seq: u64,
    /// When to ask other nodes to probe the target; `None` once they have been asked.
    indirect_at: Option<Time>,
}

/// The probes of a node, and the peers to probe next.
#[derive(Debug)]
pub(crate) struct Probes {
    next_probe_at: Time,
    periods: u64,
    seq: u64,
    /// The probes of this period.
    current: Vec<Probe>,
    /// Before this period, peers are probed more often.
    mass_failure_until: u64,
    /// The remaining targets of the current rounds, in random order.
    same_region: Vec<Incarnation>,
    other_regions: Vec<Incarnation>,
    /// The address that each recent ping was sent to. An ack from there tells who is at that
    /// address now.
    recent_pings: BoundedMap<u64, SocketAddr>,
    /// The requester of each relayed ping, and the sequence number it used.
    relayed_pings: BoundedMap<u64, (SocketAddr, u64)>,
    /// Addresses for which an update names another incarnation than the table does.
    addr_checks: VecDeque<SocketAddr>,
}

impl Probes {
    pub(crate) fn new() -> Self {
        Self {
            next_probe_at: Time::ZERO,
            periods: 0,
            seq: 0,
            current: Vec::new(),
            mass_failure_until: 0,
            same_region: Vec::new(),
            other_regions: Vec::new(),
            recent_pings: BoundedMap::new(MAX_RECENT_PINGS),
            relayed_pings: BoundedMap::new(MAX_RELAYED_PINGS),
            addr_checks: VecDeque::new(),
        }
    }

    pub(crate) fn next_timer(&self) -> Time {
        let indirect = self.current.iter().filter_map(|probe| probe.indirect_at);
        let indirect = indirect.min();
        indirect.map_or(self.next_probe_at, |at| at.min(self.next_probe_at))
    }

    /// Queues a ping to find out which incarnation is at `addr`.
    pub(crate) fn queue_addr_check(&mut self, addr: SocketAddr) {
        if self.addr_checks.len() < MAX_ADDR_CHECKS && !self.addr_checks.contains(&addr) {
            self.addr_checks.push_back(addr);
        }
    }

    /// Cancels the current probes without changing the state of their targets.
    pub(crate) fn cancel_current(&mut self) {
        self.current.clear();
    }

    fn is_mass_failure(&self) -> bool {
        self.periods < self.mass_failure_until
    }
}

impl Membership {
    pub(crate) fn tick_probes(&mut self, now: Time) {
        self.send_indirect_probes(now);
        if now < self.probes.next_probe_at {
            return;
        }
        self.conclude_probes(now);
        self.probes.periods += 1;
        let share = self.peers.len() / MASS_FAILURE_DIVISOR;
        if self.suspects.len() >= share.max(MIN_MASS_FAILURE_SUSPECTS) {
            self.probes.mass_failure_until = self.probes.periods + MASS_FAILURE_PERIODS;
        }
        // Without jitter, nodes that started together would keep probing at the same time.
        let jitter = self.rng.random_range(0.9..1.1);
        let first = self.probes.periods == 1;
        let interval = self.cfg.probe_interval.mul_f64(jitter);
        self.probes.next_probe_at = now
            + if first {
                interval.mul_f64(0.5)
            } else {
                interval
            };
        if let Some(addr) = self.probes.addr_checks.pop_front() {
            self.ping(addr);
        }
        self.start_probe(now);
        if self.probes.is_mass_failure() {
            (1..MASS_FAILURE_PROBES).for_each(|_| self.start_probe(now));
        }
        self.ping_contact();
        self.ping_dead_peer();
        self.forget_dead_peers(now);
        self.start_eviction_check(now);
    }

    /// Asks other nodes to probe the target once its ack is late: they may have a working path to
    /// it.
    fn send_indirect_probes(&mut self, now: Time) {
        let mut late = Vec::new();
        for probe in &mut self.probes.current {
            if probe.indirect_at.is_some_and(|at| at <= now) {
                probe.indirect_at = None;
                late.push((probe.seq, probe.addr, probe.target));
            }
        }
        for (seq, addr, target) in late {
            for relay in self.pick_live_peers(self.cfg.indirect_probes, Some(target)) {
                self.send(relay, MemberMessage::PingReq { seq, target: addr });
            }
        }
    }

    /// Ends the current probes. Their targets become suspects if no ack has arrived.
    fn conclude_probes(&mut self, now: Time) {
        for probe in std::mem::take(&mut self.probes.current) {
            self.conclude_probe(now, &probe);
        }
    }

    fn conclude_probe(&mut self, now: Time, probe: &Probe) {
        let Some(entry) = self.peers.get(&probe.target) else {
            return;
        };
        match entry.peer.state {
            PeerState::Alive => {
                let revision = entry.revision;
                self.set_state_and_gossip(now, probe.target, PeerState::Suspect, revision);
            }
            PeerState::Suspect | PeerState::Leaving => self.start_suspicion(now, probe.target),
            PeerState::Dead => {}
        }
    }

    fn start_probe(&mut self, now: Time) {
        let Some(target) = self.next_target() else {
            return;
        };
        if self
            .probes
            .current
            .iter()
            .any(|probe| probe.target == target)
        {
            return;
        }
        let addr = self.peers[&target].peer.instance.addr;
        let seq = self.ping(addr);
        self.probes.current.push(Probe {
            target,
            addr,
            seq,
            indirect_at: Some(now + self.cfg.ack_timeout),
        });
    }

    /// The next target of the round. Each peer is probed once before any is probed again, which
    /// bounds the detection time.
    fn next_target(&mut self) -> Option<Incarnation> {
        let every = match self.probes.is_mass_failure() {
            true => MASS_FAILURE_CROSS_REGION_EVERY,
            false => self.cfg.cross_region_every.max(1).into(),
        };
        let cross_region = self.probes.periods % every == 0;
        self.next_of_round(cross_region)
            .or_else(|| self.next_of_round(!cross_region))
    }

    fn next_of_round(&mut self, cross_region: bool) -> Option<Incarnation> {
        for _ in 0..2 {
            loop {
                let round = if cross_region {
                    &mut self.probes.other_regions
                } else {
                    &mut self.probes.same_region
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
                .filter(|(_, entry)| self.is_same_region(&entry.peer.instance) != cross_region)
                .map(|(incarnation, _)| *incarnation)
                .collect();
            round.shuffle(&mut self.rng);
            *(if cross_region {
                &mut self.probes.other_regions
            } else {
                &mut self.probes.same_region
            }) = round;
        }
        None
    }

    /// Pings a contact: in every period while there is no peer to probe, and occasionally later, so
    /// that groups that started separately discover each other.
    fn ping_contact(&mut self) {
        let has_no_target = self.probes.current.is_empty();
        let len = self.contacts.len() as u64;
        if len == 0 || !(has_no_target || self.probes.periods % RECONNECT_EVERY == 0) {
            return;
        }
        let index = if has_no_target {
            self.probes.periods
        } else {
            self.probes.periods / RECONNECT_EVERY
        };
        let contact = self.contacts[(index % len) as usize];
        if contact != self.me.addr {
            self.ping(contact);
        }
    }

    /// Pings a dead peer occasionally. A peer may have been declared dead wrongly, and after a long
    /// partition no node probes the dead any more: without this ping the two sides would consider
    /// each other dead forever.
    fn ping_dead_peer(&mut self) {
        let offset = RECONNECT_EVERY / 2;
        if self.probes.periods % RECONNECT_EVERY != offset {
            return;
        }
        if let Some(addr) = self.pick_peer(|entry| entry.is_dead() && !entry.retired) {
            self.ping(addr);
        }
    }

    /// Pings whichever node is at `addr`.
    pub(crate) fn ping(&mut self, addr: SocketAddr) -> u64 {
        self.probes.seq += 1;
        let seq = self.probes.seq;
        self.probes.recent_pings.insert(seq, addr);
        let update = self.update_to_refute(addr);
        let message = MemberMessage::Ping {
            from: self.my_update(),
            seq,
            digest: self.digest(),
            load: self.load,
            updates: self.take_updates(update),
        };
        self.send(addr, message);
        seq
    }

    pub(crate) fn on_ping(&mut self, from: SocketAddr, sender: &PeerUpdate, seq: u64) {
        let entry = self.peers.get(&sender.instance.incarnation);
        let update = entry.map(PeerEntry::to_update).filter(needs_refuting);
        let message = MemberMessage::Ack {
            from: self.my_update(),
            seq,
            digest: self.digest(),
            load: self.load,
            updates: self.take_updates(update),
        };
        self.send(from, message);
    }

    pub(crate) fn on_ping_req(&mut self, from: SocketAddr, seq: u64, target: SocketAddr) {
        let relayed = self.ping(target);
        self.probes.relayed_pings.insert(relayed, (from, seq));
    }

    /// Handles an ack to a ping from this node, and forwards it if another node requested the ping.
    pub(crate) fn on_ack(
        &mut self,
        now: Time,
        sender: &PeerUpdate,
        seq: u64,
        digest: u64,
        load: LoadReport,
    ) {
        let Some(addr) = self.probes.recent_pings.get(&seq).copied() else {
            return;
        };
        if let Some((to, seq)) = self.probes.relayed_pings.get(&seq).copied() {
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
            self.resolve_addr(now, sender);
        }
        self.probes.current.retain(|probe| probe.seq != seq);
        self.on_check_ack(now, seq);
    }

    /// What this node tells a peer about that peer's own state, if the peer should refute it.
    fn update_to_refute(&self, addr: SocketAddr) -> Option<PeerUpdate> {
        let occupant = self.incarnation_by_addr.get(&addr)?;
        let entry = self.peers.get(occupant)?;
        Some(entry.to_update()).filter(needs_refuting)
    }
}

fn needs_refuting(update: &PeerUpdate) -> bool {
    matches!(update.state, PeerState::Suspect | PeerState::Dead)
}
