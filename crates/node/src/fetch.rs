//! One question and its answer, over a connection of its own: rules and views, for a node that the
//! store does not answer, and the status page, for the operator's tool.

use crate::peers;
use crate::shell::Shell;
use crate::wire;
use crate::wire::Wire;
use bytes::Bytes;
use engine::Input;
use proto::Frame;
use proto::SyncProgress;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a fetch may take.
const PATIENCE: Duration = Duration::from_secs(3);

/// Asks the node at `addr`. It may be any incarnation, because a contact address names none.
pub(crate) fn ask(shell: &Rc<Shell>, addr: SocketAddr, known: SyncProgress) {
    let shell = shell.clone();
    actix_rt::spawn(async move {
        match timeout(PATIENCE, exchange(&shell, addr, known)).await {
            Ok(Some(state)) => shell.feed(Input::StateFetched(state)),
            _ => log::debug!("event=no_state_from_peer addr={addr}"),
        }
    });
}

async fn exchange(shell: &Shell, addr: SocketAddr, known: SyncProgress) -> Option<Bytes> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let mut wire = wire::frame_wire(stream);
    wire::write(&mut wire, &peers::hello_frame(shell, None))
        .await
        .ok()?;
    wire::read(&mut wire).await.ok()?;
    wire::write(&mut wire, &Frame::FetchState(known))
        .await
        .ok()?;
    match wire::read(&mut wire).await {
        Ok(Frame::State(state)) => Some(state),
        _ => None,
    }
}

/// Answers one question; a node that knows nothing newer just closes.
pub(crate) async fn answer(shell: &Shell, wire: &mut Wire) {
    let answer = match timeout(PATIENCE, wire::read(wire)).await {
        Ok(Ok(Frame::FetchState(known))) => shell
            .engine
            .borrow()
            .state_newer_than(known)
            .map(Frame::State),
        Ok(Ok(Frame::FetchStatus)) => Some(Frame::Status(shell.status().into())),
        _ => return shell.count_broken(),
    };
    if let Some(answer) = answer {
        let _ = timeout(PATIENCE, wire::write(wire, &answer)).await;
    }
}
