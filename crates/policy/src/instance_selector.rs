//! Selection of the instance for a call. Near instances are preferred while they have spare
//! capacity, and randomness keeps the nodes from all choosing the same one.
//!
//! The less loaded of two random instances is chosen (power of two choices, Mitzenmacher 2001),
//! with two candidates for each proximity, so the cost of a choice does not depend on the size of
//! the fleet. If servers report their speed, the candidate with the shorter expected completion time
//! is chosen, and another proximity only if the near candidates would make the call wait or be late.

use crate::instance_speed::InstanceSpeed;
use crate::instance_speed::UsualRunTimes;
use crate::Switches;
use indexmap::IndexMap;
use indexmap::IndexSet;
use proto::Incarnation;
use proto::LoadReport;
use rand::seq::index;
use rand::Rng;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use stdx::plain;
use stdx::Time;

/// Added to the load for distance, in thousandths of the concurrency limit, by [`Proximity`].
const DISTANCE_COST: [u32; 3] = [20, 100, 600];

/// Up to this load, in thousandths of its limit, an instance starts work immediately, and a less
/// loaded one would not answer any sooner. The rest of the limit is reserved for calls that are in
/// flight and not yet reported.
///
/// Traffic between failure domains is billed. If load counted from the first call on, a difference
/// of 1.3 calls in 16 slots would be enough to send a call to another failure domain, and a quarter
/// of the calls to a busy service would leave theirs.
const FREE_LOAD: u32 = 800;

/// The cost of a run itself in the unit of load: a full limit of load ahead takes one run time.
const RUN_COST: u32 = 1000;

/// Weight of the load in the comparison of instances of one proximity, while it is free. A server at
/// half of the usual run time gets an eighth of its limit more work than a usual one. If speed
/// weighed more, the fastest servers would be filled to their limits and shed bursts, although others
/// have capacity.
const BALANCE_WEIGHT: f32 = 4.0;

/// Time over which the weight of a load report falls linearly to zero.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Assumed load of an instance without a recent report, in thousandths of its limit.
const UNKNOWN_LOAD: u32 = 300;

/// Assumed concurrency limit of an instance without any report.
const UNKNOWN_LIMIT: u32 = 50;

/// Time until a new instance receives its full share of calls.
const WARM_UP: Duration = Duration::from_secs(10);

/// Divisor of the share of calls that a new instance receives at first.
const COLD_DIVISOR: u32 = 10;

/// Mean time for which an instance is not used after the first failed connection.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum number of times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Number of random instances per proximity that are compared.
const CANDIDATES: usize = 2;

/// Number of random instances sampled to find [`CANDIDATES`] usable ones.
const SAMPLES: usize = 4;

plain! {
    /// How near an instance is. Traffic between regions is billed.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum Proximity {
        /// The same failure domain.
        SameDomain,
        /// The same region.
        SameRegion,
        /// Another region.
        OtherRegion,
    }
}

plain! {
    /// Whether an instance may receive new calls.
    pub enum Eligibility {
        /// It may.
        Ready,
        /// Only if no other instance may.
        LastResort,
        /// It must not.
        Excluded,
    }
}

/// The state tracked for one instance.
#[derive(Debug)]
struct InstanceState {
    service: Arc<str>,
    proximity: Proximity,
    /// When the instance became known; `None` if it may have been running for a long time.
    new_since: Option<Time>,
    report: LoadReport,
    reported_at: Option<Time>,
    speed: InstanceSpeed,
    /// Calls sent since the last report.
    sent_since_report: u32,
    in_flight: u32,
    /// Consecutive failed connections.
    failures: u32,
    backoff_until: Time,
}

/// The cost of sending a call to an instance.
#[derive(Debug, Clone, Copy)]
struct Cost {
    /// Orders the instances of one proximity.
    within: (u32, u32),
    /// Orders the proximities.
    across: (u32, u32),
}

/// The instances of one service.
#[derive(Debug, Default)]
struct ServiceInstances {
    /// By [`Proximity`].
    ready: [IndexSet<Incarnation>; 3],
    last_resort: IndexSet<Incarnation>,
    /// Whether one of the instances has reported how long work takes on its machine. Instances are
    /// then chosen by expected completion time.
    is_uneven: bool,
    usual_run_times: UsualRunTimes,
}

/// Chooses instances for calls, based on their load reports and on the calls sent by this node.
///
/// # Examples
///
/// ```
/// use bilberry_policy::{Eligibility, InstanceSelector, Proximity};
/// use proto::Incarnation;
/// use rand::SeedableRng;
/// use stdx::Time;
///
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// let mut selector = InstanceSelector::new();
/// let press = "press".into();
/// let (id, near) = (Incarnation(7), Proximity::SameDomain);
/// selector.set_instance(Time::ZERO, id, &press, near, Eligibility::Ready);
/// let chosen = selector.choose(Time::ZERO, "press", &[], &mut rng);
/// assert_eq!(chosen, Some(id));
/// assert_eq!(selector.choose(Time::ZERO, "press", &[id], &mut rng), None);
/// ```
#[derive(Debug, Default)]
pub struct InstanceSelector {
    instances: IndexMap<Incarnation, InstanceState>,
    services: IndexMap<Arc<str>, ServiceInstances>,
    /// When the first instance was added, soon after the start of this node.
    started: Option<Time>,
    /// Load counts from the first call on, even below [`FREE_LOAD`].
    ignores_free_load: bool,
}

impl InstanceSelector {
    /// A selector without instances.
    pub fn new() -> Self {
        Self::default()
    }

    /// A selector without instances that uses the mechanisms that are on.
    pub fn with_switches(switches: Switches) -> Self {
        Self {
            ignores_free_load: !switches.room,
            ..Self::default()
        }
    }

    /// Adds an instance or updates its eligibility.
    pub fn set_instance(
        &mut self,
        now: Time,
        id: Incarnation,
        service: &Arc<str>,
        proximity: Proximity,
        eligibility: Eligibility,
    ) {
        let started = *self.started.get_or_insert(now);
        let instances = self.services.entry(service.clone()).or_default();
        instances.ready[proximity as usize].swap_remove(&id);
        instances.last_resort.swap_remove(&id);
        match eligibility {
            Eligibility::Ready => instances.ready[proximity as usize].insert(id),
            Eligibility::LastResort => instances.last_resort.insert(id),
            Eligibility::Excluded => {
                self.instances.swap_remove(&id);
                return;
            }
        };
        // Most instances discovered right after the start of this node have been running before.
        let is_new = now.since(started) >= WARM_UP;
        self.instances.entry(id).or_insert_with(|| InstanceState {
            service: service.clone(),
            proximity,
            new_since: Some(now).filter(|_| is_new),
            report: LoadReport::default(),
            reported_at: None,
            speed: InstanceSpeed::default(),
            sent_since_report: 0,
            in_flight: 0,
            failures: 0,
            backoff_until: Time::ZERO,
        });
    }

    /// Applies a load report. A draining instance receives no further calls.
    pub fn on_report(&mut self, now: Time, id: Incarnation, report: LoadReport) {
        let Some(instance) = self.instances.get_mut(&id) else {
            return;
        };
        instance.report = report;
        instance.reported_at = Some(now);
        instance.sent_since_report = 0;
        if report.slowdown_percent > 0 {
            let instances = self.services.entry(instance.service.clone()).or_default();
            instances.is_uneven = true;
            let usual = &mut instances.usual_run_times;
            instance.speed.on_report(now, &report, usual);
        } else {
            // A new server beside the node, which does not report, is not as fast as the previous one.
            instance.speed = InstanceSpeed::default();
        }
        if report.draining {
            let (service, proximity) = (instance.service.clone(), instance.proximity);
            self.set_instance(now, id, &service, proximity, Eligibility::Excluded);
        }
    }

    /// Records that a call was sent.
    pub fn on_sent(&mut self, id: Incarnation) {
        if let Some(instance) = self.instances.get_mut(&id) {
            instance.sent_since_report += 1;
            instance.in_flight += 1;
        }
    }

    /// Records that a call that was sent has ended.
    pub fn on_ended(&mut self, id: Incarnation) {
        if let Some(instance) = self.instances.get_mut(&id) {
            instance.in_flight = instance.in_flight.saturating_sub(1);
        }
    }

    /// Records that an instance answered a call, so that connections to it work.
    pub fn on_answered(&mut self, id: Incarnation) {
        if let Some(instance) = self.instances.get_mut(&id) {
            instance.failures = 0;
            instance.backoff_until = Time::ZERO;
        }
    }

    /// Records a failed connection. The instance is not used for a while, longer after each further
    /// failure; then single calls probe whether it is back. Otherwise every call would try a dead
    /// instance until the membership probes detect it, and all calls would go there at once when it
    /// is back.
    pub fn on_connection_failed(&mut self, now: Time, id: Incarnation, rng: &mut impl Rng) {
        if let Some(instance) = self.instances.get_mut(&id) {
            // All frames of a lost connection fail together; they count as one failure.
            if now >= instance.backoff_until {
                instance.failures += 1;
                instance.backoff_until = now + instance.backoff(rng);
            }
        }
    }

    /// Number of calls from this node to an instance that are in flight.
    pub fn in_flight(&self, id: Incarnation) -> u32 {
        self.instances
            .get(&id)
            .map_or(0, |instance| instance.in_flight)
    }

    /// Chooses an instance of `service` that is not in `avoid`, for a call whose answer is not urgent;
    /// `None` if no instance is usable.
    pub fn choose(
        &mut self,
        now: Time,
        service: &str,
        avoid: &[Incarnation],
        rng: &mut impl Rng,
    ) -> Option<Incarnation> {
        self.choose_within(now, service, avoid, Duration::MAX, rng)
    }

    /// As [`InstanceSelector::choose`], for a call that should be answered within a time. The time
    /// matters only if servers report how long work takes on their machines.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_policy::{Eligibility, InstanceSelector, Proximity};
    /// use proto::{Incarnation, LoadReport, ServerSpeed};
    /// use rand::SeedableRng;
    /// use std::time::Duration;
    /// use stdx::Time;
    ///
    /// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    /// let mut selector = InstanceSelector::new();
    /// let (near, far) = (Incarnation(7), Incarnation(8));
    /// let distances = [(near, Proximity::SameDomain), (far, Proximity::SameRegion)];
    /// for ((id, proximity), run_time_us) in distances.into_iter().zip([30_000, 10_000]) {
    ///     selector.set_instance(Time::ZERO, id, &"press".into(), proximity, Eligibility::Ready);
    ///     let speed = ServerSpeed { mean_percent: 100, run_time_us, ..ServerSpeed::default() };
    ///     let report = LoadReport { slowdown_percent: 100, speed, ..LoadReport::default() };
    ///     selector.on_report(Time::ZERO, id, report);
    /// }
    /// let mut choose = |ms| {
    ///     let within = Duration::from_millis(ms);
    ///     selector.choose_within(Time::ZERO, "press", &[], within, &mut rng)
    /// };
    /// assert_eq!(choose(1000), Some(near), "soon enough");
    /// assert_eq!(choose(20), Some(far), "the near one would be late");
    /// ```
    pub fn choose_within(
        &mut self,
        now: Time,
        service: &str,
        avoid: &[Incarnation],
        within: Duration,
        rng: &mut impl Rng,
    ) -> Option<Incarnation> {
        let instances = self.services.get(service)?;
        let free_load = if self.ignores_free_load { 0 } else { FREE_LOAD };
        let is_usable = |id: &Incarnation| {
            let instance = self.instances.get(id);
            !avoid.contains(id) && instance.is_some_and(|it| now >= it.backoff_until)
        };
        let usual = &instances.usual_run_times;
        let candidate = |id: &Incarnation| {
            let instance = self.instances.get(id)?;
            let cost = match instances.is_uneven {
                true => instance.completion_cost(now, free_load, usual, within),
                false => instance.cost(now, free_load),
            };
            Some((cost, *id))
        };
        let mut best: Option<((u32, u32), Incarnation)> = None;
        for ids in &instances.ready {
            let sampled = sample_usable(ids, rng, is_usable);
            let sampled = || sampled.iter().filter_map(candidate);
            let cost = sampled().map(|(cost, _)| cost.across).min();
            let fastest = sampled().min_by_key(|(cost, _)| cost.within);
            if let (Some(cost), Some((_, id))) = (cost, fastest) {
                // On equal cost the first one is kept, because it is nearer.
                if best.is_none_or(|best| cost < best.0) {
                    best = Some((cost, id));
                }
            }
        }
        let cheapest = |ids: &mut dyn Iterator<Item = &Incarnation>| {
            let usable = ids.filter(|id| is_usable(id)).filter_map(candidate);
            usable.map(|(cost, id)| (cost.across, id)).min()
        };
        // Used if few instances are usable and sampling missed them.
        let rest = || cheapest(&mut instances.ready.iter().flatten());
        let last_resort = || cheapest(&mut instances.last_resort.iter());
        let (_, chosen) = best.or_else(rest).or_else(last_resort)?;
        self.extend_backoff(now, chosen, rng);
        Some(chosen)
    }

    /// Whether an instance of `service` has reported how long work takes on its machine.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_policy::{Eligibility, InstanceSelector, Proximity};
    /// use proto::{Incarnation, LoadReport};
    /// use stdx::Time;
    ///
    /// let mut selector = InstanceSelector::new();
    /// let (id, near) = (Incarnation(7), Proximity::SameDomain);
    /// selector.set_instance(Time::ZERO, id, &"press".into(), near, Eligibility::Ready);
    /// assert!(!selector.is_uneven("press"));
    /// let report = LoadReport { slowdown_percent: 100, ..LoadReport::default() };
    /// selector.on_report(Time::ZERO, id, report);
    /// assert!(selector.is_uneven("press"));
    /// ```
    pub fn is_uneven(&self, service: &str) -> bool {
        let instances = self.services.get(service);
        instances.is_some_and(|instances| instances.is_uneven)
    }

    /// Whether an instance of `service` for which `is_allowed` holds would start work immediately.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_policy::{Eligibility, InstanceSelector, Proximity};
    /// use proto::{Incarnation, LoadReport};
    /// use stdx::Time;
    ///
    /// let mut selector = InstanceSelector::new();
    /// let (id, press) = (Incarnation(7), "press".into());
    /// let near = Proximity::SameDomain;
    /// selector.set_instance(Time::ZERO, id, &press, near, Eligibility::Ready);
    /// assert!(selector.has_room(Time::ZERO, "press", |_| true));
    /// let full = LoadReport {
    ///     utilisation: 1000,
    ///     limit: 10,
    ///     ..LoadReport::default()
    /// };
    /// selector.on_report(Time::ZERO, id, full);
    /// assert!(!selector.has_room(Time::ZERO, "press", |_| true));
    /// ```
    pub fn has_room(
        &self,
        now: Time,
        service: &str,
        is_allowed: impl Fn(Incarnation) -> bool,
    ) -> bool {
        let Some(instances) = self.services.get(service) else {
            return false;
        };
        let mut ready = instances.ready.iter().flatten();
        ready.any(|id| {
            let instance = self.instances.get(id);
            let has_room = instance.is_some_and(|instance| {
                now >= instance.backoff_until && instance.load(now) < FREE_LOAD
            });
            has_room && is_allowed(*id)
        })
    }

    /// If connections to the chosen instance have failed, this call is a probe: no further call is
    /// sent there during the next backoff.
    fn extend_backoff(&mut self, now: Time, id: Incarnation, rng: &mut impl Rng) {
        if let Some(instance) = self.instances.get_mut(&id) {
            if instance.failures > 0 {
                instance.backoff_until = now + instance.backoff(rng);
            }
        }
    }
}

impl InstanceState {
    /// The cost of sending a call here: load that causes waiting plus distance, and as a
    /// tie-breaker the load itself.
    fn cost(&self, now: Time, free_load: u32) -> Cost {
        let load = self.load(now);
        let waiting = load.saturating_sub(free_load) + self.weighted(now, self.report.penalty, 0);
        let cost = (waiting + DISTANCE_COST[self.proximity as usize], load);
        Cost {
            within: cost,
            across: cost,
        }
    }

    /// The cost if the servers of the service differ in speed, in thousandths of the usual run time.
    /// Within a proximity it is the expected completion time: the run, and the work ahead divided by
    /// the slots, both at the present speed there. Across proximities it is the distance and the
    /// time for which the call would wait or be late, so that a near instance that can start the
    /// call at once and end it in time is preferred to a faster one farther away.
    fn completion_cost(
        &self,
        now: Time,
        free_load: u32,
        usual: &UsualRunTimes,
        within: Duration,
    ) -> Cost {
        let load = self.load(now);
        let ratio = self.speed.time_ratio(now, usual);
        let time = |work: u32| work as f32 * ratio;
        let (run, wait) = (time(RUN_COST), time(load.saturating_sub(free_load)));
        let in_time = RUN_COST as f32 * self.speed.ratio_in_time(usual, within);
        let penalty = self.weighted(now, self.report.penalty, 0);
        // A sum with the other terms must not overflow.
        let to_cost = |time: f32| (time as u32).min(u32::MAX / 2) + penalty;
        let completion = to_cost(run + wait + load as f32 * BALANCE_WEIGHT);
        let delay = to_cost(wait + (run - in_time).max(0.0));
        Cost {
            within: (completion, load),
            across: (delay + DISTANCE_COST[self.proximity as usize], completion),
        }
    }

    /// The load in thousandths of the limit.
    fn load(&self, now: Time) -> u32 {
        let limit = match self.report.limit {
            0 => UNKNOWN_LIMIT,
            limit => u32::from(limit),
        };
        let reported = self.weighted(now, self.report.utilisation, UNKNOWN_LOAD);
        let estimate = reported + self.sent_since_report * 1000 / limit;
        let load = estimate.max(self.in_flight * 1000 / limit);
        load * self.warm_up_factor(now)
    }

    /// A reported value, weighted by the age of the report: it changes linearly into `unknown`
    /// within [`REPORT_LIFETIME`].
    fn weighted(&self, now: Time, reported: u16, unknown: u32) -> u32 {
        let age = self.reported_at.map_or(REPORT_LIFETIME, |at| now.since(at));
        let lifetime = REPORT_LIFETIME.as_millis() as u32;
        let remaining = lifetime.saturating_sub(age.as_millis() as u32);
        (u32::from(reported) * remaining + unknown * (lifetime - remaining)) / lifetime
    }

    /// Factor by which the load of a new instance is multiplied; it falls to 1 during [`WARM_UP`].
    /// A new instance has cold caches, and its limit is not known yet.
    fn warm_up_factor(&self, now: Time) -> u32 {
        let age = self.new_since.map_or(WARM_UP, |at| now.since(at));
        let warm = WARM_UP.as_millis() as u32;
        let age = (age.as_millis() as u32).clamp(warm / COLD_DIVISOR, warm);
        warm / age
    }

    fn backoff(&self, rng: &mut impl Rng) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        (INITIAL_BACKOFF * (1 << doublings)).mul_f64(rng.random_range(0.5..1.5))
    }
}

/// Up to [`CANDIDATES`] different random instances for which `is_usable` holds.
fn sample_usable(
    ids: &IndexSet<Incarnation>,
    rng: &mut impl Rng,
    is_usable: impl Fn(&Incarnation) -> bool,
) -> Vec<Incarnation> {
    let sampled = index::sample(rng, ids.len(), SAMPLES.min(ids.len()));
    let sampled = sampled.into_iter().map(|index| ids[index]);
    sampled.filter(is_usable).take(CANDIDATES).collect()
}
