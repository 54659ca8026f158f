//! This node's backend server as it announces itself: its current incarnation, and whether it
//! accepts work.

use crate::server_report::NamedLimit;
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

/// The newest known incarnation of this node's backend server.
#[derive(Debug)]
pub(crate) struct OwnServer {
    heartbeat: Heartbeat,
    /// Whether it has announced that it is stopping, or said so in a response. That is final for this
    /// incarnation, which may send no further heartbeat.
    pub(crate) is_leaving: bool,
    /// Whether it has confirmed that it is not about to stop.
    health_check: HealthCheck,
    /// When its first heartbeat arrived.
    pub(crate) known_since: Time,
    /// The rate limit that it has named in its responses, if one is in force.
    pub(crate) named_limit: Option<NamedLimit>,
}

/// The health check of the first server incarnation that this node process hears of, and of one with
/// the id of a predecessor whose statements may have been its own.
///
/// An earlier process of this node may already have acknowledged that the server is stopping, and a
/// heartbeat from before that may arrive late. If it were trusted, requests would go to a server
/// that is about to exit and fail seconds after a planned stop. Other incarnations need no check,
/// because they are told apart by their start times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HealthCheck {
    /// Not sent yet.
    Due,
    /// Sent, no answer yet.
    Pending,
    /// The server confirmed that it stays, or need not be asked.
    Passed,
}

impl OwnServer {
    fn accepts_work(&self) -> bool {
        !self.is_leaving && !self.heartbeat.draining && self.health_check == HealthCheck::Passed
    }

    pub(crate) fn id(&self) -> &Arc<str> {
        &self.heartbeat.id
    }

    pub(crate) fn has_id(&self, id: &str) -> bool {
        *self.heartbeat.id == *id
    }

    /// Whether it has named a rate limit that is in force, or said that it is about to stop.
    fn has_stated(&self) -> bool {
        self.named_limit.is_some() || self.is_leaving
    }

    /// Whether a heartbeat is newer than the last one. Heartbeats may arrive late, even those of an
    /// incarnation that has ended. If a late one were applied, the node could send work to a server
    /// that is draining or has exited.
    fn is_older_than(&self, newer: &Heartbeat) -> bool {
        (newer.started_ms, newer.sequence) > (self.heartbeat.started_ms, self.heartbeat.sequence)
    }

    fn is_same_incarnation(&self, other: &Heartbeat) -> bool {
        self.heartbeat.started_ms == other.started_ms && self.heartbeat.id == other.id
    }
}

impl Engine {
    pub(crate) fn on_server_announcement(&mut self, now: Time, announcement: Announcement) {
        match announcement {
            Announcement::Alive(heartbeat) => self.on_heartbeat(now, heartbeat),
            Announcement::Leaves { id } => self.on_server_leaving(now, &id),
        }
    }

    fn on_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) {
        if heartbeat.service != self.own_instance.service {
            return self.count(Counter::WrongServiceHeartbeat);
        }
        match &mut self.own_server {
            Some(server) if !server.is_older_than(&heartbeat) => {
                self.count(Counter::LateHeartbeat);
            }
            Some(server) if server.is_same_incarnation(&heartbeat) => {
                server.heartbeat = heartbeat;
                self.request_health_check(now);
                self.on_server_changed(now, false);
            }
            server => {
                let health_check = match server {
                    None => HealthCheck::Due,
                    // The new incarnation may have made the statement, before this heartbeat.
                    Some(server) if server.has_id(&heartbeat.id) && server.has_stated() => {
                        HealthCheck::Due
                    }
                    Some(_) => HealthCheck::Passed,
                };
                let server = self.own_server.insert(OwnServer {
                    heartbeat,
                    is_leaving: false,
                    health_check,
                    known_since: now,
                    named_limit: None,
                });
                let slots = server.heartbeat.slots;
                self.server.on_server_restart(now, slots);
                self.count(Counter::ServerStarted);
                self.request_health_check(now);
                self.on_server_changed(now, true);
            }
        }
    }

    /// Sends the health check if it is still due. Without rules the path of the check is unknown;
    /// if the rules define none, the heartbeat alone decides.
    pub(crate) fn request_health_check(&mut self, now: Time) {
        if !self.has_rules() {
            return;
        }
        let path = self
            .journal
            .rules
            .health_paths
            .get(&self.own_instance.service);
        let Some(server) = self.own_server.as_mut() else {
            return;
        };
        if server.health_check != HealthCheck::Due {
            return;
        }
        match path {
            Some(path) => {
                server.health_check = HealthCheck::Pending;
                let (id, path) = (server.heartbeat.id.clone(), path.clone());
                self.outputs.push(Output::CheckServer { id, path });
            }
            None => {
                server.health_check = HealthCheck::Passed;
                self.on_server_changed(now, false);
            }
        }
    }

    /// Handles the result of a health check. A server that is unhealthy, about to stop or silent is
    /// asked again after its next heartbeat.
    pub(crate) fn on_server_checked(&mut self, now: Time, id: &str, healthy: bool) {
        let server = self.own_server.as_mut();
        let Some(server) = server.filter(|server| server.has_id(id)) else {
            return;
        };
        if server.health_check != HealthCheck::Pending {
            return;
        }
        server.health_check = if healthy {
            HealthCheck::Passed
        } else {
            HealthCheck::Due
        };
        self.on_server_changed(now, !healthy);
    }

    pub(crate) fn on_server_leaving(&mut self, now: Time, id: &str) {
        let server = self.own_server.as_mut();
        if let Some(server) = server.filter(|server| server.has_id(id)) {
            server.is_leaving = true;
            self.on_server_changed(now, false);
        }
    }

    fn on_server_changed(&mut self, now: Time, is_new_incarnation: bool) {
        self.update_concurrency_bounds();
        let accepts_work = self.server_accepts_work();
        if self.members.set_accepting_work(accepts_work) || is_new_incarnation {
            self.report_own_server(accepts_work);
        }
        if !accepts_work {
            self.refuse_queued_jobs(now);
        }
    }

    fn report_own_server(&mut self, accepts_work: bool) {
        if let Some(server) = &self.own_server {
            self.outputs.push(Output::Diagnostic(Diagnostic::OwnServer {
                id: server.heartbeat.id.clone(),
                accepts_work,
                sequence: server.heartbeat.sequence,
            }));
        }
    }

    /// Refuses jobs that have not started. By their turn the stopping server would no longer be
    /// listening, whereas their ingress nodes can send them to other nodes at once.
    fn refuse_queued_jobs(&mut self, now: Time) {
        let waiting = self.jobs.iter().filter(|(_, job)| job.started.is_none());
        let waiting: Vec<RunId> = waiting.map(|(run, _)| *run).collect();
        for run in waiting {
            if self.withdraw(run) {
                self.end_job(now, run, self.not_run(Reason::Draining));
            }
        }
    }

    /// Whether this node's backend server accepts new work.
    pub(crate) fn server_accepts_work(&self) -> bool {
        !self.cfg.server_announces
            || self
                .own_server
                .as_ref()
                .is_some_and(OwnServer::accepts_work)
    }

    /// The server incarnation that work is sent to. Its address may belong to another server by
    /// now, which refuses requests for this one.
    pub(crate) fn expected_server(&self) -> Option<Arc<str>> {
        let server = self.own_server.as_ref();
        server.map(|server| server.heartbeat.id.clone())
    }

    /// Handles a response from another server at the address of the expected one, which is
    /// therefore gone. The other server may have announced itself already and must not be marked as
    /// stopping.
    pub(crate) fn on_misdirected(&mut self, now: Time, expected: Option<Arc<str>>) {
        if let Some(id) = expected {
            self.on_server_leaving(now, &id);
        }
    }

    /// Applies the concurrency bounds of the rules. A server that announces its number of slots
    /// never gets more requests than that, because it might never answer those that it queues or
    /// drops.
    pub(crate) fn update_concurrency_bounds(&mut self) {
        let limit = self
            .journal
            .rules
            .service_limits(&self.own_instance.service);
        let slots = self
            .own_server
            .as_ref()
            .map(|server| server.heartbeat.slots);
        let max = slots.map_or(limit.max_concurrency, |slots| {
            usable_slots(slots).min(limit.max_concurrency)
        });
        let min = limit.min_concurrency.min(max);
        self.server.set_bounds(min, max, limit.max_queue_time);
    }
}

/// The concurrency at which a server keeps its speed. Some servers slow down when nearly all of
/// their slots are in use, so one in twenty stays free.
fn usable_slots(slots: u16) -> u16 {
    (slots - slots.div_ceil(20)).max(1)
}
