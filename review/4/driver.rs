//! A faulty server sends the refusal of a request twice. The second copy arrives late, where the
//! answer to the next request on the connection is expected.

#[path = "../support-2/mod.rs"]
mod support;

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use support::Machine;
use support::Record;
use support::Store;
use support::WorkDir;

/// Requests per second of all clients together, and for how long.
const RATE: u32 = 100;
const LOAD_TIME: Duration = Duration::from_secs(40);

/// The rate of requests that a server runs, and how many it runs at once after a pause. It refuses
/// the others.
const RUNS_PER_SECOND: f64 = 45.0;
const MAX_BURST: f64 = 4.0;

const WORK_TIME: Duration = Duration::from_millis(50);
const SLOTS: u16 = 54;

/// One answer in this many of the faulty server is sent twice: 2.9 %.
const SECOND_ANSWER_EVERY: u32 = 34;

const DEADLINE_MS: u32 = 5000;

/// The refusal as the examples of the pages show it ("a server sheds").
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Bilberrycove-Not-Executed: 1\r\n\
                       Content-Length: 0\r\n\r\n";

/// What the servers have run: the names of the servers, by request id.
type Runs = Arc<Mutex<HashMap<String, Vec<&'static str>>>>;

/// A server that runs a limited number of requests per second.
struct Server {
    id: &'static str,
    /// Whether it sends some answers twice.
    faulty: bool,
    runs: Runs,
    record: Record,
    state: Mutex<ServerState>,
}

struct ServerState {
    /// How many requests it may run now, as of the time when it was last computed.
    tokens: f64,
    computed_at: Instant,
    answers: u32,
    second_answers: u32,
    second_refusals: u32,
}

impl Server {
    fn start(machine: &Machine, server: Arc<Self>, zone: &'static str) -> Result<(), String> {
        let listener = TcpListener::bind(machine.app_addr()).map_err(|e| e.to_string())?;
        support::send_heartbeats(machine, server.id, zone, SLOTS);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(())
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        // A copy of the last answer that will be sent late.
        let mut late_copy: Option<String> = None;
        loop {
            let head = support::read_head(&mut reader)?;
            let mut body = vec![0; head.content_length()];
            reader.read_exact(&mut body).ok()?;
            if head.path() == "/healthz" {
                let answer = support::health_answer(self.id);
                writer.write_all(answer.as_bytes()).ok()?;
                continue;
            }
            let id = head.request_id();
            if let Some(copy) = late_copy.take() {
                let status = &copy[9..12];
                let server = self.id;
                self.record.line(&format!(
                    "server {server} sends a second answer {status}, ahead of the one to {id}"
                ));
                writer.write_all(copy.as_bytes()).ok()?;
            }
            let answer = match self.may_run() {
                true => self.run(id),
                false => REFUSAL.to_owned(),
            };
            if answer == REFUSAL {
                self.record
                    .line(&format!("server {} refuses {id}", self.id));
            }
            writer.write_all(answer.as_bytes()).ok()?;
            if self.is_sent_twice(&answer) {
                late_copy = Some(answer);
            }
        }
    }

    fn may_run(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        let elapsed = state.computed_at.elapsed().as_secs_f64();
        state.computed_at = Instant::now();
        state.tokens = (state.tokens + elapsed * RUNS_PER_SECOND).min(MAX_BURST);
        let may_run = state.tokens >= 1.0;
        state.tokens -= f64::from(u8::from(may_run));
        may_run
    }

    fn run(&self, id: &str) -> String {
        self.record.line(&format!("server {} runs {id}", self.id));
        let mut runs = self.runs.lock().unwrap();
        runs.entry(id.to_owned()).or_default().push(self.id);
        drop(runs);
        thread::sleep(WORK_TIME);
        support::success_answer(id, "booked")
    }

    fn is_sent_twice(&self, answer: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        state.answers += 1;
        if !self.faulty || state.answers % SECOND_ANSWER_EVERY != 0 {
            return false;
        }
        state.second_answers += 1;
        state.second_refusals += u32::from(answer == REFUSAL);
        true
    }
}

fn book(addr: SocketAddr, id: &str) -> Result<u16, String> {
    let extra = "Content-Type: text/plain\r\nContent-Length: 4\r\n";
    let mut request = support::request_head("POST", "/book/7", id, DEADLINE_MS, extra);
    request.push_str("slot");
    let limit = Duration::from_millis(u64::from(DEADLINE_MS) + 500);
    support::call(addr, request.as_bytes(), limit).map(|answer| answer.status)
}

fn run() -> Result<bool, String> {
    let path = std::env::args().nth(1).ok_or("no path for the record")?;
    let record = Record::create(&path).map_err(|e| e.to_string())?;
    let trouble = support::with_trouble();
    record.line(&format!("trouble={trouble}"));
    let dir = WorkDir::create().map_err(|e| e.to_string())?;
    let config = support::config("/book/", "unsafe", 5.0, "press");
    let store = Store::start(&support::machine_ip(100), &config)?;
    let entry = Machine::start(&dir.0, "entry", 1, "zone-a", "order", store.addr)?;
    let press_1 = Machine::start(&dir.0, "press-1", 2, "zone-a", "press", store.addr)?;
    let press_2 = Machine::start(&dir.0, "press-2", 3, "zone-b", "press", store.addr)?;
    for machine in [&entry, &press_1, &press_2] {
        machine.wait_until_ready()?;
    }
    let runs = Runs::default();
    let new_server = |id, faulty| {
        Arc::new(Server {
            id,
            faulty,
            runs: runs.clone(),
            record: record.clone(),
            state: Mutex::new(ServerState {
                tokens: MAX_BURST,
                computed_at: Instant::now(),
                answers: 0,
                second_answers: 0,
                second_refusals: 0,
            }),
        })
    };
    let (faulty, sound) = (new_server("i-1", trouble), new_server("i-2", false));
    Server::start(&press_1, faulty.clone(), "zone-a")?;
    Server::start(&press_2, sound.clone(), "zone-b")?;
    let mut tries = 0;
    let is_served = support::wait_for(Duration::from_secs(15), || {
        tries += 1;
        book(entry.outbound(), &format!("warm-{tries}")) == Ok(200)
    });
    if !is_served {
        return Err("no booking is served".to_owned());
    }
    // Lets every node hear of both servers.
    thread::sleep(Duration::from_secs(2));

    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let mut clients = Vec::new();
    let began = Instant::now();
    let count = RATE * LOAD_TIME.as_secs() as u32;
    for number in 0..count {
        let due = began + LOAD_TIME * number / count;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let (answers, record, addr) = (answers.clone(), record.clone(), entry.outbound());
        clients.push(thread::spawn(move || {
            let id = format!("{:016x}", 0xb000_0000_0000_0000_u64 + u64::from(number));
            record.line(&format!("client sends {id}"));
            match book(addr, &id) {
                Ok(status) => {
                    record.line(&format!("client gets {status} for {id}"));
                    answers.lock().unwrap().insert(id, status);
                }
                Err(e) => record.line(&format!("client gets nothing for {id}: {e}")),
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));

    let (runs, answers) = (runs.lock().unwrap(), answers.lock().unwrap());
    let mut twice: Vec<_> = runs.iter().filter(|(_, by)| by.len() > 1).collect();
    twice.sort();
    for (id, by) in &twice {
        let status = answers.get(*id);
        record.line(&format!(
            "TWICE: {id} was run by {by:?}, answered {status:?}"
        ));
    }
    let mut refused: Vec<_> = answers
        .iter()
        .filter(|(id, status)| matches!(status, 408 | 421 | 429 | 503) && runs.contains_key(*id))
        .collect();
    refused.sort();
    for (id, status) in &refused {
        record.line(&format!("REFUSED: {id} was answered {status} and has run"));
    }
    let state = faulty.state.lock().unwrap();
    record.result(&format!(
        "{count} bookings sent, {} run, {} answered; the faulty server gave {} answers and {} second \
         answers, {} of them refusals; run twice: {}; answered as not run although they ran: {}",
        runs.len(),
        answers.len(),
        state.answers,
        state.second_answers,
        state.second_refusals,
        twice.len(),
        refused.len()
    ));
    Ok(twice.is_empty() && refused.is_empty())
}

fn main() {
    support::finish(run());
}
