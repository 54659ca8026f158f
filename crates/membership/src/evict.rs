//! Evictions: asking the log to take out a listed peer that stays dead.
//!
//! A node that was cut off holds the others for dead, although it is the one that is gone. If it
//! could reach the log it would evict everybody. So a node evicts only while peers that it holds
//! to be alive answer a check, which shows that its table is up to date, and while these are a
//! majority of all that it knows.

use crate::members::Membership;
use crate::table::Entry;
use crate::Effect;
use proto::hash64;
use proto::Incarnation;
use proto::PeerState;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::Time;

/// How many live peers are asked before an eviction.
const CHECK_SIZE: usize = 8;

/// One in so many of them may fail to answer.
const CHECK_SLACK: usize = 8;

/// The span over which evictions are bounded.
const MINUTE: Duration = Duration::from_secs(60);

/// How long an eviction that was asked for may take to show in the roster.
const ASK_AGAIN: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
pub(crate) struct Evictions {
    /// When this node asked for evictions lately.
    recent: VecDeque<Time>,
    check: Option<Check>,
}

/// Pings to live peers, to see whether this node is cut off.
#[derive(Debug)]
struct Check {
    until: Time,
    seqs: Vec<u64>,
    acked: usize,
}

impl Evictions {
    pub(crate) fn next_timer(&self) -> Option<Time> {
        self.check.as_ref().map(|check| check.until)
    }
}

impl Membership {
    /// Starts a check if an eviction is due.
    pub(crate) fn check_evictions(&mut self, now: Time) {
        let due = self.evictions.check.is_none() && !self.due_evictions(now).is_empty();
        if !due || !self.reaches_majority() {
            return;
        }
        let alive = |entry: &Entry| entry.peer.state == PeerState::Alive && !entry.gone;
        let mut addrs = Vec::new();
        for _ in 0..CHECK_SIZE {
            match self.pick(alive) {
                Some(addr) if !addrs.contains(&addr) => addrs.push(addr),
                _ => {}
            }
        }
        let seqs = addrs.into_iter().map(|addr| self.ping(addr)).collect();
        self.evictions.check = Some(Check {
            until: now + self.cfg.ack_timeout * 2,
            seqs,
            acked: 0,
        });
    }

    pub(crate) fn on_check_ack(&mut self, now: Time, seq: u64) {
        let Some(check) = &mut self.evictions.check else {
            return;
        };
        if now <= check.until && check.seqs.contains(&seq) {
            check.seqs.retain(|other| *other != seq);
            check.acked += 1;
        }
    }

    /// Ends a check that is due.
    pub(crate) fn tick_evictions(&mut self, now: Time) {
        if self.evictions.next_timer().is_none_or(|at| now < at) {
            return;
        }
        let Some(check) = self.evictions.check.take() else {
            return;
        };
        let asked = check.acked + check.seqs.len();
        let in_touch = check.acked > 0 && check.seqs.len() <= asked / CHECK_SLACK;
        if !in_touch || !self.reaches_majority() {
            return;
        }
        let recent = &mut self.evictions.recent;
        recent.retain(|at| now.since(*at) < MINUTE);
        let room = self.cfg.evictions_per_minute.saturating_sub(recent.len());
        for incarnation in self.due_evictions(now).into_iter().take(room) {
            self.evictions.recent.push_back(now);
            if let Some(entry) = self.peers.get_mut(&incarnation) {
                entry.evicted_at = Some(now);
            }
            self.effects.push(Effect::Evict(incarnation));
        }
    }

    /// Dead peers whose eviction falls to this node by now.
    fn due_evictions(&self, now: Time) -> Vec<Incarnation> {
        if !self.listed || self.leaving {
            return Vec::new();
        }
        let dead = self.peers.iter().filter(|(_, entry)| {
            let asked = entry.evicted_at.is_some_and(|at| now.since(at) < ASK_AGAIN);
            entry.is_dead()
                && entry.listed
                && !asked
                && now.since(entry.since) >= self.cfg.evict_after
        });
        let due = dead.filter(|(incarnation, entry)| {
            let rank = self.rank(**incarnation, &entry.peer.instance.service);
            rank.is_some_and(|rank| {
                now.since(entry.since) >= self.cfg.evict_after + self.cfg.evict_stagger * rank
            })
        });
        due.map(|(incarnation, _)| *incarnation).collect()
    }

    /// How many others come before this node, by rendezvous hash, among the live members of the
    /// service; among all live members if the service has none.
    fn rank(&self, dead: Incarnation, service: &str) -> Option<u32> {
        let mine = hash64(&(self.me.incarnation, dead));
        let live = || {
            let entries = self.peers.values();
            entries.filter(|entry| entry.listed && entry.peer.state == PeerState::Alive)
        };
        let of_service = |entry: &&Entry| *entry.peer.instance.service == *service;
        let before = |entry: &&Entry| hash64(&(entry.peer.instance.incarnation, dead)) > mine;
        if *self.me.service == *service {
            Some(live().filter(of_service).filter(before).count() as u32)
        } else if live().any(|entry| of_service(&entry)) {
            None
        } else {
            Some(live().filter(before).count() as u32)
        }
    }

    /// Whether more than half of all nodes that this one knows of, itself included, are alive.
    pub(crate) fn reaches_majority(&self) -> bool {
        let known = self.peers.values().filter(|entry| !entry.gone);
        let known = known.filter(|entry| entry.listed || !entry.is_dead());
        let (alive, all) = known.fold((1, 1), |(alive, all), entry| {
            let is_alive = entry.peer.state == PeerState::Alive;
            (alive + usize::from(is_alive), all + 1)
        });
        alive * 2 > all
    }
}
