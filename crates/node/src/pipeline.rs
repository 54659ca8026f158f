//! Serves one HTTP/1.1 connection of a caller: pipelined requests run concurrently and are answered
//! in the order in which they arrived.
//!
//! The dispatcher of `actix-http` runs one request after another, so a caller with nine pipelined
//! requests would get the last response after the sum of their times. Here it gets it after the
//! longest of them.

mod requests;
#[cfg(test)]
mod tests;

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
use bytes::BytesMut;
use futures_util::future::ready;
use futures_util::future::Either;
use futures_util::stream::FuturesOrdered;
use futures_util::StreamExt;
use requests::BodySender;
use requests::RequestReader;
use requests::WaitState;
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

/// Requests of one connection that may run concurrently. With responses of up to 30 KB each, they
/// hold half a megabyte for a caller that does not read.
const MAX_PIPELINED: usize = 16;

/// While this many bytes are unwritten, no further response is encoded and no further request is
/// started.
const WRITE_BUFFER_LIMIT: usize = 64 * 1024;

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
    /// Reading or writing failed.
    Io(io::Error),
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionError::Parse(e) => write!(f, "malformed request: {e}"),
            ConnectionError::HeadTimeout => f.write_str("request head not received in time"),
            ConnectionError::WriteTimeout => f.write_str("response not read in time"),
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
) -> Result<(), ConnectionError>
where
    F: Future<Output = HttpResponse<BoxBody>>,
{
    let (mut reader, mut writer) = stream.split();
    serve_halves(&mut reader, &mut writer, cfg, handle, is_stopping, busy).await
}

/// Serves a connection that consists of a reader and a writer.
async fn serve_halves<F>(
    reader: &mut (impl AsyncRead + Unpin),
    writer: &mut (impl AsyncWrite + Unpin),
    cfg: &ServiceConfig,
    handle: impl Fn(HttpRequest) -> F,
    is_stopping: impl Fn() -> bool,
    busy: &BusyConnections,
) -> Result<(), ConnectionError>
where
    F: Future<Output = HttpResponse<BoxBody>>,
{
    let mut busy = BusyState {
        connections: busy.clone(),
        is_busy: false,
    };
    let mut requests = RequestReader::new(cfg.clone());
    let mut unwritten = BytesMut::new();
    let mut responses = FuturesOrdered::new();
    let mut error = None;
    loop {
        requests.decode_body();
        // Every request that was started has to be answered on this connection, so a stopping node
        // starts none behind one that is still unanswered.
        let may_start = |pending| pending < MAX_PIPELINED && (pending == 0 || !is_stopping());
        while may_start(responses.len()) && unwritten.len() < WRITE_BUFFER_LIMIT {
            match requests.next_request() {
                Ok(Some((codec, req))) => {
                    let response = handle(req);
                    responses.push_back(Either::Left(async move { (codec, response.await) }));
                }
                Ok(None) => break,
                Err(e) => {
                    let response = empty_response(error_status(&e));
                    responses.push_back(Either::Right(ready((requests.new_codec(), response))));
                    error = Some(e);
                }
            }
        }
        if responses.len() == 1 && requests.take_expect_continue() {
            unwritten.extend_from_slice(CONTINUE);
        }
        if requests.no_more_requests && responses.is_empty() && unwritten.is_empty() {
            break;
        }
        busy.set(!responses.is_empty() || !unwritten.is_empty());
        requests.update_wait_state(responses.is_empty(), unwritten.len());
        let deadline = requests.deadline();
        let full_channel = requests.full_channel();
        let is_channel_full = full_channel.is_some();
        tokio::select! {
            biased;
            written = writer.write_buf(&mut unwritten), if !unwritten.is_empty() => {
                written?;
            }
            Some((codec, response)) = responses.next(), if unwritten.len() < WRITE_BUFFER_LIMIT => {
                let is_last = responses.is_empty() && (requests.no_more_requests || is_stopping());
                let keep_alive = write_response(&codec, response, is_last, &mut unwritten)?;
                requests.no_more_requests |= !keep_alive;
            }
            // Nothing is decoded while the handler's channel is full, and nothing more may be read
            // once the buffer is full as well.
            () = channel_room(full_channel), if is_channel_full => {}
            is_open = requests.read(reader), if requests.has_room() => {
                // The caller has closed its side: all of its requests are cancelled.
                if !is_open? {
                    return error.map_or(Ok(()), Err);
                }
            }
            () = sleep_until(deadline), if deadline.is_some() => {
                match requests.wait_state {
                    WaitState::ResponseRead { .. } => return Err(ConnectionError::WriteTimeout),
                    WaitState::RestOfHead => {
                        let response = empty_response(StatusCode::REQUEST_TIMEOUT);
                        responses.push_back(Either::Right(ready((requests.new_codec(), response))));
                        error = Some(ConnectionError::HeadTimeout);
                    }
                    WaitState::NextRequest | WaitState::Nothing => {}
                }
                requests.no_more_requests = true;
            }
        }
    }
    writer.shutdown().await?;
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

/// Encodes a response; returns whether the connection stays open after it.
fn write_response(
    codec: &RequestCodec,
    mut response: HttpResponse<BoxBody>,
    is_last: bool,
    buf: &mut BytesMut,
) -> io::Result<bool> {
    if is_last {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    let (response, body) = response.into_parts();
    let size = body.size();
    let body = body.try_into_bytes();
    let body = body.map_err(|_| io::Error::other("response body is not available as a whole"))?;
    let mut codec = codec.borrow_mut();
    codec.encode(Message::Item((response, size)), buf)?;
    if !body.is_empty() {
        codec.encode(Message::Chunk(Some(body)), buf)?;
    }
    codec.encode(Message::Chunk(None), buf)?;
    Ok(codec.keep_alive())
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
    while reader.read(&mut buf).await.is_ok_and(|len| len > 0) {}
}
