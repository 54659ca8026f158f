//! Newer rules spread from the nodes that reach the log to those that do not.

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

/// One way between two nodes.
const LATENCY: Duration = Duration::from_millis(20);

/// A node of one of the services, three nodes each.
fn member(n: u16) -> Instance {
    Instance {
        service: format!("service-{}", n / 3).into(),
        ..instance(n)
    }
}

/// Engines and what is on its way to them, in the order of its arrival.
pub(super) struct Fleet {
    pub(super) now: Time,
    pub(super) engines: Vec<Engine>,
    pub(super) members: Vec<Instance>,
    /// Whether nothing gets from the first node to the second.
    pub(super) cut: Box<dyn Fn(usize, usize) -> bool>,
    /// One in so many datagrams is lost; none if it is 0.
    pub(super) loses: u64,
    /// Lines about each node's peers.
    pub(super) peer_lines: Vec<usize>,
    mail: BTreeMap<(Time, u64), (usize, Input)>,
    sent: u64,
    pub(super) fetches: usize,
}

impl Fleet {
    /// A fleet that has read the log, in which all are listed and version 1 is in force.
    fn new(size: u16) -> (Self, Vec<(u64, Bytes)>) {
        let joins = (1..=size).map(|n| Record::Join(member(n)));
        let records: Vec<Record> = joins.chain([publish(1)]).collect();
        let encoded = records
            .iter()
            .map(|record| Bytes::from(proto::encode(record)));
        let stream: Vec<(u64, Bytes)> = (0..).zip(encoded).collect();
        let mut fleet = Self::of((1..=size).map(member).collect(), Config::default);
        for node in 0..usize::from(size) {
            fleet.feed(node, Input::Records(stream.clone()));
            fleet.feed(node, Input::LogCaughtUp);
        }
        (fleet, stream)
    }

    /// A fleet of these nodes, the n-th of which has the port 7001 + n. They know nothing yet.
    pub(super) fn of(members: Vec<Instance>, cfg: impl Fn() -> Config) -> Self {
        let engines = members.iter().zip(1..).map(|(member, seed)| {
            let mut cfg = Config { seed, ..cfg() };
            cfg.membership.seed = seed;
            Engine::new(cfg, member.clone())
        });
        Self {
            now: Time::ZERO,
            engines: engines.collect(),
            peer_lines: vec![0; members.len()],
            members,
            cut: Box::new(|_, _| false),
            loses: 0,
            mail: BTreeMap::new(),
            sent: 0,
            fetches: 0,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !(self.cut)(from, to) && !(self.cut)(to, from)
    }

    fn post(&mut self, to: usize, wait: Duration, input: Input) {
        self.sent += 1;
        self.mail.insert((self.now + wait, self.sent), (to, input));
    }

    pub(super) fn feed(&mut self, node: usize, input: Input) {
        for output in self.engines[node].handle(self.now, input) {
            match output {
                Output::Datagram { to, datagram } => {
                    let from = self.members[node].addr;
                    let to = usize::from(to.port()) - 7001;
                    let lost = self.loses > 0 && self.sent % self.loses == 0;
                    self.sent += 1;
                    if self.reaches(node, to) && !lost {
                        self.post(to, LATENCY, Input::Datagram { from, datagram });
                    }
                }
                Output::FetchState { from, known } => {
                    self.fetches += 1;
                    let peer = usize::from(from.port()) - 7001;
                    let state = self.engines[peer].state_newer_than(known);
                    if let Some(state) = state.filter(|_| self.reaches(node, peer)) {
                        self.post(node, LATENCY * 4, Input::StateFetched(state));
                    }
                }
                Output::Diagnostic(Diagnostic::Peer { .. } | Diagnostic::Peers { .. }) => {
                    self.peer_lines[node] += 1;
                }
                _ => {}
            }
        }
    }

    /// Goes on to the next event or timer, at most to `end`.
    pub(super) fn step(&mut self, end: Time) {
        let timers = self.engines.iter().map(|engine| engine.next_timer());
        let timer = timers
            .zip(0..)
            .filter_map(|(due, node)| Some((due?, node)))
            .min();
        let arrival = self.mail.first_key_value().map(|(at, _)| at.0);
        match (timer, arrival) {
            (timer, Some(at)) if at <= end && timer.is_none_or(|(due, _)| at <= due) => {
                let (_, (node, input)) = self.mail.pop_first().unwrap();
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
    pub(super) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step(end);
        }
    }

    pub(super) fn lagging(&self, version: u64) -> usize {
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

/// How long version 2 takes to reach all, when only so many nodes read it from the log; and how
/// many fetches that took.
fn spread(size: u16, readers: usize, knows_outage: bool) -> (Duration, usize) {
    let (mut fleet, stream) = Fleet::new(size);
    fleet.run(Duration::from_secs(5));
    let record = (stream.len() as u64, proto::encode(&publish(2)).into());
    for node in 0..usize::from(size) {
        if node < readers {
            fleet.feed(node, Input::Records(vec![record.clone()]));
        } else if knows_outage {
            fleet.feed(node, Input::LogUnreachable);
        }
    }
    let began = fleet.now;
    let end = began + Duration::from_secs(60);
    while fleet.lagging(2) > 0 && fleet.now < end {
        fleet.step(end);
    }
    (fleet.now.since(began), fleet.fetches)
}

/// The log is slow for most nodes. Had each to wait for the log itself, callers would meet old and
/// new rules side by side for as long as that lasts.
#[test]
fn new_rules_are_in_force_everywhere_in_time() {
    for knows_outage in [true, false] {
        let (took, fetches) = spread(48, 1, knows_outage);
        assert!(took < Duration::from_secs(10), "{took:?}");
        assert!(fetches <= 3 * 48, "{fetches}");
    }
}
