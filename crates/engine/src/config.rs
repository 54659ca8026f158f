//! Limits, time-outs and modes of an engine.

use std::net::SocketAddr;
use std::time::Duration;

/// Limits, time-outs and modes of an engine. Set once, before the engine is created.
#[derive(Debug, Clone)]
pub struct Config {
    /// Seeds the generator of all random choices.
    pub seed: u64,
    /// Addresses at which other nodes may be found when the log is unavailable at startup.
    pub contacts: Vec<SocketAddr>,
    /// Failure detection and gossip.
    pub membership: membership::Config,
    /// Which overload mechanisms are enabled.
    pub policy: policy::Switches,
    /// Idempotency records and leases.
    pub once: once::Config,
    /// The maximum number of requests from callers and from this node's backend server that may be
    /// in flight.
    pub max_open_requests: usize,
    /// The longest `Idempotency-Key`, in bytes.
    pub max_key_len: usize,
    /// The greatest depth of a call tree.
    pub max_depth: u8,
    /// The initial back-off before an append whose result was lost is tried again.
    pub append_retry_delay: Duration,
    /// How long a stopping node waits until its `Leave` record is in the log, and then until other
    /// home nodes have taken over its slots.
    pub leave_timeout: Duration,
    /// Parses a rules file.
    pub parse_rules: journal::ParseRules,
    /// How a non-idempotent call without an idempotency key is handled.
    pub keyless_calls: KeylessCalls,
    /// The backend server sends heartbeats, and gets work only after its first heartbeat and until
    /// it announces that it leaves. Otherwise it is assumed to be up for as long as the node runs.
    pub server_announces: bool,
    /// Only a few nodes of each failure domain read the store, and the others get its content from
    /// peers. Otherwise each node reads the store itself, which home nodes of keys have to do.
    pub shared_store_reads: bool,
    /// How long a stopping node still accepts new requests, because its callers need a moment to
    /// notice the stop. Such requests run on other nodes' backend servers.
    pub stop_grace_period: Duration,
    /// How many retries one action gets.
    pub tree_retries: TreeRetries,
    /// How many retries the whole fleet may make at each service.
    pub retry_budget: policy::FleetRetryLimits,
    /// Every node refuses a revoked key within this time after its revocation; without a bound if
    /// `None`.
    pub revocation_bound: Option<Duration>,
    /// How strictly the quotas of organisations are enforced.
    pub quota_tolerance: organisation::QuotaTolerance,
}

/// How a non-idempotent call without an idempotency key is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeylessCalls {
    /// The node generates a key, returns it with the answer, and routes the call to the key's home
    /// node.
    GenerateKey,
    /// The ingress node owns the call: it sends the call to a near instance with free capacity, and
    /// to another one only after proof that it did not run. Nobody can send the same call again, so
    /// it needs no record.
    OwnedByIngress,
}

/// How many retries one action gets, for all calls of its tree together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TreeRetries {
    /// As many as its operation allows.
    PerOperation,
    /// As many as its operation allows, plus one for every this many calls that the last run of the
    /// operation made, rounded up. Each single call is retried at most as often as its own
    /// operation allows.
    ///
    /// An action that makes eight reads fails if one of them is lost. With one retry for the whole
    /// action, a service that loses one answer in twenty makes one such action in seventeen fail.
    ScaledByCalls(u16),
}

impl Default for Config {
    fn default() -> Self {
        Self {
            seed: 0,
            contacts: Vec::new(),
            membership: membership::Config::default(),
            policy: policy::Switches::ALL,
            once: once::Config::default(),
            max_open_requests: 10_000,
            max_key_len: 255,
            max_depth: 32,
            append_retry_delay: Duration::from_secs(1),
            leave_timeout: Duration::from_secs(10),
            parse_rules: |file| rules::Rules::parse(file).ok(),
            keyless_calls: KeylessCalls::GenerateKey,
            server_announces: false,
            shared_store_reads: false,
            stop_grace_period: Duration::ZERO,
            tree_retries: TreeRetries::PerOperation,
            retry_budget: policy::FleetRetryLimits::default(),
            revocation_bound: None,
            quota_tolerance: organisation::QuotaTolerance::default(),
        }
    }
}
