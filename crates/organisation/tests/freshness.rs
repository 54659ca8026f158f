//! How old the evidence of a node may be, over links that hold packets up, freezes and a store that fails.

use bilberry_organisation::Freshness;
use bilberry_organisation::FreshnessAction;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::time::Duration;
use stdx::Time;

const BOUND: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(10);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1000)
}

/// Nodes of one failure domain; the first asks the store. Each holds the version that it last saw.
struct Domain {
    now: Time,
    rng: StdRng,
    /// A node's evidence, the version that it holds, and until when it stands still.
    nodes: Vec<(Freshness, u64, Time)>,
    /// The store's newest version, and since when each version was replaced.
    newest: u64,
    replaced: Vec<Time>,
    store_down: Vec<bool>,
    events: BTreeMap<(Time, u64), Event>,
    sent: u64,
    store_calls: u64,
}

enum Event {
    Query {
        from: usize,
        to: usize,
        request_id: u64,
    },
    Report {
        to: usize,
        request_id: u64,
        version: u64,
        age: Duration,
    },
    QueryStore {
        from: usize,
        asked: Time,
    },
    Store {
        to: usize,
        asked: Time,
        version: Option<u64>,
    },
}

impl Event {
    fn node(&self) -> Option<usize> {
        match self {
            Event::Query { to, .. } | Event::Report { to, .. } | Event::Store { to, .. } => {
                Some(*to)
            }
            Event::QueryStore { .. } => None,
        }
    }
}

impl Domain {
    fn new(seed: u64, nodes: usize) -> Self {
        let node = || (Freshness::new(Some(BOUND)), 0, Time::ZERO);
        Self {
            now: at(1000),
            rng: StdRng::seed_from_u64(seed),
            nodes: (0..nodes).map(|_| node()).collect(),
            newest: 0,
            replaced: Vec::new(),
            store_down: vec![false; nodes],
            events: BTreeMap::new(),
            sent: 0,
            store_calls: 0,
        }
    }

    fn publish(&mut self) {
        self.newest += 1;
        self.replaced.push(self.now);
    }

    fn send(&mut self, event: Event) {
        let delay = match self.rng.random_bool(0.02) {
            true => self.rng.random_range(1..8000),
            false => self.rng.random_range(1..30),
        };
        self.sent += 1;
        self.events.insert((self.now + ms(delay), self.sent), event);
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            for node in 0..self.nodes.len() {
                if self.now >= self.nodes[node].2 {
                    self.tick(node);
                }
            }
            self.check();
        }
    }

    fn tick(&mut self, node: usize) {
        let now = self.now;
        for step in self.nodes[node].0.tick(now, node == 0, &mut self.rng) {
            match step {
                FreshnessAction::QueryStore => {
                    self.store_calls += 1;
                    self.send(Event::QueryStore {
                        from: node,
                        asked: now,
                    });
                }
                FreshnessAction::QueryPeer {
                    request_id,
                    attempt,
                } => {
                    let to = match attempt {
                        0 => 0,
                        _ => self.rng.random_range(0..self.nodes.len()),
                    };
                    self.send(Event::Query {
                        from: node,
                        to,
                        request_id,
                    });
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        // What comes to a node that stands still lies in its socket.
        if let Some(still) = event.node().map(|node| self.nodes[node].2) {
            if self.now < still {
                self.sent += 1;
                self.events.insert((still, self.sent), event);
                return;
            }
        }
        match event {
            Event::Query {
                from,
                to,
                request_id,
            } => {
                let (freshness, version, _) = &self.nodes[to];
                if let Some(age) = freshness.age(self.now) {
                    let version = *version;
                    self.send(Event::Report {
                        to: from,
                        request_id,
                        version,
                        age,
                    });
                }
            }
            Event::Report {
                to,
                request_id,
                version,
                age,
            } => {
                let node = &mut self.nodes[to];
                match version > node.1 {
                    true => node.1 = version,
                    false => node.0.on_report(self.now, request_id, age),
                }
            }
            Event::QueryStore { from, asked } => {
                let version = (!self.store_down[from]).then_some(self.newest);
                self.send(Event::Store {
                    to: from,
                    asked,
                    version,
                });
            }
            Event::Store { to, asked, version } => {
                let node = &mut self.nodes[to];
                match version {
                    Some(version) => {
                        node.1 = node.1.max(version);
                        node.0.on_store_confirmed(asked);
                    }
                    None => node.0.on_store_failed(self.now),
                }
            }
        }
    }

    /// No node trusts the keys of rules that were replaced longer ago than the bound.
    fn check(&self) {
        for (freshness, version, still) in &self.nodes {
            let Some(replaced) = self.replaced.get(*version as usize) else {
                continue;
            };
            let decides = self.now >= *still && freshness.may_trust(self.now);
            let age = self.now.since(*replaced);
            assert!(
                !decides || age < BOUND,
                "version {version} trusted {age:?} after it was replaced"
            );
        }
    }

    fn trusting(&self) -> usize {
        let trusting = self.nodes.iter().filter(|node| node.0.may_trust(self.now));
        trusting.count()
    }
}

#[test]
fn no_series_of_faults_lets_a_revoked_key_be_trusted_beyond_the_bound() {
    for seed in 0..100 {
        let mut domain = Domain::new(seed, 8);
        for _ in 0..20 {
            match domain.rng.random_range(0..5) {
                0 | 1 => domain.publish(),
                2 => {
                    let node = domain.rng.random_range(0..8);
                    let still = domain.rng.random_range(500..9000);
                    domain.nodes[node].2 = domain.now + ms(still);
                }
                3 => {
                    for node in 0..8 {
                        domain.store_down[node] = domain.rng.random_bool(0.4);
                    }
                }
                _ => domain.store_down = vec![false; 8],
            }
            let pause = domain.rng.random_range(100..3000);
            domain.run_for(ms(pause));
        }
    }
}

#[test]
fn all_nodes_trust_keys_while_the_store_serves_one_of_them() {
    let mut domain = Domain::new(1, 8);
    domain.run_for(ms(4000));
    for served in [0, 5] {
        domain.store_down = vec![true; 8];
        domain.store_down[served] = false;
        for _ in 0..15 {
            domain.run_for(ms(1000));
            assert_eq!(domain.trusting(), 8, "served {served}");
        }
    }
}

#[test]
fn trust_ends_in_an_outage_and_is_back_within_a_second_of_it() {
    let mut domain = Domain::new(2, 8);
    domain.run_for(ms(4000));
    domain.store_down = vec![true; 8];
    domain.run_for(ms(2900));
    assert_eq!(domain.trusting(), 8, "for what the evidence lasts");
    domain.run_for(ms(2200));
    assert_eq!(domain.trusting(), 0, "beyond it");
    domain.store_down = vec![false; 8];
    domain.run_for(ms(1000));
    assert!(domain.trusting() >= 7, "{} of 8", domain.trusting());
}

#[test]
fn calls_of_the_store_do_not_grow_with_the_nodes() {
    for nodes in [3, 60] {
        let mut domain = Domain::new(3, nodes);
        domain.run_for(ms(4000));
        domain.store_calls = 0;
        domain.run_for(ms(30_000));
        let calls = domain.store_calls;
        assert!(calls <= 30, "{nodes} nodes: {calls} calls in 30 s");
    }
}

#[test]
fn a_report_counts_from_the_time_of_the_question() {
    let mut freshness = Freshness::new(Some(BOUND));
    let mut rng = StdRng::seed_from_u64(4);
    let steps = freshness.tick(at(1000), false, &mut rng);
    let Some(FreshnessAction::QueryPeer { request_id, .. }) = steps.first().copied() else {
        panic!("{steps:?}");
    };
    // The answer lay in a socket for four seconds.
    freshness.on_report(at(5000), request_id, ms(100));
    assert_eq!(freshness.age(at(5000)), Some(ms(4100)));
}
