//! Holding lookups back for a moment after a protected call was refused for load.

use std::time::Duration;
use stdx::Time;

/// How long they are held back, unless there is room for protected calls again by then.
const HOLD: Duration = Duration::from_millis(100);

/// A lookup that starts just after an order was refused has taken the place that the order lacked; the
/// shop would lose its sale to somebody who browses.
#[derive(Debug, Default)]
pub(crate) struct Hold {
    until: Option<Time>,
    refused: Time,
}

impl Hold {
    /// A protected call was refused for load.
    pub(crate) fn begin(&mut self, now: Time) {
        self.until = Some(now + HOLD);
        self.refused = now;
    }

    /// Whether lookups are held back. It ends once its time is over and there is room.
    pub(crate) fn check(&mut self, now: Time, has_room: bool) -> bool {
        if self.until.is_some_and(|until| now >= until) && has_room {
            self.until = None;
        }
        self.is_on()
    }

    /// Whether lookups were held back when last checked.
    pub(crate) fn is_on(&self) -> bool {
        self.until.is_some()
    }

    /// When a protected call was last refused for load.
    pub(crate) fn refused(&self) -> Time {
        self.refused
    }
}
