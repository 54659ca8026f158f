//! Which requests one node admits: API keys, their revocation, and quotas.

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
use proto::Incarnation;
use proto::Instance;
use proto::Outcome;
use proto::Reason;
use proto::Request;
use proto::Response;
use proto::RunId;
use rules::KeyDigest;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

const REVOCATION_BOUND: Duration = Duration::from_secs(5);

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1000)
}

/// Rules with one operation that requires a key, one public operation, and these organisations.
fn rules(organisations: &[(&str, &str, &str)]) -> String {
    let mut text = "operation press POST /slots class=booking deadline=2s # asked by Ugo\n\
                    operation press GET /days class=lookup idempotent deadline=2s public # asked by Ugo\n"
        .to_owned();
    for (name, key, quota) in organisations {
        let digest = KeyDigest::of(key);
        text += &format!("organisation {name} keys={digest} {quota} # asked by Ugo\n");
    }
    text
}

struct Driver {
    engine: Engine,
    now: u64,
    token: u64,
    version: u64,
}

impl Driver {
    /// A node with a backend server of `press`, whose rules are confirmed to be the newest.
    fn new(organisations: &[(&str, &str, &str)]) -> Self {
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
            revocation_bound: Some(REVOCATION_BOUND),
            ..Config::default()
        };
        let mut driver = Self {
            engine: Engine::new(cfg, me),
            now: 0,
            token: 0,
            version: 0,
        };
        driver.publish(organisations);
        driver.feed(Input::Server(Announcement::Alive(Heartbeat {
            id: "a".into(),
            started_ms: 1,
            sequence: 1,
            service: "press".into(),
            slots: 200,
            draining: false,
        })));
        driver.confirm_rules();
        driver
    }

    fn feed(&mut self, input: Input) -> Vec<Output> {
        self.engine.handle(at(self.now), input)
    }

    fn publish(&mut self, organisations: &[(&str, &str, &str)]) {
        self.version += 1;
        let (version, file) = (self.version, rules(organisations).into());
        self.feed(Input::RulesPublished { version, file });
    }

    fn confirm_rules(&mut self) {
        let (asked, version) = (at(self.now), self.version);
        self.feed(Input::RulesChecked { asked, version });
    }

    /// Lets time pass; the store confirms the rules once per second if `confirmed`.
    fn advance(&mut self, ms: u64, confirmed: bool) -> Vec<Output> {
        let mut outputs = Vec::new();
        for _ in 0..ms / 10 {
            self.now += 10;
            outputs.extend(self.feed(Input::Tick));
            if confirmed && self.now % 1000 == 0 {
                self.confirm_rules();
            }
        }
        outputs
    }

    fn request(&mut self, path: &str, key: Option<&str>, parent: Option<&str>) -> Vec<Output> {
        self.token += 1;
        let token = RequestToken(self.token);
        let method = if path == "/days" { "GET" } else { "POST" };
        let request = Request {
            id: format!("id-{}", self.token).into(),
            organisation: "forged".into(),
            ..Request::new("press", method, path, Bytes::new())
        };
        self.feed(Input::Request {
            token,
            caller: "shop".into(),
            context: None,
            parent: parent.map(Arc::from),
            key: None,
            credential: key.map(KeyDigest::of),
            caller_timeout: None,
            request,
        })
    }

    /// Checks the organisation that the server is told, or why the request did not run.
    fn check_request(&mut self, path: &str, key: Option<&str>, expected: Result<&str, Reason>) {
        let outputs = self.request(path, key, None);
        let (run, got) =
            match run_or_refusal(&outputs).expect("the request should run or be answered") {
                Ok((run, organisation)) => (Some(run), Ok(organisation)),
                Err(reason) => (None, Err(reason)),
            };
        assert_eq!(
            got.as_deref().map_err(|reason| *reason),
            expected,
            "{path} {key:?}"
        );
        if let Some(run) = run {
            self.end_run(run);
        }
    }

    fn end_run(&mut self, run: RunId) {
        let end = RunEnd::Response(Response {
            status: 200,
            headers: Vec::new(),
            body: Bytes::new(),
        });
        self.feed(Input::RunEnded { run, end });
    }
}

fn run_or_refusal(outputs: &[Output]) -> Option<Result<(RunId, Arc<str>), Reason>> {
    outputs.iter().find_map(|output| match output {
        Output::Run { run, request, .. } => Some(Ok((*run, request.organisation.clone()))),
        Output::Answer {
            outcome: Outcome::NotRun(refusal),
            ..
        } => Some(Err(refusal.reason)),
        _ => None,
    })
}

#[test]
fn a_request_runs_for_the_organisation_that_holds_its_key() {
    let mut driver = Driver::new(&[("anna", "k1", ""), ("marco", "k2", "")]);
    driver.check_request("/slots", Some("k1"), Ok("anna"));
    driver.check_request("/slots", Some("k2"), Ok("marco"));
    driver.check_request("/slots", Some("k3"), Err(Reason::UnknownOrganisation));
    driver.check_request("/slots", None, Err(Reason::UnknownOrganisation));
}

#[test]
fn a_public_operation_needs_no_key_and_takes_no_forged_organisation() {
    let mut driver = Driver::new(&[("anna", "k1", "")]);
    driver.check_request("/days", None, Ok(""));
    driver.check_request("/days", Some("k3"), Ok(""));
    driver.check_request("/days", Some("k1"), Ok("anna"));
}

#[test]
fn a_child_call_needs_no_key_but_a_false_claim_to_be_one_does() {
    let mut driver = Driver::new(&[("anna", "k1", "")]);
    let outputs = driver.request("/slots", Some("k1"), None);
    assert!(matches!(run_or_refusal(&outputs), Some(Ok(_))));
    let child = driver.request("/slots", None, Some("id-1"));
    assert_eq!(
        run_or_refusal(&child).unwrap().map(|(_, name)| name),
        Ok("".into())
    );
    let forged = driver.request("/slots", None, Some("id-9"));
    assert_eq!(
        run_or_refusal(&forged).unwrap().map(|_| ()),
        Err(Reason::UnknownOrganisation)
    );
}

#[test]
fn a_key_is_not_trusted_once_it_may_have_been_revoked() {
    let mut driver = Driver::new(&[("anna", "k1", "")]);
    driver.advance(4700, false);
    driver.check_request("/slots", Some("k1"), Ok("anna"));
    driver.advance(300, false);
    driver.check_request("/slots", Some("k1"), Err(Reason::RulesUnconfirmed));
    driver.check_request("/days", None, Ok(""));
    driver.confirm_rules();
    driver.check_request("/slots", Some("k1"), Ok("anna"));
}

#[test]
fn an_unknown_key_may_be_new_while_the_rules_are_unconfirmed() {
    let mut driver = Driver::new(&[("anna", "k1", "")]);
    driver.advance(3000, false);
    driver.check_request("/slots", Some("k2"), Err(Reason::RulesUnconfirmed));
}

#[test]
fn a_confirmation_of_newer_rules_does_not_confirm_older_ones() {
    let mut driver = Driver::new(&[("anna", "k1", "")]);
    driver.advance(4900, false);
    let asked = at(driver.now);
    driver.feed(Input::RulesChecked { asked, version: 9 });
    driver.check_request("/slots", Some("k1"), Err(Reason::RulesUnconfirmed));
}

#[test]
fn a_revoked_key_is_refused_as_soon_as_the_new_rules_arrive() {
    let mut driver = Driver::new(&[("anna", "k1", "")]);
    driver.publish(&[("anna", "k2", "")]);
    driver.check_request("/slots", Some("k1"), Err(Reason::UnknownOrganisation));
    driver.check_request("/slots", Some("k2"), Ok("anna"));
}

#[test]
fn a_single_node_admits_what_the_quota_allows() {
    let mut driver = Driver::new(&[("anna", "k1", "rate=10 burst=5"), ("marco", "k2", "")]);
    driver.advance(10_000, true);
    let mut admitted = 0;
    let mut refused = 0;
    for _ in 0..1000 {
        let mut outputs = driver.request("/slots", Some("k1"), None);
        outputs.extend(driver.advance(10, true));
        for output in outputs {
            match output {
                Output::Run { run, .. } => {
                    admitted += 1;
                    driver.end_run(run);
                }
                Output::Answer {
                    outcome: Outcome::NotRun(refusal),
                    ..
                } => {
                    assert_eq!(refusal.reason, Reason::QuotaExceeded);
                    refused += 1;
                }
                _ => {}
            }
        }
    }
    // Ten seconds at the rate, the burst, and the tolerance of the quota.
    assert!((100..=132).contains(&admitted), "{admitted} admitted");
    assert!(refused > 800, "{refused} refused");
    driver.check_request("/slots", Some("k2"), Ok("marco"));
}

#[test]
fn the_token_of_a_request_that_did_not_run_admits_another() {
    let mut driver = Driver::new(&[("anna", "k1", "rate=1 burst=0")]);
    driver.advance(6000, true);
    let outputs = driver.request("/slots", Some("k1"), None);
    let Some(Ok((run, _))) = run_or_refusal(&outputs) else {
        panic!("{outputs:?}");
    };
    // More requests than there are tokens; the rest wait.
    for _ in 0..30 {
        driver.request("/slots", Some("k1"), None);
    }
    let mut outputs = driver.feed(Input::RunEnded {
        run,
        end: RunEnd::Refused { retry_after: None },
    });
    outputs.extend(driver.feed(Input::Tick));
    let runs = outputs
        .iter()
        .filter(|output| matches!(output, Output::Run { .. }));
    assert_eq!(runs.count(), 1, "{outputs:?}");
}

#[test]
fn a_stopping_node_answers_requests_that_wait_for_a_token() {
    let mut driver = Driver::new(&[("anna", "k1", "rate=1 burst=0")]);
    let outputs = driver.request("/slots", Some("k1"), None);
    assert!(
        run_or_refusal(&outputs).is_none(),
        "no token is available yet"
    );
    let stopped = |outputs: &[Output]| outputs.iter().position(|output| *output == Output::Stopped);
    assert_eq!(stopped(&driver.feed(Input::Stop)), None);
    let outputs = driver.advance(500, true);
    let answered = outputs
        .iter()
        .position(|output| matches!(output, Output::Answer { .. }));
    assert!(
        answered.is_some() && answered < stopped(&outputs),
        "{outputs:?}"
    );
}

#[test]
fn without_organisations_no_rules_are_checked_and_no_tokens_borrowed() {
    let mut driver = Driver::new(&[]);
    let outputs = driver.advance(5000, false);
    let asked = |output: &Output| match output {
        Output::CheckRules => true,
        Output::Datagram { datagram, .. } => !matches!(datagram, proto::Datagram::Member { .. }),
        _ => false,
    };
    assert!(!outputs.iter().any(asked));
    driver.check_request("/slots", None, Ok(""));
}

#[test]
fn the_time_spent_waiting_for_a_token_is_part_of_the_deadline() {
    let mut driver = Driver::new(&[("anna", "k1", "rate=10 burst=0")]);
    driver.advance(1100, true);
    let remaining_time = |outputs: &[Output]| {
        outputs.iter().find_map(|output| match output {
            Output::Run { remaining, .. } => Some(*remaining),
            _ => None,
        })
    };
    let without_wait = remaining_time(&driver.request("/days", None, None)).unwrap();
    // The node has no vote yet. The first token arrives while this request waits.
    let outputs = driver.request("/slots", Some("k1"), None);
    assert!(run_or_refusal(&outputs).is_none());
    let started = driver.now;
    let remaining = (0..30).find_map(|_| remaining_time(&driver.advance(10, true)));
    let waited = Duration::from_millis(driver.now - started);
    assert_eq!(remaining, Some(without_wait - waited));
    assert!(waited >= Duration::from_millis(50), "{waited:?}");
}

#[test]
fn a_waiting_request_is_answered_after_the_last_organisation_is_removed() {
    let mut driver = Driver::new(&[("anna", "k1", "rate=1 burst=0")]);
    let outputs = driver.request("/slots", Some("k1"), None);
    assert!(
        run_or_refusal(&outputs).is_none(),
        "no token is available yet"
    );
    driver.publish(&[]);
    let outputs = driver.advance(400, false);
    assert!(run_or_refusal(&outputs).is_some(), "{outputs:?}");
}
