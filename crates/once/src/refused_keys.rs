//! Keys whose calls were refused a moment ago, while the refusals are on their way to the callers.
//!
//! A caller that reads "not run" assumes that nothing was done. If the home started another attempt
//! of the key as soon as it had refused one, that attempt could run before the refusal is read.

use indexmap::IndexMap;
use proto::CallId;
use proto::KeyHash;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::Time;

/// Maximum number of holds. Refusals beyond it are valid for their attempt only.
const MAX_HOLDS: usize = 4096;

/// A time during which a key starts no run.
#[derive(Debug)]
struct Hold {
    end: Time,
    /// The refused call; `None` if there are several.
    refused: Option<CallId>,
}

/// The keys that start no run for a short time after a refusal.
#[derive(Debug, Default)]
pub(crate) struct RefusedKeys {
    holds: IndexMap<KeyHash, Hold>,
    /// All holds in the order of their ends, which is that of their beginnings. A key may occur more
    /// than once.
    ends: VecDeque<(Time, KeyHash)>,
    /// The ends of the holds for which calls wait.
    awaited: BTreeSet<(Time, KeyHash)>,
}

impl RefusedKeys {
    /// Starts no run with this key until `duration` has passed, because this call was refused.
    /// Returns the end of the hold, or `None` if there are too many holds.
    pub(crate) fn hold(
        &mut self,
        now: Time,
        key: KeyHash,
        call: CallId,
        duration: Duration,
    ) -> Option<Time> {
        self.drop_ended(now);
        if self.ends.len() >= MAX_HOLDS {
            return None;
        }
        let end = now + duration;
        let others = self.holds.get(&key).is_some_and(|hold| hold.end > now);
        let refused = Some(call).filter(|_| !others);
        self.holds.insert(key, Hold { end, refused });
        self.ends.push_back((end, key));
        Some(end)
    }

    /// Whether a call with this key has to wait. If so, [`RefusedKeys::take_due`] will return the
    /// key.
    pub(crate) fn must_wait(&mut self, now: Time, key: KeyHash) -> bool {
        let hold = self.holds.get(&key).filter(|hold| hold.end > now);
        self.awaited.extend(hold.map(|hold| (hold.end, key)));
        hold.is_some()
    }

    /// Ends the hold of a key if it is due to this call alone, whose refusal will not be delivered.
    pub(crate) fn release(&mut self, key: KeyHash, call: CallId) {
        if self
            .holds
            .get(&key)
            .is_some_and(|hold| hold.refused == Some(call))
        {
            self.holds.swap_remove(&key);
        }
    }

    /// When a hold ends for which calls wait.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.awaited.first().map(|(end, _)| *end)
    }

    /// Removes and returns a key whose hold has ended and for which calls wait.
    pub(crate) fn take_due(&mut self, now: Time) -> Option<KeyHash> {
        self.next_due().filter(|end| *end <= now)?;
        self.awaited.pop_first().map(|(_, key)| key)
    }

    fn drop_ended(&mut self, now: Time) {
        while let Some((end, key)) = self.ends.front().copied().filter(|(end, _)| *end <= now) {
            self.ends.pop_front();
            if self.holds.get(&key).is_some_and(|hold| hold.end == end) {
                self.holds.swap_remove(&key);
            }
        }
    }
}
