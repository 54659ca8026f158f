//! Times and bounds.

use std::time::Duration;

/// Times and bounds; filled once and passed down.
#[derive(Debug, Clone)]
pub struct Config {
    /// The time between two probes of this node.
    pub probe_interval: Duration,
    /// How long an ack may take before others are asked to probe. They have the rest of the probe
    /// interval.
    pub ack_timeout: Duration,
    /// How long a suspect has to refute before it counts as dead.
    pub suspicion_timeout: Duration,
    /// How many others are asked to probe a peer that did not ack.
    pub indirect_probes: usize,
    /// One in so many probes and pieces of gossip goes to another region, where bytes are billed.
    pub cross_region_every: u32,
    /// The time between two rounds of gossip while there is news.
    pub gossip_interval: Duration,
    /// To how many peers a round of gossip goes.
    pub gossip_fanout: usize,
    /// Each piece of news is sent so many times the binary logarithm of the fleet's size.
    pub retransmit_mult: u32,
    /// The time between two comparisons of whole tables by this node.
    pub sync_interval: Duration,
    /// How long a peer that the log lists may be dead before it is evicted.
    pub evict_after: Duration,
    /// How much later the next member evicts, if the one before has not.
    pub evict_stagger: Duration,
    /// The most evictions by this node within a minute.
    pub evictions_per_minute: usize,
    /// How long a dead peer that the log does not list is remembered.
    pub forget_after: Duration,
    /// The most peers in the table; the log's roster goes beyond it, rumours do not.
    pub max_peers: usize,
    /// Seed for the choice of whom to probe.
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
