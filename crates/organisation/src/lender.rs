//! The side that lends tokens of quotas to the other nodes.
//!
//! Every node has one vote in each group of organisations and lends it to one lender at a time. A lender
//! may give out the part of each quota that its votes are of all nodes. So however nodes disagree about who
//! lends, in a partition or after a loss, the parts never add up to more than the whole.

use crate::QuotaTolerance;
use crate::Terms;
use indexmap::IndexMap;
use proto::Incarnation;
use proto::Loan;
use proto::OrganisationId;
use rules::Quota;
use std::time::Duration;
use stdx::Time;

/// For how long a vote is lent, from the time at which the lender gave out the stamp that came with it.
pub(crate) const VOTE_LEASE: Duration = Duration::from_millis(1000);

/// The longest time until the next token that a borrower is told.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Above this part of the burst in hand, borrowers may keep tokens in reserve.
const PLENTY: f64 = 0.5;

/// Tokens of one organisation.
#[derive(Debug, Default)]
struct Bucket {
    tokens: f64,
    /// What the group's integrals were when the tokens were last counted.
    share_seconds: f64,
    share_lost: f64,
}

/// The votes that were lent here in one group, and its buckets.
#[derive(Debug, Default)]
struct Group {
    /// Until when each vote is valid.
    votes: IndexMap<Incarnation, Time>,
    buckets: IndexMap<OrganisationId, Bucket>,
    /// Up to when the integrals were taken.
    counted: Time,
    /// The integral of the share of votes over time, in seconds.
    share_seconds: f64,
    /// The sum of all that the share has ever lost.
    share_lost: f64,
    /// The integral when the share last lost anything.
    lost_at: f64,
    share: f64,
}

impl Group {
    /// Takes the integrals up to `now`. Votes end in their order.
    fn count(&mut self, now: Time, voters: usize) {
        let mut ends: Vec<Time> = self
            .votes
            .values()
            .copied()
            .filter(|at| *at <= now)
            .collect();
        ends.sort_unstable();
        for end in ends {
            self.advance(end.max(self.counted));
            self.votes.retain(|_, until| *until > end);
            self.set_share(voters);
        }
        self.advance(now.max(self.counted));
        self.set_share(voters);
    }

    fn advance(&mut self, to: Time) {
        self.share_seconds += self.share * to.since(self.counted).as_secs_f64();
        self.counted = to;
    }

    fn set_share(&mut self, voters: usize) {
        let share = self.votes.len() as f64 / voters.max(self.votes.len()).max(1) as f64;
        if share < self.share {
            self.share_lost += self.share - share;
            self.lost_at = self.share_seconds;
        }
        self.share = share;
    }

    /// The bucket of an organisation, filled up to now. A vote that has gone takes its part of the
    /// burst away; one that has come brings none, because its last lender may have lent that out.
    fn fill(&mut self, organisation: OrganisationId, terms: Terms) -> &mut Bucket {
        let (share_seconds, share_lost) = (self.share_seconds, self.share_lost);
        let bucket = self.buckets.entry(organisation).or_default();
        // All that was lost is taken off at the last loss, which never leaves more than there was.
        let lost = (share_lost - bucket.share_lost) * terms.depth;
        let before = (self.lost_at - bucket.share_seconds).max(0.0) * terms.rate;
        let before = (bucket.tokens + before).min(terms.depth);
        let after = share_seconds - bucket.share_seconds.max(self.lost_at);
        let tokens = (before - lost).max(0.0) + after * terms.rate;
        bucket.tokens = tokens.min(terms.depth * self.share);
        bucket.share_seconds = share_seconds;
        bucket.share_lost = share_lost;
        bucket
    }
}

/// What this node lends.
#[derive(Debug)]
pub struct Lender {
    bounds: QuotaTolerance,
    groups: IndexMap<u8, Group>,
}

impl Lender {
    /// A lender without votes.
    pub fn new(bounds: QuotaTolerance) -> Self {
        Self {
            bounds,
            groups: IndexMap::new(),
        }
    }

    /// A stamp for an answer that is given now. Never 0, and rises with the time.
    pub fn stamp(now: Time) -> u64 {
        now.since(Time::ZERO).as_micros() as u64 + 1
    }

    /// A node lends its vote, and has this stamp from here. `voters` is how many nodes have a vote.
    pub fn on_vote(&mut self, now: Time, group: u8, from: Incarnation, stamp: u64, voters: usize) {
        let group = self.groups.entry(group).or_default();
        group.count(now, voters);
        let given = Time::from_micros(stamp.saturating_sub(1));
        if stamp == 0 || given > now {
            return;
        }
        let until = given + VOTE_LEASE;
        if until > now {
            let held = group.votes.entry(from).or_insert(until);
            *held = until.max(*held);
            group.set_share(voters);
        }
    }

    /// Gives back all votes: this node is about to stop. Their owners may lend them to others at once.
    pub fn release_votes(&mut self, now: Time, voters: usize) {
        for group in self.groups.values_mut() {
            group.count(now, voters);
            group.votes.clear();
            group.set_share(voters);
        }
    }

    /// Lends up to `wanted` tokens.
    pub fn lend(
        &mut self,
        now: Time,
        organisation: OrganisationId,
        quota: Quota,
        wanted: u16,
        voters: usize,
    ) -> Loan {
        let terms = self.bounds.terms(quota);
        let group = self
            .groups
            .entry(crate::group_of(organisation))
            .or_default();
        group.count(now, voters);
        let share = group.share;
        let bucket = group.fill(organisation, terms);
        let tokens = bucket.tokens.floor().min(f64::from(wanted)) as u16;
        bucket.tokens -= f64::from(tokens);
        let wait = match tokens < wanted {
            true => wait_for_token(1.0 - bucket.tokens, share * terms.rate),
            false => Duration::ZERO,
        };
        Loan {
            organisation,
            tokens,
            wait_ms: wait.as_millis() as u16,
            has_surplus: bucket.tokens >= terms.depth * share * PLENTY && tokens == wanted,
        }
    }

    /// Forgets the buckets of organisations that `keep` does not want any more.
    pub fn retain(&mut self, keep: impl Fn(OrganisationId) -> bool) {
        for group in self.groups.values_mut() {
            group.buckets.retain(|organisation, _| keep(*organisation));
        }
    }
}

fn wait_for_token(missing: f64, rate: f64) -> Duration {
    let seconds = missing.max(0.0) / rate.max(f64::MIN_POSITIVE);
    let seconds = seconds.clamp(0.001, MAX_WAIT.as_secs_f64());
    Duration::from_secs_f64(seconds)
}
