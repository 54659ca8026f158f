//! Quarantine of requests that are suspected of crashing backend servers. Suspects are reported to
//! the other nodes of the service.

use crate::timers::Timer;
use crate::Counter;
use crate::Engine;
use policy::Quarantine;
use policy::Verdict;
use proto::hash64;
use proto::Fingerprint;
use proto::Frame;
use proto::Incarnation;
use proto::Instance;
use proto::Outcome;
use proto::Reason;
use proto::Refusal;
use proto::Request;
use proto::RunId;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

/// The maximum number of suspect jobs that wait to be run.
const MAX_WAITING_JOBS: usize = 64;

/// The maximum number of crashes that this node reports per second. A server that breaks every
/// connection must not flood the other nodes with reports.
const MAX_REPORTS_PER_SECOND: u32 = 200;

/// When a report is sent again. A frame is lost together with its connection, and a node without
/// the report would let its own server crash.
const RESEND_DELAYS: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(3)];

/// A crash report to be sent again.
#[derive(Debug)]
struct CrashReport {
    at: Time,
    request: Fingerprint,
    crashes: u32,
}

/// Requests that are suspected of crashing servers.
#[derive(Debug)]
pub(crate) struct CrashSuspects {
    requests: Quarantine<Fingerprint>,
    /// Suspects among the calls that this node made, to any service, by a hash of the call.
    outgoing_calls: Quarantine<u64>,
    /// The suspect job that is running or in the server's queue. Only one is admitted at a time.
    admitted: Option<RunId>,
    waiting: VecDeque<RunId>,
    pending_resends: Vec<CrashReport>,
    reports_in_window: u32,
    reports_window_start: Time,
}

impl CrashSuspects {
    pub(crate) fn new() -> Self {
        Self {
            requests: Quarantine::new(),
            outgoing_calls: Quarantine::new(),
            admitted: None,
            waiting: VecDeque::new(),
            pending_resends: Vec::new(),
            reports_in_window: 0,
            reports_window_start: Time::ZERO,
        }
    }

    fn take_report_permit(&mut self, now: Time) -> bool {
        if now.since(self.reports_window_start) >= Duration::from_secs(1) {
            self.reports_window_start = now;
            self.reports_in_window = 0;
        }
        self.reports_in_window += 1;
        self.reports_in_window <= MAX_REPORTS_PER_SECOND
    }

    /// Removes a waiting job. Returns whether it was there.
    pub(crate) fn withdraw(&mut self, run: RunId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| *waiting != run);
        self.waiting.len() < before
    }
}

impl Engine {
    /// Whether a job may be offered to the server now. Otherwise it has been refused, or waits.
    pub(crate) fn check_quarantine(&mut self, now: Time, run: RunId, request: Fingerprint) -> bool {
        if !self.cfg.policy.quarantine {
            return true;
        }
        match self.suspects.requests.verdict(now, &request) {
            Verdict::Clear => true,
            Verdict::Refused(remaining) => {
                let refusal = Refusal::new(Reason::Quarantined, remaining);
                self.end_job(now, run, Outcome::NotRun(refusal));
                false
            }
            Verdict::Suspect if self.suspects.admitted.is_none() => {
                self.suspects.admitted = Some(run);
                true
            }
            Verdict::Suspect if self.suspects.waiting.len() < MAX_WAITING_JOBS => {
                self.suspects.waiting.push_back(run);
                false
            }
            Verdict::Suspect => {
                self.end_job(now, run, self.not_run(Reason::TableFull));
                false
            }
        }
    }

    /// Clears a request after a run of it got a complete response.
    pub(crate) fn clear_suspect(&mut self, now: Time, request: Fingerprint) {
        self.suspects.requests.record_completed(now, request);
    }

    /// Records that the connection broke while the request ran. The nodes of the service are told
    /// before the ingress node gets its answer, so that they know of the crash when the retry
    /// arrives.
    pub(crate) fn report_crash(&mut self, now: Time, request: Fingerprint) {
        let own_incarnation = self.own_instance.incarnation;
        let crashes = self
            .suspects
            .requests
            .record_crash(now, request, own_incarnation);
        let Some(crashes) = crashes.filter(|_| self.suspects.take_report_permit(now)) else {
            return;
        };
        self.count(Counter::CrashSuspect);
        self.broadcast_crash_report(request, crashes);
        for delay in RESEND_DELAYS {
            let at = now + delay;
            self.timers.set(at, Timer::CrashReports);
            self.suspects.pending_resends.push(CrashReport {
                at,
                request,
                crashes,
            });
        }
    }

    pub(crate) fn resend_crash_reports(&mut self, now: Time) {
        let pending_resends = std::mem::take(&mut self.suspects.pending_resends);
        let (due, later) = pending_resends
            .into_iter()
            .partition(|report| report.at <= now);
        self.suspects.pending_resends = later;
        let due: Vec<CrashReport> = due;
        for report in due {
            self.broadcast_crash_report(report.request, report.crashes);
        }
    }

    fn broadcast_crash_report(&mut self, request: Fingerprint, crashes: u32) {
        let service = self.own_instance.service.clone();
        let peers = self.members.usable_peers(&service);
        let peers: Vec<Instance> = peers.map(|peer| peer.instance.clone()).collect();
        for peer in peers {
            let frame = Frame::CrashReport {
                service: service.clone(),
                request,
                crashes,
            };
            self.send(&peer, frame);
        }
    }

    pub(crate) fn on_crash_report(
        &mut self,
        now: Time,
        from: Incarnation,
        service: &Arc<str>,
        request: Fingerprint,
        crashes: u32,
    ) {
        if *service == self.own_instance.service && from != self.own_instance.incarnation {
            self.suspects
                .requests
                .record_remote_crashes(now, request, from, crashes);
        }
    }

    /// Records that a call of this node ended with the crash of a server at `target`. The report
    /// from that server's node may reach the next node later than the retry does.
    pub(crate) fn record_call_crash(&mut self, now: Time, request: &Request, target: Incarnation) {
        if self.cfg.policy.quarantine {
            let outgoing_calls = &mut self.suspects.outgoing_calls;
            outgoing_calls.record_crash(now, hash_of_call(request), target);
        }
    }

    /// Records that a call of this node got a complete response.
    pub(crate) fn record_call_completed(&mut self, now: Time, request: &Request) {
        if !self.suspects.outgoing_calls.is_empty() {
            self.suspects
                .outgoing_calls
                .record_completed(now, hash_of_call(request));
        }
    }

    /// The refusal of a call that has already crashed two servers.
    pub(crate) fn quarantine_refusal(&self, now: Time, request: &Request) -> Option<Refusal> {
        if self.suspects.outgoing_calls.is_empty() {
            return None;
        }
        match self
            .suspects
            .outgoing_calls
            .verdict(now, &hash_of_call(request))
        {
            Verdict::Refused(remaining) => Some(Refusal::new(Reason::Quarantined, remaining)),
            Verdict::Clear | Verdict::Suspect => None,
        }
    }

    /// Handles the end of a job. If it was the running suspect, the next one is offered.
    pub(crate) fn admit_next_suspect(&mut self, now: Time, ended: RunId) {
        self.suspects.withdraw(ended);
        if self.suspects.admitted != Some(ended) {
            return;
        }
        self.suspects.admitted = None;
        while self.suspects.admitted.is_none() {
            let Some(run) = self.suspects.waiting.pop_front() else {
                return;
            };
            self.offer(now, run);
        }
    }
}

fn hash_of_call(request: &Request) -> u64 {
    hash64(&(&request.service, Fingerprint::of(request)))
}
