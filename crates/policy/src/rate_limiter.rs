//! The rate limit that a backend server names: a token bucket in the form of the generic cell rate
//! algorithm (ITU-T I.371), which keeps the time at which the bucket is full again.

use crate::RequestRate;
use std::time::Duration;
use stdx::Time;

/// The time in which an empty bucket fills up under a low limit. A server names its limit by the
/// second, so that is the span over which uneven arrivals are evened out.
const FILL_TIME: Duration = Duration::from_secs(1);

/// The most requests that may be sent at once. A server may lower its limit right after a burst, so
/// a burst has to be within the 5 requests that a server takes beyond what its limit allows.
const MAX_BURST: f64 = 5.0;

/// The longest time that is reported for a token.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// Limits the rate of requests to one backend server.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    rate: RequestRate,
    /// When the bucket is full, if no token is taken until then.
    full_at: Time,
}

impl RateLimiter {
    /// A limiter with an empty bucket.
    pub(crate) fn new(now: Time, rate: RequestRate) -> Self {
        let mut limiter = Self { rate, full_at: now };
        limiter.fill_to(now, 0.0);
        limiter
    }

    pub(crate) fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Changes the rate. Tokens beyond the new capacity are lost.
    pub(crate) fn set_rate(&mut self, now: Time, rate: RequestRate) {
        let tokens = self.tokens(now);
        self.rate = rate;
        self.fill_to(now, tokens.min(self.capacity()));
    }

    /// Takes a token. Must only be called if [`RateLimiter::has_token`].
    pub(crate) fn take(&mut self, now: Time) {
        if let Some(interval) = self.interval() {
            self.full_at = self.full_at.max(now) + interval;
        }
    }

    pub(crate) fn has_token(&self, now: Time) -> bool {
        self.next_token_at().is_some_and(|at| at <= now)
    }

    /// Whether the bucket is full: fewer requests came than the server accepts.
    pub(crate) fn is_full(&self, now: Time) -> bool {
        self.interval().is_some() && self.full_at <= now
    }

    /// When the bucket has a token; `None` if never.
    pub(crate) fn next_token_at(&self) -> Option<Time> {
        let interval = self.interval()?;
        let until_full = interval.mul_f64(self.capacity() - 1.0);
        Some(Time::ZERO + self.full_at.since(Time::ZERO).saturating_sub(until_full))
    }

    /// How long it takes until the bucket has had `count` tokens to take.
    pub(crate) fn time_for(&self, now: Time, count: usize) -> Duration {
        let Some(interval) = self.interval() else {
            return MAX_WAIT;
        };
        let beyond_full = (count as f64 - self.capacity()) * interval.as_secs_f64();
        let secs = now.until(self.full_at).as_secs_f64() + beyond_full;
        Duration::from_secs_f64(secs.clamp(0.0, MAX_WAIT.as_secs_f64()))
    }

    /// The number of requests that may be sent at once with a full bucket.
    fn capacity(&self) -> f64 {
        let filled = self.rate.per_second() * FILL_TIME.as_secs_f64();
        filled.clamp(1.0, MAX_BURST)
    }

    /// The time between two tokens; `None` if there are none.
    fn interval(&self) -> Option<Duration> {
        let millihertz = self.rate.millihertz();
        // Rounded up, so that the rate is not exceeded.
        (millihertz > 0).then(|| Duration::from_micros(1_000_000_000_u64.div_ceil(millihertz)))
    }

    fn tokens(&self, now: Time) -> f64 {
        let Some(interval) = self.interval() else {
            return 0.0;
        };
        let missing = now.until(self.full_at).as_secs_f64() / interval.as_secs_f64();
        (self.capacity() - missing).max(0.0)
    }

    fn fill_to(&mut self, now: Time, tokens: f64) {
        if let Some(interval) = self.interval() {
            self.full_at = now + interval.mul_f64(self.capacity() - tokens);
        }
    }
}
