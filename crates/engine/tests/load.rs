//! Behaviour of an ingress node under load, which is also the entry node of its requests. The test
//! takes the place of the other nodes.

use bilberry_engine::Config;
use bilberry_engine::Engine;
use bilberry_engine::Input;
use bilberry_engine::Output;
use bilberry_engine::RequestToken;
use bilberry_engine::TreeRetries;
use bytes::Bytes;
use journal::Record;
use proto::Answer;
use proto::Call;
use proto::CallId;
use proto::DownstreamSummary;
use proto::Frame;
use proto::Incarnation;
use proto::Instance;
use proto::LoadReport;
use proto::Outcome;
use proto::Reason;
use proto::Refusal;
use proto::Request;
use proto::Response;
use std::time::Duration;
use stdx::Time;

const RULES: &str = "\
operation patterns GET /p/* class=lookup idempotent deadline=2s retries=2 # asked by Giulia
operation patterns GET /o/* class=order deadline=2s retries=2 # asked by Marco
operation patterns GET /check/* class=order idempotent deadline=2s retries=2 # asked by Marco
resends patterns percent=0 # asked by Giulia
";

/// An ingress node of the service `shop` that knows two instances of `patterns`.
struct IngressNode {
    engine: Engine,
    now: Time,
    last_token: u64,
    /// Calls that were sent and not answered yet.
    calls: Vec<(Incarnation, Call)>,
    answers: Vec<(RequestToken, Outcome)>,
}

fn instance(n: u64, service: &str) -> Instance {
    Instance {
        incarnation: Incarnation(n),
        service: service.into(),
        failure_domain: "milano-1".into(),
        region: "lombardia".into(),
        addr: ([127, 0, 0, 1], 7000 + n as u16).into(),
    }
}

impl IngressNode {
    fn new() -> Self {
        Self::with_config(Config::default())
    }

    fn with_config(cfg: Config) -> Self {
        let records = [
            Record::Publish {
                version: 1,
                publication: 1,
                operator: "ada".into(),
                file: RULES.into(),
            },
            Record::Join(instance(1, "shop")),
            Record::Join(instance(2, "patterns")),
            Record::Join(instance(3, "patterns")),
        ];
        let records = records.iter().map(|record| proto::encode(record).into());
        let mut ingress = Self {
            engine: Engine::new(cfg, instance(1, "shop")),
            // Long enough after the start for the node's full share of the retry budget.
            now: Time::ZERO + Duration::from_secs(10),
            last_token: 0,
            calls: Vec::new(),
            answers: Vec::new(),
        };
        ingress.feed(Input::Records((0..).zip(records).collect()));
        ingress.feed(Input::LogCaughtUp);
        ingress
    }

    fn feed(&mut self, input: Input) {
        for output in self.engine.handle(self.now, input) {
            match output {
                Output::Send {
                    to,
                    frame: Frame::Call(call),
                } => self.calls.push((to.incarnation, *call)),
                Output::Answer { token, outcome, .. } => self.answers.push((token, outcome)),
                _ => {}
            }
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        self.feed(Input::Tick);
    }

    fn send(&mut self, caller: &str, path: &str) -> RequestToken {
        self.send_within(caller, path, None)
    }

    fn send_within(
        &mut self,
        caller: &str,
        path: &str,
        caller_timeout: Option<Duration>,
    ) -> RequestToken {
        self.last_token += 1;
        let token = RequestToken(self.last_token);
        self.feed(Input::Request {
            credential: None,
            token,
            caller: caller.into(),
            context: None,
            parent: None,
            key: None,
            caller_timeout,
            request: Request::new("patterns", "GET", path, Bytes::new()),
        });
        token
    }

    /// Answers the oldest call.
    fn reply(&mut self, outcome: Outcome, downstream: DownstreamSummary) {
        self.reply_with_load(outcome, downstream, LoadReport::default());
    }

    fn reply_with_load(
        &mut self,
        outcome: Outcome,
        downstream: DownstreamSummary,
        load: LoadReport,
    ) {
        let (from, call) = self.calls.remove(0);
        let answer = Answer {
            outcome,
            unspent_retries: call.retry_allowance,
            load,
            downstream,
        };
        let frame = Frame::Answer(call.id, Box::new(answer));
        self.feed(Input::Frame { from, frame });
    }

    /// The node of the oldest call reports that its run takes longer than usual.
    fn report_slow_run(&mut self) {
        let (from, call) = &self.calls[0];
        let (from, frame) = (*from, Frame::SlowCall(call.id));
        self.feed(Input::Frame { from, frame });
    }

    fn outcomes(&mut self) -> Vec<Outcome> {
        self.answers.drain(..).map(|(_, outcome)| outcome).collect()
    }
}

fn completed() -> Outcome {
    Outcome::Completed(Response {
        status: 200,
        headers: Vec::new(),
        body: Bytes::new(),
    })
}

fn refusal() -> Refusal {
    Refusal::new(Reason::QueueFull, Duration::from_secs(5))
}

fn not_run(reason: Reason) -> Outcome {
    Outcome::NotRun(Refusal::new(reason, Duration::from_secs(5)))
}

/// Sends two requests, each given by its caller and path, and checks how many calls they cause.
fn check_call_count(first: (&str, &str), second: (&str, &str), calls: usize) {
    let mut ingress = IngressNode::new();
    ingress.send(first.0, first.1);
    ingress.send(second.0, second.1);
    assert_eq!(ingress.calls.len(), calls);
    for _ in 0..calls {
        ingress.reply(completed(), DownstreamSummary::default());
    }
    assert_eq!(ingress.outcomes(), [completed(), completed()]);
}

/// A lookup hangs and its caller sends it again. A second run would double the load when there is
/// too much already. An answer to another caller or another path must never be shared.
#[test]
fn a_resend_waits_for_the_work_in_flight() {
    check_call_count(("a", "/p/1"), ("a", "/p/1"), 1);
    check_call_count(("a", "/p/1"), ("b", "/p/1"), 2);
    check_call_count(("a", "/p/1"), ("a", "/p/2"), 2);
}

/// The connection of a caller breaks while a re-send waits for the same work. If the work were
/// cancelled, the re-send would get no answer.
#[test]
fn work_that_a_resend_waits_for_is_not_cancelled() {
    let mut ingress = IngressNode::new();
    let first = ingress.send("a", "/p/1");
    let second = ingress.send("a", "/p/1");
    ingress.feed(Input::CallerGone(first));
    ingress.reply(completed(), DownstreamSummary::default());
    assert!(ingress.answers.contains(&(second, completed())));
}

/// The caller of a waiting re-send gives up too. Its connection stays open until it is answered, so
/// a missing answer would leave it open forever.
#[test]
fn a_resend_that_is_given_up_is_answered() {
    let mut ingress = IngressNode::new();
    ingress.send("a", "/p/1");
    let second = ingress.send("a", "/p/1");
    ingress.feed(Input::CallerGone(second));
    let gone = Outcome::Unknown(Reason::CallerGone);
    assert_eq!(ingress.answers, [(second, gone)]);
    ingress.reply(completed(), DownstreamSummary::default());
    assert_eq!(ingress.answers.len(), 2);
}

/// Refused callers send again at once and ignore the retry delay. Each re-send would cost a call
/// through the whole chain. The rules allow none here, beyond the first ten.
#[test]
fn early_resends_are_limited_and_late_ones_are_not() {
    let mut ingress = IngressNode::new();
    let mut limited = 0;
    for _ in 0..30 {
        ingress.send("a", "/p/1");
        if !ingress.calls.is_empty() {
            ingress.reply(not_run(Reason::Shed), DownstreamSummary::default());
        }
        let last = ingress.outcomes().pop();
        limited += usize::from(
            matches!(last, Some(Outcome::NotRun(refusal)) if refusal.reason == Reason::ResendLimit),
        );
    }
    assert_eq!(limited, 19);
    ingress.advance(5_000);
    ingress.send("a", "/p/1");
    assert_eq!(ingress.calls.len(), 1);
}

/// The node beside a slow server hands a call over, because it knows of room that the ingress node
/// has not heard of. The call must neither fail nor spend a retry, even if the ingress node knows no
/// other instance in the end, or the report of the slowdown has expired when it arrives.
#[test]
fn call_that_a_slow_server_hands_over_goes_to_another_instance() {
    let mut ingress = IngressNode::new();
    let full = LoadReport {
        utilisation: 2000,
        limit: 10,
        slowdown_percent: 100,
        ..LoadReport::default()
    };
    let mut seen: Vec<Incarnation> = Vec::new();
    while seen.len() < 2 {
        ingress.send("a", "/check/1");
        if !seen.contains(&ingress.calls[0].0) {
            seen.push(ingress.calls[0].0);
        }
        ingress.reply_with_load(completed(), DownstreamSummary::default(), full);
    }
    ingress.send("a", "/check/2");
    let (first, sent) = ingress.calls[0].clone();
    assert_eq!(sent.redirects, 0);
    let mut expired = LoadReport {
        slowdown_percent: 250,
        ..full
    };
    expired.speed.age_ms = 900;
    let handed_over = refusal().for_attempt_only();
    let refused = Outcome::NotRun(handed_over);
    ingress.reply_with_load(refused.clone(), DownstreamSummary::default(), expired);
    let (second, again) = ingress.calls[0].clone();
    assert_ne!(second, first);
    assert_eq!(again.redirects, 1);
    assert_eq!(again.retry_allowance, sent.retry_allowance);
    ingress.reply_with_load(refused, DownstreamSummary::default(), expired);
    let (third, again) = ingress.calls[0].clone();
    assert_eq!(third, second);
    assert_eq!(again.redirects, 3, "it is not handed over again");
    assert_eq!(again.retry_allowance, sent.retry_allowance);
    ingress.reply(completed(), DownstreamSummary::default());
    assert_eq!(ingress.outcomes().last(), Some(&completed()));
}

/// Traffic between failure domains is billed. A faster server there must be used only if the near
/// ones, whose runs take 125 ms at present, would be late.
#[test]
fn call_leaves_its_failure_domain_only_for_lack_of_time() {
    let mut ingress = IngressNode::new();
    let far = Instance {
        failure_domain: "milano-2".into(),
        ..instance(4, "patterns")
    };
    let join = proto::encode(&Record::Join(far)).into();
    ingress.feed(Input::Records(vec![(4, join)]));
    for (n, slowdown_percent) in [(2, 250), (3, 250), (4, 100)] {
        let (from, number) = (Incarnation(n), 0);
        let mut load = LoadReport {
            limit: 10,
            slowdown_percent,
            ..LoadReport::default()
        };
        (load.speed.mean_percent, load.speed.run_time_us) = (100, 50_000);
        let answer = Answer {
            outcome: completed(),
            unspent_retries: 0,
            load,
            downstream: DownstreamSummary::default(),
        };
        let frame = Frame::Answer(CallId { from, number }, Box::new(answer));
        ingress.feed(Input::Frame { from, frame });
    }
    ingress.send("a", "/check/1");
    ingress.send_within("a", "/check/2", Some(Duration::from_millis(150)));
    let targets: Vec<Incarnation> = ingress.calls.iter().map(|(to, _)| *to).collect();
    assert_ne!(targets[0], Incarnation(4), "2 s are enough");
    assert_eq!(targets[1], Incarnation(4));
}

/// The queue of a slow server is full, and so are the others. Sent to each of them without spending
/// a retry, the calls would multiply under overload.
#[test]
fn queue_full_refusal_of_a_slow_server_is_no_hand_over() {
    let mut ingress = IngressNode::new();
    let slow = LoadReport {
        utilisation: 2000,
        limit: 10,
        slowdown_percent: 250,
        ..LoadReport::default()
    };
    let mut seen: Vec<Incarnation> = Vec::new();
    while seen.len() < 2 {
        ingress.send("a", "/check/1");
        if !seen.contains(&ingress.calls[0].0) {
            seen.push(ingress.calls[0].0);
        }
        ingress.reply_with_load(completed(), DownstreamSummary::default(), slow);
    }
    ingress.send("a", "/check/2");
    let allowance = ingress.calls[0].1.retry_allowance;
    ingress.reply_with_load(
        not_run(Reason::QueueFull),
        DownstreamSummary::default(),
        slow,
    );
    if let Some((_, again)) = ingress.calls.first() {
        assert_eq!(again.redirects, 0);
        assert!(again.retry_allowance < allowance, "a retry is spent");
    }
}

/// A call that is handed over when it is too late to send it again has not run, and its caller must
/// not be told that it may have.
#[test]
fn refusal_of_a_handed_over_call_holds_for_the_caller() {
    let mut ingress = IngressNode::new();
    ingress.send("a", "/check/1");
    ingress.reply(
        Outcome::NotRun(refusal().for_attempt_only()),
        DownstreamSummary::default(),
    );
    while !ingress.calls.is_empty() {
        ingress.reply(not_run(Reason::Shed), DownstreamSummary::default());
    }
    let outcomes = ingress.outcomes();
    let outcome = outcomes.last().expect("it has ended");
    assert_eq!(outcome.name(), "not-run");
}

/// Sends 200 requests for the path and counts the calls that go out.
fn count_sent_calls(ingress: &mut IngressNode, path: &str) -> usize {
    ingress.calls.clear();
    for n in 0..200 {
        ingress.send(&n.to_string(), path);
    }
    ingress.calls.len()
}

/// A service deep in the call tree is overloaded and sheds half of the lookups. If the entry node
/// does not learn of it, it admits them all, every service in between works in vain, and the
/// overload sustains itself.
#[test]
fn entry_node_sheds_what_a_downstream_service_would_shed() {
    let mut ingress = IngressNode::new();
    for n in 0..20 {
        ingress.advance(50);
        ingress.send(&n.to_string(), "/p/1");
        let downstream = DownstreamSummary {
            level: 0x4000,
            calls: 3,
        };
        if !ingress.calls.is_empty() {
            ingress.reply(completed(), downstream);
        }
    }
    let lookups = count_sent_calls(&mut ingress, "/p/2");
    assert!((70..130).contains(&lookups), "{lookups} of 200");
    assert_eq!(count_sent_calls(&mut ingress, "/check/2"), 200);
    ingress.advance(2_000);
    assert_eq!(
        count_sent_calls(&mut ingress, "/p/3"),
        200,
        "the level has expired"
    );
}

/// The answer to the first attempt is lost and the second attempt is refused. "Not run" would be
/// wrong for the two together, and the caller would do the work a second time by other means.
#[test]
fn a_refused_retry_of_a_lost_attempt_is_unknown() {
    let mut ingress = IngressNode::new();
    ingress.send("a", "/p/1");
    ingress.reply(
        Outcome::Unknown(Reason::ServerLost),
        DownstreamSummary::default(),
    );
    assert!(ingress.calls[0].1.possible_repeat);
    ingress.reply(not_run(Reason::Shed), DownstreamSummary::default());
    assert_eq!(ingress.outcomes(), [Outcome::Unknown(Reason::Shed)]);
}

/// A server refuses an order because of its rate limit, while the other one is idle. The caller
/// would be refused although there is room, or the order would spend a retry.
#[test]
fn call_that_was_refused_for_load_goes_where_there_is_room() {
    let mut ingress = IngressNode::new();
    ingress.send("a", "/check/1");
    let (refusing, allowance) = (ingress.calls[0].0, ingress.calls[0].1.retry_allowance);
    ingress.reply(not_run(Reason::QueueFull), DownstreamSummary::default());
    let (second, call) = &ingress.calls[0];
    assert_ne!(*second, refusing);
    assert_eq!(call.retry_allowance, allowance);
    assert!(!call.possible_repeat);
    ingress.reply(completed(), DownstreamSummary::default());
    assert_eq!(ingress.outcomes(), [completed()]);
}

/// All servers refuse. The caller was told to come back after a default delay, in which none of them
/// had room again.
#[test]
fn call_that_all_refuse_for_load_is_refused() {
    let mut ingress = IngressNode::new();
    ingress.send("a", "/check/1");
    let mut attempts = 0;
    while !ingress.calls.is_empty() {
        attempts += 1;
        ingress.reply(not_run(Reason::QueueFull), DownstreamSummary::default());
    }
    assert!(attempts <= 4, "{attempts}");
    assert_eq!(ingress.outcomes(), [not_run(Reason::QueueFull)]);
}

/// Every call fails while every action has retries left. Without a limit per node, the retries
/// would triple the load.
#[test]
fn retries_of_a_node_are_a_share_of_its_calls() {
    let attempts_of_200 = |path: &str| {
        let mut ingress = IngressNode::new();
        let mut attempts = 0;
        for n in 0..200 {
            ingress.send(&n.to_string(), path);
            while !ingress.calls.is_empty() {
                attempts += 1;
                ingress.reply(not_run(Reason::ServerRefused), DownstreamSummary::default());
            }
        }
        attempts
    };
    let protected = attempts_of_200("/check/1");
    assert!(
        (220..=240).contains(&protected),
        "{protected} for 200 calls"
    );
    // Lookups leave a share of the budget to protected classes, although there are no such calls
    // here.
    let lookups = attempts_of_200("/p/1");
    assert!((210..=240).contains(&lookups), "{lookups} for 200 calls");
}

/// The process of one of two instances stalls. Its connections stay open, and every second lookup
/// would go there until they are closed two seconds later.
#[test]
fn a_quiet_instance_gets_no_calls_until_it_answers() {
    let mut ingress = IngressNode::new();
    let quiet = Incarnation(2);
    let to_quiet = |ingress: &mut IngressNode| {
        for _ in 0..20 {
            let path = format!("/p/{}", ingress.last_token);
            ingress.send("shop", &path);
        }
        let calls = ingress.calls.drain(..);
        calls.filter(|(to, _)| *to == quiet).count()
    };
    assert!(to_quiet(&mut ingress) > 0);
    ingress.feed(Input::PeerQuiet(quiet));
    assert_eq!(to_quiet(&mut ingress), 0);
    ingress.feed(Input::PeerBack(quiet));
    assert!(to_quiet(&mut ingress) > 0);
}

/// An ingress node whose last lookup made twelve calls downstream.
fn ingress_with_call_trees() -> IngressNode {
    let mut ingress = IngressNode::with_config(Config {
        tree_retries: TreeRetries::ScaledByCalls(6),
        ..Config::default()
    });
    for (offset, n) in [(4, 4), (5, 5)] {
        let join = Record::Join(instance(n, "patterns"));
        let records = vec![(offset, proto::encode(&join).into())];
        ingress.feed(Input::Records(records));
    }
    ingress.send("a", "/p/1");
    let downstream = DownstreamSummary {
        calls: 12,
        ..DownstreamSummary::default()
    };
    ingress.reply(completed(), downstream);
    ingress
}

/// A server loses one answer in twenty, and a lookup makes eight reads there. With one retry for
/// the whole lookup, one lookup in seventeen fails, although nearly every read would succeed at the
/// second attempt.
#[test]
fn a_lookup_of_many_calls_has_more_retries() {
    let mut ingress = ingress_with_call_trees();
    ingress.send("b", "/p/2");
    let (_, call) = &ingress.calls[0];
    let declared = 2;
    assert_eq!(
        call.retry_allowance,
        declared + 2,
        "no retry is kept: a second run would need twelve"
    );
}

/// Retries that are delegated with a call are lost if its answer is lost. A read that makes no
/// calls can only be retried by its ingress node, which therefore keeps a retry.
#[test]
fn ingress_keeps_a_retry_for_a_single_read() {
    let mut ingress = IngressNode::new();
    ingress.send("a", "/p/1");
    let (_, call) = &ingress.calls[0];
    assert_eq!(call.retry_allowance, 1);
}

/// The operator allows two retries of a call. It must not get more because its action has some left
/// for other calls.
#[test]
fn a_call_is_not_retried_more_often_than_its_operation_allows() {
    let mut ingress = ingress_with_call_trees();
    ingress.send("b", "/p/2");
    for _ in 0..3 {
        assert_eq!(ingress.calls.len(), 1);
        ingress.reply(not_run(Reason::ServerRefused), DownstreamSummary::default());
    }
    assert_eq!(ingress.calls.len(), 0, "four instances, three attempts");
}

/// A server has run a read but its answer is lost. Without a second attempt nothing arrives before
/// the deadline of the read, and the lookup that needs it fails too.
#[test]
fn a_read_that_is_late_is_sent_to_another_instance() {
    let mut ingress = IngressNode::new();
    ingress.send("b", "/p/x");
    ingress.report_slow_run();
    assert_eq!(ingress.calls.len(), 2);
    assert_ne!(ingress.calls[0].0, ingress.calls[1].0);
    assert_ne!(ingress.calls[0].1.id, ingress.calls[1].1.id);
    ingress.calls.remove(0);
    ingress.reply(completed(), DownstreamSummary::default());
    assert_eq!(ingress.outcomes(), [completed()]);
}

/// The first instance was only slow, and answers before the second one does. Its answer is used
/// rather than thrown away.
#[test]
fn a_late_answer_that_comes_first_is_delivered() {
    let mut ingress = IngressNode::new();
    ingress.send("b", "/p/x");
    ingress.report_slow_run();
    assert_eq!(ingress.calls.len(), 2);
    ingress.reply(completed(), DownstreamSummary::default());
    assert_eq!(ingress.outcomes(), [completed()]);
    ingress.reply(completed(), DownstreamSummary::default());
    assert_eq!(ingress.outcomes(), []);
}

/// The second instance refuses. The first one may still answer, and does.
#[test]
fn a_refused_second_attempt_leaves_the_first_one_to_answer() {
    let mut ingress = IngressNode::new();
    ingress.send("b", "/p/x");
    ingress.report_slow_run();
    assert_eq!(ingress.calls.len(), 2);
    let first = ingress.calls.remove(0);
    ingress.reply(not_run(Reason::Shed), DownstreamSummary::default());
    assert_eq!(ingress.outcomes(), []);
    ingress.calls.push(first);
    ingress.reply(completed(), DownstreamSummary::default());
    assert_eq!(ingress.outcomes(), [completed()]);
}

/// The refusal of the second attempt arrives at the deadline. The first attempt runs, so "not run"
/// would be wrong.
#[test]
fn a_second_attempt_refused_at_the_deadline_leaves_the_outcome_unknown() {
    let mut ingress = IngressNode::new();
    ingress.send("b", "/p/x");
    ingress.report_slow_run();
    ingress.calls.remove(0);
    ingress.now = ingress.now + Duration::from_secs(2);
    ingress.reply(not_run(Reason::CallerGone), DownstreamSummary::default());
    assert_eq!(ingress.outcomes(), [Outcome::Unknown(Reason::CallerGone)]);
}

/// The first attempt runs and is lost, and the second one is refused after that. "Not run" would be
/// wrong for the two together.
#[test]
fn a_second_attempt_refused_after_the_first_was_lost_leaves_the_outcome_unknown() {
    let mut ingress = IngressNode::new();
    ingress.send("b", "/p/x");
    ingress.report_slow_run();
    let lost = Outcome::Unknown(Reason::ServerLost);
    ingress.reply(lost, DownstreamSummary::default());
    assert_eq!(ingress.outcomes(), []);
    ingress.reply(not_run(Reason::Shed), DownstreamSummary::default());
    assert_eq!(ingress.outcomes(), [Outcome::Unknown(Reason::Shed)]);
}

/// An order is late. It may be running or have run already, and sent to a second instance it could
/// be done twice.
#[test]
fn an_order_that_is_late_is_not_sent_again() {
    let mut ingress = IngressNode::new();
    ingress.send("b", "/o/x");
    ingress.report_slow_run();
    assert_eq!(ingress.calls.len(), 1);
}

/// A read is sent again half a second before its caller gives up. If the second instance were given
/// the whole time, it would work on after the caller has gone. If it were given hardly any, it
/// would give up work that could still be finished.
#[test]
fn a_second_attempt_is_offered_with_the_time_that_is_left() {
    let mut ingress = IngressNode::new();
    ingress.send("b", "/p/x");
    let full_time = 2000;
    let travel_time = 25;
    let first = ingress.calls[0].1.remaining_ms;
    assert!(
        (full_time - travel_time..=full_time).contains(&first),
        "{first}"
    );
    ingress.advance(1500);
    ingress.report_slow_run();
    let second = ingress.calls[1].1.remaining_ms;
    let left = full_time - 1500;
    assert!((left - travel_time..=left).contains(&second), "{second}");
}
