//! Exchanges with servers that respond correctly, incompletely or not at all.

use bilberry_httpconn::Connection;
use bilberry_httpconn::ExchangeError;
use bilberry_httpconn::Parser;
use bilberry_httpconn::ReadLimits;
use bilberry_httpconn::ResponseStart;
use bilberry_httpconn::Reuse;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BODY: usize = 1000;

/// How the server ends the connection.
#[derive(Clone, Copy, PartialEq)]
enum ConnectionEnd {
    KeepOpen,
    Close,
    Reset,
}

/// Starts a server that sends these bytes for any request.
async fn start_server(bytes: &'static str, end: ConnectionEnd) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 1024];
        // Closing a socket with unread data resets the connection.
        if end != ConnectionEnd::Reset {
            assert!(stream.read(&mut buf).await.unwrap() > 0);
        }
        stream.write_all(bytes.as_bytes()).await.unwrap();
        stream.flush().await.unwrap();
        match end {
            ConnectionEnd::KeepOpen => tokio::time::sleep(TIMEOUT).await,
            ConnectionEnd::Close => {}
            ConnectionEnd::Reset => {
                stream.readable().await.unwrap();
            }
        }
    });
    addr
}

/// Makes one exchange; returns the body and whether the connection may be reused.
async fn run_exchange(
    bytes: &'static str,
    end: ConnectionEnd,
) -> Result<(String, bool), ExchangeError> {
    let addr = start_server(bytes, end).await;
    let connection = Connection::open(&Parser::default(), addr, TIMEOUT).await?;
    let limits = ReadLimits::new(MAX_BODY, MAX_BODY);
    let is_match = |start: ResponseStart<'_>| start.headers.contains_key("x-ours");
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    let (response, _) = connection.exchange(request, &limits, is_match).await?;
    let body = String::from_utf8(response.body.to_vec()).unwrap();
    Ok((body, response.reuse != Reuse::No))
}

fn body_and_reuse(text: &str, reusable: bool) -> Result<(String, bool), ExchangeError> {
    Ok((text.to_owned(), reusable))
}

#[actix_rt::test]
async fn complete_response_leaves_reusable_connection() {
    let sized = "HTTP/1.1 200 OK\r\nx-ours: 1\r\ncontent-length: 3\r\n\r\nink";
    assert_eq!(
        run_exchange(sized, ConnectionEnd::KeepOpen).await,
        body_and_reuse("ink", true)
    );
    let chunked =
        "HTTP/1.1 200 OK\r\nx-ours: 1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nin\r\n1\r\nk\r\n0\r\n\r\n";
    assert_eq!(
        run_exchange(chunked, ConnectionEnd::KeepOpen).await,
        body_and_reuse("ink", true)
    );
    let empty = "HTTP/1.1 503 No\r\nx-ours: 1\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(
        run_exchange(empty, ConnectionEnd::KeepOpen).await,
        body_and_reuse("", true)
    );
    let interim =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-ours: 1\r\ncontent-length: 1\r\n\r\nk";
    assert_eq!(
        run_exchange(interim, ConnectionEnd::KeepOpen).await,
        body_and_reuse("k", true)
    );
}

#[actix_rt::test]
async fn connection_close_header_prevents_reuse() {
    let closes =
        "HTTP/1.1 200 OK\r\nx-ours: 1\r\nconnection: close\r\ncontent-length: 3\r\n\r\nink";
    assert_eq!(
        run_exchange(closes, ConnectionEnd::KeepOpen).await,
        body_and_reuse("ink", false)
    );
}

/// The server closes the connection in the middle of a response. If the part that was received were
/// forwarded, the caller could not tell that it is truncated.
#[actix_rt::test]
async fn truncated_response_is_an_error() {
    for cut in [
        "",
        "HTTP/1.1 200 OK\r\nx-ou",
        "HTTP/1.1 200 OK\r\nx-ours: 1\r\ncontent-length: 3\r\n\r\nin",
        "HTTP/1.1 200 OK\r\nx-ours: 1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nin\r\n",
    ] {
        assert_eq!(
            run_exchange(cut, ConnectionEnd::Close).await,
            Err(ExchangeError::ConnectionClosed),
            "{cut}"
        );
    }
    let garbage = "ink ink ink\r\n\r\n";
    assert_eq!(
        run_exchange(garbage, ConnectionEnd::KeepOpen).await,
        Err(ExchangeError::Malformed)
    );
}

/// A response without a declared length ends when the connection closes. After a reset it counts as
/// truncated.
#[actix_rt::test]
async fn response_without_length_ends_with_connection() {
    let unframed = "HTTP/1.1 200 OK\r\nx-ours: 1\r\n\r\nink";
    assert_eq!(
        run_exchange(unframed, ConnectionEnd::Close).await,
        body_and_reuse("ink", false)
    );
    assert_eq!(
        run_exchange(unframed, ConnectionEnd::Reset).await,
        Err(ExchangeError::ConnectionClosed)
    );
}

/// The server sends extra bytes after its response. The next request on the connection would read
/// them as its response.
#[actix_rt::test]
async fn connection_with_leftover_bytes_is_not_reused() {
    let extra = "HTTP/1.1 200 OK\r\nx-ours: 1\r\ncontent-length: 3\r\n\r\ninkHTTP/1.1 200 OK\r\n";
    assert_eq!(
        run_exchange(extra, ConnectionEnd::KeepOpen).await,
        body_and_reuse("ink", false)
    );
}

/// A duplicate response to an earlier request arrives before the response to this one.
#[actix_rt::test]
async fn response_to_another_request_is_skipped() {
    let unmatched = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale\
                   HTTP/1.1 200 OK\r\nx-ours: 1\r\ncontent-length: 3\r\n\r\nink";
    assert_eq!(
        run_exchange(unmatched, ConnectionEnd::KeepOpen).await,
        body_and_reuse("ink", false)
    );
}

#[actix_rt::test]
async fn oversized_response_is_an_error() {
    let large = "HTTP/1.1 200 OK\r\nx-ours: 1\r\ncontent-length: 0002000\r\n\r\n";
    let large = Box::leak(format!("{large}{}", "x".repeat(2000)).into_boxed_str());
    assert_eq!(
        run_exchange(large, ConnectionEnd::KeepOpen).await,
        Err(ExchangeError::TooLarge)
    );
}

#[actix_rt::test]
async fn refused_connection_is_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let opened = Connection::open(&Parser::default(), addr, TIMEOUT).await;
    assert_eq!(opened.err(), Some(ExchangeError::NotConnected));
}

/// Guards against additional bytes of a server that are taken for the response to the next request on
/// its connection.
#[actix_rt::test]
async fn only_the_first_response_of_a_connection_is_marked_as_first() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 1024];
        let stray = "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n";
        let ours = "HTTP/1.1 200 OK\r\nx-ours: 1\r\ncontent-length: 3\r\n\r\nink";
        for response in [stray.to_owned(), format!("{stray}{ours}")] {
            assert!(stream.read(&mut buf).await.unwrap() > 0);
            stream.write_all(response.as_bytes()).await.unwrap();
        }
        tokio::time::sleep(TIMEOUT).await;
    });
    let limits = ReadLimits::new(MAX_BODY, MAX_BODY);
    let mut connection = Connection::open(&Parser::default(), addr, TIMEOUT)
        .await
        .unwrap();
    let mut statuses = Vec::new();
    for _ in 0..2 {
        let is_match =
            |start: ResponseStart<'_>| start.is_first || start.headers.contains_key("x-ours");
        let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        let exchange = connection.exchange(request, &limits, is_match);
        let (response, returned) = exchange.await.unwrap();
        statuses.push(response.status.as_u16());
        connection = returned;
    }
    assert_eq!(statuses, [503, 200]);
}

/// Sends this response to the head of an upload, and resets the connection while the rest of the
/// upload is still being written.
async fn reset_upload(listener: &TcpListener, response: &str) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buf = [0; 1024];
    assert!(stream.read(&mut buf).await.unwrap() > 0);
    stream.write_all(response.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(2)).await;
    stream.set_zero_linger().unwrap();
}

/// Guards against a truncated response that passes for a whole one: a failed write takes the error
/// of the reset, and the response seems to end with the connection.
#[actix_rt::test]
async fn reset_during_an_upload_does_not_complete_a_response() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let addr = listener.local_addr().unwrap();
    let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 6000000\r\n\r\n";
    let upload = [head.as_bytes(), &vec![b'i'; 6_000_000]].concat();
    let limits = ReadLimits::new(MAX_BODY, MAX_BODY);
    for line in ["", "connection: close\r\n"] {
        let response = format!("HTTP/1.1 200 OK\r\n{line}\r\npart");
        for _ in 0..60 {
            let call = async {
                let connection = Connection::open(&Parser::default(), addr, TIMEOUT).await?;
                let (response, _) = connection.exchange(&upload, &limits, |_| true).await?;
                Ok(response.body)
            };
            let (result, ()) = tokio::join!(call, reset_upload(&listener, &response));
            assert_eq!(result, Err(ExchangeError::ConnectionClosed));
        }
    }
}
