//! Reads the heads and bodies of the requests of one connection, and tracks what the caller is
//! expected to do next.

use super::ConnectionError;
use super::RequestCodec;
use actix_http::error::ParseError;
use actix_http::error::PayloadError;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use actix_http::Payload;
use actix_http::Request as HttpRequest;
use actix_http::ServiceConfig;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::stream;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::Decoder;

/// Bytes buffered while no further request may start. The rest stays in the kernel's buffer, which
/// slows the caller down. Some must be read, as only reading detects that the caller has gone.
const READ_BUFFER_LIMIT: usize = 16 * 1024;

/// Most bytes per read: enough for a request head, and for a body in few chunks.
const READ_SIZE: usize = 16 * 1024;

/// Body chunks that may wait for the handler.
const BODY_CHANNEL_CAPACITY: usize = 4;

/// Bytes that frame a body, such as the extensions of chunks, beyond those for each byte of it. A
/// caller that sends more sends no request.
const MAX_FRAMING: usize = 64 * 1024;

/// Bytes that frame a body for each byte of it; for bodies in very small chunks.
const FRAMING_PER_BODY_BYTE: usize = 8;

/// Most bytes that are received and discarded, so that the caller gets the response. Callers may send
/// bodies of up to 64 MiB; a larger one than the node accepts is refused while they send it.
pub(super) const MAX_DISCARDED: usize = 72 << 20;

/// How long a connection may be idle, or a response unread. Callers that advertise a keep-alive
/// time use much less; closing a connection too early costs the caller a request.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// How long a caller may take to send a request head; the default of `actix-http`.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads and decodes the requests of a connection.
pub(super) struct RequestReader {
    cfg: ServiceConfig,
    /// Bytes that were read but not decoded.
    buf: BytesMut,
    /// The body of the last request, while it is incomplete.
    body: Option<Body>,
    /// The caller waits for `100 Continue` before it sends the body.
    expect_continue: bool,
    /// No further request is decoded; any remaining input is discarded.
    pub(super) no_more_requests: bool,
    /// The caller sent too much that is part of no request.
    pub(super) is_excessive: bool,
    /// Bytes discarded behind the last request.
    discarded: usize,
    /// What the caller is expected to do next.
    pub(super) wait_state: WaitState,
    /// When `wait_state` last changed.
    wait_started: Instant,
}

/// The channel by which a handler receives the body of its request.
pub(super) type BodySender = mpsc::Sender<Result<Bytes, PayloadError>>;

/// A body that is being received.
struct Body {
    codec: RequestCodec,
    /// Bytes received of the body itself.
    received: usize,
    /// Bytes received that frame it.
    framing: usize,
    /// The channel to the handler; `None` once the handler stopped reading and the rest is
    /// discarded.
    tx: Option<BodySender>,
}

impl Body {
    /// Counts what was decoded.
    fn count(
        &mut self,
        decoded: usize,
        message: &Result<Option<Message<HttpRequest>>, ParseError>,
    ) {
        let len = match message {
            Ok(Some(Message::Chunk(Some(chunk)))) => chunk.len(),
            _ => 0,
        };
        self.received += len;
        self.framing += decoded.saturating_sub(len);
    }

    /// Whether the caller sends more than a body may consist of, or more of a body that the handler
    /// does not read than may be discarded.
    fn is_excessive(&self) -> bool {
        let allowed = self.received.saturating_mul(FRAMING_PER_BODY_BYTE) + MAX_FRAMING;
        self.framing > allowed || (self.tx.is_none() && self.received > MAX_DISCARDED)
    }

    /// The handler's channel, if it is full.
    fn full_channel(&self) -> Option<&BodySender> {
        let tx = self.tx.as_ref().filter(|tx| !tx.is_closed());
        tx.filter(|tx| tx.capacity() == 0)
    }

    /// Sends a chunk to the handler if it is still reading. The channel must have room.
    fn forward(&mut self, chunk: Result<Bytes, PayloadError>) {
        let sent = self.tx.as_ref().map(|tx| tx.try_send(chunk));
        if !matches!(sent, Some(Ok(()))) {
            self.tx = None;
        }
    }
}

/// What the caller is expected to do.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitState {
    /// Send its next request.
    NextRequest,
    /// Send the rest of a request head.
    RestOfHead,
    /// Read its responses, of which this many bytes are unwritten.
    ResponseRead { unwritten: usize },
    /// Nothing: the caller waits for responses, or the body waits for the handler, which has its
    /// own time limit.
    Nothing,
}

impl RequestReader {
    pub(super) fn new(cfg: ServiceConfig) -> Self {
        Self {
            cfg,
            buf: BytesMut::new(),
            body: None,
            expect_continue: false,
            no_more_requests: false,
            is_excessive: false,
            discarded: 0,
            wait_state: WaitState::NextRequest,
            wait_started: Instant::now(),
        }
    }

    pub(super) fn new_codec(&self) -> RequestCodec {
        Rc::new(RefCell::new(Codec::new(self.cfg.clone())))
    }

    /// The next request, once its head is complete and the body of the previous request was
    /// received.
    pub(super) fn next_request(
        &mut self,
    ) -> Result<Option<(RequestCodec, HttpRequest)>, ConnectionError> {
        if !self.decode_body() || self.no_more_requests || self.buf.is_empty() {
            return Ok(None);
        }
        let codec = self.new_codec();
        let message = codec.borrow_mut().decode(&mut self.buf);
        let mut req = match message {
            Ok(Some(Message::Item(req))) => req,
            Ok(_) => return Ok(None),
            Err(e) => {
                self.no_more_requests = true;
                return Err(ConnectionError::Parse(e));
            }
        };
        // Anything behind the last request is left unread, so the caller sends it again elsewhere.
        self.no_more_requests = !codec.borrow().keep_alive();
        if codec.borrow().message_type() != MessageType::None {
            let (tx, mut rx) = mpsc::channel(BODY_CHANNEL_CAPACITY);
            let chunks = stream::poll_fn(move |cx| rx.poll_recv(cx));
            *req.payload() = Payload::Stream {
                payload: Box::pin(chunks),
            };
            self.expect_continue = req.head().expect();
            self.body = Some(Body {
                codec: codec.clone(),
                received: 0,
                framing: 0,
                tx: Some(tx),
            });
            self.decode_body();
        }
        Ok(Some((codec, req)))
    }

    /// Forwards the buffered part of the body as far as the handler has room; returns whether the
    /// body is complete.
    pub(super) fn decode_body(&mut self) -> bool {
        while let Some(body) = &mut self.body {
            if body.full_channel().is_some() {
                return false;
            }
            let before = self.buf.len();
            let chunk = body.codec.borrow_mut().decode(&mut self.buf);
            body.count(before - self.buf.len(), &chunk);
            match chunk {
                _ if body.is_excessive() => {
                    body.forward(Err(PayloadError::EncodingCorrupted));
                    self.body = None;
                    self.no_more_requests = true;
                    self.is_excessive = true;
                }
                Ok(Some(Message::Chunk(Some(chunk)))) => body.forward(Ok(chunk)),
                Ok(None) => return false,
                Ok(Some(_)) => {
                    self.body = None;
                    self.expect_continue = false;
                }
                Err(_) => {
                    // Without this error the handler would take the truncated body for a complete
                    // one.
                    body.forward(Err(PayloadError::EncodingCorrupted));
                    self.body = None;
                    self.no_more_requests = true;
                }
            }
        }
        true
    }

    /// Whether the caller waits for `100 Continue`; true only once per request.
    pub(super) fn take_expect_continue(&mut self) -> bool {
        std::mem::take(&mut self.expect_continue)
    }

    /// Whether more input may be read.
    pub(super) fn has_room(&self) -> bool {
        // An incomplete head may be larger than the buffer limit; `actix-http` has its own limit
        // for it.
        let discards_input = self.no_more_requests && self.body.is_none() && !self.is_excessive;
        (discards_input && self.discarded <= MAX_DISCARDED)
            || self.wait_state == WaitState::RestOfHead
            || self.buf.len() < READ_BUFFER_LIMIT
    }

    /// The channel to the handler of the body that is being received, if it is full.
    pub(super) fn full_channel(&self) -> Option<BodySender> {
        self.body.as_ref()?.full_channel().cloned()
    }

    /// Whether the caller is in the middle of a request.
    pub(super) fn is_receiving(&self) -> bool {
        self.body.is_some() || !self.buf.is_empty()
    }

    /// Memory that undecoded bytes occupy. The unused rest of a short buffer is not touched.
    pub(super) fn buffered(&self) -> usize {
        match self.buf.len() {
            len @ ..=READ_SIZE => len,
            _ => self.buf.capacity(),
        }
    }

    /// Reads more input; returns the number of bytes, 0 at the end of the stream. Cancel-safe: bytes
    /// that were read are kept if the future is dropped.
    pub(super) async fn read(
        &mut self,
        reader: &mut (impl AsyncRead + Unpin),
    ) -> io::Result<usize> {
        if self.no_more_requests && self.body.is_none() {
            self.discarded += self.buf.len();
            self.buf.clear();
        }
        if self.buf.is_empty() && self.buf.capacity() > 2 * READ_SIZE {
            // Returns the memory of a long head.
            self.buf = BytesMut::new();
        }
        self.buf.reserve(READ_SIZE);
        reader.read_buf(&mut self.buf).await
    }

    /// Updates what the caller is expected to do.
    pub(super) fn update_wait_state(&mut self, all_answered: bool, unwritten: usize) {
        let wait_state = match all_answered && self.body.is_none() {
            _ if unwritten > 0 => WaitState::ResponseRead { unwritten },
            true if self.buf.is_empty() => WaitState::NextRequest,
            true => WaitState::RestOfHead,
            false => WaitState::Nothing,
        };
        if wait_state != self.wait_state {
            self.wait_state = wait_state;
            self.wait_started = Instant::now();
        }
    }

    /// When the wait for the caller times out.
    pub(super) fn deadline(&self) -> Option<Instant> {
        let timeout = match self.wait_state {
            WaitState::NextRequest | WaitState::ResponseRead { .. } => KEEP_ALIVE_TIMEOUT,
            WaitState::RestOfHead => HEAD_TIMEOUT,
            WaitState::Nothing => return None,
        };
        Some(self.wait_started + timeout)
    }
}
