//! Intervals and limits of a [`Membership`](crate::Membership).

use std::time::Duration;

/// Intervals and limits of a [`Membership`](crate::Membership).
#[derive(Debug, Clone)]
pub struct Config {
    /// Time between two probes by this node.
    pub probe_interval: Duration,
    /// How long an ack may take before other nodes are asked to probe the peer. The indirect probes
    /// have the rest of the probe interval to succeed.
    pub ack_timeout: Duration,
    /// How long a suspect has to refute the suspicion before it is considered dead.
    pub suspicion_timeout: Duration,
    /// Number of nodes that are asked to probe a peer that did not ack.
    pub indirect_probes: usize,
    /// One in this many probes and gossip messages goes to another region, because traffic between
    /// regions is billed.
    pub cross_region_every: u32,
    /// Time between two rounds of gossip while there are updates to send.
    pub gossip_interval: Duration,
    /// Number of peers that a round of gossip is sent to.
    pub gossip_fanout: usize,
    /// Each update is sent this many times the binary logarithm of the fleet size.
    pub retransmit_mult: u32,
    /// Minimum time between two pulls by this node. After a pull that brought news, it is only
    /// `probe_interval`.
    pub sync_interval: Duration,
    /// How long a listed peer may be dead before it is evicted.
    pub evict_after: Duration,
    /// Additional delay before each next node requests the eviction, in case the one before it
    /// could not reach the log.
    pub evict_stagger: Duration,
    /// Maximum number of evictions that this node requests per minute.
    pub evictions_per_minute: usize,
    /// How long a dead peer that is not listed is remembered.
    pub forget_after: Duration,
    /// Maximum number of peers in the table. Peers on the log's roster are added beyond it, peers
    /// known only from updates are not.
    pub max_peers: usize,
    /// Seed of the random choice of peers.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(250),
            suspicion_timeout: Duration::from_secs(3),
            indirect_probes: 3,
            cross_region_every: 8,
            gossip_interval: Duration::from_millis(200),
            gossip_fanout: 3,
            retransmit_mult: 3,
            sync_interval: Duration::from_secs(10),
            evict_after: Duration::from_secs(3),
            evict_stagger: Duration::from_secs(2),
            evictions_per_minute: 10,
            forget_after: Duration::from_secs(600),
            max_peers: 4096,
            seed: 0,
        }
    }
}
