//! Connections of callers that write, read and leave in different ways.

use super::serve_halves;
use super::BusyConnections;
use super::ConnectionError;
use crate::connections::Connections;
use actix_http::body::BoxBody;
use actix_http::Request as HttpRequest;
use actix_http::Response as HttpResponse;
use actix_http::ServiceConfig;
use actix_http::StatusCode;
use futures_util::StreamExt;
use policy::ConnectionLimits;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::future::Future;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::DuplexStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// Far longer than any of these connections takes.
const HANG: Duration = Duration::from_secs(3600);

const LIMITS: ConnectionLimits = ConnectionLimits {
    connections: 1,
    bytes: 10_000_000,
};

/// How a caller frames the body of a request.
#[derive(Debug, Clone)]
enum Framing {
    None,
    Length(usize),
    /// Size of the body and of its chunks.
    Chunks(usize, usize),
}

/// One connection: its requests, and the pace of the caller and of the handler.
#[derive(Debug, Clone)]
struct Connection {
    requests: Vec<Framing>,
    /// Bytes that are in transit at most.
    window: usize,
    /// Bytes per write and time between two writes.
    write: (usize, u64),
    /// Bytes per read and time between two reads.
    read: (usize, u64),
    /// Time that the handler takes for each piece of a body.
    handler_ms: u64,
    /// Size of a response's body.
    response: usize,
}

fn byte(position: usize) -> u8 {
    (position % 251) as u8
}

fn body(len: usize) -> Vec<u8> {
    (0..len).map(byte).collect()
}

fn encode(number: usize, framing: &Framing) -> Vec<u8> {
    let head = |method, line: &str| format!("{method} /{number} HTTP/1.1\r\nhost: x\r\n{line}\r\n");
    match framing {
        Framing::None => head("GET", "").into_bytes(),
        Framing::Length(len) => {
            let head = head("POST", &format!("content-length: {len}\r\n"));
            [head.into_bytes(), body(*len)].concat()
        }
        Framing::Chunks(len, size) => {
            let mut bytes = head("POST", "transfer-encoding: chunked\r\n").into_bytes();
            for chunk in body(*len).chunks((*size).max(1)) {
                bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
                bytes.extend(chunk);
                bytes.extend(b"\r\n");
            }
            bytes.extend(b"0\r\n\r\n");
            bytes
        }
    }
}

/// Answers with the path and the number of body bytes that arrived unchanged.
async fn handle(mut req: HttpRequest, pause: Duration, size: usize) -> HttpResponse<BoxBody> {
    let mut payload = req.take_payload();
    let mut len = 0;
    while let Some(chunk) = payload.next().await {
        for value in chunk.unwrap() {
            assert_eq!(value, byte(len));
            len += 1;
        }
        sleep(pause).await;
    }
    let text = format!("{} {len} ", req.path());
    let padding = ".".repeat(size.saturating_sub(text.len()));
    let body = text + &padding;
    HttpResponse::with_body(StatusCode::OK, body).map_into_boxed_body()
}

/// Writes all bytes in pieces.
async fn write_paced(
    writer: &mut (impl AsyncWriteExt + Unpin),
    bytes: &[u8],
    (size, pause_ms): (usize, u64),
) {
    for piece in bytes.chunks(size) {
        writer.write_all(piece).await.unwrap();
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Reads a response's body.
async fn read_response(
    reader: &mut (impl AsyncReadExt + Unpin),
    connection: &Connection,
) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(reader.read_u8().await.unwrap());
    }
    let head = String::from_utf8(head).unwrap();
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.unwrap().parse().unwrap()];
    let (size, pause_ms) = connection.read;
    for piece in body.chunks_mut(size) {
        reader.read_exact(piece).await.unwrap();
        sleep(Duration::from_millis(pause_ms)).await;
    }
    String::from_utf8(body).unwrap()
}

async fn serve(server: DuplexStream, connection: &Connection) {
    let pause = Duration::from_millis(connection.handler_ms);
    let _ = serve_with(server, |req| handle(req, pause, connection.response)).await;
}

/// Serves one connection until it ends.
async fn serve_with<F>(
    server: DuplexStream,
    handle: impl Fn(HttpRequest) -> F,
) -> Result<(), ConnectionError>
where
    F: Future<Output = HttpResponse<BoxBody>>,
{
    let cfg = ServiceConfig::default();
    let (mut reader, mut writer) = tokio::io::split(server);
    let busy = BusyConnections::default();
    let (account, _shed) = Connections::new(LIMITS).open().unwrap();
    let served = serve_halves(
        &mut reader,
        &mut writer,
        &cfg,
        handle,
        || false,
        &busy,
        &account,
    );
    let result = served.await;
    assert_eq!(busy.count(), 0);
    result
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = || {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        builder.enable_all().start_paused(true).build().unwrap()
    };
    actix_rt::System::with_tokio_rt(runtime).block_on(test)
}

/// Sends all requests and checks that each is answered.
async fn check_answers(connection: &Connection) {
    let (client, server) = tokio::io::duplex(connection.window);
    let (mut reader, mut writer) = tokio::io::split(client);
    let requests = connection.requests.iter().enumerate();
    let bytes: Vec<u8> = requests
        .flat_map(|(number, framing)| encode(number, framing))
        .collect();
    let call = async {
        let read = async {
            for (number, framing) in connection.requests.iter().enumerate() {
                let len = match framing {
                    Framing::None => 0,
                    Framing::Length(len) | Framing::Chunks(len, _) => *len,
                };
                let body = read_response(&mut reader, connection).await;
                let expected = format!("/{number} {len} ");
                assert!(body.starts_with(&expected), "{expected}: {body}");
            }
        };
        tokio::join!(write_paced(&mut writer, &bytes, connection.write), read);
    };
    let call = timeout(HANG, call);
    tokio::select! {
        biased;
        result = call => assert!(result.is_ok(), "requests are not answered"),
        () = serve(server, connection) => panic!("the connection was closed"),
    }
}

/// Sends the first `sent` bytes and leaves; checks that the connection ends.
async fn check_leaving(connection: &Connection, sent: usize) {
    let (mut client, server) = tokio::io::duplex(connection.window);
    let bytes = encode(0, &connection.requests[0]);
    let sent = sent % bytes.len();
    let call = async {
        write_paced(&mut client, &bytes[..sent], connection.write).await;
        drop(client);
    };
    let both = async { tokio::join!(call, serve(server, connection)) };
    let result = timeout(HANG, both).await;
    assert!(result.is_ok(), "the connection does not end");
}

/// Reads the whole body, or none of it, and answers with its length.
async fn count_body(mut req: HttpRequest, reads: bool) -> HttpResponse<BoxBody> {
    let mut payload = req.take_payload();
    let mut len = 0;
    while let (true, Some(Ok(chunk))) = (reads, payload.next().await) {
        len += chunk.len();
    }
    HttpResponse::with_body(StatusCode::OK, len.to_string()).map_into_boxed_body()
}

/// Sends `start` and then `piece` until the connection ends; returns the number of bytes sent and
/// the error.
async fn send_without_end(
    start: &str,
    piece: &[u8],
    handler_reads: bool,
) -> (usize, Result<(), ConnectionError>) {
    let (client, server) = tokio::io::duplex(4096);
    let (mut reader, mut writer) = tokio::io::split(client);
    let call = async move {
        let mut sent = start.len();
        let mut result = writer.write_all(start.as_bytes()).await;
        while result.is_ok() {
            result = writer.write_all(piece).await;
            sent += piece.len();
        }
        sent
    };
    let read = async move { reader.read_to_end(&mut Vec::new()).await };
    let serve = serve_with(server, |req| count_body(req, handler_reads));
    let all = async { tokio::join!(call, read, serve) };
    let (sent, _, result) = timeout(HANG, all).await.unwrap();
    (sent, result)
}

/// Guards against a caller that does not get the refusal of its body, because the connection is reset
/// while it still sends.
#[test]
fn refusal_of_a_large_body_reaches_the_caller() {
    let head = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 20000000\r\n\r\n";
    run(async {
        let (client, server) = tokio::io::duplex(4096);
        let (mut reader, mut writer) = tokio::io::split(client);
        let call = async move {
            writer.write_all(head.as_bytes()).await.unwrap();
            writer.write_all(&vec![b'x'; 20_000_000]).await.unwrap();
            let mut start = [0; 12];
            reader.read_exact(&mut start).await.unwrap();
            start
        };
        let serve = serve_with(server, |req| count_body(req, false));
        let start = timeout(HANG, async { tokio::join!(call, serve).0 }).await;
        assert_eq!(&start.unwrap(), b"HTTP/1.1 200");
    });
}

/// Guards against a caller that occupies its node with bytes that never become a request.
#[test]
fn endless_input_ends_the_connection() {
    const HEAD: &str = "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    let extension = format!("{HEAD}3;a=");
    let byte_chunk = format!("1;{:x<100}\r\ni\r\n", "");
    let trailer = format!("{HEAD}0\r\na: ");
    let long = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999\r\n\r\n";
    let closing = "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let shapes: [(&str, &[u8], bool, usize); 6] = [
        (&extension, &[b'x'; 500], true, 200_000),
        (&extension, &[b'x'; 500], false, 200_000),
        (HEAD, byte_chunk.as_bytes(), true, 200_000),
        (&trailer, &[b'x'; 500], true, 200_000),
        (long, &[b'x'; 4000], false, 80_000_000),
        (closing, &[b'x'; 4000], false, 160_000_000),
    ];
    for (start, piece, handler_reads, most) in shapes {
        let (sent, _) = run(send_without_end(start, piece, handler_reads));
        assert!(sent <= most, "{start:?}: {sent} bytes");
    }
}

fn framing() -> impl Strategy<Value = Framing> {
    let len = || prop_oneof![0..2_000_usize, 10_000..120_000_usize];
    let size = prop_oneof![1..300_usize, 300..5000_usize, 5000..40_000_usize];
    prop_oneof![
        2 => Just(Framing::None),
        1 => len().prop_map(Framing::Length),
        3 => (len(), size).prop_map(|(len, size)| Framing::Chunks(len, size.max(len / 400))),
    ]
}

fn pace() -> impl Strategy<Value = (usize, u64)> {
    let size = prop_oneof![1000..5000_usize, 16_000..200_000_usize];
    (size, prop_oneof![Just(0), 1..10_u64])
}

fn connection() -> impl Strategy<Value = Connection> {
    let requests = prop::collection::vec(framing(), 1..24);
    let window = prop_oneof![1..4000_usize, 16_000..300_000_usize];
    let handler_ms = prop_oneof![Just(0), 1..5_u64];
    let response = prop_oneof![
        3 => 20..200_usize,
        3 => 4000..30_000_usize,
        1 => 60_000..200_000_usize,
    ];
    (requests, window, pace(), pace(), handler_ms, response).prop_map(
        |(requests, window, write, read, handler_ms, response)| Connection {
            requests,
            window,
            write,
            read,
            handler_ms,
            response,
        },
    )
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a connection whose task waits for the handler while the handler waits for the
    /// connection, so that whole requests are not answered.
    #[test]
    fn every_whole_request_is_answered(connection in connection()) {
        run(check_answers(&connection));
    }

    /// Guards against a connection that stays open after its caller has left in the middle of a
    /// request, however the rest of it is buffered.
    #[test]
    fn connection_ends_when_its_caller_leaves(connection in connection(), sent: usize) {
        run(check_leaving(&connection, sent));
    }
}

/// Guards against uploads in small chunks that are not answered. The chunks arrive together, are
/// more than the channel to the handler holds, and fill the connection's buffer behind them.
#[test]
fn uploads_in_small_chunks_are_answered() {
    for (chunk, len) in [
        (100, 20_000),
        (1000, 60_000),
        (1000, 200_000),
        (4000, 300_000),
    ] {
        for write in [(usize::MAX, 0), (chunk, 0), (chunk, 1), (100_000, 5)] {
            let connection = Connection {
                requests: vec![Framing::Chunks(len, chunk)],
                window: 300_000,
                write,
                read: (1000, 0),
                handler_ms: 0,
                response: 20,
            };
            run(check_answers(&connection));
        }
    }
}
