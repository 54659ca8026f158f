//! Measures the latency that two nodes add to a call, compared with direct calls to the backend
//! server in the same run: `latency [CALLS_PER_SECOND] [SECONDS]`.

use awc::http::Method;
use bilberry_standin::run_load;
use bilberry_standin::BackendConfig;
use bilberry_standin::Deployment;
use bilberry_standin::InstanceConfig;
use bilberry_standin::LoadConfig;
use bilberry_standin::RequestKind;
use std::time::Duration;

const RULES: &str = "\
operation catalogue GET /patterns/* class=lookup idempotent deadline=5s # asked by the bench
operation catalogue POST /orders class=order deadline=5s # asked by the bench
";

#[actix_rt::main]
async fn main() {
    let mut args = std::env::args()
        .skip(1)
        .filter_map(|arg| arg.parse::<u32>().ok());
    let rate = args.next().unwrap_or(1_000);
    let seconds = args.next().unwrap_or(20);
    let instance = |service| InstanceConfig {
        service,
        failure_domain: "milano-1",
        region: "lombardia",
        backend: BackendConfig {
            service_time: Duration::from_millis(2),
            slots: 0,
            child_calls: Vec::new(),
        },
    };
    let deployment = Deployment::start(&[instance("counter"), instance("catalogue")]);
    deployment.publish(RULES).await;
    let [counter, catalogue] = &deployment.instances[..] else {
        return;
    };
    let via_nodes = format!("http://{}/catalogue", counter.http_addr);
    let direct = format!("http://{}", catalogue.backend_addr);
    let kind = |method: &Method, url: String, keyed| RequestKind {
        method: method.clone(),
        url,
        keyed,
    };
    let kinds = vec![
        kind(&Method::GET, format!("{direct}/patterns/{{n}}"), false),
        kind(&Method::GET, format!("{via_nodes}/patterns/{{n}}"), false),
        kind(&Method::POST, format!("{direct}/orders"), true),
        kind(&Method::POST, format!("{via_nodes}/orders"), true),
    ];
    // Half of the calls go through the nodes; the other half are direct, for comparison.
    let load = |seconds: u32| LoadConfig {
        kinds: kinds.clone(),
        interval: Duration::from_secs(1) / (2 * rate),
        count: 2 * rate * seconds,
        caller_timeout: Duration::from_secs(5),
    };
    run_load(load(2)).await;
    let report = run_load(load(seconds)).await;
    let names = [
        "lookup, direct",
        "lookup, two nodes",
        "order, direct",
        "order, two nodes",
    ];
    println!("{rate} calls per second through the nodes for {seconds} s; times in microseconds");
    println!(
        "{:<20}{:>8}{:>8}{:>8}{:>8}",
        "", "whole", "other", "p50", "p99"
    );
    for (index, name) in names.iter().enumerate() {
        let latencies_us = &report.latencies_us[index];
        println!(
            "{name:<20}{:>8}{:>8}{:>8}{:>8}",
            report.completed[index],
            report.not_run[index] + report.other[index],
            latencies_us.value_at_quantile(0.5),
            latencies_us.value_at_quantile(0.99),
        );
    }
    for (name, direct_kind, via_nodes_kind) in [("lookup", 0, 1), ("order", 2, 3)] {
        let added_us = |quantile| {
            let direct_us = report.latencies_us[direct_kind].value_at_quantile(quantile) as i64;
            report.latencies_us[via_nodes_kind].value_at_quantile(quantile) as i64 - direct_us
        };
        println!(
            "added to a {name}: p50 {} us, p99 {} us",
            added_us(0.5),
            added_us(0.99)
        );
    }
}
