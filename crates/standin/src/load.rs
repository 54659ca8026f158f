//! An open-loop load generator that sends a set number of requests at a set rate.

use awc::http::Method;
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The longest latency that the histograms can represent, a minute. Longer ones are recorded as
/// this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// One kind of request in the load.
#[derive(Debug, Clone)]
pub struct RequestKind {
    /// The HTTP method.
    pub method: Method,
    /// The full URL. `{n}` is replaced by the number of the request, which makes each URL unique.
    pub url: String,
    /// Whether each request gets its own idempotency key.
    pub keyed: bool,
}

/// A load of `count` requests, one every `interval`, cycling through the kinds.
#[derive(Debug, Clone)]
pub struct LoadConfig {
    /// The kinds of request, each sent equally often.
    pub kinds: Vec<RequestKind>,
    /// The time between the starts of two requests.
    pub interval: Duration,
    /// The total number of requests.
    pub count: u32,
    /// How long a caller waits for the response.
    pub caller_timeout: Duration,
}

/// The outcomes of a load, with one entry for each kind.
pub struct LoadReport {
    /// Complete responses.
    pub completed: Vec<u32>,
    /// Responses which say that the request was not run.
    pub not_run: Vec<u32>,
    /// All other outcomes, including timeouts.
    pub other: Vec<u32>,
    /// Latencies of complete responses, in microseconds.
    pub latencies_us: Vec<Histogram<u64>>,
}

impl LoadReport {
    fn new(kinds: usize) -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are allowed");
        Self {
            completed: vec![0; kinds],
            not_run: vec![0; kinds],
            other: vec![0; kinds],
            latencies_us: (0..kinds).map(|_| histogram()).collect(),
        }
    }
}

/// Sends all requests of a load and waits for their outcomes.
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
        let task = send(client.clone(), kind, index, report.clone());
        tasks.push(actix_rt::spawn(task));
    }
    for task in tasks {
        let _ = task.await;
    }
    report.replace(LoadReport::new(0))
}

/// Sends one request and adds its outcome to the report.
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
    let sent_at = Instant::now();
    let response = req.send().await;
    let outcome = match response {
        Ok(mut response) => {
            let header = response.headers().get("bilberry-outcome").cloned();
            let ok = response.status() == awc::http::StatusCode::OK;
            match (response.body().await, header) {
                (Ok(_), None) if ok => Some("whole".to_owned()),
                (Ok(_), header) => header.and_then(|value| value.to_str().ok().map(str::to_owned)),
                (Err(_), _) => None,
            }
        }
        Err(_) => None,
    };
    let latency_us = sent_at.elapsed().as_micros() as u64;
    let mut report = report.borrow_mut();
    match outcome.as_deref() {
        Some("whole") => {
            report.completed[index] += 1;
            report.latencies_us[index].saturating_record(latency_us);
        }
        Some("not-run") => report.not_run[index] += 1,
        _ => report.other[index] += 1,
    }
}
