//! Calls of this node to others (and to itself): routing, retries, deadlines, lost connections.

use crate::job::Job;
use crate::operation_key::operation_key;
use crate::outgoing::OutgoingCall;
use crate::request::RequestDraft;
use crate::timers::Timer;
use crate::Counter;
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
use proto::Refusal;
use std::time::Duration;
use stdx::Time;

/// How often a call that certainly did not run may go elsewhere for free.
const MAX_REDIRECTS: u8 = 3;

impl Engine {
    /// Sends a new request's first attempt.
    pub(crate) fn start_call(&mut self, now: Time, draft: RequestDraft) {
        let call = OutgoingCall {
            token: draft.token,
            target: self.own_instance.clone(),
            action_id: draft.action_id,
            admission_sample: draft.admission_sample,
            class: draft.class,
            priority: draft.priority,
            passed_level: draft.passed_level,
            depth: draft.depth,
            deadline: draft.deadline,
            idempotent: draft.operation.idempotent,
            key: draft.key,
            first_attempt: draft.first_attempt,
            operation: operation_key(&draft.operation),
            retry_allowance: draft.retry_allowance,
            delegated_retries: 0,
            possible_repeat: draft.possible_repeat,
            may_have_run: false,
            calls_below: 0,
            attempts: 0,
            retries_left: match self.cfg.tree_retries {
                TreeRetries::PerOperation => u16::MAX,
                TreeRetries::ScaledByCalls(_) => draft.operation.retries,
            },
            hop_retries: self.cfg.policy.hop_retries,
            earlier: None,
            redirects: 0,
            reattaches: 0,
            avoid: Vec::new(),
            request: draft.request,
        };
        // A call of a run that was itself tried again is a retry too.
        if !call.possible_repeat {
            self.retry_budget
                .record_first_send(now, &call.request.service);
        }
        self.route(now, call);
    }

    /// Chooses a target and sends one attempt.
    fn route(&mut self, now: Time, mut call: OutgoingCall) {
        if now >= call.deadline {
            let refusal = call.scope_refusal(self.refusal(Reason::Deadline));
            return self.finish_call(now, call, Outcome::NotRun(refusal));
        }
        match self.admit(now, &mut call) {
            Ok(target) => self.send_to_target(now, call, target),
            Err(refusal) => {
                let refusal = call.scope_refusal(refusal);
                self.finish_call(now, call, Outcome::NotRun(refusal));
            }
        }
    }

    /// Sends one attempt.
    pub(crate) fn send_to_target(&mut self, now: Time, mut call: OutgoingCall, target: Instance) {
        call.target = target;
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
        if let Some(earlier) = &call.earlier {
            self.hedged_attempts.insert(earlier.id, id);
        }
        call.attempts += 1;
        self.timers.set(call.deadline, Timer::CallDeadline(id));
        self.selector.on_sent(call.target.incarnation);
        self.send_attempt(now, id, &call);
        self.calls.insert(id, call);
    }

    /// What is lent is gone if the answer is lost, so one retry stays where alone it can be spent then.
    /// A second run needs all for the calls below it, and where one would not be enough for those, it
    /// is of use only farther down: kept at each hop, no read of a deep tree would ever be tried again.
    fn reserves_retry(&self, call: &OutgoingCall) -> bool {
        let below = self.admission.calls_below(&call.operation);
        call.idempotent && !call.possible_repeat && call.retry_allowance.remaining() > below
    }

    pub(crate) fn send_attempt(&mut self, now: Time, id: CallId, call: &OutgoingCall) {
        let leg = if call.key.is_some() {
            CallRole::Home
        } else {
            CallRole::Serve
        };
        let frame = Frame::Call(Box::new(Call {
            id,
            action: call.action_id,
            admission_sample: call.admission_sample,
            class: call.class,
            priority: call.priority,
            passed_level: call.passed_level,
            role: leg,
            remaining_ms: self.callee_remaining_ms(now, call),
            retry_allowance: call.delegated_retries,
            possible_repeat: call.possible_repeat,
            idempotent: call.idempotent,
            key: call.key,
            first_attempt: call.first_attempt,
            depth: call.depth,
            request: call.request.clone(),
        }));
        self.send(&call.target, frame);
    }

    /// What is left for the callee: its answer has to travel back.
    fn callee_remaining_ms(&self, now: Time, call: &OutgoingCall) -> u32 {
        let travel = match self.proximity(&call.target) {
            Proximity::SameDomain => Duration::from_millis(1),
            Proximity::SameRegion => Duration::from_millis(2),
            Proximity::OtherRegion => Duration::from_millis(25),
        };
        let remaining = now.until(call.deadline).saturating_sub(travel);
        u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX)
    }

    pub(crate) fn on_answer(&mut self, now: Time, from: Incarnation, id: CallId, answer: Answer) {
        self.record_load(now, from, answer.load);
        self.admission
            .record_instance_level(now, from, answer.load.level);
        if self.discards_original_answer(id, &answer) {
            return;
        }
        // An answer to an attempt that was given up, or a second one to the same attempt, is late.
        let Some(mut call) = self.take_call(id) else {
            return;
        };
        call.retry_allowance
            .reclaim(call.delegated_retries, answer.unspent_retries);
        call.calls_below = call.calls_below.saturating_add(answer.downstream.calls);
        // A refusal says how many calls lie below only if the run has got there.
        match answer.outcome {
            Outcome::NotRun(refusal) if answer.downstream.calls == 0 => {
                if refusal.reason == Reason::Shed && answer.downstream.level > 0 {
                    let (operation, level) = (&call.operation, answer.downstream.level);
                    self.admission.record_level_below(now, operation, level);
                }
            }
            _ => self
                .admission
                .record_below(now, &call.operation, answer.downstream),
        }
        match answer.outcome {
            Outcome::NotRun(refusal) => {
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

    /// A call that did not run goes elsewhere, if that may help.
    pub(crate) fn on_not_run(&mut self, now: Time, mut call: OutgoingCall, refusal: Refusal) {
        let reason = refusal.reason;
        let elsewhere = match reason {
            Reason::Moving | Reason::Draining => self.has_other_target(&call),
            // Never sent, and no refusal: the same node may take it over another connection.
            Reason::PeerLost => true,
            _ => false,
        };
        if elsewhere && call.redirects < MAX_REDIRECTS {
            call.redirects += 1;
            self.count(Counter::Redirect(reason));
            call.avoid.push(call.target.incarnation);
            return self.route(now, call);
        }
        let busy = matches!(
            reason,
            Reason::QueueFull | Reason::ServerRefused | Reason::ServerLost
        );
        if busy && self.try_spend_retry(now, &mut call) {
            self.count(Counter::Retry(reason));
            call.avoid.push(call.target.incarnation);
            return self.route(now, call);
        }
        // These come from a node that did not look for the key's record.
        let refusal = match reason {
            Reason::Moving | Reason::NoLease | Reason::Draining | Reason::PeerLost => {
                call.scope_refusal(refusal)
            }
            _ => refusal,
        };
        self.finish_call(now, call, Outcome::NotRun(refusal));
    }

    /// A call with a key goes to the key's home only. While this node knows no other home, sending
    /// the call there again would get the same refusal a few times over, within milliseconds.
    fn has_other_target(&self, call: &OutgoingCall) -> bool {
        let Some((key, _)) = call.key else {
            return true;
        };
        let home = self.home_of(&call.request.service, key);
        home.is_some_and(|home| home.incarnation != call.target.incarnation)
    }

    /// Nobody will tell how the attempt ended. Only an idempotent call may be tried again.
    /// The calls below count as retries then, so there must be enough for all of them: with less
    /// the second run could not end, and would be wasted.
    pub(crate) fn on_attempt_lost(&mut self, now: Time, mut call: OutgoingCall, reason: Reason) {
        call.may_have_run = true;
        let below = self.admission.calls_below(&call.operation);
        let needed = 1 + below.max(call.calls_below);
        let allowed = call.retry_allowance.remaining() >= needed || call.hop_retries > 0;
        if call.idempotent && allowed && self.try_spend_retry(now, &mut call) {
            self.count(Counter::Retry(reason));
            call.possible_repeat = self.cfg.policy.hop_retries == 0;
            call.avoid.push(call.target.incarnation);
            return self.route(now, call);
        }
        self.finish_call(now, call, Outcome::Unknown(reason));
    }

    /// Takes a retry from the action and from this node's part of the fleet's retries at the service,
    /// which keeps them a small share of the calls to it even if every action has some left.
    pub(crate) fn try_spend_retry(&mut self, now: Time, call: &mut OutgoingCall) -> bool {
        if now >= call.deadline {
            return false;
        }
        if call.hop_retries > 0 {
            call.hop_retries -= 1;
            return true;
        }
        if call.retry_allowance.remaining() == 0 || call.retries_left == 0 {
            return false;
        }
        let limited = self.cfg.policy.retry_budget;
        let nodes = self.members.fleet_size();
        let service = &call.request.service;
        if limited
            && !self
                .retry_budget
                .try_withdraw(now, service, call.class, nodes)
        {
            self.count(Counter::RetryBudgetSpent);
            return false;
        }
        call.retries_left -= 1;
        call.retry_allowance.try_withdraw()
    }

    pub(crate) fn on_deadline(&mut self, now: Time, id: CallId) {
        let Some(call) = self.take_call(id) else {
            return;
        };
        self.send(&call.target, Frame::Cancel(id));
        self.finish_call(now, call, Outcome::Unknown(Reason::Deadline));
    }

    pub(crate) fn abandon_call(&mut self, now: Time, id: CallId) {
        let Some(call) = self.take_call(id) else {
            return;
        };
        self.send(&call.target, Frame::Cancel(id));
        self.finish_call(now, call, Outcome::Unknown(Reason::CallerGone));
    }

    fn finish_call(&mut self, now: Time, mut call: OutgoingCall, outcome: Outcome) {
        if let Some(earlier) = call.earlier.take() {
            if self.awaits_original(now, &call, &outcome) {
                return self.resume_original(call, earlier);
            }
            self.cancel_original(earlier);
        }
        let met = DownstreamSummary {
            level: self.highest_level(now, &call),
            // The first attempt was counted when the call began.
            calls: call
                .calls_below
                .saturating_add(call.attempts.saturating_sub(1)),
        };
        self.report_to_parent(now, &call, met);
        // A later attempt that did not run says nothing of an earlier one that may have.
        let outcome = match outcome {
            Outcome::NotRun(refusal) if call.may_have_run => Outcome::Unknown(refusal.reason),
            outcome => outcome,
        };
        self.log_answered(now, &call, met.level, &outcome);
        self.close_request(now, call.token, call.retry_allowance.remaining(), outcome);
    }

    /// A run's own first hop hears at once what the run meets. Heard of only at the end of the run,
    /// a level below would let in too much for the time of a whole call tree.
    fn report_to_parent(&mut self, now: Time, call: &OutgoingCall, met: DownstreamSummary) {
        let operation = call.operation.clone();
        let Some(job) = self.parent_job(call.token) else {
            return;
        };
        job.child_levels.insert(operation, met.level);
        job.calls_below = job.calls_below.saturating_add(met.calls);
        let level = job.downstream().level;
        if let Some(parent) = job.operation.clone() {
            self.admission.record_level_below(now, &parent, level);
        }
    }

    fn log_answered(&mut self, now: Time, call: &OutgoingCall, level: u16, outcome: &Outcome) {
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

    pub(crate) fn take_call(&mut self, id: CallId) -> Option<OutgoingCall> {
        let call = self.calls.swap_remove(&id)?;
        self.selector.on_ended(call.target.incarnation);
        self.timers.clear(call.deadline, Timer::CallDeadline(id));
        Some(call)
    }

    pub(crate) fn calls_to(&self, peer: Incarnation) -> Vec<CallId> {
        let to_peer = self
            .calls
            .iter()
            .filter(|(_, call)| call.target.incarnation == peer);
        to_peer.map(|(id, _)| *id).collect()
    }
}
