//! Node processes with the protocol of the users' platform: a store, servers that announce
//! themselves, and clients that address services by host and path.

mod common;

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
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// How a server handles requests.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    Responds,
    NotExecuted,
    ClosesConnection,
    OtherIncarnation,
    Unhealthy,
}

/// A backend server that records the heads of the requests it receives.
struct Server {
    addr: SocketAddr,
    heads: Rc<RefCell<Vec<String>>>,
    behaviour: Rc<Cell<Behaviour>>,
    /// Header lines in which the server reports about itself in each response.
    report: Rc<Cell<&'static str>>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind(SocketAddr::from(LOOPBACK)).await.unwrap();
        let server = Self {
            addr: listener.local_addr().unwrap(),
            heads: Rc::default(),
            behaviour: Rc::new(Cell::new(Behaviour::Responds)),
            report: Rc::new(Cell::new("")),
        };
        let (heads, behaviour) = (server.heads.clone(), server.behaviour.clone());
        let report = server.report.clone();
        actix_rt::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (heads, behaviour) = (heads.clone(), behaviour.clone());
                actix_rt::spawn(serve(stream, heads, behaviour, report.clone()));
            }
        });
        server
    }
}

async fn serve(
    mut stream: TcpStream,
    heads: Rc<RefCell<Vec<String>>>,
    behaviour: Rc<Cell<Behaviour>>,
    report: Rc<Cell<&'static str>>,
) {
    while let Some(head) = read_head(&mut stream).await {
        let id = header(&head, "x-bilberrycove-request-id").unwrap_or_default();
        let report = report.get();
        if head.starts_with("GET /healthz ") {
            let status = match behaviour.get() {
                Behaviour::Unhealthy => "503 Unwell",
                _ => "200 OK",
            };
            let response = format!(
                "HTTP/1.1 {status}\r\nx-bilberrycove-instance-id: a\r\n{report}\
                 content-length: 0\r\n\r\n"
            );
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        heads.borrow_mut().push(head);
        let response = match behaviour.get() {
            Behaviour::Responds => format!(
                "HTTP/1.1 200 OK\r\nx-bilberrycove-request-id: {id}\r\n{report}\
                 content-length: 3\r\n\r\nink"
            ),
            Behaviour::NotExecuted => "HTTP/1.1 503 Full\r\nx-bilberrycove-not-executed: 1\r\n\
                                      content-length: 0\r\n\r\n"
                .to_owned(),
            Behaviour::OtherIncarnation => "HTTP/1.1 421 No\r\nx-bilberrycove-instance-id: b\r\n\
                                content-length: 0\r\n\r\n"
                .to_owned(),
            Behaviour::ClosesConnection | Behaviour::Unhealthy => return,
        };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Reads the head of a request. The requests in these tests have no body.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    let mut values = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.to_owned())
}

/// A backend server with its node.
struct Instance {
    server: Server,
    node: NodeProcess,
    ready_addr: SocketAddr,
    control_addr: SocketAddr,
}

impl Instance {
    async fn start(service: &str, store: &Store) -> Self {
        Self::start_with_server(service, Server::start().await, store).await
    }

    async fn start_with_server(service: &str, server: Server, store: &Store) -> Self {
        let text = format!(
            "[node]\nservice = {service}\nfailure_domain = milano-1\nregion = lombardia\n\
             http_addr = 127.0.0.1:0\npeer_addr = 127.0.0.1:0\n\
             [backend_server]\naddr = {}\n\
             [store]\naddr = {}\n[platform]\nready_addr = 127.0.0.1:0\ncontrol_addr = 127.0.0.1:0\n\
             [logging]\nlevel = warn\n",
            server.addr, store.addr
        );
        let node = NodeProcess::start_from(&text);
        Self {
            server,
            ready_addr: node.address("ready="),
            control_addr: node.address("control="),
            node,
        }
    }

    async fn send_heartbeat(&self, service: &str, id: &str, sequence: u64, state: &str) -> u16 {
        let address = self.server.addr;
        let body = format!(
            r#"{{"service":"{service}","address":"{address}","slots":10,"state":"{state}",
                "sequence":{sequence},"born":1}}"#
        );
        let path = format!("/bilberrycove/instances/{id}");
        send_request(self.control_addr, "PUT", &path, "control", &body)
            .await
            .0
    }

    async fn wait_for_ready(&self) {
        while send_request(self.ready_addr, "GET", "/bilberrycove/readyz", "x", "")
            .await
            .0
            != 200
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Sends a request; returns the status, the complete head and the body of the response.
async fn send_request(
    to: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    body: &str,
) -> (u16, String, String) {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nconnection: close\r\n\
         x-bilberrycove-request-id: {id}\r\nx-bilberrycove-deadline-ms: 5000\r\n\
         x-bilberrycove-caller-service: forged\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    (status, head.to_owned(), body.to_owned())
}

fn config(version: u64, prefix: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"shop.example",
            "path_prefix":"{prefix}","kind":"unsafe","timeout_s":2,"slo_s":1,"priority":0,
            "service":"press","attempts":2}}],
            "services":[{{"name":"press","health_path":"/healthz"}}],"limits":{{}}}}"#
    )
}

fn publish(store: &Store, version: u64, prefix: &str) {
    store.put("keyed.op", "config", &config(version, prefix));
}

/// Starts an instance of `order` as the entry and one of `press`. Returns when both are ready and
/// know each other.
async fn start() -> (Store, Instance, Instance) {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    publish(&store, 3, "/slots/");
    let entry = Instance::start("order", &store).await;
    let press = Instance::start("press", &store).await;
    entry.wait_for_ready().await;
    press.wait_for_ready().await;
    assert_eq!(press.send_heartbeat("press", "a", 1, "ready").await, 200);
    while book(&entry, "first").await.0 != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    press.server.heads.borrow_mut().clear();
    (store, entry, press)
}

async fn book(entry: &Instance, id: &str) -> (u16, String, String) {
    send_request(entry.node.http, "POST", "/slots/7?day=3", id, "").await
}

#[actix_rt::test]
async fn booking_is_forwarded_through_two_nodes() {
    let (_store, entry, press) = start().await;
    let (status, head, body) = book(&entry, "b1").await;
    assert_eq!((status, &*body), (200, "ink"));
    assert_eq!(
        header(&head, "x-bilberrycove-request-id").as_deref(),
        Some("b1")
    );
    let received = press.server.heads.borrow()[0].clone();
    assert!(
        received.starts_with("POST /slots/7?day=3 HTTP/1.1\r\n"),
        "{received}"
    );
    let received_header = |name: &str| header(&received, name).unwrap_or_default();
    assert_eq!(received_header("host"), "shop.example");
    assert_eq!(received_header("x-bilberrycove-request-id"), "b1");
    assert_eq!(received_header("x-bilberrycove-expect-instance"), "a");
    assert_eq!(received_header("x-bilberrycove-caller-service"), "order");
    let remaining_ms: u64 = received_header("x-bilberrycove-deadline-ms")
        .parse()
        .unwrap();
    assert!(remaining_ms <= 2000, "{remaining_ms}");
    let unknown_route = send_request(entry.node.http, "GET", "/days/7", "b2", "").await;
    assert_eq!(unknown_route.0, 404);
}

/// A server closes the connection, refuses a booking or turns out to be another incarnation. Only a
/// booking that certainly did not run may be reported as not run.
#[actix_rt::test]
async fn booking_that_may_have_run_is_not_reported_as_not_run() {
    let (_store, entry, press) = start().await;
    press.server.behaviour.set(Behaviour::ClosesConnection);
    assert_eq!(book(&entry, "b1").await.0, 502);
    assert_eq!(press.server.heads.borrow().len(), 1);
    press.server.behaviour.set(Behaviour::NotExecuted);
    let (status, head, _) = book(&entry, "b2").await;
    assert_eq!(status, 503);
    assert!(header(&head, "retry-after").is_some());
    press.server.behaviour.set(Behaviour::OtherIncarnation);
    assert_eq!(book(&entry, "b3").await.0, 503);
}

/// A server starts draining. After the acknowledgement no booking may reach it, although the entry
/// may not know about the change yet.
#[actix_rt::test]
async fn draining_server_gets_no_requests_after_acknowledgement() {
    let (_store, entry, press) = start().await;
    assert_eq!(press.send_heartbeat("press", "a", 2, "draining").await, 200);
    for n in 0..5 {
        assert_eq!(book(&entry, &format!("b{n}")).await.0, 503);
    }
    assert_eq!(press.server.heads.borrow().len(), 0);
}

/// The store is unavailable when a configuration is published, and recovers later. A node that
/// stopped reading would continue to serve a route that the operator has removed.
#[actix_rt::test]
async fn new_configuration_takes_effect_after_store_recovers() {
    let (store, entry, press) = start().await;
    store.faults.unavailable.set(true);
    publish(&store, 5, "/days/");
    tokio::time::sleep(Duration::from_millis(300)).await;
    store.faults.unavailable.set(false);
    for instance in [&entry, &press] {
        while send_request(instance.node.http, "GET", "/slots/7", "b", "")
            .await
            .0
            != 404
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// A node is stopped without its server. Its readiness probe fails at once, and bookings from
/// clients that have not noticed yet are still served.
#[actix_rt::test]
async fn stopping_node_fails_readiness_and_serves_late_clients() {
    let (_store, mut entry, _press) = start().await;
    entry.node.signal("-TERM");
    loop {
        let (status, ..) =
            send_request(entry.ready_addr, "GET", "/bilberrycove/readyz", "x", "").await;
        if status == 503 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(book(&entry, "late").await.0, 200);
    assert!(entry.node.wait_for_exit().await.success());
}

/// The node of a draining server is restarted, and an earlier heartbeat arrives late. The new
/// process checks the health of the server itself, finds that it is leaving, and sends it no
/// requests.
#[actix_rt::test]
async fn restarted_node_checks_health_of_server() {
    let (store, entry, press) = start().await;
    let server = Server {
        addr: press.server.addr,
        heads: press.server.heads.clone(),
        behaviour: press.server.behaviour.clone(),
        report: press.server.report.clone(),
    };
    server.behaviour.set(Behaviour::Unhealthy);
    drop(press.node);
    let press = Instance::start_with_server("press", server, &store).await;
    press.wait_for_ready().await;
    assert_eq!(press.send_heartbeat("press", "a", 1, "ready").await, 200);
    for n in 0..5 {
        assert_eq!(book(&entry, &format!("b{n}")).await.0, 503);
    }
    assert_eq!(press.server.heads.borrow().len(), 0);
    press.server.behaviour.set(Behaviour::Responds);
    assert_eq!(press.send_heartbeat("press", "a", 2, "ready").await, 200);
    while book(&entry, "after").await.0 != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends bookings, and checks that they are refused with a retry delay and do not reach the server.
async fn check_refused(entry: &Instance, press: &Instance) {
    let reached = press.server.heads.borrow().len();
    for n in 0..3 {
        let (status, head, _) = book(entry, &format!("refused{n}")).await;
        assert_eq!(status, 503);
        assert!(header(&head, "retry-after").is_some(), "{head}");
    }
    assert_eq!(press.server.heads.borrow().len(), reached);
}

/// A server that names a rate limit of zero takes no requests at all, and got them all the same. Its
/// response is delivered, and a health check finds that the limit was lifted.
#[actix_rt::test]
async fn limited_server_gets_no_requests_until_it_lifts_its_limit() {
    let (_store, entry, press) = start().await;
    press.server.report.set("server-limit: 0\r\n");
    let (status, head, body) = book(&entry, "b1").await;
    assert_eq!((status, &*body), (200, "ink"));
    assert_eq!(header(&head, "server-limit").as_deref(), Some("0"));
    check_refused(&entry, &press).await;
    press.server.report.set("");
    while book(&entry, "after").await.0 != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A server that says that it leaves got requests until it exited.
#[actix_rt::test]
async fn server_that_says_it_leaves_gets_no_further_requests() {
    let (_store, entry, press) = start().await;
    press.server.report.set("server-leaving: 1\r\n");
    let (status, head, body) = book(&entry, "b1").await;
    assert_eq!((status, &*body), (200, "ink"));
    assert_eq!(header(&head, "server-leaving").as_deref(), Some("1"));
    check_refused(&entry, &press).await;
}

/// Garbled reports of a server must neither stop its requests nor cost a response.
#[actix_rt::test]
async fn response_with_malformed_report_is_delivered() {
    let (_store, entry, press) = start().await;
    let reports = [
        "server-limit: -1\r\n",
        "server-limit: NaN\r\nserver-leaving: maybe\r\n",
        "server-limit: 0\r\nserver-limit: 0\r\n",
        "server-limit: 99999999999999999999\r\n",
        "x-bilberrycove-server-load: 1,0,16,0\r\n",
        "x-bilberrycove-server-load: 1,0,16,10001\r\n",
        "x-bilberrycove-server-load: one\r\n",
        "x-bilberrycove-server-load: 1,0,16,250\r\n",
    ];
    for (n, report) in reports.into_iter().enumerate() {
        press.server.report.set(report);
        for attempt in 0..2 {
            let (status, _, body) = book(&entry, &format!("b{n}-{attempt}")).await;
            assert_eq!((status, &*body), (200, "ink"), "{report}");
        }
    }
}
