//! Drives one node's engine by a clock and a log of the test's own.

use bilberry_engine::Config;
use bilberry_engine::Counter;
use bilberry_engine::Engine;
use bilberry_engine::Input;
use bilberry_engine::Output;
use journal::Record;
use proto::Incarnation;
use proto::Instance;
use proto::Outcome;
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

/// A node, and a log that does what the test says.
pub struct Driver {
    pub engine: Engine,
    pub now: Time,
    pub offset: u64,
    pub appends: Vec<(u64, Record)>,
    pub counted: Vec<Counter>,
    pub stopped: bool,
    /// How often the topic was to be read at once.
    pub reads: u32,
    /// Addresses that were asked for the state.
    pub fetches: Vec<(SocketAddr, SyncProgress)>,
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
            counted: Vec::new(),
            stopped: false,
            reads: 0,
            fetches: Vec::new(),
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
                    assert_eq!(at, self.offset, "an append that could only fail");
                    let (_, value) = entries.last().unwrap();
                    self.appends.push((number, proto::decode(value).unwrap()));
                }
                Output::Count(counter) => self.counted.push(counter),
                Output::FetchState { from, known } => self.fetches.push((from, known)),
                Output::Answer { outcome, .. } => self.answers.push(outcome),
                Output::ReadLog => self.reads += 1,
                Output::Stopped => self.stopped = true,
                _ => {}
            }
        }
    }

    /// Lets time pass, timer by timer.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(due) = self.engine.next_timer().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.feed(Input::Tick);
        }
        self.now = end;
    }

    /// Lets time pass until the next timer is due.
    pub fn pass_one(&mut self) {
        let due = self.engine.next_timer().unwrap();
        self.now = self.now.max(due);
        self.feed(Input::Tick);
    }

    /// The records that the node asked to append since the last call.
    pub fn appended(&mut self) -> Vec<(u64, Record)> {
        std::mem::take(&mut self.appends)
    }

    pub fn one_append(&mut self) -> (u64, Record) {
        let mut appends = self.appended();
        assert_eq!(appends.len(), 1, "{appends:?}");
        appends.remove(0)
    }

    /// The topic shows a record.
    pub fn show(&mut self, record: &Record) {
        for (_, value) in record.entries() {
            let offset = self.offset;
            self.offset += 1;
            self.feed(Input::Records(vec![(offset, value)]));
        }
        self.feed(Input::LogCaughtUp);
    }

    pub fn count(&self, counter: Counter) -> usize {
        self.counted.iter().filter(|c| **c == counter).count()
    }
}
