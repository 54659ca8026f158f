//! Instances that come, go and come back, seen by what callers get.

use std::time::Duration;
use trial::Action;
use trial::ActionOutcome;
use trial::ClusterConfig;
use trial::Fault;
use trial::World;

const LOOKUP_PRESS: usize = 2;
const CHARGE: usize = 5;

/// A world that has run a while, then these faults.
fn world(seed: u64, faults: &[Fault]) -> World {
    let mut world = World::new(seed, ClusterConfig::small());
    world.run_for(Duration::from_secs(12));
    for fault in faults {
        world.inject_fault(fault.clone());
    }
    world
}

/// Ten lookups a second at each node that takes any, for this long; none is sent again by its caller.
fn look_up(world: &mut World, secs: u32) -> usize {
    let first = world.actions.len();
    for nth in 0..secs * 10 {
        for node in 0..world.nodes.len() {
            if world.is_running(node) && world.nodes[node].stopping.is_none() {
                let mut action = Action::new(LOOKUP_PRESS, &format!("l{nth}-{node}-{first}"));
                action.resends = 0;
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

/// Lets time pass, and checks that all calls from `first` on were answered whole but for `others`.
fn check(world: &mut World, first: usize, secs: u64, others: usize) {
    world.run_for(Duration::from_secs(secs));
    assert_eq!(world.checker.violations, Vec::<String>::new());
    let not_whole = world.actions[first..]
        .iter()
        .filter(|action| !matches!(action.ended, Some((_, ActionOutcome::Succeeded))));
    let not_whole: Vec<_> = not_whole
        .map(|action| (&action.body, action.ended))
        .collect();
    assert_eq!(not_whole.len(), others, "{not_whole:?}");
}

fn count(world: &World, name: &str) -> u64 {
    world.counters.get(name).copied().unwrap_or(0)
}

/// How many running nodes have `node`'s present incarnation in their views.
fn listed_at(world: &World, node: usize) -> usize {
    let incarnation = world.nodes[node].incarnation;
    let engines = world.nodes.iter().filter_map(|node| node.engine.as_ref());
    engines
        .filter(|engine| engine.journal().is_listed(incarnation))
        .count()
}

#[test]
fn who_leaves_hands_calls_on_though_no_announcement_arrives() {
    // A planned stop while the log is down and every datagram is lost: nobody hears of it. The
    // callers' calls still reach the instance; each gets a typed refusal, and goes elsewhere at no
    // cost, so that no caller notices.
    let faults = [
        Fault::LogDown(true),
        Fault::Datagrams(1000, 0),
        Fault::Stop(4),
    ];
    let mut world = world(1, &faults);
    let first = look_up(&mut world, 2);
    check(&mut world, first, 8, 0);
    assert!(count(&world, "redirect.draining") > 0);
    assert_eq!(count(&world, "retry.draining"), 0);
}

#[test]
fn who_leaves_gets_nothing_once_the_announcement_has_arrived() {
    // The same stop with a network in order: after the gossip has gone round, nobody tries the
    // instance any more.
    let mut world = world(2, &[Fault::LogDown(true), Fault::Stop(4)]);
    world.run_for(Duration::from_millis(1500));
    let first = look_up(&mut world, 2);
    check(&mut world, first, 8, 0);
    assert_eq!(count(&world, "redirect.draining"), 0);
}

#[test]
fn a_killed_instance_is_evicted_by_few() {
    // A process is killed and does not come back. Its share of the keys has no home before the log
    // takes it out, and the log takes only some hundred appends a second from all.
    let mut world = world(3, &[Fault::Kill(4)]);
    world.run_for(Duration::from_secs(15));
    assert_eq!(listed_at(&world, 4), 0);
    let asked = count(&world, "eviction_asked");
    assert!((1..=2).contains(&asked), "{asked}");
}

#[test]
fn an_eviction_that_waits_is_dropped_when_the_instance_is_back() {
    // The log is down while an instance is frozen. Its eviction waits for the log; when the log is
    // back the instance is too, and taking it out would cost its share of the keys for nothing.
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
    assert_eq!(listed_at(&world, 4), world.nodes.len());
}

#[test]
fn an_instance_that_starts_in_an_outage_of_the_log_is_found_and_used() {
    // The only press instance that is left starts anew while the log is down. The others must find
    // it through its contacts, and use it for lookups; keys have no home there.
    let faults = [Fault::LogDown(true), Fault::Replace(3)];
    let mut world = world(5, &faults);
    world.run_for(Duration::from_secs(15));
    for node in [4, 5] {
        world.inject_fault(Fault::Kill(node));
    }
    world.run_for(Duration::from_secs(15));
    let first = look_up(&mut world, 2);
    check(&mut world, first, 8, 0);
}

#[test]
fn a_call_attaches_again_when_the_path_is_back() {
    // The path to an order's home is gone for three seconds while the order runs there: first the
    // connection goes silent, then no new one can be made. The order was done, and the shop would
    // be told that nobody knows.
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
    let mut action = Action::new(CHARGE, "charge");
    action.resends = 0;
    world.submit(world.now, action, Some(0));
    check(&mut world, first, 8, 0);
    let charge = world.cluster.operations[CHARGE].clone();
    assert_eq!(world.checker.runs(&charge, b"charge"), 1);
}
