//! Slots that are kept for urgent work on a server whose runs mostly wait for the services below.

use crate::WorkItem;
use std::time::Duration;
use stdx::Time;

/// Weight of a run in the averages: one in this many.
const WINDOW: f64 = 16.0;

/// The share of the time in slots that is spent waiting for child calls, from which slots are kept.
/// Below it, slots are mostly held by work of the server itself, and keeping some free would leave
/// the server idle.
const MIN_WAITING_SHARE: f64 = 0.5;

/// The largest share of the slots that is kept, of those that runs hold only to wait.
const MAX_KEPT_SHARE: f64 = 0.5;

/// Without urgent work for this long, no slots are kept. It is also the time constant of the average
/// over urgent work, so that the average covers the time for which it counts.
const URGENT_MEMORY: Duration = Duration::from_secs(1);

/// The longest hold counts half as much after this time. Slots have to be kept before a service below
/// becomes slow again, because runs that already wait do not give their slots back.
const HOLD_HALF_LIFE: Duration = Duration::from_secs(30);

/// The slots that stay usable only by work which would miss its objective otherwise.
///
/// A run holds its slot while it waits for its child calls. If a service below becomes slow, such
/// runs hold all slots for as long as their deadlines allow, and short urgent work with an objective
/// below that time gets none, although the server itself is idle.
#[derive(Debug, Default)]
pub(super) struct Reserve {
    /// Mean time in a slot, and mean time of it without waits for child calls, in seconds.
    elapsed: f64,
    own_time: f64,
    /// The longest recent time for which a run has held its slot mostly to wait, in seconds.
    longest_hold: f64,
    held_at: Time,
    /// Slots that urgent work needs: a moving average of slot seconds per second.
    urgent_slots: f64,
    last_urgent: Option<Time>,
}

impl Reserve {
    /// Records a run that has left its slot.
    pub(super) fn record_run(&mut self, now: Time, elapsed: Duration, own_time: Duration) {
        let (elapsed, own_time) = (elapsed.as_secs_f64(), own_time.as_secs_f64());
        self.elapsed += (elapsed - self.elapsed) / WINDOW;
        self.own_time += (own_time - self.own_time) / WINDOW;
        let decayed = self.decayed_hold(now);
        if elapsed > decayed && own_time < elapsed * (1.0 - MIN_WAITING_SHARE) {
            (self.longest_hold, self.held_at) = (elapsed, now);
        }
    }

    /// Records work that has arrived and will hold a slot for `run_time`. Work that is late already
    /// is left out: a slot kept for it would not make it meet its objective.
    pub(super) fn record_arrival(&mut self, now: Time, item: &WorkItem, run_time: Duration) {
        let is_in_time = item.latest_start.is_some_and(|latest| latest >= now);
        if is_in_time && self.is_urgent(now, item) {
            let needed = run_time.as_secs_f64() / URGENT_MEMORY.as_secs_f64();
            self.urgent_slots = self.decayed_urgent_slots(now) + needed;
            self.last_urgent = Some(now);
        }
    }

    /// The number of slots that are kept out of `limit`: those that urgent work needs, and some for
    /// its variation (the square root of a mean number is its deviation if arrivals are random).
    pub(super) fn slots(&self, now: Time, limit: u16) -> u16 {
        let Some(last_urgent) = self.last_urgent else {
            return 0;
        };
        let waiting_share = 1.0 - self.own_time / self.elapsed.max(1e-6);
        if waiting_share < MIN_WAITING_SHARE || now.since(last_urgent) >= URGENT_MEMORY {
            return 0;
        }
        let needed = self.decayed_urgent_slots(now);
        let needed = (needed + needed.sqrt()).ceil();
        needed.min(f64::from(limit) * waiting_share * MAX_KEPT_SHARE) as u16
    }

    /// Whether work may use the slots that are kept: it would miss its objective if it waited for as
    /// long as runs have recently held their slots. So may work whose latest start is not known.
    pub(super) fn is_urgent(&self, now: Time, item: &WorkItem) -> bool {
        item.latest_start
            .is_none_or(|latest| now + self.hold(now) > latest)
    }

    /// When [`Reserve::is_urgent`] begins to hold for work at the latest, or fewer slots are kept
    /// than the `kept` ones, if no urgent work arrives meanwhile.
    pub(super) fn released_at(&self, now: Time, item: &WorkItem, kept: u16) -> Option<Time> {
        let latest = item.latest_start?.as_micros();
        let hold = self.hold(now).as_micros() as u64;
        let urgent_at = Time::from_micros(latest.saturating_sub(hold) + 1);
        let ends_at = self.last_urgent? + URGENT_MEMORY;
        Some(urgent_at.min(ends_at).min(self.falls_below(kept)?))
    }

    /// When the slots that urgent work needs, with those for its variation, fall below `kept`.
    fn falls_below(&self, kept: u16) -> Option<Time> {
        // Where `needed + needed.sqrt()` is one less than `kept`.
        let root = ((1.0 + 4.0 * (f64::from(kept) - 1.0)).max(1.0).sqrt() - 1.0) / 2.0;
        let needed = (root * root).max(1e-6);
        let secs = (self.urgent_slots / needed).ln() * URGENT_MEMORY.as_secs_f64();
        // Above the rounding of the time to microseconds.
        let after = Duration::from_secs_f64(secs.clamp(0.0, 3600.0)) + Duration::from_micros(2);
        Some(self.last_urgent? + after)
    }

    fn hold(&self, now: Time) -> Duration {
        Duration::from_secs_f64(self.decayed_hold(now).clamp(0.0, 3600.0))
    }

    fn decayed_hold(&self, now: Time) -> f64 {
        let half_lives = now.since(self.held_at).as_secs_f64() / HOLD_HALF_LIFE.as_secs_f64();
        self.longest_hold * 0.5f64.powf(half_lives)
    }

    fn decayed_urgent_slots(&self, now: Time) -> f64 {
        let age = self.last_urgent.map_or(Duration::ZERO, |at| now.since(at));
        self.urgent_slots * (-age.as_secs_f64() / URGENT_MEMORY.as_secs_f64()).exp()
    }
}
