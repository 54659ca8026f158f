//! Recent answers, for calls that are sent again over a new connection.

use indexmap::IndexMap;
use proto::Answer;
use proto::CallId;
use proto::Incarnation;
use proto::Outcome;
use std::collections::VecDeque;
use stdx::BoundedMap;

/// The maximum number of cached answers. A silent connection is detected within a few seconds; one
/// node gives fewer answers than this in that time.
const MAX_ANSWERS: usize = 4096;

/// The maximum total size of the cached responses, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The maximum number of calling nodes for which the highest evicted call number is kept; several
/// times the number of nodes in the fleet.
const MAX_CALLERS: usize = 4096;

/// A bounded cache of recent answers.
///
/// An abandoned connection may still deliver its frames after the same calls have been received
/// over the next connection and answered, and the answer may have been evicted by then. If such a
/// frame were treated as a new call, the call would run although its caller may have been told that
/// it did not. So for each calling node the cache keeps the highest call number that was evicted: a
/// call up to that number that is not in the cache may have been answered before.
#[derive(Debug)]
pub(crate) struct AnswerCache {
    answers: IndexMap<CallId, Answer>,
    /// The cached calls, oldest first.
    eviction_order: VecDeque<CallId>,
    /// The total size of the cached responses.
    bytes: usize,
    /// The highest number of an evicted call, by the node that sent it.
    evicted_up_to: BoundedMap<Incarnation, u64>,
}

/// The result of looking up a received call.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CachedAnswer<'a> {
    /// The call was answered with this.
    Found(&'a Answer),
    /// The call may have been answered before, and its answer evicted from the cache.
    PossiblyEvicted,
    /// The call was not answered.
    Absent,
}

impl AnswerCache {
    pub(crate) fn new() -> Self {
        Self {
            answers: IndexMap::new(),
            eviction_order: VecDeque::new(),
            bytes: 0,
            evicted_up_to: BoundedMap::new(MAX_CALLERS),
        }
    }

    pub(crate) fn get(&self, id: CallId) -> CachedAnswer<'_> {
        match self.answers.get(&id) {
            Some(answer) => CachedAnswer::Found(answer),
            None if self.may_be_evicted(id) => CachedAnswer::PossiblyEvicted,
            None => CachedAnswer::Absent,
        }
    }

    pub(crate) fn insert(&mut self, id: CallId, answer: Answer) {
        self.bytes += response_size(&answer);
        match self.answers.insert(id, answer) {
            Some(old) => self.bytes -= response_size(&old),
            None => self.eviction_order.push_back(id),
        }
        while self.answers.len() > MAX_ANSWERS || self.bytes > MAX_RESPONSE_BYTES {
            let Some(oldest) = self.eviction_order.pop_front() else {
                return;
            };
            self.evict(oldest);
        }
    }

    fn evict(&mut self, id: CallId) {
        if let Some(answer) = self.answers.swap_remove(&id) {
            self.bytes -= response_size(&answer);
        }
        match self.evicted_up_to.get_mut(&id.from) {
            Some(highest) => *highest = id.number.max(*highest),
            None => self.evicted_up_to.insert(id.from, id.number),
        }
    }

    /// Whether the answer to a call that is not in the cache may have been evicted. Also holds for
    /// a call that was never received, if a later call of the same node was evicted.
    fn may_be_evicted(&self, id: CallId) -> bool {
        let highest = self.evicted_up_to.get(&id.from);
        highest.is_some_and(|highest| id.number <= *highest)
    }
}

fn response_size(answer: &Answer) -> usize {
    match &answer.outcome {
        Outcome::Completed(response) => response.size(),
        Outcome::NotRun(_) | Outcome::Unknown(_) => 0,
    }
}
