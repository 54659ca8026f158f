//! The queue of events, the nodes, and how an engine's outputs become inputs.

use crate::caller::Waiter;
use crate::Action;
use crate::Fault;
use crate::Judge;
use crate::Layout;
use crate::Log;
use crate::Net;
use crate::Server;
use engine::Config;
use engine::Engine;
use engine::Input;
use engine::Output;
use engine::Token;
use indexmap::IndexMap;
use indexmap::IndexSet;
use proto::Frame;
use proto::Incarnation;
use proto::Instance;
use proto::Outcome;
use proto::RunId;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

/// How many lines of the trace are kept for the report of a violation.
const TRACE_LINES: usize = 4000;

/// Latency between a node and its own backend server.
const LOCAL: Duration = Duration::from_micros(100);

/// How much faster or slower than the virtual clock a process's clock may run.
const CLOCK_DRIFT: f64 = 0.001;

/// How long a process takes to come up again.
const START: Duration = Duration::from_millis(200);

/// How long a process lives on after it has said that nothing is in flight.
const EXIT: Duration = Duration::from_millis(1);

/// What an event does when its time has come.
type Effect = Box<dyn FnOnce(&mut World)>;

/// Something that will happen.
struct Event {
    /// The node whose process has to run for it; while that is frozen, the event is held.
    process: Option<usize>,
    effect: Effect,
}

/// One instance: a process of the system and its backend server.
pub struct Node {
    /// `SERVICE-N`.
    pub name: String,
    /// Who it is now.
    pub me: Instance,
    /// Its present incarnation.
    pub incarnation: Incarnation,
    /// `None` while no process runs.
    pub engine: Option<Engine>,
    /// Its clock's origin.
    pub started: Time,
    /// How fast its clock runs.
    pub clock_rate: f64,
    /// The process is frozen.
    pub paused: bool,
    /// When it was last frozen or set free.
    pub moved: Time,
    /// The newest version that was in force anywhere when the process started.
    pub known_version: u64,
    /// When its graceful shutdown began.
    pub stopping: Option<Time>,
    /// When the process heard of it, which may be frozen.
    pub heard_stop: Option<Time>,
    /// Its backend server.
    pub server: Server,
    /// Requests without an answer.
    pub waiting: IndexMap<Token, Waiter>,
    /// Those of them that the process has taken.
    pub taken: IndexSet<Token>,
    /// Runs handed to the backend server, by the name that the engine gave: the server's number.
    pub runs: IndexMap<RunId, Option<u64>>,
    pub(crate) pause_at_run: Option<Duration>,
    pub(crate) read: u64,
    pub(crate) read_to_end: bool,
    held: Vec<Event>,
    tick: Option<Time>,
}

/// Everything there is in one run.
pub struct World {
    /// The virtual clock.
    pub now: Time,
    /// The only source of chance.
    pub rng: StdRng,
    /// What the run started with.
    pub layout: Layout,
    /// One for each place of the layout.
    pub nodes: Vec<Node>,
    /// What is between nodes.
    pub net: Net,
    /// The store.
    pub log: Log,
    /// The callers' actions.
    pub actions: Vec<Action>,
    /// What must always hold.
    pub judge: Judge,
    /// Counters of all engines, by name.
    pub counters: IndexMap<String, u64>,
    /// The last events, for the report of a violation.
    pub trace: VecDeque<String>,
    /// Violations do not stop the run: what is measured may break the promises.
    pub go_on: bool,
    /// Service time of all work that was begun, at servers that are not slow.
    pub work_begun: Duration,
    /// The seed.
    pub seed: u64,
    pub(crate) next_token: u64,
    queue: BTreeMap<(Time, u64), Event>,
    next_event: u64,
}

impl World {
    /// A world in which all processes start at once and the layout's rules stand in the log.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut world = trial::World::new(1, trial::Layout::small());
    /// world.run_for(Duration::from_secs(5));
    /// assert!(world.judge.violations.is_empty());
    /// ```
    pub fn new(seed: u64, layout: Layout) -> Self {
        let nodes = (0..layout.places.len())
            .map(|at| Node::new(&layout, at))
            .collect();
        let mut world = Self {
            now: Time::ZERO,
            rng: StdRng::seed_from_u64(seed),
            nodes,
            net: Net::new(&layout),
            log: Log::default(),
            actions: Vec::new(),
            judge: Judge::default(),
            counters: IndexMap::new(),
            trace: VecDeque::new(),
            go_on: false,
            work_begun: Duration::ZERO,
            seed,
            next_token: 0,
            queue: BTreeMap::new(),
            next_event: 0,
            layout,
        };
        let rules = world.layout.rules.clone();
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
            let stop = !self.go_on && !self.judge.violations.is_empty();
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
    pub fn at(&mut self, at: Time, effect: impl FnOnce(&mut World) + 'static) {
        self.enter(at, None, effect);
    }

    /// Has something happen after a while.
    pub fn after(&mut self, wait: Duration, effect: impl FnOnce(&mut World) + 'static) {
        self.enter(self.now + wait, None, effect);
    }

    /// Has something happen in a node's process after a while, or later if it is frozen then.
    pub(crate) fn after_in(
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
        self.after_in(node, wait, move |world| world.feed(node, from, input));
    }

    fn enter(
        &mut self,
        at: Time,
        process: Option<usize>,
        effect: impl FnOnce(&mut World) + 'static,
    ) {
        self.next_event += 1;
        let effect = Box::new(effect);
        self.queue
            .insert((at, self.next_event), Event { process, effect });
    }

    fn on_event(&mut self, event: Event) {
        match event.process {
            Some(node) if self.nodes[node].paused => self.nodes[node].held.push(event),
            _ => (event.effect)(self),
        }
    }

    /// Starts a process at the node's place, as a new incarnation.
    pub(crate) fn start(&mut self, node: usize) {
        if self.nodes[node].engine.is_some() {
            return;
        }
        let incarnation = Incarnation(self.rng.random());
        let clock_rate = self.rng.random_range(1.0 - CLOCK_DRIFT..1.0 + CLOCK_DRIFT);
        let contacts = (0..2).map(|_| self.rng.random_range(0..self.nodes.len()));
        let contacts = contacts.map(|at| self.nodes[at].me.addr).collect();
        let mut cfg = Config {
            seed: incarnation.0,
            contacts,
            policy: self.layout.policy,
            ..Config::default()
        };
        cfg.membership.seed = incarnation.0;
        cfg.once.max_log_silence = self.layout.max_log_silence;
        let now = self.now;
        let engines = self.nodes.iter().filter_map(|node| node.engine.as_ref());
        let known_version = engines.map(Engine::rules_version).max().unwrap_or(0);
        let place = &mut self.nodes[node];
        place.known_version = known_version;
        place.me.incarnation = incarnation;
        place.incarnation = incarnation;
        place.engine = Some(Engine::new(cfg, place.me.clone()));
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
        self.after(START, move |world| world.start(node));
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
            self.next_event += 1;
            self.queue.insert((self.now, self.next_event), event);
        }
    }

    fn on_exit(&mut self, node: usize, from: Incarnation) {
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

    /// Tells an engine what happened, and does what it asks for.
    pub(crate) fn feed(&mut self, node: usize, from: Incarnation, input: Input) {
        let place = &mut self.nodes[node];
        let Some(engine) = place.engine.as_mut().filter(|_| place.incarnation == from) else {
            return;
        };
        let now = Time::ZERO + self.now.since(place.started).mul_f64(place.clock_rate);
        let before = engine.rules_version();
        let outputs = engine.handle(now, input);
        let (version, file) = (engine.rules_version(), engine.journal().file.clone());
        if version != before {
            let verdict = self.judge.on_version(before, version, &file);
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

    fn set_tick(&mut self, node: usize) {
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
            self.after_in(node, at.since(self.now), move |world| {
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
                made_key,
            } => {
                self.on_answer(node, token, outcome, made_key);
            }
            Output::Send { to, frame } => {
                self.note_answer(node, &frame);
                self.send(node, to, frame);
            }
            Output::Datagram { to, datagram } => self.send_datagram(node, to, datagram),
            Output::Run {
                run,
                request,
                expect: _,
                remaining,
                start_within,
            } => {
                let verdict = self
                    .judge
                    .on_run_asked(&self.nodes[node], self.now, &request);
                self.check(verdict);
                let (deadline, start_by) = (
                    self.now + remaining,
                    start_within.map(|within| self.now + within),
                );
                self.nodes[node].runs.insert(run, None);
                self.after_in(node, LOCAL, move |world| {
                    world.on_hand_over(node, from, run, request, deadline, start_by);
                });
                if let Some(time) = self.nodes[node].pause_at_run.take() {
                    self.strike(Fault::Pause(node, time));
                }
                self.after_in(node, remaining, move |world| {
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
            Output::ReadLog => self.read_now(node),
            Output::Count(counter) => *self.counters.entry(counter.name()).or_insert(0) += 1,
            Output::Note(_) | Output::CheckServer { .. } => {}
            Output::Stopped => self.after_in(node, EXIT, move |world| world.on_exit(node, from)),
        }
    }

    fn note_answer(&mut self, node: usize, frame: &Frame) {
        if let Frame::Answer(id, answer) = frame {
            let outcome = match &answer.outcome {
                Outcome::Whole(response) => format!("whole {}", response.status),
                other => format!("{other:?}"),
            };
            self.judge
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
        self.judge.violations.push(report);
    }
}

impl Node {
    fn new(layout: &Layout, at: usize) -> Self {
        let place = &layout.places[at];
        let nth = layout.places[..at]
            .iter()
            .filter(|other| other.service == place.service)
            .count();
        let incarnation = Incarnation(0);
        Self {
            name: format!("{}-{}", place.service, nth + 1),
            me: Instance {
                incarnation,
                service: place.service.clone(),
                failure_domain: place.failure_domain.clone(),
                region: place.region.clone(),
                addr: SocketAddr::from(([10, 0, 0, at as u8 + 1], 7000)),
            },
            incarnation,
            engine: None,
            started: Time::ZERO,
            clock_rate: 1.0,
            paused: false,
            moved: Time::ZERO,
            known_version: 0,
            stopping: None,
            heard_stop: None,
            server: Server::new(layout),
            waiting: IndexMap::new(),
            taken: IndexSet::new(),
            runs: IndexMap::new(),
            pause_at_run: None,
            read: 0,
            read_to_end: false,
            held: Vec::new(),
            tick: None,
        }
    }
}

impl std::fmt::Display for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.name, self.incarnation)?;
        let Some(engine) = &self.engine else {
            return write!(f, " not running");
        };
        let (journal, tables) = (engine.journal(), engine.tables());
        let view = journal.view(&self.me.service);
        let members = view.map(|view| {
            view.members
                .iter()
                .map(|member| member.incarnation.to_string())
        });
        let members: Vec<_> = members.into_iter().flatten().collect();
        write!(
            f,
            " stopping {:?} version {} next {}",
            self.stopping, journal.version, journal.next
        )?;
        write!(
            f,
            " view {:?} of {members:?} {tables:?}",
            view.map(|view| view.number)
        )
    }
}
