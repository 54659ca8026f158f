//! Request encoding.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use std::sync::Arc;

/// Buffer capacity reserved for the head of a request, in bytes; most heads fit.
const HEAD_CAPACITY: usize = 512;

/// Encodes a request, head and body. Adds `content-length`, which `headers` must not contain.
///
/// # Examples
///
/// ```
/// let host = ("host", "a.example");
/// let request = bilberry_httpconn::encode_request("GET", "/days", &[], &[host], b"");
/// assert_eq!(&request[..], b"GET /days HTTP/1.1\r\nhost: a.example\r\n\r\n");
/// ```
pub fn encode_request(
    method: &str,
    path: &str,
    headers: &[(Arc<str>, Bytes)],
    extra_headers: &[(&str, &str)],
    body: &[u8],
) -> BytesMut {
    let mut buf = BytesMut::with_capacity(HEAD_CAPACITY + body.len());
    put(&mut buf, &[method, " ", path, " HTTP/1.1\r\n"]);
    for (name, value) in headers {
        put(&mut buf, &[name, ": "]);
        buf.put_slice(value);
        put(&mut buf, &["\r\n"]);
    }
    for (name, value) in extra_headers {
        put(&mut buf, &[name, ": ", value, "\r\n"]);
    }
    // RFC 9110, section 8.6: for methods that define a meaning for a body, the length is sent even
    // if the body is empty.
    let defines_body = matches!(method, "POST" | "PUT" | "PATCH");
    if defines_body || !body.is_empty() {
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
