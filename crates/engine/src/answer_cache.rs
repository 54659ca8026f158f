//! Answers given lately, for calls that come again over a new connection.

use indexmap::IndexMap;
use proto::Answer;
use proto::CallId;
use proto::Incarnation;
use proto::Outcome;
use std::collections::VecDeque;
use stdx::BoundedMap;

/// The most answers that are kept. A silent connection is noticed within a few seconds; this is
/// more than one node answers in that time.
const MAX_ANSWERS: usize = 4096;

/// The most bytes that the answers' bodies take up.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The most callers' nodes of which forgotten answers are remembered; several times the fleet.
const MAX_CALLERS: usize = 4096;

/// Answers given lately.
///
/// A connection that is given up may still deliver its frames, after the same calls came over the
/// next one and were answered. If such a frame were taken for a new call when its answer has been
/// forgotten, work would run that its caller was told had not run. So what is forgotten is
/// remembered as a number: up to it, a call that is not in the table may have been answered before.
#[derive(Debug)]
pub(crate) struct AnswerCache {
    answers: IndexMap<CallId, Answer>,
    order: VecDeque<CallId>,
    bytes: usize,
    evicted_up_to: BoundedMap<Incarnation, u64>,
}

/// What is known of a call that has come.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CachedAnswer<'a> {
    /// It was answered with this.
    Found(&'a Answer),
    /// It may have been answered; nobody can tell any more.
    Evicted,
    /// It was not answered.
    Absent,
}

impl AnswerCache {
    pub(crate) fn new() -> Self {
        Self {
            answers: IndexMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            evicted_up_to: BoundedMap::new(MAX_CALLERS),
        }
    }

    pub(crate) fn get(&self, id: CallId) -> CachedAnswer<'_> {
        match self.answers.get(&id) {
            Some(answer) => CachedAnswer::Found(answer),
            None if self.is_evicted(id) => CachedAnswer::Evicted,
            None => CachedAnswer::Absent,
        }
    }

    pub(crate) fn insert(&mut self, id: CallId, answer: Answer) {
        self.bytes += body_size(&answer);
        match self.answers.insert(id, answer) {
            Some(old) => self.bytes -= body_size(&old),
            None => self.order.push_back(id),
        }
        while self.answers.len() > MAX_ANSWERS || self.bytes > MAX_BODY_BYTES {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.evict(oldest);
        }
    }

    fn evict(&mut self, id: CallId) {
        if let Some(answer) = self.answers.swap_remove(&id) {
            self.bytes -= body_size(&answer);
        }
        match self.evicted_up_to.get_mut(&id.from) {
            Some(highest) => *highest = id.number.max(*highest),
            None => self.evicted_up_to.insert(id.from, id.number),
        }
    }

    fn is_evicted(&self, id: CallId) -> bool {
        let highest = self.evicted_up_to.get(&id.from);
        highest.is_some_and(|highest| id.number <= *highest)
    }
}

fn body_size(answer: &Answer) -> usize {
    match &answer.outcome {
        Outcome::Completed(response) => response.size(),
        Outcome::NotRun(_) | Outcome::Unknown(_) => 0,
    }
}
