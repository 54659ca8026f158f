//! The result of a call: outcome, refusal reason and load report.

use crate::Response;
use std::time::Duration;
use stdx::data;
use stdx::plain;

data! {
    /// How a call ended.
    pub enum Outcome {
        /// The complete response of the backend server.
        Completed(Response),
        /// The request was not executed: it never reached a backend server, or the server rejected
        /// it with its documented refusal response.
        NotRun(Refusal),
        /// The request may have been executed or may still be running; the caller must assume
        /// neither.
        Unknown(Reason),
    }
}

impl Outcome {
    /// Approximate memory use of this outcome in bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_proto::{Outcome, Reason};
    ///
    /// assert_eq!(Outcome::Unknown(Reason::PeerLost).size(), 0);
    /// ```
    pub fn size(&self) -> usize {
        match self {
            Outcome::Completed(response) => response.size(),
            Outcome::NotRun(_) | Outcome::Unknown(_) => 0,
        }
    }

    /// Returns the name used in headers and metrics.
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
            // An earlier attempt may have been executed, so the caller must not treat the request
            // as not run.
            Outcome::NotRun(refusal) if refusal.attempt_only => "unknown",
            Outcome::NotRun(_) => "not-run",
            Outcome::Unknown(_) => "unknown",
        }
    }
}

plain! {
    /// Why a call was not executed, and when to retry it.
    pub struct Refusal {
        /// The reason; each has its own counter.
        pub reason: Reason,
        /// Delay before a retry, in milliseconds. Sent as `Retry-After`, rounded up to whole
        /// seconds.
        pub retry_after_ms: u32,
        /// Only this attempt is known not to have run. An earlier attempt with the same key may
        /// have been executed, because no node holding the key's record was consulted. In the answer
        /// to a call without a key that is refused as [`Reason::QueueFull`], another instance should
        /// run the call, because the server is slow.
        pub attempt_only: bool,
        /// For a key that a caller sent: for how many milliseconds after the arrival of the call at
        /// the key's home no node starts a run with the key. An answer that is delivered later is
        /// valid for this attempt only. 0 if the home cannot tell.
        pub no_run_within_ms: u32,
    }
}

impl Refusal {
    /// Creates a refusal that suggests retrying after `retry_after`.
    pub fn new(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
            attempt_only: false,
            no_run_within_ms: 0,
        }
    }

    /// Adds for how long after the arrival of the call no node starts a run with its key.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_proto::{Reason, Refusal};
    /// use std::time::Duration;
    ///
    /// let refusal = Refusal::new(Reason::Shed, Duration::from_secs(1));
    /// let refusal = refusal.with_no_run_within(Duration::from_millis(90));
    /// assert_eq!(refusal.no_run_within_ms, 90);
    /// ```
    pub fn with_no_run_within(self, duration: Duration) -> Self {
        Self {
            no_run_within_ms: u32::try_from(duration.as_millis()).unwrap_or(u32::MAX),
            ..self
        }
    }

    /// Limits the refusal to this attempt, for a key whose record was not looked up.
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
    /// Why a call ended without a complete response. Each reason has its own counter.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum Reason {
        /// Rejected by load shedding, according to the admission level.
        Shed,
        /// The backend server's queue is full, or the expected queueing time exceeds the deadline.
        QueueFull,
        /// The deadline expired.
        Deadline,
        /// This node is shutting down.
        Draining,
        /// No live instance of the service is known.
        NoInstance,
        /// The key's slot is being transferred to another node, or this node is not the slot's
        /// home.
        Moving,
        /// The home node of the key holds no valid lease.
        NoLease,
        /// The node has no rules in force yet.
        NoRules,
        /// A table has reached its size limit.
        TableFull,
        /// The request has crashed backend servers before.
        Quarantined,
        /// The key was already used for a different request.
        KeyMismatch,
        /// The key is malformed or too long.
        BadKey,
        /// The request is malformed.
        BadRequest,
        /// The request head or body exceeds the size limit.
        TooLarge,
        /// No rule matches the service or operation.
        NoSuchOperation,
        /// The backend server rejected the request with its documented refusal response.
        ServerRefused,
        /// The other node was unreachable, or the connection to it was lost.
        PeerLost,
        /// The backend server was unreachable, or closed the connection before it had answered.
        ServerLost,
        /// The record of the key was lost with its home node, or the outcome of its run is unknown.
        RecordLost,
        /// The caller exceeded the limit on re-sent requests at the entry node.
        ResendLimit,
        /// The caller disconnected.
        CallerGone,
        /// The run that made this call has already ended.
        ParentGone,
        /// The call would be a retry, but the action's retry allowance is spent.
        AllowanceSpent,
        /// The request carries no API key of an organisation in the rules.
        UnknownOrganisation,
        /// The organisation has exhausted its quota.
        QuotaExceeded,
        /// The node could not determine in time whether the organisation has quota left.
        QuotaUnknown,
        /// This node's rules have not recently been confirmed as the newest version, so API keys
        /// may have been revoked in the meantime.
        RulesUnconfirmed,
    }
}

impl Reason {
    /// All reasons, for counters and tests.
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

    /// Returns the name used in counters, headers and logs.
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

    /// Whether the request itself is at fault, so that sending it again unchanged cannot succeed.
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
    /// The outcome of a call, together with the state of the node that answers.
    pub struct Answer {
        /// How the call ended.
        pub outcome: Outcome,
        /// Retries of [`Call::retry_allowance`](crate::Call::retry_allowance) that were not used.
        pub unspent_retries: u16,
        /// The load of the answering instance.
        pub load: LoadReport,
        /// Summary of the calls that the run made.
        pub downstream: DownstreamSummary,
    }
}

plain! {
    /// Summary of all calls in the call tree below a run.
    #[derive(Default)]
    pub struct DownstreamSummary {
        /// The highest admission level in the tree. The entry node uses it to shed actions that a
        /// service further down would shed.
        pub level: u16,
        /// The number of calls.
        pub calls: u16,
    }
}

plain! {
    /// How fast a backend server works. All fields are 0 unless the server reports how long work
    /// takes on its machine.
    #[derive(Default)]
    pub struct ServerSpeed {
        /// Age of [`LoadReport::slowdown_percent`], in milliseconds.
        pub age_ms: u16,
        /// Mean of [`LoadReport::slowdown_percent`] over the last seconds.
        pub mean_percent: u16,
        /// How long a run takes at 100 percent, in microseconds, without its waits for child calls:
        /// the geometric mean over operations, so that it does not depend on how often each of them
        /// runs. 0 while too few runs were measured.
        pub run_time_us: u32,
        /// Identifies the set of operations in `run_time_us`. Servers are comparable if it is
        /// equal.
        pub operations: u8,
    }
}

plain! {
    /// Load of a backend server as measured by the node beside it. Load that the server reports
    /// about itself is only a hint.
    #[derive(Default)]
    #[serde(from = "crate::load_wire::WireLoad", into = "crate::load_wire::WireLoad")]
    pub struct LoadReport {
        /// Running and queued requests, in thousandths of the concurrency limit. If the backend
        /// server has named a rate limit, the offered requests in thousandths of that limit if they
        /// are more.
        pub utilisation: u16,
        /// Penalty for failed requests and above-normal latency, in the unit of `utilisation`. It
        /// diverts calls from the server even while it has spare capacity.
        pub penalty: u16,
        /// The admission level of the service on this node. An action is admitted if its random
        /// value is at or above the level; 0 admits all. Lookups use the lower half of the range,
        /// all other classes the upper half.
        pub level: u16,
        /// The current concurrency limit, in calls. If the backend server has named a rate limit, at
        /// most the number of calls that it accepts in one second.
        pub limit: u16,
        /// How long work takes on the backend server's machine at this moment, in percent of the
        /// usual; 0 if the server does not report it.
        pub slowdown_percent: u16,
        /// How fast the backend server works, as far as its node has learned it.
        pub speed: ServerSpeed,
        /// The node is shutting down and accepts no new calls.
        pub draining: bool,
    }
}
