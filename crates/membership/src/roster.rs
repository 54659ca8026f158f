//! Marks peers as listed or retired, according to the log's roster and to which incarnation answers
//! at an address.

use crate::members::Membership;
use crate::Effect;
use indexmap::IndexMap;
use proto::Incarnation;
use proto::Instance;
use proto::PeerState;
use proto::PeerUpdate;
use stdx::Time;

impl Membership {
    /// Applies the log's roster. A peer that is no longer listed is retired until the log lists it
    /// again. It is not considered dead before it stops answering, because it may still be
    /// finishing its work in flight. These changes are not gossiped: the other nodes read the same
    /// log, and those that cannot read it find the difference by digests.
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
        let mut newly_listed = Vec::new();
        for instance in roster {
            if unlisted.swap_remove(&instance.incarnation).is_none() {
                newly_listed.push(instance);
            }
        }
        for (incarnation, ()) in unlisted {
            self.on_unlisted(now, incarnation);
        }
        for instance in newly_listed {
            self.on_listed(now, instance);
        }
        std::mem::take(&mut self.effects)
    }

    /// Retires an earlier incarnation at this node's own address. It has certainly ended, because
    /// this node has its address now.
    pub(crate) fn retire_predecessor(&mut self, now: Time, update: &PeerUpdate) {
        let incarnation = update.instance.incarnation;
        if !self.peers.contains_key(&incarnation) {
            let dead = PeerUpdate {
                state: PeerState::Dead,
                ..update.clone()
            };
            self.insert_peer(now, dead);
            self.enqueue_update(incarnation);
        }
        self.retire(now, incarnation);
    }

    /// Retires all other incarnations known at the sender's address, which it has just answered
    /// from.
    pub(crate) fn resolve_addr(&mut self, now: Time, sender: &PeerUpdate) {
        let (addr, incarnation) = (sender.instance.addr, sender.instance.incarnation);
        if incarnation == self.me.incarnation || self.has_tombstone(incarnation) {
            return;
        }
        let others = self.peers.iter().filter(|(other, entry)| {
            let is_at_addr = entry.peer.instance.addr == addr && **other != incarnation;
            is_at_addr && !(entry.retired && entry.is_dead())
        });
        let others: Vec<Incarnation> = others.map(|(other, _)| *other).collect();
        for other in others {
            self.retire(now, other);
        }
    }

    /// Marks a peer as dead and never to come back.
    fn retire(&mut self, now: Time, incarnation: Incarnation) {
        self.tombstones.insert(incarnation, true);
        if let Some(entry) = self.peers.get_mut(&incarnation) {
            entry.retired = true;
            let (revision, is_dead) = (entry.revision, entry.is_dead());
            if !is_dead {
                self.set_state_and_gossip(now, incarnation, PeerState::Dead, revision);
            }
        }
    }

    /// Handles the removal of a peer from the log's roster.
    fn on_unlisted(&mut self, now: Time, incarnation: Incarnation) {
        self.tombstones.insert(incarnation, true);
        self.digests.invalidate();
        let Some(entry) = self.peers.get_mut(&incarnation) else {
            return;
        };
        entry.listed = false;
        entry.retired = true;
        let (state, revision) = (entry.peer.state, entry.revision);
        if matches!(state, PeerState::Alive | PeerState::Suspect) {
            self.apply_state(now, incarnation, PeerState::Leaving, revision);
            if state == PeerState::Suspect {
                self.start_suspicion(now, incarnation);
            }
        }
    }

    /// Handles a peer that is newly listed in the log's roster.
    fn on_listed(&mut self, now: Time, instance: &Instance) {
        let incarnation = instance.incarnation;
        if incarnation == self.me.incarnation {
            self.listed = true;
            return;
        }
        let occupant = self.incarnation_by_addr.get(&instance.addr).copied();
        let other = occupant.filter(|other| *other != incarnation);
        let other_is_live = other
            .and_then(|other| self.peers.get(&other))
            .is_some_and(|entry| !entry.retired && !entry.is_dead());
        let known = self.peers.get(&incarnation);
        let has_tombstone = self.has_tombstone(incarnation);
        if known.is_none() && (other_is_live || has_tombstone) {
            // Either incarnation may be the older one. This one counts as a suspect until a node
            // answers at the address.
            self.insert_peer(now, initial_update(instance, PeerState::Suspect));
            self.probes.queue_addr_check(instance.addr);
        } else if known.is_none() {
            self.insert_peer(now, initial_update(instance, PeerState::Alive));
        } else if known.is_some_and(|entry| entry.retired) && other.is_none() {
            self.reinstate(now, incarnation);
        }
        if let Some(entry) = self.peers.get_mut(&incarnation) {
            entry.listed = true;
        }
        if let Some(other) = other.filter(|_| !other_is_live) {
            self.retire(now, other);
        }
    }

    /// Reinstates a peer that the log had removed and lists again.
    fn reinstate(&mut self, now: Time, incarnation: Incarnation) {
        if let Some(is_active) = self.tombstones.get_mut(&incarnation) {
            *is_active = false;
        }
        if let Some(entry) = self.peers.get_mut(&incarnation) {
            entry.retired = false;
            let revision = entry.revision;
            self.apply_state(now, incarnation, PeerState::Alive, revision);
        }
    }

    /// Removes the entries of unlisted peers that have been dead for
    /// [`crate::Config::forget_after`].
    pub(crate) fn forget_dead_peers(&mut self, now: Time) {
        let after = self.cfg.forget_after;
        let incarnation_by_addr = &mut self.incarnation_by_addr;
        self.peers.retain(|incarnation, entry| {
            let is_old = now.since(entry.state_since) >= after;
            let keep = !entry.is_dead() || entry.listed || !is_old;
            if !keep && incarnation_by_addr.get(&entry.peer.instance.addr) == Some(incarnation) {
                incarnation_by_addr.swap_remove(&entry.peer.instance.addr);
            }
            keep
        });
    }
}

/// The update assumed for a listed peer from which no message has arrived yet.
fn initial_update(instance: &Instance, state: PeerState) -> PeerUpdate {
    PeerUpdate {
        instance: instance.clone(),
        state,
        revision: 0,
        accepts_work: true,
    }
}
