//! A node as the home of slots: the slots it holds, and how views change that.

use crate::fence::Fence;
use crate::lease::Lease;
use crate::moved_run::MovedRun;
use crate::quorum::is_member;
use crate::records::Records;
use crate::refused_keys::RefusedKeys;
use crate::slot::Holding;
use crate::slot::IncomingMove;
use crate::slot::Move;
use crate::slot::OutgoingMove;
use crate::slot::Slot;
use crate::slot_home::slot_home;
use crate::Config;
use crate::Effect;
use indexmap::IndexMap;
use journal::Departure;
use journal::View;
use proto::Incarnation;
use proto::Instance;
use proto::KeyHash;
use proto::SLOT_COUNT;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use stdx::BoundedMap;
use stdx::Time;

/// Maximum number of past members whose addresses are kept, to answer their late messages.
const MAX_KNOWN_INSTANCES: usize = 1024;

/// The records of the keys that this node is home to, and its right to start runs for them.
#[derive(Debug)]
pub struct Home {
    pub(crate) cfg: Config,
    pub(crate) me: Incarnation,
    /// How long a record is kept after its run has ended.
    pub(crate) retention: Duration,
    /// Maximum duration of a run.
    pub(crate) max_run_time: Duration,
    /// The newest view; `None` before the first one was read.
    pub(crate) view: Option<View>,
    /// Whether this incarnation is or was a member.
    pub(crate) joined: bool,
    /// Whether this node has permanently stopped starting runs and granting leases.
    pub(crate) leaving: bool,
    /// Since when the views no longer contain this incarnation. Cleared when this is reported to
    /// the driver.
    expelled_since: Option<Time>,
    pub(crate) lease: Lease,
    pub(crate) next_lease_round_at: Option<Time>,
    /// Lease rounds since the lease was lost or the view changed.
    pub(crate) rounds_without_lease: u32,
    /// Until this time, calls are held if the lease is missing.
    pub(crate) lease_wait_until: Time,
    pub(crate) fence: Fence,
    /// A time at which the log held no newer view; `None` before the log was first read.
    pub(crate) log_current_at: Option<Time>,
    pub(crate) slots: Vec<Slot>,
    /// Slots with pending moves.
    pub(crate) moving_slots: BTreeSet<u16>,
    pub(crate) records: Records,
    pub(crate) refused_keys: RefusedKeys,
    /// Runs on this node whose slot has since moved to another home.
    pub(crate) moved_runs: IndexMap<KeyHash, MovedRun>,
    pub(crate) known_instances: BoundedMap<Incarnation, Instance>,
    pub(crate) service: Arc<str>,
    pub(crate) effects: Vec<Effect>,
}

impl Home {
    /// Creates a home that holds no slots.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_once::{Config, Home};
    ///
    /// let home = Home::new(Config::default(), proto::Incarnation(1));
    /// assert_eq!(home.view_number(), None);
    /// ```
    pub fn new(cfg: Config, me: Incarnation) -> Self {
        Self {
            me,
            retention: Duration::from_secs(15 * 60),
            max_run_time: Duration::from_secs(60),
            view: None,
            joined: false,
            leaving: false,
            expelled_since: None,
            lease: Lease::default(),
            next_lease_round_at: None,
            rounds_without_lease: 0,
            lease_wait_until: Time::ZERO,
            fence: Fence::default(),
            log_current_at: None,
            slots: (0..SLOT_COUNT).map(|_| Slot::default()).collect(),
            moving_slots: BTreeSet::new(),
            records: Records::new(cfg.reserve_bytes),
            refused_keys: RefusedKeys::default(),
            moved_runs: IndexMap::new(),
            known_instances: BoundedMap::new(MAX_KNOWN_INSTANCES),
            service: "".into(),
            effects: Vec::new(),
            cfg,
        }
    }

    /// Sets the retention period of records and the maximum deadline of a run, both from the rules.
    pub fn set_time_limits(&mut self, retention: Duration, max_run_time: Duration) {
        self.retention = retention;
        self.max_run_time = max_run_time;
    }

    /// Number of the newest view, which is the offset of the log record that created it and may
    /// be 0.
    pub fn view_number(&self) -> Option<u64> {
        self.view.as_ref().map(|view| view.number)
    }

    /// The newest view.
    pub fn latest_view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Whether `view` is newer than any view this node knows.
    pub(crate) fn lacks_view(&self, view: u64) -> bool {
        self.view_number().is_none_or(|mine| mine < view)
    }

    /// All views below this one are fenced, as far as this node knows.
    pub fn fenced_below(&self) -> u64 {
        self.fence.fenced_below()
    }

    /// Whether this incarnation is or was a member, as far as this node knows.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Number of slots that are ready on this node.
    pub fn ready_slots(&self) -> usize {
        self.slots.iter().filter(|slot| slot.is_ready()).count()
    }

    /// Number of records and their size in bytes.
    pub fn record_usage(&self) -> (usize, usize) {
        (self.records.len(), self.records.bytes())
    }

    /// Whether all slots and outcomes that this node had to hand over have arrived or were given
    /// up.
    pub fn is_handed_over(&self) -> bool {
        self.moved_runs.is_empty() && self.moving_slots.is_empty()
    }

    /// Sets the view of this node's service as of the point at which this node started to read the
    /// log, if that is not its beginning. Nothing is known of earlier views.
    pub fn on_baseline(&mut self, now: Time, view: &View) -> Vec<Effect> {
        if self.joined {
            // Intermediate views were missed, and possibly moves of slots from here and back. The
            // records that this incarnation holds can no longer be trusted.
            self.expel();
            return std::mem::take(&mut self.effects);
        }
        self.remember_members(view);
        self.fence = Fence::default();
        self.fence.on_first_view(now, view.number, false);
        self.view = Some(view.clone());
        if is_member(&view.members, self.me) {
            self.expel();
        }
        std::mem::take(&mut self.effects)
    }

    /// Applies the next view of this node's service from the log. No view may be skipped.
    pub fn on_view(&mut self, now: Time, view: &View) -> Vec<Effect> {
        if !self.lacks_view(view.number) {
            return Vec::new();
        }
        self.remember_members(view);
        let old = self.view.replace(view.clone());
        match &old {
            None => self.fence.on_first_view(now, view.number, true),
            Some(old) => {
                self.fence.on_next_view(now, view.number, &old.members);
                self.apply_departures(now, view);
                // A new process cannot bind the port of one that is still running.
                for member in &view.members {
                    if !is_member(&old.members, member.incarnation) {
                        self.fence.note_joined(member, view.number);
                    }
                }
            }
        }
        self.lease.retain(&view.members);
        self.enqueue_moves(now, old.as_ref(), view);
        if is_member(&view.members, self.me) {
            self.joined = true;
            self.next_lease_round_at = Some(now);
            self.rounds_without_lease = 0;
            self.lease_wait_until = now + self.cfg.max_hold;
        } else if self.joined {
            self.next_lease_round_at = None;
            self.expelled_since = Some(now).filter(|_| !self.leaving);
        }
        self.advance(now);
        std::mem::take(&mut self.effects)
    }

    /// Records that a read of the log to its end has completed. It may have begun
    /// [`Config::max_log_read_duration`] ago, and missed what was appended since.
    pub fn on_log_read(&mut self, now: Time) {
        let read_began_at = Time::ZERO + now.since(Time::ZERO + self.cfg.max_log_read_duration);
        self.log_current_at = self.log_current_at.max(Some(read_began_at));
    }

    /// Permanently stops starting runs and granting leases. The departure may be written to the log
    /// only after this call, because the other nodes take the record as proof that this node starts
    /// no runs any more.
    pub fn leave(&mut self, _now: Time) -> Vec<Effect> {
        self.leaving = true;
        for slot in 0..SLOT_COUNT {
            self.cancel_queued(slot);
        }
        std::mem::take(&mut self.effects)
    }

    /// Performs all due actions. Must be called no later than [`Home::next_timer`].
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        self.send_due_round(now);
        self.expire_records(now);
        self.end_refusal_holds(now);
        self.advance(now);
        std::mem::take(&mut self.effects)
    }

    /// When [`Home::tick`] is due.
    pub fn next_timer(&self) -> Option<Time> {
        let fence = self.fence.next_due(&self.cfg);
        let moving = self
            .moving_slots
            .iter()
            .map(|slot| &self.slots[usize::from(*slot)]);
        let moves = moving.filter_map(|slot| self.next_move_due(slot));
        let moved = self.moved_runs.values().filter_map(|moved| moved.send_at);
        let expulsion = self.expulsion_deadline();
        [
            self.next_lease_round_at,
            fence,
            self.records.next_expiry(),
            self.refused_keys.next_due(),
            expulsion,
        ]
        .into_iter()
        .flatten()
        .chain(moves)
        .chain(moved)
        .min()
    }

    /// When the next move of a slot needs attention.
    fn next_move_due(&self, slot: &Slot) -> Option<Time> {
        match slot.moves.front()? {
            Move::Outgoing(outgoing) => Some(outgoing.send_at),
            // Until then, the timer of the fence applies.
            Move::Incoming(incoming) => incoming
                .peer_lost_at
                .filter(|_| self.fence.fenced_below() >= incoming.view),
        }
    }

    fn remember_members(&mut self, view: &View) {
        for member in &view.members {
            self.service = member.service.clone();
            self.known_instances
                .insert(member.incarnation, member.clone());
        }
    }

    fn expel(&mut self) {
        self.leaving = true;
        self.effects.push(Effect::Expelled);
    }

    /// Updates the fence and pending moves for members that departed with this view.
    fn apply_departures(&mut self, now: Time, view: &View) {
        for (incarnation, departure) in &view.departed {
            // A node records its departure only after it has stopped.
            if *departure == Departure::Left {
                self.fence.note_stopped(*incarnation);
            }
            let lost_at = match departure {
                Departure::Evicted => now,
                Departure::Left => now + self.cfg.transfer_timeout,
            };
            for slot in &mut self.slots {
                mark_peer_lost(slot, *incarnation, lost_at);
            }
        }
    }

    /// Cancels the queued runs of a slot. They are not transferred as records, so the next home
    /// would not know of them. A run left in the queue could start after the slot came back and the
    /// key was begun again.
    fn cancel_queued(&mut self, slot: u16) {
        for key in self.records.queued_keys(slot) {
            self.records.remove(key);
            self.effects.push(Effect::CancelQueued(key));
        }
    }

    /// Enqueues the moves of slots to and from this node.
    fn enqueue_moves(&mut self, now: Time, old: Option<&View>, view: &View) {
        for slot in 0..SLOT_COUNT {
            let old_home = old.and_then(|old| slot_home(&old.members, slot));
            let new_home = slot_home(&view.members, slot);
            if old_home.map(|home| home.incarnation) == new_home.map(|home| home.incarnation) {
                continue;
            }
            if old_home.is_some_and(|home| home.incarnation == self.me) {
                self.cancel_queued(slot);
                self.moving_slots.insert(slot);
                let entry = &mut self.slots[usize::from(slot)];
                let send_at = now.max(entry.refusals_held_until);
                entry.moves.extend(new_home.map(|to| {
                    Move::Outgoing(OutgoingMove {
                        view: view.number,
                        to: to.clone(),
                        parts: Vec::new(),
                        send_at,
                        peer_lost_at: None,
                    })
                }));
            }
            if new_home.is_none_or(|home| home.incarnation != self.me) {
                continue;
            }
            let entry = &mut self.slots[usize::from(slot)];
            if old.is_none() {
                // This is the service's first view ever, so there are no earlier records.
                entry.held = Some(Holding::CERTAIN);
                continue;
            }
            self.moving_slots.insert(slot);
            let from = old_home.map(|home| home.incarnation);
            entry.moves.push_back(Move::Incoming(IncomingMove {
                view: view.number,
                from,
                started_at: now,
                peer_lost_at: source_lost_at(now, &self.cfg, view, from),
                expected_parts: None,
                uncertain_until: Time::ZERO,
                parts: IndexMap::new(),
            }));
        }
    }

    /// Reports once that this incarnation is expelled, when the handover is complete or its
    /// deadline has passed.
    pub(crate) fn report_expulsion(&mut self, now: Time) {
        let Some(deadline) = self.expulsion_deadline() else {
            return;
        };
        if self.is_handed_over() || deadline <= now {
            self.expelled_since = None;
            self.expel();
        }
    }

    /// When an expelled incarnation stops handing over its records.
    fn expulsion_deadline(&self) -> Option<Time> {
        let grace_period = match self.moved_runs.values().any(MovedRun::is_running) {
            true => self.max_run_time + self.cfg.transfer_timeout,
            false => self.cfg.transfer_timeout,
        };
        self.expelled_since.map(|since| since + grace_period)
    }
}

/// When to stop waiting for the previous home of a slot; `None` while it is a member.
fn source_lost_at(now: Time, cfg: &Config, view: &View, from: Option<Incarnation>) -> Option<Time> {
    let Some(from) = from else {
        return Some(now);
    };
    let departed = view.departed.iter().find(|(member, _)| *member == from);
    departed.map(|(_, departure)| match departure {
        Departure::Evicted => now,
        Departure::Left => now + cfg.transfer_timeout,
    })
}

/// Marks the pending moves of a slot whose source or target is gone.
fn mark_peer_lost(slot: &mut Slot, peer: Incarnation, lost_at: Time) {
    for pending in &mut slot.moves {
        match pending {
            Move::Incoming(incoming) if incoming.from == Some(peer) => {
                incoming.peer_lost_at.get_or_insert(lost_at);
            }
            Move::Outgoing(outgoing) if outgoing.to.incarnation == peer => {
                outgoing.peer_lost_at.get_or_insert(lost_at);
            }
            _ => {}
        }
    }
}
