//! The queue in front of one backend server.

use crate::Ticket;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::Time;

/// How long the delay must stand before the newest work goes first (CoDel's interval; Nichols and
/// Jacobson, "Controlling Queue Delay", 2012).
const INTERVAL: Duration = Duration::from_millis(100);

/// Tickets that wait, protected classes apart from lookups.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    protected: VecDeque<Ticket>,
    lookups: VecDeque<Ticket>,
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

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.protected.len() + self.lookups.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(crate) fn protected_len(&self) -> usize {
        self.protected.len()
    }

    pub(crate) fn push(&mut self, ticket: Ticket) {
        if ticket.class.is_protected() {
            self.protected.push_back(ticket);
        } else {
            self.lookups.push_back(ticket);
        }
    }

    /// Whether the delay has stood above the target for a while.
    pub(crate) fn is_standing(&self) -> bool {
        self.standing
    }

    /// Takes out the ticket that has waited longest, a lookup if there is one, to make room.
    pub(crate) fn displace(&mut self) -> Option<Ticket> {
        let oldest = self.displace_lookup();
        oldest.or_else(|| self.protected.pop_front())
    }

    /// Takes out the lookup that has waited longest.
    pub(crate) fn displace_lookup(&mut self) -> Option<Ticket> {
        self.lookups.pop_front()
    }

    pub(crate) fn withdraw(&mut self, id: u64) -> bool {
        let before = self.len();
        self.protected.retain(|ticket| ticket.id != id);
        self.lookups.retain(|ticket| ticket.id != id);
        self.len() < before
    }

    /// Takes out a ticket that has waited too long: the oldest of either kind, for which
    /// `hopeless` holds.
    pub(crate) fn pop_hopeless(&mut self, hopeless: impl Fn(&Ticket) -> bool) -> Option<Ticket> {
        for queue in [&mut self.lookups, &mut self.protected] {
            if queue.front().is_some_and(&hopeless) {
                return queue.pop_front();
            }
        }
        None
    }

    /// Takes out the next ticket to start.
    pub(crate) fn pop(&mut self, now: Time, order: Order) -> Option<Ticket> {
        let protected = match (self.protected.front(), self.lookups.front()) {
            (None, None) => {
                self.standing = false;
                self.above_since = None;
                return None;
            }
            (Some(a), Some(b)) => order.by_class || a.arrived <= b.arrived,
            (a, _) => a.is_some(),
        };
        let newest = order.newest_first && self.standing;
        let queue = if protected {
            &mut self.protected
        } else {
            &mut self.lookups
        };
        let ticket = if newest {
            queue.pop_back()
        } else {
            queue.pop_front()
        };
        self.watch(now, order.target);
        ticket
    }

    /// Notes whether the oldest ticket's wait stands above the target.
    fn watch(&mut self, now: Time, target: Duration) {
        let oldest = [self.protected.front(), self.lookups.front()];
        let oldest = oldest.into_iter().flatten().map(|t| t.arrived).min();
        if oldest.is_none_or(|arrived| now.since(arrived) < target) {
            self.above_since = None;
            self.standing = false;
            return;
        }
        let since = *self.above_since.get_or_insert(now);
        self.standing |= now.since(since) >= INTERVAL;
    }

    /// When the ticket at the front of either kind has waited for `max_wait` or is due.
    pub(crate) fn next_timer(&self, max_wait: Duration) -> Option<Time> {
        let fronts = [self.protected.front(), self.lookups.front()];
        let due = fronts
            .into_iter()
            .flatten()
            .map(|ticket| (ticket.arrived + max_wait).min(ticket.deadline));
        due.min()
    }
}
