//! How the home of a key handles calls with the key while a refusal is on its way to the caller.

use bilberry_engine::Config;
use bilberry_engine::Diagnostic;
use bilberry_engine::Engine;
use bilberry_engine::Input;
use bilberry_engine::Output;
use bilberry_engine::RunEnd;
use bytes::Bytes;
use journal::Record;
use proto::ActionId;
use proto::Call;
use proto::CallId;
use proto::CallRole;
use proto::Class;
use proto::Fingerprint;
use proto::Frame;
use proto::Incarnation;
use proto::Instance;
use proto::KeyHash;
use proto::Outcome;
use proto::Reason;
use proto::Request;
use proto::Response;
use proto::RunId;
use std::time::Duration;
use stdx::Time;

const CALLING_NODE: Incarnation = Incarnation(2);

const RULES: &str = "\
operation press POST /slots class=booking deadline=2s objective=6s # asked by Anna
";

/// The time in which a run should end, as its caller states it.
const OBJECTIVE_MS: u32 = 6000;

/// For how long a home with the usual configuration starts no run of a refused key.
const HOLD_MS: u64 = 200;

const RESPONSE: Response = Response {
    status: 200,
    headers: Vec::new(),
    body: Bytes::new(),
};

fn instance(n: u16, service: &str) -> Instance {
    Instance {
        incarnation: Incarnation(u64::from(n)),
        service: service.into(),
        failure_domain: "milano-1".into(),
        region: "lombardia".into(),
        addr: ([127, 0, 0, 1], 7000 + n).into(),
    }
}

fn id(number: u64) -> CallId {
    CallId {
        from: CALLING_NODE,
        number,
    }
}

/// The only home of its service.
struct Home {
    engine: Engine,
    now: Time,
    /// The key of the calls that it receives.
    key: KeyHash,
}

impl Home {
    fn new() -> Self {
        let publish = Record::Publish {
            version: 1,
            publication: 1,
            operator: "Anna".into(),
            file: RULES.into(),
        };
        let joins = [(1, "press"), (2, "order")];
        let joins = joins.map(|(n, service)| Record::Join(instance(n, service)));
        let records = [publish].into_iter().chain(joins);
        let records = (0..).zip(records.map(|record| Bytes::from(proto::encode(&record))));
        let mut home = Self {
            engine: Engine::new(Config::default(), instance(1, "press")),
            now: Time::ZERO + Duration::from_secs(100),
            key: KeyHash(1),
        };
        home.feed(Input::Records(records.collect()));
        home.feed(Input::LogCaughtUp);
        home
    }

    fn feed(&mut self, input: Input) -> Vec<Output> {
        self.engine.handle(self.now, input)
    }

    fn advance(&mut self, ms: u64) -> Vec<Output> {
        self.now = self.now + Duration::from_millis(ms);
        self.feed(Input::Tick)
    }

    fn frame(&mut self, frame: Frame) -> Vec<Output> {
        let from = CALLING_NODE;
        self.feed(Input::Frame { from, frame })
    }

    /// Receives an attempt of the same order, which may take this long.
    fn call(&mut self, number: u64, role: CallRole, remaining_ms: u32) -> Vec<Output> {
        let request = Request::new("press", "POST", "/slots", Bytes::new());
        self.frame(Frame::Call(Box::new(Call {
            id: id(number),
            action: ActionId(7),
            admission_sample: u16::MAX,
            class: Class::Booking,
            priority: 0,
            passed_level: 0,
            role,
            remaining_ms,
            objective_ms: Some(OBJECTIVE_MS),
            retry_allowance: 0,
            possible_repeat: false,
            idempotent: false,
            key: Some((self.key, Fingerprint::of(&request))),
            first_attempt: false,
            depth: 0,
            redirects: 0,
            request,
        })))
    }

    /// Completes runs of other keys, so that the run time of the operation is known.
    fn learn_run_time(&mut self) {
        let key = self.key;
        for n in 100..200 {
            self.key = KeyHash(u128::from(n));
            let run = started(&self.call(n, CallRole::Home, 1000)).expect("the server is idle");
            self.advance(1);
            let end = RunEnd::Response(RESPONSE);
            self.feed(Input::RunEnded { run, end });
        }
        self.key = key;
    }

    /// Starts a run for the first attempt, which the backend server refuses after 10 ms. Returns for
    /// how long the refusal promises that no run of the key starts.
    fn refuse_first_attempt(&mut self) -> u32 {
        let run = started(&self.call(1, CallRole::Home, 2000)).expect("the key is new");
        self.advance(10);
        let end = RunEnd::Refused { retry_after: None };
        let outputs = self.feed(Input::RunEnded { run, end });
        match answers(&outputs)[..] {
            [(answered, Outcome::NotRun(refusal))] if *answered == id(1) => {
                refusal.no_run_within_ms
            }
            ref other => panic!("{other:?}"),
        }
    }
}

fn started(outputs: &[Output]) -> Option<RunId> {
    outputs.iter().find_map(|output| match output {
        Output::Run { run, .. } => Some(*run),
        _ => None,
    })
}

fn answers(outputs: &[Output]) -> Vec<(&CallId, &Outcome)> {
    let answers = outputs.iter().filter_map(|output| match output {
        Output::Send {
            frame: Frame::Answer(id, answer),
            ..
        } => Some((id, &answer.outcome)),
        _ => None,
    });
    answers.collect()
}

fn is_not_run(outputs: &[Output], number: u64, expected: Reason) -> bool {
    matches!(
        answers(outputs)[..],
        [(answered, Outcome::NotRun(refusal))]
            if *answered == id(number) && refusal.reason == expected
    )
}

/// Another attempt arrives while the refusal of the first is on its way. If it ran before that time
/// is over, the refusal would be read when it is no longer true; if it never ran, it would be lost.
#[test]
fn attempt_during_the_hold_runs_once_after_it() {
    let mut home = Home::new();
    let promised = u64::from(home.refuse_first_attempt());
    assert!(promised > 10 && promised < 10 + HOLD_MS, "{promised}");
    let held = [
        home.advance(50),
        home.call(2, CallRole::Home, 1000),
        home.call(2, CallRole::Home, 1000),
        home.advance(HOLD_MS - 51),
    ];
    for outputs in &held {
        assert_eq!((started(outputs), answers(outputs).len()), (None, 0));
    }
    let run = started(&home.advance(1)).expect("the hold has ended");
    let end = RunEnd::Response(RESPONSE);
    let outputs = home.feed(Input::RunEnded { run, end });
    let completed = Outcome::Completed(RESPONSE);
    assert_eq!(answers(&outputs), [(&id(2), &completed)]);
    let outputs = home.call(3, CallRole::Home, 1000);
    assert_eq!(started(&outputs), None);
    assert_eq!(answers(&outputs), [(&id(3), &completed)]);
}

/// The calling node retries the attempt itself, so its caller has not seen the refusal. A hold would
/// only add its duration to each retry.
#[test]
fn retry_by_the_calling_node_runs_at_once() {
    let mut home = Home::new();
    home.refuse_first_attempt();
    let outputs = home.call(2, CallRole::HomeRetry(id(1)), 1000);
    assert!(started(&outputs).is_some());
}

/// An attempt is held for longer than it has left, or its caller disconnects. It is answered exactly
/// once, and does not run later.
#[test]
fn held_attempt_that_ends_early_is_answered_once_and_does_not_run() {
    for cancelled in [false, true] {
        let mut home = Home::new();
        home.refuse_first_attempt();
        home.call(2, CallRole::Home, 50);
        let (outputs, reason) = match cancelled {
            true => (home.frame(Frame::Cancel(id(2))), Reason::CallerGone),
            false => (home.advance(50), Reason::Moving),
        };
        assert!(is_not_run(&outputs, 2, reason), "{outputs:?}");
        for _ in 0..10 {
            let outputs = home.advance(HOLD_MS);
            assert_eq!((started(&outputs), answers(&outputs).len()), (None, 0));
        }
    }
}

/// The home stops while a call is held. The call is answered once.
#[test]
fn held_attempt_is_answered_when_its_home_stops() {
    let mut home = Home::new();
    home.refuse_first_attempt();
    home.call(2, CallRole::Home, 1500);
    let mut answered = answers(&home.feed(Input::Stop)).len();
    for _ in 0..20 {
        let outputs = home.advance(100);
        assert_eq!(started(&outputs), None);
        answered += answers(&outputs).len();
    }
    assert_eq!(answered, 1);
}

/// The time for which a call is held counts against its objective. Otherwise its run would be
/// scheduled as if the caller had only begun to wait.
#[test]
fn time_of_the_hold_counts_against_the_objective() {
    let mut home = Home::new();
    home.learn_run_time();
    home.refuse_first_attempt();
    home.call(2, CallRole::Home, 1500);
    let run = started(&home.advance(HOLD_MS)).expect("the hold has ended");
    let end = RunEnd::Refused { retry_after: None };
    let outputs = home.feed(Input::RunEnded { run, end });
    let slack = outputs.iter().find_map(|output| match output {
        Output::Diagnostic(Diagnostic::JobEnded { slack_ms, .. }) => Some(*slack_ms),
        _ => None,
    });
    let left = i64::from(OBJECTIVE_MS) - HOLD_MS as i64;
    assert!(
        slack.flatten().is_some_and(|slack| slack <= left),
        "{slack:?}"
    );
}
