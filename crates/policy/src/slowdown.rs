//! How much slower a server works than it usually does.

use proto::Class;
use std::time::Duration;
use stdx::Time;

/// The classes, each with a usual time of its own.
const CLASSES: usize = 5;

/// A run counts for one part in this many of what is usual, once so many have ended. A server of 16
/// slots that turns ten times slower takes two minutes to make that usual.
const USUAL: f32 = 512.0;

/// A run counts for one part in this many of the present pace: at 25 runs a second, a change is half
/// seen after 0.4 s.
const RECENT: f32 = 16.0;

/// Without news half of what is known is forgotten in this time, so that a server that gets nothing
/// any more is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Up to this multiple of the usual time a server is not slow: times rise by a third when nearly all
/// slots are taken, and the mean of some thirty runs varies by a sixth. With one and a half, chance alone
/// doubled the bytes between domains on calm days.
const TOLERATED: f32 = 2.0;

/// What each multiple of the usual time beyond [`TOLERATED`] counts as, in thousandths of the limit.
/// Enough to send calls to the next failure domain at two and a half times the usual time, and to the
/// next region at four times.
const WEIGHT: f32 = 300.0;

/// The share of the usual time that runs take lately.
///
/// A slow server's slots fill as those of a busy one do, so by its load alone it is given up to
/// as many calls at a time as a good one, and a lookup that reads eight times meets one of six slow
/// servers nearly always. At five times the usual time each such lookup is late.
#[derive(Debug)]
pub(crate) struct Pace {
    usual: [Option<(f32, f32)>; CLASSES],
    recent: f32,
    updated: Time,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            usual: [None; CLASSES],
            recent: 1.0,
            updated: Time::ZERO,
        }
    }
}

impl Pace {
    /// Takes a run that kept the server busy for `own`.
    pub(crate) fn hear(&mut self, now: Time, class: Class, own: Duration) {
        let own = own.as_secs_f32();
        let (mean, runs) = self.usual[class as usize].unwrap_or((own, 0.0));
        let runs = (runs + 1.0).min(USUAL);
        self.usual[class as usize] = Some((mean + (own - mean) / runs, runs));
        let pace = own / mean.max(1e-6);
        self.recent = self.faded(now) + (pace - self.faded(now)) / RECENT;
        self.updated = now;
    }

    /// What it counts as, in thousandths of the limit.
    pub(crate) fn load(&self, now: Time) -> u16 {
        ((self.faded(now) - TOLERATED).max(0.0) * WEIGHT) as u16
    }

    fn faded(&self, now: Time) -> f32 {
        let lives = now.since(self.updated).as_secs_f32() / HALF_LIFE.as_secs_f32();
        1.0 + (self.recent - 1.0) * 0.5f32.powf(lives)
    }
}
