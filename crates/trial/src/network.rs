//! The network's fake: connections that keep their order and may be lost, datagrams that may do
//! anything.

use crate::ClusterConfig;
use crate::World;
use engine::Input;
use indexmap::IndexMap;
use indexmap::IndexSet;
use proto::Datagram;
use proto::Frame;
use proto::Incarnation;
use proto::Instance;
use proto::SyncProgress;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

/// How long the other end may be silent before a connection is given up, as in the shell.
const SILENT_AFTER: Duration = Duration::from_secs(2);

/// How long connecting may take, as in the shell.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What is between nodes.
#[derive(Debug)]
pub struct Network {
    /// One-way latency from node to node.
    pub latency: Vec<Vec<Duration>>,
    /// Ways on which nothing arrives: from, to.
    pub cut: IndexSet<(usize, usize)>,
    /// Datagrams in a thousand that are lost.
    pub loss: u32,
    /// Datagrams in a thousand that come twice, the second time late.
    pub twice: u32,
    /// Bytes of frames and datagrams between regions.
    pub cross_region_bytes: u64,
    /// Connections, those that are gone included.
    pub connections: Vec<Connection>,
    links: IndexMap<(Incarnation, Incarnation), usize>,
    dialling: IndexMap<(Incarnation, Incarnation), Vec<Frame>>,
}

/// One connection.
#[derive(Debug)]
pub struct Connection {
    /// Its two ends.
    pub ends: [(usize, Incarnation); 2],
    /// Nothing arrives on it any more, though the ends think it open.
    pub silent: bool,
    open: bool,
    /// When the last frame arrives at each end.
    last: [Time; 2],
    /// Frames on their way to each end that do not get through now.
    held: [Vec<Frame>; 2],
    /// Frames in flight to each end arrive up to here after it broke.
    until: [Time; 2],
}

impl Network {
    /// A network without faults.
    pub fn new(cluster: &ClusterConfig) -> Self {
        let placements = &cluster.placements;
        let row = |a: &crate::Placement| {
            let to = placements.iter().map(|b| {
                cluster.latency[if a.region != b.region {
                    2
                } else {
                    usize::from(a.failure_domain != b.failure_domain)
                }]
            });
            to.collect()
        };
        Self {
            latency: placements.iter().map(row).collect(),
            cut: IndexSet::new(),
            loss: 0,
            twice: 0,
            cross_region_bytes: 0,
            connections: Vec::new(),
            links: IndexMap::new(),
            dialling: IndexMap::new(),
        }
    }
}

impl World {
    fn travel(&mut self, from: usize, to: usize) -> Duration {
        let latency = self.network.latency[from][to];
        latency.mul_f64(self.rng.random_range(1.0..1.3))
    }

    pub(crate) fn send(&mut self, node: usize, to: Instance, frame: Frame) {
        let pair = (self.nodes[node].incarnation, to.incarnation);
        if let Some(connection) = self.network.links.get(&pair).copied() {
            return self.transmit(connection, node, frame);
        }
        if let Some(waiting) = self.network.dialling.get_mut(&pair) {
            return waiting.push(frame);
        }
        self.network.dialling.insert(pair, vec![frame]);
        let target = self
            .nodes
            .iter()
            .position(|other| other.instance.addr == to.addr);
        let wait = match target {
            Some(target) if self.answers_dial(node, target) => self.travel(node, target) * 3,
            _ => CONNECT_TIMEOUT,
        };
        self.schedule_in_process(node, wait, move |world| world.on_dialled(node, pair.0, to));
    }

    /// Whether an attempt to connect gets any answer, be it a refusal.
    fn answers_dial(&self, node: usize, target: usize) -> bool {
        let cut = &self.network.cut;
        let way = !cut.contains(&(node, target)) && !cut.contains(&(target, node));
        way && !self.nodes[target].paused
    }

    pub(crate) fn on_dialled(&mut self, node: usize, from: Incarnation, to: Instance) {
        let peer = to.incarnation;
        let Some(frames) = self.network.dialling.swap_remove(&(from, peer)) else {
            return;
        };
        let target = self
            .nodes
            .iter()
            .position(|other| other.incarnation == peer);
        let target =
            target.filter(|target| self.is_running(*target) && self.answers_dial(node, *target));
        let Some(target) = target else {
            let input = Input::PeerUnreachable {
                peer,
                unsent: frames,
            };
            return self.feed(node, from, input);
        };
        if self.nodes[node].incarnation != from || self.nodes[node].engine.is_none() {
            return;
        }
        let connection = self.network.connections.len();
        self.network.connections.push(Connection {
            ends: [(node, from), (target, peer)],
            silent: false,
            open: true,
            last: [self.now; 2],
            held: Default::default(),
            until: [self.now; 2],
        });
        for pair in [(from, peer), (peer, from)] {
            if let Some(old) = self.network.links.insert(pair, connection) {
                self.break_off(old);
            }
        }
        for frame in frames {
            self.transmit(connection, node, frame);
        }
    }

    fn is_blocked(&self, connection: usize, to: usize) -> bool {
        let connection = &self.network.connections[connection];
        let way = (connection.ends[1 - to].0, connection.ends[to].0);
        connection.silent || self.network.cut.contains(&way)
    }

    fn transmit(&mut self, connection: usize, node: usize, frame: Frame) {
        let side = usize::from(self.network.connections[connection].ends[0].0 == node);
        if !self.network.connections[connection].open {
            return;
        }
        if self.is_blocked(connection, side) {
            self.network.connections[connection].held[side].push(frame);
            return self.watch(connection);
        }
        let to = self.network.connections[connection].ends[side].0;
        if self.nodes[node].instance.region != self.nodes[to].instance.region {
            self.network.cross_region_bytes += proto::encode(&frame).len() as u64;
        }
        let travel = self.travel(node, to);
        let last = &mut self.network.connections[connection].last[side];
        let at = (self.now + travel).max(*last + Duration::from_micros(1));
        *last = at;
        self.arrive(at, connection, side, frame, false);
    }

    fn arrive(&mut self, at: Time, connection: usize, side: usize, frame: Frame, late: bool) {
        let process = self.network.connections[connection].ends[side].0;
        self.schedule_in_process(process, at.since(self.now), move |world| {
            world.on_arrive(connection, side, frame, late);
        });
    }

    fn on_arrive(&mut self, connection: usize, side: usize, frame: Frame, late: bool) {
        let wire = &self.network.connections[connection];
        if !wire.open && !late && self.now > wire.until[side] {
            return;
        }
        let (node, incarnation) = wire.ends[side];
        let from = wire.ends[1 - side].1;
        if let Frame::Call(call) = &frame {
            self.checker.on_arrival(&self.nodes[node], call);
            self.note(format!(
                "{} gets {:?} {} {} of {}",
                self.nodes[node].name,
                call.role,
                call.id,
                call.request.path,
                String::from_utf8_lossy(&call.request.body)
            ));
        }
        self.feed(node, incarnation, Input::Frame { from, frame });
    }

    /// Looks at a connection again when its ends would notice that it is silent.
    pub(crate) fn watch(&mut self, connection: usize) {
        let wait = SILENT_AFTER + Duration::from_millis(self.rng.random_range(0..500));
        self.schedule_after(wait, move |world| world.on_silent(connection));
    }

    /// Has all connections of a process looked at.
    pub(crate) fn watch_all(&mut self, of: Incarnation) {
        for connection in self.connections_of(of) {
            self.watch(connection);
        }
    }

    fn connections_of(&self, of: Incarnation) -> Vec<usize> {
        let all = self.network.connections.iter().enumerate();
        let open = all.filter(|(_, wire)| wire.open && wire.ends.iter().any(|end| end.1 == of));
        open.map(|(at, _)| at).collect()
    }

    pub(crate) fn on_silent(&mut self, connection: usize) {
        let wire = &self.network.connections[connection];
        let paused = wire.ends.iter().any(|end| {
            self.nodes[end.0].paused && self.now.since(self.nodes[end.0].moved) >= SILENT_AFTER
        });
        let stuck = wire.held.iter().any(|held| !held.is_empty());
        let blocked = (0..2).any(|side| self.is_blocked(connection, side));
        if paused || stuck || blocked {
            self.break_off(connection);
        }
    }

    /// A connection is gone: some of what is on its way still arrives, the rest never does, and
    /// each end notices in its own time.
    pub(crate) fn break_off(&mut self, connection: usize) {
        if !std::mem::take(&mut self.network.connections[connection].open) {
            return;
        }
        for side in 0..2 {
            let grace = Duration::from_micros(self.rng.random_range(0..40_000));
            let until = self.now + grace;
            let silent = self.network.connections[connection].silent;
            let wire = &mut self.network.connections[connection];
            wire.until[side] = until;
            let held = std::mem::take(&mut wire.held[side]);
            // What the network still held may come through after the sender has given up.
            if !silent && self.rng.random_bool(0.5) {
                let arrives = self.rng.random_range(0..=held.len());
                let wait = Duration::from_millis(self.rng.random_range(40..3000));
                for frame in held.into_iter().take(arrives) {
                    self.arrive(self.now + wait, connection, side, frame, true);
                }
            }
            let process = self.network.connections[connection].ends[side].0;
            let wait = grace + self.network.connections[connection].last[side].since(self.now);
            self.schedule_in_process(process, wait, move |world| world.on_lost(connection, side));
        }
    }

    pub(crate) fn on_lost(&mut self, connection: usize, side: usize) {
        let ends = self.network.connections[connection].ends;
        let ((node, from), (_, peer)) = (ends[side], ends[1 - side]);
        if self.network.links.get(&(from, peer)) == Some(&connection) {
            self.network.links.swap_remove(&(from, peer));
        }
        self.feed(node, from, Input::PeerLost(peer));
    }

    /// The process is gone and its connections with it.
    pub(crate) fn close_all(&mut self, of: Incarnation) {
        for connection in self.connections_of(of) {
            self.break_off(connection);
        }
    }

    /// The process has ended of itself: what it has sent still arrives.
    pub(crate) fn close_after_flush(&mut self, of: Incarnation) {
        for connection in self.connections_of(of) {
            let last = self.network.connections[connection].last;
            self.break_off(connection);
            self.network.connections[connection].until = last;
        }
    }

    /// Breaks all connections between two nodes.
    pub(crate) fn between(&self, a: usize, b: usize) -> Vec<usize> {
        let all = self.network.connections.iter().enumerate();
        let fits = all.filter(|(_, wire)| {
            let [x, y] = [wire.ends[0].0, wire.ends[1].0];
            wire.open && ((x, y) == (a, b) || (x, y) == (b, a))
        });
        fits.map(|(at, _)| at).collect()
    }

    /// Nothing arrives from one node at the other any more.
    pub(crate) fn cut(&mut self, from: usize, to: usize) {
        self.network.cut.insert((from, to));
        for connection in self.between(from, to) {
            self.watch(connection);
        }
    }

    /// All ways are open again; what was held on them arrives.
    pub(crate) fn heal(&mut self) {
        self.network.cut.clear();
        for connection in 0..self.network.connections.len() {
            if !self.network.connections[connection].open
                || self.network.connections[connection].silent
            {
                continue;
            }
            for side in 0..2 {
                let sender = self.network.connections[connection].ends[1 - side].0;
                for frame in std::mem::take(&mut self.network.connections[connection].held[side]) {
                    self.transmit(connection, sender, frame);
                }
            }
        }
    }

    pub(crate) fn send_datagram(&mut self, node: usize, to: SocketAddr, datagram: Datagram) {
        let from = self.nodes[node].instance.addr;
        let Some(target) = self
            .nodes
            .iter()
            .position(|other| other.instance.addr == to)
        else {
            return;
        };
        let lost = self.network.cut.contains(&(node, target));
        if lost || self.rng.random_range(0..1000) < self.network.loss {
            return;
        }
        if self.nodes[node].instance.region != self.nodes[target].instance.region {
            self.network.cross_region_bytes += proto::encode(&datagram).len() as u64;
        }
        let travel = self.travel(node, target);
        if self.rng.random_range(0..1000) < self.network.twice {
            let late = travel + Duration::from_millis(self.rng.random_range(0..5000));
            let datagram = datagram.clone();
            self.datagram_after(target, late, from, datagram);
        }
        self.datagram_after(target, travel, from, datagram);
    }

    /// A connection of its own, which comes about only if both ways are open.
    pub(crate) fn fetch_state(&mut self, node: usize, addr: SocketAddr, known: SyncProgress) {
        let Some(target) = self
            .nodes
            .iter()
            .position(|other| other.instance.addr == addr)
        else {
            return;
        };
        let cut = &self.network.cut;
        if cut.contains(&(node, target)) || cut.contains(&(target, node)) {
            return;
        }
        let there = self.travel(node, target);
        let back = self.travel(target, node);
        self.schedule_in_process(target, there, move |world| {
            let engine = world.nodes[target].engine.as_ref();
            let Some(state) = engine.and_then(|engine| engine.state_newer_than(known)) else {
                return;
            };
            world.schedule_in_process(node, back, move |world| {
                let incarnation = world.nodes[node].incarnation;
                world.feed(node, incarnation, Input::StateFetched(state));
            });
        });
    }

    fn datagram_after(&mut self, to: usize, wait: Duration, from: SocketAddr, datagram: Datagram) {
        // Whoever is at the address when it arrives gets it.
        self.schedule_in_process(to, wait, move |world| {
            let incarnation = world.nodes[to].incarnation;
            world.feed(to, incarnation, Input::Datagram { from, datagram });
        });
    }
}
