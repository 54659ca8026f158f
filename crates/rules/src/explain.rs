//! Explains which rules apply to a call and who requested them.

use crate::Operation;
use crate::RuleOrigin;
use crate::Rules;
use crate::ServiceLimits;
use std::fmt;
use std::time::Duration;
use stdx::plain;

plain! {
    /// A limit of a service.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum LimitKind {
        /// Bounds of the concurrency limit of a backend server.
        Concurrency,
        /// Maximum time that a call waits in the queue.
        Queue,
        /// Retention of idempotency key records.
        KeyRetention,
        /// Percentage of requests that a caller may re-send.
        Resends,
    }
}

impl LimitKind {
    /// All limits.
    pub const ALL: [LimitKind; 4] = [
        LimitKind::Concurrency,
        LimitKind::Queue,
        LimitKind::KeyRetention,
        LimitKind::Resends,
    ];
}

/// The rules that apply to a call. `Display` prints one line for each rule and each default.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation<'a> {
    /// The first matching operation in the file. If there is none, the call is refused.
    pub operation: Option<&'a Operation>,
    /// The limits of the service. Those without an origin are defaults.
    pub limits: ServiceLimits,
}

impl Rules {
    /// Returns the rules that apply to a call. `path` may contain a query.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = "operation press POST /slots class=booking deadline=2s # asked by Anna";
    /// let rules = bilberry_rules::Rules::parse(text).unwrap();
    /// let explanation = rules.explain("press", "POST", "/slots").to_string();
    /// let first = explanation.lines().next().unwrap();
    /// assert_eq!(
    ///     first,
    ///     "line 1: operation press POST /slots class=booking deadline=2s retries=0, asked by Anna"
    /// );
    /// ```
    pub fn explain(&self, service: &str, method: &str, path: &str) -> Explanation<'_> {
        Explanation {
            operation: self.operation(service, method, path),
            limits: self.service_limits(service),
        }
    }
}

impl fmt::Display for Explanation<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(operation) = self.operation else {
            return writeln!(f, "no operation matches: refused as no-such-operation");
        };
        let RuleOrigin { line, requested_by } = &operation.origin;
        writeln!(f, "line {line}: {operation}, asked by {requested_by}")?;
        for kind in LimitKind::ALL {
            match self.limits.origins.get(&kind) {
                Some(RuleOrigin { line, requested_by }) => write!(f, "line {line}: ")
                    .and_then(|()| self.limits.write(f, kind))
                    .and_then(|()| writeln!(f, ", asked by {requested_by}"))?,
                None => write!(f, "default: ")
                    .and_then(|()| self.limits.write(f, kind))
                    .and_then(|()| writeln!(f))?,
            }
        }
        Ok(())
    }
}

impl ServiceLimits {
    fn write(&self, f: &mut fmt::Formatter<'_>, kind: LimitKind) -> fmt::Result {
        match kind {
            LimitKind::Concurrency => {
                let (min, max) = (self.min_concurrency, self.max_concurrency);
                write!(f, "concurrency={min}..{max}")
            }
            LimitKind::Queue => write!(f, "queue={}", Readable(self.max_queue_time)),
            LimitKind::KeyRetention => write!(f, "retention={}", Readable(self.key_retention)),
            LimitKind::Resends => write!(f, "percent={}", self.resend_percent),
        }
    }
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "operation {} {} {} class={} deadline={} retries={}",
            self.service,
            self.method,
            self.path,
            self.class.name(),
            Readable(self.deadline),
            self.retries
        )?;
        if self.latency_objective != self.deadline {
            write!(f, " objective={}", Readable(self.latency_objective))?;
        }
        if self.priority > 0 {
            write!(f, " priority={}", self.priority)?;
        }
        if self.idempotent {
            write!(f, " idempotent")?;
        }
        if self.public {
            write!(f, " public")?;
        }
        Ok(())
    }
}

/// Formats a duration as in a rules file, in the largest unit that divides it.
struct Readable(Duration);

impl fmt::Display for Readable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.0.as_millis();
        for (unit, length) in [("h", 3_600_000), ("m", 60_000), ("s", 1_000)] {
            if millis >= length && millis % length == 0 {
                return write!(f, "{}{unit}", millis / length);
            }
        }
        write!(f, "{millis}ms")
    }
}
