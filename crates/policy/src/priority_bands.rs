//! Mapping of priorities to bands of the range of admission values.

use indexmap::IndexSet;
use proto::Class;
use stdx::plain;

/// The lowest admission value of protected classes.
pub(crate) const MIN_PROTECTED_VALUE: u16 = 0x8000;

/// The share of the remaining range that all more urgent priorities have together. The least urgent
/// priority is shed most often, so it has most of the range and can be shed in fine steps.
const URGENT_SHARE: f64 = 1.0 / 8.0;

/// The share of each priority that has the highest values of its half of the range. While the rest
/// is shed, these probes show how much load is offered and when there is capacity again.
pub(crate) const PROBE_SHARE: f64 = 1.0 / 64.0;

/// Number of values in one half of the range: the lower one is for lookups, the upper one for
/// protected classes.
const HALF_RANGE: f64 = MIN_PROTECTED_VALUE as f64;

plain! {
    /// Actions that are shed together. Sorted with the most urgent first.
    #[derive(Hash, PartialOrd, Ord)]
    pub(crate) struct Group {
        is_lookup: bool,
        priority: u8,
    }
}

impl Group {
    pub(crate) fn is_protected(&self) -> bool {
        !self.is_lookup
    }

    pub(crate) fn new(class: Class, priority: u8) -> Self {
        Self {
            is_lookup: !class.is_protected(),
            priority,
        }
    }
}

/// A part of one half of the range, as fractions of that half.
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

/// The priorities named by the rules in force, for lookups and for protected classes.
///
/// Priorities let operators choose which lookups are shed first. Without them, a short and urgent
/// lookup is shed as often as one that occupies the slots of a busy service five times as long.
///
/// The values of a priority lie below those of a more urgent one, so that a rising level sheds
/// nearly all of one priority before any of the next.
///
/// # Examples
///
/// ```
/// use bilberry_policy::PriorityBands;
/// use proto::Class::Lookup;
///
/// let bands = PriorityBands::new([(Lookup, 2), (Lookup, 1)]);
/// assert!(bands.scale_to_band(Lookup, 2, 60_000) < bands.scale_to_band(Lookup, 1, 0));
/// assert_eq!(PriorityBands::new([(Lookup, 2)]).scale_to_band(Lookup, 2, 700), 700);
/// ```
#[derive(Debug, Default, Clone)]
pub struct PriorityBands {
    /// Sorted with the most urgent first.
    groups: IndexSet<Group>,
}

impl PriorityBands {
    /// The bands for operations with these classes and priorities.
    pub fn new(operations: impl IntoIterator<Item = (Class, u8)>) -> Self {
        let groups = operations.into_iter();
        let groups = groups.map(|(class, priority)| Group::new(class, priority));
        let mut groups: IndexSet<Group> = groups.collect();
        groups.sort();
        Self { groups }
    }

    /// Scales the random value of an action to the band of its priority. A priority that no rule
    /// names has the whole range.
    pub fn scale_to_band(&self, class: Class, priority: u8, random_value: u16) -> u16 {
        let band = self.band(Group::new(class, priority));
        let range = f64::from(u16::MAX) + 1.0;
        let position = f64::from(random_value) / range;
        if band == Band::WHOLE || position >= 1.0 - PROBE_SHARE {
            return random_value;
        }
        ((band.from * (1.0 - PROBE_SHARE) + position * band.width()) * range) as u16
    }

    /// The share of a group that a level admits.
    pub(crate) fn share(&self, group: Group, level: u16) -> f64 {
        let position = match group.is_lookup {
            true => f64::from(level) / HALF_RANGE,
            false => f64::from(level.saturating_sub(MIN_PROTECTED_VALUE)) / HALF_RANGE,
        };
        if position >= 1.0 {
            return 0.0;
        }
        let band = self.band(group);
        let admitted = (band.to - position / (1.0 - PROBE_SHARE)) / band.width();
        PROBE_SHARE + (1.0 - PROBE_SHARE) * admitted.clamp(0.0, 1.0)
    }

    /// The level that admits no more than `capacity` of the loads of these groups, which are sorted
    /// with the most urgent first. Load and capacity are given in slots.
    pub(crate) fn level(&self, loads: &[(Group, f64)], capacity: f64) -> u16 {
        let total: f64 = loads.iter().map(|(_, load)| load).sum();
        let mut remaining = capacity - total * PROBE_SHARE;
        for (group, load) in loads {
            let load = load * (1.0 - PROBE_SHARE);
            if load > remaining {
                return self.level_for(*group, remaining.max(0.0) / load);
            }
            remaining -= load;
        }
        0
    }

    /// The level that admits this share of a group in addition to its probes.
    fn level_for(&self, group: Group, share: f64) -> u16 {
        let band = self.band(group);
        let position = (band.to - share * band.width()) * (1.0 - PROBE_SHARE);
        let base = match group.is_lookup {
            true => 0,
            false => MIN_PROTECTED_VALUE,
        };
        base + (position * HALF_RANGE) as u16
    }

    fn band(&self, group: Group) -> Band {
        let Some(index) = self.groups.get_index_of(&group) else {
            return Band::WHOLE;
        };
        let same_half = |other: &&Group| other.is_lookup == group.is_lookup;
        let less_urgent = self.groups[index + 1..].iter().filter(same_half).count() as i32;
        let is_most_urgent = !self.groups[..index].iter().any(|other| same_half(&other));
        let to = match is_most_urgent {
            true => 1.0,
            false => 1.0 - URGENT_SHARE.powi(less_urgent + 1),
        };
        Band {
            from: 1.0 - URGENT_SHARE.powi(less_urgent),
            to,
        }
    }
}
