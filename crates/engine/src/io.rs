//! What reaches the engine and what it asks for.

use crate::Counter;
use crate::Diagnostic;
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
    /// The shell's name for a request that waits for its answer.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct RequestToken(pub u64);
}

/// One thing that happened.
#[derive(Debug, Clone)]
pub enum Input {
    /// A caller, or this node's own backend server, asks for something.
    Request {
        /// To answer to.
        token: RequestToken,
        /// Who asks.
        caller: Arc<str>,
        /// The context header, if the request has one.
        context: Option<Arc<str>>,
        /// The id of the request that a backend server serves by this one, as far as its own id
        /// tells. It is a hint: if no such request runs here, this one stands for itself.
        parent: Option<Arc<str>>,
        /// The `Idempotency-Key` header, if the request has one.
        key: Option<Arc<str>>,
        /// The key of an organisation that the caller presents.
        credential: Option<KeyDigest>,
        /// How long the caller will wait, if it says so.
        caller_timeout: Option<Duration>,
        /// What is asked.
        request: Request,
    },
    /// Whoever asked has gone.
    CallerGone(RequestToken),
    /// A frame from another node.
    Frame {
        /// From whom.
        from: Incarnation,
        /// What.
        frame: Frame,
    },
    /// The connection to a node is gone. Frames that were sent on it may or may not have arrived.
    PeerLost(Incarnation),
    /// A node was asked something and says nothing, not even that it still hears; perhaps its process
    /// stands still. The connection is kept.
    PeerQuiet(Incarnation),
    /// A node that was quiet is heard again.
    PeerBack(Incarnation),
    /// No connection to a node could be made; these frames were never sent.
    PeerUnreachable {
        /// Which node.
        peer: Incarnation,
        /// What was not sent.
        unsent: Vec<Frame>,
    },
    /// A datagram.
    Datagram {
        /// From where.
        from: SocketAddr,
        /// What.
        datagram: Datagram,
    },
    /// A run on the own backend server has ended.
    RunEnded {
        /// Which.
        run: RunId,
        /// How.
        end: RunEnd,
    },
    /// Values of the topic of views in their order, by offset.
    Records(Vec<(u64, Bytes)>),
    /// The newest value of each key of the topic, by offset.
    TopicSnapshot {
        /// Offsets and values, in any order.
        values: Vec<(u64, Bytes)>,
        /// Where to read on.
        end: u64,
    },
    /// The topic was read to its end.
    LogCaughtUp,
    /// A peer's state; answers [`Output::FetchState`].
    StateFetched(Bytes),
    /// The operators' newest rules file, from a service that gives out versions itself.
    RulesPublished {
        /// Its version; only rises.
        version: u64,
        /// The file.
        file: Arc<str>,
    },
    /// Addresses at which nodes announced themselves; some may be gone.
    Directory(Vec<SocketAddr>),
    /// The own backend server says something of itself.
    Server(Announcement),
    /// Answers [`Output::CheckServer`].
    ServerChecked {
        /// Which incarnation was asked.
        id: Arc<str>,
        /// It says that it is healthy and stays.
        healthy: bool,
    },
    /// Answers [`Output::CheckRules`].
    RulesChecked {
        /// When the question was sent.
        asked: Time,
        /// The newest version that the store holds; it was entered before, if it could be read.
        version: u64,
    },
    /// The store did not answer [`Output::CheckRules`].
    RulesCheckFailed,
    /// The store did not answer.
    LogUnreachable,
    /// The append with this number was done.
    Appended(u64),
    /// The append with this number was not done, because the topic goes on beyond its offset.
    AppendConflict(u64),
    /// The append with this number got no answer; it may have taken effect, or may later.
    AppendLost(u64),
    /// The process is asked to stop.
    Stop,
    /// Time has passed.
    Tick,
}

/// What a backend server says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Announcement {
    /// It is there.
    Alive(Heartbeat),
    /// It leaves, and takes nothing new.
    Leaves {
        /// Which incarnation of it.
        id: Arc<str>,
    },
}

/// A backend server's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The name of the incarnation. A restarted server may use the name again.
    pub id: Arc<str>,
    /// When the incarnation started, in milliseconds since the Unix epoch by its own clock. Orders
    /// the incarnations, whatever their names.
    pub started_ms: u64,
    /// Counts the heartbeats of the incarnation, because some arrive late.
    pub sequence: u64,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// How much it works on at a time.
    pub slots: u16,
    /// It is about to leave, and takes nothing new.
    pub draining: bool,
}

/// How a run on the own backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// With a whole response.
    Response(proto::Response),
    /// With the server's documented refusal, whole: it did not run.
    Refused {
        /// When the server says to come back.
        retry_after: Option<Duration>,
    },
    /// Another server has the address by now, and said whole that it did not run.
    Misdirected,
    /// The time was up before the response was there.
    TimedOut,
    /// No connection could be made: it did not run.
    NeverSent,
    /// The connection broke before the whole response was there.
    Lost,
}

/// One thing that the shell has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Answer a request.
    Answer {
        /// Which.
        token: RequestToken,
        /// How it ended.
        outcome: Outcome,
        /// The key that this node made for it, if its caller sent none.
        generated_key: Option<Arc<str>>,
    },
    /// Send a frame.
    Send {
        /// To whom.
        to: Instance,
        /// What.
        frame: Frame,
    },
    /// Send a datagram.
    Datagram {
        /// Where to.
        to: SocketAddr,
        /// What.
        datagram: Datagram,
    },
    /// Hand a request to the own backend server.
    Run {
        /// Ends with an [`Input::RunEnded`] of this name.
        run: RunId,
        /// What.
        request: Request,
        /// The incarnation of the server that it is meant for, if servers announce themselves.
        expected_server: Option<Arc<str>>,
        /// The time the server has.
        remaining: Duration,
        /// The run may not start after this much time, because the right to start it ends then.
        start_within: Option<Duration>,
    },
    /// Ask the own backend server whether it is healthy and stays; ends with an
    /// [`Input::ServerChecked`].
    CheckServer {
        /// The incarnation that is meant.
        id: Arc<str>,
        /// Where it says so.
        path: Arc<str>,
    },
    /// Cancel a run; it still ends with [`Input::RunEnded`].
    CancelRun(RunId),
    /// Append to the topic of views, if it ends at this offset, all or nothing.
    Append {
        /// For the answer.
        number: u64,
        /// The offset.
        at: u64,
        /// Keys and values.
        entries: Vec<TopicEntry>,
    },
    /// Ask a node for [`crate::Engine::state_beyond`]; ends with an [`Input::StateFetched`] if it has
    /// any. No answer is no fault.
    FetchState {
        /// Its address.
        from: SocketAddr,
        /// What this node knows.
        known: SyncProgress,
    },
    /// Find out at once whether the store has newer rules; ends with an [`Input::RulesChecked`] or
    /// [`Input::RulesCheckFailed`].
    CheckRules,
    /// Read the topic at once, because something is missing.
    ReadLog,
    /// Count something.
    Count(Counter),
    /// Write down a decision.
    Diagnostic(Diagnostic),
    /// Nothing is in flight any more; the process may end.
    Stopped,
}
