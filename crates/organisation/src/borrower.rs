//! Borrows tokens of quotas from other nodes; each admitted request spends one.
//!
//! Tokens are requested ahead of demand, so that there is usually one at hand. Only requests of an
//! organisation that is rarely seen on this node wait for the lender's answer.

use crate::group_state::GroupState;
use crate::group_state::PendingRequest;
use crate::lender::VOTE_LEASE;
use crate::pool::Pool;
use crate::QuotaTolerance;
use crate::GROUP_COUNT;
use indexmap::IndexMap;
use proto::Incarnation;
use proto::Loan;
use proto::OrganisationId;
use proto::TokenDemand;
use rules::Quota;
use std::time::Duration;
use stdx::Time;

/// Interval between votes. It is less than half of [`VOTE_LEASE`], so that a lender keeps the vote
/// if one message is lost.
const VOTE_INTERVAL: Duration = Duration::from_millis(400);

/// Delay between receiving the first stamp of a lender and sending it the first vote.
const FIRST_VOTE_DELAY: Duration = Duration::from_millis(20);

/// Time after which an unanswered request is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// Number of consecutive timeouts after which a lender is considered lost.
const MAX_TIMEOUTS: u32 = 3;

/// Limits for the delay between two requests for an organisation whose quota is used up. A lender
/// that has few votes now may have many a moment later, so the delay is short.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(60);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of unanswered requests in a group.
const MAX_IN_FLIGHT: usize = 32;

/// A token spent on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaToken {
    /// The organisation whose quota the token counts against.
    pub organisation: OrganisationId,
    /// When the token expires.
    pub expires: Time,
    /// When the token was spent.
    pub spent_at: Time,
}

/// A request for tokens, which may also give the lender this node's vote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanRequest {
    /// The lender to send the request to.
    pub lender: Incarnation,
    /// Identifies the request in the answer.
    pub request_id: u64,
    /// The stamp that gives the lender this node's vote; 0 to give none.
    pub vote_stamp: u64,
    /// The number of tokens requested for each organisation.
    pub wanted: Vec<TokenDemand>,
}

/// The borrowing side of a node.
#[derive(Debug)]
pub struct Borrower {
    tolerance: QuotaTolerance,
    /// The time of the first poll. A previous incarnation of this node may have given a vote that
    /// is valid until [`VOTE_LEASE`] after this.
    started_at: Option<Time>,
    /// Whether any organisation has a quota, so that this node must vote.
    has_quotas: bool,
    /// Whether urgent and other work is distinguished.
    by_urgency: bool,
    pools: IndexMap<OrganisationId, Pool>,
    groups: Vec<GroupState>,
    last_request_id: u64,
}

impl Borrower {
    /// Creates a borrower without tokens.
    pub fn new(tolerance: QuotaTolerance) -> Self {
        Self {
            tolerance,
            started_at: None,
            has_quotas: false,
            by_urgency: false,
            pools: IndexMap::new(),
            groups: (0..GROUP_COUNT).map(|_| GroupState::new()).collect(),
            last_request_id: 0,
        }
    }

    /// Spends a token on a newly arrived request.
    pub fn try_spend(
        &mut self,
        now: Time,
        organisation: OrganisationId,
        quota: Quota,
    ) -> Option<QuotaToken> {
        let pool = self.pool(organisation, quota);
        pool.demand.record(now);
        let expires = pool.spend(now);
        self.update_urgency(now, organisation);
        expires.map(|expires| QuotaToken {
            organisation,
            expires,
            spent_at: now,
        })
    }

    /// Records a newly arrived request that may have to wait although there is a token.
    pub fn record_demand(&mut self, now: Time, organisation: OrganisationId, quota: Quota) {
        self.pool(organisation, quota).demand.record(now);
    }

    /// The number of tokens at hand.
    pub fn available(&mut self, now: Time, organisation: OrganisationId) -> u32 {
        let Some(pool) = self.pools.get_mut(&organisation) else {
            return 0;
        };
        pool.drop_expired(now);
        pool.available()
    }

    /// Sets how many tokens requests wait for, and how many of those are for urgent work.
    pub fn set_waiting(
        &mut self,
        now: Time,
        organisation: OrganisationId,
        waiting: u32,
        urgent: u32,
    ) {
        if let Some(pool) = self.pools.get_mut(&organisation) {
            pool.waiting = waiting;
            pool.waiting_urgent = urgent;
            self.update_urgency(now, organisation);
        }
    }

    /// Sets whether urgent and other work is distinguished.
    pub fn set_by_urgency(&mut self, by_urgency: bool) {
        self.by_urgency = by_urgency;
    }

    /// Spends a token on a waiting request.
    pub fn try_spend_waiting(
        &mut self,
        now: Time,
        organisation: OrganisationId,
    ) -> Option<QuotaToken> {
        let pool = self.pools.get_mut(&organisation)?;
        let expires = pool.spend(now)?;
        pool.waiting = pool.waiting.saturating_sub(1);
        Some(QuotaToken {
            organisation,
            expires,
            spent_at: now,
        })
    }

    /// Adds a request that waits for a token.
    pub fn start_waiting(&mut self, now: Time, organisation: OrganisationId) {
        if let Some(pool) = self.pools.get_mut(&organisation) {
            pool.waiting += 1;
            self.update_urgency(now, organisation);
        }
    }

    /// Removes a request that no longer waits for a token.
    pub fn stop_waiting(&mut self, organisation: OrganisationId) {
        if let Some(pool) = self.pools.get_mut(&organisation) {
            pool.waiting = pool.waiting.saturating_sub(1);
        }
    }

    /// Returns the token of a request that was not run.
    pub fn refund(&mut self, now: Time, token: QuotaToken) {
        if let Some(pool) = self.pools.get_mut(&token.organisation) {
            if token.expires > now {
                pool.add_tokens(token.expires, 1);
            }
        }
    }

    /// Whether the lender had fewer tokens than requested when it last answered.
    pub fn lender_was_short(&self, organisation: OrganisationId) -> bool {
        let pool = self.pools.get(&organisation);
        pool.is_some_and(|pool| pool.backoff_until.is_some())
    }

    /// Whether a node must not be chosen as lender of a group for now, because it was considered
    /// lost.
    pub fn avoids(&self, now: Time, group: u8, lender: Incarnation) -> bool {
        let avoided = &self.groups[usize::from(group)].avoided;
        avoided.get(&lender).is_some_and(|until| now < *until)
    }

    /// Whether [`Borrower::poll`] is due for any group.
    pub fn is_due(&self, now: Time) -> bool {
        self.next_timer().is_some_and(|due| due <= now)
    }

    /// Returns the next request to `lender` in a group, if one is due.
    pub fn poll(
        &mut self,
        now: Time,
        group: u8,
        lender: Option<Incarnation>,
    ) -> Option<LoanRequest> {
        let started_at = *self.started_at.get_or_insert(now);
        self.expire_requests(now, group);
        let state = &mut self.groups[usize::from(group)];
        state.set_lender(lender);
        let is_vote_due = now >= state.vote_due;
        state.urgent |= state.retry_at.take_if(|at| *at <= now).is_some();
        if !std::mem::take(&mut state.urgent) && !is_vote_due {
            return None;
        }
        let is_full = state.in_flight.len() >= MAX_IN_FLIGHT;
        let Some(lender) = state.lender.filter(|_| !is_full) else {
            state.vote_due = state.vote_due.max(now + MIN_RETRY_DELAY);
            state.retry_at = Some(now + MIN_RETRY_DELAY);
            return None;
        };
        let wanted = self.collect_requests(now, group);
        if !is_vote_due && wanted.is_empty() {
            return None;
        }
        let state = &mut self.groups[usize::from(group)];
        let may_vote = state
            .committed_vote
            .is_none_or(|(to, until)| to == lender || now >= until);
        let vote_stamp = match may_vote && now >= started_at + VOTE_LEASE {
            true => state.stamp,
            false => 0,
        };
        if vote_stamp != 0 {
            state.committed_vote = Some((lender, now + VOTE_LEASE));
        }
        state.vote_due = now + VOTE_INTERVAL;
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        let request = PendingRequest {
            sent_at: now,
            is_to_current_lender: true,
            wanted: wanted.clone(),
        };
        state.in_flight.insert(request_id, request);
        Some(LoanRequest {
            lender,
            request_id,
            vote_stamp,
            wanted,
        })
    }

    /// Returns the time at which [`Borrower::poll`] is due next.
    pub fn next_timer(&self) -> Option<Time> {
        if !self.has_quotas {
            return None;
        }
        let due_times = self.groups.iter().map(|state| {
            let requests = state.in_flight.values();
            let timeout = requests
                .map(|request| request.sent_at + ANSWER_TIMEOUT)
                .min();
            let due = match state.urgent {
                true => Time::ZERO,
                false => state.vote_due,
            };
            [timeout, state.retry_at]
                .into_iter()
                .flatten()
                .fold(due, Time::min)
        });
        due_times.min()
    }

    /// Handles a lender's answer to the request `request_id` and returns the loans that were
    /// accepted, with what was requested. A `stamp` of 0 means that the node no longer lends and
    /// holds no votes.
    pub fn on_lend(
        &mut self,
        now: Time,
        from: Incarnation,
        group: u8,
        request_id: u64,
        stamp: u64,
        loans: &[Loan],
    ) -> Vec<(TokenDemand, Loan)> {
        let Some(state) = self.groups.get_mut(usize::from(group)) else {
            return Vec::new();
        };
        let Some(request) = state.in_flight.swap_remove(&request_id) else {
            return Vec::new();
        };
        if request.is_to_current_lender {
            state.timeouts = 0;
        }
        if stamp == 0 {
            state.committed_vote.take_if(|(to, _)| *to == from);
            state.avoid(now, from);
        } else if state.lender == Some(from) {
            if state.stamp == 0 {
                state.vote_due = now + FIRST_VOTE_DELAY;
            }
            state.stamp = state.stamp.max(stamp);
        }
        self.clear_requested(&request.wanted);
        let mut received = Vec::new();
        for demand in &request.wanted {
            let is_answer = |loan: &&Loan| loan.organisation == demand.organisation;
            let Some(loan) = loans.iter().find(is_answer) else {
                continue;
            };
            // A lender must not lend more than was requested.
            let tokens = loan.tokens.min(demand.tokens);
            self.apply_loan(
                now,
                request.sent_at,
                Loan { tokens, ..*loan },
                demand.urgent,
            );
            received.push((*demand, Loan { tokens, ..*loan }));
        }
        received
    }

    /// Applies new rules. `has_quotas` tells whether any organisation has a quota, `quota_of`
    /// returns the quota of each.
    pub fn set_quotas(
        &mut self,
        has_quotas: bool,
        quota_of: impl Fn(OrganisationId) -> Option<Quota>,
    ) {
        self.has_quotas = has_quotas;
        self.pools.retain(|organisation, pool| {
            let quota = quota_of(*organisation);
            if let Some(quota) = quota {
                // Tokens lent under a higher quota must not remain valid.
                if quota.rate() < pool.quota.rate() {
                    pool.batches.clear();
                }
                if quota != pool.quota {
                    pool.backoff_until = None;
                    pool.urgent_backoff_until = None;
                }
                pool.quota = quota;
            }
            quota.is_some()
        });
    }

    fn apply_loan(&mut self, now: Time, sent_at: Time, loan: Loan, urgent: u16) {
        let tolerance = self.tolerance;
        let Some(pool) = self.pools.get_mut(&loan.organisation) else {
            return;
        };
        let expires = sent_at + tolerance.lending_terms(pool.quota).validity;
        if expires > now {
            pool.add_tokens(expires, loan.tokens.into());
        }
        pool.has_surplus = loan.has_surplus;
        let wait =
            Duration::from_millis(loan.wait_ms.into()).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        let backoff_until = (loan.wait_ms > 0).then(|| now + wait);
        // An answer to a request for urgent work alone, or for the few requests that have arrived
        // since the last shortage, does not end the shortage.
        let is_partial = loan.tokens <= urgent || pool.waiting > loan.tokens.into();
        let keeps_backoff = self.by_urgency && pool.is_backing_off(now) && is_partial;
        if loan.wait_ms > 0 || !keeps_backoff {
            pool.backoff_until = backoff_until;
        }
        if urgent > 0 {
            pool.urgent_backoff_until = backoff_until.filter(|_| loan.tokens < urgent);
        }
        if pool.waiting > u32::from(loan.tokens) {
            let state = &mut self.groups[usize::from(crate::group_of(loan.organisation))];
            let due = pool.backoff_until.unwrap_or(now);
            state.retry_at = Some(state.retry_at.map_or(due, |at| at.min(due)));
        }
    }

    fn pool(&mut self, organisation: OrganisationId, quota: Quota) -> &mut Pool {
        let pool = self.pools.entry(organisation);
        pool.or_insert_with(|| Pool::new(quota))
    }

    fn update_urgency(&mut self, now: Time, organisation: OrganisationId) {
        if self
            .pools
            .get(&organisation)
            .is_some_and(|pool| pool.is_urgent(now, self.by_urgency))
        {
            self.groups[usize::from(crate::group_of(organisation))].urgent = true;
        }
    }

    fn collect_requests(&mut self, now: Time, group: u8) -> Vec<TokenDemand> {
        let mut wanted = Vec::new();
        for (organisation, pool) in &mut self.pools {
            if crate::group_of(*organisation) != group {
                continue;
            }
            let (tokens, urgent) = pool.tokens_to_request(now, self.by_urgency);
            let tokens = tokens.min(u16::MAX.into()) as u16;
            let urgent = urgent.min(tokens.into()) as u16;
            if tokens > 0 {
                pool.requested += u32::from(tokens);
                pool.requested_urgent += u32::from(urgent);
                wanted.push(TokenDemand {
                    organisation: *organisation,
                    tokens,
                    urgent,
                });
            }
        }
        wanted
    }

    fn expire_requests(&mut self, now: Time, group: u8) {
        let state = &mut self.groups[usize::from(group)];
        let has_timed_out = |request: &PendingRequest| now.since(request.sent_at) >= ANSWER_TIMEOUT;
        let mut expired = Vec::new();
        let mut lender_timed_out = false;
        state.in_flight.retain(|_, request| {
            let is_late = has_timed_out(request);
            if is_late {
                lender_timed_out |= request.is_to_current_lender;
                expired.push(std::mem::take(&mut request.wanted));
            }
            !is_late
        });
        if expired.is_empty() {
            return;
        }
        state.timeouts += u32::from(lender_timed_out);
        state.urgent = true;
        state.vote_due = state.vote_due.min(now);
        if state.timeouts >= MAX_TIMEOUTS {
            state.timeouts = 0;
            if let Some(lender) = state.lender {
                state.avoid(now, lender);
            }
        }
        for wanted in expired {
            self.clear_requested(&wanted);
        }
    }

    fn clear_requested(&mut self, wanted: &[TokenDemand]) {
        for demand in wanted {
            if let Some(pool) = self.pools.get_mut(&demand.organisation) {
                let (tokens, urgent) = (demand.tokens.into(), demand.urgent.into());
                pool.requested = pool.requested.saturating_sub(tokens);
                pool.requested_urgent = pool.requested_urgent.saturating_sub(urgent);
            }
        }
    }
}
