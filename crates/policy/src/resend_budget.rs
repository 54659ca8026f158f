//! Token buckets that limit re-sends to a ratio of first sends.

use std::sync::Arc;
use stdx::BoundedMap;
use stdx::Time;

/// Number of services with a budget of their own; beyond it the oldest budget is dropped.
const MAX_SERVICES: usize = 1024;

/// Default capacity of a bucket, which is also its initial fill.
const DEFAULT_BURST: f64 = 10.0;

/// Default refill per second without any first send, so that a caller with little traffic can
/// re-send at all.
const DEFAULT_PER_SECOND: f64 = 0.5;

/// Default ratio of re-sends to first sends ("Handling Overload", Site Reliability Engineering).
const DEFAULT_RATIO: f64 = 0.1;

/// Limits the re-sends of callers to a ratio of their first sends ("Handling Overload" in Site
/// Reliability Engineering, 2016). Without a limit every failed send causes another one, and the
/// load grows with the failures. Retries made by the nodes themselves are limited by
/// [`crate::RetryBudget`].
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
    config: BudgetConfig,
    refilled_at: Time,
}

/// Parameters of a [`ResendBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetConfig {
    /// Capacity of the bucket, which is also its initial fill. If it is large, many nodes with full
    /// buckets all spend them within the same few seconds when a failure affects all of them.
    pub burst: f64,
    /// Tokens added per second, so that a caller with little traffic can re-send at all.
    pub per_second: f64,
    /// Tokens added by each first send, where budgets are kept by service.
    pub ratio: f64,
}

impl Default for BudgetConfig {
    fn default() -> Self {
        Self {
            burst: DEFAULT_BURST,
            per_second: DEFAULT_PER_SECOND,
            ratio: DEFAULT_RATIO,
        }
    }
}

impl ResendBudget {
    /// A full budget with the default parameters.
    pub fn new() -> Self {
        Self::with_config(BudgetConfig::default())
    }

    /// A full budget with the given parameters.
    pub fn with_config(config: BudgetConfig) -> Self {
        Self {
            tokens: config.burst,
            config,
            refilled_at: Time::ZERO,
        }
    }

    /// Adds `ratio` tokens for a first send.
    pub fn deposit(&mut self, ratio: f64) {
        self.tokens = (self.tokens + ratio).min(self.config.burst);
    }

    /// Takes the token for one re-send; returns `false` if there is none.
    pub fn try_withdraw(&mut self, now: Time) -> bool {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let refill = elapsed * self.config.per_second;
        self.tokens = (self.tokens + refill).min(self.config.burst);
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

impl Default for ResendBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// One [`ResendBudget`] per service. With a shared budget, the calls to a busy service would allow
/// re-sends to a small one, which would receive several times its usual load when it fails.
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
    config: BudgetConfig,
    services: BoundedMap<Arc<str>, ResendBudget>,
}

impl ResendBudgets {
    /// A full budget with the given parameters for every service.
    pub fn new(config: BudgetConfig) -> Self {
        Self {
            config,
            services: BoundedMap::new(MAX_SERVICES),
        }
    }

    /// Adds [`BudgetConfig::ratio`] tokens for a first send to a service.
    pub fn deposit(&mut self, service: &Arc<str>) {
        self.deposit_with_ratio(service, self.config.ratio);
    }

    /// Adds `ratio` tokens for a first send to a service that has a ratio of its own.
    pub fn deposit_with_ratio(&mut self, service: &Arc<str>, ratio: f64) {
        self.budget(service).deposit(ratio);
    }

    /// Takes the token for one re-send to a service; returns `false` if there is none.
    pub fn try_withdraw(&mut self, now: Time, service: &Arc<str>) -> bool {
        self.budget(service).try_withdraw(now)
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut ResendBudget {
        if self.services.get(service).is_none() {
            let budget = ResendBudget::with_config(self.config);
            self.services.insert(service.clone(), budget);
        }
        self.services
            .get_mut(service)
            .expect("budget was inserted above")
    }
}
