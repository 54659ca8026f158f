//! The triggers: faults and surges of limited duration, whose effects the experiments measure.

use crate::graph::DEEPEST_SERVICE;
use std::time::Duration;
use trial::Fault;
use trial::World;

/// Faults, a changed demand, or both, for a limited time.
pub struct Trigger {
    /// The experiment's name on the command line.
    pub name: &'static str,
    /// A description, printed above the table.
    pub title: &'static str,
    /// How long it lasts.
    pub duration: Duration,
    /// The demand while it lasts, as a multiple of capacity.
    pub demand: f64,
    /// The faults, each with its delay after the start of the trigger.
    pub faults: fn(&World) -> Vec<(Duration, Fault)>,
}

const MINUTE: Duration = Duration::from_secs(60);

/// Seconds between two crashes of the backend server in the `crash` experiment.
const CRASH_INTERVAL_S: u32 = 15;

/// Seconds between the restarts of two instances in the `rolling` experiment.
const RESTART_INTERVAL_S: u64 = 5;

/// Delays after which the start of a stopped process is attempted. A start has no effect while the
/// old process still completes its work, so there are several attempts.
const START_DELAYS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(6),
    Duration::from_secs(14),
];

/// All triggers.
pub const ALL: [Trigger; 8] = [
    Trigger {
        name: "slow",
        title: "the deepest service ten times slower for 60 s, demand doubled",
        duration: MINUTE,
        demand: 1.4,
        faults: |_| {
            for_a_minute(
                Fault::Slow(DEEPEST_SERVICE.into(), 10),
                Fault::Slow(DEEPEST_SERVICE.into(), 1),
            )
        },
    },
    Trigger {
        name: "cold",
        title: "one instance of the deepest service killed and replaced by a cold one",
        duration: MINUTE,
        demand: 0.7,
        faults: |world| vec![(Duration::ZERO, Fault::Replace(first_deepest_node(world)))],
    },
    Trigger {
        name: "crash",
        title: "one backend server of the deepest service crashes every 15 s",
        duration: MINUTE,
        demand: 0.7,
        faults: |world| {
            let crash = Fault::Crash(first_deepest_node(world));
            let at = (0..4).map(|n| Duration::from_secs(u64::from(n * CRASH_INTERVAL_S)));
            at.map(|at| (at, crash.clone())).collect()
        },
    },
    Trigger {
        name: "domain",
        title: "the failure domain milano-2 down for 60 s",
        duration: MINUTE,
        demand: 0.7,
        faults: |world| {
            let lost_nodes = nodes_in_domain(world, "milano-2");
            let begin = lost_nodes
                .iter()
                .map(|node| (Duration::ZERO, Fault::Kill(*node)));
            let end = lost_nodes.iter().map(|node| (MINUTE, Fault::Start(*node)));
            begin.chain(end).collect()
        },
    },
    Trigger {
        name: "regions",
        title: "the regions partitioned from each other for 60 s",
        duration: MINUTE,
        demand: 0.7,
        faults: |_| for_a_minute(Fault::CutRegion("veneto".into()), Fault::Heal),
    },
    Trigger {
        name: "log",
        title: "the log down for 60 s",
        duration: MINUTE,
        demand: 0.7,
        faults: |_| for_a_minute(Fault::LogDown(true), Fault::LogDown(false)),
    },
    Trigger {
        name: "log-slow",
        title: "the log down and the deepest service ten times slower for 60 s",
        duration: MINUTE,
        demand: 0.7,
        faults: |_| {
            let log = for_a_minute(Fault::LogDown(true), Fault::LogDown(false));
            let slow = Fault::Slow(DEEPEST_SERVICE.into(), 10);
            let slow = for_a_minute(slow, Fault::Slow(DEEPEST_SERVICE.into(), 1));
            log.into_iter().chain(slow).collect()
        },
    },
    Trigger {
        name: "rolling",
        title: "every instance stopped gracefully and started again, one every 5 s",
        duration: MINUTE,
        demand: 0.7,
        faults: |world| {
            let nodes = (0..world.nodes.len()).zip(0..);
            let faults = nodes.flat_map(|(node, index)| {
                let at = Duration::from_secs(index * RESTART_INTERVAL_S);
                let starts = START_DELAYS.map(|delay| (at + delay, Fault::Start(node)));
                [(at, Fault::Stop(node))].into_iter().chain(starts)
            });
            faults.collect()
        },
    },
];

/// A fault that begins with the trigger and ends after a minute.
fn for_a_minute(begin: Fault, end: Fault) -> Vec<(Duration, Fault)> {
    vec![(Duration::ZERO, begin), (MINUTE, end)]
}

/// The node of the first instance of the deepest service.
fn first_deepest_node(world: &World) -> usize {
    let mut nodes = world.nodes.iter();
    nodes
        .position(|node| &*node.instance.service == DEEPEST_SERVICE)
        .unwrap_or(0)
}

/// The nodes of all instances in a failure domain.
fn nodes_in_domain(world: &World, failure_domain: &str) -> Vec<usize> {
    let nodes = world.nodes.iter().enumerate();
    let in_domain = nodes.filter(|(_, node)| &*node.instance.failure_domain == failure_domain);
    in_domain.map(|(index, _)| index).collect()
}
