//! Timers of the engine.

use proto::CallId;
use proto::RunId;
use std::collections::BTreeSet;
use stdx::plain;
use stdx::Time;

plain! {
    /// What a timer is for.
    #[derive(PartialOrd, Ord)]
    pub(crate) enum Timer {
        /// The deadline of a call.
        CallDeadline(CallId),
        /// A run counts as late.
        LateRun(RunId),
        /// Crash reports are to be sent again.
        CrashReports,
        /// The deadline of a job for this node's backend server.
        RunDeadline(RunId),
        /// A call stops waiting for the transfer of its slot.
        HeldCallTimeout(CallId),
        /// A stopping node stops waiting for its slots to be taken over.
        HandoverTimeout,
        /// A stopping node stops accepting new requests.
        StopGracePeriod,
        /// A call is to be sent again over a new connection.
        Reattach(CallId),
    }
}

/// Timers ordered by due time.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    due: BTreeSet<(Time, Timer)>,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Time, timer: Timer) {
        self.due.insert((at, timer));
    }

    pub(crate) fn clear(&mut self, at: Time, timer: Timer) {
        self.due.remove(&(at, timer));
    }

    pub(crate) fn next(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Removes a timer that is due, if there is one.
    pub(crate) fn pop(&mut self, now: Time) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.due.pop_first().map(|(_, timer)| timer)
    }
}
