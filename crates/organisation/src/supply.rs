//! The rate at which a node gets tokens of an organisation while the lender is short of them.

use crate::decay::DecayingCount;
use std::time::Duration;
use stdx::Time;

/// Time constant of the average.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// A shortage is observed for this long before the rate is estimated. Borrowers ask again after at
/// most 250 ms, so a shorter time would contain a single answer.
const MIN_OBSERVATION: Duration = Duration::from_millis(400);

/// A shortage has ended if no answer has confirmed it for this long.
const SHORTAGE_TTL: Duration = Duration::from_secs(1);

/// Tokens added to the count, so that a node that has got none in a short time does not conclude
/// that it will never get any.
const PRIOR_TOKENS: f64 = 0.5;

/// Tokens received since the shortage began.
#[derive(Debug)]
pub(crate) struct Supply {
    short_since: Option<Time>,
    confirmed_at: Time,
    received: DecayingCount,
}

impl Supply {
    pub(crate) fn new() -> Self {
        Self {
            short_since: None,
            confirmed_at: Time::ZERO,
            received: DecayingCount::new(TIME_CONSTANT),
        }
    }

    /// Records a lender's answer. The first answer of a shortage is not counted, because its
    /// tokens were added to the lender's bucket before the shortage.
    pub(crate) fn record(&mut self, now: Time, tokens: u16, is_short: bool) {
        if !is_short {
            self.short_since = None;
        } else if self.is_short(now) {
            self.confirmed_at = now;
            self.received.add(now, tokens.into());
        } else {
            self.short_since = Some(now);
            self.confirmed_at = now;
            self.received.reset();
        }
    }

    pub(crate) fn is_short(&self, now: Time) -> bool {
        self.short_since.is_some() && now.since(self.confirmed_at) < SHORTAGE_TTL
    }

    /// Tokens per second, estimated favourably; `None` if the lender is not short, or not yet for
    /// long enough.
    pub(crate) fn rate(&self, now: Time) -> Option<f64> {
        Some(self.proven_rate(now)? + PRIOR_TOKENS / self.weight(now)?)
    }

    /// Tokens per second that the node has got recently; `None` as for [`Supply::rate`].
    pub(crate) fn proven_rate(&self, now: Time) -> Option<f64> {
        Some(self.received.get(now) / self.weight(now)?)
    }

    /// The time over which tokens were counted, in seconds.
    fn weight(&self, now: Time) -> Option<f64> {
        let since = self.short_since.filter(|_| self.is_short(now))?;
        let observed = now.since(since);
        if observed < MIN_OBSERVATION {
            return None;
        }
        let time_constant = TIME_CONSTANT.as_secs_f64();
        Some(time_constant * (1.0 - (-observed.as_secs_f64() / time_constant).exp()))
    }
}
