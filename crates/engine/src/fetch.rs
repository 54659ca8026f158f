//! The log's state from peers, while the log itself cannot be read.

use crate::Counter;
use crate::Engine;
use crate::Output;
use bytes::Bytes;
use journal::Change;
use journal::State;
use proto::Datagram;
use proto::MemberMessage;
use proto::PROTOCOL_VERSION;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

/// How long a node that reaches the log waits for the log itself before it asks a peer.
const GRACE: Duration = Duration::from_millis(500);

/// The longest wait between two fetches.
const INTERVAL: Duration = Duration::from_secs(1);

/// How many others a node tells that new rules are in force.
const FANOUT: usize = 3;

/// What is missing and who has it.
#[derive(Debug, Default)]
pub(crate) struct FetchLink {
    pub(crate) due: Option<Time>,
    /// A peer that knows more than this node, and how far it is.
    ahead: Option<(SocketAddr, u64)>,
}

impl Engine {
    /// The state for a peer that lacks the records from `next` on, encoded; nothing if this node
    /// knows no more itself.
    pub fn state_after(&self, next: u64) -> Option<Bytes> {
        let newer = self.log.ready && self.journal.next > next;
        newer.then(|| Bytes::from(proto::encode(&self.journal)))
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
        let others = self.journal.instances().map(|instance| instance.addr);
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
        let mut addrs: Vec<SocketAddr> = listed.chain(self.cfg.contacts.iter().copied()).collect();
        addrs.retain(|addr| *addr != self.me.addr);
        if addrs.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..addrs.len());
        Some(addrs[index])
    }

    /// A peer's state, as [`Engine::state_after`] gave it there.
    pub(crate) fn on_peer_state(&mut self, now: Time, state: &[u8]) {
        let change = match proto::decode::<State>(state) {
            Ok(state) => self.journal.adopt(state),
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
}
