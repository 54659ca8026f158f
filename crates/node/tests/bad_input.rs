//! Invalid input from callers: the node responds with a typed refusal, counts it and keeps running.

mod common;

use common::call;
use common::publish;
use common::status;
use common::wait_for_homes;
use common::wait_for_status;
use common::NodeProcess;
use common::LOOPBACK;
use standin::Backend;
use standin::BackendConfig;
use standin::Store;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const RULES: &str = "\
operation press POST /slots class=booking deadline=60s # asked by Marco
operation press POST /free class=lookup idempotent deadline=60s # asked by Marco
";

const LIMITS: &str = "max_body = 1000\nmax_bodies = 1500\nbody_timeout = 200ms";

async fn start() -> (NodeProcess, Backend) {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let backend = Backend::start(LOOPBACK.into(), BackendConfig::default())
        .await
        .unwrap();
    let node = NodeProcess::start_with("press", "milano-1", backend.addr, store.addr, LIMITS);
    publish(&store, RULES).await;
    wait_for_status(node.http, "rules_version", "1").await;
    wait_for_status(node.http, "listed", "true").await;
    wait_for_homes(&[node.http]).await;
    (node, backend)
}

/// Sends raw bytes; returns the status code and the outcome and reason headers of the response.
async fn send_raw(node: SocketAddr, bytes: &[u8]) -> (String, String, String) {
    let mut stream = TcpStream::connect(node).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    read_response(&mut stream).await
}

async fn read_response(stream: &mut TcpStream) -> (String, String, String) {
    let mut response = Vec::new();
    while !response.windows(4).any(|end| end == b"\r\n\r\n") {
        if stream.read_buf(&mut response).await.unwrap_or(0) == 0 {
            break;
        }
    }
    let head = String::from_utf8_lossy(&response).into_owned();
    let header = |name: &str| {
        let value = head.lines().find_map(|line| line.strip_prefix(name));
        value.unwrap_or("").trim().to_owned()
    };
    let status = head.split(' ').nth(1).unwrap_or("").to_owned();
    (
        status,
        header("bilberry-outcome:"),
        header("bilberry-reason:"),
    )
}

/// Checks the response to a raw request, and that its reason was counted once more.
async fn check(node: SocketAddr, raw: &[u8], status_code: &str, reason: &str) {
    let name = format!("counter.not_run.{reason} ");
    let before: u64 = status(node, &name).await.parse().unwrap_or(0);
    let response = send_raw(node, raw).await;
    let expected = (status_code.into(), "not-run".into(), reason.into());
    assert_eq!(response, expected, "{}", String::from_utf8_lossy(raw));
    assert_eq!(status(node, &name).await, (before + 1).to_string());
}

fn post(path: &str, extra_headers: &str, body: &str) -> Vec<u8> {
    let len = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: x\r\n{extra_headers}content-length: {len}\r\n\r\n{body}")
        .into()
}

#[actix_rt::test]
async fn invalid_requests_are_refused_and_counted() {
    let (node, backend) = start().await;
    let http = node.http;
    let slots = "/press/slots";
    check(
        http,
        &post("/nobody/slots", "", "x"),
        "404",
        "no-such-operation",
    )
    .await;
    check(
        http,
        &post("/press/other", "", "x"),
        "404",
        "no-such-operation",
    )
    .await;
    check(http, &post("/press", "", "x"), "404", "no-such-operation").await;
    check(
        http,
        &post(slots, "idempotency-key:\r\n", "x"),
        "400",
        "bad-key",
    )
    .await;
    let long = format!("idempotency-key: {}\r\n", "k".repeat(256));
    check(http, &post(slots, &long, "x"), "400", "bad-key").await;
    let twice = "idempotency-key: a\r\nidempotency-key: b\r\n";
    check(http, &post(slots, twice, "x"), "400", "bad-key").await;
    check(
        http,
        &post(slots, "bilberry-context: ?\r\n", "x"),
        "400",
        "bad-request",
    )
    .await;
    check(
        http,
        &post(slots, "bilberry-deadline-ms: soon\r\n", "x"),
        "400",
        "bad-request",
    )
    .await;
    check(
        http,
        &post(slots, "", &"x".repeat(1001)),
        "413",
        "too-large",
    )
    .await;
    assert_eq!(backend.runs.borrow().len(), 0);

    let completed = call(http, "POST", slots, "k", "ink").await;
    assert_eq!(completed, (200, "whole".into(), "ink/slots".into()));
}

/// A run has ended, but a task that it left behind in the backend server still makes child calls.
/// They have no deadline and no retry allowance any more, so nothing would ever stop them.
#[actix_rt::test]
async fn child_call_of_ended_run_is_refused() {
    let (node, backend) = start().await;
    let stale = "bilberry-context: 1-1\r\n";
    check(
        node.http,
        &post("/press/slots", stale, "x"),
        "503",
        "parent-gone",
    )
    .await;
    assert_eq!(backend.runs.borrow().len(), 0);
}

/// The port receives bytes that are not HTTP. The HTTP library responds by itself, without an
/// outcome header; the node counts it and keeps running.
#[actix_rt::test]
async fn malformed_http_is_counted() {
    let (node, _backend) = start().await;
    let (code, ..) = send_raw(node.http, b"\x16\x03\x01 hello\r\n\r\n").await;
    assert_eq!(code, "400");
    wait_for_status(node.http, "counter.not_run.bad-request ", "1").await;
    let head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(200_000));
    let (code, ..) = send_raw(node.http, head.as_bytes()).await;
    assert_eq!(code, "431");
    wait_for_status(node.http, "counter.not_run.too-large ", "1").await;
}

/// A caller declares a body and then stalls. Without a time limit, its buffer in the node would be
/// held indefinitely.
#[actix_rt::test]
async fn stalled_body_times_out() {
    let (node, _backend) = start().await;
    let stalled = b"POST /press/slots HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc";
    check(node.http, stalled, "503", "deadline").await;
}

/// Many callers send bodies at once. Each is within the limit, but together they would take more
/// memory than the instance has, and the kernel would kill the process.
#[actix_rt::test]
async fn total_size_of_bodies_in_flight_is_limited() {
    let (node, backend) = start().await;
    backend.config.borrow_mut().service_time = Duration::from_secs(60);
    let body = "x".repeat(900);
    let mut first = TcpStream::connect(node.http).await.unwrap();
    first
        .write_all(&post("/press/free", "", &body))
        .await
        .unwrap();
    while backend.runs.borrow().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    check(
        node.http,
        &post("/press/free", "", &body),
        "503",
        "table-full",
    )
    .await;

    // When the first caller disconnects, its run is cancelled and its memory is released.
    drop(first);
    wait_for_status(node.http, "runs", "0").await;
    backend.config.borrow_mut().service_time = Duration::ZERO;
    assert_eq!(
        call(node.http, "POST", "/press/free", "", &body).await.0,
        200
    );
}

/// A backend server sends a response that exceeds the size limit. The booking must not be reported
/// with an unknown outcome, and the run must not count as lost, which would quarantine the request.
#[actix_rt::test]
async fn oversized_response_completes_run() {
    let (node, _backend) = start().await;
    // The response consists of the request's body and path: one byte over the limit.
    let body = "x".repeat(995);
    for _ in 0..3 {
        let (code, outcome, _) = call(node.http, "POST", "/press/slots", "large", &body).await;
        assert_eq!((code, &*outcome), (502, "whole"));
    }
    assert_eq!(status(node.http, "counter.run_lost").await, "");
}
