//! The side that borrows tokens of quotas, one for each request that it admits.
//!
//! Tokens are asked for ahead of the demand, so that a request usually finds one; only for an organisation
//! that is seldom seen here does a request wait for the lender's answer.

use crate::lender::VOTE_LEASE;
use crate::pool::Pool;
use crate::QuotaTolerance;
use crate::GROUP_COUNT;
use indexmap::IndexMap;
use proto::Incarnation;
use proto::Loan;
use proto::OrganisationId;
use rules::Quota;
use std::time::Duration;
use stdx::BoundedMap;
use stdx::Time;

/// How often a vote is lent anew. A message may be lost before it lapses.
const VOTE_INTERVAL: Duration = Duration::from_millis(400);

/// How soon the first vote follows the stamp that it needs.
const FIRST_VOTE: Duration = Duration::from_millis(20);

/// After this time without an answer a lender is asked again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// So many timeouts in a row make a lender count as lost.
const MAX_TIMEOUTS: u32 = 3;

/// For how long a lost lender is not asked, and how many are remembered.
const AVOID: Duration = Duration::from_secs(3);
const MAX_AVOIDED: usize = 64;

/// The time between two questions for an organisation whose quota is used up. A lender that has few votes
/// may have many a moment later.
const MIN_SHORT: Duration = Duration::from_millis(60);
const MAX_SHORT: Duration = Duration::from_millis(250);

/// Questions of a group that wait for their answers.
const MAX_IN_FLIGHT: usize = 32;

/// A token that was spent on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaToken {
    /// Whose.
    pub organisation: OrganisationId,
    /// Until when it could be spent.
    pub expires: Time,
}

/// Asks a lender for tokens, and may lend it a vote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanRequest {
    /// Who is asked.
    pub lender: Incarnation,
    /// The question's number.
    pub request_id: u64,
    /// The stamp that lends this node's vote; 0 if it is not lent.
    pub vote_stamp: u64,
    /// How many tokens are asked for.
    pub wanted: Vec<(OrganisationId, u16)>,
}

#[derive(Debug)]
struct Question {
    sent: Time,
    /// Its answer tells whether the present lender is there.
    is_for_lender: bool,
    wanted: Vec<(OrganisationId, u16)>,
}

/// Who lends in one group, as far as this node knows.
#[derive(Debug)]
struct Ballot {
    lender: Option<Incarnation>,
    /// The lender's last stamp; 0 before there is one.
    stamp: u64,
    /// Who has this node's vote, and until when it may not be lent to another.
    bound: Option<(Incarnation, Time)>,
    vote_due: Time,
    in_flight: IndexMap<u64, Question>,
    timeouts: u32,
    /// Lenders that were lost, and until when they are not asked.
    avoided: BoundedMap<Incarnation, Time>,
    /// A pool of the group may want tokens at once.
    urgent: bool,
    /// When a pool of the group whose lender had too few tokens may want some again.
    again_at: Option<Time>,
}

impl Ballot {
    fn new() -> Self {
        Self {
            lender: None,
            stamp: 0,
            bound: None,
            vote_due: Time::ZERO,
            in_flight: IndexMap::new(),
            timeouts: 0,
            avoided: BoundedMap::new(MAX_AVOIDED),
            urgent: false,
            again_at: None,
        }
    }

    fn avoid(&mut self, now: Time, lender: Incarnation) {
        self.avoided.insert(lender, now + AVOID);
        self.vote_due = now;
    }

    fn follow(&mut self, lender: Option<Incarnation>) {
        if self.lender != lender {
            // What was asked of the last one is not to count against this one.
            for question in self.in_flight.values_mut() {
                question.is_for_lender = false;
            }
            self.lender = lender;
            self.stamp = 0;
            self.timeouts = 0;
            self.vote_due = Time::ZERO;
        }
    }
}

/// What this node borrows.
#[derive(Debug)]
pub struct Borrower {
    bounds: QuotaTolerance,
    /// When this node began. An earlier incarnation at its place may have lent its vote until
    /// [`VOTE_LEASE`] later.
    began: Option<Time>,
    /// There are quotas, so this node has to vote.
    active: bool,
    pools: IndexMap<OrganisationId, Pool>,
    ballots: Vec<Ballot>,
    last_request_id: u64,
}

impl Borrower {
    /// A borrower without tokens.
    pub fn new(bounds: QuotaTolerance) -> Self {
        Self {
            bounds,
            began: None,
            active: false,
            pools: IndexMap::new(),
            ballots: (0..GROUP_COUNT).map(|_| Ballot::new()).collect(),
            last_request_id: 0,
        }
    }

    /// Spends a token on a request that has come.
    pub fn try_spend(
        &mut self,
        now: Time,
        organisation: OrganisationId,
        quota: Quota,
    ) -> Option<QuotaToken> {
        let pool = self.pool(organisation, quota);
        pool.demand.add(now);
        let expires = pool.take(now);
        self.note_need(now, organisation);
        expires.map(|expires| QuotaToken {
            organisation,
            expires,
        })
    }

    /// Spends a token on a request that waits.
    pub fn try_spend_waiting(
        &mut self,
        now: Time,
        organisation: OrganisationId,
    ) -> Option<QuotaToken> {
        let pool = self.pools.get_mut(&organisation)?;
        let expires = pool.take(now)?;
        pool.waiting = pool.waiting.saturating_sub(1);
        Some(QuotaToken {
            organisation,
            expires,
        })
    }

    /// A request waits for a token.
    pub fn start_waiting(&mut self, now: Time, organisation: OrganisationId) {
        if let Some(pool) = self.pools.get_mut(&organisation) {
            pool.waiting += 1;
            self.note_need(now, organisation);
        }
    }

    /// A request does not wait any more.
    pub fn stop_waiting(&mut self, organisation: OrganisationId) {
        if let Some(pool) = self.pools.get_mut(&organisation) {
            pool.waiting = pool.waiting.saturating_sub(1);
        }
    }

    /// Gives back a token whose request did not run.
    pub fn refund(&mut self, now: Time, credit: QuotaToken) {
        if let Some(pool) = self.pools.get_mut(&credit.organisation) {
            if credit.expires > now {
                pool.put(credit.expires, 1);
            }
        }
    }

    /// Whether the lender had too few tokens when it was asked last.
    pub fn lender_was_short(&self, organisation: OrganisationId) -> bool {
        let pool = self.pools.get(&organisation);
        pool.is_some_and(|pool| pool.short_until.is_some())
    }

    /// Whether a node is not to be chosen as the lender of a group now, because it was lost.
    pub fn avoids(&self, now: Time, group: u8, lender: Incarnation) -> bool {
        let avoided = &self.ballots[usize::from(group)].avoided;
        avoided.get(&lender).is_some_and(|until| now < *until)
    }

    /// Whether [`Borrower::poll`] has something to do in any group.
    pub fn is_due(&self, now: Time) -> bool {
        self.next_timer().is_some_and(|due| due <= now)
    }

    /// The next question of a group, to `lender`, if one is due.
    pub fn poll(
        &mut self,
        now: Time,
        group: u8,
        lender: Option<Incarnation>,
    ) -> Option<LoanRequest> {
        let began = *self.began.get_or_insert(now);
        self.time_out(now, group);
        let ballot = &mut self.ballots[usize::from(group)];
        ballot.follow(lender);
        let votes = now >= ballot.vote_due;
        ballot.urgent |= ballot.again_at.take_if(|at| *at <= now).is_some();
        if !std::mem::take(&mut ballot.urgent) && !votes {
            return None;
        }
        let is_full = ballot.in_flight.len() >= MAX_IN_FLIGHT;
        let Some(lender) = ballot.lender.filter(|_| !is_full) else {
            ballot.vote_due = ballot.vote_due.max(now + MIN_SHORT);
            ballot.again_at = Some(now + MIN_SHORT);
            return None;
        };
        let wanted = self.wanted(now, group);
        if !votes && wanted.is_empty() {
            return None;
        }
        let ballot = &mut self.ballots[usize::from(group)];
        let is_free = ballot
            .bound
            .is_none_or(|(to, until)| to == lender || now >= until);
        let vote_stamp = match is_free && now >= began + VOTE_LEASE {
            true => ballot.stamp,
            false => 0,
        };
        if vote_stamp != 0 {
            ballot.bound = Some((lender, now + VOTE_LEASE));
        }
        ballot.vote_due = now + VOTE_INTERVAL;
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        let question = Question {
            sent: now,
            is_for_lender: true,
            wanted: wanted.clone(),
        };
        ballot.in_flight.insert(request_id, question);
        Some(LoanRequest {
            lender,
            request_id,
            vote_stamp,
            wanted,
        })
    }

    /// When [`Borrower::poll`] has something to do.
    pub fn next_timer(&self) -> Option<Time> {
        if !self.active {
            return None;
        }
        let ballots = self.ballots.iter().map(|ballot| {
            let answers = ballot.in_flight.values();
            let timeout = answers.map(|question| question.sent + ANSWER_TIMEOUT).min();
            let due = match ballot.urgent {
                true => Time::ZERO,
                false => ballot.vote_due,
            };
            [timeout, ballot.again_at]
                .into_iter()
                .flatten()
                .fold(due, Time::min)
        });
        ballots.min()
    }

    /// A lender's answer to request `request_id`. Says which organisations have more tokens, or none.
    pub fn on_lend(
        &mut self,
        now: Time,
        from: Incarnation,
        group: u8,
        request_id: u64,
        stamp: u64,
        loans: &[Loan],
    ) -> Vec<Loan> {
        let Some(ballot) = self.ballots.get_mut(usize::from(group)) else {
            return Vec::new();
        };
        let Some(question) = ballot.in_flight.swap_remove(&request_id) else {
            return Vec::new();
        };
        if question.is_for_lender {
            ballot.timeouts = 0;
        }
        if stamp == 0 {
            ballot.bound.take_if(|(to, _)| *to == from);
            ballot.avoid(now, from);
        } else if ballot.lender == Some(from) {
            if ballot.stamp == 0 {
                ballot.vote_due = now + FIRST_VOTE;
            }
            ballot.stamp = ballot.stamp.max(stamp);
        }
        self.forget_wanted(&question.wanted);
        let mut taken = Vec::new();
        for (organisation, wanted) in &question.wanted {
            let Some(loan) = loans.iter().find(|loan| loan.organisation == *organisation) else {
                continue;
            };
            // No lender may give more than it was asked for.
            let tokens = loan.tokens.min(*wanted);
            self.take_loan(now, question.sent, Loan { tokens, ..*loan });
            taken.push(*loan);
        }
        taken
    }

    /// New rules are in force. `active` says whether any organisation has a quota, `quota_of` which.
    pub fn set_quotas(&mut self, active: bool, quota_of: impl Fn(OrganisationId) -> Option<Quota>) {
        self.active = active;
        self.pools.retain(|organisation, pool| {
            let quota = quota_of(*organisation);
            if let Some(quota) = quota {
                // Tokens of a higher quota must not outlive it.
                if quota.rate() < pool.quota.rate() {
                    pool.lots.clear();
                }
                if quota != pool.quota {
                    pool.short_until = None;
                }
                pool.quota = quota;
            }
            quota.is_some()
        });
    }

    fn take_loan(&mut self, now: Time, sent: Time, loan: Loan) {
        let bounds = self.bounds;
        let Some(pool) = self.pools.get_mut(&loan.organisation) else {
            return;
        };
        let expires = sent + bounds.terms(pool.quota).validity;
        if expires > now {
            pool.put(expires, loan.tokens.into());
        }
        pool.has_surplus = loan.has_surplus;
        let wait = Duration::from_millis(loan.wait_ms.into()).clamp(MIN_SHORT, MAX_SHORT);
        pool.short_until = (loan.wait_ms > 0).then(|| now + wait);
        if pool.waiting > u32::from(loan.tokens) {
            let ballot = &mut self.ballots[usize::from(crate::group_of(loan.organisation))];
            let again = pool.short_until.unwrap_or(now);
            ballot.again_at = Some(ballot.again_at.map_or(again, |at| at.min(again)));
        }
    }

    fn pool(&mut self, organisation: OrganisationId, quota: Quota) -> &mut Pool {
        let pool = self.pools.entry(organisation);
        pool.or_insert_with(|| Pool::new(quota))
    }

    fn note_need(&mut self, now: Time, organisation: OrganisationId) {
        if self
            .pools
            .get(&organisation)
            .is_some_and(|pool| pool.is_urgent(now))
        {
            self.ballots[usize::from(crate::group_of(organisation))].urgent = true;
        }
    }

    fn wanted(&mut self, now: Time, group: u8) -> Vec<(OrganisationId, u16)> {
        let mut wanted = Vec::new();
        for (organisation, pool) in &mut self.pools {
            if crate::group_of(*organisation) != group {
                continue;
            }
            let tokens = pool.wanted(now).min(u16::MAX.into()) as u16;
            if tokens > 0 {
                pool.asked += u32::from(tokens);
                wanted.push((*organisation, tokens));
            }
        }
        wanted
    }

    fn time_out(&mut self, now: Time, group: u8) {
        let ballot = &mut self.ballots[usize::from(group)];
        let late = |question: &Question| now.since(question.sent) >= ANSWER_TIMEOUT;
        let mut lost = Vec::new();
        let mut silent = false;
        ballot.in_flight.retain(|_, question| {
            let late = late(question);
            if late {
                silent |= question.is_for_lender;
                lost.push(std::mem::take(&mut question.wanted));
            }
            !late
        });
        if lost.is_empty() {
            return;
        }
        ballot.timeouts += u32::from(silent);
        ballot.urgent = true;
        ballot.vote_due = ballot.vote_due.min(now);
        if ballot.timeouts >= MAX_TIMEOUTS {
            ballot.timeouts = 0;
            if let Some(lender) = ballot.lender {
                ballot.avoid(now, lender);
            }
        }
        for wanted in lost {
            self.forget_wanted(&wanted);
        }
    }

    fn forget_wanted(&mut self, wanted: &[(OrganisationId, u16)]) {
        for (organisation, tokens) in wanted {
            if let Some(pool) = self.pools.get_mut(organisation) {
                pool.asked = pool.asked.saturating_sub((*tokens).into());
            }
        }
    }
}
