//! TCP connections between nodes: one link to each peer that frames are sent to.

use crate::fetch;
use crate::framing::framed;
use crate::framing::read_frame;
use crate::framing::write_frame;
use crate::framing::FramedStream;
use crate::framing::ReadError;
use crate::framing::MAX_FRAME;
use crate::link;
use crate::link::LinkEnd;
use crate::link::SendQueue;
use crate::link::SendQueueFull;
use crate::shell::Shell;
use bytes::Bytes;
use engine::Counter;
use engine::Input;
use engine::LinkEvent;
use httpconn::ResponseBudget;
use indexmap::IndexMap;
use proto::Frame;
use proto::Incarnation;
use proto::Instance;
use proto::PROTOCOL_VERSION;
use rand::RngExt;
use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio::time::Instant;

/// Time-out for connecting, and for the first frame of a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a peer is not dialled after a failed dial; doubles with each failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// How many times the backoff doubles at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Maximum random delay of a dial right after a link was lost. All nodes linked to a peer lose it
/// at the same time, and would otherwise all dial it at once.
const MAX_REDIAL_JITTER: Duration = Duration::from_millis(50);

/// Most peers whose failures are remembered.
const MAX_FAILURE_ENTRIES: usize = 4096;

/// Links, by the peer's incarnation.
pub(crate) struct Peers {
    budget: ResponseBudget,
    links: RefCell<IndexMap<Incarnation, Link>>,
    recent_failures: RefCell<IndexMap<Incarnation, PeerFailures>>,
    next_link_id: Cell<u64>,
}

struct Link {
    id: u64,
    queue: Rc<SendQueue>,
    /// Whether this node dialled, rather than accepted the connection.
    dialled: bool,
    /// When the link was registered.
    opened_at: Instant,
}

/// Recent connection failures of one peer.
#[derive(Default)]
struct PeerFailures {
    /// Number of failed dials in a row.
    consecutive_failed_dials: u32,
    retry_at: Option<Instant>,
    link_lost_at: Option<Instant>,
}

impl Peers {
    /// Without links. Frames that wait to be written share `budget` with responses.
    pub(crate) fn new(budget: ResponseBudget) -> Self {
        Self {
            budget,
            links: RefCell::default(),
            recent_failures: RefCell::default(),
            next_link_id: Cell::new(0),
        }
    }

    /// Whether any link has frames that are still to be written.
    pub(crate) fn has_unsent(&self) -> bool {
        self.links
            .borrow()
            .values()
            .any(|link| link.queue.has_unsent())
    }

    /// Sends a frame to a peer, dialling it if there is no link yet.
    pub(crate) fn send(&self, shell: &Rc<Shell>, to: Instance, frame: Frame) {
        let peer = to.incarnation;
        let encoded = Bytes::from(proto::encode(&frame));
        if encoded.len() > MAX_FRAME {
            shell.count(Counter::Link(LinkEvent::FrameTooLarge));
            return Self::report_unsent(shell, peer, frame);
        }
        let queue = self
            .links
            .borrow()
            .get(&peer)
            .map(|link| link.queue.clone());
        if let Some(queue) = queue {
            if let Err(SendQueueFull(frame)) = queue.push(frame, encoded) {
                Self::on_queue_full(shell, peer, &queue, frame);
            }
            return;
        }
        if self.is_backing_off(peer) {
            shell.count(Counter::Link(LinkEvent::DialDeferred));
            return Self::report_unsent(shell, peer, frame);
        }
        let (link_id, queue) = self.register_link(peer, true);
        // A new queue has room.
        let _ = queue.push(frame, encoded);
        actix_rt::spawn(dial(shell.clone(), to, link_id, queue));
    }

    /// A call that does not fit was not sent and may be routed elsewhere. An answer can only go to
    /// the calling node: closing the link makes that node re-attach to the call and fetch the
    /// answer then.
    fn on_queue_full(shell: &Rc<Shell>, peer: Incarnation, queue: &SendQueue, frame: Frame) {
        shell.count(Counter::Link(LinkEvent::QueueFull));
        match frame {
            Frame::Answer(..) => queue.abort(),
            frame => Self::report_unsent(shell, peer, frame),
        }
    }

    /// Reports a frame as not sent, in a separate task because the engine's outputs are still being
    /// executed.
    fn report_unsent(shell: &Rc<Shell>, peer: Incarnation, frame: Frame) {
        let shell = shell.clone();
        actix_rt::spawn(async move {
            let unsent = vec![frame];
            shell.handle_input(Input::PeerUnreachable { peer, unsent });
        });
    }

    /// Handles the frames left over from a link: queues them on its replacement, or reports them as
    /// not sent.
    pub(crate) fn requeue_or_report(shell: &Rc<Shell>, peer: Incarnation, frames: Vec<Frame>) {
        let links = shell.peers().links.borrow();
        let queue = links.get(&peer).map(|link| link.queue.clone());
        drop(links);
        let mut unsent = Vec::new();
        for frame in frames {
            let encoded = Bytes::from(proto::encode(&frame));
            match &queue {
                Some(queue) => unsent.extend(queue.push(frame, encoded).err().map(|full| full.0)),
                None => unsent.push(frame),
            }
        }
        if !unsent.is_empty() {
            shell.handle_input(Input::PeerUnreachable { peer, unsent });
        }
    }

    /// Registers a link. It replaces an earlier one, which ends once it is unused.
    fn register_link(&self, peer: Incarnation, dialled: bool) -> (u64, Rc<SendQueue>) {
        let link_id = self.next_link_id.get();
        self.next_link_id.set(link_id + 1);
        let queue = Rc::new(SendQueue::new(self.budget.clone()));
        let link = Link {
            id: link_id,
            queue: queue.clone(),
            dialled,
            opened_at: Instant::now(),
        };
        if let Some(replaced) = self.links.borrow_mut().insert(peer, link) {
            replaced.queue.retire();
        }
        (link_id, queue)
    }

    /// Registers a link that the peer dialled. If both ends dialled at the same time, both use the
    /// link dialled by the lower incarnation; with the newer link instead, each end could retire
    /// the one that the other uses. A link that this node dialled longer ago than
    /// [`CONNECT_TIMEOUT`] may already be lost at the other end, so it is always replaced.
    fn register_accepted_link(
        &self,
        own_incarnation: Incarnation,
        peer: Incarnation,
    ) -> (u64, Rc<SendQueue>) {
        let keeps_own_link = self.links.borrow().get(&peer).is_some_and(|link| {
            link.dialled && own_incarnation < peer && link.opened_at.elapsed() < CONNECT_TIMEOUT
        });
        if !keeps_own_link {
            return self.register_link(peer, false);
        }
        let link_id = self.next_link_id.get();
        self.next_link_id.set(link_id + 1);
        let queue = Rc::new(SendQueue::new(self.budget.clone()));
        queue.retire();
        (link_id, queue)
    }

    /// Removes a link, unless another one has replaced it.
    pub(crate) fn close(&self, peer: Incarnation, link_id: u64, end: LinkEnd) {
        let mut links = self.links.borrow_mut();
        if links.get(&peer).is_some_and(|link| link.id == link_id) {
            links.swap_remove(&peer);
        }
        if end != LinkEnd::Idle {
            self.update_failures(peer, |failures| {
                failures.link_lost_at = Some(Instant::now())
            });
        }
    }

    fn update_failures(&self, peer: Incarnation, change: impl FnOnce(&mut PeerFailures)) {
        let mut recent_failures = self.recent_failures.borrow_mut();
        if recent_failures.len() >= MAX_FAILURE_ENTRIES && !recent_failures.contains_key(&peer) {
            // Incarnations never return, so the oldest entry is the least useful one.
            recent_failures.shift_remove_index(0);
        }
        change(recent_failures.entry(peer).or_default());
    }

    fn is_backing_off(&self, peer: Incarnation) -> bool {
        let recent_failures = self.recent_failures.borrow();
        let retry_at = recent_failures
            .get(&peer)
            .and_then(|failures| failures.retry_at);
        retry_at.is_some_and(|at| Instant::now() < at)
    }

    fn redial_delay(&self, peer: Incarnation) -> Duration {
        let recent_failures = self.recent_failures.borrow();
        let link_lost_at = recent_failures
            .get(&peer)
            .and_then(|failures| failures.link_lost_at);
        match link_lost_at {
            Some(at) if at.elapsed() < CONNECT_TIMEOUT => {
                MAX_REDIAL_JITTER.mul_f64(rand::rng().random_range(0.0..1.0))
            }
            _ => Duration::ZERO,
        }
    }

    fn on_dial_failed(&self, peer: Incarnation) {
        self.update_failures(peer, |failures| {
            let backoff =
                FIRST_BACKOFF * (1 << failures.consecutive_failed_dials.min(MAX_BACKOFF_DOUBLINGS));
            let backoff = backoff.mul_f64(rand::rng().random_range(0.5..1.5));
            failures.consecutive_failed_dials += 1;
            failures.retry_at = Some(Instant::now() + backoff);
        });
    }
}

pub(crate) async fn accept(shell: Rc<Shell>, listener: TcpListener) {
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        actix_rt::spawn(accept_link(shell.clone(), tcp));
    }
}

/// Accepts a connection from a peer.
async fn accept_link(shell: Rc<Shell>, tcp: TcpStream) {
    let mut stream = framed(tcp);
    let hello = timeout(CONNECT_TIMEOUT, read_frame(&mut stream)).await;
    let (from, to) = match hello {
        Ok(Ok(Frame::Hello {
            version: PROTOCOL_VERSION,
            from,
            to,
        })) => (from, to),
        Ok(Ok(Frame::Hello { .. })) => {
            return shell.count(Counter::Link(LinkEvent::WrongVersion));
        }
        Ok(Err(ReadError::TooLarge)) => {
            return shell.count(Counter::Link(LinkEvent::FrameTooLarge));
        }
        Ok(Ok(_) | Err(ReadError::Malformed)) => {
            return shell.count(Counter::Link(LinkEvent::MalformedFrame));
        }
        // The other end connected but sent no hello, so it is not a peer.
        Err(_) | Ok(Err(ReadError::Closed)) => {
            return shell.count(Counter::Link(LinkEvent::NoHello));
        }
    };
    let hello = hello_frame(&shell, Some(from));
    if !matches!(
        timeout(CONNECT_TIMEOUT, write_frame(&mut stream, &hello)).await,
        Ok(Ok(()))
    ) {
        return;
    }
    let Some(to) = to else {
        return fetch::serve_request(&shell, &mut stream).await;
    };
    // The peer expects an earlier incarnation at this address. Closing the connection tells it that
    // the earlier incarnation is gone.
    if to != shell.own_instance.incarnation {
        return;
    }
    let (link_id, queue) = shell
        .peers()
        .register_accepted_link(shell.own_instance.incarnation, from);
    link::run(shell, from, link_id, stream, queue).await;
}

/// Dials a peer.
async fn dial(shell: Rc<Shell>, to: Instance, link_id: u64, queue: Rc<SendQueue>) {
    let peer = to.incarnation;
    tokio::time::sleep(shell.peers().redial_delay(peer)).await;
    match timeout(CONNECT_TIMEOUT, connect(&shell, &to)).await {
        Ok(Some(stream)) => {
            shell
                .peers()
                .recent_failures
                .borrow_mut()
                .swap_remove(&peer);
            link::run(shell, peer, link_id, stream, queue).await;
        }
        _ => {
            shell.count(Counter::Link(LinkEvent::DialFailed));
            shell.peers().on_dial_failed(peer);
            shell.peers().close(peer, link_id, LinkEnd::Closed);
            Peers::requeue_or_report(&shell, peer, queue.drain());
        }
    }
}

async fn connect(shell: &Shell, to: &Instance) -> Option<FramedStream> {
    let tcp = TcpStream::connect(to.addr).await.ok()?;
    let mut stream = framed(tcp);
    write_frame(&mut stream, &hello_frame(shell, Some(to.incarnation)))
        .await
        .ok()?;
    match read_frame(&mut stream).await {
        Ok(Frame::Hello {
            version: PROTOCOL_VERSION,
            from,
            ..
        }) if from == to.incarnation => Some(stream),
        Ok(Frame::Hello { version, .. }) if version != PROTOCOL_VERSION => {
            shell.count(Counter::Link(LinkEvent::WrongVersion));
            None
        }
        _ => None,
    }
}

pub(crate) fn hello_frame(shell: &Shell, to: Option<Incarnation>) -> Frame {
    Frame::Hello {
        version: PROTOCOL_VERSION,
        from: shell.own_instance.incarnation,
        to,
    }
}
