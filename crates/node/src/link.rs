//! A connection between two nodes: carries frames in both directions and monitors the other end.
//!
//! A slow peer is not dead: it is only considered silent if it sends nothing at all, not even part
//! of a frame, after this end has sent something. Reading and writing do not block each other, so
//! this end still receives from a peer that does not read, and can still close the link.

use crate::framing::read_frame;
use crate::framing::FramedStream;
use crate::framing::ReadError;
use crate::peers::Peers;
use crate::shell::Shell;
use bytes::Bytes;
use engine::Counter;
use engine::Input;
use engine::LinkEvent;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use futures_util::SinkExt;
use futures_util::StreamExt;
use httpconn::ResponseBudget;
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

/// Most frames queued for a link.
const MAX_QUEUED_FRAMES: usize = 1024;

/// Most bytes queued for a link.
const MAX_QUEUED_BYTES: usize = 16 << 20;

/// How long the peer may stay silent before it is pinged.
const PING_DELAY: Duration = Duration::from_millis(150);

/// How long the peer may stay silent, even to a ping, before it gets no new calls. A live process
/// answers within one round trip, which takes 40 ms between regions. With [`SILENT_TIMEOUT`] alone,
/// a machine that is paused would hold up everything sent to it for two seconds.
const QUIET_TIMEOUT: Duration = Duration::from_millis(350);

/// How often a link is checked while an answer is outstanding.
const MONITOR_INTERVAL: Duration = Duration::from_millis(100);

/// How often a link is checked while it is idle.
const IDLE_MONITOR_INTERVAL: Duration = Duration::from_millis(250);

/// How long the peer may stay silent, even to pings, before the link is closed.
const SILENT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a write may make no progress. The peer may be alive but not reading.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// An unused link is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A link replaced by another one is closed after being unused for this long.
const RETIRED_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a link ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkEnd {
    /// The peer closed the connection, or it broke.
    Closed,
    /// The peer was silent after something was sent to it.
    Silent,
    /// A write made no progress.
    Stalled,
    /// The link was unused.
    Idle,
    /// The peer sent bytes that are not a frame.
    Broken,
    /// This end closed the link because an answer did not fit into the send queue.
    GivenUp,
}

/// The send queue has no room for this frame.
pub(crate) struct SendQueueFull(pub(crate) Frame);

/// Frames waiting to be written to one link, and calls whose answers are expected on it.
pub(crate) struct SendQueue {
    /// The memory that queued frames share with responses that are being read.
    budget: ResponseBudget,
    /// Encoded frames, with the id if the frame is a call.
    frames: RefCell<VecDeque<(Option<CallId>, Bytes)>>,
    /// Calls that are still in `frames`.
    queued_calls: RefCell<IndexSet<CallId>>,
    queued_bytes: Cell<usize>,
    /// Calls whose answers are expected on this link.
    awaited_calls: RefCell<IndexSet<CallId>>,
    wake: Notify,
    /// The number of a received ping that is not answered yet.
    pending_pong: Cell<Option<u64>>,
    ping_requested: Cell<bool>,
    /// Whether another link has replaced this one.
    retired: Cell<bool>,
    aborted: Notify,
}

impl SendQueue {
    pub(crate) fn new(budget: ResponseBudget) -> Self {
        Self {
            budget,
            frames: RefCell::default(),
            queued_calls: RefCell::default(),
            queued_bytes: Cell::new(0),
            awaited_calls: RefCell::default(),
            wake: Notify::new(),
            pending_pong: Cell::new(None),
            ping_requested: Cell::new(false),
            retired: Cell::new(false),
            aborted: Notify::new(),
        }
    }

    /// Queues a frame with its encoding.
    pub(crate) fn push(&self, frame: Frame, encoded: Bytes) -> Result<(), SendQueueFull> {
        // A call that is still queued need not be queued again; that happens when another link to
        // the same peer is lost.
        if let Frame::Call(call) = &frame {
            if self.queued_calls.borrow().contains(&call.id) {
                return Ok(());
            }
        }
        let len = self.frames.borrow().len();
        if len >= MAX_QUEUED_FRAMES || self.queued_bytes.get() + encoded.len() > MAX_QUEUED_BYTES {
            return Err(SendQueueFull(frame));
        }
        match &frame {
            Frame::Call(call) => {
                self.awaited_calls.borrow_mut().insert(call.id);
                self.queued_calls.borrow_mut().insert(call.id);
            }
            Frame::Cancel(id) => {
                self.awaited_calls.borrow_mut().swap_remove(id);
            }
            _ => {}
        }
        self.queued_bytes
            .set(self.queued_bytes.get() + encoded.len());
        self.budget.add_queued(encoded.len());
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
            self.queued_calls.borrow_mut().swap_remove(&call);
        }
        self.queued_bytes.set(self.queued_bytes.get() - bytes.len());
        self.budget.remove_queued(bytes.len());
        Some(bytes)
    }

    /// Removes and returns the frames that were not written.
    pub(crate) fn drain(&self) -> Vec<Frame> {
        let unsent = std::iter::from_fn(|| self.pop());
        unsent
            .filter_map(|bytes| proto::decode(&bytes).ok())
            .collect()
    }

    /// Whether any frames are still to be written.
    pub(crate) fn has_unsent(&self) -> bool {
        !self.frames.borrow().is_empty()
    }

    /// Marks the link as replaced: it only completes what is in flight.
    pub(crate) fn retire(&self) {
        self.retired.set(true);
    }

    /// Closes the link.
    pub(crate) fn abort(&self) {
        self.aborted.notify_one();
    }

    fn answer_ping(&self, n: u64) {
        self.pending_pong.set(Some(n));
        self.wake.notify_one();
    }

    fn send_ping(&self) {
        self.ping_requested.set(true);
        self.wake.notify_one();
    }

    /// The next frame to write. Pings and pongs go first, because they keep the link alive.
    fn next_frame(&self) -> Option<Bytes> {
        if let Some(n) = self.pending_pong.take() {
            return Some(encode(&Frame::Pong(n)));
        }
        if self.ping_requested.take() {
            return Some(encode(&Frame::Ping(0)));
        }
        self.pop()
    }
}

impl Drop for SendQueue {
    fn drop(&mut self) {
        self.budget.remove_queued(self.queued_bytes.get());
    }
}

/// When things last happened on a link.
struct LinkActivity {
    /// The first write since bytes were last received.
    unanswered_since: Cell<Option<Instant>>,
    /// When a frame other than a ping or pong was last sent or received.
    last_used: Cell<Instant>,
    /// When the current write started.
    write_started: Cell<Option<Instant>>,
    /// When the last complete frame was received.
    last_frame: Cell<Instant>,
}

/// Carries frames in both directions until the link ends.
pub(crate) async fn transfer_frames(
    shell: &Rc<Shell>,
    peer: Incarnation,
    stream: FramedStream,
    queue: &SendQueue,
) -> LinkEnd {
    let progress = stream.get_ref().progress();
    let activity = LinkActivity {
        unanswered_since: Cell::new(None),
        last_used: Cell::new(Instant::now()),
        write_started: Cell::new(None),
        last_frame: Cell::new(Instant::now()),
    };
    let (sink, source) = stream.split();
    tokio::select! {
        end = read_frames(shell, peer, source, queue, &activity) => end,
        end = write_frames(sink, queue, &activity) => end,
        end = monitor(shell, peer, queue, &activity, &progress) => end,
        () = queue.aborted.notified() => LinkEnd::GivenUp,
    }
}

async fn read_frames(
    shell: &Rc<Shell>,
    peer: Incarnation,
    mut source: SplitStream<FramedStream>,
    queue: &SendQueue,
    activity: &LinkActivity,
) -> LinkEnd {
    loop {
        let frame = match read_frame(&mut source).await {
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
        activity.last_frame.set(Instant::now());
        match frame {
            Frame::Ping(n) => queue.answer_ping(n),
            Frame::Pong(_) => {}
            frame => {
                if let Frame::Answer(id, _) = &frame {
                    queue.awaited_calls.borrow_mut().swap_remove(id);
                }
                activity.last_used.set(Instant::now());
                shell.handle_input(Input::Frame { from: peer, frame });
                shell.callers.settle().await;
            }
        }
    }
}

async fn write_frames(
    mut sink: SplitSink<FramedStream, Bytes>,
    queue: &SendQueue,
    activity: &LinkActivity,
) -> LinkEnd {
    loop {
        let Some(frame) = queue.next_frame() else {
            queue.wake.notified().await;
            continue;
        };
        activity.write_started.set(Some(Instant::now()));
        if write_batch(&mut sink, frame, queue, activity)
            .await
            .is_err()
        {
            return LinkEnd::Closed;
        }
        activity.write_started.set(None);
    }
}

/// Writes a frame and everything queued behind it, then flushes once.
async fn write_batch(
    sink: &mut SplitSink<FramedStream, Bytes>,
    first: Bytes,
    queue: &SendQueue,
    activity: &LinkActivity,
) -> std::io::Result<()> {
    let mut next = Some(first);
    while let Some(frame) = next {
        let now = Instant::now();
        if activity.unanswered_since.get().is_none() {
            activity.unanswered_since.set(Some(now));
        }
        if frame.len() > MAX_PING_LEN {
            activity.last_used.set(now);
        }
        sink.feed(frame).await?;
        next = queue.next_frame();
    }
    sink.flush().await
}

/// Longest encoded ping or pong; frames up to this length do not count as use of the link.
const MAX_PING_LEN: usize = 11;

/// Pings the peer while an answer is outstanding, and ends the link on a time-out.
async fn monitor(
    shell: &Rc<Shell>,
    peer: Incarnation,
    queue: &SendQueue,
    activity: &LinkActivity,
    progress: &crate::framing::Progress,
) -> LinkEnd {
    let mut is_quiet = false;
    loop {
        let is_idle =
            queue.awaited_calls.borrow().is_empty() && activity.unanswered_since.get().is_none();
        tokio::time::sleep(if is_idle {
            IDLE_MONITOR_INTERVAL
        } else {
            MONITOR_INTERVAL
        })
        .await;
        let now = Instant::now();
        let last_read = progress.last_read.get();
        if activity
            .unanswered_since
            .get()
            .is_some_and(|since| last_read >= since)
        {
            activity.unanswered_since.set(None);
        }
        // Progress within a large frame shows that the peer is alive.
        let last_progress = |started: Instant| started.max(progress.last_write.get());
        let write_progress = activity.write_started.get().map(last_progress);
        if write_progress.is_some_and(|at| now - at >= WRITE_STALL_TIMEOUT) {
            return LinkEnd::Stalled;
        }
        let awaits_answer = !queue.awaited_calls.borrow().is_empty();
        // A stalled write counts as unanswered too, even if bytes were received after it started.
        let unanswered_since = match (activity.unanswered_since.get(), write_progress) {
            (Some(since), Some(write_progress)) => Some(since.max(write_progress)),
            (since, write_progress) => since.or(write_progress),
        };
        if let Some(since) = unanswered_since.filter(|since| now - *since >= QUIET_TIMEOUT) {
            if !std::mem::replace(&mut is_quiet, true) {
                let ms = (now - since).as_millis();
                log::info!("event=peer_quiet peer={peer} asked_ms={ms}");
            }
            shell.handle_input(Input::PeerQuiet(peer));
        } else if std::mem::take(&mut is_quiet) {
            log::info!("event=peer_back peer={peer}");
            shell.handle_input(Input::PeerBack(peer));
        }
        match unanswered_since {
            Some(since) if now - since >= SILENT_TIMEOUT => return LinkEnd::Silent,
            Some(since) if now - since >= PING_DELAY => queue.send_ping(),
            None if awaits_answer && now - last_read >= PING_DELAY => queue.send_ping(),
            _ => {}
        }
        // Part of a large frame has arrived. Until it is complete, this end has nothing to answer,
        // and the peer would consider it silent.
        if last_read > activity.last_frame.get() {
            queue.answer_ping(0);
        }
        let idle_limit = if queue.retired.get() {
            RETIRED_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        let is_unused =
            now - activity.last_used.get() >= idle_limit && now - last_read >= PING_DELAY;
        if is_unused && !awaits_answer {
            return LinkEnd::Idle;
        }
    }
}

fn encode(frame: &Frame) -> Bytes {
    Bytes::from(proto::encode(frame))
}

/// Runs a link from start to end, and reports to the engine what happened to the frames sent on it.
pub(crate) async fn run(
    shell: Rc<Shell>,
    peer: Incarnation,
    link_id: u64,
    stream: FramedStream,
    queue: Rc<SendQueue>,
) {
    let end = transfer_frames(&shell, peer, stream, &queue).await;
    log::debug!("event=link_end peer={peer} why={end:?}");
    match end {
        LinkEnd::Silent => shell.count(Counter::Link(LinkEvent::Silent)),
        LinkEnd::Stalled => shell.count(Counter::Link(LinkEvent::Stalled)),
        LinkEnd::Closed | LinkEnd::Idle | LinkEnd::Broken | LinkEnd::GivenUp => {}
    }
    shell.peers().close(peer, link_id, end);
    // Frames that were never written certainly did not arrive. This must be reported before the
    // loss of the link; afterwards they would be sent again as calls that may have run.
    Peers::requeue_or_report(&shell, peer, queue.drain());
    shell.handle_input(Input::PeerLost(peer));
}
