//! Whom calls go to.

mod many;

use bilberry_policy::Eligibility;
use bilberry_policy::InstanceSelector;
use bilberry_policy::Proximity;
use bilberry_policy::Switches;
use many::Many;
use proto::Incarnation;
use proto::LoadReport;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::time::Duration;
use stdx::Time;

/// A selector with these instances: distance, standing, reported load if there is one.
fn selector(peers: &[(Proximity, Eligibility, Option<u16>)]) -> InstanceSelector {
    let mut selector = InstanceSelector::new();
    for (n, (place, standing, load)) in (0..).zip(peers) {
        let (peer, service) = (Incarnation(n), "press".into());
        selector.set_instance(Time::ZERO, peer, &service, *place, *standing);
        if let Some(utilisation) = *load {
            let report = LoadReport {
                utilisation,
                limit: 10,
                ..LoadReport::default()
            };
            selector.on_report(Time::ZERO, peer, report);
        }
    }
    selector
}

/// How many of 1,000 calls at `millis` go to each of four instances; none of them is noted as sent.
fn spread(selector: &mut InstanceSelector, millis: u64, avoid: &[Incarnation]) -> [u32; 4] {
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
    peers: &[(Proximity, Eligibility, Option<u16>)],
    avoid: &[Incarnation],
    expected: [u32; 4],
) {
    assert_eq!(spread(&mut selector(peers), 0, avoid), expected);
}

use Eligibility::Excluded;
use Eligibility::LastResort;
use Eligibility::Ready;
use Proximity::OtherRegion;
use Proximity::SameDomain;
use Proximity::SameRegion;

#[test]
fn near_instances_go_first_while_they_have_room() {
    let peers = |near, next| {
        [
            (OtherRegion, Ready, Some(0)),
            (SameRegion, Ready, Some(next)),
            (SameDomain, Ready, Some(near)),
        ]
    };
    check(&peers(0, 0), &[], [0, 0, 1000, 0]);
    // It still starts work at once, so nobody is served sooner by the one that is idle.
    check(&peers(700, 0), &[], [0, 0, 1000, 0]);
    check(&peers(900, 0), &[], [0, 1000, 0, 0]);
    check(&peers(1500, 1400), &[], [1000, 0, 0, 0]);
    check(&peers(0, 0), &[Incarnation(2)], [0, 1000, 0, 0]);
}

#[test]
fn a_suspect_gets_calls_only_if_nobody_else_may() {
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
fn what_was_sent_since_the_report_counts() {
    // Reports lag. A node that trusted the last one would send all its calls to the instance that
    // was idle a moment ago.
    let mut selector = selector(&[(SameDomain, Ready, Some(0)), (SameDomain, Ready, Some(500))]);
    for _ in 0..6 {
        selector.on_sent(Incarnation(0));
    }
    assert_eq!(spread(&mut selector, 0, &[]), [0, 1000, 0, 0]);
}

#[test]
fn an_old_report_counts_less() {
    // The busy instance has not been used since it said so, and says nothing while it is not used.
    let peers = [
        (SameDomain, Ready, Some(2000)),
        (SameRegion, Ready, Some(700)),
    ];
    let mut selector = selector(&peers);
    assert_eq!(spread(&mut selector, 0, &[]), [0, 1000, 0, 0]);
    assert_eq!(spread(&mut selector, 5000, &[]), [1000, 0, 0, 0]);
}

#[test]
fn an_instance_that_says_it_leaves_gets_nothing_more() {
    let mut selector = selector(&[(SameDomain, Ready, Some(0)), (OtherRegion, Ready, None)]);
    let report = LoadReport {
        draining: true,
        ..LoadReport::default()
    };
    selector.on_report(Time::ZERO, Incarnation(0), report);
    assert_eq!(spread(&mut selector, 0, &[]), [0, 1000, 0, 0]);
}

#[test]
fn a_failed_connection_is_tried_again_by_single_calls() {
    // A connection to an instance fails. If every call went on trying it, each would lose a
    // connection's timeout; if all came back at once, they would knock it over again.
    let mut rng = StdRng::seed_from_u64(1);
    let peers = [(SameDomain, Ready, Some(0)), (OtherRegion, Ready, Some(0))];
    let mut selector = selector(&peers);
    selector.on_connection_failed(Time::ZERO, Incarnation(0), &mut rng);
    assert_eq!(spread(&mut selector, 0, &[]), [0, 1000, 0, 0]);
    assert_eq!(spread(&mut selector, 1000, &[]), [1, 999, 0, 0]);
    selector.on_answered(Incarnation(0));
    assert_eq!(spread(&mut selector, 1001, &[]), [1000, 0, 0, 0]);
}

#[test]
fn no_instance_gets_more_than_its_share_by_more_than_a_tenth() {
    // Every node hears late and something else about the same instances. If they all took the idle
    // one, it would be overloaded while the others stand idle, in turn.
    for servers in [6, 12, 35] {
        let mut many = Many::new(36, servers);
        many.run(500, 0.9, 0.5);
        many.reset();
        many.run(1_000, 0.9, 0.5);
        let most = many.most_over_share();
        assert!(most < 1.1, "{servers} servers: {most}");
    }
}

#[test]
fn regions_are_crossed_for_what_does_not_fit_and_little_else() {
    // One region has 70% of the demand and half of the servers. Bytes between regions are billed,
    // so calls stay while there is room; those that cannot fit must cross.
    let far = |demand| {
        let mut many = Many::new(36, 6);
        many.run(1_000, demand, 0.7);
        many.reset();
        many.run(2_000, demand, 0.7);
        many.far_share()
    };
    assert!(far(0.3) < 0.01);
    // At 0.95 of the capacity region 0 asks for 1.33 times its own; 0.174 of all do not fit.
    let crossed = far(0.95);
    assert!((0.15..0.20).contains(&crossed), "{crossed}");
}

/// Bytes between failure domains are billed, and most of a day's calls are small reads. Sent to
/// whichever server is a call or two less busy, a quarter of them leave their domain while every
/// server has room, and the operator pays for answers that come no sooner.
#[test]
fn domains_are_crossed_only_when_there_is_no_room() {
    let crossed = |demand| {
        let mut many = Many::new(36, 6);
        many.run(1_000, demand, 0.5);
        many.reset();
        many.run(2_000, demand, 0.5);
        many.next_share() + many.far_share()
    };
    let calm = crossed(0.6);
    assert!(calm < 0.01, "{calm}");
}

#[test]
fn a_new_instance_gets_its_share_bit_by_bit() {
    // An instance starts idle and cold. All nodes see an idle one, and without a slow start they
    // would give it everything at once.
    let mut many = Many::new(36, 6);
    many.run(11_000, 0.7, 0.5);
    many.start_server();
    many.reset();
    let part = |many: &Many| {
        let all: u64 = many.servers.iter().map(|server| server.served).sum();
        many.servers[6].served as f64 * 7.0 / all as f64
    };
    many.run(1_000, 0.7, 0.5);
    let first = part(&many);
    many.run(10_000, 0.7, 0.5);
    many.reset();
    many.run(1_000, 0.7, 0.5);
    let later = part(&many);
    assert!(first < 0.4 && later > 0.6, "{first} {later}");
}

/// What part of all calls is refused, from two seconds on, when every third of 12 servers refuses half
/// of its work at once; and what part goes to other regions.
fn with_grey_servers(switches: Switches) -> (f64, f64) {
    let mut many = Many::with_switches(24, 12, switches);
    many.run(1000, 0.5, 0.5);
    for server in many.servers.iter_mut().step_by(3) {
        server.refuses = 0.5;
    }
    many.run(1000, 0.5, 0.5);
    many.reset();
    many.run(3000, 0.5, 0.5);
    (many.refused_share(), many.far_share())
}

/// Servers refuse part of their work while they call themselves healthy. They are quick and look idle,
/// so calls gather there, and shops see far more failures than those servers' share.
#[test]
fn a_third_of_the_servers_refuse_half() {
    let off = Switches {
        avoid_failing: false,
        ..Switches::ALL
    };
    let (refused_off, _) = with_grey_servers(off);
    let (refused, far) = with_grey_servers(Switches::ALL);
    assert!(refused_off > 0.16, "{refused_off}");
    assert!(refused < 0.05 && far < 0.01, "{refused} {far}");
}

/// A server that is well again gets its share back; were it left out for good, the others would carry
/// its load.
#[test]
fn a_server_that_no_longer_refuses_is_used_again() {
    let mut many = Many::new(24, 12);
    many.servers[0].refuses = 0.9;
    many.run(3000, 0.5, 0.5);
    many.servers[0].refuses = 0.0;
    many.run(3000, 0.5, 0.5);
    many.reset();
    many.run(2000, 0.5, 0.5);
    let share = many.servers[0].served as f64 * 12.0 / many.calls as f64;
    assert!(share > 0.8, "{share}");
}
