//! Whether the rules held here were the newest a short time ago.
//!
//! A revoked key must be refused by every node within a bounded time, cut off or not. Delivery of new rules
//! proves nothing about their absence, so a node needs positive evidence: a moment at which the version that
//! it holds was the newest. One node of each failure domain gets it from the store, the others from that
//! node. A moment is always counted from the own sending of the question, never from the arrival of
//! an answer, which may have been held up.

use rand::rngs::StdRng;
use rand::RngExt;
use std::time::Duration;
use stdx::BoundedMap;
use stdx::Time;

/// How often the node that leads its failure domain asks the store.
const INTERVAL: Duration = Duration::from_millis(1500);

/// How long after the leader's next question to the store the other nodes ask the leader.
const LAG: Duration = Duration::from_millis(100);

/// After this time without an answer the next node is asked.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);

/// How soon another node is asked when an answer was of no use.
const ASK_NEXT: Duration = Duration::from_millis(30);

/// How long a question to the store may take before another is sent. The connection may be silent.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// The pause after a question to the store that failed.
const READ_AGAIN: Duration = Duration::from_millis(400);

/// A node whose evidence is older than this looks for it elsewhere too.
const OLD: Duration = Duration::from_millis(2100);

/// The least time between two questions to the store by a node that does not lead its failure domain; up to
/// twice as much.
const DIRECT_INTERVAL: Duration = Duration::from_secs(1);

/// Tries with peers before such a node asks the store, and before one does that has just started: of nodes
/// that start together, a few ask for all.
const TRIES_BEFORE_STORE: u32 = 3;
const FIRST_TRIES: u32 = 12;

/// Questions to peers whose answers are still of use.
const MAX_ASKED: usize = 16;

/// Of the bound for revocations, the part after which keys are no longer trusted.
const TRUSTED: f64 = 0.95;

/// Of the bound, the part within which a key that the rules do not hold is known to be none. Older rules may
/// lack a key that was added since.
const COMPLETE: f64 = 0.5;

/// What to do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreshnessAction {
    /// Find out from the store whether there are newer rules.
    QueryStore,
    /// Ask a peer.
    QueryPeer {
        /// To be repeated in the answer.
        request_id: u64,
        /// How many were asked in vain before; whoever sends the question chooses the peer by it.
        attempt: u32,
    },
}

/// Evidence that the rules held here are the newest.
#[derive(Debug)]
pub struct Freshness {
    /// Within this time after its revocation a key is refused; unbounded without it.
    bound: Option<Duration>,
    /// When the rules held here are known to have been the newest.
    confirmed: Option<Time>,
    due: Time,
    attempt: u32,
    last_request_id: u64,
    asked: BoundedMap<u64, Time>,
    store_asked: Option<Time>,
    store_due: Time,
}

impl Freshness {
    /// No evidence yet.
    pub fn new(bound: Option<Duration>) -> Self {
        Self {
            bound,
            confirmed: None,
            due: Time::ZERO,
            attempt: 0,
            last_request_id: 0,
            asked: BoundedMap::new(MAX_ASKED),
            store_asked: None,
            store_due: Time::ZERO,
        }
    }

    /// The time since the rules held here were known to be the newest.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Whether no key that the rules hold can have been revoked longer ago than the bound allows.
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
        self.is_within(now, TRUSTED)
    }

    /// Whether a key that the rules do not hold is known to be none.
    pub fn may_reject_unknown_key(&self, now: Time) -> bool {
        self.is_within(now, COMPLETE)
    }

    fn is_within(&self, now: Time, part: f64) -> bool {
        let Some(bound) = self.bound else {
            return true;
        };
        self.age(now).is_some_and(|age| age < bound.mul_f64(part))
    }

    /// The rules held now were the newest at this time.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// What to do now. `leads` says whether this node asks the store for its failure domain.
    pub fn tick(&mut self, now: Time, leads: bool, rng: &mut StdRng) -> Vec<FreshnessAction> {
        let mut steps = Vec::new();
        if self.bound.is_none() {
            return steps;
        }
        let old = self.age(now).is_none_or(|age| age >= OLD);
        let tries = match self.confirmed {
            Some(_) => TRIES_BEFORE_STORE,
            None => FIRST_TRIES,
        };
        let direct = leads || (old && self.attempt >= tries);
        let waits = self
            .store_asked
            .is_some_and(|at| now.since(at) < READ_TIMEOUT);
        if direct && !waits && now >= self.store_due {
            self.store_asked = Some(now);
            self.store_due = match leads {
                true => now + INTERVAL,
                false => now + DIRECT_INTERVAL.mul_f64(rng.random_range(1.0..2.0)),
            };
            steps.push(FreshnessAction::QueryStore);
        }
        if (old || !leads) && now >= self.due {
            self.last_request_id += 1;
            self.asked.insert(self.last_request_id, now);
            steps.push(FreshnessAction::QueryPeer {
                request_id: self.last_request_id,
                attempt: self.attempt,
            });
            self.attempt = self.attempt.saturating_add(1);
            self.due = now + ASK_TIMEOUT;
        }
        steps
    }

    /// When [`Freshness::tick`] has something to do.
    pub fn next_timer(&self, leads: bool) -> Option<Time> {
        self.bound?;
        let timeout = self.store_asked.map(|at| at + READ_TIMEOUT);
        let store = self.store_due.max(timeout.unwrap_or(Time::ZERO));
        if !leads {
            return Some(self.due);
        }
        // A leader asks peers once its evidence is old.
        let old = self.confirmed.map_or(Time::ZERO, |at| at + OLD);
        Some(store.min(old.max(self.due)))
    }

    /// The store answered a question that was sent at `asked`, and holds no newer rules than this node.
    pub fn on_store_confirmed(&mut self, asked: Time) {
        self.store_asked = None;
        self.attempt = 0;
        self.confirm(asked);
    }

    /// The store did not answer.
    pub fn on_store_failed(&mut self, now: Time) {
        self.store_asked = None;
        self.store_due = self.store_due.min(now + READ_AGAIN);
    }

    /// A peer that holds no newer rules than this node answered query `request_id`: its rules were the newest
    /// `age` before it answered.
    pub fn on_report(&mut self, now: Time, request_id: u64, age: Duration) {
        let Some(asked) = self.asked.get(&request_id).copied() else {
            return;
        };
        self.confirm_before(asked, age);
        if request_id != self.last_request_id {
            return;
        }
        let current = self.age(now).unwrap_or(Duration::MAX);
        if current < INTERVAL {
            self.attempt = 0;
            self.due = now + (INTERVAL + LAG).saturating_sub(current).max(ASK_NEXT);
        } else {
            self.due = now + ASK_NEXT;
        }
    }

    fn confirm_before(&mut self, asked: Time, age: Duration) {
        // A moment before this node's clock began tells nothing that could be used.
        if asked.since(Time::ZERO) >= age {
            self.confirm(Time::ZERO + (asked.since(Time::ZERO) - age));
        }
    }
}
