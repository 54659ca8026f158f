//! A small deployment in one process: the store's stand-in, and for each instance a thread with a
//! real node and a stand-in for its backend server.

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

/// The loopback address, with a port that the system chooses.
const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// The location of an instance and the configuration of its backend server.
#[derive(Debug, Clone)]
pub struct InstanceConfig {
    /// The service that the instance belongs to.
    pub service: &'static str,
    /// The failure domain in which it runs.
    pub failure_domain: &'static str,
    /// The region of the failure domain.
    pub region: &'static str,
    /// The configuration of its backend server.
    pub backend: BackendConfig,
}

/// An instance that runs on its own thread.
pub struct InstanceHandle {
    /// The service that the instance belongs to.
    pub service: &'static str,
    /// The address on which its node accepts HTTP requests.
    pub http_addr: SocketAddr,
    /// The address on which its backend server listens.
    pub backend_addr: SocketAddr,
    /// Path of the kernel's file with the CPU time of the thread. On systems other than Linux there
    /// is no such file, and the CPU time is reported as zero.
    schedstat: PathBuf,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl InstanceHandle {
    /// CPU time used so far by the instance's thread, which runs its node and its backend server.
    pub fn cpu_time(&self) -> Duration {
        let schedstat = std::fs::read_to_string(&self.schedstat).unwrap_or_default();
        let nanos = schedstat
            .split_whitespace()
            .next()
            .and_then(|n| n.parse().ok());
        Duration::from_nanos(nanos.unwrap_or(0))
    }

    /// Requests a graceful shutdown of the node and waits until its thread has ended.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The store's stand-in and all instances.
pub struct Deployment {
    /// The address on which the store listens.
    pub store_addr: SocketAddr,
    /// The instances, in the order of their configurations.
    pub instances: Vec<InstanceHandle>,
}

impl Deployment {
    /// Starts the store and one instance for each configuration.
    ///
    /// # Panics
    ///
    /// If no loopback port is free.
    pub fn start(configs: &[InstanceConfig]) -> Self {
        let store_addr = start_store();
        let instances = configs
            .iter()
            .map(|config| start_instance(config.clone(), store_addr));
        Self {
            store_addr,
            instances: instances.collect(),
        }
    }

    /// Publishes rules, and waits until every node has applied them and knows every instance.
    ///
    /// # Panics
    ///
    /// If the store does not answer.
    pub async fn publish(&self, rules: &str) {
        let record = Record::Publish {
            version: 1,
            publication: uuid::Uuid::new_v4().as_u128(),
            operator: "stand-in".into(),
            file: rules.into(),
        };
        let store = platform::StoreClient::new(self.store_addr);
        let topic = platform::stream_topic("bilberrycove");
        // There is no other publisher, so the append needs no condition on the offset.
        let appended = store.append(&topic, None, &record.entries()).await;
        appended.expect("the store answers");
        let instance_count = self.instances.len().to_string();
        for instance in &self.instances {
            while status_value(instance.http_addr, "rules_version")
                .await
                .as_deref()
                != Some("1")
                || status_value(instance.http_addr, "instances")
                    .await
                    .as_deref()
                    != Some(&instance_count)
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// The value of a key on a node's status page; `None` if the node does not answer.
pub async fn status_value(node: SocketAddr, key: &str) -> Option<String> {
    let page = fetch_status_page(node).await;
    let value = |line: &str| Some(line.strip_prefix(key)?.strip_prefix(' ')?.to_owned());
    page.lines().find_map(value)
}

/// A node's full status page; empty if the node does not answer.
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
    rx.recv().expect("the store's thread reports its address")
}

fn start_instance(config: InstanceConfig, store: SocketAddr) -> InstanceHandle {
    let service = config.service;
    let (tx, rx) = mpsc::channel();
    let (stop, stop_requested) = oneshot::channel();
    let thread = std::thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let backend = Backend::start(LOOPBACK.into(), config.backend.clone());
            let backend = backend.await.expect("a loopback port is free");
            let settings = node_settings(&config, backend.addr, store);
            let node = node::start(settings)
                .await
                .expect("a loopback port is free");
            backend.node.set(Some(node.http_addr));
            let thread = std::fs::read_link("/proc/thread-self").unwrap_or_default();
            let schedstat = Path::new("/proc").join(thread).join("schedstat");
            let _ = tx.send((node.http_addr, backend.addr, schedstat));
            let _ = stop_requested.await;
            node.stop();
            node.stopped().await;
        });
    });
    let (http_addr, backend_addr, schedstat) = rx
        .recv()
        .expect("the instance's thread reports its addresses");
    InstanceHandle {
        service,
        http_addr,
        backend_addr,
        schedstat,
        stop: Some(stop),
        thread: Some(thread),
    }
}

fn node_settings(config: &InstanceConfig, backend: SocketAddr, store: SocketAddr) -> Settings {
    let text = format!(
        "[node]\nservice = {}\nfailure_domain = {}\nregion = {}\n\
         http_addr = 127.0.0.1:0\npeer_addr = 127.0.0.1:0\n\
         [backend_server]\naddr = {backend}\n[store]\naddr = {store}\n",
        config.service, config.failure_domain, config.region
    );
    Settings::parse(&text).expect("the settings are valid")
}
