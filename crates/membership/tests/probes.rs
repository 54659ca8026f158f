//! The states that nodes assign to each other after faults.

mod common;

use common::addr;
use common::instance;
use common::Fleet;
use proto::Incarnation;
use proto::Instance;
use proto::LoadReport;
use proto::MemberMessage;
use proto::PeerState;
use proto::PeerUpdate;
use std::time::Duration;

const ALIVE: Option<PeerState> = Some(PeerState::Alive);
const DEAD: Option<PeerState> = Some(PeerState::Dead);
const LEAVING: Option<PeerState> = Some(PeerState::Leaving);

fn check(fleet: &Fleet, subject: usize, expected: &[Option<PeerState>]) {
    assert_eq!(fleet.states(subject), expected, "node {subject}");
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

#[test]
fn healthy_fleet_considers_all_nodes_alive() {
    let mut fleet = Fleet::listed(1, 24);
    fleet.run(secs(60));
    for subject in 0..24 {
        check(&fleet, subject, &[ALIVE]);
    }
    assert_eq!(fleet.evicted(), []);
}

#[test]
fn killed_instance_is_dead_at_all_nodes() {
    // A process is killed and no longer answers. Calls to it would each wait for a connection that
    // is never accepted.
    let mut fleet = Fleet::listed(2, 24);
    fleet.run(secs(10));
    fleet.nodes[5].up = false;
    fleet.run(secs(10));
    check(&fleet, 5, &[DEAD]);
}

#[test]
fn packet_loss_marks_no_live_node_dead() {
    // A tenth of all datagrams is lost. If that marked live peers as dead, load would move to the
    // remaining ones, which causes more loss.
    let mut fleet = Fleet::listed(3, 24);
    fleet.loss_rate = 0.1;
    fleet.run(secs(120));
    fleet.loss_rate = 0.0;
    fleet.run(secs(10));
    for subject in 0..24 {
        check(&fleet, subject, &[ALIVE]);
    }
    assert_eq!(fleet.evicted(), []);
}

#[test]
fn indirect_probes_cover_a_broken_path() {
    // One path is broken in one direction, all others work. Without indirect probes, one end would
    // have the other evicted although all other nodes reach it.
    let mut fleet = Fleet::listed(4, 12);
    fleet.drops = Box::new(|from, to| from == 0 && to == 2);
    fleet.run(secs(60));
    check(&fleet, 2, &[ALIVE]);
    check(&fleet, 0, &[ALIVE]);
    assert!(fleet.nodes.iter().all(|node| node.suspected == 0));
}

#[test]
fn paused_instance_is_alive_again_after_resume() {
    // A process is paused for half a minute. Meanwhile the others consider it dead, and it
    // considers all others dead. If these states were final, a working instance would never get
    // work again.
    let mut fleet = Fleet::listed(5, 12);
    fleet.run(secs(10));
    fleet.nodes[3].up = false;
    fleet.run(secs(30));
    check(&fleet, 3, &[DEAD]);
    fleet.nodes[3].up = true;
    fleet.run(secs(20));
    check(&fleet, 3, &[ALIVE]);
    for subject in 0..12 {
        check(&fleet, subject, &[ALIVE]);
    }
}

#[test]
fn partitioned_regions_rejoin_without_the_log() {
    // The regions are partitioned for ten minutes, and an instance starts in each. Both sides
    // consider the other dead, and neither has heard of the other's new instance. Once the path is
    // restored all of them must be used again, without the log.
    let mut fleet = Fleet::listed(6, 12);
    fleet.run(secs(5));
    fleet.drops = Box::new(|from, to| from % 2 != to % 2);
    fleet.run(secs(30));
    for number in [12, 13] {
        fleet.start(instance(number, 2, 2), &[number - 12]);
    }
    fleet.run(secs(600));
    assert_eq!(fleet.state(0, 1), DEAD);
    assert_eq!(fleet.state(0, 13), None);
    fleet.drops = Box::new(|_, _| false);
    fleet.run(secs(60));
    for subject in 0..14 {
        check(&fleet, subject, &[ALIVE]);
    }
}

#[test]
fn instances_started_without_the_log_discover_each_other() {
    // The log is unavailable, so no node is on a roster. Each node has one contact, which may not
    // have started yet.
    let mut fleet = Fleet::new(7);
    for number in 0..9 {
        fleet.start(instance(number, 3, 3), &[(number + 4) % 9]);
        fleet.run(Duration::from_millis(700));
    }
    fleet.run(secs(30));
    for subject in 0..9 {
        check(&fleet, subject, &[ALIVE]);
    }
}

#[test]
fn unreachable_contact_adds_no_peer() {
    let mut fleet = Fleet::new(8);
    fleet.start(instance(0, 1, 1), &[5]);
    fleet.run(secs(30));
    assert_eq!(fleet.nodes[0].members.peers().count(), 0);
}

#[test]
fn restart_at_same_address_ends_previous_incarnation() {
    // A process is killed and another one starts at its address before the loss is detected. It
    // answers the probes but has none of its predecessor's state, so calls meant for the
    // predecessor must not be sent to it.
    let mut fleet = Fleet::listed(9, 12);
    fleet.run(secs(5));
    fleet.nodes[4].up = false;
    let mut new_node = instance(4, 2, 2);
    new_node.incarnation = Incarnation(77);
    let new_node = fleet.start(new_node, &[0]);
    fleet.run(secs(20));
    check(&fleet, 4, &[DEAD]);
    check(&fleet, new_node, &[ALIVE]);
}

#[test]
fn ack_from_new_incarnation_ends_previous_one() {
    // A new incarnation announces a known peer's address as its own. That may be an old message;
    // its ack to a ping is not, and from then on no node may use the previous incarnation.
    let mut fleet = Fleet::listed(14, 2);
    fleet.run(Duration::from_millis(100));
    fleet.nodes[1].up = false;
    let from = PeerUpdate {
        instance: Instance {
            incarnation: Incarnation(77),
            ..instance(1, 2, 2)
        },
        state: PeerState::Alive,
        revision: 0,
        accepts_work: true,
    };
    let (digest, load, updates) = (0, LoadReport::default(), Vec::new());
    let ping = MemberMessage::Ping {
        from: from.clone(),
        seq: 1,
        digest,
        load,
        updates: updates.clone(),
    };
    fleet.deliver(0, addr(1), ping);
    assert_eq!(fleet.state(0, 1), ALIVE);
    let seq = fleet.nodes[0].last_ping + 1;
    while fleet.nodes[0].last_ping < seq {
        fleet.run(Duration::from_millis(10));
    }
    let ack = MemberMessage::Ack {
        from,
        seq,
        digest,
        load,
        updates,
    };
    fleet.deliver(0, addr(1), ack);
    assert_eq!(fleet.state(0, 1), DEAD);
    let new_node = fleet.nodes[0].members.get(Incarnation(77));
    assert!(new_node.is_some_and(|peer| peer.state == PeerState::Alive));
}

#[test]
fn late_update_about_ended_incarnation_is_ignored() {
    // An update about an incarnation arrives after that was replaced at its address. Treating the
    // latest update as the latest incarnation would send calls to one that no longer exists.
    let mut fleet = Fleet::listed(10, 6);
    fleet.run(secs(5));
    let mut old = instance(4, 2, 2);
    old.incarnation = Incarnation(3);
    let updates = vec![PeerUpdate {
        instance: old,
        state: PeerState::Alive,
        revision: 50,
        accepts_work: true,
    }];
    for to in [0, 1, 2] {
        fleet.deliver(
            to,
            addr(5),
            MemberMessage::Gossip {
                updates: updates.clone(),
            },
        );
    }
    for _ in 0..100 {
        let stale = |at: usize| fleet.nodes[at].members.get(Incarnation(3));
        assert!((0..6).all(|at| stale(at).is_none_or(|peer| peer.state == PeerState::Dead)));
        check(&fleet, 4, &[ALIVE]);
        fleet.run(Duration::from_millis(200));
    }
}

#[test]
fn new_node_knows_all_peers_within_seconds() {
    // An instance starts while the log is unavailable. Updates about the others are no longer sent,
    // and its calls can go only to peers it knows.
    let mut fleet = Fleet::new(15);
    for number in 0..48 {
        fleet.start(instance(number, 20, 2), &[0]);
    }
    fleet.run(secs(60));
    let new_node = fleet.start(instance(48, 20, 2), &[7]);
    fleet.run(secs(8));
    assert_eq!(fleet.nodes[new_node].members.peers().count(), 48);
}

#[test]
fn resumed_node_does_not_declare_suspects_dead() {
    // A process is paused while it suspects others, and resumes when their time to refute is over.
    // Their answers are still in its socket, so without restarting its timers it would declare them
    // dead at once.
    let mut fleet = Fleet::listed(16, 24);
    fleet.run(secs(5));
    fleet.loss_rate = 0.6;
    fleet.run(secs(4));
    fleet.loss_rate = 0.0;
    let suspects = (1..24).filter(|subject| fleet.state(0, *subject) == Some(PeerState::Suspect));
    assert!(suspects.count() > 0);
    let deaths_before = fleet.nodes[0].deaths;
    fleet.nodes[0].up = false;
    fleet.run(secs(20));
    fleet.nodes[0].up = true;
    fleet.run(secs(10));
    assert_eq!(fleet.nodes[0].deaths, deaths_before);
}

#[test]
fn leaving_node_notifies_recent_contacts_at_once() {
    let mut fleet = Fleet::listed(17, 12);
    fleet.run(secs(20));
    fleet.leave(7);
    fleet.run(Duration::from_millis(25));
    check(&fleet, 7, &[LEAVING]);
}

#[test]
fn leave_reaches_all_nodes_within_three_seconds_despite_loss() {
    // A planned stop is announced while a third of all datagrams is lost. A node that missed it
    // would still choose the instance, and each such call costs a redirect.
    let mut fleet = Fleet::listed(11, 96);
    fleet.run(secs(5));
    fleet.loss_rate = 0.33;
    fleet.leave(7);
    fleet.run(secs(3));
    check(&fleet, 7, &[LEAVING]);
}

#[test]
fn unlisted_instance_gets_no_new_work_but_stays_reachable() {
    // An instance has written its departure to the log and still finishes its work in flight. Its
    // answers and calls need its address, and updates that say it is alive must not make it usable
    // again.
    let mut fleet = Fleet::listed(12, 6);
    fleet.run(secs(5));
    let roster: Vec<_> = (0..5).map(|number| instance(number, 2, 2)).collect();
    for at in 0..5 {
        fleet.set_roster(at, &roster);
    }
    fleet.run(secs(30));
    check(&fleet, 5, &[LEAVING]);
    fleet.nodes[5].up = false;
    fleet.run(secs(20));
    check(&fleet, 5, &[DEAD]);
    fleet.run(secs(700));
    check(&fleet, 5, &[None]);
}

#[test]
fn datagram_size_is_bounded() {
    let mut fleet = Fleet::new(13);
    for number in 0..150 {
        fleet.start(instance(number, 20, 2), &[0]);
    }
    fleet.run(secs(20));
    let largest_datagram = fleet.nodes.iter().map(|node| node.largest_datagram).max();
    assert!(
        largest_datagram.is_some_and(|largest_datagram| largest_datagram <= 1200),
        "{largest_datagram:?}"
    );
    assert_eq!(fleet.nodes[149].members.peers().count(), 149);
}
