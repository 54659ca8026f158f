//! Retry allowances in complete call trees: engines for 15 services with two instances each and one
//! more node that receives the root request, backend servers that refuse calls or drop connections,
//! lost answers and unreachable nodes.

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

/// One call of a tree, and the faults of its attempts.
#[derive(Debug, Clone)]
struct TreeCall {
    parent: usize,
    keyed: bool,
    /// The child calls are made all at once, not one after another.
    parallel: bool,
    /// The faults of its first, second, ... attempt; the attempts after these succeed.
    faults_by_attempt: Vec<Fault>,
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

fn call_trees() -> impl Strategy<Value = Vec<TreeCall>> {
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
        let call = |(index, (parent, keyed, parallel, faults_by_attempt)): (
            usize,
            (prop::sample::Index, _, _, _),
        )| {
            // The parent is one of the up to three calls before this one, so that trees become
            // deep.
            let parent = if index == 0 {
                0
            } else {
                index - 1 - parent.index(index.min(3))
            };
            TreeCall {
                parent,
                keyed,
                parallel,
                faults_by_attempt,
            }
        };
        calls.map(call).collect()
    })
}

/// A run in progress on a backend server.
struct Run {
    node: usize,
    call: usize,
    fault: Fault,
    /// Child calls that are still to be made.
    unstarted: Vec<usize>,
    /// How many child calls are in flight.
    in_flight: usize,
}

/// Delivers messages between all engines, and simulates their backend servers with the faults of a
/// call tree.
struct Simulation {
    calls: Vec<TreeCall>,
    /// The depth of each call in the tree, which is also the number of its service.
    depths: Vec<usize>,
    engines: Vec<Engine>,
    now: Time,
    inputs: VecDeque<(usize, Input)>,
    runs: IndexMap<RunId, Run>,
    /// The run that made each child call.
    tokens: IndexMap<RequestToken, RunId>,
    /// How many attempts were made of each call.
    attempts_by_call: IndexMap<usize, usize>,
    /// The fault of each attempt.
    faults: IndexMap<CallId, Fault>,
    /// The attempts that were sent to a reachable node.
    attempts: IndexSet<CallId>,
    /// How many runs of each call were started.
    runs_by_call: IndexMap<usize, usize>,
    next_token: u64,
    answer: Option<Outcome>,
}

impl Simulation {
    fn new(calls: Vec<TreeCall>, allowance: u16) -> Self {
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
        // The last node, without another instance of its service, is the entry node.
        let instances: Vec<Instance> = (0..2 * DEPTH + 1).map(instance).collect();
        records.extend(instances.iter().cloned().map(Record::Join));
        let records: Vec<(u64, Bytes)> = (0..)
            .zip(records.iter().map(|record| proto::encode(record).into()))
            .collect();
        let mut cfg = Config::default();
        // The retry budget would refuse retries as well. Without it only the allowance limits them.
        cfg.policy.retry_budget = false;
        let mut simulation = Self {
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
            attempts_by_call: IndexMap::new(),
            faults: IndexMap::new(),
            attempts: IndexSet::new(),
            runs_by_call: IndexMap::new(),
            next_token: 0,
            answer: None,
        };
        for node in 0..simulation.engines.len() {
            simulation
                .inputs
                .push_back((node, Input::Records(records.clone())));
            simulation.inputs.push_back((node, Input::LogCaughtUp));
        }
        simulation
    }

    /// Sends the root request and returns its outcome.
    fn run(&mut self) -> Outcome {
        self.process_inputs();
        self.send_request(2 * DEPTH, None, 0);
        self.process_inputs();
        // No timer has to fire for the answer: only leases, reports and deadlines have timers now.
        self.answer
            .take()
            .expect("the root request should be answered")
    }

    fn process_inputs(&mut self) {
        while let Some((node, input)) = self.inputs.pop_front() {
            self.now = self.now + Duration::from_millis(1);
            let outputs = self.engines[node].handle(self.now, input);
            for output in outputs {
                self.handle_output(node, output);
            }
        }
    }

    fn send_request(&mut self, node: usize, parent: Option<RunId>, call: usize) {
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
            node,
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

    fn handle_output(&mut self, node: usize, output: Output) {
        match output {
            Output::Send { to, frame } => self.send_frame(node, to.incarnation, frame),
            Output::Run { run, request, .. } => self.start_run(node, run, &request),
            Output::Answer { token, outcome, .. } => match self.tokens.swap_remove(&token) {
                Some(run) => self.child_ended(run),
                None => self.answer = Some(outcome),
            },
            _ => {}
        }
    }

    fn send_frame(&mut self, node: usize, to: Incarnation, frame: Frame) {
        let from = Incarnation(node as u64);
        match &frame {
            Frame::Call(call) => {
                let index = call_index(&call.request);
                if !self.faults.contains_key(&call.id) {
                    let attempt_count = self.attempts_by_call.entry(index).or_insert(0);
                    let faults_by_attempt = &self.calls[index].faults_by_attempt;
                    let fault = faults_by_attempt
                        .get(*attempt_count)
                        .copied()
                        .unwrap_or(Fault::None);
                    *attempt_count += 1;
                    self.faults.insert(call.id, fault);
                }
                if self.faults[&call.id] == Fault::Unreachable {
                    let unsent = vec![frame];
                    let input = Input::PeerUnreachable { peer: to, unsent };
                    return self.inputs.push_back((node, input));
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

    fn start_run(&mut self, node: usize, run: RunId, request: &Request) {
        let call = call_index(request);
        *self.runs_by_call.entry(call).or_insert(0) += 1;
        let attempt = self.attempts_by_call[&call] - 1;
        let fault = self.calls[call].faults_by_attempt.get(attempt).copied();
        let fault = fault.unwrap_or(Fault::None);
        let mut unstarted: Vec<usize> = (1..self.calls.len())
            .filter(|child| self.calls[*child].parent == call && self.depths[*child] < DEPTH)
            .collect();
        if fault == Fault::RefusedAtOnce {
            unstarted.clear();
        }
        let in_flight = 0;
        self.runs.insert(
            run,
            Run {
                node,
                call,
                fault,
                unstarted,
                in_flight,
            },
        );
        self.continue_run(run);
    }

    fn child_ended(&mut self, run: RunId) {
        self.runs[&run].in_flight -= 1;
        self.continue_run(run);
    }

    /// Makes the next child calls, or ends the run.
    fn continue_run(&mut self, id: RunId) {
        let run = &mut self.runs[&id];
        if run.in_flight > 0 {
            return;
        }
        let count = if self.calls[run.call].parallel {
            run.unstarted.len()
        } else {
            run.unstarted.len().min(1)
        };
        if count > 0 {
            run.in_flight = count;
            let (node, children) = (
                run.node,
                run.unstarted.split_off(run.unstarted.len() - count),
            );
            for child in children {
                self.send_request(node, Some(id), child);
            }
            return;
        }
        let end = match run.fault {
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
        self.inputs.push_back((run.node, input));
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

fn call_index(request: &Request) -> usize {
    request.path[1..]
        .parse()
        .expect("the path should be the index of the call")
}

/// Runs a call tree with its faults and checks the number of attempts.
///
/// Retries at every hop multiply: three at each of 15 hops are millions of attempts at the last
/// hop, and the overload that causes them then sustains itself. The required bound is one attempt
/// for each call of the tree plus the root's allowance, whichever calls are refused, lost or cut
/// off.
fn check_attempts(calls: Vec<TreeCall>, allowance: u16) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new(calls, allowance);
    simulation.run();
    prop_assert!(
        !simulation.attempts.is_empty()
            || simulation.calls[0]
                .faults_by_attempt
                .contains(&Fault::Unreachable)
    );
    let sent_calls = (0..simulation.calls.len()).filter(|call| simulation.depths[*call] < DEPTH);
    let bound = sent_calls.count() + usize::from(allowance);
    prop_assert!(
        simulation.attempts.len() <= bound,
        "{} attempts, {bound} allowed",
        simulation.attempts.len()
    );
    for (call, runs) in &simulation.runs_by_call {
        prop_assert!(!simulation.calls[*call].keyed || *runs <= 1 + usize::from(allowance));
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
    fn attempts_never_exceed_calls_plus_allowance(
        calls in call_trees(),
        allowance in 0_u16..6,
    ) {
        check_attempts(calls, allowance)?;
    }
}
