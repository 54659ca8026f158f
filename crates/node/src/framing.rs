//! Frames on a TCP connection: length-delimited `postcard`, with the time of the last byte in each
//! direction.

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::Stream;
use futures_util::StreamExt;
use proto::Frame;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// The largest frame, in bytes.
pub(crate) const MAX_FRAME: usize = 4 << 20;

pub(crate) type FramedStream = Framed<MeteredStream, LengthDelimitedCodec>;

/// When bytes last passed in each direction. A large frame on a slow connection takes long but
/// proves that the peer is alive, which complete frames alone would not show.
#[derive(Clone)]
pub(crate) struct Progress {
    pub(crate) last_read: Rc<Cell<Instant>>,
    pub(crate) last_write: Rc<Cell<Instant>>,
}

/// A TCP stream that records its progress.
pub(crate) struct MeteredStream {
    stream: TcpStream,
    progress: Progress,
}

impl MeteredStream {
    pub(crate) fn progress(&self) -> Progress {
        self.progress.clone()
    }
}

/// Why no further frame could be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// The connection is closed or broken, possibly in the middle of a frame.
    Closed,
    /// The declared length exceeds [`MAX_FRAME`].
    TooLarge,
    /// The bytes do not decode to a frame.
    Malformed,
}

pub(crate) fn framed(stream: TcpStream) -> FramedStream {
    let _ = stream.set_nodelay(true);
    let now = Instant::now();
    let progress = Progress {
        last_read: Rc::new(Cell::new(now)),
        last_write: Rc::new(Cell::new(now)),
    };
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_framed(MeteredStream { stream, progress })
}

/// Reads one frame. A truncated frame is an error, never a shorter frame.
pub(crate) async fn read_frame<S>(stream: &mut S) -> Result<Frame, ReadError>
where
    S: Stream<Item = io::Result<BytesMut>> + Unpin,
{
    match stream.next().await {
        None => Err(ReadError::Closed),
        Some(Ok(bytes)) => proto::decode(&bytes).map_err(|_| ReadError::Malformed),
        // The codec itself only fails on the length; all other errors come from the connection.
        Some(Err(e)) if e.kind() == io::ErrorKind::InvalidData => Err(ReadError::TooLarge),
        Some(Err(_)) => Err(ReadError::Closed),
    }
}

pub(crate) async fn write_frame(stream: &mut FramedStream, frame: &Frame) -> io::Result<()> {
    stream.send(Bytes::from(proto::encode(frame))).await
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if buf.filled().len() > before {
            self.progress.last_read.set(Instant::now());
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        self.progress.last_write.set(Instant::now());
        Poll::Ready(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
