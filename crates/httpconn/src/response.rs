//! Response parsing.

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

/// Buffer space reserved for each read, in bytes; most responses fit.
const READ_SIZE: usize = 8 * 1024;

/// A response that was received completely.
#[derive(Debug)]
pub struct CompleteResponse {
    /// The status code.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// The body, without transfer coding.
    pub body: Bytes,
    /// Whether the connection may carry another request.
    pub reuse: Reuse,
}

/// Whether a connection may carry another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// The connection may be reused. Holds the server's idle timeout, if it announced one.
    Yes(Option<Duration>),
    /// The server closes the connection, or the exchange left it in a doubtful state: bytes that
    /// arrive next might be mistaken for the response to another request.
    No,
}

/// Response parser. Creating one spawns a background task in `actix-http`, so it should be created
/// once and cloned.
#[derive(Debug, Clone, Default)]
pub struct Parser(ServiceConfig);

/// How the end of a body is determined.
enum Framing {
    /// There is no body.
    NoBody,
    /// By the content length or chunked coding.
    Framed(ClientPayloadCodec),
    /// The body ends when the connection is closed.
    UntilClose,
}

/// The head of a response whose body has not been read yet.
pub(crate) struct ResponseHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    framing: Framing,
}

/// Reads the head of the next final response, whichever request it belongs to.
pub(crate) async fn read_head<R>(
    parser: &Parser,
    stream: &mut R,
    buf: &mut BytesMut,
) -> Result<ResponseHead, ExchangeError>
where
    R: AsyncRead + Unpin,
{
    let mut codec = ClientCodec::new(parser.0.clone());
    let mut head = loop {
        match codec.decode(buf) {
            // An interim response; the final one follows.
            Ok(Some(head)) if head.status.is_informational() => {
                codec = ClientCodec::new(parser.0.clone())
            }
            Ok(Some(head)) => break head,
            Ok(None) => read_more(stream, buf).await?,
            Err(_) => return Err(ExchangeError::Malformed),
        }
    };
    let (status, headers) = (head.status, std::mem::take(head.headers_mut()));
    Ok(ResponseHead {
        status,
        framing: body_framing(codec, status, &headers),
        headers,
    })
}

/// Reads the body of a response whose head has been read.
pub(crate) async fn read_body<R>(
    head: ResponseHead,
    stream: &mut R,
    buf: &mut BytesMut,
    max_body: usize,
) -> Result<CompleteResponse, ExchangeError>
where
    R: AsyncRead + Unpin,
{
    let ResponseHead {
        status,
        headers,
        framing,
    } = head;
    let (body, is_framed) = match framing {
        Framing::NoBody => (Bytes::new(), true),
        Framing::Framed(payload) => (read_framed(stream, buf, payload, max_body).await?, true),
        Framing::UntilClose => (read_until_close(stream, buf, max_body).await?, false),
    };
    // Bytes after the end of the response belong to no request.
    let reuse = if is_framed && buf.is_empty() && !has_connection_close(&headers) {
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

fn body_framing(codec: ClientCodec, status: StatusCode, headers: &HeaderMap) -> Framing {
    if codec.message_type() != MessageType::None {
        return Framing::Framed(codec.into_payload_codec());
    }
    let bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let has_framing_header =
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    if bodiless || has_framing_header {
        Framing::NoBody
    } else {
        // RFC 9112, section 6.3: a response without a declared length ends when the connection
        // closes.
        Framing::UntilClose
    }
}

async fn read_framed<R>(
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
            Ok(None) => read_more(stream, buf).await?,
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

async fn read_until_close<R>(
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
        // A connection reset means that the body is truncated.
        match stream.read_buf(buf).await {
            Ok(0) => return Ok(buf.split().freeze()),
            Ok(_) => {}
            Err(_) => return Err(ExchangeError::ConnectionClosed),
        }
    }
}

async fn read_more<R>(stream: &mut R, buf: &mut BytesMut) -> Result<(), ExchangeError>
where
    R: AsyncRead + Unpin,
{
    buf.reserve(READ_SIZE);
    match stream.read_buf(buf).await {
        Ok(0) | Err(_) => Err(ExchangeError::ConnectionClosed),
        Ok(_) => Ok(()),
    }
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(CONNECTION);
    values.any(|value| {
        let text = value.to_str().unwrap_or("close");
        text.split(',')
            .any(|option| option.trim().eq_ignore_ascii_case("close"))
    })
}

/// The `timeout` parameter of the `Keep-Alive` header, in whole seconds (RFC 2068, section
/// 19.7.1.1).
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = text.split(',').map(str::trim);
    let seconds = parameters.filter_map(|parameter| parameter.strip_prefix("timeout="));
    let seconds = seconds.filter_map(|seconds| seconds.parse().ok());
    seconds.map(Duration::from_secs).next()
}
