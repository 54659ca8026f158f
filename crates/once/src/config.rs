//! Bounds and times of a home.

use std::time::Duration;

/// Bounds and times of a home; filled once and passed down.
///
/// All nodes of a service must agree on `lease`, `margin` and `max_log_staleness`: a fence waits out
/// what others were granted.
#[derive(Debug, Clone)]
pub struct Config {
    /// The most bytes that records may take up: keys, fingerprints and responses.
    pub max_bytes: usize,
    /// What must be free to start work, for the response to come. A larger response is passed on
    /// to whoever waits, but only kept if it fits.
    pub reserve_bytes: usize,
    /// The largest response that is kept for re-sends. A few larger ones would fill the table, and
    /// new work would be refused for the whole retention; re-sends of their keys are told that the
    /// answer is unknown, once the run has ended.
    pub max_response_bytes: usize,
    /// How long a lease lasts after the round that won it was sent.
    pub lease: Duration,
    /// The least of the lease that must be left to start work. It also covers clocks that run at
    /// unlike rates: a fence waits for `lease` + `margin`.
    pub margin: Duration,
    /// A node that did not hear the log for so long holds no lease.
    pub max_log_staleness: Duration,
    /// The longest time that one read of the log may take: what was read is at most this old.
    pub max_log_read_duration: Duration,
    /// How long a transfer from a node that left as planned is waited for.
    pub transfer_timeout: Duration,
    /// How long calls are held while their slot is on its way here.
    pub max_hold: Duration,
    /// How long to wait before a transfer without an answer is sent again.
    pub resend_interval: Duration,
    /// The most bytes of records in one transfer frame.
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
            resend_interval: Duration::from_millis(200),
            max_part_bytes: 1 << 20,
        }
    }
}
