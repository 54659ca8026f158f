//! What a server may send, and what comes of it.

use bilberry_httpconn::Connection;
use bilberry_httpconn::ExchangeError;
use bilberry_httpconn::Parser;
use bilberry_httpconn::Reuse;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const PATIENCE: Duration = Duration::from_secs(5);
const MAX_BODY: usize = 1000;

/// How the server ends the connection.
#[derive(Clone, Copy, PartialEq)]
enum End {
    Keep,
    Close,
    Reset,
}

/// A server that sends these bytes, whatever it is asked.
async fn server(bytes: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 1024];
        // Unread bytes turn a close into a reset.
        if end != End::Reset {
            assert!(stream.read(&mut buf).await.unwrap() > 0);
        }
        stream.write_all(bytes.as_bytes()).await.unwrap();
        stream.flush().await.unwrap();
        match end {
            End::Keep => tokio::time::sleep(PATIENCE).await,
            End::Close => {}
            End::Reset => {
                stream.readable().await.unwrap();
            }
        }
    });
    addr
}

/// What the exchange ends with: the body, and whether the connection may be used again.
async fn check(bytes: &'static str, end: End) -> Result<(String, bool), ExchangeError> {
    let addr = server(bytes, end).await;
    let connection = Connection::open(&Parser::default(), addr, PATIENCE).await?;
    let is_ours = |headers: &actix_http::header::HeaderMap| headers.contains_key("x-ours");
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    let (whole, _) = connection.exchange(request, MAX_BODY, is_ours).await?;
    let body = String::from_utf8(whole.body.to_vec()).unwrap();
    Ok((body, whole.reuse != Reuse::No))
}

fn body(text: &str, reused: bool) -> Result<(String, bool), ExchangeError> {
    Ok((text.to_owned(), reused))
}

#[actix_rt::test]
async fn a_whole_response_leaves_a_connection_that_may_be_used_again() {
    let sized = "HTTP/1.1 200 OK\r\nx-ours: 1\r\ncontent-length: 3\r\n\r\nink";
    assert_eq!(check(sized, End::Keep).await, body("ink", true));
    let chunked =
        "HTTP/1.1 200 OK\r\nx-ours: 1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nin\r\n1\r\nk\r\n0\r\n\r\n";
    assert_eq!(check(chunked, End::Keep).await, body("ink", true));
    let empty = "HTTP/1.1 503 No\r\nx-ours: 1\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(check(empty, End::Keep).await, body("", true));
    let interim =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-ours: 1\r\ncontent-length: 1\r\n\r\nk";
    assert_eq!(check(interim, End::Keep).await, body("k", true));
}

#[actix_rt::test]
async fn a_server_that_closes_says_so() {
    let closes =
        "HTTP/1.1 200 OK\r\nx-ours: 1\r\nconnection: close\r\ncontent-length: 3\r\n\r\nink";
    assert_eq!(check(closes, End::Keep).await, body("ink", false));
}

/// A server breaks off in the middle of an answer. Passed on as far as it came, it would look whole
/// to the caller.
#[actix_rt::test]
async fn a_response_that_is_cut_off_is_none() {
    for cut in [
        "",
        "HTTP/1.1 200 OK\r\nx-ou",
        "HTTP/1.1 200 OK\r\nx-ours: 1\r\ncontent-length: 3\r\n\r\nin",
        "HTTP/1.1 200 OK\r\nx-ours: 1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nin\r\n",
    ] {
        assert_eq!(
            check(cut, End::Close).await,
            Err(ExchangeError::ConnectionClosed),
            "{cut}"
        );
    }
    let garbage = "ink ink ink\r\n\r\n";
    assert_eq!(
        check(garbage, End::Keep).await,
        Err(ExchangeError::Malformed)
    );
}

/// An answer without a length ends with its connection. One that is reset is not whole.
#[actix_rt::test]
async fn a_response_without_a_length_ends_with_its_connection() {
    let unframed = "HTTP/1.1 200 OK\r\nx-ours: 1\r\n\r\nink";
    assert_eq!(check(unframed, End::Close).await, body("ink", false));
    assert_eq!(
        check(unframed, End::Reset).await,
        Err(ExchangeError::ConnectionClosed)
    );
}

/// A server sends more than its answer. The next caller on the connection would get what is left.
#[actix_rt::test]
async fn a_connection_with_bytes_left_over_is_not_used_again() {
    let extra = "HTTP/1.1 200 OK\r\nx-ours: 1\r\ncontent-length: 3\r\n\r\ninkHTTP/1.1 200 OK\r\n";
    assert_eq!(check(extra, End::Keep).await, body("ink", false));
}

/// A second answer to an earlier request arrives where the answer to this one is due.
#[actix_rt::test]
async fn an_answer_to_another_request_is_passed_over() {
    let foreign = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale\
                   HTTP/1.1 200 OK\r\nx-ours: 1\r\ncontent-length: 3\r\n\r\nink";
    assert_eq!(check(foreign, End::Keep).await, body("ink", false));
}

#[actix_rt::test]
async fn a_response_that_is_too_large_is_said_to_be() {
    let large = "HTTP/1.1 200 OK\r\nx-ours: 1\r\ncontent-length: 0002000\r\n\r\n";
    let large = Box::leak(format!("{large}{}", "x".repeat(2000)).into_boxed_str());
    assert_eq!(check(large, End::Keep).await, Err(ExchangeError::TooLarge));
}

#[actix_rt::test]
async fn nobody_there_is_no_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let opened = Connection::open(&Parser::default(), addr, PATIENCE).await;
    assert_eq!(opened.err(), Some(ExchangeError::NotConnected));
}
