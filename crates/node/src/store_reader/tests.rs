//! Readers of a store that is silent for a while, replayed on times in milliseconds.

use super::StoreBackoff;
use super::MAX_BACKOFF;
use platform::StoreError;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use std::time::Duration;
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
