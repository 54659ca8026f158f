//! Drives the engine of one node with a clock and a log that the test controls.

use bilberry_engine::Config;
use bilberry_engine::Counter;
use bilberry_engine::Engine;
use bilberry_engine::Input;
use bilberry_engine::Output;
use journal::Record;
use proto::Datagram;
use proto::FreshnessMessage;
use proto::Incarnation;
use proto::Instance;
use proto::Outcome;
use proto::QuotaMessage;
use proto::SyncProgress;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

pub fn instance(n: u16) -> Instance {
    Instance {
        incarnation: Incarnation(u64::from(n)),
        service: "press".into(),
        failure_domain: "milano-1".into(),
        region: "lombardia".into(),
        addr: ([127, 0, 0, 1], 7000 + n).into(),
    }
}

/// A node, and a log whose answers the test chooses.
pub struct Driver {
    pub engine: Engine,
    pub now: Time,
    /// The end of the topic.
    pub offset: u64,
    pub appends: Vec<(u64, Record)>,
    pub counters: Vec<Counter>,
    pub stopped: bool,
    /// Number of requests to read the log topic at once.
    pub read_requests: u32,
    /// Addresses that the state was requested from, each with the progress that was sent.
    pub fetches: Vec<(SocketAddr, SyncProgress)>,
    /// Queries for the rules version of other nodes: the address and the id of the query.
    pub version_queries: Vec<(SocketAddr, u64)>,
    /// The stamps of this node's answers to nodes that borrow quota tokens.
    pub lender_stamps: Vec<u64>,
    pub answers: Vec<Outcome>,
}

impl Driver {
    pub fn new() -> Self {
        Self::with_config(1, Config::default())
    }

    pub fn with_config(n: u16, cfg: Config) -> Self {
        Self {
            engine: Engine::new(cfg, instance(n)),
            now: Time::ZERO,
            offset: 0,
            appends: Vec::new(),
            counters: Vec::new(),
            stopped: false,
            read_requests: 0,
            fetches: Vec::new(),
            version_queries: Vec::new(),
            lender_stamps: Vec::new(),
            answers: Vec::new(),
        }
    }

    pub fn feed(&mut self, input: Input) {
        for output in self.engine.handle(self.now, input) {
            match output {
                Output::Append {
                    number,
                    at,
                    entries,
                } => {
                    assert_eq!(
                        at, self.offset,
                        "the append expects an offset that is not the end of the topic"
                    );
                    let (_, value) = entries.last().unwrap();
                    self.appends.push((number, proto::decode(value).unwrap()));
                }
                Output::Count(counter) => self.counters.push(counter),
                Output::FetchState { from, known } => self.fetches.push((from, known)),
                Output::Datagram {
                    to,
                    datagram:
                        Datagram::Freshness {
                            message: FreshnessMessage::Query { request_id },
                            ..
                        },
                } => self.version_queries.push((to, request_id)),
                Output::Datagram {
                    datagram:
                        Datagram::Quota {
                            message: QuotaMessage::Lend { stamp, .. },
                            ..
                        },
                    ..
                } => self.lender_stamps.push(stamp),
                Output::Answer { outcome, .. } => self.answers.push(outcome),
                Output::ReadLog => self.read_requests += 1,
                Output::Stopped => self.stopped = true,
                _ => {}
            }
        }
    }

    /// Lets time pass, timer by timer.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(due) = self.engine.next_timer().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.feed(Input::Tick);
        }
        self.now = end;
    }

    /// Advances the time to the next timer.
    pub fn advance_to_next_timer(&mut self) {
        let due = self.engine.next_timer().unwrap();
        self.now = self.now.max(due);
        self.feed(Input::Tick);
    }

    /// The appends that the node has requested since the last call.
    pub fn take_appends(&mut self) -> Vec<(u64, Record)> {
        std::mem::take(&mut self.appends)
    }

    pub fn take_one_append(&mut self) -> (u64, Record) {
        let mut appends = self.take_appends();
        assert_eq!(appends.len(), 1, "{appends:?}");
        appends.remove(0)
    }

    /// The node reads a record from the log topic.
    pub fn read_record(&mut self, record: &Record) {
        for (_, value) in record.entries() {
            let offset = self.offset;
            self.offset += 1;
            self.feed(Input::Records(vec![(offset, value)]));
        }
        self.feed(Input::LogCaughtUp);
    }

    pub fn count(&self, counter: Counter) -> usize {
        self.counters.iter().filter(|c| **c == counter).count()
    }
}
