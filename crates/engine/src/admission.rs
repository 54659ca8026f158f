//! What this node has heard of others' admission levels, and whether a call passes them.

use crate::operation_key::OperationKey;
use crate::outgoing::OutgoingCall;
use crate::Engine;
use policy::admission_value;
use policy::come_back;
use policy::Heard;
use policy::Ranks;
use policy::RunTimes;
use proto::Below;
use proto::Class;
use proto::Incarnation;
use proto::Instance;
use proto::Reason;
use proto::Refusal;
use rules::Operation;
use std::time::Duration;
use stdx::Bounded;
use stdx::Time;

/// Instances and operations whose levels are kept.
const LEVELS_KEPT: usize = 2048;

/// Levels heard of.
#[derive(Debug)]
pub(crate) struct Admission {
    /// By instance, from its own answers.
    instances: Bounded<Incarnation, Heard>,
    /// By operation, of the services below it.
    paths: Bounded<OperationKey, Path>,
    ranks: Ranks,
}

/// What lies below an operation.
#[derive(Debug)]
struct Path {
    level: Heard,
    calls: u16,
    runs: RunTimes,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            instances: Bounded::new(LEVELS_KEPT),
            paths: Bounded::new(LEVELS_KEPT),
            ranks: Ranks::default(),
        }
    }
}

impl Admission {
    /// Other rules are in force.
    pub(crate) fn set_ranks(&mut self, ranks: Ranks) {
        self.ranks = ranks;
    }

    /// The random value of an action that begins with this operation: higher, the more urgent it
    /// is.
    pub(crate) fn dice(&self, operation: &Operation, dice: u16) -> u16 {
        self.ranks.dice(operation.class, operation.priority, dice)
    }

    /// An instance reports its own level.
    pub(crate) fn hear_instance(&mut self, now: Time, from: Incarnation, level: u16) {
        if let Some(heard) = self.instances.get_mut(&from) {
            return heard.hear(now, level);
        }
        let mut heard = Heard::new(now);
        heard.hear(now, level);
        self.instances.insert(from, heard);
    }

    /// A run of an operation that is still under way met a level below it.
    pub(crate) fn hear_level(&mut self, now: Time, operation: &OperationKey, level: u16) {
        self.path_of(now, operation).level.hear(now, level);
    }

    /// A run of an operation met something below it.
    pub(crate) fn hear_path(&mut self, now: Time, operation: &OperationKey, below: Below) {
        let path = self.path_of(now, operation);
        path.level.hear(now, below.level);
        path.calls = below.calls;
    }

    fn path_of(&mut self, now: Time, operation: &OperationKey) -> &mut Path {
        if self.paths.get(operation).is_none() {
            let path = Path {
                level: Heard::new(now),
                calls: 0,
                runs: RunTimes::default(),
            };
            self.paths.insert(operation.clone(), path);
        }
        let path = self.paths.get_mut(operation);
        path.expect("it was entered just now")
    }

    fn instance(&self, now: Time, incarnation: Incarnation) -> u16 {
        let heard = self.instances.get(&incarnation);
        heard.map_or(0, |heard| heard.get(now))
    }

    /// The level of the services below an operation.
    pub(crate) fn path(&self, now: Time, operation: &OperationKey) -> u16 {
        let path = self.paths.get(operation);
        path.map_or(0, |path| path.level.get(now))
    }

    /// A run of an operation on the own backend server took this long.
    pub(crate) fn learn_run(&mut self, now: Time, operation: &OperationKey, took: Duration) {
        self.path_of(now, operation).runs.learn(took);
    }

    /// After how long such a run is late, if that is known.
    pub(crate) fn late_after(&self, operation: &OperationKey) -> Option<Duration> {
        self.paths.get(operation)?.runs.late_after()
    }

    /// The calls that the last run of an operation made.
    pub(crate) fn calls_below(&self, operation: &OperationKey) -> u16 {
        self.paths.get(operation).map_or(0, |path| path.calls)
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
        let path = self.admission.path(now, &call.operation);
        if sheds && value < path {
            return Err(shed(path, call.class, call.admission_sample));
        }
        if sheds {
            call.passed_level = path;
        }
        let (target, level) = match call.key {
            Some((key, _)) => {
                let home = self.home_of(&call.request.service, key);
                let level = home.as_ref().map(|home| self.level_of(now, home));
                (home, level.filter(|level| sheds && value < *level))
            }
            None if begins_here => self.choose_admitting(now, call, value),
            None if self.cfg.policy.by_load => (self.choose_instance(now, call), None),
            None => (self.in_turn(call), None),
        };
        match (target, level) {
            (_, Some(level)) => Err(shed(level, call.class, call.admission_sample)),
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
            return (self.in_turn(call), None);
        }
        if !self.cfg.policy.levels {
            return (self.choose_instance(now, call), None);
        }
        let avoided = call.avoid.len();
        let mut passed = None;
        let mut sheds = None;
        for (incarnation, level) in self.levels(now, &call.request.service) {
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
    fn in_turn(&mut self, call: &OutgoingCall) -> Option<Instance> {
        let turn = self.number() as usize;
        let peers = self.members.usable(&call.request.service);
        let peers = peers.map(|peer| &peer.instance);
        let fits = |instance: &&Instance| !call.avoid.contains(&instance.incarnation);
        let mut all: Vec<&Instance> = peers.filter(fits).collect();
        if self.me.service == call.request.service && fits(&&self.me) {
            all.push(&self.me);
        }
        let turn = turn.checked_rem(all.len())?;
        Some(all[turn].clone())
    }

    /// The highest level that a call meets: below its operation, or at the instance that it went
    /// to. Others may have room, but mostly nothing is known of those that are far away, and a call
    /// that finds the near ones full goes there by itself.
    pub(crate) fn level_met(&self, now: Time, call: &OutgoingCall) -> u16 {
        let below = self.admission.path(now, &call.operation);
        below.max(self.level_of(now, &call.target))
    }

    /// The instances of a service that may be used, and their levels.
    fn levels<'a>(
        &'a self,
        now: Time,
        service: &'a str,
    ) -> impl Iterator<Item = (Incarnation, u16)> + 'a {
        let own = (*self.me.service == *service).then_some(&self.me);
        let peers = self.members.usable(service).map(|peer| &peer.instance);
        own.into_iter()
            .chain(peers)
            .map(move |instance| (instance.incarnation, self.level_of(now, instance)))
    }

    fn level_of(&self, now: Time, instance: &Instance) -> u16 {
        if instance.incarnation == self.me.incarnation {
            self.server.level()
        } else {
            self.admission.instance(now, instance.incarnation)
        }
    }
}

/// A refusal that says when it is worth coming back.
pub(crate) fn shed(level: u16, class: Class, dice: u16) -> Refusal {
    Refusal::new(Reason::Shed, come_back(level, class, dice))
}
