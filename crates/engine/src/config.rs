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
    pub max_open_requests: usize,
    /// The longest `Idempotency-Key`, in bytes.
    pub max_key_len: usize,
    /// The deepest call tree.
    pub max_depth: u8,
    /// How long to wait before a lost append is tried again.
    pub append_retry_delay: Duration,
    /// How long a stop waits until the log has taken its `Leave`.
    pub leave_timeout: Duration,
    /// How rules files are read.
    pub parse_rules: journal::ParseRules,
    /// What becomes of a non-idempotent call that comes without a key.
    pub keyless_calls: KeylessCalls,
    /// The backend server announces itself, and gets no work before it has, nor once it has said
    /// that it leaves. Otherwise it is taken to be there for as long as the node runs.
    pub server_announces: bool,
    /// A few nodes of each failure domain read the store for all, which have the rest from their peers.
    /// Otherwise each node reads for itself, as homes of keys have to.
    pub shared_store_reads: bool,
    /// How long a stopping node goes on taking new requests from its callers, who need a moment to
    /// notice. They run on other nodes' backend servers.
    pub stop_grace_period: Duration,
    /// How retries are allowed within one action.
    pub tree_retries: TreeRetries,
    /// What the whole fleet may try again at each service.
    pub retry_budget: policy::FleetRetryLimits,
    /// A key is refused by every node within this time after its revocation; unbounded without it.
    pub revocation_bound: Option<Duration>,
    /// How strictly the quotas of organisations hold.
    pub quota_bounds: organisation::QuotaTolerance,
}

/// What becomes of a non-idempotent call that comes without a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeylessCalls {
    /// It is given one, which the answer tells, and has a home like any other key.
    GenerateKey,
    /// Its entry owns it: it goes to an instance that is near and has room, and to another one only
    /// after proof that it did not run. Nobody could ask for it again, so it needs no record.
    OwnedByIngress,
}

/// How many calls of one action may be tried again, its own and those below it together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TreeRetries {
    /// As many as its operation says.
    PerOperation,
    /// As many as its operation says, and one for each so many of the calls that the last run of the
    /// operation made, rounded up; each call as often as its own operation says. One lost read of eight
    /// loses the work of all. With one retry for the whole action, a service that loses one answer in
    /// twenty loses one such action in seventeen.
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
            quota_bounds: organisation::QuotaTolerance::default(),
        }
    }
}
