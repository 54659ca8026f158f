//! Admission control for one backend server: the concurrency limit, the rate limit that the server
//! names, the queue and the admission level.

mod hand_over;
mod level;
mod recent_runs;
mod refusal;
mod reserve;
mod slack;
mod waiting;

use crate::admission_level::AdmissionLevel;
use crate::admission_value;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::failure_share::FailureShare;
use crate::lookup_hold::LookupHold;
use crate::machine_speed::MachineSpeed;
use crate::queue::Queue;
use crate::rate_limiter::RateLimiter;
use crate::slowdown::Slowdown;
use crate::work::Estimate;
use crate::AdmissionDecision;
use crate::PriorityBands;
use crate::RequestRate;
use crate::RunTimes;
use crate::Switches;
use crate::WorkItem;
use crate::WorkOutcome;
use proto::Class;
use proto::LoadReport;
use proto::Reason;
use recent_runs::RecentRuns;
use reserve::Reserve;
use slack::SlackCounts;
use slack::MAX_OPERATIONS;
use std::time::Duration;
use stdx::BoundedMap;
use stdx::Time;

/// How long an unreachable server is not tried again.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(200);

/// Multiple of the mean slot time after which an abandoned run counts as lost by the server.
const SILENT_FACTOR: u32 = 3;

/// Number of classes, each with an estimate of its own.
const CLASSES: usize = 5;

/// Admission control for one backend server: the concurrency limit, the rate limit that the server
/// names, the queue and the admission level.
#[derive(Debug)]
pub struct ServerAdmission {
    switches: Switches,
    limit: ConcurrencyLimit,
    /// The rate limit that the server has named, if one is in force.
    rate_limiter: Option<RateLimiter>,
    /// Whether other instances of the service have capacity for what exceeds the rate limit.
    siblings_have_room: bool,
    level: AdmissionLevel,
    queue: Queue,
    max_wait: Duration,
    running: u16,
    last_tick: Time,
    /// How long completed work occupied a slot.
    slot_time: Estimate,
    /// `slot_time` by class.
    slot_time_by_class: [Estimate; CLASSES],
    /// Whether `slot_time_by_class` may be relied on to refuse work.
    recent_runs: [RecentRuns; CLASSES],
    /// `slot_time_by_class` including abandoned runs. On a server that is slow or loses answers
    /// these occupy the slots; measured by complete answers alone, the offered load would look
    /// small while all slots are occupied, and too much would be admitted.
    slot_time_with_abandoned: [Estimate; CLASSES],
    /// The share of its work that the server fails.
    failure_share: FailureShare,
    /// How much slower than usual the server is.
    slowdown: Slowdown,
    /// How fast the server works, if it reports how long work takes on its machine.
    speed: MachineSpeed,
    /// Set while the server is unreachable; it is not tried again before this time.
    down_until: Option<Time>,
    lookup_hold: LookupHold,
    /// The longest time that work scheduled by slack may wait, under the rules in force.
    longest_slack: Duration,
    slack_counts: SlackCounts,
    /// Slots that are kept for urgent work.
    reserve: Reserve,
    /// Durations of the runs of each operation, where work is scheduled by slack.
    run_times: BoundedMap<u32, RunTimes>,
    /// As `slot_time_by_class`, in seconds, but it follows a change of the server within a second.
    recent_slot_time: [Option<f64>; CLASSES],
}

impl ServerAdmission {
    /// Admission control with bounds for the concurrency limit and a maximum queueing time.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_policy::{AdmissionDecision, ServerAdmission, Switches, WorkItem};
    /// use std::time::Duration;
    /// use stdx::Time;
    ///
    /// let mut server = ServerAdmission::new(Switches::ALL, 1, 100, Duration::from_millis(100));
    /// let item = WorkItem {
    ///     id: 1,
    ///     class: proto::Class::Order,
    ///     priority: 0,
    ///     random_value: 7,
    ///     passed_level: 0,
    ///     deadline: Time::from_micros(1_000_000),
    ///     latest_start: None,
    ///     operation: 0,
    ///     patient: false,
    ///     organisation: 0,
    ///     arrived: Time::ZERO,
    ///     admitted: false,
    ///     only_here: false,
    /// };
    /// assert_eq!(server.offer(Time::ZERO, item), AdmissionDecision::Start);
    /// ```
    pub fn new(switches: Switches, min: u16, max: u16, max_wait: Duration) -> Self {
        let mut server = Self {
            switches,
            limit: ConcurrencyLimit::new(min, max),
            rate_limiter: None,
            siblings_have_room: false,
            level: AdmissionLevel::new(),
            queue: Queue::default(),
            max_wait,
            running: 0,
            last_tick: Time::ZERO,
            slot_time: Estimate::default(),
            slot_time_by_class: [Estimate::default(); CLASSES],
            recent_runs: [RecentRuns::default(); CLASSES],
            slot_time_with_abandoned: [Estimate::default(); CLASSES],
            failure_share: FailureShare::default(),
            slowdown: Slowdown::default(),
            speed: MachineSpeed::default(),
            down_until: None,
            lookup_hold: LookupHold::default(),
            longest_slack: Duration::ZERO,
            slack_counts: SlackCounts::default(),
            reserve: Reserve::default(),
            run_times: BoundedMap::new(MAX_OPERATIONS),
            recent_slot_time: [None; CLASSES],
        };
        server.skip_slow_start();
        server
    }

    /// Resets the state for a new process of the server, which has announced `slots`. The limit
    /// learned for the previous process does not apply to it, so the limit starts at `slots`.
    pub fn on_server_restart(&mut self, now: Time, slots: u16) {
        self.down_until = None;
        self.rate_limiter = None;
        self.failure_share.reset();
        self.slowdown = Slowdown::default();
        self.speed = MachineSpeed::default();
        self.limit.restart(now);
        self.limit.set_bounds(1, slots.max(1));
        self.limit.set_to_max();
    }

    /// Sets the rate of requests that the server accepts, or none. The server gets no more than
    /// this, by whatever path requests reach it.
    pub fn set_rate_limit(&mut self, now: Time, rate: Option<RequestRate>) {
        match (&mut self.rate_limiter, rate) {
            (Some(limiter), Some(rate)) if limiter.rate() == rate => {}
            (Some(limiter), Some(rate)) => limiter.set_rate(now, rate),
            (limiter, rate) => *limiter = rate.map(|rate| RateLimiter::new(now, rate)),
        }
    }

    /// Sets whether other instances of the service have capacity. If so, work that exceeds the rate
    /// limit is refused soon instead of queued, so that it can be sent there, and the excess is no
    /// reason to shed actions. Work that only this instance may run is queued all the same.
    pub fn set_siblings_have_room(&mut self, siblings_have_room: bool) {
        self.siblings_have_room = siblings_have_room;
    }

    /// Whether other instances of the service have capacity, as last set.
    pub fn siblings_have_room(&self) -> bool {
        self.siblings_have_room
    }

    /// Sets the priorities of the rules in force.
    pub fn set_priority_bands(&mut self, bands: PriorityBands) {
        self.level.set_priority_bands(bands);
    }

    /// Sets new bounds from the rules.
    pub fn set_bounds(&mut self, min: u16, max: u16, max_wait: Duration) {
        self.limit.set_bounds(min, max);
        self.max_wait = max_wait;
        // Work that was queued under the former rules keeps its part of the queue.
        self.longest_slack = self.queue.longest_slack();
        self.skip_slow_start();
    }

    fn skip_slow_start(&mut self) {
        if !self.switches.slow_start || !self.switches.adaptive_limit {
            self.limit.set_to_max();
        }
    }

    /// Offers work, and decides whether it starts, is queued or is refused.
    pub fn offer(&mut self, now: Time, mut item: WorkItem) -> AdmissionDecision {
        // Without a rate limit, no work is sent elsewhere that could wait here.
        item.only_here &= self.rate_limiter.is_some() && item.class.is_protected();
        let slot_time = self.slot_time_with_abandoned[item.class as usize].mean();
        self.level.record_offered(now, &item, slot_time);
        self.tick(now);
        let value = admission_value(item.class, item.random_value);
        if !item.admitted && value < self.level_for(now, &item) {
            self.hold_lookups(now, item.class);
            return self.refuse(now, Reason::Shed, item);
        }
        if self.down_until.is_some_and(|until| now < until) {
            return self.refuse(now, Reason::ServerLost, item);
        }
        if self.is_held_back(now, &item) {
            return self.refuse_for_load(now, item);
        }
        if self.is_too_late(now, &item, Duration::ZERO) {
            return self.refuse(now, Reason::Deadline, item);
        }
        self.record_urgent(now, &item);
        if self.can_start_item(now, &item) && self.queue.is_empty() {
            self.start(now, &item);
            return AdmissionDecision::Start;
        }
        self.enqueue(now, item)
    }

    /// Records that started work has ended.
    pub fn on_finished(&mut self, now: Time, class: Class, outcome: WorkOutcome) {
        // While the level sheds load, the limit counts as reached even if `running` is below it,
        // because there is demand for more slots.
        let at_limit = self.running >= self.limit.get() || self.slot_level() > 0;
        self.tick(now);
        self.record_hold(now, outcome);
        self.running = self.running.saturating_sub(1);
        self.recent_runs[class as usize].on_end(now);
        self.failure_share
            .record(now, self.resolve_abandoned(class, outcome));
        match outcome {
            WorkOutcome::Completed { elapsed, own_time } => {
                self.down_until = None;
                self.record_recent_run(class, elapsed);
                self.slot_time.record(elapsed);
                self.record_recent_slot_time(class, elapsed);
                self.slot_time_by_class[class as usize].record(elapsed);
                self.slot_time_with_abandoned[class as usize].record(elapsed);
                self.speed.record_class(now, class, elapsed, own_time);
                // What the machine explains is no sign of congestion, and other nodes know of it.
                let own_time = self.speed.at_usual_speed(now, own_time);
                self.slowdown.record(now, class, own_time);
                if self.switches.adaptive_limit {
                    self.limit.record(now, class, own_time, at_limit);
                }
            }
            WorkOutcome::Refused if self.switches.adaptive_limit => self.limit.on_refused(),
            WorkOutcome::Unreachable => self.on_unreachable(now),
            WorkOutcome::Abandoned { elapsed, .. } => {
                self.slot_time_with_abandoned[class as usize].record(elapsed)
            }
            WorkOutcome::Refused | WorkOutcome::Lost | WorkOutcome::Failed => {}
        }
    }

    /// Must be called before the run is recorded in the estimate that it may contradict.
    fn record_recent_run(&mut self, class: Class, elapsed: Duration) {
        let estimate = self.slot_time_by_class[class as usize];
        self.recent_runs[class as usize].record(estimate, elapsed);
    }

    /// Classifies an abandoned run as lost by the server if it took much longer than usual, and as
    /// failed otherwise. Callers of a silent server give up and call another instance; without this
    /// the missing answers would not count against the server.
    fn resolve_abandoned(&self, class: Class, outcome: WorkOutcome) -> WorkOutcome {
        let WorkOutcome::Abandoned { own_time, .. } = outcome else {
            return outcome;
        };
        let usual = self.slot_time_by_class[class as usize].mean();
        match usual.is_some_and(|usual| own_time >= usual * SILENT_FACTOR) {
            true => WorkOutcome::Lost,
            false => WorkOutcome::Failed,
        }
    }

    /// Calls to an unreachable server fail quickly, so it would attract all work. It is therefore
    /// tried with one work item at a time, and starts cold when it is back.
    fn on_unreachable(&mut self, now: Time) {
        self.down_until = Some(now + UNREACHABLE_BACKOFF);
        if self.switches.slow_start && self.switches.adaptive_limit {
            self.limit.restart(now);
        }
    }

    /// Removes a work item from the queue; returns `false` if it is not queued.
    pub fn cancel(&mut self, id: u64) -> bool {
        self.queue.remove(id)
    }

    /// The next work item that leaves the queue, either to start or refused. Call until `None`.
    pub fn next_decision(&mut self, now: Time) -> Option<(WorkItem, AdmissionDecision)> {
        self.queue.demote_late(now);
        if let Some(item) = self.pop_expired(now) {
            self.count_expired(&item);
            return Some((item, self.refuse_for_load(now, item)));
        }
        if self.lookup_hold.is_active() {
            if let Some(item) = self.queue.evict_lookup() {
                return Some((item, self.refuse_for_load(now, item)));
            }
        }
        if let Some(item) = self.queue.evict_excess(self.queue_capacity()) {
            return Some((item, self.refuse_for_load(now, item)));
        }
        if let Some(item) = self.evict_by_slack(now) {
            return Some((item, self.refuse_for_load(now, item)));
        }
        let next = if self.queue.protected_len() > 0 {
            Class::Order
        } else {
            Class::Lookup
        };
        let front = self.queue.front(self.switches.class_order)?;
        if !self.can_start(now, next) || !self.may_use_slot(now, front) {
            return None;
        }
        let item = self.queue.pop(self.switches.class_order)?;
        if self.would_end_too_late(now, &item, Duration::ZERO) {
            self.count_expired(&item);
            return Some((item, self.refuse_for_load(now, item)));
        }
        self.start(now, &item);
        Some((item, AdmissionDecision::Start))
    }

    /// When [`ServerAdmission::next_decision`] must be called again even if no work finishes.
    pub fn next_timer(&self) -> Option<Time> {
        let max_wait = self.max_wait();
        let queue_timer = self.queue.next_timer(|item| max_wait.of(item));
        let timers = queue_timer.into_iter().chain(self.token_timer());
        timers.chain(self.reserve_timer()).min()
    }

    /// The load report for other nodes.
    pub fn report(&self) -> LoadReport {
        let load = u32::from(self.running) + self.queue.len() as u32;
        let mut utilisation = load * 1000 / u32::from(self.limit.get().max(1));
        let mut limit = self.limit.get();
        if let Some(limiter) = &self.rate_limiter {
            utilisation = utilisation.max((self.level.rate_ratio() * 1000.0) as u32);
            // As many calls as the server accepts in a second.
            limit = limit.min(limiter.rate().per_second().max(1.0) as u16);
        }
        if self.down_until.is_some() {
            utilisation = u32::from(u16::MAX);
        }
        let (slowdown_percent, speed) = self.speed.report(self.last_tick);
        LoadReport {
            utilisation: utilisation.min(u32::from(u16::MAX)) as u16,
            penalty: self.penalty(),
            level: self.level(),
            limit,
            slowdown_percent,
            speed,
            draining: false,
        }
    }

    fn penalty(&self) -> u16 {
        let failures = match self.switches.avoid_failing {
            true => self.failure_share.penalty(self.last_tick),
            false => 0,
        };
        let slowness = match self.switches.avoid_slow {
            true => self.slowdown.penalty(self.last_tick),
            false => 0,
        };
        failures.saturating_add(slowness)
    }

    /// Number of runs in progress, number of queued work items, and the concurrency limit.
    pub fn occupancy(&self) -> (u16, usize, u16) {
        (self.running, self.queue.len(), self.limit.get())
    }

    fn start(&mut self, now: Time, item: &WorkItem) {
        debug_assert!(
            item.class.is_protected() || item.arrived >= self.lookup_hold.last_refusal(),
            "a lookup that was queued when a protected call was refused for load must not start"
        );
        self.recent_runs[item.class as usize].on_start(now);
        self.running += 1;
        self.count_started(now, item);
        if let Some(limiter) = &mut self.rate_limiter {
            limiter.take(now);
        }
    }

    fn can_start(&self, now: Time, class: Class) -> bool {
        self.has_capacity(class) && self.has_token(now)
    }

    fn has_token(&self, now: Time) -> bool {
        let limiter = self.rate_limiter.as_ref();
        limiter.is_none_or(|limiter| limiter.has_token(now))
    }

    fn has_capacity(&self, class: Class) -> bool {
        let limit = match self.down_until {
            Some(_) => 1,
            None if class.is_protected() => self.limit.for_protected(),
            None => self.limit.get(),
        };
        self.running < limit
    }

    /// Whether a lookup must be refused in favour of protected calls. After a protected call was
    /// refused for load, a later lookup must not run before there is capacity for such calls again:
    /// it would take the slot that the refused call needed.
    fn is_held_back(&mut self, now: Time, item: &WorkItem) -> bool {
        let has_capacity = self.can_start(now, Class::Lookup) && self.queue.protected_len() == 0;
        self.lookup_hold.check(now, has_capacity) && !item.class.is_protected()
    }
}
