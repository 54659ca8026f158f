//! Many machines that fail or start at once, in fleets of several sizes.

mod common;

use common::addr;
use common::instance;
use common::Fleet;
use proto::PeerState;
use std::time::Duration;

const SIZES: [usize; 3] = [24, 63, 195];

/// Number of regions and services of the fleets.
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

/// Whether a node belongs to the third of its failure domain that is lost.
fn is_in_lost_third(node: usize) -> bool {
    (node / (REGIONS * 3)) % 3 == 0
}

/// Powers off some nodes and returns their numbers.
fn power_off(fleet: &mut Fleet, is_lost: fn(usize) -> bool) -> Vec<usize> {
    let lost: Vec<usize> = (0..fleet.nodes.len())
        .filter(|node| is_lost(*node))
        .collect();
    for node in &lost {
        fleet.nodes[*node].up = false;
    }
    lost
}

/// Number of pairs of a node that is up and a lost one that it still considers alive, and so would
/// give new work.
fn pairs_in_use(fleet: &Fleet, lost: &[usize]) -> usize {
    let up = (0..fleet.nodes.len()).filter(|node| fleet.nodes[*node].up);
    let pairs = up.flat_map(|node| {
        let alive = move |subject: &&usize| fleet.state(node, **subject) == Some(PeerState::Alive);
        lost.iter().filter(alive)
    });
    pairs.count()
}

/// A third of all machines lose power at once. Until the others detect it they send a third of all
/// calls to these machines, and each of those calls is lost. Detections are shared by gossip, so
/// the time must not grow with the fleet as it would if each node had to probe all machines.
#[test]
fn simultaneous_loss_of_a_third_is_detected_within_seconds() {
    for nodes in SIZES {
        let mut fleet = fleet(nodes);
        let lost = power_off(&mut fleet, is_in_lost_third);
        fleet.run(Duration::from_secs(6));
        let remaining = pairs_in_use(&fleet, &lost);
        let pairs = lost.len() * (nodes - lost.len());
        assert!(
            remaining * 50 <= pairs,
            "{nodes} nodes: {remaining} of {pairs}"
        );
        fleet.run(Duration::from_secs(6));
        assert_eq!(pairs_in_use(&fleet, &lost), 0, "{nodes} nodes");
    }
}

/// A whole region is lost. Other regions probe it once in eight seconds, because traffic between
/// regions is billed, and detect the loss later than that of a machine in their own region. Until
/// then, only calls that find no capacity elsewhere go there.
#[test]
fn lost_region_is_detected_within_one_probe_round() {
    for nodes in SIZES {
        let mut fleet = fleet(nodes);
        let lost = power_off(&mut fleet, |node| node % REGIONS == 0);
        fleet.run(Duration::from_secs(20));
        assert_eq!(pairs_in_use(&fleet, &lost), 0, "{nodes} nodes");
    }
}

/// A third of the machines is lost, and no live one may be declared dead meanwhile: its calls would
/// have to go elsewhere, which would make the loss larger than it is.
#[test]
fn mass_loss_marks_no_live_machine_dead() {
    for nodes in SIZES {
        let mut fleet = fleet(nodes);
        let lost = power_off(&mut fleet, is_in_lost_third);
        fleet.run(Duration::from_secs(15));
        let live: Vec<usize> = (0..nodes).filter(|node| !lost.contains(node)).collect();
        let dead = live.iter().filter(|subject| {
            let states = fleet.states(**subject);
            states.contains(&Some(PeerState::Dead))
        });
        assert_eq!(dead.count(), 0, "{nodes} nodes");
    }
}

/// A tenth of all packets is lost, so that some peers are always suspects. If nodes took that for a
/// mass failure and probed more, they would suspect more live peers.
#[test]
fn packet_loss_is_not_taken_for_a_mass_failure() {
    const SECS: u64 = 30;
    let nodes = 195;
    let mut fleet = fleet(nodes);
    let suspicions = |fleet: &Fleet| fleet.nodes.iter().map(|node| node.suspected).sum::<u32>();
    let before = suspicions(&fleet);
    fleet.loss_rate = 0.1;
    fleet.run(Duration::from_secs(SECS));
    // Each node probes once a second. A probe fails if the ping or its ack is lost, and so is one of
    // the four datagrams of each of three indirect probes. All nodes learn of the suspicion.
    let failed = (1.0 - 0.9_f64.powi(2)) * (1.0 - 0.9_f64.powi(4)).powi(3);
    let expected = (nodes * nodes) as f64 * SECS as f64 * failed;
    let suspicions = f64::from(suspicions(&fleet) - before);
    assert!(
        suspicions <= expected * 1.3,
        "{suspicions} where {expected} are expected"
    );
}

/// All machines start at the same time, and each knows a few addresses. A node that does not know a
/// server for long sends it no calls, and its callers queue for fewer servers.
#[test]
fn simultaneous_start_converges_within_seconds() {
    for nodes in SIZES {
        let mut fleet = Fleet::new(nodes as u64);
        let contacts: Vec<usize> = (0..nodes.min(32)).collect();
        for number in 0..nodes {
            fleet.start(instance(number, SERVICES, REGIONS), &contacts);
        }
        fleet.run(Duration::from_secs(8));
        let unknown = (0..nodes).flat_map(|at| {
            let others = (0..nodes).filter(move |subject| *subject != at);
            others
                .filter(|subject| fleet.state(at, *subject) != Some(PeerState::Alive))
                .collect::<Vec<_>>()
        });
        assert_eq!(unknown.count(), 0, "{nodes} nodes");
    }
}

/// All machines start at once and read each other's addresses. Each announces itself across
/// regions, where traffic is billed. If the traffic per node grew in proportion to the fleet, i.e.
/// the total with its square, a start would cost more than all other traffic.
#[test]
fn cross_region_bytes_at_start_grow_linearly_with_fleet_size() {
    let bytes_per_node = |nodes: usize| {
        let mut fleet = Fleet::new(nodes as u64);
        for number in 0..nodes {
            fleet.start(instance(number, SERVICES, REGIONS), &[]);
        }
        let addrs: Vec<_> = (0..nodes).map(addr).collect();
        for number in 0..nodes {
            fleet.add_contacts(number, &addrs);
        }
        fleet.run(Duration::from_secs(12));
        let cross_region_bytes: u64 = fleet.nodes.iter().map(|node| node.cross_region_bytes).sum();
        cross_region_bytes / nodes as u64
    };
    let (small, large) = (bytes_per_node(45), bytes_per_node(195));
    assert!(large * 2 <= small * 3, "{small} and {large} bytes a node");
}
