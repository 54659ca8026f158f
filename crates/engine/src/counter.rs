//! Counters of the engine and the node, and the names of their metrics.

use crate::ReportError;
use policy::ShedReason;
use policy::SlackEvent;
use proto::Class;
use proto::Reason;
use stdx::plain;

plain! {
    /// An event on a connection between nodes, or on a message between nodes.
    #[derive(Hash)]
    pub enum LinkEvent {
        /// Received data could not be decoded as a frame.
        MalformedFrame,
        /// A frame exceeded the maximum size.
        FrameTooLarge,
        /// The peer uses another protocol version.
        WrongVersion,
        /// A peer connected and did not send a hello frame.
        NoHello,
        /// Received data could not be decoded as a datagram.
        MalformedDatagram,
        /// The peer did not answer a ping.
        Silent,
        /// A write made no progress.
        Stalled,
        /// A frame did not fit into a connection's send queue.
        QueueFull,
        /// A connection attempt failed.
        DialFailed,
        /// No connection was attempted, because the last attempt had just failed.
        DialDeferred,
    }
}

impl LinkEvent {
    fn name(self) -> &'static str {
        match self {
            LinkEvent::MalformedFrame => "broken-frame",
            LinkEvent::FrameTooLarge => "frame-too-large",
            LinkEvent::WrongVersion => "wrong-version",
            LinkEvent::NoHello => "no-hello",
            LinkEvent::MalformedDatagram => "broken-datagram",
            LinkEvent::Silent => "silent",
            LinkEvent::Stalled => "stalled",
            LinkEvent::QueueFull => "queue-full",
            LinkEvent::DialFailed => "dial-failed",
            LinkEvent::DialDeferred => "dial-deferred",
        }
    }
}

plain! {
    /// The way by which a request has reached the node beside the server that runs it.
    #[derive(Hash)]
    pub enum RunOrigin {
        /// A request of a client, sent for the first time.
        Client,
        /// A call made by a run, sent for the first time.
        Call,
        /// A retry or a hedge of either, or a call made by one.
        Repeat,
    }
}

impl RunOrigin {
    fn name(self) -> &'static str {
        match self {
            RunOrigin::Client => "client",
            RunOrigin::Call => "call",
            RunOrigin::Repeat => "repeat",
        }
    }
}

plain! {
    /// An event in the allocation of an organisation's tokens by slack.
    #[derive(Hash)]
    pub enum QuotaEvent {
        /// A request was refused because no token was expected for it in time.
        NoTokenInTime,
        /// A request was refused because it had waited until it could no longer be in time.
        WaitEnded,
        /// A request was refused because the queue was full of more urgent ones.
        Displaced,
        /// A refused caller was promised a token.
        Promised,
        /// A refused caller returned at or after the end of its retry delay.
        ReturnedOnTime,
        /// A refused caller returned before the end of its retry delay.
        ReturnedEarly,
    }
}

impl QuotaEvent {
    fn name(self) -> &'static str {
        match self {
            QuotaEvent::NoTokenInTime => "no-token-in-time",
            QuotaEvent::WaitEnded => "wait-ended",
            QuotaEvent::Displaced => "displaced",
            QuotaEvent::Promised => "promised",
            QuotaEvent::ReturnedOnTime => "returned-on-time",
            QuotaEvent::ReturnedEarly => "returned-early",
        }
    }
}

plain! {
    /// An event to count. The node adds it to the metrics.
    #[derive(Hash)]
    pub enum Counter {
        /// A request arrived from a caller or from this node's backend server.
        Request(Class),
        /// A request was answered with a complete response.
        Completed(Class),
        /// A request was answered with proof that it did not run.
        NotRun(Reason),
        /// A request was answered without knowing whether it ran.
        Unknown(Reason),
        /// A call was retried, because the previous attempt ended for this reason.
        Retry(Reason),
        /// A read was also sent to a second instance, because its answer was late.
        Hedge,
        /// The original attempt of a hedged read answered before the second instance did.
        OriginalAnsweredFirst,
        /// A call was not retried, because this node's retry budget for the service was spent.
        RetryBudgetSpent,
        /// A call that did not run was sent to another node, without spending a retry.
        Redirect(Reason),
        /// A call was sent again over a new connection with the same id.
        Reattach,
        /// A repeated request was attached to the run in flight.
        ResendAttached,
        /// A repeated request got the recorded response.
        ResponseReplayed,
        /// A run was started on this node's backend server.
        Run(Class),
        /// A run was started while a rate limit of the backend server was in force.
        RateLimitedRun(RunOrigin),
        /// An event of scheduling by slack at this node's backend server.
        Slack(SlackEvent),
        /// A header in which the backend server reports about itself was rejected.
        MalformedServerReport(ReportError),
        /// The backend server reported how long work takes on its machine.
        SlowdownReport,
        /// A call that had not started was refused because the backend server had become slow, so
        /// that another instance runs it.
        HandOver,
        /// A new incarnation of this node's backend server sent its first heartbeat.
        ServerStarted,
        /// A heartbeat of the backend server arrived after a newer one.
        LateHeartbeat,
        /// A heartbeat arrived from a server of another service.
        WrongServiceHeartbeat,
        /// A request was in flight when the connection to the backend server broke, and is
        /// suspected of having crashed the server.
        CrashSuspect,
        /// A run ended without a complete response.
        RunLost,
        /// A response of the server belonged to another request than the one in flight.
        ResponseSkipped,
        /// A response of the server was cut off because it exceeded the limits for reading it.
        ResponseTooLong,
        /// The server sent bytes that are not a response.
        ResponseMalformed,
        /// A response of the server was given up because the memory for responses was used up.
        ResponseMemoryUsedUp,
        /// A connection of a caller was closed, or not accepted, because of a limit for all of them.
        ConnectionShed(ShedReason),
        /// A connection could not be accepted, most likely for lack of descriptors.
        AcceptFailed,
        /// A caller's connection was closed because too many of its bytes were part of no request.
        RequestOverhead,
        /// A record of the log, or a state received from a peer, could not be decoded.
        MalformedRecord,
        /// A published rules file was rejected.
        PublicationRejected,
        /// Rules or views were restored from a peer, or read again from the store.
        StateRestored,
        /// A peer was asked for its rules and views.
        StateFetch,
        /// A rules file came into force.
        RulesInForce,
        /// An append failed because another record was appended first; it is built again.
        AppendConflict,
        /// An append got no answer; it is tried again unless the record is found in the log.
        AppendLost,
        /// An append was dropped because the queue of appends was full.
        AppendDropped,
        /// The node stopped before its `Leave` record was in the log.
        LeaveNotAppended,
        /// A message could not be decoded, or was not valid for this node in its current state.
        UnexpectedMessage,
        /// A peer did not answer a ping in time.
        PeerQuiet,
        /// An event on a connection between nodes.
        Link(LinkEvent),
        /// An event in the allocation of an organisation's tokens.
        Quota(QuotaEvent),
        /// A peer's state changed.
        PeerChanged,
        /// This node queued an append that evicts a dead peer.
        EvictionRequested,
        /// A peer known only through gossip was ignored because the table of peers was full.
        PeerTableFull,
        /// A view of this node's service was applied.
        ViewApplied,
        /// A slot was transferred to this node from another one.
        SlotMoved,
        /// The views in the log no longer list this incarnation.
        Expelled,
        /// An invariant was violated, which is a bug.
        InvariantViolated,
    }
}

impl Counter {
    /// The name of the metric.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_engine::Counter;
    ///
    /// assert_eq!(Counter::NotRun(proto::Reason::Shed).name(), "not_run.shed");
    /// ```
    pub fn name(self) -> String {
        match self {
            Counter::Request(class) => format!("request.{}", class.name()),
            Counter::Completed(class) => format!("whole.{}", class.name()),
            Counter::NotRun(reason) => format!("not_run.{}", reason.name()),
            Counter::Unknown(reason) => format!("unknown.{}", reason.name()),
            Counter::Retry(reason) => format!("retry.{}", reason.name()),
            Counter::Hedge => "hedge".to_owned(),
            Counter::OriginalAnsweredFirst => "late_answer_first".to_owned(),
            Counter::Redirect(reason) => format!("redirect.{}", reason.name()),
            Counter::Run(class) => format!("run.{}", class.name()),
            Counter::RateLimitedRun(origin) => format!("rate_limited_run.{}", origin.name()),
            Counter::Slack(event) => format!("slack.{}", event.name()),
            Counter::MalformedServerReport(error) => {
                format!("broken_server_report.{}", error.name())
            }
            Counter::SlowdownReport => "slowdown_report".to_owned(),
            Counter::HandOver => "hand_over".to_owned(),
            Counter::RetryBudgetSpent => "retry_budget_spent".to_owned(),
            Counter::Reattach => "reattach".to_owned(),
            Counter::ResendAttached => "attached".to_owned(),
            Counter::ResponseReplayed => "replayed".to_owned(),
            Counter::CrashSuspect => "suspected".to_owned(),
            Counter::ServerStarted => "server_started".to_owned(),
            Counter::LateHeartbeat => "late_heartbeat".to_owned(),
            Counter::WrongServiceHeartbeat => "strange_server".to_owned(),
            Counter::RunLost => "run_lost".to_owned(),
            Counter::ResponseSkipped => "response_skipped".to_owned(),
            Counter::ResponseTooLong => "response_too_long".to_owned(),
            Counter::ResponseMalformed => "response_malformed".to_owned(),
            Counter::ResponseMemoryUsedUp => "response_memory_used_up".to_owned(),
            Counter::ConnectionShed(reason) => format!("connection_shed.{}", reason.name()),
            Counter::AcceptFailed => "accept_failed".to_owned(),
            Counter::RequestOverhead => "request_overhead".to_owned(),
            Counter::MalformedRecord => "broken_record".to_owned(),
            Counter::PublicationRejected => "rejected_publication".to_owned(),
            Counter::StateRestored => "restored".to_owned(),
            Counter::StateFetch => "state_fetch".to_owned(),
            Counter::RulesInForce => "rules_in_force".to_owned(),
            Counter::AppendConflict => "append_conflict".to_owned(),
            Counter::AppendLost => "append_lost".to_owned(),
            Counter::AppendDropped => "append_left_out".to_owned(),
            Counter::LeaveNotAppended => "leave_unsaid".to_owned(),
            Counter::UnexpectedMessage => "unexpected".to_owned(),
            Counter::PeerQuiet => "peer_quiet".to_owned(),
            Counter::Link(event) => format!("link.{}", event.name()),
            Counter::Quota(event) => format!("quota.{}", event.name()),
            Counter::PeerChanged => "peer_changed".to_owned(),
            Counter::EvictionRequested => "eviction_asked".to_owned(),
            Counter::PeerTableFull => "peer_table_full".to_owned(),
            Counter::ViewApplied => "view_taken".to_owned(),
            Counter::SlotMoved => "slot_moved".to_owned(),
            Counter::Expelled => "expelled".to_owned(),
            Counter::InvariantViolated => "fault".to_owned(),
        }
    }
}
