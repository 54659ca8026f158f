//! Processes: started, killed, frozen, ended.

use crate::World;
use engine::Config;
use engine::Engine;
use proto::Incarnation;
use rand::RngExt;
use std::time::Duration;

/// How much faster or slower than the virtual clock a process's clock may run.
const CLOCK_DRIFT: f64 = 0.001;

/// How long a process takes to come up again.
const START: Duration = Duration::from_millis(200);

impl World {
    /// Starts a process at the node's place, as a new incarnation.
    pub(crate) fn start(&mut self, node: usize) {
        if self.nodes[node].engine.is_some() {
            return;
        }
        let incarnation = Incarnation(self.rng.random());
        let clock_rate = self.rng.random_range(1.0 - CLOCK_DRIFT..1.0 + CLOCK_DRIFT);
        let contacts = (0..2).map(|_| self.rng.random_range(0..self.nodes.len()));
        let contacts = contacts.map(|at| self.nodes[at].instance.addr).collect();
        let mut cfg = Config {
            seed: incarnation.0,
            contacts,
            policy: self.cluster.policy,
            ..Config::default()
        };
        cfg.membership.seed = incarnation.0;
        cfg.once.max_log_staleness = self.cluster.max_log_staleness;
        let now = self.now;
        let engines = self.nodes.iter().filter_map(|node| node.engine.as_ref());
        let known_version = engines.map(Engine::rules_version).max().unwrap_or(0);
        let place = &mut self.nodes[node];
        place.known_version = known_version;
        place.instance.incarnation = incarnation;
        place.incarnation = incarnation;
        place.engine = Some(Engine::new(cfg, place.instance.clone()));
        place.started = now;
        place.clock_rate = clock_rate;
        place.moved = now;
        place.paused = false;
        place.stopping = None;
        place.heard_stop = None;
        place.read_to_end = false;
        place.tick = None;
        place.held.clear();
        self.note(format!("start {} as {incarnation}", self.nodes[node].name));
        self.set_tick(node);
        self.read_now(node);
    }

    /// Ends a process as if by `kill -9`.
    pub(crate) fn kill(&mut self, node: usize) {
        let place = &mut self.nodes[node];
        if place.engine.take().is_none() {
            return;
        }
        place.paused = false;
        place.held.clear();
        place.runs.clear();
        place.taken.clear();
        let incarnation = place.incarnation;
        for (token, waiter) in std::mem::take(&mut place.waiting) {
            self.on_node_gone(token, waiter);
        }
        self.close_all(incarnation);
    }

    /// Kills a process and starts it again.
    pub(crate) fn restart(&mut self, node: usize) {
        self.kill(node);
        self.schedule_after(START, move |world| world.start(node));
    }

    pub(crate) fn pause(&mut self, node: usize) {
        if self.is_running(node) {
            self.nodes[node].paused = true;
            self.nodes[node].moved = self.now;
            self.watch_all(self.nodes[node].incarnation);
        }
    }

    pub(crate) fn resume(&mut self, node: usize) {
        // A freeze that has not come yet is called off as well; else one would come long after
        // everything was mended.
        self.nodes[node].pause_at_run = None;
        if !std::mem::take(&mut self.nodes[node].paused) {
            return;
        }
        self.nodes[node].moved = self.now;
        for event in std::mem::take(&mut self.nodes[node].held) {
            self.enter_event(self.now, event);
        }
    }

    pub(crate) fn on_exit(&mut self, node: usize, from: Incarnation) {
        if self.nodes[node].incarnation != from || self.nodes[node].engine.is_none() {
            return;
        }
        let place = &self.nodes[node];
        if !place.taken.is_empty() || !place.runs.is_empty() {
            let cut = format!(
                "{} ended with work in flight: {:?} {:?}",
                place.name, place.taken, place.runs
            );
            self.violation(&cut);
        }
        self.note(format!("exit {}", self.nodes[node].name));
        self.close_after_flush(from);
        // Whoever runs the instances starts a process again that has ended without being asked.
        if self.nodes[node].stopping.is_none() {
            return self.restart(node);
        }
        self.kill(node);
    }
}
