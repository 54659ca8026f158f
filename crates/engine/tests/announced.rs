//! A backend server that announces itself, routes by host, and calls that their entry owns.

use bilberry_engine::Announcement;
use bilberry_engine::Config;
use bilberry_engine::Engine;
use bilberry_engine::Heartbeat;
use bilberry_engine::Input;
use bilberry_engine::KeylessCalls;
use bilberry_engine::Output;
use bilberry_engine::RequestToken;
use bilberry_engine::RunEnd;
use bytes::Bytes;
use proto::Class;
use proto::Instance;
use proto::Outcome;
use proto::Reason;
use proto::Request;
use proto::RunId;
use rules::Operation;
use rules::Route;
use rules::Routes;
use rules::RuleOrigin;
use rules::Rules;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

const HOST: &str = "shop.example";

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1000)
}

/// One route to `press`, whose prefix is the text of the file.
fn parse(file: &str) -> Option<Rules> {
    let service: Arc<str> = "press".into();
    let route = Route {
        operation: Operation {
            service: service.clone(),
            method: "*".into(),
            path: "*".into(),
            class: Class::Order,
            idempotent: false,
            deadline: Duration::from_secs(2),
            priority: 0,
            retries: 1,
            public: false,
            origin: RuleOrigin {
                line: 1,
                requested_by: "Anna".into(),
            },
        },
        targets: vec![(service, 1)],
        latency_objective: Duration::from_secs(1),
    };
    let mut routes = Routes::default();
    routes.insert(&HOST.into(), file.into(), route);
    Some(Rules::with_routes(routes))
}

/// The same, with a place where its servers say whether they are healthy.
fn parse_with_check(file: &str) -> Option<Rules> {
    let mut rules = parse(file)?;
    rules.health_paths.insert("press".into(), "/health".into());
    Some(rules)
}

/// A node beside a server of `press`, with rules in force.
fn node() -> Engine {
    node_with(parse)
}

fn node_with(parse_rules: journal::ParseRules) -> Engine {
    let mut engine = without_rules(parse_rules);
    publish(&mut engine, 3, "/slots/");
    engine
}

fn without_rules(parse_rules: journal::ParseRules) -> Engine {
    let me = Instance {
        incarnation: proto::Incarnation(1),
        service: "press".into(),
        failure_domain: "milano-1".into(),
        region: "lombardia".into(),
        addr: ([127, 0, 0, 1], 7001).into(),
    };
    let cfg = Config {
        parse_rules,
        keyless_calls: KeylessCalls::OwnedByIngress,
        server_announces: true,
        ..Config::default()
    };
    Engine::new(cfg, me)
}

fn checked(id: &str, healthy: bool) -> Input {
    let id = id.into();
    Input::ServerChecked { id, healthy }
}

/// Which servers are to be asked, and where.
fn checks(outputs: Vec<Output>) -> Vec<String> {
    let checks = outputs.into_iter().filter_map(|output| match output {
        Output::CheckServer { id, path } => Some(format!("{id} {path}")),
        _ => None,
    });
    checks.collect()
}

fn publish(engine: &mut Engine, version: u64, file: &str) {
    let file = file.into();
    engine.handle(at(0), Input::RulesPublished { version, file });
}

fn heartbeat(id: &str, started_ms: u64, sequence: u64, draining: bool) -> Input {
    Input::Server(Announcement::Alive(Heartbeat {
        id: id.into(),
        started_ms,
        sequence,
        service: "press".into(),
        slots: 20,
        draining,
    }))
}

fn leaves(id: &str) -> Input {
    Input::Server(Announcement::Leaves { id: id.into() })
}

fn request(token: u64, path: &str) -> Input {
    Input::Request {
        credential: None,
        token: RequestToken(token),
        caller: "shop".into(),
        context: None,
        parent: None,
        key: None,
        caller_timeout: None,
        request: Request {
            id: format!("id-{token}").into(),
            host: HOST.into(),
            ..Request::new("", "POST", path, Bytes::new())
        },
    }
}

/// Sends a request and gives the run that it led to, with the incarnation that it is meant for, or
/// the reason why there was none.
fn book(engine: &mut Engine, now: Time, token: u64) -> Result<(RunId, Arc<str>), Reason> {
    outcome(engine.handle(now, request(token, "/slots/7")))
}

fn outcome(outputs: Vec<Output>) -> Result<(RunId, Arc<str>), Reason> {
    let ends = outputs.into_iter().find_map(|output| match output {
        Output::Run {
            run,
            expected_server: expect,
            ..
        } => Some(Ok((run, expect.unwrap()))),
        Output::Answer {
            outcome: Outcome::NotRun(refusal),
            ..
        } => Some(Err(refusal.reason)),
        Output::Answer {
            outcome: Outcome::Unknown(reason),
            ..
        } => Some(Err(reason)),
        _ => None,
    });
    ends.expect("each request runs or is answered")
}

fn server(engine: &mut Engine, now: Time) -> Result<Arc<str>, Reason> {
    book(engine, now, 1).map(|(_, id)| id)
}

/// A node starts before its server has said anything. Given work at once, the server might be one
/// that is about to leave, and a booking would end with it.
#[test]
fn a_server_gets_no_work_before_it_has_announced_itself() {
    let mut engine = node();
    assert_eq!(server(&mut engine, at(1)), Err(Reason::NoInstance));
    engine.handle(at(2), heartbeat("a", 100, 1, false));
    assert_eq!(server(&mut engine, at(3)), Ok("a".into()));
}

/// A server drains, and a heartbeat that it sent before arrives only now. Taken for news, it would
/// bring bookings to a server that ends under them.
#[test]
fn a_late_heartbeat_does_not_open_a_draining_server() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 5, true));
    engine.handle(at(2), heartbeat("a", 100, 4, false));
    assert!(server(&mut engine, at(3)).is_err());
}

/// A server crashes behind a cut, and another one starts at its address. The last heartbeat of the
/// first arrives afterwards; believed, bookings would be meant for a server that is gone.
#[test]
fn a_heartbeat_of_an_earlier_incarnation_changes_nothing() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("b", 200, 1, false));
    engine.handle(at(2), heartbeat("a", 100, 90, false));
    assert_eq!(server(&mut engine, at(3)), Ok("b".into()));
}

/// A server takes its leave without draining first, and another heartbeat of it is still under way.
#[test]
fn a_server_that_has_left_stays_away_until_it_starts_again() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 1, false));
    engine.handle(at(2), leaves("a"));
    engine.handle(at(3), heartbeat("a", 100, 2, false));
    assert!(server(&mut engine, at(4)).is_err());
    engine.handle(at(5), heartbeat("a", 200, 1, false));
    assert_eq!(server(&mut engine, at(6)), Ok("a".into()));
}

/// A server leaves while bookings wait for a place on it. Started later, they would reach it after
/// its leave was acknowledged, when it may have stopped listening.
#[test]
fn what_waits_for_a_server_that_leaves_is_given_back_at_once() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 1, false));
    for token in 0..19 {
        assert!(book(&mut engine, at(2), token).is_ok());
    }
    let waiting = engine.handle(at(3), request(19, "/slots/7"));
    let answered = |output: &Output| matches!(output, Output::Answer { .. });
    assert!(!waiting.iter().any(answered));
    let outputs = engine.handle(at(4), heartbeat("a", 100, 2, true));
    // There is no other server that could take it.
    assert_eq!(outcome(outputs), Err(Reason::NoInstance));
}

/// Another service's server has the address by now, and says so. Nothing more is sent there, and
/// the booking is said not to have run, because it has not.
#[test]
fn a_server_at_the_address_of_another_gets_nothing_more() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 1, false));
    let (run, _) = book(&mut engine, at(2), 1).unwrap();
    let end = RunEnd::Misdirected;
    let outputs = engine.handle(at(3), Input::RunEnded { run, end });
    assert!(outcome(outputs).is_err());
    assert!(server(&mut engine, at(4)).is_err());
}

/// A booking's answer is lost with its connection. It may have run: sent to another server, a press
/// slot would be taken twice.
#[test]
fn a_booking_that_may_have_run_is_not_sent_again() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 1, false));
    let (run, _) = book(&mut engine, at(2), 1).unwrap();
    let end = RunEnd::Lost;
    let outputs = engine.handle(at(3), Input::RunEnded { run, end });
    let answer = outputs.iter().find_map(|output| match output {
        Output::Answer { outcome, .. } => Some(outcome.clone()),
        _ => None,
    });
    assert_eq!(answer, Some(Outcome::Unknown(Reason::ServerLost)));
}

/// The same booking comes twice without a key. Two customers may well order alike; each of the two
/// is run.
#[test]
fn two_bookings_that_look_alike_both_run() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 1, false));
    let first = book(&mut engine, at(2), 1).unwrap();
    let second = book(&mut engine, at(2), 2).unwrap();
    assert_ne!(first.0, second.0);
}

/// An older version arrives after a newer one, as from a peer that was cut off. In force again, it
/// would send bookings where the operators no longer want them.
#[test]
fn an_older_version_never_comes_back() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 1, false));
    publish(&mut engine, 5, "/days/");
    publish(&mut engine, 4, "/slots/");
    assert_eq!(engine.rules_version(), 5);
    assert_eq!(server(&mut engine, at(2)), Err(Reason::NoSuchOperation));
}

/// A node that was just started knows no version yet. Answered as if there were no such route, the
/// caller would not come again.
#[test]
fn without_a_version_nothing_is_said_to_be_unknown() {
    let mut engine = Engine::new(
        Config {
            parse_rules: parse,
            ..Config::default()
        },
        Instance {
            incarnation: proto::Incarnation(2),
            service: "press".into(),
            failure_domain: "milano-1".into(),
            region: "lombardia".into(),
            addr: ([127, 0, 0, 1], 7002).into(),
        },
    );
    assert_eq!(server(&mut engine, at(1)), Err(Reason::NoRules));
}

/// A server's call carries the id of the request that it serves in front of its own. When the
/// request's caller leaves, the call is given up too; nobody waits for what it would bring.
#[test]
fn a_call_is_part_of_the_request_that_it_names() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 1, false));
    book(&mut engine, at(2), 1).unwrap();
    let call = Input::Request {
        credential: None,
        token: RequestToken(2),
        caller: "press".into(),
        context: None,
        parent: Some("id-1".into()),
        key: None,
        caller_timeout: None,
        request: Request {
            id: "id-1.x".into(),
            host: HOST.into(),
            ..Request::new("", "POST", "/slots/8", Bytes::new())
        },
    };
    let (run, _) = outcome(engine.handle(at(3), call)).unwrap();
    let outputs = engine.handle(at(4), Input::CallerGone(RequestToken(1)));
    assert!(outputs.contains(&Output::CancelRun(run)));
}

/// A server crashes and the next one starts at its address. A booking that was meant for the first
/// is turned away by the second, which has announced itself meanwhile. Taken for gone with the
/// first, the second one would stand idle for as long as it lives.
#[test]
fn what_was_meant_for_an_earlier_incarnation_does_not_close_the_next_one() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 1, false));
    let (run, _) = book(&mut engine, at(2), 1).unwrap();
    engine.handle(at(3), heartbeat("b", 200, 1, false));
    let end = RunEnd::Misdirected;
    engine.handle(at(4), Input::RunEnded { run, end });
    assert_eq!(server(&mut engine, at(5)), Ok("b".into()));
}

/// A node is stopped and started, and its server says goodbye to the new process, which has not heard
/// of it yet. Then a heartbeat from before arrives late. Believed, it would bring bookings to a server
/// that ends the next moment, and their outcome would be unknown.
#[test]
fn a_late_heartbeat_to_a_new_process_opens_nothing() {
    let mut engine = node_with(parse_with_check);
    engine.handle(at(10), leaves("a"));
    let asked = checks(engine.handle(at(2000), heartbeat("a", 1, 24, false)));
    assert_eq!(asked, ["a /health"]);
    assert_eq!(server(&mut engine, at(2001)), Err(Reason::NoInstance));
    assert_eq!(
        checks(engine.handle(at(2002), checked("a", false))),
        [""; 0]
    );
    assert_eq!(server(&mut engine, at(2003)), Err(Reason::NoInstance));
    // It may have been unwell for a moment only.
    let asked = checks(engine.handle(at(3500), heartbeat("a", 1, 25, false)));
    assert_eq!(asked, ["a /health"]);
    engine.handle(at(3510), checked("a", true));
    assert_eq!(server(&mut engine, at(3511)), Ok("a".into()));
}

/// Only the first server that a process hears is asked. A later one is told from those before by its
/// start; asking each would keep its slots empty for a moment at the worst time.
#[test]
fn a_server_that_starts_anew_is_not_asked() {
    let mut engine = node_with(parse_with_check);
    engine.handle(at(0), heartbeat("a", 1, 1, false));
    engine.handle(at(1), checked("a", true));
    assert_eq!(
        checks(engine.handle(at(2), heartbeat("a", 9, 1, false))),
        [""; 0]
    );
    assert_eq!(server(&mut engine, at(3)), Ok("a".into()));
}

/// A server announces itself before the rules are there, which say where to ask it.
#[test]
fn a_server_is_asked_once_rules_are_in_force() {
    let mut engine = without_rules(parse_with_check);
    assert_eq!(
        checks(engine.handle(at(0), heartbeat("a", 1, 1, false))),
        [""; 0]
    );
    let version = Input::RulesPublished {
        version: 3,
        file: "/slots/".into(),
    };
    assert_eq!(checks(engine.handle(at(1), version)), ["a /health"]);
}
