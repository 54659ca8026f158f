//! Refusing lookups for a short time after a protected call was refused for load.

use std::time::Duration;
use stdx::Time;

/// The shortest time for which lookups are refused. It is extended until there is capacity for
/// protected calls again.
const MIN_HOLD: Duration = Duration::from_millis(100);

/// Tracks whether lookups are refused in favour of protected calls. A lookup that started just
/// after an order was refused would take the slot that the order needed.
#[derive(Debug, Default)]
pub(crate) struct LookupHold {
    until: Option<Time>,
    last_refusal: Time,
}

impl LookupHold {
    /// Starts or extends the hold, because a protected call was refused for load.
    pub(crate) fn begin(&mut self, now: Time) {
        self.until = Some(now + MIN_HOLD);
        self.last_refusal = now;
    }

    /// Whether lookups are refused. The hold ends once its time has passed and there is capacity.
    pub(crate) fn check(&mut self, now: Time, has_capacity: bool) -> bool {
        if self.until.is_some_and(|until| now >= until) && has_capacity {
            self.until = None;
        }
        self.is_active()
    }

    /// Whether lookups were refused when last checked.
    pub(crate) fn is_active(&self) -> bool {
        self.until.is_some()
    }

    /// When a protected call was last refused for load.
    pub(crate) fn last_refusal(&self) -> Time {
        self.last_refusal
    }
}
