//! Work for a backend server: what asks for it, what becomes of it, and how long it takes.

use proto::Class;
use proto::Refusal;
use std::time::Duration;
use stdx::plain;
use stdx::Time;

plain! {
    /// A piece of work that asks for the backend server. `id` is the asker's own.
    pub struct WorkItem {
        /// The asker's number for the work.
        pub id: u64,
        /// What it is for.
        pub class: Class,
        /// How urgent it is among the work that is shed alike; 0 is the most urgent.
        pub priority: u8,
        /// The action's random value.
        pub random_value: u16,
        /// The admission level that its action passed at its first hop; 0 if it met none.
        pub passed_level: u16,
        /// When its answer is due.
        pub deadline: Time,
        /// When it came.
        pub arrived: Time,
        /// It is a call of an action that was admitted at its first hop. Refused here, all the work
        /// done for the action would be lost; so load is kept down by what is admitted there, and
        /// here it waits for as long as its answer may still be in time.
        pub admitted: bool,
    }
}

/// What becomes of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Start it now.
    Start,
    /// It waits; a later call of [`ServerAdmission::next_decision`] tells.
    Queued,
    /// It does not run.
    Refused(Refusal),
}

plain! {
    /// How work on the backend server ended.
    pub enum WorkOutcome {
        /// With a whole answer.
        Completed {
            /// From start to end: how long the work took up one unit of the limit.
            elapsed: Duration,
            /// The same without the waits for child calls.
            own_time: Duration,
        },
        /// The server refused it by its documented refusal.
        Refused,
        /// The server could not be reached.
        Unreachable,
        /// The connection broke. A crash is no sign of congestion.
        Lost,
        /// With an answer that says the work failed: its time says nothing.
        Failed,
        /// Nobody waited any more, and the server had not answered.
        Abandoned {
            /// From start to end.
            elapsed: Duration,
            /// How long the server had kept it, without the waits for child calls.
            own_time: Duration,
        },
    }
}

/// A moving mean and mean deviation, in seconds; `None` before the first measurement.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Estimate(pub(crate) Option<(f64, f64)>);

impl Estimate {
    pub(crate) fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let (mean, deviation) = self.0.unwrap_or((took, took / 2.0));
        let error = took - mean;
        self.0 = Some((
            mean + error / 32.0,
            deviation + (error.abs() - deviation) / 32.0,
        ));
    }

    /// What a run takes.
    pub(crate) fn mean(self) -> Option<Duration> {
        let (mean, _) = self.0?;
        Some(Duration::from_secs_f64(mean.clamp(0.0, 3600.0)))
    }

    /// What a quick run takes: the mean less the mean deviation.
    pub(crate) fn least(self) -> Duration {
        let (mean, deviation) = self.0.unwrap_or((0.0, 0.0));
        Duration::from_secs_f64((mean - deviation).clamp(0.0, 3600.0))
    }
}
