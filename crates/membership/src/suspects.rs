//! Suspects, and the period in which they may refute the suspicion.

use crate::members::Membership;
use proto::Incarnation;
use proto::PeerState;
use stdx::Time;

/// Maximum number of suspects that are pinged after a pause.
const MAX_PINGS_AFTER_PAUSE: usize = 32;

impl Membership {
    /// Starts the period in which the peer may refute the suspicion, unless it is already running.
    pub(crate) fn start_suspicion(&mut self, now: Time, incarnation: Incarnation) {
        let at = now + self.cfg.suspicion_timeout;
        if let Some(entry) = self.peers.get_mut(&incarnation) {
            if entry.suspicion_deadline.is_none() {
                entry.suspicion_deadline = Some(at);
                self.suspects.insert((at, incarnation));
            }
        }
    }

    /// Marks suspects as dead whose period to refute has ended.
    pub(crate) fn expire_suspicions(&mut self, now: Time) {
        while let Some((at, incarnation)) = self.suspects.first().copied() {
            if at > now {
                return;
            }
            self.suspects.pop_first();
            let Some(entry) = self.peers.get_mut(&incarnation) else {
                continue;
            };
            entry.suspicion_deadline = None;
            let is_recent = |heard_at: Time| now.since(heard_at) < self.cfg.suspicion_timeout;
            // The suspicion of a leaving peer is not announced, so the peer cannot refute it. Any
            // message received from it meanwhile ends the suspicion instead.
            let leaving = entry.peer.state == PeerState::Leaving;
            if leaving && entry.last_heard.is_some_and(is_recent) {
                continue;
            }
            let revision = entry.revision;
            self.set_state_and_gossip(now, incarnation, PeerState::Dead, revision);
        }
    }

    /// Restarts all timers if this node was paused. After a pause all its timers have expired,
    /// while the acks and refutations that arrived meanwhile are unread or lost, so it would
    /// declare live peers dead. Suspects get a new period to refute, and are pinged, because their
    /// refutations are no longer repeated.
    pub(crate) fn restart_timers_after_pause(&mut self, now: Time) {
        let due = self.next_timer().unwrap_or(now);
        if now.since(due) < self.cfg.probe_interval || due == Time::ZERO {
            return;
        }
        self.probes.cancel_current();
        let suspects = std::mem::take(&mut self.suspects);
        for (index, (_, incarnation)) in suspects.into_iter().enumerate() {
            let Some(entry) = self.peers.get_mut(&incarnation) else {
                continue;
            };
            entry.suspicion_deadline = None;
            let addr = entry.peer.instance.addr;
            self.start_suspicion(now, incarnation);
            if index < MAX_PINGS_AFTER_PAUSE {
                self.ping(addr);
            }
        }
    }
}
