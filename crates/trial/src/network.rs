//! Simulated network: connections deliver frames in order but can break; datagrams can be lost,
//! delayed, duplicated and reordered.

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

/// A connection is closed after this long without traffic from the other end, as in the node
/// process.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of an attempt to connect, as in the node process.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The network between the nodes.
#[derive(Debug)]
pub struct Network {
    /// One-way latency from node to node.
    pub latency: Vec<Vec<Duration>>,
    /// Blocked directions of traffic: sender and receiver.
    pub cut_paths: IndexSet<(usize, usize)>,
    /// Datagrams lost per thousand.
    pub loss_per_mille: u32,
    /// Datagrams duplicated per thousand; the duplicate arrives late.
    pub duplicates_per_mille: u32,
    /// Total size of the frames and datagrams sent between regions, in bytes.
    pub cross_region_bytes: u64,
    /// All connections, including closed ones.
    pub connections: Vec<Connection>,
    /// The connection that each incarnation uses for each peer, as an index into `connections`.
    current_connections: IndexMap<(Incarnation, Incarnation), usize>,
    /// Attempts to connect in progress, with the frames to send once connected.
    connecting: IndexMap<(Incarnation, Incarnation), Vec<Frame>>,
}

/// A connection between two nodes.
#[derive(Debug)]
pub struct Connection {
    /// The two ends: node and incarnation.
    pub endpoints: [(usize, Incarnation); 2],
    /// The connection delivers nothing any more, though it appears open to both ends.
    pub silent: bool,
    open: bool,
    /// The arrival time of the last frame sent to each end.
    last_arrival: [Time; 2],
    /// Frames to each end that are held back because the path is blocked.
    undelivered: [Vec<Frame>; 2],
    /// After the connection broke, frames in flight to each end are delivered up to this time.
    deliver_until: [Time; 2],
}

impl Network {
    /// A network without faults.
    pub fn new(cluster: &ClusterConfig) -> Self {
        let placements = &cluster.placements;
        let row = |a: &crate::Placement| {
            let latencies = placements.iter().map(|b| {
                cluster.latency[if a.region != b.region {
                    2
                } else {
                    usize::from(a.failure_domain != b.failure_domain)
                }]
            });
            latencies.collect()
        };
        Self {
            latency: placements.iter().map(row).collect(),
            cut_paths: IndexSet::new(),
            loss_per_mille: 0,
            duplicates_per_mille: 0,
            cross_region_bytes: 0,
            connections: Vec::new(),
            current_connections: IndexMap::new(),
            connecting: IndexMap::new(),
        }
    }
}

impl World {
    /// A random latency between two nodes: up to 30 % above the configured one.
    fn sample_latency(&mut self, from: usize, to: usize) -> Duration {
        let latency = self.network.latency[from][to];
        latency.mul_f64(self.rng.random_range(1.0..1.3))
    }

    /// Sends a frame to another process, on a new connection if there is none yet.
    pub(crate) fn send_frame(&mut self, node: usize, to: Instance, frame: Frame) {
        let pair = (self.nodes[node].incarnation, to.incarnation);
        if let Some(connection) = self.network.current_connections.get(&pair).copied() {
            return self.transmit(connection, node, frame);
        }
        if let Some(queued_frames) = self.network.connecting.get_mut(&pair) {
            return queued_frames.push(frame);
        }
        self.network.connecting.insert(pair, vec![frame]);
        let target = self
            .nodes
            .iter()
            .position(|other| other.instance.addr == to.addr);
        let wait = match target {
            Some(target) if self.gets_connect_response(node, target) => {
                self.sample_latency(node, target) * 3
            }
            _ => CONNECT_TIMEOUT,
        };
        self.schedule_in_process(node, wait, move |world| {
            world.on_connect_result(node, pair.0, to)
        });
    }

    /// Whether an attempt to connect gets a response, even if only a refusal.
    fn gets_connect_response(&self, node: usize, target: usize) -> bool {
        let cut_paths = &self.network.cut_paths;
        let paths_open =
            !cut_paths.contains(&(node, target)) && !cut_paths.contains(&(target, node));
        paths_open && !self.nodes[target].paused
    }

    /// Ends an attempt to connect: sends the waiting frames, or reports the peer as unreachable.
    pub(crate) fn on_connect_result(&mut self, node: usize, from: Incarnation, to: Instance) {
        let peer = to.incarnation;
        let Some(frames) = self.network.connecting.swap_remove(&(from, peer)) else {
            return;
        };
        let target = self
            .nodes
            .iter()
            .position(|other| other.incarnation == peer);
        let target = target
            .filter(|target| self.is_running(*target) && self.gets_connect_response(node, *target));
        let Some(target) = target else {
            let input = Input::PeerUnreachable {
                peer,
                unsent: frames,
            };
            return self.handle_input(node, from, input);
        };
        if self.nodes[node].incarnation != from || self.nodes[node].engine.is_none() {
            return;
        }
        let connection = self.network.connections.len();
        self.network.connections.push(Connection {
            endpoints: [(node, from), (target, peer)],
            silent: false,
            open: true,
            last_arrival: [self.now; 2],
            undelivered: Default::default(),
            deliver_until: [self.now; 2],
        });
        for pair in [(from, peer), (peer, from)] {
            if let Some(old) = self.network.current_connections.insert(pair, connection) {
                self.break_connection(old);
            }
        }
        for frame in frames {
            self.transmit(connection, node, frame);
        }
    }

    /// Whether nothing can arrive at one end of a connection.
    fn is_blocked(&self, connection: usize, side: usize) -> bool {
        let connection = &self.network.connections[connection];
        let path = (
            connection.endpoints[1 - side].0,
            connection.endpoints[side].0,
        );
        connection.silent || self.network.cut_paths.contains(&path)
    }

    /// Sends a frame on a connection, or holds it back while the path is blocked.
    fn transmit(&mut self, connection: usize, node: usize, frame: Frame) {
        let side = usize::from(self.network.connections[connection].endpoints[0].0 == node);
        if !self.network.connections[connection].open {
            return;
        }
        if self.is_blocked(connection, side) {
            self.network.connections[connection].undelivered[side].push(frame);
            return self.schedule_silence_check(connection);
        }
        let to = self.network.connections[connection].endpoints[side].0;
        if self.nodes[node].instance.region != self.nodes[to].instance.region {
            self.network.cross_region_bytes += proto::encode(&frame).len() as u64;
        }
        let latency = self.sample_latency(node, to);
        let last_arrival = &mut self.network.connections[connection].last_arrival[side];
        let at = (self.now + latency).max(*last_arrival + Duration::from_micros(1));
        *last_arrival = at;
        self.schedule_delivery(at, connection, side, frame, false);
    }

    /// Schedules the delivery of a frame. With `after_close`, the frame is delivered even if the
    /// connection has broken by then.
    fn schedule_delivery(
        &mut self,
        at: Time,
        connection: usize,
        side: usize,
        frame: Frame,
        after_close: bool,
    ) {
        let process = self.network.connections[connection].endpoints[side].0;
        self.schedule_in_process(process, at.since(self.now), move |world| {
            world.deliver_frame(connection, side, frame, after_close);
        });
    }

    fn deliver_frame(&mut self, connection: usize, side: usize, frame: Frame, after_close: bool) {
        let connection_state = &self.network.connections[connection];
        if !connection_state.open && !after_close && self.now > connection_state.deliver_until[side]
        {
            return;
        }
        let (node, incarnation) = connection_state.endpoints[side];
        let from = connection_state.endpoints[1 - side].1;
        if let Frame::Call(call) = &frame {
            self.checker.on_arrival(&self.nodes[node], call);
            self.trace_event(format!(
                "{} receives {:?} {} {} of {}",
                self.nodes[node].name,
                call.role,
                call.id,
                call.request.path,
                String::from_utf8_lossy(&call.request.body)
            ));
        }
        self.handle_input(node, incarnation, Input::Frame { from, frame });
    }

    /// Schedules a check of a connection for the time when its ends would notice that it is silent.
    pub(crate) fn schedule_silence_check(&mut self, connection: usize) {
        let wait = IDLE_TIMEOUT + Duration::from_millis(self.rng.random_range(0..500));
        self.schedule_after(wait, move |world| world.check_silence(connection));
    }

    /// Schedules a check of all connections of a process for the time when the other ends would
    /// notice that they are silent.
    pub(crate) fn schedule_silence_checks(&mut self, of: Incarnation) {
        for connection in self.connections_of(of) {
            self.schedule_silence_check(connection);
        }
    }

    fn connections_of(&self, of: Incarnation) -> Vec<usize> {
        let all = self.network.connections.iter().enumerate();
        let open = all.filter(|(_, connection)| {
            connection.open && connection.endpoints.iter().any(|end| end.1 == of)
        });
        open.map(|(index, _)| index).collect()
    }

    /// Breaks a connection if an end is paused, frames are held back or a path is blocked.
    pub(crate) fn check_silence(&mut self, connection: usize) {
        let connection_state = &self.network.connections[connection];
        let paused = connection_state.endpoints.iter().any(|end| {
            self.nodes[end.0].paused
                && self.now.since(self.nodes[end.0].pause_changed_at) >= IDLE_TIMEOUT
        });
        let has_undelivered = connection_state
            .undelivered
            .iter()
            .any(|undelivered| !undelivered.is_empty());
        let blocked = (0..2).any(|side| self.is_blocked(connection, side));
        if paused || has_undelivered || blocked {
            self.break_connection(connection);
        }
    }

    /// Breaks a connection. Some of the frames in flight are still delivered, the others are lost.
    /// Each end notices the loss at a different time.
    pub(crate) fn break_connection(&mut self, connection: usize) {
        if !std::mem::take(&mut self.network.connections[connection].open) {
            return;
        }
        for side in 0..2 {
            let grace = Duration::from_micros(self.rng.random_range(0..40_000));
            let deliver_until = self.now + grace;
            let silent = self.network.connections[connection].silent;
            let connection_state = &mut self.network.connections[connection];
            connection_state.deliver_until[side] = deliver_until;
            let undelivered = std::mem::take(&mut connection_state.undelivered[side]);
            // Frames held back by the network may arrive after the sender has closed the
            // connection.
            if !silent && self.rng.random_bool(0.5) {
                let arriving = self.rng.random_range(0..=undelivered.len());
                let wait = Duration::from_millis(self.rng.random_range(40..3000));
                for frame in undelivered.into_iter().take(arriving) {
                    self.schedule_delivery(self.now + wait, connection, side, frame, true);
                }
            }
            let process = self.network.connections[connection].endpoints[side].0;
            let wait =
                grace + self.network.connections[connection].last_arrival[side].since(self.now);
            self.schedule_in_process(process, wait, move |world| {
                world.on_connection_lost(connection, side)
            });
        }
    }

    /// Tells one end of a broken connection that it has lost its peer.
    pub(crate) fn on_connection_lost(&mut self, connection: usize, side: usize) {
        let endpoints = self.network.connections[connection].endpoints;
        let ((node, from), (_, peer)) = (endpoints[side], endpoints[1 - side]);
        if self.network.current_connections.get(&(from, peer)) == Some(&connection) {
            self.network.current_connections.swap_remove(&(from, peer));
        }
        self.handle_input(node, from, Input::PeerLost(peer));
    }

    /// Breaks all connections of a process that was killed.
    pub(crate) fn close_connections(&mut self, of: Incarnation) {
        for connection in self.connections_of(of) {
            self.break_connection(connection);
        }
    }

    /// Closes the connections of a process that has exited: the frames it has sent still arrive.
    pub(crate) fn close_after_delivery(&mut self, of: Incarnation) {
        for connection in self.connections_of(of) {
            let last_arrival = self.network.connections[connection].last_arrival;
            self.break_connection(connection);
            self.network.connections[connection].deliver_until = last_arrival;
        }
    }

    /// The open connections between two nodes, as indices into [`Network::connections`].
    pub(crate) fn open_connections_between(&self, a: usize, b: usize) -> Vec<usize> {
        let all = self.network.connections.iter().enumerate();
        let matching = all.filter(|(_, connection)| {
            let [x, y] = [connection.endpoints[0].0, connection.endpoints[1].0];
            connection.open && ((x, y) == (a, b) || (x, y) == (b, a))
        });
        matching.map(|(index, _)| index).collect()
    }

    /// Blocks traffic from one node to another.
    pub(crate) fn cut_path(&mut self, from: usize, to: usize) {
        self.network.cut_paths.insert((from, to));
        for connection in self.open_connections_between(from, to) {
            self.schedule_silence_check(connection);
        }
    }

    /// Unblocks all paths and sends the frames that were held back on them.
    pub(crate) fn heal_paths(&mut self) {
        self.network.cut_paths.clear();
        for connection in 0..self.network.connections.len() {
            if !self.network.connections[connection].open
                || self.network.connections[connection].silent
            {
                continue;
            }
            for side in 0..2 {
                let sender = self.network.connections[connection].endpoints[1 - side].0;
                for frame in
                    std::mem::take(&mut self.network.connections[connection].undelivered[side])
                {
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
        let is_cut = self.network.cut_paths.contains(&(node, target));
        if is_cut || self.rng.random_range(0..1000) < self.network.loss_per_mille {
            return;
        }
        if self.nodes[node].instance.region != self.nodes[target].instance.region {
            self.network.cross_region_bytes += proto::encode(&datagram).len() as u64;
        }
        let latency = self.sample_latency(node, target);
        if self.rng.random_range(0..1000) < self.network.duplicates_per_mille {
            let duplicate_latency = latency + Duration::from_millis(self.rng.random_range(0..5000));
            let datagram = datagram.clone();
            self.schedule_datagram(target, duplicate_latency, from, datagram);
        }
        self.schedule_datagram(target, latency, from, datagram);
    }

    /// Fetches the state of another node. This uses a separate connection, which can only be
    /// established if the paths in both directions are open.
    pub(crate) fn fetch_state(&mut self, node: usize, addr: SocketAddr, known: SyncProgress) {
        let Some(target) = self
            .nodes
            .iter()
            .position(|other| other.instance.addr == addr)
        else {
            return;
        };
        let cut_paths = &self.network.cut_paths;
        if cut_paths.contains(&(node, target)) || cut_paths.contains(&(target, node)) {
            return;
        }
        let outbound = self.sample_latency(node, target);
        let inbound = self.sample_latency(target, node);
        self.schedule_in_process(target, outbound, move |world| {
            let engine = world.nodes[target].engine.as_ref();
            let Some(state) = engine.and_then(|engine| engine.state_newer_than(known)) else {
                return;
            };
            world.schedule_in_process(node, inbound, move |world| {
                let incarnation = world.nodes[node].incarnation;
                let input = Input::StateFetched { from: addr, state };
                world.handle_input(node, incarnation, input);
            });
        });
    }

    fn schedule_datagram(
        &mut self,
        to: usize,
        wait: Duration,
        from: SocketAddr,
        datagram: Datagram,
    ) {
        // It goes to the process that has the address at the time of arrival.
        self.schedule_in_process(to, wait, move |world| {
            let incarnation = world.nodes[to].incarnation;
            world.handle_input(to, incarnation, Input::Datagram { from, datagram });
        });
    }
}
