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
const MIN_SUSPENSION: Duration = Duration::from_millis(10);

/// Tells by how much the boot-time clock is ahead of the steady one.
type BootTimeOffset = dyn Fn() -> Duration;

/// A clock that begins at zero and never goes back.
pub(crate) struct Clock {
    origin: Instant,
    boot_offset: Box<BootTimeOffset>,
    initial_offset: Duration,
    suspended: Cell<Duration>,
    /// The part of it that was told.
    reported: Cell<Duration>,
}

impl Clock {
    /// The clock of this machine.
    pub(crate) fn new() -> Self {
        Self::with_boot_offset(Box::new(system_boot_offset))
    }

    pub(crate) fn with_boot_offset(boot_offset: Box<BootTimeOffset>) -> Self {
        Self {
            origin: Instant::now(),
            initial_offset: boot_offset(),
            suspended: Cell::new(Duration::ZERO),
            reported: Cell::new(Duration::ZERO),
            boot_offset,
        }
    }

    /// The present time.
    pub(crate) fn now(&self) -> Time {
        self.update_suspended();
        self.now_without_update()
    }

    /// The present time by the last comparison of the clocks, for those who have just made one.
    pub(crate) fn now_without_update(&self) -> Time {
        Time::ZERO + self.origin.elapsed() + self.suspended.get()
    }

    /// When the runtime's clock will show this time, if the machine is not suspended meanwhile.
    pub(crate) fn to_instant(&self, at: Time) -> Instant {
        let since = at.since(Time::ZERO).saturating_sub(self.suspended.get());
        self.origin + since
    }

    /// For how long the machine was suspended since this was last asked, if it was. Whoever asks for
    /// the time in between does not take the answer away.
    pub(crate) fn take_suspension(&self) -> Option<Duration> {
        self.update_suspended();
        let suspended = self.suspended.get();
        let unreported = suspended - self.reported.replace(suspended);
        Some(unreported).filter(|unreported| !unreported.is_zero())
    }

    fn update_suspended(&self) {
        let boot_offset = (self.boot_offset)().saturating_sub(self.initial_offset);
        if boot_offset >= self.suspended.get() + MIN_SUSPENSION {
            self.suspended.set(boot_offset);
        }
    }
}

/// None where the system has no such clock: then nothing is known of suspensions.
fn system_boot_offset() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    match (
        read(ClockId::CLOCK_BOOTTIME),
        read(ClockId::CLOCK_MONOTONIC),
    ) {
        (Ok(boot), Ok(monotonic)) => boot.saturating_sub(monotonic),
        _ => Duration::ZERO,
    }
}
