//! Stand-ins and helpers that the cases share: machines with a node process, the platform's store,
//! servers that announce themselves, and a record of what was sent, answered and run.
//!
//! Only the standard library is used, so that the cases build without any package.

#![allow(dead_code, reason = "not every case uses every item")]

use std::collections::HashMap;
use std::fs::File;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Ports of a machine, as in the example of the settings on the pages.
const OUTBOUND_PORT: u16 = 8304;
const READY_PORT: u16 = 8302;
const CONTROL_PORT: u16 = 8306;
const APP_PORT: u16 = 8301;
const PEER_PORT: u16 = 7620;

/// `heartbeat_s` of the settings.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Whether the case runs with its disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Limits the receive buffer of connections that the listener accepts.
pub fn limit_receive_buffer(listener: &TcpListener, bytes: i32) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the file descriptor is open, and the value outlives the call.
    unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// The record of a case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn line(&self, text: &str) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>6} ms {text}");
    }

    /// A line of the result, which is also printed.
    pub fn result(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// A temporary folder, removed at the end.
pub struct WorkDir(pub PathBuf);

impl WorkDir {
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("node-case-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for WorkDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The loopback address of machine `number`, different for each process that runs a case.
pub fn machine_ip(number: u8) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{number}", 16 + pid % 200, 1 + pid / 200 % 250)
}

/// A machine: a node process and the addresses of its settings.
pub struct Machine {
    pub name: &'static str,
    pub ip: String,
    pub service: &'static str,
    process: Child,
}

impl Machine {
    /// Starts the node of a machine with the command of the deploy file and its settings template.
    pub fn start(
        dir: &Path,
        name: &'static str,
        number: u8,
        zone: &str,
        service: &'static str,
        store: SocketAddr,
    ) -> Result<Self, String> {
        let ip = machine_ip(number);
        let fields = HashMap::from([
            ("service", service.to_owned()),
            ("zone", zone.to_owned()),
            ("region", "region-1".to_owned()),
            ("ip", ip.clone()),
            ("listen.outbound", format!("{ip}:{OUTBOUND_PORT}")),
            ("listen.ready", format!("{ip}:{READY_PORT}")),
            ("listen.control", format!("{ip}:{CONTROL_PORT}")),
            ("port_range.0", PEER_PORT.to_string()),
            ("app_addr", format!("{ip}:{APP_PORT}")),
            ("provider.address", store.to_string()),
            ("bounds.retry_window_s", "10".to_owned()),
            ("bounds.retry_ratio", "0.2".to_owned()),
            ("bounds.retry_slack", "49".to_owned()),
        ]);
        let template = std::fs::read_to_string("deploy/node.ini").map_err(|e| e.to_string())?;
        let settings = dir.join(format!("{name}.ini"));
        std::fs::write(&settings, render(&template, &fields)).map_err(|e| e.to_string())?;
        let log = File::create(dir.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let process = Command::new(program()?)
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("cannot start the node: {e}"))?;
        Ok(Self {
            name,
            ip,
            service,
            process,
        })
    }

    pub fn outbound(&self) -> SocketAddr {
        self.addr(OUTBOUND_PORT)
    }

    pub fn control(&self) -> SocketAddr {
        self.addr(CONTROL_PORT)
    }

    pub fn app_addr(&self) -> SocketAddr {
        self.addr(APP_PORT)
    }

    fn addr(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().unwrap()
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: sends a signal to a process that this case has started and not yet waited for.
        unsafe { kill(self.process.id() as i32, signal) };
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.process.try_wait(), Ok(None))
    }

    /// Waits until the node answers its readiness probe with 200.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let addr = self.addr(READY_PORT);
        wait_for(Duration::from_secs(15), || {
            let request = "GET /bilberrycove/readyz HTTP/1.1\r\nHost: node\r\n\r\n";
            call(addr, request.as_bytes(), Duration::from_secs(1)).is_ok_and(|a| a.status == 200)
        })
        .then_some(())
        .ok_or_else(|| format!("{} is not ready", self.name))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The program that the deploy file runs on each machine.
fn program() -> Result<String, String> {
    let text = std::fs::read_to_string("deploy/system.toml").map_err(|e| e.to_string())?;
    let mut lines = text.lines();
    let run = lines.find_map(|line| line.strip_prefix("run = \""));
    let word = run.and_then(|run| run.split(' ').next());
    word.map(str::to_owned)
        .ok_or_else(|| "no program in the deploy file".to_owned())
}

/// Fills in the settings template: values, and sections that are kept if their value is present.
fn render(template: &str, fields: &HashMap<&str, String>) -> String {
    let mut text = String::new();
    let mut skipped: Option<String> = None;
    for line in template.lines() {
        let name = line.trim().trim_start_matches("{{").trim_end_matches("}}");
        if let Some(section) = name.strip_prefix('#').filter(|_| line.starts_with("{{#")) {
            if skipped.is_none() && !fields.contains_key(section) {
                skipped = Some(section.to_owned());
            }
        } else if let Some(section) = name.strip_prefix('/').filter(|_| line.starts_with("{{/")) {
            if skipped.as_deref() == Some(section) {
                skipped = None;
            }
        } else if skipped.is_none() {
            let mut line = line.to_owned();
            for (name, value) in fields {
                line = line.replace(&format!("{{{{{name}}}}}"), value);
            }
            text.push_str(&line);
            text.push('\n');
        }
    }
    text
}

/// Polls until the condition holds; returns whether it did in time.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// The head of a request or response.
#[derive(Debug, Clone)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| &**value)
    }

    pub fn content_length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    pub fn request_id(&self) -> &str {
        self.header("x-bilberrycove-request-id").unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the head of the next request or response; `None` at the end of the stream.
pub fn read_head(stream: &mut impl Read) -> Option<Head> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut lines = text.trim_end().lines();
    let start = lines.next()?.to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    Some(Head {
        start,
        headers: headers.collect(),
    })
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

impl Answer {
    /// Whether a server has signed it.
    pub fn is_signed(&self) -> bool {
        let signature = self.head.header("x-bilberrycove-response-signature");
        signature.is_some()
    }
}

pub fn read_answer(stream: &mut impl Read) -> Option<Answer> {
    let head = read_head(stream)?;
    let status = head.start.split(' ').nth(1)?.parse().ok()?;
    let mut body = vec![0; head.content_length()];
    stream.read_exact(&mut body).ok()?;
    Some(Answer { status, head, body })
}

/// Sends a request on a new connection and reads its answer.
pub fn call(addr: SocketAddr, request: &[u8], limit: Duration) -> Result<Answer, String> {
    let mut stream = TcpStream::connect(addr).map_err(|e| format!("no connection: {e}"))?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    stream.write_all(request).map_err(|e| format!("cut: {e}"))?;
    read_answer(&mut BufReader::new(&stream)).ok_or_else(|| "no complete answer".to_owned())
}

/// The host by which the routes of the cases are selected.
pub const HOST: &str = "shop.example";

/// The head of a client's request; `extra` are further header lines.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u32, extra: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Bilberrycove-Request-Id: {id}\r\n\
         X-Bilberrycove-Deadline-Ms: {deadline_ms}\r\n{extra}\r\n"
    )
}

/// The first version of the configuration.
pub const FIRST_VERSION: u32 = 7;

/// A configuration with one route to a service.
pub fn config(prefix: &str, kind: &str, timeout_s: f64, service: &str) -> String {
    config_version(FIRST_VERSION, prefix, kind, timeout_s, service, &[service])
}

/// A version of a configuration with one route, which leads to the service `target`.
pub fn config_version(
    version: u32,
    prefix: &str,
    kind: &str,
    timeout_s: f64,
    target: &str,
    services: &[&str],
) -> String {
    let services = services.iter().map(|service| {
        format!(
            "{{\"name\":\"{service}\",\"health_path\":\"/healthz\",\"max_conns\":424,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    let services = services.collect::<Vec<_>>().join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_s\":{timeout_s},\"slo_s\":2,\
         \"priority\":0,\"service\":\"{target}\",\"attempts\":2}}],\"services\":[{services}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout_s\":3,\"idle_timeout_s\":15}}}}"
    )
}

/// A keyed record: key and value.
type KeyedRecord = (Vec<u8>, Vec<u8>);

/// A stand-in for the platform's store, with the calls for keyed topics.
pub struct Store {
    pub addr: SocketAddr,
    topics: Arc<Topics>,
}

#[derive(Default)]
struct Topics {
    records: Mutex<HashMap<String, Vec<KeyedRecord>>>,
    appended: Condvar,
    /// Whether calls are lost.
    is_silent: AtomicBool,
    /// The number of silences so far.
    silences: AtomicU32,
}

impl Store {
    /// Starts a store that holds this configuration.
    pub fn start(ip: &str, config: &str) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|e| e.to_string())?;
        let addr = listener.local_addr().map_err(|e| e.to_string())?;
        let store = Self {
            addr,
            topics: Arc::default(),
        };
        store.publish(config);
        let topics = store.topics.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let topics = topics.clone();
                thread::spawn(move || topics.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a configuration as the operator, who always gets through. The return is the
    /// acknowledgement.
    pub fn publish(&self, config: &str) {
        let record = (b"config".to_vec(), config.as_bytes().to_vec());
        let mut records = self.topics.records.lock().unwrap();
        let all = records.entry("keyed.op".to_owned()).or_default();
        all.push(record);
        self.topics.appended.notify_all();
    }

    /// Makes the store silent: calls that are pending or arrive meanwhile are never answered, and
    /// nothing further on their connections is either.
    pub fn set_silent(&self, is_silent: bool) {
        if is_silent {
            self.topics.silences.fetch_add(1, Ordering::SeqCst);
        }
        self.topics.is_silent.store(is_silent, Ordering::SeqCst);
    }
}

impl Topics {
    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        let mut is_lost = false;
        loop {
            let head = read_head(&mut reader)?;
            let mut body = vec![0; head.content_length()];
            reader.read_exact(&mut body).ok()?;
            let silences = self.silences.load(Ordering::SeqCst);
            is_lost |= self.is_silent.load(Ordering::SeqCst);
            if is_lost {
                continue;
            }
            let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
            let (status, body) = match path {
                "/bilberrycove/log-newest" => (200, self.newest(query)),
                "/bilberrycove/log-read" => (200, self.read(query)),
                "/bilberrycove/log-append" => self.append(query, &body),
                _ => (404, Vec::new()),
            };
            is_lost = self.silences.load(Ordering::SeqCst) != silences;
            if is_lost {
                continue;
            }
            let length = body.len();
            let answer = format!("HTTP/1.1 {status} OK\r\nContent-Length: {length}\r\n\r\n");
            writer.write_all(answer.as_bytes()).ok()?;
            writer.write_all(&body).ok()?;
        }
    }

    fn newest(&self, query: &str) -> Vec<u8> {
        let topic = parameter(query, "topic").unwrap_or("");
        let records = self.records.lock().unwrap();
        let all = records.get(topic).map_or(&[][..], |all| &all[..]);
        let mut newest: HashMap<&[u8], (usize, &[u8])> = HashMap::new();
        for (offset, (key, value)) in all.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.iter().map(|(key, (offset, value))| {
            let key = String::from_utf8_lossy(key);
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = all.len();
        format!("{{\"items\":[{items}],\"more\":false,\"end\":{end}}}").into_bytes()
    }

    fn read(&self, query: &str) -> Vec<u8> {
        let number = |name| parameter(query, name).and_then(|value| value.parse::<u64>().ok());
        let topic = parameter(query, "topic").unwrap_or("").to_owned();
        let from = number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let records = self.records.lock().unwrap();
        let is_empty = |records: &mut HashMap<String, Vec<KeyedRecord>>| {
            records.get(&topic).map_or(0, Vec::len) <= from
        };
        let waited = self.appended.wait_timeout_while(records, wait, is_empty);
        let (records, _) = waited.unwrap();
        let all = records.get(&topic).map_or(&[][..], |all| &all[..]);
        let mut body = (all.len() as u64).to_be_bytes().to_vec();
        body.extend(0u64.to_be_bytes());
        for (key, value) in all.iter().skip(from) {
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key);
            body.extend(value);
        }
        body
    }

    fn append(&self, query: &str, mut body: &[u8]) -> (u16, Vec<u8>) {
        let topic = parameter(query, "topic").unwrap_or("").to_owned();
        let mut records = self.records.lock().unwrap();
        let all = records.entry(topic).or_default();
        let offset = all.len();
        let at = parameter(query, "at").and_then(|at| at.parse::<usize>().ok());
        if at.is_some_and(|at| at != offset) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        while body.len() > 4 {
            let (len, rest) = body.split_at(4);
            let len = u32::from_be_bytes(len.try_into().unwrap()) as usize;
            let (record, rest) = rest.split_at(len.min(rest.len()));
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            all.push((key.to_vec(), value.to_vec()));
            body = rest;
        }
        let end = all.len();
        self.appended.notify_all();
        (
            200,
            format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
        )
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            let is_padding = digit > chunk.len();
            let index = (bits >> (18 - 6 * digit)) & 63;
            text.push(match is_padding {
                true => '=',
                false => char::from(DIGITS[index as usize]),
            });
        }
    }
    text
}

/// Sends the heartbeats of the server of a machine until the process ends.
pub fn send_heartbeats(machine: &Machine, id: &'static str, zone: &'static str, slots: u16) {
    let (control, app_addr) = (machine.control(), machine.app_addr());
    let service = machine.service;
    let born = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis());
    thread::spawn(move || {
        for sequence in 1.. {
            let body = format!(
                "{{\"service\":\"{service}\",\"address\":\"{app_addr}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_s\":0,\
                 \"sequence\":{sequence},\"born\":{born}}}"
            );
            let length = body.len();
            let request = format!(
                "PUT /bilberrycove/instances/{id} HTTP/1.1\r\nHost: node\r\n\
                 Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            let _ = call(control, request.as_bytes(), Duration::from_secs(1));
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    });
}

/// The answer of a server to a health check.
pub fn health_answer(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Bilberrycove-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
}

/// The signed answer of a server to a request that it has run.
pub fn success_answer(request_id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nX-Bilberrycove-Request-Id: {request_id}\r\n\
         X-Bilberrycove-Response-Signature: {request_id}.{length}\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Ends the program with the exit code of a case: 1 if the rule was broken, 0 if it held, 2 if the
/// case could not run.
pub fn finish(outcome: Result<bool, String>) -> ! {
    let code = match outcome {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            2
        }
    };
    std::process::exit(code)
}
