//! Lends tokens of quotas to other nodes.
//!
//! Each node has one vote in each group of organisations and gives it to one lender at a time. A
//! lender may lend a share of each quota equal to its share of all votes. Therefore the shares
//! never add up to more than the quota, even if nodes disagree about who the lender is after a
//! network partition or the loss of a node.
//!
//! A node votes by sending back the stamp of the lender's last answer, which encodes the time of
//! that answer. The vote is valid for [`VOTE_LEASE`] from that time, so a delayed vote is never
//! valid for longer than its owner is committed to it.

use crate::decay::DecayingCount;
use crate::LendingTerms;
use crate::QuotaTolerance;
use indexmap::IndexMap;
use proto::Incarnation;
use proto::Loan;
use proto::OrganisationId;
use proto::TokenDemand;
use rules::Quota;
use std::time::Duration;
use stdx::Time;

/// How long a vote is valid, counted from the time at which the lender issued the stamp that was
/// returned with it.
pub(crate) const VOTE_LEASE: Duration = Duration::from_millis(1000);

/// Maximum estimate of the time until the next token that is reported to a borrower.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// If the bucket holds more than this fraction of its capacity, borrowers may keep tokens in
/// reserve.
const SURPLUS_FRACTION: f64 = 0.5;

/// How long urgent demand is remembered. Tokens for as much urgent demand are not lent to the rest.
/// It is longer than the time after which a borrower without tokens asks again, so that a lender
/// which is short keeps tokens back for it.
const URGENT_MEMORY: Duration = Duration::from_millis(300);

/// Token bucket of an organisation.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    /// Value of [`Group::share_seconds`] at the last refill.
    share_seconds: f64,
    /// Value of [`Group::share_lost`] at the last refill.
    share_lost: f64,
    /// Tokens that borrowers have requested for urgent work.
    urgent_demand: DecayingCount,
}

impl Default for Bucket {
    fn default() -> Self {
        Self {
            tokens: 0.0,
            share_seconds: 0.0,
            share_lost: 0.0,
            urgent_demand: DecayingCount::new(URGENT_MEMORY),
        }
    }
}

impl Bucket {
    /// Takes tokens for a borrower: first for its urgent work, then for the rest as far as they
    /// need not be kept back for the urgent work of all borrowers. `capacity` is the highest number
    /// of tokens that the bucket can hold. The bucket can always hold one token more than is kept
    /// back, so that the rest is not starved while urgent demand is below the rate.
    fn take(&mut self, now: Time, demand: TokenDemand, capacity: f64) -> u16 {
        let urgent = demand.urgent.min(demand.tokens);
        if urgent > 0 {
            self.urgent_demand.add(now, urgent.into());
        }
        let to_urgent = self.tokens.floor().min(urgent.into());
        self.tokens -= to_urgent;
        let spare = self.tokens - self.kept_back(now, capacity);
        let to_rest = spare.floor().clamp(0.0, f64::from(demand.tokens - urgent));
        self.tokens -= to_rest;
        (to_urgent + to_rest) as u16
    }

    fn kept_back(&self, now: Time, capacity: f64) -> f64 {
        self.urgent_demand.get(now).min((capacity - 1.0).max(0.0))
    }
}

/// The votes that this node holds in one group, and the token buckets of the group.
#[derive(Debug, Default)]
struct Group {
    /// Expiry time of each vote.
    votes: IndexMap<Incarnation, Time>,
    buckets: IndexMap<OrganisationId, Bucket>,
    /// Time up to which the integrals have been computed.
    integrated_until: Time,
    /// Integral of `share` over time, in seconds.
    share_seconds: f64,
    /// Sum of all decreases of `share`.
    share_lost: f64,
    /// Value of `share_seconds` at the last decrease of `share`.
    share_seconds_at_loss: f64,
    /// The share of all votes that this node holds.
    share: f64,
}

impl Group {
    /// Computes the integrals up to `now`, expiring votes in order.
    fn integrate_until(&mut self, now: Time, voters: usize) {
        let mut expiries: Vec<Time> = self
            .votes
            .values()
            .copied()
            .filter(|at| *at <= now)
            .collect();
        expiries.sort_unstable();
        for expiry in expiries {
            self.advance(expiry.max(self.integrated_until));
            self.votes.retain(|_, until| *until > expiry);
            self.update_share(voters);
        }
        self.advance(now.max(self.integrated_until));
        self.update_share(voters);
    }

    fn advance(&mut self, to: Time) {
        self.share_seconds += self.share * to.since(self.integrated_until).as_secs_f64();
        self.integrated_until = to;
    }

    fn update_share(&mut self, voters: usize) {
        let share = self.votes.len() as f64 / voters.max(self.votes.len()).max(1) as f64;
        if share < self.share {
            self.share_lost += self.share - share;
            self.share_seconds_at_loss = self.share_seconds;
        }
        self.share = share;
    }

    /// Returns the bucket of an organisation, refilled up to now. A lost vote removes its share of
    /// the burst. A new vote adds none, because the lender that held it before may have lent that
    /// share.
    fn refill(&mut self, organisation: OrganisationId, terms: LendingTerms) -> &mut Bucket {
        let (share_seconds, share_lost) = (self.share_seconds, self.share_lost);
        let bucket = self.buckets.entry(organisation).or_default();
        // All decreases are deducted at the time of the last one, which never leaves more tokens
        // than deducting each at its own time.
        let lost = (share_lost - bucket.share_lost) * terms.depth;
        let tokens_at_loss =
            (self.share_seconds_at_loss - bucket.share_seconds).max(0.0) * terms.rate;
        let tokens_at_loss = (bucket.tokens + tokens_at_loss).min(terms.depth);
        let share_since_loss = share_seconds - bucket.share_seconds.max(self.share_seconds_at_loss);
        let tokens = (tokens_at_loss - lost).max(0.0) + share_since_loss * terms.rate;
        bucket.tokens = tokens.min(terms.depth * self.share);
        bucket.share_seconds = share_seconds;
        bucket.share_lost = share_lost;
        bucket
    }
}

/// The lending side of a node.
#[derive(Debug)]
pub struct Lender {
    tolerance: QuotaTolerance,
    groups: IndexMap<u8, Group>,
}

impl Lender {
    /// Creates a lender without votes.
    pub fn new(tolerance: QuotaTolerance) -> Self {
        Self {
            tolerance,
            groups: IndexMap::new(),
        }
    }

    /// Returns the stamp for an answer sent now. It encodes this time, so that it increases with
    /// time, and is never 0.
    pub fn stamp(now: Time) -> u64 {
        now.since(Time::ZERO).as_micros() as u64 + 1
    }

    /// Accepts the vote of a node, which returns a stamp issued by this lender. `voters` is the
    /// number of nodes that have a vote.
    pub fn on_vote(&mut self, now: Time, group: u8, from: Incarnation, stamp: u64, voters: usize) {
        let group = self.groups.entry(group).or_default();
        group.integrate_until(now, voters);
        let issued_at = Time::from_micros(stamp.saturating_sub(1));
        if stamp == 0 || issued_at > now {
            return;
        }
        let until = issued_at + VOTE_LEASE;
        if until > now {
            let valid_until = group.votes.entry(from).or_insert(until);
            *valid_until = until.max(*valid_until);
            group.update_share(voters);
        }
    }

    /// Gives up all votes before the node shuts down, so that their owners can give them to other
    /// lenders at once.
    pub fn release_votes(&mut self, now: Time, voters: usize) {
        for group in self.groups.values_mut() {
            group.integrate_until(now, voters);
            group.votes.clear();
            group.update_share(voters);
        }
    }

    /// Lends up to as many tokens as are requested.
    pub fn lend(&mut self, now: Time, demand: TokenDemand, quota: Quota, voters: usize) -> Loan {
        let TokenDemand {
            organisation,
            tokens: wanted,
            ..
        } = demand;
        let terms = self.tolerance.lending_terms(quota);
        let group = self
            .groups
            .entry(crate::group_of(organisation))
            .or_default();
        group.integrate_until(now, voters);
        let share = group.share;
        let bucket = group.refill(organisation, terms);
        let capacity = terms.depth * share;
        let tokens = bucket.take(now, demand, capacity);
        let wait = match tokens < wanted {
            true => {
                let kept_back = match tokens < demand.urgent {
                    true => 0.0,
                    false => bucket.kept_back(now, capacity),
                };
                estimate_wait(1.0 + kept_back - bucket.tokens, share * terms.rate)
            }
            false => Duration::ZERO,
        };
        Loan {
            organisation,
            tokens,
            wait_ms: wait.as_millis() as u16,
            has_surplus: bucket.tokens >= capacity * SURPLUS_FRACTION && tokens == wanted,
        }
    }

    /// Drops the buckets of organisations for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(OrganisationId) -> bool) {
        for group in self.groups.values_mut() {
            group.buckets.retain(|organisation, _| keep(*organisation));
        }
    }
}

fn estimate_wait(missing: f64, rate: f64) -> Duration {
    let seconds = missing.max(0.0) / rate.max(f64::MIN_POSITIVE);
    let seconds = seconds.clamp(0.001, MAX_WAIT.as_secs_f64());
    Duration::from_secs_f64(seconds)
}
