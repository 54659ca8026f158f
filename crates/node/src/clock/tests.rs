//! The node's time on the runtime's paused clock, with a boot-time clock of the test's own.

use super::Clock;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use stdx::Time;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A clock, and the lead of its boot-time clock.
fn clock() -> (Clock, Rc<Cell<Duration>>) {
    let lead = Rc::new(Cell::new(ms(70_000)));
    let told = lead.clone();
    (Clock::with_lead(Box::new(move || told.get())), lead)
}

/// A machine is suspended for five seconds, and its steady clock does not count them. A lease of three
/// seconds must be over when it wakes, or two nodes would start the same order.
#[tokio::test(start_paused = true)]
async fn time_goes_on_while_the_machine_is_suspended() {
    let (clock, lead) = clock();
    tokio::time::advance(ms(100)).await;
    assert_eq!(clock.now(), Time::ZERO + ms(100));
    lead.set(ms(75_000));
    assert_eq!(clock.now(), Time::ZERO + ms(5_100));
    tokio::time::advance(ms(50)).await;
    assert_eq!(clock.now(), Time::ZERO + ms(5_150));
}

/// The two clocks are not read at once, so their distance is never quite the same. Time must not
/// go back for that.
#[tokio::test(start_paused = true)]
async fn small_differences_change_nothing() {
    let (clock, lead) = clock();
    for other in [70_003, 69_990, 70_009] {
        lead.set(ms(other));
        assert_eq!(clock.now(), Time::ZERO);
        assert_eq!(clock.notice_suspension(), None);
    }
    lead.set(ms(71_000));
    assert_eq!(clock.notice_suspension(), Some(ms(1_000)));
    assert_eq!(clock.notice_suspension(), None);
    lead.set(ms(70_500));
    assert_eq!(clock.now(), Time::ZERO + ms(1_000));
}

/// A timer that is due after the suspension fires when the runtime's clock has come as far as is left.
#[tokio::test(start_paused = true)]
async fn timers_are_due_by_what_is_left() {
    let (clock, lead) = clock();
    let due = Time::ZERO + ms(6_000);
    lead.set(ms(75_000));
    assert_eq!(clock.now(), Time::ZERO + ms(5_000));
    assert_eq!(clock.instant(due) - tokio::time::Instant::now(), ms(1_000));
}

/// Something else asks for the time first after the machine has woken, a gauge for example. The
/// suspension must be told all the same, or the store would not be read anew.
#[tokio::test(start_paused = true)]
async fn asking_for_the_time_hides_no_suspension() {
    let (clock, lead) = clock();
    lead.set(ms(75_000));
    assert_eq!(clock.now(), Time::ZERO + ms(5_000));
    assert_eq!(clock.notice_suspension(), Some(ms(5_000)));
    assert_eq!(clock.notice_suspension(), None);
}
