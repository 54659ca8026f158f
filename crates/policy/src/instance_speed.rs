//! How fast other instances work, from their load reports.

use indexmap::IndexMap;
use proto::LoadReport;
use std::time::Duration;
use stdx::Time;

/// Time within which the weight of a reported slowdown falls linearly to zero. A machine keeps its
/// speed for about this time, so a value of this age says nothing about the present.
const SLOWDOWN_LIFETIME: Duration = Duration::from_millis(600);

/// A call counts as in time up to this multiple of the usual run time if run times are not known.
const UNKNOWN_RATIO_IN_TIME: f32 = 1.5;

/// The part of the time for a call that its expected run may take. Runs of one server vary with the
/// operation and with the number of occupied slots, by up to a half.
const RUN_SHARE: f32 = 2.0 / 3.0;

/// Weight of a report in the run time that is usual for a service: one in this many.
const REFERENCE_WINDOW: f32 = 64.0;

/// Bounds of the time that work takes, as a multiple of the usual.
const TIME_RATIO: (f32, f32) = (0.05, 100.0);

/// The run time that is usual for the instances of a service, by the set of operations that it was
/// measured for (see [`proto::ServerSpeed::operations`]).
#[derive(Debug, Default)]
pub(crate) struct UsualRunTimes {
    /// The logarithm of microseconds.
    by_operations: IndexMap<u8, f32>,
}

impl UsualRunTimes {
    fn record(&mut self, run_time: RunTime) {
        let usual = self.by_operations.entry(run_time.operations);
        let usual = usual.or_insert(run_time.log);
        *usual += (run_time.log - *usual) / REFERENCE_WINDOW;
    }

    /// The ratio of a run time to the usual one.
    fn ratio(&self, run_time: RunTime) -> f32 {
        let usual = self.of(run_time);
        usual.map_or(1.0, |usual| (run_time.log - usual).exp())
    }

    /// The logarithm of the usual run time that a run time is compared with.
    fn of(&self, run_time: RunTime) -> Option<f32> {
        self.by_operations.get(&run_time.operations).copied()
    }
}

/// The run time of an instance at the usual speed of its machine.
#[derive(Debug, Clone, Copy, PartialEq)]
struct RunTime {
    /// The logarithm of microseconds.
    log: f32,
    operations: u8,
}

/// The speed of one instance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InstanceSpeed {
    /// How long work takes on its machine, as a ratio to the usual.
    slowdown: f32,
    mean_slowdown: f32,
    /// When `slowdown` was the newest value; `None` before the first report.
    slowdown_at: Option<Time>,
    /// `None` if the instance has not measured it.
    run_time: Option<RunTime>,
}

impl Default for InstanceSpeed {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            mean_slowdown: 1.0,
            slowdown_at: None,
            run_time: None,
        }
    }
}

impl InstanceSpeed {
    pub(crate) fn on_report(&mut self, now: Time, report: &LoadReport, usual: &mut UsualRunTimes) {
        if report.slowdown_percent == 0 {
            return;
        }
        self.slowdown = f32::from(report.slowdown_percent) / 100.0;
        self.mean_slowdown = match report.speed.mean_percent {
            0 => 1.0,
            percent => f32::from(percent) / 100.0,
        };
        let age = Duration::from_millis(u64::from(report.speed.age_ms));
        self.slowdown_at = Some(Time::ZERO + now.since(Time::ZERO).saturating_sub(age));
        let run_time = (report.speed.run_time_us > 0).then(|| RunTime {
            log: (report.speed.run_time_us as f32).ln(),
            operations: report.speed.operations,
        });
        // The node reports its own server before each choice, and would count it more than others.
        if let Some(run_time) = run_time.filter(|_| run_time != self.run_time) {
            usual.record(run_time);
        }
        self.run_time = run_time;
    }

    /// How long work takes there now, as a multiple of what is usual for the service. The reported
    /// slowdown changes into its mean with its age.
    pub(crate) fn time_ratio(&self, now: Time, usual: &UsualRunTimes) -> f32 {
        let (min, max) = TIME_RATIO;
        let run_time = self.run_time.map_or(1.0, |run_time| usual.ratio(run_time));
        (run_time * self.slowdown(now)).clamp(min, max)
    }

    /// The time ratio up to which a run is expected to end within a time.
    pub(crate) fn ratio_in_time(&self, usual: &UsualRunTimes, within: Duration) -> f32 {
        let usual = self.run_time.and_then(|run_time| usual.of(run_time));
        usual.map_or(UNKNOWN_RATIO_IN_TIME, |log| {
            within.as_secs_f32() * 1e6 * RUN_SHARE / log.exp()
        })
    }

    fn slowdown(&self, now: Time) -> f32 {
        let age = self
            .slowdown_at
            .map_or(SLOWDOWN_LIFETIME, |at| now.since(at));
        let age = age.as_secs_f32() / SLOWDOWN_LIFETIME.as_secs_f32();
        let weight = (1.0 - age).max(0.0);
        self.mean_slowdown + (self.slowdown - self.mean_slowdown) * weight
    }
}
