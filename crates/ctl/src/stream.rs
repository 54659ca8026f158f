//! Reads and appends to the store's stream of rules and views, and computes the state from its
//! records as every node does.

use crate::error::CommandError;
use journal::Record;
use journal::State;
use platform::Records;
use platform::StoreClient;
use platform::StoreError;
use platform::StoreRecord;
use std::net::SocketAddr;
use std::time::Duration;

/// A stream in the store and the state after the records read so far.
pub(crate) struct Stream {
    store: StoreClient,
    topic: String,
    pub(crate) state: State,
}

impl Stream {
    /// Opens a stream and computes its state from the newest record of each key.
    pub(crate) async fn open(store: SocketAddr, name: &str) -> Result<Self, CommandError> {
        let mut stream = Self {
            store: StoreClient::new(store),
            topic: platform::stream_topic(name),
            state: State::default(),
        };
        stream.load_newest().await?;
        Ok(stream)
    }

    /// Replaces the state by one loaded from the newest record of each key.
    async fn load_newest(&mut self) -> Result<(), StoreError> {
        let newest = self.store.newest_records(&self.topic).await?;
        let end_offset = newest.end_offset;
        let values = newest.records.into_iter();
        let values = values.map(|record| (record.offset, record.value)).collect();
        self.state = State::from_newest(&journal::sorted_before(values, end_offset), end_offset);
        Ok(())
    }

    /// Applies the records up to the end of the stream. Starts over from the newest records if the
    /// next one has expired.
    pub(crate) async fn catch_up(&mut self) -> Result<(), StoreError> {
        loop {
            let next_offset = self.state.next_offset;
            match self
                .store
                .read(&self.topic, next_offset, Duration::ZERO)
                .await?
            {
                Records::Expired { .. } => self.load_newest().await?,
                Records::Available {
                    records,
                    end_offset,
                    ..
                } => {
                    for record in &records {
                        self.state.apply(record.offset, &record.value);
                    }
                    if self.state.next_offset >= end_offset || records.is_empty() {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Appends a record, provided that nothing was appended since the stream was last read.
    pub(crate) async fn append(&self, record: &Record) -> Result<u64, StoreError> {
        let expected_end = Some(self.state.next_offset);
        self.store
            .append(&self.topic, expected_end, &record.entries())
            .await
    }

    /// All records that the store still retains.
    pub(crate) async fn retained_records(&self) -> Result<Vec<StoreRecord>, StoreError> {
        let mut retained = Vec::new();
        let mut from = 0;
        loop {
            match self.store.read(&self.topic, from, Duration::ZERO).await? {
                Records::Expired { oldest_offset } => from = oldest_offset,
                Records::Available {
                    records,
                    next_offset,
                    end_offset,
                } => {
                    let at_end = next_offset >= end_offset || records.is_empty();
                    retained.extend(records);
                    from = next_offset;
                    if at_end {
                        return Ok(retained);
                    }
                }
            }
        }
    }
}
