//! The event queue, the nodes, and the handling of engine outputs.

use crate::Action;
use crate::ClusterConfig;
use crate::Fault;
use crate::InvariantChecker;
use crate::Log;
use crate::Network;
use crate::Node;
use engine::Diagnostic;
use engine::Input;
use engine::OutcomeSummary;
use engine::Output;
use indexmap::IndexMap;
use proto::Frame;
use proto::Incarnation;
use proto::Outcome;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::Time;

/// Maximum number of event trace lines kept for the report of a violation.
const MAX_EVENT_TRACE_LINES: usize = 20_000;

/// One-way latency from a node to its own backend server.
const LOCAL_LATENCY: Duration = Duration::from_micros(100);

/// Time between the report of a process that nothing is in flight and its exit.
const EXIT_DELAY: Duration = Duration::from_millis(1);

/// The code that runs when an event is due.
type EventCallback = Box<dyn FnOnce(&mut World)>;

/// A scheduled event.
pub(crate) struct Event {
    /// The node whose process handles the event. While it is paused, the event is deferred.
    process: Option<usize>,
    pub(crate) callback: EventCallback,
}

/// The state of one simulation run.
pub struct World {
    /// The virtual clock.
    pub now: Time,
    /// The only source of randomness.
    pub rng: StdRng,
    /// The configuration of the cluster.
    pub cluster: ClusterConfig,
    /// The nodes, one for each entry of [`ClusterConfig::placements`].
    pub nodes: Vec<Node>,
    /// The simulated network.
    pub network: Network,
    /// The simulated store.
    pub log: Log,
    /// The callers' actions.
    pub actions: Vec<Action>,
    /// Checks the system's guarantees and collects violations.
    pub checker: InvariantChecker,
    /// The sums of all engines' counters, by name.
    pub counters: IndexMap<String, u64>,
    /// The most recent events, for the report of a violation.
    pub event_trace: VecDeque<String>,
    /// Violations do not stop the run, for measurements of configurations that may violate the
    /// guarantees.
    pub continue_after_violation: bool,
    /// The newest version of the rules, if servers announce themselves. Rules with health checks
    /// cannot be published in the log and come from the operators' own store.
    pub(crate) external_version: u64,
    /// Total service time of all started work, without the servers' slow factors.
    pub nominal_service_time: Duration,
    /// The random seed.
    pub seed: u64,
    pub(crate) next_token: u64,
    queue: BTreeMap<(Time, u64), Event>,
    last_event_id: u64,
}

impl World {
    /// Creates a world in which all processes start now and the cluster's rules are published in
    /// the log.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut world = trial::World::new(1, trial::ClusterConfig::small());
    /// world.run_for(Duration::from_secs(5));
    /// assert!(world.checker.violations.is_empty());
    /// ```
    pub fn new(seed: u64, cluster: ClusterConfig) -> Self {
        let nodes = (0..cluster.placements.len())
            .map(|index| Node::new(&cluster, index))
            .collect();
        let mut world = Self {
            now: Time::ZERO,
            rng: StdRng::seed_from_u64(seed),
            nodes,
            network: Network::new(&cluster),
            log: Log::default(),
            actions: Vec::new(),
            checker: InvariantChecker::default(),
            counters: IndexMap::new(),
            event_trace: VecDeque::new(),
            continue_after_violation: false,
            external_version: 1,
            nominal_service_time: Duration::ZERO,
            seed,
            next_token: 0,
            queue: BTreeMap::new(),
            last_event_id: 0,
            cluster,
        };
        if !world.cluster.servers_announce {
            let rules = world.cluster.rules.clone();
            world.publish(0, 1, "first", &rules);
        }
        for node in 0..world.nodes.len() {
            world.start(node);
            if world.cluster.servers_announce {
                world.send_heartbeat(node);
            }
        }
        world
    }

    /// Runs the simulation for a period of virtual time.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Runs the simulation up to `end`, or up to the first violation.
    pub fn run_until(&mut self, end: Time) {
        while let Some(next) = self.queue.first_entry() {
            let stop = !self.continue_after_violation && !self.checker.violations.is_empty();
            if next.key().0 > end || stop {
                break;
            }
            let ((at, _), event) = next.remove_entry();
            self.now = self.now.max(at);
            self.dispatch(event);
        }
        self.now = self.now.max(end);
    }

    /// Appends a line to the event trace.
    pub fn trace_event(&mut self, line: String) {
        if self.event_trace.len() == MAX_EVENT_TRACE_LINES {
            self.event_trace.pop_front();
        }
        let millis = self.now.as_micros() as f64 / 1000.0;
        self.event_trace.push_back(format!("{millis:>10.3} {line}"));
    }

    /// The index of the node with this name.
    pub fn node_index(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == name)
    }

    /// Whether the node's process is running and not paused.
    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].engine.is_some() && !self.nodes[node].paused
    }

    /// Schedules an event at a time of the virtual clock.
    pub fn schedule_at(&mut self, at: Time, callback: impl FnOnce(&mut World) + 'static) {
        self.schedule(at, None, callback);
    }

    /// Schedules an event after a delay.
    pub fn schedule_after(&mut self, wait: Duration, callback: impl FnOnce(&mut World) + 'static) {
        self.schedule(self.now + wait, None, callback);
    }

    /// Schedules an event in a node's process after a delay, or later if the process is paused
    /// then.
    pub(crate) fn schedule_in_process(
        &mut self,
        process: usize,
        wait: Duration,
        callback: impl FnOnce(&mut World) + 'static,
    ) {
        self.schedule(self.now + wait, Some(process), callback);
    }

    /// Schedules an input to the current incarnation of a node after a delay.
    pub(crate) fn schedule_input(&mut self, node: usize, wait: Duration, input: Input) {
        let incarnation = self.nodes[node].incarnation;
        self.schedule_in_process(node, wait, move |world| {
            world.handle_input(node, incarnation, input)
        });
    }

    fn schedule(
        &mut self,
        at: Time,
        process: Option<usize>,
        callback: impl FnOnce(&mut World) + 'static,
    ) {
        let callback = Box::new(callback);
        self.schedule_event(at, Event { process, callback });
    }

    pub(crate) fn schedule_event(&mut self, at: Time, event: Event) {
        self.last_event_id += 1;
        self.queue.insert((at, self.last_event_id), event);
    }

    fn dispatch(&mut self, event: Event) {
        match event.process {
            Some(node) if self.nodes[node].paused => self.nodes[node].deferred_events.push(event),
            _ => (event.callback)(self),
        }
    }

    /// Passes an input to an engine and applies the outputs. Does nothing if the process is no
    /// longer this incarnation.
    pub(crate) fn handle_input(&mut self, node: usize, incarnation: Incarnation, input: Input) {
        let node_state = &mut self.nodes[node];
        let now = node_state.local_time(self.now);
        let Some(engine) = node_state
            .engine
            .as_mut()
            .filter(|_| node_state.incarnation == incarnation)
        else {
            return;
        };
        let version_before = engine.rules_version();
        let outputs = engine.handle(now, input);
        let (version, file) = (engine.rules_version(), engine.journal().file.clone());
        if version != version_before {
            let check_result = self
                .checker
                .on_rules_version(version_before, version, &file);
            self.record_check(check_result);
        }
        for output in outputs {
            self.apply_output(node, output);
        }
        self.schedule_tick(node);
    }

    fn on_tick(&mut self, node: usize, incarnation: Incarnation, at: Time) {
        if self.nodes[node].incarnation == incarnation
            && self.nodes[node].scheduled_tick == Some(at)
        {
            self.nodes[node].scheduled_tick = None;
            self.handle_input(node, incarnation, Input::Tick);
        }
    }

    pub(crate) fn schedule_tick(&mut self, node: usize) {
        let node_state = &mut self.nodes[node];
        let Some(due) = node_state
            .engine
            .as_ref()
            .and_then(|engine| engine.next_timer())
        else {
            return;
        };
        // Without a minimum delay, a timer that stays due would stop the virtual clock. The timers
        // of the node process have no finer resolution than this minimum.
        let due = node_state.started_at + due.since(Time::ZERO).div_f64(node_state.clock_rate);
        let at = due.max(self.now + Duration::from_micros(50));
        if node_state.scheduled_tick.is_none_or(|tick| tick > at) {
            node_state.scheduled_tick = Some(at);
            let incarnation = node_state.incarnation;
            self.schedule_in_process(node, at.since(self.now), move |world| {
                world.on_tick(node, incarnation, at)
            });
        }
    }

    fn apply_output(&mut self, node: usize, output: Output) {
        let incarnation = self.nodes[node].incarnation;
        match output {
            Output::Answer {
                token,
                outcome,
                generated_key,
            } => {
                self.on_answer(node, token, outcome, generated_key);
            }
            Output::Send { to, frame } => {
                self.observe_answer(node, &frame);
                self.send_frame(node, to, frame);
            }
            Output::Datagram { to, datagram } => self.send_datagram(node, to, datagram),
            Output::Run {
                run,
                request,
                expected_server: _,
                remaining,
                start_within,
            } => {
                let check_result =
                    self.checker
                        .on_run_submitted(&self.nodes[node], self.now, &request);
                self.record_check(check_result);
                let check_result = self.checker.on_run_decided(node, self.now);
                self.record_check(check_result);
                let (deadline, start_by) = (
                    self.now + remaining,
                    start_within.map(|within| self.now + within),
                );
                self.nodes[node].runs.insert(run, None);
                self.schedule_in_process(node, LOCAL_LATENCY, move |world| {
                    world.submit_run(node, incarnation, run, request, deadline, start_by);
                });
                if let Some(time) = self.nodes[node].pause_at_run.take() {
                    self.inject_fault(Fault::Pause(node, time));
                }
                self.schedule_in_process(node, remaining, move |world| {
                    world.on_run_deadline(node, incarnation, run)
                });
            }
            Output::CancelRun(run) => self.cancel_run(node, run),
            Output::Append {
                number,
                at,
                entries,
            } => self.submit_append(node, number, at, entries),
            Output::FetchState { from, known } => self.fetch_state(node, from, known),
            Output::CheckRules => self.check_rules(node),
            Output::ReadLog => self.restart_reading(node),
            Output::Count(counter) => *self.counters.entry(counter.name()).or_insert(0) += 1,
            Output::CheckServer { id, .. } => self.check_health(node, id),
            Output::Diagnostic(
                diagnostic @ (Diagnostic::StateAdopted { .. }
                | Diagnostic::CatchUp { .. }
                | Diagnostic::OwnServer { .. }
                | Diagnostic::ServerLimit { .. }
                | Diagnostic::ServerLeaving { .. }
                | Diagnostic::JobEnded {
                    outcome: OutcomeSummary::NotRun(_),
                    ..
                }),
            ) => {
                self.trace_event(format!("{} {diagnostic}", self.nodes[node].name));
            }
            Output::Diagnostic(_) => {}
            Output::Stopped => self
                .schedule_in_process(node, EXIT_DELAY, move |world| world.exit(node, incarnation)),
        }
    }

    fn observe_answer(&mut self, node: usize, frame: &Frame) {
        if let Frame::Answer(id, answer) = frame {
            let outcome = match &answer.outcome {
                Outcome::Completed(response) => format!("completed {}", response.status),
                other => format!("{other:?}"),
            };
            self.checker
                .on_answer_sent(&self.nodes[node], *id, &answer.outcome);
            self.trace_event(format!("{} answers {id} {outcome}", self.nodes[node].name));
        }
    }

    pub(crate) fn record_check(&mut self, check_result: Result<(), String>) {
        if let Err(violation) = check_result {
            self.record_violation(&violation);
        }
    }

    /// Records a violation. The report contains the seed and the time, so that it can be
    /// reproduced.
    pub fn record_violation(&mut self, description: &str) {
        let millis = self.now.as_micros() / 1000;
        let report = format!("seed {} at {millis} ms: {description}", self.seed);
        self.trace_event(format!("VIOLATION {description}"));
        self.checker.violations.push(report);
    }
}
