//! Scheduling by slack at one server, on virtual time.

#[path = "slack/load.rs"]
mod load;
#[path = "slack/queue.rs"]
mod queue;
#[path = "slack/server.rs"]
mod server;

use bilberry_policy::SlackEvent;
use load::Load;
use load::OPERATIONS;
use load::PATIENT;
use load::SLOTS;
use load::URGENT;
use server::Outcomes;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 1..6;

/// The shares of the capacity that are usually offered.
const USUAL: [f64; 2] = [0.35, 0.25];

fn burst(factor: f64) -> [f64; 2] {
    [USUAL[PATIENT] * factor, USUAL[URGENT]]
}

fn outcomes_of_burst(by_slack: bool, factor: f64, seed: u64) -> [Outcomes; 2] {
    let mut load = Load::new(by_slack, seed);
    load.run(5000, USUAL);
    load.server.outcomes = Default::default();
    load.run(4000, burst(factor));
    load.run(4000, USUAL);
    load.server.outcomes
}

/// A burst of 2 to 2.5 times the usual rate of the patient action for four seconds offers at most
/// 1.125 times the capacity, so the backlog is half a second of work, and 0.7 s of the capacity that
/// urgent work leaves, which the attempt timeout of 1.5 s covers. Without scheduling by slack, the
/// level takes the burst for overload, and patient work waits for at most 0.3 s.
#[test]
fn burst_of_patient_work_is_served_beside_urgent_work() {
    for seed in SEEDS {
        for factor in [2.0, 2.25, 2.5] {
            let [patient, urgent] = outcomes_of_burst(true, factor, seed);
            assert_eq!(patient.refused(), 0, "{factor} {seed} {patient:?}");
            assert_eq!(patient.overdue, 0, "{factor} {seed} {patient:?}");
            assert_eq!(urgent.refused(), 0, "{factor} {seed} {urgent:?}");
            assert_eq!(urgent.overdue, 0, "{factor} {seed} {urgent:?}");
            let [patient, _] = outcomes_of_burst(false, factor, seed);
            assert!(patient.refused() > 0, "{factor} {seed} {patient:?}");
        }
    }
}

/// Urgent work always goes first. While the load is below the capacity, there must be slots left
/// for all patient work.
#[test]
fn patient_work_is_not_starved_below_capacity() {
    for seed in SEEDS {
        let mut load = Load::new(true, seed);
        load.run(5000, USUAL);
        load.server.outcomes = Default::default();
        load.run(20_000, [0.2, 0.7]);
        let [patient, urgent] = load.server.outcomes;
        assert_eq!(patient.refused() + patient.overdue, 0, "{seed} {patient:?}");
        assert_eq!(urgent.refused() + urgent.overdue, 0, "{seed} {urgent:?}");
    }
}

/// Work that cannot be in time must be refused when it arrives, not after a wait. At twice the
/// capacity for four seconds the queue is full for most of the time.
#[test]
fn work_that_cannot_be_in_time_is_refused_on_arrival() {
    for seed in SEEDS {
        let [patient, urgent] = outcomes_of_burst(true, 5.0, seed);
        assert!(patient.refused_on_arrival > 0, "{seed} {patient:?}");
        let waited_in_vain = patient.refused_in_queue.len() as u32 + patient.overdue;
        assert!(waited_in_vain * 20 <= patient.offered, "{seed} {patient:?}");
        assert_eq!(urgent.refused() + urgent.overdue, 0, "{seed} {urgent:?}");
    }
}

/// A server takes three times as long while patient work is queued. What was queued by the former
/// run times can no longer be served in time, and must be refused before its deadline, so that the
/// caller learns that it never started. The harness checks that it never did.
#[test]
fn work_queued_in_vain_on_a_server_that_became_slow_is_refused() {
    for seed in SEEDS {
        let mut load = Load::new(true, seed);
        load.run(5000, USUAL);
        load.run(2000, burst(2.5));
        load.server.runs = OPERATIONS.map(|operation| (operation.run * 3, 0));
        load.server.outcomes = Default::default();
        load.run(1000, USUAL);
        let usual = Duration::from_millis(OPERATIONS[PATIENT].run);
        let learned = load.server.admission.long_run_time(PATIENT as u32).unwrap();
        // Four fifths of the change from the usual duration to three times as much.
        assert!(learned >= usual.mul_f64(2.6), "{seed} {learned:?}");

        load.server.outcomes = Default::default();
        load.run(2000, USUAL);
        let [patient, urgent] = load.server.outcomes;
        let refused = &patient.refused_in_queue;
        assert!(!refused.is_empty(), "{seed} {patient:?}");
        let mut ahead_ms = refused.iter().chain(&urgent.refused_in_queue);
        assert!(ahead_ms.all(|ahead_ms| *ahead_ms > 0), "{seed}");
        let counted = load.server.slack_events[&SlackEvent::RefusedInQueue];
        assert!(counted >= refused.len() as u32, "{seed} {counted}");
    }
}

/// The outcomes of urgent work while a service below is slow for the second time, and the number of
/// runs in progress when no urgent work has been seen for a while.
fn congestion_below(by_slack: bool, seed: u64) -> (Outcomes, usize) {
    const WAITING: [f64; 2] = [0.2, 0.05];
    let mut load = Load::new(by_slack, seed);
    for _ in 0..2 {
        load.server.runs[PATIENT] = (300, 200);
        load.run(5000, WAITING);
        load.server.outcomes = Default::default();
        load.server.runs[PATIENT] = (1300, 1200);
        load.run(4000, WAITING);
    }
    let urgent = load.server.outcomes[URGENT].clone();
    load.run(3000, [WAITING[PATIENT], 0.0]);
    (urgent, load.server.running())
}

/// Runs of the patient action wait for a slow service below, for 1.2 s each, and would hold all
/// slots. Urgent work with an objective of 0.5 s needs half a slot on average, and must get it.
/// Without urgent work, the patient action may use all slots.
#[test]
fn runs_that_wait_for_a_slow_service_leave_slots_to_urgent_work() {
    for seed in SEEDS {
        let (urgent, running) = congestion_below(true, seed);
        let (without, _) = congestion_below(false, seed);
        assert_eq!(urgent.refused() + urgent.overdue, 0, "{seed} {urgent:?}");
        assert!(without.refused() > 0, "{seed} {without:?}");
        assert_eq!(running, usize::from(SLOTS), "{seed}");
    }
}
