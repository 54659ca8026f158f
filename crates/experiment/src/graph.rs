//! The call graph under test: four services in a chain, three instances each, after the gift wrap
//! shops of the brief, scaled down.

use std::time::Duration;
use trial::ClusterConfig;
use trial::Operation;
use trial::Placement;

/// The service at the end of the chain, which is the narrowest.
pub const DEEPEST: &str = "royalty";

/// What the deepest service can do, in calls a second: three servers of 10 slots, 100 ms a call.
pub const CAPACITY: f64 = 300.0;

/// The indices of the two things that callers ask for.
pub const LOOKUP: usize = 0;
/// See [`LOOKUP`].
pub const ORDER: usize = 1;

const SERVICES: [&str; 4] = ["catalogue", "order", "press", DEEPEST];

/// Failure domains and their regions.
const DOMAINS: [(&str, &str); 3] = [
    ("milano-1", "lombardia"),
    ("milano-2", "lombardia"),
    ("padova-1", "veneto"),
];

const DEADLINE: Duration = Duration::from_secs(2);

/// The layout: lookups and orders both go through all four services.
pub fn layout(policy: engine::Switches) -> ClusterConfig {
    let mut layout = ClusterConfig::small();
    layout.operations.clear();
    layout.placements.clear();
    let mut rules = String::new();
    for (depth, service) in SERVICES.into_iter().enumerate() {
        let takes = if service == DEEPEST { 100 } else { 5 };
        for (nth, method) in ["GET", "POST"].into_iter().enumerate() {
            let children = (depth + 1 < SERVICES.len()).then_some(2 * (depth + 1) + nth);
            layout.operations.push(Operation {
                service: service.into(),
                method: method.into(),
                path: "/x".into(),
                service_time: Duration::from_millis(takes),
                children: children.into_iter().collect(),
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
            if service == DEEPEST { 170 } else { 400 }
        );
        for (failure_domain, region) in DOMAINS {
            layout.placements.push(Placement {
                service: service.into(),
                failure_domain: failure_domain.into(),
                region: region.into(),
            });
        }
    }
    layout.rules = rules;
    layout.slots = 50;
    layout.max_backlog = 350;
    layout.policy = policy;
    layout
}
