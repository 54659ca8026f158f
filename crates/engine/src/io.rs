//! Inputs and outputs of the engine.

use crate::Counter;
use crate::Diagnostic;
use crate::ServerReport;
use bytes::Bytes;
use journal::TopicEntry;
use proto::Datagram;
use proto::Frame;
use proto::Incarnation;
use proto::Instance;
use proto::Outcome;
use proto::Request;
use proto::RunId;
use proto::SyncProgress;
use rules::KeyDigest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use stdx::plain;
use stdx::Time;

plain! {
    /// Identifies a request that waits for its answer. Assigned by the driver, the process around
    /// the engine that does its I/O.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct RequestToken(pub u64);
}

/// An event that the driver reports to the engine.
#[derive(Debug, Clone)]
pub enum Input {
    /// A request from a caller or from this node's own backend server.
    Request {
        /// Identifies the request in [`Output::Answer`] and [`Input::CallerGone`].
        token: RequestToken,
        /// The name of the caller.
        caller: Arc<str>,
        /// The context header, if the request has one.
        context: Option<Arc<str>>,
        /// The id of the request during which a backend server makes this one, derived from the id
        /// of this one. Only a hint: if no such request runs here, this one starts a call tree of
        /// its own.
        parent: Option<Arc<str>>,
        /// The `Idempotency-Key` header, if the request has one.
        key: Option<Arc<str>>,
        /// The digest of the organisation's API key that the caller presents.
        credential: Option<KeyDigest>,
        /// How long the caller will wait, if it sent a deadline.
        caller_timeout: Option<Duration>,
        /// The request itself.
        request: Request,
    },
    /// The caller of a request has disconnected.
    CallerGone(RequestToken),
    /// A frame from another node.
    Frame {
        /// The sender.
        from: Incarnation,
        /// The frame.
        frame: Frame,
    },
    /// The connection to a node was lost. Frames sent on it may or may not have arrived.
    PeerLost(Incarnation),
    /// A node did not answer a ping, although its connection is still open. Its process may be
    /// stalled. The connection is kept.
    PeerQuiet(Incarnation),
    /// A node that was quiet has answered again.
    PeerBack(Incarnation),
    /// No connection to a node could be made, so these frames were never sent.
    PeerUnreachable {
        /// The node.
        peer: Incarnation,
        /// The frames that were not sent.
        unsent: Vec<Frame>,
    },
    /// A datagram from another node.
    Datagram {
        /// The sender's address.
        from: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// A run on this node's backend server has ended.
    RunEnded {
        /// The run.
        run: RunId,
        /// How it ended.
        end: RunEnd,
    },
    /// Consecutive records of the log topic, each with its offset.
    Records(Vec<(u64, Bytes)>),
    /// The latest record of each key of the log topic.
    TopicSnapshot {
        /// Records with their offsets, in any order.
        values: Vec<(u64, Bytes)>,
        /// The offset from which to continue reading.
        end: u64,
    },
    /// The log topic was read to its end.
    LogCaughtUp,
    /// The state of a peer, in response to [`Output::FetchState`].
    StateFetched {
        /// The address that was asked.
        from: SocketAddr,
        /// The encoded state.
        state: Bytes,
    },
    /// The operators' newest rules file, from a service that assigns version numbers itself.
    RulesPublished {
        /// The version of the file; versions only increase.
        version: u64,
        /// The text of the file.
        file: Arc<str>,
    },
    /// Addresses at which nodes have registered. Some of the nodes may be gone.
    Directory(Vec<SocketAddr>),
    /// This node's backend server announces a change of its state.
    Server(Announcement),
    /// Response to [`Output::CheckServer`].
    ServerChecked {
        /// The incarnation that was asked.
        id: Arc<str>,
        /// Whether the server reports that it is healthy and not about to stop.
        healthy: bool,
    },
    /// This node's backend server has sent the head of a response, which says something about the
    /// server itself. Reports that say nothing may be omitted unless [`crate::Engine::has_rate_limit`].
    ServerReport {
        /// The incarnation that sent the response.
        id: Arc<str>,
        /// When the request was sent.
        sent_at: Time,
        /// What the server says.
        report: ServerReport,
    },
    /// Response to [`Output::CheckRules`].
    RulesChecked {
        /// When the query was sent.
        asked: Time,
        /// The newest version in the store. If its file could be read, it was passed in as
        /// [`Input::RulesPublished`] before this.
        version: u64,
    },
    /// The store did not answer [`Output::CheckRules`].
    RulesCheckFailed,
    /// The store did not answer a read of the log topic.
    LogUnreachable,
    /// The append with this number has succeeded.
    Appended(u64),
    /// The append with this number was rejected because the topic already has a record at its
    /// offset.
    AppendConflict(u64),
    /// The append with this number got no answer. It may have taken effect, or may still do so.
    AppendLost(u64),
    /// The process was asked to stop.
    Stop,
    /// Time has passed; a timer may be due.
    Tick,
}

/// What a backend server announces about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Announcement {
    /// A heartbeat of a running server.
    Alive(Heartbeat),
    /// The server is about to stop and accepts no new work.
    Leaves {
        /// The incarnation that is stopping.
        id: Arc<str>,
    },
}

/// A backend server's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The name of the incarnation. A restarted server may reuse it.
    pub id: Arc<str>,
    /// When the incarnation started, in milliseconds since the Unix epoch by the server's clock.
    /// Incarnations are ordered by this value, whatever their names are.
    pub started_ms: u64,
    /// Number of the heartbeat within the incarnation. Heartbeats may arrive out of order.
    pub sequence: u64,
    /// The service that the server belongs to.
    pub service: Arc<str>,
    /// How many requests the server handles at the same time.
    pub slots: u16,
    /// Whether the server is about to stop and accepts no new work.
    pub draining: bool,
}

/// How a run on this node's backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The server sent a complete response.
    Response(proto::Response),
    /// The server sent its documented refusal completely, so the request did not run.
    Refused {
        /// The delay after which the server asks to be tried again.
        retry_after: Option<Duration>,
    },
    /// The address now belongs to another server, whose complete response says that the request did
    /// not run.
    Misdirected,
    /// The deadline passed before the response was complete.
    TimedOut,
    /// No connection could be made, so the request did not run.
    NeverSent,
    /// The connection broke before the response was complete.
    Lost,
}

/// An action for the driver to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Answer a request.
    Answer {
        /// The request.
        token: RequestToken,
        /// The outcome.
        outcome: Outcome,
        /// The idempotency key that this node generated because the caller sent none.
        generated_key: Option<Arc<str>>,
    },
    /// Send a frame to a node.
    Send {
        /// The receiver.
        to: Instance,
        /// The frame.
        frame: Frame,
    },
    /// Send a datagram to a node.
    Datagram {
        /// The receiver's address.
        to: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// Pass a request to this node's backend server.
    Run {
        /// Identifies the run in [`Input::RunEnded`].
        run: RunId,
        /// The request.
        request: Request,
        /// The server incarnation that the request is for, if servers announce themselves.
        expected_server: Option<Arc<str>>,
        /// The time until the request's deadline.
        remaining: Duration,
        /// The run must start within this time, because the right to start it expires then.
        start_within: Option<Duration>,
    },
    /// Ask this node's backend server whether it is healthy and not about to stop. Ends with an
    /// [`Input::ServerChecked`].
    CheckServer {
        /// The incarnation to ask.
        id: Arc<str>,
        /// The path of its health check.
        path: Arc<str>,
    },
    /// Cancel a run. It still ends with an [`Input::RunEnded`].
    CancelRun(RunId),
    /// Append the entries to the log topic atomically, provided that the topic ends at this offset.
    Append {
        /// Identifies the append in its result.
        number: u64,
        /// The expected end of the topic.
        at: u64,
        /// Keys and values.
        entries: Vec<TopicEntry>,
    },
    /// Fetch the result of [`crate::Engine::state_newer_than`] from a node. Ends with an
    /// [`Input::StateFetched`] if the node has newer state. A missing answer is not an error.
    FetchState {
        /// The address of the node.
        from: SocketAddr,
        /// What this node already has.
        known: SyncProgress,
    },
    /// Check at once whether the store has newer rules. Ends with an [`Input::RulesChecked`] or an
    /// [`Input::RulesCheckFailed`].
    CheckRules,
    /// Read the log topic at once, because records are missing.
    ReadLog,
    /// Increment a counter.
    Count(Counter),
    /// Write a diagnostic event to the process log.
    Diagnostic(Diagnostic),
    /// No work is in flight any more; the process may exit.
    Stopped,
}
