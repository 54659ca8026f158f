//! Digests of the table, by which two nodes find out cheaply that they differ, and where.
//!
//! Rumours are sent a limited number of times, so a node that was cut off, or that joined on the
//! other side of a cut, would never be heard of again. Every probe carries a digest; nodes that
//! differ exchange only the buckets that do.

use crate::members::Membership;
use crate::rumours::Packet;
use crate::table::Entry;
use crate::Effect;
use proto::hash64;
use proto::Incarnation;
use proto::MemberMessage;
use proto::PeerState;
use proto::PeerUpdate;
use std::net::SocketAddr;
use stdx::Time;

/// At 700 nodes a bucket fills about one datagram.
const BUCKETS: usize = 32;

/// The most datagrams that answer one pull.
const MAX_NEWS: usize = 8;

/// Digests of the buckets; rebuilt when the table has changed.
#[derive(Debug, Default)]
pub(crate) struct Digests {
    buckets: Option<[u32; BUCKETS]>,
    next_pull: Time,
}

impl Digests {
    pub(crate) fn invalidate(&mut self) {
        self.buckets = None;
    }
}

impl Membership {
    /// The digest that goes on every probe.
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
        // The dead are forgotten at different times and stay out; so do suspicions, which pass.
        for (incarnation, entry) in &self.peers {
            if !entry.gone && !entry.is_dead() {
                add(*incarnation, entry.peer.state);
            }
        }
        self.digests.buckets = Some(buckets);
        buckets
    }

    /// Asks for the difference, not more often than is due.
    pub(crate) fn compare(&mut self, now: Time, with: SocketAddr, digest: u64) {
        if now < self.digests.next_pull || digest == self.digest() {
            return;
        }
        self.digests.next_pull = now + self.cfg.sync_interval;
        let digests = self.buckets().to_vec();
        self.send(with, MemberMessage::Pull { digests });
    }

    pub(crate) fn on_pull(&mut self, from: SocketAddr, digests: &[u32]) {
        let mine = self.buckets();
        let differs = |incarnation: Incarnation| {
            let bucket = bucket(incarnation);
            digests.get(bucket) != Some(&mine[bucket])
        };
        let about_me = Some(self.my_rumour()).filter(|_| differs(self.me.incarnation));
        let peers = self.peers.iter().filter(|(id, _)| differs(**id));
        let mut rumours: Vec<PeerUpdate> = peers.map(|(_, entry)| Entry::rumour(entry)).collect();
        // Whole buckets first, so that a pull that is cut short by the bound still makes some equal.
        rumours.sort_by_key(|rumour| bucket(rumour.instance.incarnation));
        let mut packets = vec![Packet::default()];
        for rumour in about_me.into_iter().chain(rumours) {
            let last = packets.len() - 1;
            if !packets[last].add(rumour.clone()) {
                if packets.len() == MAX_NEWS {
                    break;
                }
                packets.push(Packet::default());
                packets[last + 1].add(rumour);
            }
        }
        for Packet { rumours, .. } in packets {
            self.send(from, MemberMessage::PullReply { updates: rumours });
        }
    }

    /// Takes what a pull brought. There may be more: the next difference is asked for soon.
    pub(crate) fn on_news(&mut self, now: Time, rumours: &[PeerUpdate]) {
        let before = self.effects.len();
        self.hear_all(now, rumours);
        let learned = self.effects[before..]
            .iter()
            .any(|effect| matches!(effect, Effect::PeerChanged { .. }));
        if learned {
            self.digests.next_pull = now + self.cfg.probe_interval;
        }
    }
}

fn bucket(incarnation: Incarnation) -> usize {
    (incarnation.0 % BUCKETS as u64) as usize
}
