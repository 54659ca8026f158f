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
const MAX_BYTES: usize = 4 << 20;

/// The most callers' nodes of which forgotten answers are remembered; several times the fleet.
const MAX_NODES: usize = 4096;

/// Answers given lately.
///
/// A connection that is given up may still deliver its frames, after the same calls came over the
/// next one and were answered. If such a frame were taken for a new call when its answer has been
/// forgotten, work would run that its caller was told had not run. So what is forgotten is
/// remembered as a number: up to it, a call that is not in the table may have been answered before.
#[derive(Debug)]
pub(crate) struct Answered {
    answers: IndexMap<CallId, Answer>,
    order: VecDeque<CallId>,
    bytes: usize,
    forgotten: BoundedMap<Incarnation, u64>,
}

/// What is known of a call that has come.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Seen<'a> {
    /// It was answered with this.
    Answered(&'a Answer),
    /// It may have been answered; nobody can tell any more.
    Forgotten,
    /// It was not answered.
    Never,
}

impl Answered {
    pub(crate) fn new() -> Self {
        Self {
            answers: IndexMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            forgotten: BoundedMap::new(MAX_NODES),
        }
    }

    pub(crate) fn get(&self, id: CallId) -> Seen<'_> {
        match self.answers.get(&id) {
            Some(answer) => Seen::Answered(answer),
            None if self.is_forgotten(id) => Seen::Forgotten,
            None => Seen::Never,
        }
    }

    pub(crate) fn insert(&mut self, id: CallId, answer: Answer) {
        self.bytes += size(&answer);
        match self.answers.insert(id, answer) {
            Some(old) => self.bytes -= size(&old),
            None => self.order.push_back(id),
        }
        while self.answers.len() > MAX_ANSWERS || self.bytes > MAX_BYTES {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.forget(oldest);
        }
    }

    fn forget(&mut self, id: CallId) {
        if let Some(answer) = self.answers.swap_remove(&id) {
            self.bytes -= size(&answer);
        }
        match self.forgotten.get_mut(&id.from) {
            Some(highest) => *highest = id.number.max(*highest),
            None => self.forgotten.insert(id.from, id.number),
        }
    }

    fn is_forgotten(&self, id: CallId) -> bool {
        let highest = self.forgotten.get(&id.from);
        highest.is_some_and(|highest| id.number <= *highest)
    }
}

fn size(answer: &Answer) -> usize {
    match &answer.outcome {
        Outcome::Completed(response) => response.size(),
        Outcome::NotRun(_) | Outcome::Unknown(_) => 0,
    }
}
