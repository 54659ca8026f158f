//! Header validation and forwarding.

use actix_http::header::HeaderMap;
use actix_http::header::CONNECTION;
use bytes::Bytes;
use std::sync::Arc;

/// Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that each hop sets itself.
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

/// A header occurs more than once or is not visible ASCII.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadHeader;

/// Returns the value of a header that may occur at most once and must be visible ASCII, or `None`
/// if the header is absent.
///
/// # Errors
///
/// [`BadHeader`] if it occurs more than once or has other characters.
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

/// Returns the headers to forward: all except hop-by-hop headers, headers named by `Connection`,
/// and `excluded`, whose names are in lower case.
///
/// # Examples
///
/// ```
/// use actix_http::header::{HeaderMap, HeaderValue, ACCEPT, HOST};
///
/// let mut headers = HeaderMap::new();
/// headers.insert(HOST, HeaderValue::from_static("a.example"));
/// headers.insert(ACCEPT, HeaderValue::from_static("*/*"));
/// let forwarded = bilberry_httpconn::end_to_end_headers(&headers, &[]);
/// assert_eq!(forwarded.len(), 1);
/// assert_eq!(&*forwarded[0].0, "accept");
/// ```
pub fn end_to_end_headers(headers: &HeaderMap, excluded: &[&str]) -> Vec<(Arc<str>, Bytes)> {
    let connection_options: Vec<&str> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(',').map(str::trim))
        .collect();
    let is_excluded = |name: &str| {
        HOP_BY_HOP.contains(&name)
            || excluded.contains(&name)
            || connection_options
                .iter()
                .any(|option| option.eq_ignore_ascii_case(name))
    };
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !is_excluded(name.as_str()));
    forwarded
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().into(), value)
        })
        .collect()
}
