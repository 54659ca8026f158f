//! Runs whose slot has moved to another home.

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

/// A run on this node whose slot has moved, kept until the new home has stored its outcome.
#[derive(Debug)]
pub(crate) struct MovedRun {
    pub(crate) fingerprint: Fingerprint,
    /// `None` while the run is in flight.
    pub(crate) outcome: Option<RunOutcome>,
    /// When to send the outcome to the new home, or to send it again.
    pub(crate) send_at: Option<Time>,
    /// When to stop sending the outcome.
    pub(crate) give_up_at: Option<Time>,
}

impl MovedRun {
    pub(crate) fn running(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            outcome: None,
            send_at: None,
            give_up_at: None,
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        self.outcome.is_none()
    }

    pub(crate) fn begin_result(&self, fingerprint: Fingerprint) -> BeginResult {
        if self.fingerprint != fingerprint {
            return BeginResult::NotRun(Reason::KeyMismatch);
        }
        match &self.outcome {
            None => BeginResult::Attach,
            Some(RunOutcome::Done(response)) => BeginResult::Done(response.clone()),
            Some(RunOutcome::Unknown) => BeginResult::Unknown,
            Some(RunOutcome::NotRun) => BeginResult::NotRun(Reason::Moving),
        }
    }

    pub(crate) fn to_message(&self, key: KeyHash, retention: Duration) -> Option<KeyRecord> {
        let state = match self.outcome.as_ref()? {
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
