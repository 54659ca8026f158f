//! What a run starts with: services, their operations, and where their instances are.

use std::sync::Arc;
use std::time::Duration;

/// What a backend server does for one method and path.
#[derive(Debug, Clone)]
pub struct Operation {
    /// The service.
    pub service: Arc<str>,
    /// The method.
    pub method: Arc<str>,
    /// The path.
    pub path: Arc<str>,
    /// How long the backend server works before it calls others.
    pub service_time: Duration,
    /// What it calls: indices into [`ClusterConfig::operations`].
    pub children: Vec<usize>,
    /// Whether it calls them all at once.
    pub parallel: bool,
    /// Retries that a root call of this operation may spend.
    pub retries: u64,
    /// The longest a call may take.
    pub deadline: Duration,
    /// Whether running it twice is as good as once.
    pub idempotent: bool,
}

/// Where one instance is.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Its service.
    pub service: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
}

/// What a run starts with.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// What the services do.
    pub operations: Vec<Operation>,
    /// One place for each instance.
    pub placements: Vec<Placement>,
    /// The rules file that is in force from the start.
    pub rules: String,
    /// Work that a backend server does at once.
    pub slots: usize,
    /// Which mechanisms of the policy under load are on.
    pub policy: engine::Switches,
    /// Work that waits in a backend server beyond its slots before it refuses.
    pub max_backlog: usize,
    /// How long a node goes on with its leases without hearing the log.
    pub max_log_staleness: Duration,
    /// One-way latency within a failure domain, within a region and between regions.
    pub latency: [Duration; 3],
    /// One-way latency between callers and nodes.
    pub caller_latency: Duration,
}

impl ClusterConfig {
    /// Three services, three deep, each with an instance in each of three failure domains, which
    /// lie in two regions. Every service has a lookup and something that must not run twice.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(trial::ClusterConfig::small().placements.len(), 9);
    /// ```
    pub fn small() -> Self {
        Self::with_instances(3)
    }

    /// As [`ClusterConfig::small`], with this many instances a service, from one to three.
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

/// An operation with two retries and a deadline of four seconds; everything but `GET` must not run
/// twice.
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

/// Keys are kept for longer than a caller goes on sending again, and for less than the world is given
/// to settle: after a crash its keys are in doubt for that long.
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
