//! Messages between nodes over UDP.

use crate::Incarnation;
use crate::MemberMessage;
use crate::OrganisationId;
use stdx::data;
use stdx::plain;

plain! {
    /// How far a node has caught up with the state that nodes share through the store.
    #[derive(Default)]
    pub struct SyncProgress {
        /// The version of the rules in force; 0 if there are none yet.
        pub rules_version: u64,
        /// Offset of the next record to read from the log, the topic that holds rules and views.
        pub next_offset: u64,
    }
}

impl SyncProgress {
    /// Whether this is ahead of `other` in at least one field.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_proto::SyncProgress;
    ///
    /// let old = SyncProgress { rules_version: 3, next_offset: 9 };
    /// let new = SyncProgress { rules_version: 4, next_offset: 9 };
    /// assert!(new.is_ahead_of(old) && !old.is_ahead_of(new));
    /// ```
    pub fn is_ahead_of(self, other: Self) -> bool {
        self.rules_version > other.rules_version || self.next_offset > other.next_offset
    }
}

data! {
    /// A UDP message. Datagrams may be lost, delayed, duplicated or reordered.
    pub enum Datagram {
        /// Membership.
        Member {
            /// The sender's [`crate::PROTOCOL_VERSION`].
            version: u16,
            /// The sender's progress; a receiver that is behind requests the missing state.
            progress: SyncProgress,
            /// The message.
            message: MemberMessage,
        },
        /// Leases within a service.
        Lease {
            /// The sender's [`crate::PROTOCOL_VERSION`].
            version: u16,
            /// The message.
            message: LeaseMessage,
        },
        /// Freshness of the rules on a node.
        Freshness {
            /// The sender's [`crate::PROTOCOL_VERSION`].
            version: u16,
            /// The message.
            message: FreshnessMessage,
        },
        /// Quotas of organisations.
        Quota {
            /// The sender's [`crate::PROTOCOL_VERSION`].
            version: u16,
            /// The message.
            message: QuotaMessage,
        },
    }
}

plain! {
    /// How a home node acquires and renews its lease, which permits it to start runs. A lease needs
    /// grants from a quorum of the nodes in the service's view.
    pub enum LeaseMessage {
        /// Requests a lease.
        Request {
            /// The requesting node.
            from: Incarnation,
            /// The newest view that the sender knows.
            view: u64,
            /// Incremented by the sender for each round of requests; a reply repeats it.
            round: u64,
        },
        /// Answers a request with or without a grant, and reports the sender's view. A node that
        /// knows a newer view than the requester grants nothing until the requester has caught up.
        Reply {
            /// The answering node.
            from: Incarnation,
            /// The requesting node. A node that restarts at the same address counts its rounds from
            /// the start, and without this field would accept a late reply meant for its previous
            /// incarnation.
            to: Incarnation,
            /// The newest view that the answering node knows.
            view: u64,
            /// All views below this one are fenced, as far as the answering node knows.
            fenced_below: u64,
            /// The round of the request.
            round: u64,
            /// Milliseconds since the last time at which, as far as the answering node knows, the
            /// log held no newer view than `view`.
            log_age_ms: u32,
            /// Whether the answering node grants the lease, i.e. gives its vote. It does if it
            /// knows no newer view than the requester and is not leaving.
            granted: bool,
        },
    }
}

plain! {
    /// How a node confirms that its rules are the newest version without querying the store itself.
    pub enum FreshnessMessage {
        /// Requests a [`FreshnessMessage::Report`].
        Query {
            /// Repeated in the report. The sender measures the age of the report from the time at
            /// which it sent this query, so that a delayed report does not appear fresher than it
            /// is.
            request_id: u64,
        },
        /// Answers a query.
        Report {
            /// The `request_id` of the query.
            request_id: u64,
            /// The version of the rules in force at the sender.
            rules_version: u64,
            /// Milliseconds between the last time at which `rules_version` was known to be the
            /// newest version and the handling of the query.
            age_ms: u32,
        },
    }
}

data! {
    /// How the quota of an organisation is shared by all nodes.
    pub enum QuotaMessage {
        /// Requests tokens from a lender and may give it the sender's vote.
        Borrow {
            /// The requesting node.
            from: Incarnation,
            /// The lender. Another incarnation at the same address has no record of earlier votes.
            to: Incarnation,
            /// The group of organisations concerned.
            group: u8,
            /// Repeated in the answer.
            request_id: u64,
            /// The stamp of the lender's last answer if the sender gives it its vote, else 0. The
            /// lender dates the vote from the time at which it issued the stamp.
            vote_stamp: u64,
            /// The tokens requested, by organisation.
            wanted: Vec<TokenDemand>,
        },
        /// Answers a borrower.
        Lend {
            /// The lender.
            from: Incarnation,
            /// The requesting node.
            to: Incarnation,
            /// The group of organisations concerned.
            group: u8,
            /// The `request_id` of the request.
            request_id: u64,
            /// To be sent back with a vote; 0 if the lender accepts none.
            stamp: u64,
            /// The tokens lent, by organisation.
            loans: Vec<Loan>,
        },
    }
}

plain! {
    /// The tokens of an organisation's quota that a node requests.
    pub struct TokenDemand {
        /// The organisation.
        pub organisation: OrganisationId,
        /// The number of tokens.
        pub tokens: u16,
        /// How many of the tokens are for urgent work, which a lender that is short serves first.
        /// 0 unless the rules schedule by slack.
        pub urgent: u16,
    }
}

plain! {
    /// Tokens of an organisation's quota. Each admits one request.
    pub struct Loan {
        /// The organisation.
        pub organisation: OrganisationId,
        /// The number of tokens.
        pub tokens: u16,
        /// Estimated milliseconds until the lender has the next token, if fewer tokens were lent
        /// than requested; else 0.
        pub wait_ms: u16,
        /// The lender holds most of the organisation's burst, so that the borrower may keep tokens
        /// in reserve.
        pub has_surplus: bool,
    }
}
