//! Refusals of calls with a key, by the key's home node.

use crate::Engine;
use proto::CallId;
use proto::KeyHash;
use proto::Outcome;
use proto::Refusal;
use std::time::Duration;
use stdx::Time;

/// Clock rates of two nodes differ by at most 1/`CLOCK_DRIFT_DIVISOR`.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// A call that is answered when the run of its key ends.
#[derive(Debug)]
pub(crate) struct WaitingCall {
    pub(crate) id: CallId,
    pub(crate) arrived: Time,
    /// No other attempt of the caller with this key can be on its way.
    pub(crate) first_attempt: bool,
}

impl Engine {
    /// Answers a call at the home of its key. A refusal states for how long no run with the key
    /// starts, because an attempt that its caller sent meanwhile would otherwise run before the
    /// refusal is read.
    pub(crate) fn answer_keyed_call(
        &mut self,
        now: Time,
        key: KeyHash,
        call: &WaitingCall,
        unspent_retries: u16,
        outcome: Outcome,
    ) {
        let outcome = match outcome {
            Outcome::NotRun(refusal) if !call.first_attempt => {
                Outcome::NotRun(self.refuse_key(now, key, call, refusal))
            }
            outcome => outcome,
        };
        self.answer_call(call.id, unspent_retries, outcome);
    }

    fn refuse_key(
        &mut self,
        now: Time,
        key: KeyHash,
        call: &WaitingCall,
        refusal: Refusal,
    ) -> Refusal {
        let hold = self.home.hold_refused(now, key, call.id);
        if hold.is_zero() {
            return refusal;
        }
        let waited: Duration = now.since(call.arrived);
        refusal.with_no_run_within(waited - waited / CLOCK_DRIFT_DIVISOR + hold)
    }
}
