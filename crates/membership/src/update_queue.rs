//! Queue of the updates to send with the next messages.

use indexmap::IndexMap;
use proto::Incarnation;
use proto::PeerUpdate;

/// Maximum size of the updates in one datagram. Together with the rest of the message, a datagram
/// stays below 1,200 bytes, which common network paths do not fragment.
const MAX_UPDATE_BYTES: usize = 1000;

/// Peers with pending updates, and how often each update is still to be sent.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    remaining_sends: IndexMap<Incarnation, u32>,
}

impl UpdateQueue {
    /// Adds an update, replacing a pending one about the same peer.
    pub(crate) fn push(&mut self, peer: Incarnation, times: u32) {
        self.remaining_sends.insert(peer, times);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.remaining_sends.is_empty()
    }

    /// Takes the updates that fit into one datagram, those sent least often first. `lookup` returns
    /// the current state of a peer; updates about peers it no longer knows are dropped.
    pub(crate) fn take(
        &mut self,
        first: Option<PeerUpdate>,
        lookup: impl Fn(Incarnation) -> Option<PeerUpdate>,
    ) -> Vec<PeerUpdate> {
        let mut batch = UpdateBatch::default();
        if let Some(first) = first {
            batch.add(first);
        }
        let mut order: Vec<(u32, Incarnation)> = self
            .remaining_sends
            .iter()
            .map(|(peer, remaining)| (*remaining, *peer))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        for (remaining, peer) in order {
            let Some(update) = lookup(peer) else {
                self.remaining_sends.swap_remove(&peer);
                continue;
            };
            if !batch.add(update) {
                break;
            }
            if remaining <= 1 {
                self.remaining_sends.swap_remove(&peer);
            } else {
                self.remaining_sends.insert(peer, remaining - 1);
            }
        }
        batch.updates
    }
}

/// The updates of one datagram.
#[derive(Debug, Default)]
pub(crate) struct UpdateBatch {
    pub(crate) updates: Vec<PeerUpdate>,
    bytes: usize,
}

impl UpdateBatch {
    /// Adds an update. Returns `false` if it does not fit.
    pub(crate) fn add(&mut self, update: PeerUpdate) -> bool {
        let bytes = proto::encode(&update).len();
        let fits = self.bytes + bytes <= MAX_UPDATE_BYTES;
        if fits {
            self.bytes += bytes;
            self.updates.push(update);
        }
        fits
    }
}
