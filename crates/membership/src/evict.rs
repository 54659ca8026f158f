//! Evictions: requests to remove a listed peer that stays dead from the log's roster.
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

/// Number of live peers that are pinged before an eviction.
const CHECK_SIZE: usize = 8;

/// One in this many of the pinged peers may fail to answer.
const CHECK_FAILURE_DIVISOR: usize = 8;

/// Period over which the number of evictions is limited.
const EVICTION_RATE_WINDOW: Duration = Duration::from_secs(60);

/// How long a requested eviction may take to show in the roster before it is requested again.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// The evictions that this node requests.
#[derive(Debug, Default)]
pub(crate) struct Evictions {
    /// When each eviction of the last [`EVICTION_RATE_WINDOW`] was requested.
    recent: VecDeque<Time>,
    check: Option<ConnectivityCheck>,
}

/// Pings to live peers, to detect whether this node is partitioned.
#[derive(Debug)]
struct ConnectivityCheck {
    deadline: Time,
    seqs: Vec<u64>,
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
        for _ in 0..CHECK_SIZE {
            match self.pick_peer(is_alive) {
                Some(addr) if !addrs.contains(&addr) => addrs.push(addr),
                _ => {}
            }
        }
        let seqs = addrs.into_iter().map(|addr| self.ping(addr)).collect();
        self.evictions.check = Some(ConnectivityCheck {
            deadline: now + self.cfg.ack_timeout * 2,
            seqs,
            acked: 0,
        });
    }

    pub(crate) fn on_check_ack(&mut self, now: Time, seq: u64) {
        let Some(check) = &mut self.evictions.check else {
            return;
        };
        if now <= check.deadline && check.seqs.contains(&seq) {
            check.seqs.retain(|other| *other != seq);
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
        let pinged = check.acked + check.seqs.len();
        let is_connected = check.acked > 0 && check.seqs.len() <= pinged / CHECK_FAILURE_DIVISOR;
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

    /// Dead peers whose eviction this node has to request by now.
    fn due_evictions(&self, now: Time) -> Vec<Incarnation> {
        if !self.listed || self.leaving {
            return Vec::new();
        }
        let dead = self.peers.iter().filter(|(_, entry)| {
            let requested = entry
                .eviction_requested_at
                .is_some_and(|at| now.since(at) < EVICTION_RETRY_INTERVAL);
            entry.is_dead()
                && entry.listed
                && !requested
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

    /// The position of this node in the order in which nodes request the eviction: the number of
    /// live listed members of the dead peer's service with a higher rendezvous hash. If the service
    /// has none, those of all services count. `None` if this node is not a candidate.
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

    /// Whether more than half of all known nodes, including this one, are alive.
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
