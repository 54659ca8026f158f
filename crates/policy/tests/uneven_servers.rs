//! Calls to servers of one service that differ in speed, and whose machines are slow for part of the
//! time.

mod uneven;

use bilberry_policy::Eligibility;
use bilberry_policy::InstanceSelector;
use bilberry_policy::Proximity;
use proto::Incarnation;
use proto::LoadReport;
use proto::ServerSpeed;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;
use uneven::Mechanism;
use uneven::Replay;

/// The part of the calls that are late without the mechanism which may still be late with it.
const TARGET: f64 = 0.5;

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1000)
}

fn replay(nodes: usize, servers: usize, mechanism: Mechanism, seed: u64) -> Replay {
    let mut replay = Replay::new(nodes, servers, mechanism, seed);
    replay.run(4_000, 0.6);
    replay.reset_counters();
    replay.run(8_000, 0.6);
    replay
}

/// Servers differ threefold in speed, and a machine is slow for 15% of the time, in pieces of 0.6 s.
/// By load alone, calls go to servers at which they are late, although others are free. Traffic
/// between failure domains is billed, and a faster server there is no reason to leave a near one
/// that is fast enough. No call may fail because it was handed over.
fn check_late_share(nodes: usize, servers: usize) {
    let seed = 1;
    let without = replay(nodes, servers, Mechanism::Off, seed);
    let with = replay(nodes, servers, Mechanism::PlacementAndHandOver, seed);
    let (late_without, late) = (without.late_share(), with.late_share());
    let (leave_without, leave) = (without.share_that_leaves(), with.share_that_leaves());
    let handed_over = with.hand_over_share();
    println!(
        "{nodes} nodes, {servers} servers: late {late_without:.4} without, {late:.4} with, leave \
         their domain {leave_without:.4} without, {leave:.4} with, handed over {handed_over:.4}"
    );
    assert!(late <= TARGET * late_without);
    assert!(leave <= 1.5 * leave_without + 0.05);
    assert_eq!(with.counts.failed, 0);
}

/// Without a known instance with room no call is handed over, so placement has to help on its own.
#[test]
fn placement_alone_makes_fewer_calls_late() {
    for seed in 1..=3 {
        let late = |mechanism| replay(24, 21, mechanism, seed).late_share();
        let (without, with) = (late(Mechanism::Off), late(Mechanism::Placement));
        println!("seed {seed}, placement alone: late {without:.4} without, {with:.4} with");
        assert!(
            with < without,
            "seed {seed}: {with} with, {without} without"
        );
    }
}

#[test]
fn few_nodes_meet_the_target() {
    check_late_share(24, 21);
    check_late_share(24, 36);
}

/// With many nodes, each hears of a server about once a second, which is too late to avoid a machine
/// that is slow for 0.6 s. The node beside it knows at once.
#[test]
fn many_nodes_and_few_servers_meet_the_target() {
    check_late_share(71, 21);
}

#[test]
fn many_nodes_and_many_servers_meet_the_target() {
    check_late_share(71, 36);
}

/// One server is three times as fast as all others. If all nodes chose it, it would be overloaded
/// while the others idle. It may get what it can run.
#[test]
fn many_nodes_and_one_good_server_do_not_herd() {
    let demand = 0.5;
    let mut replay = Replay::new(71, 36, Mechanism::PlacementAndHandOver, 1);
    for server in &mut replay.servers {
        server.speed = 1.5;
        server.slow.clear();
    }
    replay.servers[0].speed = 0.5;
    replay.run(3_000, demand);
    replay.reset_counters();
    replay.run(5_000, demand);
    let largest = replay.largest_share();
    let can_run = 1.0 / (demand * replay.servers[0].speed);
    println!("the good server gets {largest:.2} equal shares and can run {can_run:.2}");
    assert!(replay.servers[0].chosen > replay.servers[1].chosen);
    assert!(largest <= can_run, "{largest}");
}

/// Selects among two instances in the same failure domain.
fn pair() -> InstanceSelector {
    let mut selector = InstanceSelector::new();
    let service: Arc<str> = "ledger".into();
    for n in 0..2 {
        let (near, ready) = (Proximity::SameDomain, Eligibility::Ready);
        selector.set_instance(at(0), Incarnation(n), &service, near, ready);
    }
    selector
}

fn report(slowdown_percent: u16, run_time_us: u32) -> LoadReport {
    LoadReport {
        limit: 10,
        slowdown_percent,
        speed: ServerSpeed {
            mean_percent: 100.min(slowdown_percent),
            run_time_us,
            ..ServerSpeed::default()
        },
        ..LoadReport::default()
    }
}

/// How many of 100 calls go to the first instance of a pair. They are recorded as sent if `sends`.
fn share_of_first(selector: &mut InstanceSelector, now: Time, sends: bool) -> u32 {
    let mut rng = StdRng::seed_from_u64(1);
    let mut count = 0;
    for _ in 0..100 {
        let id = selector.choose(now, "ledger", &[], &mut rng);
        let id = id.expect("both are usable");
        if sends {
            selector.on_sent(id);
        }
        count += u32::from(id == Incarnation(0));
    }
    count
}

/// A selector with an instance in the own failure domain and one elsewhere, which needs 50 ms for a
/// run.
fn near_and_far(near: LoadReport, far: Proximity) -> InstanceSelector {
    let mut selector = InstanceSelector::new();
    let far = (far, report(100, 50_000));
    let instances = [(Proximity::SameDomain, near), far];
    for (n, (proximity, load)) in (0..).zip(instances) {
        let (id, service) = (Incarnation(n), "ledger".into());
        selector.set_instance(at(0), id, &service, proximity, Eligibility::Ready);
        selector.on_report(at(0), id, load);
    }
    selector
}

fn check_stays(near: LoadReport, far: Proximity, within_ms: u64, expected: bool) {
    let mut rng = StdRng::seed_from_u64(1);
    let mut selector = near_and_far(near, far);
    let within = Duration::from_millis(within_ms);
    let chosen = selector.choose_within(at(0), "ledger", &[], within, &mut rng);
    assert_eq!(chosen, Some(Incarnation(u64::from(!expected))), "{near:?}");
}

/// Traffic between failure domains, and even more between regions, is billed. It must not be spent
/// on speed that the call does not need.
#[test]
fn call_leaves_its_failure_domain_only_if_it_would_wait_or_be_late() {
    let (domain, region) = (Proximity::SameRegion, Proximity::OtherRegion);
    let slow = report(250, 50_000);
    check_stays(slow, domain, 500, true);
    check_stays(slow, domain, 100, false);
    check_stays(slow, region, 500, true);
    check_stays(slow, region, 100, false);
    check_stays(report(150, 50_000), region, 100, true);
    let loaded = |utilisation| LoadReport {
        utilisation,
        ..report(100, 150_000)
    };
    check_stays(loaded(700), domain, 500, true);
    check_stays(loaded(1000), domain, 500, false);
    check_stays(loaded(1000), region, 500, true);
    check_stays(loaded(2000), region, 500, false);
}

/// A call that was handed over pays for distance as any other.
#[test]
fn call_that_was_handed_over_prefers_a_near_instance() {
    let mut selector = near_and_far(report(120, 50_000), Proximity::SameRegion);
    let (slow, service) = (Incarnation(2), "ledger".into());
    let (near, ready) = (Proximity::SameDomain, Eligibility::Ready);
    selector.set_instance(at(0), slow, &service, near, ready);
    let mut rng = StdRng::seed_from_u64(1);
    let within = Duration::from_millis(100);
    let chosen = selector.choose_within(at(0), "ledger", &[slow], within, &mut rng);
    assert_eq!(chosen, Some(Incarnation(0)));
}

/// The server beside a node was replaced by one that does not report. The speed of the former says
/// nothing about the new one.
#[test]
fn speed_of_a_replaced_server_is_forgotten() {
    let mut selector = pair();
    for n in 0..2 {
        selector.on_report(at(0), Incarnation(n), report(100, 50_000));
    }
    selector.on_report(at(0), Incarnation(0), report(100, 500_000));
    assert_eq!(share_of_first(&mut selector, at(0), false), 0);
    selector.on_report(at(0), Incarnation(0), report(0, 0));
    let share = share_of_first(&mut selector, at(0), true);
    assert!((30..=70).contains(&share), "{share}");
}

/// A server whose calls all end elsewhere sends no further report. Unless its slowdown loses its
/// weight, it is avoided forever.
#[test]
fn slowdown_loses_its_weight() {
    let mut selector = pair();
    selector.on_report(at(0), Incarnation(0), report(250, 0));
    selector.on_report(at(0), Incarnation(1), report(100, 0));
    assert_eq!(share_of_first(&mut selector, at(0), false), 0);
    assert_eq!(share_of_first(&mut selector, at(100), false), 0);
    let share = share_of_first(&mut selector, at(600), false);
    assert!((30..=70).contains(&share), "{share}");
}

/// The value in a report of a node is already old if the server has not answered for a while.
#[test]
fn age_of_the_value_at_its_node_counts() {
    let mut selector = pair();
    let mut old = report(250, 0);
    old.speed.age_ms = 600;
    selector.on_report(at(1_000), Incarnation(0), old);
    selector.on_report(at(1_000), Incarnation(1), report(100, 0));
    let share = share_of_first(&mut selector, at(1_000), false);
    assert!((30..=70).contains(&share), "{share}");
}

/// The answers to a node are lost. Without counting what it has sent, it would send all its calls
/// to the server that was fast when it last heard of it.
#[test]
fn partitioned_node_goes_by_its_own_counts() {
    let mut selector = pair();
    for _ in 0..50 {
        selector.on_report(at(0), Incarnation(0), report(100, 20_000));
        selector.on_report(at(0), Incarnation(1), report(100, 60_000));
    }
    let share = share_of_first(&mut selector, at(10_000), true);
    assert!((55..=80).contains(&share), "three times as fast: {share}");
}

/// Servers measured for other operations than each other must not be compared.
#[test]
fn run_times_of_other_operations_are_not_compared() {
    let mut selector = pair();
    let mut other = report(100, 900_000);
    other.speed.operations = 7;
    selector.on_report(at(0), Incarnation(0), other);
    selector.on_report(at(0), Incarnation(1), report(100, 1_000));
    let share = share_of_first(&mut selector, at(0), false);
    assert!((30..=70).contains(&share), "{share}");
}

#[test]
fn extreme_reports_neither_overflow_nor_exclude_an_instance() {
    let mut selector = pair();
    let mut extreme = report(u16::MAX, u32::MAX);
    extreme.utilisation = u16::MAX;
    extreme.penalty = u16::MAX;
    extreme.limit = 1;
    extreme.speed.mean_percent = 0;
    selector.on_report(at(0), Incarnation(0), extreme);
    selector.on_report(at(0), Incarnation(1), report(1, 1));
    assert_eq!(share_of_first(&mut selector, at(0), true), 0);
    let avoid = [Incarnation(1)];
    let mut rng = StdRng::seed_from_u64(1);
    let chosen = selector.choose(at(0), "ledger", &avoid, &mut rng);
    assert_eq!(chosen, Some(Incarnation(0)));
}

/// Servers of earlier deployments report no slowdown. Whatever else is in their reports, the choice
/// and the draws of random numbers must stay the same.
#[test]
fn without_a_reported_slowdown_nothing_changes() {
    let mut rng = StdRng::seed_from_u64(2);
    let mut draws = (StdRng::seed_from_u64(3), StdRng::seed_from_u64(3));
    let (mut plain, mut with_speed) = (pair(), pair());
    for ms in 0..500 {
        let id = Incarnation(rng.random_range(0..2));
        let utilisation = rng.random_range(0..2000);
        let load = LoadReport {
            utilisation,
            limit: 10,
            ..LoadReport::default()
        };
        let mut with_run_time = report(0, rng.random_range(1..100_000));
        with_run_time.utilisation = utilisation;
        plain.on_report(at(ms), id, load);
        with_speed.on_report(at(ms), id, with_run_time);
        let chosen = plain.choose(at(ms), "ledger", &[], &mut draws.0);
        let other = with_speed.choose(at(ms), "ledger", &[], &mut draws.1);
        assert_eq!(chosen, other);
        plain.on_sent(chosen.expect("usable"));
        with_speed.on_sent(chosen.expect("usable"));
    }
    assert_eq!(draws.0.random::<u64>(), draws.1.random::<u64>());
}
