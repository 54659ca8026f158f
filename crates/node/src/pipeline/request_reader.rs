//! The requests of one connection, as they are read: heads, bodies for whoever reads them, and what
//! the caller is waited for.

use super::ConnectionError;
use super::RequestCodec;
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
use tokio::io::AsyncReadExt;
use tokio::net::tcp::ReadHalf;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::Decoder;

/// Bytes that are read while no further request may begin. More stay with the system, which slows the
/// caller down; some are read, because only reading tells that the caller has gone.
const READ_BUFFER_LIMIT: usize = 16 * 1024;

/// What one read takes at most, in bytes: a head fits, and a body comes in few pieces.
const READ_SIZE: usize = 16 * 1024;

/// Pieces of a body that wait for its reader.
const BODY_CHANNEL_CAPACITY: usize = 4;

/// How long a connection may be idle, or an answer unread. Callers that say how long they keep one keep
/// it for much less; one that was closed too early costs them a request.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// How long a caller may take for the head of a request; the library's default.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The requests of a connection, as they are read.
pub(super) struct RequestReader {
    cfg: ServiceConfig,
    /// Read and not decoded.
    buf: BytesMut,
    /// The body of the request that was read last, if it is not complete.
    body: Option<Body>,
    /// The caller waits for leave to send the body.
    expect_continue: bool,
    /// No further request is read; what still comes is skipped.
    pub(super) no_more_requests: bool,
    /// What the caller is waited for, and since when.
    pub(super) wait_state: WaitState,
    wait_started: Instant,
}

/// A body that is being read.
struct Body {
    codec: RequestCodec,
    /// Who reads it; `None` if nobody does any more, and the rest is skipped.
    tx: Option<mpsc::Sender<Result<Bytes, PayloadError>>>,
}

impl Body {
    /// Whether its reader has no room.
    fn is_blocked(&self) -> bool {
        let tx = self.tx.as_ref().filter(|tx| !tx.is_closed());
        tx.is_some_and(|tx| tx.capacity() == 0)
    }

    /// Hands a piece to the reader, if there is one; it has room.
    fn forward(&mut self, chunk: Result<Bytes, PayloadError>) {
        let sent = self.tx.as_ref().map(|tx| tx.try_send(chunk));
        if !matches!(sent, Some(Ok(()))) {
            self.tx = None;
        }
    }
}

/// What a caller is waited for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitState {
    /// Its next request.
    NextRequest,
    /// The rest of a head.
    RestOfHead,
    /// That it reads its answers, of which so many bytes are unwritten.
    ResponseRead { unwritten: usize },
    /// It waits for answers, or its body for its reader, who knows how long it may take.
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
            wait_state: WaitState::NextRequest,
            wait_started: Instant::now(),
        }
    }

    pub(super) fn new_codec(&self) -> RequestCodec {
        Rc::new(RefCell::new(Codec::new(self.cfg.clone())))
    }

    /// The next request, if its head is there and the one before it is complete.
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
        // Whatever is behind it counts as unread, and its caller sends it again elsewhere.
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
                tx: Some(tx),
            });
            self.decode_body();
        }
        Ok(Some((codec, req)))
    }

    /// Hands the body on as far as it is there and its reader has room; whether it is complete.
    pub(super) fn decode_body(&mut self) -> bool {
        while let Some(body) = &mut self.body {
            if body.is_blocked() {
                return false;
            }
            let chunk = body.codec.borrow_mut().decode(&mut self.buf);
            match chunk {
                Ok(Some(Message::Chunk(Some(chunk)))) => body.forward(Ok(chunk)),
                Ok(None) => return false,
                Ok(Some(_)) => {
                    self.body = None;
                    self.expect_continue = false;
                }
                Err(_) => {
                    // Taken for the body's end, it would pass on a part for the whole.
                    body.forward(Err(PayloadError::EncodingCorrupted));
                    self.body = None;
                    self.no_more_requests = true;
                }
            }
        }
        true
    }

    /// Whether the caller waits for leave to send its body; asked once.
    pub(super) fn take_expect_continue(&mut self) -> bool {
        std::mem::take(&mut self.expect_continue)
    }

    /// Whether more may be read.
    pub(super) fn has_room(&self) -> bool {
        // An incomplete head may be longer; the library has a bound for it.
        self.no_more_requests
            || self.wait_state == WaitState::RestOfHead
            || self.buf.len() < READ_BUFFER_LIMIT
    }

    /// Reads on; `false` at the end. What is read is kept if the future is dropped.
    pub(super) async fn read(&mut self, reader: &mut ReadHalf<'_>) -> io::Result<bool> {
        if self.no_more_requests && self.body.is_none() {
            self.buf.clear();
        }
        let body = self.body.as_ref().filter(|body| body.is_blocked());
        if let Some(tx) = body.and_then(|body| body.tx.as_ref()) {
            // Without a permit its reader has ended, and the rest is skipped.
            let _ = tx.reserve().await;
            return Ok(true);
        }
        self.buf.reserve(READ_SIZE);
        Ok(reader.read_buf(&mut self.buf).await? > 0)
    }

    /// Notes what the caller is waited for.
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

    /// When the caller has been waited for too long.
    pub(super) fn deadline(&self) -> Option<Instant> {
        let timeout = match self.wait_state {
            WaitState::NextRequest | WaitState::ResponseRead { .. } => KEEP_ALIVE_TIMEOUT,
            WaitState::RestOfHead => HEAD_TIMEOUT,
            WaitState::Nothing => return None,
        };
        Some(self.wait_started + timeout)
    }
}
