//! Callers: open loop, four lookups to one order, most of whom come back hard.

use crate::graph::LOOKUP;
use crate::graph::ORDER;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use std::time::Duration;
use stdx::Time;
use trial::Action;
use trial::World;

/// The share of orders.
const ORDERS: f64 = 0.2;

/// How long a caller waits for an attempt.
const PATIENCE: Duration = Duration::from_secs(2);

/// Attempts that a caller makes after the first.
const RESENDS: u32 = 3;

/// The share of callers that come back a moment after each failure, whatever they were told. The
/// others come back when they were told to.
const HARD: f64 = 0.7;

/// Makes a world's callers.
pub struct Load {
    rng: StdRng,
    next: u64,
}

impl Load {
    /// Callers of a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed ^ 0x6c6f_6164),
            next: 0,
        }
    }

    /// Has `per_second` actions sent in each second from now on, for a while, and lets that while
    /// pass.
    pub fn run(&mut self, world: &mut World, per_second: f64, time: Duration) {
        let end = world.now + time;
        let mut at = world.now;
        while at < end {
            let step = Duration::from_secs(1).min(at.until(end));
            self.send(world, at, at + step, per_second);
            at = at + step;
            world.run_until(at);
        }
    }

    /// Poisson arrivals.
    fn send(&mut self, world: &mut World, from: Time, to: Time, per_second: f64) {
        let mut at = from;
        loop {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / per_second;
            at = at + Duration::from_secs_f64(gap);
            if at >= to {
                return;
            }
            let action = self.action();
            world.submit(at, action, None);
        }
    }

    fn action(&mut self) -> Action {
        self.next += 1;
        let order = self.rng.random_bool(ORDERS);
        let operation = if order { ORDER } else { LOOKUP };
        let mut action = Action::new(operation, &format!("a{}", self.next));
        action.caller = format!("shop{}", self.next).into();
        action.attempt_timeout = PATIENCE;
        action.max_resends = RESENDS;
        let wait = Duration::from_millis(self.rng.random_range(50..300));
        action.resend_delay = self.rng.random_bool(HARD).then_some(wait);
        action
    }
}
