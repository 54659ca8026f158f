//! Backend servers that name a rate limit, or say that they are about to stop, in their responses.

use engine::ServerReport;
use policy::RequestRate;
use proto::Reason;
use rand::RngExt;
use rand::SeedableRng;
use std::time::Duration;
use stdx::Time;
use trial::Action;
use trial::ActionOutcome;
use trial::ClusterConfig;
use trial::Fault;
use trial::Placement;
use trial::World;

/// Operations, as indices into [`ClusterConfig::operations`].
const ORDER_LOOKUP: usize = 0;
const PRESS_LOOKUP: usize = 2;
const PRESS_BOOKING: usize = 3;
const ROYALTY_LOOKUP: usize = 4;
const ROYALTY_CHARGE: usize = 5;

/// The nodes of the royalty service, as indices into [`World::nodes`].
const ROYALTY: [usize; 3] = [6, 7, 8];

/// The seeds of the random runs.
const SEEDS: std::ops::Range<u64> = 1..25;

fn world(seed: u64) -> World {
    let mut cluster = ClusterConfig::small();
    cluster.servers_announce = true;
    let mut world = World::new(seed, cluster);
    world.run_for(Duration::from_secs(5));
    world
}

fn limit(node: usize, per_second: u64) -> Fault {
    let rate = RequestRate::from_millihertz(per_second * 1000);
    Fault::Limit(node, Some(rate))
}

/// Schedules `rate` actions a second for `secs` seconds, evenly spread over time and over the
/// nodes, without re-sends.
fn schedule(world: &mut World, operation: usize, rate: u32, secs: u32) {
    let begin = world.now;
    for nth in 0..rate * secs {
        let mut action = Action::new(operation, &format!("{operation}-{nth}"));
        action.max_resends = 0;
        action.key = None;
        let at = begin + Duration::from_secs(1) * nth / rate;
        world.submit(at, action, Some(nth as usize % 9));
    }
}

/// Injects a fault four times, in intervals of 5 s.
fn inject_repeatedly(world: &mut World, fault: Fault) {
    for nth in 0..4 {
        let fault = fault.clone();
        let wait = Duration::from_secs(6 + 5 * nth);
        world.schedule_after(wait, |world| world.inject_fault(fault));
    }
}

fn check(world: &mut World, secs: u64) {
    world.run_for(Duration::from_secs(secs));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

fn succeeded(world: &World, operation: usize) -> (usize, usize) {
    let actions = world.actions.iter();
    let actions: Vec<_> = actions.filter(|it| it.operation == operation).collect();
    let succeeded = actions
        .iter()
        .filter(|it| matches!(it.ended, Some((_, ActionOutcome::Succeeded))));
    (succeeded.count(), actions.len())
}

/// A server that named a rate limit got as many requests as its siblings.
#[test]
fn limited_server_gets_no_more_requests_than_it_names() {
    let mut world = world(1);
    schedule(&mut world, ROYALTY_LOOKUP, 60, 20);
    world.inject_fault(limit(ROYALTY[0], 5));
    check(&mut world, 25);
    assert_eq!(succeeded(&world, ROYALTY_LOOKUP), (1200, 1200));
}

/// Calls made by runs exceed the limit of a server that heeds it for requests of clients.
#[test]
fn limited_server_gets_no_more_calls_of_runs_than_it_names() {
    let mut world = world(2);
    schedule(&mut world, ORDER_LOOKUP, 40, 20);
    world.inject_fault(limit(ROYALTY[0], 4));
    world.inject_fault(limit(3, 4));
    check(&mut world, 25);
    assert_eq!(succeeded(&world, ORDER_LOOKUP), (800, 800));
}

/// A new process of the node does not know the limit that the server had named to the old one.
#[test]
fn restarted_node_heeds_the_limit_of_its_server() {
    let mut world = world(3);
    schedule(&mut world, ROYALTY_LOOKUP, 60, 30);
    world.inject_fault(limit(ROYALTY[0], 5));
    inject_repeatedly(&mut world, Fault::Restart(ROYALTY[0]));
    check(&mut world, 35);
}

/// A node that was frozen sends what has gathered meanwhile.
#[test]
fn resumed_node_heeds_the_limit_of_its_server() {
    let mut world = world(4);
    schedule(&mut world, ROYALTY_LOOKUP, 60, 30);
    world.inject_fault(limit(ROYALTY[0], 5));
    let pause = Fault::Pause(ROYALTY[0], Duration::from_millis(1500));
    inject_repeatedly(&mut world, pause);
    check(&mut world, 35);
}

/// Each limit holds from the response that names it, and none holds after it was lifted.
#[test]
fn limit_that_changes_holds_as_last_named() {
    let mut world = world(5);
    schedule(&mut world, ROYALTY_LOOKUP, 60, 60);
    let steps = [Some(10), Some(2), Some(6), None, Some(3), None];
    for (step, per_second) in steps.into_iter().enumerate() {
        let rate = per_second.map(|rate: u64| RequestRate::from_millihertz(rate * 1000));
        world.schedule_after(Duration::from_secs(8 * step as u64), move |world| {
            world.inject_fault(Fault::Limit(ROYALTY[0], rate))
        });
    }
    check(&mut world, 65);
    assert_eq!(succeeded(&world, ROYALTY_LOOKUP), (3600, 3600));
    let engine = world.nodes[ROYALTY[0]].engine.as_ref().unwrap();
    assert!(!engine.has_rate_limit(), "the limit was lifted");
}

/// All servers of a service are limited to less than is asked for. Charges go first, and what does
/// not fit is refused at once.
#[test]
fn charges_go_before_lookups_under_rate_limits() {
    let mut world = world(6);
    schedule(&mut world, ROYALTY_LOOKUP, 60, 20);
    schedule(&mut world, ROYALTY_CHARGE, 6, 20);
    for node in ROYALTY {
        world.inject_fault(limit(node, 6));
    }
    let begin = world.now;
    check(&mut world, 25);
    let (charged, charges) = succeeded(&world, ROYALTY_CHARGE);
    assert!(charged * 100 >= charges * 98, "{charged} of {charges}");
    let (looked_up, _) = succeeded(&world, ROYALTY_LOOKUP);
    assert!(looked_up >= 18 * 20 / 2, "{looked_up} lookups");
    let settled = begin + Duration::from_secs(5);
    for action in world.actions.iter().filter(|it| it.first_sent_at > settled) {
        let (ended, outcome) = action.ended.expect("the action has ended");
        let waited = ended.since(action.first_sent_at);
        let is_refused = matches!(outcome, ActionOutcome::NotRun(_));
        let in_time = !is_refused || waited < Duration::from_millis(500);
        assert!(in_time, "{} was refused after {waited:?}", action.body);
    }
}

/// The only server of a service is limited, and there is no other one to send the rest to.
#[test]
fn limit_of_an_only_server_is_heeded() {
    let mut cluster = ClusterConfig::with_instances(1);
    cluster.servers_announce = true;
    let mut world = World::new(11, cluster);
    world.run_for(Duration::from_secs(5));
    for (operation, rate) in [(ROYALTY_LOOKUP, 30), (ROYALTY_CHARGE, 3)] {
        for nth in 0..rate * 20 {
            let mut action = Action::new(operation, &format!("{operation}-{nth}"));
            (action.max_resends, action.key) = (0, None);
            let at = world.now + Duration::from_secs(1) * nth / rate;
            world.submit(at, action, Some(nth as usize % 3));
        }
    }
    world.inject_fault(limit(2, 10));
    check(&mut world, 25);
    let (charged, charges) = succeeded(&world, ROYALTY_CHARGE);
    assert!(charged * 100 >= charges * 98, "{charged} of {charges}");
    let (looked_up, _) = succeeded(&world, ROYALTY_LOOKUP);
    assert!(looked_up >= 7 * 20 / 2, "{looked_up} lookups");
}

/// Outcomes of the press lookups and press bookings of [`run_press_load`], sent at least 3 s after
/// the limits were named.
#[derive(Debug, Default, PartialEq)]
struct PressOutcomes {
    lookups: usize,
    lookups_failed: usize,
    bookings: usize,
    bookings_succeeded: usize,
}

/// Sends lookups and bookings to the press service, each of which calls the royalty service once,
/// ten and one a second for each of `instances` instances. `limited` of the royalty servers accept
/// four requests a second.
fn run_press_load(instances: usize, limited: usize) -> PressOutcomes {
    let domains = [("mi", "a"), ("vr", "a"), ("bg", "b"), ("pd", "b")];
    let mut cluster = ClusterConfig::small();
    cluster.servers_announce = true;
    cluster.slots = 51;
    cluster.rules = cluster.rules.replace("=2..12", "=2..48");
    cluster.placements.clear();
    for service in ["order", "press", "royalty"] {
        for nth in 0..instances {
            let (failure_domain, region) = domains[nth % domains.len()];
            cluster.placements.push(Placement {
                service: service.into(),
                failure_domain: failure_domain.into(),
                region: region.into(),
            });
        }
    }
    for operation in &mut cluster.operations {
        operation.service_time = Duration::from_millis(60);
    }
    let mut world = World::new(12, cluster);
    world.run_for(Duration::from_secs(10));
    let begin = world.now;
    let nodes = world.nodes.len();
    for (operation, rate) in [(PRESS_LOOKUP, 10), (PRESS_BOOKING, 1)] {
        for nth in 0..rate * 20 * instances as u32 {
            let mut action = Action::new(operation, &format!("{operation}-{nth}"));
            (action.max_resends, action.key) = (0, None);
            let at = begin + Duration::from_micros(world.rng.random_range(0..20_000_000));
            let node = world.rng.random_range(0..nodes);
            world.submit(at, action, Some(node));
        }
    }
    for node in nodes - instances..nodes - instances + limited {
        world.inject_fault(limit(node, 4));
    }
    check(&mut world, 25);
    let mut outcomes = PressOutcomes::default();
    let settled = begin + Duration::from_secs(3);
    for action in world.actions.iter().filter(|it| it.first_sent_at > settled) {
        let outcome = action.ended.expect("the action has ended").1;
        let refused = matches!(outcome, ActionOutcome::NotRun(_));
        let succeeded = outcome == ActionOutcome::Succeeded;
        if action.operation == PRESS_LOOKUP {
            outcomes.lookups += 1;
            outcomes.lookups_failed += usize::from(!refused && !succeeded);
        } else {
            outcomes.bookings += 1;
            outcomes.bookings_succeeded += usize::from(succeeded);
        }
    }
    outcomes
}

/// All servers of a deep service are limited to a third of the load. Lookups were admitted, worked on
/// and then failed for want of their last call, and bookings with them.
#[test]
fn excess_over_the_limits_of_a_deep_service_is_shed_at_the_first_hop() {
    let outcomes = run_press_load(6, 6);
    assert!(
        outcomes.lookups_failed * 100 <= outcomes.lookups * 2,
        "{outcomes:?}"
    );
    assert!(
        outcomes.bookings_succeeded * 100 >= outcomes.bookings * 98,
        "{outcomes:?}"
    );
}

/// Two of six servers of a deep service are limited, and the others have room for the rest.
#[test]
fn excess_over_the_limits_of_some_servers_is_served_by_others() {
    let outcomes = run_press_load(6, 2);
    assert_eq!(outcomes.lookups_failed, 0, "{outcomes:?}");
    assert_eq!(outcomes.bookings_succeeded, outcomes.bookings);
}

/// A server that said in its responses that it is about to stop got requests until it exited.
#[test]
fn server_that_says_it_leaves_gets_no_requests() {
    let mut world = world(7);
    schedule(&mut world, ROYALTY_LOOKUP, 60, 20);
    schedule(&mut world, ROYALTY_CHARGE, 6, 20);
    world.inject_fault(Fault::Leave(ROYALTY[0]));
    check(&mut world, 25);
    assert_eq!(succeeded(&world, ROYALTY_LOOKUP), (1200, 1200));
    assert_eq!(succeeded(&world, ROYALTY_CHARGE), (120, 120));
}

/// Calls with keys go to their home node whatever its server says, and reached the leaving server.
#[test]
fn leaving_server_of_a_home_node_gets_no_keyed_calls() {
    let mut world = world(10);
    schedule(&mut world, ROYALTY_CHARGE, 20, 7);
    for (nth, action) in world.actions.iter_mut().enumerate() {
        action.key = Some(format!("k{nth}").into());
    }
    world.inject_fault(Fault::Leave(ROYALTY[0]));
    check(&mut world, 20);
    let is_truthful = |action: &Action| {
        let (_, outcome) = action.ended.expect("the action has ended");
        let refused = ActionOutcome::NotRun(Reason::Draining);
        outcome == ActionOutcome::Succeeded || outcome == refused
    };
    assert!(world.actions.iter().all(is_truthful));
}

/// A new process of the node does not know that the server had said to the old one that it leaves.
#[test]
fn restarted_node_heeds_that_its_server_leaves() {
    let mut world = world(8);
    schedule(&mut world, ROYALTY_LOOKUP, 60, 12);
    world.inject_fault(Fault::Leave(ROYALTY[0]));
    world.schedule_after(Duration::from_secs(3), |world| {
        world.inject_fault(Fault::Restart(ROYALTY[0]))
    });
    check(&mut world, 20);
}

/// A new server at the address of a limited one that left must not inherit its limit.
#[test]
fn server_at_a_reused_address_is_not_limited() {
    let mut world = world(9);
    schedule(&mut world, ROYALTY_LOOKUP, 60, 20);
    world.inject_fault(limit(ROYALTY[0], 5));
    world.inject_fault(Fault::Leave(ROYALTY[0]));
    check(&mut world, 25);
    let node = &world.nodes[ROYALTY[0]];
    assert_eq!(node.server.report, ServerReport::default());
    let gauges = node.engine.as_ref().unwrap().gauges(Time::ZERO);
    assert!(gauges.contains(&("server.rate_limited", 0)));
    assert!(gauges.contains(&("server.leaving", 0)));
}

/// Calls are handed over while machines become slow and fast again, and nodes restart. A hand-over
/// must neither run an action twice nor lose or fail one.
#[test]
fn hand_overs_keep_the_guarantees() {
    let mut hand_overs = 0;
    for seed in SEEDS.take(8) {
        let mut world = world(seed);
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        for operation in [ORDER_LOOKUP, PRESS_BOOKING, ROYALTY_LOOKUP, ROYALTY_CHARGE] {
            schedule(&mut world, operation, 20, 12);
        }
        // Runs that take a hundred times as long are then late.
        for service in ["order", "press", "royalty"] {
            world.inject_fault(Fault::Slow(service.into(), 5));
        }
        for piece in 0..20 {
            for node in 0..9 {
                let percent = if rng.random_bool(0.3) { 10_000 } else { 100 };
                let wait = Duration::from_millis(600) * piece;
                world.schedule_after(wait, move |world| {
                    world.inject_fault(Fault::Slowdown(node, percent));
                });
            }
        }
        let restarted = rng.random_range(0..9);
        world.schedule_after(Duration::from_secs(6), move |world| {
            world.inject_fault(Fault::Restart(restarted));
        });
        check(&mut world, 25);
        hand_overs += world.counters.get("hand_over").copied().unwrap_or(0);
    }
    println!("{hand_overs} hand-overs");
    assert!(hand_overs > 0);
}

/// Limits and departures among random kills, pauses, cuts and surges.
#[test]
fn servers_that_limit_or_leave_are_heeded_under_random_faults() {
    for seed in SEEDS {
        if let Err(report) = trial::check_seed_with_server_reports(seed) {
            panic!("{report}");
        }
    }
}
