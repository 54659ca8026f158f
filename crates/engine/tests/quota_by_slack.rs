//! Allocation of an organisation's tokens at one node while the rules schedule by slack.

use bilberry_engine::Announcement;
use bilberry_engine::Config;
use bilberry_engine::Counter;
use bilberry_engine::Diagnostic;
use bilberry_engine::Engine;
use bilberry_engine::Heartbeat;
use bilberry_engine::Input;
use bilberry_engine::KeylessCalls;
use bilberry_engine::Output;
use bilberry_engine::QuotaEvent;
use bilberry_engine::RequestToken;
use bilberry_engine::RunEnd;
use bytes::Bytes;
use proto::Incarnation;
use proto::Instance;
use proto::Outcome;
use proto::Reason;
use proto::Refusal;
use proto::Request;
use proto::Response;
use rules::KeyDigest;
use std::time::Duration;
use stdx::Time;

const URGENT: &str = "/transfers";
const PATIENT: &str = "/topups";

/// The time that a patient caller has for all of its attempts.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// What became of a request.
#[derive(Debug, Clone, PartialEq)]
enum Event {
    Ran(String),
    Refused(RequestToken, Refusal),
    Counted(QuotaEvent),
    Logged(String),
}

struct Driver {
    engine: Engine,
    now: u64,
    token: u64,
    /// The operations, as in the rules file.
    operations: String,
    rules_version: u64,
    /// The API key that comes with requests.
    api_key: String,
}

impl Driver {
    /// A node that lends to itself, with a quota of ten requests per second. `objective` is that of
    /// patient requests.
    fn new(objective: &str) -> Self {
        let me = Instance {
            incarnation: Incarnation(1),
            service: "press".into(),
            failure_domain: "milano-1".into(),
            region: "lombardia".into(),
            addr: ([127, 0, 0, 1], 7001).into(),
        };
        let cfg = Config {
            keyless_calls: KeylessCalls::OwnedByIngress,
            server_announces: true,
            revocation_bound: Some(Duration::from_secs(5)),
            ..Config::default()
        };
        let mut driver = Self {
            engine: Engine::new(cfg, me),
            now: 0,
            token: 0,
            operations: format!(
                "operation press POST {URGENT} class=booking deadline=500ms priority=0 # asked by Ugo\n\
                 operation press POST {PATIENT} class=booking deadline=1500ms {objective} priority=2 # asked by Ugo\n"
            ),
            rules_version: 0,
            api_key: "k1".to_owned(),
        };
        driver.publish(&organisation("anna", "k1", "rate=10 burst=0"));
        driver.feed(Input::Server(Announcement::Alive(Heartbeat {
            id: "a".into(),
            started_ms: 1,
            sequence: 1,
            service: "press".into(),
            slots: 200,
            draining: false,
        })));
        driver.advance(6000);
        driver
    }

    /// Publishes new rules with the same operations.
    fn publish(&mut self, organisations: &str) -> Vec<Event> {
        self.rules_version += 1;
        let file = format!("{}{organisations}", self.operations);
        let version = self.rules_version;
        self.feed(Input::RulesPublished {
            version,
            file: file.into(),
        })
    }

    fn at(&self) -> Time {
        Time::from_micros(self.now * 1000)
    }

    /// Feeds an input. Runs end at once.
    fn feed(&mut self, input: Input) -> Vec<Event> {
        let mut events = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.engine.handle(self.at(), input) {
                match output {
                    Output::Run { run, request, .. } => {
                        events.push(Event::Ran(request.path.to_string()));
                        let end = RunEnd::Response(Response {
                            status: 200,
                            headers: Vec::new(),
                            body: Bytes::new(),
                        });
                        inputs.push(Input::RunEnded { run, end });
                    }
                    Output::Answer {
                        token,
                        outcome: Outcome::NotRun(refusal),
                        ..
                    } => events.push(Event::Refused(token, refusal)),
                    Output::Count(Counter::Quota(event)) => events.push(Event::Counted(event)),
                    Output::Diagnostic(refused @ Diagnostic::QuotaRefused(_)) => {
                        events.push(Event::Logged(refused.to_string()));
                    }
                    _ => {}
                }
            }
        }
        events
    }

    fn advance(&mut self, ms: u64) -> Vec<Event> {
        let mut events = Vec::new();
        for _ in 0..ms / 5 {
            self.now += 5;
            events.extend(self.feed(Input::Tick));
            if self.now % 1000 == 0 {
                let (asked, version) = (self.at(), self.rules_version);
                events.extend(self.feed(Input::RulesChecked { asked, version }));
            }
        }
        events
    }

    /// Sends a request whose body identifies its caller, with a new id for each attempt.
    fn request(&mut self, path: &str, caller: u64, timeout: Duration) -> Vec<Event> {
        self.token += 1;
        let body = Bytes::from(caller.to_string());
        let request = Request {
            id: format!("id-{}", self.token).into(),
            ..Request::new("press", "POST", path, body)
        };
        self.feed(Input::Request {
            token: RequestToken(self.token),
            caller: "shop".into(),
            context: None,
            parent: None,
            key: None,
            credential: Some(KeyDigest::of(&self.api_key)),
            caller_timeout: Some(timeout),
            request,
        })
    }

    /// Sends patient requests of other callers at eight times the rate.
    fn overload(&mut self, ms: u64) -> Vec<Event> {
        let mut events = Vec::new();
        for _ in 0..ms / 25 {
            let other = 1_000_000 + self.token;
            events.extend(self.request(PATIENT, other, CALLER_TIMEOUT));
            events.extend(self.advance(25));
            events.extend(self.request(PATIENT, other + 500_000, CALLER_TIMEOUT));
        }
        events
    }

    fn gauge(&self, name: &str) -> u64 {
        let gauges = self.engine.gauges(self.at());
        let found = gauges.iter().find(|(other, _)| *other == name);
        found.expect("the gauge should exist").1
    }
}

fn organisation(name: &str, api_key: &str, quota: &str) -> String {
    let digest = KeyDigest::of(api_key);
    format!("organisation {name} keys={digest} {quota} # asked by Ugo\n")
}

fn refusal(events: &[Event]) -> Option<Refusal> {
    events.iter().find_map(|event| match event {
        Event::Refused(_, refusal) => Some(*refusal),
        _ => None,
    })
}

fn has_run(events: &[Event], path: &str) -> bool {
    events.contains(&Event::Ran(path.to_owned()))
}

/// Overloads the node until a caller is promised a token. Returns the caller and its refusal.
fn promised_caller(driver: &mut Driver) -> (u64, Refusal) {
    driver.overload(1000);
    for caller in 0..1000 {
        let events = driver.request(PATIENT, caller, CALLER_TIMEOUT);
        if events.contains(&Event::Counted(QuotaEvent::Promised)) {
            let refusal = refusal(&events);
            return (caller, refusal.expect("a promise comes with a refusal"));
        }
        driver.advance(5);
    }
    panic!("no caller was promised a token");
}

/// Guards against an urgent request that waits behind patient ones that arrived before it.
#[test]
fn an_urgent_request_gets_the_next_token() {
    let mut driver = Driver::new("objective=4s");
    for caller in 0..60 {
        driver.request(PATIENT, caller, CALLER_TIMEOUT);
    }
    let mut events = driver.request(URGENT, 100, Duration::from_millis(500));
    events.extend(driver.advance(250));
    let first = events.iter().find(|event| matches!(event, Event::Ran(_)));
    assert_eq!(first, Some(&Event::Ran(URGENT.to_owned())), "{events:?}");
}

/// Guards against requests that are held although no token can reach them in time.
#[test]
fn a_request_that_gets_no_token_in_time_is_refused_at_once() {
    let mut driver = Driver::new("objective=4s");
    driver.overload(2000);
    let events = driver.request(PATIENT, 1, CALLER_TIMEOUT);
    let refusal = refusal(&events).expect("the request should be refused at once");
    assert_eq!(refusal.reason, Reason::QuotaExceeded);
    let line = events.iter().find_map(|event| match event {
        Event::Logged(line) => Some(line.clone()),
        _ => None,
    });
    let line = line.expect("a refusal should be logged");
    for field in [
        "priority=2",
        "objective_left_ms=4000",
        "tokens=",
        "promised=",
        "rate_millihertz=",
    ] {
        assert!(line.contains(field), "{field} in {line}");
    }
    // An urgent request is not affected by the patient ones.
    let mut events = driver.request(URGENT, 2, Duration::from_millis(500));
    events.extend(driver.advance(400));
    assert!(has_run(&events, URGENT), "{events:?}");
}

/// Guards against a fixed wait that ends while a token can still reach the request in time.
#[test]
fn a_patient_request_waits_until_it_can_no_longer_be_in_time() {
    let wait_of = |objective: &str| {
        let mut driver = Driver::new(objective);
        for caller in 0..60 {
            driver.request(PATIENT, caller, CALLER_TIMEOUT);
        }
        let started = driver.now;
        driver.request(PATIENT, 100, CALLER_TIMEOUT);
        let token = RequestToken(driver.token);
        let is_refusal =
            |event: &Event| matches!(event, Event::Refused(other, _) if *other == token);
        while !driver.advance(5).iter().any(is_refusal) {
            assert!(driver.now < started + 2000, "the request was never refused");
        }
        driver.now - started
    };
    // Without patient operations the wait is fixed.
    assert_eq!(wait_of("objective=2s"), 300);
    assert!(wait_of("objective=4s") > 300);
}

/// Guards against a retry delay at which there is no token, or which the caller does not honour.
#[test]
fn a_caller_that_returns_when_told_gets_a_token() {
    let mut driver = Driver::new("objective=4s");
    let (caller, refusal) = promised_caller(&mut driver);
    let delay = u64::from(refusal.retry_after_ms);
    assert!(delay <= 4000 / 3, "{refusal:?}");
    driver.overload(delay.next_multiple_of(25));
    let token = RequestToken(driver.token + 1);
    let mut events = driver.request(
        PATIENT,
        caller,
        CALLER_TIMEOUT - Duration::from_millis(delay),
    );
    assert!(events.contains(&Event::Counted(QuotaEvent::ReturnedOnTime)));
    for _ in 0..60 {
        events.extend(driver.overload(25));
    }
    let refused = |event: &Event| matches!(event, Event::Refused(other, _) if *other == token);
    assert!(!events.iter().any(refused), "the caller was refused again");
}

/// Guards against callers that get ahead of others by returning early or often.
#[test]
fn returning_early_or_often_gains_nothing() {
    let mut driver = Driver::new("objective=4s");
    let (caller, refusal) = promised_caller(&mut driver);
    let return_at = driver.now + u64::from(refusal.retry_after_ms);
    for _ in 0..5 {
        let promised = driver.gauge("quota.promised");
        let events = driver.request(PATIENT, caller, CALLER_TIMEOUT);
        assert!(events.contains(&Event::Counted(QuotaEvent::ReturnedEarly)));
        let refusal = self::refusal(&events).expect("an early caller is an ordinary one");
        let told = driver.now + u64::from(refusal.retry_after_ms);
        assert!(
            told.abs_diff(return_at) <= 5,
            "{told} instead of {return_at}"
        );
        assert_eq!(driver.gauge("quota.promised"), promised);
        driver.now += 1;
    }
}

/// Guards against tables that grow with the number of callers.
#[test]
fn tables_of_waiting_and_refused_callers_are_bounded() {
    let mut driver = Driver::new("objective=4s");
    for caller in 0..12_000 {
        driver.request(PATIENT, caller, CALLER_TIMEOUT);
        if caller % 20 == 0 {
            driver.now += 5;
        }
    }
    assert!(driver.gauge("quota.waiting") <= 256);
    assert!(driver.gauge("quota.promised") <= 512);
    assert!(driver.gauge("quota.refused_callers") <= 4096);
    driver.advance(10_000);
    assert_eq!(driver.gauge("quota.waiting"), 0);
    assert_eq!(driver.gauge("quota.promised"), 0);
}

/// Sends patient requests until one waits. Returns its token.
fn waiting_request(driver: &mut Driver) -> RequestToken {
    for caller in 0..60 {
        driver.request(PATIENT, caller, CALLER_TIMEOUT);
    }
    driver.advance(50);
    assert!(driver.gauge("quota.waiting") > 0);
    RequestToken(driver.token)
}

fn refusal_of(events: &[Event], token: RequestToken) -> Option<Refusal> {
    events.iter().find_map(|event| match event {
        Event::Refused(other, refusal) if *other == token => Some(*refusal),
        _ => None,
    })
}

/// Guards against requests that wait for a token of an organisation that no longer exists.
#[test]
fn requests_of_a_removed_organisation_stop_waiting() {
    let mut driver = Driver::new("objective=4s");
    let token = waiting_request(&mut driver);
    let mut events = driver.publish(&organisation("marco", "k2", "rate=10 burst=0"));
    let (asked, version) = (driver.at(), driver.rules_version);
    events.extend(driver.feed(Input::RulesChecked { asked, version }));
    events.extend(driver.advance(5));
    let refusal = refusal_of(&events, token).expect("the request should be refused at once");
    assert_eq!(refusal.reason, Reason::UnknownOrganisation);
    assert_eq!(driver.gauge("quota.waiting"), 0);
}

/// Guards against requests that wait for a token although their organisation no longer has a quota.
#[test]
fn requests_of_an_organisation_without_a_quota_stop_waiting() {
    let mut driver = Driver::new("objective=4s");
    waiting_request(&mut driver);
    let waiting = driver.gauge("quota.waiting") as usize;
    let mut events = driver.publish(&organisation("anna", "k1", ""));
    events.extend(driver.advance(5));
    let ran = |event: &&Event| matches!(event, Event::Ran(_));
    assert_eq!(events.iter().filter(ran).count(), waiting);
    assert_eq!(driver.gauge("quota.waiting"), 0);
}

/// Guards against promises that are kept for an organisation after it was removed.
#[test]
fn promises_to_a_removed_organisation_are_dropped() {
    let mut driver = Driver::new("objective=4s");
    promised_caller(&mut driver);
    driver.publish("");
    driver.advance(1000);
    assert_eq!(driver.gauge("quota.promised"), 0);
}

/// Guards against requests that wait at a stopping node, which would not admit them, and delay its
/// exit.
#[test]
fn requests_stop_waiting_when_a_stopping_node_accepts_no_more() {
    let mut driver = Driver::new("objective=4s");
    let token = waiting_request(&mut driver);
    let grace = Config::default().stop_grace_period.as_millis() as u64;
    assert!(
        grace < 1000,
        "the requests wait for longer than the grace period"
    );
    let mut events = driver.feed(Input::Stop);
    events.extend(driver.advance((grace + 5).next_multiple_of(5)));
    let refusal = refusal_of(&events, token).expect("the request should be refused");
    assert_eq!(refusal.reason, Reason::Draining);
    let events = driver.request(PATIENT, 100, CALLER_TIMEOUT);
    let refusal = self::refusal(&events).expect("a new request should be refused at once");
    assert_eq!(refusal.reason, Reason::Draining);
    assert_eq!(driver.gauge("quota.waiting"), 0);
}

/// Guards against an urgent request that is refused because the requests of other organisations fill
/// the node's table.
#[test]
fn urgent_request_displaces_one_of_the_longest_queue_if_the_node_is_full() {
    let mut driver = Driver::new("objective=4s");
    let names = ["anna", "marco", "elena", "paolo", "giulia"];
    let organisations = names.map(|name| organisation(name, name, "rate=1 burst=0"));
    driver.publish(&organisations.concat());
    driver.advance(1000);
    for name in &names[..4] {
        driver.api_key = name.to_string();
        for caller in 0..280 {
            driver.request(PATIENT, caller, CALLER_TIMEOUT);
        }
    }
    assert_eq!(driver.gauge("quota.waiting"), 1024);
    driver.api_key = names[4].to_owned();
    let mut events = driver.request(URGENT, 1, Duration::from_millis(500));
    let token = RequestToken(driver.token);
    assert!(driver.gauge("quota.waiting") <= 1024);
    assert!(events.contains(&Event::Counted(QuotaEvent::Displaced)));
    events.extend(driver.advance(50));
    assert_eq!(refusal_of(&events, token), None);
    assert!(has_run(&events, URGENT));
}

/// Guards against a request that is taken for the next attempt of another one with the same bytes
/// but another idempotency key.
#[test]
fn requests_with_different_keys_are_different_callers() {
    let mut driver = Driver::new("objective=4s");
    driver.overload(2000);
    let request = |driver: &mut Driver, key: &str| {
        driver.token += 1;
        let request = Request::new("press", "POST", PATIENT, Bytes::from("same"));
        driver.feed(Input::Request {
            token: RequestToken(driver.token),
            caller: "shop".into(),
            context: None,
            parent: None,
            key: Some(key.into()),
            credential: Some(KeyDigest::of("k1")),
            caller_timeout: Some(CALLER_TIMEOUT),
            request,
        })
    };
    let early = Event::Counted(QuotaEvent::ReturnedEarly);
    assert!(refusal(&request(&mut driver, "one")).is_some());
    assert!(!request(&mut driver, "two").contains(&early));
    assert!(request(&mut driver, "one").contains(&early));
}
