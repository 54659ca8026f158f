//! The lease of a home: votes of its view's members, collected in rounds (Gray and Cheriton, 1989).

use crate::quorum::is_quorum;
use indexmap::IndexMap;
use proto::Incarnation;
use proto::Instance;
use std::time::Duration;
use stdx::Time;

/// Number of rounds whose grants are still accepted. Grants of older rounds would be too old to
/// extend the lease.
const MAX_ROUNDS: usize = 8;

/// The rounds sent and the grants received.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    round: u64,
    /// When each of the last rounds was sent.
    sent: IndexMap<u64, Time>,
    /// For each granter, when the newest round it granted was sent.
    granted: IndexMap<Incarnation, Time>,
}

impl Lease {
    /// Starts a round and returns its number.
    pub(crate) fn begin_round(&mut self, now: Time) -> u64 {
        self.round += 1;
        self.sent.insert(self.round, now);
        if self.sent.len() > MAX_ROUNDS {
            self.sent.shift_remove_index(0);
        }
        self.round
    }

    /// When a round was sent, if its grants are still accepted.
    pub(crate) fn sent_at(&self, round: u64) -> Option<Time> {
        self.sent.get(&round).copied()
    }

    /// Records a grant.
    ///
    /// A grant may be delayed for long while its granter moves on to a newer view. It therefore
    /// counts from when its round was sent, never from when it arrived.
    pub(crate) fn record_grant(&mut self, from: Incarnation, sent: Time) {
        let newest = self.granted.entry(from).or_insert(sent);
        *newest = sent.max(*newest);
    }

    /// Drops the grants of nodes that are not members. The other grants stay valid: a granter that
    /// knew no view newer than the previous one knew none newer than this one.
    pub(crate) fn retain(&mut self, members: &[Instance]) {
        self.granted
            .retain(|from, _| members.iter().any(|member| member.incarnation == *from));
    }

    /// When the lease expires: `duration` after the latest time for which a quorum has granted
    /// rounds sent at or after that time. `me` always grants itself.
    pub(crate) fn expires_at(
        &self,
        now: Time,
        members: &[Instance],
        me: Incarnation,
        duration: Duration,
    ) -> Option<Time> {
        let mut times: Vec<Time> = self.granted.values().copied().collect();
        times.push(now);
        times.sort_unstable();
        let has_quorum = |since: Time| {
            is_quorum(members, |member| {
                member == me || self.granted.get(&member).is_some_and(|sent| *sent >= since)
            })
        };
        let since = times.into_iter().rev().find(|since| has_quorum(*since))?;
        Some(since + duration)
    }

    /// Whether a member granted none of the rounds sent since `since`.
    pub(crate) fn is_unresponsive(&self, member: Incarnation, since: Time) -> bool {
        self.granted.get(&member).is_none_or(|sent| *sent < since)
    }
}
