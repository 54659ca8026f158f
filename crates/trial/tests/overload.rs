//! The policy under load, over the whole graph.

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

fn check(world: &World) {
    assert!(
        world.checker.violations.is_empty(),
        "{}",
        world.checker.violations[0]
    );
}

/// Ten times as much is asked for as the servers can do, half of it orders. A lookup that runs
/// though an order that came after it was refused costs a shop its sale, or its press slot.
#[test]
fn lookups_are_shed_before_anything_else() {
    for seed in 1..=2 {
        let mut world = world(seed);
        world.checker.lookups_go_first = true;
        for _ in 0..3 {
            for service in ["order", "press", "royalty"] {
                world.inject_fault(Fault::Surge(service.into(), 2000));
            }
            world.run_for(Duration::from_secs(1));
        }
        check(&world);
        let shed = world.counters.get("not_run.shed").copied().unwrap_or(0);
        assert!(shed > 1000, "seed {seed}: {shed} shed");
    }
}

/// One label crashes each backend server that renders it, and its maker sends it again through one
/// node after another, while others browse. Every server of the service would go down in turn.
#[test]
fn a_request_that_crashes_servers_does_so_twice_at_most() {
    for seed in 1..=5 {
        let mut world = world(seed);
        let days = world.cluster.operation("GET", "/press/days").unwrap();
        world.inject_fault(Fault::Poison("poison".into()));
        for nth in 0..20 {
            let mut poison = Action::new(days, "poison");
            poison.resends = 0;
            poison.caller = format!("maker{nth}").into();
            let at = world.now + Duration::from_secs(3 * nth);
            world.submit(at, poison, Some(nth as usize % 9));
            for other in 0..20 {
                let action = Action::new(days, &format!("a{nth}-{other}"));
                world.submit(at + Duration::from_millis(other), action, None);
            }
        }
        world.run_for(Duration::from_secs(70));
        check(&world);
        let poison = &world.cluster.operations[days];
        assert!(world.checker.runs(poison, b"poison") <= 2, "seed {seed}");
        let quarantined = world.counters.get("not_run.quarantined").copied();
        assert!(quarantined.unwrap_or(0) >= 18, "seed {seed}");
        for action in world.actions.iter().filter(|a| a.body != "poison") {
            let end = action.ended.map(|(_, end)| end);
            let innocent = end != Some(ActionOutcome::NotRun(Reason::Quarantined));
            assert!(innocent, "seed {seed}: {}", action.body);
            let beside = action.body.starts_with("a0-");
            let whole = beside || end == Some(ActionOutcome::Succeeded);
            assert!(whole, "seed {seed}: {} {end:?}", action.body);
        }
    }
}
