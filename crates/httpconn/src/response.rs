//! Reading one whole response out of the bytes of a connection.

use crate::ExchangeError;
use actix_http::h1::ClientCodec;
use actix_http::h1::ClientPayloadCodec;
use actix_http::h1::MessageType;
use actix_http::header::HeaderMap;
use actix_http::header::CONNECTION;
use actix_http::header::CONTENT_LENGTH;
use actix_http::header::TRANSFER_ENCODING;
use actix_http::ServiceConfig;
use actix_http::StatusCode;
use bytes::Bytes;
use bytes::BytesMut;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio_util::codec::Decoder;

/// How much is read at a time, in bytes; most responses fit.
const READ_SIZE: usize = 8 * 1024;

/// A whole response.
#[derive(Debug)]
pub struct CompleteResponse {
    /// The status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// The body without its framing.
    pub body: Bytes,
    /// Whether the connection may carry another request.
    pub reuse: Reuse,
}

/// Whether a connection may carry another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// It may. The other end closes it after this time without one, if it said so.
    Yes(Option<Duration>),
    /// The other end closes it, or something on it was not as it should be. What comes next on it
    /// might be taken for the response to a request that it does not belong to.
    No,
}

/// The parser of responses. Making one starts a task of its library, so it is made once and shared.
#[derive(Debug, Clone, Default)]
pub struct Parser(ServiceConfig);

/// What tells where a body ends.
enum Framing {
    /// There is none.
    Empty,
    /// Its length or its chunks.
    Marked(ClientPayloadCodec),
    /// The end of the connection.
    Close,
}

/// Reads the next response, whatever request it belongs to.
pub(crate) async fn read<R>(
    parser: &Parser,
    stream: &mut R,
    buf: &mut BytesMut,
    max_body: usize,
) -> Result<CompleteResponse, ExchangeError>
where
    R: AsyncRead + Unpin,
{
    let mut codec = ClientCodec::new(parser.0.clone());
    let mut head = loop {
        match codec.decode(buf) {
            // An interim response: the final one follows.
            Ok(Some(head)) if head.status.is_informational() => {
                codec = ClientCodec::new(parser.0.clone())
            }
            Ok(Some(head)) => break head,
            Ok(None) => fill(stream, buf).await?,
            Err(_) => return Err(ExchangeError::Malformed),
        }
    };
    let (status, headers) = (head.status, std::mem::take(head.headers_mut()));
    let (body, marked) = match framing(codec, status, &headers) {
        Framing::Empty => (Bytes::new(), true),
        Framing::Marked(payload) => (read_marked(stream, buf, payload, max_body).await?, true),
        Framing::Close => (read_to_close(stream, buf, max_body).await?, false),
    };
    // Bytes after the end belong to no request.
    let reuse = if marked && buf.is_empty() && !says_close(&headers) {
        Reuse::Yes(idle_timeout(&headers))
    } else {
        Reuse::No
    };
    Ok(CompleteResponse {
        status,
        headers,
        body,
        reuse,
    })
}

fn framing(codec: ClientCodec, status: StatusCode, headers: &HeaderMap) -> Framing {
    if codec.message_type() != MessageType::None {
        return Framing::Marked(codec.into_payload_codec());
    }
    let bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let marked = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    if bodiless || marked {
        Framing::Empty
    } else {
        // RFC 9112, section 6.3: a response without a length ends with its connection.
        Framing::Close
    }
}

async fn read_marked<R>(
    stream: &mut R,
    buf: &mut BytesMut,
    mut payload: ClientPayloadCodec,
    max_body: usize,
) -> Result<Bytes, ExchangeError>
where
    R: AsyncRead + Unpin,
{
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    loop {
        match payload.decode(buf) {
            Ok(Some(Some(chunk))) => {
                if first.len() + rest.len() + chunk.len() > max_body {
                    return Err(ExchangeError::TooLarge);
                }
                if first.is_empty() {
                    first = chunk;
                } else {
                    rest.extend_from_slice(&chunk);
                }
            }
            Ok(Some(None)) => break,
            Ok(None) => fill(stream, buf).await?,
            Err(_) => return Err(ExchangeError::Malformed),
        }
    }
    if rest.is_empty() {
        return Ok(first);
    }
    let mut body = BytesMut::from(&first[..]);
    body.unsplit(rest);
    Ok(body.freeze())
}

async fn read_to_close<R>(
    stream: &mut R,
    buf: &mut BytesMut,
    max_body: usize,
) -> Result<Bytes, ExchangeError>
where
    R: AsyncRead + Unpin,
{
    loop {
        if buf.len() > max_body {
            return Err(ExchangeError::TooLarge);
        }
        buf.reserve(READ_SIZE);
        // A reset is an error here, and not an end.
        match stream.read_buf(buf).await {
            Ok(0) => return Ok(buf.split().freeze()),
            Ok(_) => {}
            Err(_) => return Err(ExchangeError::ConnectionClosed),
        }
    }
}

async fn fill<R>(stream: &mut R, buf: &mut BytesMut) -> Result<(), ExchangeError>
where
    R: AsyncRead + Unpin,
{
    buf.reserve(READ_SIZE);
    match stream.read_buf(buf).await {
        Ok(0) | Err(_) => Err(ExchangeError::ConnectionClosed),
        Ok(_) => Ok(()),
    }
}

fn says_close(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(CONNECTION);
    values.any(|value| {
        let text = value.to_str().unwrap_or("close");
        text.split(',')
            .any(|word| word.trim().eq_ignore_ascii_case("close"))
    })
}

/// The `timeout` of the `Keep-Alive` header, in whole seconds (RFC 2068, section 19.7.1.1).
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let words = text.split(',').map(str::trim);
    let seconds = words.filter_map(|word| word.strip_prefix("timeout="));
    let seconds = seconds.filter_map(|seconds| seconds.parse().ok());
    seconds.map(Duration::from_secs).next()
}
