//! Backend servers that send heartbeats, routes by host, and keyless calls that are owned by their
//! ingress node.

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

/// Rules with one route to `press`, whose path prefix is the text of the file.
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
            latency_objective: Duration::from_secs(2),
            priority: 0,
            retries: 1,
            public: false,
            origin: RuleOrigin {
                line: 1,
                requested_by: "Anna".into(),
            },
        },
        targets: vec![(service, 1)],
    };
    let mut routes = Routes::default();
    routes.insert(&HOST.into(), file.into(), route);
    Some(Rules::with_routes(routes))
}

/// The same rules, with a path for health checks of the servers.
fn parse_with_check(file: &str) -> Option<Rules> {
    let mut rules = parse(file)?;
    rules.health_paths.insert("press".into(), "/health".into());
    Some(rules)
}

/// A node of the service `press`, with rules in force.
fn node() -> Engine {
    node_with(parse)
}

fn node_with(parse_rules: journal::ParseRules) -> Engine {
    let mut engine = node_without_rules(parse_rules);
    publish(&mut engine, 3, "/slots/");
    engine
}

fn node_without_rules(parse_rules: journal::ParseRules) -> Engine {
    node_without_rules_from(parse_rules, false)
}

fn node_without_rules_from(parse_rules: journal::ParseRules, shared_store_reads: bool) -> Engine {
    let instance = Instance {
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
        shared_store_reads,
        ..Config::default()
    };
    Engine::new(cfg, instance)
}

fn health_checked(id: &str, healthy: bool) -> Input {
    let id = id.into();
    Input::ServerChecked { id, healthy }
}

/// The health checks that the node asks for: server and path.
fn health_checks(outputs: Vec<Output>) -> Vec<String> {
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

fn leave(id: &str) -> Input {
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

/// Sends a booking and returns its run and the incarnation that the run is meant for, or the reason
/// why there is no run.
fn send_booking(engine: &mut Engine, now: Time, token: u64) -> Result<(RunId, Arc<str>), Reason> {
    run_or_reason(engine.handle(now, request(token, "/slots/7")))
}

fn run_or_reason(outputs: Vec<Output>) -> Result<(RunId, Arc<str>), Reason> {
    let outcome = outputs.into_iter().find_map(|output| match output {
        Output::Run {
            run,
            expected_server,
            ..
        } => Some(Ok((run, expected_server.unwrap()))),
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
    outcome.expect("the request should run or be answered")
}

/// Sends a booking and returns the incarnation that it runs on.
fn serving_incarnation(engine: &mut Engine, now: Time) -> Result<Arc<str>, Reason> {
    send_booking(engine, now, 1).map(|(_, id)| id)
}

/// A node starts before its server's first heartbeat. The server may be about to leave, and a
/// booking sent to it would be lost.
#[test]
fn server_gets_no_work_before_its_first_heartbeat() {
    let mut engine = node();
    assert_eq!(
        serving_incarnation(&mut engine, at(1)),
        Err(Reason::NoInstance)
    );
    engine.handle(at(2), heartbeat("a", 100, 1, false));
    assert_eq!(serving_incarnation(&mut engine, at(3)), Ok("a".into()));
}

/// A heartbeat that a server sent before it began to drain arrives late. If it were applied, the
/// node would send bookings to a server that stops while they run.
#[test]
fn late_heartbeat_does_not_send_work_to_draining_server() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 5, true));
    engine.handle(at(2), heartbeat("a", 100, 4, false));
    assert!(serving_incarnation(&mut engine, at(3)).is_err());
}

/// A server crashes during a network partition, and another one starts at its address. The last
/// heartbeat of the first arrives afterwards. If it were applied, bookings would be addressed to a
/// server that no longer exists.
#[test]
fn heartbeat_of_earlier_incarnation_is_ignored() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("b", 200, 1, false));
    engine.handle(at(2), heartbeat("a", 100, 90, false));
    assert_eq!(serving_incarnation(&mut engine, at(3)), Ok("b".into()));
}

/// A server leaves without draining first, and one more of its heartbeats is still in transit.
#[test]
fn server_that_left_gets_no_work_until_it_restarts() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 1, false));
    engine.handle(at(2), leave("a"));
    engine.handle(at(3), heartbeat("a", 100, 2, false));
    assert!(serving_incarnation(&mut engine, at(4)).is_err());
    engine.handle(at(5), heartbeat("a", 200, 1, false));
    assert_eq!(serving_incarnation(&mut engine, at(6)), Ok("a".into()));
}

/// A server drains while bookings are queued for it. Started later, they would reach the server
/// after its leave was acknowledged, when it may have stopped listening.
#[test]
fn queued_calls_are_refused_at_once_when_server_drains() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 1, false));
    for token in 0..19 {
        assert!(send_booking(&mut engine, at(2), token).is_ok());
    }
    let outputs = engine.handle(at(3), request(19, "/slots/7"));
    let answered = |output: &Output| matches!(output, Output::Answer { .. });
    assert!(!outputs.iter().any(answered));
    let outputs = engine.handle(at(4), heartbeat("a", 100, 2, true));
    // There is no other server that the booking could be sent to.
    assert_eq!(run_or_reason(outputs), Err(Reason::NoInstance));
}

/// A server of another service now listens at the address, and reports that a request was
/// misdirected. The node sends nothing more there, and answers that the booking did not run.
#[test]
fn misdirected_run_ends_work_for_server() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 1, false));
    let (run, _) = send_booking(&mut engine, at(2), 1).unwrap();
    let end = RunEnd::Misdirected;
    let outputs = engine.handle(at(3), Input::RunEnded { run, end });
    assert!(run_or_reason(outputs).is_err());
    assert!(serving_incarnation(&mut engine, at(4)).is_err());
}

/// The connection breaks before a booking's answer has arrived, so the booking may have run. Sent
/// to another server, it could book a press slot twice.
#[test]
fn lost_non_idempotent_call_is_not_retried() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 1, false));
    let (run, _) = send_booking(&mut engine, at(2), 1).unwrap();
    let end = RunEnd::Lost;
    let outputs = engine.handle(at(3), Input::RunEnded { run, end });
    let answer = outputs.iter().find_map(|output| match output {
        Output::Answer { outcome, .. } => Some(outcome.clone()),
        _ => None,
    });
    assert_eq!(answer, Some(Outcome::Unknown(Reason::ServerLost)));
}

/// The same booking arrives twice without a key. It may come from two customers with equal orders,
/// so both have to run.
#[test]
fn identical_calls_without_key_both_run() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 1, false));
    let first = send_booking(&mut engine, at(2), 1).unwrap();
    let second = send_booking(&mut engine, at(2), 2).unwrap();
    assert_ne!(first.0, second.0);
}

/// An older rules version arrives after a newer one, as from a peer that was partitioned off. If it
/// came into force again, bookings would be routed to where the operators no longer want them.
#[test]
fn older_rules_version_is_ignored() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 1, false));
    publish(&mut engine, 5, "/days/");
    publish(&mut engine, 4, "/slots/");
    assert_eq!(engine.rules_version(), 5);
    assert_eq!(
        serving_incarnation(&mut engine, at(2)),
        Err(Reason::NoSuchOperation)
    );
}

/// A node that has just started has no rules yet. If it answered that there is no such operation,
/// the caller would not retry.
#[test]
fn request_before_first_rules_is_refused_with_no_rules() {
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
    assert_eq!(
        serving_incarnation(&mut engine, at(1)),
        Err(Reason::NoRules)
    );
}

/// The id of a server's own call begins with the id of the request that it serves. When that
/// request's caller disconnects, the call is cancelled too, because nothing needs its result.
#[test]
fn child_call_is_cancelled_with_its_parent_request() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 1, false));
    send_booking(&mut engine, at(2), 1).unwrap();
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
    let (run, _) = run_or_reason(engine.handle(at(3), call)).unwrap();
    let outputs = engine.handle(at(4), Input::CallerGone(RequestToken(1)));
    assert!(outputs.contains(&Output::CancelRun(run)));
}

/// A server crashes and the next one starts at its address. The next one has already sent a
/// heartbeat when it rejects a booking addressed to the first as misdirected. If the node stopped
/// sending work to the next server for this, that server would stay idle for as long as it lives.
#[test]
fn misdirected_run_of_earlier_incarnation_does_not_end_work_for_the_next() {
    let mut engine = node();
    engine.handle(at(1), heartbeat("a", 100, 1, false));
    let (run, _) = send_booking(&mut engine, at(2), 1).unwrap();
    engine.handle(at(3), heartbeat("b", 200, 1, false));
    let end = RunEnd::Misdirected;
    engine.handle(at(4), Input::RunEnded { run, end });
    assert_eq!(serving_incarnation(&mut engine, at(5)), Ok("b".into()));
}

/// A node is restarted, and its server announces its leave to the new process, which does not know
/// the server yet. Then an earlier heartbeat arrives late. If it were trusted, the node would send
/// bookings to a server that is about to exit, and their outcome would be unknown.
#[test]
fn late_heartbeat_after_node_restart_needs_health_check() {
    let mut engine = node_with(parse_with_check);
    engine.handle(at(10), leave("a"));
    let requested = health_checks(engine.handle(at(2000), heartbeat("a", 1, 24, false)));
    assert_eq!(requested, ["a /health"]);
    assert_eq!(
        serving_incarnation(&mut engine, at(2001)),
        Err(Reason::NoInstance)
    );
    assert_eq!(
        health_checks(engine.handle(at(2002), health_checked("a", false))),
        [""; 0]
    );
    assert_eq!(
        serving_incarnation(&mut engine, at(2003)),
        Err(Reason::NoInstance)
    );
    // The server may have been unhealthy only briefly, so the next heartbeat starts another check.
    let requested = health_checks(engine.handle(at(3500), heartbeat("a", 1, 25, false)));
    assert_eq!(requested, ["a /health"]);
    engine.handle(at(3510), health_checked("a", true));
    assert_eq!(serving_incarnation(&mut engine, at(3511)), Ok("a".into()));
}

/// Only the first server that a node process receives a heartbeat from is checked. A later server
/// is told apart from earlier ones by its start time. Checking it too would leave its slots empty
/// for a moment just after a restart.
#[test]
fn restarted_server_needs_no_health_check() {
    let mut engine = node_with(parse_with_check);
    engine.handle(at(0), heartbeat("a", 1, 1, false));
    engine.handle(at(1), health_checked("a", true));
    assert_eq!(
        health_checks(engine.handle(at(2), heartbeat("a", 9, 1, false))),
        [""; 0]
    );
    assert_eq!(serving_incarnation(&mut engine, at(3)), Ok("a".into()));
}

/// A server's first heartbeat arrives before the rules, which contain the path for the check.
#[test]
fn first_health_check_waits_for_rules() {
    let mut engine = node_without_rules(parse_with_check);
    assert_eq!(
        health_checks(engine.handle(at(0), heartbeat("a", 1, 1, false))),
        [""; 0]
    );
    let version = Input::RulesPublished {
        version: 3,
        file: "/slots/".into(),
    };
    assert_eq!(health_checks(engine.handle(at(1), version)), ["a /health"]);
}

/// A node gets its rules from a peer after its server's first heartbeat. If the server were asked
/// only after the next heartbeat, it would get no work until then.
#[test]
fn server_is_checked_as_soon_as_a_peer_has_sent_the_rules() {
    let peer = node_with(parse_with_check);
    let known = proto::SyncProgress::default();
    let state = peer.state_newer_than(known).unwrap();
    for shared_store_reads in [true, false] {
        let mut engine = node_without_rules_from(parse_with_check, shared_store_reads);
        let before = health_checks(engine.handle(at(0), heartbeat("a", 1, 1, false)));
        assert!(before.is_empty());
        let from = ([127, 0, 0, 1], 7002).into();
        let state = state.clone();
        let fetched = Input::StateFetched { from, state };
        assert_eq!(
            health_checks(engine.handle(at(1), fetched)),
            ["a /health"],
            "shared_store_reads={shared_store_reads}"
        );
    }
}
