//! Lookups that make eight sequential reads from an overloaded server. Their entry nodes learn the
//! admission level of the server only from lookups that end.

use bilberry_policy::admission_value;
use bilberry_policy::AdmissionDecision;
use bilberry_policy::PriorityBands;
use bilberry_policy::ReportedLevel;
use bilberry_policy::ServerAdmission;
use bilberry_policy::Switches;
use bilberry_policy::WorkItem;
use bilberry_policy::WorkOutcome;
use proto::Class;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::time::Duration;
use stdx::Time;

const SLOTS: u16 = 16;
const READ_MS: u64 = 55;
const READS: u32 = 8;

/// Time before the first read of a lookup and between its reads, in milliseconds.
const BEFORE_FIRST_READ_MS: u64 = 300;
const BETWEEN_READS_MS: u64 = 10;

/// Time after which a lookup is abandoned.
const TIMEOUT_MS: u64 = 1_500;

const SECONDS: u64 = 30;
const ENTRY_NODES: usize = 6;

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1000)
}

/// The call tree of one lookup.
#[derive(Clone)]
struct Tree {
    entry_node: usize,
    /// When the lookup began, in milliseconds.
    began: u64,
    random_value: u16,
    passed_level: u16,
    reads_left: u32,
    /// The highest level reported to the lookup.
    max_level: u16,
}

enum Event {
    Read(usize),
    Done(usize),
}

/// One server, its lookups and their entry nodes.
struct Simulation {
    now: u64,
    server: ServerAdmission,
    /// The level of the server as known to each entry node.
    known_levels: Vec<ReportedLevel>,
    trees: Vec<Tree>,
    events: BTreeMap<u64, Vec<Event>>,
    /// Lookups that completed in time.
    completed: u32,
    /// Lookups that were admitted.
    admitted: u32,
}

impl Simulation {
    fn new() -> Self {
        let switches = Switches {
            adaptive_limit: false,
            ..Switches::ALL
        };
        let mut server = ServerAdmission::new(switches, 1, SLOTS, Duration::from_millis(100));
        server.set_priority_bands(PriorityBands::new([(Class::Lookup, 0)]));
        Self {
            now: 0,
            server,
            known_levels: (0..ENTRY_NODES)
                .map(|_| ReportedLevel::new(Time::ZERO))
                .collect(),
            trees: Vec::new(),
            events: BTreeMap::new(),
            completed: 0,
            admitted: 0,
        }
    }

    fn after(&mut self, millis: u64, event: Event) {
        let at = self.now + millis;
        self.events.entry(at).or_default().push(event);
    }

    fn arrive(&mut self, rng: &mut StdRng) {
        let entry_node = rng.random_range(0..ENTRY_NODES);
        let random_value = rng.random();
        let level = self.known_levels[entry_node].get(at(self.now));
        if admission_value(Class::Lookup, random_value) < level {
            return;
        }
        self.admitted += 1;
        self.trees.push(Tree {
            entry_node,
            began: self.now,
            random_value,
            passed_level: level,
            reads_left: READS,
            max_level: 0,
        });
        self.after(BEFORE_FIRST_READ_MS, Event::Read(self.trees.len() - 1));
    }

    fn work_item(&self, tree: usize) -> WorkItem {
        let Tree {
            began,
            random_value,
            passed_level,
            ..
        } = self.trees[tree];
        WorkItem {
            id: tree as u64,
            class: Class::Lookup,
            priority: 0,
            passed_level,
            random_value,
            deadline: at(began + TIMEOUT_MS),
            latest_start: None,
            operation: 0,
            patient: false,
            organisation: 0,
            arrived: at(self.now),
            admitted: true,
            only_here: false,
        }
    }

    fn apply_decision(&mut self, tree: usize, decision: AdmissionDecision) {
        match decision {
            AdmissionDecision::Start => self.after(READ_MS, Event::Done(tree)),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Refused(_) => self.end(tree, false),
        }
    }

    fn on_event(&mut self, event: Event) {
        let now = at(self.now);
        match event {
            Event::Read(tree) => {
                let decision = self.server.offer(now, self.work_item(tree));
                self.apply_decision(tree, decision);
            }
            Event::Done(tree) => {
                let took = Duration::from_millis(READ_MS);
                let outcome = WorkOutcome::Completed {
                    elapsed: took,
                    own_time: took,
                };
                self.server.on_finished(now, Class::Lookup, outcome);
                let level = self.server.level();
                let state = &mut self.trees[tree];
                state.max_level = state.max_level.max(level);
                state.reads_left -= 1;
                if state.reads_left == 0 {
                    self.end(tree, true);
                } else {
                    self.after(BETWEEN_READS_MS, Event::Read(tree));
                }
            }
        }
    }

    /// Ends a lookup, and reports the highest level that it met to its entry node.
    fn end(&mut self, tree: usize, completed: bool) {
        let Tree {
            entry_node,
            began,
            max_level,
            ..
        } = self.trees[tree];
        let level = max_level.max(self.server.level());
        self.known_levels[entry_node].observe(at(self.now), level);
        self.completed += u32::from(completed && self.now <= began + TIMEOUT_MS);
    }

    /// Runs with the demand given as a multiple of the capacity of the server.
    fn run(&mut self, seconds: u64, demand: f64, rng: &mut StdRng) {
        let per_ms = demand * capacity() / 1000.0;
        for _ in 0..seconds * 1000 {
            self.now += 1;
            for event in self.events.remove(&self.now).unwrap_or_default() {
                self.on_event(event);
            }
            while let Some((item, decision)) = self.server.next_decision(at(self.now)) {
                self.apply_decision(item.id as usize, decision);
            }
            if rng.random_bool(per_ms) {
                self.arrive(rng);
            }
        }
    }
}

/// Lookups per second that the server can serve.
fn capacity() -> f64 {
    f64::from(SLOTS) * 1000.0 / (READ_MS * u64::from(READS)) as f64
}

/// Demand exceeds the capacity of a service deep in the call tree. An admitted lookup reads for a
/// second, and its entry node learns the level only afterwards. A level that rises while reads are
/// queued and falls while none are oscillates: for two seconds nearly everything is shed while
/// servers stand idle, then so much is admitted that most lookups are late.
#[test]
fn a_deep_service_is_fully_used_but_not_overloaded() {
    for seed in 1..4 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut simulation = Simulation::new();
        simulation.run(5, 1.6, &mut rng);
        let (completed, admitted) = (simulation.completed, simulation.admitted);
        simulation.run(SECONDS, 1.6, &mut rng);
        let completed = f64::from(simulation.completed - completed);
        let admitted = f64::from(simulation.admitted - admitted);
        let utilisation = completed / (capacity() * SECONDS as f64);
        let in_time = completed / admitted;
        assert!(
            utilisation > 0.8 && in_time > 0.95,
            "utilisation {utilisation}, in time {in_time}"
        );
    }
}

/// Demand exceeds the capacity for a while and falls again. Two seconds later hardly any lookup may
/// be shed.
#[test]
fn free_capacity_is_used_again_after_a_surge() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut simulation = Simulation::new();
    simulation.run(5, 1.6, &mut rng);
    simulation.run(2, 0.6, &mut rng);
    let (before, demand) = (simulation.admitted, 0.6 * capacity() * 5.0);
    simulation.run(5, 0.6, &mut rng);
    let admitted = f64::from(simulation.admitted - before);
    assert!(admitted > 0.9 * demand, "{admitted} of {demand}");
}
