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
use proto::SyncProgress;
use proto::PROTOCOL_VERSION;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

/// How long a node that reads the store waits for the store itself before it asks a peer.
const STORE_GRACE: Duration = Duration::from_millis(500);

/// How long one that does not read it waits for word from its own failure domain before it asks a peer
/// farther away. Bytes between domains are billed.
const OWN_DOMAIN_DELAY: Duration = Duration::from_millis(100);

/// The time after which a peer is asked again that has not told what it has.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// A node that has asked so often in vain reads the store.
const MAX_FAILED_FETCHES: u32 = 2;

/// After so many fetches in a row a peer that says that it has more is left alone until it, or another,
/// says so again: this node may not be able to use it.
const MAX_CONSECUTIVE_FETCHES: u32 = 5;

/// The longest wait between two fetches while there are no rules at all.
const MAX_STARTUP_INTERVAL: Duration = Duration::from_secs(1);

/// How many others a node tells that new rules are in force.
const PROGRESS_FANOUT: usize = 3;

/// What is missing and who has it.
#[derive(Debug, Default)]
pub(crate) struct FetchSchedule {
    pub(crate) due: Option<Time>,
    /// A peer that knows more than this node, and how far it is.
    newest_peer: Option<(SocketAddr, SyncProgress)>,
    /// Fetches in a row that were asked for.
    consecutive_fetches: u32,
    /// Peers that tell at the same time are not all asked.
    not_before: Time,
}

impl Engine {
    /// This node's state for a peer that knows so much; nothing if this node knows no more itself.
    pub fn state_newer_than(&self, theirs: SyncProgress) -> Option<Bytes> {
        let has_more = self.log.synced && self.journal.progress().is_ahead_of(theirs);
        has_more.then(|| Bytes::from(proto::encode(&self.journal)))
    }

    /// Whether this node reads the store, or leaves that to others and hears of what is new from them.
    pub fn reads_store(&self, now: Time) -> bool {
        !self.cfg.shared_store_reads || !self.has_rules() || self.members.is_store_reader(now)
    }

    /// A peer says how much it knows.
    pub(crate) fn on_peer_progress(&mut self, now: Time, from: SocketAddr, theirs: SyncProgress) {
        if !theirs.is_ahead_of(self.journal.progress()) {
            return;
        }
        let near = self.is_in_own_domain(from);
        let better = |(other, known): (SocketAddr, SyncProgress)| {
            theirs.is_ahead_of(known) || (near && theirs == known && !self.is_in_own_domain(other))
        };
        if self.fetch.newest_peer.is_none_or(better) {
            self.fetch.newest_peer = Some((from, theirs));
        }
        let wait = match self.waits_for_store(now) {
            // Each publication reaches some nodes a little earlier. Asking at once would have all the
            // others fetch what the store is about to give them.
            true => STORE_GRACE,
            false if near || !self.has_rules() => Duration::ZERO,
            false => OWN_DOMAIN_DELAY,
        };
        self.schedule_fetch(now, wait);
    }

    fn waits_for_store(&self, now: Time) -> bool {
        let starts = self.cfg.shared_store_reads && !self.has_rules();
        !self.log.unreachable && !starts && self.reads_store(now)
    }

    fn is_in_own_domain(&self, addr: SocketAddr) -> bool {
        let peer = self.members.peer_at(addr);
        peer.is_some_and(|peer| peer.instance.failure_domain == self.own_instance.failure_domain)
    }

    /// Tells others at once how much this node knows. Probes tell as well, but only one peer a second, and
    /// old and new rules would stand side by side for long. One that has it from the store tells its
    /// whole failure domain, which leaves reading to it; all tell a few, wherever they are.
    pub(crate) fn announce_progress(&mut self, from_store: bool) {
        let whole_domain = from_store && self.cfg.shared_store_reads;
        let others = self.members.peers();
        let others = others.filter(|peer| peer.state != PeerState::Dead);
        let (mut told, mut rest) = (Vec::new(), Vec::new());
        for peer in others.map(|peer| &peer.instance) {
            match whole_domain && peer.failure_domain == self.own_instance.failure_domain {
                true => told.push(peer.addr),
                false => rest.push(peer.addr),
            }
        }
        rest.retain(|addr| *addr != self.own_instance.addr);
        for _ in 0..PROGRESS_FANOUT.min(rest.len()) {
            told.push(rest.swap_remove(self.rng.random_range(0..rest.len())));
        }
        for to in told {
            let datagram = Datagram::Member {
                version: PROTOCOL_VERSION,
                progress: self.journal.progress(),
                message: MemberMessage::Gossip {
                    updates: Vec::new(),
                },
            };
            self.outputs.push(Output::Datagram { to, datagram });
        }
    }

    pub(crate) fn on_log_unreachable(&mut self, now: Time) {
        self.log.unreachable = true;
        if !self.log.synced {
            self.schedule_fetch(now, Duration::ZERO);
        }
    }

    pub(crate) fn schedule_fetch(&mut self, now: Time, after: Duration) {
        let due = (now + after).max(self.fetch.not_before);
        self.fetch.due = Some(self.fetch.due.map_or(due, |other| other.min(due)));
    }

    pub(crate) fn fetch_if_due(&mut self, now: Time) {
        if self.fetch.due.is_none_or(|due| due > now) {
            return;
        }
        self.fetch.due = None;
        let known = self.journal.progress();
        let ahead = self.fetch.newest_peer;
        let ahead = ahead.filter(|(_, theirs)| theirs.is_ahead_of(known));
        if ahead.is_none() && self.log.synced {
            self.fetch = FetchSchedule::default();
            return;
        }
        let in_vain = self.fetch.consecutive_fetches >= MAX_CONSECUTIVE_FETCHES && self.log.synced;
        if in_vain {
            self.fetch = FetchSchedule::default();
            return;
        }
        self.fetch.not_before = now + FETCH_RETRY_INTERVAL;
        // Who told first may be gone by now, or cut off from here.
        let first = ahead.filter(|_| self.fetch.consecutive_fetches % 2 == 0);
        let from = first
            .map(|(from, _)| from)
            .or_else(|| self.random_peer_addr());
        if let Some(from) = from {
            self.fetch.consecutive_fetches += 1;
            self.count(Counter::StateFetch);
            self.outputs.push(Output::FetchState { from, known });
        }
        if !self.log.synced {
            let wait = MAX_STARTUP_INTERVAL.mul_f64(self.rng.random_range(0.5..1.0));
            self.schedule_fetch(now, wait);
        } else if self.cfg.shared_store_reads {
            self.schedule_fetch(now, FETCH_RETRY_INTERVAL);
            if self.fetch.consecutive_fetches > MAX_FAILED_FETCHES {
                self.outputs.push(Output::ReadLog);
            }
        } else {
            // The log tells the rest, or the next probe does.
            self.fetch = FetchSchedule::default();
        }
    }

    /// A contact address or a node that the state names already.
    fn random_peer_addr(&mut self) -> Option<SocketAddr> {
        let listed = self.journal.instances().map(|instance| instance.addr);
        let living = self.members.peers();
        let living = living.filter(|peer| peer.state == PeerState::Alive);
        let known = listed.chain(living.map(|peer| peer.instance.addr));
        let mut addrs: Vec<SocketAddr> = known.chain(self.cfg.contacts.iter().copied()).collect();
        addrs.retain(|addr| *addr != self.own_instance.addr);
        if addrs.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..addrs.len());
        Some(addrs[index])
    }

    /// A peer's state, as [`Engine::state_newer_than`] gave it there.
    pub(crate) fn on_peer_state(&mut self, now: Time, state: &[u8]) {
        let change = match proto::decode(state) {
            Ok(state) => self.journal.adopt_with_parser(state, self.cfg.parse_rules),
            Err(_) => Change::Invalid,
        };
        match change {
            Change::Restored => {
                self.log.synced = true;
                self.on_state_restored(now);
                self.announce_progress(false);
                // A node that leaves reading to others has all that there is.
                if !self.cfg.shared_store_reads {
                    self.outputs.push(Output::ReadLog);
                }
            }
            Change::Invalid => self.count(Counter::MalformedRecord),
            _ => {}
        }
    }
}
