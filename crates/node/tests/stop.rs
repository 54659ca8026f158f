//! Planned stops and kills of node processes.

mod common;

use common::call;
use common::publish;
use common::until_homes_are_ready;
use common::until_status;
use common::Server;
use common::LOOPBACK;
use standin::Log;
use std::time::Duration;

const RULES: &str = "\
operation catalogue GET /patterns/* class=lookup idempotent deadline=20s retries=1 # asked by Giulia
operation order POST /orders class=order deadline=20s # asked by Marco
";

/// Two instances of a service and one of another, which is the entry.
async fn start_all(log: &Log) -> [Server; 3] {
    let servers = [
        Server::start("catalogue", "milano-1", log, &[]).await,
        Server::start("order", "milano-1", log, &[]).await,
        Server::start("order", "milano-2", log, &[]).await,
    ];
    publish(log, RULES).await;
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
    let log = Log::start(LOOPBACK.into()).await.unwrap();
    let [entry, mut leaving, staying] = start_all(&log).await;
    for server in [&leaving, &staying] {
        server.backend.work.borrow_mut().takes = Duration::from_millis(400);
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
