//! Requests from callers and from this node's backend server: the filter chain.

use crate::job::JobOwner;
use crate::operation_key::operation_key;
use crate::request::Arrival;
use crate::request::OpenRequest;
use crate::request::ParentInfo;
use crate::request::RefusedRequest;
use crate::request::RequestDraft;
use crate::Counter;
use crate::Diagnostic;
use crate::Engine;
use crate::KeylessCalls;
use crate::Output;
use crate::RequestToken;
use crate::TreeRetries;
use organisation::QuotaToken;
use policy::RetryAllowance;
use proto::ActionId;
use proto::CallId;
use proto::Fingerprint;
use proto::IdempotencyKey;
use proto::Outcome;
use proto::Reason;
use proto::Refusal;
use proto::Request;
use proto::RunId;
use rand::RngExt;
use rules::MatchedRule;
use rules::Operation;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

impl Engine {
    /// Passes a new request through the filters, or lets it wait for its organisation's quota.
    pub(crate) fn on_request(&mut self, now: Time, mut arrival: Arrival) {
        let random = self.rng.random();
        let admitted = self
            .filter_rules(&mut arrival.request, random)
            .and_then(|operation| self.filter_identity(now, &mut arrival, operation));
        match admitted {
            Ok((operation, None)) => self.process_arrival(now, arrival, operation, random, None),
            // The request would wait for a token and be refused then.
            Ok((_, Some(_))) if self.schedules_by_slack && self.accepts_no_more(now) => {
                self.refuse_arrival(&arrival, Reason::Draining);
            }
            Ok((operation, Some((organisation, quota)))) if self.schedules_by_slack => {
                let admitted =
                    self.request_token_by_slack(now, arrival, &operation, organisation, quota);
                if let Some((arrival, quota_token)) = admitted {
                    self.process_arrival(now, arrival, operation, random, Some(quota_token));
                }
            }
            Ok((operation, Some((organisation, quota)))) => {
                match self.quota.borrower.try_spend(now, organisation, quota) {
                    Some(quota_token) => {
                        self.process_arrival(now, arrival, operation, random, Some(quota_token))
                    }
                    None => self.wait_for_quota(now, arrival, organisation),
                }
            }
            Err(reason) => self.refuse_arrival(&arrival, reason),
        }
    }

    /// Continues with a request that has waited for its organisation's quota. It passes the first
    /// filters again, because the rules may have changed in the meantime.
    pub(crate) fn on_quota_granted(
        &mut self,
        now: Time,
        mut arrival: Arrival,
        quota_token: QuotaToken,
    ) {
        let random = self.rng.random();
        let admitted = self
            .filter_rules(&mut arrival.request, random)
            .and_then(|operation| self.filter_identity(now, &mut arrival, operation));
        match admitted {
            Ok((operation, _)) => {
                self.process_arrival(now, arrival, operation, random, Some(quota_token))
            }
            Err(reason) => {
                self.return_quota_token(now, Some(quota_token));
                self.refuse_arrival(&arrival, reason);
            }
        }
    }

    /// Passes a request through the filters that come after its organisation's quota, and opens it.
    fn process_arrival(
        &mut self,
        now: Time,
        arrival: Arrival,
        operation: Operation,
        random: u16,
        quota_token: Option<QuotaToken>,
    ) {
        let Arrival {
            token,
            at,
            first_at,
            caller,
            parents,
            key,
            caller_timeout,
            request,
            ..
        } = arrival;
        self.count(Counter::Request(operation.class));
        let refused = RefusedRequest::new(token, key.is_some(), &request);
        let latest_deadline = at + operation.deadline;
        let objective = self
            .schedules_by_slack
            .then_some(first_at + operation.latency_objective);
        let caller_timeout =
            caller_timeout.map(|caller_timeout| caller_timeout.saturating_sub(now.since(at)));
        let draft = self
            .filter_context(now, token, parents, random, operation, request)
            .map(|draft| limit_deadline(draft, now, caller_timeout, latest_deadline))
            .and_then(|draft| self.filter_key(draft, &caller, key));
        match draft {
            Ok(draft) => {
                let draft = RequestDraft {
                    quota_token,
                    objective: draft.objective.or(objective),
                    ..draft
                };
                match self.filter_resend(now, &caller, draft) {
                    Some(draft) => self.open_request(now, draft),
                    // The request was answered, or waits for the answer to an identical one.
                    None => self.return_quota_token(now, quota_token),
                }
            }
            Err(reason) => {
                self.return_quota_token(now, quota_token);
                self.refuse_unopened(refused, self.refusal(reason));
            }
        }
    }

    fn refuse_arrival(&mut self, arrival: &Arrival, reason: Reason) {
        self.refuse_unopened(RefusedRequest::from(arrival), self.refusal(reason));
    }

    /// Refuses a request before it was opened, so that no record of its key was looked up.
    pub(crate) fn refuse_unopened(&mut self, refused: RefusedRequest, refusal: Refusal) {
        let RefusedRequest {
            token,
            request_id,
            organisation,
            keyed,
        } = refused;
        let reason = refusal.reason;
        // No node has checked whether an earlier attempt with this key ran.
        let unverified = keyed && !reason.is_client_error();
        let refusal = if unverified {
            refusal.for_attempt_only()
        } else {
            refusal
        };
        self.outputs.push(Output::Diagnostic(Diagnostic::Refused {
            request: request_id,
            organisation,
            reason,
            rules: self.journal.rules_version,
        }));
        self.refuse(token, refusal);
    }

    /// Finds the operation of a request and the service that it is routed to. Refuses requests that
    /// no rule allows, and all requests while there are no rules or the table of requests is full.
    fn filter_rules(&mut self, request: &mut Request, random: u16) -> Result<Operation, Reason> {
        if !self.has_rules() {
            return Err(Reason::NoRules);
        }
        if self.open_requests.len() >= self.cfg.max_open_requests {
            return Err(Reason::TableFull);
        }
        let rules = &self.journal.rules;
        let rule = rules.match_rule(request).ok_or(Reason::NoSuchOperation)?;
        if let MatchedRule::Route(route) = rule {
            request.service = route.target(random).clone();
        }
        let mut operation = rule.operation().clone();
        if !self.cfg.policy.ranks {
            operation.priority = 0;
        }
        Ok(operation)
    }

    /// Finds the run that a child call belongs to, or starts a new action.
    fn filter_context(
        &mut self,
        now: Time,
        token: RequestToken,
        parents: ParentInfo,
        random: u16,
        operation: Operation,
        request: Request,
    ) -> Result<RequestDraft, Reason> {
        let run = match parents {
            ParentInfo {
                context: Some(context),
                ..
            } => Some(RunId::parse(&context).ok_or(Reason::BadRequest)?),
            ParentInfo {
                parent_request_id, ..
            } => parent_request_id.and_then(|id| self.jobs_by_request_id.get(&id).copied()),
        };
        let Some(run) = run else {
            return self.root_draft(now, token, random, operation, request);
        };
        let job = self.jobs.get_mut(&run).ok_or(Reason::ParentGone)?;
        if job.depth >= self.cfg.max_depth {
            return Err(Reason::BadRequest);
        }
        if job.possible_repeat && !job.retry_allowance.try_withdraw() {
            return Err(Reason::AllowanceSpent);
        }
        let delegated = job.retry_allowance.delegate_half();
        let (class, priority) = job.child_class_and_priority(&operation);
        Ok(RequestDraft {
            token,
            action_id: job.action_id,
            admission_sample: job.admission_sample,
            class,
            priority,
            passed_level: job.passed_level,
            depth: job.depth + 1,
            deadline: job.deadline.min(now + operation.deadline),
            objective: job.objective,
            retry_allowance: RetryAllowance::new(delegated),
            parent: Some(run),
            retries_from_parent: delegated,
            key: None,
            first_attempt: false,
            generated_key: None,
            possible_repeat: job.possible_repeat,
            quota_token: None,
            request_hash: None,
            operation,
            request,
        })
    }

    /// Whether this node is stopping and no longer accepts new requests from its callers.
    fn accepts_no_more(&self, now: Time) -> bool {
        self.stopping && now >= self.accepts_until
    }

    /// Drafts the first call of a new action.
    fn root_draft(
        &mut self,
        now: Time,
        token: RequestToken,
        random: u16,
        operation: Operation,
        request: Request,
    ) -> Result<RequestDraft, Reason> {
        // A stopping node still finishes its runs, whose child calls carry a context.
        if self.accepts_no_more(now) {
            return Err(Reason::Draining);
        }
        Ok(RequestDraft {
            token,
            action_id: ActionId(self.rng.random()),
            admission_sample: self.admission.admission_sample(&operation, random),
            class: operation.class,
            priority: operation.priority,
            passed_level: 0,
            depth: 0,
            deadline: now + operation.deadline,
            objective: None,
            retry_allowance: RetryAllowance::new(self.tree_retries(&operation)),
            parent: None,
            retries_from_parent: 0,
            key: None,
            first_attempt: false,
            generated_key: None,
            possible_repeat: false,
            quota_token: None,
            request_hash: None,
            operation,
            request,
        })
    }

    /// The number of retries that an action with this first operation gets.
    fn tree_retries(&self, operation: &Operation) -> u16 {
        match self.cfg.tree_retries {
            TreeRetries::ScaledByCalls(calls_per_retry) if operation.retries > 0 => {
                let calls = self.admission.downstream_calls(&operation_key(operation));
                operation.retries + calls.div_ceil(calls_per_retry.max(1))
            }
            _ => operation.retries,
        }
    }

    /// Assigns an idempotency key to a non-idempotent call.
    fn filter_key(
        &mut self,
        mut draft: RequestDraft,
        caller: &str,
        key: Option<Arc<str>>,
    ) -> Result<RequestDraft, Reason> {
        if draft.operation.idempotent {
            return Ok(draft);
        }
        if key
            .as_ref()
            .is_some_and(|key| key.is_empty() || key.len() > self.cfg.max_key_len)
        {
            return Err(Reason::BadKey);
        }
        let fingerprint = Fingerprint::of(&draft.request);
        let service = draft.request.service.clone();
        // A call with a key may be sent again, and its second run must not make new child calls.
        let parent_keyed = draft.parent.is_some_and(|run| self.is_first_run(run));
        if key.is_none() && !parent_keyed && self.cfg.keyless_calls == KeylessCalls::OwnedByIngress
        {
            return Ok(draft);
        }
        let key = match (draft.parent, key) {
            (Some(run), key) => {
                draft.first_attempt = key.is_none() && self.is_first_run(run);
                self.child_key(run, service, fingerprint, key)
            }
            (None, Some(text)) => IdempotencyKey {
                caller: caller.into(),
                service,
                text,
            },
            (None, None) => {
                let text: Arc<str> = format!("{:032x}", self.rng.random::<u128>()).into();
                draft.generated_key = Some(text.clone());
                draft.first_attempt = true;
                IdempotencyKey {
                    caller: caller.into(),
                    service,
                    text,
                }
            }
        };
        if draft.parent.is_none() {
            draft.action_id = key.action_id();
        }
        draft.key = Some((key.hash(), fingerprint));
        Ok(draft)
    }

    /// Whether no other run of the same call can have made child calls: the call has a key, and the
    /// key's home node starts only one run. `on_run_ended` handles a run that is refused after it
    /// made child calls.
    fn is_first_run(&self, run: RunId) -> bool {
        let owner = self.jobs.get(&run).map(|job| job.owner);
        matches!(owner, Some(JobOwner::Key(_)))
    }

    /// Derives the key of a child call from its place in the call tree and its number among equal
    /// calls of the same run, so that a second run generates the same keys and starts no second
    /// child.
    fn child_key(
        &mut self,
        run: RunId,
        service: Arc<str>,
        fingerprint: Fingerprint,
        key: Option<Arc<str>>,
    ) -> IdempotencyKey {
        let Some(job) = self.jobs.get_mut(&run) else {
            return IdempotencyKey {
                caller: run.to_string().into(),
                service,
                text: "".into(),
            };
        };
        let text = match key {
            Some(key) => key,
            None => {
                let ordinal = job
                    .child_counts
                    .entry((service.clone(), fingerprint))
                    .or_insert(0);
                *ordinal += 1;
                format!("{:032x}.{ordinal}", fingerprint.0).into()
            }
        };
        IdempotencyKey {
            caller: job.child_key_scope.clone(),
            service,
            text,
        }
    }

    /// Adds a request to the table of requests in flight, and starts its call.
    fn open_request(&mut self, now: Time, draft: RequestDraft) {
        let token = draft.token;
        let open = OpenRequest {
            call: CallId {
                from: self.own_instance.incarnation,
                number: 0,
            },
            parent: draft.parent,
            retries_from_parent: draft.retries_from_parent,
            generated_key: draft.generated_key.clone(),
            operation: draft.operation.clone(),
            quota_token: draft.quota_token,
            request_hash: draft.request_hash,
            followers: Vec::new(),
        };
        self.open_requests.insert(token, open);
        if let Some(job) = draft.parent.and_then(|run| self.jobs.get_mut(&run)) {
            job.on_child_started(now, token);
        }
        self.start_call(now, draft);
    }

    /// Ends a request: answers it once, and returns the unspent retries to the run that made it.
    pub(crate) fn close_request(
        &mut self,
        now: Time,
        token: RequestToken,
        unspent: u16,
        outcome: Outcome,
    ) {
        let Some(open) = self.open_requests.swap_remove(&token) else {
            return;
        };
        if let Some(job) = open.parent.and_then(|run| self.jobs.get_mut(&run)) {
            job.retry_allowance
                .reclaim(open.retries_from_parent, unspent);
            job.on_child_ended(now, token);
        }
        if matches!(outcome, Outcome::NotRun(_)) {
            self.return_quota_token(now, open.quota_token);
        }
        let completed = matches!(outcome, Outcome::Completed(_)) && self.schedules_by_slack;
        if let Some(quota_token) = open.quota_token.filter(|_| completed) {
            let elapsed = now.since(quota_token.spent_at);
            self.quota.slack.times.record(&open.operation, elapsed);
        }
        if let Some(hash) = open.request_hash {
            self.resends.record_end(now, hash, &outcome);
        }
        for follower in open.followers {
            self.followers.swap_remove(&follower);
            self.outputs.push(Output::Answer {
                token: follower,
                outcome: outcome.clone(),
                generated_key: None,
            });
        }
        self.count(match &outcome {
            Outcome::Completed(_) => Counter::Completed(open.operation.class),
            Outcome::NotRun(refusal) => Counter::NotRun(refusal.reason),
            Outcome::Unknown(reason) => Counter::Unknown(*reason),
        });
        self.outputs.push(Output::Answer {
            token,
            outcome,
            generated_key: open.generated_key,
        });
    }

    /// Answers a request that was never opened with a refusal.
    pub(crate) fn refuse(&mut self, token: RequestToken, refusal: Refusal) {
        self.count(Counter::NotRun(refusal.reason));
        let outcome = Outcome::NotRun(refusal);
        self.outputs.push(Output::Answer {
            token,
            outcome,
            generated_key: None,
        });
    }

    /// Stops the work for a request whose caller has disconnected.
    pub(crate) fn on_caller_gone(&mut self, now: Time, token: RequestToken) {
        if self.detach_caller(token) || self.cancel_quota_wait(now, token) {
            return;
        }
        if let Some(open) = self.open_requests.get(&token) {
            self.abandon_call(now, open.call);
        }
    }
}

/// Limits a request's deadline to the time-outs of its operation and its caller. Both started when
/// the request arrived, so time that it waited for a quota token counts.
fn limit_deadline(
    mut draft: RequestDraft,
    now: Time,
    caller_timeout: Option<Duration>,
    latest_deadline: Time,
) -> RequestDraft {
    draft.deadline = draft.deadline.min(latest_deadline);
    if let Some(caller_timeout) = caller_timeout {
        draft.deadline = draft.deadline.min(now + caller_timeout);
    }
    draft
}
