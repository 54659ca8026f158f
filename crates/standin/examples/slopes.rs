//! What control costs a node while no calls come, by the size of the fleet and of its services:
//! `slopes [SECONDS]`. All nodes run in this process, a thread each.

use bilberry_standin::status;
use bilberry_standin::Deployment;
use bilberry_standin::Place;
use bilberry_standin::Work;
use std::time::Duration;

const RULES: &str = "operation s0 GET /* class=lookup idempotent deadline=1s # asked by the bench";

/// Instances and services.
const SIZES: [(usize, usize); 6] = [(6, 1), (24, 4), (96, 16), (12, 1), (24, 1), (36, 1)];

const SERVICES: [&str; 16] = [
    "s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10", "s11", "s12", "s13", "s14",
    "s15",
];

/// Three failure domains in each of two regions.
const DOMAINS: [(&str, &str); 6] = [
    ("d0", "north"),
    ("d1", "south"),
    ("d2", "north"),
    ("d3", "south"),
    ("d4", "north"),
    ("d5", "south"),
];

/// Clock ticks a second in `/proc/self/stat` on Linux.
const TICKS: f64 = 100.0;

#[actix_rt::main]
async fn main() {
    let seconds = std::env::args()
        .nth(1)
        .and_then(|arg| arg.parse().ok())
        .unwrap_or(20);
    println!("idle, {seconds} s each; for each node");
    println!(
        "{:>10}{:>10}{:>12}{:>12}{:>10}{:>8}",
        "instances", "services", "out B/s", "in B/s", "core %", "MB"
    );
    for (instances, services) in SIZES {
        measure(instances, services, seconds).await;
    }
}

async fn measure(instances: usize, services: usize, seconds: u64) {
    let memory = resident_bytes();
    let places: Vec<Place> = (0..instances).map(|n| place(n, services)).collect();
    let deployment = Deployment::start(&places);
    deployment.publish(RULES).await;
    // Rumours about the start die down.
    tokio::time::sleep(Duration::from_secs(15)).await;
    let before = (datagrams(&deployment).await, cpu_ticks());
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = (datagrams(&deployment).await, cpu_ticks());
    let per_node = |total: u64| total as f64 / instances as f64;
    let per_second = |total: u64| per_node(total) / seconds as f64;
    println!(
        "{instances:>10}{services:>10}{:>12.0}{:>12.0}{:>10.3}{:>8.2}",
        per_second(after.0 .0 - before.0 .0),
        per_second(after.0 .1 - before.0 .1),
        per_second(after.1 - before.1) / TICKS * 100.0,
        per_node(resident_bytes().saturating_sub(memory)) / 1e6,
    );
    let stops = deployment
        .instances
        .into_iter()
        .map(|mut instance| tokio::task::spawn_blocking(move || instance.stop()));
    for stop in stops.collect::<Vec<_>>() {
        let _ = stop.await;
    }
}

fn place(n: usize, services: usize) -> Place {
    let (failure_domain, region) = DOMAINS[(n / services) % DOMAINS.len()];
    Place {
        service: SERVICES[n % services],
        failure_domain,
        region,
        work: Work::default(),
    }
}

/// Bytes of datagrams out and in, over all nodes.
async fn datagrams(deployment: &Deployment) -> (u64, u64) {
    let mut sum = (0, 0);
    for instance in &deployment.instances {
        let bytes = async |key| {
            let value = status(instance.http_addr, key).await;
            value
                .and_then(|value| value.parse::<u64>().ok())
                .unwrap_or(0)
        };
        sum.0 += bytes("gauge.bytes.datagrams_out").await;
        sum.1 += bytes("gauge.bytes.datagrams_in").await;
    }
    sum
}

/// Processor time of this process so far, user and system.
fn cpu_ticks() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    fields
        .skip(11)
        .take(2)
        .filter_map(|ticks| ticks.parse::<u64>().ok())
        .sum()
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}
