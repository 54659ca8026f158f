//! Slots on their way from home to home.

use crate::moved::Moved;
use crate::records::from_ms;
use crate::records::to_message;
use crate::records::to_ms;
use crate::records::Record;
use crate::records::State;
use crate::slot::Held;
use crate::slot::Move;
use crate::slot::Receive;
use crate::Effect;
use crate::Home;
use crate::InvariantViolation;
use proto::Incarnation;
use proto::Instance;
use proto::KeyHash;
use proto::KeyRecord;
use proto::RecordState;
use proto::SlotTransfer;
use stdx::Time;

impl Home {
    /// Takes a part of a slot that moves here. It may come more than once, late, or never.
    pub fn on_transfer(&mut self, now: Time, transfer: SlotTransfer) -> Vec<Effect> {
        let slot = usize::from(transfer.slot);
        // A view that is not known here yet: the giver sends again.
        if slot >= self.slots.len() || self.is_behind(transfer.view) {
            self.out.push(Effect::ViewOutdated);
            return std::mem::take(&mut self.out);
        }
        let (number, view, from) = (transfer.slot, transfer.view, transfer.from);
        let complete = match self.slots[slot].receive(view) {
            Some(receive) if receive.from != Some(from) => return Vec::new(),
            Some(receive) => take_part(now, receive, transfer),
            None => {
                self.take_late(now, transfer);
                true
            }
        };
        if complete {
            self.thank(from, number, view);
        }
        self.advance(now);
        std::mem::take(&mut self.out)
    }

    /// The receiver of a slot has it.
    pub fn on_transfer_ack(
        &mut self,
        now: Time,
        from: Incarnation,
        slot: u16,
        view: u64,
    ) -> Vec<Effect> {
        let Some(entry) = self.slots.get_mut(usize::from(slot)) else {
            return Vec::new();
        };
        let given = entry.giving().is_some_and(|give| {
            give.view == view && give.to.incarnation == from && !give.parts.is_empty()
        });
        if given {
            entry.moves.pop_front();
            self.release(slot);
            self.out.push(Effect::MoveEnded(slot));
        }
        self.advance(now);
        std::mem::take(&mut self.out)
    }

    /// Moves on whatever can be moved on.
    pub(crate) fn advance(&mut self, now: Time) {
        self.fence.poll(now, &self.cfg, self.me);
        let moving: Vec<u16> = self.moving.iter().copied().collect();
        for slot in moving {
            while self.advance_slot(now, slot) {}
            if self.slots[usize::from(slot)].moves.is_empty() {
                self.moving.remove(&slot);
            }
        }
        self.send_finished(now);
        self.check_expelled(now);
    }

    /// Does one step; whether another may follow.
    fn advance_slot(&mut self, now: Time, slot: u16) -> bool {
        let below = self.fence.below();
        match self.slots[usize::from(slot)].moves.front() {
            None => false,
            Some(Move::Receive(receive)) if receive.is_complete() => self.accept(now, slot),
            Some(Move::Receive(receive)) => {
                let fenced = receive.lost.is_some_and(|lost| lost <= now) && below >= receive.view;
                if fenced {
                    self.take_over(now, slot);
                }
                fenced
            }
            Some(Move::Give(give)) if give.lost.is_some_and(|lost| lost <= now) => {
                self.abandon(slot);
                true
            }
            Some(Move::Give(give)) => {
                if give.send_at <= now {
                    self.give(now, slot);
                }
                false
            }
        }
    }

    /// All parts are here.
    fn accept(&mut self, now: Time, slot: u16) -> bool {
        let entry = &mut self.slots[usize::from(slot)];
        let Some(Move::Receive(receive)) = entry.moves.pop_front() else {
            return false;
        };
        entry.held = Some(Held {
            doubt_until: receive.doubt_until,
            doubted: None,
        });
        for record in receive.parts.into_values().flatten() {
            self.import(now, record);
        }
        self.reclaim(now, slot);
        self.out.push(Effect::MoveEnded(slot));
        true
    }

    /// The giver is gone and can start nothing any more; what it ran is not known. Whoever asks
    /// with a key that it may have seen is told so, until no record of it could be alive.
    fn take_over(&mut self, now: Time, slot: u16) {
        let entry = &mut self.slots[usize::from(slot)];
        let Some(Move::Receive(receive)) = entry.moves.pop_front() else {
            return;
        };
        entry.held = Some(Held {
            doubt_until: now + self.retention + self.longest_run,
            doubted: Some(receive.view),
        });
        self.reclaim(now, slot);
        self.out.push(Effect::MoveEnded(slot));
    }

    /// The records of a slot that was taken over in doubt come after all.
    fn take_late(&mut self, now: Time, transfer: SlotTransfer) {
        let entry = &mut self.slots[usize::from(transfer.slot)];
        let Some(held) = &mut entry.held else {
            return;
        };
        if held.doubted != Some(transfer.view) || !entry.moves.is_empty() {
            return;
        }
        if transfer.parts == 1 {
            // All is known that the giver knew, and it had stopped.
            held.doubt_until = now + from_ms(transfer.uncertain_ms);
            held.doubted = None;
        }
        for record in transfer.records {
            self.import(now, record);
        }
    }

    /// The receiver has gone, and nobody can tell whether it got the slot.
    fn abandon(&mut self, slot: u16) {
        let entry = &mut self.slots[usize::from(slot)];
        entry.moves.pop_front();
        entry.held = None;
        if entry.moves.is_empty() {
            self.records.take_slot(slot);
            self.out.push(Effect::MoveEnded(slot));
        }
    }

    /// The next home has the slot.
    fn release(&mut self, slot: u16) {
        self.slots[usize::from(slot)].held = None;
        self.records.take_slot(slot);
    }

    /// Sends the slot, or sends it again.
    fn give(&mut self, now: Time, slot: u16) {
        let Some(held) = self.slots[usize::from(slot)].held else {
            self.fault(InvariantViolation::SlotNotHeld(slot));
            return self.abandon(slot);
        };
        let unprepared = |give: &mut crate::slot::Give| give.parts.is_empty().then_some(give.view);
        let entry = &mut self.slots[usize::from(slot)];
        if let Some(view) = entry.giving().and_then(unprepared) {
            let parts = self.prepare(now, slot, view, held);
            if let Some(give) = self.slots[usize::from(slot)].giving() {
                give.parts = parts;
            }
        }
        let resend = self.cfg.resend_interval;
        let Some(give) = self.slots[usize::from(slot)].giving() else {
            return;
        };
        give.send_at = now + resend;
        let sends = give.parts.iter().map(|part| Effect::SendTransfer {
            to: give.to.clone(),
            transfer: part.clone(),
        });
        self.out.extend(sends);
    }

    /// Makes a slot's transfer. From here on its records do not change.
    fn prepare(&mut self, now: Time, slot: u16, view: u64, held: Held) -> Vec<SlotTransfer> {
        let mut records = Vec::new();
        let mut running = Vec::new();
        for (key, record) in self.records.of_slot(slot) {
            records.extend(to_message(now, self.me, *key, record, self.retention));
            if record.state == State::Running {
                running.push((*key, record.fingerprint));
            }
        }
        for (key, fingerprint) in running {
            self.moved.insert(key, Moved::running(fingerprint));
        }
        let parts = split(records, self.cfg.max_part_bytes);
        let count = u16::try_from(parts.len()).unwrap_or(u16::MAX);
        let doubt_ms = to_ms(now.until(held.doubt_until));
        let parts = parts.into_iter().zip(0..count);
        parts
            .map(|(records, part)| SlotTransfer {
                service: self.service.clone(),
                slot,
                view,
                from: self.me,
                part,
                parts: count,
                records,
                uncertain_ms: doubt_ms,
            })
            .collect()
    }

    /// Puts a record of another home among the own ones. The one that is further on stays.
    pub(crate) fn import(&mut self, now: Time, record: KeyRecord) {
        let key = record.key;
        let mine = self.records.get(key).map(|mine| &mine.state);
        let keep = match (mine, &record.state) {
            (None | Some(State::RunningAt(_)), _) => false,
            (Some(State::Unknown), RecordState::Done(_)) => false,
            (Some(State::Unknown | State::Done(_)), _) => true,
            (Some(State::Queued | State::Running), _) => {
                self.fault(InvariantViolation::RecordRegressed(key));
                true
            }
        };
        if keep {
            return;
        }
        let left = from_ms(record.retention_ms);
        let (state, left) = match record.state {
            // The slot has come back before its end; what is still known of it is put back below.
            RecordState::Running(at) if at == self.me => (State::Unknown, left),
            // The run has a deadline; when that has passed nobody will tell any more.
            RecordState::Running(at) => (State::RunningAt(at), self.longest_run + self.longest_run),
            RecordState::Done(response) => (State::Done(response), left),
            RecordState::Unknown => (State::Unknown, left),
            RecordState::NotRun => {
                self.records.remove(key);
                return;
            }
        };
        let record = Record {
            fingerprint: record.fingerprint,
            state,
            ends: Some(now + left),
        };
        self.records.put(key, record);
    }

    fn thank(&mut self, giver: Incarnation, slot: u16, view: u64) {
        let to: Option<Instance> = self.known.get(&giver).cloned();
        self.out
            .extend(to.map(|to| Effect::AckTransfer { to, slot, view }));
    }

    /// The home of a key in the newest view, if that is another node.
    pub(crate) fn home_elsewhere(&self, key: KeyHash) -> Option<Instance> {
        let view = self.view.as_ref()?;
        let home = crate::slot_owner(&view.members, key.slot())?;
        (home.incarnation != self.me).then(|| home.clone())
    }

    pub(crate) fn fault(&mut self, fault: InvariantViolation) {
        self.out.push(Effect::InvariantViolation(fault));
    }
}

impl Receive {
    fn is_complete(&self) -> bool {
        self.expected
            .is_some_and(|parts| self.parts.len() == usize::from(parts))
    }
}

/// Takes a part; whether all are there.
fn take_part(now: Time, receive: &mut Receive, transfer: SlotTransfer) -> bool {
    receive.expected = Some(transfer.parts);
    receive.doubt_until = now + from_ms(transfer.uncertain_ms);
    receive.parts.insert(transfer.part, transfer.records);
    receive.is_complete()
}

/// Cuts records into parts of at most `max` bytes, or a single record each; at least one part.
fn split(records: Vec<KeyRecord>, max: usize) -> Vec<Vec<KeyRecord>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for record in records {
        let size = match &record.state {
            RecordState::Done(response) => response.size(),
            _ => 0,
        } + crate::records::RECORD_BYTES;
        if bytes + size > max && bytes > 0 {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(part) = parts.last_mut() {
            part.push(record);
        }
    }
    parts
}
