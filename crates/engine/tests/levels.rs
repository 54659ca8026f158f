//! How a node hears of the admission levels of services below it, and what it makes of them.

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

const CALLER: u16 = 2;
const STOCK: u16 = 3;

const RULES: &str = "\
operation status GET /orders class=lookup idempotent deadline=5s # asked by Anna
operation stock GET /shirts class=lookup idempotent deadline=5s # asked by Anna
";

/// The level that the stock service tells, and the values of lookups below and above it.
const LEVEL: u16 = 20_000;
const LOW_DICE: u16 = 10_000;
const HIGH_DICE: u16 = 60_000;

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
            Record::Join(instance(CALLER, "status")),
            Record::Join(instance(STOCK, "stock")),
        ];
        let records = (0..).zip(records.map(|record| Bytes::from(proto::encode(&record))));
        let mut node = Self {
            engine: Engine::new(Config::default(), instance(1, "status")),
            now: Time::ZERO,
            calls: 0,
        };
        node.input(Input::Records(records.collect()));
        node.input(Input::LogCaughtUp);
        node
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        self.engine.handle(self.now, input)
    }

    fn wait(&mut self, ms: u64) -> Vec<Output> {
        self.now = self.now + Duration::from_millis(ms);
        self.input(Input::Tick)
    }

    /// A lookup of this value comes from its entry.
    fn lookup(&mut self, dice: u16) -> Vec<Output> {
        self.calls += 1;
        let call = Call {
            id: CallId {
                from: Incarnation(u64::from(CALLER)),
                number: self.calls,
            },
            action: ActionId(u128::from(self.calls)),
            admission_sample: dice,
            class: Class::Lookup,
            priority: 0,
            passed_level: 0,
            role: CallRole::Serve,
            remaining_ms: 5000,
            retry_allowance: 0,
            possible_repeat: false,
            idempotent: true,
            key: None,
            first_attempt: false,
            depth: 0,
            request: Request::new("status", "GET", "/orders", Bytes::new()),
        };
        let frame = Frame::Call(Box::new(call));
        let from = Incarnation(u64::from(CALLER));
        self.input(Input::Frame { from, frame })
    }

    /// The server reads from the stock service while it runs; gives the call that goes out.
    fn read(&mut self, run: RunId) -> Call {
        let outputs = self.input(Input::Request {
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
        sent.expect("a read goes to the stock service")
    }

    /// The stock service answers a read and tells its level.
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
        let from = Incarnation(u64::from(STOCK));
        self.input(Input::Frame { from, frame });
    }
}

fn run_of(outputs: &[Output]) -> Option<RunId> {
    outputs.iter().find_map(|output| match output {
        Output::Run { run, .. } => Some(*run),
        _ => None,
    })
}

/// A node whose first lookup runs and has three answers of the stock service, which is full.
fn node_that_has_read() -> Node {
    let mut node = Node::new();
    let run = run_of(&node.lookup(HIGH_DICE)).expect("the first lookup runs");
    for _ in 0..3 {
        node.wait(200);
        let read = node.read(run);
        node.wait(200);
        node.answer(&read);
    }
    node
}

/// Status lookups read eight times from a full service, for a second in all. Heard of only at the end of
/// the first, its level would come after a second in which everybody is let in, and most are late.
#[test]
fn a_level_below_is_heard_while_the_run_lasts() {
    let mut node = node_that_has_read();
    assert_eq!(run_of(&node.lookup(LOW_DICE)), None);
    assert!(run_of(&node.lookup(HIGH_DICE)).is_some());
}

/// A lookup is turned away for the level of a service below. Told with the refusal, the level is known
/// at the entry at once, which then turns such lookups away itself.
#[test]
fn a_refusal_tells_the_level_below() {
    let mut node = node_that_has_read();
    let outputs = node.lookup(LOW_DICE);
    let answer = outputs.into_iter().find_map(|output| match output {
        Output::Send {
            frame: Frame::Answer(_, answer),
            ..
        } => Some(*answer),
        _ => None,
    });
    let answer = answer.expect("the lookup is answered at once");
    assert!(matches!(answer.outcome, Outcome::NotRun(refusal) if refusal.reason == Reason::Shed));
    assert!(
        answer.downstream.level > LEVEL / 2,
        "{:?}",
        answer.downstream
    );
}

/// The calls of an action carry the level that it passed, so that the service below knows how many
/// there would be if nothing were shed.
#[test]
fn a_call_carries_the_level_that_its_action_passed() {
    let mut node = node_that_has_read();
    let run = run_of(&node.lookup(HIGH_DICE)).expect("it passes the level");
    let read = node.read(run);
    assert!(read.passed_level > LEVEL / 2, "{}", read.passed_level);
}

/// A server runs what it gets and loses an answer. It keeps the connection and says nothing; only the node
/// beside it can tell the silence from a wait for a busy server, and tells the entry.
#[test]
fn a_run_that_takes_longer_than_others_is_told() {
    let mut node = Node::new();
    for _ in 0..20 {
        let run = run_of(&node.lookup(HIGH_DICE)).expect("there is room");
        node.wait(50);
        let response = Response {
            status: 200,
            headers: Vec::new(),
            body: Bytes::new(),
        };
        let end = RunEnd::Response(response);
        node.input(Input::RunEnded { run, end });
    }
    node.lookup(HIGH_DICE);
    let late = |outputs: Vec<Output>| {
        let late = |output: &Output| matches!(output, Output::Send { frame: Frame::SlowCall(id), .. } if id.number == 21);
        outputs.iter().any(late)
    };
    assert!(!late(node.wait(60)), "others take as long");
    assert!(late(node.wait(200)));
}
