//! The queue in front of one backend server.

mod slack_index;

use crate::WorkItem;
use indexmap::IndexMap;
use slack_index::SlackIndex;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::Time;

/// A part of the queue. Work leaves in this order: protected classes before lookups, then by
/// priority, then by lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Rank {
    is_lookup: bool,
    priority: u8,
    lane: Lane,
}

/// The order within a priority. Work without a latest start goes first: where work is scheduled by
/// slack, that is work of an operation whose run time is still unknown, and it becomes known only
/// if some of it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Lane {
    /// Protected work under a rate limit that only this instance may run, by deadline. All other
    /// work may be sent to other instances.
    OnlyHere,
    /// Calls of actions already admitted at their entry node, by deadline.
    Admitted,
    /// Actions that begin here, by arrival.
    BeginsHere,
    /// Work that can still meet its objective, by latest start.
    InTime,
    /// Work that can no longer meet its objective, by deadline.
    Late,
}

impl Lane {
    fn has_latest_start(self) -> bool {
        matches!(self, Lane::InTime | Lane::Late)
    }
}

impl Rank {
    fn of(now: Time, item: &WorkItem) -> Self {
        let lane = match item.latest_start {
            Some(latest) if latest < now => Lane::Late,
            Some(_) => Lane::InTime,
            None if item.only_here => Lane::OnlyHere,
            None if item.admitted => Lane::Admitted,
            None => Lane::BeginsHere,
        };
        Self {
            is_lookup: !item.class.is_protected(),
            priority: item.priority,
            lane,
        }
    }
}

/// The place of a work item in the queue. It is valid until the queue changes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place {
    rank: Rank,
    index: usize,
}

/// Waiting work items, by rank.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// Sorted; the most urgent rank is first.
    ranks: IndexMap<Rank, VecDeque<WorkItem>>,
    slack: SlackIndex,
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

    /// The number of work items that can no longer meet their objectives.
    pub(crate) fn late_len(&self) -> usize {
        self.len_of(|rank| rank.lane == Lane::Late)
    }

    /// The number of patient actions that begin here and have a latest start.
    pub(crate) fn patient_len(&self) -> usize {
        self.slack.patient()
    }

    /// The number of queued actions of an organisation, if another organisation is waiting too.
    pub(crate) fn contended_count(&self, organisation: u32) -> Option<usize> {
        self.slack.contended_count(organisation)
    }

    /// The number of queued actions that other organisations have beyond `max` each, which they lose
    /// as soon as an action of this one is waiting.
    pub(crate) fn excess_of_others(&self, organisation: u32, max: usize) -> usize {
        self.slack.excess_of_others(organisation, max)
    }

    fn len_of(&self, matches: impl Fn(&Rank) -> bool) -> usize {
        let ranks = self.ranks.iter().filter(|(rank, _)| matches(rank));
        ranks.map(|(_, items)| items.len()).sum()
    }

    /// How many work items would leave the queue before a new one: those that precede it in rank
    /// order if `by_rank` is set, otherwise all, because work then leaves in order of arrival.
    pub(crate) fn ahead_of(&self, now: Time, item: &WorkItem, by_rank: bool) -> usize {
        if !by_rank {
            return self.len();
        }
        let own = Rank::of(now, item);
        let same_rank = self.ranks.get(&own);
        let index = same_rank.map_or(0, |items| insertion_index(own.lane, items, item));
        self.len_of(|rank| *rank < own) + index
    }

    pub(crate) fn push(&mut self, now: Time, item: WorkItem) {
        self.slack.add(&item);
        self.insert(Rank::of(now, &item), item);
    }

    fn insert(&mut self, rank: Rank, item: WorkItem) {
        let index = match self.ranks.get_index_of(&rank) {
            Some(index) => index,
            None => self.ranks.insert_sorted(rank, VecDeque::new()).0,
        };
        let items = &mut self.ranks[index];
        items.insert(insertion_index(rank.lane, items, &item), item);
    }

    /// Moves work whose latest start has passed behind the work of its rank that can still meet its
    /// objective.
    pub(crate) fn demote_late(&mut self, now: Time) {
        while let Some(item) = self.pop_overdue(now) {
            self.insert(Rank::of(now, &item), item);
        }
    }

    fn pop_overdue(&mut self, now: Time) -> Option<WorkItem> {
        let mut lanes = self.ranks.iter_mut();
        lanes.find_map(|(rank, items)| {
            let latest = items.front().and_then(|item| item.latest_start);
            let is_overdue = rank.lane == Lane::InTime && latest.is_some_and(|at| at < now);
            is_overdue.then(|| items.pop_front()).flatten()
        })
    }

    /// Removes a work item in excess of `capacity`. A rank is in excess if it and all more urgent
    /// ranks together have more than `capacity` work items. Of the least urgent such rank, the
    /// oldest work item is removed. Calls of admitted actions are counted but never removed,
    /// because the work already done for their actions would be lost. Work with a latest start has
    /// a bound of its own.
    pub(crate) fn evict_excess(&mut self, capacity: usize) -> Option<WorkItem> {
        let ranks = self.ranks.iter().rev();
        let waiting =
            ranks.filter(|(rank, items)| rank.lane == Lane::BeginsHere && !items.is_empty());
        let mut ranks = waiting.map(|(rank, _)| *rank);
        let last = ranks.find(|last| self.len_of(|rank| rank <= last) > capacity)?;
        self.ranks[&last].pop_front()
    }

    /// The least urgent action of an organisation that has more than `max` queued actions while
    /// another organisation is waiting.
    pub(crate) fn find_over_share(&self, max: usize) -> Option<Place> {
        let organisation = self.slack.over_share(max)?;
        self.find_last(counts_for(organisation), |_, _| true)
    }

    /// Whether an action of an organisation is queued behind at least `ahead` work items.
    pub(crate) fn has_behind(&self, organisation: u32, ahead: usize) -> bool {
        let last = self.find_last(counts_for(organisation), |_, place| place >= ahead);
        last.is_some()
    }

    /// The longest time that queued work with a latest start may wait, from its arrival on.
    pub(crate) fn longest_slack(&self) -> Duration {
        let items = self.slack.items();
        items.filter_map(WorkItem::slack).max().unwrap_or_default()
    }

    /// An action that begins here and for which `is_infeasible` holds, given the number of work items
    /// ahead of it. Only the last such action of each lane is checked, the least urgent lane first.
    /// Work without a latest start is left out.
    pub(crate) fn find_infeasible(
        &self,
        is_infeasible: impl Fn(&WorkItem, usize) -> bool,
    ) -> Option<Place> {
        self.find_last(|item| !item.admitted, is_infeasible)
    }

    /// Of the last work item in each lane that matches `is_candidate`, the least urgent for which
    /// `matches` holds, given the number of work items ahead of it.
    fn find_last(
        &self,
        is_candidate: impl Fn(&WorkItem) -> bool,
        matches: impl Fn(&WorkItem, usize) -> bool,
    ) -> Option<Place> {
        let lanes = self.ranks.iter().rev();
        let mut lanes = lanes.filter(|(rank, _)| rank.lane.has_latest_start());
        lanes.find_map(|(rank, items)| {
            let index = items.iter().rposition(&is_candidate)?;
            let ahead = self.len_of(|other| other < rank) + index;
            matches(&items[index], ahead).then_some(Place { rank: *rank, index })
        })
    }

    /// Removes the work item at a place that was just found.
    pub(crate) fn take(&mut self, Place { rank, index }: Place) -> Option<WorkItem> {
        let item = self.ranks.get_mut(&rank)?.remove(index)?;
        self.slack.remove(&item);
        Some(item)
    }

    fn pop_front(&mut self, rank: Rank) -> Option<WorkItem> {
        self.take(Place { rank, index: 0 })
    }

    /// Removes the first lookup of the least urgent rank, calls of admitted actions without a latest
    /// start last.
    pub(crate) fn evict_lookup(&mut self) -> Option<WorkItem> {
        self.pop_least_urgent(|rank| rank.is_lookup && rank.lane != Lane::Admitted)
            .or_else(|| self.pop_least_urgent(|rank| rank.is_lookup))
    }

    /// Removes the first work item of the least urgent nonempty rank that matches.
    fn pop_least_urgent(&mut self, matches: impl Fn(&Rank) -> bool) -> Option<WorkItem> {
        let mut ranks = self.ranks.iter().rev();
        let (rank, _) = ranks.find(|(rank, items)| matches(rank) && !items.is_empty())?;
        self.pop_front(*rank)
    }

    pub(crate) fn remove(&mut self, id: u64) -> bool {
        let mut ranks = self.ranks.iter();
        let found = ranks.find_map(|(rank, items)| {
            let index = items.iter().position(|item| item.id == id);
            index.map(|index| Place { rank: *rank, index })
        });
        found.is_some_and(|place| self.take(place).is_some())
    }

    /// Removes a work item for which `is_expired` holds. The work item with a latest start that has
    /// the earliest deadline is checked, and the front of each rank, the least urgent rank first.
    /// [`Queue::next_timer`] covers the same work items, so that none of its timers stays due.
    pub(crate) fn pop_expired(
        &mut self,
        is_expired: impl Fn(&WorkItem) -> bool,
    ) -> Option<WorkItem> {
        let by_deadline = self.slack.first_deadline().filter(|item| is_expired(item));
        if let Some(item) = by_deadline.copied() {
            self.remove(item.id);
            return Some(item);
        }
        let mut ranks = self.ranks.iter().rev();
        let (rank, _) = ranks.find(|(_, items)| items.front().is_some_and(&is_expired))?;
        self.pop_front(*rank)
    }

    /// Removes the next work item to start; see [`Queue::front`].
    pub(crate) fn pop(&mut self, by_rank: bool) -> Option<WorkItem> {
        self.pop_front(self.first_rank(by_rank)?)
    }

    /// The next work item to start: the first in rank order if `by_rank` is set, otherwise the one
    /// that arrived first among the fronts of the ranks.
    pub(crate) fn front(&self, by_rank: bool) -> Option<&WorkItem> {
        self.ranks.get(&self.first_rank(by_rank)?)?.front()
    }

    fn first_rank(&self, by_rank: bool) -> Option<Rank> {
        let mut waiting = self.ranks.iter().filter(|(_, items)| !items.is_empty());
        let first = if by_rank {
            waiting.next()
        } else {
            waiting.min_by_key(|(_, items)| items.front().map(|item| item.arrived))
        };
        first.map(|(rank, _)| *rank)
    }

    /// When the first work item at the front of a rank, or the one with a latest start that has the
    /// earliest deadline, reaches its longest wait or its deadline.
    pub(crate) fn next_timer(&self, max_wait: impl Fn(&WorkItem) -> Duration) -> Option<Time> {
        let due = self
            .fronts()
            .chain(self.slack.first_deadline())
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

/// Whether a work item counts towards an organisation's part of the queue.
fn counts_for(organisation: u32) -> impl Fn(&WorkItem) -> bool {
    move |item| item.counts_for_organisation() && item.organisation == organisation
}

/// The index at which a work item is inserted among those of its rank.
///
/// Calls of admitted actions are sorted by deadline. An action with one call left and little time
/// goes before one that has just begun, so that both can meet their deadlines; in order of arrival,
/// it could miss its deadline behind the other. Actions that begin here are sorted by arrival. Work
/// with a latest start is sorted by it, and at the same latest start a call of an admitted action
/// goes before an action that begins here.
fn insertion_index(lane: Lane, items: &VecDeque<WorkItem>, item: &WorkItem) -> usize {
    let by_slack = |item: &WorkItem| (item.latest_start, !item.admitted);
    match lane {
        Lane::OnlyHere | Lane::Admitted | Lane::Late => {
            items.partition_point(|other| other.deadline <= item.deadline)
        }
        Lane::BeginsHere => items.len(),
        Lane::InTime => items.partition_point(|other| by_slack(other) <= by_slack(item)),
    }
}
