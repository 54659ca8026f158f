//! Work that has not started at a backend server that has just become slow, and that another
//! instance can run in time.

use crate::job::Job;
use crate::server_report::LOAD_QUERY_INTERVAL;
use crate::server_report::MAX_LOAD_AGE;
use crate::server_report::QUERIED_SIBLINGS;
use crate::Counter;
use crate::Diagnostic;
use crate::Engine;
use crate::Output;
use crate::ServerReport;
use membership::Membership;
use policy::WorkItem;
use proto::LoadReport;
use proto::Outcome;
use proto::RunId;
use std::time::Duration;
use stdx::Time;

/// Number of instances that may have refused a call before. The next one runs it, so that no call
/// fails because it was handed over too often.
const MAX_HAND_OVERS: u8 = 2;

/// How often the waiting work is checked while the server is slow.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Utilisation from which an instance does not count as having room. Up to this the ingress nodes
/// consider it free as well, see `policy::InstanceSelector::has_room`.
const MAX_SIBLING_UTILISATION: u16 = 800;

/// Age from which a reported slowdown is passed to the engine again even if it is unchanged, and the
/// part of its value by which it may change without being passed on before that. Servers report it
/// in every response, and each input has a cost.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
const TOLERATED_CHANGE: u16 = 8;

/// When the node last did what is limited in frequency.
#[derive(Debug, Default)]
pub(crate) struct HandOver {
    checked_at: Option<Time>,
    siblings_asked_at: Option<Time>,
}

impl Engine {
    /// Whether the driver may omit a report of the backend server, because it says nothing that
    /// this node does not know already.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_engine::{Config, Engine, ServerReport};
    /// use stdx::Time;
    ///
    /// # let instance = proto::Instance {
    /// #     incarnation: proto::Incarnation(1),
    /// #     service: "press".into(),
    /// #     failure_domain: "milano-1".into(),
    /// #     region: "lombardia".into(),
    /// #     addr: ([127, 0, 0, 1], 7000).into(),
    /// # };
    /// let engine = Engine::new(Config::default(), instance);
    /// let silent = ServerReport::default();
    /// assert!(engine.may_omit_report(Time::ZERO, silent));
    /// let slow = ServerReport { slowdown_percent: Ok(Some(250)), ..silent };
    /// assert!(!engine.may_omit_report(Time::ZERO, slow));
    /// ```
    pub fn may_omit_report(&self, now: Time, report: ServerReport) -> bool {
        let says_nothing_else = ServerReport {
            slowdown_percent: Ok(None),
            ..report
        } == ServerReport::default();
        if !says_nothing_else || self.has_rate_limit() {
            return false;
        }
        match report.slowdown_percent {
            Ok(None) => true,
            Ok(Some(percent)) => self.knows_slowdown(now, percent),
            Err(_) => false,
        }
    }

    fn knows_slowdown(&self, now: Time, percent: u16) -> bool {
        self.server.slowdown(now).is_some_and(|(known, age)| {
            age < REPORT_INTERVAL && known.abs_diff(percent) <= known / TOLERATED_CHANGE
        })
    }

    /// Refuses a job that is about to be offered to the server, if another instance should run it.
    /// Returns whether it did.
    pub(crate) fn hand_over_offered(&mut self, now: Time, run: RunId, item: &WorkItem) -> bool {
        let Some(due) = self.jobs.get(&run).and_then(hand_over_due) else {
            return false;
        };
        if !self.server.hands_over(now, item, due) || !self.knows_room_elsewhere(now) {
            return false;
        }
        self.hand_over(now, run, due);
        true
    }

    /// Refuses waiting jobs that another instance should run.
    pub(crate) fn hand_over_waiting(&mut self, now: Time) {
        let is_due = |at| now >= at + CHECK_INTERVAL;
        if !self.server.is_slow(now) || !self.hand_over.checked_at.is_none_or(is_due) {
            return;
        }
        self.hand_over.checked_at = Some(now);
        let at = self.own_instance.incarnation;
        let run_of = |number| RunId { at, number };
        let due = |item: &WorkItem| self.jobs.get(&run_of(item.id)).and_then(hand_over_due);
        let waiting = self.server.waiting_to_hand_over(now, due);
        if waiting.is_empty() || !self.knows_room_elsewhere(now) {
            return;
        }
        for run in waiting.into_iter().map(run_of) {
            let due = self.jobs.get(&run).and_then(hand_over_due);
            if let Some(due) = due.filter(|_| self.withdraw(run)) {
                self.hand_over(now, run, due);
            }
        }
    }

    fn hand_over(&mut self, now: Time, run: RunId, due: Time) {
        let Some(job) = self.jobs.get(&run) else {
            return;
        };
        let (slowdown_percent, age) = self.server.slowdown(now).unwrap_or_default();
        let (running, queued, _) = self.server.occupancy();
        self.outputs
            .push(Output::Diagnostic(Diagnostic::HandedOver {
                request: job.request.id.clone(),
                slowdown_percent,
                age,
                running,
                queued: queued as u32,
                due_ms: now.until(due).as_millis() as u64,
            }));
        let refusal = self.server.hand_over_refusal(now, job.admission_sample);
        self.count(Counter::HandOver);
        self.end_job(now, run, Outcome::NotRun(refusal));
    }

    /// Whether another instance of the service is known to have room. If nothing recent is known,
    /// some are asked, as they are by the node of a server that limits its rate.
    fn knows_room_elsewhere(&mut self, now: Time) -> bool {
        let service = &self.own_instance.service;
        if let Some(has_room) = siblings_have_room(&self.members, now, service) {
            return has_room;
        }
        let is_due = |at| now >= at + LOAD_QUERY_INTERVAL;
        if self.hand_over.siblings_asked_at.is_none_or(is_due) {
            self.hand_over.siblings_asked_at = Some(now);
            let effects = self.members.query_loads(service, QUERIED_SIBLINGS);
            self.apply_membership_effects(now, effects);
        }
        false
    }
}

/// The time by which a job should end, if it may be handed over. A call with a key runs only at the
/// home of the key.
fn hand_over_due(job: &Job) -> Option<Time> {
    if job.keyed || job.redirects >= MAX_HAND_OVERS {
        return None;
    }
    Some(job.due)
}

/// Whether a recent report of another instance shows room there at its usual speed; `None` if there
/// is no recent report.
fn siblings_have_room(members: &Membership, now: Time, service: &str) -> Option<bool> {
    let mut loads = members.recent_loads(now, service, MAX_LOAD_AGE).peekable();
    loads.peek()?;
    let has_room = |load: LoadReport| {
        let is_slow = u32::from(load.slowdown_percent) * 2 > u32::from(load.speed.mean_percent) * 3;
        load.utilisation < MAX_SIBLING_UTILISATION && load.level == 0 && !is_slow
    };
    Some(loads.any(has_room))
}
