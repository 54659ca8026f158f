//! Admission levels, after DAGOR (Zhou et al., "Overload Control for Scaling WeChat Microservices",
//! SoCC 2018).
//!
//! Each action has one value, the same at every hop, so that all hops shed the same actions and no
//! work is done for an action that a deeper service then sheds. Lookups have values in the lower
//! half of the range and all else in the upper half, so every lookup goes before any order does.
//!
//! DAGOR moves its level step by step while work waits. Here the level is computed from the load that
//! would come if nothing were shed, because between a level and the calls that it lets through lies
//! the time of a whole call tree, a second or more: steps in that time swing between everything and
//! nothing, and a service that was asked for 1.6 times what it can do stood idle half of the time.

use crate::ranks::Group;
use crate::ranks::PROBES;
use crate::ranks::PROTECTED;
use crate::PriorityBands;
use crate::WorkItem;
use indexmap::IndexMap;
use proto::Class;
use std::time::Duration;
use stdx::Time;

/// The time between two decisions. The load below changes more slowly.
const WINDOW: Duration = Duration::from_millis(20);

/// Over how long the offered load is averaged. Shorter, a handful of actions decides. With two seconds
/// a service of 16 slots served 0.77 of what it can do, with this 0.89, under a demand of 1.6 (decision
/// logic alone, lookups with eight reads).
const MEMORY: Duration = Duration::from_millis(600);

/// In this time the work that waits is to be gone; so much less is let in meanwhile. With two seconds,
/// 14 calls waited at 16 slots on average, and lookups with eight reads in turn were late. Much
/// shorter than the time of a call tree, the same work would be counted several times. No slots are
/// held free beside this: with a fifth of their root, lookups were shed that would have fitted.
const CATCH_UP: Duration = Duration::from_millis(500);

/// An action's admission value.
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
pub fn admission_value(class: Class, dice: u16) -> u16 {
    let half = dice >> 1;
    if class.is_protected() {
        PROTECTED | half
    } else {
        half
    }
}

/// Where between half and one and a half times the usual wait an action comes back. The dice decide
/// as well who is shed, so they are mixed first: otherwise those who were shed would come back
/// close together.
///
/// # Examples
///
/// ```
/// assert!((0.5..=1.5).contains(&bilberry_policy::retry_jitter(7)));
/// ```
pub fn retry_jitter(dice: u16) -> f64 {
    let mixed = dice.wrapping_mul(40_503) ^ (dice >> 7);
    0.5 + f64::from(mixed) / f64::from(u16::MAX)
}

/// After how long a caller comes back to a service that admits nearly all.
/// Each attempt has as good a chance as the one before, so an early one is the only one that can
/// still be answered in good time: with a second, 1,966 of 23,529 lookups of a surge were late, with
/// this 330 of 23,528 (one run each).
const RETURN: Duration = Duration::from_millis(300);

/// When to come back to a service that sheds at `level`: later, the smaller the share is that it
/// admits.
///
/// # Examples
///
/// ```
/// use bilberry_policy::retry_delay;
/// use proto::Class;
///
/// assert!(retry_delay(0x4000, Class::Lookup, 9) > retry_delay(0, Class::Lookup, 9));
/// ```
pub fn retry_delay(level: u16, class: Class, dice: u16) -> Duration {
    let shed = if class.is_protected() {
        level.saturating_sub(PROTECTED)
    } else {
        level.min(PROTECTED)
    };
    let admitted = 1.0 - f64::from(shed) / f64::from(PROTECTED);
    RETURN.mul_f64(retry_jitter(dice) / admitted.max(0.1))
}

/// Load that would come if nothing were shed, in slots, averaged over [`MEMORY`].
#[derive(Debug, Default, Clone, Copy)]
struct Offered {
    slots: f64,
    at: Time,
}

impl Offered {
    fn add(&mut self, now: Time, work: f64) {
        self.slots = self.slots(now) + work / MEMORY.as_secs_f64();
        self.at = now;
    }

    fn slots(&self, now: Time) -> f64 {
        let memories = now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        self.slots * (-memories).exp()
    }
}

/// The level of one service at one node.
///
/// A call that comes was let through at its first hop by a level, which it carries, and stands for
/// all those like it that were not: by one over the share that the level let through
/// (Horvitz and Thompson, 1952). So the load that is offered is known though most of it never comes,
/// and what is let in depends on it alone and not on how much was let in before.
#[derive(Debug)]
pub(crate) struct Level {
    ranks: PriorityBands,
    offered: IndexMap<Group, Offered>,
    decided: Time,
    level: u16,
    /// Offered load over capacity; at least 1.
    pressure: f64,
}

impl Level {
    pub(crate) fn new() -> Self {
        Self {
            ranks: PriorityBands::default(),
            offered: IndexMap::new(),
            decided: Time::ZERO,
            level: 0,
            pressure: 1.0,
        }
    }

    pub(crate) fn set_ranks(&mut self, ranks: PriorityBands) {
        self.ranks = ranks;
    }

    /// An action passes when its value is at or above this.
    pub(crate) fn get(&self) -> u16 {
        self.level
    }

    /// How many times as much is offered as can be done; at least 1.
    pub(crate) fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Work is offered that takes up a slot for so long.
    pub(crate) fn offered(&mut self, now: Time, ticket: &WorkItem, takes: Duration) {
        let group = Group::new(ticket.class, ticket.priority);
        // A group that was shed whole still has the work that it had begun.
        let share = self.ranks.share(group, ticket.passed_level).max(PROBES);
        if !self.offered.contains_key(&group) {
            self.offered.insert_sorted(group, Offered::default());
        }
        self.offered[&group].add(now, takes.as_secs_f64() / share);
    }

    /// Decides anew if it is time: `slots` may be in use, and so much work waits, in seconds of one
    /// slot.
    pub(crate) fn decide(&mut self, now: Time, slots: u16, waiting: f64) {
        if now.since(self.decided) < WINDOW {
            return;
        }
        self.decided = now;
        let capacity = f64::from(slots) - waiting / CATCH_UP.as_secs_f64();
        let loads = self
            .offered
            .iter()
            .map(|(group, load)| (*group, load.slots(now)));
        let loads: Vec<(Group, f64)> = loads.collect();
        let all: f64 = loads.iter().map(|(_, load)| load).sum();
        self.pressure = (all / capacity.max(1.0)).max(1.0);
        self.level = self.ranks.level(&loads, capacity);
    }
}
