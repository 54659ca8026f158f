//! Limits and durations of a [`Home`](crate::Home).

use std::time::Duration;

/// Limits and durations of a [`Home`](crate::Home).
///
/// All nodes of a service must use the same `lease`, `margin` and `max_log_staleness`, because a
/// node that fences a view relies on these values to tell when the leases of other nodes have
/// expired.
#[derive(Debug, Clone)]
pub struct Config {
    /// Maximum size of all records: keys, fingerprints and responses.
    pub max_bytes: usize,
    /// Space that must be free before a run starts, reserved for its response. A larger response is
    /// still passed to the waiting callers, but is stored only if it fits.
    pub reserve_bytes: usize,
    /// Largest response that is stored for re-sent calls. A few larger ones would fill the table,
    /// and new work would be refused for the whole retention period. Once a run with a larger
    /// response has ended, re-sends of its key are told that the outcome is unknown.
    pub max_response_bytes: usize,
    /// Duration of a lease, counted from when the round that acquired it was sent.
    pub lease: Duration,
    /// Minimum remaining lease required to start a run. It also allows for clocks that run at
    /// different rates: a view is fenced only `lease` + `margin` after its last possible grant.
    pub margin: Duration,
    /// A node that has not read the log to its end for this long holds no lease.
    pub max_log_staleness: Duration,
    /// Maximum duration of one read of the log, and thus the maximum age of its result when the
    /// read completes.
    pub max_log_read_duration: Duration,
    /// How long to wait for a transfer from a node that left as planned.
    pub transfer_timeout: Duration,
    /// How long calls are held while their slot is being transferred here.
    pub max_hold: Duration,
    /// How long no run of a key starts after a call with it was refused. Long enough for a call to
    /// reach a node in another region over a new connection and for its refusal to return (120 ms
    /// in the trials), and shorter than the retry delays of callers.
    pub refusal_hold: Duration,
    /// Interval after which an unacknowledged transfer is sent again.
    pub resend_interval: Duration,
    /// Maximum size of the records in one transfer frame.
    pub max_part_bytes: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_bytes: 8 << 20,
            reserve_bytes: 4 << 10,
            max_response_bytes: 64 << 10,
            lease: Duration::from_secs(3),
            margin: Duration::from_millis(300),
            max_log_staleness: Duration::from_secs(2 * 60 * 60),
            max_log_read_duration: Duration::from_secs(30),
            transfer_timeout: Duration::from_secs(10),
            max_hold: Duration::from_secs(1),
            refusal_hold: Duration::from_millis(200),
            resend_interval: Duration::from_millis(200),
            max_part_bytes: 1 << 20,
        }
    }
}
