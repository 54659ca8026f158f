use crate::decode;
use crate::encode;
use crate::LoadReport;
use crate::ServerSpeed;

/// Where servers do not report how long work takes, messages must not become longer.
#[test]
fn report_without_a_slowdown_takes_one_byte_for_it() {
    let load = LoadReport {
        utilisation: 5,
        penalty: 6,
        level: 7,
        limit: 8,
        draining: true,
        ..LoadReport::default()
    };
    assert_eq!(encode(&load), [5, 6, 7, 8, 0, 1]);
    assert_eq!(decode(&encode(&load)), Ok(load));
}

#[test]
fn report_with_a_slowdown_is_complete() {
    let load = LoadReport {
        utilisation: 800,
        slowdown_percent: 250,
        speed: ServerSpeed {
            age_ms: 20,
            mean_percent: 120,
            run_time_us: 50_000,
            operations: 9,
        },
        ..LoadReport::default()
    };
    assert_eq!(decode(&encode(&load)), Ok(load));
}
