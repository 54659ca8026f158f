//! Asks a node for its status page.

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

/// How long a node may take for its answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// The lines of a status page.
pub(crate) type Page = IndexMap<String, String>;

/// By HTTP, as any client may.
pub(crate) async fn ask_http(addr: SocketAddr) -> Option<Page> {
    let client = awc::Client::builder().disable_redirects().finish();
    let answer = async {
        let url = format!("http://{addr}/-/status");
        let mut response = client.get(url).send().await.ok()?;
        let ok = response.status() == awc::http::StatusCode::OK;
        response.body().await.ok().filter(|_| ok)
    };
    parse(&timeout(PATIENCE, answer).await.ok()??)
}

/// At the address that it announces to other nodes, which is the one that the log's views have.
pub(crate) async fn ask_peer(addr: SocketAddr) -> Option<Page> {
    parse(&timeout(PATIENCE, exchange(addr)).await.ok()??)
}

async fn exchange(addr: SocketAddr) -> Option<Bytes> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let mut wire = LengthDelimitedCodec::builder().new_framed(stream);
    let hello = Frame::Hello {
        version: PROTOCOL_VERSION,
        // The tool is no node, and gets no link.
        from: Incarnation(0),
        to: None,
    };
    for frame in [hello, Frame::FetchStatus] {
        wire.send(Bytes::from(proto::encode(&frame))).await.ok()?;
    }
    while let Some(Ok(bytes)) = wire.next().await {
        if let Ok(Frame::Status(page)) = proto::decode(&bytes) {
            return Some(page);
        }
    }
    None
}

fn parse(page: &[u8]) -> Option<Page> {
    let text = std::str::from_utf8(page).ok()?;
    let pairs = text.lines().filter_map(|line| line.split_once(' '));
    Some(pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect())
}
