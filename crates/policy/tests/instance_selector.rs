//! Selection of instances for calls.

mod cluster_sim;

use bilberry_policy::Eligibility;
use bilberry_policy::InstanceSelector;
use bilberry_policy::Proximity;
use bilberry_policy::Switches;
use cluster_sim::ClusterSim;
use proto::Incarnation;
use proto::LoadReport;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::time::Duration;
use stdx::Time;

/// A selector with these instances, given by proximity, eligibility and reported load if there is
/// one.
fn selector(instances: &[(Proximity, Eligibility, Option<u16>)]) -> InstanceSelector {
    let mut selector = InstanceSelector::new();
    for (n, (proximity, eligibility, load)) in (0..).zip(instances) {
        let (id, service) = (Incarnation(n), "press".into());
        selector.set_instance(Time::ZERO, id, &service, *proximity, *eligibility);
        if let Some(utilisation) = *load {
            let report = LoadReport {
                utilisation,
                limit: 10,
                ..LoadReport::default()
            };
            selector.on_report(Time::ZERO, id, report);
        }
    }
    selector
}

/// How many of 1,000 calls at `millis` go to each of four instances. The calls are not recorded as
/// sent.
fn distribution(selector: &mut InstanceSelector, millis: u64, avoid: &[Incarnation]) -> [u32; 4] {
    let mut rng = StdRng::seed_from_u64(1);
    let mut counts = [0; 4];
    let now = Time::ZERO + Duration::from_millis(millis);
    for _ in 0..1000 {
        if let Some(chosen) = selector.choose(now, "press", avoid, &mut rng) {
            counts[chosen.0 as usize] += 1;
        }
    }
    counts
}

fn check(
    instances: &[(Proximity, Eligibility, Option<u16>)],
    avoid: &[Incarnation],
    expected: [u32; 4],
) {
    assert_eq!(distribution(&mut selector(instances), 0, avoid), expected);
}

use Eligibility::Excluded;
use Eligibility::LastResort;
use Eligibility::Ready;
use Proximity::OtherRegion;
use Proximity::SameDomain;
use Proximity::SameRegion;

#[test]
fn near_instances_are_preferred_while_they_have_capacity() {
    let instances = |near, next| {
        [
            (OtherRegion, Ready, Some(0)),
            (SameRegion, Ready, Some(next)),
            (SameDomain, Ready, Some(near)),
        ]
    };
    check(&instances(0, 0), &[], [0, 0, 1000, 0]);
    // It still starts work immediately, so the idle instance would not answer any sooner.
    check(&instances(700, 0), &[], [0, 0, 1000, 0]);
    check(&instances(900, 0), &[], [0, 1000, 0, 0]);
    check(&instances(1500, 1400), &[], [1000, 0, 0, 0]);
    check(&instances(0, 0), &[Incarnation(2)], [0, 1000, 0, 0]);
}

#[test]
fn a_last_resort_instance_gets_calls_only_if_no_other_is_usable() {
    check(
        &[
            (SameDomain, LastResort, Some(0)),
            (OtherRegion, Ready, Some(2000)),
        ],
        &[],
        [0, 1000, 0, 0],
    );
    check(
        &[
            (SameDomain, LastResort, Some(0)),
            (OtherRegion, Excluded, None),
        ],
        &[],
        [1000, 0, 0, 0],
    );
    check(&[(SameDomain, Excluded, None)], &[], [0, 0, 0, 0]);
}

#[test]
fn calls_sent_since_the_report_count_as_load() {
    // Reports are delayed. A node that used only the last report would send all its calls to the
    // instance that was idle when it reported.
    let mut selector = selector(&[(SameDomain, Ready, Some(0)), (SameDomain, Ready, Some(500))]);
    for _ in 0..6 {
        selector.on_sent(Incarnation(0));
    }
    assert_eq!(distribution(&mut selector, 0, &[]), [0, 1000, 0, 0]);
}

#[test]
fn an_old_report_has_less_weight() {
    // The busy instance has not been used since its report, and sends no report while it is not
    // used.
    let instances = [
        (SameDomain, Ready, Some(2000)),
        (SameRegion, Ready, Some(700)),
    ];
    let mut selector = selector(&instances);
    assert_eq!(distribution(&mut selector, 0, &[]), [0, 1000, 0, 0]);
    assert_eq!(distribution(&mut selector, 5000, &[]), [1000, 0, 0, 0]);
}

#[test]
fn a_draining_instance_gets_no_further_calls() {
    let mut selector = selector(&[(SameDomain, Ready, Some(0)), (OtherRegion, Ready, None)]);
    let report = LoadReport {
        draining: true,
        ..LoadReport::default()
    };
    selector.on_report(Time::ZERO, Incarnation(0), report);
    assert_eq!(distribution(&mut selector, 0, &[]), [0, 1000, 0, 0]);
}

#[test]
fn a_failed_connection_is_retried_by_single_calls() {
    // If every call kept trying an instance with a failed connection, each would lose a connection
    // timeout; if all calls came back at once, they would overload the instance again.
    let mut rng = StdRng::seed_from_u64(1);
    let instances = [(SameDomain, Ready, Some(0)), (OtherRegion, Ready, Some(0))];
    let mut selector = selector(&instances);
    selector.on_connection_failed(Time::ZERO, Incarnation(0), &mut rng);
    assert_eq!(distribution(&mut selector, 0, &[]), [0, 1000, 0, 0]);
    assert_eq!(distribution(&mut selector, 1000, &[]), [1, 999, 0, 0]);
    selector.on_answered(Incarnation(0));
    assert_eq!(distribution(&mut selector, 1001, &[]), [1000, 0, 0, 0]);
}

#[test]
fn no_instance_exceeds_its_share_by_more_than_a_tenth() {
    // Every node receives delayed and different reports about the same instances. If all nodes
    // chose the instance that looks idle, the instances would be overloaded in turn while the
    // others idle.
    for servers in [6, 12, 35] {
        let mut sim = ClusterSim::new(36, servers);
        sim.run(500, 0.9, 0.5);
        sim.reset_counters();
        sim.run(1_000, 0.9, 0.5);
        let ratio = sim.max_share_ratio();
        assert!(ratio < 1.1, "{servers} servers: {ratio}");
    }
}

#[test]
fn regions_are_crossed_only_by_calls_that_do_not_fit() {
    // One region has 70% of the demand and half of the servers. Traffic between regions is billed,
    // so calls stay in their region while it has capacity; only the excess must cross.
    let cross_region_share = |demand| {
        let mut sim = ClusterSim::new(36, 6);
        sim.run(1_000, demand, 0.7);
        sim.reset_counters();
        sim.run(2_000, demand, 0.7);
        sim.cross_region_share()
    };
    assert!(cross_region_share(0.3) < 0.01);
    // At 0.95 of the capacity, the demand of region 0 is 1.33 times its own capacity; 0.174 of all
    // calls do not fit.
    let share = cross_region_share(0.95);
    assert!((0.15..0.20).contains(&share), "{share}");
}

/// Traffic between failure domains is billed, and most calls are small reads. If calls go to any
/// server that is one or two calls less loaded, a quarter of them leave their domain although every
/// server has capacity, and the answers arrive no sooner.
#[test]
fn domains_are_crossed_only_without_capacity() {
    let crossing_share = |demand| {
        let mut sim = ClusterSim::new(36, 6);
        sim.run(1_000, demand, 0.5);
        sim.reset_counters();
        sim.run(2_000, demand, 0.5);
        sim.cross_domain_share() + sim.cross_region_share()
    };
    let share = crossing_share(0.6);
    assert!(share < 0.01, "{share}");
}

#[test]
fn a_new_instance_gets_its_share_gradually() {
    // An instance starts idle and cold. All nodes see it as idle, and without slow start they would
    // send it all calls at once.
    let mut sim = ClusterSim::new(36, 6);
    sim.run(11_000, 0.7, 0.5);
    sim.start_server();
    sim.reset_counters();
    let share = |sim: &ClusterSim| {
        let total: u64 = sim.servers.iter().map(|server| server.served).sum();
        sim.servers[6].served as f64 * 7.0 / total as f64
    };
    sim.run(1_000, 0.7, 0.5);
    let first = share(&sim);
    sim.run(10_000, 0.7, 0.5);
    sim.reset_counters();
    sim.run(1_000, 0.7, 0.5);
    let later = share(&sim);
    assert!(first < 0.4 && later > 0.6, "{first} {later}");
}

/// Every third of 12 servers starts to refuse half of its work. Returns the share of calls that are
/// refused and the share that go to another region, measured from one second later on.
fn with_partial_failures(switches: Switches) -> (f64, f64) {
    let mut sim = ClusterSim::with_switches(24, 12, switches);
    sim.run(1000, 0.5, 0.5);
    for server in sim.servers.iter_mut().step_by(3) {
        server.refused_share = 0.5;
    }
    sim.run(1000, 0.5, 0.5);
    sim.reset_counters();
    sim.run(3000, 0.5, 0.5);
    (sim.refused_share(), sim.cross_region_share())
}

/// Servers refuse part of their work while they report themselves as healthy. They answer quickly
/// and look idle, so they attract calls, and far more calls fail than those servers' share of the
/// load.
#[test]
fn a_third_of_the_servers_refuse_half() {
    let without = Switches {
        avoid_failing: false,
        ..Switches::ALL
    };
    let (refused_without, _) = with_partial_failures(without);
    let (refused, cross_region) = with_partial_failures(Switches::ALL);
    assert!(refused_without > 0.16, "{refused_without}");
    assert!(
        refused < 0.05 && cross_region < 0.01,
        "{refused} {cross_region}"
    );
}

/// A server that has recovered gets its share of calls again; otherwise the other servers would
/// have to carry its load permanently.
#[test]
fn a_server_that_no_longer_refuses_is_used_again() {
    let mut sim = ClusterSim::new(24, 12);
    sim.servers[0].refused_share = 0.9;
    sim.run(3000, 0.5, 0.5);
    sim.servers[0].refused_share = 0.0;
    sim.run(3000, 0.5, 0.5);
    sim.reset_counters();
    sim.run(2000, 0.5, 0.5);
    let share = sim.servers[0].served as f64 * 12.0 / sim.calls as f64;
    assert!(share > 0.8, "{share}");
}
