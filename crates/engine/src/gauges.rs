//! Gauges: values that are sampled, as opposed to counters.

use crate::Engine;
use policy::RequestRate;
use stdx::Time;

/// The name of a metric and its current value.
pub type Gauge = (&'static str, u64);

impl Engine {
    /// The sizes of all tables and the current state of the controllers. Utilisation and level are
    /// in the units of [`proto::LoadReport`], the remaining time of the lease in milliseconds, the
    /// rate limit of the backend server in thousandths of a request per second.
    ///
    /// # Examples
    ///
    /// ```
    /// # use bilberry_engine::{Config, Engine};
    /// # let instance = proto::Instance {
    /// #     incarnation: proto::Incarnation(1),
    /// #     service: "press".into(),
    /// #     failure_domain: "milano-1".into(),
    /// #     region: "lombardia".into(),
    /// #     addr: ([127, 0, 0, 1], 7000).into(),
    /// # };
    /// let engine = Engine::new(Config::default(), instance);
    /// assert!(engine.gauges(stdx::Time::ZERO).contains(&("requests", 0)));
    /// ```
    pub fn gauges(&self, now: Time) -> Vec<Gauge> {
        let sizes = self.table_sizes();
        let load = self.load_report();
        let (queued_late, queued_patient) = self.server.slack_occupancy();
        let (waiting, promised, remembered) = self.quota.slack.sizes();
        vec![
            ("requests", sizes.requests as u64),
            ("calls", sizes.calls as u64),
            ("inbound", sizes.inbound as u64),
            ("jobs", sizes.jobs as u64),
            ("keys", sizes.keys as u64),
            ("peers", self.members.peers().count() as u64),
            ("instances", self.journal.instances().count() as u64),
            ("rules_version", self.journal.rules_version),
            ("home.ready_slots", self.home.ready_slots() as u64),
            (
                "home.lease_left",
                self.home.lease_left(now).as_millis() as u64,
            ),
            ("home.records", self.home.record_usage().0 as u64),
            ("home.record_bytes", self.home.record_usage().1 as u64),
            ("server.limit", u64::from(load.limit)),
            ("server.utilisation", u64::from(load.utilisation)),
            ("server.level", u64::from(load.level)),
            ("server.queued_late", queued_late as u64),
            ("server.queued_patient", queued_patient as u64),
            (
                "server.reserved_slots",
                u64::from(self.server.reserved_slots()),
            ),
            ("server.rate_limited", u64::from(self.has_rate_limit())),
            (
                "server.rate_limit_millihertz",
                self.rate_limit().map_or(0, RequestRate::millihertz),
            ),
            ("server.slowdown_percent", u64::from(load.slowdown_percent)),
            ("server.slowdown_age_ms", u64::from(load.speed.age_ms)),
            (
                "server.mean_slowdown_percent",
                u64::from(load.speed.mean_percent),
            ),
            ("server.run_time_us", u64::from(load.speed.run_time_us)),
            ("quota.waiting", waiting as u64),
            ("quota.promised", promised as u64),
            ("quota.refused_callers", remembered as u64),
            ("server.leaving", u64::from(self.server_is_leaving())),
        ]
    }
}
