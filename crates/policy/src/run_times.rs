//! Estimation of the time after which a run counts as late.

use crate::work::Estimate;
use std::time::Duration;

/// Number of runs that must have been recorded before any run counts as late.
const MIN_SAMPLES: u32 = 16;

/// Number of mean deviations above the mean after which a run is late. Runs of typical reads hardly
/// ever exceed this threshold.
const THRESHOLD_DEVIATIONS: u32 = 6;

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
}

impl RunTimes {
    /// Records the duration of a run.
    pub fn record(&mut self, elapsed: Duration) {
        self.estimate.record(elapsed);
        self.samples = self.samples.saturating_add(1);
    }

    /// The time after which a run is late; `None` while too few runs have been recorded.
    pub fn late_threshold(&self) -> Option<Duration> {
        let (mean, deviation) = self.estimate.0.filter(|_| self.samples >= MIN_SAMPLES)?;
        let by_deviation = mean + deviation * f64::from(THRESHOLD_DEVIATIONS);
        let by_mean = mean * f64::from(MIN_MULTIPLE);
        Some(Duration::from_secs_f64(by_deviation.max(by_mean)))
    }
}
