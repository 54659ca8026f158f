//! Checks of a response's head that go beyond those of the parser.

use actix_http::header::CONTENT_LENGTH;
use actix_http::header::TRANSFER_ENCODING;
use httparse::Response;
use httparse::Status;
use httparse::EMPTY_HEADER;

/// Most headers of a response, as in `actix-http`.
const MAX_HEADERS: usize = 96;

/// Status codes that a response may have (RFC 9110, section 15).
const STATUS_CODES: std::ops::RangeInclusive<u16> = 100..=599;

/// The received bytes are not the head of a response.
pub(super) struct MalformedHead;

/// Checks the head at the start of `bytes`, as far as it was received.
///
/// `actix-http` accepts blanks between the name of a header and the colon. RFC 9112, section 5.1,
/// permits a proxy to remove them; but a server that sends them does not frame its response
/// reliably, and a body framed by such a line may not be the server's. The same holds for a response
/// that has both a length and a transfer coding (section 6.3). Lines may end in LF alone (section
/// 2.2).
pub(super) fn check_head(bytes: &[u8]) -> Result<(), MalformedHead> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut response = Response::new(&mut headers);
    match response.parse(bytes) {
        Ok(Status::Partial) => return Ok(()),
        Ok(Status::Complete(_)) => {}
        Err(_) => return Err(MalformedHead),
    }
    let has = |name: &str| {
        let mut names = response.headers.iter().map(|header| header.name);
        names.any(|header| header.eq_ignore_ascii_case(name))
    };
    let has_coding = has(TRANSFER_ENCODING.as_str());
    // HTTP/1.0 has no transfer coding (section 6.1).
    let is_ambiguous = has_coding && (has(CONTENT_LENGTH.as_str()) || response.version == Some(0));
    let is_status = response
        .code
        .is_some_and(|code| STATUS_CODES.contains(&code));
    match is_status && !is_ambiguous {
        true => Ok(()),
        false => Err(MalformedHead),
    }
}
