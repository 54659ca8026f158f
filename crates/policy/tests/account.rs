//! Retry allowances are conserved.

use bilberry_policy::RetryAllowance;
use proptest::collection::vec;
use proptest::prelude::*;

#[derive(Debug, Clone)]
enum Step {
    Spend,
    Lend,
    LendAll,
    LendAllButOne,
    /// A child that was lent something says that this much is unspent.
    GiveBack(u16),
    /// A child's answer is lost.
    Lose,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Spend),
        Just(Step::Lend),
        Just(Step::LendAll),
        Just(Step::LendAllButOne),
        any::<u16>().prop_map(Step::GiveBack),
        Just(Step::Lose),
    ]
}

/// Takes the steps, and checks after each that what was spent, what is lent out and what is left
/// never exceed the allowance together.
fn check(allowance: u16, steps: &[Step]) {
    let mut account = RetryAllowance::new(allowance);
    let mut spent = 0;
    let mut lent = Vec::new();
    for step in steps {
        match step {
            Step::Spend => spent += u32::from(account.try_withdraw()),
            Step::Lend => lent.push(account.delegate_half()),
            Step::LendAll => lent.push(account.delegate_all()),
            Step::LendAllButOne => lent.push(account.delegate_all_but_one()),
            Step::GiveBack(unspent) => {
                if let Some(part) = lent.pop() {
                    account.reclaim(part, *unspent);
                    // What the child did not give back, it spent.
                    spent += u32::from(part.saturating_sub(*unspent));
                }
            }
            Step::Lose => spent += u32::from(lent.pop().unwrap_or(0)),
        }
        let out: u32 = lent.iter().map(|part| u32::from(*part)).sum();
        let total = spent + out + u32::from(account.remaining());
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
    fn no_steps_make_retries(allowance in 0u16..20, steps in vec(step(), 0..40)) {
        check(allowance, &steps);
    }
}
