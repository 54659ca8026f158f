//! Totals of the queued work that is scheduled by slack, and its order by deadline.

use crate::WorkItem;
use indexmap::IndexMap;
use std::collections::BTreeMap;
use stdx::Time;

/// Totals of the queued work that has a latest start, and its order by deadline. Other work is
/// ignored.
#[derive(Debug, Default)]
pub(super) struct SlackIndex {
    by_deadline: BTreeMap<(Time, u64), WorkItem>,
    /// Number of queued actions that begin here, by organisation.
    by_organisation: IndexMap<u32, usize>,
    /// Number of queued work items that wait because they can.
    patient: usize,
}

impl SlackIndex {
    pub(super) fn add(&mut self, item: &WorkItem) {
        if item.latest_start.is_none() {
            return;
        }
        self.by_deadline.insert((item.deadline, item.id), *item);
        if item.counts_for_organisation() {
            *self.by_organisation.entry(item.organisation).or_insert(0) += 1;
        }
        if item.waits_by_choice() {
            self.patient += 1;
        }
    }

    pub(super) fn remove(&mut self, item: &WorkItem) {
        if self.by_deadline.remove(&(item.deadline, item.id)).is_none() {
            return;
        }
        if item.counts_for_organisation() {
            let count = self.by_organisation.get_mut(&item.organisation);
            let left = count.map_or(0, |count| {
                *count -= 1;
                *count
            });
            if left == 0 {
                self.by_organisation.swap_remove(&item.organisation);
            }
        }
        if item.waits_by_choice() {
            self.patient -= 1;
        }
    }

    /// The work items by deadline.
    pub(super) fn items(&self) -> impl Iterator<Item = &WorkItem> {
        self.by_deadline.values()
    }

    /// The work item with the earliest deadline.
    pub(super) fn first_deadline(&self) -> Option<&WorkItem> {
        self.items().next()
    }

    /// The number of patient actions that begin here.
    pub(super) fn patient(&self) -> usize {
        self.patient
    }

    /// The number of queued work items of an organisation, if another one is waiting too.
    pub(super) fn contended_count(&self, organisation: u32) -> Option<usize> {
        let own = self.by_organisation.get(&organisation).copied();
        let others = self.by_organisation.len() - usize::from(own.is_some());
        own.filter(|_| others > 0)
    }

    /// The number of queued work items that other organisations have beyond `max` each.
    pub(super) fn excess_of_others(&self, organisation: u32, max: usize) -> usize {
        let counts = self.by_organisation.iter();
        let others = counts.filter(|(other, _)| **other != organisation);
        others.map(|(_, count)| count.saturating_sub(max)).sum()
    }

    /// An organisation with more than `max` queued work items, while another one is waiting.
    pub(super) fn over_share(&self, max: usize) -> Option<u32> {
        if self.by_organisation.len() < 2 {
            return None;
        }
        let mut counts = self.by_organisation.iter();
        let over = counts.find(|(_, count)| **count > max);
        over.map(|(organisation, _)| *organisation)
    }
}
