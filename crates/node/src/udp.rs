//! Datagrams.

use crate::metrics::add;
use crate::shell::Shell;
use engine::Counter;
use engine::Input;
use engine::LinkEvent;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// The largest datagram that is read.
const MAX_DATAGRAM: usize = 65_536;

pub(crate) async fn receive(shell: Rc<Shell>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        // An error here is about an earlier send to a port that is closed; the socket lives on.
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        add(&shell.metrics.bytes.datagrams_in, len);
        match proto::decode(&buf[..len]) {
            Ok(datagram) => shell.feed(Input::Datagram { from, datagram }),
            Err(_) => shell.count(Counter::Link(LinkEvent::MalformedDatagram)),
        }
    }
}

pub(crate) fn send(shell: &Shell, to: SocketAddr, datagram: &proto::Datagram) {
    let bytes = proto::encode(datagram);
    add(&shell.metrics.bytes.datagrams_out, bytes.len());
    // Loss is allowed: a full socket buffer drops the datagram.
    let _ = shell.socket.try_send_to(&bytes, to);
}
