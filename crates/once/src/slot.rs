//! State of one slot as it moves between homes.

use indexmap::IndexMap;
use proto::Incarnation;
use proto::Instance;
use proto::KeyRecord;
use proto::SlotTransfer;
use std::collections::VecDeque;
use stdx::Time;

/// Whether this node holds a slot, and the moves that must end before the slot is ready.
#[derive(Debug, Default)]
pub(crate) struct Slot {
    /// Set while this node holds the slot, i.e. has all known records of its keys.
    pub(crate) held: Option<Holding>,
    /// Pending moves of the slot to or from this node, in the order of their views.
    pub(crate) moves: VecDeque<Move>,
    /// The end of the last hold of a refused key. The slot is not transferred before, because its
    /// next home does not know the refused keys.
    pub(crate) refusals_held_until: Time,
}

/// How complete the records of a held slot are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Holding {
    /// Until this time, keys without a record may have run nevertheless.
    pub(crate) uncertain_until: Time,
    /// The view in which the slot was taken over without its records. They may still arrive late.
    pub(crate) takeover_view: Option<u64>,
}

impl Holding {
    /// The records are complete.
    pub(crate) const CERTAIN: Holding = Holding {
        uncertain_until: Time::ZERO,
        takeover_view: None,
    };
}

/// A move of the slot caused by a change of view.
#[derive(Debug)]
pub(crate) enum Move {
    /// To this node.
    Incoming(IncomingMove),
    /// From this node.
    Outgoing(OutgoingMove),
}

/// A move of a slot to this node.
#[derive(Debug)]
pub(crate) struct IncomingMove {
    pub(crate) view: u64,
    /// The previous home; `None` after a view without members.
    pub(crate) from: Option<Incarnation>,
    pub(crate) started_at: Time,
    /// From this time on, the slot is taken over without a transfer once all earlier views are
    /// fenced.
    pub(crate) peer_lost_at: Option<Time>,
    /// Total number of parts, once known.
    pub(crate) expected_parts: Option<u16>,
    /// Until this time, keys without a record may have run nevertheless, as reported by the
    /// previous home.
    pub(crate) uncertain_until: Time,
    /// The parts received so far, by number.
    pub(crate) parts: IndexMap<u16, Vec<KeyRecord>>,
}

/// A move of a slot away from this node.
#[derive(Debug)]
pub(crate) struct OutgoingMove {
    pub(crate) view: u64,
    pub(crate) to: Instance,
    /// The parts of the transfer, built once all earlier moves have ended.
    pub(crate) parts: Vec<SlotTransfer>,
    pub(crate) send_at: Time,
    /// When to give up the move, because the new home is gone.
    pub(crate) peer_lost_at: Option<Time>,
}

impl Slot {
    /// Whether runs may start as far as the slot is concerned: it is held and no move is pending.
    pub(crate) fn is_ready(&self) -> bool {
        self.held.is_some() && self.moves.is_empty()
    }

    /// The pending move to this node that was caused by `view`.
    pub(crate) fn incoming(&mut self, view: u64) -> Option<&mut IncomingMove> {
        self.moves.iter_mut().find_map(|pending| match pending {
            Move::Incoming(incoming) if incoming.view == view => Some(incoming),
            _ => None,
        })
    }

    /// The next pending move, if it is from this node.
    pub(crate) fn next_outgoing(&mut self) -> Option<&mut OutgoingMove> {
        match self.moves.front_mut() {
            Some(Move::Outgoing(outgoing)) => Some(outgoing),
            _ => None,
        }
    }
}
