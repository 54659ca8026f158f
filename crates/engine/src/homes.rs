//! Calls with a key, at the key's home.

use crate::serve::Inbound;
use crate::serve::JobOwner;
use crate::serve::Work;
use crate::Counter;
use crate::Engine;
use once::Begin;
use once::End;
use proto::Call;
use proto::CallId;
use proto::KeyHash;
use proto::Outcome;
use proto::Reason;
use proto::RunId;
use stdx::Time;

/// The run of a key that is under way here.
#[derive(Debug)]
pub(crate) struct KeyWork {
    run: RunId,
    waiting: Vec<CallId>,
}

impl Engine {
    pub(crate) fn on_home_call(&mut self, now: Time, call: Call) {
        let (id, allowance) = (call.id, call.allowance);
        let Some((key, fingerprint)) = call.key else {
            return self.answer_call(id, allowance, self.not_run(Reason::BadKey));
        };
        match self.home.begin(now, key, fingerprint) {
            Begin::Start => self.start_key(now, key, call),
            Begin::Attach => self.attach(key, id, allowance),
            Begin::Done(response) => {
                self.count(Counter::Replayed);
                self.answer_call(id, allowance, Outcome::Whole(response));
            }
            Begin::NotRun(reason) => self.answer_call(id, allowance, self.not_run(reason)),
            Begin::Unknown => {
                self.answer_call(id, allowance, Outcome::Unknown(Reason::RecordLost));
            }
            Begin::AttachAt(_) | Begin::Wait => {
                self.answer_call(id, allowance, self.not_run(Reason::Moving));
            }
        }
    }

    fn start_key(&mut self, now: Time, key: KeyHash, call: Call) {
        let id = call.id;
        let run = self.new_job(now, JobOwner::Key(key), call);
        self.keys.insert(
            key,
            KeyWork {
                run,
                waiting: vec![id],
            },
        );
        self.inbound.insert(
            id,
            Inbound {
                work: Work::Key(key),
            },
        );
        self.offer(now, run);
    }

    /// A re-send waits for the run in flight, and gives its own allowance back unspent.
    fn attach(&mut self, key: KeyHash, id: CallId, allowance: u16) {
        let Some(work) = self.keys.get_mut(&key) else {
            return self.answer_call(id, allowance, Outcome::Unknown(Reason::RecordLost));
        };
        work.waiting.push(id);
        self.inbound.insert(
            id,
            Inbound {
                work: Work::Key(key),
            },
        );
        self.count(Counter::Attached);
    }

    /// The run of a key has ended: the record first, then everyone who waits.
    pub(crate) fn end_key(&mut self, now: Time, key: KeyHash, unspent: u16, outcome: Outcome) {
        let end = match &outcome {
            Outcome::Whole(response) => End::Done(response.clone()),
            Outcome::NotRun(_) => End::NotRun,
            Outcome::Unknown(_) => End::Unknown,
        };
        self.home.finish(now, key, end);
        let Some(work) = self.keys.swap_remove(&key) else {
            return;
        };
        for (id, first) in work.waiting.into_iter().zip((0..).map(|n| n == 0)) {
            let unspent = if first { unspent } else { 0 };
            self.answer_call(id, unspent, outcome.clone());
        }
    }

    /// A caller has gone. A run that began goes on and keeps its record; only one that nobody
    /// waits for any more and that never left the queue is taken back.
    pub(crate) fn cancel_key(&mut self, now: Time, key: KeyHash, id: CallId) {
        self.inbound.swap_remove(&id);
        let Some(work) = self.keys.get_mut(&key) else {
            return;
        };
        work.waiting.retain(|waiting| *waiting != id);
        let run = work.run;
        if work.waiting.is_empty() && self.withdraw(run) {
            self.withdraw_job(now, run);
        }
    }
}
