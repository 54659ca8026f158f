//! Rounds of lease requests, and grants.

use crate::records::from_ms;
use crate::records::to_ms;
use crate::view::is_member;
use crate::view::is_quorum;
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

/// Rounds within the length of a lease.
const ROUNDS_PER_LEASE: u32 = 3;

/// Half the time between the first two rounds of a node without a lease.
const FIRST_WAIT: Duration = Duration::from_millis(25);

/// How often that time doubles at most.
const MAX_DOUBLINGS: u32 = 8;

/// Members that are asked beside a quorum, so that the loss of one costs no round.
const SPARE: usize = 1;

impl Home {
    /// The time for which this node may still start work by its lease; zero if it has none.
    pub fn lease_left(&self, now: Time) -> Duration {
        let Some(view) = &self.view else {
            return Duration::ZERO;
        };
        if self.leaving || !is_member(&view.members, self.me) {
            return Duration::ZERO;
        }
        let granted = self
            .lease
            .until(now, &view.members, self.me, self.cfg.lease);
        // Beyond this time a new home may take it that this node does not hear the log, and would
        // not know of a newer view.
        let heard = self
            .log_heard
            .map(|heard| heard + self.cfg.max_log_staleness);
        let until = granted.min(heard).unwrap_or(Time::ZERO);
        now.until(until).saturating_sub(self.cfg.margin)
    }

    /// Handles a datagram about leases.
    pub fn on_lease(&mut self, now: Time, from: SocketAddr, message: LeaseMessage) -> Vec<Effect> {
        match message {
            LeaseMessage::Request {
                from: asker,
                view,
                round,
            } => self.on_request(now, from, asker, view, round),
            LeaseMessage::Grant { to, .. } if to != self.me => {}
            LeaseMessage::Grant {
                from,
                view,
                fenced_below,
                round,
                log_age_ms,
                granted,
                ..
            } => {
                self.heard_view(from, view);
                self.fence.heard_below(fenced_below);
                if granted {
                    self.on_grant(now, from, view, round, from_ms(log_age_ms));
                }
            }
        }
        self.advance(now);
        std::mem::take(&mut self.out)
    }

    fn on_request(
        &mut self,
        now: Time,
        addr: SocketAddr,
        asker: Incarnation,
        view: u64,
        round: u64,
    ) {
        self.heard_view(asker, view);
        let Some(mine) = &self.view else {
            return;
        };
        let message = LeaseMessage::Grant {
            from: self.me,
            to: asker,
            view: mine.number,
            fenced_below: self.fence.below(),
            round,
            log_age_ms: self
                .log_heard
                .map_or(u32::MAX, |heard| to_ms(now.since(heard))),
            // A node that leaves granted its last vote before it told the log. One that is not yet
            // a member by what it knows is behind, and has seen nothing newer than the asker.
            granted: !self.leaving && view >= mine.number,
        };
        self.out.push(Effect::SendLease { to: addr, message });
    }

    fn on_grant(&mut self, now: Time, from: Incarnation, view: u64, round: u64, log_age: Duration) {
        let had_none = self.lease_left(now).is_zero();
        let Some(sent) = self.lease.sent_at(round) else {
            return;
        };
        self.lease.grant(from, sent);
        // The granter read the log up to no newer view than ours.
        let heard = sent.since(Time::ZERO + log_age);
        if !self.is_behind(view) && !heard.is_zero() {
            self.log_heard = self.log_heard.max(Some(Time::ZERO + heard));
        }
        if had_none && !self.lease_left(now).is_zero() {
            self.rounds_without = 0;
            self.out.push(Effect::LeaseAcquired);
        }
    }

    fn heard_view(&mut self, from: Incarnation, view: u64) {
        self.fence.heard(from, view);
        if self.is_behind(view) {
            self.out.push(Effect::ViewOutdated);
        }
    }

    /// Sends a round of requests, if one is due.
    pub(crate) fn run_round(&mut self, now: Time) {
        if self.next_round.is_none_or(|due| due > now) {
            return;
        }
        let Some(view) = self.view.take() else {
            return;
        };
        self.next_round = Some(now + self.round_interval(now, &view.members));
        let asked = self.choose_granters(now, &view.members);
        let round = self.lease.next_round(now);
        for to in asked {
            let message = LeaseMessage::Request {
                from: self.me,
                view: view.number,
                round,
            };
            self.out.push(Effect::SendLease { to, message });
        }
        self.view = Some(view);
    }

    /// The time to the next round. Without a lease the first rounds follow quickly, because a
    /// datagram may just have been lost or a member be a little behind; then ever more slowly, so
    /// that a cut is not filled with requests.
    fn round_interval(&mut self, now: Time, members: &[Instance]) -> Duration {
        let every = self.cfg.lease / ROUNDS_PER_LEASE;
        let leased = self.lease.until(now, members, self.me, self.cfg.lease);
        if leased.is_some_and(|until| until > now + self.cfg.margin) {
            return every;
        }
        self.rounds_without = self.rounds_without.saturating_add(1);
        let wait = FIRST_WAIT * 2_u32.saturating_pow(self.rounds_without.min(MAX_DOUBLINGS));
        wait.min(every)
    }

    /// The nearest members that make up a quorum, and a spare one. If these did not answer, and
    /// while views are not fenced, everybody: only those who are asked tell what they have seen.
    fn choose_granters(&self, now: Time, members: &[Instance]) -> Vec<SocketAddr> {
        let Some(mine) = members.iter().find(|member| member.incarnation == self.me) else {
            return Vec::new();
        };
        let others = members
            .iter()
            .filter(|member| member.incarnation != self.me);
        let mut others: Vec<&Instance> = others.collect();
        others.sort_by_cached_key(|other| (distance(mine, other), self.spread(other)));
        let needed = (0..=others.len())
            .find(|count| {
                is_quorum(members, |who| {
                    let chosen = &others[..*count];
                    who == self.me || chosen.iter().any(|other| other.incarnation == who)
                })
            })
            .unwrap_or(others.len());
        let patience = self.cfg.lease * 2 / ROUNDS_PER_LEASE;
        let long_ago = Time::ZERO + now.since(Time::ZERO + patience);
        let asked = others.iter().take(needed + SPARE);
        let silent = asked
            .clone()
            .filter(|other| self.lease.is_silent(other.incarnation, long_ago))
            .count();
        if silent <= SPARE && !self.fence.is_open() {
            return asked.map(|other| other.addr).collect();
        }
        let past = self.fence.open_members();
        let past = past.filter(|member| member.incarnation != self.me);
        let all: IndexMap<SocketAddr, ()> = others
            .into_iter()
            .chain(past)
            .map(|other| (other.addr, ()))
            .collect();
        all.into_keys().collect()
    }

    /// Breaks ties among members that are equally near, so that all nodes do not ask the same.
    fn spread(&self, other: &Instance) -> u64 {
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
