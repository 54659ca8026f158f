//! Whom a call goes to.

use crate::outgoing::OutgoingCall;
use crate::Engine;
use policy::Eligibility;
use policy::Proximity;
use proto::Incarnation;
use proto::Instance;
use proto::KeyHash;
use proto::PeerState;
use stdx::Time;

impl Engine {
    pub(crate) fn home_of(&self, service: &str, key: KeyHash) -> Option<Instance> {
        let view = self.journal.view(service)?;
        once::slot_owner(&view.members, key.slot()).cloned()
    }

    pub(crate) fn choose_instance(&mut self, now: Time, call: &OutgoingCall) -> Option<Instance> {
        let service = &call.request.service;
        let mine = self.own_instance.incarnation;
        if self.own_instance.service == *service {
            self.update_own_standing(now);
        }
        let chosen = self
            .selector
            .choose(now, service, &call.avoid, &mut self.rng)?;
        if chosen == mine {
            return Some(self.own_instance.clone());
        }
        self.members.get(chosen).map(|peer| peer.instance.clone())
    }

    /// This node's own backend server is one to choose among, and its load is known exactly.
    fn update_own_standing(&mut self, now: Time) {
        let standing = if self.stopping {
            Eligibility::Excluded
        } else {
            Eligibility::Ready
        };
        let (mine, service) = (self.own_instance.incarnation, &self.own_instance.service);
        self.selector
            .set_instance(now, mine, service, Proximity::SameDomain, standing);
        self.selector.on_report(now, mine, self.server.report());
    }

    /// Takes a peer's new state over into the choice of instances.
    pub(crate) fn update_standing(&mut self, now: Time, peer: Incarnation, state: PeerState) {
        let Some(peer) = self.members.get(peer) else {
            return;
        };
        let standing = match state {
            _ if !peer.accepts_work => Eligibility::Excluded,
            PeerState::Alive if !peer.load.draining => Eligibility::Ready,
            PeerState::Suspect if !peer.load.draining => Eligibility::LastResort,
            _ => Eligibility::Excluded,
        };
        let instance = &peer.instance;
        let place = self.place(instance);
        self.selector.set_instance(
            now,
            instance.incarnation,
            &instance.service,
            place,
            standing,
        );
    }

    pub(crate) fn place(&self, peer: &Instance) -> Proximity {
        if peer.failure_domain == self.own_instance.failure_domain {
            Proximity::SameDomain
        } else if peer.region == self.own_instance.region {
            Proximity::SameRegion
        } else {
            Proximity::OtherRegion
        }
    }
}
