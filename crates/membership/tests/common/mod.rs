//! Simulates a fleet in one process with a virtual clock and network. Datagrams are delayed, and
//! some are lost or blocked.

#![allow(dead_code, reason = "each test file uses a part")]

use bilberry_membership::Config;
use bilberry_membership::Effect;
use bilberry_membership::Membership;
use proto::Datagram;
use proto::Incarnation;
use proto::Instance;
use proto::MemberMessage;
use proto::PeerState;
use proto::PROTOCOL_VERSION;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

pub struct Node {
    pub instance: Instance,
    pub members: Membership,
    pub up: bool,
    pub evictions: Vec<Incarnation>,
    /// Number of times that this node suspected a peer or learned of a suspicion.
    pub suspected: u32,
    /// Number of times that this node considered a peer dead or learned that it was.
    pub deaths: u32,
    /// Sequence number of the last ping that this node sent.
    pub last_ping: u64,
    pub sent: u64,
    pub sent_bytes: u64,
    pub cross_region_bytes: u64,
    pub largest_datagram: usize,
}

pub struct Fleet {
    pub now: Time,
    pub nodes: Vec<Node>,
    /// The fraction of all datagrams that is lost.
    pub loss_rate: f64,
    /// Whether datagrams from the first node to the second are dropped.
    pub drops: Box<dyn Fn(usize, usize) -> bool>,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    messages: Vec<Option<(SocketAddr, SocketAddr, MemberMessage)>>,
    rng: StdRng,
}

pub fn instance(number: usize, services: usize, regions: usize) -> Instance {
    Instance {
        incarnation: Incarnation(0x9E37_79B9_7F4A_7C15_u64.wrapping_mul(number as u64 + 1)),
        service: format!("service-{}", number % services).into(),
        failure_domain: format!("domain-{}", number % (regions * 3)).into(),
        region: format!("region-{}", number % regions).into(),
        addr: addr(number),
    }
}

pub fn addr(number: usize) -> SocketAddr {
    ([10, 0, (number / 250) as u8, (number % 250) as u8], 7000).into()
}

impl Fleet {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Time::from_micros(1),
            nodes: Vec::new(),
            loss_rate: 0.0,
            drops: Box::new(|_, _| false),
            queue: BinaryHeap::new(),
            messages: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// `count` nodes in two regions and two services, all listed in the log.
    pub fn listed(seed: u64, count: usize) -> Self {
        let mut fleet = Self::new(seed);
        for number in 0..count {
            fleet.start(instance(number, 2, 2), &[]);
        }
        fleet.list_all();
        fleet
    }

    pub fn start(&mut self, instance: Instance, contacts: &[usize]) -> usize {
        let cfg = Config {
            seed: self.rng.random(),
            ..Config::default()
        };
        let contacts = contacts.iter().map(|number| addr(*number)).collect();
        self.nodes.push(Node {
            members: Membership::new(cfg, instance.clone(), contacts),
            instance,
            up: true,
            evictions: Vec::new(),
            suspected: 0,
            deaths: 0,
            last_ping: 0,
            sent: 0,
            sent_bytes: 0,
            cross_region_bytes: 0,
            largest_datagram: 0,
        });
        self.nodes.len() - 1
    }

    /// All nodes read a roster that lists every node that is up.
    pub fn list_all(&mut self) {
        let up = self.nodes.iter().filter(|node| node.up);
        let roster: Vec<Instance> = up.map(|node| node.instance.clone()).collect();
        for number in 0..self.nodes.len() {
            self.set_roster(number, &roster);
        }
    }

    pub fn set_roster(&mut self, number: usize, roster: &[Instance]) {
        let effects = self.nodes[number]
            .members
            .set_roster(self.now, roster.iter());
        self.perform(number, effects);
    }

    pub fn leave(&mut self, number: usize) {
        let effects = self.nodes[number].members.leave(self.now);
        self.perform(number, effects);
    }

    /// Makes a node ping these addresses and keep them as contacts.
    pub fn add_contacts(&mut self, number: usize, addrs: &[SocketAddr]) {
        let effects = self.nodes[number].members.add_contacts(addrs);
        self.perform(number, effects);
    }

    /// Delivers a message to a node without delay.
    pub fn deliver(&mut self, to: usize, from: SocketAddr, message: MemberMessage) {
        let effects = self.nodes[to].members.on_message(self.now, from, message);
        self.perform(to, effects);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let up = self.nodes.iter().enumerate().filter(|(_, node)| node.up);
            let timers = up.filter_map(|(n, node)| Some((node.members.next_timer()?, n)));
            let timer = timers.min().map(|(at, n)| (at.max(self.now), n));
            let message = self.queue.peek().map(|Reverse((at, _, _))| *at);
            let next = timer.map(|(at, _)| at).into_iter().chain(message).min();
            let Some(next) = next.filter(|next| *next <= end) else {
                self.now = end;
                return;
            };
            self.now = next;
            if message == Some(next) {
                self.receive();
            } else if let Some((_, number)) = timer {
                let effects = self.nodes[number].members.tick(next);
                self.perform(number, effects);
            }
        }
    }

    fn receive(&mut self) {
        let Some(Reverse((_, _, index))) = self.queue.pop() else {
            return;
        };
        let Some((from, to, message)) = self.messages[index].take() else {
            return;
        };
        let receiver = |node: &Node| node.up && node.instance.addr == to;
        if let Some(number) = self.nodes.iter().position(receiver) {
            self.deliver(number, from, message);
        }
    }

    fn perform(&mut self, number: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(number, to, message),
                Effect::Evict(incarnation) => self.nodes[number].evictions.push(incarnation),
                Effect::PeerChanged { state, .. } => {
                    let node = &mut self.nodes[number];
                    node.suspected += u32::from(state == PeerState::Suspect);
                    node.deaths += u32::from(state == PeerState::Dead);
                }
                Effect::TableFull => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: MemberMessage) {
        let bytes = proto::encode(&Datagram::Member {
            version: PROTOCOL_VERSION,
            progress: proto::SyncProgress {
                rules_version: 1 << 20,
                next_offset: 1 << 20,
            },
            message: message.clone(),
        });
        let receiver = self
            .nodes
            .iter()
            .position(|node| node.up && node.instance.addr == to);
        let is_cross_region = receiver
            .is_some_and(|to| self.nodes[to].instance.region != self.nodes[from].instance.region);
        let node = &mut self.nodes[from];
        if let MemberMessage::Ping { seq, .. } = &message {
            node.last_ping = *seq;
        }
        node.sent += 1;
        node.sent_bytes += bytes.len() as u64;
        node.cross_region_bytes += if is_cross_region {
            bytes.len() as u64
        } else {
            0
        };
        node.largest_datagram = node.largest_datagram.max(bytes.len());
        let lost = self.rng.random_bool(self.loss_rate);
        if lost || receiver.is_none_or(|to| (self.drops)(from, to)) {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(500..25_000));
        let index = self.messages.len();
        self.messages
            .push(Some((self.nodes[from].instance.addr, to, message)));
        self.queue
            .push(Reverse((self.now + delay, index as u64, index)));
    }

    pub fn state(&self, observer: usize, subject: usize) -> Option<PeerState> {
        let incarnation = self.nodes[subject].instance.incarnation;
        let peer = self.nodes[observer].members.get(incarnation)?;
        Some(peer.state)
    }

    /// The distinct states that the nodes that are up assign to `subject`.
    pub fn states(&self, subject: usize) -> Vec<Option<PeerState>> {
        let observers = (0..self.nodes.len()).filter(|at| *at != subject && self.nodes[*at].up);
        let mut states: Vec<_> = observers.map(|at| self.state(at, subject)).collect();
        states.sort();
        states.dedup();
        states
    }

    /// The distinct incarnations whose eviction was requested.
    pub fn evicted(&self) -> Vec<Incarnation> {
        let evictions = self.nodes.iter().flat_map(|node| &node.evictions);
        let mut evictions: Vec<Incarnation> = evictions.copied().collect();
        evictions.sort();
        evictions.dedup();
        evictions
    }
}
