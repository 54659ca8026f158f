//! The tokens that a node holds for one organisation, and how many more it needs.

use rules::Quota;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::Time;

/// Time constant of the exponentially decaying average of demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// How long the tokens held in reserve suffice for the average demand: while the lender has a
/// surplus, and otherwise.
const RESERVE: Duration = Duration::from_millis(400);
const REDUCED_RESERVE: Duration = Duration::from_millis(200);

/// If the tokens held fall below this fraction of the reserve, more are requested at once.
const LOW_RESERVE_FRACTION: f64 = 0.3;

/// How long after the back-off a lender still counts as short.
const SHORTAGE_TTL: Duration = Duration::from_secs(1);

/// Moving average of the request rate.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    weighted_count: f64,
    updated_at: Time,
}

impl Demand {
    pub(crate) fn record(&mut self, now: Time) {
        self.weighted_count = self.rate(now) * DEMAND_TIME_CONSTANT.as_secs_f64() + 1.0;
        self.updated_at = now;
    }

    pub(crate) fn rate(&self, now: Time) -> f64 {
        let decay = -now.since(self.updated_at).as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.weighted_count * decay.exp() / DEMAND_TIME_CONSTANT.as_secs_f64()
    }
}

/// The tokens that this node holds for one organisation.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) quota: Quota,
    /// Unused tokens with their expiry time, in order of expiry.
    pub(crate) batches: VecDeque<(Time, u32)>,
    pub(crate) demand: Demand,
    /// Number of requests that wait for a token.
    pub(crate) waiting: u32,
    /// How many of them are urgent.
    pub(crate) waiting_urgent: u32,
    /// Tokens requested from the lender but not answered yet.
    pub(crate) requested: u32,
    /// How many of them are for urgent work.
    pub(crate) requested_urgent: u32,
    /// Whether the lender had a surplus when it last answered.
    pub(crate) has_surplus: bool,
    /// No tokens are requested until this time, because the lender had too few.
    pub(crate) backoff_until: Option<Time>,
    /// The same for tokens for urgent work, which a lender that is short still lends.
    pub(crate) urgent_backoff_until: Option<Time>,
}

impl Pool {
    pub(crate) fn new(quota: Quota) -> Self {
        Self {
            quota,
            batches: VecDeque::new(),
            demand: Demand::default(),
            waiting: 0,
            waiting_urgent: 0,
            requested: 0,
            requested_urgent: 0,
            has_surplus: false,
            backoff_until: None,
            urgent_backoff_until: None,
        }
    }

    pub(crate) fn drop_expired(&mut self, now: Time) {
        while self
            .batches
            .front()
            .is_some_and(|(expires, _)| *expires <= now)
        {
            self.batches.pop_front();
        }
    }

    pub(crate) fn available(&self) -> u32 {
        self.batches.iter().map(|(_, tokens)| tokens).sum()
    }

    pub(crate) fn spend(&mut self, now: Time) -> Option<Time> {
        self.drop_expired(now);
        let (expires, tokens) = self.batches.front_mut()?;
        let expires = *expires;
        *tokens -= 1;
        if *tokens == 0 {
            self.batches.pop_front();
        }
        Some(expires)
    }

    pub(crate) fn add_tokens(&mut self, expires: Time, tokens: u32) {
        if tokens == 0 {
            return;
        }
        let at = self.batches.partition_point(|(other, _)| *other <= expires);
        self.batches.insert(at, (expires, tokens));
    }

    pub(crate) fn is_backing_off(&self, now: Time) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// The number of tokens to hold in reserve. None while urgent and other work is distinguished and
    /// the lender is short: the reserve would take tokens from requests that wait at other nodes.
    pub(crate) fn reserve(&self, now: Time, by_urgency: bool) -> u32 {
        if by_urgency && self.is_short(now) {
            return 0;
        }
        let rate = self.demand.rate(now);
        let duration = match self.has_surplus {
            true => RESERVE,
            false => REDUCED_RESERVE,
        };
        (rate * duration.as_secs_f64()) as u32
    }

    fn is_short(&self, now: Time) -> bool {
        self.backoff_until
            .is_some_and(|until| now < until + SHORTAGE_TTL)
    }

    /// Returns the number of tokens to request: all, and those for urgent work.
    pub(crate) fn tokens_to_request(&mut self, now: Time, by_urgency: bool) -> (u32, u32) {
        self.drop_expired(now);
        let urgent = self.urgent_tokens_to_request(now);
        if self.is_backing_off(now) {
            return (urgent, urgent);
        }
        let needed = self.waiting + self.reserve(now, by_urgency);
        let tokens = needed.saturating_sub(self.available() + self.requested);
        (tokens.max(urgent), urgent)
    }

    fn urgent_tokens_to_request(&self, now: Time) -> u32 {
        if self.urgent_backoff_until.is_some_and(|until| now < until) {
            return 0;
        }
        let held = self.available() + self.requested_urgent;
        self.waiting_urgent.saturating_sub(held)
    }

    /// Whether tokens must be requested at once rather than with the next vote.
    pub(crate) fn is_urgent(&self, now: Time, by_urgency: bool) -> bool {
        if self.urgent_tokens_to_request(now) > 0 {
            return true;
        }
        if self.is_backing_off(now) {
            return false;
        }
        let available = self.available() + self.requested;
        let reserve = self.reserve(now, by_urgency);
        available < self.waiting
            || (reserve > 1 && f64::from(available) < f64::from(reserve) * LOW_RESERVE_FRACTION)
    }
}
