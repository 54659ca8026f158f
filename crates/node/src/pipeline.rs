//! Serves one HTTP/1.1 connection of a caller: pipelined requests run concurrently and are answered
//! in the order in which they arrived.
//!
//! The dispatcher of `actix-http` runs one request after another, so a caller with nine pipelined
//! requests would get the last response after the sum of their times. Here it gets it after the
//! longest of them.

mod requests;
#[cfg(test)]
mod tests;

use crate::connections::Account;
use crate::connections::Held;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_http::error::ParseError;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use actix_http::ConnectionType;
use actix_http::Request as HttpRequest;
use actix_http::Response as HttpResponse;
use actix_http::ServiceConfig;
use actix_http::StatusCode;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::future::ready;
use futures_util::future::Either;
use futures_util::stream::FuturesOrdered;
use futures_util::StreamExt;
use policy::ConnectionActivity;
use policy::ShedConnection;
use requests::BodySender;
use requests::RequestReader;
use requests::WaitState;
use requests::MAX_DISCARDED;
use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio::time::Instant;
use tokio_util::codec::Encoder;

/// Requests of one connection that may run concurrently.
const MAX_PIPELINED: usize = 16;

/// While this many bytes are unwritten, no more of a response is encoded. While answers of this size
/// wait for the caller, no further request is started.
const WRITE_BUFFER_LIMIT: usize = 64 * 1024;

/// Bytes of a response's body that are encoded at once.
const BODY_PIECE: usize = 64 * 1024;

/// How long a connection closed by this end is still read. Closing it with unread bytes would reset
/// it, and the caller could lose the last response.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interim response that allows the caller to send the body (RFC 9110, 10.1.1).
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Why a connection ended before the caller closed it.
#[derive(Debug)]
pub(crate) enum ConnectionError {
    /// The bytes are not an HTTP request.
    Parse(ParseError),
    /// A request head was not complete in time.
    HeadTimeout,
    /// The caller read no byte of a response for a long time.
    WriteTimeout,
    /// The node closed the connection because of a limit for all connections.
    Shed(ShedConnection),
    /// The caller sent more than a request may consist of.
    Overhead,
    /// Reading or writing failed.
    Io(io::Error),
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionError::Parse(e) => write!(f, "malformed request: {e}"),
            ConnectionError::HeadTimeout => f.write_str("request head not received in time"),
            ConnectionError::WriteTimeout => f.write_str("response not read in time"),
            ConnectionError::Shed(shed) => write!(f, "closed for {}", shed.reason.name()),
            ConnectionError::Overhead => f.write_str("too many bytes that are part of no request"),
            ConnectionError::Io(e) => write!(f, "{e}"),
        }
    }
}

impl From<io::Error> for ConnectionError {
    fn from(e: io::Error) -> Self {
        ConnectionError::Io(e)
    }
}

/// Number of connections with requests whose responses were not written completely.
#[derive(Debug, Clone, Default)]
pub(crate) struct BusyConnections(Rc<Cell<usize>>);

impl BusyConnections {
    pub(crate) fn count(&self) -> usize {
        self.0.get()
    }
}

/// Whether one connection counts as busy; it no longer does when this is dropped.
struct BusyState {
    connections: BusyConnections,
    is_busy: bool,
}

impl BusyState {
    fn set(&mut self, is_busy: bool) {
        let count = &self.connections.0;
        count.set(count.get() + usize::from(is_busy) - usize::from(self.is_busy));
        self.is_busy = is_busy;
    }
}

impl Drop for BusyState {
    fn drop(&mut self) {
        self.set(false);
    }
}

/// The response to a request, and the memory that it holds until it is written.
pub(crate) struct Answer {
    pub(crate) response: HttpResponse<BoxBody>,
    pub(crate) held: Option<Held>,
}

impl From<HttpResponse<BoxBody>> for Answer {
    fn from(response: HttpResponse<BoxBody>) -> Self {
        Self {
            response,
            held: None,
        }
    }
}

/// The part of a response's body that is not encoded yet.
struct PendingBody {
    codec: RequestCodec,
    body: Bytes,
    _held: Option<Held>,
}

/// Decodes one request's body and encodes its response; the encoding depends on the request.
type RequestCodec = Rc<RefCell<Codec>>;

/// Serves a connection until it ends. While `is_stopping` returns true, callers should send further
/// requests elsewhere.
pub(crate) async fn serve_connection<F>(
    mut stream: TcpStream,
    cfg: &ServiceConfig,
    handle: impl Fn(HttpRequest) -> F,
    is_stopping: impl Fn() -> bool,
    busy: &BusyConnections,
    account: &Account,
) -> Result<(), ConnectionError>
where
    F: Future<Output: Into<Answer>>,
{
    let (mut reader, mut writer) = stream.split();
    serve_halves(
        &mut reader,
        &mut writer,
        cfg,
        handle,
        is_stopping,
        busy,
        account,
    )
    .await
}

/// Serves a connection that consists of a reader and a writer.
async fn serve_halves<F>(
    reader: &mut (impl AsyncRead + Unpin),
    writer: &mut (impl AsyncWrite + Unpin),
    cfg: &ServiceConfig,
    handle: impl Fn(HttpRequest) -> F,
    is_stopping: impl Fn() -> bool,
    busy: &BusyConnections,
    account: &Account,
) -> Result<(), ConnectionError>
where
    F: Future<Output: Into<Answer>>,
{
    let mut busy = BusyState {
        connections: busy.clone(),
        is_busy: false,
    };
    let mut requests = RequestReader::new(cfg.clone());
    let mut unwritten = BytesMut::new();
    let mut pending_body = None;
    let mut responses = FuturesOrdered::new();
    let mut error = None;
    loop {
        requests.decode_body();
        // Every request that was started has to be answered on this connection, so a stopping node
        // starts none behind one that is still unanswered.
        let may_start = |pending| pending < MAX_PIPELINED && (pending == 0 || !is_stopping());
        let may_hold_more = || account.unread_bytes() + unwritten.len() < WRITE_BUFFER_LIMIT;
        while may_start(responses.len()) && may_hold_more() {
            match requests.next_request() {
                Ok(Some((codec, req))) => {
                    let response = handle(req);
                    responses
                        .push_back(Either::Left(async move { (codec, response.await.into()) }));
                }
                Ok(None) => break,
                Err(e) => {
                    let response = empty_response(error_status(&e));
                    let answer = Answer::from(response);
                    responses.push_back(Either::Right(ready((requests.new_codec(), answer))));
                    error = Some(e);
                }
            }
        }
        if responses.len() == 1 && requests.take_expect_continue() {
            unwritten.extend_from_slice(CONTINUE);
        }
        encode_body(&mut pending_body, &mut unwritten)?;
        let is_written = unwritten.is_empty() && pending_body.is_none();
        if requests.no_more_requests && responses.is_empty() && is_written {
            break;
        }
        busy.set(!responses.is_empty() || !is_written);
        requests.update_wait_state(responses.is_empty(), unwritten.len());
        let activity = match requests.is_receiving() {
            _ if !is_written || account.unread_bytes() > 0 => ConnectionActivity::Sending,
            true => ConnectionActivity::Receiving,
            false if responses.is_empty() => ConnectionActivity::Idle,
            false => ConnectionActivity::Working,
        };
        account.update(activity, requests.buffered() + unwritten.len());
        account.settle().await;
        let deadline = requests.deadline();
        let full_channel = requests.full_channel();
        let is_channel_full = full_channel.is_some();
        tokio::select! {
            biased;
            written = writer.write_buf(&mut unwritten), if !unwritten.is_empty() => {
                account.record_transfer(written?);
                if unwritten.is_empty() {
                    // Returns the memory of a large response.
                    unwritten = BytesMut::new();
                }
            }
            Some((codec, answer)) = responses.next(), if pending_body.is_none() => {
                let is_last = responses.is_empty() && (requests.no_more_requests || is_stopping());
                let keep_alive = encode_head(codec, answer, is_last, &mut unwritten, &mut pending_body)?;
                requests.no_more_requests |= !keep_alive;
            }
            // Nothing is decoded while the handler's channel is full, and nothing more may be read
            // once the buffer is full as well.
            () = channel_room(full_channel), if is_channel_full => {}
            is_open = requests.read(reader), if requests.has_room() => {
                match is_open? {
                    // The caller has closed its side: all of its requests are cancelled.
                    0 => return error.map_or(Ok(()), Err),
                    received => account.record_transfer(received),
                }
            }
            () = sleep_until(deadline), if deadline.is_some() => {
                match requests.wait_state {
                    WaitState::ResponseRead { .. } => return Err(ConnectionError::WriteTimeout),
                    WaitState::RestOfHead => {
                        let response = empty_response(StatusCode::REQUEST_TIMEOUT);
                        let answer = Answer::from(response);
                        responses.push_back(Either::Right(ready((requests.new_codec(), answer))));
                        error = Some(ConnectionError::HeadTimeout);
                    }
                    WaitState::NextRequest | WaitState::Nothing => {}
                }
                requests.no_more_requests = true;
            }
        }
    }
    writer.shutdown().await?;
    if requests.is_excessive {
        return Err(ConnectionError::Overhead);
    }
    let _ = timeout(LINGERING_CLOSE_TIMEOUT, discard_input(reader)).await;
    error.map_or(Ok(()), Err)
}

/// Waits until the handler has taken a chunk or stopped reading the body.
async fn channel_room(channel: Option<BodySender>) {
    if let Some(tx) = channel {
        let _ = tx.reserve().await;
    }
}

async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

/// Encodes the head of a response; returns whether the connection stays open after it.
fn encode_head(
    codec: RequestCodec,
    answer: Answer,
    is_last: bool,
    buf: &mut BytesMut,
    pending_body: &mut Option<PendingBody>,
) -> io::Result<bool> {
    let Answer { mut response, held } = answer;
    if is_last {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    let (response, body) = response.into_parts();
    let size = body.size();
    let body = body.try_into_bytes();
    let body = body.map_err(|_| io::Error::other("response body is not available as a whole"))?;
    let keep_alive = {
        let mut codec = codec.borrow_mut();
        codec.encode(Message::Item((response, size)), buf)?;
        codec.keep_alive()
    };
    *pending_body = Some(PendingBody {
        codec,
        body,
        _held: held,
    });
    Ok(keep_alive)
}

/// Encodes as much of a response's body as the buffer has room for. A copy of a long body would take
/// as much memory again.
fn encode_body(pending_body: &mut Option<PendingBody>, buf: &mut BytesMut) -> io::Result<()> {
    let Some(pending) = pending_body else {
        return Ok(());
    };
    let mut codec = pending.codec.borrow_mut();
    while buf.len() < WRITE_BUFFER_LIMIT && !pending.body.is_empty() {
        let piece = pending.body.split_to(pending.body.len().min(BODY_PIECE));
        codec.encode(Message::Chunk(Some(piece)), buf)?;
    }
    if pending.body.is_empty() {
        codec.encode(Message::Chunk(None), buf)?;
        drop(codec);
        *pending_body = None;
    }
    Ok(())
}

fn empty_response(status: StatusCode) -> HttpResponse<BoxBody> {
    HttpResponse::with_body(status, ()).map_into_boxed_body()
}

fn error_status(e: &ConnectionError) -> StatusCode {
    match e {
        ConnectionError::Parse(ParseError::TooLarge) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    }
}

async fn discard_input(reader: &mut (impl AsyncRead + Unpin)) {
    let mut buf = [0; 1024];
    let mut left = MAX_DISCARDED;
    while let Ok(len @ 1..) = reader.read(&mut buf).await {
        left = left.saturating_sub(len);
        if left == 0 {
            return;
        }
    }
}
