//! Connections between nodes that go silent, break or carry nonsense, over real sockets.

mod common;
mod relay;

use common::call;
use common::publish;
use common::status;
use common::until_homes_are_ready;
use common::until_status;
use common::NodeProcess;
use common::Server;
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

/// An entry node, and an instance of `order` that others reach through the relay.
async fn start_all(store: &Store, takes: Duration) -> (Server, Server, Relay) {
    let entry = Server::start("catalogue", "milano-1", store, &[]).await;
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
    let order = Server { backend, node };
    publish(store, RULES).await;
    for server in [&entry, &order] {
        until_status(server.node.http, "rules_version", "1").await;
        until_status(server.node.http, "instances", "2").await;
    }
    until_homes_are_ready(&[entry.node.http, order.node.http]).await;
    (entry, order, relay)
}

type Calls = Vec<actix_rt::task::JoinHandle<common::Answer>>;

/// Sends calls with bodies of `size` bytes to the entry, all at once.
fn send(entry: &Server, path: &str, count: usize, size: usize, keyed: bool) -> Calls {
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

fn order(entry: &Server, count: usize, size: usize) -> Calls {
    send(entry, "orders", count, size, true)
}

/// Lookups with large bodies and answers, which need no keys. Orders of that size would fill the table of records.
fn search(entry: &Server, count: usize) -> Calls {
    send(entry, "search", count, LARGE, false)
}

const LARGE: usize = 1_000_000;

fn body(n: usize, size: usize) -> String {
    let mark = format!("order {n} ");
    mark.repeat(size / mark.len())
}

/// Checks that every call gets its own whole answer, and how many runs there were in all.
async fn check(calls: Calls, size: usize, order: &Server, runs: u32) {
    for (n, one) in calls.into_iter().enumerate() {
        let (code, outcome, answer) = one.await.unwrap();
        assert_eq!((code, &*outcome), (200, "whole"), "call {n}");
        let answer = answer.rsplit_once('/').map(|(body, _)| body);
        assert!(answer == Some(&body(n, size)), "call {n}: another's or cut");
    }
    assert_eq!(order.runs(), runs);
}

async fn until_runs(order: &Server, runs: u32) {
    while order.runs() < runs {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Something between two nodes loses track of their connection while orders run: nothing comes
/// through any more, and no end is told. The shop would wait until its deadline, and be told that
/// nobody knows what became of the order.
#[actix_rt::test]
async fn an_answer_on_a_silent_connection_arrives_over_another() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let (entry, servers, relay) = start_all(&store, Duration::from_millis(300)).await;
    let calls = order(&entry, 4, 40);
    until_runs(&servers, 4).await;
    relay.silence();
    check(calls, 40, &servers, 4).await;
    assert_eq!(status(entry.node.http, "counter.link.silent").await, "1");
}

/// The same while large requests are being written: the connection takes no more bytes. An end that
/// waited for its write to finish would not notice that it hears nothing.
#[actix_rt::test]
async fn a_write_that_blocks_for_ever_does_not_hold_up_the_link() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let (entry, servers, relay) = start_all(&store, Duration::ZERO).await;
    check(order(&entry, 1, 40), 40, &servers, 1).await;
    relay.silence();
    check(order(&entry, 7, LARGE), LARGE, &servers, 8).await;
    assert_eq!(status(entry.node.http, "counter.link.silent").await, "1");
}

/// More is to be sent over such a connection than may wait for it. What does not fit, or was never
/// written, is reported as not run; none of it may run all the same.
#[actix_rt::test]
async fn what_does_not_fit_is_not_run() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let (entry, servers, relay) = start_all(&store, Duration::ZERO).await;
    check(order(&entry, 1, 40), 40, &servers, 1).await;
    relay.silence();
    let mut whole = 1;
    for one in search(&entry, 40) {
        let (code, outcome, _) = one.await.unwrap();
        assert!(
            matches!((code, &*outcome), (200, "whole") | (503, "not-run")),
            "{code} {outcome}"
        );
        whole += u32::from(code == 200);
    }
    assert!(whole < 41, "nothing was refused");
    assert_eq!(servers.runs(), whole);
}

/// A connection breaks in the middle of a large answer. The part that came must not pass for an
/// answer, and the order must not be done again to get the rest.
#[actix_rt::test]
async fn an_answer_that_was_cut_arrives_whole_over_another_connection() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let (entry, servers, relay) = start_all(&store, Duration::ZERO).await;
    relay.cut_after(300_000);
    check(order(&entry, 2, 500_000), 500_000, &servers, 2).await;
}

/// Both nodes have something to say at the same time and dial each other. If each took the other's
/// connection for the only one, both would be closed, again and again.
#[actix_rt::test]
async fn links_dialled_from_both_ends_are_settled() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let (entry, servers, _relay) = start_all(&store, Duration::from_millis(50)).await;
    let back = (0..8).map(|n| {
        let http = servers.node.http;
        let path = format!("/catalogue/patterns/{n}");
        actix_rt::spawn(async move { call(http, "GET", &path, "", "").await })
    });
    let back: Calls = back.collect();
    check(order(&entry, 8, 40), 40, &servers, 8).await;
    for one in back {
        assert_eq!(one.await.unwrap().0, 200);
    }
    for node in [&entry.node, &servers.node] {
        assert_eq!(status(node.http, "counter.reattach").await, "");
        assert_eq!(status(node.http, "counter.link.dial-failed").await, "");
    }
}

/// Somebody sends a node what is no frame, one that is too large, or one of another version. Its
/// connection is closed and counted; orders over other connections go on.
#[actix_rt::test]
async fn nonsense_closes_its_own_connection_and_no_other() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let (entry, servers, _relay) = start_all(&store, Duration::from_millis(300)).await;
    let calls = order(&entry, 4, 40);
    until_runs(&servers, 4).await;
    let hello = |version| {
        proto::encode(&Frame::Hello {
            version,
            from: Incarnation(1),
            to: None,
        })
    };
    let good = frame(&hello(PROTOCOL_VERSION));
    let nonsense = [
        ("broken-frame", frame(&[0xFF; 40])),
        ("broken-frame", frame(&proto::encode(&Frame::Ping(1)))),
        ("frame-too-large", vec![0xFF; 4]),
        ("wrong-version", frame(&hello(PROTOCOL_VERSION + 1))),
        ("no-hello", good[..5].to_vec()),
    ];
    for (_, bytes) in &nonsense {
        let mut stream = TcpStream::connect(servers.node.peer).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        if bytes.len() == 5 {
            stream.shutdown().await.unwrap();
        }
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        assert_eq!(rest, [0; 0]);
    }
    let http = servers.node.http;
    until_status(http, "counter.link.broken-frame", "2").await;
    for name in ["frame-too-large", "wrong-version", "no-hello"] {
        until_status(http, &format!("counter.link.{name}"), "1").await;
    }
    check(calls, 40, &servers, 4).await;
    assert_eq!(status(entry.node.http, "counter.reattach").await, "");
}

fn frame(bytes: &[u8]) -> Vec<u8> {
    let mut frame = (bytes.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(bytes);
    frame
}
