//! Decides when a node that has started while the store does not answer may put the rules of a peer
//! in force.
//!
//! A single peer may itself have missed the newest rules. So the node queries every other node that
//! may run, and waits until each has reported a version no newer than the one held here. A node
//! that does not answer may hold newer rules behind a partition. Then this node accepts no requests
//! until that node or the store answers: work that runs under outdated rules cannot be undone.
//!
//! With shared store reads the views do not list all nodes. There the state of one peer suffices,
//! and newer rules are announced to every node.

use crate::Diagnostic;
use crate::Engine;
use crate::Output;
use indexmap::IndexMap;
use indexmap::IndexSet;
use proto::FreshnessMessage;
use proto::PeerState;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

/// Interval between two queries to a node that has not reported its rules version.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of nodes that are queried at once, which bounds the traffic while a large part of a
/// fleet does not answer.
const MAX_QUERIES: usize = 64;

/// The rules versions that other nodes have reported since this process started.
#[derive(Debug, Default)]
pub(crate) struct CatchUp {
    /// The id of all queries, once there are any. It is random, so that a report to an earlier
    /// process at this address is not taken for one to this process.
    request_id: Option<u64>,
    /// When the missing nodes are queried next.
    pub(crate) due: Option<Time>,
    /// The newest version that each address has reported.
    reported: IndexMap<SocketAddr, u64>,
    /// The newest version that any node has announced. The announcing node may have restarted since,
    /// and would report an older one.
    newest_announced: u64,
    /// The number of nodes queried so far.
    queried: usize,
    /// What was last logged.
    logged: Option<Diagnostic>,
}

impl Engine {
    /// Begins to wait for the reports of all nodes, after `from` has sent its state.
    pub(crate) fn begin_catch_up(&mut self, now: Time, from: SocketAddr) {
        let version = self.journal.rules_version;
        self.record_rules_version(from, version);
        self.catch_up.due = Some(now);
    }

    /// Takes a report of a rules version. Returns whether it answers a query of this module.
    pub(crate) fn on_rules_version_report(
        &mut self,
        now: Time,
        from: SocketAddr,
        request_id: u64,
        version: u64,
    ) -> bool {
        if self.catch_up.request_id != Some(request_id) {
            return false;
        }
        self.record_rules_version(from, version);
        self.finish_catch_up(now);
        true
    }

    /// Records the version that a node has announced with a message of the membership protocol.
    pub(crate) fn record_announced_version(&mut self, version: u64) {
        self.catch_up.newest_announced = version.max(self.catch_up.newest_announced);
    }

    fn record_rules_version(&mut self, from: SocketAddr, version: u64) {
        let newest = self.catch_up.reported.entry(from).or_default();
        *newest = version.max(*newest);
    }

    /// The other nodes that may hold newer rules: those that have not reported a version, or have
    /// reported a newer one.
    fn unconfirmed_nodes(&self) -> IndexSet<SocketAddr> {
        let listed = self.journal.instances().map(|instance| instance.addr);
        let peers = self.members.peers();
        let running = peers.filter(|peer| peer.state != PeerState::Dead);
        let mut addrs: IndexSet<_> = listed
            .chain(running.map(|peer| peer.instance.addr))
            .collect();
        addrs.retain(|addr| {
            let reported = self.catch_up.reported.get(addr);
            *addr != self.own_instance.addr
                && reported.is_none_or(|version| *version > self.journal.rules_version)
        });
        addrs
    }

    /// Queries the nodes that have not reported, if that is due.
    pub(crate) fn catch_up_if_due(&mut self, now: Time) {
        if self.log.synced {
            if self.catch_up.due.is_some() {
                self.catch_up = CatchUp::default();
            }
            return;
        }
        if self.catch_up.due.is_none_or(|due| due > now) {
            return;
        }
        self.catch_up.due = Some(now + QUERY_INTERVAL);
        let rng = &mut self.rng;
        let request_id = *self.catch_up.request_id.get_or_insert_with(|| rng.random());
        let missing = self.unconfirmed_nodes();
        self.log_catch_up(missing.len());
        let first = self
            .catch_up
            .queried
            .checked_rem(missing.len())
            .unwrap_or(0);
        let next = missing.iter().cycle().skip(first);
        let next: Vec<_> = next.take(missing.len().min(MAX_QUERIES)).copied().collect();
        self.catch_up.queried += next.len();
        for to in next {
            self.send_freshness(to, FreshnessMessage::Query { request_id });
        }
        self.finish_catch_up(now);
    }

    /// Whether rules are held here that are not in force yet.
    pub(crate) fn holds_rules_back(&self) -> bool {
        !self.log.synced && self.journal.rules_version > 0
    }

    /// Puts the rules in force if no other node may hold newer ones.
    fn finish_catch_up(&mut self, now: Time) {
        if self.log.synced || self.catch_up.due.is_none() {
            return;
        }
        let is_outdated = self.catch_up.newest_announced > self.journal.rules_version;
        if is_outdated || !self.unconfirmed_nodes().is_empty() {
            return;
        }
        self.log_catch_up(0);
        self.log.synced = true;
        self.catch_up = CatchUp::default();
        // Without rules in force, the server was not checked when it announced itself.
        self.request_health_check(now);
        self.on_caught_up_from_peers(now);
    }

    fn log_catch_up(&mut self, unconfirmed: usize) {
        let progress = Diagnostic::CatchUp {
            rules: self.journal.rules_version,
            announced: self.catch_up.newest_announced,
            unconfirmed,
        };
        if self.catch_up.logged.as_ref() != Some(&progress) {
            self.catch_up.logged = Some(progress.clone());
            self.outputs.push(Output::Diagnostic(progress));
        }
    }
}
