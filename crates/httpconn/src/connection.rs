//! A client connection that carries one request at a time.

use crate::response::CompleteResponse;
use crate::response::Parser;
use crate::response::ResponseReader;
use crate::response::Reuse;
use crate::ExchangeError;
use crate::ReadLimits;
use actix_http::header::HeaderMap;
use actix_http::StatusCode;
use bytes::BytesMut;
use socket2::SockRef;
use socket2::TcpKeepalive;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// TCP keep-alive: idle time before the first probe, interval between probes and number of
/// unanswered probes after which the connection is closed. A connection whose state was lost by a
/// middlebox stays silent forever, and without probes a reader would wait on it indefinitely. The
/// socket options take whole seconds; these values are the shortest that tolerate one lost packet.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

/// How long a short request may stay unacknowledged before the connection is closed
/// (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);

/// Largest request to which [`UNACKNOWLEDGED_TIMEOUT`] applies, in bytes. It fits into the smallest
/// receive buffer. The system applies the time-out also to data that waits because the receiver's
/// window is closed, and so would end the connection of a server that reads slowly.
const MAX_SHORT_REQUEST: usize = 2048;

/// How many responses to other requests are skipped before the exchange fails.
const MAX_UNMATCHED: usize = 2;

/// The head of a response, before its body is read.
#[derive(Debug, Clone, Copy)]
pub struct ResponseStart<'a> {
    /// The status code.
    pub status: StatusCode,
    /// All headers.
    pub headers: &'a HeaderMap,
    /// Whether it is the first response on the connection. Any other may be a late or additional
    /// response to an earlier request.
    pub is_first: bool,
}

/// An HTTP/1.1 client connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    parser: Parser,
    stream: TcpStream,
    buf: BytesMut,
    has_user_timeout: bool,
    /// Whether a complete response was received.
    has_response: bool,
    /// When the last response was complete.
    pub(crate) idle_since: Instant,
    /// How long the server keeps the connection open while idle, if it announced that.
    pub(crate) idle_timeout: Option<Duration>,
}

impl Connection {
    /// Connects to `addr`.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotConnected`], also if connecting takes longer than `connect_timeout`.
    pub async fn open(
        parser: &Parser,
        addr: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Self, ExchangeError> {
        let stream = tokio::time::timeout(connect_timeout, TcpStream::connect(addr)).await;
        let stream = stream
            .map_err(|_| ExchangeError::NotConnected)?
            .map_err(|_| ExchangeError::NotConnected)?;
        set_socket_options(&stream);
        Ok(Self {
            has_user_timeout: false,
            has_response: false,
            parser: parser.clone(),
            stream,
            buf: BytesMut::new(),
            idle_since: Instant::now(),
            idle_timeout: None,
        })
    }

    /// Whether the connection is still open and holds no unexpected bytes: nothing has been
    /// received since the last response, neither end of file nor data.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        self.buf.is_empty() && matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Sends an encoded request and reads the response to it: the first one for which `accept_head`
    /// returns true. `accept_head` is called as soon as the head of a response has been read.
    /// Cancelling the future leaves the connection in an unknown state, so this
    /// consumes the connection and returns it only after a complete response.
    ///
    /// # Errors
    ///
    /// Any [`ExchangeError`] except `NotConnected`. The server may have received the request.
    pub async fn exchange(
        mut self,
        request: &[u8],
        limits: &ReadLimits,
        accept_head: impl Fn(ResponseStart<'_>) -> bool,
    ) -> Result<(CompleteResponse, Self), ExchangeError> {
        self.set_user_timeout(request.len() <= MAX_SHORT_REQUEST);
        let (mut reader, mut writer) = self.stream.split();
        let mut written = false;
        // Reads while writing: a server may respond before it has read the whole body and then stop
        // reading, which would block a client that only writes.
        let mut response = {
            let write = async { writer.write_all(request).await };
            let reader = ResponseReader::new(&self.parser, &mut reader, &mut self.buf, limits);
            let read = read_matching(reader, !self.has_response, accept_head);
            tokio::pin!(write, read);
            loop {
                tokio::select! {
                    result = &mut write, if !written => match result {
                        Ok(()) => written = true,
                        // A server that stopped reading may have sent its response already.
                        Err(_) => break (&mut read).await?,
                    },
                    response = &mut read => break response?,
                }
            }
        };
        // A reset can take the form of a failed write, after which the end of the stream is read
        // instead of the error. A body that ends with the connection may be truncated then.
        if !written && response.ended_by_close {
            return Err(ExchangeError::ConnectionClosed);
        }
        if !written {
            // The server still expects the rest of the body on this connection.
            response.reuse = Reuse::No;
        }
        self.has_response = true;
        self.idle_since = Instant::now();
        if let Reuse::Yes(idle_timeout) = response.reuse {
            self.idle_timeout = idle_timeout;
        }
        Ok((response, self))
    }

    /// Sets whether the connection is closed when sent data stays unacknowledged. Errors are ignored
    /// like those of the other socket options.
    fn set_user_timeout(&mut self, is_set: bool) {
        if is_set != std::mem::replace(&mut self.has_user_timeout, is_set) {
            let timeout = is_set.then_some(UNACKNOWLEDGED_TIMEOUT);
            let _ = SockRef::from(&self.stream).set_tcp_user_timeout(timeout);
        }
    }
}

/// Reads responses until `accept_head` accepts one, skipping at most [`MAX_UNMATCHED`].
async fn read_matching<R: AsyncRead + Unpin>(
    mut reader: ResponseReader<'_, R>,
    is_first_request: bool,
    accept_head: impl Fn(ResponseStart<'_>) -> bool,
) -> Result<CompleteResponse, ExchangeError> {
    for skipped in 0..=MAX_UNMATCHED {
        let head = reader.read_head().await?;
        let is_match = accept_head(ResponseStart {
            status: head.status,
            headers: &head.headers,
            is_first: is_first_request && skipped == 0,
        });
        let mut response = reader.read_body(head).await?;
        if is_match {
            if skipped > 0 {
                // More responses to other requests may follow.
                response.reuse = Reuse::No;
            }
            return Ok(response);
        }
        reader.skip_response();
    }
    Err(ExchangeError::Unmatched)
}

/// Configures the socket so that the system detects an unresponsive peer. Errors are ignored: the
/// connection works without the options.
fn set_socket_options(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(stream);
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keepalive);
}
