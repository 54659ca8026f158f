//! Whom a call goes to: near instances first while they have room, and never all nodes to the same
//! one.

use proto::Incarnation;
use proto::LoadReport;
use rand::Rng;
use rand::RngExt;
use stdx::plain;

plain! {
    /// How far an instance is from this one. Crossing regions is billed.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum Place {
        /// The same failure domain.
        SameDomain,
        /// The same region.
        SameRegion,
        /// Another region.
        OtherRegion,
    }
}

plain! {
    /// An instance that may be chosen.
    pub struct Candidate {
        /// Which.
        pub incarnation: Incarnation,
        /// How far it is.
        pub place: Place,
        /// What it last said of its load.
        pub load: LoadReport,
        /// Calls of this node to it that are in flight.
        pub in_flight: u32,
    }
}

impl Candidate {
    /// Load in thousandths of its limit, with what this node has sent since the report.
    fn cost(&self) -> u32 {
        let limit = u32::from(self.load.limit.max(1));
        let sent = self.in_flight * 1000 / limit;
        let distance = match self.place {
            Place::SameDomain => 0,
            Place::SameRegion => 100,
            Place::OtherRegion => 600,
        };
        u32::from(self.load.utilisation).max(sent) + distance
    }
}

/// Chooses the less loaded of two random candidates, distance counted as load (power of two
/// choices, Mitzenmacher 2001). `None` if there is no candidate.
///
/// # Examples
///
/// ```
/// use rand::SeedableRng;
///
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// assert_eq!(bilberry_policy::choose(&[], &mut rng), None);
/// ```
pub fn choose(candidates: &[Candidate], rng: &mut impl Rng) -> Option<Incarnation> {
    if candidates.is_empty() {
        return None;
    }
    let a = &candidates[rng.random_range(0..candidates.len())];
    let b = &candidates[rng.random_range(0..candidates.len())];
    let chosen = if b.cost() < a.cost() { b } else { a };
    Some(chosen.incarnation)
}
