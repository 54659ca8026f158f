//! Computes the metrics of a run.

use crate::graph::LOOKUP;
use crate::graph::ORDER;
use hdrhistogram::Histogram;
use std::time::Duration;
use stdx::Time;
use trial::Action;
use trial::ActionOutcome;
use trial::World;

/// The metrics of one run over a time window.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Lookups that succeeded within the window, per second.
    pub lookups_per_s: f64,
    /// Orders that succeeded within the window, per second.
    pub orders_per_s: f64,
    /// The share of the orders started in the window that succeeded at any time.
    pub order_success_ratio: f64,
    /// The share of service time since the start of the window that did not contribute to a
    /// successful action.
    pub wasted_work_ratio: f64,
    /// The average number of attempts that callers made for an action started in the window.
    pub attempts_per_action: f64,
    /// The median time from the first attempt to success of actions started in the window, in
    /// milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the same times.
    pub p99_ms: f64,
    /// Traffic between regions since the start of the window, in kilobytes per second.
    pub cross_region_kb_per_s: f64,
}

/// The totals of a world at the start of a window.
#[derive(Debug, Clone, Copy)]
pub struct WindowStart {
    at: Time,
    nominal_service_time: Duration,
    cross_region_bytes: u64,
}

impl WindowStart {
    /// A window that starts now.
    pub fn new(world: &World) -> Self {
        Self {
            at: world.now,
            nominal_service_time: world.nominal_service_time,
            cross_region_bytes: world.network.cross_region_bytes,
        }
    }
}

/// Computes the metrics of the window from `start` to `end`. The world must have run on until all
/// actions of the window have ended.
pub fn metrics(world: &World, start: WindowStart, end: Time) -> Metrics {
    let secs = end.since(start.at).as_secs_f64();
    let started_in_window =
        |action: &&Action| action.first_sent_at >= start.at && action.first_sent_at < end;
    let actions: Vec<&Action> = world.actions.iter().filter(started_in_window).collect();
    let succeeded: Vec<&&Action> = actions.iter().filter(|a| has_succeeded(a)).collect();
    let success_count = |operation: usize| {
        succeeded
            .iter()
            .filter(|a| a.operation == operation)
            .count() as f64
    };
    let successes_per_s = |operation: usize| {
        let of_operation = world.actions.iter().filter(|a| a.operation == operation);
        let ended_in_window =
            |a: &&Action| a.ended.is_some_and(|(at, _)| at >= start.at && at < end);
        of_operation
            .filter(|a| has_succeeded(a))
            .filter(ended_in_window)
            .count() as f64
            / secs
    };
    let order_count = actions.iter().filter(|a| a.operation == ORDER).count() as f64;
    let mut latencies_ms =
        Histogram::<u64>::new_with_max(600_000, 3).expect("the bounds are allowed");
    for action in &succeeded {
        let (at, _) = action.ended.expect("a succeeded action has ended");
        latencies_ms.saturating_record(at.since(action.first_sent_at).as_millis() as u64);
    }
    let service_time = (world.nominal_service_time - start.nominal_service_time).as_secs_f64();
    let useful_service_time: f64 = world
        .actions
        .iter()
        .filter(|action| {
            has_succeeded(action) && action.ended.is_some_and(|(at, _)| at >= start.at)
        })
        .map(|action| chain_service_time(world, action.operation))
        .sum();
    let attempts: f64 = actions.iter().map(|a| f64::from(a.attempts)).sum();
    let elapsed_secs = world.now.since(start.at).as_secs_f64();
    Metrics {
        lookups_per_s: successes_per_s(LOOKUP),
        orders_per_s: successes_per_s(ORDER),
        order_success_ratio: success_count(ORDER) / order_count.max(1.0),
        wasted_work_ratio: (1.0 - useful_service_time / service_time.max(1e-9)).max(0.0),
        attempts_per_action: attempts / (actions.len() as f64).max(1.0),
        p50_ms: latencies_ms.value_at_quantile(0.5) as f64,
        p99_ms: latencies_ms.value_at_quantile(0.99) as f64,
        cross_region_kb_per_s: (world.network.cross_region_bytes - start.cross_region_bytes) as f64
            / 1000.0
            / elapsed_secs,
    }
}

/// The share of successful actions among those that were started from second `from` up to, but not
/// including, second `to`. The ratio is 0 if there were none.
pub fn success_ratio(world: &World, from: usize, to: usize) -> f64 {
    let start_second = |action: &&Action| (action.first_sent_at.as_micros() / 1_000_000) as usize;
    let started_in_window = |action: &&Action| (from..to).contains(&start_second(action));
    let (succeeded, all) = world
        .actions
        .iter()
        .filter(started_in_window)
        .fold((0_u32, 0_u32), |(succeeded, all), action| {
            (succeeded + u32::from(has_succeeded(action)), all + 1)
        });
    f64::from(succeeded) / f64::from(all.max(1))
}

/// The number of actions that succeeded in each second of the run.
pub fn goodput(world: &World) -> Vec<f64> {
    let secs = (world.now.as_micros() / 1_000_000) as usize + 1;
    let mut goodput = vec![0.0; secs];
    for action in world.actions.iter().filter(|action| has_succeeded(action)) {
        if let Some((at, _)) = action.ended {
            goodput[(at.as_micros() / 1_000_000) as usize] += 1.0;
        }
    }
    goodput
}

fn has_succeeded(action: &Action) -> bool {
    matches!(action.ended, Some((_, ActionOutcome::Succeeded)))
}

/// The service time of an operation at its own service and at all services below.
fn chain_service_time(world: &World, operation: usize) -> f64 {
    let operation = &world.cluster.operations[operation];
    let children_time: f64 = operation
        .children
        .iter()
        .map(|child| chain_service_time(world, *child))
        .sum();
    operation.service_time.as_secs_f64() + children_time
}
