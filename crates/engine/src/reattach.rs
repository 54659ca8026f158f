//! Calls whose connection is lost.

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

/// How often a call is sent again under the same id over a new connection.
const MAX_REATTACHES: u8 = 5;

/// How long to wait before a call is sent again that a new connection did not take either; doubles
/// each time.
const REATTACH_WAIT: Duration = Duration::from_millis(200);

impl Engine {
    /// The connection is gone: calls go out again under the same id, which makes the other end
    /// attach them to what it already has. Without this an answer that was on its way when the
    /// connection went silent would be lost, though the work was done.
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
                self.after_lost(now, call, Reason::PeerLost);
            }
        }
    }

    /// Frames could not be sent. A call's first sending certainly did not run.
    pub(crate) fn on_peer_unreachable(&mut self, now: Time, peer: Incarnation, unsent: Vec<Frame>) {
        self.selector.on_failed(now, peer, &mut self.rng);
        for frame in unsent {
            let Frame::Call(frame) = frame else {
                continue;
            };
            let Some(mut call) = self.take_call(frame.id) else {
                continue;
            };
            if call.reattaches > 0 {
                self.reattach_later(now, frame.id, call);
            } else {
                call.retry_allowance
                    .give_back(call.delegated_retries, call.delegated_retries);
                let refusal = self.refusal(Reason::PeerLost);
                self.after_not_run(now, call, refusal);
            }
        }
    }

    /// A call that may have been sent before could not be sent again. Whether it ran is known only
    /// over there, so it is tried until the other end is known to be gone; what may just as well
    /// run elsewhere does not wait for that.
    fn reattach_later(&mut self, now: Time, id: CallId, mut call: OutgoingCall) {
        let target = call.target.incarnation;
        let gone = self
            .members
            .get(target)
            .is_none_or(|peer| peer.state == PeerState::Dead);
        let elsewhere = call.idempotent && call.retry_allowance.left() > 0;
        if gone || elsewhere || call.reattaches >= MAX_REATTACHES {
            return self.after_lost(now, call, Reason::PeerLost);
        }
        let wait = REATTACH_WAIT * (1 << call.reattaches);
        call.reattaches += 1;
        self.timers.set(call.deadline, Timer::CallDeadline(id));
        self.timers.set(now + wait, Timer::Reattach(id));
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
