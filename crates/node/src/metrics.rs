//! Counters, times and gauges: to the metrics service by `cadence`, and kept for the status page.

use cadence::CountedExt;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use engine::Counter;
use engine::Gauge;
use indexmap::IndexMap;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

const PREFIX: &str = "bilberry";

/// Bytes on the control paths, without the headers of IP, UDP and TCP.
#[derive(Debug, Default)]
pub(crate) struct ControlBytes {
    /// Datagrams sent: membership, leases.
    pub(crate) datagrams_out: Cell<u64>,
    /// Datagrams received.
    pub(crate) datagrams_in: Cell<u64>,
    /// Records read from the log.
    pub(crate) log_in: Cell<u64>,
    /// Records appended to the log.
    pub(crate) log_out: Cell<u64>,
}

pub(crate) struct Metrics {
    client: StatsdClient,
    totals: RefCell<IndexMap<Counter, u64>>,
    pub(crate) bytes: ControlBytes,
}

impl Metrics {
    pub(crate) fn new(addr: Option<SocketAddr>) -> std::io::Result<Self> {
        let client = match addr {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(addr) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(addr, socket).map_err(std::io::Error::other)?;
                StatsdClient::from_sink(PREFIX, sink)
            }
        };
        Ok(Self {
            client,
            totals: RefCell::default(),
            bytes: ControlBytes::default(),
        })
    }

    pub(crate) fn count(&self, counter: Counter) {
        *self.totals.borrow_mut().entry(counter).or_insert(0) += 1;
        // A lost metric is no reason to fail; the totals still have it.
        let _ = self.client.incr(&counter.name());
    }

    /// How long a request took, by its outcome.
    pub(crate) fn time(&self, outcome: &'static str, took: Duration) {
        let _ = self.client.time(&format!("latency.{outcome}"), took);
    }

    pub(crate) fn gauge(&self, gauges: &[Gauge]) {
        for (name, value) in gauges.iter().chain(&self.bytes.gauges()) {
            let _ = self.client.gauge(name, *value);
        }
    }

    pub(crate) fn totals(&self) -> Vec<(String, u64)> {
        let totals = self.totals.borrow();
        let mut lines: Vec<_> = totals.iter().map(|(c, n)| (c.name(), *n)).collect();
        lines.sort();
        lines
    }
}

impl ControlBytes {
    pub(crate) fn gauges(&self) -> [Gauge; 4] {
        [
            ("bytes.datagrams_out", self.datagrams_out.get()),
            ("bytes.datagrams_in", self.datagrams_in.get()),
            ("bytes.log_in", self.log_in.get()),
            ("bytes.log_out", self.log_out.get()),
        ]
    }
}

/// Adds to a byte count.
pub(crate) fn add(bytes: &Cell<u64>, more: usize) {
    bytes.set(bytes.get() + more as u64);
}
