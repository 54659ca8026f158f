//! How an ingress node handles a refusal from another node.

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

/// An ingress node that knows one instance of `press`.
fn ingress_node() -> Engine {
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

/// Books with this key and has each call refused for this reason. Checks the number of calls and
/// the outcome that the caller is told.
fn check_refusal(key: Option<&str>, reason: Reason, calls: usize, outcome: &'static str) {
    let mut engine = ingress_node();
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
            .expect("each step should lead to a call or an answer")
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

/// A caller sends a key again while the home node of the key is changing. If it were told "not
/// run", it would assume that no booking exists, although the first attempt may have made it. Only
/// the record of the key can tell.
#[test]
fn a_key_that_may_have_been_sent_before_is_not_reported_as_not_run() {
    check_refusal(Some("k"), Reason::NoLease, 1, "unknown");
    check_refusal(Some("k"), Reason::QueueFull, 1, "not-run");
    check_refusal(None, Reason::NoLease, 1, "not-run");
}

/// The only home node that the ingress node knows refuses a call because its slot is moving. If the
/// call went there again at once, it would get the same refusal over and over and keep the home
/// node busy.
#[test]
fn a_call_is_not_sent_again_to_a_home_node_that_refused_it() {
    check_refusal(Some("k"), Reason::Moving, 1, "unknown");
}

/// A connection stalls while large orders wait to be written to it. They were never sent, so they
/// go out over the next one. Otherwise they would fail although their home node is healthy.
#[test]
fn an_unsent_call_is_sent_again() {
    let mut engine = ingress_node();
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

/// The connection to a home node breaks again and again while the home node has an order with a key
/// that this node generated. If the order were sent under another call id, the home node would
/// treat it as a first attempt and could run it twice.
#[test]
fn an_order_that_may_have_run_is_not_sent_under_another_id() {
    let mut engine = ingress_node();
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

/// Has a call with this key refused for load after `elapsed`, by a home that promised to start no
/// run with the key for this long. Returns the outcome that the caller gets.
fn late_refusal(key: Option<&str>, elapsed: Duration, promised: Duration) -> &'static str {
    let mut engine = ingress_node();
    let outputs = engine.handle(Time::ZERO, booking(key));
    let sent = outputs.into_iter().find_map(|output| match output {
        Output::Send {
            frame: Frame::Call(call),
            ..
        } => Some(call.id),
        _ => None,
    });
    let refusal = Refusal::new(Reason::Shed, Duration::from_secs(1)).with_no_run_within(promised);
    let answer = Answer {
        outcome: Outcome::NotRun(refusal),
        unspent_retries: 0,
        downstream: DownstreamSummary::default(),
        load: LoadReport::default(),
    };
    let frame = Frame::Answer(sent.expect("a call is sent"), Box::new(answer));
    let from = Incarnation(2);
    let outputs = engine.handle(Time::ZERO + elapsed, Input::Frame { from, frame });
    let answered = outputs.into_iter().find_map(|output| match output {
        Output::Answer { outcome, .. } => Some(outcome.name()),
        _ => None,
    });
    answered.expect("the refusal ends the request")
}

/// A refusal is delayed for longer than the home of the key starts no run with it. Another attempt
/// of the caller may have run meanwhile, so the answer must not say that nothing has run.
/// Without a key there is no other attempt, and the refusal stays valid.
#[test]
fn a_refusal_of_a_key_that_arrives_late_is_valid_for_its_attempt_only() {
    let ms = Duration::from_millis;
    assert_eq!(late_refusal(Some("k"), ms(180), ms(180)), "not-run");
    assert_eq!(late_refusal(Some("k"), ms(181), ms(180)), "unknown");
    assert_eq!(late_refusal(Some("k"), ms(1), ms(0)), "unknown");
    assert_eq!(late_refusal(None, ms(3000), ms(0)), "not-run");
}
