//! Callers that send a request again: a re-send waits for the request in flight, or counts against
//! a limit.
//!
//! Callers that send again when an answer is late, or after a refusal, add load to services that
//! are already slow. Here a request from the same caller that is identical in every byte waits for
//! the answer to the first one. A request that was refused and is sent again before its retry delay
//! is over counts against a limit, which the rules set as a share of first requests. A call with an
//! idempotency key is never counted: only the home node of the key knows whether it ran, and that
//! may be what the caller wants to find out.

use crate::request::RequestDraft;
use crate::request::RequestHash;
use crate::Counter;
use crate::Engine;
use crate::Output;
use crate::RequestToken;
use indexmap::IndexMap;
use policy::BudgetConfig;
use policy::ResendBudgets;
use proto::hash64;
use proto::Outcome;
use proto::Reason;
use proto::Refusal;
use proto::Request;
use std::sync::Arc;
use stdx::BoundedMap;
use stdx::Time;

/// The maximum number of refused requests that are remembered.
const MAX_REFUSALS: usize = 8192;

/// The maximum number of requests that wait for the same answer.
const MAX_FOLLOWERS: usize = 16;

/// Requests in flight and refused requests, by their hash.
#[derive(Debug)]
pub(crate) struct Resends {
    in_flight: IndexMap<RequestHash, RequestToken>,
    /// When a refused request may be sent again.
    retry_times: BoundedMap<RequestHash, Time>,
    budgets: ResendBudgets,
}

impl Resends {
    pub(crate) fn new() -> Self {
        Self {
            in_flight: IndexMap::new(),
            retry_times: BoundedMap::new(MAX_REFUSALS),
            budgets: ResendBudgets::new(BudgetConfig::default()),
        }
    }

    pub(crate) fn hash_of(caller: &str, request: &Request) -> RequestHash {
        hash64(&(caller, request))
    }

    /// Records how a request ended.
    pub(crate) fn record_end(&mut self, now: Time, request_hash: RequestHash, outcome: &Outcome) {
        self.in_flight.swap_remove(&request_hash);
        if let Outcome::NotRun(refusal) = outcome {
            let delay = std::time::Duration::from_millis(u64::from(refusal.retry_after_ms));
            self.retry_times.insert(request_hash, now + delay);
        }
    }

    /// Counts a request that is sent again before its retry delay is over against the limit of the
    /// service. Returns the end of the delay if the limit is used up, otherwise `None`. Any other
    /// request raises the limit by `ratio`.
    fn check_early_resend(
        &mut self,
        now: Time,
        request_hash: RequestHash,
        service: &Arc<str>,
        ratio: f64,
    ) -> Option<Time> {
        let not_before = self.retry_times.get(&request_hash).copied();
        match not_before.filter(|at| now < *at) {
            Some(at) => Some(at).filter(|_| !self.budgets.try_withdraw(now, service)),
            None => {
                self.budgets.deposit_with_ratio(service, ratio);
                None
            }
        }
    }
}

impl Engine {
    /// Lets a re-send wait for the request in flight, or refuses it. Any other request passes.
    pub(crate) fn filter_resend(
        &mut self,
        now: Time,
        caller: &str,
        mut draft: RequestDraft,
    ) -> Option<RequestDraft> {
        // Two non-idempotent requests without a key may be two orders, even if they are identical.
        let is_coalescable = draft.operation.idempotent && draft.key.is_none();
        // Only such requests may follow a leader or count against the limit.
        let is_filtered = draft.parent.is_none() && is_coalescable;
        if !self.cfg.policy.resend_limit || !is_filtered {
            return Some(draft);
        }
        let request_hash = Resends::hash_of(caller, &draft.request);
        if let Some(leader) = self.find_leader(request_hash, &draft) {
            self.follow(leader, draft);
            return None;
        }
        let service = &draft.request.service;
        let ratio = f64::from(self.journal.rules.resend_percent(service)) / 100.0;
        if let Some(not_before) = self
            .resends
            .check_early_resend(now, request_hash, service, ratio)
        {
            let refusal = Refusal::new(Reason::ResendLimit, now.until(not_before));
            self.refuse(draft.token, refusal);
            return None;
        }
        self.resends.in_flight.insert(request_hash, draft.token);
        draft.request_hash = Some(request_hash);
        Some(draft)
    }

    /// The request in flight, called the leader, whose answer this re-send may wait for. All bytes
    /// are compared, because a different request could have the same hash. The leader's deadline
    /// must not be later than the re-send's, because its answer may come as late as its deadline.
    fn find_leader(&self, request_hash: RequestHash, draft: &RequestDraft) -> Option<RequestToken> {
        let token = self.resends.in_flight.get(&request_hash)?;
        let call = self.calls.get(&self.open_requests.get(token)?.call)?;
        let is_same = call.request == draft.request && call.deadline <= draft.deadline;
        is_same.then_some(*token)
    }

    fn follow(&mut self, leader: RequestToken, draft: RequestDraft) {
        let Some(leader_request) = self.open_requests.get_mut(&leader) else {
            return;
        };
        if leader_request.followers.len() >= MAX_FOLLOWERS {
            let refusal = self.refusal(Reason::ResendLimit);
            return self.refuse(draft.token, refusal);
        }
        leader_request.followers.push(draft.token);
        self.followers.insert(draft.token, leader);
        self.count(Counter::ResendAttached);
    }

    /// Handles the disconnected caller of a request that may wait for another one's answer or have
    /// others waiting for its own. Returns whether the work in flight must continue: if the request
    /// waited for a leader, or is a leader that others still wait for.
    pub(crate) fn detach_caller(&mut self, token: RequestToken) -> bool {
        if let Some(leader) = self.followers.swap_remove(&token) {
            if let Some(leader_request) = self.open_requests.get_mut(&leader) {
                leader_request
                    .followers
                    .retain(|follower| *follower != token);
            }
            // The caller's connection stays open until its request is answered.
            self.outputs.push(Output::Answer {
                token,
                outcome: Outcome::Unknown(Reason::CallerGone),
                generated_key: None,
            });
            return true;
        }
        let request = self.open_requests.get(&token);
        request.is_some_and(|request| !request.followers.is_empty())
    }
}
