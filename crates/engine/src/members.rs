//! The membership controller: the roster of nodes, their probes and their load reports.

use crate::append_queue::AppendKey;
use crate::Counter;
use crate::Engine;
use crate::LinkEvent;
use crate::Output;
use membership::Effect;
use proto::Datagram;
use proto::Frame;
use proto::Incarnation;
use proto::LoadReport;
use proto::MemberMessage;
use proto::PeerState;
use proto::PROTOCOL_VERSION;
use std::net::SocketAddr;
use stdx::Time;

impl Engine {
    pub(crate) fn on_datagram(&mut self, now: Time, from: SocketAddr, datagram: Datagram) {
        match datagram {
            Datagram::Member {
                version: PROTOCOL_VERSION,
                progress,
                message,
            } => {
                self.on_peer_progress(now, from, progress);
                self.on_member_message(now, from, message);
            }
            Datagram::Lease {
                version: PROTOCOL_VERSION,
                message,
            } => self.on_lease_message(now, from, message),
            Datagram::Freshness {
                version: PROTOCOL_VERSION,
                message,
            } => self.on_freshness_message(now, from, message),
            Datagram::Quota {
                version: PROTOCOL_VERSION,
                message,
            } => self.on_quota_message(now, from, message),
            // A node that runs another protocol version, for example during a rolling upgrade.
            Datagram::Member { .. }
            | Datagram::Lease { .. }
            | Datagram::Freshness { .. }
            | Datagram::Quota { .. } => {
                self.count(Counter::Link(LinkEvent::WrongVersion));
            }
        }
    }

    fn on_member_message(&mut self, now: Time, from: SocketAddr, message: MemberMessage) {
        let report = match &message {
            MemberMessage::Ping { from, load, .. } | MemberMessage::Ack { from, load, .. } => {
                Some((from.instance.incarnation, *load))
            }
            _ => None,
        };
        let effects = self.members.on_message(now, from, message);
        self.apply_membership_effects(now, effects);
        if let Some((peer, load)) = report {
            self.selector.on_report(now, peer, load);
        }
    }

    /// Records a load report that came with an answer.
    pub(crate) fn record_load(&mut self, now: Time, from: Incarnation, load: LoadReport) {
        self.members.on_load_report(now, from, load);
        self.selector.on_report(now, from, load);
        self.selector.on_answered(from);
    }

    pub(crate) fn tick_members(&mut self, now: Time) {
        if std::mem::take(&mut self.roster_changed) {
            let effects = self.members.set_roster(now, self.journal.instances());
            self.apply_membership_effects(now, effects);
        }
        self.check_siblings(now);
        self.server.tick(now);
        let load = self.load_report();
        self.members.set_load(load);
        let effects = self.members.tick(now);
        self.apply_membership_effects(now, effects);
        self.flush_peer_counts(now);
    }

    pub(crate) fn announce_leave(&mut self, now: Time) {
        let effects = self.members.leave(now);
        self.apply_membership_effects(now, effects);
    }

    /// Marks the roster as changed, because the views in the log may list instances that this node
    /// does not know yet. Membership is updated once per batch of records, since a start reads the
    /// whole history of the views.
    pub(crate) fn mark_roster_changed(&mut self, _now: Time) {
        self.roster_changed = true;
    }

    pub(crate) fn load_report(&self) -> LoadReport {
        LoadReport {
            draining: self.stopping,
            ..self.server.report()
        }
    }

    /// Sends a frame to a node that is in the membership table, or to this node itself.
    pub(crate) fn send_to(&mut self, to: Incarnation, frame: Frame) {
        if to == self.own_instance.incarnation {
            let own_instance = self.own_instance.clone();
            return self.send(&own_instance, frame);
        }
        match self.members.get(to) {
            Some(peer) => {
                let instance = peer.instance.clone();
                self.send(&instance, frame);
            }
            None => self.count(Counter::UnexpectedMessage),
        }
    }

    pub(crate) fn apply_membership_effects(&mut self, now: Time, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let datagram = Datagram::Member {
                        version: PROTOCOL_VERSION,
                        progress: self.journal.progress(),
                        message,
                    };
                    self.outputs.push(Output::Datagram { to, datagram });
                }
                Effect::PeerChanged { incarnation, state } => {
                    self.count(Counter::PeerChanged);
                    self.report_peer_change(now, incarnation, state);
                    self.update_eligibility(now, incarnation, state);
                    self.quota.invalidate_election();
                    // An eviction may have been queued throughout an outage of the log. If the peer
                    // is no longer dead, it would remove a live instance together with its share of
                    // the keys.
                    if state != PeerState::Dead {
                        self.log.appends.remove(AppendKey::Evict(incarnation));
                    }
                }
                Effect::Evict(incarnation) => {
                    self.count(Counter::EvictionRequested);
                    self.queue_append(AppendKey::Evict(incarnation));
                }
                Effect::TableFull => self.count(Counter::PeerTableFull),
            }
        }
    }
}
