//! Chooses the instances that calls are sent to.

use crate::outgoing::OutgoingCall;
use crate::serve::job_due;
use crate::Engine;
use policy::Eligibility;
use policy::Proximity;
use proto::Incarnation;
use proto::Instance;
use proto::KeyHash;
use proto::PeerState;
use rules::MatchedRule;
use std::time::Duration;
use stdx::Time;

impl Engine {
    pub(crate) fn home_of(&self, service: &str, key: KeyHash) -> Option<Instance> {
        let view = self.journal.view(service)?;
        once::slot_home(&view.members, key.slot()).cloned()
    }

    pub(crate) fn choose_instance(&mut self, now: Time, call: &OutgoingCall) -> Option<Instance> {
        let service = &call.request.service;
        let own_incarnation = self.own_instance.incarnation;
        if self.own_instance.service == *service {
            self.update_own_eligibility(now);
        }
        let within = match self.selector.is_uneven(service) {
            true => self.answer_within(now, call),
            false => Duration::MAX,
        };
        let avoid = &call.avoid;
        let chosen = self
            .selector
            .choose_within(now, service, avoid, within, &mut self.rng)?;
        if chosen == own_incarnation {
            return Some(self.own_instance.clone());
        }
        self.members.get(chosen).map(|peer| peer.instance.clone())
    }

    /// The time within which the answer to a call is needed.
    fn answer_within(&self, now: Time, call: &OutgoingCall) -> Duration {
        let rule = self.journal.rules.match_rule(&call.request);
        let operation = rule.map(MatchedRule::operation);
        now.until(job_due(
            now,
            call.depth,
            call.objective,
            call.deadline,
            operation,
        ))
    }

    /// Whether an instance that the call was not sent to yet has capacity.
    pub(crate) fn has_room_elsewhere(&self, now: Time, call: &OutgoingCall) -> bool {
        let is_untried = |id| id != call.target.incarnation && !call.avoid.contains(&id);
        self.selector
            .has_room(now, &call.request.service, is_untried)
    }

    /// Adds this node's backend server to the candidates. Its load is known exactly.
    fn update_own_eligibility(&mut self, now: Time) {
        let eligibility = if self.stopping {
            Eligibility::Excluded
        } else {
            Eligibility::Ready
        };
        let (own_incarnation, service) =
            (self.own_instance.incarnation, &self.own_instance.service);
        self.selector.set_instance(
            now,
            own_incarnation,
            service,
            Proximity::SameDomain,
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
            _ if !peer.accepts_work => Eligibility::Excluded,
            PeerState::Alive if !peer.load.draining => Eligibility::Ready,
            PeerState::Suspect if !peer.load.draining => Eligibility::LastResort,
            _ => Eligibility::Excluded,
        };
        let instance = &peer.instance;
        let proximity = self.proximity(instance);
        self.selector.set_instance(
            now,
            instance.incarnation,
            &instance.service,
            proximity,
            eligibility,
        );
    }

    pub(crate) fn proximity(&self, peer: &Instance) -> Proximity {
        if peer.failure_domain == self.own_instance.failure_domain {
            Proximity::SameDomain
        } else if peer.region == self.own_instance.region {
            Proximity::SameRegion
        } else {
            Proximity::OtherRegion
        }
    }
}
