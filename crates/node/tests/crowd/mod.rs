//! Support for tests with many misbehaving clients: a server whose answers have the length that the
//! path names, clients that read nothing or little, and what a process holds.

use crate::common::publish;
use crate::common::wait_for_homes;
use crate::common::wait_for_status;
use crate::common::NodeProcess;
use crate::common::LOOPBACK;
use standin::Store;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;
use tokio::time::timeout;

const RULES: &str = "\
operation press GET /* class=lookup idempotent deadline=60s # asked by Elena
operation press POST /* class=booking deadline=60s # asked by Elena
limit press concurrency=2000..2000 queue=20s # asked by Elena
";

/// Memory of the smallest machine on which a node runs, in bytes.
pub const MACHINE_MEMORY: usize = 160_000_000;

/// Receive buffer of clients that read little, in bytes.
const CLIENT_BUFFER: u32 = 16 * 1024;

/// Far longer than an ordinary request takes.
const HANG: Duration = Duration::from_secs(30);

/// How long a client of a crowd tries to connect and to send.
const CONNECT: Duration = Duration::from_secs(3);

/// One crowd at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// Nodes in front of one server, and the right to run a crowd.
pub struct Setting {
    pub nodes: Vec<NodeProcess>,
    /// Requests that the server has answered.
    pub answered: Rc<Cell<usize>>,
    _store: Store,
    _turn: MutexGuard<'static, ()>,
}

impl Setting {
    /// Starts the node of the server `press`, with these lines for its `[node]` section and, if set,
    /// this many descriptors.
    pub async fn start(extra_lines: &str, descriptors: Option<usize>) -> Self {
        let turn = TURN.lock().await;
        let store = Store::start(LOOPBACK.into()).await.unwrap();
        let (addr, answered) = start_server().await;
        let node = NodeProcess::start_with_descriptors(
            "press",
            addr,
            store.addr,
            extra_lines,
            descriptors,
        );
        publish(&store, RULES).await;
        wait_for_status(node.http, "rules_version", "1").await;
        wait_for_homes(&[node.http]).await;
        Self {
            nodes: vec![node],
            answered,
            _store: store,
            _turn: turn,
        }
    }

    /// Adds a node that callers reach instead of the server's node; it becomes the first one.
    pub async fn with_ingress_node(
        mut self,
        extra_lines: &str,
        descriptors: Option<usize>,
    ) -> Self {
        let (addr, _) = start_server().await;
        let store = self._store.addr;
        let node =
            NodeProcess::start_with_descriptors("catalogue", addr, store, extra_lines, descriptors);
        wait_for_status(node.http, "rules_version", "1").await;
        wait_for_status(node.http, "instances", "2").await;
        self.nodes.insert(0, node);
        self
    }

    /// The address that callers use.
    pub fn http(&self) -> SocketAddr {
        self.nodes[0].http
    }

    /// Waits until the server has answered nothing for a while.
    pub async fn settle(&self) {
        let mut before = usize::MAX;
        while before != self.answered.get() {
            before = self.answered.get();
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }

    /// Sends an ordinary request on a connection of its own; returns the length of the answer's body.
    pub async fn ordinary_request(&self) -> Option<usize> {
        let exchange = async {
            let mut stream = TcpStream::connect(self.http()).await.ok()?;
            stream.write_all(&get(2000)).await.ok()?;
            read_answer(&mut stream).await
        };
        timeout(HANG, exchange).await.ok()?
    }

    /// Checks what must hold with and after every crowd: each process lives, has stayed within the
    /// memory of its machine, and answers an ordinary request.
    pub async fn check(&mut self) {
        self.settle().await;
        assert_eq!(self.ordinary_request().await, Some(2000));
        for node in &mut self.nodes {
            assert_eq!(node.process.try_wait().unwrap(), None, "the process ended");
            let peak = node.peak_memory();
            assert!(peak <= MACHINE_MEMORY, "{peak} bytes at the peak");
            let open = node.open_descriptors();
            eprintln!("peak {peak} bytes, {open} descriptors open");
        }
    }
}

/// A request whose answer has a body of this length. No two are equal, as a node answers repeated
/// ones together.
pub fn get(len: usize) -> Vec<u8> {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    format!("GET /press/{number}/{len} HTTP/1.1\r\nhost: x\r\n\r\n").into_bytes()
}

/// Connects clients that send what `bytes` returns and read nothing. Those that the node does not
/// accept in time are left out.
pub async fn connect_crowd(
    addr: SocketAddr,
    size: usize,
    bytes: impl Fn() -> Vec<u8>,
) -> Vec<TcpStream> {
    let clients = (0..size).map(|_| actix_rt::spawn(timeout(CONNECT, connect(addr, bytes()))));
    let mut crowd = Vec::new();
    for client in clients.collect::<Vec<_>>() {
        crowd.extend(client.await.unwrap().ok().flatten());
    }
    crowd
}

/// Connects a client whose receive buffer is small.
async fn connect(addr: SocketAddr, bytes: Vec<u8>) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(CLIENT_BUFFER).ok()?;
    let mut stream = socket.connect(addr).await.ok()?;
    // The node may have closed the connection.
    let _ = stream.write_all(&bytes).await;
    Some(stream)
}

/// Reads a complete answer with status 200; returns the length of its body.
pub async fn read_answer(stream: &mut TcpStream) -> Option<usize> {
    let head = read_head(stream).await?;
    if !head.starts_with("HTTP/1.1 200") {
        eprintln!("{head}");
        return None;
    }
    let length = header(&head, "content-length")?;
    stream.read_exact(&mut vec![0; length]).await.ok()
}

/// Reads little by little until the connection ends.
pub async fn read_slowly(mut stream: TcpStream, bytes_per_second: usize) {
    let mut buf = vec![0; bytes_per_second / 4];
    while stream.read(&mut buf).await.is_ok_and(|len| len > 0) {
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

fn header(head: &str, name: &str) -> Option<usize> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let (_, value) = lines.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
    value.parse().ok()
}

/// Starts a server that answers `/bytes/N` with N bytes, and counts the answers.
async fn start_server() -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind(SocketAddr::from(LOOPBACK)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let answered = Rc::new(Cell::new(0));
    let count = answered.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(stream, count.clone()));
        }
    });
    (addr, answered)
}

async fn serve(mut stream: TcpStream, answered: Rc<Cell<usize>>) -> Option<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let length = header(&head, "content-length").unwrap_or(0);
        stream.read_exact(&mut vec![0; length]).await.ok()?;
        let len = head.split(' ').nth(1)?.rsplit('/').next()?;
        let len = len.parse().unwrap_or(0);
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {len}\r\n\r\n");
        stream.write_all(answer.as_bytes()).await.ok()?;
        stream.write_all(&vec![b'i'; len]).await.ok()?;
        answered.set(answered.get() + 1);
    }
}
