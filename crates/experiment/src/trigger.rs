//! What goes wrong, and when.

use crate::graph::DEEPEST;
use std::time::Duration;
use trial::Fault;
use trial::World;

/// Something that goes wrong for a while.
pub struct Trigger {
    /// The experiment's name on the command line.
    pub name: &'static str,
    /// What happens, in words.
    pub title: &'static str,
    /// How long it lasts.
    pub lasts: Duration,
    /// Demand meanwhile, as a multiple of capacity.
    pub demand: f64,
    /// Faults, and how long after the start they come.
    pub faults: fn(&World) -> Vec<(Duration, Fault)>,
}

const MINUTE: Duration = Duration::from_secs(60);

/// How often a backend server of the deepest service crashes, in `crash`.
const CRASH_EVERY: u32 = 15;

/// The time between two replacements, in `rolling`.
const REPLACE_EVERY: u64 = 5;

/// When a stopped process is started again; in vain while it still finishes what it has.
const START_AFTER: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(6),
    Duration::from_secs(14),
];

/// All triggers.
pub const ALL: [Trigger; 8] = [
    Trigger {
        name: "slow",
        title: "the deepest service ten times slower for 60 s, demand doubled",
        lasts: MINUTE,
        demand: 1.4,
        faults: |_| {
            lasting(
                Fault::Slow(DEEPEST.into(), 10),
                Fault::Slow(DEEPEST.into(), 1),
            )
        },
    },
    Trigger {
        name: "cold",
        title: "one instance of the deepest service lost without a word, a cold one in its place",
        lasts: MINUTE,
        demand: 0.7,
        faults: |world| vec![(Duration::ZERO, Fault::Replace(deepest(world)))],
    },
    Trigger {
        name: "crash",
        title: "one backend server of the deepest service crashes every 15 s",
        lasts: MINUTE,
        demand: 0.7,
        faults: |world| {
            let crash = Fault::Crash(deepest(world));
            let at = (0..4).map(|n| Duration::from_secs(u64::from(n * CRASH_EVERY)));
            at.map(|at| (at, crash.clone())).collect()
        },
    },
    Trigger {
        name: "domain",
        title: "the failure domain milano-2 lost for 60 s",
        lasts: MINUTE,
        demand: 0.7,
        faults: |world| {
            let lost = of_domain(world, "milano-2");
            let begin = lost.iter().map(|node| (Duration::ZERO, Fault::Kill(*node)));
            let end = lost.iter().map(|node| (MINUTE, Fault::Start(*node)));
            begin.chain(end).collect()
        },
    },
    Trigger {
        name: "regions",
        title: "regions apart for 60 s",
        lasts: MINUTE,
        demand: 0.7,
        faults: |_| lasting(Fault::CutRegion("veneto".into()), Fault::Heal),
    },
    Trigger {
        name: "log",
        title: "the log down for 60 s",
        lasts: MINUTE,
        demand: 0.7,
        faults: |_| lasting(Fault::LogDown(true), Fault::LogDown(false)),
    },
    Trigger {
        name: "log-slow",
        title: "the log down and the deepest service ten times slower for 60 s",
        lasts: MINUTE,
        demand: 0.7,
        faults: |_| {
            let log = lasting(Fault::LogDown(true), Fault::LogDown(false));
            let slow = Fault::Slow(DEEPEST.into(), 10);
            let slow = lasting(slow, Fault::Slow(DEEPEST.into(), 1));
            log.into_iter().chain(slow).collect()
        },
    },
    Trigger {
        name: "rolling",
        title: "every instance stopped as planned and started again, one every 5 s",
        lasts: MINUTE,
        demand: 0.7,
        faults: |world| {
            let nodes = (0..world.nodes.len()).zip(0..);
            let replaced = nodes.flat_map(|(node, nth)| {
                let at = Duration::from_secs(nth * REPLACE_EVERY);
                let again = START_AFTER.map(|after| (at + after, Fault::Start(node)));
                [(at, Fault::Stop(node))].into_iter().chain(again)
            });
            replaced.collect()
        },
    },
];

/// A fault that is mended after a minute.
fn lasting(begin: Fault, end: Fault) -> Vec<(Duration, Fault)> {
    vec![(Duration::ZERO, begin), (MINUTE, end)]
}

/// The first instance of the deepest service.
fn deepest(world: &World) -> usize {
    let mut nodes = world.nodes.iter();
    nodes
        .position(|node| &*node.instance.service == DEEPEST)
        .unwrap_or(0)
}

fn of_domain(world: &World, failure_domain: &str) -> Vec<usize> {
    let nodes = world.nodes.iter().enumerate();
    let there = nodes.filter(|(_, node)| &*node.instance.failure_domain == failure_domain);
    there.map(|(index, _)| index).collect()
}
