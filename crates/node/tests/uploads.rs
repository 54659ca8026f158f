//! Uploads: large request bodies that must reach a server completely and only once.

mod common;

use common::publish;
use common::wait_for_homes;
use common::wait_for_status;
use common::NodeProcess;
use common::LOOPBACK;
use standin::Store;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

const RULES: &str =
    "operation press POST /artwork class=print-job deadline=60s # asked by Eilidh\n";

/// Larger than any buffer on the path.
const SIZE: usize = 400_000;

/// How long a server pauses that reads slowly: longer than unacknowledged data of a short request may
/// take.
const PAUSE: Duration = Duration::from_millis(3500);

/// The server's receive buffer, in bytes, so that a server that does not read closes its window.
const RECEIVE_BUFFER: u32 = 32 * 1024;

/// How the server handles an upload.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    /// Reads it completely, then responds.
    ReadsFirst,
    /// Responds after the head, then reads the body.
    RespondsFirst,
    /// Reads half of the body, then closes the connection.
    ClosesConnection,
    /// Pauses before it reads the body, then responds.
    PausesFirst,
}

/// A server that records the bodies it has read completely and counts the uploads it has started.
#[derive(Clone)]
struct Server {
    addr: SocketAddr,
    behaviour: Rc<Cell<Behaviour>>,
    started: Rc<Cell<u32>>,
    bodies: Rc<RefCell<Vec<Vec<u8>>>>,
}

impl Server {
    async fn start() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
        socket.bind(SocketAddr::from(LOOPBACK)).unwrap();
        let listener = socket.listen(64).unwrap();
        let server = Self {
            addr: listener.local_addr().unwrap(),
            behaviour: Rc::new(Cell::new(Behaviour::ReadsFirst)),
            started: Rc::default(),
            bodies: Rc::default(),
        };
        let serving = server.clone();
        actix_rt::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let serving = serving.clone();
                actix_rt::spawn(async move { serving.serve(stream).await });
            }
        });
        server
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        loop {
            let head = read_head(&mut stream).await?;
            self.started.set(self.started.get() + 1);
            let length = header(&head, "content-length").unwrap_or(0);
            match self.behaviour.get() {
                Behaviour::ReadsFirst => {
                    self.read_body(&mut stream, length).await?;
                    respond(&mut stream).await?;
                }
                Behaviour::PausesFirst => {
                    tokio::time::sleep(PAUSE).await;
                    self.read_body(&mut stream, length).await?;
                    respond(&mut stream).await?;
                }
                Behaviour::RespondsFirst => {
                    respond(&mut stream).await?;
                    self.read_body(&mut stream, length).await?;
                }
                Behaviour::ClosesConnection => {
                    stream.read_exact(&mut vec![0; length / 2]).await.ok()?;
                    return None;
                }
            }
        }
    }

    async fn read_body(&self, stream: &mut TcpStream, length: usize) -> Option<()> {
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await.ok()?;
        self.bodies.borrow_mut().push(body);
        Some(())
    }
}

async fn respond(stream: &mut TcpStream) -> Option<()> {
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nkept";
    stream.write_all(response).await.ok()
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

fn header(head: &str, name: &str) -> Option<usize> {
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    let mut values = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    values.next()?.1.parse().ok()
}

async fn start() -> (NodeProcess, Server) {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let server = Server::start().await;
    let node = NodeProcess::start_with("press", "milano-1", server.addr, store.addr, "");
    publish(&store, RULES).await;
    wait_for_status(node.http, "rules_version", "1").await;
    wait_for_homes(&[node.http]).await;
    (node, server)
}

fn body() -> Vec<u8> {
    (0..SIZE).map(|n| (n % 251) as u8).collect()
}

/// Sends an upload, chunked or with `content-length`; returns the status.
async fn upload(node: SocketAddr, chunked: bool) -> u16 {
    let mut stream = TcpStream::connect(node).await.unwrap();
    let framing = if chunked {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {SIZE}")
    };
    let head = format!("POST /press/artwork HTTP/1.1\r\nhost: x\r\n{framing}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    for piece in body().chunks(30_000) {
        if chunked {
            let size = format!("{:x}\r\n", piece.len());
            stream.write_all(size.as_bytes()).await.unwrap();
        }
        stream.write_all(piece).await.unwrap();
        if chunked {
            stream.write_all(b"\r\n").await.unwrap();
        }
    }
    if chunked {
        stream.write_all(b"0\r\n\r\n").await.unwrap();
    }
    let head = read_head(&mut stream).await.unwrap();
    head.split(' ').nth(1).unwrap().parse().unwrap()
}

/// Artwork is uploaded with a content length and with chunked coding. It is useless if a single
/// byte is missing.
#[actix_rt::test]
async fn large_body_reaches_server_completely() {
    let (node, server) = start().await;
    for chunked in [false, true] {
        assert_eq!(upload(node.http, chunked).await, 200);
    }
    assert_eq!(*server.bodies.borrow(), [body(), body()]);
}

/// The server responds before it has read the complete body and then continues reading. The rest
/// still belongs to this upload, and the next upload on the connection must not be taken for it.
#[actix_rt::test]
async fn server_that_responds_early_gets_rest_of_body() {
    let (node, server) = start().await;
    server.behaviour.set(Behaviour::RespondsFirst);
    assert_eq!(upload(node.http, false).await, 200);
    server.behaviour.set(Behaviour::ReadsFirst);
    assert_eq!(upload(node.http, true).await, 200);
    while server.bodies.borrow().len() < 2 {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    assert_eq!(*server.bodies.borrow(), [body(), body()]);
}

/// The server closes the connection in the middle of an upload. It may have stored what it
/// received, so the upload must not be sent again, and the client must not be told that it never
/// arrived.
#[actix_rt::test]
async fn interrupted_upload_is_not_sent_again() {
    let (node, server) = start().await;
    server.behaviour.set(Behaviour::ClosesConnection);
    let status = upload(node.http, false).await;
    assert!(matches!(status, 502 | 504), "{status}");
    assert_eq!(server.started.get(), 1);
}

/// Guards against uploads that are broken off while their server reads them slowly. The server may
/// have stored a part of the upload, and the client does not learn what happened.
#[actix_rt::test]
async fn upload_that_the_server_reads_slowly_is_not_broken_off() {
    let (node, server) = start().await;
    server.behaviour.set(Behaviour::PausesFirst);
    assert_eq!(upload(node.http, false).await, 200);
    assert_eq!(*server.bodies.borrow(), [body()]);
}
