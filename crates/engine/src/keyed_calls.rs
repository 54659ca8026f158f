//! Calls with a key, at the key's home.

use crate::job::JobOwner;
use crate::serve::InboundCall;
use crate::serve::InboundWork;
use crate::timers::Timer;
use crate::Counter;
use crate::Engine;
use crate::Output;
use indexmap::IndexMap;
use once::BeginResult;
use once::Effect;
use once::RunOutcome;
use proto::Call;
use proto::CallId;
use proto::Datagram;
use proto::Frame;
use proto::Incarnation;
use proto::KeyHash;
use proto::LeaseMessage;
use proto::Outcome;
use proto::Reason;
use proto::RunId;
use proto::PROTOCOL_VERSION;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

/// The most calls that wait for slots on their way.
const MAX_HELD_CALLS: usize = 1024;

/// How long a call waits for a slot on its way.
const MAX_HOLD_TIME: Duration = Duration::from_secs(2);

/// The run of a key that is under way.
#[derive(Debug)]
pub(crate) struct KeyRun {
    /// `None` if it runs at an earlier home.
    run: Option<RunId>,
    waiting_calls: Vec<CallId>,
}

/// A call that waits for its slot.
#[derive(Debug)]
pub(crate) struct HeldCall {
    call: Call,
    key: KeyHash,
    until: Time,
}

/// Calls that wait for their slots, by id.
pub(crate) type HeldCalls = IndexMap<CallId, HeldCall>;

impl Engine {
    pub(crate) fn on_keyed_call(&mut self, now: Time, call: Call) {
        let (id, allowance) = (call.id, call.retry_allowance);
        let Some((key, fingerprint)) = call.key else {
            return self.answer_call(id, allowance, self.not_run(Reason::BadKey));
        };
        match self.home.begin(now, key, fingerprint, call.first_attempt) {
            BeginResult::Start => self.start_keyed_run(now, key, call),
            BeginResult::Attach => self.attach_to_run(key, id),
            BeginResult::Done(response) => {
                self.count(Counter::ResponseReplayed);
                self.answer_call(id, allowance, Outcome::Completed(response));
            }
            BeginResult::NotRun(reason) => self.answer_call(id, allowance, self.not_run(reason)),
            BeginResult::Unknown => {
                self.answer_call(id, allowance, Outcome::Unknown(Reason::RecordLost));
            }
            BeginResult::Wait => self.hold_call(now, key, call),
        }
    }

    fn start_keyed_run(&mut self, now: Time, key: KeyHash, call: Call) {
        let id = call.id;
        let run = self.new_job(now, JobOwner::Key(key), call);
        self.key_runs.insert(
            key,
            KeyRun {
                run: Some(run),
                waiting_calls: vec![id],
            },
        );
        self.add_waiting_call(key, id);
        self.offer(now, run);
    }

    /// A re-send waits for the run in flight. What it was lent is not given back, as if it were
    /// spent: too few retries do no harm, too many do.
    fn attach_to_run(&mut self, key: KeyHash, id: CallId) {
        let work = self.key_runs.entry(key).or_insert_with(|| KeyRun {
            run: None,
            waiting_calls: Vec::new(),
        });
        work.waiting_calls.push(id);
        self.add_waiting_call(key, id);
        self.count(Counter::ResendAttached);
    }

    fn add_waiting_call(&mut self, key: KeyHash, id: CallId) {
        let work = InboundWork::Key(key);
        self.inbound.insert(id, InboundCall { work });
    }

    /// The slot is on its way. A refusal would send the call round the nodes while the records are
    /// under way for a few milliseconds; so it waits, for a bounded time, in a bounded table.
    fn hold_call(&mut self, now: Time, key: KeyHash, call: Call) {
        let (id, allowance) = (call.id, call.retry_allowance);
        if self.held_calls.len() >= MAX_HELD_CALLS {
            return self.answer_call(id, allowance, self.not_run(Reason::Moving));
        }
        let until = now + MAX_HOLD_TIME.min(Duration::from_millis(u64::from(call.remaining_ms)));
        self.timers.set(until, Timer::HeldCallTimeout(id));
        self.inbound.insert(
            id,
            InboundCall {
                work: InboundWork::Held,
            },
        );
        self.held_calls.insert(id, HeldCall { call, key, until });
    }

    fn take_held(&mut self, id: CallId) -> Option<HeldCall> {
        let held = self.held_calls.swap_remove(&id)?;
        self.timers.clear(held.until, Timer::HeldCallTimeout(id));
        self.inbound.swap_remove(&id);
        Some(held)
    }

    /// A call has waited long enough.
    pub(crate) fn on_hold_timeout(&mut self, id: CallId) {
        if let Some(held) = self.take_held(id) {
            self.answer_call(id, held.call.retry_allowance, self.not_run(Reason::Moving));
        }
    }

    pub(crate) fn cancel_held(&mut self, id: CallId) {
        if let Some(held) = self.take_held(id) {
            self.answer_call(
                id,
                held.call.retry_allowance,
                self.not_run(Reason::CallerGone),
            );
        }
    }

    /// Calls that waited begin again.
    fn release_held_calls(&mut self, now: Time, may_go_on: impl Fn(KeyHash) -> bool) {
        let waiting = self.held_calls.iter();
        let waiting: Vec<CallId> = waiting
            .filter(|(_, held)| may_go_on(held.key))
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            let Some(mut held) = self.take_held(id) else {
                continue;
            };
            let waited = MAX_HOLD_TIME.saturating_sub(now.until(held.until));
            let waited = u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);
            held.call.remaining_ms = held.call.remaining_ms.saturating_sub(waited);
            self.on_keyed_call(now, held.call);
        }
    }

    /// The run of a key has ended: the record first, then everyone who waits.
    pub(crate) fn finish_keyed_run(
        &mut self,
        now: Time,
        key: KeyHash,
        unspent: u16,
        outcome: Outcome,
    ) {
        let end = match &outcome {
            Outcome::Completed(response) => RunOutcome::Done(response.clone()),
            Outcome::NotRun(_) => RunOutcome::NotRun,
            Outcome::Unknown(_) => RunOutcome::Unknown,
        };
        let effects = self.home.finish(now, key, end);
        let Some(work) = self.key_runs.swap_remove(&key) else {
            return self.apply_home(now, effects);
        };
        for (id, first) in work.waiting_calls.into_iter().zip((0..).map(|n| n == 0)) {
            let unspent = if first { unspent } else { 0 };
            self.answer_call(id, unspent, outcome.clone());
        }
        self.apply_home(now, effects);
    }

    /// A caller has gone. A run that began goes on and keeps its record; only one that nobody
    /// waits for any more and that never left the queue is taken back.
    pub(crate) fn cancel_keyed_call(&mut self, now: Time, key: KeyHash, id: CallId) {
        self.inbound.swap_remove(&id);
        let Some(work) = self.key_runs.get_mut(&key) else {
            return;
        };
        work.waiting_calls.retain(|waiting| *waiting != id);
        if !work.waiting_calls.is_empty() {
            return;
        }
        let run = work.run;
        match run {
            Some(run) if self.withdraw(run) => self.end_withdrawn_job(now, run),
            Some(_) => {}
            None => {
                self.key_runs.swap_remove(&key);
            }
        }
    }

    /// Whether a job may start now, and for how long it may still be on its way to the server.
    pub(crate) fn start_permit(
        &mut self,
        now: Time,
        owner: JobOwner,
    ) -> Result<Option<Duration>, Reason> {
        match owner {
            JobOwner::Call(_) => Ok(None),
            JobOwner::Key(key) => self.home.start(now, key).map(Some),
        }
    }

    pub(crate) fn on_lease_message(&mut self, now: Time, from: SocketAddr, message: LeaseMessage) {
        let effects = self.home.on_lease(now, from, message);
        self.apply_home(now, effects);
    }

    /// Frames about slots and records; `false` for all others.
    pub(crate) fn on_home_frame(&mut self, now: Time, from: Incarnation, frame: Frame) -> bool {
        let effects = match frame {
            Frame::Transfer(transfer) => self.home.on_transfer(now, *transfer),
            Frame::TransferAck { slot, view } => self.home.on_transfer_ack(now, from, slot, view),
            Frame::RunFinished(record) => self.home.on_finished(now, from, *record),
            Frame::RunFinishedAck(key) => self.home.on_finished_ack(now, key),
            _ => return false,
        };
        self.apply_home(now, effects);
        true
    }

    pub(crate) fn tick_home(&mut self, now: Time) {
        if self.home.next_timer().is_some_and(|due| due <= now) {
            let effects = self.home.tick(now);
            self.apply_home(now, effects);
        }
    }

    /// Takes the service's views from the topic's state, if they are newer than the home's, one by
    /// one. A state that was taken from a peer may have skipped more than it remembers, and after
    /// departures that were forgotten nobody can tell what was before the first view.
    pub(crate) fn apply_new_views(&mut self, now: Time) {
        let Some(view) = self.journal.view(&self.own_instance.service) else {
            return;
        };
        if self.home.view_number() >= Some(view.number) {
            return;
        }
        let view = view.clone();
        let missed = match self.home.latest_view() {
            Some(known) => view.views_since(known),
            None if self.journal.last_forgotten.is_some() => None,
            None => view.history(),
        };
        let Some(missed) = missed else {
            let effects = self.home.on_baseline(now, &view);
            return self.apply_home(now, effects);
        };
        for view in missed {
            self.count(Counter::ViewApplied);
            let effects = self.home.on_view(now, &view);
            self.apply_home(now, effects);
        }
    }

    /// Stops starting work as a home, before the log is told that this node leaves.
    pub(crate) fn leave_home(&mut self, now: Time) {
        let effects = self.home.leave(now);
        self.apply_home(now, effects);
    }

    /// Whether all slots have been taken by other homes, or have been offered for long enough.
    pub(crate) fn has_handed_over(&mut self, now: Time) -> bool {
        let unheard = self.is_listed() && self.log.leave_wait_ended();
        if unheard || (!self.is_listed() && self.home.is_handed_over()) {
            return true;
        }
        let ends = *self.handover_deadline.get_or_insert_with(|| {
            let ends = now + self.cfg.leave_timeout;
            self.timers.set(ends, Timer::HandoverTimeout);
            ends
        });
        ends <= now
    }

    pub(crate) fn apply_home(&mut self, now: Time, effects: Vec<Effect>) {
        for effect in effects {
            self.apply_home_effect(now, effect);
        }
    }

    fn apply_home_effect(&mut self, now: Time, effect: Effect) {
        match effect {
            Effect::SendLease { to, message } => {
                let version = PROTOCOL_VERSION;
                let datagram = Datagram::Lease { version, message };
                self.outputs.push(Output::Datagram { to, datagram });
            }
            Effect::SendTransfer { to, transfer } => {
                self.send(&to, Frame::Transfer(Box::new(transfer)));
            }
            Effect::AckTransfer { to, slot, view } => {
                self.count(Counter::SlotMoved);
                self.send(&to, Frame::TransferAck { slot, view });
            }
            Effect::SendFinished { to, record } => {
                self.send(&to, Frame::RunFinished(Box::new(record)))
            }
            Effect::AckFinished { to, key } => self.send(&to, Frame::RunFinishedAck(key)),
            Effect::MoveEnded(slot) => self.release_held_calls(now, |key| key.slot() == slot),
            Effect::LeaseAcquired => self.release_held_calls(now, |_| true),
            Effect::RemoteRunEnded(key) => self.on_run_ended_elsewhere(key),
            Effect::CancelQueued(key) => self.recall_queued_run(now, key),
            Effect::ViewOutdated => self.outputs.push(Output::ReadLog),
            Effect::Expelled => self.expel(now),
            Effect::InvariantViolation(fault) => {
                debug_assert!(false, "{fault:?}");
                self.count(Counter::InvariantViolated);
            }
        }
    }

    /// A run at an earlier home has ended: whoever waits here begins again and finds its end.
    fn on_run_ended_elsewhere(&mut self, key: KeyHash) {
        if self
            .key_runs
            .get(&key)
            .is_none_or(|work| work.run.is_some())
        {
            return;
        }
        let Some(work) = self.key_runs.swap_remove(&key) else {
            return;
        };
        let outcome = match self.home.lookup(key) {
            BeginResult::Done(response) => Outcome::Completed(response),
            BeginResult::NotRun(reason) => self.not_run(reason),
            _ => Outcome::Unknown(Reason::RecordLost),
        };
        for id in work.waiting_calls {
            self.answer_call(id, 0, outcome.clone());
        }
    }

    /// A queued run is taken back, because its slot moves; its callers go to the new home.
    fn recall_queued_run(&mut self, now: Time, key: KeyHash) {
        let run = self.key_runs.get(&key).and_then(|work| work.run);
        let Some(run) = run.filter(|run| self.server.cancel(run.number)) else {
            return;
        };
        let refusal = self.refusal(Reason::Moving);
        self.end_job(now, run, Outcome::NotRun(refusal));
    }

    /// An incarnation that departed never comes back. One that never saw itself in a view has
    /// nothing to hand over and ends at once; left running, it would ask to join for ever.
    pub(crate) fn check_departed(&mut self, now: Time) {
        let departed = self
            .journal
            .departed
            .contains_key(&self.own_instance.incarnation);
        if departed && !self.home.has_joined() && !self.stopping {
            self.expel(now);
        }
    }

    /// The views leave this incarnation out for good. It takes nothing new, ends what is in
    /// flight, and the shell starts another incarnation.
    pub(crate) fn expel(&mut self, now: Time) {
        self.count(Counter::Expelled);
        self.on_stop(now);
    }
}
