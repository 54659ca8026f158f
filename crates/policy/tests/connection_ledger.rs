//! Which connections are closed when callers do not behave.

use bilberry_policy::ConnectionActivity;
use bilberry_policy::ConnectionId;
use bilberry_policy::ConnectionLedger;
use bilberry_policy::ConnectionLimits;
use bilberry_policy::LedgerFull;
use bilberry_policy::ShedConnection;
use bilberry_policy::ShedReason;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stdx::Time;

const LIMITS: ConnectionLimits = ConnectionLimits {
    connections: 10,
    bytes: 1_000_000,
};

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1000)
}

fn ids(shed: &[ShedConnection]) -> Vec<u64> {
    shed.iter().map(|shed| shed.id.0).collect()
}

/// Opens a connection that sends an answer.
fn send(ledger: &mut ConnectionLedger, now: Time, id: u64, bytes: usize) -> Vec<u64> {
    let id = ConnectionId(id);
    let mut shed = ids(&ledger.open(now, id).unwrap());
    ledger.set_activity(now, id, ConnectionActivity::Sending);
    shed.extend(ids(&ledger.hold(now, id, bytes)));
    shed
}

/// Guards against an ordinary caller that loses its answer because others read nothing.
#[test]
fn caller_that_has_read_least_is_closed() {
    let mut ledger = ConnectionLedger::new(LIMITS);
    for id in 0..3 {
        assert!(send(&mut ledger, at(0), id, 300_000).is_empty());
    }
    for id in [0, 2] {
        ledger.record_transfer(ConnectionId(id), 5000);
    }
    assert_eq!(send(&mut ledger, at(3000), 9, 300_000), [1]);
}

/// Guards against a caller with a small answer that is closed while others hold much more.
#[test]
fn small_answers_outlive_large_ones() {
    let mut ledger = ConnectionLedger::new(LIMITS);
    send(&mut ledger, at(0), 0, 30_000);
    send(&mut ledger, at(5000), 1, 800_000);
    ledger.record_transfer(ConnectionId(1), 100_000);
    assert_eq!(send(&mut ledger, at(5100), 2, 300_000), [1]);
}

/// Guards against a caller that has just connected and is closed in favour of requests that do not
/// end.
#[test]
fn new_connection_outlives_unfinished_requests() {
    let receiving = ConnectionActivity::Receiving;
    let small = ConnectionLimits {
        bytes: 285_000,
        ..LIMITS
    };
    let mut ledger = ConnectionLedger::new(small);
    for id in 0..4 {
        let id = ConnectionId(id);
        ledger.open(at(0), id).unwrap();
        ledger.set_activity(at(0), id, receiving);
        ledger.hold(at(0), id, 60_000);
        ledger.record_transfer(id, 60_000);
    }
    ledger.open(at(2990), ConnectionId(9)).unwrap();
    let shed = ledger.hold(at(3000), ConnectionId(1), 4100);
    assert!(!shed.is_empty() && !ids(&shed).contains(&9));
}

/// Guards against accepted work that is given up in favour of new connections.
#[test]
fn connections_with_accepted_work_stay() {
    let mut ledger = ConnectionLedger::new(LIMITS);
    for id in 0..10 {
        let id = ConnectionId(id);
        ledger.open(at(0), id).unwrap();
        ledger.set_activity(at(0), id, ConnectionActivity::Working);
    }
    assert_eq!(ledger.open(at(1), ConnectionId(10)), Err(LedgerFull));
    let held = ledger.held_bytes();
    ledger.close(ConnectionId(3));
    assert_eq!(ledger.held_bytes(), held / 10 * 9);
    assert_eq!(ledger.open(at(2), ConnectionId(11)), Ok(vec![]));
}

/// Guards against a new caller that is turned away while others keep idle connections open.
#[test]
fn connection_that_is_idle_for_longest_is_closed_first() {
    let mut ledger = ConnectionLedger::new(LIMITS);
    for id in 0..10 {
        ledger.open(at(id), ConnectionId(id)).unwrap();
    }
    let receiving = ConnectionActivity::Receiving;
    ledger.set_activity(at(20), ConnectionId(0), receiving);
    let shed = ledger.open(at(30), ConnectionId(10)).unwrap();
    assert_eq!(ids(&shed), [1]);
    assert_eq!(shed[0].reason, ShedReason::Connections);
    assert_eq!(ledger.connection_count(), 10);
}

/// Guards against memory that idle connections use up by their number.
#[test]
fn idle_connections_are_closed_for_their_memory() {
    let limits = ConnectionLimits {
        connections: 1000,
        ..LIMITS
    };
    let mut ledger = ConnectionLedger::new(limits);
    for id in 0..500 {
        ledger.open(at(id), ConnectionId(id)).unwrap();
    }
    assert!(ledger.connection_count() < 200);
    assert!(ledger.held_bytes() <= limits.bytes);
}

#[derive(Debug, Clone)]
enum Step {
    Open,
    Close(usize),
    Activity(usize, u8),
    Hold(usize, usize),
    Transfer(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Open),
        1 => (0..20_usize).prop_map(Step::Close),
        3 => (0..20_usize, 0..4_u8).prop_map(|(n, activity)| Step::Activity(n, activity)),
        4 => (0..20_usize, 0..400_000_usize).prop_map(|(n, bytes)| Step::Hold(n, bytes)),
        2 => (0..20_usize, 0..100_000_usize).prop_map(|(n, bytes)| Step::Transfer(n, bytes)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against limits that are exceeded, and against closing accepted work, for any order of
    /// events.
    #[test]
    fn limits_hold_unless_accepted_work_fills_them(steps in prop::collection::vec(step(), 1..200)) {
        const ACTIVITIES: [ConnectionActivity; 4] = [
            ConnectionActivity::Idle,
            ConnectionActivity::Receiving,
            ConnectionActivity::Working,
            ConnectionActivity::Sending,
        ];
        let mut ledger = ConnectionLedger::new(LIMITS);
        let mut open: Vec<(ConnectionId, usize, ConnectionActivity)> = Vec::new();
        for (n, step) in steps.into_iter().enumerate() {
            let now = at(n as u64 * 10);
            let len = open.len().max(1);
            let checks_bytes = matches!(step, Step::Open | Step::Hold(..));
            let shed = match step {
                Step::Open => {
                    let id = ConnectionId(n as u64);
                    let result = ledger.open(now, id);
                    if result.is_ok() {
                        open.push((id, 8192, ConnectionActivity::Idle));
                    } else {
                        prop_assert!(open.iter().all(|c| c.2 == ConnectionActivity::Working));
                    }
                    result.unwrap_or_default()
                }
                Step::Close(at) if !open.is_empty() => {
                    ledger.close(open.swap_remove(at % len).0);
                    Vec::new()
                }
                Step::Activity(at, activity) if !open.is_empty() => {
                    let connection = &mut open[at % len];
                    connection.2 = ACTIVITIES[usize::from(activity)];
                    ledger.set_activity(now, connection.0, connection.2);
                    Vec::new()
                }
                Step::Hold(at, bytes) if !open.is_empty() => {
                    open[at % len].1 += bytes;
                    ledger.hold(now, open[at % len].0, bytes)
                }
                Step::Transfer(at, bytes) if !open.is_empty() => {
                    ledger.record_transfer(open[at % len].0, bytes);
                    Vec::new()
                }
                _ => Vec::new(),
            };
            for shed in shed {
                prop_assert!(shed.activity != ConnectionActivity::Working);
                let before = open.len();
                open.retain(|connection| connection.0 != shed.id);
                prop_assert_eq!(open.len(), before - 1);
            }
            let held: usize = open.iter().map(|connection| connection.1).sum();
            prop_assert_eq!(ledger.held_bytes(), held);
            prop_assert_eq!(ledger.connection_count(), open.len());
            prop_assert!(open.len() <= LIMITS.connections);
            let all_work = open.iter().all(|c| c.2 == ConnectionActivity::Working);
            prop_assert!(!checks_bytes || held <= LIMITS.bytes || all_work);
        }
    }
}
