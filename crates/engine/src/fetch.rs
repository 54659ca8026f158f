//! The log's state from peers, while the log itself cannot be read.

use crate::Counter;
use crate::Engine;
use crate::Output;
use bytes::Bytes;
use journal::Change;
use journal::State;
use proto::Datagram;
use proto::MemberMessage;
use proto::PeerState;
use proto::PROTOCOL_VERSION;
use rand::RngExt;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::data;
use stdx::Time;

/// How long a node that reaches the log waits for the log itself before it asks a peer.
const GRACE: Duration = Duration::from_millis(500);

/// The longest wait between two fetches.
const INTERVAL: Duration = Duration::from_secs(1);

/// How many others a node tells that new rules are in force.
const FANOUT: usize = 3;

/// The most bytes of records that are kept for peers: two of the largest rules files fit.
const MAX_TAIL: usize = 640 * 1024;

data! {
    /// What a node tells a peer that lacks records.
    enum News {
        /// The records that it lacks, so that it takes every view in turn.
        Records(Vec<(u64, Bytes)>),
        /// The state, where those records are not at hand any more.
        State(Box<State>),
    }
}

/// The newest records, without a gap.
#[derive(Debug, Default)]
pub(crate) struct Tail {
    records: VecDeque<(u64, Bytes)>,
    bytes: usize,
}

impl Tail {
    /// Takes a record that was folded.
    pub(crate) fn push(&mut self, offset: u64, record: Bytes) {
        if self
            .records
            .back()
            .is_some_and(|(last, _)| last + 1 != offset)
        {
            self.records.clear();
            self.bytes = 0;
        }
        self.bytes += record.len();
        self.records.push_back((offset, record));
        while self.bytes > MAX_TAIL {
            let Some((_, oldest)) = self.records.pop_front() else {
                return;
            };
            self.bytes -= oldest.len();
        }
    }

    /// The records from `next` on, if all of them are here.
    fn after(&self, next: u64) -> Option<Vec<(u64, Bytes)>> {
        let (first, _) = self.records.front()?;
        let skip = usize::try_from(next.checked_sub(*first)?).ok()?;
        Some(self.records.iter().skip(skip).cloned().collect())
    }
}

/// What is missing and who has it.
#[derive(Debug, Default)]
pub(crate) struct FetchLink {
    pub(crate) due: Option<Time>,
    /// A peer that knows more than this node, and how far it is.
    ahead: Option<(SocketAddr, u64)>,
}

impl Engine {
    /// News for a peer that lacks the records from `next` on, encoded; nothing if this node
    /// knows no more itself.
    pub fn state_after(&self, next: u64) -> Option<Bytes> {
        if !self.log.ready || self.journal.next <= next {
            return None;
        }
        let news = match self.log.tail.after(next) {
            Some(records) => News::Records(records),
            None => News::State(Box::new(self.journal.clone())),
        };
        Some(Bytes::from(proto::encode(&news)))
    }

    /// A peer says how far it has read the log.
    pub(crate) fn on_peer_offset(&mut self, now: Time, from: SocketAddr, next: u64) {
        if next <= self.journal.next {
            return;
        }
        let furthest = self.fetch.ahead.is_none_or(|(_, known)| known < next);
        if furthest {
            self.fetch.ahead = Some((from, next));
        }
        // Each publication reaches some nodes a little earlier. Asking at once would have all the
        // others fetch what the log is about to give them.
        let grace = if self.log.down { Duration::ZERO } else { GRACE };
        self.schedule_fetch(now, grace);
    }

    /// Tells a few others at once how far this node is. Probes tell as well, but only one peer a
    /// second; while few nodes reach the log, old and new rules would stand side by side for long.
    pub(crate) fn spread_offset(&mut self) {
        let others = self.members.peers();
        let others = others.filter(|peer| peer.state != PeerState::Dead);
        let others = others.map(|peer| peer.instance.addr);
        let mut addrs: Vec<SocketAddr> = others.filter(|addr| *addr != self.me.addr).collect();
        for _ in 0..FANOUT.min(addrs.len()) {
            let to = addrs.swap_remove(self.rng.random_range(0..addrs.len()));
            let datagram = Datagram::Member {
                version: PROTOCOL_VERSION,
                log_next: self.journal.next,
                message: MemberMessage::Gossip {
                    rumours: Vec::new(),
                },
            };
            self.out.push(Output::Datagram { to, datagram });
        }
    }

    pub(crate) fn on_log_unreachable(&mut self, now: Time) {
        self.log.down = true;
        if !self.log.ready {
            self.schedule_fetch(now, Duration::ZERO);
        }
    }

    pub(crate) fn schedule_fetch(&mut self, now: Time, after: Duration) {
        self.fetch.due.get_or_insert(now + after);
    }

    pub(crate) fn run_fetch(&mut self, now: Time) {
        if self.fetch.due.is_none_or(|due| due > now) {
            return;
        }
        self.fetch.due = None;
        let next = self.journal.next;
        let ahead = self.fetch.ahead.take().filter(|(_, theirs)| *theirs > next);
        if ahead.is_none() && self.log.ready {
            return;
        }
        let from = ahead
            .map(|(from, _)| from)
            .or_else(|| self.any_peer_address());
        if let Some(from) = from {
            self.count(Counter::StateFetch);
            self.out.push(Output::FetchState { from, next });
        }
        if !self.log.ready {
            let wait = INTERVAL.mul_f64(self.rng.random_range(0.5..1.0));
            self.schedule_fetch(now, wait);
        }
    }

    /// A contact address or a node that the state names already.
    fn any_peer_address(&mut self) -> Option<SocketAddr> {
        let listed = self.journal.instances().map(|instance| instance.addr);
        let living = self.members.peers();
        let living = living.filter(|peer| peer.state == PeerState::Alive);
        let known = listed.chain(living.map(|peer| peer.instance.addr));
        let mut addrs: Vec<SocketAddr> = known.chain(self.cfg.contacts.iter().copied()).collect();
        addrs.retain(|addr| *addr != self.me.addr);
        if addrs.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..addrs.len());
        Some(addrs[index])
    }

    /// A peer's state, as [`Engine::state_after`] gave it there.
    pub(crate) fn on_peer_state(&mut self, now: Time, news: &[u8]) {
        let change = match proto::decode(news) {
            Ok(News::Records(records)) => return self.on_peer_records(now, records),
            Ok(News::State(state)) => self.journal.adopt_with(*state, self.cfg.parse_rules),
            Err(_) => Change::Broken,
        };
        match change {
            Change::Restored => {
                self.log.ready = true;
                self.on_restored(now);
                self.spread_offset();
                self.out.push(Output::ReadLog);
            }
            Change::Broken => self.count(Counter::BrokenRecord),
            _ => {}
        }
    }

    fn on_peer_records(&mut self, now: Time, records: Vec<(u64, Bytes)>) {
        let before = self.journal.next;
        self.on_records(now, records);
        // From the start of the stream on, it is the same as having read the log.
        self.log.ready |= before == 0 && self.journal.next > 0;
    }
}
