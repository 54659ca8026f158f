//! Many nodes that choose among the instances of one service, in steps of a millisecond: calls and
//! answers take their way, instances run a bounded number of calls and queue the rest.

#![allow(dead_code, reason = "each user takes a part")]

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
const TAKES_MS: u64 = 20;
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
    /// The share of its work that it refuses, at once.
    pub refuses: f64,
    /// What the node beside it learns of how its work ends.
    door: bilberry_policy::ServerAdmission,
    running: usize,
    queue: VecDeque<usize>,
    started: VecDeque<usize>,
}

/// Nodes and servers in rotation over the failure domains; regions hold every second one.
pub struct Many {
    pub now: u64,
    pub servers: Vec<Server>,
    /// Calls that went to another region.
    pub far: u64,
    /// Calls that went to another failure domain of the same region.
    pub next: u64,
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

fn place(a: usize, b: usize) -> Proximity {
    if a % DOMAINS == b % DOMAINS {
        Proximity::SameDomain
    } else if region(a) == region(b) {
        Proximity::SameRegion
    } else {
        Proximity::OtherRegion
    }
}

impl Many {
    pub fn new(nodes: usize, servers: usize) -> Self {
        Self::with_switches(nodes, servers, Switches::ALL)
    }

    pub fn with_switches(nodes: usize, servers: usize, switches: Switches) -> Self {
        let mut many = Self {
            now: 0,
            servers: Vec::new(),
            far: 0,
            next: 0,
            calls: 0,
            refused: 0,
            switches,
            nodes: (0..nodes).map(|_| InstanceSelector::new()).collect(),
            service: "press".into(),
            events: BTreeMap::new(),
            rng: StdRng::seed_from_u64(1),
        };
        for _ in 0..servers {
            many.start_server();
        }
        many
    }

    pub fn start_server(&mut self) {
        let server = self.servers.len();
        self.servers.push(Server {
            served: 0,
            longest_queue: 0,
            refuses: 0.0,
            door: bilberry_policy::ServerAdmission::new(
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
            let place = place(number, server);
            let id = Incarnation(server as u64);
            node.set_instance(now, id, &self.service, place, Eligibility::Ready);
        }
    }

    /// Forgets what was counted, for the part of a run that is looked at.
    pub fn reset(&mut self) {
        (self.far, self.next, self.calls, self.refused) = (0, 0, 0, 0);
        for server in &mut self.servers {
            (server.served, server.longest_queue) = (0, 0);
        }
    }

    /// Runs with the demand given as a part of all servers' capacity, of which region 0 has `skew`.
    pub fn run(&mut self, millis: u64, demand: f64, skew: f64) {
        let capacity = (self.servers.len() * LIMIT) as f64 / TAKES_MS as f64;
        let of_region = |number| {
            if region(number) == 0 {
                skew
            } else {
                1.0 - skew
            }
        };
        let weights: Vec<f64> = (0..self.nodes.len()).map(of_region).collect();
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
        match place(node, server) {
            Proximity::SameDomain => {}
            Proximity::SameRegion => self.next += 1,
            Proximity::OtherRegion => self.far += 1,
        }
        self.after(latency(node, server), Event::Arrive { server, node });
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrive { server, node } => {
                let refuses = self.servers[server].refuses;
                if refuses > 0.0 && self.rng.random_bool(refuses) {
                    self.refused += 1;
                    return self.answer(server, node, WorkOutcome::Refused);
                }
                let at = &mut self.servers[server];
                at.queue.push_back(node);
                at.longest_queue = at.longest_queue.max(at.queue.len());
                self.start(server);
            }
            Event::Finish { server } => {
                let at = &mut self.servers[server];
                at.running -= 1;
                at.served += 1;
                let node = at.started.pop_front().expect("it was started");
                let took = Duration::from_millis(TAKES_MS);
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

    fn answer(&mut self, server: usize, node: usize, ended: WorkOutcome) {
        let now = self.time();
        let at = &mut self.servers[server];
        at.door.on_finished(now, Class::Lookup, ended);
        let load = (at.running + at.queue.len()) * 1000 / LIMIT;
        let load = LoadReport {
            utilisation: load.min(usize::from(u16::MAX)) as u16,
            penalty: at.door.report().penalty,
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
            self.after(TAKES_MS, Event::Finish { server });
        }
    }

    fn after(&mut self, millis: u64, event: Event) {
        let at = self.now + millis.max(1);
        self.events.entry(at).or_default().push(event);
    }

    fn time(&self) -> Time {
        Time::ZERO + Duration::from_millis(self.now)
    }

    /// The busiest server's part of the calls, as a multiple of an equal share.
    pub fn most_over_share(&self) -> f64 {
        let all: u64 = self.servers.iter().map(|server| server.served).sum();
        let most = self.servers.iter().map(|server| server.served).max();
        most.unwrap_or(0) as f64 * self.servers.len() as f64 / all as f64
    }

    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.calls as f64
    }

    pub fn far_share(&self) -> f64 {
        self.far as f64 / self.calls as f64
    }

    pub fn next_share(&self) -> f64 {
        self.next as f64 / self.calls as f64
    }

    pub fn longest_queue(&self) -> usize {
        let queues = self.servers.iter().map(|server| server.longest_queue);
        queues.max().unwrap_or(0)
    }
}

fn latency(node: usize, server: usize) -> u64 {
    match place(node, server) {
        Proximity::SameDomain | Proximity::SameRegion => 1,
        Proximity::OtherRegion => 20,
    }
}
