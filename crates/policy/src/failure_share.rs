//! The share of its recent work that a backend server failed by itself.

use crate::WorkOutcome;
use std::time::Duration;
use stdx::Time;

/// Each finished run has a weight of one in this many in the moving average: at 40 runs per second,
/// half of a change is visible after 0.3 s.
const SMOOTHING_WINDOW: f32 = 16.0;

/// Without new results the share halves in this time, so that a server that receives no more work
/// is tried again. Long enough that one failure among few runs does not make the share rise and
/// fall with every call.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// The load penalty of a server that fails everything, in thousandths of its limit. Large enough to
/// outweigh the cost of crossing to another region ([`crate::Proximity`]) when two in five runs
/// fail, but not when one in ten does.
const FULL_PENALTY: f32 = 1500.0;

/// Moving average of the share of a server's runs that it failed.
///
/// A server that refuses or loses part of its work answers quickly, looks idle by its load, and
/// would attract more and more calls: one bad server of six then fails far more than a sixth of all
/// calls. Counting failures as load keeps calls away from it; the test
/// `a_third_of_the_servers_refuse_half` compares the two.
#[derive(Debug, Default)]
pub(crate) struct FailureShare {
    share: f32,
    updated: Time,
}

impl FailureShare {
    /// Records the outcome of a run.
    pub(crate) fn record(&mut self, now: Time, outcome: WorkOutcome) {
        let failed = match outcome {
            WorkOutcome::Refused | WorkOutcome::Lost | WorkOutcome::Unreachable => 1.0,
            WorkOutcome::Completed { .. } => 0.0,
            // Mostly caused by a failed child call or by a caller that gave up, not by the server.
            WorkOutcome::Failed | WorkOutcome::Abandoned { .. } => return,
        };
        self.decay(now);
        self.share += (failed - self.share) / SMOOTHING_WINDOW;
    }

    /// The penalty to add to the server's load, in thousandths of its limit.
    pub(crate) fn penalty(&self, now: Time) -> u16 {
        (self.decayed(now) * FULL_PENALTY) as u16
    }

    /// Forgets all outcomes, because another server process has taken over.
    pub(crate) fn reset(&mut self) {
        self.share = 0.0;
    }

    fn decay(&mut self, now: Time) {
        self.share = self.decayed(now);
        self.updated = now;
    }

    fn decayed(&self, now: Time) -> f32 {
        let half_lives = now.since(self.updated).as_secs_f32() / HALF_LIFE.as_secs_f32();
        self.share * 0.5f32.powf(half_lives)
    }
}
