//! Real processes for end-to-end tests: nodes and the operator's tool, beside stand-ins that run in
//! the test's own process.

#![allow(dead_code, reason = "each test file uses a part")]

use indexmap::IndexMap;
use standin::Backend;
use standin::BackendConfig;
use standin::ChildCall;
use standin::Store;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child as Process;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::time::Duration;

pub const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// A node's process; killed when dropped.
pub struct NodeProcess {
    pub http: SocketAddr,
    pub peer: SocketAddr,
    /// The first line of its output, which says where it listens.
    listening: String,
    pub process: Process,
    settings: PathBuf,
}

impl NodeProcess {
    pub fn start(service: &str, domain: &str, backend: SocketAddr, store: SocketAddr) -> Self {
        Self::start_with(service, domain, backend, store, "")
    }

    /// As [`NodeProcess::start`], with more lines for the section of the node.
    pub fn start_with(
        service: &str,
        domain: &str,
        backend: SocketAddr,
        store: SocketAddr,
        more: &str,
    ) -> Self {
        let text = format!(
            "[node]\nservice = {service}\nfailure_domain = {domain}\nregion = lombardia\n\
             http_addr = 127.0.0.1:0\npeer_addr = 127.0.0.1:0\n{more}\n\
             [backend_server]\naddr = {backend}\n[store]\naddr = {store}\n\
             [logging]\nlevel = warn\n"
        );
        Self::start_from(&text)
    }

    /// Starts with the text of a settings file.
    pub fn start_from(text: &str) -> Self {
        let settings = std::env::temp_dir().join(format!("node-{}.ini", uuid::Uuid::new_v4()));
        std::fs::write(&settings, text).unwrap();
        let mut process = Command::new(env!("CARGO_BIN_EXE_bilberry-node"))
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(process.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        Self {
            http: address(&line, "http="),
            peer: address(&line, "peer="),
            listening: line,
            process,
            settings,
        }
    }

    /// Where it listens by this name.
    pub fn address(&self, name: &str) -> SocketAddr {
        address(&self.listening, name)
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.process.id().to_string();
        assert!(Command::new("kill")
            .args([signal, &pid])
            .status()
            .unwrap()
            .success());
    }
}

fn address(line: &str, name: &str) -> SocketAddr {
    let mut values = line
        .split_whitespace()
        .filter_map(|word| word.strip_prefix(name));
    values.next().unwrap().parse().unwrap()
}

impl NodeProcess {
    /// Waits for the process to end, while the stand-ins of this thread go on.
    pub async fn ended(&mut self) -> std::process::ExitStatus {
        loop {
            if let Some(status) = self.process.try_wait().unwrap() {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// A backend server with its node beside it.
pub struct Server {
    pub backend: Backend,
    pub node: NodeProcess,
}

impl Server {
    pub async fn start(service: &str, domain: &str, store: &Store, children: &[&str]) -> Self {
        let children = children.iter().map(|path| ChildCall {
            method: awc::http::Method::POST,
            path: (*path).to_owned(),
        });
        let work = BackendConfig {
            service_time: Duration::ZERO,
            slots: 0,
            child_calls: children.collect(),
        };
        let backend = Backend::start(LOOPBACK.into(), work).await.unwrap();
        let node = NodeProcess::start(service, domain, backend.addr, store.addr);
        backend.node.set(Some(node.http));
        Self { backend, node }
    }

    pub fn runs(&self) -> u32 {
        self.backend.runs.borrow().values().sum()
    }
}

/// Runs `bilberryctl`; it stands beside the node's binary.
pub async fn ctl(args: &[&str]) -> Output {
    let path = PathBuf::from(env!("CARGO_BIN_EXE_bilberry-node")).with_file_name("bilberryctl");
    tokio::process::Command::new(path)
        .args(args)
        .output()
        .await
        .unwrap()
}

/// Publishes rules with the operator's tool.
pub async fn publish(store: &Store, rules: &str) {
    let file = std::env::temp_dir().join(format!("rules-{}", uuid::Uuid::new_v4()));
    std::fs::write(&file, rules).unwrap();
    let file = file.to_str().unwrap();
    let output = ctl(&["publish", file, "--store", &store.addr.to_string()]).await;
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    std::fs::remove_file(file).unwrap();
}

/// A caller's answer: status, outcome header, body.
pub type Answer = (u16, String, String);

pub async fn call(node: SocketAddr, method: &str, path: &str, key: &str, body: &str) -> Answer {
    let client = awc::Client::builder()
        .disable_redirects()
        .disable_timeout()
        .finish();
    let mut req = client.request(method.parse().unwrap(), format!("http://{node}{path}"));
    if !key.is_empty() {
        req = req.insert_header(("idempotency-key", key));
    }
    let mut response = req.send_body(body.to_owned()).await.unwrap();
    let outcome = response.headers().get("bilberry-outcome");
    let outcome = outcome.map_or(String::new(), |o| o.to_str().unwrap().to_owned());
    let body = response.body().await.unwrap();
    (
        response.status().as_u16(),
        outcome,
        String::from_utf8(body.to_vec()).unwrap(),
    )
}

/// The value of a line of the node's status page.
pub async fn status(node: SocketAddr, key: &str) -> String {
    let (_, _, page) = call(node, "GET", "/-/status", "", "").await;
    let line = page.lines().find_map(|line| line.strip_prefix(key));
    line.unwrap_or("").trim().to_owned()
}

/// Asks until the node says so; the test runner's own limit is the only one.
pub async fn until_status(node: SocketAddr, key: &str, value: &str) {
    while status(node, key).await != value {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Asks until every key of every service has a home that may start work. Before that, orders are
/// refused as not run, and rightly so: homes wait for slots and leases after each change of view.
pub async fn until_homes_are_ready(nodes: &[SocketAddr]) {
    while !homes_are_ready(nodes).await {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn homes_are_ready(nodes: &[SocketAddr]) -> bool {
    let mut slots: IndexMap<String, u32> = IndexMap::new();
    for node in nodes {
        let number = async |key| status(*node, key).await.parse::<u32>().unwrap_or(0);
        if number("gauge.home.lease_left").await < 1_000 {
            return false;
        }
        let service = status(*node, "service").await;
        *slots.entry(service).or_insert(0) += number("gauge.home.ready_slots").await;
    }
    slots
        .values()
        .all(|slots| *slots == u32::from(proto::SLOT_COUNT))
}
