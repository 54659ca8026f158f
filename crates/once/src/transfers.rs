//! Transfers of slots between homes.

use crate::moved_run::MovedRun;
use crate::records::from_ms;
use crate::records::to_message;
use crate::records::to_ms;
use crate::records::Record;
use crate::records::RunState;
use crate::slot::Holding;
use crate::slot::IncomingMove;
use crate::slot::Move;
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
    /// Handles a part of a slot that moves to this node. Parts may arrive more than once, late, or
    /// never.
    pub fn on_transfer(&mut self, now: Time, transfer: SlotTransfer) -> Vec<Effect> {
        let slot = usize::from(transfer.slot);
        // While this node does not know the view it cannot place the part; the sender will send it
        // again.
        if slot >= self.slots.len() || self.lacks_view(transfer.view) {
            self.effects.push(Effect::ViewOutdated);
            return std::mem::take(&mut self.effects);
        }
        let (slot_number, view, from) = (transfer.slot, transfer.view, transfer.from);
        let complete = match self.slots[slot].incoming(view) {
            Some(incoming) if incoming.from != Some(from) => return Vec::new(),
            Some(incoming) => add_part(now, incoming, transfer),
            None => {
                self.apply_late_transfer(now, transfer);
                true
            }
        };
        if complete {
            self.ack_transfer(from, slot_number, view);
        }
        self.advance(now);
        std::mem::take(&mut self.effects)
    }

    /// Handles the acknowledgement that the new home has received a slot.
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
        let acked = entry.next_outgoing().is_some_and(|outgoing| {
            outgoing.view == view && outgoing.to.incarnation == from && !outgoing.parts.is_empty()
        });
        if acked {
            entry.moves.pop_front();
            self.release_slot(slot);
            self.effects.push(Effect::MoveEnded(slot));
        }
        self.advance(now);
        std::mem::take(&mut self.effects)
    }

    /// Advances all pending moves as far as possible.
    pub(crate) fn advance(&mut self, now: Time) {
        self.fence.poll(now, &self.cfg, self.me);
        let moving: Vec<u16> = self.moving_slots.iter().copied().collect();
        for slot in moving {
            while self.advance_slot(now, slot) {}
            if self.slots[usize::from(slot)].moves.is_empty() {
                self.moving_slots.remove(&slot);
            }
        }
        self.send_finished(now);
        self.report_expulsion(now);
    }

    /// Advances the next move of a slot by one step. Returns whether another step may follow.
    fn advance_slot(&mut self, now: Time, slot: u16) -> bool {
        let fenced_below = self.fence.fenced_below();
        match self.slots[usize::from(slot)].moves.front() {
            None => false,
            Some(Move::Incoming(incoming)) if incoming.is_complete() => {
                self.complete_incoming(now, slot)
            }
            Some(Move::Incoming(incoming)) => {
                let fenced = incoming.peer_lost_at.is_some_and(|lost| lost <= now)
                    && fenced_below >= incoming.view;
                if fenced {
                    self.take_over(now, slot);
                }
                fenced
            }
            Some(Move::Outgoing(outgoing))
                if outgoing.peer_lost_at.is_some_and(|lost| lost <= now) =>
            {
                self.abandon_outgoing(slot);
                true
            }
            Some(Move::Outgoing(outgoing)) => {
                if outgoing.send_at <= now {
                    self.send_transfer(now, slot);
                }
                false
            }
        }
    }

    /// Completes a move to this node of which all parts have arrived.
    fn complete_incoming(&mut self, now: Time, slot: u16) -> bool {
        let entry = &mut self.slots[usize::from(slot)];
        let Some(Move::Incoming(incoming)) = entry.moves.pop_front() else {
            return false;
        };
        entry.held = Some(Holding {
            uncertain_until: incoming.uncertain_until,
            takeover_view: None,
        });
        for record in incoming.parts.into_values().flatten() {
            self.merge_record(now, record);
        }
        self.restore_moved_runs(now, slot);
        self.effects.push(Effect::MoveEnded(slot));
        true
    }

    /// Takes over a slot whose previous home is gone and can start no runs any more. The runs of
    /// that home are not known, so a call whose key it may have seen is answered with
    /// [`BeginResult::Unknown`](crate::BeginResult::Unknown) until any record of the key would have
    /// expired.
    fn take_over(&mut self, now: Time, slot: u16) {
        let entry = &mut self.slots[usize::from(slot)];
        let Some(Move::Incoming(incoming)) = entry.moves.pop_front() else {
            return;
        };
        entry.held = Some(Holding {
            uncertain_until: now + self.retention + self.max_run_time,
            takeover_view: Some(incoming.view),
        });
        self.restore_moved_runs(now, slot);
        self.effects.push(Effect::MoveEnded(slot));
    }

    /// Handles records that arrive after their slot was taken over without them.
    fn apply_late_transfer(&mut self, now: Time, transfer: SlotTransfer) {
        let entry = &mut self.slots[usize::from(transfer.slot)];
        let Some(held) = &mut entry.held else {
            return;
        };
        if held.takeover_view != Some(transfer.view) || !entry.moves.is_empty() {
            return;
        }
        if transfer.parts == 1 {
            // This part is the whole transfer, and its sender had stopped starting runs, so all
            // that the sender knew is known here now.
            held.uncertain_until = now + from_ms(transfer.uncertain_ms);
            held.takeover_view = None;
        }
        for record in transfer.records {
            self.merge_record(now, record);
        }
    }

    /// Abandons a move whose target is gone; it is not known whether the slot arrived there.
    fn abandon_outgoing(&mut self, slot: u16) {
        let entry = &mut self.slots[usize::from(slot)];
        entry.moves.pop_front();
        entry.held = None;
        if entry.moves.is_empty() {
            self.drop_records(slot);
            self.effects.push(Effect::MoveEnded(slot));
        }
    }

    /// Drops a slot that the next home has received.
    fn release_slot(&mut self, slot: u16) {
        self.slots[usize::from(slot)].held = None;
        self.drop_records(slot);
    }

    /// Drops the records of a slot that is no longer held. Calls here that wait for runs elsewhere
    /// would not be answered, because the ends of these runs are reported to the next home.
    fn drop_records(&mut self, slot: u16) {
        for (key, record) in self.records.take_slot(slot) {
            if matches!(record.state, RunState::RunningAt(_)) {
                self.effects.push(Effect::RemoteRunEnded(key));
            }
        }
    }

    /// Sends a slot's transfer, or sends it again.
    fn send_transfer(&mut self, now: Time, slot: u16) {
        let Some(held) = self.slots[usize::from(slot)].held else {
            self.report_violation(InvariantViolation::SlotNotHeld(slot));
            return self.abandon_outgoing(slot);
        };
        let view_to_build = |outgoing: &mut crate::slot::OutgoingMove| {
            outgoing.parts.is_empty().then_some(outgoing.view)
        };
        let entry = &mut self.slots[usize::from(slot)];
        if let Some(view) = entry.next_outgoing().and_then(view_to_build) {
            let parts = self.build_transfer(now, slot, view, held);
            if let Some(outgoing) = self.slots[usize::from(slot)].next_outgoing() {
                outgoing.parts = parts;
            }
        }
        let resend = self.cfg.resend_interval;
        let Some(outgoing) = self.slots[usize::from(slot)].next_outgoing() else {
            return;
        };
        outgoing.send_at = now + resend;
        let sends = outgoing.parts.iter().map(|part| Effect::SendTransfer {
            to: outgoing.to.clone(),
            transfer: part.clone(),
        });
        self.effects.extend(sends);
    }

    /// Builds a slot's transfer. From here on the slot's records do not change.
    fn build_transfer(
        &mut self,
        now: Time,
        slot: u16,
        view: u64,
        held: Holding,
    ) -> Vec<SlotTransfer> {
        let mut records = Vec::new();
        let mut running = Vec::new();
        for (key, record) in self.records.of_slot(slot) {
            records.extend(to_message(now, self.me, *key, record, self.retention));
            if record.state == RunState::Running {
                running.push((*key, record.fingerprint));
            }
        }
        for (key, fingerprint) in running {
            self.moved_runs.insert(key, MovedRun::running(fingerprint));
        }
        let parts = split_into_parts(records, self.cfg.max_part_bytes);
        let count = u16::try_from(parts.len()).unwrap_or(u16::MAX);
        let uncertain_ms = to_ms(now.until(held.uncertain_until));
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
                uncertain_ms,
            })
            .collect()
    }

    /// Merges a record from another home into the table. The one in the later state is kept.
    pub(crate) fn merge_record(&mut self, now: Time, record: KeyRecord) {
        let key = record.key;
        let mine = self.records.get(key).map(|mine| &mine.state);
        let keep_existing = match (mine, &record.state) {
            (None | Some(RunState::RunningAt(_)), _) => false,
            (Some(RunState::Unknown), RecordState::Done(_)) => false,
            (Some(RunState::Unknown | RunState::Done(_)), _) => true,
            (Some(RunState::Queued | RunState::Running), _) => {
                self.report_violation(InvariantViolation::RecordRegressed(key));
                true
            }
        };
        if keep_existing {
            return;
        }
        let retention_left = from_ms(record.retention_ms);
        let (state, lifetime) = match record.state {
            // A run of this node whose slot has come back. `restore_moved_runs` then restores what
            // is still known of it.
            RecordState::Running(at) if at == self.me => (RunState::Unknown, retention_left),
            // The run has a deadline; well after that, no outcome will arrive any more.
            RecordState::Running(at) => (
                RunState::RunningAt(at),
                self.max_run_time + self.max_run_time,
            ),
            RecordState::Done(response) => (RunState::Done(response), retention_left),
            RecordState::Unknown => (RunState::Unknown, retention_left),
            RecordState::NotRun => {
                self.records.remove(key);
                return;
            }
        };
        let record = Record {
            fingerprint: record.fingerprint,
            state,
            expires_at: Some(now + lifetime),
        };
        self.records.put(key, record);
    }

    fn ack_transfer(&mut self, source: Incarnation, slot: u16, view: u64) {
        let to: Option<Instance> = self.known_instances.get(&source).cloned();
        self.effects
            .extend(to.map(|to| Effect::AckTransfer { to, slot, view }));
    }

    /// The home of a key in the newest view, if it is another node.
    pub(crate) fn remote_home(&self, key: KeyHash) -> Option<Instance> {
        let view = self.view.as_ref()?;
        let home = crate::slot_home(&view.members, key.slot())?;
        (home.incarnation != self.me).then(|| home.clone())
    }

    pub(crate) fn report_violation(&mut self, violation: InvariantViolation) {
        self.effects.push(Effect::InvariantViolation(violation));
    }
}

impl IncomingMove {
    fn is_complete(&self) -> bool {
        self.expected_parts
            .is_some_and(|parts| self.parts.len() == usize::from(parts))
    }
}

/// Adds a received part. Returns whether all parts have arrived.
fn add_part(now: Time, incoming: &mut IncomingMove, transfer: SlotTransfer) -> bool {
    incoming.expected_parts = Some(transfer.parts);
    incoming.uncertain_until = now + from_ms(transfer.uncertain_ms);
    incoming.parts.insert(transfer.part, transfer.records);
    incoming.is_complete()
}

/// Splits records into parts of at most `max` bytes, or a single larger record each. Returns at
/// least one part.
fn split_into_parts(records: Vec<KeyRecord>, max: usize) -> Vec<Vec<KeyRecord>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for record in records {
        let size = match &record.state {
            RecordState::Done(response) => response.size(),
            _ => 0,
        } + crate::records::RECORD_OVERHEAD_BYTES;
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
