//! TCP between nodes: one link to each node that there is something to say to.

use crate::fetch;
use crate::shell::Shell;
use bytes::Bytes;
use bytes::BytesMut;
use engine::Input;
use futures_util::SinkExt;
use futures_util::StreamExt;
use indexmap::IndexMap;
use proto::Frame;
use proto::Incarnation;
use proto::Instance;
use proto::PROTOCOL_VERSION;
use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// The largest frame, in bytes.
const MAX_FRAME: usize = 4 << 20;

/// How long the other end may be silent before it is pinged.
const PING_AFTER: Duration = Duration::from_millis(500);

/// How long the other end may be silent, pings included, before the link is replaced.
const SILENT_AFTER: Duration = Duration::from_secs(2);

/// A link without calls is closed after this time.
const IDLE_AFTER: Duration = Duration::from_secs(60);

/// How long connecting and the first frame may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

pub(crate) type Wire = Framed<TcpStream, LengthDelimitedCodec>;

/// Links by the node at their other end.
#[derive(Default)]
pub(crate) struct Peers {
    links: RefCell<IndexMap<Incarnation, Link>>,
    next: Cell<u64>,
}

struct Link {
    number: u64,
    tx: mpsc::UnboundedSender<Frame>,
}

/// Why a link has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkEnd {
    Closed,
    Silent,
    Idle,
    Broken,
}

impl Peers {
    pub(crate) fn send(&self, shell: &Rc<Shell>, to: Instance, frame: Frame) {
        let incarnation = to.incarnation;
        let frame = match self.links.borrow().get(&incarnation) {
            Some(link) => match link.tx.send(frame) {
                Ok(()) => return,
                Err(unsent) => unsent.0,
            },
            None => frame,
        };
        let (number, rx) = self.open(incarnation, Some(frame));
        actix_rt::spawn(dial(shell.clone(), to, number, rx));
    }

    /// Enters a link; a later one takes the place of an earlier one.
    fn open(
        &self,
        peer: Incarnation,
        first: Option<Frame>,
    ) -> (u64, mpsc::UnboundedReceiver<Frame>) {
        let (tx, rx) = mpsc::unbounded_channel();
        if let Some(frame) = first {
            let _ = tx.send(frame);
        }
        let number = self.next.get();
        self.next.set(number + 1);
        self.links.borrow_mut().insert(peer, Link { number, tx });
        (number, rx)
    }

    /// Takes out a link, unless another has taken its place.
    fn close(&self, peer: Incarnation, number: u64) {
        let mut links = self.links.borrow_mut();
        if links.get(&peer).is_some_and(|link| link.number == number) {
            links.swap_remove(&peer);
        }
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
    let hello = tokio::time::timeout(CONNECT_TIMEOUT, read(&mut wire)).await;
    let Ok(Some(Ok(Frame::Hello {
        version: PROTOCOL_VERSION,
        from,
        to,
    }))) = hello
    else {
        return shell.count_broken();
    };
    if write(&mut wire, &hello_frame(&shell, Some(from)))
        .await
        .is_err()
    {
        return;
    }
    if to.is_none() {
        return fetch::answer(&shell, &mut wire).await;
    }
    // Whoever expected an earlier incarnation at this address learns that it is gone.
    if to.is_some_and(|to| to != shell.me.incarnation) {
        return;
    }
    let (number, rx) = shell.peers().open(from, None);
    run_link(shell, from, number, wire, rx).await;
}

/// The dialling end of a link.
async fn dial(shell: Rc<Shell>, to: Instance, number: u64, mut rx: mpsc::UnboundedReceiver<Frame>) {
    let peer = to.incarnation;
    match tokio::time::timeout(CONNECT_TIMEOUT, connect(&shell, &to)).await {
        Ok(Some(wire)) => run_link(shell, peer, number, wire, rx).await,
        _ => {
            shell.peers().close(peer, number);
            rx.close();
            let mut unsent = Vec::new();
            while let Ok(frame) = rx.try_recv() {
                unsent.push(frame);
            }
            shell.feed(Input::PeerUnreachable { peer, unsent });
        }
    }
}

async fn connect(shell: &Shell, to: &Instance) -> Option<Wire> {
    let stream = TcpStream::connect(to.addr).await.ok()?;
    let mut wire = frame_wire(stream);
    write(&mut wire, &hello_frame(shell, Some(to.incarnation)))
        .await
        .ok()?;
    match read(&mut wire).await? {
        Ok(Frame::Hello {
            version: PROTOCOL_VERSION,
            from,
            ..
        }) if from == to.incarnation => Some(wire),
        _ => None,
    }
}

async fn run_link(
    shell: Rc<Shell>,
    peer: Incarnation,
    number: u64,
    wire: Wire,
    rx: mpsc::UnboundedReceiver<Frame>,
) {
    let end = carry(&shell, peer, wire, rx).await;
    log::debug!("link to {peer}: {end:?}");
    shell.peers().close(peer, number);
    if end != LinkEnd::Idle {
        shell.feed(Input::PeerLost(peer));
    }
}

/// Carries frames both ways until the link ends.
async fn carry(
    shell: &Rc<Shell>,
    peer: Incarnation,
    mut wire: Wire,
    mut rx: mpsc::UnboundedReceiver<Frame>,
) -> LinkEnd {
    let mut heard = Instant::now();
    let mut used = Instant::now();
    let mut pings = 0;
    loop {
        tokio::select! {
            frame = rx.recv() => {
                let Some(frame) = frame else { return LinkEnd::Closed };
                used = Instant::now();
                if feed_all(&mut wire, frame, &mut rx).await.is_err() {
                    return LinkEnd::Broken;
                }
            }
            frame = read(&mut wire) => {
                heard = Instant::now();
                match frame {
                    Some(Ok(Frame::Ping(n))) => {
                        if write(&mut wire, &Frame::Pong(n)).await.is_err() {
                            return LinkEnd::Broken;
                        }
                    }
                    Some(Ok(Frame::Pong(_))) => {}
                    Some(Ok(frame)) => {
                        used = heard;
                        shell.feed(Input::Frame { from: peer, frame });
                    }
                    Some(Err(_)) => {
                        shell.count_broken();
                        return LinkEnd::Broken;
                    }
                    None => return LinkEnd::Closed,
                }
            }
            () = tokio::time::sleep_until(heard + PING_AFTER * (pings + 1)) => {
                if heard.elapsed() >= SILENT_AFTER {
                    return LinkEnd::Silent;
                }
                if used.elapsed() >= IDLE_AFTER {
                    return LinkEnd::Idle;
                }
                if write(&mut wire, &Frame::Ping(0)).await.is_err() {
                    return LinkEnd::Broken;
                }
            }
        }
        pings = (heard.elapsed().as_millis() / PING_AFTER.as_millis()) as u32;
    }
}

/// Writes a frame and all that wait behind it, then flushes once.
async fn feed_all(
    wire: &mut Wire,
    first: Frame,
    rx: &mut mpsc::UnboundedReceiver<Frame>,
) -> std::io::Result<()> {
    wire.feed(encode(&first)).await?;
    while let Ok(frame) = rx.try_recv() {
        wire.feed(encode(&frame)).await?;
    }
    SinkExt::<Bytes>::flush(wire).await
}

pub(crate) async fn read(wire: &mut Wire) -> Option<Result<Frame, proto::DecodeError>> {
    match wire.next().await? {
        Ok(bytes) => Some(decode(&bytes)),
        Err(_) => Some(Err(proto::DecodeError::Malformed)),
    }
}

pub(crate) async fn write(wire: &mut Wire, frame: &Frame) -> std::io::Result<()> {
    wire.send(encode(frame)).await
}

fn encode(frame: &Frame) -> Bytes {
    Bytes::from(proto::encode(frame))
}

fn decode(bytes: &BytesMut) -> Result<Frame, proto::DecodeError> {
    proto::decode(bytes)
}

pub(crate) fn frame_wire(stream: TcpStream) -> Wire {
    let _ = stream.set_nodelay(true);
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_framed(stream)
}

pub(crate) fn hello_frame(shell: &Shell, to: Option<Incarnation>) -> Frame {
    Frame::Hello {
        version: PROTOCOL_VERSION,
        from: shell.me.incarnation,
        to,
    }
}
