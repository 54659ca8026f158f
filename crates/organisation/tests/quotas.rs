//! Enforcement of one quota by many simulated nodes, over a network with delays, losses and
//! partitions, with nodes that stop, freeze and restart.

#[path = "quotas/allocation.rs"]
mod allocation;
#[path = "quotas/fleet.rs"]
mod fleet;
#[path = "quotas/work.rs"]
mod work;

use bilberry_organisation::group_of;
use bilberry_organisation::Borrower;
use bilberry_organisation::Lender;
use bilberry_organisation::QuotaTolerance;
use fleet::ms;
use fleet::quota;
use fleet::random_faults;
use fleet::Fleet;
use fleet::ORGANISATION;
use proto::Incarnation;
use proto::TokenDemand;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use rules::Quota;
use std::time::Duration;
use stdx::Time;

fn demand(tokens: u16) -> TokenDemand {
    TokenDemand {
        organisation: ORGANISATION,
        tokens,
        urgent: 0,
    }
}

#[test]
fn quota_holds_under_random_faults() {
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = [3, 7, 24, 60][rng.random_range(0..4)];
        let rate = [2, 16, 90, 300][rng.random_range(0..4)];
        let quota = quota(rate, rng.random_range(0..=rate as u32));
        // Demand exceeds the quota, spread evenly or mostly at one node.
        let total_demand = rate as f64 * rng.random_range(1.0..8.0);
        let skewed = rng.random_bool(0.5);
        let mut fleet = Fleet::new(seed, nodes, quota, |index| match skewed {
            true if index == 0 => total_demand * 0.8,
            true => total_demand * 0.2 / nodes as f64,
            false => total_demand / nodes as f64,
        });
        fleet.run_for(ms(3000));
        random_faults(&mut fleet, 14);
        fleet.check_bound(quota, &format!("seed {seed}, {nodes} nodes, {quota:?}"));
    }
}

#[test]
fn quota_holds_on_700_nodes_through_a_partition_and_loss_of_the_lender() {
    let quota = quota(200, 200);
    let mut fleet = Fleet::new(1, 700, quota, |_| 1.0);
    fleet.run_for(ms(4000));
    for index in 0..350 {
        fleet.nodes[index].partition_side = 1;
    }
    fleet.run_for(ms(3000));
    let lender = fleet.elected(699).map(|(lender, _)| lender).unwrap();
    fleet.kill(lender);
    fleet.run_for(ms(2500));
    fleet
        .nodes
        .iter_mut()
        .for_each(|node| node.partition_side = 0);
    fleet.run_for(ms(3000));
    fleet.check_bound(quota, "700 nodes");
}

/// Asserts that less than a fraction `max_refused` of requests is refused while demand stays below
/// the quota.
fn check_refused(seed: u64, nodes: usize, quota: Quota, partitioned: bool, max_refused: f64) {
    let demand = quota.rate() * 0.62 / nodes as f64;
    let mut fleet = Fleet::new(seed, nodes, quota, |_| demand);
    fleet.nodes.iter_mut().for_each(|node| node.demand = 0.0);
    fleet.run_for(ms(4000));
    fleet.nodes.iter_mut().for_each(|node| node.demand = demand);
    fleet.run_for(ms(5000));
    if partitioned {
        for index in 0..nodes / 6 {
            fleet.nodes[index].partition_side = 1;
        }
    }
    fleet.run_for(ms(15_000));
    let refused = fleet.refused as f64 / fleet.offered as f64;
    assert!(
        refused < max_refused,
        "{nodes} nodes, {quota:?}, partitioned {partitioned}: {refused:.4} refused"
    );
}

#[test]
fn requests_below_the_quota_are_admitted_without_faults() {
    for (rate, nodes) in [(4, 60), (16, 60), (90, 60), (288, 60), (288, 3), (288, 700)] {
        check_refused(1, nodes, quota(rate, rate as u32), false, 0.01);
    }
}

#[test]
fn requests_below_the_quota_are_admitted_during_a_partition() {
    for rate in [16, 90, 288] {
        check_refused(2, 60, quota(rate, rate as u32), true, 0.05);
    }
}

#[test]
fn lowered_quota_takes_effect_within_a_window() {
    let mut fleet = Fleet::new(3, 24, quota(200, 200), |_| 20.0);
    fleet.run_for(ms(6000));
    let lower = quota(40, 40);
    fleet.set_quota(lower);
    fleet.run_for(ms(5000));
    fleet.admitted.clear();
    fleet.run_for(ms(8000));
    fleet.check_bound(lower, "after a window");
}

#[test]
fn raised_quota_takes_effect_within_a_second() {
    let mut fleet = Fleet::new(4, 24, quota(40, 40), |_| 6.0);
    fleet.run_for(ms(6000));
    fleet.set_quota(quota(300, 300));
    fleet.run_for(ms(1000));
    let (offered, refused) = (fleet.offered, fleet.refused);
    fleet.run_for(ms(5000));
    let refused = (fleet.refused - refused) as f64 / (fleet.offered - offered) as f64;
    assert!(refused < 0.01, "{refused:.4} refused");
}

#[test]
fn delayed_vote_is_not_counted_twice() {
    let (group, voters) = (group_of(ORGANISATION), 1);
    let mut lender = Lender::new(QuotaTolerance::default());
    let issued_at = Time::ZERO + ms(1000);
    let stamp = Lender::stamp(issued_at);
    // The vote was sent at once but delayed in a socket buffer while its owner gave it to another
    // node.
    let arrived_at = issued_at + ms(5000);
    lender.on_vote(arrived_at, group, Incarnation(2), stamp, voters);
    let later = arrived_at + ms(1000);
    let loan = lender.lend(later, demand(10), quota(100, 100), voters);
    assert_eq!(loan.tokens, 0);
}

#[test]
fn poll_is_not_due_at_once_without_a_lender() {
    let mut borrower = Borrower::new(QuotaTolerance::default());
    let quota = quota(10, 10);
    borrower.set_quotas(true, |_| Some(quota));
    let now = Time::ZERO + ms(1000);
    assert_eq!(borrower.try_spend(now, ORGANISATION, quota), None);
    borrower.start_waiting(now, ORGANISATION);
    for group in 0..bilberry_organisation::GROUP_COUNT {
        assert_eq!(borrower.poll(now, group, None), None);
    }
    assert!(!borrower.is_due(now));
    let requested = borrower.poll(now + ms(100), group_of(ORGANISATION), Some(Incarnation(1)));
    assert_eq!(requested.unwrap().wanted, [demand(1)]);
}

#[test]
fn requests_beyond_the_in_flight_limit_are_sent_later() {
    let mut borrower = Borrower::new(QuotaTolerance::default());
    let quota = quota(1000, 1000);
    let group = group_of(ORGANISATION);
    borrower.set_quotas(true, |_| Some(quota));
    let mut now = Time::ZERO + ms(1000);
    let mut requested = 0;
    for _ in 0..200 {
        assert_eq!(borrower.try_spend(now, ORGANISATION, quota), None);
        borrower.start_waiting(now, ORGANISATION);
        if let Some(request) = borrower.poll(now, group, Some(Incarnation(1))) {
            requested += request.wanted.first().map_or(0, |demand| demand.tokens);
        }
        now = now + Duration::from_micros(200);
    }
    // None of the requests is answered, so all of them time out.
    now = now + ms(200);
    let retried = borrower.poll(now, group, Some(Incarnation(1))).unwrap();
    assert!(
        requested > 0 && retried.wanted[0].tokens >= 200,
        "{requested} requested, then {retried:?}"
    );
}
