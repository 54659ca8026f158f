//! Digests of the peer table, which let two nodes detect cheaply that their tables differ, and
//! where.
//!
//! Each update is sent a limited number of times, so without digests a node that was partitioned,
//! or that joined on the other side of a partition, would never become known. Every probe carries a
//! digest, and nodes whose digests differ exchange only the buckets that differ.

use crate::members::Membership;
use crate::peer::PeerEntry;
use crate::update_queue::UpdateBatch;
use crate::Effect;
use proto::hash64;
use proto::Incarnation;
use proto::MemberMessage;
use proto::PeerState;
use proto::PeerUpdate;
use std::net::SocketAddr;
use stdx::Time;

/// Number of buckets. With 700 nodes, the entries of one bucket fill about one datagram.
const BUCKETS: usize = 32;

/// Maximum number of datagrams in response to one pull.
const MAX_PULL_REPLIES: usize = 8;

/// Digests of the buckets, recomputed after the table has changed.
#[derive(Debug, Default)]
pub(crate) struct Digests {
    buckets: Option<[u32; BUCKETS]>,
    next_pull_at: Time,
}

impl Digests {
    pub(crate) fn invalidate(&mut self) {
        self.buckets = None;
    }
}

impl Membership {
    /// The digest that is sent with every probe.
    pub(crate) fn digest(&mut self) -> u64 {
        hash64(&self.buckets())
    }

    fn buckets(&mut self) -> [u32; BUCKETS] {
        if let Some(buckets) = self.digests.buckets {
            return buckets;
        }
        let mut buckets = [0; BUCKETS];
        let mut add = |incarnation: Incarnation, state: PeerState| {
            let leaving = state == PeerState::Leaving;
            buckets[bucket(incarnation)] ^= hash64(&(incarnation, leaving)) as u32;
        };
        add(self.me.incarnation, self.my_state());
        // Dead peers are left out because nodes forget them at different times, and suspicions
        // because they are temporary.
        for (incarnation, entry) in &self.peers {
            if !entry.retired && !entry.is_dead() {
                add(*incarnation, entry.peer.state);
            }
        }
        self.digests.buckets = Some(buckets);
        buckets
    }

    /// Requests the entries in differing buckets from a node with another digest, if a pull is due.
    pub(crate) fn pull_if_different(&mut self, now: Time, with: SocketAddr, digest: u64) {
        if now < self.digests.next_pull_at || digest == self.digest() {
            return;
        }
        self.digests.next_pull_at = now + self.cfg.sync_interval;
        let digests = self.buckets().to_vec();
        self.send(with, MemberMessage::Pull { digests });
    }

    pub(crate) fn on_pull(&mut self, from: SocketAddr, digests: &[u32]) {
        let mine = self.buckets();
        let differs = |incarnation: Incarnation| {
            let bucket = bucket(incarnation);
            digests.get(bucket) != Some(&mine[bucket])
        };
        let own_update = Some(self.my_update()).filter(|_| differs(self.me.incarnation));
        let peers = self.peers.iter().filter(|(id, _)| differs(**id));
        let mut updates: Vec<PeerUpdate> = peers
            .map(|(_, entry)| PeerEntry::to_update(entry))
            .collect();
        // Sorted by bucket, so that even a pull truncated by the limit makes some buckets equal.
        updates.sort_by_key(|update| bucket(update.instance.incarnation));
        let mut batches = vec![UpdateBatch::default()];
        for update in own_update.into_iter().chain(updates) {
            let last = batches.len() - 1;
            if !batches[last].add(update.clone()) {
                if batches.len() == MAX_PULL_REPLIES {
                    break;
                }
                batches.push(UpdateBatch::default());
                batches[last + 1].add(update);
            }
        }
        for UpdateBatch { updates, .. } in batches {
            self.send(from, MemberMessage::PullReply { updates });
        }
    }

    /// Applies the response to a pull. If it contained news, there may be more, so the next pull is
    /// allowed soon.
    pub(crate) fn on_pull_reply(&mut self, now: Time, updates: &[PeerUpdate]) {
        let before = self.effects.len();
        self.apply_updates(now, updates);
        let has_news = self.effects[before..]
            .iter()
            .any(|effect| matches!(effect, Effect::PeerChanged { .. }));
        if has_news {
            self.digests.next_pull_at = now + self.cfg.probe_interval;
        }
    }
}

fn bucket(incarnation: Incarnation) -> usize {
    (incarnation.0 % BUCKETS as u64) as usize
}
