//! The log's stream, as every reader folds it.

use crate::error::CommandError;
use journal::State;
use logservice::LogClient;
use logservice::LogError;
use std::net::SocketAddr;
use std::time::Duration;

/// The stream and what it says so far.
pub(crate) struct Stream {
    pub(crate) log: LogClient,
    pub(crate) state: State,
}

impl Stream {
    pub(crate) fn new(log: SocketAddr, name: &str) -> Self {
        Self {
            log: LogClient::new(&log.to_string(), name),
            state: State::default(),
        }
    }

    /// A stream that was read to its end.
    pub(crate) async fn open(log: SocketAddr, name: &str) -> Result<Self, CommandError> {
        let mut stream = Self::new(log, name);
        stream.read().await?;
        if stream.state.is_scanning() {
            return Err(CommandError::NoState);
        }
        Ok(stream)
    }

    /// Reads to the end.
    pub(crate) async fn read(&mut self) -> Result<(), LogError> {
        loop {
            let batch = self
                .log
                .read(self.state.read_from(), Duration::ZERO)
                .await?;
            self.state.expired_before(batch.first);
            for (offset, record) in &batch.records {
                self.state.apply(*offset, record);
            }
            if self.state.read_from() >= batch.end || batch.records.is_empty() {
                return Ok(());
            }
        }
    }
}
