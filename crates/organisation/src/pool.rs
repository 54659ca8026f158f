//! What a node holds of one organisation's quota, and how much more it needs.

use rules::Quota;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::Time;

/// The time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// The demand that is kept in reserve while the lender has plenty, and otherwise.
const RESERVE: Duration = Duration::from_millis(400);
const SMALL_RESERVE: Duration = Duration::from_millis(200);

/// Below this part of the reserve, more is asked for at once.
const LOW: f64 = 0.3;

/// How many requests a second come, averaged.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    count: f64,
    at: Time,
}

impl Demand {
    pub(crate) fn add(&mut self, now: Time) {
        self.count = self.rate(now) * DEMAND_TIME.as_secs_f64() + 1.0;
        self.at = now;
    }

    pub(crate) fn rate(&self, now: Time) -> f64 {
        let decay = -now.since(self.at).as_secs_f64() / DEMAND_TIME.as_secs_f64();
        self.count * decay.exp() / DEMAND_TIME.as_secs_f64()
    }
}

/// What this node has of one organisation's quota.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) quota: Quota,
    /// Unused tokens by the time at which they expire, the first to expire first.
    pub(crate) lots: VecDeque<(Time, u32)>,
    pub(crate) demand: Demand,
    /// Requests that wait for a token.
    pub(crate) waiting: u32,
    /// Tokens that were asked for and are not answered yet.
    pub(crate) asked: u32,
    pub(crate) has_surplus: bool,
    /// Until then no more is asked for, because there was not enough.
    pub(crate) short_until: Option<Time>,
}

impl Pool {
    pub(crate) fn new(quota: Quota) -> Self {
        Self {
            quota,
            lots: VecDeque::new(),
            demand: Demand::default(),
            waiting: 0,
            asked: 0,
            has_surplus: false,
            short_until: None,
        }
    }

    pub(crate) fn drop_expired(&mut self, now: Time) {
        while self
            .lots
            .front()
            .is_some_and(|(expires, _)| *expires <= now)
        {
            self.lots.pop_front();
        }
    }

    pub(crate) fn held(&self) -> u32 {
        self.lots.iter().map(|(_, tokens)| tokens).sum()
    }

    pub(crate) fn take(&mut self, now: Time) -> Option<Time> {
        self.drop_expired(now);
        let (expires, tokens) = self.lots.front_mut()?;
        let expires = *expires;
        *tokens -= 1;
        if *tokens == 0 {
            self.lots.pop_front();
        }
        Some(expires)
    }

    pub(crate) fn put(&mut self, expires: Time, tokens: u32) {
        if tokens == 0 {
            return;
        }
        let at = self.lots.partition_point(|(other, _)| *other <= expires);
        self.lots.insert(at, (expires, tokens));
    }

    pub(crate) fn is_short(&self, now: Time) -> bool {
        self.short_until.is_some_and(|until| now < until)
    }

    pub(crate) fn reserve(&self, now: Time) -> u32 {
        let rate = self.demand.rate(now);
        let time = match self.has_surplus {
            true => RESERVE,
            false => SMALL_RESERVE,
        };
        (rate * time.as_secs_f64()) as u32
    }

    /// How many tokens to ask for.
    pub(crate) fn wanted(&mut self, now: Time) -> u32 {
        if self.is_short(now) {
            return 0;
        }
        self.drop_expired(now);
        let needed = self.waiting + self.reserve(now);
        needed.saturating_sub(self.held() + self.asked)
    }

    /// Whether the question cannot wait for the next vote.
    pub(crate) fn is_urgent(&self, now: Time) -> bool {
        if self.is_short(now) {
            return false;
        }
        let held = self.held() + self.asked;
        let reserve = self.reserve(now);
        held < self.waiting || (reserve > 1 && f64::from(held) < f64::from(reserve) * LOW)
    }
}
