//! Backend servers whose answers are none: their callers must not get them.

mod common;

use common::publish;
use common::status;
use common::wait_for_homes;
use common::wait_for_status;
use common::NodeProcess;
use common::LOOPBACK;
use standin::Store;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

const RULES: &str = "operation press POST /* class=booking deadline=60s # asked by Elena\n";

/// What the server sends, by path. It resets the connection after an upload's response, and keeps it
/// open after any other.
const ANSWERS: [(&str, &str); 6] = [
    ("/upload", "HTTP/1.1 200 OK\r\n\r\npart"),
    ("/status", "HTTP/1.1 000 OK\r\ncontent-length: 3\r\n\r\nink"),
    ("/blank", "HTTP/1.1 200 OK\r\na : b\r\ncontent-length: 3\r\n\r\nink"),
    ("/control", "HTTP/1.1 200 OK\r\na\x01: b\r\ncontent-length: 3\r\n\r\nink"),
    ("/length", "HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\nink"),
    (
        "/both",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n3\r\nink\r\n0\r\n\r\n",
    ),
];

/// Larger than the buffers of the connection to the server.
const UPLOAD: usize = 3_000_000;

async fn start_server() -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    socket.bind(SocketAddr::from(LOOPBACK)).unwrap();
    let listener: TcpListener = socket.listen(64).unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(stream));
        }
    });
    addr
}

async fn serve(mut stream: TcpStream) -> Option<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let path = head.split(' ').nth(1)?;
        let answer = ANSWERS.iter().find(|(name, _)| *name == path);
        let whole = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nink";
        let text = answer.map_or(whole, |(_, text)| text);
        stream.write_all(text.as_bytes()).await.ok()?;
        if path == "/upload" {
            tokio::time::sleep(Duration::from_millis(2)).await;
            return stream.set_zero_linger().ok();
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

/// Returns the head of the response.
async fn call(node: SocketAddr, path: &str, body: &[u8]) -> String {
    let mut stream = TcpStream::connect(node).await.unwrap();
    let len = body.len();
    let head = format!("POST /press{path} HTTP/1.1\r\nhost: x\r\ncontent-length: {len}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    read_head(&mut stream).await.unwrap()
}

/// Guards against callers that get a truncated answer as a whole one, or bytes of a failing server
/// as its answer.
#[actix_rt::test]
async fn bytes_that_are_no_answer_do_not_reach_the_caller() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let server = start_server().await;
    let limits = "max_body = 3145728";
    let node = NodeProcess::start_with("press", "milano-1", server, store.addr, limits);
    publish(&store, RULES).await;
    wait_for_status(node.http, "rules_version", "1").await;
    wait_for_homes(&[node.http]).await;
    for (path, _) in &ANSWERS[1..] {
        let head = call(node.http, path, b"").await;
        assert!(head.starts_with("HTTP/1.1 50"), "{path}: {head}");
    }
    assert_eq!(status(node.http, "counter.response_malformed").await, "5");
    let upload = vec![b'i'; UPLOAD];
    for _ in 0..40 {
        let head = call(node.http, "/upload", &upload).await;
        assert!(head.starts_with("HTTP/1.1 50"), "{head}");
    }
    let head = call(node.http, "/whole", b"").await;
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
}
