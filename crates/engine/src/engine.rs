//! The engine's state, and how inputs reach the controllers.

use crate::admission::AdmissionLevels;
use crate::answer_cache::AnswerCache;
use crate::fetch::FetchSchedule;
use crate::job::Job;
use crate::keyed_calls::HeldCalls;
use crate::keyed_calls::KeyRun;
use crate::log::LogController;
use crate::outgoing::OutgoingCall;
use crate::own_server::OwnServer;
use crate::peer_diagnostics::PeerDiagnostics;
use crate::quarantine::CrashSuspects;
use crate::quota::QuotaController;
use crate::request::Arrival;
use crate::request::OpenRequest;
use crate::request::ParentInfo;
use crate::resends::Resends;
use crate::serve::InboundCall;
use crate::timers::Timer;
use crate::timers::Timers;
use crate::Config;
use crate::Counter;
use crate::Input;
use crate::Output;
use crate::RequestToken;
use indexmap::IndexMap;
use journal::State;
use membership::Membership;
use once::Home;
use organisation::Freshness;
use policy::InstanceSelector;
use policy::RetryBudget;
use policy::ServerAdmission;
use proto::CallId;
use proto::DownstreamSummary;
use proto::Frame;
use proto::Instance;
use proto::KeyHash;
use proto::PeerState;
use proto::RunId;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

/// How many entries the tables of what is in flight have.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Requests of callers and of the own backend server.
    pub requests: usize,
    /// Calls to nodes.
    pub calls: usize,
    /// Calls from nodes.
    pub inbound: usize,
    /// Work for the own backend server, queued or running.
    pub jobs: usize,
    /// Runs of keys that somebody waits for.
    pub keys: usize,
}

/// How long a leaving node still takes calls that only it can take: those for keys that it is home
/// to, until the log names the next home.
const KEYED_CALLS_GRACE: Duration = Duration::from_millis(2500);

/// A node's decisions and state.
#[derive(Debug)]
pub struct Engine {
    pub(crate) cfg: Config,
    pub(crate) own_instance: Instance,
    pub(crate) rng: StdRng,
    /// What nodes share through the store.
    pub(crate) journal: State,
    pub(crate) log: LogController,
    pub(crate) fetch: FetchSchedule,
    pub(crate) members: Membership,
    pub(crate) selector: InstanceSelector,
    pub(crate) peer_notes: PeerDiagnostics,
    /// The views have changed since the members were told.
    pub(crate) views_changed: bool,
    pub(crate) home: Home,
    pub(crate) server: ServerAdmission,
    /// The own backend server, once it has announced itself.
    pub(crate) own_server: Option<OwnServer>,
    /// Requests of callers and of the own backend server, in flight.
    pub(crate) open_requests: IndexMap<RequestToken, OpenRequest>,
    /// Requests that wait for the answer to another one.
    pub(crate) followers: IndexMap<RequestToken, RequestToken>,
    /// Calls to nodes (this one included), by the id of the present attempt.
    pub(crate) calls: IndexMap<CallId, OutgoingCall>,
    /// Attempts whose answers are late, and those that were sent after them.
    pub(crate) hedged_attempts: IndexMap<CallId, CallId>,
    /// Calls from nodes (this one included) that are not answered yet.
    pub(crate) inbound: IndexMap<CallId, InboundCall>,
    /// Answers given lately, for calls that attach again.
    pub(crate) answer_cache: AnswerCache,
    /// Work for the own backend server, queued or running.
    pub(crate) jobs: IndexMap<RunId, Job>,
    /// The job of each request that has an id of its caller's.
    pub(crate) jobs_by_request_id: IndexMap<Arc<str>, RunId>,
    /// Who waits for the run of a key.
    pub(crate) key_runs: IndexMap<KeyHash, KeyRun>,
    /// What the run met that is being answered just now.
    pub(crate) ended_run_below: DownstreamSummary,
    pub(crate) admission: AdmissionLevels,
    pub(crate) resends: Resends,
    pub(crate) suspects: CrashSuspects,
    /// This node's part of the fleet's retries at each service.
    pub(crate) retry_budget: RetryBudget,
    /// Whether the rules here are the newest, as far as keys of organisations go.
    pub(crate) freshness: Freshness,
    /// This node asks the store on behalf of its failure domain.
    pub(crate) is_domain_leader: bool,
    /// Whether keys were trusted when that was last looked at.
    pub(crate) keys_were_trusted: bool,
    /// What is lent and borrowed of the quotas of organisations.
    pub(crate) quota: QuotaController,
    /// Calls that wait for a slot on its way here.
    pub(crate) held_calls: HeldCalls,
    /// When a stop no longer waits for its slots to be taken.
    pub(crate) handover_deadline: Option<Time>,
    pub(crate) timers: Timers,
    pub(crate) stopping: bool,
    /// From then on a stopping node starts no work at all on its backend server.
    pub(crate) closed_at: Time,
    /// Until then a stopping node still takes new requests from its callers.
    pub(crate) accepts_until: Time,
    last_id: u64,
    /// Frames of this node to itself.
    loopback: VecDeque<Frame>,
    pub(crate) outputs: Vec<Output>,
}

impl Engine {
    /// An engine that has just started; it takes no work before it has rules.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_engine::{Config, Engine};
    /// use proto::{Incarnation, Instance};
    ///
    /// let me = Instance {
    ///     incarnation: Incarnation(1),
    ///     service: "press".into(),
    ///     failure_domain: "milano-1".into(),
    ///     region: "lombardia".into(),
    ///     addr: ([127, 0, 0, 1], 7000).into(),
    /// };
    /// assert_eq!(Engine::new(Config::default(), me).rules_version(), 0);
    /// ```
    pub fn new(cfg: Config, own_instance: Instance) -> Self {
        let defaults = rules::ServiceLimits::default();
        let incarnation = own_instance.incarnation;
        let mut members = Membership::new(
            cfg.membership.clone(),
            own_instance.clone(),
            cfg.contacts.clone(),
        );
        members.set_accepting_work(!cfg.server_announces);
        Self {
            rng: StdRng::seed_from_u64(cfg.seed),
            journal: State::default(),
            log: LogController::default(),
            fetch: FetchSchedule::default(),
            members,
            selector: InstanceSelector::with_switches(cfg.policy),
            peer_notes: PeerDiagnostics::default(),
            views_changed: false,
            home: Home::new(cfg.once.clone(), incarnation),
            server: ServerAdmission::new(
                cfg.policy,
                defaults.min_concurrency,
                defaults.max_concurrency,
                defaults.queue,
            ),
            own_server: None,
            open_requests: IndexMap::new(),
            followers: IndexMap::new(),
            calls: IndexMap::new(),
            hedged_attempts: IndexMap::new(),
            inbound: IndexMap::new(),
            answer_cache: AnswerCache::new(),
            jobs: IndexMap::new(),
            jobs_by_request_id: IndexMap::new(),
            key_runs: IndexMap::new(),
            ended_run_below: DownstreamSummary::default(),
            admission: AdmissionLevels::default(),
            resends: Resends::new(),
            suspects: CrashSuspects::new(),
            retry_budget: RetryBudget::new(cfg.retry_budget, incarnation.0),
            freshness: Freshness::new(cfg.revocation_bound),
            is_domain_leader: false,
            keys_were_trusted: false,
            quota: QuotaController::new(cfg.quota_bounds),
            held_calls: HeldCalls::new(),
            handover_deadline: None,
            timers: Timers::default(),
            stopping: false,
            closed_at: Time::ZERO,
            accepts_until: Time::ZERO,
            last_id: 0,
            loopback: VecDeque::new(),
            outputs: Vec::new(),
            cfg,
            own_instance,
        }
    }

    /// Handles one input. `now` must not go backwards.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Output> {
        match input {
            Input::Request {
                token,
                caller,
                context,
                parent,
                key,
                credential,
                caller_timeout: patience,
                request,
            } => {
                let arrival = Arrival {
                    token,
                    at: now,
                    caller,
                    parents: ParentInfo { context, parent },
                    key,
                    credential,
                    caller_timeout: patience,
                    request,
                };
                self.on_request(now, arrival);
            }
            Input::CallerGone(token) => self.on_caller_gone(now, token),
            Input::Frame { from, frame } => self.on_frame(now, from, frame),
            Input::PeerLost(peer) => self.on_peer_lost(now, peer),
            Input::PeerQuiet(peer) => {
                self.count(Counter::PeerQuiet);
                if self.cfg.policy.quiet_peers {
                    self.selector.on_connection_failed(now, peer, &mut self.rng);
                }
            }
            Input::PeerBack(peer) => self.selector.on_answered(peer),
            Input::PeerUnreachable { peer, unsent } => self.on_peer_unreachable(now, peer, unsent),
            Input::Datagram { from, datagram } => self.on_datagram(now, from, datagram),
            Input::RunEnded { run, end } => self.on_run_ended(now, run, end),
            Input::Records(records) => self.on_records(now, records),
            Input::TopicSnapshot { values, end } => self.on_topic_snapshot(now, values, end),
            Input::LogCaughtUp => self.on_log_caught_up(now),
            Input::RulesPublished { version, file } => self.on_rules_published(now, version, &file),
            Input::Directory(addrs) => {
                let effects = self.members.add_contacts(&addrs);
                self.apply_membership_effects(now, effects);
            }
            Input::Server(announcement) => self.on_server_announcement(now, announcement),
            Input::ServerChecked { id, healthy } => self.on_server_checked(now, &id, healthy),
            Input::RulesChecked { asked, version } => self.on_rules_checked(now, asked, version),
            Input::RulesCheckFailed => self.on_rules_unchecked(now),
            Input::LogUnreachable => self.on_log_unreachable(now),
            Input::StateFetched(state) => self.on_peer_state(now, &state),
            Input::Appended(number) => self.on_appended(now, number),
            Input::AppendConflict(number) => self.on_append_conflict(now, number),
            Input::AppendLost(number) => self.on_append_lost(now, number),
            Input::Stop => self.on_stop(now),
            Input::Tick => {}
        }
        self.fire_timers(now);
        self.drain_loopback(now);
        // What came from this node itself may have freed a place, or have to leave the queue.
        self.start_queued_jobs(now);
        self.drain_loopback(now);
        self.fetch_if_due(now);
        self.start_due_append(now);
        self.check_stopped(now);
        std::mem::take(&mut self.outputs)
    }

    /// When [`Input::Tick`] has to come at the latest.
    pub fn next_timer(&self) -> Option<Time> {
        [
            self.timers.next(),
            self.members.next_timer(),
            self.home.next_timer(),
            self.server.next_timer(),
            self.log.next_timer(self.journal.next_offset),
            self.fetch.due,
            self.peer_notes.next_timer(),
            self.next_freshness_timer(),
            self.next_quota_timer(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// The version of the rules in force; 0 before there are any.
    pub fn rules_version(&self) -> u64 {
        self.journal.version
    }

    /// The offset from which the topic of views has to be read.
    pub fn next_offset(&self) -> u64 {
        self.journal.next_offset
    }

    /// What the topic of views says, as far as it was read.
    pub fn journal(&self) -> &State {
        &self.journal
    }

    /// Whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Whether this node takes callers: rules are in force, and it is not about to stop.
    pub fn is_ready(&self) -> bool {
        self.has_rules() && !self.stopping
    }

    /// Whether any other node is known to be there.
    pub fn has_peers(&self) -> bool {
        self.members
            .peers()
            .any(|peer| peer.state == PeerState::Alive)
    }

    /// How much is in flight.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            requests: self.open_requests.len(),
            calls: self.calls.len(),
            inbound: self.inbound.len(),
            jobs: self.jobs.len(),
            keys: self.key_runs.len(),
        }
    }

    fn fire_timers(&mut self, now: Time) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::CallDeadline(call) => self.on_deadline(now, call),
                Timer::LateRun(run) => self.on_late_run(run),
                Timer::CrashReports => self.resend_crash_reports(now),
                Timer::RunDeadline(run) => self.on_run_deadline(now, run),
                Timer::HeldCallTimeout(call) => self.on_hold_timeout(call),
                Timer::HandoverTimeout | Timer::StopGracePeriod => {}
                Timer::Reattach(call) => self.on_reattach_timer(now, call),
            }
        }
        self.tick_members(now);
        self.tick_home(now);
        self.tick_freshness(now);
        self.tick_quotas(now);
        self.start_queued_jobs(now);
    }

    /// Handles what this node sent itself, as if it had come from another.
    fn drain_loopback(&mut self, now: Time) {
        let me = self.own_instance.incarnation;
        while let Some(frame) = self.loopback.pop_front() {
            self.on_frame(now, me, frame);
        }
    }

    fn on_frame(&mut self, now: Time, from: proto::Incarnation, frame: Frame) {
        match frame {
            Frame::Call(call) => self.on_call(now, from, *call),
            Frame::Answer(id, answer) => self.on_answer(now, from, id, *answer),
            Frame::Cancel(id) => self.on_cancel(now, from, id),
            Frame::SlowCall(id) => self.on_late_notice(now, id),
            Frame::CrashReport {
                service,
                request,
                crashes,
            } => self.on_suspect_report(now, from, &service, request, crashes),
            // The shell answers the frames that are about the connection itself.
            frame => {
                if !self.on_home_frame(now, from, frame) {
                    self.count(Counter::UnexpectedMessage);
                }
            }
        }
    }

    pub(crate) fn send(&mut self, to: &Instance, frame: Frame) {
        if to.incarnation == self.own_instance.incarnation {
            self.loopback.push_back(frame);
        } else {
            self.outputs.push(Output::Send {
                to: to.clone(),
                frame,
            });
        }
    }

    pub(crate) fn count(&mut self, counter: Counter) {
        self.outputs.push(Output::Count(counter));
    }

    /// A number that this incarnation has never used.
    pub(crate) fn allocate_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    pub(crate) fn on_stop(&mut self, now: Time) {
        self.stopping = true;
        self.closed_at = now + KEYED_CALLS_GRACE;
        self.accepts_until = now + self.cfg.stop_grace_period;
        self.timers.set(self.accepts_until, Timer::StopGracePeriod);
        self.leave_home(now);
        self.resign_lender(now);
        self.announce_leave(now);
        self.queue_leave(now);
    }

    fn check_stopped(&mut self, now: Time) {
        let idle = self.open_requests.is_empty()
            && self.inbound.is_empty()
            && self.jobs.is_empty()
            && !self.quota.has_waiting();
        if self.stopping
            && now >= self.accepts_until
            && idle
            && self.log.leave_settled()
            && self.has_handed_over(now)
        {
            self.outputs.push(Output::Stopped);
        }
    }
}
