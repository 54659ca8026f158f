//! Smoothing of admission levels reported by other nodes.

use std::time::Duration;
use stdx::Time;

/// Time constant of the moving average over reports. Kept short because levels themselves change
/// slowly, and every hop that relays a level adds this delay again before the entry node learns of
/// it.
const TIME_CONSTANT: Duration = Duration::from_millis(50);

/// A level is kept unchanged for this long without a report, because reports are rare while few
/// calls pass.
const HOLD_TIME: Duration = Duration::from_millis(500);

/// Without further reports the level then falls by one half of the range in this time. Otherwise an
/// instance that receives no calls because of its level would never report again.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// One half of the range of levels.
const HALF_RANGE: f64 = 32_768.0;

/// An admission level that follows the reports received and decays without them.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use stdx::Time;
///
/// let mut level = bilberry_policy::ReportedLevel::new(Time::ZERO);
/// let later = Time::ZERO + Duration::from_secs(1);
/// level.observe(later, 20_000);
/// assert!(level.get(later) > 19_000);
/// assert_eq!(level.get(later + Duration::from_secs(3)), 0);
/// ```
#[derive(Debug)]
pub struct ReportedLevel {
    level: f64,
    updated: Time,
}

impl ReportedLevel {
    /// Level 0, before any report.
    pub fn new(now: Time) -> Self {
        Self {
            level: 0.0,
            updated: now,
        }
    }

    /// Applies a reported level.
    pub fn observe(&mut self, now: Time, level: u16) {
        let reported = f64::from(level);
        // At least 1 ms, so that several reports at the same time each have some weight.
        let elapsed = now.since(self.updated).max(Duration::from_millis(1));
        let kept = (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.level = reported + (self.level - reported) * kept;
        self.updated = now;
    }

    /// Whether a report was received recently.
    pub fn is_fresh(&self, now: Time) -> bool {
        now.since(self.updated) < DECAY_TIME
    }

    /// The current level, decayed if no report was received recently.
    pub fn get(&self, now: Time) -> u16 {
        let silence = now.since(self.updated).saturating_sub(HOLD_TIME);
        let decay = silence.as_secs_f64() / DECAY_TIME.as_secs_f64() * HALF_RANGE;
        (self.level - decay).max(0.0) as u16
    }
}
