//! The engine's state, and the dispatch of inputs to the controllers.

use crate::admission::AdmissionLevels;
use crate::answer_cache::AnswerCache;
use crate::catch_up::CatchUp;
use crate::fetch::FetchSchedule;
use crate::hand_over::HandOver;
use crate::held_calls::HeldCalls;
use crate::job::Job;
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

/// The numbers of entries in the tables of requests, calls and runs in flight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Requests from callers and from this node's backend server.
    pub requests: usize,
    /// Calls to nodes, this one included.
    pub calls: usize,
    /// Calls from nodes, this one included.
    pub inbound: usize,
    /// Jobs of this node's backend server, queued or running.
    pub jobs: usize,
    /// Runs of idempotency keys that calls wait for.
    pub keys: usize,
}

/// How long a stopping node still starts work for calls that only it can run: those with keys whose
/// home node it is, until the log names the next home node.
const KEYED_CALLS_GRACE: Duration = Duration::from_millis(2500);

/// The state of a node and the decisions that it makes on inputs.
#[derive(Debug)]
pub struct Engine {
    pub(crate) cfg: Config,
    pub(crate) own_instance: Instance,
    pub(crate) rng: StdRng,
    /// The rules and views that the nodes share through the store.
    pub(crate) journal: State,
    pub(crate) log: LogController,
    pub(crate) fetch: FetchSchedule,
    pub(crate) catch_up: CatchUp,
    pub(crate) members: Membership,
    pub(crate) selector: InstanceSelector,
    pub(crate) peer_diagnostics: PeerDiagnostics,
    /// The roster may have changed since the membership controller was last updated.
    pub(crate) roster_changed: bool,
    pub(crate) home: Home,
    pub(crate) server: ServerAdmission,
    /// This node's backend server, once its first heartbeat has arrived.
    pub(crate) own_server: Option<OwnServer>,
    pub(crate) hand_over: HandOver,
    /// Requests in flight from callers and from this node's backend server.
    pub(crate) open_requests: IndexMap<RequestToken, OpenRequest>,
    /// Requests that wait for the answer to an identical one, which the value names.
    pub(crate) followers: IndexMap<RequestToken, RequestToken>,
    /// Calls to nodes, this one included, by the id of the current attempt.
    pub(crate) calls: IndexMap<CallId, OutgoingCall>,
    /// For each original attempt of a hedged call, the hedge attempt that was sent after it.
    pub(crate) hedged_attempts: IndexMap<CallId, CallId>,
    /// Calls from nodes, this one included, that are not answered yet.
    pub(crate) inbound: IndexMap<CallId, InboundCall>,
    /// Recent answers, for calls that are sent again over a new connection.
    pub(crate) answer_cache: AnswerCache,
    /// Jobs of this node's backend server, queued or running.
    pub(crate) jobs: IndexMap<RunId, Job>,
    /// The job of each request that its caller gave an id.
    pub(crate) jobs_by_request_id: IndexMap<Arc<str>, RunId>,
    /// The runs of idempotency keys and the calls that wait for them.
    pub(crate) key_runs: IndexMap<KeyHash, KeyRun>,
    /// The level and the number of calls that the run whose answer is being sent reports; the
    /// default while any other answer is sent. An implicit argument from [`Engine::end_job`] to
    /// [`Engine::answer_call`].
    pub(crate) ended_run_downstream: DownstreamSummary,
    pub(crate) admission: AdmissionLevels,
    pub(crate) resends: Resends,
    pub(crate) suspects: CrashSuspects,
    /// This node's share of the fleet's retry budget for each service.
    pub(crate) retry_budget: RetryBudget,
    /// Evidence that the rules here are the newest, which decides whether keys of organisations can
    /// be trusted.
    pub(crate) freshness: Freshness,
    /// This node queries the store on behalf of its failure domain.
    pub(crate) is_domain_leader: bool,
    /// Whether keys of organisations were trusted when that was last checked.
    pub(crate) keys_were_trusted: bool,
    /// The quota tokens of organisations that this node has lent and borrowed.
    pub(crate) quota: QuotaController,
    /// Whether the rules in force schedule work by slack.
    pub(crate) schedules_by_slack: bool,
    /// Calls that wait for the transfer of their slot to this node.
    pub(crate) held_calls: HeldCalls,
    /// When a stopping node no longer waits until other nodes have taken over its slots.
    pub(crate) handover_deadline: Option<Time>,
    pub(crate) timers: Timers,
    pub(crate) stopping: bool,
    /// From this time on a stopping node starts no work on its backend server.
    pub(crate) closed_at: Time,
    /// Until this time a stopping node still accepts new requests from its callers.
    pub(crate) accepts_until: Time,
    last_id: u64,
    /// Frames that this node has sent to itself.
    loopback: VecDeque<Frame>,
    pub(crate) outputs: Vec<Output>,
}

impl Engine {
    /// Creates an engine. It accepts no work before it has rules.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_engine::{Config, Engine};
    /// use proto::{Incarnation, Instance};
    ///
    /// let instance = Instance {
    ///     incarnation: Incarnation(1),
    ///     service: "press".into(),
    ///     failure_domain: "milano-1".into(),
    ///     region: "lombardia".into(),
    ///     addr: ([127, 0, 0, 1], 7000).into(),
    /// };
    /// assert_eq!(Engine::new(Config::default(), instance).rules_version(), 0);
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
            catch_up: CatchUp::default(),
            members,
            selector: InstanceSelector::with_switches(cfg.policy),
            peer_diagnostics: PeerDiagnostics::default(),
            roster_changed: false,
            home: Home::new(cfg.once.clone(), incarnation),
            server: ServerAdmission::new(
                cfg.policy,
                defaults.min_concurrency,
                defaults.max_concurrency,
                defaults.max_queue_time,
            ),
            own_server: None,
            hand_over: HandOver::default(),
            open_requests: IndexMap::new(),
            followers: IndexMap::new(),
            calls: IndexMap::new(),
            hedged_attempts: IndexMap::new(),
            inbound: IndexMap::new(),
            answer_cache: AnswerCache::new(),
            jobs: IndexMap::new(),
            jobs_by_request_id: IndexMap::new(),
            key_runs: IndexMap::new(),
            ended_run_downstream: DownstreamSummary::default(),
            admission: AdmissionLevels::default(),
            resends: Resends::new(),
            suspects: CrashSuspects::new(),
            retry_budget: RetryBudget::new(cfg.retry_budget, incarnation.0),
            freshness: Freshness::new(cfg.revocation_bound),
            is_domain_leader: false,
            keys_were_trusted: false,
            quota: QuotaController::new(cfg.quota_tolerance),
            schedules_by_slack: false,
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

    /// Handles one input. `now` must never be earlier than in the previous call.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Output> {
        match input {
            Input::Request {
                token,
                caller,
                context,
                parent,
                key,
                credential,
                caller_timeout,
                request,
            } => {
                let arrival = Arrival {
                    token,
                    at: now,
                    first_at: now,
                    caller,
                    parents: ParentInfo {
                        context,
                        parent_request_id: parent,
                    },
                    key,
                    credential,
                    caller_timeout,
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
            Input::ServerReport {
                id,
                sent_at,
                report,
            } => self.on_server_report(now, &id, sent_at, report),
            Input::RulesChecked { asked, version } => self.on_rules_checked(now, asked, version),
            Input::RulesCheckFailed => self.on_rules_check_failed(now),
            Input::LogUnreachable => self.on_log_unreachable(now),
            Input::StateFetched { from, state } => self.on_peer_state(now, from, &state),
            Input::Appended(number) => self.on_appended(now, number),
            Input::AppendConflict(number) => self.on_append_conflict(now, number),
            Input::AppendLost(number) => self.on_append_lost(now, number),
            Input::Stop => self.on_stop(now),
            Input::Tick => {}
        }
        self.fire_timers(now);
        self.drain_loopback(now);
        // Frames of this node to itself may have freed capacity, or queued work that has to leave
        // the queue.
        self.hand_over_waiting(now);
        self.start_queued_jobs(now);
        self.drain_loopback(now);
        self.fetch_if_due(now);
        self.catch_up_if_due(now);
        self.start_due_append(now);
        self.check_stopped(now);
        std::mem::take(&mut self.outputs)
    }

    /// The latest time at which the next [`Input::Tick`] must be passed in.
    pub fn next_timer(&self) -> Option<Time> {
        [
            self.timers.next(),
            self.members.next_timer(),
            self.home.next_timer(),
            self.server.next_timer(),
            self.log.next_timer(self.journal.next_offset),
            self.fetch.due,
            self.catch_up.due,
            self.peer_diagnostics.next_timer(),
            self.next_freshness_timer(),
            self.next_quota_timer(),
            self.next_limit_check(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// The version of the rules in force, or 0 if there are none yet.
    pub fn rules_version(&self) -> u64 {
        self.journal.rules_version
    }

    /// The offset from which the shared log has to be read next.
    pub fn next_offset(&self) -> u64 {
        self.journal.next_offset
    }

    /// The state that results from the shared log as far as it was read.
    pub fn journal(&self) -> &State {
        &self.journal
    }

    /// Whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Whether callers should use this node: rules are in force, and it is not stopping.
    pub fn is_ready(&self) -> bool {
        self.has_rules() && !self.stopping
    }

    /// Whether any other node is known to be alive.
    pub fn has_peers(&self) -> bool {
        self.members
            .peers()
            .any(|peer| peer.state == PeerState::Alive)
    }

    /// The sizes of the tables of requests, calls and runs in flight.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            requests: self.open_requests.len(),
            calls: self.calls.len(),
            inbound: self.inbound.len(),
            jobs: self.jobs.len(),
            keys: self.key_runs.len(),
        }
    }

    /// Runs all timers that are due.
    fn fire_timers(&mut self, now: Time) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::CallDeadline(call) => self.on_deadline(now, call),
                Timer::LateRun(run) => self.on_late_run(run),
                Timer::CrashReports => self.resend_crash_reports(now),
                Timer::RunDeadline(run) => self.on_run_deadline(now, run),
                Timer::HeldCallTimeout(call) => self.on_hold_timeout(call),
                Timer::StopGracePeriod => self.refuse_all_by_slack(now),
                Timer::HandoverTimeout => {}
                Timer::Reattach(call) => self.on_reattach_timer(now, call),
            }
        }
        self.tick_members(now);
        self.tick_home(now);
        self.tick_freshness(now);
        self.tick_quotas(now);
        self.check_rate_limit(now);
        self.start_queued_jobs(now);
    }

    /// Handles the frames that this node sent to itself as if another node had sent them.
    fn drain_loopback(&mut self, now: Time) {
        let own_incarnation = self.own_instance.incarnation;
        while let Some(frame) = self.loopback.pop_front() {
            self.on_frame(now, own_incarnation, frame);
        }
    }

    fn on_frame(&mut self, now: Time, from: proto::Incarnation, frame: Frame) {
        match frame {
            Frame::Call(call) => self.on_call(now, from, *call),
            Frame::Answer(id, answer) => self.on_answer(now, from, id, *answer),
            Frame::Cancel(id) => self.on_cancel(now, from, id),
            Frame::SlowCall(id) => self.on_slow_call(now, id),
            Frame::CrashReport {
                service,
                request,
                crashes,
            } => self.on_crash_report(now, from, &service, request, crashes),
            // The I/O layer handles the frames that concern the connection itself.
            frame => {
                if !self.on_home_frame(now, from, frame) {
                    self.count(Counter::UnexpectedMessage);
                }
            }
        }
    }

    /// Sends a frame to a node, which may be this one.
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

    /// Returns a number that this incarnation has not used before.
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

    /// Reports that the process may exit, once a stopping node has finished its work.
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
