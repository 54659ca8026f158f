//! Effects, results and invariant violations that a [`Home`](crate::Home) reports to its driver.

use proto::Instance;
use proto::KeyHash;
use proto::KeyRecord;
use proto::LeaseMessage;
use proto::Reason;
use proto::Response;
use proto::SlotTransfer;
use std::net::SocketAddr;

/// An action for the driver to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a lease message as a datagram.
    SendLease {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: LeaseMessage,
    },
    /// Send a part of a slot's records to the next home of the slot.
    SendTransfer {
        /// The new home.
        to: Instance,
        /// The part.
        transfer: SlotTransfer,
    },
    /// Acknowledge to the previous home that a slot has been transferred completely.
    AckTransfer {
        /// The previous home.
        to: Instance,
        /// The slot.
        slot: u16,
        /// Number of the view that moved the slot.
        view: u64,
    },
    /// Send the outcome of a run to the home that its record moved to.
    SendRunFinished {
        /// The new home.
        to: Instance,
        /// The final record of the run.
        record: KeyRecord,
    },
    /// Acknowledge a [`Effect::SendRunFinished`] once its record has been stored.
    AckRunFinished {
        /// The node that executed the run.
        to: Instance,
        /// The key of the run.
        key: KeyHash,
    },
    /// A move of this slot has ended. Calls that were held for the slot must begin again.
    MoveEnded(u16),
    /// The lease was acquired. All calls that were held must begin again.
    LeaseAcquired,
    /// The time during which this key starts no run after a refusal is over. Calls with this key
    /// that were held must begin again.
    RefusalHoldEnded(KeyHash),
    /// A run on another node has ended, or this node no longer learns of its end, because the slot
    /// has moved on. Calls that wait for it must begin again.
    RemoteRunEnded(KeyHash),
    /// Remove this queued run from the queue, because its slot moves away. It did not run.
    CancelQueued(KeyHash),
    /// A peer knows a newer view. Read the log.
    ViewOutdated,
    /// The views no longer contain this incarnation, and all its slots were handed over or given
    /// up. The node must continue as a new incarnation.
    Expelled,
    /// An invariant was violated, which is a bug. A release build counts it and continues.
    InvariantViolation(InvariantViolation),
}

/// A violated invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvariantViolation {
    /// A record would have moved to an earlier state, or two homes ran the same key.
    RecordRegressed(KeyHash),
    /// A run ended that was not in flight.
    RunNotInFlight(KeyHash),
    /// A transfer was due for a slot that this node never held.
    SlotNotHeld(u16),
}

/// How to proceed with a call that has a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginResult {
    /// No run with this key was ever started. The key is now recorded as queued. Call
    /// [`crate::Home::start`] immediately before the run starts, and [`crate::Home::finish`] in any
    /// case.
    Start,
    /// A run is queued or in flight, here or at an earlier home. Wait for its outcome or for
    /// [`Effect::RemoteRunEnded`].
    Attach,
    /// The run has ended with this response.
    Done(Response),
    /// The slot or the lease is expected shortly, or another call with the key was just refused.
    /// Begin again on [`Effect::MoveEnded`], [`Effect::LeaseAcquired`] or
    /// [`Effect::RefusalHoldEnded`], or answer that the call did not run.
    Wait,
    /// The call did not run, for this reason.
    NotRun(Reason),
    /// The call may have run.
    Unknown,
}

/// The outcome of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The run completed with this response.
    Done(Response),
    /// The run certainly did not start, and the key may be used again.
    NotRun,
    /// It is not known whether the run took place.
    Unknown,
}
