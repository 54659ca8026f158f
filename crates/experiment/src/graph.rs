//! The call graph of the experiments: a chain of four services with three instances each. It is a
//! scaled-down model of the users' gift wrap shops.

use std::time::Duration;
use trial::ClusterConfig;
use trial::Operation;
use trial::Placement;

/// The service at the end of the chain, which is the bottleneck.
pub const DEEPEST_SERVICE: &str = "royalty";

/// The capacity of the deepest service in calls per second: three servers with 10 slots each, and
/// 100 ms for a call.
pub const CAPACITY_PER_S: f64 = 300.0;

/// The index of the lookup operation, which callers send to the first service.
pub const LOOKUP: usize = 0;

/// The index of the order operation, which callers send to the first service.
pub const ORDER: usize = 1;

const SERVICES: [&str; 4] = ["catalogue", "order", "press", DEEPEST_SERVICE];

/// The failure domains, each with its region. Each service has one instance in each domain.
const FAILURE_DOMAINS: [(&str, &str); 3] = [
    ("milano-1", "lombardia"),
    ("milano-2", "lombardia"),
    ("padova-1", "veneto"),
];

const DEADLINE: Duration = Duration::from_secs(2);

/// The configuration of the simulated cluster. Lookups and orders both go through all four
/// services.
pub fn cluster_config(policy: engine::Switches) -> ClusterConfig {
    let mut cluster = ClusterConfig::small();
    cluster.operations.clear();
    cluster.placements.clear();
    let mut rules = String::new();
    for (depth, service) in SERVICES.into_iter().enumerate() {
        let service_time_ms = if service == DEEPEST_SERVICE { 100 } else { 5 };
        for (operation_index, method) in ["GET", "POST"].into_iter().enumerate() {
            let child = (depth + 1 < SERVICES.len()).then_some(2 * (depth + 1) + operation_index);
            cluster.operations.push(Operation {
                service: service.into(),
                method: method.into(),
                path: "/x".into(),
                service_time: Duration::from_millis(service_time_ms),
                children: child.into_iter().collect(),
                parallel: false,
                retries: 2,
                deadline: DEADLINE,
                idempotent: method == "GET",
            });
        }
        rules += &format!(
            "operation {service} GET /x class=lookup idempotent deadline=2s retries=2 # asked by Giulia\n\
             operation {service} POST /x class=order deadline=2s retries=2 # asked by Marco\n\
             limit {service} concurrency=2..{} queue=100ms # asked by Marco\n",
            if service == DEEPEST_SERVICE { 170 } else { 400 }
        );
        for (failure_domain, region) in FAILURE_DOMAINS {
            cluster.placements.push(Placement {
                service: service.into(),
                failure_domain: failure_domain.into(),
                region: region.into(),
            });
        }
    }
    cluster.rules = rules;
    cluster.slots = 50;
    cluster.max_backlog = 350;
    cluster.policy = policy;
    cluster
}
