//! Servers that send more than a response, and responses that arrive in pieces.

use super::ResponseReader;
use super::MAX_OVERHEAD;
use crate::ExchangeError;
use crate::Parser;
use crate::ReadLimits;
use bytes::BytesMut;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::future::Future;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::io::DuplexStream;
use tokio::time::timeout;

const MAX_BODY: usize = 200_000;

/// Far longer than any of these exchanges takes.
const HANG: Duration = Duration::from_secs(3600);

/// Bytes in transit between server and client at most.
const WINDOW: usize = 4096;

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = || {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        builder.enable_all().start_paused(true).build().unwrap()
    };
    actix_rt::System::with_tokio_rt(runtime).block_on(test)
}

/// Reads one response; returns its body.
async fn read(mut stream: DuplexStream, limits: &ReadLimits) -> Result<Vec<u8>, ExchangeError> {
    let (parser, mut buf) = (Parser::default(), BytesMut::new());
    let mut reader = ResponseReader::new(&parser, &mut stream, &mut buf, limits);
    let head = reader.read_head().await?;
    Ok(reader.read_body(head).await?.body.to_vec())
}

/// Sends `start` and then `piece` until the client closes the connection; returns the number of
/// bytes sent.
async fn send_without_end(mut stream: DuplexStream, start: &str, piece: &[u8]) -> usize {
    let mut sent = start.len();
    let mut result = stream.write_all(start.as_bytes()).await;
    while result.is_ok() {
        result = stream.write_all(piece).await;
        sent += piece.len();
    }
    sent
}

/// Guards against a server that occupies its node by sending bytes that never become a response.
#[test]
fn endless_bytes_end_the_exchange() {
    let ok = "HTTP/1.1 200 OK\r\n";
    let chunked = format!("{ok}transfer-encoding: chunked\r\n\r\n");
    let chunk = format!("{chunked}3\r\nink\r\n");
    let extension = format!("{chunk}3;a=");
    let trailer = format!("{chunk}0\r\na: ");
    let value = format!("{ok}a: ");
    let unframed = format!("{ok}\r\n");
    let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
    let long_interim = format!("HTTP/1.1 103 Early Hints\r\na: {:x<20000}\r\n\r\n", "");
    let byte_chunk = format!("1;{:x<100}\r\ni\r\n", "");
    let shapes: [(&str, &[u8], ExchangeError); 11] = [
        ("", interim, ExchangeError::ExcessiveOverhead),
        (
            "",
            long_interim.as_bytes(),
            ExchangeError::ExcessiveOverhead,
        ),
        ("", b"x", ExchangeError::Malformed),
        (&value, b"x", ExchangeError::ExcessiveOverhead),
        (ok, b"a: b\r\n", ExchangeError::Malformed),
        (&extension, b"x", ExchangeError::ExcessiveOverhead),
        (
            &chunked,
            byte_chunk.as_bytes(),
            ExchangeError::ExcessiveOverhead,
        ),
        (&trailer, b"x", ExchangeError::ExcessiveOverhead),
        (&chunked, b"1\r\ni\r\n", ExchangeError::TooLarge),
        (&chunked, b"4\r\ninks\r\n", ExchangeError::TooLarge),
        (&unframed, b"ink", ExchangeError::TooLarge),
    ];
    for (start, piece, expected) in shapes {
        let (client, server) = tokio::io::duplex(WINDOW);
        let limits = ReadLimits::new(MAX_BODY, MAX_BODY);
        let exchange = async {
            let send = send_without_end(server, start, piece);
            tokio::join!(read(client, &limits), send)
        };
        let ended = run(async { timeout(HANG, exchange).await });
        let (result, sent) = ended.expect("the exchange does not end");
        let text = String::from_utf8_lossy(&piece[..piece.len().min(20)]);
        assert_eq!(result, Err(expected), "{start}{text}");
        // The last read, and what is in transit, may exceed the limit.
        let slack = 2 * WINDOW + 8 * 1024 + piece.len();
        let most = match expected {
            ExchangeError::TooLarge => 6 * MAX_BODY,
            _ => MAX_OVERHEAD,
        };
        assert!(sent <= most + slack, "{start}{text}: {sent} bytes");
    }
}

/// Guards against a declared length for which memory would be reserved although it exceeds the limit.
#[test]
fn declared_length_over_the_limit_is_refused_at_once() {
    let (client, mut server) = tokio::io::duplex(WINDOW);
    let limits = ReadLimits::new(MAX_BODY, MAX_BODY);
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
        MAX_BODY + 1
    );
    let result = run(async {
        server.write_all(head.as_bytes()).await.unwrap();
        timeout(HANG, read(client, &limits)).await
    });
    assert_eq!(result, Ok(Err(ExchangeError::TooLarge)));
}

/// Guards against responses without end that use up the memory of the node together, and against
/// other responses that fail because of them.
#[test]
fn largest_endless_response_is_given_up_and_others_are_read() {
    let limits = ReadLimits::new(10_000_000, 500_000);
    let endless = |number: usize| {
        let (client, server) = tokio::io::duplex(WINDOW);
        let limits = limits.clone();
        async move {
            tokio::time::sleep(Duration::from_millis(number as u64)).await;
            let start = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            let piece = b"10\r\n0123456789abcdef\r\n".repeat(100);
            tokio::join!(
                read(client, &limits),
                send_without_end(server, start, &piece)
            )
        }
    };
    let whole = |len: usize| {
        let (client, mut server) = tokio::io::duplex(WINDOW);
        let limits = limits.clone();
        async move {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {len}\r\n\r\n");
            let send = async {
                let _ = server.write_all(head.as_bytes()).await;
                let _ = server.write_all(&vec![b'i'; len]).await;
            };
            tokio::join!(read(client, &limits), send).0
        }
    };
    run(async {
        let endless = (0..64).map(|number| actix_rt::spawn(endless(number)));
        let endless: Vec<_> = endless.collect();
        let lens = [1000, 300_000, 60_000, 450_000, 200_000, 300_000];
        let whole = lens.map(|len| (len, actix_rt::spawn(whole(len))));
        let mut sent = 0;
        for task in endless {
            let (result, bytes) = timeout(HANG, task).await.unwrap().unwrap();
            assert_eq!(result, Err(ExchangeError::NoMemory));
            sent += bytes;
        }
        // Each chunk of 16 bytes is sent as 22 bytes.
        let most = (500_000 + 65_536) * 22 / 16 + 4 * WINDOW;
        assert!(sent <= 64 * most, "{sent} bytes");
        for (len, task) in whole {
            let result = timeout(HANG, task).await.unwrap().unwrap();
            assert_eq!(result.map(|body| body.len()), Ok(len));
        }
        // All shares were returned.
        let mut all = limits.budget.share();
        all.reserve(500_000 + 65_536).await;
    });
}

/// Guards against answers that are lost because more of them are read from the server than can be
/// sent on.
#[test]
fn long_response_waits_until_queued_ones_are_sent_on() {
    run(async {
        let limits = ReadLimits::new(MAX_BODY, 500_000);
        limits.budget.add_queued(450_000);
        let (client, mut server) = tokio::io::duplex(WINDOW);
        let send = actix_rt::spawn(async move {
            let head = "HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n";
            server.write_all(head.as_bytes()).await.unwrap();
            server.write_all(&[b'i'; 200_000]).await.unwrap();
        });
        let reading = read(client, &limits);
        tokio::pin!(reading);
        let waits = timeout(Duration::from_secs(60), &mut reading).await;
        assert!(waits.is_err(), "the response was read");
        assert_eq!(read_short(b"ink", &limits).await, Ok(b"ink".to_vec()));
        limits.budget.remove_queued(450_000);
        let body = timeout(HANG, reading).await.unwrap();
        assert_eq!(body.map(|body| body.len()), Ok(200_000));
        send.await.unwrap();
    });
}

/// Reads a short response.
async fn read_short(body: &[u8], limits: &ReadLimits) -> Result<Vec<u8>, ExchangeError> {
    let (client, mut server) = tokio::io::duplex(WINDOW);
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    server.write_all(head.as_bytes()).await.unwrap();
    server.write_all(body).await.unwrap();
    timeout(HANG, read(client, limits)).await.unwrap()
}

/// Reads one response of a server that sends these bytes and closes the connection.
fn read_bytes(bytes: &[u8]) -> Result<Vec<u8>, ExchangeError> {
    let limits = ReadLimits::new(MAX_BODY, MAX_BODY);
    run(async {
        let (client, mut server) = tokio::io::duplex(WINDOW);
        let send = async move {
            let _ = server.write_all(bytes).await;
        };
        tokio::join!(read(client, &limits), send).0
    })
}

/// Guards against bytes that are no response and reach the caller as one, or with a body that is
/// not the server's.
#[test]
fn malformed_heads_are_no_response() {
    let heads: [&[u8]; 21] = [
        b"HTTP/1.1 000 OK\r\ncontent-length: 3",
        b"HTTP/1.1 099 OK\r\ncontent-length: 3",
        b"HTTP/1.1 600 OK\r\ncontent-length: 3",
        b"HTTP/1.1 999 OK\r\ncontent-length: 3",
        b"HTTP/1.1 20 OK\r\ncontent-length: 3",
        b"HTTP/1.1 2000 OK\r\ncontent-length: 3",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\na : b",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\na\t: b",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\na b: c",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\na\x01b: c",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\na\x7f: c",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\na\0: c",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n: c",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\na",
        b"HTTP/1.1 200 OK\r\n content-length: 3",
        b"HTTP/1.1 200 OK\r\ncontent-length : 3",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding : chunked",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked",
        b"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 3",
    ];
    for head in heads {
        let text = String::from_utf8_lossy(head);
        for body in ["ink", "3\r\nink\r\n0\r\n\r\n"] {
            let bytes = [head, b"\r\n\r\n", body.as_bytes()].concat();
            assert_eq!(read_bytes(&bytes), Err(ExchangeError::Malformed), "{text}");
        }
        // An interim response has to be well-formed as well.
        let interim = [b"HTTP/1.1 103 Early Hints\r\na : b\r\n\r\n", head].concat();
        assert!(read_bytes(&interim).is_err(), "{text}");
    }
}

/// Guards against sound responses that are refused for their form.
#[test]
fn unusual_heads_are_accepted() {
    let heads = [
        "HTTP/1.1 200 OK\ncontent-length: 3\n\n",
        "HTTP/1.1 599 \r\ncontent-length: 3\r\n\r\n",
        "HTTP/1.1 200\r\ncontent-length:3\r\na:\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: \t3 \r\na!#$%&'*+-.^_`|~9: é\r\n\r\n",
    ];
    for head in heads {
        let bytes = format!("{head}ink");
        assert_eq!(read_bytes(bytes.as_bytes()), Ok(b"ink".to_vec()), "{head}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against limits that depend on how a response is split on its way.
    #[test]
    fn whole_response_is_the_same_for_every_split(
        interim in 0..4_usize,
        len in 0..5000_usize,
        chunk in 1..3000_usize,
        framing in 0..3,
        splits in prop::collection::vec(1..2000_usize, 1..8),
    ) {
        let body: Vec<u8> = (0..len).map(|n| (n % 251) as u8).collect();
        let mut bytes = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n".repeat(interim);
        match framing {
            0 => bytes.extend(format!("HTTP/1.1 200 OK\r\ncontent-length: {len}\r\n\r\n").bytes()),
            1 => bytes.extend(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"),
            _ => bytes.extend(b"HTTP/1.1 200 OK\r\n\r\n"),
        }
        if framing == 1 {
            for chunk in body.chunks(chunk) {
                bytes.extend(format!("{:x};a=b\r\n", chunk.len()).bytes());
                bytes.extend(chunk);
                bytes.extend(b"\r\n");
            }
            bytes.extend(b"0\r\n\r\n");
        } else {
            bytes.extend(&body);
        }
        let (client, mut server) = tokio::io::duplex(WINDOW);
        let limits = ReadLimits::new(MAX_BODY, MAX_BODY);
        let result = run(async {
            let send = async move {
                let mut rest = &bytes[..];
                for size in splits.iter().cycle() {
                    let (piece, after) = rest.split_at((*size).min(rest.len()));
                    let _ = server.write_all(piece).await;
                    tokio::time::sleep(Duration::from_millis(1)).await;
                    rest = after;
                    if rest.is_empty() {
                        break;
                    }
                }
            };
            let read = timeout(HANG, read(client, &limits));
            tokio::join!(read, send).0
        });
        prop_assert_eq!(result, Ok(Ok(body)));
    }
}
