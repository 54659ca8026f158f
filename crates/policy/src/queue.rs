//! The queue in front of one backend server.

use crate::WorkItem;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::Time;

/// Which tickets go first: protected classes before lookups, in each the more urgent priority, and in
/// that the calls of actions that were admitted elsewhere before those that begin here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Rank {
    is_lookup: bool,
    priority: u8,
    begins_here: bool,
}

impl Rank {
    fn of(ticket: &WorkItem) -> Self {
        Self {
            is_lookup: !ticket.class.is_protected(),
            priority: ticket.priority,
            begins_here: !ticket.admitted,
        }
    }
}

/// Tickets that wait, by rank.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// What goes first stands first.
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

    fn len_of(&self, counts: impl Fn(&Rank) -> bool) -> usize {
        let ranks = self.ranks.iter().filter(|(rank, _)| counts(rank));
        ranks.map(|(_, tickets)| tickets.len()).sum()
    }

    /// How many go before a new ticket.
    pub(crate) fn ahead_of(&self, ticket: &WorkItem, by_class: bool) -> usize {
        if !by_class {
            return self.len();
        }
        let own = Rank::of(ticket);
        let alike = self.ranks.get(&own);
        self.len_of(|rank| *rank < own) + alike.map_or(0, |alike| place(alike, ticket))
    }

    pub(crate) fn push(&mut self, ticket: WorkItem) {
        let rank = Rank::of(&ticket);
        let index = match self.ranks.get_index_of(&rank) {
            Some(index) => index,
            None => self.ranks.insert_sorted(rank, VecDeque::new()).0,
        };
        let tickets = &mut self.ranks[index];
        tickets.insert(place(tickets, &ticket), ticket);
    }

    /// Takes out a ticket before which more go than can be done in time: the oldest of the least urgent
    /// rank. Calls of admitted actions stay: the work that was done for them would be lost.
    pub(crate) fn displace(&mut self, capacity: usize) -> Option<WorkItem> {
        let ranks = self.ranks.iter().rev();
        let waiting = ranks.filter(|(rank, tickets)| rank.begins_here && !tickets.is_empty());
        let mut ranks = waiting.map(|(rank, _)| *rank);
        let last = ranks.find(|last| self.len_of(|rank| rank <= last) > capacity)?;
        self.ranks[&last].pop_front()
    }

    /// Takes out the lookup that has waited longest, of those that begin here if there are any.
    pub(crate) fn displace_lookup(&mut self) -> Option<WorkItem> {
        self.pop_last(|rank| rank.is_lookup && rank.begins_here)
            .or_else(|| self.pop_last(|rank| rank.is_lookup))
    }

    /// Takes the oldest ticket out of the least urgent rank that has one, of those that fit.
    fn pop_last(&mut self, fits: impl Fn(&Rank) -> bool) -> Option<WorkItem> {
        let mut ranks = self.ranks.iter_mut().rev().filter(|(rank, _)| fits(rank));
        ranks.find_map(|(_, tickets)| tickets.pop_front())
    }

    pub(crate) fn withdraw(&mut self, id: u64) -> bool {
        let before = self.len();
        for tickets in self.ranks.values_mut() {
            tickets.retain(|ticket| ticket.id != id);
        }
        self.len() < before
    }

    /// Takes out a ticket that has waited too long: the oldest of a rank, for which `hopeless`
    /// holds.
    pub(crate) fn pop_hopeless(
        &mut self,
        hopeless: impl Fn(&WorkItem) -> bool,
    ) -> Option<WorkItem> {
        let mut ranks = self.ranks.values_mut().rev();
        ranks.find_map(|tickets| {
            let front = tickets.front().is_some_and(&hopeless);
            front.then(|| tickets.pop_front()).flatten()
        })
    }

    /// Takes out the next ticket to start.
    pub(crate) fn pop(&mut self, by_class: bool) -> Option<WorkItem> {
        let mut waiting = self
            .ranks
            .values_mut()
            .filter(|tickets| !tickets.is_empty());
        let next = if by_class {
            waiting.next()
        } else {
            waiting.min_by_key(|tickets| tickets.front().map(|ticket| ticket.arrived))
        };
        next?.pop_front()
    }

    /// When the ticket at the front of a rank has waited for its time or is due.
    pub(crate) fn next_timer(&self, max_wait: impl Fn(&WorkItem) -> Duration) -> Option<Time> {
        let due = self
            .fronts()
            .map(|ticket| (ticket.arrived + max_wait(ticket)).min(ticket.deadline));
        due.min()
    }

    fn fronts(&self) -> impl Iterator<Item = &WorkItem> {
        self.ranks.values().filter_map(VecDeque::front)
    }
}

/// Where a ticket goes among those of its rank.
///
/// Calls of admitted actions stand in the order in which they are due. An action with one call left and
/// little time goes before one that has just begun: both may end in time, where in the order of arrival
/// all end late together. What begins here stands in the order of arrival.
fn place(tickets: &VecDeque<WorkItem>, ticket: &WorkItem) -> usize {
    match ticket.admitted {
        true => tickets.partition_point(|other| other.deadline <= ticket.deadline),
        false => tickets.len(),
    }
}
