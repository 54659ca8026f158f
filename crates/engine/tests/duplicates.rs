//! A call that comes twice over two connections is the same call.

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

const CALLER: Incarnation = Incarnation(2);

fn instance(n: u16) -> Instance {
    Instance {
        incarnation: Incarnation(u64::from(n)),
        service: "press".into(),
        failure_domain: "milano-1".into(),
        region: "lombardia".into(),
        addr: ([127, 0, 0, 1], 7000 + n).into(),
    }
}

/// A node that has rules and knows the caller's node.
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
            from: CALLER,
            number,
        },
        action: ActionId(u128::from(number)),
        admission_sample: u16::MAX,
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
        request: Request::new("press", "GET", "/days", Bytes::new()),
    };
    Input::Frame {
        from: CALLER,
        frame: Frame::Call(Box::new(call)),
    }
}

/// Feeds a call, lets its run end with a body of this many bytes, and gives whether it ran and how
/// it was answered.
fn check(engine: &mut Engine, now: Time, number: u64, bytes: usize) -> (bool, Option<Outcome>) {
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

/// A connection goes silent, the call comes again over the next one, and is answered. Much later
/// the old connection's buffer is read after all. A caller that was told that nothing had run
/// would find that it had, and a lookup would use a backend server for nobody.
#[test]
fn a_late_copy_of_a_call_does_not_run_when_its_answer_is_forgotten() {
    for (others, bytes) in [(10, 0), (300, 0), (10_000, 0), (10, 1 << 20)] {
        let mut engine = engine();
        let mut now = Time::ZERO;
        for number in 1..=others {
            now = now + Duration::from_millis(10);
            assert!(check(&mut engine, now, number, bytes).0, "{number}");
        }
        let (ran, answer) = check(&mut engine, now, 1, bytes);
        assert!(!ran, "after {others} calls of {bytes} bytes");
        assert!(
            !matches!(answer, None | Some(Outcome::NotRun(_))),
            "{answer:?}"
        );
    }
}

/// A call's connection goes silent while its answer is on the way. The call comes again over a new
/// connection within seconds and gets the answer, not another run.
#[test]
fn a_call_that_comes_again_gets_its_answer() {
    let mut engine = engine();
    let (ran, first) = check(&mut engine, Time::ZERO, 1, 10);
    let mut now = Time::ZERO;
    for number in 2..1000 {
        now = now + Duration::from_millis(10);
        check(&mut engine, now, number, 10);
    }
    assert_eq!(
        (ran, check(&mut engine, now, 1, 10)),
        (true, (false, first))
    );
}
