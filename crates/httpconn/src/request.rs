//! Writing a request.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use std::sync::Arc;

/// Room for the head of a request, in bytes; most fit.
const HEAD_SIZE: usize = 512;

/// A request's bytes, head and body. Its length is told; `headers` must not tell it.
///
/// # Examples
///
/// ```
/// let request = bilberry_httpconn::encode_request("GET", "/days", &[], &[("host", "a.example")], b"");
/// assert_eq!(&request[..], b"GET /days HTTP/1.1\r\nhost: a.example\r\n\r\n");
/// ```
pub fn encode_request(
    method: &str,
    path: &str,
    headers: &[(Arc<str>, Bytes)],
    more: &[(&str, &str)],
    body: &[u8],
) -> BytesMut {
    let mut buf = BytesMut::with_capacity(HEAD_SIZE + body.len());
    put(&mut buf, &[method, " ", path, " HTTP/1.1\r\n"]);
    for (name, value) in headers {
        put(&mut buf, &[name, ": "]);
        buf.put_slice(value);
        put(&mut buf, &["\r\n"]);
    }
    for (name, value) in more {
        put(&mut buf, &[name, ": ", value, "\r\n"]);
    }
    // RFC 9110, section 8.6: methods that give a meaning to a body tell its length, also if empty.
    let has_meaning = matches!(method, "POST" | "PUT" | "PATCH");
    if has_meaning || !body.is_empty() {
        let len = body.len().to_string();
        put(&mut buf, &["content-length: ", &len, "\r\n"]);
    }
    put(&mut buf, &["\r\n"]);
    buf.put_slice(body);
    buf
}

fn put(buf: &mut BytesMut, parts: &[&str]) {
    for part in parts {
        buf.put_slice(part.as_bytes());
    }
}
