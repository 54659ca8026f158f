//! The status page, for `bilberryctl status`.

use crate::shell::Shell;

impl Shell {
    /// `key value` lines: who this is, what it knows, gauges, counters.
    pub(crate) fn status(&self) -> String {
        let engine = self.engine.borrow();
        let mut lines = vec![
            format!("incarnation {}", self.me.incarnation),
            format!("service {}", self.me.service),
            format!("failure_domain {}", self.me.failure_domain),
            format!("rules_version {}", engine.rules_version()),
            format!("next_offset {}", engine.next_offset()),
            format!("listed {}", engine.is_listed()),
            format!("instances {}", engine.journal().instances().count()),
            format!("runs {}", self.run_count()),
        ];
        let gauges = engine.gauges(self.now());
        let gauges = gauges.into_iter().chain(self.metrics.bytes.gauges());
        lines.extend(gauges.map(|(name, value)| format!("gauge.{name} {value}")));
        let totals = self.metrics.totals();
        lines.extend(totals.iter().map(|(name, n)| format!("counter.{name} {n}")));
        lines.push(String::new());
        lines.join("\n")
    }
}
