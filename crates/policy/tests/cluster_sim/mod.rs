//! Simulation of nodes that choose among the instances of one service, in steps of a millisecond.
//! Calls and answers are delayed by the network; instances run a limited number of calls and queue
//! the rest.

#![allow(dead_code, reason = "each test uses a part")]

use bilberry_policy::Eligibility;
use bilberry_policy::InstanceSelector;
use bilberry_policy::Proximity;
use bilberry_policy::Switches;
use bilberry_policy::WorkOutcome;
use proto::Class;
use proto::Incarnation;
use proto::LoadReport;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

const LIMIT: usize = 50;
const RUN_MS: u64 = 20;
const DOMAINS: usize = 6;
const REGIONS: usize = 2;

enum Event {
    Arrive {
        server: usize,
        node: usize,
    },
    Finish {
        server: usize,
    },
    Answer {
        server: usize,
        node: usize,
        load: LoadReport,
    },
}

pub struct Server {
    pub served: u64,
    pub longest_queue: usize,
    /// The share of its work that it refuses immediately.
    pub refused_share: f64,
    /// The admission state of the node beside it, which observes how work ends.
    admission: bilberry_policy::ServerAdmission,
    running: usize,
    queue: VecDeque<usize>,
    started: VecDeque<usize>,
}

/// Nodes and servers are assigned to failure domains in rotation, and failure domains to regions.
pub struct ClusterSim {
    pub now: u64,
    pub servers: Vec<Server>,
    /// Calls that went to another region.
    pub cross_region: u64,
    /// Calls that went to another failure domain of the same region.
    pub cross_domain: u64,
    pub calls: u64,
    /// Calls that a server refused.
    pub refused: u64,
    switches: Switches,
    nodes: Vec<InstanceSelector>,
    service: Arc<str>,
    events: BTreeMap<u64, Vec<Event>>,
    rng: StdRng,
}

fn region(number: usize) -> usize {
    number % DOMAINS % REGIONS
}

fn proximity(a: usize, b: usize) -> Proximity {
    if a % DOMAINS == b % DOMAINS {
        Proximity::SameDomain
    } else if region(a) == region(b) {
        Proximity::SameRegion
    } else {
        Proximity::OtherRegion
    }
}

impl ClusterSim {
    pub fn new(nodes: usize, servers: usize) -> Self {
        Self::with_switches(nodes, servers, Switches::ALL)
    }

    pub fn with_switches(nodes: usize, servers: usize, switches: Switches) -> Self {
        let mut sim = Self {
            now: 0,
            servers: Vec::new(),
            cross_region: 0,
            cross_domain: 0,
            calls: 0,
            refused: 0,
            switches,
            nodes: (0..nodes).map(|_| InstanceSelector::new()).collect(),
            service: "press".into(),
            events: BTreeMap::new(),
            rng: StdRng::seed_from_u64(1),
        };
        for _ in 0..servers {
            sim.start_server();
        }
        sim
    }

    pub fn start_server(&mut self) {
        let server = self.servers.len();
        self.servers.push(Server {
            served: 0,
            longest_queue: 0,
            refused_share: 0.0,
            admission: bilberry_policy::ServerAdmission::new(
                self.switches,
                1,
                LIMIT as u16,
                Duration::ZERO,
            ),
            running: 0,
            queue: VecDeque::new(),
            started: VecDeque::new(),
        });
        let now = self.time();
        for (number, node) in self.nodes.iter_mut().enumerate() {
            let proximity = proximity(number, server);
            let id = Incarnation(server as u64);
            node.set_instance(now, id, &self.service, proximity, Eligibility::Ready);
        }
    }

    /// Resets the counters before the measured part of a simulation.
    pub fn reset_counters(&mut self) {
        (
            self.cross_region,
            self.cross_domain,
            self.calls,
            self.refused,
        ) = (0, 0, 0, 0);
        for server in &mut self.servers {
            (server.served, server.longest_queue) = (0, 0);
        }
    }

    /// Runs with the demand given as a share of the capacity of all servers. Region 0 has the share
    /// `skew` of the demand.
    pub fn run(&mut self, millis: u64, demand: f64, skew: f64) {
        let capacity = (self.servers.len() * LIMIT) as f64 / RUN_MS as f64;
        let region_share = |number| {
            if region(number) == 0 {
                skew
            } else {
                1.0 - skew
            }
        };
        let weights: Vec<f64> = (0..self.nodes.len()).map(region_share).collect();
        let sum: f64 = weights.iter().sum();
        for _ in 0..millis {
            self.now += 1;
            for event in self.events.remove(&self.now).unwrap_or_default() {
                self.on_event(event);
            }
            for (node, weight) in weights.iter().enumerate() {
                let mut rate = capacity * demand * weight / sum;
                while rate > 0.0 {
                    if self.rng.random_bool(rate.min(1.0)) {
                        self.call(node);
                    }
                    rate -= 1.0;
                }
            }
        }
    }

    fn call(&mut self, node: usize) {
        let now = self.time();
        let chosen = self.nodes[node].choose(now, "press", &[], &mut self.rng);
        let server = chosen.expect("there are servers").0 as usize;
        self.nodes[node].on_sent(Incarnation(server as u64));
        self.calls += 1;
        match proximity(node, server) {
            Proximity::SameDomain => {}
            Proximity::SameRegion => self.cross_domain += 1,
            Proximity::OtherRegion => self.cross_region += 1,
        }
        self.after(latency(node, server), Event::Arrive { server, node });
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrive { server, node } => {
                let refused_share = self.servers[server].refused_share;
                if refused_share > 0.0 && self.rng.random_bool(refused_share) {
                    self.refused += 1;
                    return self.answer(server, node, WorkOutcome::Refused);
                }
                let state = &mut self.servers[server];
                state.queue.push_back(node);
                state.longest_queue = state.longest_queue.max(state.queue.len());
                self.start(server);
            }
            Event::Finish { server } => {
                let state = &mut self.servers[server];
                state.running -= 1;
                state.served += 1;
                let node = state.started.pop_front().expect("a call was started");
                let took = Duration::from_millis(RUN_MS);
                self.answer(
                    server,
                    node,
                    WorkOutcome::Completed {
                        elapsed: took,
                        own_time: took,
                    },
                );
                self.start(server);
            }
            Event::Answer { server, node, load } => {
                let (now, id) = (self.time(), Incarnation(server as u64));
                self.nodes[node].on_ended(id);
                self.nodes[node].on_report(now, id, load);
            }
        }
    }

    fn answer(&mut self, server: usize, node: usize, outcome: WorkOutcome) {
        let now = self.time();
        let state = &mut self.servers[server];
        state.admission.on_finished(now, Class::Lookup, outcome);
        let load = (state.running + state.queue.len()) * 1000 / LIMIT;
        let load = LoadReport {
            utilisation: load.min(usize::from(u16::MAX)) as u16,
            penalty: state.admission.report().penalty,
            limit: LIMIT as u16,
            ..LoadReport::default()
        };
        self.after(latency(node, server), Event::Answer { server, node, load });
    }

    fn start(&mut self, server: usize) {
        while self.servers[server].running < LIMIT {
            let Some(node) = self.servers[server].queue.pop_front() else {
                return;
            };
            self.servers[server].running += 1;
            self.servers[server].started.push_back(node);
            self.after(RUN_MS, Event::Finish { server });
        }
    }

    fn after(&mut self, millis: u64, event: Event) {
        let at = self.now + millis.max(1);
        self.events.entry(at).or_default().push(event);
    }

    fn time(&self) -> Time {
        Time::ZERO + Duration::from_millis(self.now)
    }

    /// The calls served by the busiest server, as a multiple of an equal share.
    pub fn max_share_ratio(&self) -> f64 {
        let total: u64 = self.servers.iter().map(|server| server.served).sum();
        let max = self.servers.iter().map(|server| server.served).max();
        max.unwrap_or(0) as f64 * self.servers.len() as f64 / total as f64
    }

    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.calls as f64
    }

    pub fn cross_region_share(&self) -> f64 {
        self.cross_region as f64 / self.calls as f64
    }

    pub fn cross_domain_share(&self) -> f64 {
        self.cross_domain as f64 / self.calls as f64
    }

    pub fn longest_queue(&self) -> usize {
        let queues = self.servers.iter().map(|server| server.longest_queue);
        queues.max().unwrap_or(0)
    }
}

fn latency(node: usize, server: usize) -> u64 {
    match proximity(node, server) {
        Proximity::SameDomain | Proximity::SameRegion => 1,
        Proximity::OtherRegion => 20,
    }
}
