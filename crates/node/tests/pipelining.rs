//! Callers that send further requests on a connection before the first is answered.

mod common;

use common::publish;
use common::until_status;
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

/// Requests that a node reads ahead of their answers on one connection.
const READ_AHEAD: usize = 16;

async fn start(takes: Duration) -> (NodeProcess, Backend) {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let work = BackendConfig {
        service_time: takes,
        ..BackendConfig::default()
    };
    let backend = Backend::start(LOOPBACK.into(), work).await.unwrap();
    let bounds = "max_body = 1000\nbody_timeout = 10s";
    let node = NodeProcess::start_with("press", "milano-1", backend.addr, store.addr, bounds);
    publish(&store, RULES).await;
    until_status(node.http, "rules_version", "1").await;
    (node, backend)
}

fn get(day: usize, more: &str) -> String {
    format!("GET /press/days/{day} HTTP/1.1\r\nhost: x\r\n{more}\r\n")
}

fn gets(days: std::ops::RangeInclusive<usize>) -> String {
    days.map(|day| get(day, "")).collect()
}

async fn until_runs(backend: &Backend, runs: usize) {
    while backend.runs.borrow().len() < runs {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn takes(backend: &Backend, takes: Duration) {
    backend.config.borrow_mut().service_time = takes;
}

/// One answer's head and body; an empty head at the connection's end.
async fn read_answer(stream: &mut TcpStream) -> (String, String) {
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
        bodies.push(read_answer(stream).await.1);
    }
    bodies
}

fn days(days: std::ops::RangeInclusive<usize>) -> Vec<String> {
    days.map(|day| format!("/days/{day}")).collect()
}

/// A stall's till asks for the stock of nine articles at once, and the first is slow. Worked on one
/// after another, the last answer comes after the sum of all their times, and most are too late.
#[actix_rt::test]
async fn pipelined_requests_run_side_by_side_and_are_answered_in_order() {
    let (node, backend) = start(Duration::from_secs(2)).await;
    let mut stream = TcpStream::connect(node.http).await.unwrap();
    stream.write_all(gets(1..=1).as_bytes()).await.unwrap();
    until_runs(&backend, 1).await;
    takes(&backend, Duration::ZERO);
    stream.write_all(gets(2..=9).as_bytes()).await.unwrap();
    let all = tokio::time::timeout(Duration::from_secs(30), until_runs(&backend, 9));
    let first = tokio::select! {
        biased;
        answer = read_answer(&mut stream) => Some(answer),
        all = all => { all.unwrap(); None }
    };
    assert_eq!(
        first, None,
        "the others ran only after the first was answered"
    );
    assert_eq!(read_bodies(&mut stream, 9).await, days(1..=9));
}

/// The till is closed while its requests run. Nobody waits for any of them, and each goes on taking
/// up a place at its server that others need.
#[actix_rt::test]
async fn a_caller_that_leaves_cancels_all_its_requests() {
    let (node, backend) = start(Duration::from_secs(60)).await;
    let mut stream = TcpStream::connect(node.http).await.unwrap();
    stream.write_all(gets(1..=5).as_bytes()).await.unwrap();
    until_runs(&backend, 5).await;
    drop(stream);
    until_status(node.http, "runs", "0").await;
}

/// A caller asks to close the connection with its second request, and has sent a third behind it. It
/// takes the third for unread and sends it again elsewhere; run here too, it would run twice.
#[actix_rt::test]
async fn what_is_behind_the_last_request_is_not_run() {
    let (node, backend) = start(Duration::ZERO).await;
    let mut stream = TcpStream::connect(node.http).await.unwrap();
    let requests = [get(1, ""), get(2, "connection: close\r\n"), get(3, "")].concat();
    stream.write_all(requests.as_bytes()).await.unwrap();
    assert_eq!(read_answer(&mut stream).await.1, "/days/1");
    let (head, body) = read_answer(&mut stream).await;
    assert_eq!(body, "/days/2");
    assert!(head.contains("connection: close"), "{head}");
    assert_eq!(read_answer(&mut stream).await.0, "");
    assert_eq!(backend.runs.borrow().len(), 2);
}

/// A node stops while requests of one connection run. Told to close with the first answer, the
/// caller would send the others again, which run here already.
#[actix_rt::test]
async fn a_stopping_node_closes_with_the_last_answer_of_a_connection() {
    let (node, backend) = start(Duration::from_secs(1)).await;
    let mut stream = TcpStream::connect(node.http).await.unwrap();
    stream.write_all(gets(1..=3).as_bytes()).await.unwrap();
    until_runs(&backend, 3).await;
    node.signal("-TERM");
    let mut heads = Vec::new();
    for day in 1..=3 {
        let (head, body) = read_answer(&mut stream).await;
        assert_eq!(body, format!("/days/{day}"));
        heads.push(head.contains("connection: close"));
    }
    assert_eq!(heads, [false, false, true]);
    assert_eq!(read_answer(&mut stream).await.0, "");
}

/// A caller sends requests without end and reads no answer. What is read ahead is held in memory, so
/// a few such callers would take all that the instance has.
#[actix_rt::test]
async fn requests_read_ahead_are_bounded() {
    let (node, backend) = start(Duration::from_secs(1)).await;
    let mut stream = TcpStream::connect(node.http).await.unwrap();
    // No more than fit: a run is known to take a second by the time that the rest is read, and what
    // is too much for the server is shed.
    stream.write_all(gets(1..=20).as_bytes()).await.unwrap();
    until_runs(&backend, READ_AHEAD).await;
    // All that was read was passed on in the same moment, long before the first answer.
    assert_eq!(backend.runs.borrow().len(), READ_AHEAD);
    takes(&backend, Duration::ZERO);
    assert_eq!(read_bodies(&mut stream, 20).await, days(1..=20));
}

/// A proxy in front of a node sends bytes that are no request behind one that is. The first still
/// gets its answer, and no byte behind the broken ones is taken for a request.
#[actix_rt::test]
async fn a_broken_request_ends_the_connection_after_the_answers_before_it() {
    let (node, backend) = start(Duration::ZERO).await;
    let mut stream = TcpStream::connect(node.http).await.unwrap();
    let bytes = [get(1, ""), "\x16\x03\x01 hello\r\n\r\n".into(), get(2, "")].concat();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    assert_eq!(read_answer(&mut stream).await.1, "/days/1");
    let (head, _) = read_answer(&mut stream).await;
    assert!(head.starts_with("http/1.1 400"), "{head}");
    assert_eq!(read_answer(&mut stream).await.0, "");
    assert_eq!(backend.runs.borrow().len(), 1);
}

/// A body that is too large is refused before it was read whole. Its rest is not the next request,
/// and the connection is still good for one.
#[actix_rt::test]
async fn the_rest_of_a_refused_body_is_skipped() {
    let (node, _backend) = start(Duration::ZERO).await;
    let mut stream = TcpStream::connect(node.http).await.unwrap();
    let head = "POST /press/days/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 200000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&[b'x'; 200_000]).await.unwrap();
    stream.write_all(get(2, "").as_bytes()).await.unwrap();
    let (head, _) = read_answer(&mut stream).await;
    assert!(head.starts_with("http/1.1 413"), "{head}");
    assert_eq!(read_answer(&mut stream).await.1, "/days/2");
}

/// A caller waits for leave to send its body. Without an interim answer it would wait for seconds.
#[actix_rt::test]
async fn a_caller_that_asks_may_send_its_body() {
    let (node, _backend) = start(Duration::ZERO).await;
    let mut stream = TcpStream::connect(node.http).await.unwrap();
    let head = "POST /press/days/1 HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n\
                transfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let (interim, _) = read_answer(&mut stream).await;
    assert!(interim.starts_with("http/1.1 100"), "{interim}");
    stream.write_all(b"3\r\nink\r\n0\r\n\r\n").await.unwrap();
    assert_eq!(read_answer(&mut stream).await.1, "ink/days/1");
}
