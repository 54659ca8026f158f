//! Requests that wait for a token while the rules schedule by slack, by organisation.

use crate::quota::run_time::RequestTimes;
use crate::quota::token_request::TokenRequest;
use crate::RequestToken;
use indexmap::IndexMap;
use organisation::Returns;
use organisation::TokenClaim;
use organisation::TokenQueue;
use organisation::WaitKey;
use proto::OrganisationId;
use std::collections::BTreeSet;
use std::time::Duration;
use stdx::Time;

/// Maximum number of requests that wait at this node.
const MAX_WAITING: usize = 1024;

/// How often promises and idle queues are checked.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// A request that waits for a token.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) organisation: OrganisationId,
    pub(crate) key: WaitKey,
    pub(crate) wait_until: Time,
    pub(crate) request: TokenRequest,
}

/// Queues, refused callers and learned durations.
#[derive(Debug)]
pub(crate) struct SlackQueues {
    pub(crate) queues: IndexMap<OrganisationId, TokenQueue<RequestToken>>,
    pub(crate) waiting: IndexMap<RequestToken, Waiting>,
    /// When each waiting request stops waiting.
    pub(crate) expiries: BTreeSet<(Time, RequestToken)>,
    pub(crate) returns: Returns,
    pub(crate) times: RequestTimes,
    pub(crate) check_at: Option<Time>,
}

impl SlackQueues {
    pub(crate) fn new() -> Self {
        Self {
            queues: IndexMap::new(),
            waiting: IndexMap::new(),
            expiries: BTreeSet::new(),
            returns: Returns::default(),
            times: RequestTimes::new(),
            check_at: None,
        }
    }

    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub(crate) fn next_timer(&self) -> Option<Time> {
        let expiry = self.expiries.first().map(|(at, _)| *at);
        [expiry, self.check_at].into_iter().flatten().min()
    }

    /// The numbers of waiting requests, promised tokens and remembered callers.
    pub(crate) fn sizes(&self) -> (usize, usize, usize) {
        let promised = self.queues.values().map(TokenQueue::promised).sum();
        (self.waiting.len(), promised, self.returns.len())
    }

    pub(crate) fn queue(
        &mut self,
        now: Time,
        organisation: OrganisationId,
    ) -> &mut TokenQueue<RequestToken> {
        self.check_at.get_or_insert(now + CHECK_INTERVAL);
        let queue = self.queues.entry(organisation);
        queue.or_insert_with(|| TokenQueue::new(now))
    }

    /// Removes the last request of the longest queue if too many wait at this node, so that one
    /// organisation does not keep out the others.
    pub(crate) fn displace_last(&mut self) -> Option<(TokenClaim, RequestToken)> {
        if self.waiting.len() <= MAX_WAITING {
            return None;
        }
        let queues = self.queues.values_mut();
        queues.max_by_key(|queue| queue.len())?.pop_last()
    }

    /// Drops the queues of organisations without a quota. Returns those whose requests must first
    /// be released.
    pub(crate) fn retain(
        &mut self,
        has_quota: impl Fn(OrganisationId) -> bool,
    ) -> Vec<OrganisationId> {
        self.queues
            .retain(|id, queue| has_quota(*id) || !queue.is_empty());
        let ids = self.queues.keys().copied();
        ids.filter(|id| !has_quota(*id)).collect()
    }

    pub(crate) fn remove_all_waiting(
        &mut self,
        is_removed: impl Fn(&Waiting) -> bool,
    ) -> Vec<Waiting> {
        let waiting = self.waiting.iter();
        let waiting = waiting.filter(|(_, waiting)| is_removed(waiting));
        let tokens: Vec<RequestToken> = waiting.map(|(token, _)| *token).collect();
        let tokens = tokens.into_iter();
        tokens
            .filter_map(|token| self.remove_waiting(token))
            .collect()
    }

    pub(crate) fn remove_waiting(&mut self, token: RequestToken) -> Option<Waiting> {
        let waiting = self.waiting.swap_remove(&token)?;
        self.expiries.remove(&(waiting.wait_until, token));
        if let Some(queue) = self.queues.get_mut(&waiting.organisation) {
            queue.remove(&waiting.key);
        }
        Some(waiting)
    }
}
