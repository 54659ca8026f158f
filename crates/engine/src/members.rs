//! The membership controller: roster, probes, loads.

use crate::Counter;
use crate::Engine;
use crate::Output;
use journal::Record;
use membership::Effect;
use proto::Datagram;
use proto::Frame;
use proto::Incarnation;
use proto::LoadReport;
use proto::PROTOCOL_VERSION;
use std::net::SocketAddr;
use stdx::Time;

impl Engine {
    pub(crate) fn on_datagram(&mut self, now: Time, from: SocketAddr, datagram: Datagram) {
        match datagram {
            Datagram::Member {
                version: PROTOCOL_VERSION,
                log_next,
                message,
            } => {
                self.on_peer_offset(now, from, log_next);
                let effects = self.members.on_message(now, from, message);
                self.apply_members(effects);
            }
            _ => self.count(Counter::Unexpected),
        }
    }

    pub(crate) fn tick_members(&mut self, now: Time) {
        self.server.tick(now);
        let load = self.load_report();
        self.members.set_load(load);
        let effects = self.members.tick(now);
        self.apply_members(effects);
    }

    pub(crate) fn leave_members(&mut self, now: Time) {
        let effects = self.members.leave(now);
        self.apply_members(effects);
    }

    /// The log's views name instances that this node has perhaps not heard of yet.
    pub(crate) fn update_roster(&mut self, now: Time) {
        let effects = self.members.set_roster(now, self.journal.instances());
        self.apply_members(effects);
    }

    pub(crate) fn load_report(&self) -> LoadReport {
        LoadReport {
            draining: self.stopping,
            ..self.server.report()
        }
    }

    /// Sends a frame to a node that is known, or was lately.
    pub(crate) fn send_to(&mut self, to: Incarnation, frame: Frame) {
        if to == self.me.incarnation {
            let me = self.me.clone();
            return self.send(&me, frame);
        }
        match self.members.get(to) {
            Some(peer) => {
                let instance = peer.instance.clone();
                self.send(&instance, frame);
            }
            None => self.count(Counter::Unexpected),
        }
    }

    fn apply_members(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let datagram = Datagram::Member {
                        version: PROTOCOL_VERSION,
                        log_next: self.journal.next,
                        message,
                    };
                    self.out.push(Output::Datagram { to, datagram });
                }
                Effect::Changed { .. } => self.count(Counter::PeerChanged),
                Effect::Evict(incarnation) => {
                    self.count(Counter::EvictionAsked);
                    self.append(&Record::Evict {
                        incarnation,
                        by: self.me.incarnation,
                    });
                }
                Effect::TableFull => self.count(Counter::PeerTableFull),
            }
        }
    }
}
