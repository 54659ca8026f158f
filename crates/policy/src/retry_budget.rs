//! Per-node retry budgets whose sum stays within a limit for the whole fleet.

use proto::hash64;
use proto::Class;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use stdx::BoundedMap;
use stdx::Time;

/// Number of services with a budget of their own; beyond it the oldest budget is dropped.
const MAX_SERVICES: usize = 1024;

/// Number of slices of the window in which first sends are counted.
const SLICES: u32 = 10;

/// The share of a window's earned retries that may be accumulated. Failures come in bursts, so some
/// accumulation is needed, but accumulated retries add to the load of a failing service in the
/// window in which they are spent.
const MAX_ACCUMULATED: f64 = 0.2;

/// The share of the accumulated retries that is reserved for protected calls. Otherwise, when a
/// service loses more answers than the fleet may retry, orders would fail because lookups used up
/// the retries, although most of those lookups fail anyway.
const PROTECTED_RESERVE: f64 = 0.5;

/// Minimum assumed fleet size. Nodes that have just started know no peers yet, and would each use
/// the share of the whole fleet.
const MIN_FLEET_SIZE: usize = 24;

/// Limits on the retries of a whole fleet at one service ("Handling Overload" in Site Reliability
/// Engineering, 2016). Without limits every failed send causes another one, and the load grows with
/// the failures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRetryLimits {
    /// Retries per first send, in any window.
    pub ratio: f64,
    /// Additional retries in any window, so that calls to a service with little traffic can be
    /// retried at all.
    pub spare: f64,
    /// The length of the window.
    pub window: Duration,
}

impl Default for FleetRetryLimits {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            spare: 240.0,
            window: Duration::from_secs(10),
        }
    }
}

/// A node's share of the fleet's retries, with a separate budget per service. With a shared budget,
/// the calls to a busy service would allow retries at a small one, which would receive several
/// times its usual load when it fails.
///
/// Nodes do not coordinate. Each one spends what its own recent first sends have earned and an
/// equal share of [`FleetRetryLimits::spare`], so that the sum over all nodes stays within the
/// limits of the fleet. A process starts with an empty budget at [`Time::ZERO`], because its
/// predecessor on the same host may have spent everything.
///
/// # Examples
///
/// ```
/// use bilberry_policy::{FleetRetryLimits, RetryBudget};
/// use stdx::Time;
///
/// let mut budget = RetryBudget::new(FleetRetryLimits::default(), 7);
/// let press = "press".into();
/// let mut spent = 0;
/// for _ in 0..120 {
///     budget.record_first_send(Time::ZERO, &press);
///     spent += u32::from(budget.try_withdraw(Time::ZERO, &press, proto::Class::Order, 3));
/// }
/// assert!((9..=11).contains(&spent));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    limits: FleetRetryLimits,
    /// Makes [`rounding_offset`] differ between nodes.
    seed: u64,
    services: BoundedMap<Arc<str>, ServiceBudget>,
}

/// A node's retry budget for one service.
#[derive(Debug)]
struct ServiceBudget {
    /// First sends in the current window, by slice; the newest slice is last.
    first_sends: VecDeque<Slice>,
    /// Retries earned by first sends and not spent yet.
    earned: f64,
    /// Upper bound of `earned`.
    max_earned: f64,
    /// This node's share of the spare retries. Negative after a retry that was granted only because
    /// of [`Self::rounding_offset`].
    spare: f64,
    refilled: Time,
    /// Added to the available retries before they are rounded down; from 0 to 1.
    rounding_offset: f64,
}

/// First sends in one slice of the window.
#[derive(Debug)]
struct Slice {
    number: u64,
    count: u32,
}

impl RetryBudget {
    /// An empty budget. Nodes must use different seeds.
    pub fn new(limits: FleetRetryLimits, seed: u64) -> Self {
        Self {
            limits,
            seed,
            services: BoundedMap::new(MAX_SERVICES),
        }
    }

    /// Counts a first send to a service.
    pub fn record_first_send(&mut self, now: Time, service: &Arc<str>) {
        let limits = self.limits;
        self.budget(service).deposit(now, &limits);
    }

    /// Takes one retry of a call of this class to a service, in a fleet of `nodes` nodes; returns
    /// `false` if none is available.
    pub fn try_withdraw(
        &mut self,
        now: Time,
        service: &Arc<str>,
        class: Class,
        nodes: usize,
    ) -> bool {
        let limits = self.limits;
        let budget = self.budget(service);
        budget.refill(now, &limits, nodes);
        budget.try_withdraw(class)
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut ServiceBudget {
        if self.services.get(service).is_none() {
            let budget = ServiceBudget {
                first_sends: VecDeque::new(),
                earned: 0.0,
                max_earned: 0.0,
                spare: 0.0,
                refilled: Time::ZERO,
                rounding_offset: rounding_offset(self.seed, service),
            };
            self.services.insert(service.clone(), budget);
        }
        self.services
            .get_mut(service)
            .expect("budget was inserted above")
    }
}

impl ServiceBudget {
    fn deposit(&mut self, now: Time, limits: &FleetRetryLimits) {
        let slice = limits.window.as_micros() / u128::from(SLICES);
        let number = (now.since(Time::ZERO).as_micros() / slice.max(1)) as u64;
        if self
            .first_sends
            .back()
            .is_none_or(|last| last.number < number)
        {
            self.first_sends.push_back(Slice { number, count: 0 });
        }
        let oldest = (number + 1).saturating_sub(u64::from(SLICES));
        self.first_sends.retain(|slice| slice.number >= oldest);
        if let Some(last) = self.first_sends.back_mut() {
            last.count += 1;
        }
        let first_sends: u32 = self.first_sends.iter().map(|slice| slice.count).sum();
        // Rounded up, so that a single first send already counts.
        self.max_earned = (f64::from(first_sends) * MAX_ACCUMULATED).ceil() * limits.ratio;
        if self.spare < 0.0 {
            self.spare += limits.ratio;
        } else {
            self.earned = (self.earned + limits.ratio).min(self.max_earned);
        }
    }

    /// Adds this node's share of the spare retries. At most half of it is accumulated and half is
    /// added per window, so that no window gets more than the whole share.
    fn refill(&mut self, now: Time, limits: &FleetRetryLimits, nodes: usize) {
        let half = limits.spare / nodes.max(MIN_FLEET_SIZE) as f64 / 2.0;
        let windows = now.since(self.refilled).as_secs_f64() / limits.window.as_secs_f64();
        self.refilled = now;
        self.spare = (self.spare + half * windows).min(half);
    }

    fn try_withdraw(&mut self, class: Class) -> bool {
        let reserve = match class.is_protected() {
            true => 0.0,
            false => self.max_earned * PROTECTED_RESERVE,
        };
        let available = self.earned + self.spare + self.rounding_offset >= 1.0 + reserve;
        if available {
            let from_earned = self.earned.min(1.0);
            self.earned -= from_earned;
            self.spare -= 1.0 - from_earned;
        }
        available
    }
}

/// What a node adds to its available retries before rounding down, distributed evenly over nodes
/// and services. In a large fleet the shares are smaller than one retry: rounded down on every
/// node, the fleet would not retry at all.
fn rounding_offset(seed: u64, service: &str) -> f64 {
    let hash = hash64(&(seed, service)) >> 11;
    hash as f64 / (1u64 << 53) as f64
}
