//! A point in time for code that does not read a clock.

use std::ops::Add;
use std::time::Duration;

crate::plain! {
    /// Microseconds since an origin chosen by the caller, which may differ between instances;
    /// monotonic within one instance.
    ///
    /// Decision logic takes the current time as an argument and never reads a clock, so that a test
    /// or a benchmark can run many instances on a simulated clock.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_stdx::Time;
    /// use std::time::Duration;
    ///
    /// let start = Time::from_micros(10);
    /// let later = start + Duration::from_micros(5);
    /// assert_eq!(later.since(start), Duration::from_micros(5));
    /// assert_eq!(start.since(later), Duration::ZERO);
    /// ```
    #[derive(Default, Hash, PartialOrd, Ord)]
    pub struct Time(u64);
}

impl Time {
    /// The origin.
    pub const ZERO: Time = Time(0);

    /// The point `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Time(micros)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time elapsed since `earlier`; zero if `earlier` is not earlier.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The time remaining until `deadline`; zero if it has passed.
    pub const fn until(self, deadline: Time) -> Duration {
        deadline.since(self)
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, rhs: Duration) -> Time {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}
