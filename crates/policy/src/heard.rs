//! Admission levels that others reported.

use std::time::Duration;
use stdx::Time;

/// How quickly a report is believed. Levels themselves change slowly, and each hop that they are
/// heard over adds as much again to the time after which an entry knows.
const PACE: Duration = Duration::from_millis(50);

/// Without news for this long a level is still believed whole: while few calls pass, news is rare.
const FRESH: Duration = Duration::from_millis(500);

/// A level that nobody speaks of any more then falls by the whole of one half of the range in this
/// time. Otherwise an instance to which nothing goes because of its level would never be heard of
/// again.
const FORGET: Duration = Duration::from_secs(2);

/// One half of the range of levels.
const HALF: f64 = 32_768.0;

/// A level that is heard of again and again: it follows what is heard, and fades without news.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use stdx::Time;
///
/// let mut heard = bilberry_policy::ReportedLevel::new(Time::ZERO);
/// let later = Time::ZERO + Duration::from_secs(1);
/// heard.observe(later, 20_000);
/// assert!(heard.get(later) > 19_000);
/// assert_eq!(heard.get(later + Duration::from_secs(3)), 0);
/// ```
#[derive(Debug)]
pub struct ReportedLevel {
    level: f64,
    at: Time,
}

impl ReportedLevel {
    /// Nothing was heard yet.
    pub fn new(now: Time) -> Self {
        Self {
            level: 0.0,
            at: now,
        }
    }

    /// Takes a report.
    pub fn observe(&mut self, now: Time, level: u16) {
        let reported = f64::from(level);
        // Reports in the same instant count as well, though little.
        let elapsed = now.since(self.at).max(Duration::from_millis(1));
        let kept = (-elapsed.as_secs_f64() / PACE.as_secs_f64()).exp();
        self.level = reported + (self.level - reported) * kept;
        self.at = now;
    }

    /// Whether there was any word of late.
    pub fn is_fresh(&self, now: Time) -> bool {
        now.since(self.at) < FORGET
    }

    /// The level as far as it is still believed.
    pub fn get(&self, now: Time) -> u16 {
        let quiet = now.since(self.at).saturating_sub(FRESH);
        let faded = quiet.as_secs_f64() / FORGET.as_secs_f64() * HALF;
        (self.level - faded).max(0.0) as u16
    }
}
