//! What a refusal by another node becomes at the entry.

use bilberry_engine::Config;
use bilberry_engine::Engine;
use bilberry_engine::Input;
use bilberry_engine::Output;
use bilberry_engine::RequestToken;
use bytes::Bytes;
use journal::Record;
use proto::Answer;
use proto::DownstreamSummary;
use proto::Frame;
use proto::Incarnation;
use proto::Instance;
use proto::LoadReport;
use proto::Outcome;
use proto::Reason;
use proto::Refusal;
use proto::Request;
use std::time::Duration;
use stdx::Time;

const RULES: &str = "operation press POST /slots class=booking deadline=5s # asked by Anna\n";

fn instance(n: u16, service: &str) -> Instance {
    Instance {
        incarnation: Incarnation(u64::from(n)),
        service: service.into(),
        failure_domain: "milano-1".into(),
        region: "lombardia".into(),
        addr: ([127, 0, 0, 1], 7000 + n).into(),
    }
}

/// An entry that knows one instance of `press`.
fn entry() -> Engine {
    let publish = Record::Publish {
        version: 1,
        publication: 1,
        operator: "Anna".into(),
        file: RULES.into(),
    };
    let joins = [(1, "order"), (2, "press")].map(|(n, service)| Record::Join(instance(n, service)));
    let records = [publish].into_iter().chain(joins);
    let records = (0..).zip(records.map(|record| Bytes::from(proto::encode(&record))));
    let mut engine = Engine::new(Config::default(), instance(1, "order"));
    engine.handle(Time::ZERO, Input::Records(records.collect()));
    engine.handle(Time::ZERO, Input::LogCaughtUp);
    engine
}

fn booking(key: Option<&str>) -> Input {
    Input::Request {
        credential: None,
        token: RequestToken(1),
        caller: "shop".into(),
        context: None,
        parent: None,
        key: key.map(Into::into),
        caller_timeout: None,
        request: Request::new("press", "POST", "/slots", Bytes::new()),
    }
}

/// Books with this key, has each call refused for this reason, and checks how many calls there were
/// and what the caller is told.
fn check(key: Option<&str>, reason: Reason, calls: usize, outcome: &'static str) {
    let mut engine = entry();
    let mut outputs = engine.handle(Time::ZERO, booking(key));
    let mut sent = 0;
    let answer = loop {
        let mut next = Vec::new();
        for output in std::mem::take(&mut outputs) {
            match output {
                Output::Answer { outcome, .. } => next.push(Err(outcome)),
                Output::Send {
                    frame: Frame::Call(call),
                    ..
                } => next.push(Ok(call.id)),
                _ => {}
            }
        }
        match next
            .pop()
            .expect("each call and each answer leads to something")
        {
            Err(outcome) => break outcome,
            Ok(id) => {
                sent += 1;
                let answer = Answer {
                    outcome: Outcome::NotRun(Refusal::new(reason, Duration::from_secs(1))),
                    unspent_retries: 0,
                    downstream: DownstreamSummary::default(),
                    load: LoadReport::default(),
                };
                let frame = Frame::Answer(id, Box::new(answer));
                let from = Incarnation(2);
                outputs = engine.handle(Time::ZERO, Input::Frame { from, frame });
            }
        }
    };
    assert_eq!(
        (sent, answer.name()),
        (calls, outcome),
        "{key:?} {reason:?}"
    );
}

/// A caller sends its key again, and the home is on the move. Told "not run", it would take the
/// booking for undone, though the first attempt may have made it; only the key's record tells.
#[test]
fn a_key_that_may_have_been_sent_before_is_not_said_to_be_undone() {
    check(Some("k"), Reason::NoLease, 1, "unknown");
    check(Some("k"), Reason::QueueFull, 1, "not-run");
    check(None, Reason::NoLease, 1, "not-run");
}

/// The only home that the entry knows refuses a call, because its slot moves. Sent there again at
/// once, the call gets the same refusal over and over, and the home is busy with refusing.
#[test]
fn a_call_does_not_go_round_between_an_entry_and_the_same_home() {
    check(Some("k"), Reason::Moving, 1, "unknown");
}

/// A connection goes silent while large orders wait to be written to it. They were never sent, so
/// they go out over the next one; given up at once, they would fail though their home is well.
#[test]
fn a_call_that_was_never_sent_goes_out_again() {
    let mut engine = entry();
    let mut outputs = engine.handle(Time::ZERO, booking(Some("k")));
    let mut sent = 0;
    let answer = loop {
        let mut unsent = Vec::new();
        let mut answer = None;
        for output in std::mem::take(&mut outputs) {
            match output {
                Output::Answer { outcome, .. } => answer = Some(outcome),
                Output::Send { frame, .. } => unsent.push(frame),
                _ => {}
            }
        }
        if let Some(answer) = answer {
            break answer;
        }
        sent += 1;
        let peer = Incarnation(2);
        outputs = engine.handle(Time::ZERO, Input::PeerUnreachable { peer, unsent });
    };
    assert_eq!((sent, answer.name()), (4, "unknown"));
}

/// The connection to a home breaks again and again while it has an order whose key this node made.
/// Tried under another call, the order would count as certainly new there, and could run twice.
#[test]
fn an_order_that_may_have_run_is_never_tried_again() {
    let mut engine = entry();
    let mut outputs = engine.handle(Time::ZERO, booking(None));
    let mut ids = Vec::new();
    let answer = loop {
        let mut answer = None;
        for output in std::mem::take(&mut outputs) {
            match output {
                Output::Answer { outcome, .. } => answer = Some(outcome),
                Output::Send {
                    frame: Frame::Call(call),
                    ..
                } => ids.push(call.id),
                _ => {}
            }
        }
        match answer {
            Some(answer) => break answer,
            None => outputs = engine.handle(Time::ZERO, Input::PeerLost(Incarnation(2))),
        }
    };
    assert_eq!(answer, Outcome::Unknown(Reason::PeerLost));
    assert!(ids.iter().all(|id| *id == ids[0]), "{ids:?}");
}
