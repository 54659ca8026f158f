//! How a node learns the admission levels of the services that it calls, and how it applies them.

use bilberry_engine::Config;
use bilberry_engine::Engine;
use bilberry_engine::Input;
use bilberry_engine::Output;
use bilberry_engine::RequestToken;
use bilberry_engine::RunEnd;
use bytes::Bytes;
use journal::Record;
use proto::ActionId;
use proto::Answer;
use proto::Call;
use proto::CallId;
use proto::CallRole;
use proto::Class;
use proto::DownstreamSummary;
use proto::Frame;
use proto::Incarnation;
use proto::Instance;
use proto::LoadReport;
use proto::Outcome;
use proto::Reason;
use proto::Request;
use proto::Response;
use proto::RunId;
use std::time::Duration;
use stdx::Time;

const ENTRY_NODE: u16 = 2;
const STOCK_NODE: u16 = 3;

const RULES: &str = "\
operation status GET /orders class=lookup idempotent deadline=5s # asked by Anna
operation stock GET /shirts class=lookup idempotent deadline=5s # asked by Anna
";

/// The level that the stock service reports, and admission samples of lookups whose admission
/// values are below and above it. The admission value of a lookup is half its admission sample.
const LEVEL: u16 = 20_000;
const LOW_SAMPLE: u16 = 10_000;
const HIGH_SAMPLE: u16 = 60_000;

fn instance(n: u16, service: &str) -> Instance {
    Instance {
        incarnation: Incarnation(u64::from(n)),
        service: service.into(),
        failure_domain: "ba-norte".into(),
        region: "ba".into(),
        addr: ([127, 0, 0, 1], 7000 + n).into(),
    }
}

/// A node of the status service, which reads from the stock service.
struct Node {
    engine: Engine,
    now: Time,
    calls: u64,
}

impl Node {
    fn new() -> Self {
        let publish = Record::Publish {
            version: 1,
            publication: 1,
            operator: "Anna".into(),
            file: RULES.into(),
        };
        let records = [
            publish,
            Record::Join(instance(1, "status")),
            Record::Join(instance(ENTRY_NODE, "status")),
            Record::Join(instance(STOCK_NODE, "stock")),
        ];
        let records = (0..).zip(records.map(|record| Bytes::from(proto::encode(&record))));
        let mut node = Self {
            engine: Engine::new(Config::default(), instance(1, "status")),
            now: Time::ZERO,
            calls: 0,
        };
        node.feed(Input::Records(records.collect()));
        node.feed(Input::LogCaughtUp);
        node
    }

    fn feed(&mut self, input: Input) -> Vec<Output> {
        self.engine.handle(self.now, input)
    }

    /// Advances the time.
    fn advance(&mut self, ms: u64) -> Vec<Output> {
        self.now = self.now + Duration::from_millis(ms);
        self.feed(Input::Tick)
    }

    /// Receives a lookup with this admission sample from its entry node.
    fn lookup(&mut self, admission_sample: u16) -> Vec<Output> {
        self.calls += 1;
        let call = Call {
            id: CallId {
                from: Incarnation(u64::from(ENTRY_NODE)),
                number: self.calls,
            },
            action: ActionId(u128::from(self.calls)),
            admission_sample,
            class: Class::Lookup,
            priority: 0,
            passed_level: 0,
            role: CallRole::Serve,
            remaining_ms: 5000,
            objective_ms: None,
            retry_allowance: 0,
            possible_repeat: false,
            idempotent: true,
            key: None,
            first_attempt: false,
            depth: 0,
            redirects: 0,
            request: Request::new("status", "GET", "/orders", Bytes::new()),
        };
        let frame = Frame::Call(Box::new(call));
        let from = Incarnation(u64::from(ENTRY_NODE));
        self.feed(Input::Frame { from, frame })
    }

    /// Makes the backend server read from the stock service in this run, and returns the call that
    /// is sent.
    fn read_stock(&mut self, run: RunId) -> Call {
        let outputs = self.feed(Input::Request {
            credential: None,
            token: RequestToken(self.calls),
            caller: "status".into(),
            context: Some(run.to_string().into()),
            parent: None,
            key: None,
            caller_timeout: None,
            request: Request::new("stock", "GET", "/shirts", Bytes::new()),
        });
        let sent = outputs.into_iter().find_map(|output| match output {
            Output::Send {
                frame: Frame::Call(call),
                ..
            } => Some(*call),
            _ => None,
        });
        sent.expect("the read should be sent to the stock service")
    }

    /// Receives the stock service's answer to a read, which reports its level.
    fn answer(&mut self, read: &Call) {
        let answer = Answer {
            outcome: Outcome::Completed(Response {
                status: 200,
                headers: Vec::new(),
                body: Bytes::new(),
            }),
            unspent_retries: 0,
            load: LoadReport {
                level: LEVEL,
                limit: 16,
                ..LoadReport::default()
            },
            downstream: DownstreamSummary::default(),
        };
        let frame = Frame::Answer(read.id, Box::new(answer));
        let from = Incarnation(u64::from(STOCK_NODE));
        self.feed(Input::Frame { from, frame });
    }
}

fn run_of(outputs: &[Output]) -> Option<RunId> {
    outputs.iter().find_map(|output| match output {
        Output::Run { run, .. } => Some(*run),
        _ => None,
    })
}

/// A node whose first lookup is still running and has had three answers from the stock service,
/// which is overloaded.
fn node_with_reported_level() -> Node {
    let mut node = Node::new();
    let run = run_of(&node.lookup(HIGH_SAMPLE)).expect("the first lookup should run");
    for _ in 0..3 {
        node.advance(200);
        let read = node.read_stock(run);
        node.advance(200);
        node.answer(&read);
    }
    node
}

/// A status lookup reads three times from an overloaded service, which takes 1.2 s in all. If the
/// level of that service were applied only at the end of the first lookup, all lookups that arrive
/// until then would be admitted, and most would miss their deadlines.
#[test]
fn downstream_level_is_applied_while_the_run_is_in_progress() {
    let mut node = node_with_reported_level();
    assert_eq!(run_of(&node.lookup(LOW_SAMPLE)), None);
    assert!(run_of(&node.lookup(HIGH_SAMPLE)).is_some());
}

/// A lookup is shed because of the level of a downstream service. The refusal reports the level, so
/// that the entry node sheds further lookups itself.
#[test]
fn refusal_reports_the_downstream_level() {
    let mut node = node_with_reported_level();
    let outputs = node.lookup(LOW_SAMPLE);
    let answer = outputs.into_iter().find_map(|output| match output {
        Output::Send {
            frame: Frame::Answer(_, answer),
            ..
        } => Some(*answer),
        _ => None,
    });
    let answer = answer.expect("the lookup should be answered at once");
    assert!(matches!(answer.outcome, Outcome::NotRun(refusal) if refusal.reason == Reason::Shed));
    // The node applies a moving average of the reported levels, which may be below `LEVEL`.
    assert!(
        answer.downstream.level > LEVEL / 2,
        "{:?}",
        answer.downstream
    );
}

/// The calls of an action carry the level that it passed, so that the called service can estimate
/// the load that there would be if nothing were shed.
#[test]
fn call_carries_the_level_that_its_action_passed() {
    let mut node = node_with_reported_level();
    let run = run_of(&node.lookup(HIGH_SAMPLE)).expect("the lookup should pass the level");
    let read = node.read_stock(run);
    // As above, the level that was passed may be below `LEVEL`.
    assert!(read.passed_level > LEVEL / 2, "{}", read.passed_level);
}

/// A backend server loses the answer of a run and keeps the connection open. Only the node beside
/// the server knows that the run has started and is not waiting in a queue, so this node notifies
/// the ingress node of the call.
#[test]
fn run_that_takes_longer_than_others_is_reported_late() {
    let mut node = Node::new();
    for _ in 0..20 {
        let run = run_of(&node.lookup(HIGH_SAMPLE)).expect("the lookup should run at once");
        node.advance(50);
        let response = Response {
            status: 200,
            headers: Vec::new(),
            body: Bytes::new(),
        };
        let end = RunEnd::Response(response);
        node.feed(Input::RunEnded { run, end });
    }
    node.lookup(HIGH_SAMPLE);
    let reports_late = |outputs: Vec<Output>| {
        let is_late = |output: &Output| matches!(output, Output::Send { frame: Frame::SlowCall(id), .. } if id.number == 21);
        outputs.iter().any(is_late)
    };
    assert!(
        !reports_late(node.advance(60)),
        "the run is not slower than the others yet"
    );
    assert!(reports_late(node.advance(200)));
}
