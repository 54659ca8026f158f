//! One connection between two nodes: frames both ways, and whether the other end is still there.
//!
//! Slow is not dead: only an end that sends nothing at all, not even part of a frame, after it was
//! asked something is taken for silent. Reading and writing do not wait for each other, so a peer
//! that does not read cannot keep this end from hearing it, or from giving up on it.

use crate::peers::Peers;
use crate::shell::Shell;
use crate::wire::read;
use crate::wire::ReadError;
use crate::wire::Wire;
use bytes::Bytes;
use engine::Counter;
use engine::Input;
use engine::LinkEvent;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use futures_util::SinkExt;
use futures_util::StreamExt;
use indexmap::IndexSet;
use proto::CallId;
use proto::Frame;
use proto::Incarnation;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// The most frames that wait for a link.
const MAX_FRAMES: usize = 1024;

/// The most bytes that wait for a link.
const MAX_BYTES: usize = 16 << 20;

/// How long the other end may take to say anything before it is pinged.
const PING_AFTER: Duration = Duration::from_millis(150);

/// After how long without any sign, a ping included, no new calls are to go there. A process that lives
/// answers a ping within the way there and back, 40 ms between regions. With only [`SILENT_AFTER`],
/// a machine that stands still keeps all that is sent to it in two seconds.
const QUIET_AFTER: Duration = Duration::from_millis(350);

/// How often a link is looked at while something is awaited, and else.
const WATCH: Duration = Duration::from_millis(100);
const WATCH_IDLE: Duration = Duration::from_millis(250);

/// How long it may be silent, pings included, before the link is given up.
const SILENT_AFTER: Duration = Duration::from_secs(2);

/// How long a write may make no progress. The other end may be alive but not reading.
const STALLED_AFTER: Duration = Duration::from_secs(5);

/// A link on which nothing happens is closed after this time.
const IDLE_AFTER: Duration = Duration::from_secs(60);

/// A link that another one has taken the place of is closed when it was quiet for this long.
const RETIRED_AFTER: Duration = Duration::from_secs(5);

/// Why a link has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkEnd {
    /// The other end closed it, or the connection broke.
    Closed,
    /// Nothing was heard after something was asked.
    Silent,
    /// A write made no progress.
    Stalled,
    /// Nothing happened on it for long.
    Idle,
    /// What came is no frame.
    Broken,
    /// This end gave it up, because an answer did not fit into its queue.
    GivenUp,
}

/// A frame did not fit.
pub(crate) struct Full(pub(crate) Frame);

/// What waits to be written on one link, and what this end waits to hear on it.
#[derive(Default)]
pub(crate) struct Queue {
    /// Frames, encoded; with the id if it is a call.
    frames: RefCell<VecDeque<(Option<CallId>, Bytes)>>,
    /// Calls among them.
    waiting: RefCell<IndexSet<CallId>>,
    bytes: Cell<usize>,
    /// Calls whose answers are to come on this link.
    awaited: RefCell<IndexSet<CallId>>,
    wake: Notify,
    pong: Cell<Option<u64>>,
    ping: Cell<bool>,
    retired: Cell<bool>,
    given_up: Notify,
}

impl Queue {
    pub(crate) fn push(&self, frame: Frame, encoded: Bytes) -> Result<(), Full> {
        // A call that still waits here is not needed twice; it comes again when another link to the
        // same peer is lost.
        if let Frame::Call(call) = &frame {
            if self.waiting.borrow().contains(&call.id) {
                return Ok(());
            }
        }
        let len = self.frames.borrow().len();
        if len >= MAX_FRAMES || self.bytes.get() + encoded.len() > MAX_BYTES {
            return Err(Full(frame));
        }
        match &frame {
            Frame::Call(call) => {
                self.awaited.borrow_mut().insert(call.id);
                self.waiting.borrow_mut().insert(call.id);
            }
            Frame::Cancel(id) => {
                self.awaited.borrow_mut().swap_remove(id);
            }
            _ => {}
        }
        self.bytes.set(self.bytes.get() + encoded.len());
        let call = match &frame {
            Frame::Call(call) => Some(call.id),
            _ => None,
        };
        self.frames.borrow_mut().push_back((call, encoded));
        self.wake.notify_one();
        Ok(())
    }

    fn pop(&self) -> Option<Bytes> {
        let (call, bytes) = self.frames.borrow_mut().pop_front()?;
        if let Some(call) = call {
            self.waiting.borrow_mut().swap_remove(&call);
        }
        self.bytes.set(self.bytes.get() - bytes.len());
        Some(bytes)
    }

    /// Takes out what was not written.
    pub(crate) fn drain(&self) -> Vec<Frame> {
        let unsent = std::iter::from_fn(|| self.pop());
        unsent
            .filter_map(|bytes| proto::decode(&bytes).ok())
            .collect()
    }

    /// Whether frames wait to be written.
    pub(crate) fn has_unsent(&self) -> bool {
        !self.frames.borrow().is_empty()
    }

    /// Another link has taken this one's place: it only finishes what is under way.
    pub(crate) fn retire(&self) {
        self.retired.set(true);
    }

    /// Ends the link.
    pub(crate) fn give_up(&self) {
        self.given_up.notify_one();
    }

    fn answer_ping(&self, n: u64) {
        self.pong.set(Some(n));
        self.wake.notify_one();
    }

    fn send_ping(&self) {
        self.ping.set(true);
        self.wake.notify_one();
    }

    /// The next frame to write; what keeps the link alive goes first.
    fn next(&self) -> Option<Bytes> {
        if let Some(n) = self.pong.take() {
            return Some(encode(&Frame::Pong(n)));
        }
        if self.ping.take() {
            return Some(encode(&Frame::Ping(0)));
        }
        self.pop()
    }
}

/// When things last happened on a link.
struct Times {
    /// The first write since the other end was last heard.
    asked: Cell<Option<Instant>>,
    /// When a frame other than a ping or pong last passed.
    used: Cell<Instant>,
    /// When the write that is under way began.
    writing: Cell<Option<Instant>>,
    /// When the last whole frame was read.
    framed: Cell<Instant>,
}

/// Carries frames both ways until the link ends.
pub(crate) async fn carry(
    shell: &Rc<Shell>,
    peer: Incarnation,
    wire: Wire,
    queue: &Queue,
) -> LinkEnd {
    let progress = wire.get_ref().progress();
    let times = Times {
        asked: Cell::new(None),
        used: Cell::new(Instant::now()),
        writing: Cell::new(None),
        framed: Cell::new(Instant::now()),
    };
    let (sink, stream) = wire.split();
    tokio::select! {
        end = read_frames(shell, peer, stream, queue, &times) => end,
        end = write_frames(sink, queue, &times) => end,
        end = watch(shell, peer, queue, &times, &progress) => end,
        () = queue.given_up.notified() => LinkEnd::GivenUp,
    }
}

async fn read_frames(
    shell: &Rc<Shell>,
    peer: Incarnation,
    mut stream: SplitStream<Wire>,
    queue: &Queue,
    times: &Times,
) -> LinkEnd {
    loop {
        let frame = match read(&mut stream).await {
            Ok(frame) => frame,
            Err(ReadError::Closed) => return LinkEnd::Closed,
            Err(ReadError::TooLarge) => {
                shell.count(Counter::Link(LinkEvent::FrameTooLarge));
                return LinkEnd::Broken;
            }
            Err(ReadError::Malformed) => {
                shell.count(Counter::Link(LinkEvent::MalformedFrame));
                return LinkEnd::Broken;
            }
        };
        times.framed.set(Instant::now());
        match frame {
            Frame::Ping(n) => queue.answer_ping(n),
            Frame::Pong(_) => {}
            frame => {
                if let Frame::Answer(id, _) = &frame {
                    queue.awaited.borrow_mut().swap_remove(id);
                }
                times.used.set(Instant::now());
                shell.feed(Input::Frame { from: peer, frame });
            }
        }
    }
}

async fn write_frames(mut sink: SplitSink<Wire, Bytes>, queue: &Queue, times: &Times) -> LinkEnd {
    loop {
        let Some(frame) = queue.next() else {
            queue.wake.notified().await;
            continue;
        };
        times.writing.set(Some(Instant::now()));
        if write_all(&mut sink, frame, queue, times).await.is_err() {
            return LinkEnd::Closed;
        }
        times.writing.set(None);
    }
}

/// Writes a frame and all that wait behind it, then flushes once.
async fn write_all(
    sink: &mut SplitSink<Wire, Bytes>,
    first: Bytes,
    queue: &Queue,
    times: &Times,
) -> std::io::Result<()> {
    let mut next = Some(first);
    while let Some(frame) = next {
        let now = Instant::now();
        if times.asked.get().is_none() {
            times.asked.set(Some(now));
        }
        if frame.len() > MAX_PING {
            times.used.set(now);
        }
        sink.feed(frame).await?;
        next = queue.next();
    }
    sink.flush().await
}

/// Pings and pongs are no longer than this; they do not count as use.
const MAX_PING: usize = 11;

/// Pings the other end when something is awaited, and ends the link when it must.
async fn watch(
    shell: &Rc<Shell>,
    peer: Incarnation,
    queue: &Queue,
    times: &Times,
    progress: &crate::wire::Progress,
) -> LinkEnd {
    let mut quiet = false;
    loop {
        let is_idle = queue.awaited.borrow().is_empty() && times.asked.get().is_none();
        tokio::time::sleep(if is_idle { WATCH_IDLE } else { WATCH }).await;
        let now = Instant::now();
        let heard = progress.heard.get();
        if times.asked.get().is_some_and(|asked| heard >= asked) {
            times.asked.set(None);
        }
        // A large frame that still gets on is as good as an answer.
        let got_on = |began: Instant| began.max(progress.wrote.get());
        let writing = times.writing.get().map(got_on);
        if writing.is_some_and(|at| now - at >= STALLED_AFTER) {
            return LinkEnd::Stalled;
        }
        let awaits = !queue.awaited.borrow().is_empty();
        // A write that hangs has asked something too, though the end was heard after it began.
        let asked = match (times.asked.get(), writing) {
            (Some(asked), Some(got_on)) => Some(asked.max(got_on)),
            (asked, writing) => asked.or(writing),
        };
        if let Some(asked) = asked.filter(|asked| now - *asked >= QUIET_AFTER) {
            if !std::mem::replace(&mut quiet, true) {
                let ms = (now - asked).as_millis();
                log::info!("event=peer_quiet peer={peer} asked_ms={ms}");
            }
            shell.feed(Input::PeerQuiet(peer));
        } else if std::mem::take(&mut quiet) {
            log::info!("event=peer_back peer={peer}");
            shell.feed(Input::PeerBack(peer));
        }
        match asked {
            Some(asked) if now - asked >= SILENT_AFTER => return LinkEnd::Silent,
            Some(asked) if now - asked >= PING_AFTER => queue.send_ping(),
            None if awaits && now - heard >= PING_AFTER => queue.send_ping(),
            _ => {}
        }
        // Part of a large frame has come. The other end hears nothing before it is whole, and would
        // take this end for silent.
        if heard > times.framed.get() {
            queue.answer_ping(0);
        }
        let patience = if queue.retired.get() {
            RETIRED_AFTER
        } else {
            IDLE_AFTER
        };
        let unused = now - times.used.get() >= patience && now - heard >= PING_AFTER;
        if unused && !awaits {
            return LinkEnd::Idle;
        }
    }
}

fn encode(frame: &Frame) -> Bytes {
    Bytes::from(proto::encode(frame))
}

/// Runs a link from its start to its end, and tells the engine what became of what was sent.
pub(crate) async fn run(
    shell: Rc<Shell>,
    peer: Incarnation,
    number: u64,
    wire: Wire,
    queue: Rc<Queue>,
) {
    let end = carry(&shell, peer, wire, &queue).await;
    log::debug!("event=link_end peer={peer} why={end:?}");
    match end {
        LinkEnd::Silent => shell.count(Counter::Link(LinkEvent::Silent)),
        LinkEnd::Stalled => shell.count(Counter::Link(LinkEvent::Stalled)),
        LinkEnd::Closed | LinkEnd::Idle | LinkEnd::Broken | LinkEnd::GivenUp => {}
    }
    shell.peers().close(peer, number, end);
    // What was never written certainly did not arrive. It has to be said before the loss, which
    // would send it again as if it might have.
    Peers::fail_unsent(&shell, peer, queue.drain());
    shell.feed(Input::PeerLost(peer));
}
