//! What a node makes of the reports of its backend server: the limit and the departure that the
//! server states in its responses.

use bilberry_engine::Announcement;
use bilberry_engine::Config;
use bilberry_engine::Counter;
use bilberry_engine::Diagnostic;
use bilberry_engine::Engine;
use bilberry_engine::Heartbeat;
use bilberry_engine::Input;
use bilberry_engine::Output;
use bilberry_engine::ReportError;
use bilberry_engine::ServerReport;
use policy::RateError;
use policy::RequestRate;
use proto::Incarnation;
use proto::Instance;
use rules::Rules;
use stdx::Time;

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1000)
}

/// A node whose server `a` has sent a heartbeat and passed the health check at 0 ms.
fn node() -> Engine {
    let instance = Instance {
        incarnation: Incarnation(1),
        service: "press".into(),
        failure_domain: "milano-1".into(),
        region: "lombardia".into(),
        addr: ([127, 0, 0, 1], 7001).into(),
    };
    let cfg = Config {
        parse_rules: |_| {
            let mut rules = Rules::default();
            rules.health_paths.insert("press".into(), "/health".into());
            Some(rules)
        },
        server_announces: true,
        ..Config::default()
    };
    let mut engine = Engine::new(cfg, instance);
    let (version, file) = (1, "".into());
    engine.handle(at(0), Input::RulesPublished { version, file });
    engine.handle(at(0), heartbeat("a", 100));
    let (id, healthy) = ("a".into(), true);
    engine.handle(at(0), Input::ServerChecked { id, healthy });
    engine
}

fn heartbeat(id: &str, started_ms: u64) -> Input {
    Input::Server(Announcement::Alive(Heartbeat {
        id: id.into(),
        started_ms,
        sequence: 1,
        service: "press".into(),
        slots: 20,
        draining: false,
    }))
}

fn limit(per_second: Option<u64>) -> ServerReport {
    let rate = per_second.map(|rate| RequestRate::from_millihertz(rate * 1000));
    ServerReport {
        rate_limit: Ok(rate),
        ..ServerReport::default()
    }
}

fn leaving() -> ServerReport {
    ServerReport {
        leaving: Ok(true),
        ..ServerReport::default()
    }
}

/// Passes in a response that arrives at `now` ms, to a request that was sent at `sent` ms.
fn respond(engine: &mut Engine, now: u64, sent: u64, report: ServerReport) -> Vec<Output> {
    let (id, sent_at) = ("a".into(), at(sent));
    let input = Input::ServerReport {
        id,
        sent_at,
        report,
    };
    engine.handle(at(now), input)
}

fn gauge(engine: &Engine, name: &str) -> u64 {
    let gauges = engine.gauges(Time::ZERO);
    let gauge = gauges.into_iter().find(|(gauge, _)| *gauge == name);
    gauge.expect("the gauge exists").1
}

/// Passes in responses, each with its time, the time of its request and the limit that it names, and
/// checks the limit in force after them.
fn check_limit(responses: &[(u64, u64, Option<u64>)], expected: Option<u64>) {
    let mut engine = node();
    for (now, sent, per_second) in responses {
        respond(&mut engine, *now, *sent, limit(*per_second));
    }
    let millihertz = gauge(&engine, "server.rate_limit_millihertz");
    let is_limited = gauge(&engine, "server.rate_limited") == 1;
    assert_eq!(is_limited.then_some(millihertz / 1000), expected);
}

#[test]
fn last_named_limit_is_in_force() {
    check_limit(&[(10, 5, Some(10))], Some(10));
    check_limit(&[(10, 5, Some(10)), (20, 15, Some(5))], Some(5));
    check_limit(&[(10, 5, Some(10)), (20, 15, Some(20))], Some(20));
    check_limit(&[(10, 5, Some(10)), (20, 15, None)], None);
    let comes_back = [(10, 5, Some(9)), (20, 15, None), (30, 25, Some(9))];
    check_limit(&comes_back, Some(9));
    check_limit(&[(10, 5, Some(0))], Some(0));
}

/// A response that was sent before the limit was named is read after it. The limit would be lifted
/// until the next response.
#[test]
fn overtaken_response_neither_lifts_nor_raises_the_limit() {
    check_limit(&[(10, 5, Some(10)), (20, 9, None)], Some(10));
    check_limit(&[(10, 5, Some(10)), (20, 9, Some(20))], Some(10));
    check_limit(&[(10, 5, Some(10)), (20, 9, Some(5))], Some(5));
}

/// A garbled limit must not end the limit in force.
#[test]
fn malformed_limit_is_counted_and_changes_nothing() {
    let mut engine = node();
    respond(&mut engine, 10, 5, limit(Some(10)));
    let error = ReportError::Rate(RateError::Negative);
    let malformed = ServerReport {
        rate_limit: Err(error),
        leaving: Err(ReportError::Repeated),
        ..ServerReport::default()
    };
    let outputs = respond(&mut engine, 20, 15, malformed);
    for error in [error, ReportError::Repeated] {
        let counted = Output::Count(Counter::MalformedServerReport(error));
        assert!(outputs.contains(&counted), "{outputs:?}");
    }
    assert_eq!(gauge(&engine, "server.rate_limit_millihertz"), 10_000);
    assert_eq!(gauge(&engine, "server.leaving"), 0);
}

#[test]
fn changes_of_the_limit_are_logged() {
    let mut engine = node();
    let lines = |outputs: Vec<Output>| {
        let lines = outputs.into_iter().filter_map(|output| match output {
            Output::Diagnostic(
                it @ (Diagnostic::ServerLimit { .. } | Diagnostic::ServerLeaving { .. }),
            ) => Some(it.to_string()),
            _ => None,
        });
        lines.collect::<Vec<_>>()
    };
    let named = lines(respond(&mut engine, 10, 5, limit(Some(10))));
    assert_eq!(
        named,
        ["event=server_limit id=a limit=10.000 previous=none"]
    );
    assert!(lines(respond(&mut engine, 20, 15, limit(Some(10)))).is_empty());
    let lifted = lines(respond(&mut engine, 50, 25, limit(None)));
    let expected = "event=server_limit id=a limit=none previous=10.000 age_ms=30";
    assert_eq!(lifted, [expected]);
    let leaves = lines(respond(&mut engine, 60, 55, leaving()));
    assert_eq!(leaves, ["event=server_leaving id=a"]);
}

fn slowdown(percent: u16) -> ServerReport {
    ServerReport {
        slowdown_percent: Ok(Some(percent)),
        ..ServerReport::default()
    }
}

#[test]
fn newest_slowdown_is_kept_and_counted() {
    let mut engine = node();
    let outputs = respond(&mut engine, 10, 5, slowdown(250));
    assert!(outputs.contains(&Output::Count(Counter::SlowdownReport)));
    assert_eq!(gauge(&engine, "server.slowdown_percent"), 250);
    respond(&mut engine, 20, 5, slowdown(100));
    assert_eq!(gauge(&engine, "server.slowdown_percent"), 100);
}

/// A response without the figure, or with a malformed one, says nothing about the speed.
#[test]
fn malformed_slowdown_is_counted_and_changes_nothing() {
    let mut engine = node();
    respond(&mut engine, 10, 5, slowdown(250));
    let error = ReportError::OutOfRange;
    let malformed = ServerReport {
        slowdown_percent: Err(error),
        ..ServerReport::default()
    };
    assert!(!engine.may_omit_report(at(20), malformed));
    let outputs = respond(&mut engine, 20, 15, malformed);
    let counted = Output::Count(Counter::MalformedServerReport(error));
    assert!(outputs.contains(&counted), "{outputs:?}");
    respond(&mut engine, 30, 25, ServerReport::default());
    assert_eq!(gauge(&engine, "server.slowdown_percent"), 250);
}

/// A server that stops reporting would count as slow forever.
#[test]
fn slowdown_that_is_not_renewed_counts_as_usual() {
    let mut engine = node();
    respond(&mut engine, 10, 5, slowdown(250));
    engine.handle(at(1010), Input::Tick);
    assert_eq!(gauge(&engine, "server.slowdown_percent"), 250);
    engine.handle(at(1011), Input::Tick);
    assert_eq!(gauge(&engine, "server.slowdown_percent"), 100);
}

/// Servers report in every response, and each input to the engine has a cost.
#[test]
fn driver_omits_what_the_engine_knows() {
    let mut engine = node();
    assert!(engine.may_omit_report(at(5), ServerReport::default()));
    assert!(!engine.may_omit_report(at(5), slowdown(100)));
    respond(&mut engine, 10, 5, slowdown(100));
    assert!(engine.may_omit_report(at(59), slowdown(110)));
    assert!(!engine.may_omit_report(at(60), slowdown(100)));
    assert!(!engine.may_omit_report(at(20), slowdown(250)));
    assert!(!engine.may_omit_report(at(20), leaving()));
    respond(&mut engine, 20, 15, limit(Some(10)));
    assert!(!engine.may_omit_report(at(21), slowdown(100)));
}

/// The speed of the predecessor says nothing about a new incarnation.
#[test]
fn restarted_server_has_no_slowdown() {
    let mut engine = node();
    respond(&mut engine, 10, 5, slowdown(250));
    engine.handle(at(100), heartbeat("b", 200));
    assert_eq!(gauge(&engine, "server.slowdown_percent"), 0);
}

/// A server that got no requests for a while has to be asked, or its limit would never be lifted.
#[test]
fn limited_server_without_traffic_is_asked_for_its_limit() {
    let mut engine = node();
    respond(&mut engine, 10, 5, limit(Some(0)));
    let due = engine.next_timer().unwrap();
    assert!(due <= at(2010));
    let asks = |engine: &mut Engine, ms: u64| {
        let outputs = engine.handle(at(ms), Input::Tick);
        let is_check = |output: &&Output| matches!(output, Output::CheckServer { .. });
        outputs.iter().filter(is_check).count()
    };
    assert_eq!(asks(&mut engine, 2000), 0);
    assert_eq!(asks(&mut engine, 2010), 1);
    assert_eq!(asks(&mut engine, 2020), 0);
    assert_eq!(asks(&mut engine, 4010), 1);
    respond(&mut engine, 4012, 4010, limit(None));
    assert_eq!(asks(&mut engine, 7000), 0);
}

/// The departure is final for an incarnation, whatever later responses and heartbeats say.
#[test]
fn departure_holds_until_another_incarnation_starts() {
    let mut engine = node();
    respond(&mut engine, 10, 5, leaving());
    respond(&mut engine, 20, 15, ServerReport::default());
    engine.handle(at(30), heartbeat("a", 100));
    assert_eq!(gauge(&engine, "server.leaving"), 1);
    engine.handle(at(40), heartbeat("b", 200));
    assert_eq!(gauge(&engine, "server.leaving"), 0);
}

/// A restarted server may have the id that it had. A response of its predecessor that is read late
/// would limit it, or end it.
#[test]
fn response_of_the_previous_incarnation_is_ignored() {
    let mut engine = node();
    respond(&mut engine, 10, 5, limit(Some(3)));
    engine.handle(at(100), heartbeat("a", 200));
    assert_eq!(gauge(&engine, "server.rate_limited"), 0);
    respond(&mut engine, 110, 90, limit(Some(3)));
    respond(&mut engine, 120, 95, leaving());
    assert_eq!(gauge(&engine, "server.rate_limited"), 0);
    assert_eq!(gauge(&engine, "server.leaving"), 0);
}

/// A server restarts under its id and states its departure before its new heartbeat arrives. The
/// heartbeat, taken for the start of another server, would let requests reach it again.
#[test]
fn restarted_server_that_stated_something_before_its_heartbeat_is_checked() {
    for report in [limit(Some(3)), leaving()] {
        let mut engine = node();
        respond(&mut engine, 10, 5, report);
        let outputs = engine.handle(at(100), heartbeat("a", 200));
        let is_check = |output: &Output| matches!(output, Output::CheckServer { .. });
        assert!(outputs.iter().any(is_check), "{outputs:?}");
    }
    let mut engine = node();
    let outputs = engine.handle(at(100), heartbeat("a", 200));
    let is_check = |output: &Output| matches!(output, Output::CheckServer { .. });
    assert!(!outputs.iter().any(is_check), "nothing was stated before");
}
