//! How far the estimated run time of a class may be relied on to refuse work.

use crate::work::Estimate;
use std::time::Duration;
use stdx::Time;

/// How long the estimate is relied on after a run has ended, if none is in progress. It is the
/// shortest retry delay, so a refused caller that comes back does not meet the same old estimate.
const MAX_AGE: Duration = Duration::from_millis(500);

/// How long a run in progress counts as a measurement. One that hangs must not prevent others.
const MAX_MEASUREMENT: Duration = Duration::from_secs(10);

/// A run that takes less than this share of a quick run contradicts the estimate.
const CONTRADICTION_SHARE: f64 = 0.5;

/// Weight of a run that contradicts the estimate. Two such runs correct it to a quarter.
const CONTRADICTION_WEIGHT: f64 = 1.0 / 2.0;

/// Weight of any other run, as in [`Estimate`].
const WEIGHT: f64 = 1.0 / 32.0;

/// Recent runs of a class. Work that is refused because it would end too late is never measured, so
/// an estimate that is wrong would stay so. It is relied on only while it is being measured.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct RecentRuns {
    in_progress: u16,
    last_start: Time,
    last_end: Time,
    /// The run time in seconds. It follows runs that contradict the estimate at once.
    run_time: Option<f64>,
}

impl RecentRuns {
    pub(super) fn on_start(&mut self, now: Time) {
        self.in_progress += 1;
        self.last_start = now;
    }

    pub(super) fn on_end(&mut self, now: Time) {
        self.in_progress = self.in_progress.saturating_sub(1);
        self.last_end = now;
    }

    /// Records the duration of a run, before it is recorded in the estimate.
    pub(super) fn record(&mut self, estimate: Estimate, elapsed: Duration) {
        let is_contradiction = elapsed < self.quick_run(estimate).mul_f64(CONTRADICTION_SHARE);
        let weight = match is_contradiction {
            true => CONTRADICTION_WEIGHT,
            false => WEIGHT,
        };
        let elapsed = elapsed.as_secs_f64();
        let run_time = self.run_time.unwrap_or(elapsed);
        self.run_time = Some(run_time + (elapsed - run_time) * weight);
    }

    /// The duration that even a quick run is expected to take; zero if the estimate is not being
    /// measured, so that the next work item measures it.
    pub(super) fn lower_bound(&self, now: Time, estimate: Estimate) -> Duration {
        let is_measuring = self.in_progress > 0 && now.since(self.last_start) < MAX_MEASUREMENT;
        match is_measuring || now.since(self.last_end) < MAX_AGE {
            true => self.quick_run(estimate),
            false => Duration::ZERO,
        }
    }

    fn quick_run(&self, estimate: Estimate) -> Duration {
        let run_time = self.run_time.unwrap_or_default().clamp(0.0, 3600.0);
        estimate
            .lower_bound()
            .min(Duration::from_secs_f64(run_time))
    }
}
