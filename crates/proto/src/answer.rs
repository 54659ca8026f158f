//! What a call ends with.

use crate::Response;
use std::time::Duration;
use stdx::data;
use stdx::plain;

data! {
    /// The three ways a call can end.
    pub enum Outcome {
        /// The backend server's whole response.
        Completed(Response),
        /// The work was never handed to a backend server, or the server's documented refusal came
        /// back whole.
        NotRun(Refusal),
        /// The work may have run or may still run; the caller must not assume either.
        Unknown(Reason),
    }
}

impl Outcome {
    /// The name in headers and metrics.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_proto::{Outcome, Reason};
    ///
    /// assert_eq!(Outcome::Unknown(Reason::PeerLost).name(), "unknown");
    /// ```
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Completed(_) => "whole",
            // An earlier attempt may have run; the caller must not take it for undone.
            Outcome::NotRun(refusal) if refusal.attempt_only => "unknown",
            Outcome::NotRun(_) => "not-run",
            Outcome::Unknown(_) => "unknown",
        }
    }
}

plain! {
    /// Why a call was not run, and when it is worth coming back.
    pub struct Refusal {
        /// The reason, one counter each.
        pub reason: Reason,
        /// When to come back, in milliseconds; goes out as `Retry-After`, rounded up to seconds.
        pub retry_after_ms: u32,
        /// Only this attempt certainly did not run. An earlier one with the same key may have:
        /// nobody who knows the key's record was asked.
        pub attempt_only: bool,
    }
}

impl Refusal {
    /// A refusal with the time after which to come back.
    pub fn new(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
            attempt_only: false,
        }
    }

    /// The same refusal, for a key whose record was not looked at.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_proto::{Reason, Refusal};
    /// use std::time::Duration;
    ///
    /// let refusal = Refusal::new(Reason::Moving, Duration::from_secs(1));
    /// assert!(refusal.for_attempt_only().attempt_only);
    /// ```
    pub fn for_attempt_only(self) -> Self {
        Self {
            attempt_only: true,
            ..self
        }
    }
}

plain! {
    /// Why a call ended without a whole answer. Each has a counter of its own.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum Reason {
        /// Shed for load by admission level.
        Shed,
        /// The queue of the backend server is full, or the wait in it would pass the deadline.
        QueueFull,
        /// The deadline passed.
        Deadline,
        /// This node is leaving.
        Draining,
        /// No live instance of the service is known.
        NoInstance,
        /// The key's slot is on its way to another node, or this node is not its home.
        Moving,
        /// The key's home holds no valid lease.
        NoLease,
        /// The node has no configuration in force yet.
        NoRules,
        /// A bounded table is full.
        TableFull,
        /// The request crashed backend servers before.
        Quarantined,
        /// The key was used before for another request.
        KeyMismatch,
        /// The key is malformed or too long.
        BadKey,
        /// The request is malformed.
        BadRequest,
        /// The head or body is larger than allowed.
        TooLarge,
        /// No rule names the service or the operation.
        NoSuchOperation,
        /// The backend server refused the work by its documented refusal.
        ServerRefused,
        /// The other node could not be reached, or the connection was lost.
        PeerLost,
        /// The backend server could not be reached, or broke off.
        ServerLost,
        /// The record of the key was lost with its home, or its run ended unknown.
        RecordLost,
        /// The caller re-sent more often than the edge allows.
        ResendLimit,
        /// The caller went away.
        CallerGone,
        /// The run that made this call is over.
        ParentGone,
        /// The call would be a retry, and the retries of the action are spent.
        AllowanceSpent,
        /// The request names no organisation by a key that the rules hold.
        UnknownOrganisation,
        /// The organisation has used up its quota.
        QuotaExceeded,
        /// Whether the organisation has quota left could not be found out in time.
        QuotaUnknown,
        /// The rules here were not confirmed as the newest lately, so keys may have been revoked.
        RulesUnconfirmed,
    }
}

impl Reason {
    /// Every reason, for counters and tests.
    pub const ALL: [Reason; 27] = [
        Reason::Shed,
        Reason::QueueFull,
        Reason::Deadline,
        Reason::Draining,
        Reason::NoInstance,
        Reason::Moving,
        Reason::NoLease,
        Reason::NoRules,
        Reason::TableFull,
        Reason::Quarantined,
        Reason::KeyMismatch,
        Reason::BadKey,
        Reason::BadRequest,
        Reason::TooLarge,
        Reason::NoSuchOperation,
        Reason::ServerRefused,
        Reason::PeerLost,
        Reason::ServerLost,
        Reason::RecordLost,
        Reason::ResendLimit,
        Reason::CallerGone,
        Reason::ParentGone,
        Reason::AllowanceSpent,
        Reason::UnknownOrganisation,
        Reason::QuotaExceeded,
        Reason::QuotaUnknown,
        Reason::RulesUnconfirmed,
    ];

    /// The name in counters, headers and logs.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(bilberry_proto::Reason::QueueFull.name(), "queue-full");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Reason::Shed => "shed",
            Reason::QueueFull => "queue-full",
            Reason::Deadline => "deadline",
            Reason::Draining => "draining",
            Reason::NoInstance => "no-instance",
            Reason::Moving => "moving",
            Reason::NoLease => "no-lease",
            Reason::NoRules => "no-rules",
            Reason::TableFull => "table-full",
            Reason::Quarantined => "quarantined",
            Reason::KeyMismatch => "key-mismatch",
            Reason::BadKey => "bad-key",
            Reason::BadRequest => "bad-request",
            Reason::TooLarge => "too-large",
            Reason::NoSuchOperation => "no-such-operation",
            Reason::ServerRefused => "server-refused",
            Reason::PeerLost => "peer-lost",
            Reason::ServerLost => "server-lost",
            Reason::RecordLost => "record-lost",
            Reason::ResendLimit => "resend-limit",
            Reason::CallerGone => "caller-gone",
            Reason::ParentGone => "parent-gone",
            Reason::AllowanceSpent => "allowance-spent",
            Reason::UnknownOrganisation => "unknown-organisation",
            Reason::QuotaExceeded => "quota-exceeded",
            Reason::QuotaUnknown => "quota-unknown",
            Reason::RulesUnconfirmed => "rules-unconfirmed",
        }
    }

    /// Whether sending the same request again can never help.
    pub fn is_client_error(self) -> bool {
        matches!(
            self,
            Reason::KeyMismatch
                | Reason::BadKey
                | Reason::BadRequest
                | Reason::TooLarge
                | Reason::NoSuchOperation
                | Reason::UnknownOrganisation
        )
    }
}

data! {
    /// A call's outcome, with what the node that gives it says about itself.
    pub struct Answer {
        /// How the call ended.
        pub outcome: Outcome,
        /// The part of the lent retry allowance that was not spent.
        pub unspent_retries: u16,
        /// The load of the instance that answers.
        pub load: LoadReport,
        /// What the run met in the calls that it made.
        pub downstream: DownstreamSummary,
    }
}

plain! {
    /// What a run met in the calls that it made, and they in theirs.
    #[derive(Default)]
    pub struct DownstreamSummary {
        /// The highest admission level, so that the first hop sheds what a deeper service would.
        pub level: u16,
        /// How many calls there were.
        pub calls: u16,
    }
}

plain! {
    /// What a node measured of its own backend server. The server's own word is only a hint in it.
    #[derive(Default)]
    pub struct LoadReport {
        /// Work running and queued, in thousandths of the concurrency limit.
        pub utilisation: u16,
        /// What the server fails of its work, and how much slower than usual it is, as if it were
        /// load, in the same unit: it keeps calls away also while there is room.
        pub penalty: u16,
        /// The admission level of the service here: an action passes when its random value is at
        /// or above it. 0 admits all; lookups use the lower half of the range, all else the upper.
        pub level: u16,
        /// The current concurrency limit, in calls.
        pub limit: u16,
        /// The node is leaving and takes nothing new.
        pub draining: bool,
    }
}
