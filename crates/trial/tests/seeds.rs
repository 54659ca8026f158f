//! Random calls and faults by seed.

/// Seeds that every run of the tests goes through.
const SEEDS: std::ops::Range<u64> = 1..25;

fn check(seed: u64, homes_move: bool) {
    if let Err(report) = trial::check_seed(seed, homes_move) {
        panic!("{report}");
    }
}

#[test]
fn what_must_always_hold_holds_while_no_process_ends() {
    SEEDS.for_each(|seed| check(seed, false));
}

/// An instance is lost with the records of its keys, and an order that it has run is sent again.
/// The next home of the key must not run it a second time.
#[test]
fn a_key_whose_home_was_lost_does_not_run_again() {
    SEEDS.for_each(|seed| check(seed, true));
}
