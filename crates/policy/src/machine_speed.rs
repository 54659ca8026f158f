//! How fast a backend server works: what it reports about its machine, and what its runs show.

use crate::work::Estimate;
use indexmap::IndexMap;
use proto::Class;
use proto::ServerSpeed;
use std::time::Duration;
use stdx::Time;

/// Age from which a reported slowdown counts as usual.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// Time over which the mean slowdown is taken.
const MEAN_PERIOD: Duration = Duration::from_secs(10);

/// Multiple of its mean slowdown from which a server counts as slow. Run times vary by a third with
/// the number of occupied slots.
const SLOW_RATIO: f32 = 1.5;

/// Number of runs that an operation needs before its mean run time is used.
const MIN_RUNS: u32 = 16;

/// Weight of a run in the mean run time of an operation: one in this many, once that many runs have
/// ended.
const RUN_WINDOW: u32 = 512;

/// Maximum number of operations whose run times are measured.
const MAX_OPERATIONS: usize = 256;

/// Number of classes, each with estimates of its own.
const CLASSES: usize = 5;

/// The mean run time of one operation.
#[derive(Debug, Clone, Copy, Default)]
struct OperationTime {
    /// In seconds, at 100 percent.
    mean: f32,
    runs: u32,
}

/// How fast one backend server works: its newest report of how long work takes on its machine, and
/// its run times at the usual speed of the machine.
///
/// Nothing is measured before the first report. Servers that do not report are then treated as if
/// all were equal, and without reports no other node uses the measurements.
#[derive(Debug)]
pub(crate) struct MachineSpeed {
    /// The newest reported slowdown, as a ratio to the usual, and its time.
    newest: Option<(f32, Time)>,
    mean: f32,
    mean_updated: Time,
    operations: IndexMap<u32, OperationTime>,
    /// What `operations` amount to.
    run_times: ServerSpeed,
    /// Own time of runs at 100 percent, by class.
    own_time: [Estimate; CLASSES],
    /// The waits of runs for their child calls, by class.
    child_wait: [Estimate; CLASSES],
}

impl Default for MachineSpeed {
    fn default() -> Self {
        Self {
            newest: None,
            mean: 1.0,
            mean_updated: Time::ZERO,
            operations: IndexMap::new(),
            run_times: ServerSpeed::default(),
            own_time: [Estimate::default(); CLASSES],
            child_wait: [Estimate::default(); CLASSES],
        }
    }
}

impl MachineSpeed {
    pub(crate) fn is_reported(&self) -> bool {
        self.newest.is_some()
    }

    /// Sets the slowdown that the server reports, in percent of the usual.
    pub(crate) fn on_report(&mut self, now: Time, percent: u16) {
        self.mean = match self.newest {
            Some(_) => self.mean_at(now),
            None => 1.0,
        };
        self.mean_updated = now;
        self.newest = Some((f32::from(percent) / 100.0, now));
    }

    /// The slowdown as a ratio to the usual; 1 if the newest report is too old.
    pub(crate) fn slowdown(&self, now: Time) -> f32 {
        match self.newest {
            Some((ratio, at)) if now.since(at) <= MAX_REPORT_AGE => ratio,
            _ => 1.0,
        }
    }

    /// The newest report, in percent, and its age.
    pub(crate) fn newest(&self, now: Time) -> Option<(u16, Duration)> {
        let (ratio, at) = self.newest?;
        Some(((ratio * 100.0).round() as u16, now.since(at)))
    }

    /// The mean slowdown. A report holds until the next one, but not beyond [`MAX_REPORT_AGE`].
    fn mean_at(&self, now: Time) -> f32 {
        let Some((ratio, at)) = self.newest else {
            return 1.0;
        };
        let held_until = now.min(at + MAX_REPORT_AGE);
        let mean = approach(self.mean, ratio, held_until.since(self.mean_updated));
        approach(mean, 1.0, now.since(held_until.max(self.mean_updated)))
    }

    /// Whether the server is much slower than it is on average.
    pub(crate) fn is_slow(&self, now: Time) -> bool {
        self.is_reported() && self.slowdown(now) > SLOW_RATIO * self.mean_at(now)
    }

    /// The own time that a run would have taken at 100 percent.
    pub(crate) fn at_usual_speed(&self, now: Time, own_time: Duration) -> Duration {
        match self.is_reported() {
            true => own_time.div_f32(self.slowdown(now)),
            false => own_time,
        }
    }

    /// Records the times of a run of a class.
    pub(crate) fn record_class(
        &mut self,
        now: Time,
        class: Class,
        elapsed: Duration,
        own_time: Duration,
    ) {
        if self.is_reported() {
            let own_at_usual = self.at_usual_speed(now, own_time);
            self.own_time[class as usize].record(own_at_usual);
            self.child_wait[class as usize].record(elapsed.saturating_sub(own_time));
        }
    }

    /// Records the own time of a run of an operation.
    pub(crate) fn record_operation(&mut self, now: Time, operation: u32, own_time: Duration) {
        let has_room = self.operations.len() < MAX_OPERATIONS;
        if !self.is_reported() || !has_room && !self.operations.contains_key(&operation) {
            return;
        }
        let own_time = self.at_usual_speed(now, own_time).as_secs_f32();
        let time = self.operations.entry(operation).or_default();
        time.runs = time.runs.saturating_add(1);
        time.mean += (own_time - time.mean) / time.runs.min(RUN_WINDOW) as f32;
        self.run_times = self.summarize_run_times();
    }

    /// Forgets the run times by operation, because the numbers of the operations have changed.
    pub(crate) fn forget_operations(&mut self) {
        self.operations.clear();
        self.run_times = ServerSpeed::default();
    }

    /// How long a run of a class would occupy a slot if it started now.
    pub(crate) fn expected_time(&self, now: Time, class: Class) -> Option<Duration> {
        let own_time = self.own_time[class as usize].mean()?;
        let child_wait = self.child_wait[class as usize].mean()?;
        Some(own_time.mul_f32(self.slowdown(now)) + child_wait)
    }

    /// The speed for load reports, with the newest slowdown in percent. Both are 0 without reports.
    pub(crate) fn report(&self, now: Time) -> (u16, ServerSpeed) {
        let Some((ratio, at)) = self.newest else {
            return (0, ServerSpeed::default());
        };
        let age = now.since(at);
        let percent = match age <= MAX_REPORT_AGE {
            true => ratio * 100.0,
            false => 100.0,
        };
        let speed = ServerSpeed {
            age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
            mean_percent: (self.mean_at(now) * 100.0).round() as u16,
            ..self.run_times
        };
        (percent.round() as u16, speed)
    }

    /// The geometric mean over operations. Its ratio between two servers is the ratio of their
    /// speeds, however often each operation runs there.
    fn summarize_run_times(&self) -> ServerSpeed {
        let measured = || self.operations.iter().filter(|(_, t)| t.runs >= MIN_RUNS);
        let count = measured().count();
        if count == 0 {
            return ServerSpeed::default();
        }
        let sum: f32 = measured().map(|(_, time)| time.mean.max(1e-6).ln()).sum();
        let operations = measured().fold(0, |set, (operation, _)| set ^ set_bits(*operation));
        ServerSpeed {
            run_time_us: ((sum / count as f32).exp() * 1e6) as u32,
            operations,
            ..ServerSpeed::default()
        }
    }
}

/// The exponential moving average of a value that has been `value` for `elapsed`.
fn approach(mean: f32, value: f32, elapsed: Duration) -> f32 {
    let weight = 1.0 - (-elapsed.as_secs_f32() / MEAN_PERIOD.as_secs_f32()).exp();
    mean + (value - mean) * weight
}

/// The bits by which an operation is identified in [`ServerSpeed::operations`] (multiplicative
/// hashing, Knuth, TAOCP 6.4).
fn set_bits(operation: u32) -> u8 {
    (operation.wrapping_mul(2_654_435_769) >> 24) as u8
}
