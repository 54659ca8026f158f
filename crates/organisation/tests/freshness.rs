//! Freshness of rules on simulated nodes, with delayed packets, frozen nodes and store failures.

use bilberry_organisation::Freshness;
use bilberry_organisation::FreshnessAction;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::time::Duration;
use stdx::Time;

const BOUND: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(10);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1000)
}

/// The nodes of a failure domain, each with the version that it last saw. The first is the leader.
struct Domain {
    now: Time,
    rng: StdRng,
    /// The node's evidence, the version that it holds, and the time until which it is frozen.
    nodes: Vec<(Freshness, u64, Time)>,
    /// The newest version in the store, and when each version was replaced.
    newest_version: u64,
    replaced_at: Vec<Time>,
    store_down: Vec<bool>,
    events: BTreeMap<(Time, u64), Event>,
    sent_count: u64,
    store_queries: u64,
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
        sent_at: Time,
    },
    StoreAnswer {
        to: usize,
        sent_at: Time,
        version: Option<u64>,
    },
}

impl Event {
    fn node(&self) -> Option<usize> {
        match self {
            Event::Query { to, .. } | Event::Report { to, .. } | Event::StoreAnswer { to, .. } => {
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
            newest_version: 0,
            replaced_at: Vec::new(),
            store_down: vec![false; nodes],
            events: BTreeMap::new(),
            sent_count: 0,
            store_queries: 0,
        }
    }

    fn publish(&mut self) {
        self.newest_version += 1;
        self.replaced_at.push(self.now);
    }

    fn send(&mut self, event: Event) {
        let delay = match self.rng.random_bool(0.02) {
            true => self.rng.random_range(1..8000),
            false => self.rng.random_range(1..30),
        };
        self.sent_count += 1;
        self.events
            .insert((self.now + ms(delay), self.sent_count), event);
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
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
        for action in self.nodes[node].0.tick(now, node == 0, &mut self.rng) {
            match action {
                FreshnessAction::QueryStore => {
                    self.store_queries += 1;
                    self.send(Event::QueryStore {
                        from: node,
                        sent_at: now,
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
        // Messages to a frozen node stay in its socket buffer.
        if let Some(frozen_until) = event.node().map(|node| self.nodes[node].2) {
            if self.now < frozen_until {
                self.sent_count += 1;
                self.events.insert((frozen_until, self.sent_count), event);
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
            Event::QueryStore { from, sent_at } => {
                let version = (!self.store_down[from]).then_some(self.newest_version);
                self.send(Event::StoreAnswer {
                    to: from,
                    sent_at,
                    version,
                });
            }
            Event::StoreAnswer {
                to,
                sent_at,
                version,
            } => {
                let node = &mut self.nodes[to];
                match version {
                    Some(version) => {
                        node.1 = node.1.max(version);
                        node.0.on_store_confirmed(sent_at);
                    }
                    None => node.0.on_store_failed(self.now),
                }
            }
        }
    }

    /// Asserts that no node trusts keys of rules that were replaced longer ago than the bound.
    fn check(&self) {
        for (freshness, version, frozen_until) in &self.nodes {
            let Some(replaced_at) = self.replaced_at.get(*version as usize) else {
                continue;
            };
            let trusts = self.now >= *frozen_until && freshness.may_trust(self.now);
            let age = self.now.since(*replaced_at);
            assert!(
                !trusts || age < BOUND,
                "version {version} trusted {age:?} after it was replaced"
            );
        }
    }

    fn trusting_count(&self) -> usize {
        let trusting = self.nodes.iter().filter(|node| node.0.may_trust(self.now));
        trusting.count()
    }
}

#[test]
fn revoked_key_is_never_trusted_beyond_the_bound_under_random_faults() {
    for seed in 0..100 {
        let mut domain = Domain::new(seed, 8);
        for _ in 0..20 {
            match domain.rng.random_range(0..5) {
                0 | 1 => domain.publish(),
                2 => {
                    let node = domain.rng.random_range(0..8);
                    let frozen_ms = domain.rng.random_range(500..9000);
                    domain.nodes[node].2 = domain.now + ms(frozen_ms);
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
fn all_nodes_trust_keys_while_any_one_of_them_reaches_the_store() {
    let mut domain = Domain::new(1, 8);
    domain.run_for(ms(4000));
    for connected in [0, 5] {
        domain.store_down = vec![true; 8];
        domain.store_down[connected] = false;
        for _ in 0..15 {
            domain.run_for(ms(1000));
            assert_eq!(domain.trusting_count(), 8, "connected {connected}");
        }
    }
}

#[test]
fn trust_ends_in_a_store_outage_and_returns_within_a_second() {
    let mut domain = Domain::new(2, 8);
    domain.run_for(ms(4000));
    domain.store_down = vec![true; 8];
    domain.run_for(ms(2900));
    assert_eq!(domain.trusting_count(), 8, "while the evidence is recent");
    domain.run_for(ms(2200));
    assert_eq!(domain.trusting_count(), 0, "after the evidence has expired");
    domain.store_down = vec![false; 8];
    domain.run_for(ms(1000));
    assert!(
        domain.trusting_count() >= 7,
        "{} of 8",
        domain.trusting_count()
    );
}

#[test]
fn store_queries_do_not_grow_with_the_number_of_nodes() {
    for nodes in [3, 60] {
        let mut domain = Domain::new(3, nodes);
        domain.run_for(ms(4000));
        domain.store_queries = 0;
        domain.run_for(ms(30_000));
        let queries = domain.store_queries;
        assert!(queries <= 30, "{nodes} nodes: {queries} queries in 30 s");
    }
}

#[test]
fn report_age_counts_from_when_the_query_was_sent() {
    let mut freshness = Freshness::new(Some(BOUND));
    let mut rng = StdRng::seed_from_u64(4);
    let actions = freshness.tick(at(1000), false, &mut rng);
    let Some(FreshnessAction::QueryPeer { request_id, .. }) = actions.first().copied() else {
        panic!("{actions:?}");
    };
    // The report was delayed in a socket buffer for four seconds.
    freshness.on_report(at(5000), request_id, ms(100));
    assert_eq!(freshness.age(at(5000)), Some(ms(4100)));
}
