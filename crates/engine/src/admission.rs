//! Admission levels that other nodes have reported, and the check of calls against them.
//!
//! A call whose admission value is below the level of a service that it needs would be shed there.

use crate::operation_key::OperationKey;
use crate::outgoing::OutgoingCall;
use crate::Engine;
use policy::admission_value;
use policy::retry_delay;
use policy::PriorityBands;
use policy::ReportedLevel;
use policy::RunTimes;
use proto::Class;
use proto::DownstreamSummary;
use proto::Incarnation;
use proto::Instance;
use proto::Reason;
use proto::Refusal;
use rules::Operation;
use std::time::Duration;
use stdx::BoundedMap;
use stdx::Time;

/// The maximum number of instances, and of operations, for which levels are kept.
const MAX_TRACKED_LEVELS: usize = 2048;

/// The admission levels that other nodes have reported.
#[derive(Debug)]
pub(crate) struct AdmissionLevels {
    /// Each instance's own level, from its answers.
    instances: BoundedMap<Incarnation, ReportedLevel>,
    /// Statistics of each operation and of the services that it calls, directly or indirectly.
    operations: BoundedMap<OperationKey, OperationStats>,
    priority_bands: PriorityBands,
}

/// Statistics of earlier runs of an operation.
#[derive(Debug)]
struct OperationStats {
    /// The highest level among the services that its runs call, directly or indirectly.
    downstream_level: ReportedLevel,
    /// The number of calls that its last run made, directly and indirectly.
    downstream_calls: u16,
    /// How long its runs take on this node's backend server.
    run_times: RunTimes,
}

impl Default for AdmissionLevels {
    fn default() -> Self {
        Self {
            instances: BoundedMap::new(MAX_TRACKED_LEVELS),
            operations: BoundedMap::new(MAX_TRACKED_LEVELS),
            priority_bands: PriorityBands::default(),
        }
    }
}

impl AdmissionLevels {
    /// Replaces the priority bands after other rules have come into force.
    pub(crate) fn set_priority_bands(&mut self, priority_bands: PriorityBands) {
        self.priority_bands = priority_bands;
    }

    /// Scales a random value to the band that the priority of an action's first operation has. The
    /// result, the admission sample of the action, is higher the more urgent the priority.
    pub(crate) fn admission_sample(&self, operation: &Operation, random: u16) -> u16 {
        self.priority_bands
            .scale_to_band(operation.class, operation.priority, random)
    }

    /// Records the level that an instance reports of itself.
    pub(crate) fn record_instance_level(&mut self, now: Time, from: Incarnation, level: u16) {
        if let Some(recorded) = self.instances.get_mut(&from) {
            return recorded.observe(now, level);
        }
        let mut recorded = ReportedLevel::new(now);
        recorded.observe(now, level);
        self.instances.insert(from, recorded);
    }

    /// Records the level that the calls of a run have reported while the run is still in progress.
    pub(crate) fn record_downstream_level(
        &mut self,
        now: Time,
        operation: &OperationKey,
        level: u16,
    ) {
        self.stats_mut(now, operation)
            .downstream_level
            .observe(now, level);
    }

    /// Records the level that the calls of a finished run have reported, and the number of calls
    /// that it made.
    pub(crate) fn record_downstream(
        &mut self,
        now: Time,
        operation: &OperationKey,
        downstream: DownstreamSummary,
    ) {
        let stats = self.stats_mut(now, operation);
        stats.downstream_level.observe(now, downstream.level);
        stats.downstream_calls = downstream.calls;
    }

    fn stats_mut(&mut self, now: Time, operation: &OperationKey) -> &mut OperationStats {
        if self.operations.get(operation).is_none() {
            let stats = OperationStats {
                downstream_level: ReportedLevel::new(now),
                downstream_calls: 0,
                run_times: RunTimes::default(),
            };
            self.operations.insert(operation.clone(), stats);
        }
        let stats = self.operations.get_mut(operation);
        stats.expect("the entry was inserted above if it was missing")
    }

    fn instance_level(&self, now: Time, incarnation: Incarnation) -> u16 {
        let recorded = self.instances.get(&incarnation);
        recorded.map_or(0, |recorded| recorded.get(now))
    }

    /// The highest level among the services that an operation calls, directly or indirectly.
    pub(crate) fn downstream_level(&self, now: Time, operation: &OperationKey) -> u16 {
        let stats = self.operations.get(operation);
        stats.map_or(0, |stats| stats.downstream_level.get(now))
    }

    /// Records how long a run of an operation took on this node's backend server.
    pub(crate) fn record_run_time(
        &mut self,
        now: Time,
        operation: &OperationKey,
        elapsed: Duration,
    ) {
        self.stats_mut(now, operation).run_times.record(elapsed);
    }

    /// The time after which a run of an operation counts as late, if enough runs were recorded.
    pub(crate) fn late_after(&self, operation: &OperationKey) -> Option<Duration> {
        self.operations.get(operation)?.run_times.late_threshold()
    }

    /// The number of calls that the last run of an operation made, directly and indirectly.
    pub(crate) fn downstream_calls(&self, operation: &OperationKey) -> u16 {
        self.operations
            .get(operation)
            .map_or(0, |stats| stats.downstream_calls)
    }
}

impl Engine {
    /// Chooses the instance that a call is sent to, or refuses the call.
    ///
    /// Work that a deeper service would shed is refused here. Otherwise the services above it would
    /// spend their capacity on requests that fail in the end, and their load would not fall. A call
    /// whose key may have been sent before is not shed here: it still goes to the key's home node,
    /// the only one that knows whether it ran, and the home node sheds it.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        call: &mut OutgoingCall,
    ) -> Result<Instance, Refusal> {
        // Only the home node of a key that may have been sent before knows whether it ran.
        let never_sent = call.key.is_none() || call.first_attempt;
        if let Some(refusal) = self
            .quarantine_refusal(now, &call.request)
            .filter(|_| never_sent)
        {
            return Err(refusal);
        }
        let value = admission_value(call.class, call.admission_sample);
        // Calls of an admitted action are not shed on later hops: the work done so far would be
        // lost.
        let is_root = call.depth == 0;
        let may_shed = self.cfg.policy.levels && never_sent && is_root;
        let downstream_level = self.admission.downstream_level(now, &call.operation);
        if may_shed && value < downstream_level {
            return Err(shed_refusal(
                downstream_level,
                call.class,
                call.admission_sample,
            ));
        }
        if may_shed {
            call.passed_level = downstream_level;
        }
        let (target, level) = match call.key {
            Some((key, _)) => {
                let home = self.home_of(&call.request.service, key);
                let level = home.as_ref().map(|home| self.instance_level(now, home));
                let sheds = |level: &u16| may_shed && value < *level && !self.can_wait(call);
                (home, level.filter(sheds))
            }
            None if is_root => self.choose_admitting(now, call, value),
            None if self.cfg.policy.by_load => (self.choose_instance(now, call), None),
            None => (self.choose_round_robin(call), None),
        };
        match (target, level) {
            (_, Some(level)) => Err(shed_refusal(level, call.class, call.admission_sample)),
            (Some(target), None) => Ok(target),
            (None, None) => Err(self.refusal(Reason::NoInstance)),
        }
    }

    /// Chooses among the instances that would not shed the call. If all would, returns the lowest
    /// of their levels instead.
    fn choose_admitting(
        &mut self,
        now: Time,
        call: &mut OutgoingCall,
        value: u16,
    ) -> (Option<Instance>, Option<u16>) {
        if !self.cfg.policy.by_load {
            return (self.choose_round_robin(call), None);
        }
        if !self.cfg.policy.levels {
            return (self.choose_instance(now, call), None);
        }
        let avoided = call.avoid.len();
        let mut lowest_admitting = None;
        let mut lowest_shedding = None;
        for (incarnation, level) in self.instance_levels(now, &call.request.service) {
            if call.avoid[..avoided].contains(&incarnation) {
                continue;
            }
            let lowest = if value < level {
                call.avoid.push(incarnation);
                &mut lowest_shedding
            } else {
                &mut lowest_admitting
            };
            *lowest = Some(lowest.map_or(level, |lowest: u16| lowest.min(level)));
        }
        let chosen = self.choose_instance(now, call);
        call.avoid.truncate(avoided);
        if self.can_wait(call) {
            let chosen = chosen.or_else(|| self.choose_instance(now, call));
            return (chosen, None);
        }
        call.passed_level = call.passed_level.max(lowest_admitting.unwrap_or(0));
        let level = lowest_shedding.filter(|_| chosen.is_none());
        (chosen, level)
    }

    /// Whether the levels of the instances that can run a call do not apply to it. A patient action
    /// may be served in time although the level of an instance would shed it, and the queue of that
    /// instance decides on it. Instances that shed are still avoided while others do not.
    fn can_wait(&self, call: &OutgoingCall) -> bool {
        let open = self.open_requests.get(&call.token);
        let is_patient = open.is_some_and(|open| open.operation.is_patient());
        call.depth == 0 && call.objective.is_some() && is_patient
    }

    /// Chooses among all instances of a service in rotation, whatever their load.
    fn choose_round_robin(&mut self, call: &OutgoingCall) -> Option<Instance> {
        let turn = self.allocate_id() as usize;
        let peers = self.members.usable_peers(&call.request.service);
        let peers = peers.map(|peer| &peer.instance);
        let allowed = |instance: &&Instance| !call.avoid.contains(&instance.incarnation);
        let mut candidates: Vec<&Instance> = peers.filter(allowed).collect();
        if self.own_instance.service == call.request.service && allowed(&&self.own_instance) {
            candidates.push(&self.own_instance);
        }
        let turn = turn.checked_rem(candidates.len())?;
        Some(candidates[turn].clone())
    }

    /// The higher of the downstream level of a call's operation and the level of the instance that
    /// the call was sent to. Other instances are not considered: mostly nothing is known of the
    /// distant ones, and a call that finds the near ones full is routed to the distant ones anyway.
    pub(crate) fn highest_level(&self, now: Time, call: &OutgoingCall) -> u16 {
        let downstream_level = self.admission.downstream_level(now, &call.operation);
        downstream_level.max(self.instance_level(now, &call.target))
    }

    /// The usable instances of a service and their levels.
    fn instance_levels<'a>(
        &'a self,
        now: Time,
        service: &'a str,
    ) -> impl Iterator<Item = (Incarnation, u16)> + 'a {
        let own = (*self.own_instance.service == *service).then_some(&self.own_instance);
        let peers = self
            .members
            .usable_peers(service)
            .map(|peer| &peer.instance);
        own.into_iter()
            .chain(peers)
            .map(move |instance| (instance.incarnation, self.instance_level(now, instance)))
    }

    fn instance_level(&self, now: Time, instance: &Instance) -> u16 {
        if instance.incarnation == self.own_instance.incarnation {
            self.server.level()
        } else {
            self.admission.instance_level(now, instance.incarnation)
        }
    }
}

/// A refusal of a call that is shed at this level, with the time after which a retry may pass.
pub(crate) fn shed_refusal(level: u16, class: Class, admission_sample: u16) -> Refusal {
    Refusal::new(Reason::Shed, retry_delay(level, class, admission_sample))
}
