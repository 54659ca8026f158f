//! Hedged reads: a read that takes longer than others is also sent to a second instance (Dean and
//! Barroso, "The Tail at Scale", CACM 2013).
//!
//! The first instance may only be slow, so its answer is used if it arrives first. The second
//! attempt counts as a retry in all limits on retries.

use crate::job::JobOwner;
use crate::outgoing::OriginalAttempt;
use crate::outgoing::OutgoingCall;
use crate::timers::Timer;
use crate::Counter;
use crate::Engine;
use policy::WorkOutcome;
use proto::Answer;
use proto::CallId;
use proto::Frame;
use proto::Outcome;
use proto::Reason;
use proto::RunId;
use stdx::Time;

impl Engine {
    /// Sets a timer for the time at which a run on this node's backend server counts as late. Only
    /// reads that make no calls are hedged: a second run of a complete call tree costs more than it
    /// saves.
    pub(crate) fn set_hedge_timer(&mut self, now: Time, run: RunId) {
        let Some(job) = self.jobs.get_mut(&run) else {
            return;
        };
        let Some(operation) = &job.operation else {
            return;
        };
        let may_hedge = self.cfg.policy.hedges && job.idempotent && !job.keyed;
        if !may_hedge || self.admission.downstream_calls(operation) > 0 {
            return;
        }
        let late_after = self.admission.late_after(operation);
        if let Some(at) = late_after
            .map(|after| now + after)
            .filter(|at| *at < job.deadline)
        {
            job.late_at = Some(at);
            self.timers.set(at, Timer::LateRun(run));
        }
    }

    /// Notifies the ingress node that the backend server may have lost the run. The run's time does
    /// not include its wait in the queue: second attempts because of long queues would add to the
    /// load.
    pub(crate) fn on_late_run(&mut self, run: RunId) {
        let Some(job) = self.jobs.get(&run) else {
            return;
        };
        if let JobOwner::Call(id) = job.owner {
            if !job.cancelled && job.pending_children.is_empty() {
                self.send_to(id.from, Frame::SlowCall(id));
            }
        }
    }

    /// Records how long a run took, if it ended with a complete response.
    pub(crate) fn record_run_time(&mut self, now: Time, run: RunId, outcome: WorkOutcome) {
        let WorkOutcome::Completed { elapsed, own_time } = outcome else {
            return;
        };
        self.record_slack_run_time(run, elapsed);
        let operation = self.jobs.get(&run).and_then(|job| job.operation.clone());
        if let Some(operation) = operation {
            self.server.record_run(now, operation.1, own_time);
            self.admission.record_run_time(now, &operation, elapsed);
        }
    }

    /// Sends a call to a second instance after its target has reported that the run is late.
    pub(crate) fn on_slow_call(&mut self, now: Time, id: CallId) {
        let Some(mut call) = self.calls.swap_remove(&id) else {
            return;
        };
        let may_hedge = call.idempotent && call.key.is_none() && call.original.is_none();
        if !may_hedge || !self.try_spend_retry(now, &mut call) {
            self.calls.insert(id, call);
            return;
        }
        call.avoid.push(call.target.incarnation);
        let Ok(target) = self.admit(now, &mut call) else {
            self.calls.insert(id, call);
            return;
        };
        self.count(Counter::Hedge);
        self.timers.clear(call.deadline, Timer::CallDeadline(id));
        call.original = Some(OriginalAttempt {
            id,
            target: call.target.clone(),
            delegated_retries: call.delegated_retries,
        });
        call.possible_repeat = true;
        self.send_to_target(now, call, target);
    }

    /// Handles an answer to the original attempt of a hedged call, and returns whether to discard
    /// it. A complete response is used and the hedge attempt is cancelled. Any other answer is
    /// discarded while the hedge attempt is in flight.
    pub(crate) fn discards_original_answer(&mut self, id: CallId, answer: &Answer) -> bool {
        let Some(hedge) = self.hedged_attempts.swap_remove(&id) else {
            return false;
        };
        let Some(call) = self.calls.get_mut(&hedge) else {
            return true;
        };
        let Some(original) = call.original.take() else {
            return true;
        };
        if !matches!(answer.outcome, Outcome::Completed(_)) {
            call.may_have_run |= !matches!(answer.outcome, Outcome::NotRun(_));
            self.selector.on_ended(original.target.incarnation);
            return true;
        }
        self.count(Counter::OriginalAnsweredFirst);
        if let Some(call) = self.take_call(hedge) {
            self.send(&call.target, Frame::Cancel(hedge));
            self.track_original(call, original);
        }
        false
    }

    /// Whether the original attempt may still bring a response after the hedge attempt has failed.
    pub(crate) fn awaits_original(
        &self,
        now: Time,
        call: &OutgoingCall,
        outcome: &Outcome,
    ) -> bool {
        let is_over = match outcome {
            Outcome::Completed(_) => true,
            Outcome::Unknown(reason) => matches!(reason, Reason::Deadline | Reason::CallerGone),
            Outcome::NotRun(_) => false,
        };
        !is_over && now < call.deadline
    }

    /// Makes the call wait for its original attempt again after the hedge attempt has failed.
    pub(crate) fn resume_original(&mut self, mut call: OutgoingCall, original: OriginalAttempt) {
        self.hedged_attempts.swap_remove(&original.id);
        call.may_have_run = true;
        self.track_original(call, original);
    }

    /// Makes the original attempt the current one.
    fn track_original(&mut self, mut call: OutgoingCall, original: OriginalAttempt) {
        call.target = original.target;
        call.delegated_retries = original.delegated_retries;
        if let Some(open) = self.open_requests.get_mut(&call.token) {
            open.call = original.id;
        }
        self.timers
            .set(call.deadline, Timer::CallDeadline(original.id));
        self.calls.insert(original.id, call);
    }

    /// Cancels the original attempt, whose answer is no longer needed.
    pub(crate) fn cancel_original(&mut self, original: OriginalAttempt) {
        self.hedged_attempts.swap_remove(&original.id);
        self.selector.on_ended(original.target.incarnation);
        self.send(&original.target, Frame::Cancel(original.id));
    }
}
