//! Lookups of different priorities at one overloaded server.

use bilberry_policy::AdmissionDecision;
use bilberry_policy::PriorityBands;
use bilberry_policy::ServerAdmission;
use bilberry_policy::Switches;
use bilberry_policy::WorkItem;
use bilberry_policy::WorkOutcome;
use proto::Class;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::time::Duration;
use stdx::Time;

const SLOTS: u16 = 16;
const WORK_MS: u64 = 50;
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Priorities of stock lookups and of order status lookups.
const STOCK: u8 = 1;
const STATUS: u8 = 2;

/// One in ten lookups is for stock, the others are for the status of an order.
const STOCK_SHARE: f64 = 0.1;

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1000)
}

/// Counts of the lookups of one priority.
#[derive(Debug, Default)]
struct Count {
    offered: f64,
    refused: f64,
}

impl Count {
    fn refused_share(&self) -> f64 {
        self.refused / self.offered
    }
}

/// Offers lookups of two priorities for 20 s, with the demand given as a multiple of the capacity
/// of the server. Returns the counts of stock lookups and of status lookups after the first second.
fn surge(bands: &PriorityBands, demand: f64, seed: u64) -> (Count, Count) {
    let mut rng = StdRng::seed_from_u64(seed);
    let switches = Switches {
        adaptive_limit: false,
        ..Switches::ALL
    };
    let mut server = ServerAdmission::new(switches, 1, SLOTS, MAX_WAIT);
    server.set_priority_bands(bands.clone());
    let per_ms = demand * f64::from(SLOTS) / WORK_MS as f64;
    let mut ends: BTreeMap<u64, u32> = BTreeMap::new();
    let mut counts = (Count::default(), Count::default());
    let mut due = 0.0;
    for ms in 0..20_000 {
        let now = at(ms);
        let took = Duration::from_millis(WORK_MS);
        for _ in 0..ends.remove(&ms).unwrap_or(0) {
            server.on_finished(
                now,
                Class::Lookup,
                WorkOutcome::Completed {
                    elapsed: took,
                    own_time: took,
                },
            );
        }
        let mut count = |item: &WorkItem, decision| {
            let counter = match item.priority {
                STOCK => &mut counts.0,
                _ => &mut counts.1,
            };
            match decision {
                AdmissionDecision::Start => *ends.entry(ms + WORK_MS).or_insert(0) += 1,
                AdmissionDecision::Refused(_) if ms >= 1_000 => counter.refused += 1.0,
                AdmissionDecision::Refused(_) | AdmissionDecision::Queued => {}
            }
        };
        due += per_ms;
        while due >= 1.0 {
            due -= 1.0;
            let priority = if rng.random_bool(STOCK_SHARE) {
                STOCK
            } else {
                STATUS
            };
            let item = WorkItem {
                id: rng.random(),
                class: Class::Lookup,
                priority,
                passed_level: 0,
                random_value: bands.scale_to_band(Class::Lookup, priority, rng.random()),
                deadline: now + Duration::from_millis(800),
                latest_start: None,
                operation: 0,
                patient: false,
                organisation: 0,
                arrived: now,
                admitted: false,
                only_here: false,
            };
            let decision = server.offer(now, item);
            count(&item, decision);
        }
        while let Some((item, decision)) = server.next_decision(now) {
            count(&item, decision);
        }
        if ms >= 1_000 {
            counts.0.offered += per_ms * STOCK_SHARE;
            counts.1.offered += per_ms * (1.0 - STOCK_SHARE);
        }
    }
    counts
}

/// Many order status lookups and a few stock lookups exceed the capacity of the server, and the
/// operator has given stock lookups a more urgent priority. Shed at random, they would be refused
/// as often as the others.
#[test]
fn less_urgent_lookups_are_shed_first() {
    for seed in 1..4 {
        let bands = PriorityBands::new([(Class::Lookup, STOCK), (Class::Lookup, STATUS)]);
        let demand = 1.6;
        let (stock, status) = surge(&bands, demand, seed);
        assert!(stock.refused_share() < 0.02, "{stock:?}");
        // At least four fifths of the capacity are used, for stock lookups first.
        let served = 0.8 - demand * STOCK_SHARE;
        let admitted = served / (demand * (1.0 - STOCK_SHARE));
        assert!(1.0 - status.refused_share() > admitted, "{status:?}");
        let (stock, _) = surge(&PriorityBands::default(), 1.6, seed);
        assert!(stock.refused_share() > 0.25, "{stock:?}");
    }
}

/// While the load fits, priorities must not cause any refusals.
#[test]
fn priorities_cause_no_refusals_below_capacity() {
    let bands = PriorityBands::new([(Class::Lookup, STOCK), (Class::Lookup, STATUS)]);
    let (stock, status) = surge(&bands, 0.7, 1);
    assert_eq!((stock.refused, status.refused), (0.0, 0.0));
}

/// Reads of many admitted lookups are queued, each of which may take 1.5 s in all. A lookup of a
/// more urgent priority, which is most useful within 0.4 s, must not wait for all of them.
#[test]
fn an_urgent_lookup_goes_before_queued_less_urgent_reads() {
    let mut server = ServerAdmission::new(Switches::ALL, 1, 1, MAX_WAIT);
    let item = |id, priority, admitted| WorkItem {
        id,
        class: Class::Lookup,
        priority,
        passed_level: 0,
        random_value: u16::MAX,
        deadline: at(2_000),
        latest_start: None,
        operation: 0,
        patient: false,
        organisation: 0,
        arrived: at(0),
        admitted,
        only_here: false,
    };
    assert_eq!(
        server.offer(at(0), item(0, STATUS, true)),
        AdmissionDecision::Start
    );
    for id in 1..5 {
        let decision = server.offer(at(0), item(id, STATUS, true));
        assert_eq!(decision, AdmissionDecision::Queued);
    }
    let decision = server.offer(at(0), item(5, STOCK, false));
    assert_eq!(decision, AdmissionDecision::Queued);
    let took = Duration::from_millis(WORK_MS);
    let now = at(WORK_MS);
    server.on_finished(
        now,
        Class::Lookup,
        WorkOutcome::Completed {
            elapsed: took,
            own_time: took,
        },
    );
    let next = server
        .next_decision(now)
        .map(|(item, decision)| (item.id, decision));
    assert_eq!(next, Some((5, AdmissionDecision::Start)));
}

/// Priorities divide the range in their order, and a rules file with a single priority leaves the
/// values unchanged.
#[test]
fn priorities_divide_the_range_in_their_order() {
    let bands = PriorityBands::new([0, 1, 2, 1].map(|priority| (Class::Lookup, priority)));
    let scale = |priority, value| bands.scale_to_band(Class::Lookup, priority, value);
    // The highest values of each priority are probes and are not scaled.
    let last = u16::MAX - u16::MAX / 64 - 1;
    assert_eq!(scale(2, 0), 0);
    assert!(scale(2, last) < scale(1, 0));
    assert!(scale(1, last) < scale(0, 0));
    assert!(scale(0, last) < scale(2, u16::MAX));
    assert_eq!(scale(2, u16::MAX), scale(0, u16::MAX));
    let one = PriorityBands::new([(Class::Lookup, 3), (Class::Payment, 1)]);
    for value in [0, 1, 700, u16::MAX] {
        assert_eq!(one.scale_to_band(Class::Lookup, 3, value), value);
    }
}
