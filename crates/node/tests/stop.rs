//! Planned stops and kills of node processes.

mod common;

use common::call;
use common::publish;
use common::until_homes_are_ready;
use common::until_status;
use common::Server;
use common::LOOPBACK;
use indexmap::IndexMap;
use standin::Store;
use std::time::Duration;

const RULES: &str = "\
operation catalogue GET /patterns/* class=lookup idempotent deadline=20s retries=1 # asked by Giulia
operation order POST /orders class=order deadline=20s # asked by Marco
limit catalogue concurrency=400..400 queue=10s # asked by Giulia
";

/// Two instances of a service and one of another, which is the entry.
async fn start_all(store: &Store) -> [Server; 3] {
    let servers = [
        Server::start("catalogue", "milano-1", store, &[]).await,
        Server::start("order", "milano-1", store, &[]).await,
        Server::start("order", "milano-2", store, &[]).await,
    ];
    publish(store, RULES).await;
    for server in &servers {
        until_status(server.node.http, "rules_version", "1").await;
        until_status(server.node.http, "instances", "3").await;
    }
    until_homes_are_ready(&servers.each_ref().map(|server| server.node.http)).await;
    servers
}

/// An operator replaces an instance while its backend server works on slow orders. A shop would see
/// an order cut off, or done again by the other instance.
#[actix_rt::test]
async fn a_planned_stop_cuts_off_nothing() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let [entry, mut leaving, staying] = start_all(&store).await;
    for server in [&leaving, &staying] {
        server.backend.config.borrow_mut().service_time = Duration::from_millis(400);
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
    for one in calls {
        assert_eq!(
            one.await.unwrap(),
            (200, "whole".into(), "ink/orders".into())
        );
    }
    assert_eq!(leaving.runs() + staying.runs(), 16);
    assert!(leaving.node.ended().await.success());
}

/// An operator's script sends a hangup, as after a change of the settings file. If that ended the
/// process, every request in it would be cut off.
#[actix_rt::test]
async fn a_hangup_cuts_off_nothing() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let [mut entry, ..] = start_all(&store).await;
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

/// A home dies without a word while its backend server works on orders, and its place is taken by
/// nobody. A shop must not be told that its order was not taken, and no order may run twice; new
/// orders have to be served again by the instance that is left.
#[actix_rt::test]
async fn after_a_kill_nothing_runs_twice_and_orders_go_on() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let [entry, mut killed, staying] = start_all(&store).await;
    let third = Server::start("order", "verona-1", &store, &[]).await;
    let nodes = [&entry, &killed, &staying, &third].map(|server| server.node.http);
    for node in nodes {
        until_status(node, "instances", "4").await;
    }
    until_homes_are_ready(&nodes).await;
    for server in [&killed, &staying, &third] {
        server.backend.config.borrow_mut().service_time = Duration::from_millis(400);
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
    let mut whole = 0;
    for order in first {
        let (_, outcome, _) = order.await.unwrap();
        assert!(matches!(&*outcome, "whole" | "unknown"), "{outcome}");
        whole += u32::from(outcome == "whole");
    }
    assert!(whole < 18, "the killed node answered");

    // Its slots find new homes, once it is evicted and its leases have run out.
    let left = [entry.node.http, staying.node.http, third.node.http];
    for node in left {
        until_status(node, "instances", "3").await;
    }
    until_homes_are_ready(&left).await;
    // What is sent again may be answered as unknown, but not done again; a key that the node makes
    // is certainly new.
    for order in orders(0) {
        order.await.unwrap();
    }
    for _ in 0..18 {
        let (code, ..) = call(entry.node.http, "POST", "/order/orders", "", "ink").await;
        assert_eq!(code, 200);
    }
    let mut runs: IndexMap<String, u32> = IndexMap::new();
    for server in [&killed, &staying, &third] {
        for (key, count) in &*server.backend.runs.borrow() {
            *runs.entry(key.clone()).or_insert(0) += count;
        }
    }
    runs.retain(|key, _| key.starts_with("key-"));
    assert!(runs.values().all(|runs| *runs == 1), "{runs:?}");
}

/// An instance is stopped while it has lookups of callers of its own and of another node's. Its last
/// answers are ready in the moment in which nothing keeps the process any more. If it ended right
/// then, they would not go out, and customers at the counter would see a broken page.
#[actix_rt::test]
async fn the_last_answers_of_a_planned_stop_go_out() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let [mut leaving, other, _] = start_all(&store).await;
    leaving.backend.config.borrow_mut().service_time = Duration::from_millis(700);
    let lookups = [&leaving, &other].map(|server| {
        let http = server.node.http;
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
    assert!(leaving.node.ended().await.success());
}
