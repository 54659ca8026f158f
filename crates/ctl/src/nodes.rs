//! Fetches the status page of a node.

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use indexmap::IndexMap;
use proto::Frame;
use proto::Incarnation;
use proto::PROTOCOL_VERSION;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;

/// How long to wait for a node's status page, including the connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// The values of a status page by key, in the order of its lines.
pub(crate) type StatusPage = IndexMap<String, String>;

/// Fetches the page over HTTP from the node's `http_addr`.
pub(crate) async fn fetch_over_http(addr: SocketAddr) -> Option<StatusPage> {
    let client = awc::Client::builder().disable_redirects().finish();
    let body = async {
        let url = format!("http://{addr}/-/status");
        let mut response = client.get(url).send().await.ok()?;
        let ok = response.status() == awc::http::StatusCode::OK;
        response.body().await.ok().filter(|_| ok)
    };
    parse(&timeout(RESPONSE_TIMEOUT, body).await.ok()??)
}

/// Fetches the page over the peer protocol, from the address that the node announces to other
/// nodes. The views in the stream contain this address and not the `http_addr`.
pub(crate) async fn fetch_from_peer_addr(addr: SocketAddr) -> Option<StatusPage> {
    parse(
        &timeout(RESPONSE_TIMEOUT, request_status(addr))
            .await
            .ok()??,
    )
}

/// Sends a status request to a peer address and waits for the page.
async fn request_status(addr: SocketAddr) -> Option<Bytes> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let mut framed = LengthDelimitedCodec::builder().new_framed(stream);
    let hello = Frame::Hello {
        version: PROTOCOL_VERSION,
        // This tool is not a node and has no incarnation. Without `to`, the node sets up no link.
        from: Incarnation(0),
        to: None,
    };
    for frame in [hello, Frame::FetchStatus] {
        framed.send(Bytes::from(proto::encode(&frame))).await.ok()?;
    }
    while let Some(Ok(bytes)) = framed.next().await {
        if let Ok(Frame::Status(page)) = proto::decode(&bytes) {
            return Some(page);
        }
    }
    None
}

/// Parses lines of `KEY VALUE`.
fn parse(page: &[u8]) -> Option<StatusPage> {
    let text = std::str::from_utf8(page).ok()?;
    let pairs = text.lines().filter_map(|line| line.split_once(' '));
    Some(pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect())
}
