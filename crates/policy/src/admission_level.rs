//! Admission levels, after DAGOR (Zhou et al., "Overload Control for Scaling WeChat Microservices",
//! SoCC 2018).
//!
//! Each action has one admission value, the same at every hop, so that all hops shed the same
//! actions and no work is done for an action that a deeper service then sheds. Lookups have values
//! in the lower half of the range and protected classes in the upper half, so all lookups are shed
//! before any order.
//!
//! DAGOR adjusts its level step by step while work is queued. Here the level is computed from the
//! load that would arrive if nothing were shed, because a change of level takes effect only after
//! the duration of a whole call tree, a second or more. With that delay, stepwise adjustment
//! oscillates between admitting everything and nothing, and an overloaded service is idle for much
//! of the time.

use crate::priority_bands::Group;
use crate::priority_bands::MIN_PROTECTED_VALUE;
use crate::priority_bands::PROBE_SHARE;
use crate::PriorityBands;
use crate::WorkItem;
use indexmap::IndexMap;
use proto::Class;
use std::time::Duration;
use stdx::Time;

/// Interval between updates of the level. The averaged load changes more slowly than this.
const UPDATE_INTERVAL: Duration = Duration::from_millis(20);

/// Time constant of the moving average of the offered load. If it is much shorter, a handful of
/// actions determines the level. If it is much longer, such as 2 s, more of the capacity of an
/// overloaded service stays unused.
const LOAD_TIME_CONSTANT: Duration = Duration::from_millis(600);

/// The lowest rate limit for which an overload ratio is computed, in requests per second.
const MIN_RATE: f64 = 0.001;

/// Time in which the backlog should be worked off; the admitted load is reduced accordingly. If it
/// is much longer, such as 2 s, nearly as many calls are queued as there are slots, and lookups
/// with eight sequential reads are late. If it is much shorter than the duration of a call tree,
/// the same work is counted several times. No slots are kept free beyond this: even a reserve of a
/// fifth of the square root of their number sheds lookups that would fit.
const BACKLOG_DRAIN_TIME: Duration = Duration::from_millis(500);

/// The admission value of an action: its random value within the half of the range for its class.
///
/// # Examples
///
/// ```
/// use proto::Class;
///
/// let order = bilberry_policy::admission_value(Class::Order, 0);
/// let lookup = bilberry_policy::admission_value(Class::Lookup, u16::MAX);
/// assert!(order > lookup);
/// ```
pub fn admission_value(class: Class, random_value: u16) -> u16 {
    let half = random_value >> 1;
    if class.is_protected() {
        MIN_PROTECTED_VALUE | half
    } else {
        half
    }
}

/// The factor between 0.5 and 1.5 by which an action's retry delay is multiplied. The random value
/// also determines which actions are shed, so it is hashed first: otherwise the shed actions would
/// come back close together.
///
/// # Examples
///
/// ```
/// assert!((0.5..=1.5).contains(&bilberry_policy::retry_jitter(7)));
/// ```
pub fn retry_jitter(random_value: u16) -> f64 {
    let mixed = random_value.wrapping_mul(40_503) ^ (random_value >> 7);
    0.5 + f64::from(mixed) / f64::from(u16::MAX)
}

/// Mean retry delay at a service that admits nearly everything. Every attempt has the same chance
/// of being admitted, so only an early one can still be answered in time: with 1 s, several times
/// as many lookups of a surge are late.
const BASE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// How long to wait before calling a service that sheds at `level` again: the smaller the share
/// that it admits, the longer.
///
/// # Examples
///
/// ```
/// use bilberry_policy::retry_delay;
/// use proto::Class;
///
/// assert!(retry_delay(0x4000, Class::Lookup, 9) > retry_delay(0, Class::Lookup, 9));
/// ```
pub fn retry_delay(level: u16, class: Class, random_value: u16) -> Duration {
    let shed = if class.is_protected() {
        level.saturating_sub(MIN_PROTECTED_VALUE)
    } else {
        level.min(MIN_PROTECTED_VALUE)
    };
    let admitted = 1.0 - f64::from(shed) / f64::from(MIN_PROTECTED_VALUE);
    BASE_RETRY_DELAY.mul_f64(retry_jitter(random_value) / admitted.max(0.1))
}

/// Time constant of the moving average of the requests offered to a server that names a rate limit.
/// It is longer than [`LOAD_TIME_CONSTANT`], because such limits are a few requests per second, and
/// an average over few requests varies too much.
const REQUESTS_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// An amount per second, as a moving average.
#[derive(Debug, Default, Clone, Copy)]
struct MovingAverage {
    per_second: f64,
    updated: Time,
}

impl MovingAverage {
    fn add(&mut self, now: Time, amount: f64, time_constant: Duration) {
        self.per_second = self.get(now, time_constant) + amount / time_constant.as_secs_f64();
        self.updated = now;
    }

    fn get(&self, now: Time, time_constant: Duration) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / time_constant.as_secs_f64();
        self.per_second * (-age).exp()
    }
}

/// The load that would arrive if nothing were shed.
#[derive(Debug, Default, Clone, Copy)]
struct OfferedLoad {
    /// Slot seconds per second, which is the number of slots that it would occupy.
    slots: MovingAverage,
    /// Requests per second.
    requests: MovingAverage,
}

/// The limits of a backend server that decide its admission level.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Capacity {
    /// The concurrency limit.
    pub(crate) slots: u16,
    /// The rate limit that the server has named, in requests per second.
    pub(crate) requests_per_second: Option<f64>,
    /// The number of queued work items.
    pub(crate) queued: usize,
    /// The number of queued work items of protected classes.
    pub(crate) queued_protected: usize,
    /// The number of queued work items that wait because they can; see
    /// [`WorkItem::waits_by_choice`]. They are not a backlog.
    pub(crate) queued_by_choice: usize,
    /// The mean time for which work occupies a slot.
    pub(crate) slot_time: Duration,
}

/// The admission level of one service at one node.
///
/// Each call carries the level that its action passed at the entry node, and is weighted by
/// the inverse of the share that this level admits (Horvitz and Thompson, 1952), so that it also
/// represents the calls of the same kind that were shed there. The offered load is thus known
/// although most of it never arrives, and the level depends on that load only, not on how much was
/// admitted before.
#[derive(Debug)]
pub(crate) struct AdmissionLevel {
    bands: PriorityBands,
    offered: IndexMap<Group, OfferedLoad>,
    updated: Time,
    /// The level by the load offered to the slots.
    level: u16,
    /// The level by the requests offered under a rate limit; 0 without one.
    rate_level: u16,
    /// Offered load divided by capacity; at least 1.
    overload_ratio: f64,
    /// Offered requests divided by the rate limit; 0 without one.
    rate_ratio: f64,
}

impl AdmissionLevel {
    pub(crate) fn new() -> Self {
        Self {
            bands: PriorityBands::default(),
            offered: IndexMap::new(),
            updated: Time::ZERO,
            level: 0,
            rate_level: 0,
            overload_ratio: 1.0,
            rate_ratio: 0.0,
        }
    }

    pub(crate) fn set_priority_bands(&mut self, bands: PriorityBands) {
        self.bands = bands;
    }

    /// Actions with an admission value at or above this level are admitted.
    pub(crate) fn get(&self) -> u16 {
        self.level
    }

    /// As [`AdmissionLevel::get`], by the rate limit alone.
    pub(crate) fn rate_level(&self) -> u16 {
        self.rate_level
    }

    /// Offered load divided by capacity, or by the rate limit if that is less; at least 1.
    pub(crate) fn overload_ratio(&self) -> f64 {
        self.overload_ratio.max(self.rate_ratio)
    }

    /// Offered requests divided by the rate limit; 0 without a rate limit.
    pub(crate) fn rate_ratio(&self) -> f64 {
        self.rate_ratio
    }

    /// Records offered work that will occupy a slot for `slot_time`, if that is known.
    pub(crate) fn record_offered(
        &mut self,
        now: Time,
        item: &WorkItem,
        slot_time: Option<Duration>,
    ) {
        let group = Group::new(item.class, item.priority);
        // Calls of actions admitted earlier still arrive after their group was shed entirely.
        let share = self.bands.share(group, item.passed_level).max(PROBE_SHARE);
        if !self.offered.contains_key(&group) {
            self.offered.insert_sorted(group, OfferedLoad::default());
        }
        let offered = &mut self.offered[&group];
        offered
            .requests
            .add(now, 1.0 / share, REQUESTS_TIME_CONSTANT);
        if let Some(slot_time) = slot_time {
            let slot_seconds = slot_time.as_secs_f64() / share;
            offered.slots.add(now, slot_seconds, LOAD_TIME_CONSTANT);
        }
    }

    /// The number of slots that the offered work of more urgent groups would occupy.
    pub(crate) fn slots_before(&self, now: Time, item: &WorkItem) -> f64 {
        let group = Group::new(item.class, item.priority);
        let more_urgent = self.offered.iter().take_while(|(other, _)| **other < group);
        let slots = more_urgent.map(|(_, load)| load.slots.get(now, LOAD_TIME_CONSTANT));
        slots.sum()
    }

    /// Recomputes the level if [`UPDATE_INTERVAL`] has passed.
    pub(crate) fn update(&mut self, now: Time, capacity: Capacity) {
        if now.since(self.updated) < UPDATE_INTERVAL {
            return;
        }
        self.updated = now;
        let backlog = (capacity.queued - capacity.queued_by_choice) as f64;
        let backlog = backlog * capacity.slot_time.as_secs_f64();
        let free_slots = f64::from(capacity.slots) - backlog / BACKLOG_DRAIN_TIME.as_secs_f64();
        let (slots, total) = self.offered(|load| load.slots.get(now, LOAD_TIME_CONSTANT));
        self.overload_ratio = (total / free_slots.max(1.0)).max(1.0);
        self.level = self.bands.level(&slots, free_slots);
        let Some(limit) = capacity.requests_per_second else {
            (self.rate_level, self.rate_ratio) = (0, 0.0);
            return;
        };
        let (requests, total) = self.offered(|load| load.requests.get(now, REQUESTS_TIME_CONSTANT));
        self.rate_ratio = total / limit.max(MIN_RATE);
        // Queued lookups are a reason to shed lookups only: protected work goes before them.
        let is_protected = |(group, _): &&(Group, f64)| group.is_protected();
        let protected = requests.iter().filter(is_protected);
        let protected: f64 = protected.map(|(_, amount)| amount).sum();
        let drained = |queued: usize| queued as f64 / REQUESTS_TIME_CONSTANT.as_secs_f64();
        let needed = protected + total * PROBE_SHARE;
        let for_protected = needed.min(limit - drained(capacity.queued_protected));
        let free_rate = (limit - drained(capacity.queued)).max(for_protected);
        self.rate_level = self.bands.level(&requests, free_rate);
    }

    /// The offered load of each group in the unit of `amount`, and their sum.
    fn offered(&self, amount: impl Fn(&OfferedLoad) -> f64) -> (Vec<(Group, f64)>, f64) {
        let loads = self.offered.iter();
        let loads = loads.map(|(group, load)| (*group, amount(load)));
        let loads: Vec<(Group, f64)> = loads.filter(|(_, amount)| *amount > 0.0).collect();
        let total = loads.iter().map(|(_, load)| load).sum();
        (loads, total)
    }
}
