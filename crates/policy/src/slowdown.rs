//! How much slower than usual a backend server works.

use proto::Class;
use std::time::Duration;
use stdx::Time;

/// Number of classes, each with a usual own time.
const CLASSES: usize = 5;

/// Weight of a run in the usual time: one in this many, once that many runs have ended. A server
/// with 16 slots that becomes ten times slower takes two minutes until that counts as usual.
const USUAL_WINDOW: f32 = 512.0;

/// Weight of a run in the recent average: one in this many. At 25 runs per second, half of a change
/// is visible after 0.4 s.
const RECENT_WINDOW: f32 = 16.0;

/// Without new runs the recent average moves halfway back to normal in this time, so that a server
/// that receives no more work is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Multiple of the usual time up to which a server does not count as slow. Times rise by a third
/// when nearly all slots are occupied, and the mean of about thirty runs varies by a sixth. With
/// 1.5, random variation alone doubles the traffic between failure domains under light load.
const TOLERATED_RATIO: f32 = 2.0;

/// Load penalty for each multiple of the usual time beyond [`TOLERATED_RATIO`], in thousandths of
/// the limit. Large enough to send calls to another failure domain at 2.5 times the usual time, and
/// to another region at 4 times.
const PENALTY_PER_MULTIPLE: f32 = 300.0;

/// The ratio of recent run times to the usual ones.
///
/// The load of a slow server looks like that of a busy one, so by load alone it is given up to as
/// many concurrent calls as a normal one. With six slow servers, a lookup with eight reads nearly
/// always uses one of them, and at five times the usual time every such lookup is late.
#[derive(Debug)]
pub(crate) struct Slowdown {
    /// Mean own time in seconds, and number of runs up to [`USUAL_WINDOW`], by class.
    usual: [Option<(f32, f32)>; CLASSES],
    /// Moving average of the ratio of own time to the usual time.
    recent: f32,
    updated: Time,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self {
            usual: [None; CLASSES],
            recent: 1.0,
            updated: Time::ZERO,
        }
    }
}

impl Slowdown {
    /// Records a run that kept the server busy for `own_time`.
    pub(crate) fn record(&mut self, now: Time, class: Class, own_time: Duration) {
        let own_time = own_time.as_secs_f32();
        let (mean, runs) = self.usual[class as usize].unwrap_or((own_time, 0.0));
        let runs = (runs + 1.0).min(USUAL_WINDOW);
        self.usual[class as usize] = Some((mean + (own_time - mean) / runs, runs));
        let ratio = own_time / mean.max(1e-6);
        self.recent = self.decayed(now) + (ratio - self.decayed(now)) / RECENT_WINDOW;
        self.updated = now;
    }

    /// The penalty to add to the server's load, in thousandths of its limit.
    pub(crate) fn penalty(&self, now: Time) -> u16 {
        ((self.decayed(now) - TOLERATED_RATIO).max(0.0) * PENALTY_PER_MULTIPLE) as u16
    }

    fn decayed(&self, now: Time) -> f32 {
        let half_lives = now.since(self.updated).as_secs_f32() / HALF_LIFE.as_secs_f32();
        1.0 + (self.recent - 1.0) * 0.5f32.powf(half_lives)
    }
}
