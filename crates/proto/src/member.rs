//! Membership messages: SWIM-style probes with rumours on them.

use crate::Incarnation;
use crate::Instance;
use crate::LoadReport;
use stdx::data;
use stdx::plain;

plain! {
    /// What is known of a peer. Later variants override earlier ones of the same `beat`.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum PeerState {
        /// It answers.
        Alive,
        /// It did not answer, and has not said yet that it is there.
        Suspect,
        /// It is leaving: nothing new goes to it.
        Leaving,
        /// It is gone for good. An incarnation never comes back from this.
        Dead,
    }
}

data! {
    /// News about one peer, carried on other messages.
    pub struct Rumour {
        /// Whom it is about, whole, so that a node that hears of it for the first time can use it.
        pub instance: Instance,
        /// Its state.
        pub state: PeerState,
        /// A count that only the instance itself raises, to refute a suspicion.
        pub beat: u32,
    }
}

data! {
    /// One membership message.
    pub enum MemberMessage {
        /// Asks for an [`MemberMessage::Ack`].
        Ping {
            /// Who asks.
            from: Instance,
            /// Matches the answer to it.
            seq: u64,
            /// The sender's load.
            load: LoadReport,
            /// News.
            rumours: Vec<Rumour>,
        },
        /// Answers a ping.
        Ack {
            /// Who answers.
            from: Incarnation,
            /// The ping's.
            seq: u64,
            /// The sender's load.
            load: LoadReport,
            /// News.
            rumours: Vec<Rumour>,
        },
        /// Asks the receiver to ping `target` and pass the answer on.
        PingReq {
            /// Who asks.
            from: Instance,
            /// The ping's.
            seq: u64,
            /// Whom to ping.
            target: Instance,
        },
    }
}
