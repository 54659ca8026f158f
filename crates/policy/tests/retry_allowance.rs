//! Retries are never created by delegating and reclaiming allowances.

use bilberry_policy::RetryAllowance;
use proptest::collection::vec;
use proptest::prelude::*;

#[derive(Debug, Clone)]
enum Step {
    Withdraw,
    DelegateHalf,
    DelegateAll,
    DelegateAllButOne,
    /// A child call reports this many unused retries.
    Reclaim(u16),
    /// The answer of a child call is lost.
    LoseAnswer,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Withdraw),
        Just(Step::DelegateHalf),
        Just(Step::DelegateAll),
        Just(Step::DelegateAllButOne),
        any::<u16>().prop_map(Step::Reclaim),
        Just(Step::LoseAnswer),
    ]
}

/// Runs the steps, and checks after each one that the retries spent, delegated and remaining
/// together never exceed the allowance.
fn check(allowance: u16, steps: &[Step]) {
    let mut remaining = RetryAllowance::new(allowance);
    let mut spent = 0;
    let mut delegated = Vec::new();
    for step in steps {
        match step {
            Step::Withdraw => spent += u32::from(remaining.try_withdraw()),
            Step::DelegateHalf => delegated.push(remaining.delegate_half()),
            Step::DelegateAll => delegated.push(remaining.delegate_all()),
            Step::DelegateAllButOne => delegated.push(remaining.delegate_all_but_one()),
            Step::Reclaim(unused) => {
                if let Some(part) = delegated.pop() {
                    remaining.reclaim(part, *unused);
                    // The child spent what it did not return.
                    spent += u32::from(part.saturating_sub(*unused));
                }
            }
            Step::LoseAnswer => spent += u32::from(delegated.pop().unwrap_or(0)),
        }
        let outstanding: u32 = delegated.iter().map(|part| u32::from(*part)).sum();
        let total = spent + outstanding + u32::from(remaining.remaining());
        assert!(
            total <= u32::from(allowance),
            "{total} of {allowance} after {step:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_sequence_of_steps_creates_retries(allowance in 0u16..20, steps in vec(step(), 0..40)) {
        check(allowance, &steps);
    }
}
