//! A few nodes of each failure domain read the store, and the others hear of it from them.

use crate::driver::instance;
use crate::spread::Fleet;
use bilberry_engine::Config;
use bilberry_engine::Input;
use proto::Instance;
use std::time::Duration;

/// Within this time of a publication all nodes have to work by it.
const IN_FORCE: Duration = Duration::from_millis(2500);

/// How long nodes that start together take to know each other and to settle.
const START: Duration = Duration::from_secs(8);

const RULES: &str =
    "operation press GET /slots class=lookup idempotent deadline=2s # asked by Anna";

fn domain(node: usize, domains: usize) -> usize {
    node % domains
}

/// Nodes in so many failure domains that have just started, know each other's addresses and have the
/// first version.
fn fleet(nodes: usize, domains: usize) -> Fleet {
    let member = |node: usize| Instance {
        failure_domain: format!("domain-{}", domain(node, domains)).into(),
        region: format!("region-{}", domain(node, domains) % 3).into(),
        ..instance(node as u16 + 1)
    };
    let cfg = || Config {
        shared_store_reads: true,
        ..Config::default()
    };
    let mut fleet = Fleet::of((0..nodes).map(member).collect(), cfg);
    let addrs: Vec<_> = fleet.members.iter().map(|member| member.addr).collect();
    for node in 0..nodes {
        fleet.feed(node, Input::Directory(addrs.clone()));
        fleet.feed(node, published(1));
    }
    fleet.run(START);
    fleet
}

fn published(version: u64) -> Input {
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

/// Publishes to those who read the store and are not `deaf`; gives how long all others take that hear
/// anything.
fn publish(fleet: &mut Fleet, version: u64, deaf: impl Fn(usize) -> bool) -> Duration {
    let published_at = fleet.now;
    let end = published_at + Duration::from_secs(30);
    let all = fleet.engines.len();
    let deaf: Vec<usize> = (0..all).filter(|node| deaf(*node)).collect();
    let lagging = |fleet: &Fleet| {
        let lags = |node: &usize| fleet.engines[*node].rules_version() < version;
        (0..all)
            .filter(|node| !deaf.contains(node))
            .filter(lags)
            .count()
    };
    while lagging(fleet) > 0 && fleet.now < end {
        for node in readers(fleet) {
            if !deaf.contains(&node) {
                fleet.feed(node, published(version));
            }
        }
        let next = fleet.now + Duration::from_millis(10);
        fleet.run(next.since(fleet.now));
    }
    fleet.now.since(published_at)
}

fn check(nodes: usize, domains: usize) {
    let mut fleet = fleet(nodes, domains);
    let readers = readers(&fleet);
    for number in 0..domains {
        let of_domain = readers
            .iter()
            .filter(|node| domain(**node, domains) == number);
        assert_eq!(of_domain.count(), 2, "{nodes} nodes, domain {number}");
    }
    fleet.loses = 20;
    let took = publish(&mut fleet, 2, |_| false);
    assert!(took < IN_FORCE, "{nodes} nodes: {took:?}");
}

/// Each call of the store is paid for. With every node reading, a publication costs a call a machine, and
/// a fleet of hundreds pays more for hearing of it than for most of what goes wrong in a day.
#[test]
fn two_nodes_of_a_failure_domain_read_for_all() {
    check(24, 6);
    check(63, 6);
    check(195, 9);
}

/// A fleet starts at once, and later loses a failure domain. With a line for each node that each node hears
/// of, or holds for dead, the logs of a fleet grow with the square of its size, in the seconds in which
/// its processors have other work.
#[test]
fn lines_about_peers_do_not_grow_with_the_fleet() {
    let most = |fleet: &Fleet| fleet.peer_lines.iter().copied().max().unwrap();
    for nodes in [24, 195] {
        let mut fleet = fleet(nodes, 6);
        let lines_a_second = 5;
        let seconds = START.as_secs() as usize;
        assert!(most(&fleet) <= lines_a_second * seconds, "{}", most(&fleet));
        let at_start = most(&fleet);
        fleet.cut = Box::new(|a, b| domain(a, 6) == 0 || domain(b, 6) == 0);
        fleet.run(START);
        let of_loss = most(&fleet) - at_start;
        assert!(of_loss <= lines_a_second * seconds, "{of_loss}");
    }
}

/// The machines that read for a failure domain lose their power as a publication comes. Its other nodes
/// would work by the old rules until somebody has found out.
#[test]
fn a_domain_whose_readers_are_lost_hears_from_the_others() {
    let mut fleet = fleet(63, 6);
    let lost: Vec<usize> = readers(&fleet)
        .into_iter()
        .filter(|node| domain(*node, 6) == 0)
        .collect();
    let gone = lost.clone();
    fleet.cut = Box::new(move |a, b| gone.contains(&a) || gone.contains(&b));
    let took = publish(&mut fleet, 2, |node| lost.contains(&node));
    assert!(took < IN_FORCE, "{took:?}");
}

/// A node is cut off from all others while it reaches the store. Left to hear from them, it would work
/// by rules that the operator has replaced.
#[test]
fn a_node_that_hears_nobody_reads_the_store() {
    let mut fleet = fleet(24, 6);
    let readers = readers(&fleet);
    let alone = (0..24).find(|node| !readers.contains(node)).unwrap();
    fleet.cut = Box::new(move |a, b| a == alone || b == alone);
    let took = publish(&mut fleet, 2, |_| false);
    assert!(took < IN_FORCE, "{took:?}");
    fleet.cut = Box::new(|_, _| false);
    fleet.run(Duration::from_secs(20));
    assert!(!fleet.engines[alone].reads_store(fleet.now));
}

/// The store turns away the machines of a whole failure domain, its readers among them, and tells them
/// nothing. They are not cut off from the other nodes.
#[test]
fn a_domain_that_the_store_turns_away_hears_from_the_others() {
    let mut fleet = fleet(63, 6);
    let turned_away = |node: &usize| domain(*node, 6) == 0;
    let end = fleet.now + IN_FORCE;
    while fleet.now < end && fleet.lagging(2) > 0 {
        for node in readers(&fleet) {
            match turned_away(&node) {
                true => fleet.feed(node, Input::LogUnreachable),
                false => fleet.feed(node, published(2)),
            }
        }
        fleet.run(Duration::from_millis(50));
    }
    assert_eq!(fleet.lagging(2), 0);
}
