//! Tracks whether this node's rules were the newest version a short time ago.
//!
//! Every node must refuse a revoked key within a bounded time, even if it is cut off from the
//! network. Receiving no new rules does not prove that there are none, so a node needs positive
//! evidence: a point in time at which its version was known to be the newest. One node in each
//! failure domain, the leader, gets this evidence from the store; the others get it from the
//! leader. The point in time is derived from when a node sent its query, never from when the answer
//! arrived, because the answer may have been delayed.

use rand::rngs::StdRng;
use rand::RngExt;
use std::time::Duration;
use stdx::BoundedMap;
use stdx::Time;

/// Interval at which the leader of a failure domain queries the store.
const STORE_QUERY_INTERVAL: Duration = Duration::from_millis(1500);

/// How long after the leader's next store query the other nodes query the leader.
const PEER_QUERY_LAG: Duration = Duration::from_millis(100);

/// Time after which the next peer is queried if there is no answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay before the next peer is queried after an answer that gave no recent evidence.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(30);

/// Time after which another store query is sent if there is no answer, since the connection may be
/// dead without an error.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay before the next store query after a failed one.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Age of the evidence from which a node also uses its second source: the leader queries peers, and
/// other nodes query the store.
const STALE_AGE: Duration = Duration::from_millis(2100);

/// Minimum interval between store queries of a node that is not the leader; up to twice as long
/// with jitter.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of peer queries before a node that is not the leader queries the store, in normal
/// operation and right after a start. The higher number lets a few nodes query the store on behalf
/// of all when many start at once.
const ATTEMPTS_BEFORE_STORE: u32 = 3;
const INITIAL_ATTEMPTS_BEFORE_STORE: u32 = 12;

/// Maximum number of peer queries whose answers are still accepted.
const MAX_PENDING_QUERIES: usize = 16;

/// Fraction of the revocation bound after which keys are no longer trusted.
const TRUST_FRACTION: f64 = 0.95;

/// Fraction of the revocation bound within which a key that is missing from the rules is known to
/// be invalid. Older rules may lack a key that was added since.
const REJECT_FRACTION: f64 = 0.5;

/// An action for the caller to perform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreshnessAction {
    /// Ask the store whether there are newer rules.
    QueryStore,
    /// Query a peer.
    QueryPeer {
        /// To be repeated in the answer.
        request_id: u64,
        /// Number of preceding queries without recent evidence; determines which peer to query.
        attempt: u32,
    },
}

/// Evidence that this node's rules are the newest version.
#[derive(Debug)]
pub struct Freshness {
    /// The time after its revocation within which a key must be refused; `None` if there is no
    /// bound.
    revocation_bound: Option<Duration>,
    /// When this node's rules were last known to be the newest version.
    confirmed_at: Option<Time>,
    peer_query_due: Time,
    attempt: u32,
    last_request_id: u64,
    pending_queries: BoundedMap<u64, Time>,
    store_query_sent_at: Option<Time>,
    store_query_due: Time,
}

impl Freshness {
    /// Creates the state without any evidence.
    pub fn new(revocation_bound: Option<Duration>) -> Self {
        Self {
            revocation_bound,
            confirmed_at: None,
            peer_query_due: Time::ZERO,
            attempt: 0,
            last_request_id: 0,
            pending_queries: BoundedMap::new(MAX_PENDING_QUERIES),
            store_query_sent_at: None,
            store_query_due: Time::ZERO,
        }
    }

    /// Returns the time since this node's rules were last known to be the newest version.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Whether no key in the rules can have been revoked longer ago than the bound allows.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_organisation::Freshness;
    /// use std::time::Duration;
    /// use stdx::Time;
    ///
    /// let mut freshness = Freshness::new(Some(Duration::from_secs(5)));
    /// assert!(!freshness.may_trust(Time::ZERO));
    /// freshness.confirm(Time::ZERO);
    /// assert!(freshness.may_trust(Time::ZERO + Duration::from_secs(4)));
    /// assert!(!freshness.may_trust(Time::ZERO + Duration::from_secs(5)));
    /// ```
    pub fn may_trust(&self, now: Time) -> bool {
        self.is_within(now, TRUST_FRACTION)
    }

    /// Whether the rules are recent enough to reject a key that they do not contain.
    pub fn may_reject_unknown_key(&self, now: Time) -> bool {
        self.is_within(now, REJECT_FRACTION)
    }

    fn is_within(&self, now: Time, fraction: f64) -> bool {
        let Some(revocation_bound) = self.revocation_bound else {
            return true;
        };
        self.age(now)
            .is_some_and(|age| age < revocation_bound.mul_f64(fraction))
    }

    /// Records that the current rules were the newest version at this time.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the actions that are due. `is_leader` tells whether this node queries the store for
    /// its failure domain.
    pub fn tick(&mut self, now: Time, is_leader: bool, rng: &mut StdRng) -> Vec<FreshnessAction> {
        let mut actions = Vec::new();
        if self.revocation_bound.is_none() {
            return actions;
        }
        let is_stale = self.age(now).is_none_or(|age| age >= STALE_AGE);
        let attempts_before_store = match self.confirmed_at {
            Some(_) => ATTEMPTS_BEFORE_STORE,
            None => INITIAL_ATTEMPTS_BEFORE_STORE,
        };
        let may_query_store = is_leader || (is_stale && self.attempt >= attempts_before_store);
        let is_store_query_pending = self
            .store_query_sent_at
            .is_some_and(|at| now.since(at) < STORE_TIMEOUT);
        if may_query_store && !is_store_query_pending && now >= self.store_query_due {
            self.store_query_sent_at = Some(now);
            self.store_query_due = match is_leader {
                true => now + STORE_QUERY_INTERVAL,
                false => now + FALLBACK_INTERVAL.mul_f64(rng.random_range(1.0..2.0)),
            };
            actions.push(FreshnessAction::QueryStore);
        }
        if (is_stale || !is_leader) && now >= self.peer_query_due {
            self.last_request_id += 1;
            self.pending_queries.insert(self.last_request_id, now);
            actions.push(FreshnessAction::QueryPeer {
                request_id: self.last_request_id,
                attempt: self.attempt,
            });
            self.attempt = self.attempt.saturating_add(1);
            self.peer_query_due = now + PEER_TIMEOUT;
        }
        actions
    }

    /// Returns the time at which [`Freshness::tick`] is due next.
    pub fn next_timer(&self, is_leader: bool) -> Option<Time> {
        self.revocation_bound?;
        let timeout = self.store_query_sent_at.map(|at| at + STORE_TIMEOUT);
        let store = self.store_query_due.max(timeout.unwrap_or(Time::ZERO));
        if !is_leader {
            return Some(self.peer_query_due);
        }
        // A leader also queries peers once its evidence is stale.
        let stale_at = self.confirmed_at.map_or(Time::ZERO, |at| at + STALE_AGE);
        Some(store.min(stale_at.max(self.peer_query_due)))
    }

    /// Handles an answer of the store to a query sent at `sent_at`: there are no newer rules than
    /// this node's.
    pub fn on_store_confirmed(&mut self, sent_at: Time) {
        self.store_query_sent_at = None;
        self.attempt = 0;
        self.confirm(sent_at);
    }

    /// Handles a failed store query.
    pub fn on_store_failed(&mut self, now: Time) {
        self.store_query_sent_at = None;
        self.store_query_due = self.store_query_due.min(now + STORE_RETRY_DELAY);
    }

    /// Handles a report from a peer that has no newer rules than this node: the rules were the
    /// newest version `age` before it answered the query `request_id`.
    pub fn on_report(&mut self, now: Time, request_id: u64, age: Duration) {
        let Some(sent_at) = self.pending_queries.get(&request_id).copied() else {
            return;
        };
        self.confirm_earlier(sent_at, age);
        if request_id != self.last_request_id {
            return;
        }
        let age_now = self.age(now).unwrap_or(Duration::MAX);
        if age_now < STORE_QUERY_INTERVAL {
            self.attempt = 0;
            self.peer_query_due = now
                + (STORE_QUERY_INTERVAL + PEER_QUERY_LAG)
                    .saturating_sub(age_now)
                    .max(NEXT_PEER_DELAY);
        } else {
            self.peer_query_due = now + NEXT_PEER_DELAY;
        }
    }

    fn confirm_earlier(&mut self, sent_at: Time, age: Duration) {
        // A time before the start of this node's clock cannot be represented.
        if sent_at.since(Time::ZERO) >= age {
            self.confirm(Time::ZERO + (sent_at.since(Time::ZERO) - age));
        }
    }
}
