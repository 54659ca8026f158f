//! Runs whose slot has moved on to another home.

use crate::records::to_ms;
use crate::BeginResult;
use crate::RunOutcome;
use proto::Fingerprint;
use proto::KeyHash;
use proto::KeyRecord;
use proto::Reason;
use proto::RecordState;
use std::time::Duration;
use stdx::Time;

/// A run of this node whose slot has moved on, until the new home knows its end.
#[derive(Debug)]
pub(crate) struct Moved {
    pub(crate) fingerprint: Fingerprint,
    /// `None` while it runs.
    pub(crate) end: Option<RunOutcome>,
    /// When to tell the new home, again.
    pub(crate) send_at: Option<Time>,
    /// When to stop telling.
    pub(crate) give_up: Option<Time>,
}

impl Moved {
    pub(crate) fn running(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            end: None,
            send_at: None,
            give_up: None,
        }
    }

    /// Whether the run has not ended yet.
    pub(crate) fn is_running(&self) -> bool {
        self.end.is_none()
    }

    pub(crate) fn begin(&self, fingerprint: Fingerprint) -> BeginResult {
        if self.fingerprint != fingerprint {
            return BeginResult::NotRun(Reason::KeyMismatch);
        }
        match &self.end {
            None => BeginResult::Attach,
            Some(RunOutcome::Done(response)) => BeginResult::Done(response.clone()),
            Some(RunOutcome::Unknown) => BeginResult::Unknown,
            Some(RunOutcome::NotRun) => BeginResult::NotRun(Reason::Moving),
        }
    }

    pub(crate) fn to_message(&self, key: KeyHash, retention: Duration) -> Option<KeyRecord> {
        let state = match self.end.as_ref()? {
            RunOutcome::Done(response) => RecordState::Done(response.clone()),
            RunOutcome::NotRun => RecordState::NotRun,
            RunOutcome::Unknown => RecordState::Unknown,
        };
        Some(KeyRecord {
            key,
            fingerprint: self.fingerprint,
            state,
            retention_ms: to_ms(retention),
        })
    }
}
