//! Retries over whole call trees: engines for 15 services, two instances each, and backend servers
//! that refuse and break off, with answers lost and connections cut.

use bilberry_engine::Config;
use bilberry_engine::Engine;
use bilberry_engine::Input;
use bilberry_engine::Output;
use bilberry_engine::RequestToken;
use bilberry_engine::RunEnd;
use bytes::Bytes;
use indexmap::IndexMap;
use indexmap::IndexSet;
use journal::Record;
use proptest::prelude::*;
use proto::CallId;
use proto::Frame;
use proto::Incarnation;
use proto::Instance;
use proto::Outcome;
use proto::Request;
use proto::Response;
use proto::RunId;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::Time;

const DEPTH: usize = 15;

/// One call of a tree: what it calls, and what goes wrong at it.
#[derive(Debug, Clone)]
struct Call {
    parent: usize,
    keyed: bool,
    /// Children are called at once, not one after another.
    parallel: bool,
    /// How the first, second, ... run of it ends; whole after these.
    ends: Vec<Fault>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    RefusedAtOnce,
    RefusedAfterChildren,
    LostAfterChildren,
    AnswerLost,
    Unreachable,
}

fn calls() -> impl Strategy<Value = Vec<Call>> {
    let fault = prop_oneof![
        3 => Just(Fault::None),
        1 => Just(Fault::RefusedAtOnce),
        1 => Just(Fault::RefusedAfterChildren),
        1 => Just(Fault::LostAfterChildren),
        1 => Just(Fault::AnswerLost),
        1 => Just(Fault::Unreachable),
    ];
    let call = (
        any::<prop::sample::Index>(),
        prop::bool::weighted(0.2),
        any::<bool>(),
        prop::collection::vec(fault, 0..4),
    );
    prop::collection::vec(call, 1..40).prop_map(|calls| {
        let calls = calls.into_iter().enumerate();
        let call =
            |(index, (parent, keyed, parallel, ends)): (usize, (prop::sample::Index, _, _, _))| {
                // Late parents make deep trees.
                let parent = if index == 0 {
                    0
                } else {
                    index - 1 - parent.index(index.min(3))
                };
                Call {
                    parent,
                    keyed,
                    parallel,
                    ends,
                }
            };
        calls.map(call).collect()
    })
}

/// A run on a backend server that is under way.
struct Run {
    at: usize,
    call: usize,
    end: Fault,
    left: Vec<usize>,
    waiting: usize,
}

struct World {
    calls: Vec<Call>,
    depths: Vec<usize>,
    engines: Vec<Engine>,
    now: Time,
    inputs: VecDeque<(usize, Input)>,
    runs: IndexMap<RunId, Run>,
    tokens: IndexMap<RequestToken, RunId>,
    runs_of: IndexMap<usize, usize>,
    /// What happens to each attempt at the network.
    faults: IndexMap<CallId, Fault>,
    attempts: IndexSet<CallId>,
    keyed_runs: IndexMap<usize, usize>,
    next_token: u64,
    answer: Option<Outcome>,
}

impl World {
    fn new(calls: Vec<Call>, allowance: u16) -> Self {
        let mut depths = vec![0; calls.len()];
        for index in 1..calls.len() {
            depths[index] = depths[calls[index].parent] + 1;
        }
        let mut records = Vec::new();
        let mut rules = String::new();
        for depth in 0..DEPTH {
            rules += &format!(
                "operation s{depth} GET /* class=lookup idempotent deadline=1h retries={allowance} # asked by Ada\n\
                 operation s{depth} POST /* class=order deadline=1h retries={allowance} # asked by Ada\n"
            );
        }
        records.push(Record::Publish {
            version: 1,
            publication: 1,
            operator: "ada".into(),
            file: rules.into(),
        });
        let instances: Vec<Instance> = (0..2 * DEPTH + 1).map(instance).collect();
        records.extend(instances.iter().cloned().map(Record::Join));
        let records: Vec<(u64, Bytes)> = (0..)
            .zip(records.iter().map(|record| proto::encode(record).into()))
            .collect();
        let mut cfg = Config::default();
        cfg.policy.retry_budget = false;
        let mut world = Self {
            calls,
            depths,
            engines: instances
                .into_iter()
                .map(|me| Engine::new(cfg.clone(), me))
                .collect(),
            now: Time::ZERO,
            inputs: VecDeque::new(),
            runs: IndexMap::new(),
            tokens: IndexMap::new(),
            runs_of: IndexMap::new(),
            faults: IndexMap::new(),
            attempts: IndexSet::new(),
            keyed_runs: IndexMap::new(),
            next_token: 0,
            answer: None,
        };
        for at in 0..world.engines.len() {
            world
                .inputs
                .push_back((at, Input::Records(records.clone())));
            world.inputs.push_back((at, Input::LogCaughtUp));
        }
        world
    }

    /// Sends the root and gives its answer.
    fn run(&mut self) -> Outcome {
        self.work();
        self.request(2 * DEPTH, None, 0);
        self.work();
        // Leases and reports aside, nothing but deadlines is due now.
        self.answer.take().expect("the caller gets an answer")
    }

    fn work(&mut self) {
        while let Some((at, input)) = self.inputs.pop_front() {
            self.now = self.now + Duration::from_millis(1);
            let outputs = self.engines[at].handle(self.now, input);
            for output in outputs {
                self.output(at, output);
            }
        }
    }

    fn request(&mut self, at: usize, parent: Option<RunId>, call: usize) {
        self.next_token += 1;
        let token = RequestToken(self.next_token);
        if let Some(run) = parent {
            self.tokens.insert(token, run);
        }
        let method = if self.calls[call].keyed {
            "POST"
        } else {
            "GET"
        };
        let service = format!("s{}", self.depths[call]);
        self.inputs.push_back((
            at,
            Input::Request {
                credential: None,
                token,
                caller: "shop".into(),
                context: parent.map(|run| run.to_string().into()),
                parent: None,
                key: None,
                caller_timeout: None,
                request: Request::new(&service, method, &format!("/{call}"), Bytes::new()),
            },
        ));
    }

    fn output(&mut self, at: usize, output: Output) {
        match output {
            Output::Send { to, frame } => self.send(at, to.incarnation, frame),
            Output::Run { run, request, .. } => self.start(at, run, &request),
            Output::Answer { token, outcome, .. } => match self.tokens.swap_remove(&token) {
                Some(run) => self.child_ended(run),
                None => self.answer = Some(outcome),
            },
            _ => {}
        }
    }

    fn send(&mut self, at: usize, to: Incarnation, frame: Frame) {
        let from = Incarnation(at as u64);
        match &frame {
            Frame::Call(call) => {
                let index = index(&call.request);
                if !self.faults.contains_key(&call.id) {
                    let run = self.runs_of.entry(index).or_insert(0);
                    let ends = &self.calls[index].ends;
                    let fault = ends.get(*run).copied().unwrap_or(Fault::None);
                    *run += 1;
                    self.faults.insert(call.id, fault);
                }
                if self.faults[&call.id] == Fault::Unreachable {
                    let unsent = vec![frame];
                    let input = Input::PeerUnreachable { peer: to, unsent };
                    return self.inputs.push_back((at, input));
                }
                self.attempts.insert(call.id);
            }
            Frame::Answer(id, _) if self.faults[id] == Fault::AnswerLost => {
                return self
                    .inputs
                    .push_back((to.0 as usize, Input::PeerLost(from)));
            }
            _ => {}
        }
        self.inputs
            .push_back((to.0 as usize, Input::Frame { from, frame }));
    }

    fn start(&mut self, at: usize, run: RunId, request: &Request) {
        let call = index(request);
        *self.keyed_runs.entry(call).or_insert(0) += 1;
        let nth = self.runs_of[&call] - 1;
        let end = self.calls[call].ends.get(nth).copied();
        let end = end.unwrap_or(Fault::None);
        let mut left: Vec<usize> = (1..self.calls.len())
            .filter(|child| self.calls[*child].parent == call && self.depths[*child] < DEPTH)
            .collect();
        if end == Fault::RefusedAtOnce {
            left.clear();
        }
        let waiting = 0;
        self.runs.insert(
            run,
            Run {
                at,
                call,
                end,
                left,
                waiting,
            },
        );
        self.go_on(run);
    }

    fn child_ended(&mut self, run: RunId) {
        self.runs[&run].waiting -= 1;
        self.go_on(run);
    }

    /// Sends the next children, or ends the run.
    fn go_on(&mut self, id: RunId) {
        let run = &mut self.runs[&id];
        if run.waiting > 0 {
            return;
        }
        let many = if self.calls[run.call].parallel {
            run.left.len()
        } else {
            run.left.len().min(1)
        };
        if many > 0 {
            run.waiting = many;
            let (at, children) = (run.at, run.left.split_off(run.left.len() - many));
            for child in children {
                self.request(at, Some(id), child);
            }
            return;
        }
        let end = match run.end {
            Fault::RefusedAtOnce | Fault::RefusedAfterChildren => {
                RunEnd::Refused { retry_after: None }
            }
            Fault::LostAfterChildren => RunEnd::Lost,
            _ => RunEnd::Response(Response {
                status: 200,
                headers: Vec::new(),
                body: Bytes::new(),
            }),
        };
        let input = Input::RunEnded { run: id, end };
        self.inputs.push_back((run.at, input));
    }
}

fn instance(n: usize) -> Instance {
    Instance {
        incarnation: Incarnation(n as u64),
        service: format!("s{}", n / 2).into(),
        failure_domain: "milano-1".into(),
        region: "lombardia".into(),
        addr: ([127, 0, 0, 1], 7000 + n as u16).into(),
    }
}

fn index(request: &Request) -> usize {
    request.path[1..].parse().expect("the path is the index")
}

/// Retries at every hop multiply: three at each of 15 hops are millions of attempts at the last,
/// and the overload that made them goes on by itself. The users' bound is one attempt for each call
/// of the tree and the root's allowance, whatever is refused, lost or cut on the way.
fn check_attempts(calls: Vec<Call>, allowance: u16) -> Result<(), TestCaseError> {
    let mut world = World::new(calls, allowance);
    world.run();
    prop_assert!(!world.attempts.is_empty() || world.calls[0].ends.contains(&Fault::Unreachable));
    let edges = (0..world.calls.len()).filter(|call| world.depths[*call] < DEPTH);
    let bound = edges.count() + usize::from(allowance);
    prop_assert!(
        world.attempts.len() <= bound,
        "{} attempts, {bound} allowed",
        world.attempts.len()
    );
    for (call, runs) in &world.keyed_runs {
        prop_assert!(!world.calls[*call].keyed || *runs <= 1 + usize::from(allowance));
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn attempts_never_exceed_the_calls_and_the_allowance(
        calls in calls(),
        allowance in 0_u16..6,
    ) {
        check_attempts(calls, allowance)?;
    }
}
