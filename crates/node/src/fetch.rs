//! The log's state from node to node, over a connection of its own that carries nothing else.

use crate::peers;
use crate::peers::Wire;
use crate::shell::Shell;
use bytes::Bytes;
use engine::Input;
use proto::Frame;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a fetch may take.
const PATIENCE: Duration = Duration::from_secs(3);

/// Asks the node at `addr`. It may be any incarnation, because a contact address names none.
pub(crate) fn ask(shell: &Rc<Shell>, addr: SocketAddr, next: u64) {
    let shell = shell.clone();
    actix_rt::spawn(async move {
        match timeout(PATIENCE, exchange(&shell, addr, next)).await {
            Ok(Some(state)) => shell.feed(Input::PeerState(state)),
            _ => log::debug!("event=no_state_from_peer addr={addr}"),
        }
    });
}

async fn exchange(shell: &Shell, addr: SocketAddr, next: u64) -> Option<Bytes> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let mut wire = peers::frame_wire(stream);
    peers::write(&mut wire, &peers::hello_frame(shell, None))
        .await
        .ok()?;
    peers::read(&mut wire).await?.ok()?;
    peers::write(&mut wire, &Frame::FetchState { next })
        .await
        .ok()?;
    match peers::read(&mut wire).await? {
        Ok(Frame::State(state)) => Some(state),
        _ => None,
    }
}

/// Answers one question; a node that knows nothing newer just closes.
pub(crate) async fn answer(shell: &Shell, wire: &mut Wire) {
    let Ok(Some(Ok(Frame::FetchState { next }))) = timeout(PATIENCE, peers::read(wire)).await
    else {
        return shell.count_broken();
    };
    let state = shell.engine.borrow().state_after(next);
    if let Some(state) = state {
        let _ = timeout(PATIENCE, peers::write(wire, &Frame::State(state))).await;
    }
}
