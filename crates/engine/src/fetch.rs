//! Rules and views from peers, while the store does not answer.

use crate::Counter;
use crate::Engine;
use crate::Output;
use bytes::Bytes;
use journal::Change;
use proto::Datagram;
use proto::MemberMessage;
use proto::PeerState;
use proto::Progress;
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
    ahead: Option<(SocketAddr, Progress)>,
}

impl Engine {
    /// This node's state for a peer that knows so much; nothing if this node knows no more itself.
    pub fn state_beyond(&self, theirs: Progress) -> Option<Bytes> {
        let has_more = self.log.ready && self.journal.progress().has_more_than(theirs);
        has_more.then(|| Bytes::from(proto::encode(&self.journal)))
    }

    /// A peer says how much it knows.
    pub(crate) fn on_peer_progress(&mut self, now: Time, from: SocketAddr, theirs: Progress) {
        if !theirs.has_more_than(self.journal.progress()) {
            return;
        }
        let furthest = |(_, known): (_, Progress)| theirs.has_more_than(known);
        if self.fetch.ahead.is_none_or(furthest) {
            self.fetch.ahead = Some((from, theirs));
        }
        // Each publication reaches some nodes a little earlier. Asking at once would have all the
        // others fetch what the store is about to give them.
        let grace = if self.log.down { Duration::ZERO } else { GRACE };
        self.schedule_fetch(now, grace);
    }

    /// Tells a few others at once how much this node knows. Probes tell as well, but only one peer a
    /// second; while few nodes reach the store, old and new rules would stand side by side for long.
    pub(crate) fn spread_progress(&mut self) {
        let others = self.members.peers();
        let others = others.filter(|peer| peer.state != PeerState::Dead);
        let others = others.map(|peer| peer.instance.addr);
        let mut addrs: Vec<SocketAddr> = others.filter(|addr| *addr != self.me.addr).collect();
        for _ in 0..FANOUT.min(addrs.len()) {
            let to = addrs.swap_remove(self.rng.random_range(0..addrs.len()));
            let datagram = Datagram::Member {
                version: PROTOCOL_VERSION,
                progress: self.journal.progress(),
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
        let known = self.journal.progress();
        let ahead = self.fetch.ahead.take();
        let ahead = ahead.filter(|(_, theirs)| theirs.has_more_than(known));
        if ahead.is_none() && self.log.ready {
            return;
        }
        let from = ahead
            .map(|(from, _)| from)
            .or_else(|| self.any_peer_address());
        if let Some(from) = from {
            self.count(Counter::StateFetch);
            self.out.push(Output::FetchState { from, known });
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

    /// A peer's state, as [`Engine::state_beyond`] gave it there.
    pub(crate) fn on_peer_state(&mut self, now: Time, state: &[u8]) {
        let change = match proto::decode(state) {
            Ok(state) => self.journal.adopt_with(state, self.cfg.parse_rules),
            Err(_) => Change::Broken,
        };
        match change {
            Change::Restored => {
                self.log.ready = true;
                self.on_restored(now);
                self.spread_progress();
                self.out.push(Output::ReadLog);
            }
            Change::Broken => self.count(Counter::BrokenRecord),
            _ => {}
        }
    }
}
