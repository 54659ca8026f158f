//! Response parsing.

mod head;
#[cfg(test)]
mod tests;

use crate::limits::Share;
use crate::ExchangeError;
use crate::ReadLimits;
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
use head::check_head;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio_util::codec::Decoder;

/// Buffer space reserved for each read, in bytes; most responses fit.
const READ_SIZE: usize = 8 * 1024;

/// Bytes that are not part of a body, in all responses to one request together: heads, framing and
/// trailers. A server that sends more sends no response.
const MAX_OVERHEAD: usize = 64 * 1024;

/// Further such bytes for each byte of the body, for bodies in very small chunks.
const OVERHEAD_PER_BODY_BYTE: usize = 8;

/// Most interim responses to one request.
const MAX_INTERIM: usize = 16;

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
    /// Whether the body ended with the connection, without a declared length.
    pub ended_by_close: bool,
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

/// Reads the responses to one request.
pub(crate) struct ResponseReader<'a, R> {
    parser: &'a Parser,
    stream: &'a mut R,
    /// Bytes that were received but not decoded.
    buf: &'a mut BytesMut,
    limits: &'a ReadLimits,
    share: Share,
    /// Bytes received for this exchange, without the bodies of skipped responses.
    received: usize,
    /// Bytes of the current body that were decoded.
    body: usize,
    /// Interim responses received.
    interim: usize,
}

impl<'a, R: AsyncRead + Unpin> ResponseReader<'a, R> {
    pub(crate) fn new(
        parser: &'a Parser,
        stream: &'a mut R,
        buf: &'a mut BytesMut,
        limits: &'a ReadLimits,
    ) -> Self {
        Self {
            parser,
            stream,
            received: buf.len(),
            buf,
            share: limits.budget.share(),
            limits,
            body: 0,
            interim: 0,
        }
    }

    /// Reads the head of the next final response, whichever request it belongs to.
    pub(crate) async fn read_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        let mut codec = ClientCodec::new(self.parser.0.clone());
        let mut head = loop {
            check_head(self.buf).map_err(|_| self.malformed())?;
            match codec.decode(self.buf) {
                // An interim response; the final one follows.
                Ok(Some(head)) if head.status.is_informational() => {
                    self.interim += 1;
                    if self.interim > MAX_INTERIM {
                        return Err(ExchangeError::ExcessiveOverhead);
                    }
                    codec = ClientCodec::new(self.parser.0.clone())
                }
                Ok(Some(head)) => break head,
                Ok(None) => self.read_more().await?,
                Err(_) => return Err(self.malformed()),
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
    pub(crate) async fn read_body(
        &mut self,
        head: ResponseHead,
    ) -> Result<CompleteResponse, ExchangeError> {
        let ResponseHead {
            status,
            headers,
            framing,
        } = head;
        let (body, is_framed) = match framing {
            Framing::NoBody => (Bytes::new(), true),
            Framing::Framed(payload) => (self.read_framed(payload, &headers).await?, true),
            Framing::UntilClose => (self.read_until_close().await?, false),
        };
        // Bytes after the end of the response belong to no request.
        let reuse = if is_framed && self.buf.is_empty() && !has_connection_close(&headers) {
            Reuse::Yes(idle_timeout(&headers))
        } else {
            Reuse::No
        };
        Ok(CompleteResponse {
            status,
            headers,
            body,
            reuse,
            ended_by_close: !is_framed,
        })
    }

    /// Returns the memory of a response that was read and belongs to another request.
    pub(crate) fn skip_response(&mut self) {
        self.received = self.received.saturating_sub(self.body);
        self.body = 0;
        self.share = self.limits.budget.share();
    }

    async fn read_framed(
        &mut self,
        mut payload: ClientPayloadCodec,
        headers: &HeaderMap,
    ) -> Result<Bytes, ExchangeError> {
        let declared = declared_length(headers);
        if let Some(len) = declared {
            self.check_body_length(len)?;
            self.share.reserve(len).await;
        }
        let mut first = Bytes::new();
        let mut rest = BytesMut::new();
        loop {
            match payload.decode(self.buf) {
                Ok(Some(Some(chunk))) => {
                    self.body += chunk.len();
                    self.check_body_length(self.body)?;
                    if declared.is_none() {
                        self.share.grow(chunk.len())?;
                    }
                    if first.is_empty() {
                        first = chunk;
                        continue;
                    }
                    if rest.is_empty() {
                        rest.reserve(declared.unwrap_or(0).max(first.len() + chunk.len()));
                        rest.extend_from_slice(&first);
                    }
                    rest.extend_from_slice(&chunk);
                }
                Ok(Some(None)) => break,
                Ok(None) => self.read_more().await?,
                Err(_) => return Err(self.malformed()),
            }
        }
        Ok(match rest.is_empty() {
            true => first,
            false => rest.freeze(),
        })
    }

    async fn read_until_close(&mut self) -> Result<Bytes, ExchangeError> {
        loop {
            let new = self.buf.len() - self.body;
            self.body += new;
            self.check_body_length(self.body)?;
            self.share.grow(new)?;
            // A connection reset means that the body is truncated.
            match self.fill_buf().await? {
                Some(0) => return Ok(self.buf.split().freeze()),
                Some(_) => {}
                None => return Err(ExchangeError::ConnectionClosed),
            }
        }
    }

    /// The error for bytes that are no response.
    fn malformed(&self) -> ExchangeError {
        let excessive = self.check_overhead().err();
        excessive.unwrap_or(ExchangeError::Malformed)
    }

    fn check_body_length(&self, len: usize) -> Result<(), ExchangeError> {
        match len > self.limits.max_body {
            true => Err(ExchangeError::TooLarge),
            false => Ok(()),
        }
    }

    /// Checks the number of bytes that are not part of the body, after all that was received has been
    /// decoded as far as possible.
    fn check_overhead(&self) -> Result<(), ExchangeError> {
        let allowed = self.body.saturating_mul(OVERHEAD_PER_BODY_BYTE) + MAX_OVERHEAD;
        match self.received.saturating_sub(self.body) > allowed {
            true => Err(ExchangeError::ExcessiveOverhead),
            false => Ok(()),
        }
    }

    /// Reads more of a response, of which all that was received has been decoded as far as possible.
    async fn read_more(&mut self) -> Result<(), ExchangeError> {
        self.check_overhead()?;
        match self.fill_buf().await? {
            Some(0) | None => Err(ExchangeError::ConnectionClosed),
            Some(_) => Ok(()),
        }
    }

    /// Reads once; returns the number of bytes, or `None` if the connection has failed.
    async fn fill_buf(&mut self) -> Result<Option<usize>, ExchangeError> {
        self.buf.reserve(READ_SIZE);
        tokio::select! {
            biased;
            () = self.share.given_up() => Err(ExchangeError::NoMemory),
            read = self.stream.read_buf(self.buf) => {
                self.received += read.as_ref().map_or(0, |len| *len);
                Ok(read.ok())
            }
        }
    }
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

/// The length of a body that is not chunked.
fn declared_length(headers: &HeaderMap) -> Option<usize> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return None;
    }
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
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
