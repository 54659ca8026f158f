//! Requests from callers and from the own backend server: the filter chain.

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
    pub(crate) fn on_request(&mut self, now: Time, mut arrival: Arrival) {
        let dice = self.rng.random();
        let admitted = self
            .filter_rules(&mut arrival.request, dice)
            .and_then(|operation| self.filter_identity(now, &mut arrival, operation));
        match admitted {
            Ok((operation, None)) => self.process_arrival(now, arrival, operation, dice, None),
            Ok((operation, Some((organisation, quota)))) => {
                match self.quota.borrower.try_spend(now, organisation, quota) {
                    Some(credit) => {
                        self.process_arrival(now, arrival, operation, dice, Some(credit))
                    }
                    None => self.wait_for_quota(now, arrival, organisation),
                }
            }
            Err(reason) => self.refuse_arrival(&arrival, reason),
        }
    }

    /// Admits a request that has waited for its organisation's quota. The rules may have changed meanwhile.
    pub(crate) fn on_quota_granted(&mut self, now: Time, mut arrival: Arrival, credit: QuotaToken) {
        let dice = self.rng.random();
        let admitted = self
            .filter_rules(&mut arrival.request, dice)
            .and_then(|operation| self.filter_identity(now, &mut arrival, operation));
        match admitted {
            Ok((operation, _)) => self.process_arrival(now, arrival, operation, dice, Some(credit)),
            Err(reason) => {
                self.return_quota_token(now, Some(credit));
                self.refuse_arrival(&arrival, reason);
            }
        }
    }

    fn process_arrival(
        &mut self,
        now: Time,
        arrival: Arrival,
        operation: Operation,
        dice: u16,
        credit: Option<QuotaToken>,
    ) {
        let Arrival {
            token,
            at,
            caller,
            parents,
            key,
            caller_timeout: patience,
            request,
            ..
        } = arrival;
        self.count(Counter::Request(operation.class));
        let refused = RefusedRequest::new(token, key.is_some(), &request);
        let latest = at + operation.deadline;
        let patience = patience.map(|patience| patience.saturating_sub(now.since(at)));
        let draft = self
            .filter_context(now, token, parents, dice, operation, request)
            .map(|draft| limit_deadline(draft, now, patience, latest))
            .and_then(|draft| self.filter_key(draft, &caller, key));
        match draft {
            Ok(draft) => {
                let draft = RequestDraft {
                    quota_token: credit,
                    ..draft
                };
                match self.filter_resend(now, &caller, draft) {
                    Some(draft) => self.open_request(now, draft),
                    // It has its answer, or waits for that to another request.
                    None => self.return_quota_token(now, credit),
                }
            }
            Err(reason) => {
                self.return_quota_token(now, credit);
                self.refuse_unopened(refused, self.refusal(reason));
            }
        }
    }

    fn refuse_arrival(&mut self, arrival: &Arrival, reason: Reason) {
        self.refuse_unopened(RefusedRequest::from(arrival), self.refusal(reason));
    }

    /// Refuses a request that no record was looked at for.
    pub(crate) fn refuse_unopened(&mut self, refused: RefusedRequest, refusal: Refusal) {
        let RefusedRequest {
            token,
            request,
            organisation,
            keyed,
        } = refused;
        let reason = refusal.reason;
        // Nobody has looked whether an earlier attempt with this key ran.
        let unjudged = keyed && !reason.is_client_error();
        let refusal = if unjudged {
            refusal.for_attempt_only()
        } else {
            refusal
        };
        self.outputs.push(Output::Diagnostic(Diagnostic::Refused {
            request,
            organisation,
            reason,
            rules: self.journal.version,
        }));
        self.refuse(token, refusal);
    }

    /// Refuses what this node cannot judge or no rule allows.
    fn filter_rules(&mut self, request: &mut Request, dice: u16) -> Result<Operation, Reason> {
        if !self.has_rules() {
            return Err(Reason::NoRules);
        }
        if self.open_requests.len() >= self.cfg.max_open_requests {
            return Err(Reason::TableFull);
        }
        let rules = &self.journal.rules;
        let rule = rules.match_rule(request).ok_or(Reason::NoSuchOperation)?;
        if let MatchedRule::Route(route) = rule {
            request.service = route.target(dice).clone();
        }
        let mut operation = rule.operation().clone();
        if !self.cfg.policy.ranks {
            operation.priority = 0;
        }
        Ok(operation)
    }

    /// Finds the run that a child call belongs to, or makes a new root.
    fn filter_context(
        &mut self,
        now: Time,
        token: RequestToken,
        parents: ParentInfo,
        dice: u16,
        operation: Operation,
        request: Request,
    ) -> Result<RequestDraft, Reason> {
        let run = match parents {
            ParentInfo {
                context: Some(context),
                ..
            } => Some(RunId::parse(&context).ok_or(Reason::BadRequest)?),
            ParentInfo { parent, .. } => {
                parent.and_then(|id| self.jobs_by_request_id.get(&id).copied())
            }
        };
        let Some(run) = run else {
            return self.root_draft(now, token, dice, operation, request);
        };
        let job = self.jobs.get_mut(&run).ok_or(Reason::ParentGone)?;
        if job.depth >= self.cfg.max_depth {
            return Err(Reason::BadRequest);
        }
        if job.possible_repeat && !job.retry_allowance.try_withdraw() {
            return Err(Reason::AllowanceSpent);
        }
        let lent = job.retry_allowance.delegate_half();
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
            retry_allowance: RetryAllowance::new(lent),
            parent: Some(run),
            delegated_retries: lent,
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

    fn root_draft(
        &mut self,
        now: Time,
        token: RequestToken,
        dice: u16,
        operation: Operation,
        request: Request,
    ) -> Result<RequestDraft, Reason> {
        // A planned stop still finishes its runs, whose child calls come with a context.
        if self.stopping && now >= self.accepts_until {
            return Err(Reason::Draining);
        }
        Ok(RequestDraft {
            token,
            action_id: ActionId(self.rng.random()),
            admission_sample: self.admission.dice(&operation, dice),
            class: operation.class,
            priority: operation.priority,
            passed_level: 0,
            depth: 0,
            deadline: now + operation.deadline,
            retry_allowance: RetryAllowance::new(self.tree_retries(&operation)),
            parent: None,
            delegated_retries: 0,
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

    /// The retries of an action that begins with this operation.
    fn tree_retries(&self, operation: &Operation) -> u16 {
        match self.cfg.tree_retries {
            TreeRetries::ScaledByCalls(calls_each) if operation.retries > 0 => {
                let calls = self.admission.calls_below(&operation_key(operation));
                operation.retries + calls.div_ceil(calls_each.max(1))
            }
            _ => operation.retries,
        }
    }

    /// Gives a non-idempotent call its key.
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
        // A keyed run may be asked for again, and its second attempt must not make new children.
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

    /// Whether no other run of the same call can have made child calls: it has a key itself, and its
    /// home starts one run. If that run is refused after it made some, see `on_run_ended`.
    fn is_first_run(&self, run: RunId) -> bool {
        let owner = self.jobs.get(&run).map(|job| job.owner);
        matches!(owner, Some(JobOwner::Key(_)))
    }

    /// A child's key comes from its action and its place among like calls of the same run, so that
    /// a second run of the same action makes the same keys and no second child.
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
                let nth = job
                    .child_counts
                    .entry((service.clone(), fingerprint))
                    .or_insert(0);
                *nth += 1;
                format!("{:032x}.{nth}", fingerprint.0).into()
            }
        };
        IdempotencyKey {
            caller: job.child_key_scope.clone(),
            service,
            text,
        }
    }

    fn open_request(&mut self, now: Time, draft: RequestDraft) {
        let token = draft.token;
        let open = OpenRequest {
            call: CallId {
                from: self.own_instance.incarnation,
                number: 0,
            },
            parent: draft.parent,
            delegated_retries: draft.delegated_retries,
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

    /// Ends a request: one answer, at once, and the unspent retries go back to the parent.
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
            job.retry_allowance.reclaim(open.delegated_retries, unspent);
            job.on_child_ended(now, token);
        }
        if matches!(outcome, Outcome::NotRun(_)) {
            self.return_quota_token(now, open.quota_token);
        }
        if let Some(sent) = open.request_hash {
            self.resends.record_end(now, sent, &outcome);
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

    /// Refuses a request that was never opened.
    pub(crate) fn refuse(&mut self, token: RequestToken, refusal: Refusal) {
        self.count(Counter::NotRun(refusal.reason));
        let outcome = Outcome::NotRun(refusal);
        self.outputs.push(Output::Answer {
            token,
            outcome,
            generated_key: None,
        });
    }

    pub(crate) fn on_caller_gone(&mut self, now: Time, token: RequestToken) {
        if self.unfollow(token) || self.cancel_quota_wait(token) {
            return;
        }
        if let Some(open) = self.open_requests.get(&token) {
            self.abandon_call(now, open.call);
        }
    }
}

/// The time that a request has waited for a token is part of what it has.
fn limit_deadline(
    mut draft: RequestDraft,
    now: Time,
    patience: Option<Duration>,
    latest: Time,
) -> RequestDraft {
    draft.deadline = draft.deadline.min(latest);
    if let Some(patience) = patience {
        draft.deadline = draft.deadline.min(now + patience);
    }
    draft
}
