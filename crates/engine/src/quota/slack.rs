//! Allocation of tokens by rank and slack: which request waits, which is refused at once, and when
//! a refused caller should return. In force while the rules schedule by slack.

use crate::counter::QuotaEvent;
use crate::diagnostic::QuotaRefusal;
use crate::quota::slack_queues::Waiting;
use crate::quota::slack_queues::CHECK_INTERVAL;
use crate::quota::token_request::hash_of;
use crate::quota::token_request::TokenRequest;
use crate::request::Arrival;
use crate::request::RefusedRequest;
use crate::Counter;
use crate::Diagnostic;
use crate::Engine;
use crate::Output;
use crate::RequestToken;
use organisation::QuotaToken;
use organisation::Refused;
use organisation::Returned;
use organisation::TokenClaim;
use proto::Loan;
use proto::OrganisationId;
use proto::Reason;
use proto::Refusal;
use proto::TokenDemand;
use rules::Operation;
use rules::Quota;
use stdx::Time;

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    NoTokenInTime,
    WaitEnded,
    Displaced,
}

impl Engine {
    /// Spends a token on a new request, or lets it wait, or refuses it. Returns the request and the
    /// token if there was one.
    pub(crate) fn request_token_by_slack(
        &mut self,
        now: Time,
        mut arrival: Arrival,
        operation: &Operation,
        organisation: OrganisationId,
        quota: Quota,
    ) -> Option<(Arrival, QuotaToken)> {
        self.quota.borrower.record_demand(now, organisation, quota);
        let (hash, was_promised) = self.recognise_caller(now, organisation, &mut arrival);
        let request = self.token_request(now, arrival, operation, hash, was_promised);
        let available = self.quota.borrower.available(now, organisation);
        let queue = self.quota.slack.queues.get(&organisation);
        let may_take = queue.is_none_or(|queue| queue.may_take(now, &request.claim, available));
        if may_take {
            if let Some(token) = self.quota.borrower.try_spend_waiting(now, organisation) {
                let arrival = self.on_token_spent(organisation, request);
                self.update_token_demand(now, organisation);
                return Some((arrival, token));
            }
        }
        let queue = self.quota.slack.queue(now, organisation);
        match queue.should_wait(now, &request.claim) {
            true => self.wait_by_slack(now, organisation, request),
            false => self.refuse_by_slack(now, organisation, request, Cause::NoTokenInTime),
        }
        self.update_token_demand(now, organisation);
        None
    }

    /// Looks up whether a caller returns after a refusal. One that comes after its retry
    /// delay is treated as if it had waited since its first attempt. Returns the hash of the request,
    /// and whether a token is held for it.
    fn recognise_caller(
        &mut self,
        now: Time,
        organisation: OrganisationId,
        arrival: &mut Arrival,
    ) -> (Option<u64>, bool) {
        if !self.quota.slack.returns.is_expecting(now) {
            return (None, false);
        }
        let hash = hash_of(arrival);
        let refused = match self.quota.slack.returns.on_request(now, hash) {
            Returned::Unknown => return (Some(hash), false),
            Returned::Early(_) => {
                self.count(Counter::Quota(QuotaEvent::ReturnedEarly));
                return (Some(hash), false);
            }
            Returned::OnTime(refused) => refused,
        };
        self.count(Counter::Quota(QuotaEvent::ReturnedOnTime));
        arrival.first_at = refused.first_at;
        let queue = self.quota.slack.queues.get_mut(&organisation);
        let promise = queue.zip(refused.promise);
        let was_promised = promise.is_some_and(|(queue, promise)| queue.redeem(promise));
        (Some(hash), was_promised)
    }

    fn wait_by_slack(&mut self, now: Time, organisation: OrganisationId, request: TokenRequest) {
        let (token, claim) = (request.arrival.token, request.claim);
        let slack = &mut self.quota.slack;
        let (key, displaced) = slack.queue(now, organisation).push(now, claim, token);
        slack.expiries.insert((claim.wait_until, token));
        let waiting = Waiting {
            organisation,
            key,
            wait_until: claim.wait_until,
            request,
        };
        slack.waiting.insert(token, waiting);
        let displaced = displaced.or_else(|| slack.displace_last());
        if let Some((_, token)) = displaced {
            self.refuse_waiting_by_slack(now, token, Cause::Displaced);
        }
    }

    /// A request has got its token. An early caller's promise is no longer needed.
    fn on_token_spent(&mut self, organisation: OrganisationId, request: TokenRequest) -> Arrival {
        let slack = &mut self.quota.slack;
        let refused = request.hash.and_then(|hash| slack.returns.forget(hash));
        if let Some(queue) = slack.queues.get_mut(&organisation) {
            if let Some(promise) = refused.and_then(|refused| refused.promise) {
                queue.redeem(promise);
            }
        }
        request.arrival
    }

    /// Tells the borrower how many tokens are needed now, including those for requests that began
    /// to wait before the rules scheduled by slack.
    fn update_token_demand(&mut self, now: Time, organisation: OrganisationId) {
        let queue = self.quota.slack.queues.get(&organisation);
        let (all, urgent) = queue.map_or((0, 0), |queue| queue.demand(now));
        let earlier = self.quota.waiting.values();
        let earlier = earlier.filter(|(id, _)| *id == organisation).count() as u32;
        let all = all + earlier;
        let borrower = &mut self.quota.borrower;
        borrower.set_waiting(now, organisation, all, urgent);
    }

    /// Handles a lender's answer: admits waiting requests, and refuses those that are no longer
    /// expected to get a token in time.
    pub(crate) fn on_loan_by_slack(&mut self, now: Time, demand: TokenDemand, loan: Loan) {
        let Some(queue) = self.quota.slack.queues.get_mut(&loan.organisation) else {
            return;
        };
        queue.record_loan(now, demand, loan.tokens);
        self.admit_by_slack(now, loan.organisation);
        let queue = self.quota.slack.queues.get_mut(&loan.organisation);
        let infeasible = queue.map_or_else(Vec::new, |queue| queue.take_infeasible(now));
        for (_, token) in infeasible {
            self.refuse_waiting_by_slack(now, token, Cause::NoTokenInTime);
        }
        self.update_token_demand(now, loan.organisation);
    }

    /// Admits waiting requests as long as there are tokens for them.
    pub(crate) fn admit_by_slack(&mut self, now: Time, organisation: OrganisationId) {
        loop {
            let available = self.quota.borrower.available(now, organisation);
            let queue = self.quota.slack.queues.get_mut(&organisation);
            let Some((_, token)) = queue.and_then(|queue| queue.pop(now, available)) else {
                break;
            };
            let Some(waiting) = self.quota.slack.remove_waiting(token) else {
                continue;
            };
            let Some(quota_token) = self.quota.borrower.try_spend_waiting(now, organisation) else {
                self.count(Counter::InvariantViolated);
                self.refuse_by_slack(now, organisation, waiting.request, Cause::NoTokenInTime);
                break;
            };
            let arrival = self.on_token_spent(organisation, waiting.request);
            self.on_quota_granted(now, arrival, quota_token);
        }
    }

    /// Refuses requests that have waited for too long, and checks promises.
    pub(crate) fn tick_slack(&mut self, now: Time) {
        while let Some((at, token)) = self.quota.slack.expiries.first().copied() {
            if now < at {
                break;
            }
            let waiting = self.quota.slack.waiting.get(&token);
            let organisation = waiting.map(|waiting| waiting.organisation);
            self.refuse_waiting_by_slack(now, token, Cause::WaitEnded);
            if let Some(organisation) = organisation {
                self.update_token_demand(now, organisation);
            }
        }
        if self.quota.slack.check_at.take_if(|at| *at <= now).is_none() {
            return;
        }
        let slack = &mut self.quota.slack;
        slack.queues.retain(|_, queue| !queue.is_idle(now));
        if slack.queues.is_empty() {
            return;
        }
        slack.check_at = Some(now + CHECK_INTERVAL);
        let active = slack
            .queues
            .iter()
            .filter(|(_, queue)| queue.is_active(now));
        let organisations: Vec<OrganisationId> = active.map(|(id, _)| *id).collect();
        for organisation in organisations {
            if let Some(queue) = self.quota.slack.queues.get_mut(&organisation) {
                queue.drop_expired_promises(now);
            }
            self.admit_by_slack(now, organisation);
            self.update_token_demand(now, organisation);
        }
    }

    /// Removes the waiting request of a caller that has disconnected. Returns whether there was
    /// one.
    pub(crate) fn cancel_wait_by_slack(&mut self, now: Time, token: RequestToken) -> bool {
        let Some(waiting) = self.quota.slack.remove_waiting(token) else {
            return false;
        };
        self.update_token_demand(now, waiting.organisation);
        true
    }

    /// Passes the waiting requests of an organisation that no longer has a quota through the filters
    /// again: they need no token any more, or the organisation was removed.
    pub(crate) fn release_by_slack(&mut self, now: Time, organisation: OrganisationId) {
        let organisations = self.journal.rules.organisations.as_ref();
        let found = organisations.and_then(|all| all.get(organisation));
        if found.is_some_and(|found| found.quota.is_some()) {
            return;
        }
        let slack = &mut self.quota.slack;
        let released = slack.remove_all_waiting(|waiting| waiting.organisation == organisation);
        slack.queues.swap_remove(&organisation);
        for waiting in released {
            self.on_request(now, waiting.request.arrival);
        }
    }

    /// Refuses all waiting requests, because this node is stopping and accepts no more.
    pub(crate) fn refuse_all_by_slack(&mut self, now: Time) {
        for waiting in self.quota.slack.remove_all_waiting(|_| true) {
            self.update_token_demand(now, waiting.organisation);
            let refusal = self.refusal(Reason::Draining);
            self.refuse_unopened(RefusedRequest::from(&waiting.request.arrival), refusal);
        }
    }

    fn refuse_waiting_by_slack(&mut self, now: Time, token: RequestToken, cause: Cause) {
        if let Some(waiting) = self.quota.slack.remove_waiting(token) {
            self.refuse_by_slack(now, waiting.organisation, waiting.request, cause);
        }
    }

    fn refuse_by_slack(
        &mut self,
        now: Time,
        organisation: OrganisationId,
        request: TokenRequest,
        cause: Cause,
    ) {
        self.count(Counter::Quota(match cause {
            Cause::NoTokenInTime => QuotaEvent::NoTokenInTime,
            Cause::WaitEnded => QuotaEvent::WaitEnded,
            Cause::Displaced => QuotaEvent::Displaced,
        }));
        let tokens = self.quota.borrower.available(now, organisation);
        let lender_was_short = self.quota.borrower.lender_was_short(organisation);
        let retry_limit = Self::longest_retry_delay(now, &request);
        let TokenRequest {
            arrival,
            claim,
            objective,
            hash,
        } = request;
        let claim = TokenClaim {
            retry_limit,
            ..claim
        };
        let hash = hash.unwrap_or_else(|| hash_of(&arrival));
        let slack = &mut self.quota.slack;
        // A caller that returns before its retry delay has passed gets the rest of the delay.
        let told = match slack.returns.on_request(now, hash) {
            Returned::Early(refused) => Some(refused),
            _ => None,
        };
        let queue = slack.queue(now, organisation);
        let reason = match lender_was_short || queue.is_short(now) {
            true => Reason::QuotaExceeded,
            false => Reason::QuotaUnknown,
        };
        let mut advice = queue.advise_retry(now, &claim, told.is_none());
        match told {
            Some(refused) => advice.retry_after = now.until(refused.return_at),
            None => slack.returns.insert(
                hash,
                Refused {
                    first_at: arrival.first_at,
                    return_at: now + advice.retry_after.min(claim.retry_limit),
                    objective,
                    promise: advice.promise,
                },
            ),
        }
        if advice.promise.is_some() {
            self.count(Counter::Quota(QuotaEvent::Promised));
        }
        self.outputs
            .push(Output::Diagnostic(Diagnostic::QuotaRefused(QuotaRefusal {
                request: arrival.request.id.clone(),
                organisation: arrival.request.organisation.clone(),
                is_lookup: claim.rank.is_lookup,
                priority: claim.rank.priority,
                is_urgent: claim.is_urgent,
                objective_left: now.until(objective),
                waited: now.since(arrival.at),
                tokens,
                ahead: advice.ahead,
                promised: advice.promised,
                rate_millihertz: advice.rate_millihertz,
                retry_after: advice.retry_after,
                has_promise: advice.promise.is_some(),
            })));
        self.refuse_unopened(
            RefusedRequest::from(&arrival),
            Refusal::new(reason, advice.retry_after),
        );
    }
}
