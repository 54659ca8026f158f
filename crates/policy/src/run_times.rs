//! Estimation of the time after which a run counts as late.

use crate::work::Estimate;
use std::time::Duration;

/// Number of runs that must have been recorded before any run counts as late.
const MIN_SAMPLES: u32 = 16;

/// Number of mean deviations above the mean after which a run is late. Runs of typical reads hardly
/// ever exceed this threshold.
const THRESHOLD_DEVIATIONS: u32 = 6;

/// Weight of a run in the high quantile, if it took longer and if it took less. Eight times as much
/// weight above as below makes it a high quantile (an expectile of 8/9).
const LONGER_RUN_WEIGHT: f64 = 1.0 / 4.0;
const SHORTER_RUN_WEIGHT: f64 = 1.0 / 32.0;

/// Weight of a run that exceeds the high quantile by [`CHANGE_RATIO`]. After a server has become
/// three times slower, the quantile covers four fifths of the change after three runs, so it
/// follows within a second also on a server that ends a few runs of the operation per second.
const CHANGE_WEIGHT: f64 = 1.0 / 2.0;

/// Ratio to the high quantile from which a run is a sign of a slower server.
const CHANGE_RATIO: f64 = 1.25;

/// A run counts as at most this multiple of the high quantile, so that a single run that hangs does
/// not determine it.
const MAX_RATIO: f64 = 4.0;

/// Lower bound of the threshold, as a multiple of the mean.
const MIN_MULTIPLE: u32 = 3;

/// The mean and the mean deviation of an operation's run times, and the threshold derived from them
/// after which a run counts as late. A late read may be sent to a second instance.
///
/// A server that runs a read and loses the answer stays silent until the read's deadline, when it
/// is too late to read from another instance. If a lookup makes eight reads, one such read wastes
/// the work of all of them.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let mut times = bilberry_policy::RunTimes::default();
/// assert_eq!(times.late_threshold(), None);
/// for _ in 0..100 {
///     times.record(Duration::from_millis(50));
/// }
/// assert!(times.late_threshold().unwrap() >= Duration::from_millis(150));
/// ```
#[derive(Debug, Default, Clone, Copy)]
pub struct RunTimes {
    estimate: Estimate,
    samples: u32,
    /// The high quantile in seconds; 0 before the first run.
    high: f64,
}

impl RunTimes {
    /// Records the duration of a run.
    pub fn record(&mut self, elapsed: Duration) {
        self.estimate.record(elapsed);
        self.record_high(elapsed.as_secs_f64());
        self.samples = self.samples.saturating_add(1);
    }

    fn record_high(&mut self, elapsed: f64) {
        if self.samples == 0 {
            self.high = elapsed;
        }
        let weight = match elapsed {
            elapsed if elapsed > self.high * CHANGE_RATIO => CHANGE_WEIGHT,
            elapsed if elapsed > self.high => LONGER_RUN_WEIGHT,
            _ => SHORTER_RUN_WEIGHT,
        };
        self.high += (elapsed.min(self.high * MAX_RATIO) - self.high) * weight;
    }

    /// A duration that few runs exceed; `None` while too few runs have been recorded. It follows an
    /// increase much faster than a decrease.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut times = bilberry_policy::RunTimes::default();
    /// for _ in 0..200 {
    ///     times.record(Duration::from_millis(50));
    /// }
    /// let high = times.high_quantile().unwrap();
    /// assert!(high >= Duration::from_millis(50) && high < Duration::from_millis(60));
    /// ```
    pub fn high_quantile(&self) -> Option<Duration> {
        let is_known = self.samples >= MIN_SAMPLES;
        is_known.then(|| Duration::from_secs_f64(self.high.clamp(0.0, 3600.0)))
    }

    /// The time after which a run is late; `None` while too few runs have been recorded.
    pub fn late_threshold(&self) -> Option<Duration> {
        let (mean, deviation) = self.estimate.0.filter(|_| self.samples >= MIN_SAMPLES)?;
        let by_deviation = mean + deviation * f64::from(THRESHOLD_DEVIATIONS);
        let by_mean = mean * f64::from(MIN_MULTIPLE);
        Some(Duration::from_secs_f64(by_deviation.max(by_mean)))
    }
}
