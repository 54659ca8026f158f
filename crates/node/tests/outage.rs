//! Node processes while the store is unavailable or has deleted old records.

mod common;

use common::call;
use common::publish;
use common::status;
use common::wait_for_homes;
use common::wait_for_status;
use common::Instance;
use common::NodeProcess;
use common::LOOPBACK;
use standin::Backend;
use standin::BackendConfig;
use standin::Store;

const RULES: &str = "operation press POST /slots class=booking deadline=20s # asked by Marco";

async fn start_listed_instance(store: &Store) -> Instance {
    let instance = Instance::start("press", "milano-1", store, &[]).await;
    publish(store, RULES).await;
    wait_for_status(instance.node.http, "rules_version", "1").await;
    wait_for_homes(&[instance.node.http]).await;
    instance
}

/// An instance is replaced while the store is unavailable. Without the rules it could accept no
/// call, and the outage would spread to every caller of this node.
#[actix_rt::test]
async fn node_started_during_outage_forwards_calls() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let instance = start_listed_instance(&store).await;
    store.faults.unavailable.set(true);

    let contacts = format!("contacts = {}", instance.node.peer);
    let backend = Backend::start(LOOPBACK.into(), BackendConfig::default())
        .await
        .unwrap();
    let late = NodeProcess::start_with("order", "milano-2", backend.addr, store.addr, &contacts);
    wait_for_status(late.http, "rules_version", "1").await;
    let response = call(late.http, "POST", "/press/slots", "k", "ink").await;
    assert_eq!(response, (200, "whole".into(), "ink/slots".into()));
    assert_eq!(status(late.http, "listed").await, "false");
    assert_eq!(status(late.http, "instances").await, "1");

    store.faults.unavailable.set(false);
    wait_for_status(late.http, "listed", "true").await;
}

/// The store serves one node and refuses another. Rules published in the meantime would be in force
/// at only one of the two for as long as that lasts.
#[actix_rt::test]
async fn new_rules_reach_node_refused_by_store() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let refusing_store = store.add_listener().await.unwrap();
    refusing_store.faults.unavailable.set(true);
    let instance = start_listed_instance(&store).await;
    let contacts = format!("contacts = {}", instance.node.peer);
    let refused_node = NodeProcess::start_with(
        "order",
        "milano-2",
        instance.backend.addr,
        refusing_store.addr,
        &contacts,
    );
    wait_for_status(refused_node.http, "rules_version", "1").await;
    publish(&store, RULES).await;
    wait_for_status(refused_node.http, "rules_version", "2").await;
}

/// A node is started after the store has deleted all records except the newest of each key.
#[actix_rt::test]
async fn node_started_after_expiry_gets_rules_and_views() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let instance = start_listed_instance(&store).await;
    publish(&store, RULES).await;
    store.expire_records();

    let late = Instance::start("order", "milano-2", &store, &[]).await;
    wait_for_status(late.node.http, "rules_version", "2").await;
    wait_for_status(late.node.http, "instances", "2").await;
    wait_for_status(instance.node.http, "instances", "2").await;
    wait_for_homes(&[instance.node.http, late.node.http]).await;
    let response = call(late.node.http, "POST", "/press/slots", "k", "ink").await;
    assert_eq!(response, (200, "whole".into(), "ink/slots".into()));
}
