//! What nodes say to each other over TCP.

use crate::ActionId;
use crate::Answer;
use crate::CallId;
use crate::Class;
use crate::Fingerprint;
use crate::Incarnation;
use crate::KeyHash;
use crate::KeyRecord;
use crate::Request;
use crate::SlotTransfer;
use crate::SyncProgress;
use bytes::Bytes;
use stdx::data;
use stdx::plain;

/// The version of frames and datagrams; others are refused and counted.
pub const PROTOCOL_VERSION: u16 = 5;

data! {
    /// One frame. The shell adds the length in front.
    pub enum Frame {
        /// The first frame each way.
        Hello {
            /// [`PROTOCOL_VERSION`] of the sender.
            version: u16,
            /// The sender.
            from: Incarnation,
            /// The receiver that the sender expects; a newer incarnation at that address says so
            /// by its own `Hello` and the connection is closed.
            to: Option<Incarnation>,
        },
        /// Asks whether the other end still hears; sent when nothing else was.
        Ping(u64),
        /// Answers a [`Frame::Ping`].
        Pong(u64),
        /// A call. A second one with the same id attaches to the first.
        Call(Box<Call>),
        /// The end of the call with this id.
        Answer(CallId, Box<Answer>),
        /// The caller has gone: work that may be cancelled is.
        Cancel(CallId),
        /// A slot of the key space changes hands.
        Transfer(Box<SlotTransfer>),
        /// The slot's new holder has it.
        TransferAck {
            /// The slot.
            slot: u16,
            /// The view that moved it.
            view: u64,
        },
        /// The sender's backend server broke off while this request ran: to the nodes of the
        /// service, so that a request that crashes servers is soon refused by all of them.
        CrashReport {
            /// The service.
            service: std::sync::Arc<str>,
            /// The request.
            request: Fingerprint,
            /// How often it did so at the sender.
            crashes: u32,
        },
        /// A run has ended whose record moved to the receiver while it was under way.
        RunFinished(Box<KeyRecord>),
        /// The receiver of [`Frame::RunFinished`] has put it in its records.
        RunFinishedAck(KeyHash),
        /// Asks for what the receiver knows beyond this, from a node that the store does not answer.
        FetchState(SyncProgress),
        /// The receiver's state, encoded by the journal package.
        State(Bytes),
        /// Asks for the status page; from the operator's tool.
        FetchStatus,
        /// The status page: lines of a key and a value.
        Status(Bytes),
        /// The call with this id runs and has no answer after a time after which others do.
        SlowCall(CallId),
    }
}

plain! {
    /// What the receiver of a call is asked to be.
    #[derive(Hash)]
    pub enum CallRole {
        /// Run the call on the receiver's own backend server. If it is not idempotent, the sender
        /// owns it, and gives it to no other node unless this one says that it did not run.
        Serve,
        /// Be the home of the call's key: check the records, then run it.
        Home,
    }
}

data! {
    /// A call from node to node.
    pub struct Call {
        /// Never reused; the same id means the same call.
        pub id: CallId,
        /// The customer's action.
        pub action: ActionId,
        /// The action's random value for admission, the same at every hop.
        pub admission_sample: u16,
        /// The admission level that the action passed at its first hop, so that a service below can
        /// tell from what comes how much would come if nothing were shed.
        pub passed_level: u16,
        /// What the receiver is asked to be.
        pub role: CallRole,
        /// What the action is for: that of the first call of the tree that is protected, so that a
        /// lookup that an order needs is not shed with other lookups.
        pub class: Class,
        /// How urgent the action is among those of its class; 0 is the most urgent.
        pub priority: u8,
        /// Milliseconds that are left for the answer.
        pub remaining_ms: u32,
        /// Retries lent to this call and all below it.
        pub retry_allowance: u16,
        /// The work below may have been done before, because an answer was lost: each child call
        /// counts as a retry.
        pub possible_repeat: bool,
        /// Running it twice is the same as running it once.
        pub idempotent: bool,
        /// The key, for non-idempotent calls that have a home.
        pub key: Option<(KeyHash, Fingerprint)>,
        /// The sender knows that no attempt with this key was ever made before.
        pub first_attempt: bool,
        /// How many calls are above this one.
        pub depth: u8,
        /// What is asked.
        pub request: Request,
    }
}
