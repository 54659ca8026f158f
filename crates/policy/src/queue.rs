//! The queue in front of one backend server.

use crate::Ticket;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::Time;

/// How long the delay must stand before the newest work goes first (CoDel's interval; Nichols and
/// Jacobson, "Controlling Queue Delay", 2012).
const INTERVAL: Duration = Duration::from_millis(100);

/// Ranks of tickets: protected classes before lookups, and in each the calls of actions that were
/// admitted elsewhere before those that begin here.
const RANKS: usize = 4;

/// The first rank of lookups.
const LOOKUPS: usize = 2;

/// The ranks of work that begins here.
const BEGINS_HERE: [usize; 2] = [3, 1];

/// Tickets that wait, by rank.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    ranks: [VecDeque<Ticket>; RANKS],
    /// When the delay was last seen above the target without having been below it since.
    above_since: Option<Time>,
    /// The delay stands: the newest goes first.
    standing: bool,
}

/// How the next ticket is taken out.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Order {
    pub(crate) by_class: bool,
    pub(crate) newest_first: bool,
    /// The delay that is still good.
    pub(crate) target: Duration,
}

fn rank(ticket: &Ticket) -> usize {
    let class = if ticket.class.is_protected() {
        0
    } else {
        LOOKUPS
    };
    class + usize::from(!ticket.admitted)
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.ranks.iter().map(VecDeque::len).sum()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ranks.iter().all(VecDeque::is_empty)
    }

    pub(crate) fn protected_len(&self) -> usize {
        self.ranks[..LOOKUPS].iter().map(VecDeque::len).sum()
    }

    /// How many go before a new ticket.
    pub(crate) fn ahead_of(&self, ticket: &Ticket, by_class: bool) -> usize {
        if by_class {
            let ranks = &self.ranks[..=rank(ticket)];
            ranks.iter().map(VecDeque::len).sum()
        } else {
            self.len()
        }
    }

    pub(crate) fn push(&mut self, ticket: Ticket) {
        self.ranks[rank(&ticket)].push_back(ticket);
    }

    /// Whether the delay has stood above the target for a while.
    pub(crate) fn is_standing(&self) -> bool {
        self.standing
    }

    /// Takes out the ticket that has waited longest, a lookup if there is one, where more wait than
    /// can be done. Calls of admitted actions stay: the work that was done for them would be lost.
    pub(crate) fn displace(&mut self, capacity: usize) -> Option<Ticket> {
        let [lookups, protected] = BEGINS_HERE;
        if self.len() > capacity && !self.ranks[lookups].is_empty() {
            return self.ranks[lookups].pop_front();
        }
        if self.protected_len() > capacity {
            return self.ranks[protected].pop_front();
        }
        None
    }

    /// Takes out the lookup that has waited longest, of those that begin here if there are any.
    pub(crate) fn displace_lookup(&mut self) -> Option<Ticket> {
        let mut ranks = (LOOKUPS..RANKS).rev();
        ranks.find_map(|rank| self.ranks[rank].pop_front())
    }

    pub(crate) fn withdraw(&mut self, id: u64) -> bool {
        let before = self.len();
        for rank in &mut self.ranks {
            rank.retain(|ticket| ticket.id != id);
        }
        self.len() < before
    }

    /// Takes out a ticket that has waited too long: the oldest of a rank, for which `hopeless`
    /// holds.
    pub(crate) fn pop_hopeless(&mut self, hopeless: impl Fn(&Ticket) -> bool) -> Option<Ticket> {
        let mut ranks = self.ranks.iter_mut().rev();
        ranks.find_map(|rank| {
            let front = rank.front().is_some_and(&hopeless);
            front.then(|| rank.pop_front()).flatten()
        })
    }

    /// Takes out the next ticket to start.
    pub(crate) fn pop(&mut self, now: Time, order: Order) -> Option<Ticket> {
        let waiting = (0..RANKS).filter(|rank| !self.ranks[*rank].is_empty());
        let next = if order.by_class {
            waiting.min()
        } else {
            waiting.min_by_key(|rank| self.ranks[*rank].front().map(|ticket| ticket.arrived))
        };
        let Some(next) = next else {
            self.standing = false;
            self.above_since = None;
            return None;
        };
        // Calls of an admitted action are all needed, so none of them may starve behind newer ones.
        let newest = order.newest_first && self.standing && BEGINS_HERE.contains(&next);
        let ticket = if newest {
            self.ranks[next].pop_back()
        } else {
            self.ranks[next].pop_front()
        };
        self.watch(now, order.target);
        ticket
    }

    /// Notes whether the oldest ticket's wait stands above the target.
    fn watch(&mut self, now: Time, target: Duration) {
        let oldest = self.fronts().map(|ticket| ticket.arrived).min();
        if oldest.is_none_or(|arrived| now.since(arrived) < target) {
            self.above_since = None;
            self.standing = false;
            return;
        }
        let since = *self.above_since.get_or_insert(now);
        self.standing |= now.since(since) >= INTERVAL;
    }

    /// When the ticket at the front of a rank has waited for its time or is due.
    pub(crate) fn next_timer(&self, max_wait: impl Fn(&Ticket) -> Duration) -> Option<Time> {
        let due = self
            .fronts()
            .map(|ticket| (ticket.arrived + max_wait(ticket)).min(ticket.deadline));
        due.min()
    }

    fn fronts(&self) -> impl Iterator<Item = &Ticket> {
        self.ranks.iter().filter_map(VecDeque::front)
    }
}
