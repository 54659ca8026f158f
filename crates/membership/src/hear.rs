//! What rumours and senders say of peers, and what that changes.

use crate::table::Entry;
use crate::Effect;
use crate::Membership;
use proto::Incarnation;
use proto::LoadReport;
use proto::PeerState;
use proto::PeerUpdate;
use std::net::SocketAddr;
use stdx::Time;

impl Membership {
    pub(crate) fn hear_all(&mut self, now: Time, rumours: &[PeerUpdate]) {
        for rumour in rumours {
            self.hear(now, rumour);
        }
    }

    /// Takes a message's sender: what it says of itself, and that it is there.
    pub(crate) fn hear_sender(&mut self, now: Time, sender: &PeerUpdate, load: LoadReport) {
        self.hear(now, sender);
        if let Some(entry) = self.peers.get_mut(&sender.instance.incarnation) {
            entry.heard = Some(now);
            entry.peer.load = load;
        }
    }

    fn hear(&mut self, now: Time, rumour: &PeerUpdate) {
        let instance = &rumour.instance;
        let incarnation = instance.incarnation;
        if incarnation == self.me.incarnation {
            return self.refute(rumour);
        }
        if self.is_buried(incarnation) && !self.peers.contains_key(&incarnation) {
            return;
        }
        if instance.addr == self.me.addr {
            return self.disown(now, rumour);
        }
        if rumour.state != PeerState::Dead && !self.may_be_at(incarnation, instance.addr) {
            return self.probes.doubt(instance.addr);
        }
        match self.peers.get(&incarnation) {
            None if rumour.state == PeerState::Dead => {}
            None => self.discover(now, rumour),
            Some(entry) if entry.is_news(rumour) => {
                let turned = entry.peer.accepts_work != rumour.accepts_work;
                self.set_peer_accepts_work(incarnation, rumour.accepts_work);
                self.set_state(now, incarnation, rumour.state, rumour.revision);
                if turned {
                    let state = rumour.state;
                    self.effects
                        .push(Effect::PeerChanged { incarnation, state });
                }
            }
            Some(_) => {}
        }
    }

    /// Whether nobody else is known to be alive at the address. Rumours are late at times, so a
    /// rumour of another incarnation there does not tell which of the two came first; a ping does.
    fn may_be_at(&self, incarnation: Incarnation, addr: SocketAddr) -> bool {
        let Some(occupant) = self.occupants.get(&addr) else {
            return true;
        };
        *occupant == incarnation || self.peers.get(occupant).is_none_or(Entry::is_dead)
    }

    /// Only this node gives out its own beats, so a higher one overrides what others say of it.
    fn refute(&mut self, rumour: &PeerUpdate) {
        let wrong = rumour.state != self.my_state();
        if rumour.revision > self.beat || (rumour.revision == self.beat && wrong) {
            self.raise_beat(rumour.revision);
        }
    }

    pub(crate) fn raise_beat(&mut self, above: u32) {
        self.beat = above.saturating_add(1);
        self.digests.invalidate();
        self.spread(self.me.incarnation);
    }

    fn discover(&mut self, now: Time, rumour: &PeerUpdate) {
        if self.peers.len() >= self.cfg.max_peers {
            return self.effects.push(Effect::TableFull);
        }
        let incarnation = rumour.instance.incarnation;
        self.enter(now, rumour.clone());
        self.spread(incarnation);
    }

    pub(crate) fn enter(&mut self, now: Time, rumour: PeerUpdate) {
        let incarnation = rumour.instance.incarnation;
        let state = rumour.state;
        self.occupants.insert(rumour.instance.addr, incarnation);
        self.peers.insert(incarnation, Entry::new(now, rumour));
        self.after_change(now, incarnation, state);
    }

    /// Takes a peer's new state, and passes it on.
    pub(crate) fn set_state(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        state: PeerState,
        beat: u32,
    ) {
        self.change(now, incarnation, state, beat);
        self.spread(incarnation);
    }

    pub(crate) fn change(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        state: PeerState,
        beat: u32,
    ) {
        let Some(entry) = self.peers.get_mut(&incarnation) else {
            return;
        };
        let changed = entry.peer.state != state;
        match state {
            PeerState::Alive | PeerState::Suspect => entry.left = false,
            PeerState::Leaving => entry.left = true,
            PeerState::Dead => {}
        }
        entry.peer.state = state;
        entry.beat = beat;
        if let Some(at) = entry.dead_at.take() {
            self.suspects.remove(&(at, incarnation));
        }
        if changed {
            entry.since = now;
            if state != PeerState::Dead {
                let addr = entry.peer.instance.addr;
                self.occupants.insert(addr, incarnation);
            }
            self.after_change(now, incarnation, state);
        }
    }

    fn after_change(&mut self, now: Time, incarnation: Incarnation, state: PeerState) {
        self.digests.invalidate();
        if state == PeerState::Suspect {
            self.start_suspicion(now, incarnation);
        }
        self.effects
            .push(Effect::PeerChanged { incarnation, state });
    }
}
