//! Whom a call goes to.

use crate::calls::Outgoing;
use crate::Engine;
use policy::Candidate;
use policy::Place;
use proto::Incarnation;
use proto::Instance;
use proto::KeyHash;

impl Engine {
    pub(crate) fn home_of(&self, service: &str, key: KeyHash) -> Option<Instance> {
        let view = self.journal.view(service)?;
        once::owner(&view.members, key.slot()).cloned()
    }

    pub(crate) fn choose_server(&mut self, call: &Outgoing) -> Option<Instance> {
        let service = &call.request.service;
        let mut candidates: Vec<Candidate> = self
            .members
            .usable(service)
            .filter(|peer| !call.avoid.contains(&peer.instance.incarnation))
            .map(|peer| Candidate {
                incarnation: peer.instance.incarnation,
                place: self.place(&peer.instance),
                load: peer.load,
                in_flight: self.in_flight(peer.instance.incarnation),
            })
            .collect();
        let mine = self.me.incarnation;
        if self.me.service == *service && !self.stopping && !call.avoid.contains(&mine) {
            candidates.push(Candidate {
                incarnation: mine,
                place: Place::SameDomain,
                load: self.server.report(),
                in_flight: 0,
            });
        }
        let chosen = policy::choose(&candidates, &mut self.rng)?;
        if chosen == mine {
            return Some(self.me.clone());
        }
        self.members.get(chosen).map(|peer| peer.instance.clone())
    }

    fn in_flight(&self, peer: Incarnation) -> u32 {
        self.calls
            .values()
            .filter(|call| call.target.incarnation == peer)
            .count() as u32
    }

    pub(crate) fn place(&self, peer: &Instance) -> Place {
        if peer.failure_domain == self.me.failure_domain {
            Place::SameDomain
        } else if peer.region == self.me.region {
            Place::SameRegion
        } else {
            Place::OtherRegion
        }
    }
}
