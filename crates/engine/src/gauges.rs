//! What is measured rather than counted.

use crate::Engine;
use stdx::Time;

/// A value at this moment, by the metric's name.
pub type Gauge = (&'static str, u64);

impl Engine {
    /// The sizes of all tables, and what the controllers hold at this moment. Load and level are
    /// in the units of [`proto::LoadReport`], the rest of the lease in milliseconds.
    ///
    /// # Examples
    ///
    /// ```
    /// # use bilberry_engine::{Config, Engine};
    /// # let me = proto::Instance {
    /// #     incarnation: proto::Incarnation(1),
    /// #     service: "press".into(),
    /// #     failure_domain: "milano-1".into(),
    /// #     region: "lombardia".into(),
    /// #     addr: ([127, 0, 0, 1], 7000).into(),
    /// # };
    /// let engine = Engine::new(Config::default(), me);
    /// assert!(engine.gauges(stdx::Time::ZERO).contains(&("requests", 0)));
    /// ```
    pub fn gauges(&self, now: Time) -> Vec<Gauge> {
        let tables = self.table_sizes();
        let load = self.load_report();
        vec![
            ("requests", tables.requests as u64),
            ("calls", tables.calls as u64),
            ("inbound", tables.inbound as u64),
            ("jobs", tables.jobs as u64),
            ("keys", tables.keys as u64),
            ("peers", self.members.peers().count() as u64),
            ("instances", self.journal.instances().count() as u64),
            ("rules_version", self.journal.version),
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
        ]
    }
}
