//! Calls with a key, and the runs they start or attach to.

use crate::moved_run::MovedRun;
use crate::quorum::is_member;
use crate::records::Record;
use crate::records::RunState;
use crate::records::RECORD_OVERHEAD_BYTES;
use crate::slot::IncomingMove;
use crate::slot::Move;
use crate::BeginResult;
use crate::Effect;
use crate::Home;
use crate::InvariantViolation;
use crate::RunOutcome;
use proto::CallId;
use proto::Fingerprint;
use proto::Incarnation;
use proto::KeyHash;
use proto::KeyRecord;
use proto::Reason;
use std::time::Duration;
use stdx::Time;

/// The share of a hold that other nodes do not rely on, because clocks run at different rates, as
/// for the margin of a lease.
const HOLD_MARGIN_DIVISOR: u32 = 10;

impl Home {
    /// Begins a call with a key. `first_attempt` means that no earlier attempt with this key can
    /// have been made.
    pub fn begin(
        &mut self,
        now: Time,
        key: KeyHash,
        fingerprint: Fingerprint,
        first_attempt: bool,
    ) -> BeginResult {
        if let Some(moved) = self.moved_runs.get(&key) {
            return moved.begin_result(fingerprint);
        }
        if let Some(record) = self.records.get(key) {
            return begin_result(record, fingerprint);
        }
        if let Some(result) = self.check_slot(now, key.slot(), first_attempt) {
            return result;
        }
        if self.lease_left(now).is_zero() {
            return self.lease_wait_result(now);
        }
        if self.records.bytes() + RECORD_OVERHEAD_BYTES + self.cfg.reserve_bytes
            > self.cfg.max_bytes
        {
            return BeginResult::NotRun(Reason::TableFull);
        }
        if self.refused_keys.must_wait(now, key) {
            return BeginResult::Wait;
        }
        let record = Record {
            fingerprint,
            state: RunState::Queued,
            expires_at: None,
        };
        self.records.put(key, record);
        BeginResult::Start
    }

    /// How to answer callers that waited for the end of a key's run.
    pub fn lookup(&self, key: KeyHash) -> BeginResult {
        match self.records.get(key) {
            Some(record) => begin_result(record, record.fingerprint),
            None => BeginResult::NotRun(Reason::Moving),
        }
    }

    /// Checks whether a queued run may start now, and returns how long it may take to reach the
    /// backend server. From here on the run counts as started.
    ///
    /// # Errors
    ///
    /// Why the run may not start. [`Home::finish`] must then be called with
    /// [`RunOutcome::NotRun`].
    pub fn start(&mut self, now: Time, key: KeyHash) -> Result<Duration, Reason> {
        // The slot may have moved, or the lease may have expired, while the run was queued. Without
        // this check a run here and one at the new home could both start.
        let lease_left = self.lease_left(now);
        if !self.slots[usize::from(key.slot())].is_ready() {
            return Err(Reason::Moving);
        }
        if lease_left.is_zero() {
            return Err(Reason::NoLease);
        }
        match self.records.get(key) {
            Some(record) if record.state == RunState::Queued => {
                let record = Record {
                    state: RunState::Running,
                    ..record.clone()
                };
                self.records.put(key, record);
                Ok(lease_left)
            }
            _ => {
                debug_assert!(false, "started a run that was not queued: {key:?}");
                self.report_violation(InvariantViolation::RunNotInFlight(key));
                Err(Reason::RecordLost)
            }
        }
    }

    /// Records the outcome of a key's run, whether it was started or not.
    pub fn finish(&mut self, now: Time, key: KeyHash, outcome: RunOutcome) -> Vec<Effect> {
        if let Some(moved) = self.moved_runs.get_mut(&key) {
            moved.outcome = Some(outcome);
            moved.send_at = Some(now);
            moved.give_up_at = Some(now + self.max_run_time);
            self.advance(now);
            return std::mem::take(&mut self.effects);
        }
        match self.records.get(key).map(|record| &record.state) {
            Some(RunState::Queued | RunState::Running) => self.end_run(now, key, outcome),
            // A queued run that was cancelled.
            None if outcome == RunOutcome::NotRun => {}
            _ => self.report_violation(InvariantViolation::RunNotInFlight(key)),
        }
        std::mem::take(&mut self.effects)
    }

    /// Holds a key of which this call is refused now. Returns for how long no node starts a run with
    /// the key, so that the refusal stays true for all its attempts meanwhile; zero if this node
    /// cannot tell.
    pub fn hold_refused(&mut self, now: Time, key: KeyHash, call: CallId) -> Duration {
        let hold = self.cfg.refusal_hold;
        let slot = usize::from(key.slot());
        // Without a lease, another node may be the key's home by now. While the records of the slot
        // may be incomplete, a run of the key may have started at an earlier home.
        let entry = &self.slots[slot];
        let is_certain = entry.held.is_some_and(|held| held.uncertain_until <= now);
        if !entry.is_ready() || !is_certain || self.lease_left(now) < hold {
            return Duration::ZERO;
        }
        let Some(end) = self.refused_keys.hold(now, key, call, hold) else {
            return Duration::ZERO;
        };
        let entry = &mut self.slots[slot];
        entry.refusals_held_until = entry.refusals_held_until.max(end);
        // The node that relies on it measures the time with its own clock.
        hold - hold / HOLD_MARGIN_DIVISOR
    }

    /// Ends the hold of a key whose refused call is retried by its sender, unless another call of
    /// the key was refused as well.
    pub fn release_refused(&mut self, key: KeyHash, call: CallId) {
        self.refused_keys.release(key, call);
    }

    /// Lets the calls continue that wait for the end of a hold.
    pub(crate) fn end_refusal_holds(&mut self, now: Time) {
        while let Some(key) = self.refused_keys.take_due(now) {
            self.effects.push(Effect::RefusalHoldEnded(key));
        }
    }

    /// Handles the outcome of a run at an earlier home. It may arrive more than once.
    pub fn on_run_finished(
        &mut self,
        now: Time,
        from: Incarnation,
        record: KeyRecord,
    ) -> Vec<Effect> {
        let key = record.key;
        // While the slot is not ready the record cannot be stored; the sender will send it again.
        if self.slots[usize::from(key.slot())].is_ready() {
            self.merge_record(now, record);
            let to = self.known_instances.get(&from).cloned();
            self.effects
                .extend(to.map(|to| Effect::AckRunFinished { to, key }));
            self.effects.push(Effect::RemoteRunEnded(key));
        }
        std::mem::take(&mut self.effects)
    }

    /// Handles the acknowledgement that the new home has stored the outcome of a run.
    pub fn on_run_finished_ack(&mut self, now: Time, key: KeyHash) -> Vec<Effect> {
        if self
            .moved_runs
            .get(&key)
            .is_some_and(|moved| moved.outcome.is_some())
        {
            self.moved_runs.swap_remove(&key);
        }
        self.advance(now);
        std::mem::take(&mut self.effects)
    }

    /// How to answer a call by the state of its slot; `None` if the slot is ready and the call may
    /// go ahead.
    fn check_slot(&self, now: Time, slot: u16, first_attempt: bool) -> Option<BeginResult> {
        let entry = &self.slots[usize::from(slot)];
        let listed = self
            .view
            .as_ref()
            .is_some_and(|view| is_member(&view.members, self.me));
        match (entry.moves.front(), entry.held) {
            (Some(Move::Incoming(incoming)), _) => Some(self.slot_wait_result(now, incoming)),
            (Some(Move::Outgoing(_)), _) => Some(BeginResult::Wait),
            (None, None) => Some(BeginResult::NotRun(Reason::Moving)),
            // The view that moves the slot will follow.
            (None, Some(_)) if self.leaving && listed => Some(BeginResult::Wait),
            (None, Some(held)) => {
                (now < held.uncertain_until && !first_attempt).then_some(BeginResult::Unknown)
            }
        }
    }

    /// How to answer a call while this node has no lease. Shortly after a change of view the call
    /// is held, because grants usually arrive within milliseconds.
    fn lease_wait_result(&self, now: Time) -> BeginResult {
        if now < self.lease_wait_until && !self.leaving {
            BeginResult::Wait
        } else {
            BeginResult::NotRun(Reason::NoLease)
        }
    }

    /// How to answer a call while its slot is moving to this node.
    fn slot_wait_result(&self, now: Time, incoming: &IncomingMove) -> BeginResult {
        if incoming.peer_lost_at.is_some_and(|lost| lost <= now) {
            BeginResult::NotRun(Reason::NoLease)
        } else if now < incoming.started_at + self.cfg.max_hold {
            BeginResult::Wait
        } else {
            BeginResult::NotRun(Reason::Moving)
        }
    }

    fn end_run(&mut self, now: Time, key: KeyHash, outcome: RunOutcome) {
        let Some(record) = self.records.remove(key) else {
            return;
        };
        let state = match outcome {
            RunOutcome::NotRun => return,
            RunOutcome::Unknown => RunState::Unknown,
            RunOutcome::Done(response) if self.response_fits(response.size()) => {
                RunState::Done(response)
            }
            // The waiting callers get the response, but it is not stored, so the outcome is unknown
            // to callers that re-send the request.
            RunOutcome::Done(_) => RunState::Unknown,
        };
        let record = Record {
            state,
            expires_at: Some(now + self.retention),
            ..record
        };
        self.records.put(key, record);
    }

    fn response_fits(&self, size: usize) -> bool {
        size <= self.cfg.max_response_bytes
            && self.records.bytes() + RECORD_OVERHEAD_BYTES + size <= self.cfg.max_bytes
    }

    /// Restores the records of runs on this node that are in flight or just ended, after their slot
    /// has come back.
    pub(crate) fn restore_moved_runs(&mut self, now: Time, slot: u16) {
        let keys = self.moved_runs.keys().copied();
        let keys: Vec<KeyHash> = keys.filter(|key| key.slot() == slot).collect();
        for key in keys {
            let Some(moved) = self.moved_runs.swap_remove(&key) else {
                continue;
            };
            let state = self.records.get(key).map(|record| &record.state);
            match state {
                Some(RunState::Done(_)) if moved.outcome.is_some() => {}
                Some(RunState::Done(_)) => {
                    self.report_violation(InvariantViolation::RecordRegressed(key))
                }
                _ => self.restore_run(now, key, moved),
            }
        }
    }

    /// Restores the record of a run whose slot has come back.
    fn restore_run(&mut self, now: Time, key: KeyHash, moved: MovedRun) {
        let record = Record {
            fingerprint: moved.fingerprint,
            state: RunState::Running,
            expires_at: None,
        };
        self.records.put(key, record);
        if let Some(outcome) = moved.outcome {
            self.end_run(now, key, outcome);
        }
    }

    /// Sends the outcomes of runs that ended here to the new homes of their slots.
    pub(crate) fn send_finished(&mut self, now: Time) {
        let due: Vec<KeyHash> = self
            .moved_runs
            .iter()
            .filter(|(_, moved)| moved.send_at.is_some_and(|at| at <= now))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let to = self.remote_home(key);
            let Some(moved) = self.moved_runs.get_mut(&key) else {
                continue;
            };
            if moved.give_up_at.is_some_and(|at| at <= now) {
                self.moved_runs.swap_remove(&key);
                continue;
            }
            moved.send_at = Some(now + self.cfg.resend_interval);
            let record = moved.to_message(key, self.retention);
            let effect = to.zip(record);
            self.effects
                .extend(effect.map(|(to, record)| Effect::SendRunFinished { to, record }));
        }
    }

    /// Drops expired records, and marks runs at earlier homes as unknown if no outcome arrived in
    /// time.
    pub(crate) fn expire_records(&mut self, now: Time) {
        while let Some(key) = self.records.next_expired(now) {
            let Some(record) = self.records.remove(key) else {
                return;
            };
            if matches!(record.state, RunState::RunningAt(_)) {
                let record = Record {
                    state: RunState::Unknown,
                    expires_at: Some(now + self.retention),
                    ..record
                };
                self.records.put(key, record);
                self.effects.push(Effect::RemoteRunEnded(key));
            }
        }
    }
}

/// How to answer a call for a key that has this record.
fn begin_result(record: &Record, fingerprint: Fingerprint) -> BeginResult {
    if record.fingerprint != fingerprint {
        return BeginResult::NotRun(Reason::KeyMismatch);
    }
    match &record.state {
        RunState::Queued | RunState::Running | RunState::RunningAt(_) => BeginResult::Attach,
        RunState::Done(response) => BeginResult::Done(response.clone()),
        RunState::Unknown => BeginResult::Unknown,
    }
}
