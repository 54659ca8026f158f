//! Detection of late runs, and of servers that do not answer.

use bilberry_policy::AdmissionDecision;
use bilberry_policy::RunTimes;
use bilberry_policy::ServerAdmission;
use bilberry_policy::Switches;
use bilberry_policy::WorkItem;
use bilberry_policy::WorkOutcome;
use proto::Class;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use std::time::Duration;
use stdx::Time;

/// Run times of reads vary by half around their mean. If the threshold is too low, reads of a
/// healthy service are sent twice; if it is too high, a lost read leaves no time for a second
/// one within the 700 ms deadline.
#[test]
fn few_normal_runs_are_late_and_lost_ones_are_detected_in_time() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut draw = || {
        let sum: f64 = (0..4).map(|_| rng.random_range(0.0..2.0)).sum();
        Duration::from_secs_f64(0.07 * sum / 4.0)
    };
    let mut times = RunTimes::default();
    let mut late = 0;
    for _ in 0..2000 {
        let took = draw();
        late += u32::from(times.late_threshold().is_some_and(|after| took > after));
        times.record(took);
    }
    assert!(late <= 4, "{late} of 2000");
    assert!(times.late_threshold().unwrap() <= Duration::from_millis(350));
}

/// A server runs its work but loses half of the answers, and callers give up and call
/// another instance. The server looks idle; unless its load report contains a penalty, it attracts
/// even more calls.
#[test]
fn a_server_that_loses_answers_reports_a_penalty() {
    let mut switches = Switches::ALL;
    switches.adaptive_limit = false;
    let penalty = |loses_answers: bool| {
        let mut server = ServerAdmission::new(switches, 1, 10, Duration::from_millis(100));
        let took = Duration::from_millis(70);
        for n in 0..60 {
            let now = Time::from_micros(n * 100_000);
            let item = WorkItem {
                id: n,
                class: Class::Lookup,
                priority: 0,
                passed_level: 0,
                random_value: 100,
                deadline: now + Duration::from_secs(1),
                latest_start: None,
                operation: 0,
                patient: false,
                organisation: 0,
                arrived: now,
                admitted: true,
                only_here: false,
            };
            assert_eq!(server.offer(now, item), AdmissionDecision::Start);
            let is_lost = loses_answers && n > 30 && n % 2 == 0;
            let outcome = match is_lost {
                true => WorkOutcome::Abandoned {
                    elapsed: took * 4,
                    own_time: took * 4,
                },
                false => WorkOutcome::Completed {
                    elapsed: took,
                    own_time: took,
                },
            };
            server.on_finished(now + took, Class::Lookup, outcome);
        }
        server.report().penalty
    };
    assert_eq!(penalty(false), 0);
    let cost_of_next_domain = 100;
    assert!(penalty(true) > cost_of_next_domain, "{}", penalty(true));
}

/// Half of the runs on a server hang until their callers give up, and occupy a slot ten times as
/// long as the others. If only complete answers were measured, the load would seem to fit, and
/// twice as much would be admitted as the slots can handle.
#[test]
fn hanging_runs_count_as_offered_load() {
    let level = |hangs: bool| {
        let mut switches = Switches::ALL;
        switches.adaptive_limit = false;
        let mut server = ServerAdmission::new(switches, 1, 10, Duration::from_secs(1));
        let mut running: Vec<(u64, bool)> = Vec::new();
        let mut max_level = 0;
        for ms in 0..10_000 {
            let now = Time::from_micros(ms * 1000);
            running.retain(|(since, hung)| {
                let millis = if *hung { 700 } else { 70 };
                let own = Duration::from_millis(millis);
                let is_over = ms - since >= millis;
                if is_over {
                    let outcome = match hung {
                        true => WorkOutcome::Abandoned {
                            elapsed: own,
                            own_time: own,
                        },
                        false => WorkOutcome::Completed {
                            elapsed: own,
                            own_time: own,
                        },
                    };
                    server.on_finished(now, Class::Lookup, outcome);
                }
                !is_over
            });
            if ms % 12 == 0 {
                let item = WorkItem {
                    id: ms,
                    class: Class::Lookup,
                    priority: 0,
                    passed_level: 0,
                    random_value: (ms * 7919) as u16,
                    deadline: now + Duration::from_millis(700),
                    latest_start: None,
                    operation: 0,
                    patient: false,
                    organisation: 0,
                    arrived: now,
                    admitted: false,
                    only_here: false,
                };
                if server.offer(now, item) == AdmissionDecision::Start {
                    running.push((ms, hangs && ms > 3000 && ms % 24 == 0));
                }
            }
            while let Some((item, decision)) = server.next_decision(now) {
                if decision == AdmissionDecision::Start {
                    running.push((ms, hangs && ms > 3000 && item.id % 24 == 0));
                }
            }
            max_level = max_level.max(server.level());
        }
        max_level
    };
    assert_eq!(level(false), 0);
    let half = 0x4000;
    assert!(level(true) > half, "{}", level(true));
}
