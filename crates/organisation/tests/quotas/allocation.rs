//! Allocation of a quota to urgent and patient requests of many nodes.

use crate::fleet::ms;
use crate::fleet::quota;
use crate::fleet::random_faults;
use crate::fleet::Fleet;
use crate::work::Counts;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

fn share(part: u64, all: u64) -> f64 {
    part as f64 / all.max(1) as f64
}

/// Runs a fleet without demand until its lenders have votes, then with it.
fn run_burst(fleet: &mut Fleet, duration_ms: u64) {
    let demand: Vec<(f64, f64)> = fleet
        .nodes
        .iter_mut()
        .map(|node| (node.urgent_demand, node.demand))
        .collect();
    for node in &mut fleet.nodes {
        (node.urgent_demand, node.demand) = (0.0, 0.0);
    }
    fleet.run_for(ms(4000));
    for (node, (urgent, patient)) in fleet.nodes.iter_mut().zip(&demand) {
        (node.urgent_demand, node.demand) = (*urgent, *patient);
    }
    fleet.run_for(ms(duration_ms));
    for node in &mut fleet.nodes {
        (node.urgent_demand, node.demand) = (0.0, 0.0);
    }
    fleet.run_for(ms(4000));
}

/// Guards against more requests than the quota allows when borrowers have urgent and patient
/// demand, tokens are kept back and promised, and messages are lost, delayed or duplicated.
#[test]
fn quota_holds_under_random_faults_by_slack() {
    for seed in 100..140 {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = [3, 7, 24, 60][rng.random_range(0..4)];
        let rate = [2, 16, 90, 300][rng.random_range(0..4)];
        let quota = quota(rate, rng.random_range(0..=rate as u32));
        let total = rate as f64 * rng.random_range(1.0..8.0) / nodes as f64;
        let urgent = rng.random_range(0.0..1.0);
        let mut fleet = Fleet::with_urgency(seed, nodes, quota, true, |index| match index % 3 {
            0 => (total * urgent, 0.0),
            1 => (0.0, total),
            _ => (total * urgent, total * (1.0 - urgent)),
        });
        fleet.duplicate_probability = 0.02;
        fleet.run_for(ms(3000));
        random_faults(&mut fleet, 14);
        fleet.check_bound(quota, &format!("seed {seed}, {nodes} nodes, {quota:?}"));
    }
}

/// The same on the largest fleet, through a partition and the loss of a lender.
#[test]
fn quota_holds_on_700_nodes_by_slack() {
    let quota = quota(200, 200);
    let mut fleet = Fleet::with_urgency(1, 700, quota, true, |index| match index % 2 {
        0 => (0.5, 0.5),
        _ => (0.0, 1.0),
    });
    fleet.run_for(ms(4000));
    for index in 0..350 {
        fleet.nodes[index].partition_side = 1;
    }
    fleet.run_for(ms(2000));
    let lender = fleet.elected(699).map(|(lender, _)| lender).unwrap();
    fleet.kill(lender);
    fleet.run_for(ms(2500));
    for node in &mut fleet.nodes {
        node.partition_side = 0;
    }
    fleet.run_for(ms(2000));
    fleet.check_bound(quota, "700 nodes by slack");
}

/// Half of the nodes have urgent requests, at half of the rate; the others have patient ones, at
/// four times the rate.
fn urgent_beside_patient(seed: u64, nodes: usize, by_slack: bool) -> Counts {
    let rate = 90.0;
    let per_node = 2.0 / nodes as f64;
    let demand = |index| match index % 2 {
        0 => (rate * 0.5 * per_node, 0.0),
        _ => (0.0, rate * 4.0 * per_node),
    };
    let mut fleet = Fleet::with_urgency(seed, nodes, quota(90, 90), by_slack, demand);
    run_burst(&mut fleet, 8000);
    fleet.check_bound(quota(90, 90), &format!("seed {seed}"));
    fleet.counts()
}

/// Guards against urgent requests of one node that lose to the patient ones of another.
#[test]
fn urgent_work_of_one_node_goes_ahead_of_patient_work_of_another() {
    for (seed, nodes) in [(1, 12), (2, 24), (3, 68)] {
        let before = urgent_beside_patient(seed, nodes, false);
        let after = urgent_beside_patient(seed, nodes, true);
        let before = share(before.urgent_in_time, before.urgent);
        let after = share(after.urgent_in_time, after.urgent);
        assert!(
            after >= 0.98 && before < 0.9,
            "{nodes} nodes: {before:.3} in time by arrival, {after:.3} by slack"
        );
    }
}

/// Guards against patient requests that get nothing while urgent demand leaves tokens for them.
#[test]
fn patient_work_is_not_starved_by_urgent_demand_below_the_rate() {
    for (seed, rate) in [(13, 4), (4, 16), (5, 90), (6, 288)] {
        let total = rate as f64;
        let demand = |_| (total * 0.7 / 24.0, total / 24.0);
        let mut fleet = Fleet::with_urgency(seed, 24, quota(rate, rate as u32), true, demand);
        run_burst(&mut fleet, 20_000);
        let counts = fleet.counts();
        // Of the 30% of the rate that urgent demand leaves, at least two thirds.
        let left = total * 0.3 * 20.0;
        assert!(
            counts.patient_in_time as f64 >= left * 0.66,
            "rate {rate}: {} of {left} patient requests",
            counts.patient_in_time
        );
    }
}

/// Guards against a retry delay that sends callers back to a node without a token for them. One
/// message in a hundred is delayed for long, and its tokens are lost.
#[test]
fn callers_that_return_when_told_find_a_token() {
    for (seed, nodes) in [(7, 6), (8, 24), (9, 6), (10, 12)] {
        let demand = |_| (0.0, 90.0 * 3.0 / nodes as f64);
        let mut fleet = Fleet::with_urgency(seed, nodes, quota(90, 90), true, demand);
        run_burst(&mut fleet, 8000);
        let counts = fleet.counts();
        let kept = share(counts.promised_in_time, counts.promised);
        assert!(counts.promised >= 50, "{} promised", counts.promised);
        assert!(kept >= 0.95, "{nodes} nodes: {kept:.3} of promises kept");
    }
}

/// One organisation of the first deployment at 6.3 times its usual rate for 5.6 s, with a quota of
/// 1.6 times that rate, on 69 nodes. A third of its requests is urgent.
fn hot_organisation(seed: u64, by_slack: bool) -> Counts {
    let usual = 60.0;
    let demand = |_| (usual * 6.3 / 3.0 / 69.0, usual * 6.3 * 2.0 / 3.0 / 69.0);
    let mut fleet = Fleet::with_urgency(seed, 69, quota(96, 96), by_slack, demand);
    run_burst(&mut fleet, 5600);
    fleet.check_bound(quota(96, 96), &format!("seed {seed}"));
    fleet.counts()
}

/// Guards against urgent requests that fare no better than by chance, and against tokens that stay
/// unused because requests were refused too early.
#[test]
fn hot_organisation_serves_its_urgent_work_first_and_uses_its_quota() {
    for seed in [11, 12] {
        let before = hot_organisation(seed, false);
        let after = hot_organisation(seed, true);
        let urgent_before = share(before.urgent_in_time, before.urgent);
        let urgent_after = share(after.urgent_in_time, after.urgent);
        assert!(
            urgent_after >= urgent_before + 0.2,
            "seed {seed}: urgent {urgent_before:.3} by arrival, {urgent_after:.3} by slack"
        );
        let served_before = before.urgent_in_time + before.patient_in_time;
        let served_after = after.urgent_in_time + after.patient_in_time;
        assert!(
            served_after as f64 >= served_before as f64 * 0.95,
            "seed {seed}: {served_before} in time by arrival, {served_after} by slack"
        );
    }
}
