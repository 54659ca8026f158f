//! Selects the nodes that read the store on behalf of their failure domain.
//!
//! Each call to the store is billed. If every node read it, a new configuration would cost one call
//! per machine of the fleet. If a few nodes of each failure domain read it and tell the others, it
//! costs one call for each of those. A domain that is partitioned from the others but not from the
//! store still has readers of its own.
//!
//! A pending read may be lost without an error, on all connections to the store at once. A few
//! readers of the whole fleet, the monitors, therefore begin a new read at short intervals. Their
//! number does not grow with the fleet.

use crate::Membership;
use crate::Peer;
use indexmap::IndexMap;
use indexmap::IndexSet;
use proto::Instance;
use proto::PeerState;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::plain;
use stdx::Time;

/// Nodes of a failure domain that read the store. With only one, its loss would leave the domain
/// dependent on other domains until the loss is detected.
const STORE_READERS_PER_DOMAIN: usize = 2;

/// Readers of the whole fleet that begin a new read at short intervals. They belong to different
/// failure domains as far as possible.
const MONITORS: usize = 2;

/// A node that has received no message from another node for this long reads the store itself,
/// because it may be partitioned from the others but not from the store. Each node probes one other
/// node per second, and is probed about as often.
const ISOLATED_AFTER: Duration = Duration::from_millis(1500);

/// How long after its start a node is no reader of the store. It knows few others yet; if it
/// decided by those, nearly all nodes of a fleet that starts at once would read the store.
const STARTUP_GRACE: Duration = Duration::from_secs(2);

plain! {
    /// How a node gets new content from the store.
    pub enum StoreRole {
        /// From its peers.
        Follower,
        /// It reads the store for its failure domain.
        Reader,
        /// It reads the store, and begins a new read at short intervals, so that a read that was
        /// lost delays new content only for a short time.
        Monitor,
    }
}

impl Membership {
    /// This node's role as far as it knows. Nodes that know different peers may decide differently;
    /// until they agree, more or fewer nodes read the store.
    pub fn store_role(&self, now: Time) -> StoreRole {
        let started = self.started_at.unwrap_or(now);
        if now.since(started) < STARTUP_GRACE {
            return StoreRole::Follower;
        }
        let isolated = self
            .last_message_at
            .is_none_or(|at| now.since(at) >= ISOLATED_AFTER);
        if isolated {
            return StoreRole::Monitor;
        }
        let lower_in_domain = self.live_lower_incarnations_in_domain();
        if self.leaving || lower_in_domain >= STORE_READERS_PER_DOMAIN {
            return StoreRole::Follower;
        }
        match self.preceding_monitors(lower_in_domain) < MONITORS {
            true => StoreRole::Monitor,
            false => StoreRole::Reader,
        }
    }

    /// Number of readers that come before this node when monitors are selected: the readers with
    /// the lowest incarnation of each failure domain first, ordered by incarnation.
    fn preceding_monitors(&self, lower_in_domain: usize) -> usize {
        let others = self.peers().filter(|peer| {
            peer.state == PeerState::Alive
                && peer.instance.failure_domain != self.me.failure_domain
                && (lower_in_domain > 0 || peer.instance.incarnation < self.me.incarnation)
        });
        let domains: IndexSet<&str> = others.map(|peer| &*peer.instance.failure_domain).collect();
        lower_in_domain + domains.len()
    }

    /// Whether this node regularly asks the store for the newest rules version on behalf of its
    /// failure domain. One node per domain does, so that the number of queries grows with the
    /// number of failure domains rather than nodes.
    pub fn is_domain_leader(&self, now: Time) -> bool {
        let is_settled = self
            .started_at
            .is_some_and(|started| now.since(started) >= STARTUP_GRACE);
        is_settled && !self.leaving && self.live_lower_incarnations_in_domain() == 0
    }

    /// The `nth` live peer of this node's failure domain, ordered by incarnation.
    pub fn domain_leader_candidate(&self, nth: usize) -> Option<&Instance> {
        let mut peers: Vec<&Instance> = self
            .peers()
            .filter(|peer| self.is_live_in_own_domain(peer))
            .map(|peer| &peer.instance)
            .collect();
        peers.sort_unstable_by_key(|peer| peer.incarnation);
        peers.get(nth).copied()
    }

    /// The addresses of the nodes that read the store in the other failure domains.
    pub fn readers_of_other_domains(&self) -> Vec<SocketAddr> {
        let mut others: Vec<&Instance> = self
            .peers()
            .filter(|peer| peer.state == PeerState::Alive)
            .map(|peer| &peer.instance)
            .filter(|instance| instance.failure_domain != self.me.failure_domain)
            .collect();
        others.sort_unstable_by_key(|instance| instance.incarnation);
        let mut readers: IndexMap<&str, usize> = IndexMap::new();
        others.retain(|instance| {
            let known = readers.entry(&instance.failure_domain).or_default();
            *known += 1;
            *known <= STORE_READERS_PER_DOMAIN
        });
        others.iter().map(|instance| instance.addr).collect()
    }

    fn is_live_in_own_domain(&self, peer: &Peer) -> bool {
        peer.state == PeerState::Alive && peer.instance.failure_domain == self.me.failure_domain
    }

    /// Number of live peers of this node's failure domain that have a lower incarnation.
    fn live_lower_incarnations_in_domain(&self) -> usize {
        let peers = self.peers().filter(|peer| {
            self.is_live_in_own_domain(peer) && peer.instance.incarnation < self.me.incarnation
        });
        peers.count()
    }
}
