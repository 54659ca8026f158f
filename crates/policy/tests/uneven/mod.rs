//! Replay of calls to servers of uneven speed, in steps of a millisecond. The nodes choose by
//! reports that come with answers only, and the admission control beside each server runs the calls.

use bilberry_policy::AdmissionDecision;
use bilberry_policy::Eligibility;
use bilberry_policy::InstanceSelector;
use bilberry_policy::Proximity;
use bilberry_policy::ServerAdmission;
use bilberry_policy::Switches;
use bilberry_policy::WorkItem;
use bilberry_policy::WorkOutcome;
use proto::Class;
use proto::Incarnation;
use proto::LoadReport;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

pub const SLOTS: u16 = 16;
pub const RUN_MS: f64 = 50.0;
/// Three times the usual run time.
pub const OBJECTIVE_MS: u64 = 150;
const PIECE_MS: u64 = 600;
const SLOWDOWN: f64 = 2.5;
const MAX_HAND_OVERS: usize = 2;
/// Simulated time of a replay, at most.
const MAX_PIECES: usize = 200;

/// What of the mechanism is on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mechanism {
    Off,
    Placement,
    PlacementAndHandOver,
}

#[derive(Clone)]
struct SimCall {
    node: usize,
    sent_at: u64,
    avoid: Vec<Incarnation>,
}

impl SimCall {
    fn due(&self) -> Time {
        Time::from_micros((self.sent_at + OBJECTIVE_MS) * 1000)
    }

    fn may_be_handed_over(&self) -> bool {
        self.avoid.len() < MAX_HAND_OVERS
    }
}

enum Event {
    Arrive(usize, SimCall),
    Finish(usize, u64, u64),
    Answer(usize, SimCall, LoadReport, bool),
}

pub struct Server {
    admission: ServerAdmission,
    calls: BTreeMap<u64, SimCall>,
    /// Its run times as a multiple of the usual.
    pub speed: f64,
    /// For each piece of time, whether its machine is slow.
    pub slow: Vec<bool>,
    pub chosen: u64,
}

#[derive(Default)]
pub struct Counts {
    calls: u64,
    late: u64,
    hand_overs: u64,
    /// Times that a call was sent to another failure domain, also after a hand-over.
    left_domain: u64,
    /// Calls that were refused by the last instance tried.
    pub failed: u64,
}

pub struct Replay {
    now: u64,
    pub servers: Vec<Server>,
    pub counts: Counts,
    mechanism: Mechanism,
    nodes: Vec<InstanceSelector>,
    events: BTreeMap<u64, Vec<Event>>,
    last_id: u64,
    rng: StdRng,
}

impl Replay {
    /// Servers that differ threefold in speed, and are slow 15% of the time.
    pub fn new(nodes: usize, servers: usize, mechanism: Mechanism, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let switches = Switches {
            adaptive_limit: false,
            ..Switches::ALL
        };
        let max_wait = Duration::from_secs(1);
        let server = |number: usize, rng: &mut StdRng| Server {
            admission: ServerAdmission::new(switches, 1, SLOTS, max_wait),
            calls: BTreeMap::new(),
            speed: 0.5 + number as f64 / (servers - 1).max(1) as f64,
            slow: (0..MAX_PIECES).map(|_| rng.random_bool(0.15)).collect(),
            chosen: 0,
        };
        let servers: Vec<Server> = (0..servers).map(|n| server(n, &mut rng)).collect();
        let mut selectors = Vec::new();
        for node in 0..nodes {
            let mut selector = InstanceSelector::new();
            for server in 0..servers.len() {
                let (id, service): (_, Arc<str>) = (Incarnation(server as u64), "ledger".into());
                let near = proximity(node, server);
                selector.set_instance(Time::ZERO, id, &service, near, Eligibility::Ready);
            }
            selectors.push(selector);
        }
        Self {
            now: 0,
            servers,
            counts: Counts::default(),
            mechanism,
            nodes: selectors,
            events: BTreeMap::new(),
            last_id: 0,
            rng,
        }
    }

    /// Resets the counters before the measured part.
    pub fn reset_counters(&mut self) {
        self.counts = Counts::default();
        for server in &mut self.servers {
            server.chosen = 0;
        }
    }

    /// Replays calls at a rate given as a share of what servers of the usual speed can run.
    pub fn run(&mut self, millis: u64, demand: f64) {
        let rate = self.servers.len() as f64 * f64::from(SLOTS) / RUN_MS * demand;
        for _ in 0..millis {
            self.now += 1;
            for event in self.events.remove(&self.now).unwrap_or_default() {
                self.on_event(event);
            }
            for server in 0..self.servers.len() {
                self.start_queued(server);
            }
            let mut left = rate;
            while left > 0.0 {
                if self.rng.random_bool(left.min(1.0)) {
                    let node = self.rng.random_range(0..self.nodes.len());
                    self.counts.calls += 1;
                    self.send(SimCall {
                        node,
                        sent_at: self.now,
                        avoid: Vec::new(),
                    });
                }
                left -= 1.0;
            }
        }
    }

    fn send(&mut self, call: SimCall) {
        let now = self.time();
        let selector = &mut self.nodes[call.node];
        let (avoid, within) = (&call.avoid, now.until(call.due()));
        let chosen = selector.choose_within(now, "ledger", avoid, within, &mut self.rng);
        let Some(id) = chosen else {
            self.counts.failed += 1;
            return;
        };
        selector.on_sent(id);
        let server = id.0 as usize;
        let is_near = proximity(call.node, server) == Proximity::SameDomain;
        self.counts.left_domain += u64::from(!is_near);
        self.servers[server].chosen += 1;
        self.after(delay(call.node, server), Event::Arrive(server, call));
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrive(server, call) => self.on_arrival(server, call),
            Event::Finish(server, id, run_ms) => {
                self.on_finish(server, id, Duration::from_millis(run_ms));
            }
            Event::Answer(server, call, load, is_done) => {
                let (now, id) = (self.time(), Incarnation(server as u64));
                self.nodes[call.node].on_ended(id);
                self.nodes[call.node].on_report(now, id, load);
                if is_done {
                    self.counts.late += u64::from(self.now - call.sent_at > OBJECTIVE_MS);
                } else if call.avoid.len() <= MAX_HAND_OVERS {
                    self.send(call);
                } else {
                    self.counts.failed += 1;
                }
            }
        }
    }

    /// The server answers, and reports how long work takes on its machine.
    fn on_finish(&mut self, server: usize, id: u64, elapsed: Duration) {
        let (now, percent) = (self.time(), self.slowdown(server, self.now) * 100.0);
        let Server {
            admission, calls, ..
        } = &mut self.servers[server];
        let call = calls.remove(&id).expect("it runs");
        if self.mechanism != Mechanism::Off {
            admission.set_slowdown(now, percent as u16);
        }
        let own_time = elapsed;
        admission.record_run(now, 1, own_time);
        let outcome = WorkOutcome::Completed { elapsed, own_time };
        admission.on_finished(now, Class::Lookup, outcome);
        self.answer(server, call, true);
    }

    fn on_arrival(&mut self, server: usize, call: SimCall) {
        let now = self.time();
        self.last_id += 1;
        let id = self.last_id;
        let item = WorkItem {
            id,
            class: Class::Lookup,
            priority: 0,
            passed_level: 0,
            random_value: u16::MAX,
            deadline: now + Duration::from_secs(2),
            latest_start: None,
            operation: 0,
            patient: false,
            organisation: 0,
            arrived: now,
            admitted: true,
            only_here: false,
        };
        if call.may_be_handed_over() {
            let admission = &self.servers[server].admission;
            let hands_over = admission.hands_over(now, &item, call.due());
            if hands_over && self.knows_room_elsewhere(server) {
                return self.hand_over(server, call);
            }
        }
        let decision = self.servers[server].admission.offer(now, item);
        self.servers[server].calls.insert(id, call);
        self.apply(server, id, decision);
    }

    fn apply(&mut self, server: usize, id: u64, decision: AdmissionDecision) {
        match decision {
            AdmissionDecision::Start => self.start(server, id),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Refused(_) => {
                self.servers[server].calls.remove(&id);
                self.counts.failed += 1;
            }
        }
    }

    fn hand_over(&mut self, server: usize, mut call: SimCall) {
        self.counts.hand_overs += 1;
        call.avoid.push(Incarnation(server as u64));
        self.answer(server, call, false);
    }

    /// Whether one of three random other servers has room, as its node would report.
    fn knows_room_elsewhere(&mut self, server: usize) -> bool {
        if self.mechanism != Mechanism::PlacementAndHandOver {
            return false;
        }
        (0..3).any(|_| {
            let other = self.rng.random_range(0..self.servers.len());
            let load = self.servers[other].admission.report();
            other != server && load.utilisation < 800 && load.slowdown_percent < 150
        })
    }

    fn start_queued(&mut self, server: usize) {
        let now = self.time();
        while let Some((item, decision)) = self.servers[server].admission.next_decision(now) {
            self.apply(server, item.id, decision);
        }
        let state = &self.servers[server];
        let due = |item: &WorkItem| {
            let call = state.calls.get(&item.id)?;
            call.may_be_handed_over().then(|| call.due())
        };
        let waiting = state.admission.waiting_to_hand_over(now, due);
        for id in waiting {
            if self.knows_room_elsewhere(server) && self.servers[server].admission.cancel(id) {
                let call = self.servers[server].calls.remove(&id).expect("it waits");
                self.hand_over(server, call);
            }
        }
    }

    fn start(&mut self, server: usize, id: u64) {
        let mut work = RUN_MS * self.rng.random_range(0.5..1.5) * self.servers[server].speed;
        let mut end = self.now;
        while work > 0.0 {
            work -= 1.0 / self.slowdown(server, end);
            end += 1;
        }
        let run_ms = end - self.now;
        self.after(run_ms, Event::Finish(server, id, run_ms));
    }

    fn slowdown(&self, server: usize, at: u64) -> f64 {
        let piece = ((at + server as u64 * 37) / PIECE_MS) as usize;
        match self.servers[server].slow.get(piece) {
            Some(true) => SLOWDOWN,
            _ => 1.0,
        }
    }

    fn answer(&mut self, server: usize, call: SimCall, is_done: bool) {
        let load = self.servers[server].admission.report();
        let delay = delay(call.node, server);
        self.after(delay, Event::Answer(server, call, load, is_done));
    }

    fn after(&mut self, millis: u64, event: Event) {
        let at = self.now + millis.max(1);
        self.events.entry(at).or_default().push(event);
    }

    fn time(&self) -> Time {
        Time::from_micros(self.now * 1000)
    }

    pub fn late_share(&self) -> f64 {
        self.counts.late as f64 / self.counts.calls as f64
    }

    pub fn hand_over_share(&self) -> f64 {
        self.counts.hand_overs as f64 / self.counts.calls as f64
    }

    /// The share of the calls that were sent to another failure domain.
    pub fn share_that_leaves(&self) -> f64 {
        self.counts.left_domain as f64 / self.sent() as f64
    }

    /// The calls sent to the server that got most, as a multiple of an equal share.
    pub fn largest_share(&self) -> f64 {
        let most = self.servers.iter().map(|server| server.chosen).max();
        most.unwrap_or(0) as f64 * self.servers.len() as f64 / self.sent() as f64
    }

    fn sent(&self) -> u64 {
        self.servers.iter().map(|server| server.chosen).sum()
    }
}

/// Nodes and servers are assigned to three failure domains of one region in rotation.
fn proximity(node: usize, server: usize) -> Proximity {
    match node % 3 == server % 3 {
        true => Proximity::SameDomain,
        false => Proximity::SameRegion,
    }
}

fn delay(node: usize, server: usize) -> u64 {
    1 + proximity(node, server) as u64
}
