//! End-to-end test of a request through several services, with nodes and `bilberryctl` in separate
//! processes.

mod common;

use common::call;
use common::publish;
use common::wait_for_homes;
use common::wait_for_status;
use common::Instance;
use common::LOOPBACK;
use standin::Store;

const RULES: &str = "\
operation catalogue GET /patterns/* class=lookup idempotent deadline=5s retries=1 # asked by Giulia
operation order POST /orders class=order deadline=5s # asked by Marco
operation press POST /slots class=booking deadline=5s # asked by Marco
operation royalty POST /charges class=payment deadline=5s # asked by the board
";

async fn start_instances(store: &Store) -> [Instance; 4] {
    let instances = [
        Instance::start("catalogue", "milano-1", store, &[]).await,
        Instance::start("order", "milano-1", store, &["/press/slots"]).await,
        Instance::start("press", "milano-2", store, &["/royalty/charges"]).await,
        Instance::start("royalty", "milano-2", store, &[]).await,
    ];
    publish(store, RULES).await;
    for instance in &instances {
        wait_for_status(instance.node.http, "rules_version", "1").await;
        wait_for_status(instance.node.http, "instances", "4").await;
    }
    wait_for_homes(&instances.each_ref().map(|instance| instance.node.http)).await;
    instances
}

#[actix_rt::test]
async fn request_runs_once_in_each_of_three_services() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let instances = start_instances(&store).await;
    let [catalogue, order, press, royalty] = &instances;

    let looked_up = call(order.node.http, "GET", "/catalogue/patterns/7", "", "").await;
    assert_eq!(looked_up, (200, "whole".into(), "/patterns/7".into()));

    let first = call(catalogue.node.http, "POST", "/order/orders", "k1", "ink").await;
    assert_eq!(
        first,
        (200, "whole".into(), "inkinkink/charges/slots/orders".into())
    );
    let again = call(royalty.node.http, "POST", "/order/orders", "k1", "ink").await;
    assert_eq!(again, first);
    assert_eq!([order.runs(), press.runs(), royalty.runs()], [1, 1, 1]);

    let other_body = call(press.node.http, "POST", "/order/orders", "k1", "gold").await;
    assert_eq!((other_body.0, &*other_body.1), (422, "not-run"));
}
