//! Callers that send a request again: they wait for the work in flight, or draw on a ratio.
//!
//! A caller that got no answer yet, or a refusal, and sends again makes load out of slowness. Here
//! a second request that is the same in every byte and comes from the same caller waits for the
//! answer to the first. One that was refused, and comes back before it was told to, counts against
//! a share of first sends that the rules set. A call with a key is never counted: only the key's
//! home knows whether it ran, and the caller may be asking just that.

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

/// Refused requests that are remembered.
const REFUSALS_KEPT: usize = 8192;

/// The most requests that wait for one answer.
const MAX_FOLLOWERS: usize = 16;

/// Requests in flight and refused, by what was sent.
#[derive(Debug)]
pub(crate) struct Resends {
    in_flight: IndexMap<RequestHash, RequestToken>,
    /// When a refused caller may come back.
    refused: BoundedMap<RequestHash, Time>,
    budgets: ResendBudgets,
}

impl Resends {
    pub(crate) fn new() -> Self {
        Self {
            in_flight: IndexMap::new(),
            refused: BoundedMap::new(REFUSALS_KEPT),
            budgets: ResendBudgets::new(BudgetConfig::default()),
        }
    }

    pub(crate) fn hash_of(caller: &str, request: &Request) -> RequestHash {
        hash64(&(caller, request))
    }

    /// Notes how a request ended.
    pub(crate) fn record_end(&mut self, now: Time, request_hash: RequestHash, outcome: &Outcome) {
        self.in_flight.swap_remove(&request_hash);
        if let Outcome::NotRun(refusal) = outcome {
            let wait = std::time::Duration::from_millis(u64::from(refusal.retry_after_ms));
            self.refused.insert(request_hash, now + wait);
        }
    }

    /// Takes one from the ratio if the request comes back too early, and tells when it may.
    fn draw(
        &mut self,
        now: Time,
        request_hash: RequestHash,
        service: &Arc<str>,
        ratio: f64,
    ) -> Option<Time> {
        let not_before = self.refused.get(&request_hash).copied();
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
    /// Lets a re-send wait for the work in flight, or refuses it; what is new goes on.
    pub(crate) fn filter_resend(
        &mut self,
        now: Time,
        caller: &str,
        mut draft: RequestDraft,
    ) -> Option<RequestDraft> {
        // Two non-idempotent requests without a key may be two orders, however alike they are.
        let alike = draft.operation.idempotent && draft.key.is_none();
        let counts = draft.parent.is_none() && alike;
        if !self.cfg.policy.resend_limit || !counts {
            return Some(draft);
        }
        let request_hash = Resends::hash_of(caller, &draft.request);
        if let Some(leader) = self.leader(request_hash, &draft) {
            self.follow(leader, draft);
            return None;
        }
        let service = &draft.request.service;
        let ratio = f64::from(self.journal.rules.resend_percent(service)) / 100.0;
        if let Some(not_before) = self.resends.draw(now, request_hash, service, ratio) {
            let refusal = Refusal::new(Reason::ResendLimit, now.until(not_before));
            self.refuse(draft.token, refusal);
            return None;
        }
        self.resends.in_flight.insert(request_hash, draft.token);
        draft.request_hash = Some(request_hash);
        Some(draft)
    }

    /// The request in flight that is the same in every byte; a hash alone might be another's. Its
    /// answer must come before the re-send's own deadline.
    fn leader(&self, request_hash: RequestHash, draft: &RequestDraft) -> Option<RequestToken> {
        let token = self.resends.in_flight.get(&request_hash)?;
        let call = self.calls.get(&self.open_requests.get(token)?.call)?;
        let fits = call.request == draft.request && call.deadline <= draft.deadline;
        fits.then_some(*token)
    }

    fn follow(&mut self, leader: RequestToken, draft: RequestDraft) {
        let Some(open) = self.open_requests.get_mut(&leader) else {
            return;
        };
        if open.followers.len() >= MAX_FOLLOWERS {
            let refusal = self.refusal(Reason::ResendLimit);
            return self.refuse(draft.token, refusal);
        }
        open.followers.push(draft.token);
        self.followers.insert(draft.token, leader);
        self.count(Counter::ResendAttached);
    }

    /// A caller has gone that waited for another request's answer, or for whose request others
    /// wait. Gives whether the work is still wanted.
    pub(crate) fn unfollow(&mut self, token: RequestToken) -> bool {
        if let Some(leader) = self.followers.swap_remove(&token) {
            if let Some(open) = self.open_requests.get_mut(&leader) {
                open.followers.retain(|follower| *follower != token);
            }
            // Every token gets an answer, or whoever holds it waits for ever.
            self.outputs.push(Output::Answer {
                token,
                outcome: Outcome::Unknown(Reason::CallerGone),
                generated_key: None,
            });
            return true;
        }
        let open = self.open_requests.get(&token);
        open.is_some_and(|open| !open.followers.is_empty())
    }
}
