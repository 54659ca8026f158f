//! Reads that take longer than others are sent to a second instance (Dean and Barroso, "The Tail at Scale", CACM
//! 2013).
//!
//! The first instance may only be slow, and its answer is taken if it comes first: what is ready is
//! delivered. A second attempt is a retry and takes its place in all bounds of retries.

use crate::job::JobOwner;
use crate::outgoing::EarlierAttempt;
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
    /// Has this node look again when a run on its server takes longer than others. Only reads that make no
    /// calls are sent twice: a second run of a whole tree costs more than it saves.
    pub(crate) fn set_hedge_timer(&mut self, now: Time, run: RunId) {
        let Some(job) = self.jobs.get_mut(&run) else {
            return;
        };
        let Some(operation) = &job.operation else {
            return;
        };
        let may = self.cfg.policy.hedges && job.idempotent && !job.keyed;
        if !may || self.admission.calls_below(operation) > 0 {
            return;
        }
        let late = self.admission.late_after(operation);
        if let Some(at) = late.map(|late| now + late).filter(|at| *at < job.deadline) {
            job.late_at = Some(at);
            self.timers.set(at, Timer::LateRun(run));
        }
    }

    /// Tells the entry that the server may have lost the run. The wait for the server is not part of the
    /// time: under load second attempts would only make more of it.
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

    /// Learns how long runs of an operation take here.
    pub(crate) fn record_run_time(&mut self, now: Time, run: RunId, ended: WorkOutcome) {
        let WorkOutcome::Completed { elapsed: took, .. } = ended else {
            return;
        };
        let operation = self.jobs.get(&run).and_then(|job| job.operation.clone());
        if let Some(operation) = operation {
            self.admission.record_run_time(now, &operation, took);
        }
    }

    /// A call is late where it runs.
    pub(crate) fn on_late_notice(&mut self, now: Time, id: CallId) {
        let Some(mut call) = self.calls.swap_remove(&id) else {
            return;
        };
        let may = call.idempotent && call.key.is_none() && call.earlier.is_none();
        if !may || !self.try_spend_retry(now, &mut call) {
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
        call.earlier = Some(EarlierAttempt {
            id,
            target: call.target.clone(),
            delegated_retries: call.delegated_retries,
        });
        call.possible_repeat = true;
        self.send_to_target(now, call, target);
    }

    /// Looks at an answer to an attempt after which another one was sent. A whole one takes the later
    /// attempt's place; any other is dropped while that one is under way.
    pub(crate) fn discards_original_answer(&mut self, id: CallId, answer: &Answer) -> bool {
        let Some(later) = self.hedged_attempts.swap_remove(&id) else {
            return false;
        };
        let Some(call) = self.calls.get_mut(&later) else {
            return true;
        };
        let Some(earlier) = call.earlier.take() else {
            return true;
        };
        if !matches!(answer.outcome, Outcome::Completed(_)) {
            self.selector.on_ended(earlier.target.incarnation);
            return true;
        }
        self.count(Counter::OriginalAnsweredFirst);
        if let Some(call) = self.take_call(later) {
            self.send(&call.target, Frame::Cancel(later));
            self.track_original(call, earlier);
        }
        false
    }

    /// Whether the earlier attempt may still bring what the later one did not.
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

    /// The later attempt has failed: the call waits for the earlier one again.
    pub(crate) fn resume_original(&mut self, mut call: OutgoingCall, earlier: EarlierAttempt) {
        self.hedged_attempts.swap_remove(&earlier.id);
        call.may_have_run = true;
        self.track_original(call, earlier);
    }

    fn track_original(&mut self, mut call: OutgoingCall, earlier: EarlierAttempt) {
        call.target = earlier.target;
        call.delegated_retries = earlier.delegated_retries;
        if let Some(open) = self.open_requests.get_mut(&call.token) {
            open.call = earlier.id;
        }
        self.timers
            .set(call.deadline, Timer::CallDeadline(earlier.id));
        self.calls.insert(earlier.id, call);
    }

    /// Nobody waits for the earlier attempt any more.
    pub(crate) fn cancel_original(&mut self, earlier: EarlierAttempt) {
        self.hedged_attempts.swap_remove(&earlier.id);
        self.selector.on_ended(earlier.target.incarnation);
        self.send(&earlier.target, Frame::Cancel(earlier.id));
    }
}
