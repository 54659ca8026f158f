//! The latency that two nodes add to a call, against calls straight to the backend server in the
//! same run: `latency [CALLS_PER_SECOND] [SECONDS]`.

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
    let place = |service| InstanceConfig {
        service,
        failure_domain: "milano-1",
        region: "lombardia",
        backend: BackendConfig {
            service_time: Duration::from_millis(2),
            slots: 0,
            child_calls: Vec::new(),
        },
    };
    let deployment = Deployment::start(&[place("counter"), place("catalogue")]);
    deployment.publish(RULES).await;
    let [counter, catalogue] = &deployment.instances[..] else {
        return;
    };
    let through = format!("http://{}/catalogue", counter.http_addr);
    let direct = format!("http://{}", catalogue.backend_addr);
    let kind = |method: &Method, url: String, keyed| RequestKind {
        method: method.clone(),
        url,
        keyed,
    };
    let kinds = vec![
        kind(&Method::GET, format!("{direct}/patterns/{{n}}"), false),
        kind(&Method::GET, format!("{through}/patterns/{{n}}"), false),
        kind(&Method::POST, format!("{direct}/orders"), true),
        kind(&Method::POST, format!("{through}/orders"), true),
    ];
    // Half of the rate goes through the nodes; the other half is the comparison.
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
    println!("{rate} calls a second through the nodes for {seconds} s; microseconds");
    println!(
        "{:<20}{:>8}{:>8}{:>8}{:>8}",
        "", "whole", "other", "p50", "p99"
    );
    for (index, name) in names.iter().enumerate() {
        let micros = &report.latencies_us[index];
        println!(
            "{name:<20}{:>8}{:>8}{:>8}{:>8}",
            report.completed[index],
            report.not_run[index] + report.other[index],
            micros.value_at_quantile(0.5),
            micros.value_at_quantile(0.99),
        );
    }
    for (name, direct, through) in [("lookup", 0, 1), ("order", 2, 3)] {
        let added = |quantile| {
            let direct = report.latencies_us[direct].value_at_quantile(quantile) as i64;
            report.latencies_us[through].value_at_quantile(quantile) as i64 - direct
        };
        println!(
            "added to a {name}: p50 {} us, p99 {} us",
            added(0.5),
            added(0.99)
        );
    }
}
