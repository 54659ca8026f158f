//! Decides which of an organisation's requests at this node get its tokens, which wait, and when
//! the others should return.
//!
//! Requests are ordered by rank, then by the latest start that meets their latency objective. One
//! that will not get a token in time, given the rate of tokens and the requests ahead of it, is
//! refused at once, with a retry delay after which there will be a token for it.

use crate::promises::PromiseId;
use crate::promises::Promises;
use crate::supply::Supply;
use crate::wait_queue::WaitKey;
use crate::wait_queue::WaitQueue;
use proto::TokenDemand;
use std::time::Duration;
use stdx::plain;
use stdx::Time;

/// Maximum number of requests of an organisation that wait at one node.
pub const MAX_WAITING_PER_ORGANISATION: usize = 256;

/// Factor by which the expected wait of a request that already waits must exceed the time that it
/// has. The estimated rate varies from answer to answer.
const INFEASIBLE_MARGIN: f64 = 1.5;

/// Part of the estimated rate that is promised to callers. The rate varies with the demand of other
/// nodes, and a caller that finds no token has come twice for nothing.
const PROMISED_FRACTION: f64 = 0.8;

/// How long an idle queue is kept, so that its estimates survive short gaps between requests.
const IDLE_TTL: Duration = Duration::from_secs(2);

/// How long the demand of an empty queue is still checked after its last use; a few intervals
/// between checks. An idle queue costs nothing, so that a node can keep one for each of 1,000
/// organisations.
const ACTIVE_TTL: Duration = Duration::from_millis(100);

/// The retry delay while the rate of tokens is unknown.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The shortest and the longest retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

plain! {
    /// The order in which ranks get tokens: protected classes before lookups, then by priority.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct TokenRank {
        /// Whether the operation is a lookup.
        pub is_lookup: bool,
        /// The priority; 0 is the most urgent.
        pub priority: u8,
    }
}

plain! {
    /// What a request for a token is judged by.
    pub struct TokenClaim {
        /// The rank of the request.
        pub rank: TokenRank,
        /// Whether lenders count it as urgent.
        pub is_urgent: bool,
        /// The latest start that meets the objective, counted from the caller's first arrival.
        pub latest_start: Time,
        /// When the request can no longer be in time and stops waiting.
        pub wait_until: Time,
        /// How long another attempt of the caller may wait.
        pub max_wait: Duration,
        /// The longest retry delay that the caller honours.
        pub retry_limit: Duration,
        /// Whether the caller has returned for a token that it was promised.
        pub was_promised: bool,
    }
}

plain! {
    /// The inputs of a refusal, and the retry delay.
    pub struct RetryAdvice {
        /// The retry delay.
        pub retry_after: Duration,
        /// The promise of a token at that time, if one was made.
        pub promise: Option<PromiseId>,
        /// Requests that are ahead.
        pub ahead: u32,
        /// Tokens promised to callers that are ahead.
        pub promised: u32,
        /// The estimated rate, in thousandths of a token per second, if it is known.
        pub rate_millihertz: Option<u64>,
    }
}

/// The requests of one organisation that wait at this node, and the tokens promised to others.
///
/// # Examples
///
/// ```
/// use bilberry_organisation::{TokenClaim, TokenQueue, TokenRank};
/// use std::time::Duration;
/// use stdx::Time;
///
/// let now = Time::from_micros(1_000_000);
/// let claim = |priority| TokenClaim {
///     rank: TokenRank { is_lookup: false, priority },
///     is_urgent: priority == 0,
///     latest_start: now + Duration::from_millis(400),
///     wait_until: now + Duration::from_millis(400),
///     max_wait: Duration::from_millis(400),
///     retry_limit: Duration::from_millis(100),
///     was_promised: false,
/// };
/// let mut queue = TokenQueue::new(now);
/// queue.push(now, claim(2), "patient");
/// queue.push(now, claim(0), "urgent");
/// assert_eq!(queue.pop(now, 1).unwrap().1, "urgent");
/// ```
#[derive(Debug)]
pub struct TokenQueue<T> {
    waiting: WaitQueue<T>,
    /// Tokens for urgent work, and for the rest.
    urgent_supply: Supply,
    supply: Supply,
    promises: Promises,
    used_at: Time,
}

impl<T> TokenQueue<T> {
    /// Creates an empty queue.
    pub fn new(now: Time) -> Self {
        Self {
            waiting: WaitQueue::new(),
            urgent_supply: Supply::new(),
            supply: Supply::new(),
            promises: Promises::default(),
            used_at: now,
        }
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The number of promises that are neither redeemed nor expired.
    pub fn promised(&self) -> usize {
        self.promises.len()
    }

    /// Whether the queue holds nothing and its estimates are no longer needed.
    pub fn is_idle(&self, now: Time) -> bool {
        self.is_empty() && self.promises.len() == 0 && now.since(self.used_at) >= IDLE_TTL
    }

    /// Whether the demand may have changed: the queue holds something, or was used recently.
    pub fn is_active(&self, now: Time) -> bool {
        !self.is_empty() || self.promises.len() > 0 || now.since(self.used_at) < ACTIVE_TTL
    }

    /// The tokens needed now for waiting requests and for promises that are due: all, and those for
    /// urgent work.
    pub fn demand(&self, now: Time) -> (u32, u32) {
        let all = self.len() + self.promises.held(now, false);
        let urgent = self.waiting.urgent_len() + self.promises.held(now, true);
        (all as u32, urgent as u32)
    }

    /// Whether a newly arrived request may take one of `available` tokens: no waiting request goes
    /// before it, and the tokens are not held for promises that are due.
    pub fn may_take(&self, now: Time, claim: &TokenClaim, available: u32) -> bool {
        !self.waiting.has_ahead(claim) && available as usize > self.held(now)(claim)
    }

    /// Whether a new request should wait: a token is expected for it in time, or the rate of tokens
    /// is not known.
    pub fn should_wait(&self, now: Time, claim: &TokenClaim) -> bool {
        if now >= claim.wait_until {
            return false;
        }
        let ahead = self.waiting.ahead_of(claim);
        let expected = self.expected_wait(now, claim, ahead);
        claim.was_promised || expected.is_none_or(|wait| now + wait <= claim.wait_until)
    }

    /// Adds a request. If the queue is full, the last request is removed and returned; it may be
    /// the new one.
    pub fn push(
        &mut self,
        now: Time,
        claim: TokenClaim,
        value: T,
    ) -> (WaitKey, Option<(TokenClaim, T)>) {
        self.used_at = now;
        let key = self.waiting.insert(claim, value);
        let is_full = self.len() > MAX_WAITING_PER_ORGANISATION;
        (key, is_full.then(|| self.pop_last()).flatten())
    }

    /// Removes the request that would be the last to get a token.
    pub fn pop_last(&mut self) -> Option<(TokenClaim, T)> {
        let last = self.waiting.last_key()?;
        self.waiting.remove(&last)
    }

    /// Removes a request, for example one whose caller has disconnected.
    pub fn remove(&mut self, key: &WaitKey) -> Option<(TokenClaim, T)> {
        self.waiting.remove(key)
    }

    /// Removes the next request that may take one of `available` tokens. Tokens that are promised
    /// for now go to urgent work and to callers that return for them.
    pub fn pop(&mut self, now: Time, available: u32) -> Option<(TokenClaim, T)> {
        if available == 0 {
            return None;
        }
        let held_from = self.held(now);
        let may_take = |(_, claim): &(&WaitKey, &TokenClaim)| available as usize > held_from(claim);
        let next = self.waiting.iter().find(may_take);
        let key = next.map(|(key, _)| *key)?;
        self.used_at = now;
        self.waiting.remove(&key)
    }

    /// Computes the number of tokens that are held for other callers and that a request must leave.
    /// A caller that has returned for its token precedes those that have yet to return, but does
    /// not take tokens that are held for urgent work.
    fn held(&self, now: Time) -> impl Fn(&TokenClaim) -> usize + use<T> {
        let all = self.promises.held(now, false);
        let urgent = self.promises.held(now, true);
        move |claim| match (claim.is_urgent, claim.was_promised) {
            (true, true) => 0,
            (false, false) => all,
            _ => urgent,
        }
    }

    /// Records a lender's answer: the tokens requested for urgent work and altogether, and those
    /// lent. A shortage has not ended while more requests wait than tokens were lent: the answer
    /// may be to a request for the few that arrived last.
    pub fn record_loan(&mut self, now: Time, demand: TokenDemand, lent: u16) {
        let to_urgent = lent.min(demand.urgent);
        let to_rest = lent - to_urgent;
        let urgent_waiting = self.waiting.urgent_len();
        let rest_waiting = self.waiting.len() - urgent_waiting;
        if demand.urgent > 0 {
            let is_short = to_urgent < demand.urgent
                || (self.urgent_supply.is_short(now) && urgent_waiting > to_urgent.into());
            self.urgent_supply.record(now, to_urgent, is_short);
        }
        if demand.tokens > demand.urgent {
            let is_short = lent < demand.tokens
                || (self.supply.is_short(now) && rest_waiting > to_rest.into());
            self.supply.record(now, to_rest, is_short);
        }
    }

    /// Removes the requests that can no longer be in time.
    pub fn take_expired(&mut self, now: Time) -> Vec<(TokenClaim, T)> {
        let expired = self.waiting.iter();
        let expired = expired.filter(|(_, claim)| claim.wait_until <= now);
        let expired: Vec<WaitKey> = expired.map(|(key, _)| *key).collect();
        let expired = expired.iter();
        expired.filter_map(|key| self.waiting.remove(key)).collect()
    }

    /// Removes the requests that are not expected to get a token in time. Each request behind one
    /// that is removed moves up.
    pub fn take_infeasible(&mut self, now: Time) -> Vec<(TokenClaim, T)> {
        let mut ahead = [0; 2];
        let mut infeasible = Vec::new();
        for (key, claim) in self.waiting.iter() {
            let ahead = &mut ahead[usize::from(claim.is_urgent)];
            let expected = self.expected_wait(now, claim, *ahead).unwrap_or_default();
            let left = now.until(claim.wait_until).mul_f64(INFEASIBLE_MARGIN);
            if claim.was_promised || expected <= left {
                *ahead += 1;
            } else {
                infeasible.push(*key);
            }
        }
        let infeasible = infeasible.iter();
        infeasible
            .filter_map(|key| self.waiting.remove(key))
            .collect()
    }

    /// Gives up promises whose callers have not returned.
    pub fn drop_expired_promises(&mut self, now: Time) {
        self.promises.drop_expired(now);
    }

    /// Cancels a promise because its caller has returned. Returns whether it was still valid.
    pub fn redeem(&mut self, promise: PromiseId) -> bool {
        self.promises.take(promise)
    }

    /// The retry delay of a refused caller. A token is promised for then if the caller can still
    /// be in time, unless `may_promise` is false.
    ///
    /// If the time until its token is longer than the retry delays that the caller honours, it gets
    /// the longest of those, and its next attempt waits here for the rest.
    pub fn advise_retry(
        &mut self,
        now: Time,
        claim: &TokenClaim,
        may_promise: bool,
    ) -> RetryAdvice {
        self.used_at = now;
        let ahead = self.waiting.ahead_of(claim);
        let promised = self
            .promises
            .due_by(Time::from_micros(u64::MAX), claim.is_urgent);
        let rate = self.supply_of(claim).rate(now);
        let mut advice = RetryAdvice {
            retry_after: MIN_RETRY_AFTER,
            promise: None,
            ahead: ahead as u32,
            promised: promised as u32,
            rate_millihertz: rate.map(|rate| (rate * 1000.0) as u64),
        };
        let is_reachable = |delay| {
            delay <= claim.retry_limit + claim.max_wait / 2 && now + delay <= claim.latest_start
        };
        let proven = self.supply_of(claim).proven_rate(now);
        let proven = proven.filter(|_| may_promise).unwrap_or(0.0);
        let delay = wait_for(ahead + promised, proven * PROMISED_FRACTION);
        if is_reachable(delay) {
            advice.promise = self.promises.add(now + delay, claim.is_urgent);
        }
        advice.retry_after = match (advice.promise, rate) {
            (Some(_), _) => delay.min(claim.retry_limit),
            (None, Some(rate)) => wait_for(ahead + promised, rate),
            (None, None) => UNKNOWN_RETRY_AFTER.min(claim.retry_limit),
        };
        advice.retry_after = advice.retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        advice
    }

    /// Whether the lender is known to be short of tokens.
    pub fn is_short(&self, now: Time) -> bool {
        self.supply.is_short(now) || self.urgent_supply.is_short(now)
    }

    fn supply_of(&self, claim: &TokenClaim) -> &Supply {
        match claim.is_urgent {
            true => &self.urgent_supply,
            false => &self.supply,
        }
    }

    fn expected_wait(&self, now: Time, claim: &TokenClaim, ahead: usize) -> Option<Duration> {
        let rate = self.supply_of(claim).rate(now)?;
        let promised = self
            .promises
            .due_by(now + wait_for(ahead, rate), claim.is_urgent);
        Some(wait_for(ahead + promised, rate))
    }
}

/// The time until a token is left for the request behind `ahead` others.
fn wait_for(ahead: usize, rate: f64) -> Duration {
    let seconds = (ahead + 1) as f64 / rate.max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(seconds.min(3600.0))
}
