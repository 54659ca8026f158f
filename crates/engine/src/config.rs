//! Bounds and times of an engine.

use std::net::SocketAddr;
use std::time::Duration;

/// Bounds and times of an engine; filled once and passed down.
#[derive(Debug, Clone)]
pub struct Config {
    /// Seed of all random choices.
    pub seed: u64,
    /// Hints where other nodes may be, for a start while the log is down.
    pub contacts: Vec<SocketAddr>,
    /// Membership.
    pub membership: membership::Config,
    /// Which mechanisms of the policy under load are on.
    pub policy: policy::Switches,
    /// Records and leases.
    pub once: once::Config,
    /// The most requests that may be in flight from this node.
    pub max_calls: usize,
    /// The longest `Idempotency-Key`, in bytes.
    pub max_key: usize,
    /// The deepest call tree.
    pub max_depth: u8,
    /// How long to wait before a lost append is tried again.
    pub append_retry: Duration,
    /// How long the log keeps records.
    pub log_retention: Duration,
    /// How long a stop waits until the log has taken its `Leave`.
    pub leave_patience: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            seed: 0,
            contacts: Vec::new(),
            membership: membership::Config::default(),
            policy: policy::Switches::ALL,
            once: once::Config::default(),
            max_calls: 10_000,
            max_key: 255,
            max_depth: 32,
            append_retry: Duration::from_secs(1),
            log_retention: Duration::from_secs(24 * 3600),
            leave_patience: Duration::from_secs(10),
        }
    }
}
