//! Calls whose connection was lost.

use crate::outgoing::OutgoingCall;
use crate::timers::Timer;
use crate::Counter;
use crate::Engine;
use proto::CallId;
use proto::Frame;
use proto::Incarnation;
use proto::PeerState;
use proto::Reason;
use std::time::Duration;
use stdx::Time;

/// The maximum number of times that a call is sent again under the same id over a new connection.
const MAX_REATTACHES: u8 = 5;

/// The delay before a call is sent again if the new connection failed too. Doubles each time.
const REATTACH_DELAY: Duration = Duration::from_millis(200);

impl Engine {
    /// Sends the calls of a lost connection again under the same ids, so that the peer attaches
    /// them to the work that it already has. Otherwise an answer that was in transit when the
    /// connection was lost would be lost as well, although the work was done.
    pub(crate) fn on_peer_lost(&mut self, now: Time, peer: Incarnation) {
        for id in self.calls_to(peer) {
            let Some(mut call) = self.calls.swap_remove(&id) else {
                continue;
            };
            if call.reattaches < MAX_REATTACHES {
                call.reattaches += 1;
                self.count(Counter::Reattach);
                self.send_attempt(now, id, &call);
                self.calls.insert(id, call);
            } else {
                self.selector.on_ended(peer);
                self.timers.clear(call.deadline, Timer::CallDeadline(id));
                self.on_attempt_lost(now, call, Reason::PeerLost);
            }
        }
    }

    /// Handles frames that could not be sent. A call that was never sent before has certainly not
    /// run.
    pub(crate) fn on_peer_unreachable(&mut self, now: Time, peer: Incarnation, unsent: Vec<Frame>) {
        self.selector.on_connection_failed(now, peer, &mut self.rng);
        for frame in unsent {
            let Frame::Call(frame) = frame else {
                continue;
            };
            let Some(mut call) = self.take_call(frame.id) else {
                continue;
            };
            if call.reattaches > 0 {
                self.schedule_reattach(now, frame.id, call);
            } else {
                call.retry_allowance
                    .reclaim(call.delegated_retries, call.delegated_retries);
                let refusal = self.refusal(Reason::PeerLost);
                self.on_not_run(now, call, refusal);
            }
        }
    }

    /// Retries a call that may have been sent before and could not be sent again. Only the target
    /// knows whether it ran, so the call is retried there until the target is known to be dead. A
    /// call that may as well run elsewhere does not wait for that.
    fn schedule_reattach(&mut self, now: Time, id: CallId, mut call: OutgoingCall) {
        let target = call.target.incarnation;
        let target_gone = self
            .members
            .get(target)
            .is_none_or(|peer| peer.state == PeerState::Dead);
        let may_run_elsewhere = call.idempotent && call.retry_allowance.remaining() > 0;
        if target_gone || may_run_elsewhere || call.reattaches >= MAX_REATTACHES {
            return self.on_attempt_lost(now, call, Reason::PeerLost);
        }
        let delay = REATTACH_DELAY * (1 << call.reattaches);
        call.reattaches += 1;
        self.timers.set(call.deadline, Timer::CallDeadline(id));
        self.timers.set(now + delay, Timer::Reattach(id));
        self.selector.on_sent(target);
        self.calls.insert(id, call);
    }

    pub(crate) fn on_reattach_timer(&mut self, now: Time, id: CallId) {
        if let Some(call) = self.calls.swap_remove(&id) {
            self.count(Counter::Reattach);
            self.send_attempt(now, id, &call);
            self.calls.insert(id, call);
        }
    }
}
