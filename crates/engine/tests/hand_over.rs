//! Calls that the node beside a server that has become slow hands over to another instance.

use bilberry_engine::Announcement;
use bilberry_engine::Config;
use bilberry_engine::Counter;
use bilberry_engine::Diagnostic;
use bilberry_engine::Engine;
use bilberry_engine::Heartbeat;
use bilberry_engine::Input;
use bilberry_engine::Output;
use bilberry_engine::RunEnd;
use bilberry_engine::ServerReport;
use bytes::Bytes;
use proto::ActionId;
use proto::Call;
use proto::CallId;
use proto::CallRole;
use proto::Class;
use proto::Datagram;
use proto::Fingerprint;
use proto::Frame;
use proto::Incarnation;
use proto::Instance;
use proto::LoadReport;
use proto::MemberMessage;
use proto::Outcome;
use proto::PeerState;
use proto::PeerUpdate;
use proto::Reason;
use proto::Request;
use proto::Response;
use proto::RunId;
use proto::ServerSpeed;
use proto::PROTOCOL_VERSION;
use rules::Rules;
use stdx::Time;

const SLOTS: u16 = 20;
/// How many calls the node lets its server run at a time.
const USABLE_SLOTS: u64 = 19;
const RUN_MS: u64 = 50;

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1000)
}

fn instance(n: u64) -> Instance {
    Instance {
        incarnation: Incarnation(n),
        service: "ledger".into(),
        failure_domain: "milano-1".into(),
        region: "lombardia".into(),
        addr: ([127, 0, 0, 1], 7000 + n as u16).into(),
    }
}

/// A node beside a server that needs 50 ms for a run at the usual speed. Instance 2 of the service
/// makes the calls.
struct Node {
    engine: Engine,
    calls: u64,
}

impl Node {
    fn new() -> Self {
        let cfg = Config {
            parse_rules: |_| Some(Rules::default()),
            server_announces: true,
            ..Config::default()
        };
        let mut node = Self {
            engine: Engine::new(cfg, instance(1)),
            calls: 0,
        };
        let (version, file) = (1, "".into());
        node.feed(0, Input::RulesPublished { version, file });
        node.feed(
            0,
            Input::Server(Announcement::Alive(Heartbeat {
                id: "a".into(),
                started_ms: 100,
                sequence: 1,
                service: "ledger".into(),
                slots: SLOTS,
                draining: false,
            })),
        );
        node.slowdown(0, 100);
        node.hear(0, load(900, 100));
        let run = run_of(&node.call(0, |_| {})).expect("it starts");
        let response = Response {
            status: 200,
            headers: Vec::new(),
            body: Bytes::new(),
        };
        let end = RunEnd::Response(response);
        node.feed(RUN_MS, Input::RunEnded { run, end });
        node
    }

    /// The same, with a server that is slow from 100 ms on, and the last known load of the other
    /// instance.
    fn slow(sibling: LoadReport) -> Self {
        let mut node = Self::new();
        node.hear(99, sibling);
        node.slowdown(100, 250);
        node
    }

    fn feed(&mut self, ms: u64, input: Input) -> Vec<Output> {
        self.engine.handle(at(ms), input)
    }

    fn slowdown(&mut self, ms: u64, percent: u16) -> Vec<Output> {
        let report = ServerReport {
            slowdown_percent: Ok(Some(percent)),
            ..ServerReport::default()
        };
        let (id, sent_at) = ("a".into(), at(ms));
        let input = Input::ServerReport {
            id,
            sent_at,
            report,
        };
        self.feed(ms, input)
    }

    /// Receives a load report of the other instance.
    fn hear(&mut self, ms: u64, load: LoadReport) {
        let from = PeerUpdate {
            instance: instance(2),
            state: PeerState::Alive,
            revision: 0,
            accepts_work: true,
        };
        let message = MemberMessage::Ping {
            from,
            seq: ms,
            digest: 0,
            load,
            updates: Vec::new(),
        };
        let datagram = Datagram::Member {
            version: PROTOCOL_VERSION,
            progress: Default::default(),
            message,
        };
        let from = instance(2).addr;
        self.feed(ms, Input::Datagram { from, datagram });
    }

    /// Receives a call of a run that has 200 ms left, half of it for this call. `change` makes it
    /// another call.
    fn call(&mut self, ms: u64, change: impl Fn(&mut Call)) -> Vec<Output> {
        self.calls += 1;
        let path = format!("/entries/{}", self.calls);
        let mut call = Call {
            id: CallId {
                from: Incarnation(2),
                number: self.calls,
            },
            action: ActionId(u128::from(self.calls)),
            admission_sample: 60_000,
            class: Class::Order,
            priority: 0,
            passed_level: 0,
            role: CallRole::Serve,
            remaining_ms: 200,
            objective_ms: None,
            retry_allowance: 0,
            possible_repeat: false,
            idempotent: true,
            key: None,
            first_attempt: false,
            depth: 1,
            redirects: 0,
            request: Request::new("ledger", "GET", &path, Bytes::new()),
        };
        change(&mut call);
        let (from, frame) = (Incarnation(2), Frame::Call(Box::new(call)));
        self.feed(ms, Input::Frame { from, frame })
    }
}

fn load(utilisation: u16, slowdown_percent: u16) -> LoadReport {
    LoadReport {
        utilisation,
        limit: USABLE_SLOTS as u16,
        slowdown_percent,
        speed: ServerSpeed {
            mean_percent: 100,
            ..ServerSpeed::default()
        },
        ..LoadReport::default()
    }
}

fn run_of(outputs: &[Output]) -> Option<RunId> {
    outputs.iter().find_map(|output| match output {
        Output::Run { run, .. } => Some(*run),
        _ => None,
    })
}

/// The reasons of the refusals that ask for another attempt elsewhere.
fn refusals(outputs: &[Output]) -> Vec<Reason> {
    let answers = outputs.iter().filter_map(|output| match output {
        Output::Send {
            frame: Frame::Answer(_, answer),
            ..
        } => Some(&answer.outcome),
        _ => None,
    });
    let refusals = answers.filter_map(|outcome| match outcome {
        Outcome::NotRun(refusal) if refusal.attempt_only => Some(refusal.reason),
        _ => None,
    });
    refusals.collect()
}

fn check_runs_here(node: &mut Node, change: impl Fn(&mut Call)) {
    let outputs = node.call(110, change);
    assert!(run_of(&outputs).is_some(), "{outputs:?}");
}

#[test]
fn late_call_goes_to_an_instance_with_room() {
    let mut node = Node::slow(load(300, 100));
    let outputs = node.call(110, |_| {});
    assert_eq!(refusals(&outputs), [Reason::QueueFull]);
    assert!(outputs.contains(&Output::Count(Counter::HandOver)));
    let lines = outputs.iter().filter_map(|output| match output {
        Output::Diagnostic(it @ Diagnostic::HandedOver { .. }) => Some(it.to_string()),
        _ => None,
    });
    let expected = "event=handed_over request= slowdown_percent=250 age_ms=10 running=0 queued=0 \
                    due_ms=100";
    assert_eq!(lines.collect::<Vec<_>>(), [expected]);
}

#[test]
fn call_that_can_end_in_time_runs_here() {
    check_runs_here(&mut Node::slow(load(300, 100)), |call| {
        call.remaining_ms = 2000
    });
    check_runs_here(&mut Node::slow(load(300, 100)), |call| call.depth = 0);
    check_runs_here(&mut Node::new(), |_| {});
}

/// Elsewhere it would wait as well, and the hand-over would be in vain.
#[test]
fn call_runs_here_unless_another_instance_is_known_to_have_room() {
    check_runs_here(&mut Node::slow(load(900, 100)), |_| {});
    check_runs_here(&mut Node::slow(load(300, 250)), |_| {});
}

/// A call with a key runs only at the key's home, and would fail.
#[test]
fn call_with_a_key_runs_here() {
    let mut node = Node::slow(load(300, 100));
    check_runs_here(&mut node, |call| {
        let key = proto::KeyHash(7);
        call.key = Some((key, Fingerprint::of(&call.request)));
    });
}

/// If every instance handed a call over, it would fail in the end.
#[test]
fn third_instance_runs_the_call() {
    let mut node = Node::slow(load(300, 100));
    let outputs = node.call(110, |call| call.redirects = 1);
    assert_eq!(refusals(&outputs), [Reason::QueueFull]);
    check_runs_here(&mut node, |call| call.redirects = 2);
}

/// A report that is not renewed says nothing about the present.
#[test]
fn slowdown_that_is_not_renewed_hands_nothing_over() {
    let mut node = Node::slow(load(300, 100));
    node.hear(1101, load(300, 100));
    let outputs = node.call(1102, |_| {});
    assert!(run_of(&outputs).is_some(), "{outputs:?}");
}

#[test]
fn waiting_calls_are_handed_over_when_the_server_becomes_slow() {
    let mut node = Node::new();
    node.hear(60, load(300, 100));
    for _ in 0..USABLE_SLOTS {
        assert!(run_of(&node.call(60, |_| {})).is_some());
    }
    let mut handed_over = Vec::new();
    for _ in 0..3 {
        handed_over.extend(refusals(&node.call(61, |_| {})));
    }
    assert_eq!(handed_over, [], "they wait");
    let outputs = node.slowdown(70, 250);
    assert_eq!(refusals(&outputs), [Reason::QueueFull; 3]);
}

/// Nothing recent is known of the other instance. It is asked, but not with every call.
#[test]
fn other_instances_are_asked_once_a_second() {
    let mut node = Node::new();
    let pings = |outputs: &[Output]| {
        let pings = outputs.iter().filter(|output| {
            let Output::Datagram { datagram, .. } = output else {
                return false;
            };
            let message = match datagram {
                Datagram::Member { message, .. } => message,
                _ => return false,
            };
            matches!(message, MemberMessage::Ping { .. })
        });
        pings.count()
    };
    // Later than the regular probe that is due at this time.
    node.feed(3_200, Input::Tick);
    node.slowdown(3_200, 250);
    let first = node.call(3_210, |_| {});
    assert!(run_of(&first).is_some());
    assert_eq!(pings(&first), 1);
    assert_eq!(pings(&node.call(3_220, |_| {})), 0);
}
