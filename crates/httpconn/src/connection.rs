//! A connection and the requests on it, one at a time.

use crate::response;
use crate::response::CompleteResponse;
use crate::response::Parser;
use crate::response::Reuse;
use crate::ExchangeError;
use actix_http::header::HeaderMap;
use bytes::BytesMut;
use socket2::SockRef;
use socket2::TcpKeepalive;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// When a connection on which nothing comes is probed, and how often. A connection that something
/// on the way has lost track of stays silent for good; without probes a reader would wait on it for
/// ever. Three tries a second apart are the shortest that the system's whole seconds allow without
/// giving up over one lost packet.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;

/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2500);

/// How many responses to other requests are passed over in search of the right one.
const MAX_FOREIGN: usize = 2;

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    parser: Parser,
    stream: TcpStream,
    buf: BytesMut,
    /// When the last response on it was whole.
    pub(crate) idle_since: Instant,
    /// When the other end closes it.
    pub(crate) idle_timeout: Option<Duration>,
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotConnected`], also if it takes longer than `patience`.
    pub async fn open(
        parser: &Parser,
        addr: SocketAddr,
        patience: Duration,
    ) -> Result<Self, ExchangeError> {
        let stream = tokio::time::timeout(patience, TcpStream::connect(addr)).await;
        let stream = stream
            .map_err(|_| ExchangeError::NotConnected)?
            .map_err(|_| ExchangeError::NotConnected)?;
        watch(&stream);
        Ok(Self {
            parser: parser.clone(),
            stream,
            buf: BytesMut::new(),
            idle_since: Instant::now(),
            idle_timeout: None,
        })
    }

    /// Whether nothing has come since the last response: neither an end nor bytes that belong to
    /// no request.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        self.buf.is_empty() && matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Sends a request, head and body in one, and reads the response to it: the first one of which
    /// `is_ours` holds. Dropping the future in between leaves the connection in a state that
    /// nobody knows, so it takes the connection, and gives it back only after a whole response.
    ///
    /// # Errors
    ///
    /// Any [`ExchangeError`] but `NotConnected`: the request may have arrived.
    pub async fn exchange(
        mut self,
        request: &[u8],
        max_body: usize,
        is_ours: impl Fn(&HeaderMap) -> bool,
    ) -> Result<(CompleteResponse, Self), ExchangeError> {
        let (mut reader, mut writer) = self.stream.split();
        let mut written = false;
        // Some servers answer before they have read the whole body; one that then reads no more
        // would keep a writer that does not listen waiting for ever.
        let mut whole = {
            let write = async { writer.write_all(request).await };
            let read = read_ours(&self.parser, &mut reader, &mut self.buf, max_body, is_ours);
            tokio::pin!(write, read);
            loop {
                tokio::select! {
                    sent = &mut write, if !written => match sent {
                        Ok(()) => written = true,
                        // The answer may be there all the same, from a server that reads no more.
                        Err(_) => break (&mut read).await?,
                    },
                    whole = &mut read => break whole?,
                }
            }
        };
        if !written {
            // The rest of the body is due on this connection.
            whole.reuse = Reuse::No;
        }
        self.idle_since = Instant::now();
        if let Reuse::Yes(idle_timeout) = whole.reuse {
            self.idle_timeout = idle_timeout;
        }
        Ok((whole, self))
    }
}

async fn read_ours(
    parser: &Parser,
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    buf: &mut BytesMut,
    max_body: usize,
    is_ours: impl Fn(&HeaderMap) -> bool,
) -> Result<CompleteResponse, ExchangeError> {
    for passed_over in 0..=MAX_FOREIGN {
        let mut whole = response::read(parser, reader, buf, max_body).await?;
        if is_ours(&whole.headers) {
            if passed_over > 0 {
                whole.reuse = Reuse::No;
            }
            return Ok(whole);
        }
    }
    Err(ExchangeError::Unmatched)
}

/// Has the system notice a silent other end. A socket that refuses an option still works.
fn watch(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    let socket = SockRef::from(stream);
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
}
