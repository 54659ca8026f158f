//! Calls that arrive twice, over two connections, and must run only once.

use bilberry_engine::Config;
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
use proto::Frame;
use proto::Incarnation;
use proto::Instance;
use proto::Outcome;
use proto::Request;
use proto::Response;
use std::time::Duration;
use stdx::Time;

const CALLING_NODE: Incarnation = Incarnation(2);

fn instance(n: u16) -> Instance {
    Instance {
        incarnation: Incarnation(u64::from(n)),
        service: "press".into(),
        failure_domain: "milano-1".into(),
        region: "lombardia".into(),
        addr: ([127, 0, 0, 1], 7000 + n).into(),
    }
}

/// A node that has rules and knows the node that the calls come from.
fn engine() -> Engine {
    let publish = Record::Publish {
        version: 1,
        publication: 1,
        operator: "Anna".into(),
        file: "operation press GET /days class=lookup idempotent deadline=5s # asked by Anna\n"
            .into(),
    };
    let records = [
        publish,
        Record::Join(instance(1)),
        Record::Join(instance(2)),
    ];
    let records = (0..).zip(records.map(|record| Bytes::from(proto::encode(&record))));
    let mut engine = Engine::new(Config::default(), instance(1));
    engine.handle(Time::ZERO, Input::Records(records.collect()));
    engine.handle(Time::ZERO, Input::LogCaughtUp);
    engine
}

fn call(number: u64) -> Input {
    let call = Call {
        id: CallId {
            from: CALLING_NODE,
            number,
        },
        action: ActionId(u128::from(number)),
        admission_sample: u16::MAX,
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
        request: Request::new("press", "GET", "/days", Bytes::new()),
    };
    Input::Frame {
        from: CALLING_NODE,
        frame: Frame::Call(Box::new(call)),
    }
}

/// Receives a call and ends its run with a body of this many bytes. Returns whether the call ran,
/// and its answer.
fn handle_call(
    engine: &mut Engine,
    now: Time,
    number: u64,
    bytes: usize,
) -> (bool, Option<Outcome>) {
    let mut outputs = engine.handle(now, call(number));
    let runs = outputs.iter().filter_map(|output| match output {
        Output::Run { run, .. } => Some(*run),
        _ => None,
    });
    let runs: Vec<_> = runs.collect();
    for run in &runs {
        let body = Bytes::from(vec![b'x'; bytes]);
        let response = Response {
            status: 200,
            headers: Vec::new(),
            body,
        };
        let end = RunEnd::Response(response);
        outputs.extend(engine.handle(now, Input::RunEnded { run: *run, end }));
    }
    let answer = outputs.into_iter().find_map(|output| match output {
        Output::Send {
            frame: Frame::Answer(_, answer),
            ..
        } => Some(answer.outcome),
        _ => None,
    });
    (!runs.is_empty(), answer)
}

/// A connection stops responding, and the call is sent again over the next one and answered. Much
/// later the old connection's buffer is read after all, when the answer may have been evicted from
/// the cache. If the copy ran, a caller could have been told that nothing had run although it did,
/// and a lookup would use a backend server without anyone waiting for the result.
#[test]
fn late_copy_of_call_does_not_run_after_its_answer_was_evicted() {
    for (others, bytes) in [(10, 0), (300, 0), (10_000, 0), (10, 1 << 20)] {
        let mut engine = engine();
        let mut now = Time::ZERO;
        for number in 1..=others {
            now = now + Duration::from_millis(10);
            assert!(handle_call(&mut engine, now, number, bytes).0, "{number}");
        }
        let (ran, answer) = handle_call(&mut engine, now, 1, bytes);
        assert!(!ran, "after {others} calls of {bytes} bytes");
        assert!(
            !matches!(answer, None | Some(Outcome::NotRun(_))),
            "{answer:?}"
        );
    }
}

/// A call's connection stops responding before its answer has arrived. The call is sent again over
/// a new connection within seconds, and gets the same answer without another run.
#[test]
fn resent_call_gets_its_first_answer() {
    let mut engine = engine();
    let (ran, first) = handle_call(&mut engine, Time::ZERO, 1, 10);
    let mut now = Time::ZERO;
    for number in 2..1000 {
        now = now + Duration::from_millis(10);
        handle_call(&mut engine, now, number, 10);
    }
    assert_eq!(
        (ran, handle_call(&mut engine, now, 1, 10)),
        (true, (false, first))
    );
}
