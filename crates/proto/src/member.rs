//! Membership messages: SWIM-style probes that piggyback gossip about other peers.

use crate::Instance;
use crate::LoadReport;
use std::net::SocketAddr;
use stdx::data;
use stdx::plain;

plain! {
    /// The state of a peer. With equal `revision`, later variants override earlier ones; a higher
    /// `revision`, which only the peer itself assigns, overrides all of them.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum PeerState {
        /// The peer answers probes.
        Alive,
        /// The peer did not answer a probe and has not refuted the suspicion yet.
        Suspect,
        /// The peer is shutting down and gets no new calls.
        Leaving,
        /// The peer is considered gone. This is soft state and may be wrong, for example after a
        /// network partition; a peer that learns of it refutes it with a higher `revision`. It
        /// becomes final once the views in the log no longer contain the incarnation, or once
        /// another incarnation has answered at its address.
        Dead,
    }
}

data! {
    /// State of one peer, piggybacked on other messages.
    pub struct PeerUpdate {
        /// The peer, with everything that a receiver needs that did not know it before.
        pub instance: Instance,
        /// The peer's state.
        pub state: PeerState,
        /// Incremented only by the instance itself, to refute a suspicion or to announce a change.
        pub revision: u32,
        /// Whether the backend server accepts new work. A node whose server is draining, or has not
        /// registered yet, still accepts requests from callers.
        pub accepts_work: bool,
    }
}

data! {
    /// A membership message.
    pub enum MemberMessage {
        /// Requests a [`MemberMessage::Ack`].
        Ping {
            /// The sender's own state.
            from: PeerUpdate,
            /// Repeated in the ack.
            seq: u64,
            /// Digest of the peers that the sender considers present.
            digest: u64,
            /// The sender's load.
            load: LoadReport,
            /// State of other peers.
            updates: Vec<PeerUpdate>,
        },
        /// Answers a ping. A relay forwards it to the node that requested the ping.
        Ack {
            /// The state of the node that answers.
            from: PeerUpdate,
            /// The `seq` of the ping.
            seq: u64,
            /// Digest of the peers that the sender considers present.
            digest: u64,
            /// The sender's load.
            load: LoadReport,
            /// State of other peers.
            updates: Vec<PeerUpdate>,
        },
        /// Requests that the receiver ping an address and forward the ack.
        PingReq {
            /// The `seq` of the ping.
            seq: u64,
            /// The address to ping.
            target: SocketAddr,
        },
        /// State of other peers; not acknowledged.
        Gossip {
            /// The updates.
            updates: Vec<PeerUpdate>,
        },
        /// Requests the entries of the receiver's table that differ from the sender's.
        Pull {
            /// Digests of the sender's table, one for each bucket of incarnations.
            digests: Vec<u32>,
        },
        /// Answers a [`MemberMessage::Pull`], possibly in several datagrams.
        PullReply {
            /// Entries of the sender's table.
            updates: Vec<PeerUpdate>,
        },
    }
}
