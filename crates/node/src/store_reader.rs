//! Follows a topic of the store: reads the newest record of each key first, then later records.

#[cfg(test)]
mod tests;

use crate::metrics::add_bytes;
use crate::shell::Shell;
use engine::Input;
use platform::NewestRecords;
use platform::Records;
use platform::StoreError;
use platform::StoreRecord;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use stdx::Time;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long one read of the log waits for new records. A home node may rely on its lease only if it
/// has read the log to the end recently.
const LOG_POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after the first failed store call; doubled up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Longest delay after a failed store call. Nodes must find each other within two seconds of the
/// store's return.
const MAX_BACKOFF: Duration = Duration::from_millis(1500);

/// How often a node that leaves reading to its peers checks whether it has become a reader.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Exponential backoff for failed store calls. All nodes lose the store at the same time; random
/// jitter keeps them from reconnecting at the same time.
pub(crate) struct StoreBackoff {
    next_delay: Duration,
    /// Time of the first failure since the last successful call.
    down_since: Option<Instant>,
}

impl StoreBackoff {
    pub(crate) fn new() -> Self {
        Self {
            next_delay: MIN_BACKOFF,
            down_since: None,
        }
    }

    /// Waits before the next call after one that failed and took `call_time`. Logs the first failure
    /// after a successful call.
    pub(crate) async fn wait_after_failure(
        &mut self,
        call: &str,
        call_time: Duration,
        e: StoreError,
    ) {
        if self.record_failure() {
            let ms = call_time.as_millis();
            log::warn!("event=store_lost call={call} call_ms={ms} error=\"{e}\"");
        }
        let fraction = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.next_delay(call_time, fraction)).await;
    }

    /// Records a failed call. Returns whether it is the first one after a successful call.
    fn record_failure(&mut self) -> bool {
        let first = self.down_since.is_none();
        self.down_since.get_or_insert_with(Instant::now);
        first
    }

    /// The delay before the next call after one that failed and took `call_time`. A call that got no
    /// answer has taken so long that hardly any further delay is needed to limit the load, and
    /// another one could make a new version late after the store's return.
    fn next_delay(&mut self, call_time: Duration, fraction: f64) -> Duration {
        let delay = self.next_delay.mul_f64(fraction);
        self.next_delay = (self.next_delay * 2).min(MAX_BACKOFF);
        let min_delay = MIN_BACKOFF.mul_f64(fraction);
        delay.saturating_sub(call_time).max(min_delay)
    }

    /// How long the next read may wait for new records: not at all while the store is lost. The read
    /// would hang for that time on a connection on which no answer will come, although the store may
    /// be back.
    fn poll_timeout(&self, usual: Duration) -> Duration {
        match self.down_since {
            Some(_) => Duration::ZERO,
            None => usual,
        }
    }

    /// Resets the delay. Logs the end of an outage.
    pub(crate) fn record_success(&mut self, call: &str) {
        self.next_delay = MIN_BACKOFF;
        if let Some(since) = self.down_since.take() {
            let ms = since.elapsed().as_millis();
            log::info!("event=store_regained call={call} away_ms={ms}");
        }
    }
}

/// The result of one read.
pub(crate) enum StoreBatch {
    /// The newest record of each key.
    Newest(NewestRecords),
    /// Records in log order.
    Records {
        /// The records.
        records: Vec<StoreRecord>,
        /// Whether they reach the end of the topic.
        at_end: bool,
    },
}

/// A finished read of a topic that is followed.
pub(crate) enum TopicRead<T> {
    /// The read returned content.
    Content(T),
    /// The read failed.
    Failed,
}

/// How a topic is followed. All functions are called again for each read.
struct Follow<'a, R, P> {
    topic: &'a str,
    /// Whether this node reads the topic. Otherwise it leaves that to its peers, and reads once
    /// whenever `read_requested` is notified.
    is_reader: R,
    /// How long a read waits for new records, unless the store was lost and has not answered since.
    poll_timeout: P,
    read_requested: &'a Notify,
}

impl<R: Fn() -> bool, P: Fn() -> Duration> Follow<'_, R, P> {
    /// Follows the topic. `read` gets the offset to continue from, which is `None` at first and when
    /// the records there have expired, and returns the next offset with the content.
    ///
    /// A read on a connection that has gone silent blocks until its time-out. It is given up and
    /// replaced by a new one when `read_requested` is notified or a shorter `poll_timeout` applies.
    async fn run<T>(
        &self,
        read: impl AsyncFn(Option<u64>, Duration) -> Result<Option<(u64, T)>, StoreError>,
        on_read: impl Fn(TopicRead<T>),
    ) {
        let mut backoff = StoreBackoff::new();
        let mut from = None;
        loop {
            if !(self.is_reader)() {
                tokio::select! {
                    () = tokio::time::sleep(READER_CHECK_INTERVAL) => continue,
                    // Something is missing that the readers among the peers could not provide.
                    () = self.read_requested.notified() => {}
                }
            }
            let started = Instant::now();
            let wait = backoff.poll_timeout((self.poll_timeout)());
            let result = tokio::select! {
                result = read(from, wait) => result,
                () = self.read_requested.notified() => continue,
                () = self.shorter_timeout(wait) => continue,
            };
            match result {
                Ok(Some((next, content))) => {
                    from = Some(next);
                    backoff.record_success(self.topic);
                    on_read(TopicRead::Content(content));
                }
                Ok(None) => from = None,
                Err(e) => {
                    on_read(TopicRead::Failed);
                    let call_time = started.elapsed();
                    backoff.wait_after_failure(self.topic, call_time, e).await;
                }
            }
        }
    }

    /// Waits until a read may wait less than `wait` for new records.
    async fn shorter_timeout(&self, wait: Duration) {
        while (self.poll_timeout)() >= wait {
            tokio::time::sleep(READER_CHECK_INTERVAL).await;
        }
    }
}

/// Reads a topic for as long as `is_reader` holds, and passes each batch to `on_batch` with the
/// time at which it was requested. Each read waits up to `poll_timeout` for new records.
pub(crate) async fn follow_topic(
    shell: Rc<Shell>,
    topic: &str,
    poll_timeout: impl Fn(&Shell) -> Duration,
    is_reader: impl Fn(&Shell) -> bool,
    on_batch: impl Fn(&Rc<Shell>, Time, StoreBatch),
) {
    let follow = Follow {
        topic,
        is_reader: || is_reader(&shell),
        poll_timeout: || poll_timeout(&shell),
        read_requested: &shell.store_read_requested,
    };
    let read = async |from, wait| {
        let asked = shell.now();
        let read = read_once(&shell, topic, from, wait).await?;
        Ok(read.map(|(next, batch)| (next, (asked, batch))))
    };
    let on_read = |read| match read {
        TopicRead::Content((asked, batch)) => on_batch(&shell, asked, batch),
        TopicRead::Failed => shell.handle_input(Input::LogUnreachable),
    };
    follow.run(read, on_read).await;
}

/// Reads one batch and returns it with the offset to continue from. Without an offset, reads the
/// newest record of each key. Returns `None` if the records at the offset have expired.
async fn read_once(
    shell: &Rc<Shell>,
    topic: &str,
    from: Option<u64>,
    poll_timeout: Duration,
) -> Result<Option<(u64, StoreBatch)>, StoreError> {
    let Some(from) = from else {
        let newest = shell.store.newest_records(topic).await?;
        return Ok(Some((newest.end_offset, StoreBatch::Newest(newest))));
    };
    Ok(match shell.store.read(topic, from, poll_timeout).await? {
        Records::Available {
            records,
            next_offset,
            end_offset,
        } => {
            let at_end = next_offset >= end_offset;
            Some((next_offset, StoreBatch::Records { records, at_end }))
        }
        Records::Expired { .. } => None,
    })
}

/// Follows the log, the topic that holds views and rules.
pub(crate) async fn follow_log(shell: Rc<Shell>) {
    let topic = platform::stream_topic(&shell.settings.store_stream);
    let on_batch = |shell: &Rc<Shell>, _, batch| apply_log_batch(shell, batch);
    follow_topic(shell, &topic, |_| LOG_POLL_TIMEOUT, |_| true, on_batch).await;
}

/// Checks whether the log has newer rules.
pub(crate) fn check_rules(shell: &Rc<Shell>) {
    let shell = shell.clone();
    actix_rt::spawn(async move {
        let asked = shell.now();
        let topic = platform::stream_topic(&shell.settings.store_stream);
        let from = shell.engine.borrow().next_offset();
        let input = match read_once(&shell, &topic, Some(from), Duration::ZERO).await {
            Ok(Some((_, batch))) => {
                let is_complete = !matches!(batch, StoreBatch::Records { at_end: false, .. });
                apply_log_batch(&shell, batch);
                let version = shell.engine.borrow().rules_version();
                match is_complete {
                    true => Input::RulesChecked { asked, version },
                    false => Input::RulesCheckFailed,
                }
            }
            Ok(None) | Err(_) => Input::RulesCheckFailed,
        };
        shell.handle_input(input);
    });
}

fn apply_log_batch(shell: &Rc<Shell>, batch: StoreBatch) {
    match batch {
        StoreBatch::Newest(newest) => {
            let end = newest.end_offset;
            let values = offsets_and_values(shell, newest.records);
            shell.handle_input(Input::TopicSnapshot { values, end });
            shell.handle_input(Input::LogCaughtUp);
        }
        StoreBatch::Records { records, at_end } => {
            let records = offsets_and_values(shell, records);
            shell.handle_input(Input::Records(records));
            if at_end {
                shell.handle_input(Input::LogCaughtUp);
            }
        }
    }
}

/// Returns the offset and value of each record, and counts the bytes of the values.
fn offsets_and_values(shell: &Shell, records: Vec<StoreRecord>) -> Vec<(u64, bytes::Bytes)> {
    let with_offsets = records.into_iter().map(|record| {
        add_bytes(&shell.metrics.control_bytes.store_in, record.value.len());
        (record.offset, record.value)
    });
    with_offsets.collect()
}
