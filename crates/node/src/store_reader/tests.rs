//! Readers of a store that is silent for a while, replayed on times in milliseconds.

use super::Follow;
use super::StoreBackoff;
use super::TopicRead;
use super::MAX_BACKOFF;
use crate::platform_mode::MONITOR_POLL_TIMEOUT;
use platform::StoreError;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use std::ops::Range;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::Instant;

/// When the store falls silent and when it answers again. A call that overlaps this gets no answer.
const SILENCE: std::ops::Range<u64> = 2170..11_490;

/// When the store acknowledges a new version, and when it has to be in force at all nodes.
const ACKNOWLEDGED_AT: u64 = 11_960;
const DUE_AT: u64 = ACKNOWLEDGED_AT + 2500;

/// How long it takes until all other nodes have a version that one of them has read.
const SPREAD_MS: u64 = 300;

const POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// A call ends this long after the time for which it waits, if it gets no answer.
const CALL_TIMEOUT: u64 = 2000;

fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// When a reader whose first read ends with an error at `lost_at` has read the new version.
fn version_read_at(lost_at: u64, rng: &mut StdRng) -> u64 {
    let mut backoff = StoreBackoff::new();
    let mut call_time = POLL_TIMEOUT + Duration::from_millis(CALL_TIMEOUT);
    let mut ended_at = lost_at;
    loop {
        backoff.record_failure();
        let begun_at = ended_at + ms(backoff.next_delay(call_time, rng.random_range(0.5..1.0)));
        let poll = backoff.poll_timeout(POLL_TIMEOUT);
        if begun_at >= SILENCE.end {
            return begun_at.max(ACKNOWLEDGED_AT);
        }
        call_time = poll + Duration::from_millis(CALL_TIMEOUT);
        ended_at = begun_at + ms(call_time);
    }
}

/// The store is silent for nine seconds, and a new version follows its return. The readers of all
/// failure domains lost the store at the same time. If each waited for new records with its next
/// read, that read would hang on a dead connection long after the store is back, and the version
/// would be late everywhere.
#[test]
fn version_after_a_silence_of_the_store_is_read_in_time() {
    for lost_at in (4_200..11_400).step_by(20) {
        let mut rng = StdRng::seed_from_u64(lost_at);
        let readers = (0..12).map(|n| version_read_at(lost_at + n * 12, &mut rng));
        let first = readers.min().unwrap_or(u64::MAX);
        assert!(
            first + SPREAD_MS <= DUE_AT,
            "lost at {lost_at}, read at {first}"
        );
    }
}

/// A store that refuses calls at once must not be called in a loop: the delay grows, and a success
/// resets it.
#[test]
fn delay_grows_while_calls_fail_at_once() {
    let mut backoff = StoreBackoff::new();
    let mut delays = Vec::new();
    for _ in 0..5 {
        backoff.record_failure();
        delays.push(ms(backoff.next_delay(Duration::ZERO, 1.0)));
    }
    assert_eq!(delays, [200, 400, 800, 1500, 1500]);
    assert_eq!(backoff.poll_timeout(POLL_TIMEOUT), Duration::ZERO);
    backoff.record_success("test");
    assert_eq!(backoff.poll_timeout(POLL_TIMEOUT), POLL_TIMEOUT);
    backoff.record_failure();
    assert_eq!(ms(backoff.next_delay(Duration::ZERO, 1.0)), 200);
}

/// Guards against rules that stay out of force for up to 12 s after a silent store has returned,
/// because the read that was started during the silence was waiting for new records.
#[tokio::test(start_paused = true)]
async fn reads_do_not_wait_for_new_records_until_the_store_has_answered() {
    let mut backoff = StoreBackoff::new();
    assert_eq!(backoff.poll_timeout(POLL_TIMEOUT), POLL_TIMEOUT);
    for _ in 0..5 {
        let failed_at = Instant::now();
        backoff
            .wait_after_failure("topic", Duration::ZERO, StoreError::NoResponse)
            .await;
        assert!(failed_at.elapsed() <= MAX_BACKOFF);
        assert_eq!(backoff.poll_timeout(POLL_TIMEOUT), Duration::ZERO);
    }
    backoff.record_success("topic");
    assert_eq!(backoff.poll_timeout(POLL_TIMEOUT), POLL_TIMEOUT);
}

/// A store with one topic, to which records are appended at set times. A read that overlaps the
/// silence gets no answer.
struct SilentStore {
    appends: Vec<Instant>,
    silence: Range<Instant>,
}

impl SilentStore {
    /// Returns the number of records once there are more than `from`, or when `wait` is over.
    async fn read(&self, from: Option<u64>, wait: Duration) -> Result<u64, StoreError> {
        let started = Instant::now();
        let answered = async {
            let next = from.and_then(|from| self.appends.get(from as usize));
            let at = next.map_or(started + wait, |at| (*at).min(started + wait));
            let at = at.max(started);
            if started < self.silence.end && at >= self.silence.start {
                std::future::pending::<()>().await;
            }
            sleep_until(at).await;
            let appended = self.appends.iter().filter(|at| **at <= Instant::now());
            appended.count() as u64
        };
        let call = wait + Duration::from_millis(CALL_TIMEOUT);
        let result = timeout(call, answered).await;
        result.map_err(|_| StoreError::NoResponse)
    }
}

/// How long after its acknowledgement the last version is read by a node whose reads wait for
/// `poll_timeout`.
async fn time_to_read(store: &SilentStore, poll_timeout: impl Fn() -> Duration) -> Duration {
    let last = store.appends.len() as u64;
    let is_read = Notify::new();
    let follow = Follow {
        topic: "test",
        is_reader: || true,
        poll_timeout,
        read_requested: &Notify::new(),
    };
    let read = async |from, wait| {
        let end = store.read(from, wait).await?;
        Ok(Some((end, end)))
    };
    let on_read = |read| {
        if matches!(read, TopicRead::Content(end) if end == last) {
            is_read.notify_one();
        }
    };
    tokio::select! {
        () = follow.run(read, on_read) => unreachable!(),
        () = is_read.notified() => {}
    }
    store.appends[store.appends.len() - 1].elapsed()
}

/// How long the store has answered again when the version of these tests is acknowledged.
const CALM_TIME: Duration = Duration::from_secs(3);

/// The time left for reading a version, if it has to be in force 2.5 s after its acknowledgement and
/// takes up to 1 s to reach all nodes.
const READ_TIME: Duration = Duration::from_millis(1500);

/// Guards against a version that comes late because all pending reads were lost in a silence of the
/// store that may be shorter than the time for which a read waits.
#[tokio::test(start_paused = true)]
async fn monitor_reads_version_in_time_after_any_silence() {
    for length_ms in [50, 300, 1000, 2000, 3500, 6000, 12_000] {
        for start_ms in (0..14_000).step_by(170) {
            for has_version_before in [false, true] {
                let begin = Instant::now() + Duration::from_secs(1);
                let start = begin + Duration::from_millis(start_ms);
                let end = start + Duration::from_millis(length_ms);
                let before = has_version_before.then(|| start - Duration::from_millis(300));
                let appends = before.into_iter().chain([end + CALM_TIME]);
                let store = SilentStore {
                    appends: appends.collect(),
                    silence: start..end,
                };
                let took = time_to_read(&store, || MONITOR_POLL_TIMEOUT).await;
                assert!(
                    took <= READ_TIME,
                    "silent from {start_ms} for {length_ms} ms, a version before: \
                     {has_version_before}: read after {took:?}"
                );
            }
        }
    }
}

/// Guards against a pending read that keeps the time-out with which it began, when the node has
/// become a monitor because the previous ones are gone.
#[tokio::test(start_paused = true)]
async fn pending_read_is_replaced_when_a_shorter_time_out_applies() {
    let begin = Instant::now();
    let store = SilentStore {
        appends: vec![begin + Duration::from_secs(6)],
        silence: begin + Duration::from_millis(50)..begin + Duration::from_millis(100),
    };
    let becomes_monitor_at = begin + Duration::from_secs(2);
    let took = time_to_read(&store, || match Instant::now() >= becomes_monitor_at {
        true => MONITOR_POLL_TIMEOUT,
        false => POLL_TIMEOUT,
    });
    assert!(took.await <= READ_TIME);
}
