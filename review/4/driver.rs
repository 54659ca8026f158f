//! The store is silent for two seconds soon after a new version of the configuration. The version
//! after that is in force late.

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

/// The machines: name, zone and service.
const MACHINES: [(&str, &str, &str); 6] = [
    ("entry-1", "zone-a", "order"),
    ("old-1", "zone-a", "press"),
    ("new-1", "zone-a", "atelier"),
    ("entry-2", "zone-b", "order"),
    ("old-2", "zone-b", "press"),
    ("new-2", "zone-b", "atelier"),
];
const SERVICES: [&str; 2] = ["press", "atelier"];

/// After the first change of the configuration: the silence of the store, the second change, and the
/// end of the load.
const SILENT_AFTER: Duration = Duration::from_millis(300);
const SILENT_TIME: Duration = Duration::from_secs(2);
const SECOND_CHANGE_AFTER: Duration = Duration::from_millis(5500);
const LOAD_TIME: Duration = Duration::from_secs(15);

/// `config_apply_s` and `contact_s`.
const CONFIG_APPLY: Duration = Duration::from_millis(2500);
const CONTACT: Duration = Duration::from_secs(3);

/// Requests per second through each of the two entry machines.
const RATE: u32 = 20;

const DEADLINE_MS: u32 = 4000;
const WORK_TIME: Duration = Duration::from_millis(20);
const SLOTS: u16 = 54;

/// The service that ran each request.
type Runs = Arc<Mutex<HashMap<String, &'static str>>>;

fn start_server(machine: &Machine, record: &Record, runs: &Runs) -> Result<(), String> {
    let listener = TcpListener::bind(machine.app_addr()).map_err(|e| e.to_string())?;
    let zone = if machine.name.ends_with('1') {
        "zone-a"
    } else {
        "zone-b"
    };
    support::send_heartbeats(machine, machine.name, zone, SLOTS);
    let (name, service) = (machine.name, machine.service);
    let (record, runs) = (record.clone(), runs.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs) = (record.clone(), runs.clone());
            thread::spawn(move || serve(stream, name, service, &record, &runs));
        }
    });
    Ok(())
}

fn serve(
    stream: TcpStream,
    name: &str,
    service: &'static str,
    record: &Record,
    runs: &Runs,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let head = support::read_head(&mut reader)?;
        let mut body = vec![0; head.content_length()];
        reader.read_exact(&mut body).ok()?;
        if head.path() == "/healthz" {
            let answer = support::health_answer(name);
            writer.write_all(answer.as_bytes()).ok()?;
            continue;
        }
        let id = head.request_id();
        record.line(&format!("{name} of {service} runs {id}"));
        runs.lock().unwrap().insert(id.to_owned(), service);
        thread::sleep(WORK_TIME);
        let answer = support::success_answer(id, service);
        writer.write_all(answer.as_bytes()).ok()?;
    }
}

fn book(addr: SocketAddr, id: &str) -> Result<u16, String> {
    let extra = "Content-Type: text/plain\r\nContent-Length: 4\r\n";
    let mut request = support::request_head("POST", "/book/7", id, DEADLINE_MS, extra);
    request.push_str("slot");
    let limit = Duration::from_millis(u64::from(DEADLINE_MS) + 500);
    support::call(addr, request.as_bytes(), limit).map(|answer| answer.status)
}

/// Sends bookings through both entry machines; returns when each was sent.
fn send_load(entries: &[SocketAddr], record: &Record, until: Instant) -> HashMap<String, Instant> {
    let interval = Duration::from_secs(1) / RATE;
    let mut sent = HashMap::new();
    let mut clients = Vec::new();
    let mut number = 0_u64;
    let began = Instant::now();
    while Instant::now() < until {
        for addr in entries.iter().copied() {
            let id = format!("{:016x}", 0xb000_0000_0000_0000_u64 + number);
            number += 1;
            sent.insert(id.clone(), Instant::now());
            let record = record.clone();
            clients.push(thread::spawn(move || {
                record.line(&format!("client sends {id} to {addr}"));
                let answer = book(addr, &id);
                record.line(&format!("client gets {answer:?} for {id}"));
            }));
        }
        let due = began + interval * (number / entries.len() as u64) as u32;
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    for client in clients {
        let _ = client.join();
    }
    sent
}

fn config(version: u32, timeout_s: f64, target: &str) -> String {
    support::config_version(version, "/book/", "unsafe", timeout_s, target, &SERVICES)
}

fn run() -> Result<bool, String> {
    let path = std::env::args().nth(1).ok_or("no path for the record")?;
    let record = Record::create(&path).map_err(|e| e.to_string())?;
    let trouble = support::with_trouble();
    record.line(&format!("trouble={trouble}"));
    let dir = WorkDir::create().map_err(|e| e.to_string())?;
    let first = support::FIRST_VERSION;
    let store = Store::start(&support::machine_ip(100), &config(first, 4.0, "press"))?;
    let mut machines = Vec::new();
    for (number, (name, zone, service)) in MACHINES.into_iter().enumerate() {
        let number = number as u8 + 1;
        machines.push(Machine::start(
            &dir.0, name, number, zone, service, store.addr,
        )?);
    }
    let runs = Runs::default();
    for machine in &machines {
        machine.wait_until_ready()?;
        start_server(machine, &record, &runs)?;
    }
    let entries: Vec<SocketAddr> = [0, 3]
        .map(|number: usize| machines[number].outbound())
        .into();
    let mut tries = 0;
    let is_served = support::wait_for(Duration::from_secs(15), || {
        tries += 1;
        let is_served = |addr: &SocketAddr| book(*addr, &format!("warm-{tries}")) == Ok(200);
        entries.iter().all(is_served)
    });
    if !is_served {
        return Err("no booking is served".to_owned());
    }
    // By now the readers of the store have chosen each other, and wait for new records.
    thread::sleep(Duration::from_secs(4));

    let began = Instant::now();
    let loaded = {
        let (entries, record) = (entries.clone(), record.clone());
        thread::spawn(move || send_load(&entries, &record, began + LOAD_TIME))
    };
    store.publish(&config(first + 4, 3.5, "press"));
    record.line("the store acknowledges a version with another time-out");
    if trouble {
        thread::sleep(SILENT_AFTER);
        store.set_silent(true);
        record.line("the store is silent");
        thread::sleep(SILENT_TIME);
        store.set_silent(false);
        record.line("the store answers again");
    }
    let silence_ended = Instant::now();
    let second_change = began + SECOND_CHANGE_AFTER;
    thread::sleep(second_change.saturating_duration_since(Instant::now()));
    store.publish(&config(first + 6, 3.5, "atelier"));
    let acknowledged = Instant::now();
    record.line("the store acknowledges a version that moves the route to atelier");
    if acknowledged < silence_ended + CONTACT {
        return Err("the store was not stable for contact_s".to_owned());
    }
    let sent = loaded.join().map_err(|_| "the load failed".to_owned())?;
    thread::sleep(Duration::from_millis(500));

    let runs = runs.lock().unwrap();
    let mut late: Vec<_> = sent
        .iter()
        .filter(|(id, at)| **at > acknowledged + CONFIG_APPLY && runs.get(*id) == Some(&"press"))
        .collect();
    late.sort();
    for (id, at) in &late {
        let ms = at.duration_since(acknowledged).as_millis();
        record.line(&format!(
            "CONFIG: {id}, sent {ms} ms after the acknowledgement, was run by press"
        ));
    }
    let judged = sent
        .values()
        .filter(|at| **at > acknowledged + CONFIG_APPLY);
    record.result(&format!(
        "{} bookings sent, {} of them later than 2.5 s after the acknowledgement of the version that \
         moves the route; of these run at the old service: {}",
        sent.len(),
        judged.count(),
        late.len()
    ));
    Ok(late.is_empty())
}

fn main() {
    support::finish(run());
}
