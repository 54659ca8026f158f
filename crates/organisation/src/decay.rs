//! An exponentially decaying count of events.

use std::time::Duration;
use stdx::Time;

/// A count in which each event loses weight with its age.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecayingCount {
    time_constant: Duration,
    count: f64,
    updated_at: Time,
}

impl DecayingCount {
    pub(crate) const fn new(time_constant: Duration) -> Self {
        Self {
            time_constant,
            count: 0.0,
            updated_at: Time::ZERO,
        }
    }

    pub(crate) fn add(&mut self, now: Time, events: f64) {
        self.count = self.get(now) + events;
        self.updated_at = now;
    }

    pub(crate) fn get(&self, now: Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.count * (-age / self.time_constant.as_secs_f64()).exp()
    }

    pub(crate) fn reset(&mut self) {
        self.count = 0.0;
    }
}
