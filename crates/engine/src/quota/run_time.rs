//! How long requests take from the token to the response, by operation.

use crate::operation_key::operation_key;
use crate::operation_key::OperationKey;
use rules::Operation;
use std::time::Duration;
use stdx::BoundedMap;

/// Maximum number of operations for which durations are kept.
const MAX_OPERATIONS: usize = 512;

/// Number of responses before the estimate is used.
const MIN_SAMPLES: u32 = 8;

/// Weight of a new duration. A server that becomes slow changes the estimate within some ten
/// requests.
const WEIGHT: f64 = 0.125;

/// Part of the time available that is assumed for the run until durations are known, and the
/// highest part that is assumed at all. Without the latter, no request could wait for a token while
/// a server is slow, even if the lender has plenty.
const ASSUMED_FRACTION: f64 = 0.25;
const MAX_FRACTION: f64 = 0.5;

/// Mean and mean deviation of the duration, in seconds.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u32,
}

/// Learned durations of requests.
#[derive(Debug)]
pub(crate) struct RequestTimes {
    by_operation: BoundedMap<OperationKey, Estimate>,
}

impl RequestTimes {
    pub(crate) fn new() -> Self {
        Self {
            by_operation: BoundedMap::new(MAX_OPERATIONS),
        }
    }

    pub(crate) fn record(&mut self, operation: &Operation, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let key = operation_key(operation);
        let Some(estimate) = self.by_operation.get_mut(&key) else {
            let estimate = Estimate {
                mean: elapsed,
                deviation: elapsed / 2.0,
                samples: 1,
            };
            return self.by_operation.insert(key, estimate);
        };
        let error = elapsed - estimate.mean;
        estimate.mean += error * WEIGHT;
        estimate.deviation += (error.abs() - estimate.deviation) * WEIGHT;
        estimate.samples = estimate.samples.saturating_add(1);
    }

    /// The time to leave for the run of an operation: the mean and two mean deviations.
    pub(crate) fn allowance(&self, operation: &Operation) -> Duration {
        let available = operation.deadline.min(operation.latency_objective);
        let known = self.by_operation.get(&operation_key(operation));
        let known = known.filter(|estimate| estimate.samples >= MIN_SAMPLES);
        known.map_or(available.mul_f64(ASSUMED_FRACTION), |estimate| {
            let high = Duration::from_secs_f64(estimate.mean + 2.0 * estimate.deviation);
            high.min(available.mul_f64(MAX_FRACTION))
        })
    }
}
