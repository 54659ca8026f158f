//! Suspects, and the time that they have to refute.

use crate::members::Membership;
use proto::Incarnation;
use proto::PeerState;
use stdx::Time;

/// The most suspects that are asked after a pause.
const MAX_ASKED_AFTER_PAUSE: usize = 32;

impl Membership {
    /// From now on the peer has a time to refute in.
    pub(crate) fn start_suspicion(&mut self, now: Time, incarnation: Incarnation) {
        let at = now + self.cfg.suspicion_timeout;
        if let Some(entry) = self.peers.get_mut(&incarnation) {
            if entry.dead_at.is_none() {
                entry.dead_at = Some(at);
                self.suspects.insert((at, incarnation));
            }
        }
    }

    pub(crate) fn tick_suspects(&mut self, now: Time) {
        while let Some((at, incarnation)) = self.suspects.first().copied() {
            if at > now {
                return;
            }
            self.suspects.pop_first();
            let Some(entry) = self.peers.get_mut(&incarnation) else {
                continue;
            };
            entry.dead_at = None;
            let heard = |at: Time| now.since(at) < self.cfg.suspicion_timeout;
            // Who is leaving is not suspected aloud, so it cannot refute; being heard will do.
            let leaving = entry.peer.state == PeerState::Leaving;
            if leaving && entry.heard.is_some_and(heard) {
                continue;
            }
            let beat = entry.beat;
            self.set_state(now, incarnation, PeerState::Dead, beat);
        }
    }

    /// A node that was paused finds all its timers run out, and the acks and refutations that came
    /// meanwhile unread or lost. Without this it would hold live peers for dead when it wakes up.
    /// Suspects get their time anew, and are asked, because their refutations are old news.
    pub(crate) fn excuse_pause(&mut self, now: Time) {
        let due = self.next_timer().unwrap_or(now);
        if now.since(due) < self.cfg.probe_interval || due == Time::ZERO {
            return;
        }
        self.probes.abandon();
        let suspects = std::mem::take(&mut self.suspects);
        for (asked, (_, incarnation)) in suspects.into_iter().enumerate() {
            let Some(entry) = self.peers.get_mut(&incarnation) else {
                continue;
            };
            entry.dead_at = None;
            let addr = entry.peer.instance.addr;
            self.start_suspicion(now, incarnation);
            if asked < MAX_ASKED_AFTER_PAUSE {
                self.ping(addr);
            }
        }
    }
}
