//! Decision logic for organisations: whether a node's rules are recent enough to trust an API key,
//! and how all nodes together enforce one quota.
//!
//! This package takes the current time as an argument and does no I/O. It does not depend on
//! requests, routes or the transport of messages.

mod borrower;
mod decay;
mod freshness;
mod group_state;
mod lender;
mod pool;
mod promises;
mod returns;
mod supply;
mod token_queue;
mod wait_queue;

pub use borrower::Borrower;
pub use borrower::LoanRequest;
pub use borrower::QuotaToken;
pub use freshness::Freshness;
pub use freshness::FreshnessAction;
pub use lender::Lender;
pub use promises::PromiseId;
pub use returns::Refused;
pub use returns::Returned;
pub use returns::Returns;
pub use returns::MAX_RETURNS;
pub use token_queue::RetryAdvice;
pub use token_queue::TokenClaim;
pub use token_queue::TokenQueue;
pub use token_queue::TokenRank;
pub use token_queue::MAX_WAITING_PER_ORGANISATION;
pub use wait_queue::WaitKey;

use proto::OrganisationId;
use rules::Quota;
use std::time::Duration;
use stdx::plain;

/// Number of groups that organisations are divided into. Each group has its own lender, so that the
/// load or the loss of one lender does not affect all organisations.
pub const GROUP_COUNT: u8 = 4;

/// Returns the group of an organisation.
///
/// # Examples
///
/// ```
/// use bilberry_organisation::{group_of, GROUP_COUNT};
/// use proto::OrganisationId;
///
/// assert!(group_of(OrganisationId(7)) < GROUP_COUNT);
/// ```
pub fn group_of(organisation: OrganisationId) -> u8 {
    (organisation.0 % u64::from(GROUP_COUNT)) as u8
}

plain! {
    /// How far usage may exceed a quota.
    pub struct QuotaTolerance {
        /// The length of the window over which requests are counted.
        pub window: Duration,
        /// Requests allowed in a window in excess of rate and burst, in thousandths of them.
        pub over_permille: u32,
        /// Requests allowed in a window in addition to that.
        pub slack: u32,
    }
}

impl Default for QuotaTolerance {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            over_permille: 100,
            slack: 20,
        }
    }
}

/// Fraction of the tolerated excess that lending is planned to use; the rest is a safety margin.
const PLANNED_FRACTION: f64 = 0.9;

/// Maximum validity of a token. Tokens that sit unused at one node are not available to others.
const MAX_VALIDITY: Duration = Duration::from_millis(450);

/// Parameters for lending a quota. Tokens used in a window were lent during the window or up to
/// `validity` before it, so there are at most `rate * (window + validity) + depth` of them. The
/// parameters are chosen so that this stays within [`QuotaTolerance`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LendingTerms {
    /// Rate at which tokens are added, per second.
    pub(crate) rate: f64,
    /// Capacity of the lender's token bucket.
    pub(crate) depth: f64,
    /// How long a token is valid, counted from the time of the request for it.
    pub(crate) validity: Duration,
}

impl QuotaTolerance {
    /// Computes the parameters for lending a quota.
    pub(crate) fn lending_terms(self, quota: Quota) -> LendingTerms {
        let (rate, burst) = (quota.rate(), f64::from(quota.burst));
        let nominal = rate * self.window.as_secs_f64() + burst;
        let excess = nominal * f64::from(self.over_permille) / 1000.0 + f64::from(self.slack);
        let excess = excess * PLANNED_FRACTION;
        // At least half of the planned excess remains for bursts.
        let validity_s =
            (excess / 2.0 / rate.max(f64::MIN_POSITIVE)).min(MAX_VALIDITY.as_secs_f64());
        LendingTerms {
            rate,
            depth: burst + excess - rate * validity_s,
            validity: Duration::from_secs_f64(validity_s),
        }
    }
}
