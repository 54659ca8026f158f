//! The limit, the queue and the admission level in front of one backend server.

use crate::admission_value;
use crate::failing::Failing;
use crate::hold::Hold;
use crate::level::retry_jitter;
use crate::level::Level;
use crate::limit::Limit;
use crate::pace::Pace;
use crate::queue::Queue;
use crate::work::Estimate;
use crate::AdmissionDecision;
use crate::PriorityBands;
use crate::Switches;
use crate::WorkItem;
use crate::WorkOutcome;
use proto::Class;
use proto::LoadReport;
use proto::Reason;
use proto::Refusal;
use std::time::Duration;
use stdx::Time;

/// How long a server that could not be reached is left alone before it is tried again.
const DOWN_PAUSE: Duration = Duration::from_millis(200);

/// The bounds of what a refused caller is told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Of work that would hardly ever be done in time, one piece in this many runs all the same: if
/// none did, nobody would notice that runs have become quicker.
const LATE_PROBES: u16 = 16;

/// How many times longer protected work may wait than lookups.
const PROTECTED_PATIENCE: u32 = 3;

/// The most tickets that wait. More than a server can do within any deadline; bounds memory only.
const MAX_QUEUE: usize = 10_000;

/// After so many times the usual time a server that has not answered counts as silent.
const SILENT_AFTER: u32 = 3;

/// The classes, each with an estimate of its own.
const CLASSES: usize = 5;

/// The limit, the queue and the admission level in front of one backend server.
#[derive(Debug)]
pub struct ServerAdmission {
    switches: Switches,
    limit: Limit,
    level: Level,
    queue: Queue,
    max_wait: Duration,
    running: u16,
    ticked: Time,
    /// How long a unit of the limit is taken up.
    took: Estimate,
    /// The same by class.
    took_by_class: [Estimate; CLASSES],
    /// The same with the runs that nobody waited for any more. A server that is slow or loses answers has
    /// its slots taken by those; counted by whole answers alone, the load that is offered looks small
    /// while all slots are taken, and more is let in.
    held_by_class: [Estimate; CLASSES],
    /// What it fails of its work.
    failing: Failing,
    /// How slow it is.
    pace: Pace,
    /// The server could not be reached; not tried again before this.
    down_until: Option<Time>,
    hold: Hold,
}

impl ServerAdmission {
    /// A server with concurrency bounds and a queue no longer than `max_wait`.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_policy::{AdmissionDecision, ServerAdmission, Switches, WorkItem};
    /// use std::time::Duration;
    /// use stdx::Time;
    ///
    /// let mut server = ServerAdmission::new(Switches::ALL, 1, 100, Duration::from_millis(100));
    /// let ticket = WorkItem {
    ///     id: 1,
    ///     class: proto::Class::Order,
    ///     priority: 0,
    ///     random_value: 7,
    ///     passed_level: 0,
    ///     deadline: Time::from_micros(1_000_000),
    ///     arrived: Time::ZERO,
    ///     admitted: false,
    /// };
    /// assert_eq!(server.offer(Time::ZERO, ticket), AdmissionDecision::Start);
    /// ```
    pub fn new(switches: Switches, min: u16, max: u16, max_wait: Duration) -> Self {
        let mut server = Self {
            switches,
            limit: Limit::new(min, max),
            level: Level::new(),
            queue: Queue::default(),
            max_wait,
            running: 0,
            ticked: Time::ZERO,
            took: Estimate::default(),
            took_by_class: [Estimate::default(); CLASSES],
            held_by_class: [Estimate::default(); CLASSES],
            failing: Failing::default(),
            pace: Pace::default(),
            down_until: None,
            hold: Hold::default(),
        };
        server.skip_ramp();
        server
    }

    /// Another incarnation of the server has started. What was learned of the limit of the one
    /// before it says nothing of this one; a server that tells its slots starts with those.
    pub fn on_server_restart(&mut self, now: Time, slots: u16) {
        self.down_until = None;
        self.failing.reset();
        self.pace = Pace::default();
        self.limit.restart(now);
        self.limit.set_bounds(1, slots.max(1));
        self.limit.set_to_max();
    }

    /// Takes the priorities of the rules in force.
    pub fn set_priority_bands(&mut self, ranks: PriorityBands) {
        self.level.set_ranks(ranks);
    }

    /// Takes new bounds from the rules.
    pub fn set_bounds(&mut self, min: u16, max: u16, max_wait: Duration) {
        self.limit.set_bounds(min, max);
        self.max_wait = max_wait;
        self.skip_ramp();
    }

    fn skip_ramp(&mut self) {
        if !self.switches.slow_start || !self.switches.adaptive_limit {
            self.limit.set_to_max();
        }
    }

    /// Offers work.
    pub fn offer(&mut self, now: Time, ticket: WorkItem) -> AdmissionDecision {
        if let Some(takes) = self.held_by_class[ticket.class as usize].mean() {
            self.level.offered(now, &ticket, takes);
        }
        self.tick(now);
        let value = admission_value(ticket.class, ticket.random_value);
        if self.switches.levels && !ticket.admitted && value < self.level.get() {
            self.hold_lookups(now, ticket.class);
            return self.refuse(Reason::Shed, ticket);
        }
        if self.down_until.is_some_and(|until| now < until) {
            return self.refuse(Reason::ServerLost, ticket);
        }
        if self.is_held(now, &ticket) {
            return self.refuse_for_load(now, ticket);
        }
        if self.is_too_late(now, &ticket, Duration::ZERO) {
            return self.refuse(Reason::Deadline, ticket);
        }
        if self.has_room(ticket.class) && self.queue.is_empty() {
            self.begin(&ticket);
            return AdmissionDecision::Start;
        }
        self.enqueue(now, ticket)
    }

    fn enqueue(&mut self, now: Time, ticket: WorkItem) -> AdmissionDecision {
        let ahead = self.queue.ahead_of(&ticket, self.switches.class_order);
        let wait = self.drain_time(ahead + 1);
        let hopeless = self.switches.deadline_queue && self.is_too_late(now, &ticket, wait);
        let full = ahead >= self.capacity() && !ticket.admitted;
        if hopeless || full || self.queue.len() >= MAX_QUEUE {
            return self.refuse_for_load(now, ticket);
        }
        self.queue.push(ticket);
        AdmissionDecision::Queued
    }

    /// Takes back work that started.
    pub fn on_finished(&mut self, now: Time, class: Class, ended: WorkOutcome) {
        // While the level sheds, more would run if the limit let it, though it is seldom reached.
        let full = self.running >= self.limit.get() || self.level() > 0;
        self.tick(now);
        self.running = self.running.saturating_sub(1);
        self.failing.hear(now, self.silent_or(class, ended));
        match ended {
            WorkOutcome::Completed { elapsed, own_time } => {
                self.down_until = None;
                self.took.record(elapsed);
                self.took_by_class[class as usize].record(elapsed);
                self.held_by_class[class as usize].record(elapsed);
                self.pace.hear(now, class, own_time);
                if self.switches.adaptive_limit {
                    self.limit.sample(now, class, own_time, full);
                }
            }
            WorkOutcome::Refused if self.switches.adaptive_limit => self.limit.refused(),
            WorkOutcome::Unreachable => self.went_down(now),
            WorkOutcome::Abandoned { elapsed, .. } => {
                self.held_by_class[class as usize].record(elapsed)
            }
            WorkOutcome::Refused | WorkOutcome::Lost | WorkOutcome::Failed => {}
        }
    }

    /// A server that keeps work for much longer than is usual has lost it, as far as callers can tell. They
    /// have given it up and gone elsewhere; without this nobody would notice that it answers so little.
    fn silent_or(&self, class: Class, ended: WorkOutcome) -> WorkOutcome {
        let WorkOutcome::Abandoned { own_time, .. } = ended else {
            return ended;
        };
        let usual = self.took_by_class[class as usize].mean();
        match usual.is_some_and(|usual| own_time >= usual * SILENT_AFTER) {
            true => WorkOutcome::Lost,
            false => WorkOutcome::Failed,
        }
    }

    /// An unreachable server answers quickly, and would draw all work to itself. So it is tried
    /// with one piece of work at a time, and starts cold when it is back.
    fn went_down(&mut self, now: Time) {
        self.down_until = Some(now + DOWN_PAUSE);
        if self.switches.slow_start && self.switches.adaptive_limit {
            self.limit.restart(now);
        }
    }

    /// Takes a ticket out of the queue; `false` if it is not there.
    pub fn cancel(&mut self, id: u64) -> bool {
        self.queue.withdraw(id)
    }

    /// The next ticket that leaves the queue: to start, or refused. Call until `None`.
    pub fn next_decision(&mut self, now: Time) -> Option<(WorkItem, AdmissionDecision)> {
        if let Some(ticket) = self.pop_hopeless(now) {
            return Some((ticket, self.refuse_for_load(now, ticket)));
        }
        if self.hold.is_on() {
            if let Some(ticket) = self.queue.displace_lookup() {
                return Some((ticket, self.refuse_for_load(now, ticket)));
            }
        }
        if let Some(ticket) = self.queue.displace(self.capacity()) {
            return Some((ticket, self.refuse_for_load(now, ticket)));
        }
        let next = if self.queue.protected_len() > 0 {
            Class::Order
        } else {
            Class::Lookup
        };
        if !self.has_room(next) {
            return None;
        }
        let ticket = self.queue.pop(self.switches.class_order)?;
        self.begin(&ticket);
        Some((ticket, AdmissionDecision::Start))
    }

    fn pop_hopeless(&mut self, now: Time) -> Option<WorkItem> {
        let (max_wait, took) = (self.max_wait, self.took_by_class);
        let by_deadline = self.switches.deadline_queue;
        self.queue.pop_hopeless(|ticket| {
            let probe = !by_deadline || ticket.random_value % LATE_PROBES == 0;
            let least = if probe {
                Duration::ZERO
            } else {
                took[ticket.class as usize].least()
            };
            let waited = now.since(ticket.arrived);
            waited >= longest_wait(max_wait, ticket) || now + least >= ticket.deadline
        })
    }

    /// When [`ServerAdmission::next_decision`] has to be called again even if nothing finishes.
    pub fn next_timer(&self) -> Option<Time> {
        let max_wait = self.max_wait;
        self.queue
            .next_timer(|ticket| longest_wait(max_wait, ticket))
    }

    /// What to tell others.
    pub fn report(&self) -> LoadReport {
        let load = u32::from(self.running) + self.queue.len() as u32;
        let mut utilisation = load * 1000 / u32::from(self.limit.get().max(1));
        if self.down_until.is_some() {
            utilisation = u32::from(u16::MAX);
        }
        LoadReport {
            utilisation: utilisation.min(u32::from(u16::MAX)) as u16,
            penalty: self.penalty(),
            level: self.level(),
            limit: self.limit.get(),
            draining: false,
        }
    }

    fn penalty(&self) -> u16 {
        let failing = match self.switches.avoid_failing {
            true => self.failing.load(self.ticked),
            false => 0,
        };
        let slow = match self.switches.avoid_slow {
            true => self.pace.load(self.ticked),
            false => 0,
        };
        failing.saturating_add(slow)
    }

    /// Runs in progress, work that waits, and the concurrency limit.
    pub fn occupancy(&self) -> (u16, usize, u16) {
        (self.running, self.queue.len(), self.limit.get())
    }

    /// The present admission level.
    pub fn level(&self) -> u16 {
        if self.switches.levels {
            self.level.get()
        } else {
            0
        }
    }

    /// Lets the level fall while nothing comes.
    pub fn tick(&mut self, now: Time) {
        self.ticked = now;
        let takes = self.took.mean().unwrap_or(Duration::ZERO);
        let waiting = self.queue.len() as f64 * takes.as_secs_f64();
        self.level.decide(now, self.limit.get(), waiting);
    }

    fn begin(&mut self, ticket: &WorkItem) {
        debug_assert!(
            ticket.class.is_protected() || ticket.arrived >= self.hold.refused(),
            "a lookup starts that waited while a protected call was refused for load"
        );
        self.running += 1;
    }

    fn has_room(&self, class: Class) -> bool {
        let limit = match self.down_until {
            Some(_) => 1,
            None if class.is_protected() => self.limit.for_protected(),
            None => self.limit.get(),
        };
        self.running < limit
    }

    /// After a protected call was refused for load, a lookup that came later must not run before
    /// there is room for such calls again: it would have taken the place that the other lacked.
    fn is_held(&mut self, now: Time, ticket: &WorkItem) -> bool {
        let room = self.has_room(Class::Lookup) && self.queue.protected_len() == 0;
        self.hold.check(now, room) && !ticket.class.is_protected()
    }

    /// Whether not even a quick run would end before the deadline, after waiting for `wait`.
    fn is_too_late(&self, now: Time, ticket: &WorkItem, wait: Duration) -> bool {
        if !self.switches.deadline_queue {
            return now >= ticket.deadline;
        }
        if now + wait >= ticket.deadline {
            return true;
        }
        let least = self.took_by_class[ticket.class as usize].least();
        now + wait + least >= ticket.deadline && ticket.random_value % LATE_PROBES != 0
    }

    fn refuse_for_load(&mut self, now: Time, ticket: WorkItem) -> AdmissionDecision {
        if ticket.admitted {
            // Its own time is over: it was slow on its way here. Room for others like it would not
            // have helped, and the lookups that wait are work half done as well.
            return self.refuse(Reason::Deadline, ticket);
        }
        self.hold_lookups(now, ticket.class);
        self.refuse(Reason::QueueFull, ticket)
    }

    /// Work was refused for load before it was offered.
    pub fn on_refused_before_offer(&mut self, now: Time, class: Class) {
        self.hold_lookups(now, class);
    }

    /// A protected call is refused for load: lookups that wait are refused too, and those that come
    /// in the next moments.
    fn hold_lookups(&mut self, now: Time, class: Class) {
        if class.is_protected() && self.switches.class_order {
            self.hold.begin(now);
        }
    }

    /// Tells when the backlog will be gone, stretched by how much more is offered than can be
    /// done. All who are refused together would come back together, so the dice spread them.
    fn refuse(&self, reason: Reason, ticket: WorkItem) -> AdmissionDecision {
        let backlog = self.drain_time(self.queue.len() + usize::from(self.running));
        let wait = (backlog + MIN_RETRY_AFTER).mul_f64(self.level.pressure().min(100.0));
        let spread = if self.switches.spread {
            retry_jitter(ticket.random_value)
        } else {
            1.0
        };
        let wait = wait.mul_f64(spread).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        AdmissionDecision::Refused(Refusal::new(reason, wait))
    }

    /// The most tickets that the queue can hand on within its longest wait.
    fn capacity(&self) -> usize {
        let limit = f64::from(self.limit.get());
        let most = match self.took.0 {
            Some((mean, _)) => limit * self.max_wait.as_secs_f64() / mean.max(1e-6),
            None => limit,
        };
        (most as usize).clamp(1, MAX_QUEUE)
    }

    /// How long it takes until `tickets` have left the queue.
    fn drain_time(&self, tickets: usize) -> Duration {
        let Some((mean, _)) = self.took.0 else {
            return Duration::ZERO;
        };
        let secs = tickets as f64 * mean / f64::from(self.limit.get().max(1));
        Duration::from_secs_f64(secs.min(3600.0))
    }
}

/// How long a ticket may wait. A protected one goes before all lookups, so it waits long only where
/// protected work alone is too much; refused after the time that is good for lookups, it would take
/// all waiting lookups with it (see `hold_lookups`).
fn longest_wait(max_wait: Duration, ticket: &WorkItem) -> Duration {
    if ticket.admitted {
        Duration::MAX
    } else if ticket.class.is_protected() {
        max_wait * PROTECTED_PATIENCE
    } else {
        max_wait
    }
}
