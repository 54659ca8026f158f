//! What a run comes to.

use crate::graph::LOOKUP;
use crate::graph::ORDER;
use hdrhistogram::Histogram;
use std::time::Duration;
use stdx::Time;
use trial::Action;
use trial::ActionOutcome;
use trial::World;

/// The figures of one run, over the actions that began in a window.
#[derive(Debug, Clone)]
pub struct Figures {
    /// Whole answers to lookups that came in the window, a second.
    pub lookups: f64,
    /// The same for orders.
    pub orders: f64,
    /// Orders that were whole, of those that were asked for.
    pub orders_share: f64,
    /// The share of service time that went into no whole answer.
    pub wasted: f64,
    /// Attempts of callers, for each action.
    pub attempts: f64,
    /// Times of whole answers from the first attempt on, in milliseconds.
    pub p50: f64,
    /// See `p50`.
    pub p99: f64,
    /// Kilobytes a second between regions.
    pub region_kb: f64,
}

/// What the totals were at the start of a window.
#[derive(Debug, Clone, Copy)]
pub struct Mark {
    at: Time,
    work: Duration,
    bytes: u64,
}

impl Mark {
    /// The totals now.
    pub fn new(world: &World) -> Self {
        Self {
            at: world.now,
            work: world.nominal_service_time,
            bytes: world.network.cross_region_bytes,
        }
    }
}

/// The figures from a mark until `end`; the world has run on until all of them have ended.
pub fn figures(world: &World, from: Mark, end: Time) -> Figures {
    let secs = end.since(from.at).as_secs_f64();
    let inside = |action: &&Action| action.first_sent_at >= from.at && action.first_sent_at < end;
    let actions: Vec<&Action> = world.actions.iter().filter(inside).collect();
    let whole: Vec<&&Action> = actions.iter().filter(|a| is_whole(a)).collect();
    let count = |operation: usize| whole.iter().filter(|a| a.operation == operation).count() as f64;
    let came = |operation: usize| {
        let mine = world.actions.iter().filter(|a| a.operation == operation);
        let inside = |a: &&Action| a.ended.is_some_and(|(at, _)| at >= from.at && at < end);
        mine.filter(|a| is_whole(a)).filter(inside).count() as f64 / secs
    };
    let asked = actions.iter().filter(|a| a.operation == ORDER).count() as f64;
    let mut millis = Histogram::<u64>::new_with_max(600_000, 3).expect("the bounds are allowed");
    for action in &whole {
        let (at, _) = action.ended.expect("a whole action has ended");
        millis.saturating_record(at.since(action.first_sent_at).as_millis() as u64);
    }
    let work = (world.nominal_service_time - from.work).as_secs_f64();
    let useful: f64 = world
        .actions
        .iter()
        .filter(|action| is_whole(action) && action.ended.is_some_and(|(at, _)| at >= from.at))
        .map(|action| chain_time(world, action.operation))
        .sum();
    let attempts: f64 = actions.iter().map(|a| f64::from(a.attempts)).sum();
    let waited = world.now.since(from.at).as_secs_f64();
    Figures {
        lookups: came(LOOKUP),
        orders: came(ORDER),
        orders_share: count(ORDER) / asked.max(1.0),
        wasted: (1.0 - useful / work.max(1e-9)).max(0.0),
        attempts: attempts / (actions.len() as f64).max(1.0),
        p50: millis.value_at_quantile(0.5) as f64,
        p99: millis.value_at_quantile(0.99) as f64,
        region_kb: (world.network.cross_region_bytes - from.bytes) as f64 / 1000.0 / waited,
    }
}

/// The share of actions that ended whole, by the second in which they began.
pub fn whole_share(world: &World, from: usize, to: usize) -> f64 {
    let second = |action: &&Action| (action.first_sent_at.as_micros() / 1_000_000) as usize;
    let inside = |action: &&Action| (from..to).contains(&second(action));
    let (whole, all) = world
        .actions
        .iter()
        .filter(inside)
        .fold((0_u32, 0_u32), |(whole, all), action| {
            (whole + u32::from(is_whole(action)), all + 1)
        });
    f64::from(whole) / f64::from(all.max(1))
}

/// Whole answers in each second, by when they came.
pub fn goodput(world: &World) -> Vec<f64> {
    let secs = (world.now.as_micros() / 1_000_000) as usize + 1;
    let mut goodput = vec![0.0; secs];
    for action in world.actions.iter().filter(|action| is_whole(action)) {
        if let Some((at, _)) = action.ended {
            goodput[(at.as_micros() / 1_000_000) as usize] += 1.0;
        }
    }
    goodput
}

fn is_whole(action: &Action) -> bool {
    matches!(action.ended, Some((_, ActionOutcome::Succeeded)))
}

fn chain_time(world: &World, operation: usize) -> f64 {
    let operation = &world.cluster.operations[operation];
    let below: f64 = operation
        .children
        .iter()
        .map(|child| chain_time(world, *child))
        .sum();
    operation.service_time.as_secs_f64() + below
}
