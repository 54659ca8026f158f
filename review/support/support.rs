//! Stand-ins for a small deployment, without dependencies: machines (a node process, its backend
//! server and the heartbeats of that server), the operator, and access to the processes' signals.
//!
//! The store is the project's own stand-in, started as a process.

#![allow(dead_code, reason = "not every case uses every item")]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Ports of each machine; machines differ by their loopback address.
const SERVER_PORT: u16 = 8301;
const OUTBOUND_PORT: u16 = 8304;
const READY_PORT: u16 = 8302;
const CONTROL_PORT: u16 = 8306;
const INBOUND_PORT: u16 = 8300;
const FIRST_PEER_PORT: u16 = 7620;

mod sys {
    extern "C" {
        pub fn kill(pid: i32, signal: i32) -> i32;
        pub fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        pub fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
        pub fn connect(fd: i32, addr: *const SockAddrIn, len: u32) -> i32;
        pub fn close(fd: i32) -> i32;
    }

    #[repr(C)]
    pub struct SockAddrIn {
        pub family: u16,
        pub port: u16,
        pub addr: [u8; 4],
        pub zero: [u8; 8],
    }
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Writes what was sent, answered and run, with the time since the start of the case.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).unwrap_or_else(|e| give_up(&format!("{}: {e}", path.display())));
        Arc::new(Self { file: Mutex::new(file), started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>4}.{:03} s  {text}", ms / 1000, ms % 1000);
    }
}

/// The ids of the processes that were started and have not been waited for.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// How long a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Ends the case because it could not run, and the processes that it started.
pub fn give_up(why: &str) -> ! {
    eprintln!("could not run: {why}");
    let children = CHILDREN.lock().unwrap();
    for id in children.iter() {
        unsafe { sys::kill(*id as i32, SIGKILL) };
    }
    std::process::exit(COULD_NOT_RUN);
}

/// Ends a case that takes too long.
pub fn limit_time() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        give_up("time limit");
    });
}

/// A process that is killed when dropped.
pub struct Process {
    child: Child,
    pub name: String,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        // The child was not waited for, so the id still belongs to it.
        unsafe { sys::kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        let mut children = CHILDREN.lock().unwrap();
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if has_ended {
            children.retain(|id| *id != self.child.id());
        }
        has_ended
    }

    pub fn kill(&mut self) {
        let mut children = CHILDREN.lock().unwrap();
        let _ = self.child.kill();
        let _ = self.child.wait();
        children.retain(|id| *id != self.child.id());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts a program and returns it with the first line that it writes.
fn start(name: &str, program: &Path, args: &[&str]) -> (Process, String) {
    let child = Command::new(program)
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::inherit())
        .spawn();
    let mut child = child.unwrap_or_else(|e| give_up(&format!("{}: {e}", program.display())));
    CHILDREN.lock().unwrap().push(child.id());
    let mut output = BufReader::new(child.stdout.take().unwrap());
    let process = Process { child, name: name.to_owned() };
    let mut line = String::new();
    if output.read_line(&mut line).is_err() || line.is_empty() {
        drop(process);
        give_up(&format!("{name} did not start"));
    }
    // The rest is discarded, so that the process never waits for a reader.
    thread::spawn(move || std::io::copy(&mut output, &mut std::io::sink()));
    (process, line)
}

/// The store of the platform.
pub struct Store {
    pub addr: SocketAddr,
    _process: Process,
}

impl Store {
    pub fn start(root: &Path) -> Self {
        let program = root.join("target/release/examples/store");
        let (process, line) = start("store", &program, &[]);
        let addr = line.trim().rsplit(' ').next().and_then(|addr| addr.parse().ok());
        let addr = addr.unwrap_or_else(|| give_up("the store names no address"));
        Self { addr, _process: process }
    }

    /// Publishes a configuration, as the operator does.
    pub fn publish(&self, config: &str) {
        let key = "config";
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(config.as_bytes());
        let mut body = (record.len() as u32).to_be_bytes().to_vec();
        body.extend_from_slice(&record);
        let path = "/bilberrycove/log-append?topic=keyed.op&part=0";
        let status = exchange(self.addr, "POST", path, &[], &body, Duration::from_secs(2));
        if status.map(|response| response.status) != Some(200) {
            give_up("the store does not accept the configuration");
        }
    }
}

/// The store as one machine reaches it: it serves the machine, or turns it away with status 503.
pub struct StoreGate {
    pub addr: SocketAddr,
    rejects: AtomicBool,
    /// Reads that wait for new records at this moment.
    waiting_reads: AtomicU64,
    record: Arc<Record>,
    name: String,
}

impl StoreGate {
    /// Listens on a free port of `ip` and passes calls on to the store at `store`.
    pub fn start(ip: &str, name: &str, store: SocketAddr, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0));
        let listener = listener.unwrap_or_else(|e| give_up(&format!("{ip}: {e}")));
        let gate = Arc::new(Self {
            addr: listener.local_addr().unwrap(),
            rejects: AtomicBool::new(false),
            waiting_reads: AtomicU64::new(0),
            record: record.clone(),
            name: name.to_owned(),
        });
        let accepting = gate.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let gate = accepting.clone();
                thread::spawn(move || gate.serve(stream, store));
            }
        });
        gate
    }

    /// Turns the machine away from now on, also its calls in progress, or serves it again.
    pub fn set_rejecting(&self, rejects: bool) {
        self.rejects.store(rejects, Ordering::SeqCst);
        let what = if rejects { "turns away" } else { "serves" };
        self.record.line(&format!("the store {what} {}", self.name));
    }

    /// Whether the machine waits for new records.
    pub fn has_waiting_read(&self) -> bool {
        self.waiting_reads.load(Ordering::SeqCst) > 0
    }

    fn serve(&self, stream: TcpStream, store: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let is_read = request.path.contains("/log-read") && request.path.contains("wait_ms=10000");
            self.waiting_reads.fetch_add(u64::from(is_read), Ordering::SeqCst);
            let response = self.forward(&request, store);
            self.waiting_reads.fetch_sub(u64::from(is_read), Ordering::SeqCst);
            if response.is_none_or(|response| writer.write_all(&response).is_err()) {
                return;
            }
        }
    }

    /// The response of the store, or a refusal as soon as the machine is turned away.
    fn forward(&self, request: &Request, store: SocketAddr) -> Option<Vec<u8>> {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        let refused = || {
            let path = &request.path;
            self.record.line(&format!("the store answers {} {path} of {} with 503", request.method, self.name));
            Some(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n".to_vec())
        };
        if self.rejects.load(Ordering::SeqCst) {
            return refused();
        }
        let mut upstream = TcpStream::connect(store).ok()?;
        let host = store.to_string();
        let bytes = encode_request(&request.method, &request.path, &host, &[], &request.body);
        upstream.write_all(&bytes).ok()?;
        upstream.set_read_timeout(Some(POLL_INTERVAL)).ok()?;
        let mut first = [0];
        loop {
            match upstream.peek(&mut first) {
                Ok(0) => return None,
                Ok(_) => break,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return None,
            }
            if self.rejects.load(Ordering::SeqCst) {
                return refused();
            }
        }
        upstream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let mut reader = BufReader::new(upstream);
        let (status, headers) = read_response_head(&mut reader)?;
        let len = headers.get("content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
        let mut body = vec![0; len];
        reader.read_exact(&mut body).ok()?;
        let mut response = format!("HTTP/1.1 {status} x\r\ncontent-length: {len}\r\n\r\n").into_bytes();
        response.extend_from_slice(&body);
        Some(response)
    }
}

/// A loopback network of its own for each run, so that runs do not share addresses.
pub fn machine_ip(n: u8) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{n}", 64 + (pid >> 8) % 128, pid % 250 + 1)
}

/// Values for the placeholders of `deploy/node.ini`.
pub struct Placement<'a> {
    pub ip: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub region: &'a str,
    /// The fields under `bounds` that the deployment sets.
    pub bounds: &'a [(&'a str, &'a str)],
}

/// Fills in `deploy/node.ini` as the platform does.
fn render_settings(template: &str, store: SocketAddr, placement: &Placement<'_>) -> String {
    let ip = placement.ip;
    let mut fields: HashMap<String, String> = HashMap::new();
    let mut set = |name: &str, value: String| {
        fields.insert(name.to_owned(), value);
    };
    set("service", placement.service.to_owned());
    set("zone", placement.zone.to_owned());
    set("region", placement.region.to_owned());
    set("ip", ip.to_owned());
    set("port_range.0", FIRST_PEER_PORT.to_string());
    set("listen.outbound", format!("{ip}:{OUTBOUND_PORT}"));
    set("listen.inbound", format!("{ip}:{INBOUND_PORT}"));
    set("listen.ready", format!("{ip}:{READY_PORT}"));
    set("listen.control", format!("{ip}:{CONTROL_PORT}"));
    set("app_addr", format!("{ip}:{SERVER_PORT}"));
    set("provider.address", store.to_string());
    for (name, value) in placement.bounds {
        set(&format!("bounds.{name}"), (*value).to_owned());
    }
    let mut text = String::new();
    let mut is_left_out = false;
    for line in template.lines() {
        if let Some(name) = line.strip_prefix("{{#") {
            is_left_out = !fields.contains_key(name.trim_end_matches("}}"));
        } else if line.starts_with("{{/") {
            is_left_out = false;
        } else if !is_left_out {
            let mut line = line.to_owned();
            for (name, value) in &fields {
                line = line.replace(&format!("{{{{{name}}}}}"), value);
            }
            let _ = writeln!(text, "{line}");
        }
    }
    text
}

/// The bounds of a small deployment.
pub const BOUNDS: [(&str, &str); 3] =
    [("retry_ratio", "0.2"), ("retry_window_s", "10"), ("retry_slack", "49")];

/// A machine: a node process, and its backend server with its heartbeats.
pub struct Machine {
    pub ip: String,
    pub node: Option<Process>,
    pub server: Arc<Server>,
    root: PathBuf,
    settings: PathBuf,
}

impl Machine {
    /// Starts the server and the node of a machine.
    pub fn start(
        root: &Path,
        folder: &Path,
        store: SocketAddr,
        placement: &Placement<'_>,
        server: Arc<Server>,
    ) -> Self {
        let template = std::fs::read_to_string(root.join("deploy/node.ini"));
        let template = template.unwrap_or_else(|e| give_up(&format!("deploy/node.ini: {e}")));
        let settings = folder.join(format!("{}.ini", placement.ip));
        let text = render_settings(&template, store, placement);
        if let Err(e) = std::fs::write(&settings, text) {
            give_up(&format!("{}: {e}", settings.display()));
        }
        let mut machine = Self {
            ip: placement.ip.to_owned(),
            node: None,
            server,
            root: root.to_owned(),
            settings,
        };
        machine.start_node();
        let (server, control) = (machine.server.clone(), machine.addr(CONTROL_PORT));
        thread::spawn(move || server.send_heartbeats(control));
        machine
    }

    /// Starts the node, with the command of the deploy file and this machine's settings file.
    pub fn start_node(&mut self) {
        let program = self.root.join("target/release/bilberry-node");
        let settings = self.settings.to_string_lossy().into_owned();
        let (process, _) = start(&format!("node {}", self.ip), &program, &[&settings]);
        self.node = Some(process);
    }

    fn addr(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().unwrap()
    }

    /// Where clients and the server of this machine send their requests.
    pub fn outbound(&self) -> SocketAddr {
        self.addr(OUTBOUND_PORT)
    }

    pub fn is_ready(&self) -> bool {
        let addr = self.addr(READY_PORT);
        let timeout = Duration::from_secs(1);
        exchange(addr, "GET", "/bilberrycove/readyz", &[], b"", timeout)
            .is_some_and(|response| response.status == 200)
    }

    pub fn wait_until_ready(&self) {
        let started = Instant::now();
        while !self.is_ready() {
            if started.elapsed() > START_TIMEOUT {
                give_up(&format!("the node of {} is not ready", self.ip));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// A request as a server received it.
#[derive(Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn id(&self) -> &str {
        self.headers.get("x-bilberrycove-request-id").map_or("", |id| id)
    }
}

/// How a server answers a request that it runs.
pub struct Reply {
    pub takes: Duration,
    pub body: Vec<u8>,
    /// Bytes that a faulty server sends this long after the complete response.
    pub additional: Option<(Duration, Vec<u8>)>,
}

impl Reply {
    pub fn new(takes: Duration, body: Vec<u8>) -> Self {
        Self { takes, body, additional: None }
    }
}

type Handler = dyn Fn(&Request) -> Reply + Send + Sync;

/// A backend server.
pub struct Server {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub slots: u32,
    pub zone: String,
    born_ms: u128,
    sequence: AtomicU64,
    running: AtomicU64,
    pub draining: AtomicBool,
    pub stopped: AtomicBool,
    record: Arc<Record>,
    handler: Box<Handler>,
    /// The ids of the requests that were run, in order.
    pub runs: Mutex<Vec<String>>,
}

impl Server {
    pub fn start(
        ip: &str,
        id: &str,
        service: &str,
        zone: &str,
        record: &Arc<Record>,
        handler: Box<Handler>,
    ) -> Arc<Self> {
        let addr: SocketAddr = format!("{ip}:{SERVER_PORT}").parse().unwrap();
        let listener = TcpListener::bind(addr);
        let listener = listener.unwrap_or_else(|e| give_up(&format!("{addr}: {e}")));
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr,
            slots: 54,
            zone: zone.to_owned(),
            born_ms,
            sequence: AtomicU64::new(0),
            running: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            record: record.clone(),
            handler,
            runs: Mutex::default(),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Serves one connection, one request at a time.
    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else { return };
        let writer = Arc::new(Mutex::new(writer));
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (response, additional) = self.answer(&request);
            if writer.lock().unwrap().write_all(&response).is_err() {
                return;
            }
            if let Some((delay, bytes)) = additional {
                let (server, writer, id) = (self.clone(), writer.clone(), request.id().to_owned());
                thread::spawn(move || {
                    thread::sleep(delay);
                    if writer.lock().unwrap().write_all(&bytes).is_ok() {
                        let text = format!("server {} sent additional bytes after the answer to {id}", server.id);
                        server.record.line(&text);
                    }
                });
            }
        }
    }

    fn answer(&self, request: &Request) -> (Vec<u8>, Option<(Duration, Vec<u8>)>) {
        let id = request.id();
        let load = format!("{},0,{}", self.running.load(Ordering::SeqCst), self.slots);
        let mut head = format!(
            "x-bilberrycove-instance-id: {}\r\nx-bilberrycove-server-load: {load}\r\n",
            self.id
        );
        if !id.is_empty() {
            let _ = write!(head, "x-bilberrycove-request-id: {id}\r\n");
        }
        if request.path == "/healthz" {
            let status = match self.draining.load(Ordering::SeqCst) {
                true => "503 Draining",
                false => "200 OK",
            };
            let response = format!("HTTP/1.1 {status}\r\n{head}content-length: 0\r\n\r\n");
            return (response.into_bytes(), None);
        }
        let expected = request.headers.get("x-bilberrycove-expect-instance");
        if expected.is_some_and(|expected| *expected != self.id) {
            let not_run = "x-bilberrycove-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
            let response = format!("HTTP/1.1 421 Misdirected\r\n{head}{not_run}");
            return (response.into_bytes(), None);
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        self.runs.lock().unwrap().push(id.to_owned());
        self.record.line(&format!("server {} runs {id}", self.id));
        let reply = (self.handler)(request);
        thread::sleep(reply.takes);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let len = reply.body.len();
        self.record.line(&format!("server {} answers {id} with 200 and {len} bytes", self.id));
        let signature = format!("x-bilberrycove-response-signature: {}.{len}\r\n", self.id);
        let mut response =
            format!("HTTP/1.1 200 OK\r\n{head}{signature}content-length: {len}\r\n\r\n").into_bytes();
        response.extend_from_slice(&reply.body);
        (response, reply.additional)
    }

    fn send_heartbeats(&self, control: SocketAddr) {
        while !self.stopped.load(Ordering::SeqCst) {
            let state = match self.draining.load(Ordering::SeqCst) {
                true => "draining",
                false => "ready",
            };
            let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let body = format!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","cold_left_s":0,"sequence":{sequence},"born":{}}}"#,
                self.service, self.addr, self.zone, self.slots, self.born_ms
            );
            let path = format!("/bilberrycove/instances/{}", self.id);
            let content_type = [("content-type", "application/json")];
            exchange(control, "PUT", &path, &content_type, body.as_bytes(), HEARTBEAT_TIMEOUT);
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|len| *len > 0)?;
    Some(line.trim_end().to_owned())
}

/// Reads header lines up to the empty one.
fn read_headers(reader: &mut impl BufRead) -> Option<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(reader)?;
    let len = headers.get("content-length").map_or(Some(0), |len| len.parse().ok())?;
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, path, headers, body })
}

/// A complete response.
pub struct Response {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads a response head; returns the status and the headers.
pub fn read_response_head(reader: &mut impl BufRead) -> Option<(u16, HashMap<String, String>)> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_headers(reader)?))
}

pub fn encode_request(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: {host}\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    if !body.is_empty() {
        let _ = write!(text, "content-length: {}\r\n", body.len());
    }
    text.push_str("\r\n");
    let mut request = text.into_bytes();
    request.extend_from_slice(body);
    request
}

/// One exchange over a connection of its own; `None` without a complete response in time.
pub fn exchange(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Response> {
    exchange_with_host(addr, &addr.to_string(), method, path, headers, body, timeout)
}

/// Like [`exchange`], with a `Host` header of its own.
pub fn exchange_with_host(
    addr: SocketAddr,
    host: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(&encode_request(method, path, host, headers, body)).ok()?;
    let mut reader = BufReader::new(stream);
    let (status, headers) = read_response_head(&mut reader)?;
    let len = headers.get("content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    Some(Response { status, headers, body })
}

/// Connects as a client on an Ethernet does: segments of `segment_size`, and a receive buffer of
/// `receive_buffer` bytes. On the loopback interface, segments are 64 KB by default and the system
/// buffers some megabytes for a client that does not read.
pub fn connect_slow_reader(addr: SocketAddr, segment_size: i32, receive_buffer: i32) -> TcpStream {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(addr) = addr else { give_up("not an IPv4 address") };
    let target = sys::SockAddrIn {
        family: AF_INET as u16,
        port: addr.port().to_be(),
        addr: addr.ip().octets(),
        zero: [0; 8],
    };
    unsafe {
        let fd = sys::socket(AF_INET, SOCK_STREAM, 0);
        let ok = fd >= 0
            && sys::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_size, 4) == 0
            && sys::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, 4) == 0
            && sys::connect(fd, &target, std::mem::size_of::<sys::SockAddrIn>() as u32) == 0;
        if !ok {
            sys::close(fd);
            give_up("cannot connect to the node");
        }
        TcpStream::from_raw_fd(fd)
    }
}

/// Why a slow reader stopped.
pub enum ReadEnd {
    Complete,
    Cut { received: usize, why: String },
}

/// Reads a body of `len` bytes in pieces of `piece` bytes, one each `pause`.
pub fn read_slowly(reader: &mut impl Read, len: usize, piece: usize, pause: Duration) -> ReadEnd {
    let mut received = 0;
    let mut buf = vec![0; piece];
    while received < len {
        let wanted = piece.min(len - received);
        match reader.read(&mut buf[..wanted]) {
            Ok(0) => return ReadEnd::Cut { received, why: "end of stream".to_owned() },
            Ok(n) => received += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) => return ReadEnd::Cut { received, why: e.to_string() },
        }
        thread::sleep(pause);
    }
    ReadEnd::Complete
}

/// Sends requests of this kind to a machine until one is answered with 200.
pub fn wait_until_served(machine: &Machine, method: &str, host: &str, path: &str) {
    let started = Instant::now();
    for n in 0.. {
        let id = format!("first-{}-{n}", machine.ip);
        let headers = [("x-bilberrycove-request-id", &*id), ("x-bilberrycove-deadline-ms", "5000")];
        let timeout = Duration::from_secs(5);
        let outbound = machine.outbound();
        let response = exchange_with_host(outbound, host, method, path, &headers, b"", timeout);
        if response.is_some_and(|response| response.status == 200) {
            return;
        }
        if started.elapsed() > START_TIMEOUT {
            give_up("no request is served");
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// A temporary folder that is removed when dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("bilberry-review-{}", std::process::id()));
        if let Err(e) = std::fs::create_dir_all(&path) {
            give_up(&format!("{}: {e}", path.display()));
        }
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
