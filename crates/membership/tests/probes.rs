//! Who is held for what, after faults.

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

fn check(fleet: &Fleet, about: usize, expected: &[Option<PeerState>]) {
    assert_eq!(fleet.states(about), expected, "node {about}");
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

#[test]
fn a_quiet_fleet_holds_all_for_alive() {
    let mut fleet = Fleet::listed(1, 24);
    fleet.run(secs(60));
    for about in 0..24 {
        check(&fleet, about, &[ALIVE]);
    }
    assert_eq!(fleet.evicted(), []);
}

#[test]
fn a_killed_instance_is_found_dead_everywhere() {
    // A process is killed and says nothing any more. Calls to it would each wait for a connection
    // that nobody accepts.
    let mut fleet = Fleet::listed(2, 24);
    fleet.run(secs(10));
    fleet.nodes[5].up = false;
    fleet.run(secs(10));
    check(&fleet, 5, &[DEAD]);
}

#[test]
fn loss_kills_nobody() {
    // A tenth of all datagrams is lost. If that made live peers dead, load would be pushed to the
    // rest of them, which makes more loss.
    let mut fleet = Fleet::listed(3, 24);
    fleet.loss = 0.1;
    fleet.run(secs(120));
    fleet.loss = 0.0;
    fleet.run(secs(10));
    for about in 0..24 {
        check(&fleet, about, &[ALIVE]);
    }
    assert_eq!(fleet.evicted(), []);
}

#[test]
fn a_pair_that_cannot_talk_is_helped_by_the_others() {
    // One path is broken in one direction, all others are fine. Without probes through others one
    // end would have the other one evicted, though everybody else reaches it.
    let mut fleet = Fleet::listed(4, 12);
    fleet.cut = Box::new(|from, to| from == 0 && to == 2);
    fleet.run(secs(60));
    check(&fleet, 2, &[ALIVE]);
    check(&fleet, 0, &[ALIVE]);
    assert!(fleet.nodes.iter().all(|node| node.suspected == 0));
}

#[test]
fn a_paused_instance_comes_back() {
    // A process is stopped for half a minute and goes on. It is held for dead meanwhile, by itself
    // everybody else is; if the verdict stood, a good instance would never get work again.
    let mut fleet = Fleet::listed(5, 12);
    fleet.run(secs(10));
    fleet.nodes[3].up = false;
    fleet.run(secs(30));
    check(&fleet, 3, &[DEAD]);
    fleet.nodes[3].up = true;
    fleet.run(secs(20));
    check(&fleet, 3, &[ALIVE]);
    for about in 0..12 {
        check(&fleet, about, &[ALIVE]);
    }
}

#[test]
fn regions_that_were_apart_find_each_other_again() {
    // The regions lose each other for ten minutes, and an instance starts in each. Both sides hold
    // the other for dead, and neither has ever heard of the other's newcomer. Once the path is back
    // all have to be in use again, without the log.
    let mut fleet = Fleet::listed(6, 12);
    fleet.run(secs(5));
    fleet.cut = Box::new(|from, to| from % 2 != to % 2);
    fleet.run(secs(30));
    for number in [12, 13] {
        fleet.start(instance(number, 2, 2), &[number - 12]);
    }
    fleet.run(secs(600));
    assert_eq!(fleet.state(0, 1), DEAD);
    assert_eq!(fleet.state(0, 13), None);
    fleet.cut = Box::new(|_, _| false);
    fleet.run(secs(60));
    for about in 0..14 {
        check(&fleet, about, &[ALIVE]);
    }
}

#[test]
fn instances_that_start_in_an_outage_of_the_log_find_each_other() {
    // The log is down, so nobody is on a roster. Each node has one contact, which may not have
    // started yet.
    let mut fleet = Fleet::new(7);
    for number in 0..9 {
        fleet.start(instance(number, 3, 3), &[(number + 4) % 9]);
        fleet.run(Duration::from_millis(700));
    }
    fleet.run(secs(30));
    for about in 0..9 {
        check(&fleet, about, &[ALIVE]);
    }
}

#[test]
fn a_contact_where_nobody_is_tells_nothing() {
    let mut fleet = Fleet::new(8);
    fleet.start(instance(0, 1, 1), &[5]);
    fleet.run(secs(30));
    assert_eq!(fleet.nodes[0].members.peers().count(), 0);
}

#[test]
fn a_restart_at_the_same_address_ends_the_earlier_incarnation() {
    // A process is killed and another one is there before anybody noticed. It answers the probes,
    // but has forgotten all that its predecessor knew; calls meant for that one must not count on
    // it.
    let mut fleet = Fleet::listed(9, 12);
    fleet.run(secs(5));
    fleet.nodes[4].up = false;
    let mut newcomer = instance(4, 2, 2);
    newcomer.incarnation = Incarnation(77);
    let newcomer = fleet.start(newcomer, &[0]);
    fleet.run(secs(20));
    check(&fleet, 4, &[DEAD]);
    check(&fleet, newcomer, &[ALIVE]);
}

#[test]
fn an_answer_from_another_incarnation_ends_the_earlier_one() {
    // A newcomer says that it is at a known peer's address. That alone may be an old message; its
    // answer to a ping is not, and from then on nobody may count on the earlier one.
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
    let (digest, load, rumours) = (0, LoadReport::default(), Vec::new());
    let ping = MemberMessage::Ping {
        from: from.clone(),
        seq: 1,
        digest,
        load,
        updates: rumours.clone(),
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
        updates: rumours,
    };
    fleet.deliver(0, addr(1), ack);
    assert_eq!(fleet.state(0, 1), DEAD);
    let newcomer = fleet.nodes[0].members.get(Incarnation(77));
    assert!(newcomer.is_some_and(|peer| peer.state == PeerState::Alive));
}

#[test]
fn a_late_rumour_of_an_ended_incarnation_is_not_believed() {
    // News of an incarnation arrives after it was replaced at its address. Taking the newest rumour
    // for the newest incarnation would send calls to one that is not there.
    let mut fleet = Fleet::listed(10, 6);
    fleet.run(secs(5));
    let mut old = instance(4, 2, 2);
    old.incarnation = Incarnation(3);
    let rumours = vec![PeerUpdate {
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
                updates: rumours.clone(),
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
fn a_newcomer_knows_everybody_within_seconds() {
    // An instance starts in an outage of the log. All news about the others is long over, and its
    // calls can go only where it knows somebody.
    let mut fleet = Fleet::new(15);
    for number in 0..48 {
        fleet.start(instance(number, 20, 2), &[0]);
    }
    fleet.run(secs(60));
    let newcomer = fleet.start(instance(48, 20, 2), &[7]);
    fleet.run(secs(8));
    assert_eq!(fleet.nodes[newcomer].members.peers().count(), 48);
}

#[test]
fn who_was_paused_does_not_take_others_for_dead() {
    // A process is frozen while it suspects others, and wakes up when all the time that they had
    // is over. Their answers are still in its socket; its first act would be to declare them dead.
    let mut fleet = Fleet::listed(16, 24);
    fleet.run(secs(5));
    fleet.loss = 0.6;
    fleet.run(secs(4));
    fleet.loss = 0.0;
    let suspects = (1..24).filter(|about| fleet.state(0, *about) == Some(PeerState::Suspect));
    assert!(suspects.count() > 0);
    let died = fleet.nodes[0].died;
    fleet.nodes[0].up = false;
    fleet.run(secs(20));
    fleet.nodes[0].up = true;
    fleet.run(secs(10));
    assert_eq!(fleet.nodes[0].died, died);
}

#[test]
fn who_leaves_tells_those_in_touch_at_once() {
    let mut fleet = Fleet::listed(17, 12);
    fleet.run(secs(20));
    fleet.leave(7);
    fleet.run(Duration::from_millis(25));
    check(&fleet, 7, &[LEAVING]);
}

#[test]
fn who_leaves_is_known_everywhere_within_three_seconds_though_messages_are_lost() {
    // A planned stop announces itself, and a third of all datagrams is lost. A node that missed it
    // would go on choosing the instance, and each such call costs a redirect.
    let mut fleet = Fleet::listed(11, 96);
    fleet.run(secs(5));
    fleet.loss = 0.33;
    fleet.leave(7);
    fleet.run(secs(3));
    check(&fleet, 7, &[LEAVING]);
}

#[test]
fn who_the_log_dropped_gets_nothing_new_and_stays_reachable() {
    // An instance has said to the log that it leaves, and still finishes what it has in flight. Its
    // answers and calls need its address, and rumours of its being alive must not bring it back.
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
fn datagrams_are_bounded_however_much_there_is_to_say() {
    let mut fleet = Fleet::new(13);
    for number in 0..150 {
        fleet.start(instance(number, 20, 2), &[0]);
    }
    fleet.run(secs(20));
    let largest = fleet.nodes.iter().map(|node| node.largest).max();
    assert!(
        largest.is_some_and(|largest| largest <= 1200),
        "{largest:?}"
    );
    assert_eq!(fleet.nodes[149].members.peers().count(), 149);
}
