//! A whole small deployment in one process: the store, and for each instance a thread with a real
//! node and a backend server beside it.

use crate::Backend;
use crate::BackendConfig;
use crate::Store;
use journal::Record;
use node::Settings;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::oneshot;

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// Where an instance belongs and what its backend server does.
#[derive(Debug, Clone)]
pub struct InstanceConfig {
    /// The service.
    pub service: &'static str,
    /// The failure domain.
    pub failure_domain: &'static str,
    /// The region.
    pub region: &'static str,
    /// What the backend server does.
    pub backend: BackendConfig,
}

/// An instance on a thread of its own.
pub struct InstanceHandle {
    /// Its service.
    pub service: &'static str,
    /// Where its node takes HTTP.
    pub http_addr: SocketAddr,
    /// Where its backend server listens.
    pub backend_addr: SocketAddr,
    /// The kernel's page on the processor time of its thread; empty off Linux.
    schedstat: PathBuf,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl InstanceHandle {
    /// Processor time of the instance's thread so far: its node and its backend server.
    pub fn cpu_time(&self) -> Duration {
        let page = std::fs::read_to_string(&self.schedstat).unwrap_or_default();
        let nanos = page.split_whitespace().next().and_then(|n| n.parse().ok());
        Duration::from_nanos(nanos.unwrap_or(0))
    }

    /// Asks the node for a graceful shutdown and waits for its end.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The store and all instances.
pub struct Deployment {
    /// Where the store listens.
    pub store_addr: SocketAddr,
    /// The instances, in the order of their places.
    pub instances: Vec<InstanceHandle>,
}

impl Deployment {
    /// Starts everything.
    ///
    /// # Panics
    ///
    /// If a loopback port cannot be had.
    pub fn start(places: &[InstanceConfig]) -> Self {
        let store_addr = start_store();
        let instances = places
            .iter()
            .map(|place| start_instance(place.clone(), store_addr));
        Self {
            store_addr,
            instances: instances.collect(),
        }
    }

    /// Publishes rules, and waits until every node has them and knows every instance.
    ///
    /// # Panics
    ///
    /// If the store's stand-in or a node does not answer.
    pub async fn publish(&self, rules: &str) {
        let record = Record::Publish {
            version: 1,
            publication: uuid::Uuid::new_v4().as_u128(),
            operator: "stand-in".into(),
            file: rules.into(),
        };
        let store = platform::Store::new(self.store_addr);
        let topic = platform::topic("bilberrycove");
        // Nobody else publishes, so this needs no condition.
        let appended = store.append(&topic, None, &record.entries()).await;
        appended.expect("the store answers");
        let all = self.instances.len().to_string();
        for instance in &self.instances {
            while status_value(instance.http_addr, "rules_version")
                .await
                .as_deref()
                != Some("1")
                || status_value(instance.http_addr, "instances")
                    .await
                    .as_deref()
                    != Some(&all)
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// The value of a line of a node's status page.
pub async fn status_value(node: SocketAddr, key: &str) -> Option<String> {
    let page = fetch_status_page(node).await;
    let value = |line: &str| Some(line.strip_prefix(key)?.strip_prefix(' ')?.to_owned());
    page.lines().find_map(value)
}

/// A node's whole status page; empty if it does not answer.
pub async fn fetch_status_page(node: SocketAddr) -> String {
    let client = awc::Client::new();
    let Ok(mut response) = client.get(format!("http://{node}/-/status")).send().await else {
        return String::new();
    };
    let body = response.body().await.unwrap_or_default();
    String::from_utf8_lossy(&body).into_owned()
}

fn start_store() -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let store = Store::start(LOOPBACK.into())
                .await
                .expect("a loopback port is free");
            let _ = tx.send(store.addr);
            std::future::pending::<()>().await;
        });
    });
    rx.recv().expect("the store's thread has started")
}

fn start_instance(place: InstanceConfig, store: SocketAddr) -> InstanceHandle {
    let service = place.service;
    let (tx, rx) = mpsc::channel();
    let (stop, stopped) = oneshot::channel();
    let thread = std::thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let backend = Backend::start(LOOPBACK.into(), place.backend.clone());
            let backend = backend.await.expect("a loopback port is free");
            let settings = settings(&place, backend.addr, store);
            let node = node::start(settings)
                .await
                .expect("a loopback port is free");
            backend.node.set(Some(node.http_addr));
            let thread = std::fs::read_link("/proc/thread-self").unwrap_or_default();
            let schedstat = Path::new("/proc").join(thread).join("schedstat");
            let _ = tx.send((node.http_addr, backend.addr, schedstat));
            let _ = stopped.await;
            node.stop();
            node.stopped().await;
        });
    });
    let (http_addr, backend_addr, schedstat) =
        rx.recv().expect("the instance's thread has started");
    InstanceHandle {
        service,
        http_addr,
        backend_addr,
        schedstat,
        stop: Some(stop),
        thread: Some(thread),
    }
}

fn settings(place: &InstanceConfig, backend: SocketAddr, store: SocketAddr) -> Settings {
    let text = format!(
        "[node]\nservice = {}\nfailure_domain = {}\nregion = {}\n\
         http_addr = 127.0.0.1:0\npeer_addr = 127.0.0.1:0\n\
         [backend_server]\naddr = {backend}\n[store]\naddr = {store}\n",
        place.service, place.failure_domain, place.region
    );
    Settings::parse(&text).expect("these settings are good")
}
