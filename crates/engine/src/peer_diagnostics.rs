//! Diagnostic events about the states of other nodes.
//!
//! Many nodes change their state at the same time when a fleet starts or a failure domain is lost.
//! If each node wrote an event for each of these changes, the number of events would grow with the
//! square of the fleet's size, just when the processors are busy with the change itself. The first
//! events of each second are written one by one, which is enough to follow a single failure; the
//! rest are only counted.

use crate::diagnostic::PeerCounts;
use crate::Diagnostic;
use crate::Engine;
use crate::Output;
use proto::Incarnation;
use proto::PeerState;
use std::time::Duration;
use stdx::Time;

/// The maximum number of events about single nodes per interval.
const MAX_EVENTS_PER_INTERVAL: u32 = 4;

/// The interval for which events about single nodes are limited and further changes counted.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Limits the rate of events about single nodes and counts the changes beyond it.
#[derive(Debug, Default)]
pub(crate) struct PeerDiagnostics {
    /// The end of the current interval.
    interval_end: Time,
    reported: u32,
    suppressed: PeerCounts,
}

impl PeerDiagnostics {
    /// When [`Engine::flush_peer_counts`] next has something to report.
    pub(crate) fn next_timer(&self) -> Option<Time> {
        (!self.suppressed.is_empty()).then_some(self.interval_end)
    }
}

impl Engine {
    pub(crate) fn report_peer_change(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        state: PeerState,
    ) {
        self.flush_peer_counts(now);
        if now >= self.peer_diagnostics.interval_end {
            self.peer_diagnostics.interval_end = now + REPORT_INTERVAL;
            self.peer_diagnostics.reported = 0;
        }
        let Some(peer) = self.members.get(incarnation) else {
            return;
        };
        if self.peer_diagnostics.reported >= MAX_EVENTS_PER_INTERVAL {
            return self.peer_diagnostics.suppressed.add(state);
        }
        self.peer_diagnostics.reported += 1;
        self.outputs.push(Output::Diagnostic(Diagnostic::Peer {
            incarnation,
            addr: peer.instance.addr,
            state,
            accepts_work: peer.accepts_work,
        }));
    }

    /// Reports the number of changes that were not written one by one, once their interval is over.
    pub(crate) fn flush_peer_counts(&mut self, now: Time) {
        if now < self.peer_diagnostics.interval_end || self.peer_diagnostics.suppressed.is_empty() {
            return;
        }
        let changed = std::mem::take(&mut self.peer_diagnostics.suppressed);
        let mut known_peers = PeerCounts::default();
        for peer in self.members.peers() {
            known_peers.add(peer.state);
        }
        self.outputs.push(Output::Diagnostic(Diagnostic::Peers {
            changed,
            known: known_peers,
        }));
    }
}
