//! Calls with a key and their runs.

use crate::moved::Moved;
use crate::records::Record;
use crate::records::State;
use crate::records::RECORD_BYTES;
use crate::slot::Move;
use crate::slot::Receive;
use crate::view::is_member;
use crate::BeginResult;
use crate::Effect;
use crate::Home;
use crate::InvariantViolation;
use crate::RunOutcome;
use proto::Fingerprint;
use proto::Incarnation;
use proto::KeyHash;
use proto::KeyRecord;
use proto::Reason;
use std::time::Duration;
use stdx::Time;

impl Home {
    /// Begins a call with a key. `fresh` says that no attempt with it can have been made before.
    pub fn begin(
        &mut self,
        now: Time,
        key: KeyHash,
        fingerprint: Fingerprint,
        fresh: bool,
    ) -> BeginResult {
        if let Some(moved) = self.moved.get(&key) {
            return moved.begin(fingerprint);
        }
        if let Some(record) = self.records.get(key) {
            return known(record, fingerprint);
        }
        if let Some(begin) = self.check_slot(now, key.slot(), fresh) {
            return begin;
        }
        if self.lease_left(now).is_zero() {
            return self.await_lease(now);
        }
        if self.records.bytes() + RECORD_BYTES + self.cfg.reserve_bytes > self.cfg.max_bytes {
            return BeginResult::NotRun(Reason::TableFull);
        }
        let record = Record {
            fingerprint,
            state: State::Queued,
            ends: None,
        };
        self.records.put(key, record);
        BeginResult::Start
    }

    /// What is known of a key, for whoever waited for the end of its run.
    pub fn lookup(&self, key: KeyHash) -> BeginResult {
        match self.records.get(key) {
            Some(record) => known(record, record.fingerprint),
            None => BeginResult::NotRun(Reason::Moving),
        }
    }

    /// Whether a queued run may start now, and within what time; it counts as started from here on.
    ///
    /// # Errors
    ///
    /// Why it may not start. It did not run; [`Home::finish`] has to say so.
    pub fn start(&mut self, now: Time, key: KeyHash) -> Result<Duration, Reason> {
        // The slot may have moved on, or the lease have run out, while the run was queued. Without
        // this check a run here and one at the new home would both go ahead.
        let left = self.lease_left(now);
        if !self.slots[usize::from(key.slot())].is_ready() {
            return Err(Reason::Moving);
        }
        if left.is_zero() {
            return Err(Reason::NoLease);
        }
        match self.records.get(key) {
            Some(record) if record.state == State::Queued => {
                let record = Record {
                    state: State::Running,
                    ..record.clone()
                };
                self.records.put(key, record);
                Ok(left)
            }
            _ => {
                debug_assert!(false, "a run starts once, from the queue");
                self.fault(InvariantViolation::RunNotInFlight(key));
                Err(Reason::RecordLost)
            }
        }
    }

    /// Ends the run of a key, started or not.
    pub fn finish(&mut self, now: Time, key: KeyHash, end: RunOutcome) -> Vec<Effect> {
        if let Some(moved) = self.moved.get_mut(&key) {
            moved.end = Some(end);
            moved.send_at = Some(now);
            moved.give_up = Some(now + self.longest_run);
            self.advance(now);
            return std::mem::take(&mut self.out);
        }
        match self.records.get(key).map(|record| &record.state) {
            Some(State::Queued | State::Running) => self.end(now, key, end),
            // A queued run that was recalled.
            None if end == RunOutcome::NotRun => {}
            _ => self.fault(InvariantViolation::RunNotInFlight(key)),
        }
        std::mem::take(&mut self.out)
    }

    /// A run at an earlier home has ended. It may be told more than once.
    pub fn on_finished(&mut self, now: Time, from: Incarnation, record: KeyRecord) -> Vec<Effect> {
        let key = record.key;
        // Without the slot there is nothing to put it into yet: the sender tells again.
        if self.slots[usize::from(key.slot())].is_ready() {
            self.import(now, record);
            let to = self.known.get(&from).cloned();
            self.out
                .extend(to.map(|to| Effect::AckFinished { to, key }));
            self.out.push(Effect::RemoteRunEnded(key));
        }
        std::mem::take(&mut self.out)
    }

    /// The new home knows the end of a run.
    pub fn on_finished_ack(&mut self, now: Time, key: KeyHash) -> Vec<Effect> {
        if self
            .moved
            .get(&key)
            .is_some_and(|moved| moved.end.is_some())
        {
            self.moved.swap_remove(&key);
        }
        self.advance(now);
        std::mem::take(&mut self.out)
    }

    /// What becomes of a call because of the slot's state; `None` if it is ready and certain.
    fn check_slot(&self, now: Time, slot: u16, fresh: bool) -> Option<BeginResult> {
        let entry = &self.slots[usize::from(slot)];
        let listed = self
            .view
            .as_ref()
            .is_some_and(|view| is_member(&view.members, self.me));
        match (entry.moves.front(), entry.held) {
            (Some(Move::Receive(receive)), _) => Some(self.await_slot(now, receive)),
            (Some(Move::Give(_)), _) => Some(BeginResult::Wait),
            (None, None) => Some(BeginResult::NotRun(Reason::Moving)),
            // The view that moves the slot is on its way.
            (None, Some(_)) if self.leaving && listed => Some(BeginResult::Wait),
            (None, Some(held)) => {
                (now < held.doubt_until && !fresh).then_some(BeginResult::Unknown)
            }
        }
    }

    /// After a change of view, grants are some milliseconds away.
    fn await_lease(&self, now: Time) -> BeginResult {
        if now < self.lease_awaited && !self.leaving {
            BeginResult::Wait
        } else {
            BeginResult::NotRun(Reason::NoLease)
        }
    }

    fn await_slot(&self, now: Time, receive: &Receive) -> BeginResult {
        if receive.lost.is_some_and(|lost| lost <= now) {
            BeginResult::NotRun(Reason::NoLease)
        } else if now < receive.since + self.cfg.max_hold {
            BeginResult::Wait
        } else {
            BeginResult::NotRun(Reason::Moving)
        }
    }

    fn end(&mut self, now: Time, key: KeyHash, end: RunOutcome) {
        let Some(record) = self.records.remove(key) else {
            return;
        };
        let state = match end {
            RunOutcome::NotRun => return,
            RunOutcome::Unknown => State::Unknown,
            RunOutcome::Done(response) if self.fits(response.size()) => State::Done(response),
            // It ran and its answer goes out, but a re-send can only be told that it ran.
            RunOutcome::Done(_) => State::Unknown,
        };
        let record = Record {
            state,
            ends: Some(now + self.retention),
            ..record
        };
        self.records.put(key, record);
    }

    fn fits(&self, size: usize) -> bool {
        size <= self.cfg.max_response_bytes
            && self.records.bytes() + RECORD_BYTES + size <= self.cfg.max_bytes
    }

    /// A slot is here again: its runs that are still under way here, or just ended, are records
    /// again.
    pub(crate) fn reclaim(&mut self, now: Time, slot: u16) {
        let keys = self.moved.keys().copied();
        let keys: Vec<KeyHash> = keys.filter(|key| key.slot() == slot).collect();
        for key in keys {
            let Some(moved) = self.moved.swap_remove(&key) else {
                continue;
            };
            let state = self.records.get(key).map(|record| &record.state);
            match state {
                Some(State::Done(_)) if moved.end.is_some() => {}
                Some(State::Done(_)) => self.fault(InvariantViolation::RecordRegressed(key)),
                _ => self.put_back(now, key, moved),
            }
        }
    }

    /// The slot of a run has come back here.
    fn put_back(&mut self, now: Time, key: KeyHash, moved: Moved) {
        let record = Record {
            fingerprint: moved.fingerprint,
            state: State::Running,
            ends: None,
        };
        self.records.put(key, record);
        if let Some(end) = moved.end {
            self.end(now, key, end);
        }
    }

    /// Tells new homes of runs that ended here.
    pub(crate) fn send_finished(&mut self, now: Time) {
        let due: Vec<KeyHash> = self
            .moved
            .iter()
            .filter(|(_, moved)| moved.send_at.is_some_and(|at| at <= now))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let to = self.home_elsewhere(key);
            let Some(moved) = self.moved.get_mut(&key) else {
                continue;
            };
            if moved.give_up.is_some_and(|at| at <= now) {
                self.moved.swap_remove(&key);
                continue;
            }
            moved.send_at = Some(now + self.cfg.resend_interval);
            let record = moved.to_message(key, self.retention);
            let effect = to.zip(record);
            self.out
                .extend(effect.map(|(to, record)| Effect::SendFinished { to, record }));
        }
    }

    /// Forgets records whose time is over, and gives up runs elsewhere that nobody tells of.
    pub(crate) fn expire(&mut self, now: Time) {
        while let Some(key) = self.records.ended(now) {
            let Some(record) = self.records.remove(key) else {
                return;
            };
            if matches!(record.state, State::RunningAt(_)) {
                let record = Record {
                    state: State::Unknown,
                    ends: Some(now + self.retention),
                    ..record
                };
                self.records.put(key, record);
                self.out.push(Effect::RemoteRunEnded(key));
            }
        }
    }
}

/// What the record of a key says to a call.
fn known(record: &Record, fingerprint: Fingerprint) -> BeginResult {
    if record.fingerprint != fingerprint {
        return BeginResult::NotRun(Reason::KeyMismatch);
    }
    match &record.state {
        State::Queued | State::Running | State::RunningAt(_) => BeginResult::Attach,
        State::Done(response) => BeginResult::Done(response.clone()),
        State::Unknown => BeginResult::Unknown,
    }
}
