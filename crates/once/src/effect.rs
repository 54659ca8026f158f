//! What a home tells its driver.

use proto::Instance;
use proto::KeyHash;
use proto::KeyRecord;
use proto::LeaseMessage;
use proto::Reason;
use proto::Response;
use proto::SlotTransfer;
use std::net::SocketAddr;

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a lease message, as a datagram.
    SendLease {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: LeaseMessage,
    },
    /// Send a slot's records to its next home.
    SendTransfer {
        /// To whom.
        to: Instance,
        /// What.
        transfer: SlotTransfer,
    },
    /// Tell the giver that a slot has arrived.
    AckTransfer {
        /// To whom.
        to: Instance,
        /// The slot.
        slot: u16,
        /// The view that moved it.
        view: u64,
    },
    /// Send the end of a run to the home that its record moved to.
    SendFinished {
        /// To whom.
        to: Instance,
        /// What.
        record: KeyRecord,
    },
    /// Tell the sender of a [`Effect::SendFinished`] that it is in the records.
    AckFinished {
        /// To whom.
        to: Instance,
        /// The key.
        key: KeyHash,
    },
    /// A slot has arrived here or has gone; calls that were held for it shall begin again.
    MoveEnded(u16),
    /// The lease was won; all calls that were held shall begin again.
    LeaseAcquired,
    /// A run at another node has ended; calls that wait for it shall begin again.
    RemoteRunEnded(KeyHash),
    /// A queued run shall be taken out of the queue: its slot moves. It did not run.
    CancelQueued(KeyHash),
    /// Somebody knows a newer view: read the log.
    ViewOutdated,
    /// The log's views left this incarnation out, and all its slots are handed over or given up. It
    /// shall go on as a new incarnation.
    Expelled,
    /// An invariant does not hold. This is a bug; production logs it and goes on.
    InvariantViolation(InvariantViolation),
}

/// An invariant that does not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvariantViolation {
    /// A record would have moved backwards, or two homes ran the same key.
    RecordRegressed(KeyHash),
    /// A run ended that was not in flight.
    RunNotInFlight(KeyHash),
    /// A slot was to be given that never was here.
    SlotNotHeld(u16),
}

/// What a call with a key gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginResult {
    /// No run with this key was ever started, and the record says that one is queued here. Call
    /// [`crate::Home::start`] just before it runs, and [`crate::Home::finish`] in any case.
    Start,
    /// A run is queued or under way, here or at an earlier home; wait for its end, or for
    /// [`Effect::RemoteRunEnded`].
    Attach,
    /// It ended with this response.
    Done(Response),
    /// The slot or the lease is on its way; ask again on [`Effect::MoveEnded`] and
    /// [`Effect::LeaseAcquired`], or say that it did not run.
    Wait,
    /// It did not run, for this reason.
    NotRun(Reason),
    /// It may have run.
    Unknown,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// With a whole response.
    Done(Response),
    /// It certainly did not run, and the key may be used again.
    NotRun,
    /// Nobody can tell.
    Unknown,
}
