//! Runs a small deployment in one process under a load above its capacity, and prints the outcomes
//! of the requests and the counters of the nodes.

use awc::http::Method;
use bilberry_standin::fetch_status_page;
use bilberry_standin::run_load;
use bilberry_standin::BackendConfig;
use bilberry_standin::ChildCall;
use bilberry_standin::Deployment;
use bilberry_standin::InstanceConfig;
use bilberry_standin::LoadConfig;
use bilberry_standin::LoadReport;
use bilberry_standin::RequestKind;
use std::collections::BTreeMap;
use std::time::Duration;

const RULES: &str = include_str!("quickstart.rules");

/// Requests per second. Of them, 1,200 go to the catalogue, which can serve about 800 per second.
const RATE: u32 = 1_600;

/// How long the load lasts.
const SECONDS: u32 = 8;

#[actix_rt::main]
async fn main() {
    let deployment = Deployment::start(&instance_configs());
    println!("{} nodes; publishing the rules", deployment.instances.len());
    deployment.publish(RULES).await;
    println!("{RATE} requests per second for {SECONDS} s: three lookups for each order");
    let report = run_load(load_config(&deployment)).await;
    print_report(&report);
    print_counters(&deployment).await;
    for mut instance in deployment.instances {
        instance.stop();
    }
    println!("all nodes stopped gracefully");
}

fn instance_configs() -> Vec<InstanceConfig> {
    let child_call = |path: &str| ChildCall {
        method: Method::POST,
        path: path.to_owned(),
    };
    let lookup = BackendConfig {
        service_time: Duration::from_millis(9),
        slots: 4,
        child_calls: Vec::new(),
    };
    let order = BackendConfig {
        child_calls: vec![child_call("/press/slots")],
        ..BackendConfig::default()
    };
    let press = BackendConfig {
        service_time: Duration::from_millis(4),
        ..BackendConfig::default()
    };
    let mut configs = Vec::new();
    for (failure_domain, region) in [("milano-1", "lombardia"), ("verona-1", "veneto")] {
        for (service, backend) in [("catalogue", &lookup), ("order", &order), ("press", &press)] {
            configs.push(InstanceConfig {
                service,
                failure_domain,
                region,
                backend: backend.clone(),
            });
        }
    }
    configs
}

fn load_config(deployment: &Deployment) -> LoadConfig {
    let entry_addr = |n: usize| deployment.instances[n % deployment.instances.len()].http_addr;
    let lookup = |n| RequestKind {
        method: Method::GET,
        url: format!("http://{}/catalogue/patterns/{{n}}", entry_addr(n)),
        keyed: false,
    };
    let order = |n| RequestKind {
        method: Method::POST,
        url: format!("http://{}/order/orders", entry_addr(n)),
        keyed: true,
    };
    LoadConfig {
        kinds: vec![lookup(0), lookup(2), lookup(3), order(5)],
        interval: Duration::from_secs(1) / RATE,
        count: RATE * SECONDS,
        caller_timeout: Duration::from_secs(5),
    }
}

fn print_report(report: &LoadReport) {
    println!("\noutcomes of the requests");
    println!(
        "{:<10}{:>8}{:>9}{:>8}{:>10}{:>10}",
        "", "whole", "not run", "other", "p50 ms", "p99 ms"
    );
    for (index, name) in ["lookup", "lookup", "lookup", "order"].iter().enumerate() {
        let millis =
            |quantile| report.latencies_us[index].value_at_quantile(quantile) as f64 / 1000.0;
        println!(
            "{name:<10}{:>8}{:>9}{:>8}{:>10.1}{:>10.1}",
            report.completed[index],
            report.not_run[index],
            report.other[index],
            millis(0.5),
            millis(0.99),
        );
    }
}

async fn print_counters(deployment: &Deployment) {
    let mut totals = BTreeMap::new();
    for instance in &deployment.instances {
        let page = fetch_status_page(instance.http_addr).await;
        let counters = page
            .lines()
            .filter_map(|line| line.strip_prefix("counter."));
        for (name, count) in counters.filter_map(|line| line.split_once(' ')) {
            *totals.entry(name.to_owned()).or_insert(0) += count.parse::<u64>().unwrap_or(0);
        }
    }
    println!("\ncounters of the nodes");
    for (name, count) in totals {
        println!("{name:<30}{count:>8}");
    }
}
