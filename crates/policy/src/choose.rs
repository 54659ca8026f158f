//! Whom a call goes to: near instances first while they have room, and never all nodes to the same
//! one.
//!
//! The less loaded of two random instances is taken (power of two choices, Mitzenmacher 2001), two
//! from each distance, so a choice costs the same however large the fleet is.

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

/// What distance adds to the load, in thousandths of the concurrency limit, by [`Proximity`].
const DISTANCE: [u32; 3] = [20, 100, 600];

/// Up to this load, in thousandths of its limit, an instance starts work at once, and one that is
/// less loaded would not serve the caller any sooner. The rest of the limit is for calls that are on
/// their way and not reported yet.
///
/// Bytes between failure domains are billed. Counted from the first call on, a difference of 1.3
/// calls in 16 slots sent a call to another domain, a quarter of all calls to the busiest service.
const ROOM: u32 = 800;

/// How long a report says anything. It counts less and less until then.
const REPORT_LIFE: Duration = Duration::from_secs(5);

/// The load of an instance that has said nothing lately, in thousandths of its limit.
const UNKNOWN_LOAD: u32 = 300;

/// The concurrency limit of an instance that has said nothing yet.
const UNKNOWN_LIMIT: u32 = 50;

/// How long a new instance takes to get its full share.
const WARM_UP: Duration = Duration::from_secs(10);

/// The share of a new instance at first, as a divisor.
const COLD_DIVISOR: u32 = 10;

/// How long an instance is left out after a connection to it has failed.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);

/// How often that time doubles, at most.
const MAX_DOUBLINGS: u32 = 5;

/// How many random instances of one distance are compared.
const CHOICES: usize = 2;

/// How many instances are drawn to find that many that may be used.
const DRAWS: usize = 4;

plain! {
    /// How far an instance is from this one. Crossing regions is billed.
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
    /// Whether an instance may be given new calls.
    pub enum Eligibility {
        /// It may.
        Ready,
        /// Only if no other one may.
        LastResort,
        /// It may not.
        Excluded,
    }
}

/// What is known of one instance.
#[derive(Debug)]
struct Track {
    service: Arc<str>,
    place: Proximity,
    /// When it was first heard of; `None` if that may be long ago.
    new_since: Option<Time>,
    report: LoadReport,
    reported_at: Option<Time>,
    /// Calls sent since the last report.
    sent: u32,
    in_flight: u32,
    /// Failed connections in a row.
    failures: u32,
    left_out_until: Time,
}

/// The instances of one service.
#[derive(Debug, Default)]
struct Group {
    /// By [`Proximity`].
    ready: [IndexSet<Incarnation>; 3],
    doubtful: IndexSet<Incarnation>,
}

/// Chooses instances for calls, from what this node knows and has sent itself.
///
/// # Examples
///
/// ```
/// use bilberry_policy::{Proximity, InstanceSelector, Eligibility};
/// use proto::Incarnation;
/// use rand::SeedableRng;
/// use stdx::Time;
///
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// let mut selector = InstanceSelector::new();
/// let press = "press".into();
/// selector.set_instance(Time::ZERO, Incarnation(7), &press, Proximity::SameDomain, Eligibility::Ready);
/// let chosen = selector.choose(Time::ZERO, "press", &[], &mut rng);
/// assert_eq!(chosen, Some(Incarnation(7)));
/// assert_eq!(selector.choose(Time::ZERO, "press", &[Incarnation(7)], &mut rng), None);
/// ```
#[derive(Debug, Default)]
pub struct InstanceSelector {
    tracks: IndexMap<Incarnation, Track>,
    services: IndexMap<Arc<str>, Group>,
    started: Option<Time>,
    /// Load counts from the first call on, also where an instance has room.
    ignores_room: bool,
}

impl InstanceSelector {
    /// A selector that knows no instance.
    pub fn new() -> Self {
        Self::default()
    }

    /// A selector with the mechanisms that are on.
    pub fn with_switches(switches: Switches) -> Self {
        Self {
            ignores_room: !switches.room,
            ..Self::default()
        }
    }

    /// Enters an instance or changes its standing.
    pub fn set_instance(
        &mut self,
        now: Time,
        peer: Incarnation,
        service: &Arc<str>,
        place: Proximity,
        standing: Eligibility,
    ) {
        let started = *self.started.get_or_insert(now);
        let group = self.services.entry(service.clone()).or_default();
        group.ready[place as usize].swap_remove(&peer);
        group.doubtful.swap_remove(&peer);
        match standing {
            Eligibility::Ready => group.ready[place as usize].insert(peer),
            Eligibility::LastResort => group.doubtful.insert(peer),
            Eligibility::Excluded => {
                self.tracks.swap_remove(&peer);
                return;
            }
        };
        // What a node hears of right after its own start has mostly been there before.
        let is_new = now.since(started) >= WARM_UP;
        self.tracks.entry(peer).or_insert_with(|| Track {
            service: service.clone(),
            place,
            new_since: Some(now).filter(|_| is_new),
            report: LoadReport::default(),
            reported_at: None,
            sent: 0,
            in_flight: 0,
            failures: 0,
            left_out_until: Time::ZERO,
        });
    }

    /// Takes what an instance says of its load. One that is leaving gets nothing more.
    pub fn on_report(&mut self, now: Time, peer: Incarnation, report: LoadReport) {
        let Some(track) = self.tracks.get_mut(&peer) else {
            return;
        };
        track.report = report;
        track.reported_at = Some(now);
        track.sent = 0;
        if report.draining {
            let (service, place) = (track.service.clone(), track.place);
            self.set_instance(now, peer, &service, place, Eligibility::Excluded);
        }
    }

    /// A call was sent.
    pub fn on_sent(&mut self, peer: Incarnation) {
        if let Some(track) = self.tracks.get_mut(&peer) {
            track.sent += 1;
            track.in_flight += 1;
        }
    }

    /// A call that was sent is over.
    pub fn on_ended(&mut self, peer: Incarnation) {
        if let Some(track) = self.tracks.get_mut(&peer) {
            track.in_flight = track.in_flight.saturating_sub(1);
        }
    }

    /// An instance has answered a call, so connections to it work.
    pub fn on_answered(&mut self, peer: Incarnation) {
        if let Some(track) = self.tracks.get_mut(&peer) {
            track.failures = 0;
            track.left_out_until = Time::ZERO;
        }
    }

    /// A connection failed. The instance is left out for a while, longer each time; then single
    /// calls find out whether it is back. Without this every call would try a dead instance until
    /// the probes have found out, and all at once when it is back.
    pub fn on_connection_failed(&mut self, now: Time, peer: Incarnation, rng: &mut impl Rng) {
        if let Some(track) = self.tracks.get_mut(&peer) {
            // The frames of one lost connection fail together and count once.
            if now >= track.left_out_until {
                track.failures += 1;
                track.left_out_until = now + track.backoff(rng);
            }
        }
    }

    /// Calls of this node to an instance that are in flight.
    pub fn in_flight(&self, peer: Incarnation) -> u32 {
        self.tracks.get(&peer).map_or(0, |track| track.in_flight)
    }

    /// Chooses an instance of `service` that is not in `avoid`; `None` if there is none that may
    /// be used.
    pub fn choose(
        &mut self,
        now: Time,
        service: &str,
        avoid: &[Incarnation],
        rng: &mut impl Rng,
    ) -> Option<Incarnation> {
        let group = self.services.get(service)?;
        let room = if self.ignores_room { 0 } else { ROOM };
        let usable = |peer: &Incarnation| {
            let track = self.tracks.get(peer)?;
            let usable = !avoid.contains(peer) && now >= track.left_out_until;
            usable.then(|| (track.cost(now, room), *peer))
        };
        let mut best: Option<((u32, u32), Incarnation)> = None;
        for peers in &group.ready {
            for peer in draw(peers, rng, |peer| usable(peer).is_some()) {
                let candidate = usable(&peer);
                // On equal cost the first one stays: it is nearer.
                if best.is_none_or(|best| candidate.is_some_and(|it| it.0 < best.0)) {
                    best = candidate.or(best);
                }
            }
        }
        // Few are left, and the draws missed them.
        let rest = || group.ready.iter().flatten().filter_map(usable).min();
        let doubtful = || group.doubtful.iter().filter_map(usable).min();
        let (_, chosen) = best.or_else(rest).or_else(doubtful)?;
        self.after_choice(now, chosen, rng);
        Some(chosen)
    }

    /// One call goes to an instance that failed; the others wait for what becomes of it.
    fn after_choice(&mut self, now: Time, peer: Incarnation, rng: &mut impl Rng) {
        if let Some(track) = self.tracks.get_mut(&peer) {
            if track.failures > 0 {
                track.left_out_until = now + track.backoff(rng);
            }
        }
    }
}

impl Track {
    /// What a call here costs: what its caller would wait for and the distance, and where that is
    /// equal, the load.
    fn cost(&self, now: Time, room: u32) -> (u32, u32) {
        let load = self.load(now);
        let waits = load.saturating_sub(room) + self.believed(now, self.report.penalty, 0);
        (waits + DISTANCE[self.place as usize], load)
    }

    /// In thousandths of its limit.
    fn load(&self, now: Time) -> u32 {
        let limit = match self.report.limit {
            0 => UNKNOWN_LIMIT,
            limit => u32::from(limit),
        };
        let reported = self.believed(now, self.report.utilisation, UNKNOWN_LOAD);
        let sent = reported + self.sent * 1000 / limit;
        let load = sent.max(self.in_flight * 1000 / limit);
        load * self.cold_divisor(now)
    }

    /// A reported figure, nearer and nearer to what is taken of one that says nothing.
    fn believed(&self, now: Time, reported: u16, unknown: u32) -> u32 {
        let age = self.reported_at.map_or(REPORT_LIFE, |at| now.since(at));
        let life = REPORT_LIFE.as_millis() as u32;
        let left = life.saturating_sub(age.as_millis() as u32);
        (u32::from(reported) * left + unknown * (life - left)) / life
    }

    /// A new instance is cold: it has no caches and its limit is not known yet. Its load counts
    /// several times, less and less so.
    fn cold_divisor(&self, now: Time) -> u32 {
        let age = self.new_since.map_or(WARM_UP, |at| now.since(at));
        let warm = WARM_UP.as_millis() as u32;
        let age = (age.as_millis() as u32).clamp(warm / COLD_DIVISOR, warm);
        warm / age
    }

    fn backoff(&self, rng: &mut impl Rng) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        (FIRST_BACKOFF * (1 << doublings)).mul_f64(rng.random_range(0.5..1.5))
    }
}

/// Up to [`CHOICES`] different random peers of which `usable` holds.
fn draw(
    peers: &IndexSet<Incarnation>,
    rng: &mut impl Rng,
    usable: impl Fn(&Incarnation) -> bool,
) -> Vec<Incarnation> {
    let drawn = index::sample(rng, peers.len(), DRAWS.min(peers.len()));
    let drawn = drawn.into_iter().map(|index| peers[index]);
    drawn.filter(usable).take(CHOICES).collect()
}
