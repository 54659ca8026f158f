//! When a run is late by what is usual.

use crate::work::Estimate;
use std::time::Duration;

/// Runs that have to be known before any is taken for late.
const LEAST_KNOWN: u32 = 16;

/// Mean deviations above the mean after which a run is late. Of times that vary as those of reads do,
/// hardly any takes longer.
const DEVIATIONS: u32 = 6;

/// The least multiple of the mean.
const LEAST_MULTIPLE: u32 = 3;

/// How long runs of an operation take on one server.
///
/// A server that has run a read and loses the answer is silent until the read's deadline, and then it is
/// too late to read elsewhere: one such read of eight loses the work of all.
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
    took: Estimate,
    known: u32,
}

impl RunTimes {
    /// A run took this long.
    pub fn record(&mut self, took: Duration) {
        self.took.record(took);
        self.known = self.known.saturating_add(1);
    }

    /// After how long a run is late; `None` while too few are known.
    pub fn late_threshold(&self) -> Option<Duration> {
        let (mean, deviation) = self.took.0.filter(|_| self.known >= LEAST_KNOWN)?;
        let late = mean + deviation * f64::from(DEVIATIONS);
        let least = mean * f64::from(LEAST_MULTIPLE);
        Some(Duration::from_secs_f64(late.max(least)))
    }
}
