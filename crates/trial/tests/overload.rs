//! The overload policy, over the whole call graph.

use proto::Reason;
use std::time::Duration;
use trial::Action;
use trial::ActionOutcome;
use trial::ClusterConfig;
use trial::Fault;
use trial::World;

fn world(seed: u64) -> World {
    let mut world = World::new(seed, ClusterConfig::small());
    world.run_for(Duration::from_secs(5));
    world
}

fn assert_no_violations(world: &World) {
    assert!(
        world.checker.violations.is_empty(),
        "{}",
        world.checker.violations[0]
    );
}

/// Demand is ten times the servers' capacity, a quarter of it orders. Guards against running a
/// queued lookup after an order that arrived later was refused, which costs a shop its sale or
/// press slot.
#[test]
fn lookups_are_shed_before_other_classes() {
    for seed in 1..=2 {
        let mut world = world(seed);
        world.checker.check_lookups_shed_first = true;
        for _ in 0..3 {
            for service in ["order", "press", "royalty"] {
                world.inject_fault(Fault::Surge(service.into(), 2000));
            }
            world.run_for(Duration::from_secs(1));
        }
        assert_no_violations(&world);
        let shed = world.counters.get("not_run.shed").copied().unwrap_or(0);
        assert!(shed > 1000, "seed {seed}: {shed} shed");
    }
}

/// One request crashes each backend server that runs it, and it is sent again through one node
/// after another while other callers send lookups. Guards against it taking down every server of
/// the service in turn.
#[test]
fn poison_request_crashes_at_most_two_servers() {
    for seed in 1..=5 {
        let mut world = world(seed);
        let days = world.cluster.operation_index("GET", "/press/days").unwrap();
        world.inject_fault(Fault::Poison("poison".into()));
        for nth in 0..20 {
            let mut poison = Action::new(days, "poison");
            poison.max_resends = 0;
            poison.caller = format!("maker{nth}").into();
            let at = world.now + Duration::from_secs(3 * nth);
            world.submit(at, poison, Some(nth as usize % 9));
            for other in 0..20 {
                let action = Action::new(days, &format!("a{nth}-{other}"));
                world.submit(at + Duration::from_millis(other), action, None);
            }
        }
        world.run_for(Duration::from_secs(70));
        assert_no_violations(&world);
        let poison = &world.cluster.operations[days];
        assert!(
            world.checker.run_count(poison, b"poison") <= 2,
            "seed {seed}"
        );
        let quarantined = world.counters.get("not_run.quarantined").copied();
        assert!(quarantined.unwrap_or(0) >= 18, "seed {seed}");
        for action in world.actions.iter().filter(|a| a.body != "poison") {
            let outcome = action.ended.map(|(_, outcome)| outcome);
            let not_quarantined = outcome != Some(ActionOutcome::NotRun(Reason::Quarantined));
            assert!(not_quarantined, "seed {seed}: {}", action.body);
            let sent_with_first_poison = action.body.starts_with("a0-");
            let as_expected = sent_with_first_poison || outcome == Some(ActionOutcome::Succeeded);
            assert!(as_expected, "seed {seed}: {} {outcome:?}", action.body);
        }
    }
}
