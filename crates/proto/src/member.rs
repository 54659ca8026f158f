//! Membership messages: SWIM-style probes with rumours on them.

use crate::Instance;
use crate::LoadReport;
use std::net::SocketAddr;
use stdx::data;
use stdx::plain;

plain! {
    /// What is known of a peer. Later variants override earlier ones of the same `beat`; a higher
    /// `beat`, which only the peer itself can give out, overrides them all.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum PeerState {
        /// It answers.
        Alive,
        /// It did not answer, and has not said yet that it is there.
        Suspect,
        /// It is leaving: nothing new goes to it.
        Leaving,
        /// It is taken for gone. This is a verdict of soft state and may be wrong, after a cut for
        /// example: a peer that hears it refutes it with a higher `beat`. It is final once the
        /// log's views have dropped the incarnation, or once another incarnation has answered at
        /// its address.
        Dead,
    }
}

data! {
    /// News about one peer, carried on other messages.
    pub struct PeerUpdate {
        /// Whom it is about, whole, so that a node that hears of it for the first time can use it.
        pub instance: Instance,
        /// Its state.
        pub state: PeerState,
        /// A count that only the instance itself raises, to refute a suspicion or to tell news of
        /// itself.
        pub revision: u32,
        /// Whether its backend server takes new work. A node whose server drains, or has not been
        /// heard of yet, still takes its callers' requests.
        pub accepts_work: bool,
    }
}

data! {
    /// One membership message.
    pub enum MemberMessage {
        /// Asks for an [`MemberMessage::Ack`].
        Ping {
            /// The sender, as it sees itself.
            from: PeerUpdate,
            /// Matches the answer to it.
            seq: u64,
            /// A digest of the peers that the sender holds to be there.
            digest: u64,
            /// The sender's load.
            load: LoadReport,
            /// News.
            updates: Vec<PeerUpdate>,
        },
        /// Answers a ping; a relay passes it on to the node that asked for the ping.
        Ack {
            /// Who answers, as it sees itself.
            from: PeerUpdate,
            /// The ping's.
            seq: u64,
            /// A digest of the peers that the sender holds to be there.
            digest: u64,
            /// The sender's load.
            load: LoadReport,
            /// News.
            updates: Vec<PeerUpdate>,
        },
        /// Asks the receiver to ping an address and to pass the ack on.
        PingReq {
            /// The ping's.
            seq: u64,
            /// Whom to ping.
            target: SocketAddr,
        },
        /// News that is not answered.
        Gossip {
            /// The news.
            updates: Vec<PeerUpdate>,
        },
        /// Asks for the part of the receiver's table that differs from the sender's.
        Pull {
            /// Digests of the sender's table, one for each bucket of incarnations.
            digests: Vec<u32>,
        },
        /// Answers a [`MemberMessage::Pull`], perhaps in several datagrams.
        PullReply {
            /// Entries of the sender's table.
            updates: Vec<PeerUpdate>,
        },
    }
}
