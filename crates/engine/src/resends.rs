//! Callers that send a request again: they wait for the work in flight, or draw on a ratio.
//!
//! A caller that got no answer yet, or a refusal, and sends again makes load out of slowness. Here
//! a second request that is the same in every byte and comes from the same caller waits for the
//! answer to the first. One that was refused, and comes back before it was told to, counts against
//! a share of first sends that the rules set. A call with a key is never counted: only the key's
//! home knows whether it ran, and the caller may be asking just that.

use crate::request::Draft;
use crate::request::Sent;
use crate::Counter;
use crate::Engine;
use crate::Output;
use crate::Token;
use indexmap::IndexMap;
use policy::Bounds;
use policy::Budgets;
use proto::hash64;
use proto::Outcome;
use proto::Reason;
use proto::Refusal;
use proto::Request;
use std::sync::Arc;
use stdx::Bounded;
use stdx::Time;

/// Refused requests that are remembered.
const REFUSALS_KEPT: usize = 8192;

/// The most requests that wait for one answer.
const MAX_FOLLOWERS: usize = 16;

/// Requests in flight and refused, by what was sent.
#[derive(Debug)]
pub(crate) struct Resends {
    in_flight: IndexMap<Sent, Token>,
    /// When a refused caller may come back.
    refused: Bounded<Sent, Time>,
    budgets: Budgets,
}

impl Resends {
    pub(crate) fn new() -> Self {
        Self {
            in_flight: IndexMap::new(),
            refused: Bounded::new(REFUSALS_KEPT),
            budgets: Budgets::new(Bounds::default()),
        }
    }

    pub(crate) fn sent(caller: &str, request: &Request) -> Sent {
        hash64(&(caller, request))
    }

    /// Notes how a request ended.
    pub(crate) fn ended(&mut self, now: Time, sent: Sent, outcome: &Outcome) {
        self.in_flight.swap_remove(&sent);
        if let Outcome::NotRun(refusal) = outcome {
            let wait = std::time::Duration::from_millis(u64::from(refusal.retry_after_ms));
            self.refused.insert(sent, now + wait);
        }
    }

    /// Takes one from the ratio if the request comes back too early, and tells when it may.
    fn draw(&mut self, now: Time, sent: Sent, service: &Arc<str>, ratio: f64) -> Option<Time> {
        let not_before = self.refused.get(&sent).copied();
        match not_before.filter(|at| now < *at) {
            Some(at) => Some(at).filter(|_| !self.budgets.spend(now, service)),
            None => {
                self.budgets.earn_at(service, ratio);
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
        mut draft: Draft,
    ) -> Option<Draft> {
        // Two non-idempotent requests without a key may be two orders, however alike they are.
        let alike = draft.operation.idempotent && draft.key.is_none();
        let counts = draft.parent.is_none() && alike;
        if !self.cfg.policy.resend_limit || !counts {
            return Some(draft);
        }
        let sent = Resends::sent(caller, &draft.request);
        if let Some(leader) = self.leader(sent, &draft) {
            self.follow(leader, draft);
            return None;
        }
        let service = &draft.request.service;
        let ratio = f64::from(self.journal.rules.resend_percent(service)) / 100.0;
        if let Some(not_before) = self.resends.draw(now, sent, service, ratio) {
            let refusal = Refusal::new(Reason::ResendLimit, now.until(not_before));
            self.refuse(draft.token, refusal);
            return None;
        }
        self.resends.in_flight.insert(sent, draft.token);
        draft.sent = Some(sent);
        Some(draft)
    }

    /// The request in flight that is the same in every byte; a hash alone might be another's. Its
    /// answer must come before the re-send's own deadline.
    fn leader(&self, sent: Sent, draft: &Draft) -> Option<Token> {
        let token = self.resends.in_flight.get(&sent)?;
        let call = self.calls.get(&self.open_requests.get(token)?.call)?;
        let fits = call.request == draft.request && call.deadline <= draft.deadline;
        fits.then_some(*token)
    }

    fn follow(&mut self, leader: Token, draft: Draft) {
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
    pub(crate) fn unfollow(&mut self, token: Token) -> bool {
        if let Some(leader) = self.followers.swap_remove(&token) {
            if let Some(open) = self.open_requests.get_mut(&leader) {
                open.followers.retain(|follower| *follower != token);
            }
            // Every token gets an answer, or whoever holds it waits for ever.
            self.outputs.push(Output::Answer {
                token,
                outcome: Outcome::Unknown(Reason::CallerGone),
                made_key: None,
            });
            return true;
        }
        let open = self.open_requests.get(&token);
        open.is_some_and(|open| !open.followers.is_empty())
    }
}
