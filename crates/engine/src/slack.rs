//! Scheduling by slack: the latest start of a job, from the objective of its action and the learned
//! run times of its operation.

use crate::job::Job;
use crate::job::JobOwner;
use crate::Counter;
use crate::Engine;
use crate::Output;
use policy::WorkItem;
use proto::hash64;
use proto::RunId;
use std::time::Duration;
use stdx::Time;

impl Engine {
    /// Describes a job to the admission control of the server. It has a latest start if its action
    /// has an objective and the run time of its operation is known.
    pub(crate) fn work_item(&self, now: Time, id: u64, job: &Job) -> WorkItem {
        let operation = job.slack_operation();
        let run_time = operation.and_then(|operation| self.server.long_run_time(operation));
        let latest_start = job.objective.zip(run_time).map(|(end, run_time)| {
            let run_time = run_time.as_micros() as u64;
            Time::from_micros(end.as_micros().saturating_sub(run_time))
        });
        let organisation = match &*job.request.organisation {
            name if !name.is_empty() && job.objective.is_some() => (hash64(&name) as u32).max(1),
            _ => 0,
        };
        WorkItem {
            id,
            class: job.class,
            priority: job.priority,
            passed_level: job.passed_level,
            random_value: job.admission_sample,
            deadline: job.deadline,
            latest_start,
            operation: operation.unwrap_or(0),
            patient: job.patient,
            organisation,
            arrived: now,
            admitted: job.depth > 0,
            only_here: matches!(job.owner, JobOwner::Key(_)),
        }
    }

    /// Records how long the run of a job took, with the calls that it made.
    pub(crate) fn record_slack_run_time(&mut self, run: RunId, elapsed: Duration) {
        let operation = self.jobs.get(&run).and_then(Job::slack_operation);
        if let Some(operation) = operation {
            self.server.record_run_time(operation, elapsed);
        }
    }

    /// Counts what the admission control of the server did with jobs that have a latest start.
    pub(crate) fn count_slack_events(&mut self) {
        for (event, count) in self.server.take_slack_events() {
            let counted = (0..count).map(|_| Output::Count(Counter::Slack(event)));
            self.outputs.extend(counted);
        }
    }
}

impl Job {
    /// Identifies the operation to the admission control of the server. `None` unless the job is
    /// scheduled by slack.
    fn slack_operation(&self) -> Option<u32> {
        let operation = self.operation.as_ref().filter(|_| self.objective.is_some());
        operation.map(|operation| hash64(operation) as u32)
    }

    /// The time from the start of the run, or from now if it has not started, to the latest start,
    /// in milliseconds; negative if it was too late.
    pub(crate) fn slack_ms(&self, now: Time) -> Option<i64> {
        let latest = self.latest_start?;
        let start = self.started.unwrap_or(now);
        Some(start.until(latest).as_millis() as i64 - latest.until(start).as_millis() as i64)
    }
}
