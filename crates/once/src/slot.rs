//! One slot's way from home to home.

use indexmap::IndexMap;
use proto::Incarnation;
use proto::Instance;
use proto::KeyRecord;
use proto::SlotTransfer;
use std::collections::VecDeque;
use stdx::Time;

/// What this node holds of a slot, and what has to happen before anyone else may.
#[derive(Debug, Default)]
pub(crate) struct Slot {
    /// Set while this node has all that is known of the slot's keys.
    pub(crate) held: Option<Held>,
    /// Moves of the slot from or to this node that are not over, in the order of views.
    pub(crate) moves: VecDeque<Move>,
}

/// How much of the slot's past is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Held {
    /// Until then, keys without a record may have run all the same.
    pub(crate) doubt_until: Time,
    /// The view whose move ended in doubt. The records may still come late.
    pub(crate) doubted: Option<u64>,
}

impl Held {
    /// All is known.
    pub(crate) const CERTAIN: Held = Held {
        doubt_until: Time::ZERO,
        doubted: None,
    };
}

/// A view moves the slot.
#[derive(Debug)]
pub(crate) enum Move {
    /// To this node.
    Receive(Receive),
    /// From this node.
    Give(Give),
}

/// A slot that this node waits for.
#[derive(Debug)]
pub(crate) struct Receive {
    pub(crate) view: u64,
    /// Who gives it; nobody after an empty view.
    pub(crate) from: Option<Incarnation>,
    pub(crate) since: Time,
    /// From then on a fence is as good as the transfer.
    pub(crate) lost: Option<Time>,
    /// How many parts there are.
    pub(crate) expected: Option<u16>,
    /// Until when the giver is in doubt itself.
    pub(crate) doubt_until: Time,
    /// What has come, by part.
    pub(crate) parts: IndexMap<u16, Vec<KeyRecord>>,
}

/// A slot that this node has to pass on.
#[derive(Debug)]
pub(crate) struct Give {
    pub(crate) view: u64,
    pub(crate) to: Instance,
    /// The transfer, made once all before it is over.
    pub(crate) parts: Vec<SlotTransfer>,
    pub(crate) send_at: Time,
    /// When to give up, because the receiver has gone.
    pub(crate) lost: Option<Time>,
}

impl Slot {
    /// Whether work may start in the slot, as far as its way is concerned.
    pub(crate) fn is_ready(&self) -> bool {
        self.held.is_some() && self.moves.is_empty()
    }

    /// The move to this node by `view`, while it is not over.
    pub(crate) fn receive(&mut self, view: u64) -> Option<&mut Receive> {
        self.moves.iter_mut().find_map(|step| match step {
            Move::Receive(receive) if receive.view == view => Some(receive),
            _ => None,
        })
    }

    /// The move from this node that is next, if all before it is over.
    pub(crate) fn giving(&mut self) -> Option<&mut Give> {
        match self.moves.front_mut() {
            Some(Move::Give(give)) => Some(give),
            _ => None,
        }
    }
}
