//! Rules and views from peers: while the store does not answer, and for the nodes that leave reading it to
//! others.

use crate::Counter;
use crate::Engine;
use crate::Output;
use bytes::Bytes;
use journal::Change;
use proto::Datagram;
use proto::MemberMessage;
use proto::PeerState;
use proto::Progress;
use proto::PROTOCOL_VERSION;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

/// How long a node that reads the store waits for the store itself before it asks a peer.
const GRACE: Duration = Duration::from_millis(500);

/// How long one that does not read it waits for word from its own failure domain before it asks a peer
/// farther away. Bytes between domains are billed.
const NEAR_FIRST: Duration = Duration::from_millis(100);

/// The time after which a peer is asked again that has not told what it has.
const ASK_AGAIN: Duration = Duration::from_millis(400);

/// A node that has asked so often in vain reads the store.
const ASKED_IN_VAIN: u32 = 2;

/// After so many fetches in a row a peer that says that it has more is left alone until it, or another,
/// says so again: this node may not be able to use it.
const MAX_ASKED: u32 = 5;

/// The longest wait between two fetches while there are no rules at all.
const INTERVAL: Duration = Duration::from_secs(1);

/// How many others a node tells that new rules are in force.
const FANOUT: usize = 3;

/// What is missing and who has it.
#[derive(Debug, Default)]
pub(crate) struct FetchLink {
    pub(crate) due: Option<Time>,
    /// A peer that knows more than this node, and how far it is.
    ahead: Option<(SocketAddr, Progress)>,
    /// Fetches in a row that were asked for.
    asked: u32,
    /// Peers that tell at the same time are not all asked.
    not_before: Time,
}

impl Engine {
    /// This node's state for a peer that knows so much; nothing if this node knows no more itself.
    pub fn state_newer_than(&self, theirs: Progress) -> Option<Bytes> {
        let has_more = self.log.ready && self.journal.progress().has_more_than(theirs);
        has_more.then(|| Bytes::from(proto::encode(&self.journal)))
    }

    /// Whether this node reads the store, or leaves that to others and hears of what is new from them.
    pub fn reads_store(&self, now: Time) -> bool {
        !self.cfg.shared_store_reads || !self.has_rules() || self.members.watches_store(now)
    }

    /// A peer says how much it knows.
    pub(crate) fn on_peer_progress(&mut self, now: Time, from: SocketAddr, theirs: Progress) {
        if !theirs.has_more_than(self.journal.progress()) {
            return;
        }
        let near = self.is_in_own_domain(from);
        let better = |(other, known): (SocketAddr, Progress)| {
            theirs.has_more_than(known)
                || (near && theirs == known && !self.is_in_own_domain(other))
        };
        if self.fetch.ahead.is_none_or(better) {
            self.fetch.ahead = Some((from, theirs));
        }
        let wait = match self.waits_for_store(now) {
            // Each publication reaches some nodes a little earlier. Asking at once would have all the
            // others fetch what the store is about to give them.
            true => GRACE,
            false if near || !self.has_rules() => Duration::ZERO,
            false => NEAR_FIRST,
        };
        self.schedule_fetch(now, wait);
    }

    fn waits_for_store(&self, now: Time) -> bool {
        let starts = self.cfg.shared_store_reads && !self.has_rules();
        !self.log.down && !starts && self.reads_store(now)
    }

    fn is_in_own_domain(&self, addr: SocketAddr) -> bool {
        let peer = self.members.at(addr);
        peer.is_some_and(|peer| peer.instance.failure_domain == self.me.failure_domain)
    }

    /// Tells others at once how much this node knows. Probes tell as well, but only one peer a second, and
    /// old and new rules would stand side by side for long. One that has it from the store tells its
    /// whole failure domain, which leaves reading to it; all tell a few, wherever they are.
    pub(crate) fn spread_progress(&mut self, from_store: bool) {
        let whole_domain = from_store && self.cfg.shared_store_reads;
        let others = self.members.peers();
        let others = others.filter(|peer| peer.state != PeerState::Dead);
        let (mut told, mut rest) = (Vec::new(), Vec::new());
        for peer in others.map(|peer| &peer.instance) {
            match whole_domain && peer.failure_domain == self.me.failure_domain {
                true => told.push(peer.addr),
                false => rest.push(peer.addr),
            }
        }
        rest.retain(|addr| *addr != self.me.addr);
        for _ in 0..FANOUT.min(rest.len()) {
            told.push(rest.swap_remove(self.rng.random_range(0..rest.len())));
        }
        for to in told {
            let datagram = Datagram::Member {
                version: PROTOCOL_VERSION,
                progress: self.journal.progress(),
                message: MemberMessage::Gossip {
                    rumours: Vec::new(),
                },
            };
            self.out.push(Output::Datagram { to, datagram });
        }
    }

    pub(crate) fn on_log_unreachable(&mut self, now: Time) {
        self.log.down = true;
        if !self.log.ready {
            self.schedule_fetch(now, Duration::ZERO);
        }
    }

    pub(crate) fn schedule_fetch(&mut self, now: Time, after: Duration) {
        let due = (now + after).max(self.fetch.not_before);
        self.fetch.due = Some(self.fetch.due.map_or(due, |other| other.min(due)));
    }

    pub(crate) fn run_fetch(&mut self, now: Time) {
        if self.fetch.due.is_none_or(|due| due > now) {
            return;
        }
        self.fetch.due = None;
        let known = self.journal.progress();
        let ahead = self.fetch.ahead;
        let ahead = ahead.filter(|(_, theirs)| theirs.has_more_than(known));
        if ahead.is_none() && self.log.ready {
            self.fetch = FetchLink::default();
            return;
        }
        let in_vain = self.fetch.asked >= MAX_ASKED && self.log.ready;
        if in_vain {
            self.fetch = FetchLink::default();
            return;
        }
        self.fetch.not_before = now + ASK_AGAIN;
        // Who told first may be gone by now, or cut off from here.
        let first = ahead.filter(|_| self.fetch.asked % 2 == 0);
        let from = first
            .map(|(from, _)| from)
            .or_else(|| self.any_peer_address());
        if let Some(from) = from {
            self.fetch.asked += 1;
            self.count(Counter::StateFetch);
            self.out.push(Output::FetchState { from, known });
        }
        if !self.log.ready {
            let wait = INTERVAL.mul_f64(self.rng.random_range(0.5..1.0));
            self.schedule_fetch(now, wait);
        } else if self.cfg.shared_store_reads {
            self.schedule_fetch(now, ASK_AGAIN);
            if self.fetch.asked > ASKED_IN_VAIN {
                self.out.push(Output::ReadLog);
            }
        } else {
            // The log tells the rest, or the next probe does.
            self.fetch = FetchLink::default();
        }
    }

    /// A contact address or a node that the state names already.
    fn any_peer_address(&mut self) -> Option<SocketAddr> {
        let listed = self.journal.instances().map(|instance| instance.addr);
        let living = self.members.peers();
        let living = living.filter(|peer| peer.state == PeerState::Alive);
        let known = listed.chain(living.map(|peer| peer.instance.addr));
        let mut addrs: Vec<SocketAddr> = known.chain(self.cfg.contacts.iter().copied()).collect();
        addrs.retain(|addr| *addr != self.me.addr);
        if addrs.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..addrs.len());
        Some(addrs[index])
    }

    /// A peer's state, as [`Engine::state_newer_than`] gave it there.
    pub(crate) fn on_peer_state(&mut self, now: Time, state: &[u8]) {
        let change = match proto::decode(state) {
            Ok(state) => self.journal.adopt_with(state, self.cfg.parse_rules),
            Err(_) => Change::Broken,
        };
        match change {
            Change::Restored => {
                self.log.ready = true;
                self.on_restored(now);
                self.spread_progress(false);
                // A node that leaves reading to others has all that there is.
                if !self.cfg.shared_store_reads {
                    self.out.push(Output::ReadLog);
                }
            }
            Change::Broken => self.count(Counter::MalformedRecord),
            _ => {}
        }
    }
}
