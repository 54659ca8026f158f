//! Further attempts of calls: redirects of calls that did not run, and retries.

use crate::outgoing::OutgoingCall;
use crate::Counter;
use crate::Engine;
use proto::Outcome;
use proto::Reason;
use proto::Refusal;
use stdx::Time;

/// The maximum number of times that a call that provably did not run is sent to another node
/// without spending a retry.
const MAX_REDIRECTS: u8 = 3;

impl Engine {
    /// Sends a call that did not run to another instance, if that may help, or ends it.
    pub(crate) fn on_not_run(&mut self, now: Time, mut call: OutgoingCall, mut refusal: Refusal) {
        let reason = refusal.reason;
        if call.key.is_none() && reason == Reason::QueueFull && refusal.attempt_only {
            // The answer must not suggest that another attempt may have run.
            refusal.attempt_only = false;
            if call.redirects < MAX_REDIRECTS && now < call.deadline {
                return self.redirect_handed_over(now, call, refusal);
            }
        }
        if matches!(reason, Reason::QueueFull | Reason::ServerRefused) {
            call.record_refusal(refusal);
        }
        let redirect = match reason {
            Reason::Moving | Reason::Draining => self.has_other_target(&call),
            // The call was never sent and not refused, so the same node may accept it over another
            // connection.
            Reason::PeerLost => true,
            Reason::QueueFull => call.key.is_none() && self.has_room_elsewhere(now, &call),
            _ => false,
        };
        if redirect && call.redirects < MAX_REDIRECTS {
            call.redirects += 1;
            self.count(Counter::Redirect(reason));
            call.avoid.push(call.target.incarnation);
            return self.route(now, call);
        }
        let may_be_transient = matches!(
            reason,
            Reason::QueueFull | Reason::ServerRefused | Reason::ServerLost
        );
        if may_be_transient && self.try_spend_retry(now, &mut call) {
            self.count(Counter::Retry(reason));
            call.avoid.push(call.target.incarnation);
            return self.route(now, call);
        }
        // These refusals come from a node that did not look up the key's record.
        let refusal = match reason {
            Reason::Moving | Reason::NoLease | Reason::Draining | Reason::PeerLost => {
                call.scope_refusal(refusal)
            }
            _ if call.refusal_holds(now, &refusal) => refusal,
            _ => call.scope_refusal(refusal),
        };
        self.finish_call(now, call, Outcome::NotRun(refusal));
    }

    /// Sends a call that a slow server has handed over to another instance. The server's node knows
    /// of room elsewhere, so this node need not know of any.
    ///
    /// If this node can use no other instance, or the others would shed the call, it goes back to the
    /// server. With the maximum number of redirects it is not handed over once more.
    fn redirect_handed_over(&mut self, now: Time, mut call: OutgoingCall, refusal: Refusal) {
        call.record_refusal(refusal);
        self.count(Counter::Redirect(refusal.reason));
        call.redirects += 1;
        call.avoid.push(call.target.incarnation);
        let target = self.admit(now, &mut call).unwrap_or_else(|_| {
            call.avoid.pop();
            call.redirects = MAX_REDIRECTS;
            call.target.clone()
        });
        self.send_to_target(now, call, target);
    }

    /// Whether a call that its target refused can be sent to another node.
    ///
    /// A call with a key is sent to the key's home node only. While this node knows no other home
    /// node, repeated attempts would get the same refusal several times within milliseconds.
    fn has_other_target(&self, call: &OutgoingCall) -> bool {
        let Some((key, _)) = call.key else {
            return true;
        };
        let home = self.home_of(&call.request.service, key);
        home.is_some_and(|home| home.incarnation != call.target.incarnation)
    }

    /// Retries a call whose attempt was lost, if that is allowed, or ends it.
    ///
    /// It stays unknown whether the attempt ran, so only an idempotent call may be retried. All
    /// calls of the second run count as retries, so there must be enough left for all of them; with
    /// fewer the second run could not finish, and its work would be wasted.
    pub(crate) fn on_attempt_lost(&mut self, now: Time, mut call: OutgoingCall, reason: Reason) {
        call.may_have_run = true;
        let expected_calls = self.admission.downstream_calls(&call.operation);
        let needed = 1 + expected_calls.max(call.downstream_calls);
        let allowed = call.retry_allowance.remaining() >= needed || call.hop_retries > 0;
        if call.idempotent && allowed && self.try_spend_retry(now, &mut call) {
            self.count(Counter::Retry(reason));
            call.possible_repeat = self.cfg.policy.hop_retries == 0;
            call.avoid.push(call.target.incarnation);
            return self.route(now, call);
        }
        self.finish_call(now, call, Outcome::Unknown(reason));
    }

    /// Spends a retry of the action and one of this node's share of the fleet's retry budget for
    /// the service, and returns whether both were available. The budget keeps retries a small share
    /// of the calls to the service even if every action has some left.
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
        let has_budget = self.cfg.policy.retry_budget;
        let nodes = self.members.fleet_size();
        let service = &call.request.service;
        if has_budget
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
}
