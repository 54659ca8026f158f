//! Real processes while the log is down, or has forgotten its first records.

mod common;

use common::call;
use common::publish;
use common::status;
use common::until_homes_are_ready;
use common::until_status;
use common::NodeProcess;
use common::Server;
use common::LOOPBACK;
use journal::Record;
use journal::State;
use logservice::LogClient;
use standin::Backend;
use standin::Log;
use standin::Work;
use std::time::Duration;

const RULES: &str = "operation press POST /slots class=booking deadline=20s # asked by Marco";

async fn listed_server(log: &Log) -> Server {
    let server = Server::start("press", "milano-1", log, &[]).await;
    publish(log, RULES).await;
    until_status(server.node.http, "rules_version", "1").await;
    until_homes_are_ready(&[server.node.http]).await;
    server
}

/// An instance is replaced while the log is down. Without the rules it could take no call, and the
/// outage would spread to every shop whose caller reaches this node.
#[actix_rt::test]
async fn a_start_in_an_outage_passes_calls_on() {
    let log = Log::start(LOOPBACK.into()).await.unwrap();
    let server = listed_server(&log).await;
    log.faults.down.set(true);

    let contacts = format!("contacts = {}", server.node.peer);
    let backend = Backend::start(LOOPBACK.into(), Work::default())
        .await
        .unwrap();
    let late = NodeProcess::start_with("order", "milano-2", backend.addr, log.addr, &contacts);
    until_status(late.http, "rules_version", "1").await;
    let whole = call(late.http, "POST", "/press/slots", "k", "ink").await;
    assert_eq!(whole, (200, "whole".into(), "ink/slots".into()));
    assert_eq!(status(late.http, "listed").await, "false");
    assert_eq!(status(late.http, "instances").await, "1");

    log.faults.down.set(false);
    until_status(late.http, "listed", "true").await;
}

/// One node reaches the log and another does not. Rules that are published meanwhile would be in
/// force at one and not at the other for as long as that lasts.
#[actix_rt::test]
async fn new_rules_reach_a_node_that_is_cut_off_from_the_log() {
    let log = Log::start(LOOPBACK.into()).await.unwrap();
    let unreachable = Log::start(LOOPBACK.into()).await.unwrap();
    unreachable.faults.down.set(true);
    let server = listed_server(&log).await;
    let contacts = format!("contacts = {}", server.node.peer);
    let cut_off = NodeProcess::start_with(
        "order",
        "milano-2",
        server.backend.addr,
        unreachable.addr,
        &contacts,
    );
    until_status(cut_off.http, "rules_version", "1").await;
    publish(&log, RULES).await;
    until_status(cut_off.http, "rules_version", "2").await;
}

/// A node is started after the log has forgotten the first records, the rules among them.
#[actix_rt::test]
async fn a_start_after_retention_finds_rules_and_views() {
    let log = Log::start(LOOPBACK.into()).await.unwrap();
    let server = listed_server(&log).await;

    let client = LogClient::new(&log.addr.to_string(), "bilberrycove");
    let mut state = State::default();
    for (offset, record) in client.read(0, Duration::ZERO).await.unwrap().records {
        state.apply(offset, &record);
    }
    let base = state.next;
    publish(&log, RULES).await;
    let snapshot = Record::Snapshot(Box::new(state));
    client
        .append(proto::encode(&snapshot).into())
        .await
        .unwrap();
    log.expire(base);

    let late = Server::start("order", "milano-2", &log, &[]).await;
    until_status(late.node.http, "rules_version", "2").await;
    until_status(late.node.http, "instances", "2").await;
    until_status(server.node.http, "instances", "2").await;
    until_homes_are_ready(&[server.node.http, late.node.http]).await;
    let whole = call(late.node.http, "POST", "/press/slots", "k", "ink").await;
    assert_eq!(whole, (200, "whole".into(), "ink/slots".into()));
}
