//! Tracks which views are fenced, i.e. for which views no node can hold a lease any more.
//!
//! A node that was evicted as dead may only have been paused. When it resumes it still uses its old
//! view, and could start a run that its successor has started too; a customer would get a duplicate
//! order. A successor that received no records from the evicted node therefore waits until all
//! views before its own are fenced.

use crate::quorum::is_quorum;
use crate::Config;
use indexmap::IndexMap;
use indexmap::IndexSet;
use proto::Incarnation;
use proto::Instance;
use std::collections::VecDeque;
use stdx::Time;

/// Clock rates of two instances differ by at most 1/`CLOCK_DRIFT_DIVISOR`.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// Maximum number of peers whose known view or stopped state is tracked.
const MAX_TRACKED_PEERS: usize = 4096;

/// A view that has been superseded and may not be fenced yet.
#[derive(Debug)]
struct PastView {
    number: u64,
    /// `None` stands for all views before the first one that this node read.
    members: Option<Vec<Instance>>,
    /// When this node read the next view from the log.
    superseded_at: Time,
    /// Since when no quorum can grant a lease in this view.
    ungrantable_since: Option<Time>,
}

/// Fencing state of this node's service.
#[derive(Debug, Default)]
pub(crate) struct Fence {
    /// All views below this one are fenced.
    fenced_below: u64,
    current: u64,
    past_views: VecDeque<PastView>,
    /// The newest view that each peer has reported to know.
    known_views: IndexMap<Incarnation, u64>,
    /// Incarnations that certainly start no runs and grant no leases any more: their process has
    /// ended, or they recorded in the log that they have stopped.
    stopped: IndexSet<Incarnation>,
    /// Former members, each with the incarnation that replaced it at its address and the view in
    /// which that one joined.
    replaced: Vec<(Incarnation, Incarnation, u64)>,
}

impl Fence {
    /// Sets the first view. `is_first_ever` means that the service had no view before it.
    pub(crate) fn on_first_view(&mut self, now: Time, view: u64, is_first_ever: bool) {
        self.current = view;
        if is_first_ever {
            self.fenced_below = view;
        } else {
            self.past_views.push_back(PastView {
                number: 0,
                members: None,
                superseded_at: now,
                ungrantable_since: None,
            });
        }
    }

    /// Sets the next view. `members` are the members of the previous one.
    pub(crate) fn on_next_view(&mut self, now: Time, view: u64, members: &[Instance]) {
        self.past_views.push_back(PastView {
            number: self.current,
            members: Some(members.to_vec()),
            superseded_at: now,
            ungrantable_since: None,
        });
        self.current = view;
    }

    /// Records that a peer knows `view`.
    pub(crate) fn note_peer_view(&mut self, from: Incarnation, view: u64) {
        let seen = self.known_views.entry(from).or_insert(view);
        *seen = view.max(*seen);
        if self.known_views.len() > MAX_TRACKED_PEERS {
            self.known_views.shift_remove_index(0);
        }
    }

    /// Records that a peer considers all views below `below` fenced.
    pub(crate) fn note_fenced_below(&mut self, below: u64) {
        self.fenced_below = self.fenced_below.max(below.min(self.current));
        while self
            .past_views
            .front()
            .is_some_and(|past| past.number < self.fenced_below)
        {
            self.past_views.pop_front();
        }
    }

    /// Records that an incarnation certainly starts no runs and grants no leases any more.
    pub(crate) fn note_stopped(&mut self, incarnation: Incarnation) {
        self.stopped.insert(incarnation);
        if self.stopped.len() > MAX_TRACKED_PEERS {
            self.stopped.shift_remove_index(0);
        }
    }

    /// Records that a node joined in `view`. Former members at its address have ended once the node
    /// is known to have seen that view. Its `Join` record alone is no proof: it may have reached
    /// the log late, from a process that was already dead, and after the `Join` of that process's
    /// live successor.
    pub(crate) fn note_joined(&mut self, joiner: &Instance, view: u64) {
        let former = self
            .past_views
            .iter()
            .flat_map(|past| past.members.iter().flatten());
        let former: IndexSet<Incarnation> = former
            .filter(|old| old.addr == joiner.addr && old.incarnation != joiner.incarnation)
            .map(|old| old.incarnation)
            .collect();
        let by = joiner.incarnation;
        self.replaced
            .extend(former.into_iter().map(|old| (old, by, view)));
        if self.replaced.len() > MAX_TRACKED_PEERS {
            self.replaced.remove(0);
        }
    }

    /// Marks former members as stopped once the node that replaced them is known to have seen the
    /// view in which it joined.
    fn note_replaced(&mut self, me: Incarnation) {
        let seen = &self.known_views;
        let has_confirmed = |by, view| by == me || seen.get(&by).is_some_and(|seen| *seen >= view);
        let replaced = std::mem::take(&mut self.replaced).into_iter();
        let (ended, waiting): (Vec<_>, Vec<_>) =
            replaced.partition(|(_, by, view)| has_confirmed(*by, *view));
        self.replaced = waiting;
        for (old, ..) in ended {
            self.note_stopped(old);
        }
    }

    /// All views below this one are fenced.
    pub(crate) fn fenced_below(&self) -> u64 {
        self.fenced_below
    }

    /// Whether any superseded view is not fenced yet.
    pub(crate) fn has_unfenced_views(&self) -> bool {
        !self.past_views.is_empty()
    }

    /// Members of the superseded views that are not fenced yet. They are asked which view they
    /// know.
    pub(crate) fn unfenced_members(&self) -> impl Iterator<Item = &Instance> {
        self.past_views
            .iter()
            .flat_map(|past| past.members.iter().flatten())
    }

    /// Fences all views that can be fenced now. Returns whether any view was fenced.
    pub(crate) fn poll(&mut self, now: Time, cfg: &Config, me: Incarnation) -> bool {
        self.note_replaced(me);
        let current = self.current;
        for past in &mut self.past_views {
            let Some(members) = &past.members else {
                continue;
            };
            let number = past.number;
            let may_grant = |member: Incarnation| {
                let seen = if member == me {
                    current
                } else {
                    self.known_views.get(&member).copied().unwrap_or(0)
                };
                seen <= number && !self.stopped.contains(&member)
            };
            if past.ungrantable_since.is_none() && !is_quorum(members, may_grant) {
                past.ungrantable_since = Some(now);
            }
        }
        let before = self.fenced_below;
        while self
            .past_views
            .front()
            .is_some_and(|past| past.is_fenced(now, cfg))
        {
            self.past_views.pop_front();
            self.fenced_below = self.past_views.front().map_or(current, |past| past.number);
        }
        self.fenced_below > before
    }

    /// When [`Fence::poll`] can make progress without further input.
    pub(crate) fn next_due(&self, cfg: &Config) -> Option<Time> {
        self.past_views.front().map(|past| past.fenced_at(cfg))
    }
}

impl PastView {
    fn fenced_at(&self, cfg: &Config) -> Time {
        // A node that still uses this view read the log before the next view was in it. Over hours
        // even good clocks drift apart by more than `margin`; without `drift`, a home with a slow
        // clock could still start a run when its successor does.
        let drift = cfg.max_log_staleness / CLOCK_DRIFT_DIVISOR;
        let log_expired_at = self.superseded_at + cfg.max_log_staleness + drift + cfg.margin;
        // Any lease granted in this view was requested before the quorum was lost.
        match self.ungrantable_since {
            Some(since) => log_expired_at.min(since + cfg.lease + cfg.margin),
            None => log_expired_at,
        }
    }

    fn is_fenced(&self, now: Time, cfg: &Config) -> bool {
        self.fenced_at(cfg) <= now
    }
}
