//! Requests that wait for a token, in the order in which they get one.

use crate::TokenClaim;
use crate::TokenRank;
use std::collections::BTreeMap;
use stdx::Time;

/// Position of a request in the queue: rank, whether it is without a promise, latest start, and
/// order of arrival.
pub type WaitKey = (TokenRank, bool, Time, u64);

/// Waiting requests of one organisation.
#[derive(Debug)]
pub(crate) struct WaitQueue<T> {
    entries: BTreeMap<WaitKey, (TokenClaim, T)>,
    urgent: usize,
    last_number: u64,
}

impl<T> WaitQueue<T> {
    pub(crate) fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            urgent: 0,
            last_number: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn urgent_len(&self) -> usize {
        self.urgent
    }

    pub(crate) fn insert(&mut self, claim: TokenClaim, value: T) -> WaitKey {
        self.last_number += 1;
        let key = (
            claim.rank,
            !claim.was_promised,
            claim.latest_start,
            self.last_number,
        );
        self.urgent += usize::from(claim.is_urgent);
        self.entries.insert(key, (claim, value));
        key
    }

    pub(crate) fn remove(&mut self, key: &WaitKey) -> Option<(TokenClaim, T)> {
        let (claim, value) = self.entries.remove(key)?;
        self.urgent -= usize::from(claim.is_urgent);
        Some((claim, value))
    }

    pub(crate) fn last_key(&self) -> Option<WaitKey> {
        self.entries.last_key_value().map(|(key, _)| *key)
    }

    /// Whether any request goes before a new one.
    pub(crate) fn has_ahead(&self, claim: &TokenClaim) -> bool {
        self.entries.range(..=end_of(claim)).next().is_some()
    }

    /// The number of requests that a new one would be behind, of those whose tokens come from the
    /// same supply.
    pub(crate) fn ahead_of(&self, claim: &TokenClaim) -> usize {
        let ahead = self.entries.range(..=end_of(claim));
        let ahead = ahead.filter(|(_, (other, _))| other.is_urgent == claim.is_urgent);
        ahead.count()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&WaitKey, &TokenClaim)> {
        self.entries.iter().map(|(key, (claim, _))| (key, claim))
    }
}

/// The key of the last request that goes before a new one with this claim.
fn end_of(claim: &TokenClaim) -> WaitKey {
    (
        claim.rank,
        !claim.was_promised,
        claim.latest_start,
        u64::MAX,
    )
}
