//! Support for end-to-end tests: runs nodes and `bilberryctl` as separate processes, with stand-ins
//! for the store and backend servers in the test process.

#![allow(dead_code, reason = "not every test file uses every item")]

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

/// The loopback address, with a port that the OS chooses.
pub const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// A running node process; killed when dropped.
pub struct NodeProcess {
    pub http: SocketAddr,
    pub peer: SocketAddr,
    /// The first line of its output, which lists the addresses it listens on.
    startup_line: String,
    pub process: Process,
    settings_file: PathBuf,
}

impl NodeProcess {
    pub fn start(service: &str, domain: &str, backend: SocketAddr, store: SocketAddr) -> Self {
        Self::start_with(service, domain, backend, store, "")
    }

    /// Like [`NodeProcess::start`], with additional lines for the `[node]` section.
    pub fn start_with(
        service: &str,
        domain: &str,
        backend: SocketAddr,
        store: SocketAddr,
        extra_lines: &str,
    ) -> Self {
        Self::start_from(&settings_text(service, domain, backend, store, extra_lines))
    }

    /// Starts a node with this text as its settings file.
    pub fn start_from(text: &str) -> Self {
        Self::run(Command::new(env!("CARGO_BIN_EXE_bilberry-node")), text)
    }

    /// Like [`NodeProcess::start_with`], with a limit on open descriptors if one is set.
    pub fn start_with_descriptors(
        service: &str,
        backend: SocketAddr,
        store: SocketAddr,
        extra_lines: &str,
        descriptors: Option<usize>,
    ) -> Self {
        let text = settings_text(service, "milano-1", backend, store, extra_lines);
        let Some(descriptors) = descriptors else {
            return Self::start_from(&text);
        };
        let mut command = Command::new("sh");
        command
            .args(["-c", "ulimit -n \"$0\" && exec \"$1\" \"$2\""])
            .arg(descriptors.to_string())
            .arg(env!("CARGO_BIN_EXE_bilberry-node"));
        Self::run(command, &text)
    }

    /// Runs a command that starts a node with the settings file that is its last argument.
    fn run(mut command: Command, text: &str) -> Self {
        let settings_file = std::env::temp_dir().join(format!("node-{}.ini", uuid::Uuid::new_v4()));
        std::fs::write(&settings_file, text).unwrap();
        let mut process = command
            .arg(&settings_file)
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
            startup_line: line,
            process,
            settings_file,
        }
    }

    /// The address listed under this key in the first line of output.
    pub fn address(&self, name: &str) -> SocketAddr {
        address(&self.startup_line, name)
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

impl NodeProcess {
    /// The most memory that the process has had so far, in bytes.
    pub fn peak_memory(&self) -> usize {
        let path = format!("/proc/{}/status", self.process.id());
        let text = std::fs::read_to_string(path).unwrap();
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.unwrap().trim().trim_end_matches(" kB");
        kilobytes.parse::<usize>().unwrap() * 1024
    }

    /// The number of descriptors that the process has open.
    pub fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.process.id());
        std::fs::read_dir(path).unwrap().count()
    }
}

fn settings_text(
    service: &str,
    domain: &str,
    backend: SocketAddr,
    store: SocketAddr,
    extra_lines: &str,
) -> String {
    format!(
        "[node]\nservice = {service}\nfailure_domain = {domain}\nregion = lombardia\n\
         http_addr = 127.0.0.1:0\npeer_addr = 127.0.0.1:0\n{extra_lines}\n\
         [backend_server]\naddr = {backend}\n[store]\naddr = {store}\n\
         [logging]\nlevel = warn\n"
    )
}

fn address(line: &str, name: &str) -> SocketAddr {
    let mut values = line
        .split_whitespace()
        .filter_map(|word| word.strip_prefix(name));
    values.next().unwrap().parse().unwrap()
}

impl NodeProcess {
    /// Waits for the process to exit without blocking the stand-ins, which run on this thread.
    pub async fn wait_for_exit(&mut self) -> std::process::ExitStatus {
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
        let _ = std::fs::remove_file(&self.settings_file);
    }
}

/// An instance: a stand-in backend server and its node.
pub struct Instance {
    pub backend: Backend,
    pub node: NodeProcess,
}

impl Instance {
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

/// Runs `bilberryctl`, which is in the same directory as the binary of the node.
pub async fn run_ctl(args: &[&str]) -> Output {
    let path = PathBuf::from(env!("CARGO_BIN_EXE_bilberry-node")).with_file_name("bilberryctl");
    tokio::process::Command::new(path)
        .args(args)
        .output()
        .await
        .unwrap()
}

/// Publishes rules with `bilberryctl`.
pub async fn publish(store: &Store, rules: &str) {
    let file = std::env::temp_dir().join(format!("rules-{}", uuid::Uuid::new_v4()));
    std::fs::write(&file, rules).unwrap();
    let file = file.to_str().unwrap();
    let output = run_ctl(&["publish", file, "--store", &store.addr.to_string()]).await;
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    std::fs::remove_file(file).unwrap();
}

/// Status, outcome header and body of a response.
pub type CallResponse = (u16, String, String);

pub async fn call(
    node: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    body: &str,
) -> CallResponse {
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

/// Returns the value of a line of the node's status page.
pub async fn status(node: SocketAddr, key: &str) -> String {
    let (_, _, page) = call(node, "GET", "/-/status", "", "").await;
    let line = page.lines().find_map(|line| line.strip_prefix(key));
    line.unwrap_or("").trim().to_owned()
}

/// Polls the status page until the line has this value. The only time limit is that of the test
/// runner.
pub async fn wait_for_status(node: SocketAddr, key: &str, value: &str) {
    while status(node, key).await != value {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Polls until every slot of every service has a home node that may start runs. Before that, orders
/// are correctly refused as not run, because home nodes wait for slots and leases after each change
/// of view.
pub async fn wait_for_homes(nodes: &[SocketAddr]) {
    while !are_homes_ready(nodes).await {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn are_homes_ready(nodes: &[SocketAddr]) -> bool {
    let mut slots: IndexMap<String, u32> = IndexMap::new();
    for node in nodes {
        let read_number = async |key| status(*node, key).await.parse::<u32>().unwrap_or(0);
        if read_number("gauge.home.lease_left").await < 1_000 {
            return false;
        }
        let service = status(*node, "service").await;
        *slots.entry(service).or_insert(0) += read_number("gauge.home.ready_slots").await;
    }
    slots
        .values()
        .all(|slots| *slots == u32::from(proto::SLOT_COUNT))
}
