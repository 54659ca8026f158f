//! A TCP and UDP relay in front of a node. It can silence the connections through it, like a
//! middlebox that has lost their state: they stay open but transfer nothing any more, while new
//! connections work. Datagrams are always forwarded.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;

#[derive(Clone)]
pub struct Relay {
    pub addr: SocketAddr,
    pub target: Rc<Cell<Option<SocketAddr>>>,
    /// Connections with an index below this one are silenced.
    silenced_below: Rc<Cell<usize>>,
    accepted: Rc<Cell<usize>>,
    /// How many more bytes from the node are forwarded before the connection that carries the last
    /// of them is closed. Takes effect once.
    cut_after: Rc<Cell<Option<usize>>>,
}

impl Relay {
    pub async fn start() -> Self {
        let (tcp, udp) = loop {
            // A small receive buffer, so that writes to a silenced connection soon block.
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(64 << 10).unwrap();
            socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
            let tcp = socket.listen(64).unwrap();
            if let Ok(udp) = UdpSocket::bind(tcp.local_addr().unwrap()).await {
                break (tcp, udp);
            }
        };
        let relay = Self {
            addr: tcp.local_addr().unwrap(),
            target: Rc::default(),
            silenced_below: Rc::default(),
            accepted: Rc::default(),
            cut_after: Rc::default(),
        };
        actix_rt::spawn(relay.clone().accept(tcp));
        actix_rt::spawn(forward_datagrams(Rc::new(udp), relay.target.clone()));
        relay
    }

    /// Silences all connections that are open now: nothing is read from or written to them any
    /// more.
    pub fn silence(&self) {
        self.silenced_below.set(self.accepted.get());
    }

    /// Closes the connection on which this many more bytes from the node have been forwarded in
    /// total.
    pub fn cut_after(&self, bytes: usize) {
        self.cut_after.set(Some(bytes));
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let (client, _) = listener.accept().await.unwrap();
            let Some(target) = self.target.get() else {
                continue;
            };
            let Ok(server) = TcpStream::connect(target).await else {
                continue;
            };
            let index = self.accepted.get();
            self.accepted.set(index + 1);
            let (client_reader, client_writer) = client.into_split();
            let (server_reader, server_writer) = server.into_split();
            let relay = self.clone();
            actix_rt::spawn(async move {
                tokio::select! {
                    () = relay.forward(index, client_reader, server_writer, false) => {}
                    () = relay.forward(index, server_reader, client_writer, true) => {}
                }
            });
        }
    }

    /// Forwards bytes in one direction until the connection ends.
    async fn forward(
        &self,
        index: usize,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        from_node: bool,
    ) {
        let mut buf = vec![0; 16 << 10];
        loop {
            let Ok(len @ 1..) = from.read(&mut buf).await else {
                return;
            };
            if index < self.silenced_below.get() {
                return std::future::pending().await;
            }
            let remaining = self.cut_after.get().filter(|_| from_node);
            let len = remaining.map_or(len, |remaining| remaining.min(len));
            if to.write_all(&buf[..len]).await.is_err() {
                return;
            }
            if let Some(remaining) = remaining {
                self.cut_after
                    .set(Some(remaining - len).filter(|remaining| *remaining > 0));
                if remaining == len {
                    return;
                }
            }
        }
    }
}

async fn forward_datagrams(client: Rc<UdpSocket>, target: Rc<Cell<Option<SocketAddr>>>) {
    let sockets: RefCell<HashMap<SocketAddr, Rc<UdpSocket>>> = RefCell::default();
    let mut buf = vec![0; 65_536];
    loop {
        let Ok((len, from)) = client.recv_from(&mut buf).await else {
            continue;
        };
        let Some(target) = target.get() else { continue };
        let known = sockets.borrow().get(&from).cloned();
        let node_socket = match known {
            Some(node_socket) => node_socket,
            None => {
                let node_socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
                sockets.borrow_mut().insert(from, node_socket.clone());
                actix_rt::spawn(forward_replies(node_socket.clone(), client.clone(), from));
                node_socket
            }
        };
        let _ = node_socket.send_to(&buf[..len], target).await;
    }
}

async fn forward_replies(node_socket: Rc<UdpSocket>, client: Rc<UdpSocket>, to: SocketAddr) {
    let mut buf = vec![0; 65_536];
    loop {
        if let Ok((len, _)) = node_socket.recv_from(&mut buf).await {
            let _ = client.send_to(&buf[..len], to).await;
        }
    }
}
