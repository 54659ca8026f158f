//! The queue of events, the nodes, and how an engine's outputs become inputs.

use crate::Action;
use crate::ClusterConfig;
use crate::Fault;
use crate::InvariantChecker;
use crate::Log;
use crate::Network;
use crate::Node;
use engine::Input;
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

/// How many lines of the trace are kept for the report of a violation.
const TRACE_LINES: usize = 4000;

/// Latency between a node and its own backend server.
const LOCAL: Duration = Duration::from_micros(100);

/// How long a process lives on after it has said that nothing is in flight.
const EXIT: Duration = Duration::from_millis(1);

/// What an event does when its time has come.
type Effect = Box<dyn FnOnce(&mut World)>;

/// Something that will happen.
pub(crate) struct Event {
    /// The node whose process has to run for it; while that is frozen, the event is held.
    process: Option<usize>,
    pub(crate) effect: Effect,
}

/// Everything there is in one run.
pub struct World {
    /// The virtual clock.
    pub now: Time,
    /// The only source of chance.
    pub rng: StdRng,
    /// What the run started with.
    pub cluster: ClusterConfig,
    /// One for each place of the cluster.
    pub nodes: Vec<Node>,
    /// What is between nodes.
    pub network: Network,
    /// The store.
    pub log: Log,
    /// The callers' actions.
    pub actions: Vec<Action>,
    /// What must always hold.
    pub checker: InvariantChecker,
    /// Counters of all engines, by name.
    pub counters: IndexMap<String, u64>,
    /// The last events, for the report of a violation.
    pub trace: VecDeque<String>,
    /// Violations do not stop the run: what is measured may break the promises.
    pub continue_after_violation: bool,
    /// Service time of all work that was begun, at servers that are not slow.
    pub nominal_service_time: Duration,
    /// The seed.
    pub seed: u64,
    pub(crate) next_token: u64,
    queue: BTreeMap<(Time, u64), Event>,
    next_event: u64,
}

impl World {
    /// A world in which all processes start at once and the cluster's rules stand in the log.
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
            .map(|at| Node::new(&cluster, at))
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
            trace: VecDeque::new(),
            continue_after_violation: false,
            nominal_service_time: Duration::ZERO,
            seed,
            next_token: 0,
            queue: BTreeMap::new(),
            next_event: 0,
            cluster,
        };
        let rules = world.cluster.rules.clone();
        world.publish(0, 1, "first", &rules);
        for node in 0..world.nodes.len() {
            world.start(node);
        }
        world
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Lets time pass up to `end`, or to the first violation.
    pub fn run_until(&mut self, end: Time) {
        while let Some(next) = self.queue.first_entry() {
            let stop = !self.continue_after_violation && !self.checker.violations.is_empty();
            if next.key().0 > end || stop {
                break;
            }
            let ((at, _), event) = next.remove_entry();
            self.now = self.now.max(at);
            self.on_event(event);
        }
        self.now = self.now.max(end);
    }

    /// Remembers a line for the report of a violation.
    pub fn note(&mut self, line: String) {
        if self.trace.len() == TRACE_LINES {
            self.trace.pop_front();
        }
        let millis = self.now.as_micros() as f64 / 1000.0;
        self.trace.push_back(format!("{millis:>10.3} {line}"));
    }

    /// The index of a node by its name.
    pub fn node(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == name)
    }

    /// Whether the node's process is there and runs.
    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].engine.is_some() && !self.nodes[node].paused
    }

    /// Has something happen at a time of the virtual clock.
    pub fn schedule_at(&mut self, at: Time, effect: impl FnOnce(&mut World) + 'static) {
        self.enter(at, None, effect);
    }

    /// Has something happen after a while.
    pub fn schedule_after(&mut self, wait: Duration, effect: impl FnOnce(&mut World) + 'static) {
        self.enter(self.now + wait, None, effect);
    }

    /// Has something happen in a node's process after a while, or later if it is frozen then.
    pub(crate) fn schedule_in_process(
        &mut self,
        process: usize,
        wait: Duration,
        effect: impl FnOnce(&mut World) + 'static,
    ) {
        self.enter(self.now + wait, Some(process), effect);
    }

    /// Has an input reach an incarnation of a node after a while.
    pub(crate) fn input(&mut self, node: usize, wait: Duration, input: Input) {
        let from = self.nodes[node].incarnation;
        self.schedule_in_process(node, wait, move |world| world.feed(node, from, input));
    }

    fn enter(
        &mut self,
        at: Time,
        process: Option<usize>,
        effect: impl FnOnce(&mut World) + 'static,
    ) {
        let effect = Box::new(effect);
        self.enter_event(at, Event { process, effect });
    }

    pub(crate) fn enter_event(&mut self, at: Time, event: Event) {
        self.next_event += 1;
        self.queue.insert((at, self.next_event), event);
    }

    fn on_event(&mut self, event: Event) {
        match event.process {
            Some(node) if self.nodes[node].paused => self.nodes[node].held.push(event),
            _ => (event.effect)(self),
        }
    }

    /// Tells an engine what happened, and does what it asks for.
    pub(crate) fn feed(&mut self, node: usize, from: Incarnation, input: Input) {
        let place = &mut self.nodes[node];
        let now = place.time(self.now);
        let Some(engine) = place.engine.as_mut().filter(|_| place.incarnation == from) else {
            return;
        };
        let before = engine.rules_version();
        let outputs = engine.handle(now, input);
        let (version, file) = (engine.rules_version(), engine.journal().file.clone());
        if version != before {
            let verdict = self.checker.on_version(before, version, &file);
            self.check(verdict);
        }
        for output in outputs {
            self.perform(node, output);
        }
        self.set_tick(node);
    }

    fn on_tick(&mut self, node: usize, from: Incarnation, at: Time) {
        if self.nodes[node].incarnation == from && self.nodes[node].tick == Some(at) {
            self.nodes[node].tick = None;
            self.feed(node, from, Input::Tick);
        }
    }

    pub(crate) fn set_tick(&mut self, node: usize) {
        let place = &mut self.nodes[node];
        let Some(due) = place.engine.as_ref().and_then(|engine| engine.next_timer()) else {
            return;
        };
        // A timer that stays due would stop the clock; a shell's timers are no finer than this.
        let due = place.started + due.since(Time::ZERO).div_f64(place.clock_rate);
        let at = due.max(self.now + Duration::from_micros(50));
        if place.tick.is_none_or(|tick| tick > at) {
            place.tick = Some(at);
            let from = place.incarnation;
            self.schedule_in_process(node, at.since(self.now), move |world| {
                world.on_tick(node, from, at)
            });
        }
    }

    fn perform(&mut self, node: usize, output: Output) {
        let from = self.nodes[node].incarnation;
        match output {
            Output::Answer {
                token,
                outcome,
                generated_key,
            } => {
                self.on_answer(node, token, outcome, generated_key);
            }
            Output::Send { to, frame } => {
                self.note_answer(node, &frame);
                self.send(node, to, frame);
            }
            Output::Datagram { to, datagram } => self.send_datagram(node, to, datagram),
            Output::Run {
                run,
                request,
                expected_server: _,
                remaining,
                start_within,
            } => {
                let verdict = self
                    .checker
                    .on_run_asked(&self.nodes[node], self.now, &request);
                self.check(verdict);
                let (deadline, start_by) = (
                    self.now + remaining,
                    start_within.map(|within| self.now + within),
                );
                self.nodes[node].runs.insert(run, None);
                self.schedule_in_process(node, LOCAL, move |world| {
                    world.on_hand_over(node, from, run, request, deadline, start_by);
                });
                if let Some(time) = self.nodes[node].pause_at_run.take() {
                    self.inject_fault(Fault::Pause(node, time));
                }
                self.schedule_in_process(node, remaining, move |world| {
                    world.on_run_deadline(node, from, run)
                });
            }
            Output::CancelRun(run) => self.cancel_run(node, run),
            Output::Append {
                number,
                at,
                entries,
            } => self.append_from(node, number, at, entries),
            Output::FetchState { from, known } => self.fetch_state(node, from, known),
            Output::CheckRules => self.check_rules(node),
            Output::ReadLog => self.read_now(node),
            Output::Count(counter) => *self.counters.entry(counter.name()).or_insert(0) += 1,
            Output::Diagnostic(_) | Output::CheckServer { .. } => {}
            Output::Stopped => {
                self.schedule_in_process(node, EXIT, move |world| world.on_exit(node, from))
            }
        }
    }

    fn note_answer(&mut self, node: usize, frame: &Frame) {
        if let Frame::Answer(id, answer) = frame {
            let outcome = match &answer.outcome {
                Outcome::Completed(response) => format!("whole {}", response.status),
                other => format!("{other:?}"),
            };
            self.checker
                .on_answer_sent(&self.nodes[node], *id, &answer.outcome);
            self.note(format!("{} answers {id} {outcome}", self.nodes[node].name));
        }
    }

    pub(crate) fn check(&mut self, verdict: Result<(), String>) {
        if let Err(violation) = verdict {
            self.violation(&violation);
        }
    }

    /// Enters a violation, with all that is needed to see it again.
    pub fn violation(&mut self, what: &str) {
        let millis = self.now.as_micros() / 1000;
        let report = format!("seed {} at {millis} ms: {what}", self.seed);
        self.note(format!("VIOLATION {what}"));
        self.checker.violations.push(report);
    }
}
