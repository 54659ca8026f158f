//! Work for a backend server: its description, its admission, its outcome and its duration.

use proto::Class;
use proto::Refusal;
use std::time::Duration;
use stdx::plain;
use stdx::Time;

plain! {
    /// A piece of work offered to the backend server.
    pub struct WorkItem {
        /// Identifies the work; assigned by the caller.
        pub id: u64,
        /// The class of the operation.
        pub class: Class,
        /// The priority within lookups or within protected classes; 0 is the most urgent.
        pub priority: u8,
        /// The random value of its action.
        pub random_value: u16,
        /// The admission level that its action passed at the entry node; 0 if none was applied.
        pub passed_level: u16,
        /// When its answer is due.
        pub deadline: Time,
        /// The latest start that still meets the latency objective of its action, if work is
        /// scheduled by slack.
        pub latest_start: Option<Time>,
        /// Identifies its operation, for [`crate::ServerAdmission::long_run_time`]. A hash
        /// suffices: operations with the same one share what is learned of their run times.
        pub operation: u32,
        /// Whether its caller can come back after a refusal and still be served within the
        /// objective.
        pub patient: bool,
        /// Identifies the organisation that sent the action; 0 if there is none. A hash suffices:
        /// organisations with the same one share their part of the queue.
        pub organisation: u32,
        /// When it arrived.
        pub arrived: Time,
        /// Whether it is a call of an action that was admitted at its entry node. Refusing it would
        /// waste the work already done for the action, so load is limited by admission at the entry
        /// node, and such a call waits for as long as it can still meet its deadline.
        pub admitted: bool,
        /// Whether no other instance may run it, because this node is the home of its key.
        pub only_here: bool,
    }
}

impl WorkItem {
    /// Whether it waits because its caller can: a patient action that begins here and whose latest
    /// start is known. It says nothing about overload while it can be served in time.
    pub(crate) fn waits_by_choice(&self) -> bool {
        self.patient && !self.admitted && self.latest_start.is_some()
    }

    /// The time from its arrival until it can no longer meet its objective or its deadline, if its
    /// latest start is known.
    pub(crate) fn slack(&self) -> Option<Duration> {
        let latest = self.latest_start?.min(self.deadline);
        Some(self.arrived.until(latest))
    }

    /// Whether it counts towards its organisation's part of the queue. Calls of admitted actions do
    /// not: they are never displaced.
    pub(crate) fn counts_for_organisation(&self) -> bool {
        self.organisation != 0 && !self.admitted && self.latest_start.is_some()
    }
}

/// The decision on an offered work item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Start it now.
    Start,
    /// It is queued; [`crate::ServerAdmission::next_decision`] returns the decision later.
    Queued,
    /// It must not run.
    Refused(Refusal),
}

plain! {
    /// How work on the backend server ended.
    pub enum WorkOutcome {
        /// With a complete answer.
        Completed {
            /// From start to end: how long the work occupied a slot.
            elapsed: Duration,
            /// `elapsed` without the waits for child calls.
            own_time: Duration,
        },
        /// The server refused it with its documented refusal.
        Refused,
        /// The server could not be reached.
        Unreachable,
        /// The connection was lost. A crash is not a sign of congestion.
        Lost,
        /// With an answer that reports a failure. Its duration is not representative.
        Failed,
        /// The caller gave up before the server answered.
        Abandoned {
            /// From start to end.
            elapsed: Duration,
            /// `elapsed` without the waits for child calls.
            own_time: Duration,
        },
    }
}

/// A moving mean and mean deviation, in seconds; `None` before the first measurement.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Estimate(pub(crate) Option<(f64, f64)>);

impl Estimate {
    pub(crate) fn record(&mut self, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let (mean, deviation) = self.0.unwrap_or((elapsed, elapsed / 2.0));
        let error = elapsed - mean;
        self.0 = Some((
            mean + error / 32.0,
            deviation + (error.abs() - deviation) / 32.0,
        ));
    }

    /// The mean duration of a run, at most one hour.
    pub(crate) fn mean(self) -> Option<Duration> {
        let (mean, _) = self.0?;
        Some(Duration::from_secs_f64(mean.clamp(0.0, 3600.0)))
    }

    /// The duration of a quick run: the mean less the mean deviation.
    pub(crate) fn lower_bound(self) -> Duration {
        let (mean, deviation) = self.0.unwrap_or((0.0, 0.0));
        Duration::from_secs_f64((mean - deviation).clamp(0.0, 3600.0))
    }
}
