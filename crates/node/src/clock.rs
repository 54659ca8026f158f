//! The node's time: the runtime's clock, and the time for which the machine was suspended.
//!
//! A suspended machine's steady clock stands still. Woken up, a node that goes by it alone takes all that it
//! knew for fresh: a home would start an order by a lease that has long gone to another, which one
//! would notice as a doubled order, and callers who have left would be served. The boot-time clock goes
//! on, so what it gained on the steady one is added.

use nix::time::clock_gettime;
use nix::time::ClockId;
use std::cell::Cell;
use std::time::Duration;
use stdx::Time;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// The two clocks are read one after the other. A smaller gain is only the time in between.
const LEAST_GAIN: Duration = Duration::from_millis(10);

/// Tells by how much the boot-time clock is ahead of the steady one.
type Lead = dyn Fn() -> Duration;

/// A clock that begins at zero and never goes back.
pub(crate) struct Clock {
    origin: Instant,
    lead: Box<Lead>,
    first_lead: Duration,
    suspended: Cell<Duration>,
    /// The part of it that was told.
    told: Cell<Duration>,
}

impl Clock {
    /// The clock of this machine.
    pub(crate) fn new() -> Self {
        Self::with_lead(Box::new(machine_lead))
    }

    pub(crate) fn with_lead(lead: Box<Lead>) -> Self {
        Self {
            origin: Instant::now(),
            first_lead: lead(),
            suspended: Cell::new(Duration::ZERO),
            told: Cell::new(Duration::ZERO),
            lead,
        }
    }

    /// The present time.
    pub(crate) fn now(&self) -> Time {
        self.compare();
        self.compared()
    }

    /// The present time by the last comparison of the clocks, for those who have just made one.
    pub(crate) fn compared(&self) -> Time {
        Time::ZERO + self.origin.elapsed() + self.suspended.get()
    }

    /// When the runtime's clock will show this time, if the machine is not suspended meanwhile.
    pub(crate) fn instant(&self, at: Time) -> Instant {
        let since = at.since(Time::ZERO).saturating_sub(self.suspended.get());
        self.origin + since
    }

    /// For how long the machine was suspended since this was last asked, if it was. Whoever asks for
    /// the time in between does not take the answer away.
    pub(crate) fn notice_suspension(&self) -> Option<Duration> {
        self.compare();
        let suspended = self.suspended.get();
        let gain = suspended - self.told.replace(suspended);
        Some(gain).filter(|gain| !gain.is_zero())
    }

    fn compare(&self) {
        let lead = (self.lead)().saturating_sub(self.first_lead);
        if lead >= self.suspended.get() + LEAST_GAIN {
            self.suspended.set(lead);
        }
    }
}

/// None where the system has no such clock: then nothing is known of suspensions.
fn machine_lead() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    match (
        read(ClockId::CLOCK_BOOTTIME),
        read(ClockId::CLOCK_MONOTONIC),
    ) {
        (Ok(boot), Ok(steady)) => boot.saturating_sub(steady),
        _ => Duration::ZERO,
    }
}
