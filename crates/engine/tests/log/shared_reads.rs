//! A few nodes of each failure domain read the store, and the others get its changes from them.

use crate::driver::instance;
use crate::propagation::Fleet;
use bilberry_engine::Config;
use bilberry_engine::Input;
use bilberry_engine::StoreRole;
use proto::Instance;
use std::time::Duration;

/// The time within which all nodes must apply a publication.
const MAX_PROPAGATION_TIME: Duration = Duration::from_millis(2500);

/// The time in which nodes that start together discover each other and settle.
const STARTUP_TIME: Duration = Duration::from_secs(8);

const RULES: &str =
    "operation press GET /slots class=lookup idempotent deadline=2s # asked by Anna";

fn domain_of(node: usize, domains: usize) -> usize {
    node % domains
}

/// Nodes in this many failure domains that have just started, know each other's addresses and have
/// version 1 of the rules.
fn fleet(nodes: usize, domains: usize) -> Fleet {
    let member = |node: usize| Instance {
        failure_domain: format!("domain-{}", domain_of(node, domains)).into(),
        region: format!("region-{}", domain_of(node, domains) % 3).into(),
        ..instance(node as u16 + 1)
    };
    let cfg = || Config {
        shared_store_reads: true,
        ..Config::default()
    };
    let mut fleet = Fleet::from_instances((0..nodes).map(member).collect(), cfg);
    let addrs: Vec<_> = fleet.members.iter().map(|member| member.addr).collect();
    for node in 0..nodes {
        fleet.feed(node, Input::Directory(addrs.clone()));
        fleet.feed(node, rules_published(1));
    }
    fleet.advance(STARTUP_TIME);
    fleet
}

fn rules_published(version: u64) -> Input {
    Input::RulesPublished {
        version,
        file: RULES.into(),
    }
}

fn readers(fleet: &Fleet) -> Vec<usize> {
    let nodes = 0..fleet.engines.len();
    nodes
        .filter(|node| fleet.engines[*node].reads_store(fleet.now))
        .collect()
}

/// Publishes a version to the nodes that read the store, except those for which `excluded` holds.
/// Returns the time until all nodes that are not `excluded` have it.
fn publish(fleet: &mut Fleet, version: u64, excluded: impl Fn(usize) -> bool) -> Duration {
    publish_to(fleet, version, excluded, readers)
}

/// Publishes a version like [`publish`], to the nodes that `readers` returns.
fn publish_to(
    fleet: &mut Fleet,
    version: u64,
    excluded: impl Fn(usize) -> bool,
    readers: impl Fn(&Fleet) -> Vec<usize>,
) -> Duration {
    let published_at = fleet.now;
    let end = published_at + Duration::from_secs(30);
    let all = fleet.engines.len();
    let excluded: Vec<usize> = (0..all).filter(|node| excluded(*node)).collect();
    let count_behind = |fleet: &Fleet| {
        let is_behind = |node: &usize| fleet.engines[*node].rules_version() < version;
        (0..all)
            .filter(|node| !excluded.contains(node))
            .filter(is_behind)
            .count()
    };
    while count_behind(fleet) > 0 && fleet.now < end {
        for node in readers(fleet) {
            if !excluded.contains(&node) {
                fleet.feed(node, rules_published(version));
            }
        }
        let next = fleet.now + Duration::from_millis(10);
        fleet.advance(next.since(fleet.now));
    }
    fleet.now.since(published_at)
}

fn check_readers_and_propagation(nodes: usize, domains: usize) {
    let mut fleet = fleet(nodes, domains);
    let readers = readers(&fleet);
    for number in 0..domains {
        let in_domain = readers
            .iter()
            .filter(|node| domain_of(**node, domains) == number);
        assert_eq!(in_domain.count(), 2, "{nodes} nodes, domain {number}");
    }
    fleet.lose_every = 20;
    let took = publish(&mut fleet, 2, |_| false);
    assert!(took < MAX_PROPAGATION_TIME, "{nodes} nodes: {took:?}");
}

/// Each call to the store costs money. If every node read it, each publication would cost one call
/// per machine, and the cost would grow with the size of the fleet.
#[test]
fn two_nodes_of_a_failure_domain_read_for_all() {
    check_readers_and_propagation(24, 6);
    check_readers_and_propagation(63, 6);
    check_readers_and_propagation(195, 9);
}

/// All nodes of a fleet start at the same time, and later a failure domain is lost. With an event
/// for each node that another one discovers or considers dead, the logs would grow with the square
/// of the fleet's size, just when its processors are busy with the change itself.
#[test]
fn peer_events_do_not_grow_with_the_fleet() {
    let most = |fleet: &Fleet| fleet.peer_events.iter().copied().max().unwrap();
    for nodes in [24, 195] {
        let mut fleet = fleet(nodes, 6);
        let events_per_second = 5;
        let seconds = STARTUP_TIME.as_secs() as usize;
        assert!(
            most(&fleet) <= events_per_second * seconds,
            "{}",
            most(&fleet)
        );
        let at_start = most(&fleet);
        fleet.is_cut = Box::new(|a, b| domain_of(a, 6) == 0 || domain_of(b, 6) == 0);
        fleet.advance(STARTUP_TIME);
        let after_loss = most(&fleet) - at_start;
        assert!(after_loss <= events_per_second * seconds, "{after_loss}");
    }
}

/// The machines that read for a failure domain lose power at the time of a publication. Its other
/// nodes must not keep applying the old rules until the loss has been detected.
#[test]
fn a_domain_that_lost_its_readers_is_updated_by_the_others() {
    let mut fleet = fleet(63, 6);
    let lost: Vec<usize> = readers(&fleet)
        .into_iter()
        .filter(|node| domain_of(*node, 6) == 0)
        .collect();
    let gone = lost.clone();
    fleet.is_cut = Box::new(move |a, b| gone.contains(&a) || gone.contains(&b));
    let took = publish(&mut fleet, 2, |node| lost.contains(&node));
    assert!(took < MAX_PROPAGATION_TIME, "{took:?}");
}

/// A node is cut off from all others but reaches the store. If it relied on the others, it would
/// keep applying rules that the operator has replaced.
#[test]
fn an_isolated_node_reads_the_store() {
    let mut fleet = fleet(24, 6);
    let readers = readers(&fleet);
    let alone = (0..24).find(|node| !readers.contains(node)).unwrap();
    fleet.is_cut = Box::new(move |a, b| a == alone || b == alone);
    let took = publish(&mut fleet, 2, |_| false);
    assert!(took < MAX_PROPAGATION_TIME, "{took:?}");
    fleet.is_cut = Box::new(|_, _| false);
    fleet.advance(Duration::from_secs(20));
    assert!(!fleet.engines[alone].reads_store(fleet.now));
}

/// The store rejects the machines of a whole failure domain, its readers among them. They are not
/// cut off from the other nodes.
#[test]
fn a_domain_rejected_by_the_store_is_updated_by_the_others() {
    let mut fleet = fleet(63, 6);
    let is_rejected = |node: &usize| domain_of(*node, 6) == 0;
    let end = fleet.now + MAX_PROPAGATION_TIME;
    while fleet.now < end && fleet.count_nodes_behind(2) > 0 {
        for node in readers(&fleet) {
            match is_rejected(&node) {
                true => fleet.feed(node, Input::LogUnreachable),
                false => fleet.feed(node, rules_published(2)),
            }
        }
        fleet.advance(Duration::from_millis(50));
    }
    assert_eq!(fleet.count_nodes_behind(2), 0);
}

fn monitors(fleet: &Fleet) -> Vec<usize> {
    let nodes = 0..fleet.engines.len();
    let role = |node: &usize| fleet.engines[*node].store_role(fleet.now);
    nodes
        .filter(|node| role(node) == StoreRole::Monitor)
        .collect()
}

/// The time in which a version reaches all nodes from the monitors alone, while a monitor needs up to
/// 1.5 s to read it.
const MAX_SPREAD_FROM_MONITORS: Duration = Duration::from_secs(1);

/// Guards against a version that comes late because the pending reads of all readers were lost in a
/// silence of the store, and only the monitors have begun new ones.
#[test]
fn version_reaches_all_nodes_from_the_monitors() {
    for (nodes, domains) in [(6, 2), (24, 6), (63, 6), (195, 9)] {
        let mut fleet = fleet(nodes, domains);
        fleet.lose_every = 20;
        let took = publish_to(&mut fleet, 2, |_| false, monitors);
        assert!(took < MAX_SPREAD_FROM_MONITORS, "{nodes} nodes: {took:?}");
    }
}

/// Guards against store calls that grow with the fleet, and against monitors that fail together with
/// one failure domain.
#[test]
fn two_nodes_of_different_domains_are_monitors() {
    for (nodes, domains) in [(2, 1), (6, 2), (24, 6), (195, 9)] {
        let mut fleet = fleet(nodes, domains);
        let before = monitors(&fleet);
        assert_eq!(before.len(), 2, "{nodes} nodes");
        let are_apart = domain_of(before[0], domains) != domain_of(before[1], domains);
        assert_eq!(are_apart, domains > 1, "{nodes} nodes");
        if domains < 3 {
            continue;
        }
        let lost = before.clone();
        fleet.is_cut = Box::new(move |a, b| lost.contains(&a) || lost.contains(&b));
        fleet.advance(Duration::from_secs(8));
        let mut after = monitors(&fleet);
        after.retain(|node| !before.contains(node));
        assert_eq!(
            after.len(),
            2,
            "{nodes} nodes after the loss of the monitors"
        );
    }
}
