//! Which rules decide a call, and who asked for them.

use crate::Operation;
use crate::RuleOrigin;
use crate::Rules;
use crate::ServiceLimits;
use std::fmt;
use std::time::Duration;
use stdx::plain;

plain! {
    /// One bound of a service.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum LimitKind {
        /// Calls at a time on one backend server.
        Concurrency,
        /// The wait in the queue.
        Queue,
        /// How long the record of a key is kept.
        KeyRetention,
        /// A caller's own re-sends.
        Resends,
    }
}

impl LimitKind {
    /// Every bound.
    pub const ALL: [LimitKind; 4] = [
        LimitKind::Concurrency,
        LimitKind::Queue,
        LimitKind::KeyRetention,
        LimitKind::Resends,
    ];
}

/// The rules that decide a call. Its `Display` has one line for each rule and each default.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation<'a> {
    /// The first operation in the file that matches; without one the call is refused.
    pub operation: Option<&'a Operation>,
    /// The bounds of the service, with who asked for each; one that nobody asked for is a default.
    pub limits: ServiceLimits,
}

impl Rules {
    /// Says which rules decide a call. `path` may have a query.
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
        for bound in LimitKind::ALL {
            match self.limits.origin.get(&bound) {
                Some(RuleOrigin { line, requested_by }) => write!(f, "line {line}: ")
                    .and_then(|()| self.limits.write(f, bound))
                    .and_then(|()| writeln!(f, ", asked by {requested_by}"))?,
                None => write!(f, "default: ")
                    .and_then(|()| self.limits.write(f, bound))
                    .and_then(|()| writeln!(f))?,
            }
        }
        Ok(())
    }
}

impl ServiceLimits {
    fn write(&self, f: &mut fmt::Formatter<'_>, bound: LimitKind) -> fmt::Result {
        match bound {
            LimitKind::Concurrency => {
                let (min, max) = (self.min_concurrency, self.max_concurrency);
                write!(f, "concurrency={min}..{max}")
            }
            LimitKind::Queue => write!(f, "queue={}", Shown(self.queue)),
            LimitKind::KeyRetention => write!(f, "retention={}", Shown(self.key_retention)),
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
            Shown(self.deadline),
            self.retries
        )?;
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

/// A duration as rules write it, in the largest unit that has no rest.
struct Shown(Duration);

impl fmt::Display for Shown {
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
