//! Calls with an idempotency key that wait at the key's home node until they can be handled.

use crate::serve::InboundCall;
use crate::serve::InboundWork;
use crate::timers::Timer;
use crate::Engine;
use indexmap::IndexMap;
use proto::Call;
use proto::CallId;
use proto::KeyHash;
use proto::Reason;
use std::time::Duration;
use stdx::Time;

/// The maximum number of held calls.
const MAX_HELD_CALLS: usize = 1024;

/// How long a call is held.
const MAX_HOLD_TIME: Duration = Duration::from_secs(2);

/// A call that waits for the transfer of its slot, or for the end of the hold of its key.
#[derive(Debug)]
pub(crate) struct HeldCall {
    call: Call,
    key: KeyHash,
    /// When it arrived at this node.
    arrived: Time,
    /// Since when it is held; later than its arrival if it is held again.
    since: Time,
    until: Time,
}

/// Calls that are held, by id.
pub(crate) type HeldCalls = IndexMap<CallId, HeldCall>;

impl Engine {
    /// Holds a call until its slot has been transferred to this node, or the hold of its key has
    /// ended. A refusal would send the call from node to node during the few milliseconds of the
    /// transfer. Both the time and the number of held calls are bounded.
    pub(crate) fn hold_call(&mut self, now: Time, arrived: Time, key: KeyHash, call: Call) {
        let (id, allowance) = (call.id, call.retry_allowance);
        if self.held_calls.len() >= MAX_HELD_CALLS {
            return self.answer_call(id, allowance, self.not_run(Reason::Moving));
        }
        let until = now + MAX_HOLD_TIME.min(Duration::from_millis(u64::from(call.remaining_ms)));
        self.timers.set(until, Timer::HeldCallTimeout(id));
        self.inbound.insert(
            id,
            InboundCall {
                work: InboundWork::SlotTransfer,
            },
        );
        let held = HeldCall {
            call,
            key,
            arrived,
            since: now,
            until,
        };
        self.held_calls.insert(id, held);
    }

    fn take_held(&mut self, id: CallId) -> Option<HeldCall> {
        let held = self.held_calls.swap_remove(&id)?;
        self.timers.clear(held.until, Timer::HeldCallTimeout(id));
        self.inbound.swap_remove(&id);
        Some(held)
    }

    /// Refuses a call whose slot did not arrive in time.
    pub(crate) fn on_hold_timeout(&mut self, id: CallId) {
        if let Some(held) = self.take_held(id) {
            self.answer_call(id, held.call.retry_allowance, self.not_run(Reason::Moving));
        }
    }

    /// Drops a held call whose caller has disconnected.
    pub(crate) fn cancel_held(&mut self, id: CallId) {
        if let Some(held) = self.take_held(id) {
            self.answer_call(
                id,
                held.call.retry_allowance,
                self.not_run(Reason::CallerGone),
            );
        }
    }

    /// Handles the held calls whose keys pass the filter as if they had just arrived.
    pub(crate) fn release_held_calls(&mut self, now: Time, may_continue: impl Fn(KeyHash) -> bool) {
        let waiting = self.held_calls.iter();
        let waiting: Vec<CallId> = waiting
            .filter(|(_, held)| may_continue(held.key))
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            let Some(mut held) = self.take_held(id) else {
                continue;
            };
            let waited = u32::try_from(now.since(held.since).as_millis()).unwrap_or(u32::MAX);
            let call = &mut held.call;
            call.remaining_ms = call.remaining_ms.saturating_sub(waited);
            call.objective_ms = call.objective_ms.map(|left| left.saturating_sub(waited));
            self.begin_keyed_call(now, held.arrived, held.call);
        }
    }
}
