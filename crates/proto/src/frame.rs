//! Messages between nodes over TCP.

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

/// Version of frames and datagrams. Messages of other versions are rejected and counted.
pub const PROTOCOL_VERSION: u16 = 6;

data! {
    /// A message on a TCP connection between nodes. The transport adds the length prefix.
    pub enum Frame {
        /// The first frame in each direction.
        Hello {
            /// The sender's [`PROTOCOL_VERSION`].
            version: u16,
            /// The sender.
            from: Incarnation,
            /// The receiver that the sender expects. If another incarnation runs at that address,
            /// its own `Hello` reveals that and the connection is closed. `None` if the sender
            /// makes a single request, [`Frame::FetchState`] or [`Frame::FetchStatus`], to
            /// whichever incarnation answers; no link is set up.
            to: Option<Incarnation>,
        },
        /// Keepalive; sent when the connection was otherwise idle.
        Ping(u64),
        /// Answers a [`Frame::Ping`].
        Pong(u64),
        /// A call. A second frame with the same id attaches to the call in progress.
        Call(Box<Call>),
        /// The answer to the call with this id.
        Answer(CallId, Box<Answer>),
        /// The caller disconnected; work that can be cancelled is cancelled.
        Cancel(CallId),
        /// Transfers a slot of the key space to its new home node.
        Transfer(Box<SlotTransfer>),
        /// The new home node has received the whole slot.
        TransferAck {
            /// The slot.
            slot: u16,
            /// The view that moved the slot.
            view: u64,
        },
        /// The sender's backend server crashed while running this request. Sent to the nodes of the
        /// service, so that all of them soon refuse a request that crashes servers.
        CrashReport {
            /// The service.
            service: std::sync::Arc<str>,
            /// The request.
            request: Fingerprint,
            /// Number of crashes at the sender.
            crashes: u32,
        },
        /// A run has ended whose record was transferred to the receiver while it was in progress.
        RunFinished(Box<KeyRecord>),
        /// The receiver of [`Frame::RunFinished`] has stored the record.
        RunFinishedAck(KeyHash),
        /// Requests the receiver's state if that is ahead of this progress. Sent by a node that
        /// does not or cannot read it from the store.
        FetchState(SyncProgress),
        /// Answers [`Frame::FetchState`] with the sender's encoded `bilberry_journal::State`.
        State(Bytes),
        /// Requests the status page; sent by `bilberryctl`.
        FetchStatus,
        /// Answers [`Frame::FetchStatus`] with the status page, as lines of a key and a value.
        Status(Bytes),
        /// The call with this id is running and has exceeded the usual latency of its operation, so
        /// the caller may send a second attempt elsewhere.
        SlowCall(CallId),
    }
}

plain! {
    /// The role that the sender of a call assigns to the receiver.
    #[derive(Hash)]
    pub enum CallRole {
        /// Run the call on the receiver's own backend server. For a non-idempotent call, the sender
        /// does not try another node unless the receiver reports that the call was not run.
        Serve,
        /// Act as the home node of the call's key: check the key's record first, then run the call.
        Home,
        /// As `Home`, for a retry after the receiver refused this earlier attempt. The sender has
        /// not passed that refusal on to its caller and will not do so.
        HomeRetry(CallId),
    }
}

data! {
    /// A call from one node to another.
    pub struct Call {
        /// Unique; frames with the same id refer to the same call.
        pub id: CallId,
        /// The customer action that this call is part of.
        pub action: ActionId,
        /// A value drawn at random for the action, the same at every hop. Comparing it
        /// with admission levels decides whether the action is admitted or shed.
        pub admission_sample: u16,
        /// The admission level that the action passed at its entry node. Services further down
        /// the call tree use it to estimate how much load they would have if no action had been
        /// shed.
        pub passed_level: u16,
        /// The role of the receiver.
        pub role: CallRole,
        /// The class of the action: that of the first protected call in the tree. A lookup made on
        /// behalf of an order is thus not shed with ordinary lookups.
        pub class: Class,
        /// Priority among actions of the same class; 0 is the most urgent.
        pub priority: u8,
        /// Time left until the deadline, in milliseconds.
        pub remaining_ms: u32,
        /// Time left until the latency objective of the action ends, in milliseconds; 0 after that.
        /// `None` if the sender's rules do not schedule by slack.
        pub objective_ms: Option<u32>,
        /// Number of retries that this call and all calls below it may use.
        pub retry_allowance: u16,
        /// An earlier attempt whose answer was lost may have made the same child calls, so each
        /// child call counts as a retry.
        pub possible_repeat: bool,
        /// Running the call twice has the same effect as running it once.
        pub idempotent: bool,
        /// The hash of the key and the fingerprint of the request; `None` unless the call is
        /// non-idempotent and its key has a home node.
        pub key: Option<(KeyHash, Fingerprint)>,
        /// The sender knows that this is the first attempt with this key.
        pub first_attempt: bool,
        /// Number of calls above this one in the call tree.
        pub depth: u8,
        /// How many instances have refused the call so that it was sent to another one.
        pub redirects: u8,
        /// The request.
        pub request: Request,
    }
}
