//! The node stands still for a second while clients send uploads in small chunks.

#[path = "../support-2/mod.rs"]
mod support;

use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use support::Machine;
use support::Record;
use support::Store;
use support::WorkDir;

const UPLOADS: usize = 16;

/// A body: 64 chunks of 1 KiB, one every 12 ms. The sheet of the deployment with uploads has bodies
/// of 60,000 bytes on average.
const CHUNKS: usize = 64;
const CHUNK_LEN: usize = 1024;
const CHUNK_INTERVAL: Duration = Duration::from_millis(12);

/// Machines with a server. With the machine that takes the uploads there are ten, so that one of them
/// is the share that `node_freeze` names.
const SERVERS: u8 = 9;

/// When and for how long the node stands still, after the uploads began.
const FREEZE_AFTER: Duration = Duration::from_millis(200);
const FREEZE_TIME: Duration = Duration::from_secs(1);

/// The route's `timeout_s`, and the time after it within which there has to be an answer.
const TIMEOUT: Duration = Duration::from_secs(5);
const SLACK: Duration = Duration::from_millis(500);

const DEADLINE_MS: u32 = 6000;
const WORK_TIME: Duration = Duration::from_millis(50);
const SLOTS: u16 = 108;

/// The rule counts eight or more requests, and over a quarter of those that last longer than the
/// route's time-out.
const MIN_UNANSWERED: usize = 8;

fn start_server(machine: &Machine, id: &'static str, record: &Record) -> Result<(), String> {
    let listener = TcpListener::bind(machine.app_addr()).map_err(|e| e.to_string())?;
    support::send_heartbeats(machine, id, "zone-b", SLOTS);
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || serve(stream, id, &record));
        }
    });
    Ok(())
}

fn serve(stream: TcpStream, server: &str, record: &Record) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let head = support::read_head(&mut reader)?;
        let mut body = vec![0; head.content_length()];
        reader.read_exact(&mut body).ok()?;
        if head.path() == "/healthz" {
            let answer = support::health_answer(server);
            writer.write_all(answer.as_bytes()).ok()?;
            continue;
        }
        let id = head.request_id();
        record.line(&format!("server {server} runs {id}, {} bytes", body.len()));
        thread::sleep(WORK_TIME);
        let answer = support::success_answer(id, "stored");
        writer.write_all(answer.as_bytes()).ok()?;
    }
}

/// What a client saw of its upload.
struct Upload {
    id: String,
    status: Option<u16>,
    /// From the start of the request to its answer, or until the client gave up.
    took: Duration,
}

fn upload(addr: SocketAddr, record: &Record, id: String, chunks: usize) -> Upload {
    let began = Instant::now();
    let answer = send(addr, record, &id, chunks);
    let (status, took) = (answer.as_ref().ok().copied(), began.elapsed());
    let ms = took.as_millis();
    match answer {
        Ok(status) => record.line(&format!("client gets {status} for {id} after {ms} ms")),
        Err(e) => record.line(&format!("client gets nothing for {id} in {ms} ms: {e}")),
    }
    Upload { id, status, took }
}

fn send(addr: SocketAddr, record: &Record, id: &str, chunks: usize) -> Result<u16, String> {
    let began = Instant::now();
    let mut stream = TcpStream::connect(addr).map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let head = support::request_head(
        "POST",
        "/art/7",
        id,
        DEADLINE_MS,
        "Content-Type: image/png\r\nTransfer-Encoding: chunked\r\n",
    );
    let cut = |e: std::io::Error| format!("cut: {e}");
    stream.write_all(head.as_bytes()).map_err(cut)?;
    let mut chunk = format!("{CHUNK_LEN:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + CHUNK_LEN, b'a');
    chunk.extend(b"\r\n");
    for number in 0..chunks {
        let due = began + CHUNK_INTERVAL * number as u32;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        stream.write_all(&chunk).map_err(cut)?;
    }
    stream.write_all(b"0\r\n\r\n").map_err(cut)?;
    let ms = began.elapsed().as_millis();
    record.line(&format!("client has sent {id} completely after {ms} ms"));
    let left = Duration::from_millis(u64::from(DEADLINE_MS)).saturating_sub(began.elapsed());
    let _ = stream.set_read_timeout(Some(left));
    let answer = support::read_answer(&mut BufReader::new(&stream));
    let answer = answer.ok_or("no answer before the deadline")?;
    Ok(answer.status)
}

fn run() -> Result<bool, String> {
    let path = std::env::args().nth(1).ok_or("no path for the record")?;
    let record = Record::create(&path).map_err(|e| e.to_string())?;
    let trouble = support::with_trouble();
    record.line(&format!("trouble={trouble}"));
    let dir = WorkDir::create().map_err(|e| e.to_string())?;
    let config = support::config("/art/", "upload", TIMEOUT.as_secs_f64(), "press");
    let store = Store::start(&support::machine_ip(100), &config)?;
    let entry = Machine::start(&dir.0, "entry", 1, "zone-a", "order", store.addr)?;
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let name: &'static str = format!("i-{number}").leak();
        let machine = Machine::start(&dir.0, name, number + 1, "zone-b", "press", store.addr)?;
        servers.push(machine);
    }
    entry.wait_until_ready()?;
    for machine in &servers {
        machine.wait_until_ready()?;
        start_server(machine, machine.name, &record)?;
    }
    let mut tries = 0;
    let is_served = support::wait_for(Duration::from_secs(15), || {
        tries += 1;
        let warm = upload(entry.outbound(), &record, format!("warm-{tries}"), 2);
        warm.status == Some(200)
    });
    if !is_served {
        return Err("no upload is served".to_owned());
    }

    let uploads: Vec<Upload> = thread::scope(|scope| {
        let clients: Vec<_> = (0..UPLOADS)
            .map(|number| {
                let (addr, record) = (entry.outbound(), &record);
                let id = format!("{:016x}", 0xc000_0000_0000_0000_u64 + number as u64);
                scope.spawn(move || upload(addr, record, id, CHUNKS))
            })
            .collect();
        if trouble {
            thread::sleep(FREEZE_AFTER);
            record.line("the node stands still");
            entry.signal(support::SIGSTOP);
            thread::sleep(FREEZE_TIME);
            entry.signal(support::SIGCONT);
            record.line("the node goes on");
        }
        clients.into_iter().filter_map(|c| c.join().ok()).collect()
    });
    let longer = uploads.iter().filter(|upload| upload.took > TIMEOUT);
    let longer: Vec<&Upload> = longer.collect();
    let unanswered = longer
        .iter()
        .filter(|upload| upload.status.is_none() || upload.took > TIMEOUT + SLACK);
    let unanswered = unanswered.count();
    for upload in &longer {
        let (id, ms) = (&upload.id, upload.took.as_millis());
        record.line(&format!("{id} lasted {ms} ms, status {:?}", upload.status));
    }
    record.result(&format!(
        "{} uploads, longer than the route's time-out: {}, without an answer half a second after it: \
         {unanswered}",
        uploads.len(),
        longer.len()
    ));
    Ok(unanswered < MIN_UNANSWERED || unanswered * 4 <= longer.len())
}

fn main() {
    support::finish(run());
}
