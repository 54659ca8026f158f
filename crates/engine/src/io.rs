//! What reaches the engine and what it asks for.

use crate::Counter;
use bytes::Bytes;
use proto::Datagram;
use proto::Frame;
use proto::Incarnation;
use proto::Instance;
use proto::Outcome;
use proto::Request;
use proto::RunId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use stdx::plain;

plain! {
    /// The shell's name for a request that waits for its answer.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Token(pub u64);
}

/// One thing that happened.
#[derive(Debug, Clone)]
pub enum Input {
    /// A caller, or this node's own backend server, asks for something.
    Request {
        /// To answer to.
        token: Token,
        /// Who asks.
        caller: Arc<str>,
        /// The context header, if the request has one.
        context: Option<Arc<str>>,
        /// The `Idempotency-Key` header, if the request has one.
        key: Option<Arc<str>>,
        /// How long the caller will wait, if it says so.
        patience: Option<Duration>,
        /// What is asked.
        request: Request,
    },
    /// Whoever asked has gone.
    CallerGone(Token),
    /// A frame from another node.
    Frame {
        /// From whom.
        from: Incarnation,
        /// What.
        frame: Frame,
    },
    /// The connection to a node is gone. Frames that were sent on it may or may not have arrived.
    PeerLost(Incarnation),
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
    /// Records of the log's stream, by offset.
    Records(Vec<(u64, Bytes)>),
    /// The oldest record that the log still has; comes before the records of the same read.
    LogStart(u64),
    /// The log was read to its end.
    LogRead,
    /// The log's state, from a peer; answers [`Output::FetchState`].
    PeerState(Bytes),
    /// The log did not answer.
    LogUnreachable,
    /// The append with this number was answered.
    Appended(u64),
    /// The append with this number got no answer; it may have taken effect.
    AppendLost(u64),
    /// The process is asked to stop.
    Stop,
    /// Time has passed.
    Tick,
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
        token: Token,
        /// How it ended.
        outcome: Outcome,
        /// The key that this node made for it, if its caller sent none.
        made_key: Option<Arc<str>>,
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
        /// The time the server has.
        remaining: Duration,
        /// The run may not start after this much time, because the right to start it ends then.
        start_within: Option<Duration>,
    },
    /// Cancel a run; it still ends with [`Input::RunEnded`].
    CancelRun(RunId),
    /// Append a record to the log's stream.
    Append {
        /// For the answer.
        number: u64,
        /// The record.
        record: Bytes,
    },
    /// Ask a node for [`crate::Engine::state_after`]; ends with an [`Input::PeerState`] if it has
    /// any. No answer is no fault.
    FetchState {
        /// Its address.
        from: SocketAddr,
        /// The next offset that this node lacks.
        next: u64,
    },
    /// Read the log at once, because something is missing.
    ReadLog,
    /// Count something.
    Count(Counter),
    /// Nothing is in flight any more; the process may end.
    Stopped,
}
