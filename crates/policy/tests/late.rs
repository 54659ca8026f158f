//! Runs that are late, and servers that keep them.

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

/// Times of reads vary by half around their mean. Taken for late too soon, reads of a calm service would
/// be done twice; too late, a read that was lost leaves no time for another one before 700 ms are over.
#[test]
fn few_runs_are_late_and_lost_ones_soon_are() {
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

/// A server runs what it gets and loses half of its answers. Callers give up and go elsewhere; the server
/// looks idle, and without a sign of it draws the more calls.
#[test]
fn a_silent_server_shows_in_what_it_reports() {
    let mut switches = Switches::ALL;
    switches.adaptive_limit = false;
    let penalty = |loses: bool| {
        let mut server = ServerAdmission::new(switches, 1, 10, Duration::from_millis(100));
        let took = Duration::from_millis(70);
        for n in 0..60 {
            let now = Time::from_micros(n * 100_000);
            let ticket = WorkItem {
                id: n,
                class: Class::Lookup,
                priority: 0,
                passed_level: 0,
                random_value: 100,
                deadline: now + Duration::from_secs(1),
                arrived: now,
                admitted: true,
            };
            assert_eq!(server.offer(now, ticket), AdmissionDecision::Start);
            let lost = loses && n > 30 && n % 2 == 0;
            let ended = match lost {
                true => WorkOutcome::Abandoned {
                    elapsed: took * 4,
                    own_time: took * 4,
                },
                false => WorkOutcome::Completed {
                    elapsed: took,
                    own_time: took,
                },
            };
            server.on_finished(now + took, Class::Lookup, ended);
        }
        server.report().penalty
    };
    assert_eq!(penalty(false), 0);
    let to_next_domain = 100;
    assert!(penalty(true) > to_next_domain, "{}", penalty(true));
}

/// Half of what a server runs hangs until its callers give up, and holds a slot for ten times as long as the
/// rest. Counted by whole answers, the load would seem to fit, and twice as much would be let in as the
/// slots can take.
#[test]
fn runs_that_hang_count_as_load() {
    let level = |hangs: bool| {
        let mut switches = Switches::ALL;
        switches.adaptive_limit = false;
        let mut server = ServerAdmission::new(switches, 1, 10, Duration::from_secs(1));
        let mut running: Vec<(u64, bool)> = Vec::new();
        let mut highest = 0;
        for ms in 0..10_000 {
            let now = Time::from_micros(ms * 1000);
            running.retain(|(since, hung)| {
                let takes = if *hung { 700 } else { 70 };
                let own = Duration::from_millis(takes);
                let over = ms - since >= takes;
                if over {
                    let ended = match hung {
                        true => WorkOutcome::Abandoned {
                            elapsed: own,
                            own_time: own,
                        },
                        false => WorkOutcome::Completed {
                            elapsed: own,
                            own_time: own,
                        },
                    };
                    server.on_finished(now, Class::Lookup, ended);
                }
                !over
            });
            if ms % 12 == 0 {
                let ticket = WorkItem {
                    id: ms,
                    class: Class::Lookup,
                    priority: 0,
                    passed_level: 0,
                    random_value: (ms * 7919) as u16,
                    deadline: now + Duration::from_millis(700),
                    arrived: now,
                    admitted: false,
                };
                if server.offer(now, ticket) == AdmissionDecision::Start {
                    running.push((ms, hangs && ms > 3000 && ms % 24 == 0));
                }
            }
            while let Some((ticket, offer)) = server.next_decision(now) {
                if offer == AdmissionDecision::Start {
                    running.push((ms, hangs && ms > 3000 && ticket.id % 24 == 0));
                }
            }
            highest = highest.max(server.level());
        }
        highest
    };
    assert_eq!(level(false), 0);
    let half = 0x4000;
    assert!(level(true) > half, "{}", level(true));
}
