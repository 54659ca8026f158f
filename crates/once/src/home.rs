//! A node as the home of slots: what it holds, and how views change that.

use crate::fence::Fence;
use crate::lease::Lease;
use crate::moved::Moved;
use crate::owner::slot_owner;
use crate::records::Records;
use crate::slot::Give;
use crate::slot::Held;
use crate::slot::Move;
use crate::slot::Receive;
use crate::slot::Slot;
use crate::view::is_member;
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

/// The most past members whose addresses are kept, to answer their late messages.
const MAX_KNOWN: usize = 1024;

/// The records of keys that this node is home to, and its right to start work on them.
#[derive(Debug)]
pub struct Home {
    pub(crate) cfg: Config,
    pub(crate) me: Incarnation,
    /// How long a record is kept after its run's end.
    pub(crate) retention: Duration,
    /// The longest that a run may take.
    pub(crate) longest_run: Duration,
    /// The newest view; `None` before the first.
    pub(crate) view: Option<View>,
    /// Whether this incarnation is or was a member.
    pub(crate) joined: bool,
    /// Work and grants have stopped for good.
    pub(crate) leaving: bool,
    /// Since when the views leave this incarnation out, until the driver is told.
    expelled: Option<Time>,
    pub(crate) lease: Lease,
    pub(crate) next_round: Option<Time>,
    /// Rounds since the lease was lost, or the view changed.
    pub(crate) rounds_without: u32,
    /// Until then a lease that is lacking is waited for.
    pub(crate) lease_awaited: Time,
    pub(crate) fence: Fence,
    /// A time at which the log held no newer view; `None` before the first reading.
    pub(crate) log_heard: Option<Time>,
    pub(crate) slots: Vec<Slot>,
    /// The slots with moves that are not over.
    pub(crate) moving: BTreeSet<u16>,
    pub(crate) records: Records,
    /// Runs of this node whose slot has moved on meanwhile.
    pub(crate) moved: IndexMap<KeyHash, Moved>,
    pub(crate) known: BoundedMap<Incarnation, Instance>,
    pub(crate) service: Arc<str>,
    pub(crate) out: Vec<Effect>,
}

impl Home {
    /// A home to nothing yet.
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
            longest_run: Duration::from_secs(60),
            view: None,
            joined: false,
            leaving: false,
            expelled: None,
            lease: Lease::default(),
            next_round: None,
            rounds_without: 0,
            lease_awaited: Time::ZERO,
            fence: Fence::default(),
            log_heard: None,
            slots: (0..SLOT_COUNT).map(|_| Slot::default()).collect(),
            moving: BTreeSet::new(),
            records: Records::new(cfg.reserve_bytes),
            moved: IndexMap::new(),
            known: BoundedMap::new(MAX_KNOWN),
            service: "".into(),
            out: Vec::new(),
            cfg,
        }
    }

    /// Takes the rules' retention of keys, and the longest deadline of a run.
    pub fn set_time_limits(&mut self, retention: Duration, longest_run: Duration) {
        self.retention = retention;
        self.longest_run = longest_run;
    }

    /// The number of the newest view that was taken. The first record of a stream makes view 0.
    pub fn view_number(&self) -> Option<u64> {
        self.view.as_ref().map(|view| view.number)
    }

    /// The newest view that was taken.
    pub fn latest_view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Whether this node knows no view, or only older ones.
    pub(crate) fn is_behind(&self, view: u64) -> bool {
        self.view_number().is_none_or(|mine| mine < view)
    }

    /// All views below this one are fenced, as far as this node knows.
    pub fn fenced_below(&self) -> u64 {
        self.fence.below()
    }

    /// Whether this incarnation is or was a member, as far as this node knows.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// How many slots are ready here.
    pub fn ready_slots(&self) -> usize {
        self.slots.iter().filter(|slot| slot.is_ready()).count()
    }

    /// How many records there are, and the bytes that they take up.
    pub fn record_usage(&self) -> (usize, usize) {
        (self.records.len(), self.records.bytes())
    }

    /// Whether nothing is left to hand over.
    pub fn is_handed_over(&self) -> bool {
        self.moved.is_empty() && self.moving.is_empty()
    }

    /// Takes a view of this node's service, as it was when this node began to read the log in
    /// its middle. Nothing is known of the time before.
    pub fn on_baseline(&mut self, now: Time, view: &View) -> Vec<Effect> {
        if self.joined {
            // Views in between were missed, and with them perhaps moves from here and back. What
            // this incarnation holds cannot be trusted any more.
            self.expel();
            return std::mem::take(&mut self.out);
        }
        self.learn(view);
        self.fence = Fence::default();
        self.fence.first(now, view.number, false);
        self.view = Some(view.clone());
        if is_member(&view.members, self.me) {
            self.expel();
        }
        std::mem::take(&mut self.out)
    }

    /// Takes the next view of this node's service from the log. None may be left out.
    pub fn on_view(&mut self, now: Time, view: &View) -> Vec<Effect> {
        if !self.is_behind(view.number) {
            return Vec::new();
        }
        self.learn(view);
        let old = self.view.replace(view.clone());
        match &old {
            None => self.fence.first(now, view.number, true),
            Some(old) => {
                self.fence.next(now, view.number, &old.members);
                self.note_departures(now, view);
                // The port of a process that still runs cannot be bound again.
                for member in &view.members {
                    if !is_member(&old.members, member.incarnation) {
                        self.fence.joined(member, view.number);
                    }
                }
            }
        }
        self.lease.retain(&view.members);
        self.move_slots(now, old.as_ref(), view);
        if is_member(&view.members, self.me) {
            self.joined = true;
            self.next_round = Some(now);
            self.rounds_without = 0;
            self.lease_awaited = now + self.cfg.max_hold;
        } else if self.joined {
            self.next_round = None;
            self.expelled = Some(now).filter(|_| !self.leaving);
        }
        self.advance(now);
        std::mem::take(&mut self.out)
    }

    /// The log was read to its end.
    pub fn on_log_read(&mut self, now: Time) {
        let began = Time::ZERO + now.since(Time::ZERO + self.cfg.max_log_read_duration);
        self.log_heard = self.log_heard.max(Some(began));
    }

    /// Stops starting work and granting leases, for good. Only then may the log be told that this
    /// node leaves: the others take that as its word that it starts nothing any more.
    pub fn leave(&mut self, _now: Time) -> Vec<Effect> {
        self.leaving = true;
        for slot in 0..SLOT_COUNT {
            self.recall(slot);
        }
        std::mem::take(&mut self.out)
    }

    /// Does what is due. Call when [`Home::next_timer`] has come, at the latest.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        self.run_round(now);
        self.expire(now);
        self.advance(now);
        std::mem::take(&mut self.out)
    }

    /// When [`Home::tick`] is due.
    pub fn next_timer(&self) -> Option<Time> {
        let fence = self.fence.due(&self.cfg);
        let moving = self
            .moving
            .iter()
            .map(|slot| &self.slots[usize::from(*slot)]);
        let moves = moving.filter_map(|slot| self.slot_due(slot));
        let moved = self.moved.values().filter_map(|moved| moved.send_at);
        let expulsion = self.expulsion_ends();
        [self.next_round, fence, self.records.next_end(), expulsion]
            .into_iter()
            .flatten()
            .chain(moves)
            .chain(moved)
            .min()
    }

    /// When a slot's next move needs attention.
    fn slot_due(&self, slot: &Slot) -> Option<Time> {
        match slot.moves.front()? {
            Move::Give(give) => Some(give.send_at),
            // After that the fence's own time counts.
            Move::Receive(receive) => receive.lost.filter(|_| self.fence.below() >= receive.view),
        }
    }

    fn learn(&mut self, view: &View) {
        for member in &view.members {
            self.service = member.service.clone();
            self.known.insert(member.incarnation, member.clone());
        }
    }

    fn expel(&mut self) {
        self.leaving = true;
        self.out.push(Effect::Expelled);
    }

    /// What it means for slots under way that members have gone.
    fn note_departures(&mut self, now: Time, view: &View) {
        for (who, how) in &view.departed {
            // A node says that it leaves only after it has stopped.
            if *how == Departure::Left {
                self.fence.ended(*who);
            }
            let lost = match how {
                Departure::Evicted => now,
                Departure::Left => now + self.cfg.transfer_timeout,
            };
            for slot in &mut self.slots {
                mark_lost(slot, *who, lost);
            }
        }
    }

    /// Takes queued runs of a slot back. They are not records yet, so the next home would not know
    /// of them; left in the queue, one could start after the slot came back and was begun anew.
    fn recall(&mut self, slot: u16) {
        for key in self.records.queued(slot) {
            self.records.remove(key);
            self.out.push(Effect::CancelQueued(key));
        }
    }

    /// Enters the moves of slots from or to this node.
    fn move_slots(&mut self, now: Time, old: Option<&View>, view: &View) {
        for slot in 0..SLOT_COUNT {
            let before = old.and_then(|old| slot_owner(&old.members, slot));
            let after = slot_owner(&view.members, slot);
            if before.map(|owner| owner.incarnation) == after.map(|owner| owner.incarnation) {
                continue;
            }
            if before.is_some_and(|owner| owner.incarnation == self.me) {
                self.recall(slot);
                self.moving.insert(slot);
                let entry = &mut self.slots[usize::from(slot)];
                entry.moves.extend(after.map(|to| {
                    Move::Give(Give {
                        view: view.number,
                        to: to.clone(),
                        parts: Vec::new(),
                        send_at: now,
                        lost: None,
                    })
                }));
            }
            if after.is_none_or(|owner| owner.incarnation != self.me) {
                continue;
            }
            let entry = &mut self.slots[usize::from(slot)];
            if old.is_none() {
                // The service's first member ever: there is nothing to know.
                entry.held = Some(Held::CERTAIN);
                continue;
            }
            self.moving.insert(slot);
            let from = before.map(|owner| owner.incarnation);
            entry.moves.push_back(Move::Receive(Receive {
                view: view.number,
                from,
                since: now,
                lost: departed_at(now, &self.cfg, view, from),
                expected: None,
                doubt_until: Time::ZERO,
                parts: IndexMap::new(),
            }));
        }
    }

    /// Tells the driver once that this incarnation is over.
    pub(crate) fn check_expelled(&mut self, now: Time) {
        let Some(ends) = self.expulsion_ends() else {
            return;
        };
        if self.is_handed_over() || ends <= now {
            self.expelled = None;
            self.expel();
        }
    }

    /// How long an incarnation that is over still hands its records over.
    fn expulsion_ends(&self) -> Option<Time> {
        let patience = match self.moved.values().any(Moved::is_running) {
            true => self.longest_run + self.cfg.transfer_timeout,
            false => self.cfg.transfer_timeout,
        };
        self.expelled.map(|since| since + patience)
    }
}

/// From when on the giver of a slot is not waited for any more; `None` while it is a member.
fn departed_at(now: Time, cfg: &Config, view: &View, from: Option<Incarnation>) -> Option<Time> {
    let Some(from) = from else {
        return Some(now);
    };
    let departed = view.departed.iter().find(|(who, _)| *who == from);
    departed.map(|(_, how)| match how {
        Departure::Evicted => now,
        Departure::Left => now + cfg.transfer_timeout,
    })
}

/// A slot's giver or receiver has gone.
fn mark_lost(slot: &mut Slot, who: Incarnation, at: Time) {
    for step in &mut slot.moves {
        match step {
            Move::Receive(receive) if receive.from == Some(who) => {
                receive.lost.get_or_insert(at);
            }
            Move::Give(give) if give.to.incarnation == who => {
                give.lost.get_or_insert(at);
            }
            _ => {}
        }
    }
}
