//! Which views are fenced: nobody can hold a lease of them any more.
//!
//! A node that was taken for dead may only be paused. Woken up, it would go on by its old view and
//! start work that its successor has started too; one would notice a doubled order. So a successor
//! that got no records from it waits until all views before its own are fenced.

use crate::view::is_quorum;
use crate::Config;
use indexmap::IndexMap;
use indexmap::IndexSet;
use proto::Incarnation;
use proto::Instance;
use std::collections::VecDeque;
use stdx::Time;

/// The clocks of two instances differ by at most one part in this many.
const CLOCK_RATE: u32 = 100;

/// The most peers of which it is remembered what they have seen.
const MAX_SEEN: usize = 4096;

/// A view that has a successor and is perhaps not fenced.
#[derive(Debug)]
struct Past {
    number: u64,
    /// `None` for all that was before the first view that this node read.
    members: Option<Vec<Instance>>,
    /// When its successor was taken from the log.
    succeeded: Time,
    /// Since when no quorum can grant a lease of it any more.
    closed: Option<Time>,
}

/// What is known of fences.
#[derive(Debug, Default)]
pub(crate) struct Fence {
    /// All views below this one are fenced.
    below: u64,
    current: u64,
    past: VecDeque<Past>,
    /// The newest view that each peer said it knows.
    seen: IndexMap<Incarnation, u64>,
    /// Nodes that certainly neither start nor grant anything: their process has ended, or they said
    /// in the log that they have stopped.
    ended: IndexSet<Incarnation>,
    /// Former members, and who joined at their address by which view.
    replaced: Vec<(Incarnation, Incarnation, u64)>,
}

impl Fence {
    /// Takes the first view; `since_ever` if no view was before it.
    pub(crate) fn first(&mut self, now: Time, view: u64, since_ever: bool) {
        self.current = view;
        if since_ever {
            self.below = view;
        } else {
            self.past.push_back(Past {
                number: 0,
                members: None,
                succeeded: now,
                closed: None,
            });
        }
    }

    /// Takes the next view; `members` are those of the one before.
    pub(crate) fn next(&mut self, now: Time, view: u64, members: &[Instance]) {
        self.past.push_back(Past {
            number: self.current,
            members: Some(members.to_vec()),
            succeeded: now,
            closed: None,
        });
        self.current = view;
    }

    /// A peer said which view it knows.
    pub(crate) fn heard(&mut self, from: Incarnation, view: u64) {
        let seen = self.seen.entry(from).or_insert(view);
        *seen = view.max(*seen);
        if self.seen.len() > MAX_SEEN {
            self.seen.shift_remove_index(0);
        }
    }

    /// A peer said which views are fenced.
    pub(crate) fn heard_below(&mut self, below: u64) {
        self.below = self.below.max(below.min(self.current));
        while self
            .past
            .front()
            .is_some_and(|past| past.number < self.below)
        {
            self.past.pop_front();
        }
    }

    /// A node certainly does nothing any more.
    pub(crate) fn ended(&mut self, who: Incarnation) {
        self.ended.insert(who);
        if self.ended.len() > MAX_SEEN {
            self.ended.shift_remove_index(0);
        }
    }

    /// A node joined by `view`. Former members at its address have ended, once it is heard to know
    /// that view. Its `Join` alone is no proof: it may have come late to the log, from a process that
    /// was dead by then, and after that of its successor, which lives.
    pub(crate) fn joined(&mut self, newcomer: &Instance, view: u64) {
        let former = self
            .past
            .iter()
            .flat_map(|past| past.members.iter().flatten());
        let former: IndexSet<Incarnation> = former
            .filter(|old| old.addr == newcomer.addr && old.incarnation != newcomer.incarnation)
            .map(|old| old.incarnation)
            .collect();
        let by = newcomer.incarnation;
        self.replaced
            .extend(former.into_iter().map(|old| (old, by, view)));
        if self.replaced.len() > MAX_SEEN {
            self.replaced.remove(0);
        }
    }

    /// Takes note of former members whose successors have been heard.
    fn note_ended(&mut self, me: Incarnation) {
        let seen = &self.seen;
        let alive = |by, view| by == me || seen.get(&by).is_some_and(|seen| *seen >= view);
        let replaced = std::mem::take(&mut self.replaced).into_iter();
        let (ended, waiting): (Vec<_>, Vec<_>) =
            replaced.partition(|(_, by, view)| alive(*by, *view));
        self.replaced = waiting;
        for (old, ..) in ended {
            self.ended(old);
        }
    }

    /// All views below this one are fenced.
    pub(crate) fn below(&self) -> u64 {
        self.below
    }

    /// Whether some view is not fenced.
    pub(crate) fn is_open(&self) -> bool {
        !self.past.is_empty()
    }

    /// Members of views that are not fenced, who may be asked what they have seen.
    pub(crate) fn open_members(&self) -> impl Iterator<Item = &Instance> {
        self.past
            .iter()
            .flat_map(|past| past.members.iter().flatten())
    }

    /// Fences what can be fenced; whether there was any.
    pub(crate) fn poll(&mut self, now: Time, cfg: &Config, me: Incarnation) -> bool {
        self.note_ended(me);
        let current = self.current;
        for past in &mut self.past {
            let Some(members) = &past.members else {
                continue;
            };
            let number = past.number;
            let may_grant = |member: Incarnation| {
                let seen = if member == me {
                    current
                } else {
                    self.seen.get(&member).copied().unwrap_or(0)
                };
                seen <= number && !self.ended.contains(&member)
            };
            if past.closed.is_none() && !is_quorum(members, may_grant) {
                past.closed = Some(now);
            }
        }
        let before = self.below;
        while self
            .past
            .front()
            .is_some_and(|past| past.is_fenced(now, cfg))
        {
            self.past.pop_front();
            self.below = self.past.front().map_or(current, |past| past.number);
        }
        self.below > before
    }

    /// When [`Fence::poll`] can do more without news.
    pub(crate) fn due(&self, cfg: &Config) -> Option<Time> {
        self.past.front().map(|past| past.fenced_at(cfg))
    }
}

impl Past {
    fn fenced_at(&self, cfg: &Config) -> Time {
        // Whoever still goes by this view read the log before its successor was in it. Over hours
        // even good clocks drift apart by more than the margin; without the part for that, a home
        // with a slow clock could still start work when its successor does.
        let drift = cfg.max_log_staleness / CLOCK_RATE;
        let silent = self.succeeded + cfg.max_log_staleness + drift + cfg.margin;
        // Whatever was granted was asked for before the last granter was lost.
        match self.closed {
            Some(closed) => silent.min(closed + cfg.lease + cfg.margin),
            None => silent,
        }
    }

    fn is_fenced(&self, now: Time, cfg: &Config) -> bool {
        self.fenced_at(cfg) <= now
    }
}
