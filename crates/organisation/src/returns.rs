//! Recognises callers that were refused and return.

use crate::promises::PromiseId;
use std::time::Duration;
use stdx::plain;
use stdx::BoundedMap;
use stdx::Time;

/// Maximum number of refused callers that are remembered.
pub const MAX_RETURNS: usize = 4096;

/// How long before the end of its retry delay a caller may return and still be recognised. Retry
/// delays are rounded to milliseconds.
const TOLERANCE: Duration = Duration::from_millis(5);

plain! {
    /// A refused caller.
    pub struct Refused {
        /// When the caller's first attempt arrived.
        pub first_at: Time,
        /// When the retry delay of the caller ends.
        pub return_at: Time,
        /// When the objective of the caller's first attempt ends.
        pub objective: Time,
        /// The token that it was promised.
        pub promise: Option<PromiseId>,
    }
}

plain! {
    /// How a request relates to earlier refusals of the same caller.
    pub enum Returned {
        /// It is an ordinary request.
        Unknown,
        /// It has come before the end of the retry delay, and is an ordinary request.
        Early(Refused),
        /// It has come at or after the end of the retry delay.
        OnTime(Refused),
    }
}

/// Refused callers by a hash of the caller and the request.
#[derive(Debug)]
pub struct Returns {
    /// `None` once the caller has returned.
    by_hash: BoundedMap<u64, Option<Refused>>,
    /// No caller is expected after this.
    expected_until: Time,
}

impl Default for Returns {
    fn default() -> Self {
        Self {
            by_hash: BoundedMap::new(MAX_RETURNS),
            expected_until: Time::ZERO,
        }
    }
}

impl Returns {
    /// Whether any caller may return, so that requests have to be looked up.
    pub fn is_expecting(&self, now: Time) -> bool {
        now < self.expected_until
    }

    /// The number of remembered callers, including those that have returned.
    pub fn len(&self) -> usize {
        self.by_hash.len()
    }

    /// Whether no caller is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_hash.is_empty()
    }

    /// Records a refusal.
    pub fn insert(&mut self, hash: u64, refused: Refused) {
        self.expected_until = self.expected_until.max(refused.objective);
        self.by_hash.insert(hash, Some(refused));
    }

    /// Looks up a request. A caller that is on time is forgotten, so that its refusal counts once;
    /// one that is early is not.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_organisation::{Refused, Returned, Returns};
    /// use stdx::Time;
    ///
    /// let at = Time::from_micros;
    /// let refused = Refused {
    ///     first_at: at(0),
    ///     return_at: at(500_000),
    ///     objective: at(4_000_000),
    ///     promise: None,
    /// };
    /// let mut returns = Returns::default();
    /// returns.insert(7, refused);
    /// assert_eq!(returns.on_request(at(100_000), 7), Returned::Early(refused));
    /// assert_eq!(returns.on_request(at(500_000), 7), Returned::OnTime(refused));
    /// assert_eq!(returns.on_request(at(500_001), 7), Returned::Unknown);
    /// ```
    pub fn on_request(&mut self, now: Time, hash: u64) -> Returned {
        let Some(entry) = self.by_hash.get_mut(&hash) else {
            return Returned::Unknown;
        };
        match *entry {
            Some(refused) if now >= refused.objective => {
                *entry = None;
                Returned::Unknown
            }
            Some(refused) if now + TOLERANCE < refused.return_at => Returned::Early(refused),
            Some(refused) => {
                *entry = None;
                Returned::OnTime(refused)
            }
            None => Returned::Unknown,
        }
    }

    /// Removes a caller, because its request was admitted before the end of the retry delay.
    pub fn forget(&mut self, hash: u64) -> Option<Refused> {
        self.by_hash.get_mut(&hash)?.take()
    }
}
