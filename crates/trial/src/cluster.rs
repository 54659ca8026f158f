//! Configuration of a simulated cluster: services, their operations, and the placement of their
//! instances.

use std::sync::Arc;
use std::time::Duration;

/// An operation of a service: what a backend server does for one method and path.
#[derive(Debug, Clone)]
pub struct Operation {
    /// The service.
    pub service: Arc<str>,
    /// The method.
    pub method: Arc<str>,
    /// The path.
    pub path: Arc<str>,
    /// Time that the backend server works before it sends child calls.
    pub service_time: Duration,
    /// The operations that it calls, as indices into [`ClusterConfig::operations`].
    pub children: Vec<usize>,
    /// Whether the child calls are sent concurrently.
    pub parallel: bool,
    /// Retries that a root call of this operation may spend on itself and all calls below it.
    pub retries: u64,
    /// Maximum duration of a call.
    pub deadline: Duration,
    /// Whether the operation may run more than once.
    pub idempotent: bool,
}

/// The placement of one instance.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Its service.
    pub service: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
}

/// The configuration of a simulated cluster.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// The operations of all services.
    pub operations: Vec<Operation>,
    /// One entry for each instance.
    pub placements: Vec<Placement>,
    /// The rules file in force from the start.
    pub rules: String,
    /// Maximum number of requests that a backend server runs concurrently.
    pub slots: usize,
    /// The enabled mechanisms of the overload policy.
    pub policy: engine::Switches,
    /// Maximum number of requests queued in a backend server when its slots are taken; it refuses
    /// any more.
    pub max_backlog: usize,
    /// Whether backend servers send heartbeats and answer health checks. Without heartbeats a node
    /// cannot tell incarnations of its server apart, and ignores what it reports about itself.
    pub servers_announce: bool,
    /// How long a node keeps its leases while it cannot read the log.
    pub max_log_staleness: Duration,
    /// One-way latency within a failure domain, within a region and between regions.
    pub latency: [Duration; 3],
    /// One-way latency between callers and nodes.
    pub caller_latency: Duration,
}

impl ClusterConfig {
    /// Three services in a call tree of depth three, each with an instance in each of three failure
    /// domains, which are in two regions. Every service has an idempotent lookup and an operation
    /// that must not run twice.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(trial::ClusterConfig::small().placements.len(), 9);
    /// ```
    pub fn small() -> Self {
        Self::with_instances(3)
    }

    /// As [`ClusterConfig::small`], with `count` instances of each service, from one to three.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(trial::ClusterConfig::with_instances(2).placements.len(), 6);
    /// ```
    pub fn with_instances(count: usize) -> Self {
        let services = ["order", "press", "royalty"];
        let domains = [
            ("milano-1", "lombardia"),
            ("milano-2", "lombardia"),
            ("padova-1", "veneto"),
        ];
        let mut placements = Vec::new();
        for service in services {
            for (domain, region) in domains.into_iter().rev().take(count) {
                placements.push(Placement {
                    service: service.into(),
                    failure_domain: domain.into(),
                    region: region.into(),
                });
            }
        }
        Self {
            operations: vec![
                operation("order", "GET", "/list", 3, &[2, 4]),
                operation("order", "POST", "/orders", 4, &[3]),
                operation("press", "GET", "/days", 3, &[4]),
                operation("press", "POST", "/slots", 4, &[5]),
                operation("royalty", "GET", "/rates", 3, &[]),
                operation("royalty", "POST", "/charges", 5, &[]),
            ],
            placements,
            rules: RULES.to_owned(),
            slots: 10,
            policy: engine::Switches::ALL,
            max_backlog: 40,
            servers_announce: false,
            max_log_staleness: once::Config::default().max_log_staleness,
            latency: [
                Duration::from_micros(100),
                Duration::from_micros(500),
                Duration::from_millis(20),
            ],
            caller_latency: Duration::from_millis(4),
        }
    }
}

/// An operation with two retries and a deadline of four seconds. Only `GET` operations are
/// idempotent.
fn operation(
    service: &str,
    method: &str,
    path: &str,
    service_time: u64,
    children: &[usize],
) -> Operation {
    Operation {
        service: service.into(),
        method: method.into(),
        path: path.into(),
        service_time: Duration::from_millis(service_time),
        children: children.to_vec(),
        parallel: children.len() > 1,
        retries: 2,
        deadline: Duration::from_secs(4),
        idempotent: method == "GET",
    }
}

/// The rules of [`ClusterConfig::small`]. Key retention is longer than callers keep re-sending, and
/// shorter than the settle time of random runs: after a crash the state of the lost keys is
/// uncertain for the length of the retention.
const RULES: &str = "\
operation order GET /list class=lookup idempotent deadline=4s retries=2 # asked by Giulia
operation order POST /orders class=order deadline=4s retries=2 # asked by Marco
operation press GET /days class=lookup idempotent deadline=4s retries=2 # asked by Giulia
operation press POST /slots class=booking deadline=4s retries=2 # asked by Marco
operation royalty GET /rates class=lookup idempotent deadline=4s retries=2 # asked by Giulia
operation royalty POST /charges class=payment deadline=4s retries=2 # asked by the board
limit order concurrency=2..12 queue=100ms # asked by Marco
limit press concurrency=2..12 queue=100ms # asked by Marco
limit royalty concurrency=2..12 queue=100ms # asked by the board
keys order retention=90s # asked by Marco
keys press retention=90s # asked by Marco
keys royalty retention=90s # asked by the board
";
