//! Instances that stop, fail and return, as seen by callers.

use std::time::Duration;
use trial::Action;
use trial::ActionOutcome;
use trial::ClusterConfig;
use trial::Fault;
use trial::World;

/// The lookup of the press service, as an index into [`ClusterConfig::operations`].
const PRESS_LOOKUP: usize = 2;
/// The charge of the royalty service, as an index into [`ClusterConfig::operations`].
const ROYALTY_CHARGE: usize = 5;

/// A world into which `faults` are injected after 12 s without faults.
fn world(seed: u64, faults: &[Fault]) -> World {
    let mut world = World::new(seed, ClusterConfig::small());
    world.run_for(Duration::from_secs(12));
    for fault in faults {
        world.inject_fault(fault.clone());
    }
    world
}

/// Schedules ten lookups a second for `secs` seconds at each node that accepts requests, without
/// re-sends. Returns the index of the first one.
fn schedule_lookups(world: &mut World, secs: u32) -> usize {
    let first = world.actions.len();
    for nth in 0..secs * 10 {
        for node in 0..world.nodes.len() {
            if world.is_running(node) && world.nodes[node].stop_requested_at.is_none() {
                let mut action = Action::new(PRESS_LOOKUP, &format!("l{nth}-{node}-{first}"));
                action.max_resends = 0;
                world.submit(
                    world.now + Duration::from_millis(100) * nth,
                    action,
                    Some(node),
                );
            }
        }
    }
    first
}

/// Runs for `secs` seconds, then checks that no guarantee was violated and that all actions from
/// index `first` on have succeeded, except `expected_failures` of them.
fn check(world: &mut World, first: usize, secs: u64, expected_failures: usize) {
    world.run_for(Duration::from_secs(secs));
    assert_eq!(world.checker.violations, Vec::<String>::new());
    let failed = world.actions[first..]
        .iter()
        .filter(|action| !matches!(action.ended, Some((_, ActionOutcome::Succeeded))));
    let failed: Vec<_> = failed.map(|action| (&action.body, action.ended)).collect();
    assert_eq!(failed.len(), expected_failures, "{failed:?}");
}

fn count(world: &World, name: &str) -> u64 {
    world.counters.get(name).copied().unwrap_or(0)
}

/// The number of running nodes whose view contains `node`'s current incarnation.
fn count_nodes_listing(world: &World, node: usize) -> usize {
    let incarnation = world.nodes[node].incarnation;
    let engines = world.nodes.iter().filter_map(|node| node.engine.as_ref());
    engines
        .filter(|engine| engine.journal().is_listed(incarnation))
        .count()
}

#[test]
fn stopping_instance_redirects_calls_when_its_announcement_is_lost() {
    // A graceful stop while the log is down and every datagram is lost: the other nodes do not
    // learn of it and still send calls to the instance. Each call has to be refused as draining and
    // redirected without spending a retry, so that no caller notices.
    let faults = [
        Fault::LogDown(true),
        Fault::Datagrams(1000, 0),
        Fault::Stop(4),
    ];
    let mut world = world(1, &faults);
    let first = schedule_lookups(&mut world, 2);
    check(&mut world, first, 8, 0);
    assert!(count(&world, "redirect.draining") > 0);
    assert_eq!(count(&world, "retry.draining"), 0);
}

#[test]
fn stopping_instance_gets_no_calls_after_its_announcement() {
    // A graceful stop while only the log is down: once gossip has spread the announcement, no node
    // sends calls to the instance any more.
    let mut world = world(2, &[Fault::LogDown(true), Fault::Stop(4)]);
    world.run_for(Duration::from_millis(1500));
    let first = schedule_lookups(&mut world, 2);
    check(&mut world, first, 8, 0);
    assert_eq!(count(&world, "redirect.draining"), 0);
}

#[test]
fn few_nodes_request_the_eviction_of_a_killed_instance() {
    // A process is killed and does not restart. Its share of the keys has no home until it is
    // evicted through the log, and the log accepts only some hundred appends a second in total, so
    // few nodes may request the eviction.
    let mut world = world(3, &[Fault::Kill(4)]);
    world.run_for(Duration::from_secs(15));
    assert_eq!(count_nodes_listing(&world, 4), 0);
    let eviction_requests = count(&world, "eviction_asked");
    assert!((1..=2).contains(&eviction_requests), "{eviction_requests}");
}

#[test]
fn pending_eviction_is_dropped_when_the_instance_resumes() {
    // The log is down while an instance is paused, so its eviction waits for the log. The instance
    // resumes before the log is up again; an eviction would then needlessly take the home of its
    // share of the keys.
    let mut world = world(
        4,
        &[
            Fault::LogDown(true),
            Fault::Pause(4, Duration::from_secs(20)),
        ],
    );
    world.run_for(Duration::from_secs(20));
    assert!(count(&world, "eviction_asked") > 0);
    world.run_for(Duration::from_secs(20));
    world.inject_fault(Fault::LogDown(false));
    world.run_for(Duration::from_secs(40));
    assert_eq!(count_nodes_listing(&world, 4), world.nodes.len());
}

#[test]
fn instance_started_during_a_log_outage_is_discovered_and_used() {
    // The only remaining press instance was started while the log was down. The other nodes must
    // discover it through its contacts and use it for lookups, though it cannot be the home of
    // keys.
    let faults = [Fault::LogDown(true), Fault::Replace(3)];
    let mut world = world(5, &faults);
    world.run_for(Duration::from_secs(15));
    for node in [4, 5] {
        world.inject_fault(Fault::Kill(node));
    }
    world.run_for(Duration::from_secs(15));
    let first = schedule_lookups(&mut world, 2);
    check(&mut world, first, 8, 0);
}

#[test]
fn call_reattaches_when_the_path_is_restored() {
    // The path to an order's home is cut for three seconds while the order runs there: the
    // connection goes silent, then no new one can be established. The order has run, but without
    // reattaching its caller would be answered that the outcome is unknown.
    let mut world = world(6, &[Fault::Slow("royalty".into(), 200)]);
    for home in 6..9 {
        let cut = Fault::Cut(0, home);
        world.schedule_after(Duration::from_millis(100), move |world| {
            world.inject_fault(cut)
        });
    }
    world.schedule_after(Duration::from_millis(3300), |world| {
        world.inject_fault(Fault::Heal);
    });
    let first = world.actions.len();
    let mut action = Action::new(ROYALTY_CHARGE, "charge");
    action.max_resends = 0;
    world.submit(world.now, action, Some(0));
    check(&mut world, first, 8, 0);
    let charge = world.cluster.operations[ROYALTY_CHARGE].clone();
    assert_eq!(world.checker.run_count(&charge, b"charge"), 1);
}
