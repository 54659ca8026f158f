//! Real processes while the store is away, or has forgotten its first records.

mod common;

use common::call;
use common::publish;
use common::status;
use common::until_homes_are_ready;
use common::until_status;
use common::NodeProcess;
use common::Server;
use common::LOOPBACK;
use standin::Backend;
use standin::BackendConfig;
use standin::Store;

const RULES: &str = "operation press POST /slots class=booking deadline=20s # asked by Marco";

async fn listed_server(store: &Store) -> Server {
    let server = Server::start("press", "milano-1", store, &[]).await;
    publish(store, RULES).await;
    until_status(server.node.http, "rules_version", "1").await;
    until_homes_are_ready(&[server.node.http]).await;
    server
}

/// An instance is replaced while the store is away. Without the rules it could take no call, and the
/// outage would spread to every shop whose caller reaches this node.
#[actix_rt::test]
async fn a_start_in_an_outage_passes_calls_on() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let server = listed_server(&store).await;
    store.faults.unavailable.set(true);

    let contacts = format!("contacts = {}", server.node.peer);
    let backend = Backend::start(LOOPBACK.into(), BackendConfig::default())
        .await
        .unwrap();
    let late = NodeProcess::start_with("order", "milano-2", backend.addr, store.addr, &contacts);
    until_status(late.http, "rules_version", "1").await;
    let whole = call(late.http, "POST", "/press/slots", "k", "ink").await;
    assert_eq!(whole, (200, "whole".into(), "ink/slots".into()));
    assert_eq!(status(late.http, "listed").await, "false");
    assert_eq!(status(late.http, "instances").await, "1");

    store.faults.unavailable.set(false);
    until_status(late.http, "listed", "true").await;
}

/// The store serves one node and turns another away. Rules that are published meanwhile would be in
/// force at one and not at the other for as long as that lasts.
#[actix_rt::test]
async fn new_rules_reach_a_node_that_the_store_turns_away() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let refused = store.add_listener().await.unwrap();
    refused.faults.unavailable.set(true);
    let server = listed_server(&store).await;
    let contacts = format!("contacts = {}", server.node.peer);
    let cut_off = NodeProcess::start_with(
        "order",
        "milano-2",
        server.backend.addr,
        refused.addr,
        &contacts,
    );
    until_status(cut_off.http, "rules_version", "1").await;
    publish(&store, RULES).await;
    until_status(cut_off.http, "rules_version", "2").await;
}

/// A node is started after the store has forgotten all records but the newest of each key.
#[actix_rt::test]
async fn a_start_after_retention_finds_rules_and_views() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let server = listed_server(&store).await;
    publish(&store, RULES).await;
    store.expire_records();

    let late = Server::start("order", "milano-2", &store, &[]).await;
    until_status(late.node.http, "rules_version", "2").await;
    until_status(late.node.http, "instances", "2").await;
    until_status(server.node.http, "instances", "2").await;
    until_homes_are_ready(&[server.node.http, late.node.http]).await;
    let whole = call(late.node.http, "POST", "/press/slots", "k", "ink").await;
    assert_eq!(whole, (200, "whole".into(), "ink/slots".into()));
}
