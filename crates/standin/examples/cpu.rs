//! Measures the CPU time of a call at each of the two nodes on its path, by rate and kind:
//! `cpu [SECONDS]`.
//!
//! Each instance runs on its own thread. The backend server beside the entry node receives no
//! calls, so the CPU time of that thread is that of the node. The other thread runs its node and
//! the called backend server, whose share is measured by direct calls and subtracted.

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
limit catalogue concurrency=50..400 # asked by the bench
";

const RATES: [u32; 3] = [250, 500, 1_000];

#[actix_rt::main]
async fn main() {
    let seconds = std::env::args().nth(1).and_then(|arg| arg.parse().ok());
    let seconds = seconds.unwrap_or(10);
    let instance = |service| InstanceConfig {
        service,
        failure_domain: "milano-1",
        region: "lombardia",
        backend: BackendConfig {
            service_time: Duration::from_millis(2),
            ..BackendConfig::default()
        },
    };
    let deployment = Deployment::start(&[instance("counter"), instance("catalogue")]);
    deployment.publish(RULES).await;
    // Wait until leases are acquired and limits have converged.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let [counter, catalogue] = &deployment.instances[..] else {
        return;
    };
    let via_nodes = format!("http://{}/catalogue", counter.http_addr);
    let direct = format!("http://{}", catalogue.backend_addr);
    let kinds = [
        ("lookup", Method::GET, "/patterns/{n}", false),
        ("order", Method::POST, "/orders", true),
    ];
    println!("CPU time per call in microseconds, {seconds} s each");
    println!(
        "{:<8}{:>8}{:>8}{:>8}{:>8}",
        "", "rate", "whole", "entry", "server"
    );
    for (name, method, path, keyed) in kinds {
        for rate in RATES {
            let mut measured = Vec::new();
            for base in [&direct, &via_nodes] {
                let kind = RequestKind {
                    method: method.clone(),
                    url: format!("{base}{path}"),
                    keyed,
                };
                let before = (counter.cpu_time(), catalogue.cpu_time());
                let report = run_load(load(kind, rate, seconds)).await;
                let after = (counter.cpu_time(), catalogue.cpu_time());
                measured.push((report.completed[0], after.0 - before.0, after.1 - before.1));
            }
            let micros = |time: Duration| time.as_micros() as f64 / f64::from(rate * seconds);
            let (completed, entry_node, server) = measured[1];
            let server = micros(server) - micros(measured[0].2);
            println!(
                "{name:<8}{rate:>8}{completed:>8}{:>8.0}{server:>8.0}",
                micros(entry_node)
            );
        }
    }
}

fn load(kind: RequestKind, rate: u32, seconds: u32) -> LoadConfig {
    LoadConfig {
        kinds: vec![kind],
        interval: Duration::from_secs(1) / rate,
        count: rate * seconds,
        caller_timeout: Duration::from_secs(5),
    }
}
