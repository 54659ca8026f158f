//! Which part of the range of admission values the actions of a priority have.

use indexmap::IndexSet;
use proto::Class;
use stdx::plain;

/// Where the values of protected classes begin.
pub(crate) const PROTECTED: u16 = 0x8000;

/// Of the range that is left, what the more urgent priorities have together. What is shed most is the
/// least urgent, so it has most of the range, and its share can be set finely.
const URGENT: f64 = 1.0 / 8.0;

/// The share of each priority that has the highest values of its class. While the rest is shed, these
/// tell how much is offered, and that there is room again.
pub(crate) const PROBES: f64 = 1.0 / 64.0;

/// Values in one half of the range, which lookups have or protected classes.
const HALF: f64 = PROTECTED as f64;

plain! {
    /// Actions that are shed alike. The most urgent are the least.
    #[derive(Hash, PartialOrd, Ord)]
    pub(crate) struct Group {
        is_lookup: bool,
        priority: u8,
    }
}

impl Group {
    pub(crate) fn new(class: Class, priority: u8) -> Self {
        Self {
            is_lookup: !class.is_protected(),
            priority,
        }
    }
}

/// A part of a half, which is from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Band {
    from: f64,
    to: f64,
}

impl Band {
    const WHOLE: Band = Band { from: 0.0, to: 1.0 };

    fn width(self) -> f64 {
        self.to - self.from
    }
}

/// The priorities that the rules in force name, for lookups and for protected classes.
///
/// Operators say which lookups they would rather lose. Without this a lookup that costs a busy
/// service one slot for 88 ms and is ranked first was shed as often as one that costs it five times as
/// much: of 1,946 a half was not served in time.
///
/// The values of a priority lie below those of a more urgent one, so a level that rises sheds
/// nearly the whole of one before any of the next.
///
/// # Examples
///
/// ```
/// use bilberry_policy::PriorityBands;
/// use proto::Class::Lookup;
///
/// let ranks = PriorityBands::new([(Lookup, 2), (Lookup, 1)]);
/// assert!(ranks.scale_to_band(Lookup, 2, 60_000) < ranks.scale_to_band(Lookup, 1, 0));
/// assert_eq!(PriorityBands::new([(Lookup, 2)]).scale_to_band(Lookup, 2, 700), 700);
/// ```
#[derive(Debug, Default, Clone)]
pub struct PriorityBands {
    /// The most urgent first.
    groups: IndexSet<Group>,
}

impl PriorityBands {
    /// The ranks of operations with these classes and priorities.
    pub fn new(operations: impl IntoIterator<Item = (Class, u8)>) -> Self {
        let groups = operations.into_iter();
        let groups = groups.map(|(class, priority)| Group::new(class, priority));
        let mut groups: IndexSet<Group> = groups.collect();
        groups.sort();
        Self { groups }
    }

    /// The random value of an action, moved into the part of the range that its priority has. A
    /// priority that no rule names has the whole range.
    pub fn scale_to_band(&self, class: Class, priority: u8, dice: u16) -> u16 {
        let band = self.band(Group::new(class, priority));
        let all = f64::from(u16::MAX) + 1.0;
        let place = f64::from(dice) / all;
        if band == Band::WHOLE || place >= 1.0 - PROBES {
            return dice;
        }
        ((band.from * (1.0 - PROBES) + place * band.width()) * all) as u16
    }

    /// The share of a group that passes a level.
    pub(crate) fn share(&self, group: Group, level: u16) -> f64 {
        let place = match group.is_lookup {
            true => f64::from(level) / HALF,
            false => f64::from(level.saturating_sub(PROTECTED)) / HALF,
        };
        if place >= 1.0 {
            return 0.0;
        }
        let band = self.band(group);
        let rest = (band.to - place / (1.0 - PROBES)) / band.width();
        PROBES + (1.0 - PROBES) * rest.clamp(0.0, 1.0)
    }

    /// The level that lets through no more than `capacity` of these loads, the most urgent of which
    /// stand first.
    pub(crate) fn level(&self, loads: &[(Group, f64)], capacity: f64) -> u16 {
        let all: f64 = loads.iter().map(|(_, load)| load).sum();
        let mut left = capacity - all * PROBES;
        for (group, load) in loads {
            let load = load * (1.0 - PROBES);
            if load > left {
                return self.level_for(*group, left.max(0.0) / load);
            }
            left -= load;
        }
        0
    }

    /// The level that lets this share of a group through, but for its probes.
    fn level_for(&self, group: Group, share: f64) -> u16 {
        let band = self.band(group);
        let place = (band.to - share * band.width()) * (1.0 - PROBES);
        let base = match group.is_lookup {
            true => 0,
            false => PROTECTED,
        };
        base + (place * HALF) as u16
    }

    fn band(&self, group: Group) -> Band {
        let Some(index) = self.groups.get_index_of(&group) else {
            return Band::WHOLE;
        };
        let alike = |other: &&Group| other.is_lookup == group.is_lookup;
        let less_urgent = self.groups[index + 1..].iter().filter(alike).count() as i32;
        let is_first = !self.groups[..index].iter().any(|other| alike(&other));
        let to = match is_first {
            true => 1.0,
            false => 1.0 - URGENT.powi(less_urgent + 1),
        };
        Band {
            from: 1.0 - URGENT.powi(less_urgent),
            to,
        }
    }
}
