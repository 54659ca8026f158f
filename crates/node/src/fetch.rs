//! Exchanges a single request and its response over a separate connection. A node that does not or
//! cannot read the store fetches rules and views, the operator's tool fetches the status page.

use crate::framing;
use crate::framing::FramedStream;
use crate::peers;
use crate::shell::Shell;
use bytes::Bytes;
use engine::Input;
use proto::Frame;
use proto::SyncProgress;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit for a whole fetch. When serving, it applies to reading the request and to writing the
/// response separately.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Fetches state from the node at `addr` if it is ahead of `known`. Any incarnation may answer,
/// because `addr` may be known only as a contact, without the incarnation that runs there.
pub(crate) fn fetch_state(shell: &Rc<Shell>, addr: SocketAddr, known: SyncProgress) {
    let shell = shell.clone();
    actix_rt::spawn(async move {
        match timeout(FETCH_TIMEOUT, request_state(&shell, addr, known)).await {
            Ok(Some(state)) => shell.handle_input(Input::StateFetched { from: addr, state }),
            _ => log::debug!("event=no_state_from_peer addr={addr}"),
        }
    });
}

async fn request_state(shell: &Shell, addr: SocketAddr, known: SyncProgress) -> Option<Bytes> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let mut stream = framing::framed(stream);
    framing::write_frame(&mut stream, &peers::hello_frame(shell, None))
        .await
        .ok()?;
    // The peer's `Hello`. A peer of another version closes the connection instead of sending it.
    framing::read_frame(&mut stream).await.ok()?;
    framing::write_frame(&mut stream, &Frame::FetchState(known))
        .await
        .ok()?;
    match framing::read_frame(&mut stream).await {
        Ok(Frame::State(state)) => Some(state),
        _ => None,
    }
}

/// Serves one request. Sends no response if state is requested and this node has no newer one; the
/// connection then ends when the caller of this function drops the stream.
pub(crate) async fn serve_request(shell: &Shell, stream: &mut FramedStream) {
    let answer = match timeout(FETCH_TIMEOUT, framing::read_frame(stream)).await {
        Ok(Ok(Frame::FetchState(known))) => shell
            .engine
            .borrow()
            .state_newer_than(known)
            .map(Frame::State),
        Ok(Ok(Frame::FetchStatus)) => Some(Frame::Status(shell.status().into())),
        _ => return shell.count_unexpected_message(),
    };
    if let Some(answer) = answer {
        let _ = timeout(FETCH_TIMEOUT, framing::write_frame(stream, &answer)).await;
    }
}
