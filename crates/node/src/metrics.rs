//! Counters: to the metrics service by `cadence`, and kept for the status page.

use cadence::CountedExt;
use cadence::NopMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use engine::Counter;
use indexmap::IndexMap;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::net::UdpSocket;

const PREFIX: &str = "bilberry";

pub(crate) struct Metrics {
    client: StatsdClient,
    totals: RefCell<IndexMap<Counter, u64>>,
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
        })
    }

    pub(crate) fn count(&self, counter: Counter) {
        *self.totals.borrow_mut().entry(counter).or_insert(0) += 1;
        // A lost metric is no reason to fail; the totals still have it.
        let _ = self.client.incr(&counter.name());
    }

    pub(crate) fn totals(&self) -> Vec<(String, u64)> {
        let totals = self.totals.borrow();
        let mut lines: Vec<_> = totals.iter().map(|(c, n)| (c.name(), *n)).collect();
        lines.sort();
        lines
    }
}
