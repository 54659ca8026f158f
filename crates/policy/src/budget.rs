//! A ratio of extra sends to first sends.

use std::sync::Arc;
use stdx::BoundedMap;
use stdx::Time;

/// Services that have a budget of their own.
const MAX_SERVICES: usize = 1024;

/// What a bucket holds at most, and at its start, unless it is made with other bounds.
const BURST: f64 = 10.0;

/// What comes in a second without any first send, so that somebody who sends little may send again at all.
const PER_SECOND: f64 = 0.5;

/// Re-sends as a share of first sends ("Handling Overload", Site Reliability Engineering).
const RATIO: f64 = 0.1;

/// Re-sends of callers, allowed as a ratio of their first sends ("Handling Overload" in Site Reliability
/// Engineering, 2016). Without it each send that fails makes another one, and the load grows with the
/// failures. What nodes themselves send again is bounded by [`crate::RetryBudget`].
///
/// # Examples
///
/// ```
/// use stdx::Time;
///
/// let mut budget = bilberry_policy::ResendBudget::new();
/// let spent = (0..100).filter(|_| budget.try_withdraw(Time::ZERO)).count();
/// assert_eq!(spent, 10);
/// ```
#[derive(Debug)]
pub struct ResendBudget {
    tokens: f64,
    bounds: BudgetConfig,
    at: Time,
}

/// What a budget has without any first send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetConfig {
    /// What it holds at most, and at its start. Many nodes that each save up a full bucket would
    /// spend them all in the same few seconds, when something fails for all of them.
    pub burst: f64,
    /// What comes in a second, so that somebody who sends little may send again at all.
    pub per_second: f64,
    /// What each first send adds, where budgets are kept by service.
    pub ratio: f64,
}

impl Default for BudgetConfig {
    fn default() -> Self {
        Self {
            burst: BURST,
            per_second: PER_SECOND,
            ratio: RATIO,
        }
    }
}

impl ResendBudget {
    /// A full budget.
    pub fn new() -> Self {
        Self::with_config(BudgetConfig::default())
    }

    /// A full budget with other bounds.
    pub fn with_config(bounds: BudgetConfig) -> Self {
        Self {
            tokens: bounds.burst,
            bounds,
            at: Time::ZERO,
        }
    }

    /// Counts a first send that allows `ratio` of an extra one.
    pub fn deposit(&mut self, ratio: f64) {
        self.tokens = (self.tokens + ratio).min(self.bounds.burst);
    }

    /// Takes one extra send; `false` if there is none.
    pub fn try_withdraw(&mut self, now: Time) -> bool {
        let elapsed = now.since(self.at).as_secs_f64();
        self.at = now;
        let earned = elapsed * self.bounds.per_second;
        self.tokens = (self.tokens + earned).min(self.bounds.burst);
        let may = self.tokens >= 1.0;
        if may {
            self.tokens -= 1.0;
        }
        may
    }
}

impl Default for ResendBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// A budget for each service. With one for all, the many calls of a busy service would pay for
/// retries at a small one, which would get several times what it is asked for when it fails.
///
/// # Examples
///
/// ```
/// use stdx::Time;
///
/// let mut budgets = bilberry_policy::ResendBudgets::new(bilberry_policy::BudgetConfig {
///     burst: 1.0,
///     per_second: 0.0,
///     ratio: 0.1,
/// });
/// let press = "press".into();
/// assert!(budgets.try_withdraw(Time::ZERO, &press));
/// assert!(!budgets.try_withdraw(Time::ZERO, &press));
/// assert!(budgets.try_withdraw(Time::ZERO, &"order".into()));
/// ```
#[derive(Debug)]
pub struct ResendBudgets {
    bounds: BudgetConfig,
    services: BoundedMap<Arc<str>, ResendBudget>,
}

impl ResendBudgets {
    /// Full budgets.
    pub fn new(bounds: BudgetConfig) -> Self {
        Self {
            bounds,
            services: BoundedMap::new(MAX_SERVICES),
        }
    }

    /// Counts a first send to a service, which allows [`BudgetConfig::ratio`] of an extra one.
    pub fn deposit(&mut self, service: &Arc<str>) {
        self.deposit_with_ratio(service, self.bounds.ratio);
    }

    /// Counts a first send to a service that has a ratio of its own.
    pub fn deposit_with_ratio(&mut self, service: &Arc<str>, ratio: f64) {
        self.of(service).deposit(ratio);
    }

    /// Takes one extra send to a service; `false` if there is none.
    pub fn try_withdraw(&mut self, now: Time, service: &Arc<str>) -> bool {
        self.of(service).try_withdraw(now)
    }

    fn of(&mut self, service: &Arc<str>) -> &mut ResendBudget {
        if self.services.get(service).is_none() {
            let budget = ResendBudget::with_config(self.bounds);
            self.services.insert(service.clone(), budget);
        }
        self.services
            .get_mut(service)
            .expect("it was entered just now")
    }
}
