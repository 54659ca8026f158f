//! When reads of the store wait for new records.

use super::StoreBackoff;
use super::MAX_BACKOFF;
use platform::StoreError;
use std::time::Duration;
use tokio::time::Instant;

const POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against rules that stay out of force for up to 12 s after a silent store has returned,
/// because the read that was started during the silence was waiting for new records.
#[tokio::test(start_paused = true)]
async fn reads_do_not_wait_for_new_records_until_the_store_has_answered() {
    let mut backoff = StoreBackoff::new();
    assert_eq!(backoff.read_wait(POLL_TIMEOUT), POLL_TIMEOUT);
    for _ in 0..5 {
        let failed_at = Instant::now();
        backoff
            .wait_after_failure("topic", StoreError::NoResponse)
            .await;
        assert!(failed_at.elapsed() <= MAX_BACKOFF);
        assert_eq!(backoff.read_wait(POLL_TIMEOUT), Duration::ZERO);
    }
    backoff.record_success("topic");
    assert_eq!(backoff.read_wait(POLL_TIMEOUT), POLL_TIMEOUT);
}
