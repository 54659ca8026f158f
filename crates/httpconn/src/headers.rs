//! Which headers are passed on.

use actix_http::header::HeaderMap;
use actix_http::header::CONNECTION;
use bytes::Bytes;
use std::sync::Arc;

/// Headers that are about one connection (RFC 9110, section 7.6.1), or that each hop sets itself.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "date",
];

/// A header stands more than once, or is not visible ASCII.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadHeader;

/// A header that may stand once, in visible ASCII.
///
/// # Errors
///
/// [`BadHeader`] if it is neither that nor missing.
///
/// # Examples
///
/// ```
/// use actix_http::header::{HeaderMap, HeaderValue, ACCEPT};
/// use bilberry_httpconn::{single_header, BadHeader};
///
/// let mut headers = HeaderMap::new();
/// assert_eq!(single_header(&headers, "accept"), Ok(None));
/// headers.append(ACCEPT, HeaderValue::from_static("*/*"));
/// assert_eq!(single_header(&headers, "accept"), Ok(Some("*/*")));
/// headers.append(ACCEPT, HeaderValue::from_static("*/*"));
/// assert_eq!(single_header(&headers, "accept"), Err(BadHeader));
/// ```
pub fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, BadHeader> {
    let mut values = headers.get_all(name);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(BadHeader);
    }
    value.to_str().map(Some).map_err(|_| BadHeader)
}

/// The headers that are passed on: all but those about one connection, those that its `Connection`
/// header names, and `not_these`, in lower case.
///
/// # Examples
///
/// ```
/// use actix_http::header::{HeaderMap, HeaderValue, ACCEPT, HOST};
///
/// let mut headers = HeaderMap::new();
/// headers.insert(HOST, HeaderValue::from_static("a.example"));
/// headers.insert(ACCEPT, HeaderValue::from_static("*/*"));
/// let passed_on = bilberry_httpconn::end_to_end_headers(&headers, &[]);
/// assert_eq!(passed_on.len(), 1);
/// assert_eq!(&*passed_on[0].0, "accept");
/// ```
pub fn end_to_end_headers(headers: &HeaderMap, not_these: &[&str]) -> Vec<(Arc<str>, Bytes)> {
    let named: Vec<&str> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(',').map(str::trim))
        .collect();
    let is_left_out = |name: &str| {
        HOP_BY_HOP.contains(&name)
            || not_these.contains(&name)
            || named.iter().any(|named| named.eq_ignore_ascii_case(name))
    };
    let passed_on = headers
        .iter()
        .filter(|(name, _)| !is_left_out(name.as_str()));
    passed_on
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().into(), value)
        })
        .collect()
}
