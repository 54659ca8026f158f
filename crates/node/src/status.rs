//! The status page, read by `bilberryctl status`.

use crate::shell::Shell;

impl Shell {
    /// `key value` lines: identity, state, gauges and counters.
    pub(crate) fn status(&self) -> String {
        let engine = self.engine.borrow();
        let mut lines = vec![
            format!("incarnation {}", self.own_instance.incarnation),
            format!("service {}", self.own_instance.service),
            format!("failure_domain {}", self.own_instance.failure_domain),
            format!("rules_version {}", engine.rules_version()),
            format!("next_offset {}", engine.next_offset()),
            format!("listed {}", engine.is_listed()),
            format!("instances {}", engine.journal().instances().count()),
            format!("runs {}", self.run_count()),
        ];
        let gauges = self.gauges();
        let gauges = gauges
            .into_iter()
            .chain(self.metrics.control_bytes.gauges());
        lines.extend(gauges.map(|(name, value)| format!("gauge.{name} {value}")));
        let counters = self.metrics.counters();
        lines.extend(
            counters
                .iter()
                .map(|(name, n)| format!("counter.{name} {n}")),
        );
        lines.push(String::new());
        lines.join("\n")
    }
}
