//! What this node has heard of others' admission levels, and whether a call passes them.

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

/// Instances and operations whose levels are kept.
const MAX_TRACKED_LEVELS: usize = 2048;

/// Levels heard of.
#[derive(Debug)]
pub(crate) struct AdmissionLevels {
    /// By instance, from its own answers.
    instances: BoundedMap<Incarnation, ReportedLevel>,
    /// By operation, of the services below it.
    operations: BoundedMap<OperationKey, OperationStats>,
    ranks: PriorityBands,
}

/// What lies below an operation.
#[derive(Debug)]
struct OperationStats {
    level_below: ReportedLevel,
    calls_below: u16,
    run_times: RunTimes,
}

impl Default for AdmissionLevels {
    fn default() -> Self {
        Self {
            instances: BoundedMap::new(MAX_TRACKED_LEVELS),
            operations: BoundedMap::new(MAX_TRACKED_LEVELS),
            ranks: PriorityBands::default(),
        }
    }
}

impl AdmissionLevels {
    /// Other rules are in force.
    pub(crate) fn set_ranks(&mut self, ranks: PriorityBands) {
        self.ranks = ranks;
    }

    /// The random value of an action that begins with this operation: higher, the more urgent it
    /// is.
    pub(crate) fn dice(&self, operation: &Operation, dice: u16) -> u16 {
        self.ranks
            .scale_to_band(operation.class, operation.priority, dice)
    }

    /// An instance reports its own level.
    pub(crate) fn record_instance_level(&mut self, now: Time, from: Incarnation, level: u16) {
        if let Some(heard) = self.instances.get_mut(&from) {
            return heard.observe(now, level);
        }
        let mut heard = ReportedLevel::new(now);
        heard.observe(now, level);
        self.instances.insert(from, heard);
    }

    /// A run of an operation that is still under way met a level below it.
    pub(crate) fn record_level_below(&mut self, now: Time, operation: &OperationKey, level: u16) {
        self.stats_mut(now, operation)
            .level_below
            .observe(now, level);
    }

    /// A run of an operation met something below it.
    pub(crate) fn record_below(
        &mut self,
        now: Time,
        operation: &OperationKey,
        below: DownstreamSummary,
    ) {
        let path = self.stats_mut(now, operation);
        path.level_below.observe(now, below.level);
        path.calls_below = below.calls;
    }

    fn stats_mut(&mut self, now: Time, operation: &OperationKey) -> &mut OperationStats {
        if self.operations.get(operation).is_none() {
            let path = OperationStats {
                level_below: ReportedLevel::new(now),
                calls_below: 0,
                run_times: RunTimes::default(),
            };
            self.operations.insert(operation.clone(), path);
        }
        let path = self.operations.get_mut(operation);
        path.expect("it was entered just now")
    }

    fn instance_level(&self, now: Time, incarnation: Incarnation) -> u16 {
        let heard = self.instances.get(&incarnation);
        heard.map_or(0, |heard| heard.get(now))
    }

    /// The level of the services below an operation.
    pub(crate) fn level_below(&self, now: Time, operation: &OperationKey) -> u16 {
        let path = self.operations.get(operation);
        path.map_or(0, |path| path.level_below.get(now))
    }

    /// A run of an operation on the own backend server took this long.
    pub(crate) fn record_run_time(&mut self, now: Time, operation: &OperationKey, took: Duration) {
        self.stats_mut(now, operation).run_times.record(took);
    }

    /// After how long such a run is late, if that is known.
    pub(crate) fn late_after(&self, operation: &OperationKey) -> Option<Duration> {
        self.operations.get(operation)?.run_times.late_threshold()
    }

    /// The calls that the last run of an operation made.
    pub(crate) fn calls_below(&self, operation: &OperationKey) -> u16 {
        self.operations
            .get(operation)
            .map_or(0, |path| path.calls_below)
    }
}

impl Engine {
    /// Whom a call goes to, or why it goes nowhere.
    ///
    /// Work that a deeper service will shed is refused here: without this the services above it
    /// would work for nothing, and their load would not fall though little gets done. A call whose
    /// key may have been sent before goes to the key's home all the same, because only the home
    /// knows whether it ran; the home sheds it.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        call: &mut OutgoingCall,
    ) -> Result<Instance, Refusal> {
        // The home of a key that may have been sent before knows whether it ran.
        let unknown = call.key.is_none() || call.first_attempt;
        if let Some(refusal) = self
            .quarantine_refusal(now, &call.request)
            .filter(|_| unknown)
        {
            return Err(refusal);
        }
        let value = admission_value(call.class, call.admission_sample);
        // What its first hop admitted is not shed further down: the work done so far would be lost.
        let begins_here = call.depth == 0;
        let sheds = self.cfg.policy.levels && unknown && begins_here;
        let path = self.admission.level_below(now, &call.operation);
        if sheds && value < path {
            return Err(shed_refusal(path, call.class, call.admission_sample));
        }
        if sheds {
            call.passed_level = path;
        }
        let (target, level) = match call.key {
            Some((key, _)) => {
                let home = self.home_of(&call.request.service, key);
                let level = home.as_ref().map(|home| self.instance_level(now, home));
                (home, level.filter(|level| sheds && value < *level))
            }
            None if begins_here => self.choose_admitting(now, call, value),
            None if self.cfg.policy.by_load => (self.choose_instance(now, call), None),
            None => (self.choose_round_robin(call), None),
        };
        match (target, level) {
            (_, Some(level)) => Err(shed_refusal(level, call.class, call.admission_sample)),
            (Some(target), None) => Ok(target),
            (None, None) => Err(self.refusal(Reason::NoInstance)),
        }
    }

    /// Chooses among the instances that would not shed the call. If all would, it gives the level
    /// of the one that is nearest to admitting it.
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
        let mut passed = None;
        let mut sheds = None;
        for (incarnation, level) in self.instance_levels(now, &call.request.service) {
            if call.avoid[..avoided].contains(&incarnation) {
                continue;
            }
            let least = if value < level {
                call.avoid.push(incarnation);
                &mut sheds
            } else {
                &mut passed
            };
            *least = Some(least.map_or(level, |least: u16| least.min(level)));
        }
        let chosen = self.choose_instance(now, call);
        call.avoid.truncate(avoided);
        call.passed_level = call.passed_level.max(passed.unwrap_or(0));
        let level = sheds.filter(|_| chosen.is_none());
        (chosen, level)
    }

    /// All instances of a service in turn, whatever their load.
    fn choose_round_robin(&mut self, call: &OutgoingCall) -> Option<Instance> {
        let turn = self.allocate_id() as usize;
        let peers = self.members.usable_peers(&call.request.service);
        let peers = peers.map(|peer| &peer.instance);
        let fits = |instance: &&Instance| !call.avoid.contains(&instance.incarnation);
        let mut all: Vec<&Instance> = peers.filter(fits).collect();
        if self.own_instance.service == call.request.service && fits(&&self.own_instance) {
            all.push(&self.own_instance);
        }
        let turn = turn.checked_rem(all.len())?;
        Some(all[turn].clone())
    }

    /// The highest level that a call meets: below its operation, or at the instance that it went
    /// to. Others may have room, but mostly nothing is known of those that are far away, and a call
    /// that finds the near ones full goes there by itself.
    pub(crate) fn highest_level(&self, now: Time, call: &OutgoingCall) -> u16 {
        let below = self.admission.level_below(now, &call.operation);
        below.max(self.instance_level(now, &call.target))
    }

    /// The instances of a service that may be used, and their levels.
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

/// A refusal that says when it is worth coming back.
pub(crate) fn shed_refusal(level: u16, class: Class, dice: u16) -> Refusal {
    Refusal::new(Reason::Shed, retry_delay(level, class, dice))
}
