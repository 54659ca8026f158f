//! Whom a call goes to.

use crate::outgoing::Outgoing;
use crate::Engine;
use policy::Place;
use policy::Standing;
use proto::Incarnation;
use proto::Instance;
use proto::KeyHash;
use proto::PeerState;
use stdx::Time;

impl Engine {
    pub(crate) fn home_of(&self, service: &str, key: KeyHash) -> Option<Instance> {
        let view = self.journal.view(service)?;
        once::owner(&view.members, key.slot()).cloned()
    }

    pub(crate) fn choose_server(&mut self, now: Time, call: &Outgoing) -> Option<Instance> {
        let service = &call.request.service;
        let mine = self.own_instance.incarnation;
        if self.own_instance.service == *service {
            self.enter_self(now);
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
    fn enter_self(&mut self, now: Time) {
        let standing = if self.stopping {
            Standing::Closed
        } else {
            Standing::Ready
        };
        let (mine, service) = (self.own_instance.incarnation, &self.own_instance.service);
        self.selector
            .set(now, mine, service, Place::SameDomain, standing);
        self.selector.on_report(now, mine, self.server.report());
    }

    /// Takes a peer's new state over into the choice of instances.
    pub(crate) fn set_standing(&mut self, now: Time, peer: Incarnation, state: PeerState) {
        let Some(peer) = self.members.get(peer) else {
            return;
        };
        let standing = match state {
            _ if !peer.open => Standing::Closed,
            PeerState::Alive if !peer.load.draining => Standing::Ready,
            PeerState::Suspect if !peer.load.draining => Standing::Doubtful,
            _ => Standing::Closed,
        };
        let instance = &peer.instance;
        let place = self.place(instance);
        self.selector.set(
            now,
            instance.incarnation,
            &instance.service,
            place,
            standing,
        );
    }

    pub(crate) fn place(&self, peer: &Instance) -> Place {
        if peer.failure_domain == self.own_instance.failure_domain {
            Place::SameDomain
        } else if peer.region == self.own_instance.region {
            Place::SameRegion
        } else {
            Place::OtherRegion
        }
    }
}
