//! Which nodes request evictions, and when none may.

mod common;

use common::Fleet;
use proto::Incarnation;
use std::time::Duration;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn incarnations(fleet: &Fleet, numbers: impl Iterator<Item = usize>) -> Vec<Incarnation> {
    let mut all: Vec<_> = numbers
        .map(|n| fleet.nodes[n].instance.incarnation)
        .collect();
    all.sort();
    all
}

/// Runs a fleet with these nodes down for `time` seconds, and checks which evictions were requested
/// by then.
fn check(seed: u64, down: &[usize], time: u64, expected: &[usize]) -> Fleet {
    let mut fleet = Fleet::listed(seed, 12);
    fleet.run(secs(5));
    for number in down {
        fleet.nodes[*number].up = false;
    }
    fleet.run(secs(time));
    let expected = incarnations(&fleet, expected.iter().copied());
    assert_eq!(fleet.evicted(), expected);
    fleet
}

#[test]
fn dead_instance_is_evicted_by_one_member_of_its_service() {
    // The log still lists an instance that was killed: its share of the keys has no home until
    // another node has it removed. If all nodes requested this at once, the log would get an append
    // from each.
    let mut fleet = Fleet::listed(1, 12);
    fleet.run(secs(5));
    fleet.nodes[5].up = false;
    while fleet.evicted().is_empty() {
        fleet.run(Duration::from_millis(100));
    }
    // The log takes some time; then the roster no longer contains the dead instance.
    fleet.run(Duration::from_millis(900));
    fleet.list_all();
    fleet.run(secs(30));
    assert_eq!(fleet.evicted(), incarnations(&fleet, [5].into_iter()));
    let requesters: Vec<_> = fleet
        .nodes
        .iter()
        .filter(|node| !node.evictions.is_empty())
        .collect();
    assert_eq!(requesters.len(), 1);
    assert_eq!(
        requesters[0].instance.service,
        fleet.nodes[5].instance.service
    );
}

#[test]
fn next_member_evicts_if_first_cannot_reach_log() {
    // The member that is first in order may be unable to reach the log. Here the log never removes
    // the dead instance, so further members request its eviction as well.
    let fleet = check(1, &[5], 40, &[5]);
    let requesters = fleet.nodes.iter().filter(|node| !node.evictions.is_empty());
    assert!(requesters.count() > 1);
}

#[test]
fn dead_service_is_evicted_by_other_services() {
    check(3, &[1, 5], 20, &[1, 5]);
    let mut fleet = Fleet::listed(3, 12);
    fleet.run(secs(5));
    // Service 1 has the odd nodes. For each of them, one member of the other service requests the
    // eviction.
    for number in [1, 3, 5, 7, 9] {
        fleet.nodes[number].up = false;
    }
    fleet.run(secs(30));
    assert_eq!(
        fleet.evicted(),
        incarnations(&fleet, [1, 3, 5, 7, 9].into_iter())
    );
}

#[test]
fn partitioned_minority_evicts_nobody() {
    // Four of twelve instances are partitioned from the others but still reach the log. Each
    // considers eight dead; evicting them would remove the live part of the service.
    let mut fleet = Fleet::listed(4, 12);
    fleet.run(secs(5));
    fleet.drops = Box::new(|from, to| (from < 4) != (to < 4));
    fleet.run(secs(120));
    let minority = incarnations(&fleet, 0..4);
    assert_eq!(fleet.evicted(), minority);
}

#[test]
fn small_minority_evicts_nobody_before_detecting_partition() {
    // Six of sixty instances are partitioned. They detect the others as dead one by one, and for a
    // while consider most of them alive: by its table alone, each would evict the first ones.
    let mut fleet = Fleet::listed(7, 60);
    fleet.run(secs(5));
    fleet.drops = Box::new(|from, to| (from < 6) != (to < 6));
    fleet.run(secs(60));
    for node in &fleet.nodes[..6] {
        assert_eq!(node.evictions, []);
    }
}

#[test]
fn equal_halves_evict_nobody() {
    let mut fleet = Fleet::listed(5, 12);
    fleet.run(secs(5));
    fleet.drops = Box::new(|from, to| from % 2 != to % 2);
    fleet.run(secs(300));
    assert_eq!(fleet.evicted(), []);
}

#[test]
fn evictions_per_node_and_minute_are_bounded() {
    // Many instances die at once and the log does not accept the evictions. Without a limit, each
    // node would use up the few hundred appends per second that the log takes for all nodes.
    let mut fleet = Fleet::listed(6, 60);
    fleet.run(secs(5));
    for number in 0..28 {
        fleet.nodes[number].up = false;
    }
    fleet.run(secs(50));
    let most = fleet.nodes.iter().map(|node| node.evictions.len()).max();
    assert!(
        most.is_some_and(|most| (1..=10).contains(&most)),
        "{most:?}"
    );
}
