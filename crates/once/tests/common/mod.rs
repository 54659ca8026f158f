//! Simulates several homes with a virtual clock, a fake log and a fake network.

#![allow(dead_code, reason = "each test file uses a part")]

use bilberry_once::BeginResult;
use bilberry_once::Config;
use bilberry_once::Effect;
use bilberry_once::Home;
use bilberry_once::RunOutcome;
use indexmap::IndexMap;
use indexmap::IndexSet;
use journal::Departure;
use journal::View;
use proto::Fingerprint;
use proto::Incarnation;
use proto::Instance;
use proto::KeyHash;
use proto::KeyRecord;
use proto::LeaseMessage;
use proto::Response;
use proto::SlotTransfer;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

pub const FINGERPRINT: Fingerprint = Fingerprint(7);

#[derive(Debug, Clone)]
pub enum Packet {
    Lease(SocketAddr, LeaseMessage),
    Transfer(SlotTransfer),
    TransferAck(u16, u64),
    RunFinished(KeyRecord),
    RunFinishedAck(KeyHash),
    RunEnds(KeyHash, RunOutcome),
    View(usize),
}

pub struct Node {
    pub home: Home,
    pub instance: Instance,
    pub paused: bool,
    pub reads_log: bool,
    pub views_read: usize,
    /// Effects other than messages to send, in the order of their occurrence.
    pub driver_effects: Vec<Effect>,
}

/// Decides how the network delivers a packet from one node to another: one copy per returned delay;
/// an empty list loses the packet.
pub type DelayFn = Box<dyn FnMut(u64, u64, &Packet) -> Vec<Duration>>;

pub struct Cluster {
    pub now: Time,
    pub nodes: IndexMap<u64, Node>,
    pub log: Vec<View>,
    pub delays: DelayFn,
    pub run_time: Duration,
    /// Number of runs started, by key.
    pub starts: IndexMap<KeyHash, u32>,
    in_flight: BTreeMap<(Time, u64), (u64, u64, Packet)>,
    sent: u64,
    pub cfg: Config,
    /// Bytes of lease datagrams sent, by sender.
    pub lease_bytes: IndexMap<u64, usize>,
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn instance(number: u64, port: u16) -> Instance {
    Instance {
        incarnation: Incarnation(number),
        service: "press".into(),
        failure_domain: format!("domain-{}", number % 6).into(),
        region: format!("region-{}", number % 6 / 2).into(),
        addr: ([127, 0, 0, 1], port).into(),
    }
}

pub fn response() -> Response {
    Response {
        status: 200,
        headers: Vec::new(),
        body: "done".into(),
    }
}

impl Cluster {
    /// Creates a service whose members joined one after the other, and lets all moves finish.
    pub fn new(members: u64) -> Self {
        let mut cluster = Self {
            now: Time::ZERO + ms(100_000),
            nodes: IndexMap::new(),
            log: Vec::new(),
            delays: Box::new(|_, _, _| vec![ms(1)]),
            run_time: ms(50),
            starts: IndexMap::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            cfg: Config::default(),
            lease_bytes: IndexMap::new(),
        };
        for number in 1..=members {
            cluster.join(number, number as u16);
            cluster.advance(ms(500));
        }
        cluster.advance(ms(8_000));
        cluster
    }

    pub fn node(&self, number: u64) -> &Node {
        &self.nodes[&number]
    }

    pub fn home(&mut self, number: u64) -> &mut Home {
        &mut self.nodes[&number].home
    }

    /// Starts a node and lets it join. An existing member at the same address is evicted by the
    /// same view.
    pub fn join(&mut self, number: u64, port: u16) {
        let instance = instance(number, port);
        let node = Node {
            home: Home::new(self.cfg.clone(), instance.incarnation),
            instance: instance.clone(),
            paused: false,
            reads_log: true,
            views_read: 0,
            driver_effects: Vec::new(),
        };
        self.nodes.insert(number, node);
        let mut members = self.members();
        let gone = members.iter().find(|old| old.addr == instance.addr);
        let departed = gone.map(|old| (old.incarnation, Departure::Evicted));
        members.retain(|old| old.addr != instance.addr);
        members.push(instance);
        self.append(members, departed.into_iter().collect());
    }

    pub fn members(&self) -> Vec<Instance> {
        self.log
            .last()
            .map_or(Vec::new(), |view| view.members.clone())
    }

    pub fn depart(&mut self, number: u64, how: Departure) {
        let mut members = self.members();
        members.retain(|member| member.incarnation.0 != number);
        self.append(members, vec![(Incarnation(number), how)]);
    }

    /// A planned departure, up to and including its record in the log.
    pub fn leave(&mut self, number: u64) {
        let now = self.now;
        let effects = self.home(number).leave(now);
        self.apply(number, effects);
        self.depart(number, Departure::Left);
    }

    pub fn crash(&mut self, number: u64) {
        self.nodes.shift_remove(&number);
    }

    fn append(&mut self, members: Vec<Instance>, departed: Vec<(Incarnation, Departure)>) {
        let number = self.log.len() as u64 * 10;
        self.log.push(View {
            number,
            members,
            departed,
            recent_changes: Vec::new(),
        });
        self.read_log();
    }

    /// Lets all nodes that have access to the log read it.
    pub fn read_log(&mut self) {
        let all = self.log.len();
        let numbers: Vec<u64> = self.nodes.keys().copied().collect();
        for number in numbers {
            let node = &mut self.nodes[&number];
            if !node.reads_log || node.paused {
                continue;
            }
            let from = std::mem::replace(&mut node.views_read, all);
            for view in from..all {
                let view = self.log[view].clone();
                let now = self.now;
                let effects = self.home(number).on_view(now, &view);
                self.apply(number, effects);
            }
            let now = self.now;
            self.home(number).on_log_read(now);
        }
    }

    /// Makes a call with a key at a node. A run that starts completes after `self.run_time`.
    pub fn call(&mut self, number: u64, key: KeyHash, first_attempt: bool) -> BeginResult {
        let now = self.now;
        let begin = self
            .home(number)
            .begin(now, key, FINGERPRINT, first_attempt);
        if begin != BeginResult::Start {
            return begin;
        }
        let outcome = match self.home(number).start(now, key) {
            Ok(_) => {
                *self.starts.entry(key).or_default() += 1;
                RunOutcome::Done(response())
            }
            Err(_) => RunOutcome::NotRun,
        };
        self.enqueue(number, number, self.run_time, Packet::RunEnds(key, outcome));
        begin
    }

    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        loop {
            let packet = self.in_flight.keys().next().map(|(at, _)| *at);
            let awake = self.nodes.values().filter(|node| !node.paused);
            let timer = awake.filter_map(|node| node.home.next_timer()).min();
            let Some(next) = packet
                .into_iter()
                .chain(timer)
                .min()
                .filter(|at| *at <= until)
            else {
                break;
            };
            self.now = self.now.max(next);
            if packet.is_some_and(|at| at <= self.now) {
                let (_, (from, to, packet)) = self.in_flight.pop_first().unwrap();
                self.deliver(from, to, packet);
            } else {
                self.tick();
            }
        }
        self.now = until;
    }

    fn tick(&mut self) {
        let numbers: Vec<u64> = self.nodes.keys().copied().collect();
        let now = self.now;
        for number in numbers {
            let node = &mut self.nodes[&number];
            if !node.paused && node.home.next_timer().is_some_and(|due| due <= now) {
                let effects = node.home.tick(now);
                self.apply(number, effects);
            }
        }
    }

    fn deliver(&mut self, from: u64, to: u64, packet: Packet) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&to) else {
            return;
        };
        if node.paused {
            // The packet waits in the socket's buffer.
            return self.enqueue(from, to, ms(500), packet);
        }
        let sender = Incarnation(from);
        let home = &mut node.home;
        let effects = match packet {
            Packet::Lease(addr, message) => home.on_lease(now, addr, message),
            Packet::Transfer(transfer) => home.on_transfer(now, transfer),
            Packet::TransferAck(slot, view) => home.on_transfer_ack(now, sender, slot, view),
            Packet::RunFinished(record) => home.on_run_finished(now, sender, record),
            Packet::RunFinishedAck(key) => home.on_run_finished_ack(now, key),
            Packet::RunEnds(key, outcome) => home.finish(now, key, outcome),
            Packet::View(_) => Vec::new(),
        };
        self.apply(to, effects);
    }

    pub fn apply(&mut self, number: u64, effects: Vec<Effect>) {
        for effect in effects {
            let (to, packet) = match &effect {
                Effect::SendLease { to, message } => {
                    let bytes = proto::encode(message).len();
                    *self.lease_bytes.entry(number).or_default() += bytes;
                    let sender = self.nodes[&number].instance.addr;
                    let receiver = self.nodes.values().find(|node| node.instance.addr == *to);
                    (
                        receiver.map(|node| node.instance.incarnation),
                        Packet::Lease(sender, *message),
                    )
                }
                Effect::SendTransfer { to, transfer } => {
                    (Some(to.incarnation), Packet::Transfer(transfer.clone()))
                }
                Effect::AckTransfer { to, slot, view } => {
                    (Some(to.incarnation), Packet::TransferAck(*slot, *view))
                }
                Effect::SendRunFinished { to, record } => {
                    (Some(to.incarnation), Packet::RunFinished(record.clone()))
                }
                Effect::AckRunFinished { to, key } => {
                    (Some(to.incarnation), Packet::RunFinishedAck(*key))
                }
                Effect::InvariantViolation(violation) => panic!("node {number}: {violation:?}"),
                _ => {
                    self.nodes[&number].driver_effects.push(effect);
                    continue;
                }
            };
            let Some(to) = to else {
                continue;
            };
            for delay in (self.delays)(number, to.0, &packet) {
                self.enqueue(number, to.0, delay, packet.clone());
            }
        }
    }

    fn enqueue(&mut self, from: u64, to: u64, delay: Duration, packet: Packet) {
        self.sent += 1;
        let at = (self.now + delay, self.sent);
        self.in_flight.insert(at, (from, to, packet));
    }

    /// The `nth` key whose slot is at home at node `number` in the newest view.
    pub fn key_of(&self, number: u64, nth: usize) -> KeyHash {
        let members = self.members();
        let is_home = |key: &KeyHash| {
            bilberry_once::slot_home(&members, key.slot())
                .unwrap()
                .incarnation
                .0
                == number
        };
        (0..).map(KeyHash).filter(is_home).nth(nth).unwrap()
    }

    /// Number of ready slots, by node.
    pub fn ready(&self) -> Vec<(u64, usize)> {
        let ready = |(number, node): (&u64, &Node)| (*number, node.home.ready_slots());
        self.nodes.iter().map(ready).collect()
    }

    pub fn all_ready(&self) -> bool {
        let members: IndexSet<u64> = self.members().iter().map(|m| m.incarnation.0).collect();
        let ready = self
            .ready()
            .into_iter()
            .filter(|(n, _)| members.contains(n));
        ready.map(|(_, ready)| ready).sum::<usize>() == usize::from(proto::SLOT_COUNT)
    }
}
