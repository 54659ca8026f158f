//! How much of its work a server fails by itself.

use crate::WorkOutcome;
use std::time::Duration;
use stdx::Time;

/// A run that ended counts for one part in this many of the share: at 40 runs a second, half of a change
/// is seen after 0.3 s.
const WINDOW: f32 = 16.0;

/// Without news the share halves in this time, so that a server that gets nothing any more is tried
/// again. Long enough that one bad answer out of few does not come and go with each call.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// What a server that fails everything counts as, in thousandths of its limit. Enough to send calls
/// past the distance to another region ([`crate::Proximity`]) where two in five fail, and not for one in
/// ten.
const WEIGHT: f32 = 1500.0;

/// The share of a server's runs that it failed lately.
///
/// A server that refuses or loses part of its work is quick, looks idle by its load, and would draw
/// more and more of it: one bad server of six then fails far more than a sixth of all calls. Counted
/// as load, what it fails keeps calls away from it. With a third of 12 servers that refuse half of
/// their work, calls that fail go from 17% to 4% (`a_third_of_the_servers_refuse_half`).
#[derive(Debug, Default)]
pub(crate) struct Failing {
    share: f32,
    updated: Time,
}

impl Failing {
    /// Takes the end of a run.
    pub(crate) fn hear(&mut self, now: Time, ended: WorkOutcome) {
        let failed = match ended {
            WorkOutcome::Refused | WorkOutcome::Lost | WorkOutcome::Unreachable => 1.0,
            WorkOutcome::Completed { .. } => 0.0,
            // Mostly because a call that it made failed, or nobody waited any more.
            WorkOutcome::Failed | WorkOutcome::Abandoned { .. } => return,
        };
        self.fade(now);
        self.share += (failed - self.share) / WINDOW;
    }

    /// What it counts as, in thousandths of the limit.
    pub(crate) fn load(&self, now: Time) -> u16 {
        (self.faded(now) * WEIGHT) as u16
    }

    /// Another server is at the place.
    pub(crate) fn reset(&mut self) {
        self.share = 0.0;
    }

    fn fade(&mut self, now: Time) {
        self.share = self.faded(now);
        self.updated = now;
    }

    fn faded(&self, now: Time) -> f32 {
        let lives = now.since(self.updated).as_secs_f32() / HALF_LIFE.as_secs_f32();
        self.share * 0.5f32.powf(lives)
    }
}
