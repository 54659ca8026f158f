//! What is due when.

use proto::CallId;
use proto::RunId;
use std::collections::BTreeSet;
use stdx::plain;
use stdx::Time;

plain! {
    /// What a timer is for.
    #[derive(PartialOrd, Ord)]
    pub(crate) enum Timer {
        /// A call's deadline.
        CallDeadline(CallId),
        /// A run takes longer than others.
        LateRun(RunId),
        /// Reports of suspects are due again.
        CrashReports,
        /// The deadline of work for the own backend server.
        RunDeadline(RunId),
        /// A call has waited for its slot for long enough.
        HeldCallTimeout(CallId),
        /// A stopping node has waited long enough for its slots to be taken.
        HandoverTimeout,
        /// A stopping node takes no new requests any more.
        StopGracePeriod,
        /// A call is to be sent again over a new connection.
        Reattach(CallId),
    }
}

/// Timers in the order in which they are due.
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

    /// Takes out a timer that is due.
    pub(crate) fn pop(&mut self, now: Time) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.due.pop_first().map(|(_, timer)| timer)
    }
}
