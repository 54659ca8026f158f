//! A relay in front of a node, which can lose track of the connections through it: they go silent
//! for good, while new ones work. Datagrams always pass.

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
    /// Connections with a number below this one are silent.
    silent_below: Rc<Cell<usize>>,
    opened: Rc<Cell<usize>>,
    /// How many more bytes pass from the node before its connections are cut, once.
    cut_after: Rc<Cell<Option<usize>>>,
}

impl Relay {
    pub async fn start() -> Self {
        let (tcp, udp) = loop {
            // Little fits into a silent connection, so that writes to it block soon.
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
            silent_below: Rc::default(),
            opened: Rc::default(),
            cut_after: Rc::default(),
        };
        actix_rt::spawn(relay.clone().accept(tcp));
        actix_rt::spawn(pass_datagrams(Rc::new(udp), relay.target.clone()));
        relay
    }

    /// Every connection that is open now says nothing any more, and takes in nothing.
    pub fn silence(&self) {
        self.silent_below.set(self.opened.get());
    }

    pub fn cut_after(&self, bytes: usize) {
        self.cut_after.set(Some(bytes));
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let (near, _) = listener.accept().await.unwrap();
            let Some(target) = self.target.get() else {
                continue;
            };
            let Ok(far) = TcpStream::connect(target).await else {
                continue;
            };
            let number = self.opened.get();
            self.opened.set(number + 1);
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            let relay = self.clone();
            actix_rt::spawn(async move {
                tokio::select! {
                    () = relay.pass(number, near_in, far_out, false) => {}
                    () = relay.pass(number, far_in, near_out, true) => {}
                }
            });
        }
    }

    /// Passes bytes one way until the connection ends.
    async fn pass(
        &self,
        number: usize,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        from_node: bool,
    ) {
        let mut buf = vec![0; 16 << 10];
        loop {
            let Ok(len @ 1..) = from.read(&mut buf).await else {
                return;
            };
            if number < self.silent_below.get() {
                return std::future::pending().await;
            }
            let left = self.cut_after.get().filter(|_| from_node);
            let len = left.map_or(len, |left| left.min(len));
            if to.write_all(&buf[..len]).await.is_err() {
                return;
            }
            if let Some(left) = left {
                self.cut_after
                    .set(Some(left - len).filter(|left| *left > 0));
                if left == len {
                    return;
                }
            }
        }
    }
}

async fn pass_datagrams(near: Rc<UdpSocket>, target: Rc<Cell<Option<SocketAddr>>>) {
    let ways: RefCell<HashMap<SocketAddr, Rc<UdpSocket>>> = RefCell::default();
    let mut buf = vec![0; 65_536];
    loop {
        let Ok((len, from)) = near.recv_from(&mut buf).await else {
            continue;
        };
        let Some(target) = target.get() else { continue };
        let known = ways.borrow().get(&from).cloned();
        let way = match known {
            Some(way) => way,
            None => {
                let way = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
                ways.borrow_mut().insert(from, way.clone());
                actix_rt::spawn(pass_back(way.clone(), near.clone(), from));
                way
            }
        };
        let _ = way.send_to(&buf[..len], target).await;
    }
}

async fn pass_back(way: Rc<UdpSocket>, near: Rc<UdpSocket>, to: SocketAddr) {
    let mut buf = vec![0; 65_536];
    loop {
        if let Ok((len, _)) = way.recv_from(&mut buf).await {
            let _ = near.send_to(&buf[..len], to).await;
        }
    }
}
