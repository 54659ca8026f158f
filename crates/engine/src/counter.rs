//! What is counted.

use proto::Class;
use proto::Reason;
use stdx::plain;

plain! {
    /// What happened to a connection between nodes, or to what came over one.
    #[derive(Hash)]
    pub enum LinkEvent {
        /// What came is no frame.
        MalformedFrame,
        /// A frame is larger than any may be.
        FrameTooLarge,
        /// The other end speaks another version.
        WrongVersion,
        /// Somebody connected and did not say who it is.
        NoHello,
        /// What came is no datagram.
        MalformedDatagram,
        /// The other end said nothing after it was asked.
        Silent,
        /// A write made no progress.
        Stalled,
        /// A frame did not fit into a link's queue.
        QueueFull,
        /// No connection could be made.
        DialFailed,
        /// No connection was tried, because the last try failed a moment ago.
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
    /// One thing to count; the shell passes it on to the metrics.
    #[derive(Hash)]
    pub enum Counter {
        /// A request came from a caller or the own backend server.
        Request(Class),
        /// A request was answered whole.
        Completed(Class),
        /// A request was answered as not run.
        NotRun(Reason),
        /// A request was answered as unknown.
        Unknown(Reason),
        /// A call was tried again, because the try before ended for this reason.
        Retry(Reason),
        /// A read was sent to a second instance, because its answer is late.
        Hedge,
        /// An answer that was late came before that of the second instance.
        OriginalAnsweredFirst,
        /// A call was not tried again, because this node's retries are too many of its calls.
        RetryBudgetSpent,
        /// A call went to another node without having run, at no cost to the allowance.
        Redirect(Reason),
        /// A call was sent again over a new connection, under the same id.
        Reattach,
        /// A re-send attached to the run in flight.
        ResendAttached,
        /// A re-send got the recorded response.
        ResponseReplayed,
        /// Work was started on the own backend server.
        Run(Class),
        /// A new incarnation of the own backend server announced itself.
        ServerStarted,
        /// A heartbeat of the backend server came after a newer one.
        LateHeartbeat,
        /// A heartbeat of a server of another service came here.
        WrongServiceHeartbeat,
        /// A request was in flight when the backend server broke off.
        CrashSuspect,
        /// A run ended without a whole response.
        RunLost,
        /// A record of the log could not be read.
        MalformedRecord,
        /// A publication was rejected.
        PublicationRejected,
        /// Rules or views were taken from a peer, or anew from the store.
        StateRestored,
        /// A peer was asked for rules and views.
        StateFetch,
        /// A rules file came in force.
        RulesInForce,
        /// Another record came before an append; it is made anew.
        AppendConflict,
        /// An append got no answer; it is tried again unless the log shows it.
        AppendLost,
        /// The queue of appends was full.
        AppendDropped,
        /// The node stopped though the log had not taken its `Leave`.
        LeaveNotAppended,
        /// A frame or datagram made no sense here.
        UnexpectedMessage,
        /// A peer was silent for a moment though it was asked something.
        PeerQuiet,
        /// Something happened to a connection between nodes.
        Link(LinkEvent),
        /// A peer's state changed.
        PeerChanged,
        /// This node asked the log to take out a dead peer.
        EvictionRequested,
        /// The table of peers is full; one that only rumours tell of was left out.
        PeerTableFull,
        /// A view of this node's service was taken.
        ViewApplied,
        /// A slot moved here from another node.
        SlotMoved,
        /// The log's views leave this incarnation out.
        Expelled,
        /// An invariant did not hold: a bug.
        InvariantViolated,
    }
}

impl Counter {
    /// The metric's name.
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
            Counter::RetryBudgetSpent => "retry_budget_spent".to_owned(),
            Counter::Reattach => "reattach".to_owned(),
            Counter::ResendAttached => "attached".to_owned(),
            Counter::ResponseReplayed => "replayed".to_owned(),
            Counter::CrashSuspect => "suspected".to_owned(),
            Counter::ServerStarted => "server_started".to_owned(),
            Counter::LateHeartbeat => "late_heartbeat".to_owned(),
            Counter::WrongServiceHeartbeat => "strange_server".to_owned(),
            Counter::RunLost => "run_lost".to_owned(),
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
