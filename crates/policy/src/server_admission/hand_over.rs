//! The speed of the server, and work that another instance should run because the server has become
//! slow.

use super::ServerAdmission;
use crate::WorkItem;
use proto::Reason;
use proto::Refusal;
use std::time::Duration;
use stdx::Time;

impl ServerAdmission {
    /// Sets how long the server says that work takes on its machine, in percent of the usual.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_policy::{ServerAdmission, Switches};
    /// use std::time::Duration;
    /// use stdx::Time;
    ///
    /// let mut server = ServerAdmission::new(Switches::ALL, 1, 100, Duration::from_millis(100));
    /// assert_eq!(server.report().slowdown_percent, 0);
    /// server.set_slowdown(Time::ZERO, 250);
    /// assert_eq!(server.report().slowdown_percent, 250);
    /// assert!(server.is_slow(Time::ZERO));
    /// ```
    pub fn set_slowdown(&mut self, now: Time, percent: u16) {
        self.speed.on_report(now, percent);
    }

    /// The newest reported slowdown in percent, and its age; `None` if the server reports none.
    ///
    /// # Examples
    ///
    /// ```
    /// # use bilberry_policy::{ServerAdmission, Switches};
    /// # use std::time::Duration;
    /// # use stdx::Time;
    /// let mut server = ServerAdmission::new(Switches::ALL, 1, 100, Duration::from_millis(100));
    /// server.set_slowdown(Time::ZERO, 250);
    /// let age = Duration::from_millis(30);
    /// assert_eq!(server.slowdown(Time::ZERO + age), Some((250, age)));
    /// ```
    pub fn slowdown(&self, now: Time) -> Option<(u16, Duration)> {
        self.speed.newest(now)
    }

    /// Whether the server says that work takes much longer at this moment than it does on average.
    pub fn is_slow(&self, now: Time) -> bool {
        self.speed.is_slow(now)
    }

    /// Records the own time of a completed run of an operation, which is identified by the line of
    /// its rule. It is used only if the server reports how long work takes on its machine.
    ///
    /// # Examples
    ///
    /// ```
    /// # use bilberry_policy::{ServerAdmission, Switches};
    /// # use std::time::Duration;
    /// # use stdx::Time;
    /// let mut server = ServerAdmission::new(Switches::ALL, 1, 100, Duration::from_millis(100));
    /// server.set_slowdown(Time::ZERO, 200);
    /// for _ in 0..16 {
    ///     server.record_run(Time::ZERO, 7, Duration::from_millis(50));
    /// }
    /// let run_time_us = server.report().speed.run_time_us;
    /// assert!((24_000..26_000).contains(&run_time_us), "25 ms at the usual speed");
    /// ```
    pub fn record_run(&mut self, now: Time, operation: u32, own_time: Duration) {
        self.speed.record_operation(now, operation, own_time);
    }

    /// Forgets the runs recorded by [`ServerAdmission::record_run`]. Called when new rules take effect,
    /// because operations are identified by lines of the rules.
    ///
    /// # Examples
    ///
    /// ```
    /// # use bilberry_policy::{ServerAdmission, Switches};
    /// # use std::time::Duration;
    /// # use stdx::Time;
    /// let mut server = ServerAdmission::new(Switches::ALL, 1, 100, Duration::from_millis(100));
    /// server.set_slowdown(Time::ZERO, 200);
    /// for _ in 0..16 {
    ///     server.record_run(Time::ZERO, 7, Duration::from_millis(50));
    /// }
    /// server.forget_runs();
    /// assert_eq!(server.report().speed.run_time_us, 0);
    /// ```
    pub fn forget_runs(&mut self) {
        self.speed.forget_operations();
    }

    /// Whether work that is offered now is handed over: the server is slow, and the work would end
    /// after `due`. Only for work that another instance may run and is known to have room for.
    ///
    /// # Examples
    ///
    /// ```
    /// # use bilberry_policy::{ServerAdmission, Switches, WorkItem, WorkOutcome};
    /// # use std::time::Duration;
    /// # use stdx::Time;
    /// let mut server = ServerAdmission::new(Switches::ALL, 1, 100, Duration::from_millis(100));
    /// let (now, elapsed) = (Time::ZERO, Duration::from_millis(50));
    /// let class = proto::Class::Lookup;
    /// server.set_slowdown(now, 100);
    /// let outcome = WorkOutcome::Completed { elapsed, own_time: elapsed };
    /// server.on_finished(now, class, outcome);
    /// let item = WorkItem {
    ///     id: 1,
    ///     class,
    ///     priority: 0,
    ///     random_value: 7,
    ///     passed_level: 0,
    ///     deadline: now + Duration::from_secs(1),
    ///     latest_start: None,
    ///     operation: 0,
    ///     patient: false,
    ///     organisation: 0,
    ///     arrived: now,
    ///     admitted: true,
    ///     only_here: false,
    /// };
    /// let due = now + Duration::from_millis(100);
    /// assert!(!server.hands_over(now, &item, due));
    /// server.set_slowdown(now, 250);
    /// assert!(server.hands_over(now, &item, due), "it takes 125 ms now");
    /// ```
    pub fn hands_over(&self, now: Time, item: &WorkItem, due: Time) -> bool {
        let ahead = || self.queue.ahead_of(now, item, self.switches.class_order);
        self.is_slow(now) && self.would_be_late(now, item, ahead(), due)
    }

    /// The waiting work, in queue order, that is handed over: as for
    /// [`ServerAdmission::hands_over`], but `due` returns `None` for work that stays. At most as
    /// many as the concurrency limit, so that a long queue does not go to the other instances at
    /// once.
    pub fn waiting_to_hand_over(
        &self,
        now: Time,
        due: impl Fn(&WorkItem) -> Option<Time>,
    ) -> Vec<u64> {
        if !self.is_slow(now) {
            return Vec::new();
        }
        let mut handed_over = Vec::new();
        for (position, item) in self.queue.iter().enumerate() {
            let ahead = position - handed_over.len();
            let is_late = |due| self.would_be_late(now, item, ahead, due);
            if due(item).is_some_and(is_late) {
                handed_over.push(item.id);
            }
            if handed_over.len() >= usize::from(self.limit.get()) {
                break;
            }
        }
        handed_over
    }

    /// The refusal of work that is handed over. It holds for this attempt only, by which the ingress
    /// node distinguishes it from the refusal of a full queue. The delay is for a caller whose call cannot be
    /// sent again.
    pub fn hand_over_refusal(&self, now: Time, random_value: u16) -> Refusal {
        Refusal::new(Reason::QueueFull, self.retry_delay(now, random_value)).for_attempt_only()
    }

    /// Whether work with `ahead` items before it in the queue would end after `due`, at the present
    /// speed of the server.
    fn would_be_late(&self, now: Time, item: &WorkItem, ahead: usize, due: Time) -> bool {
        let Some(run_time) = self.speed.expected_time(now, item.class) else {
            return false;
        };
        let must_wait = ahead > 0 || !self.can_start(now, item.class);
        let wait = match must_wait {
            true => run_time.mul_f64((ahead + 1) as f64 / f64::from(self.limit.get().max(1))),
            false => Duration::ZERO,
        };
        now + wait + run_time > due
    }
}
