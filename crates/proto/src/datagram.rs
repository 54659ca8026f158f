//! What nodes say to each other over UDP.

use crate::Incarnation;
use crate::MemberMessage;
use crate::OrganisationId;
use stdx::data;
use stdx::plain;

plain! {
    /// How much a node has of what nodes share through the store.
    #[derive(Default)]
    pub struct SyncProgress {
        /// The version of the rules in force; 0 before there are any.
        pub rules_version: u64,
        /// The next offset of the topic of views that it lacks.
        pub next_offset: u64,
    }
}

impl SyncProgress {
    /// Whether this has anything that `other` lacks.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_proto::SyncProgress;
    ///
    /// let (old, new) = (SyncProgress { rules_version: 3, next_offset: 9 }, SyncProgress { rules_version: 4, next_offset: 9 });
    /// assert!(new.is_ahead_of(old) && !old.is_ahead_of(new));
    /// ```
    pub fn is_ahead_of(self, other: Self) -> bool {
        self.rules_version > other.rules_version || self.next_offset > other.next_offset
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
            progress: SyncProgress,
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
        /// How fresh the rules of a node are.
        Freshness {
            /// [`crate::PROTOCOL_VERSION`] of the sender.
            version: u16,
            /// The message.
            message: FreshnessMessage,
        },
        /// Quotas of organisations.
        Quota {
            /// [`crate::PROTOCOL_VERSION`] of the sender.
            version: u16,
            /// The message.
            message: QuotaMessage,
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

plain! {
    /// How a node finds out that its rules are the newest without reading the store itself.
    pub enum FreshnessMessage {
        /// Asks for a [`FreshnessMessage::Report`].
        Query {
            /// Repeated in the report. The asker counts the report's age from the time at which it
            /// sent this number, so that a report that was held up on its way does not look newer
            /// than it is.
            request_id: u64,
        },
        /// Answers a query.
        Report {
            /// The query's.
            request_id: u64,
            /// The version of the rules that the sender holds.
            rules: u64,
            /// Milliseconds from the time at which `rules` is known to have been the newest version to
            /// the time at which the query was handled.
            age_ms: u32,
        },
    }
}

data! {
    /// How the quotas of organisations are kept over the whole fleet.
    pub enum QuotaMessage {
        /// Asks a lender for tokens, and may lend it the sender's vote.
        Borrow {
            /// Who asks.
            from: Incarnation,
            /// Who is asked. Another incarnation at the address knows nothing of earlier votes.
            to: Incarnation,
            /// Which group of organisations this is about.
            group: u8,
            /// Repeated in the answer.
            request_id: u64,
            /// The stamp of the lender's last answer, if the sender lends it its vote; else 0. The lender
            /// counts the vote from the time at which it gave out the stamp.
            vote_stamp: u64,
            /// How many tokens the sender asks for, by organisation.
            wanted: Vec<(OrganisationId, u16)>,
        },
        /// Answers a borrower.
        Lend {
            /// Who lends.
            from: Incarnation,
            /// Who asked.
            to: Incarnation,
            /// Which group of organisations this is about.
            group: u8,
            /// The request's.
            request_id: u64,
            /// To be returned with a vote; 0 if the lender takes none.
            stamp: u64,
            /// What is lent, by organisation.
            loans: Vec<Loan>,
        },
    }
}

plain! {
    /// Tokens of an organisation's quota, each of which admits one request.
    pub struct Loan {
        /// Which organisation.
        pub organisation: OrganisationId,
        /// How many.
        pub tokens: u16,
        /// If these are fewer than were asked for: milliseconds until the lender expects to have the next
        /// one; else 0.
        pub wait_ms: u16,
        /// The lender has most of the organisation's burst in hand, so that tokens may be kept in reserve.
        pub has_surplus: bool,
    }
}
