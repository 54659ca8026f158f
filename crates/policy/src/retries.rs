//! What a node may try again, as its part of what the whole fleet may.

use proto::hash64;
use proto::Class;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use stdx::BoundedMap;
use stdx::Time;

/// Services that are counted for themselves.
const MAX_SERVICES: usize = 1024;

/// Parts of the window in which first sends are counted.
const SLICES: u32 = 10;

/// What the first sends of this part of the window allow may be in hand. Failures come in bunches; but
/// what is saved up comes on top of what a failing service is asked for in the window in which it is
/// spent.
const SAVED: f64 = 0.2;

/// The part of what may be in hand that lookups leave to protected calls. A service that loses more
/// answers than the fleet may ask for again would else fail orders for the sake of lookups, most of which
/// fail all the same.
const FOR_PROTECTED: f64 = 0.5;

/// Nodes that a fleet is taken to have at least. Nodes that have just started know nobody yet, and would
/// each take the whole fleet's part.
const LEAST_FLEET: usize = 24;

/// What a whole fleet may try again at a service ("Handling Overload" in Site Reliability Engineering,
/// 2016). Without it each send that fails makes another one, and the load grows with the failures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRetryLimits {
    /// RetryBudget for each first send, in any window.
    pub ratio: f64,
    /// RetryBudget in any window beyond that, so that a quiet service may be asked again at all.
    pub spare: f64,
    /// The span over which they are counted.
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

/// A node's part of the fleet's retries. Each service is counted for itself: otherwise the many calls of
/// a busy service would pay for retries at a small one, which would get several times what it is asked
/// for when it fails.
///
/// Nodes do not ask each other. Each spends what its own first sends have earned lately, and an equal
/// part of the spare, so that the sum over the nodes is what the fleet may. A process begins with
/// nothing, at [`Time::ZERO`]: the one before it at the same place may have spent all.
///
/// # Examples
///
/// ```
/// use bilberry_policy::{FleetRetryLimits, RetryBudget};
/// use stdx::Time;
///
/// let mut retries = RetryBudget::new(FleetRetryLimits::default(), 7);
/// let press = "press".into();
/// let mut spent = 0;
/// for _ in 0..120 {
///     retries.record_first_send(Time::ZERO, &press);
///     spent += u32::from(retries.try_withdraw(Time::ZERO, &press, proto::Class::Order, 3));
/// }
/// assert!((9..=11).contains(&spent));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    fleet: FleetRetryLimits,
    /// Decides where this node rounds.
    seed: u64,
    services: BoundedMap<Arc<str>, ServiceBudget>,
}

/// What a node may try again at one service.
#[derive(Debug)]
struct ServiceBudget {
    /// First sends of late, by part of the window; the newest stands last.
    sent: VecDeque<Slice>,
    /// Earned by first sends.
    earned: f64,
    /// The most of that which may be in hand.
    saved: f64,
    /// Of the spare; below 0 by what rounding up has spent ahead.
    spare: f64,
    refilled: Time,
    /// Added before rounding down, from 0 to 1.
    rounding: f64,
}

/// First sends in one part of the window.
#[derive(Debug)]
struct Slice {
    number: u64,
    sent: u32,
}

impl RetryBudget {
    /// Nothing earned yet.
    pub fn new(fleet: FleetRetryLimits, seed: u64) -> Self {
        Self {
            fleet,
            seed,
            services: BoundedMap::new(MAX_SERVICES),
        }
    }

    /// Counts a first send to a service.
    pub fn record_first_send(&mut self, now: Time, service: &Arc<str>) {
        let fleet = self.fleet;
        self.budget(service).earn(now, &fleet);
    }

    /// Takes one retry of a call of this class at a service, of a fleet of so many nodes; `false` if there
    /// is none.
    pub fn try_withdraw(
        &mut self,
        now: Time,
        service: &Arc<str>,
        class: Class,
        nodes: usize,
    ) -> bool {
        let fleet = self.fleet;
        let budget = self.budget(service);
        budget.refill(now, &fleet, nodes);
        budget.spend(class)
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut ServiceBudget {
        if self.services.get(service).is_none() {
            let budget = ServiceBudget {
                sent: VecDeque::new(),
                earned: 0.0,
                saved: 0.0,
                spare: 0.0,
                refilled: Time::ZERO,
                rounding: rounding(self.seed, service),
            };
            self.services.insert(service.clone(), budget);
        }
        self.services
            .get_mut(service)
            .expect("it was entered just now")
    }
}

impl ServiceBudget {
    fn earn(&mut self, now: Time, fleet: &FleetRetryLimits) {
        let slice = fleet.window.as_micros() / u128::from(SLICES);
        let number = (now.since(Time::ZERO).as_micros() / slice.max(1)) as u64;
        if self.sent.back().is_none_or(|last| last.number < number) {
            self.sent.push_back(Slice { number, sent: 0 });
        }
        let oldest = (number + 1).saturating_sub(u64::from(SLICES));
        self.sent.retain(|slice| slice.number >= oldest);
        if let Some(last) = self.sent.back_mut() {
            last.sent += 1;
        }
        let sent: u32 = self.sent.iter().map(|slice| slice.sent).sum();
        // Rounded up, so that the first send of all counts.
        self.saved = (f64::from(sent) * SAVED).ceil() * fleet.ratio;
        if self.spare < 0.0 {
            self.spare += fleet.ratio;
        } else {
            self.earned = (self.earned + fleet.ratio).min(self.saved);
        }
    }

    /// Half of the spare may be in hand and half comes within a window, so that no window has more than
    /// the whole.
    fn refill(&mut self, now: Time, fleet: &FleetRetryLimits, nodes: usize) {
        let half = fleet.spare / nodes.max(LEAST_FLEET) as f64 / 2.0;
        let windows = now.since(self.refilled).as_secs_f64() / fleet.window.as_secs_f64();
        self.refilled = now;
        self.spare = (self.spare + half * windows).min(half);
    }

    fn spend(&mut self, class: Class) -> bool {
        let left = match class.is_protected() {
            true => 0.0,
            false => self.saved * FOR_PROTECTED,
        };
        let may = self.earned + self.spare + self.rounding >= 1.0 + left;
        if may {
            let of_earned = self.earned.min(1.0);
            self.earned -= of_earned;
            self.spare -= 1.0 - of_earned;
        }
        may
    }
}

/// What a node adds before it rounds down, spread evenly over nodes and services. In a large fleet the
/// parts are smaller than one retry: rounded down everywhere, the fleet would try nothing again.
fn rounding(seed: u64, service: &str) -> f64 {
    let place = hash64(&(seed, service)) >> 11;
    place as f64 / (1u64 << 53) as f64
}
