//! Scheduling by slack: what the node beside a server learns, and which levels apply to patient
//! actions at their ingress node.

use bilberry_engine::Config;
use bilberry_engine::Counter;
use bilberry_engine::Diagnostic;
use bilberry_engine::Engine;
use bilberry_engine::Input;
use bilberry_engine::Output;
use bilberry_engine::RequestToken;
use bilberry_engine::RunEnd;
use bytes::Bytes;
use journal::Record;
use proto::Answer;
use proto::Call;
use proto::DownstreamSummary;
use proto::Frame;
use proto::Incarnation;
use proto::Instance;
use proto::LoadReport;
use proto::Outcome;
use proto::Reason;
use proto::Request;
use proto::Response;
use std::time::Duration;
use stdx::Time;

const OWN_NODE: u16 = 1;
const PEER_NODE: u16 = 2;

/// Callers of `topup` can wait, those of `pay` cannot.
const RULES: &str = "\
operation till POST /topup class=payment idempotent deadline=1500ms objective=4s priority=2 # asked by Anna
operation till POST /pay class=order idempotent deadline=500ms priority=0 # asked by Anna
";

/// The same without an action whose callers can wait.
const RULES_WITHOUT_PATIENT: &str = "\
operation till POST /topup class=payment idempotent deadline=1500ms priority=2 # asked by Anna
operation till POST /pay class=order idempotent deadline=500ms priority=0 # asked by Anna
";

fn instance(n: u16, service: &str) -> Instance {
    Instance {
        incarnation: Incarnation(u64::from(n)),
        service: service.into(),
        failure_domain: "ba-norte".into(),
        region: "ba".into(),
        addr: ([127, 0, 0, 1], 7000 + n).into(),
    }
}

const RESPONSE: Response = Response {
    status: 200,
    headers: Vec::new(),
    body: Bytes::new(),
};

struct Node {
    engine: Engine,
    now: Time,
    tokens: u64,
}

impl Node {
    /// A node of this service, beside another node that serves `till`.
    fn new(service: &str, rules: &str) -> Self {
        let publish = Record::Publish {
            version: 1,
            publication: 1,
            operator: "Anna".into(),
            file: rules.into(),
        };
        let own = instance(OWN_NODE, service);
        let records = [publish, Record::Join(own.clone())];
        let peer = (service != "till").then(|| Record::Join(instance(PEER_NODE, "till")));
        let records = records.into_iter().chain(peer);
        let records = (0..).zip(records.map(|record| Bytes::from(proto::encode(&record))));
        let mut node = Self {
            engine: Engine::new(Config::default(), own),
            now: Time::ZERO,
            tokens: 0,
        };
        node.feed(Input::Records(records.collect()));
        node.feed(Input::LogCaughtUp);
        node
    }

    fn feed(&mut self, input: Input) -> Vec<Output> {
        self.engine.handle(self.now, input)
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        self.feed(Input::Tick);
    }

    fn request(&mut self, path: &str) -> Vec<Output> {
        self.tokens += 1;
        self.feed(Input::Request {
            credential: None,
            token: RequestToken(self.tokens),
            caller: "Anna".into(),
            context: None,
            parent: None,
            key: None,
            caller_timeout: None,
            request: Request::new("till", "POST", path, self.tokens.to_string().into()),
        })
    }

    /// Sends a request and completes its run on this node's own server after some milliseconds.
    /// Returns the slack of the run.
    fn run(&mut self, path: &str, ms: u64) -> Option<i64> {
        let outputs = self.request(path);
        let run = outputs.iter().find_map(|output| match output {
            Output::Run { run, .. } => Some(*run),
            _ => None,
        });
        let run = run.expect("the server is idle");
        self.advance(ms);
        let end = RunEnd::Response(RESPONSE);
        let outputs = self.feed(Input::RunEnded { run, end });
        let ended = outputs.iter().find_map(|output| match output {
            Output::Diagnostic(Diagnostic::JobEnded { slack_ms, .. }) => Some(*slack_ms),
            _ => None,
        });
        ended.expect("the end of a run is logged")
    }

    /// Sends requests whose calls are answered with these levels of the peer and of what it calls.
    /// Reported levels are averaged, so a single answer does not suffice.
    fn learn_levels(&mut self, path: &str, level: u16, downstream: u16) {
        let calls: Vec<Call> = (0..10)
            .filter_map(|_| call_of(&self.request(path)))
            .collect();
        assert_eq!(calls.len(), 10, "no level is known yet");
        let mut answer = Answer {
            outcome: Outcome::Completed(RESPONSE),
            unspent_retries: 0,
            load: LoadReport::default(),
            downstream: DownstreamSummary::default(),
        };
        (answer.load.level, answer.load.limit) = (level, 16);
        answer.downstream.level = downstream;
        for call in calls {
            self.advance(50);
            let from = Incarnation(u64::from(PEER_NODE));
            let frame = Frame::Answer(call.id, Box::new(answer.clone()));
            self.feed(Input::Frame { from, frame });
        }
    }
}

fn call_of(outputs: &[Output]) -> Option<Call> {
    outputs.iter().find_map(|output| match output {
        Output::Send {
            frame: Frame::Call(call),
            ..
        } => Some((**call).clone()),
        _ => None,
    })
}

fn is_shed(outputs: &[Output]) -> bool {
    let shed = |output: &Output| matches!(output, Output::Count(Counter::NotRun(Reason::Shed)));
    outputs.iter().any(shed)
}

/// The latest start is known once enough runs were seen, and is the end of the objective less the
/// learned duration. A node that has just started has learned nothing, and must not guess.
#[test]
fn latest_start_is_learned_from_runs() {
    let mut node = Node::new("till", RULES);
    assert_eq!(node.run("/topup", 50), None);
    for _ in 0..16 {
        node.run("/topup", 50);
    }
    assert_eq!(node.run("/topup", 50), Some(3950));
    // What is learned of one operation says nothing about another one.
    assert_eq!(node.run("/pay", 50), None);
}

/// Without an action whose callers can wait, nothing is scheduled by slack.
#[test]
fn nothing_is_learned_unless_callers_can_wait() {
    let mut node = Node::new("till", RULES_WITHOUT_PATIENT);
    for _ in 0..32 {
        assert_eq!(node.run("/topup", 50), None);
    }
}

/// The level of a server takes a short burst for overload. If the ingress nodes applied it to
/// patient actions, these would be refused before the queue of the server is asked.
#[test]
fn level_of_the_server_applies_to_urgent_actions_only() {
    let mut node = Node::new("shop", RULES);
    node.learn_levels("/topup", u16::MAX, 0);
    assert!(call_of(&node.request("/topup")).is_some());
    let outputs = node.request("/pay");
    assert!(is_shed(&outputs) && call_of(&outputs).is_none());
    let mut node = Node::new("shop", RULES_WITHOUT_PATIENT);
    node.learn_levels("/topup", u16::MAX, 0);
    assert!(is_shed(&node.request("/topup")));
}

/// The queue of the server that runs a patient action says nothing about the services below it, so
/// their levels apply.
#[test]
fn levels_of_the_services_below_apply_to_patient_actions() {
    let mut node = Node::new("shop", RULES);
    node.learn_levels("/topup", 0, u16::MAX);
    let outputs = node.request("/topup");
    assert!(is_shed(&outputs) && call_of(&outputs).is_none());
}
