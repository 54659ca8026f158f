//! Applies updates, and what senders say about themselves, to the peer table.

use crate::peer::PeerEntry;
use crate::Effect;
use crate::Membership;
use proto::Incarnation;
use proto::LoadReport;
use proto::PeerState;
use proto::PeerUpdate;
use std::net::SocketAddr;
use stdx::Time;

impl Membership {
    pub(crate) fn apply_updates(&mut self, now: Time, updates: &[PeerUpdate]) {
        for update in updates {
            self.apply_update(now, update);
        }
    }

    /// Applies what a message's sender says about itself, and records when it was last heard.
    pub(crate) fn apply_sender(&mut self, now: Time, sender: &PeerUpdate, load: LoadReport) {
        self.apply_update(now, sender);
        if let Some(entry) = self.peers.get_mut(&sender.instance.incarnation) {
            entry.last_heard = Some(now);
            entry.peer.load = load;
        }
    }

    fn apply_update(&mut self, now: Time, update: &PeerUpdate) {
        let instance = &update.instance;
        let incarnation = instance.incarnation;
        if incarnation == self.me.incarnation {
            return self.refute(update);
        }
        if self.has_tombstone(incarnation) && !self.peers.contains_key(&incarnation) {
            return;
        }
        if instance.addr == self.me.addr {
            return self.retire_predecessor(now, update);
        }
        if update.state != PeerState::Dead && !self.is_addr_available(incarnation, instance.addr) {
            return self.probes.queue_addr_check(instance.addr);
        }
        match self.peers.get(&incarnation) {
            None if update.state == PeerState::Dead => {}
            None => self.add_discovered(now, update),
            Some(entry) if entry.is_newer(update) => {
                let availability_changed = entry.peer.accepts_work != update.accepts_work;
                self.set_peer_accepts_work(incarnation, update.accepts_work);
                self.set_state_and_gossip(now, incarnation, update.state, update.revision);
                if availability_changed {
                    let state = update.state;
                    self.effects
                        .push(Effect::PeerChanged { incarnation, state });
                }
            }
            Some(_) => {}
        }
    }

    /// Whether no other incarnation is known to be alive at the address. Updates may be delayed, so
    /// an update about another incarnation there does not tell which of the two is the older one. A
    /// ping to the address does.
    fn is_addr_available(&self, incarnation: Incarnation, addr: SocketAddr) -> bool {
        let Some(occupant) = self.incarnation_by_addr.get(&addr) else {
            return true;
        };
        *occupant == incarnation || self.peers.get(occupant).is_none_or(PeerEntry::is_dead)
    }

    /// Overrides a wrong update about this node by a higher revision. Only this node assigns its
    /// own revisions, so a higher one takes precedence over what others say about it.
    fn refute(&mut self, update: &PeerUpdate) {
        let is_wrong = update.state != self.my_state();
        if update.revision > self.revision || (update.revision == self.revision && is_wrong) {
            self.bump_revision(update.revision);
        }
    }

    pub(crate) fn bump_revision(&mut self, above: u32) {
        self.revision = above.saturating_add(1);
        self.digests.invalidate();
        self.enqueue_update(self.me.incarnation);
    }

    fn add_discovered(&mut self, now: Time, update: &PeerUpdate) {
        if self.peers.len() >= self.cfg.max_peers {
            return self.effects.push(Effect::TableFull);
        }
        let incarnation = update.instance.incarnation;
        self.insert_peer(now, update.clone());
        self.enqueue_update(incarnation);
    }

    pub(crate) fn insert_peer(&mut self, now: Time, update: PeerUpdate) {
        let incarnation = update.instance.incarnation;
        let state = update.state;
        self.incarnation_by_addr
            .insert(update.instance.addr, incarnation);
        self.peers.insert(incarnation, PeerEntry::new(now, update));
        self.on_state_changed(now, incarnation, state);
    }

    /// Sets a peer's state and passes it on by gossip.
    pub(crate) fn set_state_and_gossip(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        state: PeerState,
        revision: u32,
    ) {
        self.apply_state(now, incarnation, state, revision);
        self.enqueue_update(incarnation);
    }

    /// Sets a peer's state without gossiping it.
    pub(crate) fn apply_state(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        state: PeerState,
        revision: u32,
    ) {
        let Some(entry) = self.peers.get_mut(&incarnation) else {
            return;
        };
        let changed = entry.peer.state != state;
        match state {
            PeerState::Alive | PeerState::Suspect => entry.was_leaving = false,
            PeerState::Leaving => entry.was_leaving = true,
            PeerState::Dead => {}
        }
        entry.peer.state = state;
        entry.revision = revision;
        if let Some(at) = entry.suspicion_deadline.take() {
            self.suspects.remove(&(at, incarnation));
        }
        if changed {
            entry.state_since = now;
            if state != PeerState::Dead {
                let addr = entry.peer.instance.addr;
                self.incarnation_by_addr.insert(addr, incarnation);
            }
            self.on_state_changed(now, incarnation, state);
        }
    }

    fn on_state_changed(&mut self, now: Time, incarnation: Incarnation, state: PeerState) {
        self.digests.invalidate();
        if state == PeerState::Suspect {
            self.start_suspicion(now, incarnation);
        }
        self.effects
            .push(Effect::PeerChanged { incarnation, state });
    }
}
