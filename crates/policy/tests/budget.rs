//! Retries of a whole fleet at a service that fails.

use bilberry_policy::BudgetConfig;
use bilberry_policy::ResendBudgets;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

/// Nodes of the fleet.
const NODES: usize = 24;

/// Each node's calls to the busy service and to the small one, in a second.
const BUSY: u32 = 80;
const SMALL: u32 = 2;

/// A small service refuses everything for ten seconds, while another one is busy and well. Paid for
/// by the calls of the busy one, each refusal would be followed by a retry, and a service that has
/// trouble enough would be asked for twice as much.
#[test]
fn calls_of_a_busy_service_do_not_pay_for_retries_at_a_small_one() {
    let bounds = BudgetConfig {
        burst: 1.5,
        per_second: 0.05,
        ratio: 0.18,
    };
    let mut nodes: Vec<ResendBudgets> = (0..NODES).map(|_| ResendBudgets::new(bounds)).collect();
    let (busy, small): (Arc<str>, Arc<str>) = ("catalogue".into(), "press".into());
    let mut retries = 0;
    for second in 0..10 {
        let now = Time::ZERO + Duration::from_secs(second);
        for node in &mut nodes {
            for _ in 0..BUSY {
                node.deposit(&busy);
            }
            for _ in 0..SMALL {
                node.deposit(&small);
                retries += u32::from(node.try_withdraw(now, &small));
            }
        }
    }
    let asked = 10 * SMALL * NODES as u32;
    assert!(retries <= asked / 5 + 49, "{retries} retries of {asked}");
}
