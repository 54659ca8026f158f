//! The queue in front of one backend server.

use crate::WorkItem;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::Time;

/// The order in which work leaves the queue: protected classes before lookups, then by priority,
/// then calls of actions already admitted at their entry node before actions that begin here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Rank {
    is_lookup: bool,
    priority: u8,
    begins_here: bool,
}

impl Rank {
    fn of(item: &WorkItem) -> Self {
        Self {
            is_lookup: !item.class.is_protected(),
            priority: item.priority,
            begins_here: !item.admitted,
        }
    }
}

/// Waiting work items, by rank.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// Sorted; the most urgent rank is first.
    ranks: IndexMap<Rank, VecDeque<WorkItem>>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len_of(|_| true)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(crate) fn protected_len(&self) -> usize {
        self.len_of(|rank| !rank.is_lookup)
    }

    fn len_of(&self, matches: impl Fn(&Rank) -> bool) -> usize {
        let ranks = self.ranks.iter().filter(|(rank, _)| matches(rank));
        ranks.map(|(_, items)| items.len()).sum()
    }

    /// How many work items would leave the queue before a new one: those that precede it in rank
    /// order if `by_rank` is set, otherwise all, because work then leaves in order of arrival.
    pub(crate) fn ahead_of(&self, item: &WorkItem, by_rank: bool) -> usize {
        if !by_rank {
            return self.len();
        }
        let own = Rank::of(item);
        let same_rank = self.ranks.get(&own);
        self.len_of(|rank| *rank < own) + same_rank.map_or(0, |items| insertion_index(items, item))
    }

    pub(crate) fn push(&mut self, item: WorkItem) {
        let rank = Rank::of(&item);
        let index = match self.ranks.get_index_of(&rank) {
            Some(index) => index,
            None => self.ranks.insert_sorted(rank, VecDeque::new()).0,
        };
        let items = &mut self.ranks[index];
        items.insert(insertion_index(items, &item), item);
    }

    /// Removes a work item in excess of `capacity`. A rank is in excess if it and all more urgent
    /// ranks together have more than `capacity` work items. Of the least urgent such rank, the
    /// oldest work item is removed. Calls of admitted actions are counted but never removed,
    /// because the work already done for their actions would be lost.
    pub(crate) fn evict_excess(&mut self, capacity: usize) -> Option<WorkItem> {
        let ranks = self.ranks.iter().rev();
        let waiting = ranks.filter(|(rank, items)| rank.begins_here && !items.is_empty());
        let mut ranks = waiting.map(|(rank, _)| *rank);
        let last = ranks.find(|last| self.len_of(|rank| rank <= last) > capacity)?;
        self.ranks[&last].pop_front()
    }

    /// Removes the first lookup of the least urgent rank among actions that begin here; if there is
    /// none, among calls of admitted actions.
    pub(crate) fn evict_lookup(&mut self) -> Option<WorkItem> {
        self.pop_least_urgent(|rank| rank.is_lookup && rank.begins_here)
            .or_else(|| self.pop_least_urgent(|rank| rank.is_lookup))
    }

    /// Removes the first work item of the least urgent nonempty rank that matches.
    fn pop_least_urgent(&mut self, matches: impl Fn(&Rank) -> bool) -> Option<WorkItem> {
        let mut ranks = self
            .ranks
            .iter_mut()
            .rev()
            .filter(|(rank, _)| matches(rank));
        ranks.find_map(|(_, items)| items.pop_front())
    }

    pub(crate) fn remove(&mut self, id: u64) -> bool {
        let before = self.len();
        for items in self.ranks.values_mut() {
            items.retain(|item| item.id != id);
        }
        self.len() < before
    }

    /// Removes a work item for which `is_expired` holds. Only the front of each rank is checked,
    /// the least urgent rank first.
    pub(crate) fn pop_expired(
        &mut self,
        is_expired: impl Fn(&WorkItem) -> bool,
    ) -> Option<WorkItem> {
        let mut ranks = self.ranks.values_mut().rev();
        ranks.find_map(|items| {
            let expired = items.front().is_some_and(&is_expired);
            expired.then(|| items.pop_front()).flatten()
        })
    }

    /// Removes the next work item to start: the first in rank order if `by_rank` is set, otherwise
    /// the one that arrived first among the fronts of the ranks.
    pub(crate) fn pop(&mut self, by_rank: bool) -> Option<WorkItem> {
        let mut waiting = self.ranks.values_mut().filter(|items| !items.is_empty());
        let next = if by_rank {
            waiting.next()
        } else {
            waiting.min_by_key(|items| items.front().map(|item| item.arrived))
        };
        next?.pop_front()
    }

    /// When the first work item at the front of a rank reaches its longest wait or its deadline.
    pub(crate) fn next_timer(&self, max_wait: impl Fn(&WorkItem) -> Duration) -> Option<Time> {
        let due = self
            .fronts()
            .map(|item| (item.arrived + max_wait(item)).min(item.deadline));
        due.min()
    }

    /// The waiting work items in the order in which they leave by rank.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &WorkItem> {
        self.ranks.values().flatten()
    }

    fn fronts(&self) -> impl Iterator<Item = &WorkItem> {
        self.ranks.values().filter_map(VecDeque::front)
    }
}

/// The index at which a work item is inserted among those of its rank.
///
/// Calls of admitted actions are sorted by deadline. An action with one call left and little time
/// goes before one that has just begun, so that both can meet their deadlines; in order of arrival,
/// it could miss its deadline behind the other. Actions that begin here are sorted by arrival.
fn insertion_index(items: &VecDeque<WorkItem>, item: &WorkItem) -> usize {
    match item.admitted {
        true => items.partition_point(|other| other.deadline <= item.deadline),
        false => items.len(),
    }
}
