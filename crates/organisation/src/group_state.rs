//! The lender of a group of organisations as seen by a borrower.

use indexmap::IndexMap;
use proto::Incarnation;
use proto::TokenDemand;
use std::time::Duration;
use stdx::BoundedMap;
use stdx::Time;

/// How long a lost lender is avoided, and how many such lenders are remembered.
const AVOID_DURATION: Duration = Duration::from_secs(3);
const MAX_AVOIDED: usize = 64;

#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) sent_at: Time,
    /// Whether an answer or a timeout counts for the current lender; `false` once the lender has
    /// changed.
    pub(crate) is_to_current_lender: bool,
    pub(crate) wanted: Vec<TokenDemand>,
}

/// The lender of a group as seen by this node, and the state of requests to it.
#[derive(Debug)]
pub(crate) struct GroupState {
    pub(crate) lender: Option<Incarnation>,
    /// The last stamp received from the lender; 0 if none.
    pub(crate) stamp: u64,
    /// The lender that has this node's vote, and the time until which no other may get it.
    pub(crate) committed_vote: Option<(Incarnation, Time)>,
    pub(crate) vote_due: Time,
    pub(crate) in_flight: IndexMap<u64, PendingRequest>,
    pub(crate) timeouts: u32,
    /// Lenders considered lost, with the time until which they are avoided.
    pub(crate) avoided: BoundedMap<Incarnation, Time>,
    /// A pool of the group may need tokens at once.
    pub(crate) urgent: bool,
    /// When a pool of the group may request tokens again after its lender had too few.
    pub(crate) retry_at: Option<Time>,
}

impl GroupState {
    pub(crate) fn new() -> Self {
        Self {
            lender: None,
            stamp: 0,
            committed_vote: None,
            vote_due: Time::ZERO,
            in_flight: IndexMap::new(),
            timeouts: 0,
            avoided: BoundedMap::new(MAX_AVOIDED),
            urgent: false,
            retry_at: None,
        }
    }

    pub(crate) fn avoid(&mut self, now: Time, lender: Incarnation) {
        self.avoided.insert(lender, now + AVOID_DURATION);
        self.vote_due = now;
    }

    pub(crate) fn set_lender(&mut self, lender: Option<Incarnation>) {
        if self.lender != lender {
            // Timeouts of requests to the previous lender must not count against this one.
            for request in self.in_flight.values_mut() {
                request.is_to_current_lender = false;
            }
            self.lender = lender;
            self.stamp = 0;
            self.timeouts = 0;
            self.vote_due = Time::ZERO;
        }
    }
}
