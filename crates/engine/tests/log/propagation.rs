//! Newer rules propagate from the nodes that reach the log to those that do not.

use crate::driver::instance;
use bilberry_engine::Config;
use bilberry_engine::Diagnostic;
use bilberry_engine::Engine;
use bilberry_engine::Input;
use bilberry_engine::Output;
use bytes::Bytes;
use journal::Record;
use proto::Instance;
use std::collections::BTreeMap;
use std::time::Duration;
use stdx::Time;

const RULES: &str =
    "operation press GET /slots class=lookup idempotent deadline=2s # asked by Anna";

/// One-way delay between two nodes.
const LATENCY: Duration = Duration::from_millis(20);

/// Node number `n`, counted from 1. Nodes with the same `n / 3` share a service, so the first
/// service has only two nodes.
fn member(n: u16) -> Instance {
    Instance {
        service: format!("service-{}", n / 3).into(),
        ..instance(n)
    }
}

/// Engines, and the messages in transit to them in order of arrival.
pub(super) struct Fleet {
    pub(super) now: Time,
    pub(super) engines: Vec<Engine>,
    pub(super) members: Vec<Instance>,
    /// Whether the path between two nodes is cut. If this holds for them in either order, messages
    /// in both directions are lost.
    pub(super) is_cut: Box<dyn Fn(usize, usize) -> bool>,
    /// A datagram is lost if `sequence` is a multiple of this; 0 means that none is lost.
    /// `sequence` advances by two for a delivered datagram and by one for a lost one, so the share
    /// of lost datagrams is not one in this many.
    pub(super) lose_every: u64,
    /// Number of diagnostic events about peers that each node has written.
    pub(super) peer_events: Vec<usize>,
    in_transit: BTreeMap<(Time, u64), (usize, Input)>,
    sequence: u64,
    pub(super) fetches: usize,
}

impl Fleet {
    /// A fleet that has read the log, and the records of the log. All nodes are listed, and version
    /// 1 of the rules is in force.
    fn with_log_read(size: u16) -> (Self, Vec<(u64, Bytes)>) {
        let joins = (1..=size).map(|n| Record::Join(member(n)));
        let records: Vec<Record> = joins.chain([publish(1)]).collect();
        let encoded = records
            .iter()
            .map(|record| Bytes::from(proto::encode(record)));
        let stream: Vec<(u64, Bytes)> = (0..).zip(encoded).collect();
        let mut fleet = Self::from_instances((1..=size).map(member).collect(), Config::default);
        for node in 0..usize::from(size) {
            fleet.feed(node, Input::Records(stream.clone()));
            fleet.feed(node, Input::LogCaughtUp);
        }
        (fleet, stream)
    }

    /// A fleet of these nodes, which have read nothing and do not know each other yet. The node at
    /// index `i` must have port `7001 + i`.
    pub(super) fn from_instances(members: Vec<Instance>, cfg: impl Fn() -> Config) -> Self {
        let engines = members.iter().zip(1..).map(|(member, seed)| {
            let mut cfg = Config { seed, ..cfg() };
            cfg.membership.seed = seed;
            Engine::new(cfg, member.clone())
        });
        Self {
            now: Time::ZERO,
            engines: engines.collect(),
            peer_events: vec![0; members.len()],
            members,
            is_cut: Box::new(|_, _| false),
            lose_every: 0,
            in_transit: BTreeMap::new(),
            sequence: 0,
            fetches: 0,
        }
    }

    /// Whether messages between two nodes arrive, in either direction.
    fn are_connected(&self, from: usize, to: usize) -> bool {
        !(self.is_cut)(from, to) && !(self.is_cut)(to, from)
    }

    fn deliver_after(&mut self, to: usize, delay: Duration, input: Input) {
        self.sequence += 1;
        self.in_transit
            .insert((self.now + delay, self.sequence), (to, input));
    }

    pub(super) fn feed(&mut self, node: usize, input: Input) {
        for output in self.engines[node].handle(self.now, input) {
            match output {
                Output::Datagram { to, datagram } => {
                    let from = self.members[node].addr;
                    let to = usize::from(to.port()) - 7001;
                    let lost = self.lose_every > 0 && self.sequence % self.lose_every == 0;
                    self.sequence += 1;
                    if self.are_connected(node, to) && !lost {
                        self.deliver_after(to, LATENCY, Input::Datagram { from, datagram });
                    }
                }
                Output::FetchState { from, known } => {
                    self.fetches += 1;
                    let peer = usize::from(from.port()) - 7001;
                    let state = self.engines[peer].state_newer_than(known);
                    if let Some(state) = state.filter(|_| self.are_connected(node, peer)) {
                        self.deliver_after(node, LATENCY * 4, Input::StateFetched { from, state });
                    }
                }
                Output::Diagnostic(Diagnostic::Peer { .. } | Diagnostic::Peers { .. }) => {
                    self.peer_events[node] += 1;
                }
                _ => {}
            }
        }
    }

    /// Advances to the next message or timer, but not beyond `end`.
    pub(super) fn step(&mut self, end: Time) {
        let timers = self.engines.iter().map(|engine| engine.next_timer());
        let timer = timers
            .zip(0..)
            .filter_map(|(due, node)| Some((due?, node)))
            .min();
        let arrival = self.in_transit.first_key_value().map(|(at, _)| at.0);
        match (timer, arrival) {
            (timer, Some(at)) if at <= end && timer.is_none_or(|(due, _)| at <= due) => {
                let (_, (node, input)) = self.in_transit.pop_first().unwrap();
                self.now = self.now.max(at);
                self.feed(node, input);
            }
            (Some((due, node)), _) if due <= end => {
                self.now = self.now.max(due);
                self.feed(node, Input::Tick);
            }
            _ => self.now = end,
        }
    }

    /// Lets some time pass.
    pub(super) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step(end);
        }
    }

    /// The number of nodes whose rules are older than this version.
    pub(super) fn count_nodes_behind(&self, version: u64) -> usize {
        let engines = self.engines.iter();
        engines.filter(|e| e.rules_version() < version).count()
    }
}

fn publish(version: u64) -> Record {
    Record::Publish {
        version,
        publication: u128::from(version),
        operator: "anna".into(),
        file: RULES.into(),
    }
}

/// Runs a fleet in which only the first `readers` nodes read version 2 from the log. If
/// `others_see_outage`, the others are told that the log does not answer; otherwise they wait for
/// it. Returns the time until all nodes have version 2, and the number of fetches.
fn propagate(size: u16, readers: usize, others_see_outage: bool) -> (Duration, usize) {
    let (mut fleet, stream) = Fleet::with_log_read(size);
    fleet.advance(Duration::from_secs(5));
    let record = (stream.len() as u64, proto::encode(&publish(2)).into());
    for node in 0..usize::from(size) {
        if node < readers {
            fleet.feed(node, Input::Records(vec![record.clone()]));
        } else if others_see_outage {
            fleet.feed(node, Input::LogUnreachable);
        }
    }
    let started = fleet.now;
    let end = started + Duration::from_secs(60);
    while fleet.count_nodes_behind(2) > 0 && fleet.now < end {
        fleet.step(end);
    }
    (fleet.now.since(started), fleet.fetches)
}

/// The log is slow for most nodes. If each had to wait for the log itself, old and new rules would
/// be in force side by side for as long as that lasts.
#[test]
fn new_rules_reach_all_nodes_in_time() {
    for others_see_outage in [true, false] {
        let (took, fetches) = propagate(48, 1, others_see_outage);
        assert!(took < Duration::from_secs(10), "{took:?}");
        assert!(fetches <= 3 * 48, "{fetches}");
    }
}
