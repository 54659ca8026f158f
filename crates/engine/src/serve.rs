//! Calls from nodes, this one included, and jobs for this node's backend server.

use crate::admission::shed_refusal;
use crate::answer_cache::CachedAnswer;
use crate::job::Job;
use crate::job::JobOwner;
use crate::operation_key::operation_key;
use crate::timers::Timer;
use crate::Counter;
use crate::Diagnostic;
use crate::Engine;
use crate::OutcomeSummary;
use crate::Output;
use crate::RunEnd;
use crate::ServerState;
use indexmap::IndexMap;
use policy::admission_value;
use policy::AdmissionDecision;
use policy::RetryAllowance;
use proto::ActionId;
use proto::Answer;
use proto::Call;
use proto::CallId;
use proto::CallRole;
use proto::DownstreamSummary;
use proto::Fingerprint;
use proto::Frame;
use proto::Incarnation;
use proto::KeyHash;
use proto::Outcome;
use proto::Reason;
use proto::Refusal;
use proto::RunId;
use rules::MatchedRule;
use rules::Operation;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

/// A call from a node, which may be this one, that has not been answered yet.
#[derive(Debug)]
pub(crate) struct InboundCall {
    pub(crate) work: InboundWork,
}

/// What an inbound call waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InboundWork {
    /// A run for this call alone.
    Run(RunId),
    /// The run of an idempotency key, which other calls may wait for too.
    Key(KeyHash),
    /// The transfer of the key's slot to this node, or the end of the hold of its key; the call is
    /// held until then.
    SlotTransfer,
}

impl Engine {
    pub(crate) fn on_call(&mut self, now: Time, from: Incarnation, call: Call) {
        // The id is known if the call was sent again after its connection was lost, or if the frame
        // arrived twice.
        if self.inbound.contains_key(&call.id) {
            return;
        }
        match self.answer_cache.get(call.id) {
            CachedAnswer::Found(answer) => {
                let frame = Frame::Answer(call.id, Box::new(answer.clone()));
                return self.send_to(from, frame);
            }
            CachedAnswer::PossiblyEvicted => {
                return self.answer_possibly_evicted_call(from, call.id)
            }
            CachedAnswer::Absent => {}
        }
        match call.role {
            CallRole::Serve => self.on_serve_call(now, call),
            CallRole::Home => self.on_keyed_call(now, call),
            CallRole::HomeRetry(refused) => {
                if let Some((key, _)) = call.key {
                    self.home.release_refused(key, refused);
                }
                self.on_keyed_call(now, call);
            }
        }
    }

    fn on_serve_call(&mut self, now: Time, call: Call) {
        if self.stopping {
            let outcome = self.not_run(Reason::Draining);
            return self.answer_call(call.id, call.retry_allowance, outcome);
        }
        if !self.server_accepts_work() {
            let outcome = self.not_run(Reason::Draining);
            return self.answer_call(call.id, call.retry_allowance, outcome);
        }
        if !self.has_rules() {
            return self.answer_call(call.id, call.retry_allowance, self.not_run(Reason::NoRules));
        }
        let id = call.id;
        let run = self.new_job(now, JobOwner::Call(id), call);
        self.inbound.insert(
            id,
            InboundCall {
                work: InboundWork::Run(run),
            },
        );
        self.offer(now, run);
    }

    /// Creates a job for this node's backend server.
    pub(crate) fn new_job(&mut self, now: Time, owner: JobOwner, call: Call) -> RunId {
        let run = RunId {
            at: self.own_instance.incarnation,
            number: self.allocate_id(),
        };
        let request = call.request;
        let rules = &self.journal.rules;
        let operation = rules.match_rule(&request).map(MatchedRule::operation);
        let after = |ms| now + Duration::from_millis(u64::from(ms));
        let (deadline, objective) = (after(call.remaining_ms), call.objective_ms.map(after));
        let job = Job {
            owner,
            action_id: call.action,
            admission_sample: call.admission_sample,
            depth: call.depth,
            redirects: call.redirects,
            due: job_due(now, call.depth, objective, deadline, operation),
            deadline,
            objective,
            patient: operation.is_some_and(Operation::is_patient),
            latest_start: None,
            retry_allowance: RetryAllowance::new(call.retry_allowance),
            possible_repeat: call.possible_repeat,
            operation: operation.map(operation_key),
            fingerprint: Fingerprint::of(&request),
            keyed: call.key.is_some(),
            idempotent: call.idempotent,
            late_at: None,
            cancelled: false,
            downstream_calls: 0,
            child_levels: IndexMap::new(),
            child_key_scope: child_key_scope(call.action, call.key.map(|(key, _)| key)),
            child_counts: IndexMap::new(),
            class: call.class,
            priority: call.priority,
            passed_level: call.passed_level,
            started: None,
            expected_server: None,
            pending_children: Vec::new(),
            children_pending_since: now,
            child_wait: Duration::ZERO,
            request,
        };
        if !job.keyed {
            self.timers.set(job.deadline, Timer::RunDeadline(run));
        }
        if !job.request.id.is_empty() {
            self.jobs_by_request_id.insert(job.request.id.clone(), run);
        }
        self.jobs.insert(run, job);
        run
    }

    /// Offers a job to the concurrency limiter and queue of the server.
    pub(crate) fn offer(&mut self, now: Time, run: RunId) {
        let Some(job) = self.jobs.get(&run) else {
            return;
        };
        // During an outage of the log no new home node is assigned, and calls for the keys of this
        // node would keep coming until the process exits in the middle of one. So a stopping node
        // starts work only until `closed_at`.
        if self.stopping && now >= self.closed_at {
            return self.end_job(now, run, self.not_run(Reason::Draining));
        }
        // The server may have begun to leave while the job waited, and calls for keys of this node
        // come regardless of what their senders know of the server.
        if !self.server_accepts_work() {
            return self.end_job(now, run, self.not_run(Reason::Draining));
        }
        let fingerprint = job.fingerprint;
        let mut item = self.work_item(now, run.number, job);
        if let Some(job) = self.jobs.get_mut(&run) {
            job.latest_start = item.latest_start;
        }
        if !self.check_quarantine(now, run, fingerprint) {
            return;
        }
        if !item.admitted {
            let level = self.downstream_level(now, run);
            if admission_value(item.class, item.random_value) < level {
                self.server.on_refused_before_offer(now, item.class);
                let refusal = shed_refusal(level, item.class, item.random_value);
                // The refusal has to report the level that the job was shed at. The job has made no
                // child calls, so the level is recorded under its own operation.
                if let Some(job) = self.jobs.get_mut(&run) {
                    job.child_levels
                        .extend(job.operation.clone().map(|operation| (operation, level)));
                }
                return self.apply_decision(now, run, AdmissionDecision::Refused(refusal));
            }
            item.passed_level = item.passed_level.max(level);
        }
        if self.hand_over_offered(now, run, &item) {
            return;
        }
        let decision = self.server.offer(now, item);
        if !item.admitted {
            let passed_level = item.passed_level.max(self.server.level_of(&item));
            if let Some(job) = self.jobs.get_mut(&run) {
                job.passed_level = passed_level;
            }
        }
        self.apply_decision(now, run, decision);
    }

    /// The highest admission level among the services that a job's operation calls.
    fn downstream_level(&self, now: Time, run: RunId) -> u16 {
        let job = self.jobs.get(&run).filter(|_| self.cfg.policy.levels);
        let operation = job.and_then(|job| job.operation.as_ref());
        operation.map_or(0, |operation| {
            self.admission.downstream_level(now, operation)
        })
    }

    /// Starts or refuses queued jobs whose turn has come.
    pub(crate) fn start_queued_jobs(&mut self, now: Time) {
        while let Some((item, decision)) = self.server.next_decision(now) {
            let run = RunId {
                at: self.own_instance.incarnation,
                number: item.id,
            };
            self.apply_decision(now, run, decision);
        }
        self.count_slack_events();
    }

    fn apply_decision(&mut self, now: Time, run: RunId, decision: AdmissionDecision) {
        match decision {
            AdmissionDecision::Start => self.start_run(now, run),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Refused(refusal) => self.end_job(now, run, Outcome::NotRun(refusal)),
        }
    }

    fn start_run(&mut self, now: Time, run: RunId) {
        let Some((owner, class)) = self.jobs.get(&run).map(|job| (job.owner, job.class)) else {
            return;
        };
        let start_within = match self.start_permit(now, owner) {
            Ok(start_within) => start_within,
            Err(reason) => {
                self.server
                    .on_finished(now, class, policy::WorkOutcome::Failed);
                return self.end_job(now, run, self.not_run(reason));
            }
        };
        let expected_server = self.expected_server();
        let Some(job) = self.jobs.get_mut(&run) else {
            return;
        };
        job.started = Some(now);
        job.expected_server = expected_server.clone();
        let request = job.request.clone();
        let remaining = now.until(job.deadline);
        self.outputs.push(Output::Run {
            run,
            request,
            expected_server,
            remaining,
            start_within,
        });
        let origin = job.origin();
        self.count(Counter::Run(class));
        if self.has_rate_limit() {
            self.count(Counter::RateLimitedRun(origin));
        }
        self.set_hedge_timer(now, run);
    }

    pub(crate) fn on_run_ended(&mut self, now: Time, run: RunId, end: RunEnd) {
        let Some(job) = self.jobs.get(&run) else {
            return self.count(Counter::UnexpectedMessage);
        };
        let (class, fingerprint) = (job.class, job.fingerprint);
        let cancelled = job.cancelled;
        let expected_server = job.expected_server.clone();
        let keyed_run_made_child_calls =
            matches!(job.owner, JobOwner::Key(_)) && !job.child_counts.is_empty();
        let feedback = job.server_feedback(now, &end);
        self.record_run_time(now, run, feedback);
        self.server.on_finished(now, class, feedback);
        let outcome = match end {
            RunEnd::Response(response) => {
                self.clear_suspect(now, fingerprint);
                Outcome::Completed(response)
            }
            // The next run of the key would generate the same child keys and mark its child calls
            // as first attempts, although calls with these keys were made before. So a run of a key
            // that made child calls never counts as one that did not run.
            RunEnd::Refused { .. } if keyed_run_made_child_calls => {
                Outcome::Unknown(Reason::ServerRefused)
            }
            RunEnd::Refused { retry_after } => {
                let retry_after = retry_after.unwrap_or(crate::refusal::DEFAULT_RETRY_AFTER);
                Outcome::NotRun(Refusal::new(Reason::ServerRefused, retry_after))
            }
            RunEnd::NeverSent => self.not_run(Reason::ServerLost),
            RunEnd::Misdirected => {
                self.on_misdirected(now, expected_server);
                self.not_run(Reason::Draining)
            }
            RunEnd::TimedOut => Outcome::Unknown(Reason::Deadline),
            RunEnd::Lost => {
                self.count(Counter::RunLost);
                if !cancelled {
                    self.report_crash(now, fingerprint);
                }
                Outcome::Unknown(Reason::ServerLost)
            }
        };
        self.end_job(now, run, outcome);
    }

    pub(crate) fn end_job(&mut self, now: Time, run: RunId, outcome: Outcome) {
        let Some(job) = self.jobs.swap_remove(&run) else {
            return;
        };
        self.timers.clear(job.deadline, Timer::RunDeadline(run));
        if let Some(at) = job.late_at {
            self.timers.clear(at, Timer::LateRun(run));
        }
        self.outputs.push(Output::Diagnostic(Diagnostic::JobEnded {
            request: job.request.id.clone(),
            class: job.class,
            depth: job.depth,
            outcome: OutcomeSummary::of(&outcome),
            started: job.started.is_some(),
            left_ms: now.until(job.deadline).as_millis() as u64,
            slack_ms: job.slack_ms(now),
            server: self.server_state(now),
        }));
        if self.jobs_by_request_id.get(&job.request.id) == Some(&run) {
            self.jobs_by_request_id.swap_remove(&job.request.id);
        }
        let unspent_retries = job.retry_allowance.remaining();
        let downstream = job.downstream();
        if let Some(operation) = job.operation.as_ref().filter(|_| job.started.is_some()) {
            self.admission.record_downstream(now, operation, downstream);
        }
        // `answer_call` reads the summary from this field. It is reset afterwards, because answers
        // that are sent elsewhere report nothing.
        self.ended_run_downstream = downstream;
        match job.owner {
            JobOwner::Call(call) => self.answer_call(call, unspent_retries, outcome),
            JobOwner::Key(key) => self.finish_keyed_run(now, key, unspent_retries, outcome),
        }
        self.ended_run_downstream = DownstreamSummary::default();
        self.admit_next_suspect(now, run);
    }

    pub(crate) fn on_cancel(&mut self, now: Time, _from: Incarnation, id: CallId) {
        let Some(inbound) = self.inbound.get(&id) else {
            return;
        };
        match inbound.work {
            InboundWork::Run(run) => self.cancel_run(now, run),
            InboundWork::Key(key) => self.cancel_keyed_call(now, key, id),
            InboundWork::SlotTransfer => self.cancel_held(id),
        }
    }

    /// Removes a job from the queue, or asks the backend server to stop its run. The child calls of
    /// the run are cancelled too, as nobody waits for their answers.
    pub(crate) fn cancel_run(&mut self, now: Time, run: RunId) {
        if self.withdraw(run) {
            return self.end_withdrawn_job(now, run);
        }
        self.outputs.push(Output::CancelRun(run));
        let Some(job) = self.jobs.get_mut(&run) else {
            return;
        };
        job.cancelled = true;
        for child in job.pending_children.clone() {
            self.on_caller_gone(now, child);
        }
    }

    /// Cancels a run at its deadline. The cancel message, or the node that should have sent it, may
    /// have been lost, and the run would go on although nobody waits for its result.
    pub(crate) fn on_run_deadline(&mut self, now: Time, run: RunId) {
        if self.jobs.contains_key(&run) {
            self.cancel_run(now, run);
        }
    }

    /// Removes a job that has not started. Returns `false` if it has started.
    pub(crate) fn withdraw(&mut self, run: RunId) -> bool {
        self.server.cancel(run.number) || self.suspects.withdraw(run)
    }

    /// Ends a job that was removed from the queue.
    pub(crate) fn end_withdrawn_job(&mut self, now: Time, run: RunId) {
        self.end_job(now, run, self.not_run(Reason::CallerGone));
    }

    /// Answers a call that may have been answered before, and whose answer is no longer in the
    /// cache.
    fn answer_possibly_evicted_call(&mut self, from: Incarnation, id: CallId) {
        let answer = Answer {
            outcome: Outcome::Unknown(Reason::PeerLost),
            unspent_retries: 0,
            load: self.load_report(),
            downstream: DownstreamSummary::default(),
        };
        self.send_to(from, Frame::Answer(id, Box::new(answer)));
    }

    /// Answers an inbound call and removes it.
    pub(crate) fn answer_call(&mut self, id: CallId, unspent_retries: u16, outcome: Outcome) {
        self.inbound.swap_remove(&id);
        let answer = Answer {
            outcome,
            unspent_retries,
            load: self.load_report(),
            downstream: self.ended_run_downstream,
        };
        self.answer_cache.insert(id, answer.clone());
        self.send_to(id.from, Frame::Answer(id, Box::new(answer)));
    }

    fn server_state(&self, now: Time) -> ServerState {
        let (running, queued, limit) = self.server.occupancy();
        ServerState {
            running,
            queued: queued as u32,
            limit,
            level: self.server.level(),
            rate_limit: self.rate_limit(),
            token_wait: self.server.next_token_wait(now),
            siblings_have_room: self.server.siblings_have_room(),
        }
    }
}

/// The time by which the job of a call that arrives now should end: the end of the latency objective
/// of an action that begins here. The answer to a call of a run is needed earlier, because the run
/// has more to do after it; half of the time left is taken for that.
pub(crate) fn job_due(
    now: Time,
    depth: u8,
    objective: Option<Time>,
    deadline: Time,
    operation: Option<&Operation>,
) -> Time {
    let own_objective = operation.map(|operation| now + operation.latency_objective);
    let objective = objective.or(own_objective.filter(|_| depth == 0));
    let due = objective.map_or(deadline, |objective| objective.min(deadline));
    match depth {
        0 => due,
        _ => now + now.until(due) / 2,
    }
}

/// The scope of the keys of child calls. It is the same for every run of the same call of the
/// action.
fn child_key_scope(action: ActionId, key: Option<KeyHash>) -> Arc<str> {
    match key {
        Some(key) => format!("{action}/{:032x}", key.0).into(),
        None => action.to_string().into(),
    }
}
