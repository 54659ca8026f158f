//! Load reports: of this node, and of its peers.

use crate::Effect;
use crate::Membership;
use proto::Incarnation;
use proto::LoadReport;
use rand::seq::index;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

impl Membership {
    /// Sets the load that this node reports from now on.
    pub fn set_load(&mut self, load: LoadReport) {
        self.load = load;
    }

    /// Records a load report that came with an answer.
    pub fn on_load_report(&mut self, now: Time, from: Incarnation, load: LoadReport) {
        if let Some(entry) = self.peers.get_mut(&from) {
            entry.peer.load = load;
            entry.last_heard = Some(now);
        }
    }

    /// The loads of the peers that may be given new work for `service` and that this node has
    /// received a message from within `max_age`.
    pub fn recent_loads<'a>(
        &'a self,
        now: Time,
        service: &'a str,
        max_age: Duration,
    ) -> impl Iterator<Item = LoadReport> + 'a {
        let peers = self.usable_peers(service);
        peers.filter_map(move |peer| {
            let entry = self.peers.get(&peer.instance.incarnation)?;
            let is_recent = now.since(entry.last_heard?) <= max_age;
            is_recent.then_some(peer.load)
        })
    }

    /// Pings up to `count` random peers that may be given new work for `service`, to learn their
    /// loads sooner than by the regular probes.
    pub fn query_loads(&mut self, service: &str, count: usize) -> Vec<Effect> {
        let peers = self.usable_peers(service);
        let addrs: Vec<SocketAddr> = peers.map(|peer| peer.instance.addr).collect();
        let chosen = index::sample(&mut self.rng, addrs.len(), count.min(addrs.len()));
        for index in chosen {
            self.ping(addrs[index]);
        }
        std::mem::take(&mut self.effects)
    }
}
