//! Calls from this node to nodes, itself included: routing, retries, deadlines, lost connections.

use crate::job::Job;
use crate::operation_key::operation_key;
use crate::outgoing::OutgoingCall;
use crate::request::RequestDraft;
use crate::timers::Timer;
use crate::Diagnostic;
use crate::Engine;
use crate::OutcomeSummary;
use crate::Output;
use crate::RequestToken;
use crate::TreeRetries;
use policy::admission_value;
use policy::Proximity;
use proto::Answer;
use proto::Call;
use proto::CallId;
use proto::CallRole;
use proto::DownstreamSummary;
use proto::Frame;
use proto::Incarnation;
use proto::Instance;
use proto::Outcome;
use proto::Reason;
use std::time::Duration;
use stdx::Time;

impl Engine {
    /// Creates the call of a new request and sends its first attempt.
    pub(crate) fn start_call(&mut self, now: Time, draft: RequestDraft) {
        let call = OutgoingCall {
            token: draft.token,
            target: self.own_instance.clone(),
            sent_at: now,
            action_id: draft.action_id,
            admission_sample: draft.admission_sample,
            class: draft.class,
            priority: draft.priority,
            passed_level: draft.passed_level,
            depth: draft.depth,
            deadline: draft.deadline,
            objective: draft.objective,
            idempotent: draft.operation.idempotent,
            key: draft.key,
            first_attempt: draft.first_attempt,
            refused_attempt: None,
            operation: operation_key(&draft.operation),
            retry_allowance: draft.retry_allowance,
            delegated_retries: 0,
            possible_repeat: draft.possible_repeat,
            may_have_run: false,
            downstream_calls: 0,
            attempts: 0,
            retries_left: match self.cfg.tree_retries {
                TreeRetries::PerOperation => u16::MAX,
                TreeRetries::ScaledByCalls(_) => draft.operation.retries,
            },
            hop_retries: self.cfg.policy.hop_retries,
            original: None,
            redirects: 0,
            reattaches: 0,
            avoid: Vec::new(),
            soonest_refusal: None,
            request: draft.request,
        };
        // Calls of a retried run are retries themselves, and the budget is a ratio to first
        // attempts.
        if !call.possible_repeat {
            self.retry_budget
                .record_first_send(now, &call.request.service);
        }
        self.route(now, call);
    }

    /// Chooses a target and sends an attempt, or ends the call if it is refused.
    pub(crate) fn route(&mut self, now: Time, mut call: OutgoingCall) {
        if now >= call.deadline {
            let refusal = call.scope_refusal(self.refusal(Reason::Deadline));
            return self.finish_call(now, call, Outcome::NotRun(refusal));
        }
        match self.admit(now, &mut call) {
            Ok(target) => self.send_to_target(now, call, target),
            Err(refusal) => {
                // Without an instance left to try, the delays that the instances gave tell when to
                // come back.
                let refusal = match refusal.reason {
                    Reason::NoInstance => call.soonest_refusal.unwrap_or(refusal),
                    _ => refusal,
                };
                let refusal = call.scope_refusal(refusal);
                self.finish_call(now, call, Outcome::NotRun(refusal));
            }
        }
    }

    /// Sends an attempt to this target and delegates to it the retries that the call has left.
    pub(crate) fn send_to_target(&mut self, now: Time, mut call: OutgoingCall, target: Instance) {
        call.target = target;
        call.sent_at = now;
        call.delegated_retries = if self.reserves_retry(&call) {
            call.retry_allowance.delegate_all_but_one()
        } else {
            call.retry_allowance.delegate_all()
        };
        let id = CallId {
            from: self.own_instance.incarnation,
            number: self.allocate_id(),
        };
        if let Some(open) = self.open_requests.get_mut(&call.token) {
            open.call = id;
        }
        if let Some(original) = &call.original {
            self.hedged_attempts.insert(original.id, id);
        }
        call.attempts += 1;
        self.timers.set(call.deadline, Timer::CallDeadline(id));
        self.selector.on_sent(call.target.incarnation);
        self.send_attempt(now, id, &call);
        self.calls.insert(id, call);
    }

    /// Whether one retry is kept back instead of delegated with the attempt.
    ///
    /// Delegated retries are lost with a lost answer, and only this node can retry the call then.
    /// But a run that is itself a retry needs all of them for its child calls. And where the
    /// downstream calls are at least as many as the retries left, a retry is of use only on lower
    /// hops: if one were kept back at each hop, no read of a deep tree would ever be retried.
    fn reserves_retry(&self, call: &OutgoingCall) -> bool {
        let expected_calls = self.admission.downstream_calls(&call.operation);
        call.idempotent
            && !call.possible_repeat
            && call.retry_allowance.remaining() > expected_calls
    }

    /// Sends the frame of an attempt.
    pub(crate) fn send_attempt(&mut self, now: Time, id: CallId, call: &OutgoingCall) {
        let role = match (call.key, call.refused_attempt) {
            (None, _) => CallRole::Serve,
            (Some(_), None) => CallRole::Home,
            (Some(_), Some(refused)) => CallRole::HomeRetry(refused),
        };
        let frame = Frame::Call(Box::new(Call {
            id,
            action: call.action_id,
            admission_sample: call.admission_sample,
            class: call.class,
            priority: call.priority,
            passed_level: call.passed_level,
            role,
            remaining_ms: self.callee_remaining_ms(now, call),
            objective_ms: call.objective.map(|at| saturating_ms(now.until(at))),
            retry_allowance: call.delegated_retries,
            possible_repeat: call.possible_repeat,
            idempotent: call.idempotent,
            key: call.key,
            first_attempt: call.first_attempt,
            depth: call.depth,
            redirects: call.redirects,
            request: call.request.clone(),
        }));
        self.send(&call.target, frame);
    }

    /// The time that the callee has: the time left, less what the answer needs to travel back.
    fn callee_remaining_ms(&self, now: Time, call: &OutgoingCall) -> u32 {
        let travel_time = match self.proximity(&call.target) {
            Proximity::SameDomain => Duration::from_millis(1),
            Proximity::SameRegion => Duration::from_millis(2),
            Proximity::OtherRegion => Duration::from_millis(25),
        };
        saturating_ms(now.until(call.deadline).saturating_sub(travel_time))
    }

    pub(crate) fn on_answer(&mut self, now: Time, from: Incarnation, id: CallId, answer: Answer) {
        self.record_load(now, from, answer.load);
        self.admission
            .record_instance_level(now, from, answer.load.level);
        if self.discards_original_answer(id, &answer) {
            return;
        }
        // There is no such call if its attempt was abandoned or has been answered before.
        let Some(mut call) = self.take_call(id) else {
            return;
        };
        call.retry_allowance
            .reclaim(call.delegated_retries, answer.unspent_retries);
        call.downstream_calls = call
            .downstream_calls
            .saturating_add(answer.downstream.calls);
        // A refusal reports downstream calls only if the run had already made some.
        match answer.outcome {
            Outcome::NotRun(refusal) if answer.downstream.calls == 0 => {
                if refusal.reason == Reason::Shed && answer.downstream.level > 0 {
                    let (operation, level) = (&call.operation, answer.downstream.level);
                    self.admission
                        .record_downstream_level(now, operation, level);
                }
            }
            _ => self
                .admission
                .record_downstream(now, &call.operation, answer.downstream),
        }
        match answer.outcome {
            Outcome::NotRun(refusal) => {
                call.refused_attempt = call.key.map(|_| id);
                call.possible_repeat |=
                    answer.downstream.calls > 0 && self.cfg.policy.hop_retries == 0;
                self.on_not_run(now, call, refusal);
            }
            Outcome::Unknown(reason @ (Reason::ServerLost | Reason::PeerLost)) => {
                if reason == Reason::ServerLost {
                    self.record_call_crash(now, &call.request, call.target.incarnation);
                }
                self.on_attempt_lost(now, call, reason);
            }
            outcome => {
                self.record_call_completed(now, &call.request);
                self.finish_call(now, call, outcome);
            }
        }
    }

    pub(crate) fn on_deadline(&mut self, now: Time, id: CallId) {
        let Some(call) = self.take_call(id) else {
            return;
        };
        self.send(&call.target, Frame::Cancel(id));
        self.finish_call(now, call, Outcome::Unknown(Reason::Deadline));
    }

    /// Cancels a call whose caller has disconnected.
    pub(crate) fn abandon_call(&mut self, now: Time, id: CallId) {
        let Some(call) = self.take_call(id) else {
            return;
        };
        self.send(&call.target, Frame::Cancel(id));
        self.finish_call(now, call, Outcome::Unknown(Reason::CallerGone));
    }

    /// Ends a call, unless the original attempt of a hedged call may still bring a response.
    pub(crate) fn finish_call(&mut self, now: Time, mut call: OutgoingCall, outcome: Outcome) {
        if let Some(original) = call.original.take() {
            if self.awaits_original(now, &call, &outcome) {
                return self.resume_original(call, original);
            }
            call.may_have_run = true;
            self.cancel_original(original);
        }
        let downstream = DownstreamSummary {
            level: self.highest_level(now, &call),
            // The parent job counted the first attempt when the call began.
            calls: call
                .downstream_calls
                .saturating_add(call.attempts.saturating_sub(1)),
        };
        self.report_to_parent(now, &call, downstream);
        // If the last attempt did not run, an earlier one may still have run.
        let outcome = match outcome {
            Outcome::NotRun(refusal) if call.may_have_run => Outcome::Unknown(refusal.reason),
            outcome => outcome,
        };
        self.report_answered(now, &call, downstream.level, &outcome);
        self.close_request(now, call.token, call.retry_allowance.remaining(), outcome);
    }

    /// Adds the level and the calls that an ended call reports to the job of the run that made it,
    /// and updates the admission level of the run's operation.
    ///
    /// The level is updated while the run is still in progress. If it were updated only at its end,
    /// this node would admit too much for the duration of a complete call tree after a downstream
    /// level has risen.
    fn report_to_parent(&mut self, now: Time, call: &OutgoingCall, downstream: DownstreamSummary) {
        let operation = call.operation.clone();
        let Some(job) = self.parent_job(call.token) else {
            return;
        };
        job.child_levels.insert(operation, downstream.level);
        job.downstream_calls = job.downstream_calls.saturating_add(downstream.calls);
        let level = job.downstream().level;
        if let Some(parent) = job.operation.clone() {
            self.admission.record_downstream_level(now, &parent, level);
        }
    }

    /// Emits a diagnostic for the end of a call.
    fn report_answered(&mut self, now: Time, call: &OutgoingCall, level: u16, outcome: &Outcome) {
        self.outputs.push(Output::Diagnostic(Diagnostic::Answered {
            request: call.request.id.clone(),
            service: call.request.service.clone(),
            class: call.class,
            depth: call.depth,
            outcome: OutcomeSummary::of(outcome),
            attempts: call.attempts,
            target: call.target.addr,
            value: admission_value(call.class, call.admission_sample),
            level,
            left_ms: now.until(call.deadline).as_millis() as u64,
        }));
    }

    fn parent_job(&mut self, token: RequestToken) -> Option<&mut Job> {
        let parent = self.open_requests.get(&token)?.parent?;
        self.jobs.get_mut(&parent)
    }

    /// Removes a call and its deadline timer.
    pub(crate) fn take_call(&mut self, id: CallId) -> Option<OutgoingCall> {
        let call = self.calls.swap_remove(&id)?;
        self.selector.on_ended(call.target.incarnation);
        self.timers.clear(call.deadline, Timer::CallDeadline(id));
        Some(call)
    }

    /// The calls whose current attempt was sent to this peer.
    pub(crate) fn calls_to(&self, peer: Incarnation) -> Vec<CallId> {
        let to_peer = self
            .calls
            .iter()
            .filter(|(_, call)| call.target.incarnation == peer);
        to_peer.map(|(id, _)| *id).collect()
    }
}

fn saturating_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
