//! Collects evidence that the rules of this node are the newest, which keys of organisations need
//! to be trusted.

use crate::Diagnostic;
use crate::Engine;
use crate::Output;
use organisation::FreshnessAction;
use proto::Datagram;
use proto::FreshnessMessage;
use proto::PeerState;
use proto::SyncProgress;
use proto::PROTOCOL_VERSION;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

/// The number of first attempts that go to nodes of this node's failure domain. Later ones go to
/// any node.
const OWN_DOMAIN_ATTEMPTS: u32 = 2;

impl Engine {
    /// Whether evidence is needed: only if keys exist and have to be refused in time after a
    /// revocation.
    fn needs_freshness(&self) -> bool {
        self.cfg.revocation_bound.is_some() && self.journal.rules.organisations.is_some()
    }

    pub(crate) fn next_freshness_timer(&self) -> Option<Time> {
        if !self.needs_freshness() {
            return None;
        }
        self.freshness.next_timer(self.is_domain_leader)
    }

    /// Queries the store or peers if evidence is due.
    pub(crate) fn tick_freshness(&mut self, now: Time) {
        if !self.needs_freshness() {
            return;
        }
        self.report_key_trust_change(now);
        let due = self.freshness.next_timer(self.is_domain_leader);
        if due.is_none_or(|due| now < due) {
            return;
        }
        self.is_domain_leader = self.members.is_domain_leader(now);
        for action in self
            .freshness
            .tick(now, self.is_domain_leader, &mut self.rng)
        {
            match action {
                FreshnessAction::QueryStore => self.outputs.push(Output::CheckRules),
                FreshnessAction::QueryPeer {
                    request_id,
                    attempt,
                } => {
                    if let Some(to) = self.freshness_peer(attempt) {
                        self.send_freshness(to, FreshnessMessage::Query { request_id });
                    }
                }
            }
        }
    }

    /// The peer to query: first the leaders of this node's failure domain, then any peer, because
    /// the whole domain may be cut off from the store.
    fn freshness_peer(&mut self, attempt: u32) -> Option<SocketAddr> {
        if attempt < OWN_DOMAIN_ATTEMPTS {
            let leader = self.members.domain_leader_candidate(attempt as usize);
            if let Some(leader) = leader {
                return Some(leader.addr);
            }
        }
        let alive = self.members.peers();
        let alive = alive.filter(|peer| peer.state == PeerState::Alive);
        let addrs: Vec<SocketAddr> = alive.map(|peer| peer.instance.addr).collect();
        if addrs.is_empty() {
            return None;
        }
        Some(addrs[self.rng.random_range(0..addrs.len())])
    }

    pub(crate) fn on_freshness_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: FreshnessMessage,
    ) {
        match message {
            FreshnessMessage::Query { request_id } => {
                // A node without evidence answers with the maximum age, so that the other node
                // queries another one at once.
                let age = self.freshness.age(now).unwrap_or(Duration::MAX);
                let age_ms = age.as_millis().saturating_add(1);
                let report = FreshnessMessage::Report {
                    request_id,
                    rules_version: self.journal.rules_version,
                    age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
                };
                self.send_freshness(from, report);
            }
            FreshnessMessage::Report {
                request_id,
                rules_version,
                age_ms,
            } => {
                let is_catch_up_report =
                    self.on_rules_version_report(now, from, request_id, rules_version);
                if rules_version > self.journal.rules_version {
                    // The evidence is for newer rules than this node has.
                    let theirs = SyncProgress {
                        rules_version,
                        next_offset: self.journal.next_offset,
                    };
                    return self.on_peer_progress(now, from, theirs);
                }
                if is_catch_up_report {
                    return;
                }
                let age = Duration::from_millis(age_ms.into());
                self.freshness.on_report(now, request_id, age);
                self.report_key_trust_change(now);
            }
        }
    }

    /// The store has confirmed which version is the newest.
    pub(crate) fn on_rules_checked(&mut self, now: Time, asked: Time, version: u64) {
        if version > self.journal.rules_version {
            // The rules were passed in before this input, but could not be read.
            return self.on_rules_check_failed(now);
        }
        self.freshness.on_store_confirmed(asked);
        self.report_key_trust_change(now);
    }

    /// The store did not confirm the version of the rules here.
    pub(crate) fn on_rules_check_failed(&mut self, now: Time) {
        self.freshness.on_store_failed(now);
    }

    /// Emits a diagnostic when keys begin or cease to be trusted.
    fn report_key_trust_change(&mut self, now: Time) {
        let trusts = self.freshness.may_trust(now);
        if trusts == std::mem::replace(&mut self.keys_were_trusted, trusts) {
            return;
        }
        self.outputs.push(Output::Diagnostic(Diagnostic::Keys {
            trusted: trusts,
            rules: self.journal.rules_version,
            age: self.freshness.age(now),
        }));
    }

    pub(crate) fn send_freshness(&mut self, to: SocketAddr, message: FreshnessMessage) {
        let datagram = Datagram::Freshness {
            version: PROTOCOL_VERSION,
            message,
        };
        self.outputs.push(Output::Datagram { to, datagram });
    }
}
