//! Many machines lost at once, and many that start at once, in fleets of several sizes.

mod common;

use common::addr;
use common::instance;
use common::Fleet;
use proto::PeerState;
use std::time::Duration;

const SIZES: [usize; 3] = [24, 63, 195];

/// Regions and services of the fleets.
const REGIONS: usize = 3;
const SERVICES: usize = 4;

fn fleet(nodes: usize) -> Fleet {
    let mut fleet = Fleet::new(nodes as u64);
    for number in 0..nodes {
        fleet.start(instance(number, SERVICES, REGIONS), &[]);
    }
    fleet.list_all();
    fleet.run(Duration::from_secs(5));
    fleet
}

/// A third of the machines of each failure domain.
fn is_of_every_third(node: usize) -> bool {
    (node / (REGIONS * 3)) % 3 == 0
}

/// Takes the power of some machines, and gives which.
fn lose(fleet: &mut Fleet, is_lost: fn(usize) -> bool) -> Vec<usize> {
    let lost: Vec<usize> = (0..fleet.nodes.len())
        .filter(|node| is_lost(*node))
        .collect();
    for node in &lost {
        fleet.nodes[*node].up = false;
    }
    lost
}

/// Pairs of a node that is up and one of `lost` that it would still give new work.
fn usable(fleet: &Fleet, lost: &[usize]) -> usize {
    let up = (0..fleet.nodes.len()).filter(|node| fleet.nodes[*node].up);
    let usable = up.flat_map(|node| {
        let alive = move |about: &&usize| fleet.state(node, **about) == Some(PeerState::Alive);
        lost.iter().filter(alive)
    });
    usable.count()
}

/// A third of all machines lose their power at once. Until the others have found out they give them a
/// third of all calls, and each of those is lost. What one node finds out it tells, so the time must not
/// grow with the fleet, as it would if each had to probe all of them.
#[test]
fn a_third_that_is_lost_at_once_is_out_of_use_within_seconds() {
    for nodes in SIZES {
        let mut fleet = fleet(nodes);
        let lost = lose(&mut fleet, is_of_every_third);
        fleet.run(Duration::from_secs(6));
        let left = usable(&fleet, &lost);
        let pairs = lost.len() * (nodes - lost.len());
        assert!(left * 50 <= pairs, "{nodes} nodes: {left} of {pairs}");
        fleet.run(Duration::from_secs(6));
        assert_eq!(usable(&fleet, &lost), 0, "{nodes} nodes");
    }
}

/// A whole region is lost. Others probe it once in eight seconds, because bytes between regions are
/// billed, and find out later than of a neighbour; until then only what has no room elsewhere goes there.
#[test]
fn a_region_that_is_lost_is_out_of_use_within_a_round_of_probes() {
    for nodes in SIZES {
        let mut fleet = fleet(nodes);
        let lost = lose(&mut fleet, |node| node % REGIONS == 0);
        fleet.run(Duration::from_secs(20));
        assert_eq!(usable(&fleet, &lost), 0, "{nodes} nodes");
    }
}

/// A third is lost, and no live machine is taken for dead meanwhile: its calls would have to go elsewhere, which
/// makes the loss larger than it is.
#[test]
fn a_mass_loss_takes_no_live_machine_with_it() {
    for nodes in SIZES {
        let mut fleet = fleet(nodes);
        let lost = lose(&mut fleet, is_of_every_third);
        fleet.run(Duration::from_secs(15));
        let live: Vec<usize> = (0..nodes).filter(|node| !lost.contains(node)).collect();
        let dead = live.iter().filter(|about| {
            let states = fleet.states(**about);
            states.contains(&Some(PeerState::Dead))
        });
        assert_eq!(dead.count(), 0, "{nodes} nodes");
    }
}

/// All machines start within moments, and each knows a few addresses. A node that does not know a server
/// for long gives it nothing, and its callers wait behind fewer.
#[test]
fn a_fleet_that_starts_at_once_knows_itself_within_seconds() {
    for nodes in SIZES {
        let mut fleet = Fleet::new(nodes as u64);
        let contacts: Vec<usize> = (0..nodes.min(32)).collect();
        for number in 0..nodes {
            fleet.start(instance(number, SERVICES, REGIONS), &contacts);
        }
        fleet.run(Duration::from_secs(8));
        let unknown = (0..nodes).flat_map(|at| {
            let others = (0..nodes).filter(move |about| *about != at);
            others
                .filter(|about| fleet.state(at, *about) != Some(PeerState::Alive))
                .collect::<Vec<_>>()
        });
        assert_eq!(unknown.count(), 0, "{nodes} nodes");
    }
}

/// All machines start at once and read each other's addresses. Each tells the others across regions, where
/// bytes are billed; grown with the square of the fleet, a start would cost the users more than all else.
#[test]
fn bytes_across_regions_at_a_start_grow_in_proportion() {
    let of_a_node = |nodes: usize| {
        let mut fleet = Fleet::new(nodes as u64);
        for number in 0..nodes {
            fleet.start(instance(number, SERVICES, REGIONS), &[]);
        }
        let addrs: Vec<_> = (0..nodes).map(addr).collect();
        for number in 0..nodes {
            fleet.add_contacts(number, &addrs);
        }
        fleet.run(Duration::from_secs(12));
        let far: u64 = fleet.nodes.iter().map(|node| node.far_bytes).sum();
        far / nodes as u64
    };
    let (small, large) = (of_a_node(45), of_a_node(195));
    assert!(large * 2 <= small * 3, "{small} and {large} bytes a node");
}
