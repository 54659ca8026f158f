//! Runs an experiment for one variant and computes its result.

use crate::graph;
use crate::graph::CAPACITY_PER_S;
use crate::graph::DEEPEST_SERVICE;
use crate::load::LoadGenerator;
use crate::measure::goodput;
use crate::measure::metrics;
use crate::measure::success_ratio;
use crate::measure::Metrics;
use crate::measure::WindowStart;
use crate::trigger::Trigger;
use crate::variant::Variant;
use std::time::Duration;
use trial::World;

/// How long nodes get to discover each other before the load starts.
const DISCOVERY_TIME: Duration = Duration::from_secs(5);

/// How long limits and admission levels get to converge before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(10);

/// The result of an experiment for one variant.
#[derive(Debug, Clone)]
pub struct ExperimentResult {
    /// The variant's name.
    pub name: &'static str,
    /// The metrics of the measured window, which in a trigger experiment is the trigger's duration.
    pub metrics: Metrics,
    /// Seconds from the end of the trigger until the success ratio has recovered for good. `None`
    /// if it did not recover, or if there was no trigger.
    pub recovery_s: Option<f64>,
    /// The number of successful actions in each second.
    pub goodput_per_s: Vec<f64>,
}

/// Starts a world and runs it until its nodes have discovered each other.
fn start_world(seed: u64, variant: &Variant) -> World {
    let mut world = World::new(seed, graph::cluster_config(variant.switches));
    world.continue_after_violation = true;
    for node in &mut world.nodes {
        if &*node.instance.service == DEEPEST_SERVICE {
            node.server.set_slots(10);
        }
    }
    world.run_for(DISCOVERY_TIME);
    world
}

/// Measures 20 s of steady demand, given as a multiple of capacity.
pub fn run_steady_demand(seed: u64, variant: &Variant, demand: f64) -> ExperimentResult {
    let mut world = start_world(seed, variant);
    let mut load = LoadGenerator::new(seed);
    load.run(&mut world, CAPACITY_PER_S * demand, WARM_UP);
    let window_start = WindowStart::new(&world);
    load.run(&mut world, CAPACITY_PER_S * demand, Duration::from_secs(20));
    let end = world.now;
    world.run_for(Duration::from_secs(10));
    ExperimentResult {
        name: variant.name,
        metrics: metrics(&world, window_start, end),
        recovery_s: None,
        goodput_per_s: goodput(&world),
    }
}

/// Measures `duration` at `demand`, a multiple of capacity, with a disturbance at its start. Before
/// that, the demand is `BASE_DEMAND`.
pub fn run_disturbance(
    seed: u64,
    variant: &Variant,
    demand: f64,
    duration: Duration,
    disturb: impl FnOnce(&mut World),
) -> ExperimentResult {
    let mut world = start_world(seed, variant);
    let mut load = LoadGenerator::new(seed);
    load.run(&mut world, CAPACITY_PER_S * BASE_DEMAND, WARM_UP / 2);
    let window_start = WindowStart::new(&world);
    disturb(&mut world);
    load.run(&mut world, CAPACITY_PER_S * demand, duration);
    let end = world.now;
    world.run_for(WARM_UP / 2);
    ExperimentResult {
        name: variant.name,
        metrics: metrics(&world, window_start, end),
        recovery_s: None,
        goodput_per_s: goodput(&world),
    }
}

/// The demand before a disturbance, and before and after a trigger, as a multiple of capacity.
const BASE_DEMAND: f64 = 0.7;

/// Measures the duration of a trigger, at the trigger's demand, and the recovery in the 40 s after
/// it, at `BASE_DEMAND`.
pub fn run_trigger(seed: u64, variant: &Variant, trigger: &Trigger) -> ExperimentResult {
    let mut world = start_world(seed, variant);
    let mut load = LoadGenerator::new(seed);
    load.run(&mut world, CAPACITY_PER_S * BASE_DEMAND, WARM_UP * 2);
    let window_start = WindowStart::new(&world);
    for (delay, fault) in (trigger.faults)(&world) {
        world.schedule_after(delay, move |world| world.inject_fault(fault));
    }
    load.run(
        &mut world,
        CAPACITY_PER_S * trigger.demand,
        trigger.duration,
    );
    let end = world.now;
    load.run(
        &mut world,
        CAPACITY_PER_S * BASE_DEMAND,
        Duration::from_secs(40),
    );
    let metrics = metrics(&world, window_start, end);
    let end_second = (end.as_micros() / 1_000_000) as usize;
    ExperimentResult {
        name: variant.name,
        metrics,
        recovery_s: recovery_time(&world, end_second),
        goodput_per_s: goodput(&world),
    }
}

/// The number of seconds after second `from` until the success ratio has recovered for good: in
/// every later window of two seconds, at least 95 % of the actions started in it succeed. Before
/// the trigger, all actions succeed. `None` if the ratio does not recover for good.
fn recovery_time(world: &World, from: usize) -> Option<f64> {
    // An action may take four attempts of 2 s each, so those of the last 8 s may not have ended yet
    // and are not considered.
    let last_second = (world.now.as_micros() / 1_000_000) as usize - 8;
    let is_degraded = |at: &usize| success_ratio(world, *at, at + 2) < 0.95;
    match (from..last_second).rev().find(is_degraded) {
        None => Some(0.0),
        Some(at) if at + 2 < last_second => Some((at + 1 - from) as f64),
        Some(_) => None,
    }
}
