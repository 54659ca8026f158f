//! Calls with an idempotency key, at the key's home node.

use crate::job::JobOwner;
use crate::key_refusals::WaitingCall;
use crate::serve::InboundCall;
use crate::serve::InboundWork;
use crate::timers::Timer;
use crate::Counter;
use crate::Engine;
use crate::Output;
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

/// The run of a key that is in progress.
#[derive(Debug)]
pub(crate) struct KeyRun {
    /// `None` if the run is at an earlier home node.
    run: Option<RunId>,
    /// The calls that are answered when the run ends.
    waiting_calls: Vec<WaitingCall>,
}

impl Engine {
    /// Starts a run for a call, attaches the call to one, holds it, or answers it from the record.
    pub(crate) fn on_keyed_call(&mut self, now: Time, call: Call) {
        self.begin_keyed_call(now, now, call);
    }

    /// Handles a call that has just arrived, or that was held since it arrived.
    pub(crate) fn begin_keyed_call(&mut self, now: Time, arrived: Time, call: Call) {
        let (id, allowance) = (call.id, call.retry_allowance);
        let Some((key, fingerprint)) = call.key else {
            return self.answer_call(id, allowance, self.not_run(Reason::BadKey));
        };
        let waiting = WaitingCall {
            id,
            arrived,
            first_attempt: call.first_attempt,
        };
        match self.home.begin(now, key, fingerprint, call.first_attempt) {
            BeginResult::Start => self.start_keyed_run(now, key, waiting, call),
            BeginResult::Attach => self.attach_to_run(key, waiting),
            BeginResult::Done(response) => {
                self.count(Counter::ResponseReplayed);
                self.answer_call(id, allowance, Outcome::Completed(response));
            }
            BeginResult::NotRun(reason) => {
                self.answer_keyed_call(now, key, &waiting, allowance, self.not_run(reason))
            }
            BeginResult::Unknown => {
                self.answer_call(id, allowance, Outcome::Unknown(Reason::RecordLost));
            }
            BeginResult::Wait => self.hold_call(now, arrived, key, call),
        }
    }

    fn start_keyed_run(&mut self, now: Time, key: KeyHash, waiting: WaitingCall, call: Call) {
        let id = call.id;
        let run = self.new_job(now, JobOwner::Key(key), call);
        self.key_runs.insert(
            key,
            KeyRun {
                run: Some(run),
                waiting_calls: vec![waiting],
            },
        );
        self.add_waiting_call(key, id);
        self.offer(now, run);
    }

    /// Attaches a repeated call to the run in progress. The retries delegated with the call count
    /// as spent and are not returned: too few retries do no harm, whereas too many would exceed the
    /// allowance of the action.
    fn attach_to_run(&mut self, key: KeyHash, waiting: WaitingCall) {
        let id = waiting.id;
        let key_run = self.key_runs.entry(key).or_insert_with(|| KeyRun {
            run: None,
            waiting_calls: Vec::new(),
        });
        key_run.waiting_calls.push(waiting);
        self.add_waiting_call(key, id);
        self.count(Counter::ResendAttached);
    }

    /// Adds a call that waits for a key to the table of inbound calls that are not answered yet.
    fn add_waiting_call(&mut self, key: KeyHash, id: CallId) {
        let work = InboundWork::Key(key);
        self.inbound.insert(id, InboundCall { work });
    }

    /// Ends the run of a key: first updates its record, then answers all calls that wait for it.
    pub(crate) fn finish_keyed_run(
        &mut self,
        now: Time,
        key: KeyHash,
        unspent: u16,
        outcome: Outcome,
    ) {
        let run_outcome = match &outcome {
            Outcome::Completed(response) => RunOutcome::Done(response.clone()),
            Outcome::NotRun(_) => RunOutcome::NotRun,
            Outcome::Unknown(_) => RunOutcome::Unknown,
        };
        let effects = self.home.finish(now, key, run_outcome);
        let Some(key_run) = self.key_runs.swap_remove(&key) else {
            return self.apply_home(now, effects);
        };
        for (waiting, first) in key_run.waiting_calls.into_iter().zip((0..).map(|n| n == 0)) {
            let unspent = if first { unspent } else { 0 };
            self.answer_keyed_call(now, key, &waiting, unspent, outcome.clone());
        }
        self.apply_home(now, effects);
    }

    /// Removes a call whose caller has disconnected. A run that has started continues and keeps its
    /// record. It is withdrawn only if it is still queued and no other call waits for it.
    pub(crate) fn cancel_keyed_call(&mut self, now: Time, key: KeyHash, id: CallId) {
        self.inbound.swap_remove(&id);
        let Some(key_run) = self.key_runs.get_mut(&key) else {
            return;
        };
        key_run.waiting_calls.retain(|waiting| waiting.id != id);
        if !key_run.waiting_calls.is_empty() {
            return;
        }
        let run = key_run.run;
        match run {
            Some(run) if self.withdraw(run) => self.end_withdrawn_job(now, run),
            Some(_) => {}
            None => {
                self.key_runs.swap_remove(&key);
            }
        }
    }

    /// Checks whether a job may start now. Returns the time within which it must reach the backend
    /// server, if that is limited.
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

    /// Handles frames about slots and records, and returns `false` for all others.
    pub(crate) fn on_home_frame(&mut self, now: Time, from: Incarnation, frame: Frame) -> bool {
        let effects = match frame {
            Frame::Transfer(transfer) => self.home.on_transfer(now, *transfer),
            Frame::TransferAck { slot, view } => self.home.on_transfer_ack(now, from, slot, view),
            Frame::RunFinished(record) => self.home.on_run_finished(now, from, *record),
            Frame::RunFinishedAck(key) => self.home.on_run_finished_ack(now, key),
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

    /// Applies, one by one, the views of this service that are newer than the last one applied.
    ///
    /// If views in between are unknown, the newest one is applied as a baseline. That is so if a
    /// state that was fetched from a peer skips more views than its history covers, or if
    /// departures were dropped from the state before this node applied its first view.
    pub(crate) fn apply_new_views(&mut self, now: Time) {
        let Some(view) = self.journal.view(&self.own_instance.service) else {
            return;
        };
        if self.home.view_number() >= Some(view.number) {
            return;
        }
        let view = view.clone();
        let missed_views = match self.home.latest_view() {
            Some(known) => view.views_since(known),
            None if self.journal.last_forgotten.is_some() => None,
            None => view.history(),
        };
        let Some(missed_views) = missed_views else {
            let effects = self.home.on_baseline(now, &view);
            return self.apply_home(now, effects);
        };
        for view in missed_views {
            self.count(Counter::ViewApplied);
            let effects = self.home.on_view(now, &view);
            self.apply_home(now, effects);
        }
    }

    /// Stops starting runs of keys. Must be called before the `Leave` record of this node is
    /// appended.
    pub(crate) fn leave_home(&mut self, now: Time) {
        let effects = self.home.leave(now);
        self.apply_home(now, effects);
    }

    /// Whether other home nodes have taken over all slots, or have had enough time to do so.
    pub(crate) fn has_handed_over(&mut self, now: Time) -> bool {
        let leave_failed = self.is_listed() && self.log.leave_wait_ended();
        if leave_failed || (!self.is_listed() && self.home.is_handed_over()) {
            return true;
        }
        let deadline = *self.handover_deadline.get_or_insert_with(|| {
            let deadline = now + self.cfg.leave_timeout;
            self.timers.set(deadline, Timer::HandoverTimeout);
            deadline
        });
        deadline <= now
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
            Effect::SendRunFinished { to, record } => {
                self.send(&to, Frame::RunFinished(Box::new(record)))
            }
            Effect::AckRunFinished { to, key } => self.send(&to, Frame::RunFinishedAck(key)),
            Effect::MoveEnded(slot) => self.release_held_calls(now, |key| key.slot() == slot),
            Effect::RefusalHoldEnded(ended) => self.release_held_calls(now, |key| key == ended),
            Effect::LeaseAcquired => self.release_held_calls(now, |_| true),
            Effect::RemoteRunEnded(key) => self.on_run_ended_elsewhere(now, key),
            Effect::CancelQueued(key) => self.withdraw_queued_run(now, key),
            Effect::ViewOutdated => self.outputs.push(Output::ReadLog),
            Effect::Expelled => self.expel(now),
            Effect::InvariantViolation(fault) => {
                debug_assert!(false, "{fault:?}");
                self.count(Counter::InvariantViolated);
            }
        }
    }

    /// Answers the calls that wait here for a run at an earlier home node, which has ended.
    fn on_run_ended_elsewhere(&mut self, now: Time, key: KeyHash) {
        if self
            .key_runs
            .get(&key)
            .is_none_or(|key_run| key_run.run.is_some())
        {
            return;
        }
        let Some(key_run) = self.key_runs.swap_remove(&key) else {
            return;
        };
        let outcome = match self.home.lookup(key) {
            BeginResult::Done(response) => Outcome::Completed(response),
            BeginResult::NotRun(reason) => self.not_run(reason),
            _ => Outcome::Unknown(Reason::RecordLost),
        };
        for waiting in key_run.waiting_calls {
            self.answer_keyed_call(now, key, &waiting, 0, outcome.clone());
        }
    }

    /// Withdraws a queued run because its slot moves. Its callers are sent to the new home node.
    fn withdraw_queued_run(&mut self, now: Time, key: KeyHash) {
        let run = self.key_runs.get(&key).and_then(|key_run| key_run.run);
        let Some(run) = run.filter(|run| self.server.cancel(run.number)) else {
            return;
        };
        let refusal = self.refusal(Reason::Moving);
        self.end_job(now, run, Outcome::NotRun(refusal));
    }

    /// Stops this node if it has departed before it joined. A departed incarnation is never listed
    /// again, so the node would try to join forever. It has nothing to hand over.
    pub(crate) fn check_departed(&mut self, now: Time) {
        let departed = self
            .journal
            .departed
            .contains_key(&self.own_instance.incarnation);
        if departed && !self.home.has_joined() && !self.stopping {
            self.expel(now);
        }
    }

    /// Stops this node because the views no longer list its incarnation and never will again. It
    /// accepts no new work and finishes what is in flight; the node program then starts another
    /// incarnation.
    pub(crate) fn expel(&mut self, now: Time) {
        self.count(Counter::Expelled);
        self.on_stop(now);
    }
}
