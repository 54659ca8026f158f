//! The experiments.

use crate::graph;
use crate::graph::CAPACITY;
use crate::graph::DEEPEST;
use crate::load::Load;
use crate::measure::figures;
use crate::measure::goodput;
use crate::measure::whole_share;
use crate::measure::Figures;
use crate::measure::Mark;
use crate::trigger::Trigger;
use crate::variant::Variant;
use std::time::Duration;
use trial::World;

/// Nodes find each other in this time, before anything is asked.
const START: Duration = Duration::from_secs(5);

/// Limits and levels settle in this time, before anything is measured.
const SETTLE: Duration = Duration::from_secs(10);

/// What an experiment gives for one variant.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The variant's name.
    pub name: &'static str,
    /// While it lasts.
    pub during: Figures,
    /// Seconds from the trigger's end until goodput is back for good; `None` if it never was, or
    /// there was no trigger.
    pub recovery: Option<f64>,
    /// Whole answers in each second.
    pub goodput: Vec<f64>,
}

/// A world whose nodes have found each other.
fn world(seed: u64, variant: &Variant) -> World {
    let mut world = World::new(seed, graph::layout(variant.switches));
    world.continue_after_violation = true;
    for node in &mut world.nodes {
        if &*node.instance.service == DEEPEST {
            node.server.set_slots(10);
        }
    }
    world.run_for(START);
    world
}

/// Steady demand at a multiple of capacity, for 20 s.
pub fn demand(seed: u64, variant: &Variant, times: f64) -> Outcome {
    let mut world = world(seed, variant);
    let mut load = Load::new(seed);
    load.run(&mut world, CAPACITY * times, SETTLE);
    let mark = Mark::new(&world);
    load.run(&mut world, CAPACITY * times, Duration::from_secs(20));
    let end = world.now;
    world.run_for(Duration::from_secs(10));
    Outcome {
        name: variant.name,
        during: figures(&world, mark, end),
        recovery: None,
        goodput: goodput(&world),
    }
}

/// Usual demand, then a short time of another demand while something goes on.
pub fn short(
    seed: u64,
    variant: &Variant,
    times: f64,
    lasts: Duration,
    disturb: impl FnOnce(&mut World),
) -> Outcome {
    let mut world = world(seed, variant);
    let mut load = Load::new(seed);
    load.run(&mut world, CAPACITY * USUAL, SETTLE / 2);
    let mark = Mark::new(&world);
    disturb(&mut world);
    load.run(&mut world, CAPACITY * times, lasts);
    let end = world.now;
    world.run_for(SETTLE / 2);
    Outcome {
        name: variant.name,
        during: figures(&world, mark, end),
        recovery: None,
        goodput: goodput(&world),
    }
}

/// The demand before and after a trigger.
const USUAL: f64 = 0.7;

/// A trigger, and the time after it.
pub fn trigger(seed: u64, variant: &Variant, trigger: &Trigger) -> Outcome {
    let mut world = world(seed, variant);
    let mut load = Load::new(seed);
    load.run(&mut world, CAPACITY * USUAL, SETTLE * 2);
    let mark = Mark::new(&world);
    for (after, fault) in (trigger.faults)(&world) {
        world.schedule_after(after, move |world| world.inject_fault(fault));
    }
    load.run(&mut world, CAPACITY * trigger.demand, trigger.lasts);
    let end = world.now;
    load.run(&mut world, CAPACITY * USUAL, Duration::from_secs(40));
    let during = figures(&world, mark, end);
    let after = (end.as_micros() / 1_000_000) as usize;
    Outcome {
        name: variant.name,
        during,
        recovery: recovery(&world, after),
        goodput: goodput(&world),
    }
}

/// Seconds after `from` until, for good, at least 95% of what is asked within two seconds ends
/// whole; all of it did before the trigger.
fn recovery(world: &World, from: usize) -> Option<f64> {
    // The last actions have not ended.
    let last = (world.now.as_micros() / 1_000_000) as usize - 8;
    let bad = |at: &usize| whole_share(world, *at, at + 2) < 0.95;
    match (from..last).rev().find(bad) {
        None => Some(0.0),
        Some(at) if at + 2 < last => Some((at + 1 - from) as f64),
        Some(_) => None,
    }
}
