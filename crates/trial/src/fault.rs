//! Faults and how they are injected.

use crate::Action;
use crate::World;
use engine::Input;
use policy::RequestRate;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;

/// A fault to inject, or the repair of one. Nodes are indices into [`World::nodes`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Kills the process; it is not restarted.
    Kill(usize),
    /// Kills the process and starts a new one at the same address.
    Restart(usize),
    /// Kills the process and its backend server, and starts a new instance at the same address.
    Replace(usize),
    /// Pauses the process for this long.
    Pause(usize, Duration),
    /// Pauses the process for this long as soon as it has decided on its next run, before the
    /// request reaches the backend server.
    PauseAtRun(usize, Duration),
    /// Resumes the process.
    Resume(usize),
    /// Shuts the process down gracefully; it is not restarted.
    Stop(usize),
    /// Starts a process if none is running.
    Start(usize),
    /// Blocks all traffic between two nodes.
    Cut(usize, usize),
    /// Blocks all traffic from the first node to the second.
    CutOneWay(usize, usize),
    /// Blocks all traffic between a region and the others.
    CutRegion(Arc<str>),
    /// Unblocks all paths between nodes.
    Heal,
    /// Open connections between two nodes deliver nothing from now on but stay open; new
    /// connections work.
    Silent(usize, usize),
    /// Resets the open connections between two nodes.
    Reset(usize, usize),
    /// Datagrams lost and datagrams duplicated, each per thousand.
    Datagrams(u32, u32),
    /// Makes the store unavailable (`true`) or available again.
    LogDown(bool),
    /// Blocks (`true`) or unblocks the path between a node and the store.
    LogCut(usize, bool),
    /// Adds this latency to each message to and from the store.
    LogSlow(Duration),
    /// Loses the responses to the next appends, though the appends take effect.
    LogLose(u32),
    /// The store drops all records but this many of the newest, and the newest of each key.
    LogExpire(usize),
    /// This many operators publish concurrently, all based on the same version.
    Publish(u32),
    /// Crashes the backend server; it is up again after a second.
    Crash(usize),
    /// The backend server names this rate limit in its responses from now on, or none any more.
    Limit(usize, Option<RequestRate>),
    /// The backend server says in its responses from now on how long work takes on its machine, in
    /// percent of the usual.
    Slowdown(usize, u16),
    /// The backend server says in its responses from now on that it is about to stop, without
    /// announcing it. It exits after some seconds, and another one starts at its address.
    Leave(usize),
    /// Multiplies the service times of the service's backend servers by this factor.
    Slow(Arc<str>, u32),
    /// Requests whose body contains this text crash each backend server that runs them.
    Poison(Arc<str>),
    /// Sends this many requests to the service, evenly spread over a second: three lookups for each
    /// order.
    Surge(Arc<str>, u32),
}

impl World {
    /// Injects a fault now.
    pub fn inject_fault(&mut self, fault: Fault) {
        self.trace_event(format!("FAULT {fault:?}"));
        match fault {
            Fault::Kill(node) => self.kill(node),
            Fault::Restart(node) => self.restart(node),
            Fault::Replace(node) => {
                self.crash_server(node);
                self.restart(node);
            }
            Fault::Pause(node, time) => {
                self.pause(node);
                self.schedule_after(time, move |world| world.inject_fault(Fault::Resume(node)));
            }
            Fault::PauseAtRun(node, time) => self.nodes[node].pause_at_run = Some(time),
            Fault::Resume(node) => self.resume(node),
            Fault::Stop(node) => self.request_stop(node),
            Fault::Start(node) => self.start(node),
            Fault::Cut(a, b) => {
                self.cut_path(a, b);
                self.cut_path(b, a);
            }
            Fault::CutOneWay(from, to) => self.cut_path(from, to),
            Fault::CutRegion(region) => self.cut_region(&region),
            Fault::Heal => self.heal_paths(),
            Fault::Silent(a, b) => {
                for connection in self.open_connections_between(a, b) {
                    self.network.connections[connection].silent = true;
                    self.schedule_silence_check(connection);
                }
            }
            Fault::Reset(a, b) => {
                for connection in self.open_connections_between(a, b) {
                    self.break_connection(connection);
                }
            }
            Fault::Datagrams(loss, duplicates) => {
                (
                    self.network.loss_per_mille,
                    self.network.duplicates_per_mille,
                ) = (loss, duplicates)
            }
            Fault::LogDown(down) => self.log.down = down,
            Fault::LogCut(node, true) => drop(self.log.cut_off_nodes.insert(node)),
            Fault::LogCut(node, false) => drop(self.log.cut_off_nodes.swap_remove(&node)),
            Fault::LogSlow(time) => self.log.extra_latency = time,
            Fault::LogLose(count) => self.log.responses_to_lose = count,
            Fault::LogExpire(keep) => self.log.expire(keep),
            Fault::Publish(_) if self.cluster.servers_announce => {
                self.external_version += 1;
                (0..self.nodes.len()).for_each(|node| self.send_external_rules(node));
            }
            Fault::Publish(operators) => self.publish_concurrently(operators),
            Fault::Crash(node) => self.crash_server(node),
            Fault::Limit(node, rate) => self.nodes[node].server.report.rate_limit = Ok(rate),
            Fault::Slowdown(node, percent) => {
                self.nodes[node].server.report.slowdown_percent = Ok(Some(percent));
            }
            Fault::Leave(node) => self.leave_by_response(node),
            Fault::Slow(service, factor) => {
                for node in self
                    .nodes
                    .iter_mut()
                    .filter(|node| node.instance.service == service)
                {
                    node.server.slow_factor = factor;
                }
            }
            Fault::Poison(body) => self.checker.poison_bodies.push(body),
            Fault::Surge(service, count) => self.schedule_surge(&service, count),
        }
    }

    fn request_stop(&mut self, node: usize) {
        let node_state = &mut self.nodes[node];
        if node_state.engine.is_none() || node_state.stop_requested_at.is_some() {
            return;
        }
        let incarnation = node_state.incarnation;
        node_state.stop_requested_at = Some(self.now);
        self.schedule_in_process(node, Duration::ZERO, move |world| {
            world.nodes[node].stop_received_at = Some(world.now);
            world.handle_input(node, incarnation, Input::Stop);
        });
    }

    fn cut_region(&mut self, region: &str) {
        let is_in_region = |node: &crate::Node| &*node.instance.region == region;
        let (a, b): (Vec<usize>, Vec<usize>) =
            (0..self.nodes.len()).partition(|node| is_in_region(&self.nodes[*node]));
        for (x, y) in a.iter().flat_map(|x| b.iter().map(move |y| (*x, *y))) {
            self.cut_path(x, y);
            self.cut_path(y, x);
        }
    }

    /// Operators that read the same version publish concurrently. The first one publishes twice, as
    /// if the response to its first append was lost.
    fn publish_concurrently(&mut self, operators: u32) {
        let running_engines = self.nodes.iter().filter_map(|node| node.engine.as_ref());
        let seen_version = running_engines
            .map(|engine| engine.rules_version())
            .max()
            .unwrap_or(0);
        for operator in 0..operators {
            let file = format!(
                "{}# by operator {operator} on {seen_version}\n",
                self.cluster.rules
            );
            let publication = self.rng.random();
            let name = format!("operator {operator}");
            self.publish(seen_version, publication, &name, &file);
            if operator == 0 {
                self.publish(seen_version, publication, &name, &file);
            }
        }
    }

    /// Schedules `count` requests to the service over the next second, three lookups for each
    /// order.
    fn schedule_surge(&mut self, service: &str, count: u32) {
        let operations = &self.cluster.operations;
        let index_of = |method: &str| {
            operations
                .iter()
                .position(|o| &*o.service == service && &*o.method == method)
        };
        let (Some(lookup), Some(order)) = (index_of("GET"), index_of("POST")) else {
            return;
        };
        for nth in 0..count {
            let operation = if nth % 4 == 0 { order } else { lookup };
            let body = format!("s{}", self.actions.len());
            let at = self.now + Duration::from_secs(1) * nth / count;
            self.submit(at, Action::new(operation, &body), None);
        }
    }
}
