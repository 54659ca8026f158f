//! Simulated callers: an open-loop load with four lookups for each order. Most callers retry
//! shortly after a failure even if the response asks for a longer delay.

use crate::graph::LOOKUP;
use crate::graph::ORDER;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use std::time::Duration;
use stdx::Time;
use trial::Action;
use trial::World;

/// The share of orders among the actions.
const ORDER_SHARE: f64 = 0.2;

/// How long a caller waits for the response to an attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// How many times a caller sends an action again.
const MAX_RESENDS: u32 = 3;

/// The share of callers that ignore the delay that a response asks for, and retry after a short one
/// of their own. The others wait as long as the response asks.
const SHARE_IGNORING_RETRY_AFTER: f64 = 0.7;

/// Generates the actions of the callers.
pub struct LoadGenerator {
    rng: StdRng,
    last_id: u64,
}

impl LoadGenerator {
    /// A generator whose actions are determined by the seed.
    pub fn new(seed: u64) -> Self {
        // The constant makes the random numbers differ from those of the world, which uses the same
        // seed.
        Self {
            rng: StdRng::seed_from_u64(seed ^ 0x6c6f_6164),
            last_id: 0,
        }
    }

    /// Sends actions at an average rate of `per_second` for the given time, and advances the world
    /// by that time.
    pub fn run(&mut self, world: &mut World, per_second: f64, duration: Duration) {
        let end = world.now + duration;
        let mut at = world.now;
        while at < end {
            let step = Duration::from_secs(1).min(at.until(end));
            self.schedule_arrivals(world, at, at + step, per_second);
            at = at + step;
            world.run_until(at);
        }
    }

    /// Schedules Poisson arrivals between two times.
    fn schedule_arrivals(&mut self, world: &mut World, from: Time, to: Time, per_second: f64) {
        let mut at = from;
        loop {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / per_second;
            at = at + Duration::from_secs_f64(gap);
            if at >= to {
                return;
            }
            let action = self.next_action();
            world.submit(at, action, None);
        }
    }

    fn next_action(&mut self) -> Action {
        self.last_id += 1;
        let is_order = self.rng.random_bool(ORDER_SHARE);
        let operation = if is_order { ORDER } else { LOOKUP };
        let mut action = Action::new(operation, &format!("a{}", self.last_id));
        action.caller = format!("shop{}", self.last_id).into();
        action.attempt_timeout = ATTEMPT_TIMEOUT;
        action.max_resends = MAX_RESENDS;
        let resend_delay = Duration::from_millis(self.rng.random_range(50..300));
        action.resend_delay = self
            .rng
            .random_bool(SHARE_IGNORING_RETRY_AFTER)
            .then_some(resend_delay);
        action
    }
}
