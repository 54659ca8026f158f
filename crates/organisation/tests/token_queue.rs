//! The queue of one organisation at one node: its bound, and its expectations.

use bilberry_organisation::TokenClaim;
use bilberry_organisation::TokenQueue;
use bilberry_organisation::TokenRank;
use bilberry_organisation::MAX_WAITING_PER_ORGANISATION;
use proto::OrganisationId;
use proto::TokenDemand;
use std::time::Duration;
use stdx::Time;

const START: Time = Time::from_micros(10_000_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn claim(priority: u8, latest_start: Time) -> TokenClaim {
    TokenClaim {
        rank: TokenRank {
            is_lookup: false,
            priority,
        },
        is_urgent: priority == 0,
        latest_start,
        wait_until: latest_start,
        max_wait: ms(1400),
        retry_limit: ms(1300),
        was_promised: false,
    }
}

fn demand(tokens: u16, urgent: u16) -> TokenDemand {
    TokenDemand {
        organisation: OrganisationId(4),
        tokens,
        urgent,
    }
}

/// Guards against an urgent request that is refused because patient ones fill the queue.
#[test]
fn urgent_request_displaces_the_least_urgent_of_a_full_queue() {
    let mut queue = TokenQueue::new(START);
    for number in 0..MAX_WAITING_PER_ORGANISATION as u64 {
        let (_, displaced) = queue.push(START, claim(2, START + ms(1000 + number)), number);
        assert_eq!(displaced, None);
    }
    let (_, displaced) = queue.push(START, claim(0, START + ms(400)), 1000);
    let last = MAX_WAITING_PER_ORGANISATION as u64 - 1;
    assert_eq!(displaced.map(|(_, number)| number), Some(last));
    let (_, displaced) = queue.push(START, claim(3, START + ms(400)), 1001);
    assert_eq!(displaced.map(|(_, number)| number), Some(1001));
    assert_eq!(queue.pop(START, 1).map(|(_, number)| number), Some(1000));
    assert_eq!(queue.len(), MAX_WAITING_PER_ORGANISATION - 1);
}

/// Guards against patient demand that is refused for a shortage of tokens for urgent work, and the
/// reverse.
#[test]
fn shortage_of_one_kind_does_not_refuse_the_other() {
    let mut queue: TokenQueue<u64> = TokenQueue::new(START);
    let mut now = START;
    for _ in 0..20 {
        now = now + ms(100);
        // The lender has nothing for the rest, and all that is wanted for urgent work.
        queue.record_loan(now, demand(12, 2), 2);
    }
    assert!(queue.is_short(now));
    assert!(!queue.should_wait(now, &claim(2, now + ms(400))));
    assert!(queue.should_wait(now, &claim(0, now + ms(400))));
}

/// Guards against requests that keep waiting after the lender has shown that they wait in vain.
#[test]
fn requests_that_wait_in_vain_are_refused_before_their_time() {
    let mut queue = TokenQueue::new(START);
    for number in 0..60 {
        queue.push(START, claim(2, START + ms(3000)), number);
    }
    let mut now = START;
    for _ in 0..10 {
        now = now + ms(100);
        // Ten tokens per second.
        queue.record_loan(now, demand(60, 0), 1);
        queue.pop(now, 1);
    }
    let infeasible = queue.take_infeasible(now);
    // In the two seconds that remain there are tokens for twenty of the fifty that wait. Those that
    // would need up to one and a half times as long are kept in doubt.
    assert!(
        (15..=30).contains(&infeasible.len()),
        "{}",
        infeasible.len()
    );
    let is_last = |(_, number): &(TokenClaim, u64)| *number >= 30;
    assert!(infeasible.iter().all(is_last), "{infeasible:?}");
}

/// Guards against a token that stays unused, because it is held for a caller that has yet to return,
/// while one that has returned waits.
#[test]
fn a_returned_caller_takes_a_token_ahead_of_promises_to_others() {
    let mut queue = TokenQueue::new(START);
    let mut now = START;
    for _ in 0..20 {
        now = now + ms(100);
        queue.record_loan(now, demand(10, 0), 2);
    }
    let patient = claim(2, now + ms(3000));
    let first = queue.advise_retry(now, &patient, true);
    let second = queue.advise_retry(now, &patient, true);
    assert!(second.promise.is_some() && second.retry_after > first.retry_after);
    now = now + first.retry_after;
    assert!(queue.redeem(first.promise.expect("a token is promised")));
    let returned = TokenClaim {
        was_promised: true,
        ..patient
    };
    assert!(queue.may_take(now, &returned, 1));
    assert!(!queue.may_take(now, &patient, 1));
    queue.push(now, patient, "other");
    queue.push(now, returned, "returned");
    let next = queue.pop(now, 1).map(|(_, value)| value);
    assert_eq!(next, Some("returned"));
    // The second promise is still held.
    assert_eq!(queue.pop(now, 1).map(|(_, value)| value), None);
}

/// Guards against an urgent request that is refused, or waits, while a token is available that the
/// patient requests in the queue must leave to others.
#[test]
fn urgent_request_takes_a_token_before_the_patient_ones_that_wait() {
    let mut queue = TokenQueue::new(START);
    queue.push(START, claim(2, START + ms(1000)), 1);
    assert!(queue.may_take(START, &claim(0, START + ms(400)), 1));
    assert!(!queue.may_take(START, &claim(0, START + ms(400)), 0));
    assert!(!queue.may_take(START, &claim(2, START + ms(2000)), 1));
}
