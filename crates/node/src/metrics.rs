//! Counters, latencies and gauges: sent to the metrics service with `cadence`, and kept for the
//! status and metrics pages.

use cadence::CountedExt;
use cadence::Gauged;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use engine::Counter;
use engine::Gauge;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

const PREFIX: &str = "bilberry";

/// Latency quantiles to report.
const QUANTILES: [f64; 5] = [0.5, 0.9, 0.99, 0.999, 1.0];

/// Longest latency that the histograms resolve, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Two significant digits distinguish 10 ms from 10.1 ms and take about 20 KB per histogram.
const SIGNIFICANT_DIGITS: u8 = 2;

fn new_histogram() -> Histogram<u64> {
    let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    histogram.expect("the histogram bounds are valid constants")
}

/// Bytes of control traffic, without IP, UDP and TCP headers.
#[derive(Debug, Default)]
pub(crate) struct ControlBytes {
    /// Datagrams sent: membership, leases.
    pub(crate) datagrams_out: Cell<u64>,
    /// Datagrams received.
    pub(crate) datagrams_in: Cell<u64>,
    /// Values read from the log topic of the store.
    pub(crate) store_in: Cell<u64>,
    /// Values appended to the log topic of the store.
    pub(crate) store_out: Cell<u64>,
}

pub(crate) struct Metrics {
    /// `None` if no metrics service is configured: formatting unused metrics would cost several
    /// allocations per request.
    client: Option<StatsdClient>,
    counters: RefCell<IndexMap<Counter, u64>>,
    /// Request latencies in microseconds, by outcome.
    latencies: RefCell<IndexMap<&'static str, Histogram<u64>>>,
    pub(crate) control_bytes: ControlBytes,
}

impl Metrics {
    pub(crate) fn new(addr: Option<SocketAddr>) -> std::io::Result<Self> {
        let client = match addr {
            None => None,
            Some(addr) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(addr, socket).map_err(std::io::Error::other)?;
                Some(StatsdClient::from_sink(PREFIX, sink))
            }
        };
        Ok(Self {
            client,
            counters: RefCell::default(),
            latencies: RefCell::default(),
            control_bytes: ControlBytes::default(),
        })
    }

    pub(crate) fn count(&self, counter: Counter) {
        *self.counters.borrow_mut().entry(counter).or_insert(0) += 1;
        // A failed send is ignored; the totals still include it.
        if let Some(client) = &self.client {
            let _ = client.incr(&counter.name());
        }
    }

    /// Records how long a request took.
    pub(crate) fn record_latency(&self, outcome: &'static str, elapsed: Duration) {
        if let Some(client) = &self.client {
            let _ = client.time(&format!("latency.{outcome}"), elapsed);
        }
        let mut latencies = self.latencies.borrow_mut();
        let histogram = latencies.entry(outcome).or_insert_with(new_histogram);
        histogram.saturating_record(elapsed.as_micros() as u64);
    }

    /// Counters, latency quantiles and these gauges, one name and value per line.
    pub(crate) fn render(&self, gauges: &[Gauge]) -> String {
        let mut lines: Vec<String> = self
            .counters()
            .into_iter()
            .map(|(name, count)| metric_line(&name, count))
            .collect();
        lines.extend(gauges.iter().map(|(name, value)| metric_line(name, *value)));
        for (outcome, histogram) in &*self.latencies.borrow() {
            let name = format!("{PREFIX}_latency_us_{}", outcome.replace('-', "_"));
            lines.push(format!("{name}_count {}", histogram.len()));
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                lines.push(format!("{name}{{quantile=\"{quantile}\"}} {value}"));
            }
        }
        lines.push(String::new());
        lines.join("\n")
    }

    pub(crate) fn report_gauges(&self, gauges: &[Gauge]) {
        let Some(client) = &self.client else {
            return;
        };
        for (name, value) in gauges.iter().chain(&self.control_bytes.gauges()) {
            let _ = client.gauge(name, *value);
        }
    }

    pub(crate) fn counters(&self) -> Vec<(String, u64)> {
        let counters = self.counters.borrow();
        let mut sorted: Vec<_> = counters.iter().map(|(c, n)| (c.name(), *n)).collect();
        sorted.sort();
        sorted
    }
}

impl ControlBytes {
    pub(crate) fn gauges(&self) -> [Gauge; 4] {
        [
            ("bytes.datagrams_out", self.datagrams_out.get()),
            ("bytes.datagrams_in", self.datagrams_in.get()),
            ("bytes.store_in", self.store_in.get()),
            ("bytes.store_out", self.store_out.get()),
        ]
    }
}

fn metric_line(name: &str, value: u64) -> String {
    format!("{PREFIX}_{} {value}", name.replace(['.', '-'], "_"))
}

/// Adds to a byte counter.
pub(crate) fn add_bytes(total: &Cell<u64>, added: usize) {
    total.set(total.get() + added as u64);
}
