//! A ratio of extra sends to first sends.

use stdx::Time;

/// What a bucket holds at most, and at its start, unless it is made with another bound.
const BURST: f64 = 10.0;

/// What comes in a second without any first send, so that a quiet node may retry at all.
const PER_SECOND: f64 = 0.5;

/// Extra sends allowed as a ratio of first sends: retries of a node, or re-sends of callers
/// ("Handling Overload" in Site Reliability Engineering, 2016). Without it each send that fails
/// makes another one, and the load grows with the failures.
///
/// # Examples
///
/// ```
/// use stdx::Time;
///
/// let mut budget = bilberry_policy::Budget::new();
/// let spent = (0..100).filter(|_| budget.spend(Time::ZERO)).count();
/// assert_eq!(spent, 10);
/// ```
#[derive(Debug)]
pub struct Budget {
    tokens: f64,
    burst: f64,
    at: Time,
}

impl Budget {
    /// A full budget.
    pub fn new() -> Self {
        Self::with_burst(BURST)
    }

    /// A full budget that holds at most `burst` extra sends. Many nodes that each save up a full
    /// bucket would spend them all in the same few seconds, when something fails for all of them.
    pub fn with_burst(burst: f64) -> Self {
        Self {
            tokens: burst,
            burst,
            at: Time::ZERO,
        }
    }

    /// Counts a first send that allows `ratio` of an extra one.
    pub fn earn(&mut self, ratio: f64) {
        self.tokens = (self.tokens + ratio).min(self.burst);
    }

    /// Takes one extra send; `false` if there is none.
    pub fn spend(&mut self, now: Time) -> bool {
        let elapsed = now.since(self.at).as_secs_f64();
        self.at = now;
        self.tokens = (self.tokens + elapsed * PER_SECOND).min(self.burst);
        let may = self.tokens >= 1.0;
        if may {
            self.tokens -= 1.0;
        }
        may
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}
