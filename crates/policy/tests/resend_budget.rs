//! Re-sends across a whole fleet to a failing service.

use bilberry_policy::BudgetConfig;
use bilberry_policy::ResendBudgets;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

/// Number of nodes in the fleet.
const NODES: usize = 24;

/// Calls per second from each node to the busy service and to the small one.
const BUSY_CALLS: u32 = 80;
const SMALL_CALLS: u32 = 2;

/// A small service refuses everything for ten seconds, while a busy one works normally. If the
/// budget were shared, the calls to the busy service would allow a re-send for every refusal, and
/// the load of the failing service would double.
#[test]
fn calls_to_a_busy_service_do_not_fund_resends_to_a_small_one() {
    let config = BudgetConfig {
        burst: 1.5,
        per_second: 0.05,
        ratio: 0.18,
    };
    let mut nodes: Vec<ResendBudgets> = (0..NODES).map(|_| ResendBudgets::new(config)).collect();
    let (busy, small): (Arc<str>, Arc<str>) = ("catalogue".into(), "press".into());
    let mut resends = 0;
    for second in 0..10 {
        let now = Time::ZERO + Duration::from_secs(second);
        for node in &mut nodes {
            for _ in 0..BUSY_CALLS {
                node.deposit(&busy);
            }
            for _ in 0..SMALL_CALLS {
                node.deposit(&small);
                resends += u32::from(node.try_withdraw(now, &small));
            }
        }
    }
    let calls = 10 * SMALL_CALLS * NODES as u32;
    assert!(
        resends <= calls / 5 + 49,
        "{resends} re-sends for {calls} calls"
    );
}
