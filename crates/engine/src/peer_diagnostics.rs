//! What is written down of other nodes' states.
//!
//! When many change at once, at a start or when a failure domain is lost, a line for each would be the
//! square of the fleet's size over all nodes, in the seconds in which the processor has other work. The
//! first ones of a second are told one by one, which is enough for the story of a single failure; the
//! rest are counted.

use crate::diagnostic::PeerCounts;
use crate::Diagnostic;
use crate::Engine;
use crate::Output;
use proto::Incarnation;
use proto::PeerState;
use std::time::Duration;
use stdx::Time;

/// Lines about single nodes in a second.
const ONE_BY_ONE: u32 = 4;

/// The span for which the others are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Changes since the last line that counts them.
#[derive(Debug, Default)]
pub(crate) struct PeerDiagnostics {
    /// When the present span ends.
    until: Time,
    told: u32,
    counted: PeerCounts,
}

impl PeerDiagnostics {
    /// When [`Engine::count_peers`] has something to say.
    pub(crate) fn next_timer(&self) -> Option<Time> {
        (!self.counted.is_empty()).then_some(self.until)
    }
}

impl Engine {
    pub(crate) fn note_peer(&mut self, now: Time, incarnation: Incarnation, state: PeerState) {
        self.count_peers(now);
        if now >= self.peer_diagnostics.until {
            self.peer_diagnostics.until = now + SPAN;
            self.peer_diagnostics.told = 0;
        }
        let Some(peer) = self.members.get(incarnation) else {
            return;
        };
        if self.peer_diagnostics.told >= ONE_BY_ONE {
            return self.peer_diagnostics.counted.add(state);
        }
        self.peer_diagnostics.told += 1;
        self.outputs.push(Output::Diagnostic(Diagnostic::Peer {
            incarnation,
            addr: peer.instance.addr,
            state,
            accepts_work: peer.accepts_work,
        }));
    }

    /// Tells how many were not told one by one, once their span is over.
    pub(crate) fn count_peers(&mut self, now: Time) {
        if now < self.peer_diagnostics.until || self.peer_diagnostics.counted.is_empty() {
            return;
        }
        let changed = std::mem::take(&mut self.peer_diagnostics.counted);
        let mut known = PeerCounts::default();
        for peer in self.members.peers() {
            known.add(peer.state);
        }
        self.outputs
            .push(Output::Diagnostic(Diagnostic::Peers { changed, known }));
    }
}
