//! The lease of a home: votes of its view's members, won in rounds (Gray and Cheriton, 1989).

use crate::view::is_quorum;
use indexmap::IndexMap;
use proto::Incarnation;
use proto::Instance;
use std::time::Duration;
use stdx::Time;

/// Rounds whose grants still count; older ones would be too old to help.
const MAX_ROUNDS: usize = 8;

/// What was asked for and granted.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    round: u64,
    /// When each of the last rounds was sent.
    sent: IndexMap<u64, Time>,
    /// For each granter, when the newest round that it granted was sent.
    granted: IndexMap<Incarnation, Time>,
}

impl Lease {
    /// Begins a round.
    pub(crate) fn next_round(&mut self, now: Time) -> u64 {
        self.round += 1;
        self.sent.insert(self.round, now);
        if self.sent.len() > MAX_ROUNDS {
            self.sent.shift_remove_index(0);
        }
        self.round
    }

    /// When a round was sent, if its grants still count.
    pub(crate) fn sent_at(&self, round: u64) -> Option<Time> {
        self.sent.get(&round).copied()
    }

    /// Takes a grant.
    ///
    /// A grant may have been under way for long while its granter went on to a newer view. So it
    /// counts from when its round was sent, never from when it came.
    pub(crate) fn grant(&mut self, from: Incarnation, sent: Time) {
        let newest = self.granted.entry(from).or_insert(sent);
        *newest = sent.max(*newest);
    }

    /// Forgets the grants of all who are no members. The others' grants go on: a granter that knew
    /// no view newer than the one before knew none newer than this one.
    pub(crate) fn retain(&mut self, members: &[Instance]) {
        self.granted
            .retain(|from, _| members.iter().any(|member| member.incarnation == *from));
    }

    /// The lease's end: `length` after the newest time at or after which a quorum's granted rounds
    /// were sent. `me` always grants itself.
    pub(crate) fn until(
        &self,
        now: Time,
        members: &[Instance],
        me: Incarnation,
        length: Duration,
    ) -> Option<Time> {
        let mut times: Vec<Time> = self.granted.values().copied().collect();
        times.push(now);
        times.sort_unstable();
        let has = |since: Time| {
            is_quorum(members, |member| {
                member == me || self.granted.get(&member).is_some_and(|sent| *sent >= since)
            })
        };
        let since = times.into_iter().rev().find(|since| has(*since))?;
        Some(since + length)
    }

    /// Whether a member granted none of the rounds that were sent since `since`.
    pub(crate) fn is_silent(&self, member: Incarnation, since: Time) -> bool {
        self.granted.get(&member).is_none_or(|sent| *sent < since)
    }
}
