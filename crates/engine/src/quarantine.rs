//! Requests that crash the backend server: who is suspected, and that the service's nodes hear of it.

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

/// Suspects that may wait for their turn.
const MAX_WAITING: usize = 64;

/// Reports that this node sends in a second. A server that breaks off every connection must not
/// make a flood of them.
const MAX_REPORTS: u32 = 200;

/// When reports are sent again. A frame is lost with its connection, and a node that lacks the word
/// would let its own server crash.
const REPEATS: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(3)];

/// A report that is sent again.
#[derive(Debug)]
struct Report {
    at: Time,
    request: Fingerprint,
    crashes: u32,
}

/// Suspects of this node's service.
#[derive(Debug)]
pub(crate) struct CrashSuspects {
    known: Quarantine<Fingerprint>,
    /// The same of calls that this node made, of all services, by a hash.
    called: Quarantine<u64>,
    /// The suspect that runs or is in the server's queue; only one at a time is.
    running: Option<RunId>,
    waiting: VecDeque<RunId>,
    repeats: Vec<Report>,
    reports: u32,
    reports_since: Time,
}

impl CrashSuspects {
    pub(crate) fn new() -> Self {
        Self {
            known: Quarantine::new(),
            called: Quarantine::new(),
            running: None,
            waiting: VecDeque::new(),
            repeats: Vec::new(),
            reports: 0,
            reports_since: Time::ZERO,
        }
    }

    fn may_report(&mut self, now: Time) -> bool {
        if now.since(self.reports_since) >= Duration::from_secs(1) {
            self.reports_since = now;
            self.reports = 0;
        }
        self.reports += 1;
        self.reports <= MAX_REPORTS
    }

    /// Takes work out that waits for its turn.
    pub(crate) fn withdraw(&mut self, run: RunId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| *waiting != run);
        self.waiting.len() < before
    }
}

impl Engine {
    /// Whether a job may be offered to the server now. If not, it was refused or waits.
    pub(crate) fn pass_quarantine(&mut self, now: Time, run: RunId, request: Fingerprint) -> bool {
        if !self.cfg.policy.quarantine {
            return true;
        }
        match self.suspects.known.verdict(now, &request) {
            Verdict::Clear => true,
            Verdict::Refused(left) => {
                let refusal = Refusal::new(Reason::Quarantined, left);
                self.end_job(now, run, Outcome::NotRun(refusal));
                false
            }
            Verdict::Suspect if self.suspects.running.is_none() => {
                self.suspects.running = Some(run);
                true
            }
            Verdict::Suspect if self.suspects.waiting.len() < MAX_WAITING => {
                self.suspects.waiting.push_back(run);
                false
            }
            Verdict::Suspect => {
                self.end_job(now, run, self.not_run(Reason::TableFull));
                false
            }
        }
    }

    /// A run of the request was answered whole.
    pub(crate) fn clear_suspect(&mut self, now: Time, request: Fingerprint) {
        self.suspects.known.record_completed(now, request);
    }

    /// The connection broke while the request ran. The nodes of the service hear of it before the
    /// entry does, so that they know when its retry comes.
    pub(crate) fn suspect(&mut self, now: Time, request: Fingerprint) {
        let me = self.own_instance.incarnation;
        let crashes = self.suspects.known.record_crash(now, request, me);
        let Some(crashes) = crashes.filter(|_| self.suspects.may_report(now)) else {
            return;
        };
        self.count(Counter::CrashSuspect);
        self.report_suspect(request, crashes);
        for wait in REPEATS {
            let at = now + wait;
            self.timers.set(at, Timer::CrashReports);
            self.suspects.repeats.push(Report {
                at,
                request,
                crashes,
            });
        }
    }

    pub(crate) fn resend_crash_reports(&mut self, now: Time) {
        let repeats = std::mem::take(&mut self.suspects.repeats);
        let (due, later) = repeats.into_iter().partition(|report| report.at <= now);
        self.suspects.repeats = later;
        let due: Vec<Report> = due;
        for report in due {
            self.report_suspect(report.request, report.crashes);
        }
    }

    fn report_suspect(&mut self, request: Fingerprint, crashes: u32) {
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

    pub(crate) fn on_suspect_report(
        &mut self,
        now: Time,
        from: Incarnation,
        service: &Arc<str>,
        request: Fingerprint,
        crashes: u32,
    ) {
        if *service == self.own_instance.service && from != self.own_instance.incarnation {
            self.suspects
                .known
                .record_remote_crashes(now, request, from, crashes);
        }
    }

    /// A call of this node ended with its server breaking off at `target`. The word of that server's
    /// node may reach the next one later than the retry does.
    pub(crate) fn record_call_crash(&mut self, now: Time, request: &Request, target: Incarnation) {
        if self.cfg.policy.quarantine {
            let called = &mut self.suspects.called;
            called.record_crash(now, called_hash(request), target);
        }
    }

    /// A call of this node was answered whole.
    pub(crate) fn record_call_completed(&mut self, now: Time, request: &Request) {
        if !self.suspects.called.is_empty() {
            self.suspects
                .called
                .record_completed(now, called_hash(request));
        }
    }

    /// Refuses a call that broke off two servers.
    pub(crate) fn quarantine_refusal(&self, now: Time, request: &Request) -> Option<Refusal> {
        if self.suspects.called.is_empty() {
            return None;
        }
        match self.suspects.called.verdict(now, &called_hash(request)) {
            Verdict::Refused(left) => Some(Refusal::new(Reason::Quarantined, left)),
            Verdict::Clear | Verdict::Suspect => None,
        }
    }

    /// A job has ended; if it was the suspect, the next one has its turn.
    pub(crate) fn next_suspect(&mut self, now: Time, ended: RunId) {
        self.suspects.withdraw(ended);
        if self.suspects.running != Some(ended) {
            return;
        }
        self.suspects.running = None;
        while self.suspects.running.is_none() {
            let Some(run) = self.suspects.waiting.pop_front() else {
                return;
            };
            self.offer(now, run);
        }
    }
}

fn called_hash(request: &Request) -> u64 {
    hash64(&(&request.service, Fingerprint::of(request)))
}
