//! Fetches rules and views from peers: while the store does not answer, and on nodes that leave
//! reading the store to others.

use crate::Counter;
use crate::Diagnostic;
use crate::Engine;
use crate::Output;
use bytes::Bytes;
use journal::Change;
use membership::StoreRole;
use proto::Datagram;
use proto::MemberMessage;
use proto::PeerState;
use proto::SyncProgress;
use proto::PROTOCOL_VERSION;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

/// How long a node that reads the store waits for new content from the store before it asks a peer.
const STORE_GRACE: Duration = Duration::from_millis(500);

/// How long a node that does not read the store waits for a peer of its own failure domain to
/// announce new content before it asks a peer of another domain. Traffic between domains is billed.
const OWN_DOMAIN_DELAY: Duration = Duration::from_millis(100);

/// The time after which an unanswered fetch is repeated.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// After more fetches in a row than this without success a node reads the store.
const MAX_FAILED_FETCHES: u32 = 2;

/// After this many fetches in a row a node stops fetching newer content until a peer announces it
/// again, because this node may be unable to use it.
const MAX_CONSECUTIVE_FETCHES: u32 = 5;

/// The longest wait between two fetches while this node has no rules.
const MAX_STARTUP_INTERVAL: Duration = Duration::from_secs(1);

/// How many random peers a node notifies of new rules and views.
const PROGRESS_FANOUT: usize = 3;

/// When to fetch missing rules and views, and from which peer.
#[derive(Debug, Default)]
pub(crate) struct FetchSchedule {
    /// When the next fetch is due.
    pub(crate) due: Option<Time>,
    /// The peer with the newest known progress beyond this node's, and that progress.
    newest_peer: Option<(SocketAddr, SyncProgress)>,
    /// The number of fetches in a row.
    consecutive_fetches: u32,
    /// No fetch starts before this time, so that peers which announce the same content at once are
    /// not all asked.
    not_before: Time,
}

impl Engine {
    /// This node's encoded state for a peer with this progress, or `None` if this node knows
    /// nothing newer.
    pub fn state_newer_than(&self, theirs: SyncProgress) -> Option<Bytes> {
        let has_more = self.log.synced && self.journal.progress().is_ahead_of(theirs);
        has_more.then(|| Bytes::from(proto::encode(&self.journal)))
    }

    /// How this node gets new content from the store.
    pub fn store_role(&self, now: Time) -> StoreRole {
        match self.cfg.shared_store_reads && self.has_rules() {
            true => self.members.store_role(now),
            false => StoreRole::Reader,
        }
    }

    /// Whether this node reads the store itself. Otherwise it gets new content from its peers.
    pub fn reads_store(&self, now: Time) -> bool {
        self.store_role(now) != StoreRole::Follower
    }

    /// Schedules a fetch if a peer reports progress beyond this node's.
    pub(crate) fn on_peer_progress(&mut self, now: Time, from: SocketAddr, theirs: SyncProgress) {
        if !self.log.synced {
            self.record_announced_version(theirs.rules_version);
        }
        if !theirs.is_ahead_of(self.journal.progress()) {
            return;
        }
        let is_near = self.is_in_own_domain(from);
        let is_better = |(other, known): (SocketAddr, SyncProgress)| {
            theirs.is_ahead_of(known)
                || (is_near && theirs == known && !self.is_in_own_domain(other))
        };
        if self.fetch.newest_peer.is_none_or(is_better) {
            self.fetch.newest_peer = Some((from, theirs));
        }
        let wait = match self.waits_for_store(now) {
            // A publication reaches some nodes a little earlier than others. Without this wait the
            // others would all fetch what they are about to read from the store.
            true => STORE_GRACE,
            false if is_near || !self.has_rules() => Duration::ZERO,
            false => OWN_DOMAIN_DELAY,
        };
        self.schedule_fetch(now, wait);
    }

    /// Whether this node expects to read new content from the store soon.
    fn waits_for_store(&self, now: Time) -> bool {
        let is_starting = self.cfg.shared_store_reads && !self.has_rules();
        !self.log.unreachable && !is_starting && self.reads_store(now)
    }

    fn is_in_own_domain(&self, addr: SocketAddr) -> bool {
        let peer = self.members.peer_at(addr);
        peer.is_some_and(|peer| peer.instance.failure_domain == self.own_instance.failure_domain)
    }

    /// Announces this node's progress to peers at once.
    ///
    /// Probes carry the progress as well, but reach only one peer a second, so old and new rules
    /// would be in force side by side for long. A node that reads the store notifies its whole
    /// failure domain, which leaves reading to it. Each node also notifies a few random peers
    /// anywhere. If the content is from the store, a monitor also notifies the readers of the other
    /// failure domains, whose own reads may have been lost.
    pub(crate) fn announce_progress(&mut self, now: Time, from_store: bool) {
        let role = match self.cfg.shared_store_reads {
            true => self.members.store_role(now),
            false => StoreRole::Follower,
        };
        let whole_domain =
            self.cfg.shared_store_reads && (from_store || role != StoreRole::Follower);
        let mut notified = match from_store && role == StoreRole::Monitor {
            true => self.members.readers_of_other_domains(),
            false => Vec::new(),
        };
        let others = self.members.peers();
        let others = others.filter(|peer| peer.state != PeerState::Dead);
        let mut rest = Vec::new();
        for peer in others.map(|peer| &peer.instance) {
            match whole_domain && peer.failure_domain == self.own_instance.failure_domain {
                true => notified.push(peer.addr),
                false => rest.push(peer.addr),
            }
        }
        rest.retain(|addr| *addr != self.own_instance.addr && !notified.contains(addr));
        for _ in 0..PROGRESS_FANOUT.min(rest.len()) {
            notified.push(rest.swap_remove(self.rng.random_range(0..rest.len())));
        }
        for to in notified {
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

    /// Notes that the store does not answer. A node that has not read it yet fetches from peers.
    pub(crate) fn on_log_unreachable(&mut self, now: Time) {
        self.log.unreachable = true;
        if !self.log.synced {
            self.schedule_fetch(now, Duration::ZERO);
        }
    }

    /// Schedules a fetch, unless an earlier one is scheduled.
    pub(crate) fn schedule_fetch(&mut self, now: Time, after: Duration) {
        let due = (now + after).max(self.fetch.not_before);
        self.fetch.due = Some(self.fetch.due.map_or(due, |other| other.min(due)));
    }

    /// Sends a fetch if one is due, and schedules the next one.
    pub(crate) fn fetch_if_due(&mut self, now: Time) {
        if self.fetch.due.is_none_or(|due| due > now) {
            return;
        }
        self.fetch.due = None;
        let known = self.journal.progress();
        let newest_peer = self.fetch.newest_peer;
        let newest_peer = newest_peer.filter(|(_, theirs)| theirs.is_ahead_of(known));
        if newest_peer.is_none() && self.log.synced {
            self.fetch = FetchSchedule::default();
            return;
        }
        let gives_up = self.fetch.consecutive_fetches >= MAX_CONSECUTIVE_FETCHES && self.log.synced;
        if gives_up {
            self.fetch = FetchSchedule::default();
            return;
        }
        self.fetch.not_before = now + FETCH_RETRY_INTERVAL;
        // The announcing peer may be gone or unreachable by now, so every other fetch asks a random
        // one.
        let announcer = newest_peer.filter(|_| self.fetch.consecutive_fetches % 2 == 0);
        let from = announcer
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
            // The log or the next probe delivers what may still be missing.
            self.fetch = FetchSchedule::default();
        }
    }

    /// The address of a random node: a listed instance, a peer that is alive, or a configured
    /// contact.
    fn random_peer_addr(&mut self) -> Option<SocketAddr> {
        let listed = self.journal.instances().map(|instance| instance.addr);
        let alive = self.members.peers();
        let alive = alive.filter(|peer| peer.state == PeerState::Alive);
        let known = listed.chain(alive.map(|peer| peer.instance.addr));
        let mut addrs: Vec<SocketAddr> = known.chain(self.cfg.contacts.iter().copied()).collect();
        addrs.retain(|addr| *addr != self.own_instance.addr);
        if addrs.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..addrs.len());
        Some(addrs[index])
    }

    /// Adopts a peer's state, which [`Engine::state_newer_than`] returned there.
    pub(crate) fn on_peer_state(&mut self, now: Time, from: SocketAddr, state: &[u8]) {
        let change = match proto::decode(state) {
            Ok(state) => self.journal.adopt_with_parser(state, self.cfg.parse_rules),
            Err(_) => Change::Invalid,
        };
        match change {
            Change::Restored => {
                let was_synced = self.log.synced;
                self.log.synced |= self.cfg.shared_store_reads;
                self.outputs
                    .push(Output::Diagnostic(Diagnostic::StateAdopted {
                        from,
                        rules: self.journal.rules_version,
                        next_offset: self.journal.next_offset,
                        was_synced,
                    }));
                self.on_state_restored(now);
                match self.log.synced {
                    true => self.on_caught_up_from_peers(now),
                    false => self.begin_catch_up(now, from),
                }
            }
            Change::Invalid => self.count(Counter::MalformedRecord),
            _ => {}
        }
    }

    /// Passes on the state that this node has from its peers, now that it is in force.
    pub(crate) fn on_caught_up_from_peers(&mut self, now: Time) {
        self.announce_progress(now, false);
        // A node that does not read the store has nothing more to read.
        if !self.cfg.shared_store_reads {
            self.outputs.push(Output::ReadLog);
        }
    }
}
