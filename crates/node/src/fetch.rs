//! One request and its response over a separate connection between nodes: rules and views for a
//! node that cannot reach the store, and the status page for the operator's tool.

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

/// Time-out for each exchange.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Fetches state from the node at `addr`. Any incarnation may answer, because a contact address
/// does not identify one.
pub(crate) fn fetch_state(shell: &Rc<Shell>, addr: SocketAddr, known: SyncProgress) {
    let shell = shell.clone();
    actix_rt::spawn(async move {
        match timeout(FETCH_TIMEOUT, exchange(&shell, addr, known)).await {
            Ok(Some(state)) => shell.handle_input(Input::StateFetched(state)),
            _ => log::debug!("event=no_state_from_peer addr={addr}"),
        }
    });
}

async fn exchange(shell: &Shell, addr: SocketAddr, known: SyncProgress) -> Option<Bytes> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let mut stream = framing::framed(stream);
    framing::write_frame(&mut stream, &peers::hello_frame(shell, None))
        .await
        .ok()?;
    framing::read_frame(&mut stream).await.ok()?;
    framing::write_frame(&mut stream, &Frame::FetchState(known))
        .await
        .ok()?;
    match framing::read_frame(&mut stream).await {
        Ok(Frame::State(state)) => Some(state),
        _ => None,
    }
}

/// Serves one request. Closes the connection without a response if this node has no newer state.
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
