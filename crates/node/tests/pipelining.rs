//! HTTP pipelining: callers that send further requests before the response to the first.

mod common;

use common::publish;
use common::wait_for_status;
use common::NodeProcess;
use common::LOOPBACK;
use standin::Backend;
use standin::BackendConfig;
use standin::Store;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const RULES: &str =
    "operation press * /days/* class=lookup idempotent deadline=60s # asked by Anna\n";

/// Maximum number of pipelined requests that a node reads from one connection.
const MAX_PIPELINED: usize = 16;

async fn start(takes: Duration) -> (NodeProcess, Backend) {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let work = BackendConfig {
        service_time: takes,
        ..BackendConfig::default()
    };
    let backend = Backend::start(LOOPBACK.into(), work).await.unwrap();
    let limits = "max_body = 1000\nbody_timeout = 10s";
    let node = NodeProcess::start_with("press", "milano-1", backend.addr, store.addr, limits);
    publish(&store, RULES).await;
    wait_for_status(node.http, "rules_version", "1").await;
    (node, backend)
}

fn get_request(day: usize, extra_headers: &str) -> String {
    format!("GET /press/days/{day} HTTP/1.1\r\nhost: x\r\n{extra_headers}\r\n")
}

fn get_requests(days: std::ops::RangeInclusive<usize>) -> String {
    days.map(|day| get_request(day, "")).collect()
}

async fn wait_for_runs(backend: &Backend, runs: usize) {
    while backend.runs.borrow().len() < runs {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn set_run_time(backend: &Backend, run_time: Duration) {
    backend.config.borrow_mut().service_time = run_time;
}

/// Reads one response; returns its head and body, or an empty head if the connection is closed.
async fn read_response(stream: &mut TcpStream) -> (String, String) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return Default::default(),
        }
    }
    let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    stream.read_exact(&mut body).await.unwrap();
    (head, String::from_utf8(body).unwrap())
}

async fn read_bodies(stream: &mut TcpStream, count: usize) -> Vec<String> {
    let mut bodies = Vec::new();
    for _ in 0..count {
        bodies.push(read_response(stream).await.1);
    }
    bodies
}

fn expected_bodies(days: std::ops::RangeInclusive<usize>) -> Vec<String> {
    days.map(|day| format!("/days/{day}")).collect()
}

/// A client pipelines nine requests, the first of which is slow. If they ran one after another, the
/// last response would take the sum of all run times, and most would be too late.
#[actix_rt::test]
async fn pipelined_requests_run_concurrently_and_get_responses_in_order() {
    let (node, backend) = start(Duration::from_secs(2)).await;
    let mut stream = TcpStream::connect(node.http).await.unwrap();
    stream
        .write_all(get_requests(1..=1).as_bytes())
        .await
        .unwrap();
    wait_for_runs(&backend, 1).await;
    set_run_time(&backend, Duration::ZERO);
    stream
        .write_all(get_requests(2..=9).as_bytes())
        .await
        .unwrap();
    let all = tokio::time::timeout(Duration::from_secs(30), wait_for_runs(&backend, 9));
    let first = tokio::select! {
        biased;
        response = read_response(&mut stream) => Some(response),
        all = all => { all.unwrap(); None }
    };
    assert_eq!(
        first, None,
        "the others ran only after the response to the first"
    );
    assert_eq!(read_bodies(&mut stream, 9).await, expected_bodies(1..=9));
}

/// A caller disconnects while its requests run. Nothing waits for their responses, and each would
/// continue to occupy a slot of its server that others need.
#[actix_rt::test]
async fn disconnected_caller_cancels_all_its_requests() {
    let (node, backend) = start(Duration::from_secs(60)).await;
    let mut stream = TcpStream::connect(node.http).await.unwrap();
    stream
        .write_all(get_requests(1..=5).as_bytes())
        .await
        .unwrap();
    wait_for_runs(&backend, 5).await;
    drop(stream);
    wait_for_status(node.http, "runs", "0").await;
}

/// A caller sends `connection: close` with its second request and a third request after it. It
/// assumes that the third was not read and sends it again elsewhere, so if it ran here, it would
/// run twice.
#[actix_rt::test]
async fn request_after_connection_close_is_not_run() {
    let (node, backend) = start(Duration::ZERO).await;
    let mut stream = TcpStream::connect(node.http).await.unwrap();
    let requests = [
        get_request(1, ""),
        get_request(2, "connection: close\r\n"),
        get_request(3, ""),
    ]
    .concat();
    stream.write_all(requests.as_bytes()).await.unwrap();
    assert_eq!(read_response(&mut stream).await.1, "/days/1");
    let (head, body) = read_response(&mut stream).await;
    assert_eq!(body, "/days/2");
    assert!(head.contains("connection: close"), "{head}");
    assert_eq!(read_response(&mut stream).await.0, "");
    assert_eq!(backend.runs.borrow().len(), 2);
}

/// A node stops while requests of one connection run. If it sent `connection: close` with the first
/// response, the caller would send the others again although they are already running.
#[actix_rt::test]
async fn stopping_node_closes_connection_with_last_response() {
    let (node, backend) = start(Duration::from_secs(1)).await;
    let mut stream = TcpStream::connect(node.http).await.unwrap();
    stream
        .write_all(get_requests(1..=3).as_bytes())
        .await
        .unwrap();
    wait_for_runs(&backend, 3).await;
    node.signal("-TERM");
    let mut has_close = Vec::new();
    for day in 1..=3 {
        let (head, body) = read_response(&mut stream).await;
        assert_eq!(body, format!("/days/{day}"));
        has_close.push(head.contains("connection: close"));
    }
    assert_eq!(has_close, [false, false, true]);
    assert_eq!(read_response(&mut stream).await.0, "");
}

/// A caller sends requests continuously and reads no response. Requests that were read are held in
/// memory, so without a limit, a few such callers would use up the memory of the instance.
#[actix_rt::test]
async fn number_of_pipelined_requests_is_limited() {
    let (node, backend) = start(Duration::from_secs(1)).await;
    let mut stream = TcpStream::connect(node.http).await.unwrap();
    // Few enough not to be shed: when the rest is read, the node already knows that a run takes a
    // second, and sheds what exceeds the capacity of the server.
    stream
        .write_all(get_requests(1..=20).as_bytes())
        .await
        .unwrap();
    wait_for_runs(&backend, MAX_PIPELINED).await;
    // All requests that were read were forwarded at once, long before the first response.
    assert_eq!(backend.runs.borrow().len(), MAX_PIPELINED);
    set_run_time(&backend, Duration::ZERO);
    assert_eq!(read_bodies(&mut stream, 20).await, expected_bodies(1..=20));
}

/// A proxy in front of a node sends a valid request followed by malformed bytes. The valid request
/// still gets its response, and nothing after the malformed bytes is parsed as a request.
#[actix_rt::test]
async fn malformed_request_closes_connection_after_earlier_responses() {
    let (node, backend) = start(Duration::ZERO).await;
    let mut stream = TcpStream::connect(node.http).await.unwrap();
    let bytes = [
        get_request(1, ""),
        "\x16\x03\x01 hello\r\n\r\n".into(),
        get_request(2, ""),
    ]
    .concat();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    assert_eq!(read_response(&mut stream).await.1, "/days/1");
    let (head, _) = read_response(&mut stream).await;
    assert!(head.starts_with("http/1.1 400"), "{head}");
    assert_eq!(read_response(&mut stream).await.0, "");
    assert_eq!(backend.runs.borrow().len(), 1);
}

/// A body that exceeds the limit is refused before it was read completely. The rest of it must not
/// be parsed as the next request, and the connection remains usable.
#[actix_rt::test]
async fn rest_of_refused_body_is_skipped() {
    let (node, _backend) = start(Duration::ZERO).await;
    let mut stream = TcpStream::connect(node.http).await.unwrap();
    let head = "POST /press/days/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 200000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&[b'x'; 200_000]).await.unwrap();
    stream
        .write_all(get_request(2, "").as_bytes())
        .await
        .unwrap();
    let (head, _) = read_response(&mut stream).await;
    assert!(head.starts_with("http/1.1 413"), "{head}");
    assert_eq!(read_response(&mut stream).await.1, "/days/2");
}

/// A caller sends `expect: 100-continue` and waits before sending its body. Without the interim
/// response it would wait for seconds.
#[actix_rt::test]
async fn expect_continue_gets_interim_response() {
    let (node, _backend) = start(Duration::ZERO).await;
    let mut stream = TcpStream::connect(node.http).await.unwrap();
    let head = "POST /press/days/1 HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n\
                transfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let (interim, _) = read_response(&mut stream).await;
    assert!(interim.starts_with("http/1.1 100"), "{interim}");
    stream.write_all(b"3\r\nink\r\n0\r\n\r\n").await.unwrap();
    assert_eq!(read_response(&mut stream).await.1, "ink/days/1");
}
