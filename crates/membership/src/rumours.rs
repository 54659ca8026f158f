//! News that still has to be passed on.

use indexmap::IndexMap;
use proto::Incarnation;
use proto::PeerUpdate;

/// The most bytes of rumours in one datagram; with the rest of a message it stays below 1,200
/// bytes, which no usual path fragments.
const MAX_BYTES: usize = 1000;

/// Whom there is news about, and how often it is still to be sent.
#[derive(Debug, Default)]
pub(crate) struct RumourQueue {
    left: IndexMap<Incarnation, u32>,
}

impl RumourQueue {
    /// Enters fresh news, which takes the place of older news about the same peer.
    pub(crate) fn push(&mut self, about: Incarnation, times: u32) {
        self.left.insert(about, times);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.left.is_empty()
    }

    /// Takes what fits into one datagram, the least often sent first. `whole` looks a rumour up;
    /// news about a peer that it does not know any more is dropped.
    pub(crate) fn take(
        &mut self,
        first: Option<PeerUpdate>,
        whole: impl Fn(Incarnation) -> Option<PeerUpdate>,
    ) -> Vec<PeerUpdate> {
        let mut packet = Packet::default();
        if let Some(first) = first {
            packet.add(first);
        }
        let mut order: Vec<(u32, Incarnation)> = self
            .left
            .iter()
            .map(|(about, left)| (*left, *about))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        for (left, about) in order {
            let Some(rumour) = whole(about) else {
                self.left.swap_remove(&about);
                continue;
            };
            if !packet.add(rumour) {
                break;
            }
            if left <= 1 {
                self.left.swap_remove(&about);
            } else {
                self.left.insert(about, left - 1);
            }
        }
        packet.rumours
    }
}

/// Rumours of one datagram.
#[derive(Debug, Default)]
pub(crate) struct Packet {
    pub(crate) rumours: Vec<PeerUpdate>,
    bytes: usize,
}

impl Packet {
    /// Adds a rumour; `false` if there is no room for it.
    pub(crate) fn add(&mut self, rumour: PeerUpdate) -> bool {
        let bytes = proto::encode(&rumour).len();
        let fits = self.bytes + bytes <= MAX_BYTES;
        if fits {
            self.bytes += bytes;
            self.rumours.push(rumour);
        }
        fits
    }
}
