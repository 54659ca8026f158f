//! Which nodes read the store for the others of their failure domain.
//!
//! Each call of the store is paid for. Read by every node, a new configuration costs a call for each
//! machine of the fleet; read by a few in each failure domain, who tell the others, it costs one for each
//! of those few. A domain that is cut off from the others but not from the store still has its own.

use crate::Membership;
use crate::Peer;
use proto::Instance;
use proto::PeerState;
use std::time::Duration;
use stdx::Time;

/// Nodes of a failure domain that read the store. With one, its loss would leave the domain to hear from
/// the others until the loss is noticed.
const WATCHERS: usize = 2;

/// A node that has heard no other for this long reads the store itself: it may be cut off from the others
/// and not from the store. Each node probes one other a second, and is probed about as often.
const ALONE_AFTER: Duration = Duration::from_millis(1500);

/// A node that has just started knows few others yet. Were it to go by those, nearly all nodes of a fleet
/// that starts at once would read.
const SETTLED_AFTER: Duration = Duration::from_secs(2);

impl Membership {
    /// Whether this node reads the store, as far as it knows. Nodes that know different peers may decide
    /// differently; more or fewer of them read then, until they agree.
    pub fn is_store_reader(&self, now: Time) -> bool {
        let started = self.started.unwrap_or(now);
        if now.since(started) < SETTLED_AFTER {
            return false;
        }
        let alone = self.heard_at.is_none_or(|at| now.since(at) >= ALONE_AFTER);
        alone || (!self.leaving && self.lower_of_domain() < WATCHERS)
    }

    /// Whether this node asks the store on behalf of its failure domain. One does, so that the number of
    /// questions grows with the failure domains and not with the nodes.
    pub fn is_domain_leader(&self, now: Time) -> bool {
        let settled = self
            .started
            .is_some_and(|started| now.since(started) >= SETTLED_AFTER);
        settled && !self.leaving && self.lower_of_domain() == 0
    }

    /// The live peer of the own failure domain that comes `nth` in the order of incarnations.
    pub fn domain_leader_candidate(&self, nth: usize) -> Option<&Instance> {
        let mut peers: Vec<&Instance> = self
            .peers()
            .filter(|peer| self.is_live_neighbour(peer))
            .map(|peer| &peer.instance)
            .collect();
        peers.sort_unstable_by_key(|peer| peer.incarnation);
        peers.get(nth).copied()
    }

    fn is_live_neighbour(&self, peer: &Peer) -> bool {
        peer.state == PeerState::Alive && peer.instance.failure_domain == self.me.failure_domain
    }

    /// Live peers of the own failure domain whose incarnations are below the own one.
    fn lower_of_domain(&self) -> usize {
        let peers = self.peers().filter(|peer| {
            self.is_live_neighbour(peer) && peer.instance.incarnation < self.me.incarnation
        });
        peers.count()
    }
}
