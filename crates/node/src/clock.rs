//! The node's time: the runtime's clock, plus the time for which the machine was suspended.
//!
//! The monotonic clock stops while a machine is suspended. A node that relied on it alone would
//! take all its state for fresh after waking up: it would start an order under a lease that has
//! long passed to another node, which would run the order twice, and it would serve callers that
//! have left. The boot-time clock keeps running, so the time it gained on the monotonic clock is
//! added.

use nix::time::clock_gettime;
use nix::time::ClockId;
use std::cell::Cell;
use std::time::Duration;
use stdx::Time;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Shortest suspension that is recognised. The two clocks are read one after the other, so a
/// smaller difference may just be the time between the reads.
const MIN_SUSPENSION: Duration = Duration::from_millis(10);

/// Returns how far the boot-time clock is ahead of the monotonic clock.
type BootTimeOffset = dyn Fn() -> Duration;

/// A clock that starts at zero and never goes back.
pub(crate) struct Clock {
    origin: Instant,
    boot_offset: Box<BootTimeOffset>,
    initial_offset: Duration,
    suspended: Cell<Duration>,
    /// The part of `suspended` that [`Clock::take_suspension`] has returned so far.
    reported: Cell<Duration>,
}

impl Clock {
    /// Creates a clock that uses the system's clocks.
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

    /// The current time.
    pub(crate) fn now(&self) -> Time {
        self.update_suspended();
        self.now_without_update()
    }

    /// The current time without comparing the clocks again, for callers that have just done so.
    pub(crate) fn now_without_update(&self) -> Time {
        Time::ZERO + self.origin.elapsed() + self.suspended.get()
    }

    /// When the runtime's clock will reach this time, provided that the machine is not suspended
    /// before.
    pub(crate) fn to_instant(&self, at: Time) -> Instant {
        let since_origin = at.since(Time::ZERO).saturating_sub(self.suspended.get());
        self.origin + since_origin
    }

    /// How long the machine was suspended since the last call of this method, or `None` if it was
    /// not. Calls of [`Clock::now`] in between do not consume the suspension.
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

/// Zero if the system has no boot-time clock; suspensions then go unnoticed.
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
