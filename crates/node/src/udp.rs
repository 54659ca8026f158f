//! Datagrams between nodes.

use crate::metrics::add_bytes;
use crate::shell::Shell;
use engine::Counter;
use engine::Input;
use engine::LinkEvent;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Receive buffer size: the largest possible datagram.
const MAX_DATAGRAM_LEN: usize = 65_536;

pub(crate) async fn receive(shell: Rc<Shell>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_LEN];
    loop {
        // An error here is caused by an earlier send to a closed port; the socket remains usable.
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        add_bytes(&shell.metrics.control_bytes.datagrams_in, len);
        match proto::decode(&buf[..len]) {
            Ok(datagram) => shell.handle_input(Input::Datagram { from, datagram }),
            Err(_) => shell.count(Counter::Link(LinkEvent::MalformedDatagram)),
        }
    }
}

pub(crate) fn send(shell: &Shell, to: SocketAddr, datagram: &proto::Datagram) {
    let bytes = proto::encode(datagram);
    add_bytes(&shell.metrics.control_bytes.datagrams_out, bytes.len());
    // Datagrams may be lost: a full socket buffer drops them.
    let _ = shell.udp_socket.try_send_to(&bytes, to);
}
