//! Links between nodes that go silent, are cut or carry invalid frames, over real sockets.

mod common;
mod relay;

use common::call;
use common::publish;
use common::status;
use common::wait_for_homes;
use common::wait_for_status;
use common::Instance;
use common::NodeProcess;
use common::LOOPBACK;
use proto::Frame;
use proto::Incarnation;
use proto::PROTOCOL_VERSION;
use relay::Relay;
use standin::Backend;
use standin::BackendConfig;
use standin::Store;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const RULES: &str = "\
operation catalogue GET /patterns/* class=lookup idempotent deadline=20s retries=1 # asked by Giulia
operation order POST /orders class=order deadline=20s # asked by Marco
operation order POST /search class=lookup idempotent deadline=20s # asked by Giulia
limit order concurrency=50..50 queue=10s # asked by Marco
";

/// Starts an entry instance and an instance of `order` that others reach through the relay.
async fn start_instances(store: &Store, takes: Duration) -> (Instance, Instance, Relay) {
    let entry = Instance::start("catalogue", "milano-1", store, &[]).await;
    let relay = Relay::start().await;
    let work = BackendConfig {
        service_time: takes,
        slots: 0,
        child_calls: Vec::new(),
    };
    let backend = Backend::start(LOOPBACK.into(), work).await.unwrap();
    let advertised = format!("advertised_addr = {}\n", relay.addr);
    let node = NodeProcess::start_with("order", "milano-2", backend.addr, store.addr, &advertised);
    relay.target.set(Some(node.peer));
    let order_instance = Instance { backend, node };
    publish(store, RULES).await;
    for instance in [&entry, &order_instance] {
        wait_for_status(instance.node.http, "rules_version", "1").await;
        wait_for_status(instance.node.http, "instances", "2").await;
    }
    wait_for_homes(&[entry.node.http, order_instance.node.http]).await;
    (entry, order_instance, relay)
}

type PendingCalls = Vec<actix_rt::task::JoinHandle<common::CallResponse>>;

/// Starts calls with bodies of `size` bytes to the entry node, all at once.
fn send_calls(
    entry: &Instance,
    path: &str,
    count: usize,
    size: usize,
    keyed: bool,
) -> PendingCalls {
    let http = entry.node.http;
    let path = format!("/order/{path}");
    let calls = (0..count).map(|n| {
        let (path, body) = (path.clone(), body(n, size));
        let key = match keyed {
            true => format!("key-{size}-{n}"),
            false => String::new(),
        };
        actix_rt::spawn(async move { call(http, "POST", &path, &key, &body).await })
    });
    calls.collect()
}

fn send_orders(entry: &Instance, count: usize, size: usize) -> PendingCalls {
    send_calls(entry, "orders", count, size, true)
}

/// Starts lookups with large bodies and responses, which need no keys. Orders of that size would
/// fill the table of records of keys.
fn send_searches(entry: &Instance, count: usize) -> PendingCalls {
    send_calls(entry, "search", count, LARGE_BODY, false)
}

const LARGE_BODY: usize = 1_000_000;

fn body(n: usize, size: usize) -> String {
    let pattern = format!("order {n} ");
    pattern.repeat(size / pattern.len())
}

/// Checks that every call gets its own complete response, and the total number of runs.
async fn check_responses(calls: PendingCalls, size: usize, order_instance: &Instance, runs: u32) {
    for (n, pending_call) in calls.into_iter().enumerate() {
        let (code, outcome, response) = pending_call.await.unwrap();
        assert_eq!((code, &*outcome), (200, "whole"), "call {n}");
        let response = response.rsplit_once('/').map(|(body, _)| body);
        assert!(
            response == Some(&body(n, size)),
            "call {n}: truncated or of another call"
        );
    }
    assert_eq!(order_instance.runs(), runs);
}

async fn wait_for_runs(order_instance: &Instance, runs: u32) {
    while order_instance.runs() < runs {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A middlebox between two nodes loses the state of their connection while orders run: no data is
/// transferred any more, and neither end is notified. The caller would wait until its deadline and
/// get an unknown outcome.
#[actix_rt::test]
async fn response_on_silent_connection_arrives_over_another() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let (entry, order_instance, relay) = start_instances(&store, Duration::from_millis(300)).await;
    let calls = send_orders(&entry, 4, 40);
    wait_for_runs(&order_instance, 4).await;
    relay.silence();
    check_responses(calls, 40, &order_instance, 4).await;
    assert_eq!(status(entry.node.http, "counter.link.silent").await, "1");
}

/// A middlebox loses the state of a connection while large requests are being written, so that it
/// accepts no more data. A node that waited for its write to finish would not notice that it
/// receives nothing.
#[actix_rt::test]
async fn blocked_write_does_not_prevent_detection_of_silent_link() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let (entry, order_instance, relay) = start_instances(&store, Duration::ZERO).await;
    check_responses(send_orders(&entry, 1, 40), 40, &order_instance, 1).await;
    relay.silence();
    check_responses(
        send_orders(&entry, 7, LARGE_BODY),
        LARGE_BODY,
        &order_instance,
        8,
    )
    .await;
    assert_eq!(status(entry.node.http, "counter.link.silent").await, "1");
}

/// More data is to be sent over a silent connection than its queue holds. Requests that do not fit
/// or were never written are reported as not run, and none of them may run.
#[actix_rt::test]
async fn calls_beyond_queue_of_silent_link_are_not_run() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let (entry, order_instance, relay) = start_instances(&store, Duration::ZERO).await;
    check_responses(send_orders(&entry, 1, 40), 40, &order_instance, 1).await;
    relay.silence();
    let mut completed = 1;
    for pending_call in send_searches(&entry, 40) {
        let (code, outcome, _) = pending_call.await.unwrap();
        assert!(
            matches!((code, &*outcome), (200, "whole") | (503, "not-run")),
            "{code} {outcome}"
        );
        completed += u32::from(code == 200);
    }
    assert!(completed < 41, "nothing was refused");
    assert_eq!(order_instance.runs(), completed);
}

/// A connection is closed in the middle of a large response. The truncated part must not be taken
/// for a response, and the order must not run again to get the rest.
#[actix_rt::test]
async fn truncated_response_is_sent_again_over_another_connection() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let (entry, order_instance, relay) = start_instances(&store, Duration::ZERO).await;
    relay.cut_after(300_000);
    check_responses(send_orders(&entry, 2, 500_000), 500_000, &order_instance, 2).await;
}

/// Both nodes have messages to send and dial each other at the same time. If each kept only the
/// connection that the other has dialled, both would be closed, over and over.
#[actix_rt::test]
async fn simultaneous_dials_result_in_one_link() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let (entry, order_instance, _relay) = start_instances(&store, Duration::from_millis(50)).await;
    let opposite_calls = (0..8).map(|n| {
        let http = order_instance.node.http;
        let path = format!("/catalogue/patterns/{n}");
        actix_rt::spawn(async move { call(http, "GET", &path, "", "").await })
    });
    let opposite_calls: PendingCalls = opposite_calls.collect();
    check_responses(send_orders(&entry, 8, 40), 40, &order_instance, 8).await;
    for pending_call in opposite_calls {
        assert_eq!(pending_call.await.unwrap().0, 200);
    }
    for node in [&entry.node, &order_instance.node] {
        assert_eq!(status(node.http, "counter.reattach").await, "");
        assert_eq!(status(node.http, "counter.link.dial-failed").await, "");
    }
}

/// A client sends a node malformed frames, a frame that is too large, or one of another protocol
/// version. Its connection is closed and counted; orders over other connections continue.
#[actix_rt::test]
async fn invalid_frames_close_only_their_connection() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let (entry, order_instance, _relay) = start_instances(&store, Duration::from_millis(300)).await;
    let calls = send_orders(&entry, 4, 40);
    wait_for_runs(&order_instance, 4).await;
    let hello = |version| {
        proto::encode(&Frame::Hello {
            version,
            from: Incarnation(1),
            to: None,
        })
    };
    let valid_hello = frame(&hello(PROTOCOL_VERSION));
    let invalid_inputs = [
        ("broken-frame", frame(&[0xFF; 40])),
        ("broken-frame", frame(&proto::encode(&Frame::Ping(1)))),
        ("frame-too-large", vec![0xFF; 4]),
        ("wrong-version", frame(&hello(PROTOCOL_VERSION + 1))),
        ("no-hello", valid_hello[..5].to_vec()),
    ];
    for (_, bytes) in &invalid_inputs {
        let mut stream = TcpStream::connect(order_instance.node.peer).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        if bytes.len() == 5 {
            stream.shutdown().await.unwrap();
        }
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        assert_eq!(rest, [0; 0]);
    }
    let http = order_instance.node.http;
    wait_for_status(http, "counter.link.broken-frame", "2").await;
    for name in ["frame-too-large", "wrong-version", "no-hello"] {
        wait_for_status(http, &format!("counter.link.{name}"), "1").await;
    }
    check_responses(calls, 40, &order_instance, 4).await;
    assert_eq!(status(entry.node.http, "counter.reattach").await, "");
}

fn frame(bytes: &[u8]) -> Vec<u8> {
    let mut frame = (bytes.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(bytes);
    frame
}
