//! Graceful stops and kills of node processes.

mod common;

use common::call;
use common::publish;
use common::wait_for_homes;
use common::wait_for_status;
use common::Instance;
use common::NodeProcess;
use common::LOOPBACK;
use indexmap::IndexMap;
use standin::Backend;
use standin::BackendConfig;
use standin::Store;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;

const RULES: &str = "\
operation catalogue GET /patterns/* class=lookup idempotent deadline=20s retries=1 # asked by Giulia
operation order POST /orders class=order deadline=20s # asked by Marco
limit catalogue concurrency=400..400 queue=10s # asked by Giulia
";

/// Starts an instance of `catalogue`, which is the entry, and two instances of `order`.
async fn start_instances(store: &Store) -> [Instance; 3] {
    let instances = [
        Instance::start("catalogue", "milano-1", store, &[]).await,
        Instance::start("order", "milano-1", store, &[]).await,
        Instance::start("order", "milano-2", store, &[]).await,
    ];
    publish(store, RULES).await;
    for instance in &instances {
        wait_for_status(instance.node.http, "rules_version", "1").await;
        wait_for_status(instance.node.http, "instances", "3").await;
    }
    wait_for_homes(&instances.each_ref().map(|instance| instance.node.http)).await;
    instances
}

/// An operator replaces an instance while its backend server works on slow orders. Without a
/// graceful stop, an order would be cut off or run again by the other instance.
#[actix_rt::test]
async fn graceful_stop_completes_running_orders() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let [entry, mut leaving, staying] = start_instances(&store).await;
    for instance in [&leaving, &staying] {
        instance.backend.config.borrow_mut().service_time = Duration::from_millis(400);
    }
    let mut calls = Vec::new();
    for n in 0..16 {
        let http = entry.node.http;
        let key = format!("key-{n}");
        calls.push(actix_rt::spawn(async move {
            call(http, "POST", "/order/orders", &key, "ink").await
        }));
    }
    while leaving.runs() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    leaving.node.signal("-TERM");
    for pending_call in calls {
        assert_eq!(
            pending_call.await.unwrap(),
            (200, "whole".into(), "ink/orders".into())
        );
    }
    assert_eq!(leaving.runs() + staying.runs(), 16);
    assert!(leaving.node.wait_for_exit().await.success());
}

/// A script of the operator sends SIGHUP, as is usual after a change of the settings file. If that
/// ended the process, every request in it would be cut off.
#[actix_rt::test]
async fn sighup_does_not_stop_node() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let [mut entry, ..] = start_instances(&store).await;
    entry.backend.config.borrow_mut().service_time = Duration::from_millis(300);
    let http = entry.node.http;
    let lookup =
        actix_rt::spawn(async move { call(http, "GET", "/catalogue/patterns/1", "", "").await });
    while entry.runs() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    entry.node.signal("-HUP");
    let (code, outcome, _) = lookup.await.unwrap();
    assert_eq!((code, &*outcome), (200, "whole"));
    assert!(entry.node.process.try_wait().unwrap().is_none());
}

/// A home node of orders is killed while its backend server works on them, and is not replaced. An
/// order that may have run must not be reported as not run, and no order may run twice. The
/// remaining instances have to serve new orders.
#[actix_rt::test]
async fn orders_run_once_and_continue_after_kill() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let [entry, mut killed, staying] = start_instances(&store).await;
    let third = Instance::start("order", "verona-1", &store, &[]).await;
    let nodes = [&entry, &killed, &staying, &third].map(|instance| instance.node.http);
    for node in nodes {
        wait_for_status(node, "instances", "4").await;
    }
    wait_for_homes(&nodes).await;
    for instance in [&killed, &staying, &third] {
        instance.backend.config.borrow_mut().service_time = Duration::from_millis(400);
    }
    let orders = |from: usize| {
        let http = entry.node.http;
        let sent = (from..from + 18).map(|n| {
            let key = format!("key-{n}");
            actix_rt::spawn(async move { call(http, "POST", "/order/orders", &key, "ink").await })
        });
        sent.collect::<Vec<_>>()
    };
    let first = orders(0);
    while killed.runs() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    killed.node.process.kill().unwrap();
    let mut completed = 0;
    for order in first {
        let (_, outcome, _) = order.await.unwrap();
        assert!(matches!(&*outcome, "whole" | "unknown"), "{outcome}");
        completed += u32::from(outcome == "whole");
    }
    assert!(completed < 18, "all runs of the killed node completed");

    // Its slots get new home nodes once it is evicted and its leases have expired.
    let remaining = [entry.node.http, staying.node.http, third.node.http];
    for node in remaining {
        wait_for_status(node, "instances", "3").await;
    }
    wait_for_homes(&remaining).await;
    // Orders sent again may have an unknown outcome, but must not run again. The orders after them
    // have no key, so that the node generates a new one for each.
    for order in orders(0) {
        order.await.unwrap();
    }
    for _ in 0..18 {
        let (code, ..) = call(entry.node.http, "POST", "/order/orders", "", "ink").await;
        assert_eq!(code, 200);
    }
    let mut runs: IndexMap<String, u32> = IndexMap::new();
    for instance in [&killed, &staying, &third] {
        for (key, count) in &*instance.backend.runs.borrow() {
            *runs.entry(key.clone()).or_insert(0) += count;
        }
    }
    runs.retain(|key, _| key.starts_with("key-"));
    assert!(runs.values().all(|runs| *runs == 1), "{runs:?}");
}

/// An instance is stopped while it runs lookups of its own callers and of callers of another node.
/// Once the last responses are ready, nothing keeps the process running any more. If it exited
/// before they were written, they would be lost.
#[actix_rt::test]
async fn last_responses_are_sent_before_exit() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let [mut leaving, other, _] = start_instances(&store).await;
    leaving.backend.config.borrow_mut().service_time = Duration::from_millis(700);
    let lookups = [&leaving, &other].map(|instance| {
        let http = instance.node.http;
        let sent = (0..150).map(|n| {
            let path = format!("/catalogue/patterns/{http}/{n}");
            actix_rt::spawn(async move { call(http, "GET", &path, "", "").await })
        });
        sent.collect::<Vec<_>>()
    });
    while leaving.runs() < 300 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    leaving.node.signal("-TERM");
    for lookup in lookups.into_iter().flatten() {
        let (code, outcome, _) = lookup.await.unwrap();
        assert_eq!((code, &*outcome), (200, "whole"));
    }
    assert!(leaving.node.wait_for_exit().await.success());
}

/// Guards against answers that are cut off when the node that took the requests exits, because their
/// callers read them slowly.
#[actix_rt::test]
async fn answers_that_callers_read_slowly_are_complete_after_a_stop() {
    const SIZE: usize = 3_000_000;
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let work = BackendConfig {
        service_time: Duration::from_millis(500),
        ..BackendConfig::default()
    };
    let backend = Backend::start(LOOPBACK.into(), work).await.unwrap();
    let limits = "max_body = 3145728\nmax_bodies = 33554432";
    let mut node = NodeProcess::start_with("order", "milano-1", backend.addr, store.addr, limits);
    publish(&store, RULES).await;
    wait_for_status(node.http, "rules_version", "1").await;
    wait_for_homes(&[node.http]).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    let mut stream = socket.connect(node.http).await.unwrap();
    // The stand-in answers with the body and the path of the request.
    for _ in 0..2 {
        let head =
            format!("POST /order/orders HTTP/1.1\r\nhost: x\r\ncontent-length: {SIZE}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&vec![b'i'; SIZE]).await.unwrap();
    }
    while backend.runs.borrow().values().sum::<u32>() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    node.signal("-TERM");
    // Longer than the node needs to finish everything else.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for _ in 0..2 {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        assert!(head.starts_with(b"HTTP/1.1 200"));
        let mut body = vec![0; SIZE + "/orders".len()];
        stream.read_exact(&mut body).await.unwrap();
    }
    assert!(node.wait_for_exit().await.success());
}
