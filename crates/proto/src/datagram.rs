//! What nodes say to each other over UDP.

use crate::Incarnation;
use crate::MemberMessage;
use stdx::data;
use stdx::plain;

plain! {
    /// How much a node has of what nodes share through the store.
    #[derive(Default)]
    pub struct Progress {
        /// The version of the rules in force; 0 before there are any.
        pub version: u64,
        /// The next offset of the topic of views that it lacks.
        pub next: u64,
    }
}

impl Progress {
    /// Whether this has anything that `other` lacks.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_proto::Progress;
    ///
    /// let (old, new) = (Progress { version: 3, next: 9 }, Progress { version: 4, next: 9 });
    /// assert!(new.has_more_than(old) && !old.has_more_than(new));
    /// ```
    pub fn has_more_than(self, other: Self) -> bool {
        self.version > other.version || self.next > other.next
    }
}

data! {
    /// One datagram. Any of them may be lost, late, repeated or out of order.
    pub enum Datagram {
        /// Membership.
        Member {
            /// [`crate::PROTOCOL_VERSION`] of the sender.
            version: u16,
            /// What the sender knows; a receiver that knows less asks it.
            progress: Progress,
            /// The message.
            message: MemberMessage,
        },
        /// Leases within a service.
        Lease {
            /// [`crate::PROTOCOL_VERSION`] of the sender.
            version: u16,
            /// The message.
            message: LeaseMessage,
        },
    }
}

plain! {
    /// How a home keeps its right to start work: by a quorum of its service's view.
    pub enum LeaseMessage {
        /// Asks for the lease.
        Request {
            /// Who asks.
            from: Incarnation,
            /// The newest view that the sender knows.
            view: u64,
            /// Counts the sender's rounds; a grant names the round it answers.
            round: u64,
        },
        /// Says which view the granter is in. A granter that has seen a newer view than the asker
        /// grants it nothing until the asker has caught up.
        Grant {
            /// Who grants.
            from: Incarnation,
            /// Who asked. A restarted node at the same address counts its rounds anew and would
            /// otherwise take a late grant to its predecessor for its own.
            to: Incarnation,
            /// The newest view that the granter knows.
            view: u64,
            /// All views below this one are fenced, as far as the granter knows.
            fenced_below: u64,
            /// The round that is answered.
            round: u64,
            /// Milliseconds since the granter, or whoever told it, began to read the log to its end.
            log_age_ms: u32,
            /// Whether the granter lends its votes: it knows no view newer than the asker's.
            granted: bool,
        },
    }
}
