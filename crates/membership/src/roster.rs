//! What ends or lists a peer for good: the log's roster, and who answers at an address.

use crate::members::Membership;
use crate::Effect;
use indexmap::IndexMap;
use proto::Incarnation;
use proto::Instance;
use proto::PeerState;
use proto::PeerUpdate;
use stdx::Time;

impl Membership {
    /// Takes the log's word on who is there. Who was listed and is not any more is gone for good,
    /// unless the log lists it again; it is not taken for dead before it is silent, because it may
    /// still be finishing what it has in flight. None of this is passed on: the others read the same
    /// log, and who cannot finds the difference by digests.
    pub fn set_roster<'a>(
        &mut self,
        now: Time,
        roster: impl Iterator<Item = &'a Instance>,
    ) -> Vec<Effect> {
        let mut unlisted: IndexMap<Incarnation, ()> = self
            .peers
            .iter()
            .filter(|(_, entry)| entry.listed)
            .map(|(incarnation, _)| (*incarnation, ()))
            .collect();
        self.listed = false;
        let mut listed = Vec::new();
        for instance in roster {
            if unlisted.swap_remove(&instance.incarnation).is_none() {
                listed.push(instance);
            }
        }
        for (incarnation, ()) in unlisted {
            self.set_gone(now, incarnation);
        }
        for instance in listed {
            self.list(now, instance);
        }
        std::mem::take(&mut self.effects)
    }

    /// An earlier incarnation at this node's own address has ended; nobody knows that better.
    pub(crate) fn disown(&mut self, now: Time, rumour: &PeerUpdate) {
        let incarnation = rumour.instance.incarnation;
        if !self.peers.contains_key(&incarnation) {
            let dead = PeerUpdate {
                state: PeerState::Dead,
                ..rumour.clone()
            };
            self.enter(now, dead);
            self.spread(incarnation);
        }
        self.bury(now, incarnation);
    }

    /// `sender` has just answered at its address: whoever else is known there has ended.
    pub(crate) fn settle_address(&mut self, now: Time, sender: &PeerUpdate) {
        let (addr, incarnation) = (sender.instance.addr, sender.instance.incarnation);
        if incarnation == self.me.incarnation || self.is_buried(incarnation) {
            return;
        }
        let others = self.peers.iter().filter(|(other, entry)| {
            let there = entry.peer.instance.addr == addr && **other != incarnation;
            there && !(entry.gone && entry.is_dead())
        });
        let others: Vec<Incarnation> = others.map(|(other, _)| *other).collect();
        for other in others {
            self.bury(now, other);
        }
    }

    /// Takes a peer for dead without a way back.
    fn bury(&mut self, now: Time, incarnation: Incarnation) {
        self.buried.insert(incarnation, true);
        if let Some(entry) = self.peers.get_mut(&incarnation) {
            entry.gone = true;
            let (beat, dead) = (entry.beat, entry.is_dead());
            if !dead {
                self.set_state(now, incarnation, PeerState::Dead, beat);
            }
        }
    }

    /// The log has dropped a peer.
    fn set_gone(&mut self, now: Time, incarnation: Incarnation) {
        self.buried.insert(incarnation, true);
        self.digests.invalidate();
        let Some(entry) = self.peers.get_mut(&incarnation) else {
            return;
        };
        entry.listed = false;
        entry.gone = true;
        let (state, beat) = (entry.peer.state, entry.beat);
        if matches!(state, PeerState::Alive | PeerState::Suspect) {
            self.change(now, incarnation, PeerState::Leaving, beat);
            if state == PeerState::Suspect {
                self.start_suspicion(now, incarnation);
            }
        }
    }

    /// The log lists a peer that it did not list before.
    fn list(&mut self, now: Time, instance: &Instance) {
        let incarnation = instance.incarnation;
        if incarnation == self.me.incarnation {
            self.listed = true;
            return;
        }
        let occupant = self.occupants.get(&instance.addr).copied();
        let other = occupant.filter(|other| *other != incarnation);
        let other_lives = other
            .and_then(|other| self.peers.get(&other))
            .is_some_and(|entry| !entry.gone && !entry.is_dead());
        let known = self.peers.get(&incarnation);
        let buried = self.is_buried(incarnation);
        if known.is_none() && (other_lives || buried) {
            // Either may be the older one. It counts as a suspect until somebody answers there.
            self.enter(now, listed_as(instance, PeerState::Suspect));
            self.probes.doubt(instance.addr);
        } else if known.is_none() {
            self.enter(now, listed_as(instance, PeerState::Alive));
        } else if known.is_some_and(|entry| entry.gone) && other.is_none() {
            self.revive(now, incarnation);
        }
        if let Some(entry) = self.peers.get_mut(&incarnation) {
            entry.listed = true;
        }
        if let Some(other) = other.filter(|_| !other_lives) {
            self.bury(now, other);
        }
    }

    /// The log has taken a peer back that it had dropped.
    fn revive(&mut self, now: Time, incarnation: Incarnation) {
        if let Some(buried) = self.buried.get_mut(&incarnation) {
            *buried = false;
        }
        if let Some(entry) = self.peers.get_mut(&incarnation) {
            entry.gone = false;
            let beat = entry.beat;
            self.change(now, incarnation, PeerState::Alive, beat);
        }
    }

    /// Drops entries of peers that are dead for long and that the log does not list.
    pub(crate) fn forget(&mut self, now: Time) {
        let after = self.cfg.forget_after;
        let occupants = &mut self.occupants;
        self.peers.retain(|incarnation, entry| {
            let old = now.since(entry.since) >= after;
            let keep = !entry.is_dead() || entry.listed || !old;
            if !keep && occupants.get(&entry.peer.instance.addr) == Some(incarnation) {
                occupants.swap_remove(&entry.peer.instance.addr);
            }
            keep
        });
    }
}

/// What a listed peer is taken for before it has said anything itself.
fn listed_as(instance: &Instance, state: PeerState) -> PeerUpdate {
    PeerUpdate {
        instance: instance.clone(),
        state,
        revision: 0,
        accepts_work: true,
    }
}
