//! Real nodes on the users' platform: a store, servers that announce themselves, clients that ask by
//! host and path.

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

/// What a server does with a request.
#[derive(Clone, Copy, PartialEq)]
enum Mood {
    Answers,
    SaysItDidNotRun,
    BreaksOff,
    IsAnother,
    IsUnwell,
}

/// A server that keeps the heads of the requests that it got.
struct Server {
    addr: SocketAddr,
    heads: Rc<RefCell<Vec<String>>>,
    mood: Rc<Cell<Mood>>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind(SocketAddr::from(LOOPBACK)).await.unwrap();
        let server = Self {
            addr: listener.local_addr().unwrap(),
            heads: Rc::default(),
            mood: Rc::new(Cell::new(Mood::Answers)),
        };
        let (heads, mood) = (server.heads.clone(), server.mood.clone());
        actix_rt::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                actix_rt::spawn(serve(stream, heads.clone(), mood.clone()));
            }
        });
        server
    }
}

async fn serve(mut stream: TcpStream, heads: Rc<RefCell<Vec<String>>>, mood: Rc<Cell<Mood>>) {
    while let Some(head) = read_head(&mut stream).await {
        let id = header(&head, "x-bilberrycove-request-id").unwrap_or_default();
        if head.starts_with("GET /healthz ") {
            let status = match mood.get() {
                Mood::IsUnwell => "503 Unwell",
                _ => "200 OK",
            };
            let answer = format!(
                "HTTP/1.1 {status}\r\nx-bilberrycove-instance-id: a\r\ncontent-length: 0\r\n\r\n"
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        heads.borrow_mut().push(head);
        let answer = match mood.get() {
            Mood::Answers => format!(
                "HTTP/1.1 200 OK\r\nx-bilberrycove-request-id: {id}\r\ncontent-length: 3\r\n\r\nink"
            ),
            Mood::SaysItDidNotRun => "HTTP/1.1 503 Full\r\nx-bilberrycove-not-executed: 1\r\n\
                                      content-length: 0\r\n\r\n"
                .to_owned(),
            Mood::IsAnother => "HTTP/1.1 421 No\r\nx-bilberrycove-instance-id: b\r\n\
                                content-length: 0\r\n\r\n"
                .to_owned(),
            Mood::BreaksOff | Mood::IsUnwell => return,
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Reads up to the end of a head; the requests here have no body.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    let mut values = lines.filter(|(told, _)| told.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.to_owned())
}

/// A node with its server.
struct Machine {
    server: Server,
    node: NodeProcess,
    ready: SocketAddr,
    control: SocketAddr,
}

impl Machine {
    async fn start(service: &str, store: &Store) -> Self {
        Self::start_beside(service, Server::start().await, store).await
    }

    async fn start_beside(service: &str, server: Server, store: &Store) -> Self {
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
            ready: node.address("ready="),
            control: node.address("control="),
            node,
        }
    }

    async fn beat(&self, service: &str, id: &str, sequence: u64, state: &str) -> u16 {
        let address = self.server.addr;
        let body = format!(
            r#"{{"service":"{service}","address":"{address}","slots":10,"state":"{state}",
                "sequence":{sequence},"born":1}}"#
        );
        let path = format!("/bilberrycove/instances/{id}");
        ask(self.control, "PUT", &path, "control", &body).await.0
    }

    async fn until_ready(&self) {
        while ask(self.ready, "GET", "/bilberrycove/readyz", "x", "")
            .await
            .0
            != 200
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Asks, and gives the status, the whole head and the body.
async fn ask(
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
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
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

/// An entry beside a server of `order` and a node beside one of `press`, ready and known to each
/// other.
async fn start() -> (Store, Machine, Machine) {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    publish(&store, 3, "/slots/");
    let entry = Machine::start("order", &store).await;
    let press = Machine::start("press", &store).await;
    entry.until_ready().await;
    press.until_ready().await;
    assert_eq!(press.beat("press", "a", 1, "ready").await, 200);
    while book(&entry, "first").await.0 != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    press.server.heads.borrow_mut().clear();
    (store, entry, press)
}

async fn book(entry: &Machine, id: &str) -> (u16, String, String) {
    ask(entry.node.http, "POST", "/slots/7?day=3", id, "").await
}

#[actix_rt::test]
async fn a_booking_takes_its_way_through_two_nodes() {
    let (_store, entry, press) = start().await;
    let (status, head, body) = book(&entry, "b1").await;
    assert_eq!((status, &*body), (200, "ink"));
    assert_eq!(
        header(&head, "x-bilberrycove-request-id").as_deref(),
        Some("b1")
    );
    let seen = press.server.heads.borrow()[0].clone();
    assert!(
        seen.starts_with("POST /slots/7?day=3 HTTP/1.1\r\n"),
        "{seen}"
    );
    let told = |name: &str| header(&seen, name).unwrap_or_default();
    assert_eq!(told("host"), "shop.example");
    assert_eq!(told("x-bilberrycove-request-id"), "b1");
    assert_eq!(told("x-bilberrycove-expect-instance"), "a");
    assert_eq!(told("x-bilberrycove-caller-service"), "order");
    let left: u64 = told("x-bilberrycove-deadline-ms").parse().unwrap();
    assert!(left <= 2000, "{left}");
    let unknown = ask(entry.node.http, "GET", "/days/7", "b2", "").await;
    assert_eq!(unknown.0, 404);
}

/// What the server says, or does not say, decides what the shop is promised. A booking that may
/// have run must not be promised undone.
#[actix_rt::test]
async fn what_may_have_run_is_not_promised_undone() {
    let (_store, entry, press) = start().await;
    press.server.mood.set(Mood::BreaksOff);
    assert_eq!(book(&entry, "b1").await.0, 502);
    assert_eq!(press.server.heads.borrow().len(), 1);
    press.server.mood.set(Mood::SaysItDidNotRun);
    let (status, head, _) = book(&entry, "b2").await;
    assert_eq!(status, 503);
    assert!(header(&head, "retry-after").is_some());
    press.server.mood.set(Mood::IsAnother);
    assert_eq!(book(&entry, "b3").await.0, 503);
}

/// A server drains. Once that is acknowledged no booking reaches it, though the entry may not have
/// heard of it yet.
#[actix_rt::test]
async fn a_draining_server_gets_nothing_after_its_acknowledgement() {
    let (_store, entry, press) = start().await;
    assert_eq!(press.beat("press", "a", 2, "draining").await, 200);
    for n in 0..5 {
        assert_eq!(book(&entry, &format!("b{n}")).await.0, 503);
    }
    assert_eq!(press.server.heads.borrow().len(), 0);
}

/// The store is away when a version comes, and back later. A node that gave up reading would keep
/// serving a route that the operator has taken out.
#[actix_rt::test]
async fn a_new_version_is_in_force_everywhere_once_the_store_is_back() {
    let (store, entry, press) = start().await;
    store.faults.unavailable.set(true);
    publish(&store, 5, "/days/");
    tokio::time::sleep(Duration::from_millis(300)).await;
    store.faults.unavailable.set(false);
    for machine in [&entry, &press] {
        while ask(machine.node.http, "GET", "/slots/7", "b", "").await.0 != 404 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// A node is stopped alone. It says at once that it takes no new clients, and a booking that comes
/// before they have noticed is served all the same.
#[actix_rt::test]
async fn a_stopping_node_serves_those_who_have_not_noticed() {
    let (_store, mut entry, _press) = start().await;
    entry.node.signal("-TERM");
    loop {
        let (status, ..) = ask(entry.ready, "GET", "/bilberrycove/readyz", "x", "").await;
        if status == 503 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(book(&entry, "late").await.0, 200);
    assert!(entry.node.ended().await.success());
}

/// The node beside a leaving server is started anew, and a heartbeat from before arrives late. The new
/// process asks the server itself, which says that it does not stay, and sends it nothing.
#[actix_rt::test]
async fn a_new_process_asks_the_server_whether_it_stays() {
    let (store, entry, press) = start().await;
    let server = Server {
        addr: press.server.addr,
        heads: press.server.heads.clone(),
        mood: press.server.mood.clone(),
    };
    server.mood.set(Mood::IsUnwell);
    drop(press.node);
    let press = Machine::start_beside("press", server, &store).await;
    press.until_ready().await;
    assert_eq!(press.beat("press", "a", 1, "ready").await, 200);
    for n in 0..5 {
        assert_eq!(book(&entry, &format!("b{n}")).await.0, 503);
    }
    assert_eq!(press.server.heads.borrow().len(), 0);
    press.server.mood.set(Mood::Answers);
    assert_eq!(press.beat("press", "a", 2, "ready").await, 200);
    while book(&entry, "after").await.0 != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
