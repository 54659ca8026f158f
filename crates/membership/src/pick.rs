//! Random choices among peers, near ones mostly.

use crate::members::Membership;
use crate::table::Entry;
use proto::Incarnation;
use proto::Instance;
use proto::PeerState;
use rand::RngExt;
use std::net::SocketAddr;

/// How many entries are looked at before the whole table is.
const DRAWS: usize = 16;

impl Membership {
    pub(crate) fn is_near(&self, instance: &Instance) -> bool {
        instance.region == self.me.region
    }

    /// The address of a random peer of which `fits` holds.
    pub(crate) fn pick(&mut self, fits: impl Fn(&Entry) -> bool) -> Option<SocketAddr> {
        let len = self.peers.len();
        for _ in 0..DRAWS.min(len) {
            let (_, entry) = self.peers.get_index(self.rng.random_range(0..len))?;
            if fits(entry) {
                return Some(entry.peer.instance.addr);
            }
        }
        // The peers that fit are few. Scanning from a random entry on finds one of them.
        let start = self.rng.random_range(0..len.max(1));
        let indices = (start..len).chain(0..start);
        let mut entries = indices.filter_map(|index| self.peers.get_index(index));
        entries
            .find(|(_, entry)| fits(entry))
            .map(|(_, entry)| entry.peer.instance.addr)
    }

    /// A random peer for gossip or an indirect probe: near, but for one in so many.
    pub(crate) fn pick_helper(&mut self, except: Option<Incarnation>) -> Option<SocketAddr> {
        let far = self.rng.random_ratio(1, self.cfg.cross_region_every.max(1));
        let region = self.me.region.clone();
        let fits = |entry: &Entry| {
            entry.peer.state == PeerState::Alive
                && !entry.gone
                && Some(entry.peer.instance.incarnation) != except
        };
        self.pick(|entry| fits(entry) && (entry.peer.instance.region == region) != far)
            .or_else(|| self.pick(fits))
    }

    /// Up to `count` different addresses from [`Membership::pick_helper`].
    pub(crate) fn pick_helpers(
        &mut self,
        count: usize,
        except: Option<Incarnation>,
    ) -> Vec<SocketAddr> {
        let mut helpers = Vec::with_capacity(count);
        for _ in 0..count * 2 {
            match self.pick_helper(except) {
                Some(addr) if helpers.len() < count && !helpers.contains(&addr) => {
                    helpers.push(addr);
                }
                _ => {}
            }
        }
        helpers
    }
}
