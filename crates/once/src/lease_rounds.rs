//! Sends rounds of lease requests, and answers the requests of other nodes.

use crate::quorum::is_member;
use crate::quorum::is_quorum;
use crate::records::from_ms;
use crate::records::to_ms;
use crate::Effect;
use crate::Home;
use indexmap::IndexMap;
use proto::hash64;
use proto::Incarnation;
use proto::Instance;
use proto::LeaseMessage;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

/// Number of rounds per lease duration.
const ROUNDS_PER_LEASE: u32 = 3;

/// Half the delay between the first two rounds of a node without a lease.
const BASE_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Maximum number of times that delay is doubled.
const MAX_DOUBLINGS: u32 = 8;

/// Members that are asked in addition to a quorum, so that the loss of one does not cost a round.
const SPARE_GRANTERS: usize = 1;

impl Home {
    /// How long this node may still start runs under its lease; zero if it holds none.
    pub fn lease_left(&self, now: Time) -> Duration {
        let Some(view) = &self.view else {
            return Duration::ZERO;
        };
        if self.leaving || !is_member(&view.members, self.me) {
            return Duration::ZERO;
        }
        let lease_expires_at = self
            .lease
            .expires_at(now, &view.members, self.me, self.cfg.lease);
        // After `max_log_staleness` without reading the log, another node may take over on the
        // assumption that this one no longer starts runs, and this one would not know of a newer
        // view.
        let log_valid_until = self
            .log_current_at
            .map(|read_at| read_at + self.cfg.max_log_staleness);
        let expires_at = lease_expires_at.min(log_valid_until).unwrap_or(Time::ZERO);
        now.until(expires_at).saturating_sub(self.cfg.margin)
    }

    /// Handles a lease message.
    pub fn on_lease(&mut self, now: Time, from: SocketAddr, message: LeaseMessage) -> Vec<Effect> {
        match message {
            LeaseMessage::Request {
                from: requester,
                view,
                round,
            } => self.on_request(now, from, requester, view, round),
            LeaseMessage::Reply { to, .. } if to != self.me => {}
            LeaseMessage::Reply {
                from,
                view,
                fenced_below,
                round,
                log_age_ms,
                granted,
                ..
            } => {
                self.note_peer_view(from, view);
                self.fence.note_fenced_below(fenced_below);
                if granted {
                    self.on_grant(now, from, view, round, from_ms(log_age_ms));
                }
            }
        }
        self.advance(now);
        std::mem::take(&mut self.effects)
    }

    fn on_request(
        &mut self,
        now: Time,
        addr: SocketAddr,
        requester: Incarnation,
        view: u64,
        round: u64,
    ) {
        self.note_peer_view(requester, view);
        let Some(mine) = &self.view else {
            return;
        };
        let message = LeaseMessage::Reply {
            from: self.me,
            to: requester,
            view: mine.number,
            fenced_below: self.fence.fenced_below(),
            round,
            log_age_ms: self
                .log_current_at
                .map_or(u32::MAX, |read_at| to_ms(now.since(read_at))),
            // A leaving node granted its last lease before its departure was written to the log. A
            // node that is not yet a member in its own view lags behind, and has seen no view newer
            // than that of the requester.
            granted: !self.leaving && view >= mine.number,
        };
        self.effects.push(Effect::SendLease { to: addr, message });
    }

    fn on_grant(&mut self, now: Time, from: Incarnation, view: u64, round: u64, log_age: Duration) {
        let had_none = self.lease_left(now).is_zero();
        let Some(sent) = self.lease.sent_at(round) else {
            return;
        };
        self.lease.record_grant(from, sent);
        // When the granter read the log, it contained no view newer than that of this node. The
        // difference saturates at `Time::ZERO`.
        let log_read_at = sent.since(Time::ZERO + log_age);
        if !self.lacks_view(view) && !log_read_at.is_zero() {
            self.log_current_at = self.log_current_at.max(Some(Time::ZERO + log_read_at));
        }
        if had_none && !self.lease_left(now).is_zero() {
            self.rounds_without_lease = 0;
            self.effects.push(Effect::LeaseAcquired);
        }
    }

    fn note_peer_view(&mut self, from: Incarnation, view: u64) {
        self.fence.note_peer_view(from, view);
        if self.lacks_view(view) {
            self.effects.push(Effect::ViewOutdated);
        }
    }

    /// Sends a round of lease requests, if one is due.
    pub(crate) fn send_due_round(&mut self, now: Time) {
        if self.next_lease_round_at.is_none_or(|due| due > now) {
            return;
        }
        let Some(view) = self.view.take() else {
            return;
        };
        self.next_lease_round_at = Some(now + self.round_interval(now, &view.members));
        let granters = self.choose_granters(now, &view.members);
        let round = self.lease.begin_round(now);
        for to in granters {
            let message = LeaseMessage::Request {
                from: self.me,
                view: view.number,
                round,
            };
            self.effects.push(Effect::SendLease { to, message });
        }
        self.view = Some(view);
    }

    /// The delay until the next round. Without a lease the first rounds follow quickly, because a
    /// datagram may have been lost or a member may lag behind slightly. The delay then grows, so
    /// that a network partition is not flooded with requests.
    fn round_interval(&mut self, now: Time, members: &[Instance]) -> Duration {
        let interval = self.cfg.lease / ROUNDS_PER_LEASE;
        let expires_at = self.lease.expires_at(now, members, self.me, self.cfg.lease);
        if expires_at.is_some_and(|expires_at| expires_at > now + self.cfg.margin) {
            return interval;
        }
        self.rounds_without_lease = self.rounds_without_lease.saturating_add(1);
        let delay =
            BASE_RETRY_DELAY * 2_u32.saturating_pow(self.rounds_without_lease.min(MAX_DOUBLINGS));
        delay.min(interval)
    }

    /// The nearest members that make up a quorum, plus a spare one. If too few of them answered, or
    /// while there are unfenced views, all members and the members of these views are asked: only
    /// nodes that are asked report which view they know.
    fn choose_granters(&self, now: Time, members: &[Instance]) -> Vec<SocketAddr> {
        let Some(mine) = members.iter().find(|member| member.incarnation == self.me) else {
            return Vec::new();
        };
        let others = members
            .iter()
            .filter(|member| member.incarnation != self.me);
        let mut others: Vec<&Instance> = others.collect();
        others.sort_by_cached_key(|other| (distance(mine, other), self.tie_break(other)));
        let needed = (0..=others.len())
            .find(|count| {
                is_quorum(members, |member| {
                    let chosen = &others[..*count];
                    member == self.me || chosen.iter().any(|other| other.incarnation == member)
                })
            })
            .unwrap_or(others.len());
        let grant_timeout = self.cfg.lease * 2 / ROUNDS_PER_LEASE;
        let cutoff = Time::ZERO + now.since(Time::ZERO + grant_timeout);
        let asked = others.iter().take(needed + SPARE_GRANTERS);
        let unresponsive = asked
            .clone()
            .filter(|other| self.lease.is_unresponsive(other.incarnation, cutoff))
            .count();
        if unresponsive <= SPARE_GRANTERS && !self.fence.has_unfenced_views() {
            return asked.map(|other| other.addr).collect();
        }
        let past = self.fence.unfenced_members();
        let past = past.filter(|member| member.incarnation != self.me);
        let all: IndexMap<SocketAddr, ()> = others
            .into_iter()
            .chain(past)
            .map(|other| (other.addr, ()))
            .collect();
        all.into_keys().collect()
    }

    /// Breaks ties between equally near members, so that not all nodes ask the same ones.
    fn tie_break(&self, other: &Instance) -> u64 {
        hash64(&(self.me, other.incarnation))
    }
}

/// 0 in the same failure domain, 1 in the same region, 2 elsewhere.
fn distance(mine: &Instance, other: &Instance) -> u8 {
    if mine.failure_domain == other.failure_domain {
        0
    } else if mine.region == other.region {
        1
    } else {
        2
    }
}
