//! Random selection of peers, mostly in the same region.

use crate::members::Membership;
use crate::peer::PeerEntry;
use proto::Incarnation;
use proto::Instance;
use proto::PeerState;
use rand::RngExt;
use std::net::SocketAddr;

/// Number of random draws before the whole table is scanned.
const MAX_RANDOM_DRAWS: usize = 16;

impl Membership {
    pub(crate) fn is_same_region(&self, instance: &Instance) -> bool {
        instance.region == self.me.region
    }

    /// The address of a random peer that `accepts` returns true for.
    pub(crate) fn pick_peer(&mut self, accepts: impl Fn(&PeerEntry) -> bool) -> Option<SocketAddr> {
        let len = self.peers.len();
        for _ in 0..MAX_RANDOM_DRAWS.min(len) {
            let (_, entry) = self.peers.get_index(self.rng.random_range(0..len))?;
            if accepts(entry) {
                return Some(entry.peer.instance.addr);
            }
        }
        // Few peers are acceptable. Scanning from a random entry finds one of them.
        let start = self.rng.random_range(0..len.max(1));
        let indices = (start..len).chain(0..start);
        let mut entries = indices.filter_map(|index| self.peers.get_index(index));
        entries
            .find(|(_, entry)| accepts(entry))
            .map(|(_, entry)| entry.peer.instance.addr)
    }

    /// A random live peer for gossip or an indirect probe. It is in this node's region, except for
    /// one in `cross_region_every`.
    pub(crate) fn pick_live_peer(&mut self, excluded: Option<Incarnation>) -> Option<SocketAddr> {
        let cross_region = self.rng.random_ratio(1, self.cfg.cross_region_every.max(1));
        let region = self.me.region.clone();
        let is_candidate = |entry: &PeerEntry| {
            entry.peer.state == PeerState::Alive
                && !entry.retired
                && Some(entry.peer.instance.incarnation) != excluded
        };
        self.pick_peer(|entry| {
            is_candidate(entry) && (entry.peer.instance.region == region) != cross_region
        })
        .or_else(|| self.pick_peer(is_candidate))
    }

    /// Up to `count` different addresses from [`Membership::pick_live_peer`].
    pub(crate) fn pick_live_peers(
        &mut self,
        count: usize,
        excluded: Option<Incarnation>,
    ) -> Vec<SocketAddr> {
        let mut addrs = Vec::with_capacity(count);
        for _ in 0..count * 2 {
            match self.pick_live_peer(excluded) {
                Some(addr) if addrs.len() < count && !addrs.contains(&addr) => {
                    addrs.push(addr);
                }
                _ => {}
            }
        }
        addrs
    }
}
