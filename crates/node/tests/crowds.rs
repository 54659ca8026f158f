//! Crowds of clients that do not behave. Each process must live and stay within the memory of the
//! smallest machine and within its descriptors, and ordinary callers must get answers.

mod common;
mod crowd;

use crowd::connect_crowd;
use crowd::get;
use crowd::read_answer;
use crowd::read_slowly;
use crowd::Setting;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Length of a long answer, in bytes.
const LONG: usize = 900_000;

/// Settings of a deployment whose bodies are large.
const LARGE_BODIES: &str = "max_body = 3145728\nmax_bodies = 33554432";

/// Descriptors of a small machine, and how many of them are for sockets.
const DESCRIPTORS: usize = 1000;
const SOCKETS: usize = 800;

/// Guards against a process that runs out of memory because clients do not read long answers.
#[actix_rt::test]
async fn crowd_that_reads_no_answer() {
    let mut setting = Setting::start("", None).await;
    let crowd = connect_crowd(setting.http(), 250, || get(LONG)).await;
    setting.check().await;
    drop(crowd);
    setting.check().await;
}

/// Guards against a process that runs out of memory because clients read long answers slowly.
#[actix_rt::test]
async fn crowd_that_reads_slowly() {
    let mut setting = Setting::start("", None).await;
    for stream in connect_crowd(setting.http(), 250, || get(LONG)).await {
        actix_rt::spawn(read_slowly(stream, 5000));
    }
    setting.check().await;
}

/// Guards against a process that runs out of memory because of the largest answers.
#[actix_rt::test]
async fn crowd_that_reads_none_of_the_largest_answers() {
    let mut setting = Setting::start(LARGE_BODIES, None).await;
    let crowd = connect_crowd(setting.http(), 100, || get(3_000_000)).await;
    setting.check().await;
    drop(crowd);
    setting.check().await;
}

/// Guards against a process that runs out of memory because few clients ask for many long answers
/// at once.
#[actix_rt::test]
async fn crowd_that_pipelines_and_reads_nothing() {
    let mut setting = Setting::start("", None).await;
    let crowd = connect_crowd(setting.http(), 20, || {
        (0..16).flat_map(|_| get(LONG)).collect()
    })
    .await;
    setting.check().await;
    drop(crowd);
    setting.check().await;
}

/// Guards against either node running out of memory if the answers pass through two of them.
#[actix_rt::test]
async fn crowd_at_another_node_than_the_servers() {
    let setting = Setting::start(LARGE_BODIES, None).await;
    let mut setting = setting.with_ingress_node(LARGE_BODIES, None).await;
    let crowd = connect_crowd(setting.http(), 100, || get(3_000_000)).await;
    setting.check().await;
    drop(crowd);
    setting.check().await;
}

/// Guards against ordinary callers that lose their answers with a link whose queue is full of long
/// ones.
#[actix_rt::test]
async fn crowd_whose_answers_fill_a_link() {
    let setting = Setting::start(LARGE_BODIES, None).await;
    let mut setting = setting.with_ingress_node(LARGE_BODIES, None).await;
    let crowd = connect_crowd(setting.http(), 1000, || get(LONG)).await;
    setting.check().await;
    drop(crowd);
    setting.check().await;
}

/// Guards against a process that runs out of memory because heads of requests do not end.
#[actix_rt::test]
async fn crowd_whose_heads_do_not_end() {
    let mut setting = Setting::start("", None).await;
    let head = format!("GET / HTTP/1.1\r\nhost: x\r\na: {}", "x".repeat(100_000));
    let crowd = connect_crowd(setting.http(), 2000, || head.clone().into_bytes()).await;
    setting.check().await;
    drop(crowd);
}

/// Guards against callers that are refused because others use up the memory for bodies with
/// requests that they do not complete.
#[actix_rt::test]
async fn crowd_whose_bodies_do_not_end() {
    let mut setting = Setting::start("", None).await;
    let head = "POST /press/bytes/5 HTTP/1.1\r\nhost: x\r\ncontent-length: 1000000\r\n\r\n";
    let bytes = [head.as_bytes(), &vec![b'i'; LONG]].concat();
    let crowd = connect_crowd(setting.http(), 100, || bytes.clone()).await;
    let mut stream = TcpStream::connect(setting.http()).await.unwrap();
    let head = "POST /press/bytes/5 HTTP/1.1\r\nhost: x\r\ncontent-length: 10000\r\n\r\n";
    let bytes = [head.as_bytes(), &vec![b'i'; 10_000]].concat();
    stream.write_all(&bytes).await.unwrap();
    assert_eq!(read_answer(&mut stream).await, Some(5));
    setting.check().await;
    drop(crowd);
}

/// Guards against a node that answers nobody because idle connections use up its descriptors.
#[actix_rt::test]
async fn crowd_of_connections_without_a_byte() {
    let mut setting = Setting::start("", Some(DESCRIPTORS)).await;
    let crowd = connect_crowd(setting.http(), 1200, Vec::new).await;
    setting.check().await;
    assert!(setting.nodes[0].open_descriptors() <= SOCKETS);
    drop(crowd);
}

/// Guards against a node that answers nobody because connections that are kept open after an answer
/// use up its descriptors or those of the server's node.
#[actix_rt::test]
async fn crowd_that_keeps_connections_open() {
    let setting = Setting::start("", Some(DESCRIPTORS)).await;
    let mut setting = setting.with_ingress_node("", Some(DESCRIPTORS)).await;
    let crowd = connect_crowd(setting.http(), 1200, || get(1000)).await;
    setting.check().await;
    for node in &setting.nodes {
        assert!(node.open_descriptors() <= SOCKETS);
    }
    drop(crowd);
}
