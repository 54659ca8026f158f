//! Callers: a bounded load at a set rate, open loop.

use awc::http::Method;
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The longest time that is told apart from longer ones: a minute.
const MAX_MICROS: u64 = 60_000_000;

/// One kind of request of the mix.
#[derive(Debug, Clone)]
pub struct RequestKind {
    /// The method.
    pub method: Method,
    /// The whole URL; `{n}` in it stands for the count of the request, so that no two are the same.
    pub url: String,
    /// Whether each request gets a key of its own.
    pub keyed: bool,
}

/// A load: `count` requests, one every `interval`, over the kinds in turn.
#[derive(Debug, Clone)]
pub struct LoadConfig {
    /// The mix.
    pub kinds: Vec<RequestKind>,
    /// The time between two requests.
    pub interval: Duration,
    /// How many requests there are in all.
    pub count: u32,
    /// How long a caller waits.
    pub caller_timeout: Duration,
}

/// What became of a load, one entry a kind.
pub struct LoadReport {
    /// Whole answers.
    pub completed: Vec<u32>,
    /// Answers that say not run.
    pub not_run: Vec<u32>,
    /// Everything else.
    pub other: Vec<u32>,
    /// Times of whole answers, in microseconds.
    pub latencies_us: Vec<Histogram<u64>>,
}

impl LoadReport {
    fn new(kinds: usize) -> Self {
        let histogram = || Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are allowed");
        Self {
            completed: vec![0; kinds],
            not_run: vec![0; kinds],
            other: vec![0; kinds],
            latencies_us: (0..kinds).map(|_| histogram()).collect(),
        }
    }
}

/// Runs a load to its end.
pub async fn run(load: LoadConfig) -> LoadReport {
    let client = awc::Client::builder()
        .disable_redirects()
        .timeout(load.caller_timeout)
        .finish();
    let report = Rc::new(RefCell::new(LoadReport::new(load.kinds.len())));
    let start = Instant::now();
    let mut tasks = Vec::new();
    for n in 0..load.count {
        tokio::time::sleep_until(start + load.interval * n).await;
        let index = n as usize % load.kinds.len();
        let mut kind = load.kinds[index].clone();
        kind.url = kind.url.replace("{n}", &n.to_string());
        let one = send(client.clone(), kind, index, report.clone());
        tasks.push(actix_rt::spawn(one));
    }
    for task in tasks {
        let _ = task.await;
    }
    report.replace(LoadReport::new(0))
}

async fn send(
    client: awc::Client,
    kind: RequestKind,
    index: usize,
    report: Rc<RefCell<LoadReport>>,
) {
    let mut req = client.request(kind.method, kind.url);
    if kind.keyed {
        req = req.insert_header(("idempotency-key", uuid::Uuid::new_v4().to_string()));
    }
    let sent = Instant::now();
    let response = req.send().await;
    let outcome = match response {
        Ok(mut response) => {
            let outcome = response.headers().get("bilberry-outcome").cloned();
            let ok = response.status() == awc::http::StatusCode::OK;
            match (response.body().await, outcome) {
                (Ok(_), None) if ok => Some("whole".to_owned()),
                (Ok(_), outcome) => outcome.and_then(|o| o.to_str().ok().map(str::to_owned)),
                (Err(_), _) => None,
            }
        }
        Err(_) => None,
    };
    let micros = sent.elapsed().as_micros() as u64;
    let mut report = report.borrow_mut();
    match outcome.as_deref() {
        Some("whole") => {
            report.completed[index] += 1;
            report.latencies_us[index].saturating_record(micros);
        }
        Some("not-run") => report.not_run[index] += 1,
        _ => report.other[index] += 1,
    }
}
