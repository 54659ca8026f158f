//! The own backend server, as it announces itself: which incarnation is there, and whether it takes
//! work.

use crate::Announcement;
use crate::Counter;
use crate::Diagnostic;
use crate::Engine;
use crate::Heartbeat;
use crate::Output;
use proto::Reason;
use proto::RunId;
use std::sync::Arc;
use stdx::Time;

/// The newest incarnation of the own backend server that was heard of.
#[derive(Debug)]
pub(crate) struct OwnServer {
    heartbeat: Heartbeat,
    /// It has said that it leaves. That is final for this incarnation: it may not be heard again.
    left: bool,
    /// Whether it has to say, asked now, that it stays.
    check: Check,
}

/// The question to the first server that a process of the node hears.
///
/// An earlier process beside it may have acknowledged that it leaves, and a heartbeat from before may
/// arrive late. Believed, it would bring requests to a server that is about to end; one would see
/// them fail seconds after a planned stop. Later incarnations are told apart by their start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Check {
    /// To be asked.
    Due,
    /// Asked, without an answer yet.
    Asked,
    /// It stays, or need not be asked.
    Passed,
}

impl OwnServer {
    fn is_open(&self) -> bool {
        !self.left && !self.heartbeat.draining && self.check == Check::Passed
    }

    /// Heartbeats arrive late at times, also those of an incarnation that has ended. Taken for
    /// news, one would open a server that drains, or send work to one that is gone.
    fn is_overtaken_by(&self, newer: &Heartbeat) -> bool {
        (newer.started_ms, newer.sequence) > (self.heartbeat.started_ms, self.heartbeat.sequence)
    }

    fn is_same(&self, other: &Heartbeat) -> bool {
        self.heartbeat.started_ms == other.started_ms && self.heartbeat.id == other.id
    }
}

impl Engine {
    pub(crate) fn on_server_announcement(&mut self, now: Time, announcement: Announcement) {
        match announcement {
            Announcement::Alive(heartbeat) => self.on_heartbeat(now, heartbeat),
            Announcement::Leaves { id } => self.on_leaves(now, &id),
        }
    }

    fn on_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) {
        if heartbeat.service != self.own_instance.service {
            return self.count(Counter::WrongServiceHeartbeat);
        }
        match &mut self.own_server {
            Some(known) if !known.is_overtaken_by(&heartbeat) => {
                self.count(Counter::LateHeartbeat);
            }
            Some(known) if known.is_same(&heartbeat) => {
                known.heartbeat = heartbeat;
                self.check_server(now);
                self.on_server_changed(now, false);
            }
            known => {
                let check = match known {
                    None => Check::Due,
                    Some(_) => Check::Passed,
                };
                let known = self.own_server.insert(OwnServer {
                    heartbeat,
                    left: false,
                    check,
                });
                let slots = known.heartbeat.slots;
                self.server.on_server_restart(now, slots);
                self.count(Counter::ServerStarted);
                self.check_server(now);
                self.on_server_changed(now, true);
            }
        }
    }

    /// Asks the server whether it stays, if that is still open. Without rules it is not known where,
    /// and without a place to ask there is nothing to go by but its heartbeat.
    pub(crate) fn check_server(&mut self, now: Time) {
        if !self.has_rules() {
            return;
        }
        let path = self
            .journal
            .rules
            .health_paths
            .get(&self.own_instance.service);
        let Some(known) = self.own_server.as_mut() else {
            return;
        };
        if known.check != Check::Due {
            return;
        }
        match path {
            Some(path) => {
                known.check = Check::Asked;
                let (id, path) = (known.heartbeat.id.clone(), path.clone());
                self.outputs.push(Output::CheckServer { id, path });
            }
            None => {
                known.check = Check::Passed;
                self.on_server_changed(now, false);
            }
        }
    }

    /// A server that does not stay, or does not answer, is asked again after its next heartbeat.
    pub(crate) fn on_server_checked(&mut self, now: Time, id: &str, healthy: bool) {
        let known = self.own_server.as_mut();
        let Some(known) = known.filter(|known| *known.heartbeat.id == *id) else {
            return;
        };
        if known.check != Check::Asked {
            return;
        }
        known.check = if healthy { Check::Passed } else { Check::Due };
        self.on_server_changed(now, !healthy);
    }

    fn on_leaves(&mut self, now: Time, id: &str) {
        let known = self.own_server.as_mut();
        if let Some(known) = known.filter(|known| *known.heartbeat.id == *id) {
            known.left = true;
            self.on_server_changed(now, false);
        }
    }

    fn on_server_changed(&mut self, now: Time, another: bool) {
        self.update_concurrency_bounds();
        let accepts_work = self.server_accepts_work();
        if self.members.set_accepting_work(accepts_work) || another {
            self.note_own_server(accepts_work);
        }
        if !accepts_work {
            self.refuse_queued_jobs(now);
        }
    }

    fn note_own_server(&mut self, accepts_work: bool) {
        if let Some(known) = &self.own_server {
            self.outputs.push(Output::Diagnostic(Diagnostic::OwnServer {
                id: known.heartbeat.id.clone(),
                accepts_work,
                sequence: known.heartbeat.sequence,
            }));
        }
    }

    /// Work that waits for a server that leaves would reach it when it has stopped listening. Its
    /// entry gives it to another node at once.
    fn refuse_queued_jobs(&mut self, now: Time) {
        let waiting = self.jobs.iter().filter(|(_, job)| job.started.is_none());
        let waiting: Vec<RunId> = waiting.map(|(run, _)| *run).collect();
        for run in waiting {
            if self.withdraw(run) {
                self.end_job(now, run, self.not_run(Reason::Draining));
            }
        }
    }

    /// Whether the own backend server may be given new work.
    pub(crate) fn server_accepts_work(&self) -> bool {
        !self.cfg.server_announces || self.own_server.as_ref().is_some_and(OwnServer::is_open)
    }

    /// The incarnation that work is meant for. The address may belong to another server by now,
    /// which refuses what is not meant for it.
    pub(crate) fn expected_server(&self) -> Option<Arc<str>> {
        let known = self.own_server.as_ref();
        known.map(|known| known.heartbeat.id.clone())
    }

    /// Another server answered at the address in place of the expected one, which is gone. The other
    /// one may have announced itself meanwhile, and is not meant.
    pub(crate) fn on_misdirected(&mut self, now: Time, expected: Option<Arc<str>>) {
        if let Some(id) = expected {
            self.on_leaves(now, &id);
        }
    }

    /// The bounds of the rules; a server that tells its slots is never given more than those,
    /// because what it has to queue, or can't, it may never answer.
    pub(crate) fn update_concurrency_bounds(&mut self) {
        let limit = self
            .journal
            .rules
            .service_limits(&self.own_instance.service);
        let slots = self.own_server.as_ref().map(|known| known.heartbeat.slots);
        let most = slots.map_or(limit.max_concurrency, |slots| {
            below_knee(slots).min(limit.max_concurrency)
        });
        let least = limit.min_concurrency.min(most);
        self.server.set_bounds(least, most, limit.queue);
    }
}

/// Some servers slow down when nearly all of their slots are taken; one in twenty is left free.
fn below_knee(slots: u16) -> u16 {
    (slots - slots.div_ceil(20)).max(1)
}
