//! Chooses the instances that calls are sent to.

use crate::outgoing::OutgoingCall;
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

    pub(crate) fn choose_instance(&mut self, now: Time, call: &OutgoingCall) -> Option<Instance> {
        let service = &call.request.service;
        let own_incarnation = self.me.incarnation;
        if self.me.service == *service {
            self.update_own_eligibility(now);
        }
        let chosen = self
            .selector
            .choose(now, service, &call.avoid, &mut self.rng)?;
        if chosen == own_incarnation {
            return Some(self.me.clone());
        }
        self.members.get(chosen).map(|peer| peer.instance.clone())
    }

    /// Adds the own backend server to the candidates. Its load is known exactly.
    fn update_own_eligibility(&mut self, now: Time) {
        let eligibility = if self.stopping {
            Standing::Closed
        } else {
            Standing::Ready
        };
        let (own_incarnation, service) = (self.me.incarnation, &self.me.service);
        self.selector.set(
            now,
            own_incarnation,
            service,
            Place::SameDomain,
            eligibility,
        );
        self.selector
            .on_report(now, own_incarnation, self.server.report());
    }

    /// Updates a peer among the candidates after its state has changed.
    pub(crate) fn update_eligibility(&mut self, now: Time, peer: Incarnation, state: PeerState) {
        let Some(peer) = self.members.get(peer) else {
            return;
        };
        let eligibility = match state {
            _ if !peer.open => Standing::Closed,
            PeerState::Alive if !peer.load.draining => Standing::Ready,
            PeerState::Suspect if !peer.load.draining => Standing::Doubtful,
            _ => Standing::Closed,
        };
        let instance = &peer.instance;
        let proximity = self.proximity(instance);
        self.selector.set(
            now,
            instance.incarnation,
            &instance.service,
            proximity,
            eligibility,
        );
    }

    pub(crate) fn proximity(&self, peer: &Instance) -> Place {
        if peer.failure_domain == self.me.failure_domain {
            Place::SameDomain
        } else if peer.region == self.me.region {
            Place::SameRegion
        } else {
            Place::OtherRegion
        }
    }
}
