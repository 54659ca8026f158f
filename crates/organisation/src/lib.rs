//! Decisions about organisations: whether the rules held here are fresh enough to trust a key, and how
//! one quota is kept by all nodes together.
//!
//! This package takes the time as an argument and does no I/O. It knows nothing about requests, routes or
//! how messages travel.

mod borrower;
mod freshness;
mod lender;
mod pool;

pub use borrower::Borrower;
pub use borrower::LoanRequest;
pub use borrower::QuotaToken;
pub use freshness::Freshness;
pub use freshness::FreshnessAction;
pub use lender::Lender;

use proto::OrganisationId;
use rules::Quota;
use std::time::Duration;
use stdx::plain;

/// Into how many groups organisations are divided. Each group has a lender of its own, so that neither the
/// load nor the loss of one lender concerns all organisations.
pub const GROUP_COUNT: u8 = 4;

/// The group that an organisation belongs to.
///
/// # Examples
///
/// ```
/// use proto::OrganisationId;
///
/// assert!(bilberry_organisation::group_of(OrganisationId(7)) < bilberry_organisation::GROUP_COUNT);
/// ```
pub fn group_of(organisation: OrganisationId) -> u8 {
    (organisation.0 % u64::from(GROUP_COUNT)) as u8
}

plain! {
    /// How strictly quotas hold.
    pub struct QuotaTolerance {
        /// The span in which requests are counted.
        pub window: Duration,
        /// What may come in a window beyond rate and burst, in thousandths of them.
        pub over_permille: u32,
        /// What may come in a window beyond that, in requests.
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

/// Of what a window may have beyond its rate and burst, the part that is planned with.
const PLANNED: f64 = 0.9;

/// The longest that a token is valid. Tokens that lie idle are missing elsewhere.
const MAX_VALIDITY: Duration = Duration::from_millis(450);

/// How a quota is lent. Tokens that are used in a window were lent in it or up to their validity before it,
/// so there are at most `rate * (window + validity) + depth` of them, which is to be within the bounds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Terms {
    /// How many tokens come in, in tokens per second.
    pub(crate) rate: f64,
    /// How many the lender may have in hand.
    pub(crate) depth: f64,
    /// For how long a token is valid after it was asked for.
    pub(crate) validity: Duration,
}

impl QuotaTolerance {
    /// How a quota is lent.
    pub(crate) fn terms(self, quota: Quota) -> Terms {
        let (rate, burst) = (quota.rate(), f64::from(quota.burst));
        let nominal = rate * self.window.as_secs_f64() + burst;
        let over = nominal * f64::from(self.over_permille) / 1000.0 + f64::from(self.slack);
        let over = over * PLANNED;
        // Half of what is planned with is left for bursts at least.
        let seconds = (over / 2.0 / rate.max(f64::MIN_POSITIVE)).min(MAX_VALIDITY.as_secs_f64());
        Terms {
            rate,
            depth: burst + over - rate * seconds,
            validity: Duration::from_secs_f64(seconds),
        }
    }
}
