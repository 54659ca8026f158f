//! Admission levels, as in DAGOR (Zhou et al., "Overload Control for Scaling WeChat
//! Microservices", SoCC 2018).
//!
//! Each action has one value, the same at every hop, so that all hops shed the same actions and no
//! work is done for an action that a deeper service then sheds. Lookups have values in the lower
//! half of the range and all else in the upper half, so every lookup goes before any order does.

use proto::Class;
use std::time::Duration;
use stdx::Time;

/// Where the values of protected classes begin.
const PROTECTED: u16 = 0x8000;

/// The shortest time between two decisions.
const WINDOW: Duration = Duration::from_millis(100);

/// The fewest offers that a decision rests on, unless `MAX_WINDOW` has passed.
const MIN_OFFERS: u32 = 20;

/// The longest time between two decisions.
const MAX_WINDOW: Duration = Duration::from_secs(1);

/// The share of lookups, and of protected work, that always passes. Without it nobody would learn
/// that there is room again.
const PROBES: f64 = 1.0 / 64.0;

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
/// assert!((0.5..=1.5).contains(&bilberry_policy::spread(7)));
/// ```
pub fn spread(dice: u16) -> f64 {
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
/// use bilberry_policy::come_back;
/// use proto::Class;
///
/// assert!(come_back(0x4000, Class::Lookup, 9) > come_back(0, Class::Lookup, 9));
/// ```
pub fn come_back(level: u16, class: Class, dice: u16) -> Duration {
    let shed = if class.is_protected() {
        level.saturating_sub(PROTECTED)
    } else {
        level.min(PROTECTED)
    };
    let admitted = 1.0 - f64::from(shed) / f64::from(PROTECTED);
    RETURN.mul_f64(spread(dice) / admitted.max(0.1))
}

/// The share of refusals in the queue that bursts alone make.
const REFUSED: f64 = 0.02;

/// The least that a decision leaves of the share that passes.
const MAX_CUT: f64 = 0.6;

/// The most by which the share that passes grows from one decision to the next.
const MAX_RISE: f64 = 1.5;

/// What one class group did in a window.
#[derive(Debug, Default, Clone, Copy)]
struct Flow {
    passed: u32,
    started: u32,
    refused: u32,
    delay: f64,
}

impl Flow {
    fn overloaded(&self, target: f64) -> bool {
        let left = f64::from(self.started + self.refused);
        f64::from(self.refused) > REFUSED * left || (left > 0.0 && self.delay / left > target)
    }
}

/// The level of one service at one node, from the delay in its queue.
#[derive(Debug)]
pub(crate) struct Level {
    since: Time,
    lookups: Flow,
    protected: Flow,
    shed: u32,
    /// How much ran, times how long in seconds.
    used: f64,
    /// The shares that pass.
    lookup_share: f64,
    protected_share: f64,
    /// Offers per start, in the last window.
    pressure: f64,
}

impl Level {
    pub(crate) fn new() -> Self {
        Self {
            since: Time::ZERO,
            lookups: Flow::default(),
            protected: Flow::default(),
            shed: 0,
            used: 0.0,
            lookup_share: 1.0,
            protected_share: 1.0,
            pressure: 1.0,
        }
    }

    /// An action passes when its value is at or above this.
    pub(crate) fn get(&self) -> u16 {
        let half = f64::from(PROTECTED);
        if self.protected_share < 1.0 {
            PROTECTED + ((1.0 - self.protected_share) * (half - 1.0)) as u16
        } else {
            ((1.0 - self.lookup_share) * half) as u16
        }
    }

    /// How many times as much is offered as can be started; at least 1.
    pub(crate) fn pressure(&self) -> f64 {
        self.pressure
    }

    /// So much ran for so long.
    pub(crate) fn ran(&mut self, running: u16, time: Duration) {
        self.used += f64::from(running) * time.as_secs_f64();
    }

    pub(crate) fn shed(&mut self) {
        self.shed += 1;
    }

    pub(crate) fn passed(&mut self, class: Class) {
        self.flow(class).passed += 1;
    }

    pub(crate) fn started(&mut self, class: Class, delay: Duration) {
        let flow = self.flow(class);
        flow.started += 1;
        flow.delay += delay.as_secs_f64();
    }

    /// The queue refused work for load.
    pub(crate) fn refused(&mut self, class: Class, delay: Duration) {
        let flow = self.flow(class);
        flow.refused += 1;
        flow.delay += delay.as_secs_f64();
    }

    /// Decides anew if a window is over. `target` is the queueing delay that is still good, and
    /// `running` how much of the limit is taken up; both are used to tell how much more fits.
    pub(crate) fn tick(&mut self, now: Time, target: Duration, limit: u16) {
        let elapsed = now.since(self.since);
        let offers = self.lookups.passed + self.protected.passed + self.shed;
        if elapsed < WINDOW || (offers < MIN_OFFERS && elapsed < MAX_WINDOW) {
            return;
        }
        let (lookups, protected) = (self.lookups, self.protected);
        let started = (lookups.started + protected.started).max(1);
        self.pressure = (f64::from(offers) / f64::from(started)).max(1.0);
        let target = target.as_secs_f64();
        if protected.overloaded(target) && self.lookup_share <= PROBES {
            self.protected_share = (self.protected_share * cut(protected)).max(PROBES);
        } else if lookups.overloaded(target) || protected.overloaded(target) {
            self.cut_lookups(lookups, protected);
        } else {
            let used = self.used / elapsed.as_secs_f64() / f64::from(limit.max(1));
            self.fall(elapsed, used);
        }
        self.used = 0.0;
        self.since = now;
        self.lookups = Flow::default();
        self.protected = Flow::default();
        self.shed = 0;
    }

    /// Takes out of the lookups alone what both together are too much. The queue refuses lookups
    /// first, so their own refusals tell how many that are.
    fn cut_lookups(&mut self, lookups: Flow, protected: Flow) {
        let passed = f64::from(lookups.passed.max(1));
        let started = f64::from(lookups.started) - f64::from(protected.refused);
        let factor = (started / passed).clamp(MAX_CUT, 0.98);
        self.lookup_share = (self.lookup_share * factor).max(PROBES);
    }

    /// Falls, the protected half first: slowly near the limit, and quickly while much of it stands
    /// empty, as after a slow server has become quick again.
    fn fall(&mut self, elapsed: Duration, used: f64) {
        let steps = elapsed.as_secs_f64() / WINDOW.as_secs_f64();
        let rise = (0.95 / used.max(0.01)).clamp(1.02, MAX_RISE);
        let share = if self.protected_share < 1.0 {
            &mut self.protected_share
        } else {
            &mut self.lookup_share
        };
        *share = (*share * rise.powf(steps.min(10.0)) + 0.002 * steps).min(1.0);
    }

    fn flow(&mut self, class: Class) -> &mut Flow {
        if class.is_protected() {
            &mut self.protected
        } else {
            &mut self.lookups
        }
    }
}

/// What passed and was started, as a share of what passed.
fn cut(flow: Flow) -> f64 {
    (f64::from(flow.started) / f64::from(flow.passed.max(1))).clamp(0.5, 0.97)
}
