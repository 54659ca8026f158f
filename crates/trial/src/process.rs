//! Starts, kills, pauses, resumes and exits of node processes.

use crate::World;
use engine::Config;
use engine::Engine;
use engine::Input;
use engine::KeylessCalls;
use proto::Incarnation;
use rand::RngExt;
use std::time::Duration;

/// Maximum drift of a process's clock from the virtual clock, as a fraction.
const MAX_CLOCK_DRIFT: f64 = 0.001;

/// Maximum time until a process has read new rules, in milliseconds.
const RULES_READ_TIME_MS: u64 = 300;

/// Time that a process takes to restart.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Parses rules and adds the path of a health check for each service. Nodes whose servers send no
/// heartbeats make no health checks.
fn parse_rules_with_health_checks(file: &str) -> Option<rules::Rules> {
    let mut rules = rules::Rules::parse(file).ok()?;
    for service in ["order", "press", "royalty"] {
        rules.health_paths.insert(service.into(), "/health".into());
    }
    Some(rules)
}

impl World {
    /// Starts the node's process as a new incarnation, unless one is running.
    pub(crate) fn start(&mut self, node: usize) {
        if self.nodes[node].engine.is_some() {
            return;
        }
        let incarnation = Incarnation(self.rng.random());
        let clock_rate = self
            .rng
            .random_range(1.0 - MAX_CLOCK_DRIFT..1.0 + MAX_CLOCK_DRIFT);
        let contacts = (0..2).map(|_| self.rng.random_range(0..self.nodes.len()));
        let contacts = contacts
            .map(|index| self.nodes[index].instance.addr)
            .collect();
        let mut cfg = Config {
            seed: incarnation.0,
            contacts,
            policy: self.cluster.policy,
            server_announces: self.cluster.servers_announce,
            parse_rules: parse_rules_with_health_checks,
            ..Config::default()
        };
        cfg.membership.seed = incarnation.0;
        if self.cluster.servers_announce {
            // As on the users' platform, where servers announce their slots.
            cfg.keyless_calls = KeylessCalls::OwnedByIngress;
            cfg.policy.adaptive_limit = false;
        }
        cfg.once.max_log_staleness = self.cluster.max_log_staleness;
        let now = self.now;
        let engines = self.nodes.iter().filter_map(|node| node.engine.as_ref());
        let version_at_start = engines.map(Engine::rules_version).max().unwrap_or(0);
        let node_state = &mut self.nodes[node];
        node_state.version_at_start = version_at_start;
        node_state.instance.incarnation = incarnation;
        node_state.incarnation = incarnation;
        node_state.engine = Some(Engine::new(cfg, node_state.instance.clone()));
        node_state.started_at = now;
        node_state.clock_rate = clock_rate;
        node_state.pause_changed_at = now;
        node_state.paused = false;
        node_state.stop_requested_at = None;
        node_state.stop_received_at = None;
        node_state.reached_log_end = false;
        node_state.scheduled_tick = None;
        node_state.deferred_events.clear();
        self.trace_event(format!("{} starts as {incarnation}", self.nodes[node].name));
        self.schedule_tick(node);
        self.restart_reading(node);
        if self.cluster.servers_announce {
            self.send_external_rules(node);
        }
    }

    /// Passes the newest rules to a node, as if it had read them from the operators' store.
    pub(crate) fn send_external_rules(&mut self, node: usize) {
        let wait = Duration::from_millis(self.rng.random_range(1..RULES_READ_TIME_MS));
        let version = self.external_version;
        let file = format!("{}# version {version}\n", self.cluster.rules).into();
        self.schedule_input(node, wait, Input::RulesPublished { version, file });
    }

    /// Ends a process as `kill -9` does.
    pub(crate) fn kill(&mut self, node: usize) {
        let node_state = &mut self.nodes[node];
        if node_state.engine.take().is_none() {
            return;
        }
        node_state.paused = false;
        node_state.deferred_events.clear();
        node_state.runs.clear();
        node_state.accepted_requests.clear();
        let incarnation = node_state.incarnation;
        for (token, waiter) in std::mem::take(&mut node_state.pending_requests) {
            self.on_node_gone(token, waiter);
        }
        self.close_connections(incarnation);
    }

    /// Kills a process and starts a new one after [`RESTART_DELAY`].
    pub(crate) fn restart(&mut self, node: usize) {
        self.kill(node);
        self.schedule_after(RESTART_DELAY, move |world| world.start(node));
    }

    /// Pauses a process: its events are deferred, and peers may notice its silence.
    pub(crate) fn pause(&mut self, node: usize) {
        if self.is_running(node) {
            self.nodes[node].paused = true;
            self.nodes[node].pause_changed_at = self.now;
            self.schedule_silence_checks(self.nodes[node].incarnation);
        }
    }

    /// Resumes a paused process and schedules its deferred events for now.
    pub(crate) fn resume(&mut self, node: usize) {
        // A pause that still waits for the next run is cancelled as well. Otherwise it could begin
        // long after all faults were repaired.
        self.nodes[node].pause_at_run = None;
        if !std::mem::take(&mut self.nodes[node].paused) {
            return;
        }
        self.nodes[node].pause_changed_at = self.now;
        for event in std::mem::take(&mut self.nodes[node].deferred_events) {
            self.schedule_event(self.now, event);
        }
    }

    /// Handles the exit of a process that has reported that nothing is in flight.
    pub(crate) fn exit(&mut self, node: usize, incarnation: Incarnation) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].engine.is_none() {
            return;
        }
        let node_state = &self.nodes[node];
        if !node_state.accepted_requests.is_empty() || !node_state.runs.is_empty() {
            let report = format!(
                "{} exited with work in flight: requests {:?}, runs {:?}",
                node_state.name, node_state.accepted_requests, node_state.runs
            );
            self.record_violation(&report);
        }
        self.trace_event(format!("{} exits", self.nodes[node].name));
        self.close_after_delivery(incarnation);
        // The supervisor restarts a process that exits without having been asked to stop.
        if self.nodes[node].stop_requested_at.is_none() {
            return self.restart(node);
        }
        self.kill(node);
    }
}
