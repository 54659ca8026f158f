//! What simulated backend servers say about themselves: heartbeats, health checks, and the rate
//! limit and the departure that they name in their responses. Checks that nodes heed them.

use crate::checker::InvariantChecker;
use crate::Fault;
use crate::Plan;
use crate::World;
use engine::Announcement;
use engine::Heartbeat;
use engine::Input;
use engine::ServerReport;
use policy::RequestRate;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

/// How often backend servers send heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time that a health check takes.
const HEALTH_CHECK_TIME: Duration = Duration::from_millis(2);

/// Time that the head of a response takes to reach the node.
const RESPONSE_TIME: Duration = Duration::from_micros(100);

/// How long nodes have to heed a server's first rate limit.
const LIMIT_GRACE: Duration = Duration::from_secs(3);

/// Length of the sliding window in which requests are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Factor by which a window may exceed what the limit allows, and the number of requests that it
/// may have in addition.
const LIMIT_TOLERANCE: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// How long a server that is about to stop still gets requests.
const DRAIN_PERIOD: Duration = Duration::from_millis(2500);

/// How long a server that has said that it is about to stop keeps running.
const LEAVE_TIME: Duration = Duration::from_secs(8);

/// What a server incarnation has told its node about itself, and the requests that reached it.
#[derive(Debug, Default)]
pub(crate) struct ReportedServer {
    /// Since when each response has named a limit.
    limited_since: Option<Time>,
    /// Each limit that a response named, with the time from which it holds. `None` is no limit.
    limits: Vec<(Time, Option<RequestRate>)>,
    /// When a response first said that the server is about to stop.
    leaving_since: Option<Time>,
    /// The requests of the last [`LIMIT_WINDOW`].
    arrivals: VecDeque<Time>,
}

impl ReportedServer {
    /// The number of requests that the limits allow between two times; `None` without a limit for a
    /// part of that time.
    fn allowed(&self, from: Time, to: Time) -> Option<f64> {
        let ends = self.limits.iter().skip(1).map(|(at, _)| *at);
        let ends = ends.chain(std::iter::once(to));
        let mut allowed = 0.0;
        for ((begin, rate), end) in self.limits.iter().zip(ends) {
            let overlap = end.min(to).since((*begin).max(from));
            if !overlap.is_zero() {
                allowed += (*rate)?.per_second() * overlap.as_secs_f64();
            }
        }
        Some(allowed)
    }
}

impl InvariantChecker {
    /// Records that a node receives a response in which its backend server reports about itself.
    fn on_server_report(&mut self, node: usize, now: Time, report: ServerReport) {
        let server = self.servers.entry(node).or_default();
        let rate = report.rate_limit.unwrap_or_default();
        match rate {
            Some(_) => _ = server.limited_since.get_or_insert(now),
            None => server.limited_since = None,
        }
        if server.limits.last().is_none_or(|(_, last)| *last != rate) {
            server.limits.push((now, rate));
        }
        if report.leaving == Ok(true) {
            server.leaving_since.get_or_insert(now);
        }
    }

    /// Records and checks that a request reaches the backend server of a node.
    pub(crate) fn on_server_arrival(&mut self, node: usize, now: Time) -> Result<(), String> {
        let server = self.servers.entry(node).or_default();
        server.arrivals.push_back(now);
        let begin = Time::ZERO + now.since(Time::ZERO).saturating_sub(LIMIT_WINDOW);
        while server.arrivals.front().is_some_and(|at| *at <= begin) {
            server.arrivals.pop_front();
        }
        let is_binding = server
            .limited_since
            .is_some_and(|since| begin >= since + LIMIT_GRACE);
        let Some(allowed) = server.allowed(begin, now).filter(|_| is_binding) else {
            return Ok(());
        };
        let allowed = allowed * LIMIT_TOLERANCE + LIMIT_SLACK;
        let arrived = server.arrivals.len();
        if arrived as f64 > allowed {
            return Err(format!(
                "the backend server of node {node} got {arrived} requests in {LIMIT_WINDOW:?}, \
                 and its limit allows {allowed:.1}"
            ));
        }
        Ok(())
    }

    /// Checks that a node may still decide to send a request to its backend server.
    pub(crate) fn on_run_decided(&mut self, node: usize, now: Time) -> Result<(), String> {
        let leaving_since = self.servers.entry(node).or_default().leaving_since;
        match leaving_since {
            Some(since) if now > since + DRAIN_PERIOD => Err(format!(
                "node {node} sends a request to its backend server {:?} after the server said that \
                 it is about to stop",
                now.since(since)
            )),
            _ => Ok(()),
        }
    }
}

impl World {
    /// The name of the current incarnation of a node's backend server.
    fn server_id(&self, node: usize) -> Arc<str> {
        format!(
            "{}.{}",
            self.nodes[node].name, self.nodes[node].server.starts
        )
        .into()
    }

    /// Starts a new incarnation of a backend server.
    pub(crate) fn start_server(&mut self, node: usize) {
        let server = &mut self.nodes[node].server;
        server.up = true;
        server.starts += 1;
        server.heartbeats = 0;
        server.report = ServerReport::default();
        self.checker.servers.swap_remove(&node);
    }

    /// Sends a heartbeat of the backend server, and schedules the next one.
    pub(crate) fn send_heartbeat(&mut self, node: usize) {
        self.schedule_after(HEARTBEAT_INTERVAL, move |world| world.send_heartbeat(node));
        let id = self.server_id(node);
        let server = &mut self.nodes[node].server;
        if !server.up {
            return;
        }
        server.heartbeats += 1;
        let heartbeat = Heartbeat {
            id,
            started_ms: server.starts,
            sequence: server.heartbeats,
            slots: server.slots() as u16,
            draining: false,
            service: self.nodes[node].instance.service.clone(),
        };
        let input = Input::Server(Announcement::Alive(heartbeat));
        self.schedule_input(node, Duration::ZERO, input);
    }

    /// Answers a health check of the backend server.
    pub(crate) fn check_health(&mut self, node: usize, id: Arc<str>) {
        let sent_at = self.nodes[node].local_time(self.now);
        let incarnation = self.nodes[node].incarnation;
        self.schedule_in_process(node, HEALTH_CHECK_TIME, move |world| {
            let is_same = world.nodes[node].server.up && world.server_id(node) == id;
            let healthy = is_same && world.nodes[node].server.report.leaving == Ok(false);
            if is_same {
                world.send_server_report(node, sent_at);
            }
            let input = Input::ServerChecked { id, healthy };
            world.handle_input(node, incarnation, input);
        });
    }

    /// Passes to the node what the backend server says about itself in a response to a request that
    /// the node sent at `sent_at` by its own clock.
    pub(crate) fn send_server_report(&mut self, node: usize, sent_at: Time) {
        if !self.cluster.servers_announce {
            return;
        }
        let report = self.nodes[node].server.report;
        let (id, incarnation) = (self.server_id(node), self.nodes[node].incarnation);
        self.schedule_in_process(node, RESPONSE_TIME, move |world| {
            // A node that was paused reads what its server said after another one has started.
            let is_same_server = world.server_id(node) == id;
            let is_running = world.nodes[node].engine.is_some();
            if is_same_server && is_running && world.nodes[node].incarnation == incarnation {
                world.checker.on_server_report(node, world.now, report);
            }
            let input = Input::ServerReport {
                id,
                sent_at,
                report,
            };
            world.handle_input(node, incarnation, input);
        });
    }

    /// Lets the backend server of a node say in its responses that it is about to stop, without
    /// announcing it.
    pub(crate) fn leave_by_response(&mut self, node: usize) {
        let starts = self.nodes[node].server.starts;
        self.nodes[node].server.report.leaving = Ok(true);
        self.schedule_after(LEAVE_TIME, move |world| {
            if world.nodes[node].server.starts == starts {
                world.crash_server(node);
            }
        });
    }
}

impl Plan {
    /// Adds random limits and departures of backend servers to the plan.
    pub fn with_server_reports(mut self, seed: u64, nodes: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x7265_706f_7274);
        for _ in 0..rng.random_range(1..8) {
            let node = rng.random_range(0..nodes);
            let at = Time::ZERO + Duration::from_millis(rng.random_range(4000..28_000));
            if rng.random_bool(0.25) {
                self.faults.push((at, Fault::Leave(node)));
                continue;
            }
            for step in 0..rng.random_range(1..4) {
                let at = at + Duration::from_secs(4) * step;
                let rate = RequestRate::from_millihertz(rng.random_range(200..12_000));
                self.faults.push((at, Fault::Limit(node, Some(rate))));
            }
            let lifted_at = Time::ZERO + Duration::from_secs(rng.random_range(30..45));
            self.faults.push((lifted_at, Fault::Limit(node, None)));
        }
        self
    }
}
