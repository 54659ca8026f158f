//! The stream of rules and views in the store, as every reader folds it.

use crate::error::CommandError;
use journal::Record;
use journal::State;
use platform::Item;
use platform::Records;
use platform::Store;
use platform::StoreError;
use std::net::SocketAddr;
use std::time::Duration;

/// The stream and what it says so far.
pub(crate) struct Stream {
    store: Store,
    topic: String,
    pub(crate) state: State,
}

impl Stream {
    /// A stream that was read to its end.
    pub(crate) async fn open(store: SocketAddr, name: &str) -> Result<Self, CommandError> {
        let mut stream = Self {
            store: Store::new(store),
            topic: platform::topic(name),
            state: State::default(),
        };
        stream.restart().await?;
        Ok(stream)
    }

    async fn restart(&mut self) -> Result<(), StoreError> {
        let newest = self.store.newest(&self.topic).await?;
        let end = newest.end;
        let values = newest.items.into_iter();
        let values = values.map(|item| (item.offset, item.value)).collect();
        self.state = State::from_newest(&journal::sorted_before(values, end), end);
        Ok(())
    }

    /// Reads to the end.
    pub(crate) async fn read(&mut self) -> Result<(), StoreError> {
        loop {
            let next = self.state.next_offset;
            match self.store.read(&self.topic, next, Duration::ZERO).await? {
                Records::Expired { .. } => self.restart().await?,
                Records::Some { items, end, .. } => {
                    for item in &items {
                        self.state.apply(item.offset, &item.value);
                    }
                    if self.state.next_offset >= end || items.is_empty() {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Appends a record if nothing was appended since the stream was read.
    pub(crate) async fn append(&self, record: &Record) -> Result<u64, StoreError> {
        let at = Some(self.state.next_offset);
        self.store.append(&self.topic, at, &record.entries()).await
    }

    /// The records that the store still has.
    pub(crate) async fn records(&self) -> Result<Vec<Item>, StoreError> {
        let mut all = Vec::new();
        let mut from = 0;
        loop {
            match self.store.read(&self.topic, from, Duration::ZERO).await? {
                Records::Expired { first } => from = first,
                Records::Some { items, next, end } => {
                    let done = next >= end || items.is_empty();
                    all.extend(items);
                    from = next;
                    if done {
                        return Ok(all);
                    }
                }
            }
        }
    }
}
