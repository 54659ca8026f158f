//! Tests the clock on the runtime's paused clock, with a simulated boot-time clock.

use super::Clock;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use stdx::Time;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A clock, and the offset of its simulated boot-time clock.
fn clock() -> (Clock, Rc<Cell<Duration>>) {
    let boot_offset = Rc::new(Cell::new(ms(70_000)));
    let test_offset = boot_offset.clone();
    (
        Clock::with_boot_offset(Box::new(move || test_offset.get())),
        boot_offset,
    )
}

/// A machine is suspended for five seconds, which its monotonic clock does not count. A lease of
/// three seconds must have expired when it wakes up, or two nodes would start the same order.
#[tokio::test(start_paused = true)]
async fn time_includes_suspension() {
    let (clock, boot_offset) = clock();
    tokio::time::advance(ms(100)).await;
    assert_eq!(clock.now(), Time::ZERO + ms(100));
    boot_offset.set(ms(75_000));
    assert_eq!(clock.now(), Time::ZERO + ms(5_100));
    tokio::time::advance(ms(50)).await;
    assert_eq!(clock.now(), Time::ZERO + ms(5_150));
}

/// The two clocks are not read at the same instant, so their difference varies slightly. This must
/// not make time go back.
#[tokio::test(start_paused = true)]
async fn small_clock_differences_are_ignored() {
    let (clock, boot_offset) = clock();
    for offset in [70_003, 69_990, 70_009] {
        boot_offset.set(ms(offset));
        assert_eq!(clock.now(), Time::ZERO);
        assert_eq!(clock.take_suspension(), None);
    }
    boot_offset.set(ms(71_000));
    assert_eq!(clock.take_suspension(), Some(ms(1_000)));
    assert_eq!(clock.take_suspension(), None);
    boot_offset.set(ms(70_500));
    assert_eq!(clock.now(), Time::ZERO + ms(1_000));
}

/// After a suspension, a timer fires when the runtime's clock has advanced by the remaining time.
#[tokio::test(start_paused = true)]
async fn timer_deadlines_account_for_suspension() {
    let (clock, boot_offset) = clock();
    let due = Time::ZERO + ms(6_000);
    boot_offset.set(ms(75_000));
    assert_eq!(clock.now(), Time::ZERO + ms(5_000));
    assert_eq!(
        clock.to_instant(due) - tokio::time::Instant::now(),
        ms(1_000)
    );
}

/// After wake-up something else, such as a gauge, reads the time first. The suspension must still
/// be reported, or the store would not be read again.
#[tokio::test(start_paused = true)]
async fn reading_the_time_does_not_consume_a_suspension() {
    let (clock, boot_offset) = clock();
    boot_offset.set(ms(75_000));
    assert_eq!(clock.now(), Time::ZERO + ms(5_000));
    assert_eq!(clock.take_suspension(), Some(ms(5_000)));
    assert_eq!(clock.take_suspension(), None);
}
