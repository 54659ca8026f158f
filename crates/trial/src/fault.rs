//! What goes wrong, in memory and as text.

use crate::Action;
use crate::World;
use engine::Input;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;

/// One thing that goes wrong, or is mended. Nodes are indices into [`World::nodes`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The process ends at once; it does not come back by itself.
    Kill(usize),
    /// The process ends at once, and a new one starts at its address.
    Restart(usize),
    /// The instance ends at once, its backend server with it, and a new one takes its place.
    Replace(usize),
    /// The process is frozen for this long.
    Pause(usize, Duration),
    /// The process is frozen for this long when it has next decided to run something, before that
    /// reaches the backend server.
    PauseAtRun(usize, Duration),
    /// The process is set free.
    Resume(usize),
    /// A graceful shutdown; a new process starts this long after it.
    Stop(usize),
    /// The process starts, if none runs.
    Start(usize),
    /// Nothing passes between two nodes.
    Cut(usize, usize),
    /// Nothing passes from the first to the second.
    CutOneWay(usize, usize),
    /// Nothing passes between two regions.
    CutRegion(Arc<str>),
    /// Every cut way is open again.
    Heal,
    /// Open connections between two nodes go silent for good; new ones work.
    Silent(usize, usize),
    /// Open connections between two nodes break.
    Reset(usize, usize),
    /// Datagrams in a thousand that are lost, and that come twice.
    Datagrams(u32, u32),
    /// The store is away, or up again.
    LogDown(bool),
    /// The node does not reach the store, or reaches it again.
    LogCut(usize, bool),
    /// Each answer of the store takes this much longer.
    LogSlow(Duration),
    /// The answers of the next appends are lost after the appends took effect.
    LogLose(u32),
    /// The store forgets all but this many records and the newest of each key.
    LogExpire(usize),
    /// This many operators publish on top of the same version.
    Publish(u32),
    /// The backend server crashes and comes back after a second.
    Crash(usize),
    /// The backend servers of a service take this many times longer.
    Slow(Arc<str>, u32),
    /// Requests with this in their body crash each backend server that runs them.
    Poison(Arc<str>),
    /// This many lookups and orders of the service, evenly over a second.
    Surge(Arc<str>, u32),
}

impl World {
    /// Has a fault happen now.
    pub fn inject_fault(&mut self, fault: Fault) {
        self.note(format!("FAULT {fault:?}"));
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
            Fault::Stop(node) => self.stop(node),
            Fault::Start(node) => self.start(node),
            Fault::Cut(a, b) => {
                self.cut(a, b);
                self.cut(b, a);
            }
            Fault::CutOneWay(from, to) => self.cut(from, to),
            Fault::CutRegion(region) => self.cut_region(&region),
            Fault::Heal => self.heal(),
            Fault::Silent(a, b) => {
                for connection in self.between(a, b) {
                    self.network.connections[connection].silent = true;
                    self.watch(connection);
                }
            }
            Fault::Reset(a, b) => {
                for connection in self.between(a, b) {
                    self.break_off(connection);
                }
            }
            Fault::Datagrams(loss, twice) => {
                (self.network.loss, self.network.twice) = (loss, twice)
            }
            Fault::LogDown(down) => self.log.down = down,
            Fault::LogCut(node, true) => drop(self.log.cut.insert(node)),
            Fault::LogCut(node, false) => drop(self.log.cut.swap_remove(&node)),
            Fault::LogSlow(time) => self.log.slow = time,
            Fault::LogLose(answers) => self.log.lose_answers = answers,
            Fault::LogExpire(keep) => self.log.expire(keep),
            Fault::Publish(operators) => self.race(operators),
            Fault::Crash(node) => self.crash_server(node),
            Fault::Slow(service, times) => {
                for node in self
                    .nodes
                    .iter_mut()
                    .filter(|node| node.instance.service == service)
                {
                    node.server.slow_factor = times;
                }
            }
            Fault::Poison(body) => self.checker.poison.push(body),
            Fault::Surge(service, count) => self.surge(&service, count),
        }
    }

    fn stop(&mut self, node: usize) {
        let place = &mut self.nodes[node];
        if place.engine.is_none() || place.stopping.is_some() {
            return;
        }
        let from = place.incarnation;
        place.stopping = Some(self.now);
        self.schedule_in_process(node, Duration::ZERO, move |world| {
            world.nodes[node].heard_stop = Some(world.now);
            world.feed(node, from, Input::Stop);
        });
    }

    fn cut_region(&mut self, region: &str) {
        let inside = |node: &crate::Node| &*node.instance.region == region;
        let (a, b): (Vec<usize>, Vec<usize>) =
            (0..self.nodes.len()).partition(|node| inside(&self.nodes[*node]));
        for (x, y) in a.iter().flat_map(|x| b.iter().map(move |y| (*x, *y))) {
            self.cut(x, y);
            self.cut(y, x);
        }
    }

    /// Operators who saw the same version publish at once; one of them loses its answer and
    /// appends again.
    fn race(&mut self, operators: u32) {
        let versions = self.nodes.iter().filter_map(|node| node.engine.as_ref());
        let seen = versions
            .map(|engine| engine.rules_version())
            .max()
            .unwrap_or(0);
        for operator in 0..operators {
            let file = format!("{}# by operator {operator} on {seen}\n", self.cluster.rules);
            let publication = self.rng.random();
            let name = format!("operator {operator}");
            self.publish(seen, publication, &name, &file);
            if operator == 0 {
                self.publish(seen, publication, &name, &file);
            }
        }
    }

    /// One order to three lookups.
    fn surge(&mut self, service: &str, count: u32) {
        let operations = &self.cluster.operations;
        let of = |method: &str| {
            operations
                .iter()
                .position(|o| &*o.service == service && &*o.method == method)
        };
        let (Some(lookup), Some(order)) = (of("GET"), of("POST")) else {
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
