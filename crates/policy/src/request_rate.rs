//! Rates of requests.

use stdx::plain;

/// The highest rate that is accepted, in requests per second. It is more than any backend server
/// can handle.
const MAX_PER_SECOND: f64 = 1e6;

plain! {
    /// A rate of requests, in thousandths of a request per second.
    #[derive(PartialOrd, Ord)]
    pub struct RequestRate(u64);
}

plain! {
    /// Why a number is not a rate of requests.
    #[derive(Hash)]
    pub enum RateError {
        /// It is not finite.
        NotFinite,
        /// It is negative.
        Negative,
        /// It is larger than any backend server can handle.
        TooLarge,
    }
}

impl RequestRate {
    /// The rate with this number of thousandths of a request per second.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_policy::RequestRate;
    ///
    /// assert_eq!(RequestRate::from_millihertz(10_900).to_string(), "10.900");
    /// ```
    pub const fn from_millihertz(millihertz: u64) -> Self {
        Self(millihertz)
    }

    /// The rate with this number of requests per second, rounded to thousandths.
    ///
    /// # Errors
    ///
    /// [`RateError`] if the number is not a rate.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_policy::{RateError, RequestRate};
    ///
    /// let rate = RequestRate::from_per_second(10.9);
    /// assert_eq!(rate, Ok(RequestRate::from_millihertz(10_900)));
    /// assert_eq!(RequestRate::from_per_second(-1.0), Err(RateError::Negative));
    /// ```
    pub fn from_per_second(per_second: f64) -> Result<Self, RateError> {
        if !per_second.is_finite() {
            Err(RateError::NotFinite)
        } else if per_second < 0.0 {
            Err(RateError::Negative)
        } else if per_second > MAX_PER_SECOND {
            Err(RateError::TooLarge)
        } else {
            Ok(Self((per_second * 1000.0).round() as u64))
        }
    }

    /// Thousandths of a request per second.
    pub fn millihertz(self) -> u64 {
        self.0
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl std::fmt::Display for RequestRate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1000, self.0 % 1000)
    }
}
