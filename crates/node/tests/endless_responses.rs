//! Backend servers that send bytes without end instead of a response.

mod common;

use common::publish;
use common::status;
use common::wait_for_homes;
use common::wait_for_status;
use common::NodeProcess;
use common::LOOPBACK;
use standin::Store;
use std::net::SocketAddr;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const RULES: &str = "\
operation press POST /* class=booking deadline=60s # asked by Elena
operation press GET /* class=lookup idempotent deadline=60s # asked by Elena
";

/// What the server sends, by path: the start of its response, and what it repeats until the
/// connection is closed. It responds to any other path as usual.
const SHAPES: [(&str, &str, &str); 6] = [
    ("/interim", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    (
        "/extension",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3;",
        "a",
    ),
    ("/value", "HTTP/1.1 200 OK\r\na: ", "a"),
    ("/headers", "HTTP/1.1 200 OK\r\n", "a: b\r\n"),
    (
        "/body",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "4\r\ninks\r\n",
    ),
    ("/unframed", "HTTP/1.1 200 OK\r\n\r\n", "ink"),
];

async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::from(LOOPBACK)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            actix_rt::spawn(serve(stream));
        }
    });
    addr
}

async fn serve(mut stream: TcpStream) -> Option<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let path = head.split(' ').nth(1)?;
        let Some((_, start, piece)) = SHAPES.iter().find(|(name, ..)| *name == path) else {
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nink";
            stream.write_all(response).await.ok()?;
            continue;
        };
        stream.write_all(start.as_bytes()).await.ok()?;
        let block = piece.repeat(4000);
        loop {
            stream.write_all(block.as_bytes()).await.ok()?;
            tokio::task::yield_now().await;
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
async fn call(node: SocketAddr, method: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(node).await.unwrap();
    let request = format!("{method} /press{path} HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    read_head(&mut stream).await.unwrap()
}

/// Guards against a server that occupies its node until the deadline of a request with bytes that are
/// no response, and against callers that learn of the failure only then.
#[actix_rt::test]
async fn endless_bytes_of_a_server_end_the_call_before_its_deadline() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let server = start_server().await;
    let node = NodeProcess::start_with("press", "milano-1", server, store.addr, "");
    publish(&store, RULES).await;
    wait_for_status(node.http, "rules_version", "1").await;
    wait_for_homes(&[node.http]).await;
    for method in ["POST", "GET"] {
        for (path, ..) in SHAPES {
            let head = call(node.http, method, path).await;
            assert!(
                !head.contains("reason: deadline"),
                "{method} {path}: {head}"
            );
            assert!(head.starts_with("HTTP/1.1 50"), "{method} {path}: {head}");
        }
    }
    let head = call(node.http, "POST", "/other").await;
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    // All but the one with too many headers, which is malformed.
    let cut_off = status(node.http, "counter.response_too_long").await;
    assert_eq!(cut_off, "10");
}
