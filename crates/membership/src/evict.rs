//! Evictions: if a peer on the log's roster stays dead, another node requests its removal from the
//! roster.
//!
//! A partitioned node considers the others dead, although it is the one that is cut off. If it
//! could reach the log it would evict everybody. A node therefore evicts only while peers it
//! considers alive answer a connectivity check, which shows that its table is up to date, and while
//! these are a majority of all nodes it knows.

use crate::members::Membership;
use crate::peer::PeerEntry;
use crate::Effect;
use proto::hash64;
use proto::Incarnation;
use proto::PeerState;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::Time;

/// Maximum number of live peers that are pinged before an eviction.
const MAX_CHECK_PINGS: usize = 8;

/// One in this many of the pinged peers may fail to answer.
const CHECK_FAILURE_DIVISOR: usize = 8;

/// Period over which the number of evictions is limited. It must be one minute, because the limit
/// is `Config::evictions_per_minute`.
const EVICTION_RATE_WINDOW: Duration = Duration::from_secs(60);

/// How long a requested eviction may take to show in the roster before it is requested again.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// The evictions that this node requests.
#[derive(Debug, Default)]
pub(crate) struct Evictions {
    /// When each eviction was requested. Those older than [`EVICTION_RATE_WINDOW`] are removed
    /// before the rest is counted.
    recent: VecDeque<Time>,
    check: Option<ConnectivityCheck>,
}

/// Pings to live peers, to detect whether this node is partitioned.
#[derive(Debug)]
struct ConnectivityCheck {
    deadline: Time,
    /// Sequence numbers of the pings that are not answered yet.
    unanswered: Vec<u64>,
    acked: usize,
}

impl Evictions {
    pub(crate) fn next_timer(&self) -> Option<Time> {
        self.check.as_ref().map(|check| check.deadline)
    }
}

impl Membership {
    /// Starts a connectivity check if an eviction is due.
    pub(crate) fn start_eviction_check(&mut self, now: Time) {
        let due = self.evictions.check.is_none() && !self.due_evictions(now).is_empty();
        if !due || !self.sees_live_majority() {
            return;
        }
        let is_alive = |entry: &PeerEntry| entry.peer.state == PeerState::Alive && !entry.retired;
        let mut addrs = Vec::new();
        for _ in 0..MAX_CHECK_PINGS {
            match self.pick_peer(is_alive) {
                Some(addr) if !addrs.contains(&addr) => addrs.push(addr),
                _ => {}
            }
        }
        let unanswered = addrs.into_iter().map(|addr| self.ping(addr)).collect();
        self.evictions.check = Some(ConnectivityCheck {
            deadline: now + self.cfg.ack_timeout * 2,
            unanswered,
            acked: 0,
        });
    }

    pub(crate) fn on_check_ack(&mut self, now: Time, seq: u64) {
        let Some(check) = &mut self.evictions.check else {
            return;
        };
        if now <= check.deadline && check.unanswered.contains(&seq) {
            check.unanswered.retain(|other| *other != seq);
            check.acked += 1;
        }
    }

    /// Evaluates a connectivity check whose deadline has passed, and requests the evictions that
    /// are due.
    pub(crate) fn finish_eviction_check(&mut self, now: Time) {
        if self.evictions.next_timer().is_none_or(|at| now < at) {
            return;
        }
        let Some(check) = self.evictions.check.take() else {
            return;
        };
        let pinged = check.acked + check.unanswered.len();
        let is_connected =
            check.acked > 0 && check.unanswered.len() <= pinged / CHECK_FAILURE_DIVISOR;
        if !is_connected || !self.sees_live_majority() {
            return;
        }
        let recent = &mut self.evictions.recent;
        recent.retain(|at| now.since(*at) < EVICTION_RATE_WINDOW);
        let remaining = self.cfg.evictions_per_minute.saturating_sub(recent.len());
        for incarnation in self.due_evictions(now).into_iter().take(remaining) {
            self.evictions.recent.push_back(now);
            if let Some(entry) = self.peers.get_mut(&incarnation) {
                entry.eviction_requested_at = Some(now);
            }
            self.effects.push(Effect::Evict(incarnation));
        }
    }

    /// Dead peers whose eviction this node should request now. Nodes take turns by
    /// [`Membership::rank`].
    fn due_evictions(&self, now: Time) -> Vec<Incarnation> {
        if !self.listed || self.leaving {
            return Vec::new();
        }
        let dead = self.peers.iter().filter(|(_, entry)| {
            let recently_requested = entry
                .eviction_requested_at
                .is_some_and(|at| now.since(at) < EVICTION_RETRY_INTERVAL);
            entry.is_dead()
                && entry.listed
                && !recently_requested
                && now.since(entry.state_since) >= self.cfg.evict_after
        });
        let due = dead.filter(|(incarnation, entry)| {
            let rank = self.rank(**incarnation, &entry.peer.instance.service);
            rank.is_some_and(|rank| {
                now.since(entry.state_since) >= self.cfg.evict_after + self.cfg.evict_stagger * rank
            })
        });
        due.map(|(incarnation, _)| *incarnation).collect()
    }

    /// The number of nodes whose turn to request the eviction comes before this node's. Candidates
    /// are the live listed nodes of the dead peer's service or, if it has none, of all services;
    /// they are ordered by descending rendezvous hash. `None` if this node is not a candidate.
    fn rank(&self, dead: Incarnation, service: &str) -> Option<u32> {
        let my_hash = hash64(&(self.me.incarnation, dead));
        let live = || {
            let entries = self.peers.values();
            entries.filter(|entry| entry.listed && entry.peer.state == PeerState::Alive)
        };
        let is_of_service = |entry: &&PeerEntry| *entry.peer.instance.service == *service;
        let precedes =
            |entry: &&PeerEntry| hash64(&(entry.peer.instance.incarnation, dead)) > my_hash;
        if *self.me.service == *service {
            Some(live().filter(is_of_service).filter(precedes).count() as u32)
        } else if live().any(|entry| is_of_service(&entry)) {
            None
        } else {
            Some(live().filter(precedes).count() as u32)
        }
    }

    /// Whether more than half of the known nodes, including this one, are alive. Retired peers, and
    /// dead peers that are not listed, are left out.
    pub(crate) fn sees_live_majority(&self) -> bool {
        let known = self.peers.values().filter(|entry| !entry.retired);
        let known = known.filter(|entry| entry.listed || !entry.is_dead());
        let (alive, all) = known.fold((1, 1), |(alive, all), entry| {
            let is_alive = entry.peer.state == PeerState::Alive;
            (alive + usize::from(is_alive), all + 1)
        });
        alive * 2 > all
    }
}
