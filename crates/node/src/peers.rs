//! TCP between nodes: one link to each node that there is something to say to.

use crate::fetch;
use crate::link;
use crate::link::Full;
use crate::link::LinkEnd;
use crate::link::Queue;
use crate::shell::Shell;
use crate::wire::frame_wire;
use crate::wire::read;
use crate::wire::write;
use crate::wire::ReadError;
use crate::wire::Wire;
use crate::wire::MAX_FRAME;
use bytes::Bytes;
use engine::Counter;
use engine::Input;
use engine::LinkEvent;
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

/// How long connecting and the first frame may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a peer is not dialled after a dial has failed; doubles with each failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// How often that time doubles, at most.
const MAX_DOUBLINGS: u32 = 6;

/// A dial right after a link was lost waits for a random part of this. All that were linked to a
/// peer lose it together, and would all dial it at once.
const REDIAL_SPREAD: Duration = Duration::from_millis(50);

/// The most peers of which failures are remembered.
const MAX_TROUBLED: usize = 4096;

/// Links by the node at their other end.
#[derive(Default)]
pub(crate) struct Peers {
    links: RefCell<IndexMap<Incarnation, Link>>,
    troubled: RefCell<IndexMap<Incarnation, Trouble>>,
    next: Cell<u64>,
}

struct Link {
    number: u64,
    queue: Rc<Queue>,
    dialled: bool,
    since: Instant,
}

/// What went wrong lately with a peer.
#[derive(Default)]
struct Trouble {
    /// Dials that failed in a row.
    failures: u32,
    not_before: Option<Instant>,
    lost_at: Option<Instant>,
}

impl Peers {
    /// Whether frames wait on a link to be written.
    pub(crate) fn has_unsent(&self) -> bool {
        self.links
            .borrow()
            .values()
            .any(|link| link.queue.has_unsent())
    }

    pub(crate) fn send(&self, shell: &Rc<Shell>, to: Instance, frame: Frame) {
        let peer = to.incarnation;
        let encoded = Bytes::from(proto::encode(&frame));
        if encoded.len() > MAX_FRAME {
            shell.count(Counter::Link(LinkEvent::FrameTooLarge));
            return Self::refuse(shell, peer, frame);
        }
        let queue = self
            .links
            .borrow()
            .get(&peer)
            .map(|link| link.queue.clone());
        if let Some(queue) = queue {
            if let Err(Full(frame)) = queue.push(frame, encoded) {
                Self::on_full(shell, peer, &queue, frame);
            }
            return;
        }
        if self.must_wait(peer) {
            shell.count(Counter::Link(LinkEvent::DialDeferred));
            return Self::refuse(shell, peer, frame);
        }
        let (number, queue) = self.open(peer, true);
        // A new queue has room.
        let _ = queue.push(frame, encoded);
        actix_rt::spawn(dial(shell.clone(), to, number, queue));
    }

    /// A call that does not fit was not sent, and may go elsewhere. An answer has nowhere else to
    /// go: the link is given up, so that the caller notices, attaches again and gets it then.
    fn on_full(shell: &Rc<Shell>, peer: Incarnation, queue: &Queue, frame: Frame) {
        shell.count(Counter::Link(LinkEvent::QueueFull));
        match frame {
            Frame::Answer(..) => queue.give_up(),
            frame => Self::refuse(shell, peer, frame),
        }
    }

    /// Reports a frame as not sent, after the engine is done with what it is doing now.
    fn refuse(shell: &Rc<Shell>, peer: Incarnation, frame: Frame) {
        let shell = shell.clone();
        actix_rt::spawn(async move {
            let unsent = vec![frame];
            shell.feed(Input::PeerUnreachable { peer, unsent });
        });
    }

    /// Passes on frames that a link left behind: over the link that took its place, or as unsent.
    pub(crate) fn fail_unsent(shell: &Rc<Shell>, peer: Incarnation, frames: Vec<Frame>) {
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
            shell.feed(Input::PeerUnreachable { peer, unsent });
        }
    }

    /// Enters a link; it takes the place of an earlier one, which ends when it is quiet.
    fn open(&self, peer: Incarnation, dialled: bool) -> (u64, Rc<Queue>) {
        let number = self.next.get();
        self.next.set(number + 1);
        let queue = Rc::new(Queue::default());
        let link = Link {
            number,
            queue: queue.clone(),
            dialled,
            since: Instant::now(),
        };
        if let Some(old) = self.links.borrow_mut().insert(peer, link) {
            old.queue.retire();
        }
        (number, queue)
    }

    /// Enters a link that the peer dialled. If both dialled at the same time there are two; both
    /// ends then use the one that the lower incarnation dialled. Choosing the newer one instead
    /// could make each end retire the one that the other uses. An own link that is not new may
    /// have been lost by the other end, so it always gives way.
    fn open_accepted(&self, me: Incarnation, peer: Incarnation) -> (u64, Rc<Queue>) {
        let own_wins = self.links.borrow().get(&peer).is_some_and(|link| {
            link.dialled && me < peer && link.since.elapsed() < CONNECT_TIMEOUT
        });
        if !own_wins {
            return self.open(peer, false);
        }
        let number = self.next.get();
        self.next.set(number + 1);
        let queue = Rc::new(Queue::default());
        queue.retire();
        (number, queue)
    }

    /// Takes out a link, unless another has taken its place.
    pub(crate) fn close(&self, peer: Incarnation, number: u64, end: LinkEnd) {
        let mut links = self.links.borrow_mut();
        if links.get(&peer).is_some_and(|link| link.number == number) {
            links.swap_remove(&peer);
        }
        if end != LinkEnd::Idle {
            self.trouble(peer, |trouble| trouble.lost_at = Some(Instant::now()));
        }
    }

    fn trouble(&self, peer: Incarnation, change: impl FnOnce(&mut Trouble)) {
        let mut troubled = self.troubled.borrow_mut();
        if troubled.len() >= MAX_TROUBLED && !troubled.contains_key(&peer) {
            // Incarnations do not come back, so the oldest entry is the least useful one.
            troubled.shift_remove_index(0);
        }
        change(troubled.entry(peer).or_default());
    }

    fn must_wait(&self, peer: Incarnation) -> bool {
        let troubled = self.troubled.borrow();
        let not_before = troubled.get(&peer).and_then(|trouble| trouble.not_before);
        not_before.is_some_and(|at| Instant::now() < at)
    }

    fn redial_wait(&self, peer: Incarnation) -> Duration {
        let troubled = self.troubled.borrow();
        let lost_at = troubled.get(&peer).and_then(|trouble| trouble.lost_at);
        match lost_at {
            Some(at) if at.elapsed() < CONNECT_TIMEOUT => {
                REDIAL_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0))
            }
            _ => Duration::ZERO,
        }
    }

    fn on_dial_failed(&self, peer: Incarnation) {
        self.trouble(peer, |trouble| {
            let wait = FIRST_BACKOFF * (1 << trouble.failures.min(MAX_DOUBLINGS));
            let wait = wait.mul_f64(rand::rng().random_range(0.5..1.5));
            trouble.failures += 1;
            trouble.not_before = Some(Instant::now() + wait);
        });
    }
}

pub(crate) async fn accept(shell: Rc<Shell>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        actix_rt::spawn(greet(shell.clone(), stream));
    }
}

/// The accepting end of a link.
async fn greet(shell: Rc<Shell>, stream: TcpStream) {
    let mut wire = frame_wire(stream);
    let hello = timeout(CONNECT_TIMEOUT, read(&mut wire)).await;
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
        // Whoever connects and says nothing is no peer.
        Err(_) | Ok(Err(ReadError::Closed)) => {
            return shell.count(Counter::Link(LinkEvent::NoHello));
        }
    };
    let hello = hello_frame(&shell, Some(from));
    if !matches!(
        timeout(CONNECT_TIMEOUT, write(&mut wire, &hello)).await,
        Ok(Ok(()))
    ) {
        return;
    }
    let Some(to) = to else {
        return fetch::answer(&shell, &mut wire).await;
    };
    // Whoever expected an earlier incarnation at this address learns that it is gone.
    if to != shell.me.incarnation {
        return;
    }
    let (number, queue) = shell.peers().open_accepted(shell.me.incarnation, from);
    link::run(shell, from, number, wire, queue).await;
}

/// The dialling end of a link.
async fn dial(shell: Rc<Shell>, to: Instance, number: u64, queue: Rc<Queue>) {
    let peer = to.incarnation;
    tokio::time::sleep(shell.peers().redial_wait(peer)).await;
    match timeout(CONNECT_TIMEOUT, connect(&shell, &to)).await {
        Ok(Some(wire)) => {
            shell.peers().troubled.borrow_mut().swap_remove(&peer);
            link::run(shell, peer, number, wire, queue).await;
        }
        _ => {
            shell.count(Counter::Link(LinkEvent::DialFailed));
            shell.peers().on_dial_failed(peer);
            shell.peers().close(peer, number, LinkEnd::Closed);
            Peers::fail_unsent(&shell, peer, queue.drain());
        }
    }
}

async fn connect(shell: &Shell, to: &Instance) -> Option<Wire> {
    let stream = TcpStream::connect(to.addr).await.ok()?;
    let mut wire = frame_wire(stream);
    write(&mut wire, &hello_frame(shell, Some(to.incarnation)))
        .await
        .ok()?;
    match read(&mut wire).await {
        Ok(Frame::Hello {
            version: PROTOCOL_VERSION,
            from,
            ..
        }) if from == to.incarnation => Some(wire),
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
        from: shell.me.incarnation,
        to,
    }
}
