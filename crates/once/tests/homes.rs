//! Homes, leases and moves, one failure at a time.

mod common;

use bilberry_once::BeginResult;
use bilberry_once::RunOutcome;
use common::ms;
use common::response;
use common::Cluster;
use common::Packet;
use common::FINGERPRINT;
use journal::Departure;
use proto::KeyHash;
use proto::LeaseMessage;
use proto::Reason;

/// What each of `calls` gets, in order.
fn check(cluster: &mut Cluster, calls: &[(u64, KeyHash, BeginResult)]) {
    for (number, key, expected) in calls {
        assert_eq!(
            cluster.call(*number, *key, false),
            *expected,
            "at node {number}"
        );
    }
}

const NO_LEASE: BeginResult = BeginResult::NotRun(Reason::NoLease);
const MOVING: BeginResult = BeginResult::NotRun(Reason::Moving);

#[test]
fn a_key_runs_once_and_is_replayed() {
    let mut cluster = Cluster::new(6);
    assert!(cluster.all_ready(), "{:?}", cluster.ready());
    let key = cluster.key_of(3, 0);
    check(
        &mut cluster,
        &[
            (3, key, BeginResult::Start),
            (3, key, BeginResult::Attach),
            (4, key, MOVING),
        ],
    );
    cluster.advance(ms(100));
    check(&mut cluster, &[(3, key, BeginResult::Done(response()))]);
    let now = cluster.now;
    let other = cluster
        .home(3)
        .begin(now, key, proto::Fingerprint(8), false);
    assert_eq!(other, BeginResult::NotRun(Reason::KeyMismatch));
}

/// A node is paused for longer than its lease, between the check of a call and the start of its
/// run. Meanwhile it is evicted and another has started the same key. The customer would get two
/// orders.
#[test]
fn a_home_that_was_paused_past_its_lease_starts_nothing() {
    let mut cluster = Cluster::new(6);
    let key = cluster.key_of(3, 0);
    let now = cluster.now;
    assert_eq!(
        cluster.home(3).begin(now, key, FINGERPRINT, true),
        BeginResult::Start
    );
    cluster.nodes[&3].paused = true;
    cluster.depart(3, Departure::Evicted);
    cluster.advance(ms(10_000));
    let heir = bilberry_once::slot_owner(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0;
    assert_eq!(cluster.call(heir, key, true), BeginResult::Start);
    let now = cluster.now;
    assert_eq!(cluster.home(3).start(now, key), Err(Reason::NoLease));
}

/// A node is taken for dead but lives on, cut off from the log. Until its lease has run out it may
/// start work, so the next home has to wait for that.
#[test]
fn an_evicted_home_that_lives_on_has_no_lease_before_its_successor_starts() {
    let mut cluster = Cluster::new(6);
    let key = cluster.key_of(3, 0);
    cluster.nodes[&3].sees_log = false;
    cluster.depart(3, Departure::Evicted);
    let heir = bilberry_once::slot_owner(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0;
    for _ in 0..80 {
        cluster.advance(ms(100));
        let now = cluster.now;
        let slot_taken = cluster.call(heir, key, true) == BeginResult::Start;
        let lease = cluster.home(3).lease_left(now);
        assert!(!slot_taken || lease.is_zero(), "{lease:?}");
        if slot_taken {
            return;
        }
    }
    panic!("the successor never started");
}

/// A node goes by an old view, in which enough of its fellows are as old-fashioned. The newer view
/// must be closed to it as well before a successor starts, or both hold a lease.
#[test]
fn members_that_lag_behind_several_views_keep_successors_waiting() {
    let mut cluster = Cluster::new(3);
    for lagging in [2, 3] {
        cluster.nodes[&lagging].sees_log = false;
    }
    cluster.join(4, 4);
    let key = cluster.key_of(3, 0);
    cluster.depart(3, Departure::Evicted);
    cluster.advance(ms(20_000));
    let now = cluster.now;
    assert!(!cluster.home(3).lease_left(now).is_zero());
    let heir = bilberry_once::slot_owner(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0;
    assert_ne!(cluster.call(heir, key, true), BeginResult::Start);
}

/// A grant is under way for longer than the lease. Counted from when it came, it would keep a home
/// going that its granters have long given up.
#[test]
fn a_late_grant_counts_from_when_it_was_asked_for() {
    let mut cluster = Cluster::new(2);
    cluster.fate = Box::new(|_, _, packet| match packet {
        Packet::Lease(_, LeaseMessage::Grant { .. }) => vec![ms(2_900)],
        _ => vec![ms(1)],
    });
    cluster.advance(ms(30_000));
    let now = cluster.now;
    assert!(cluster.home(1).lease_left(now).is_zero());
}

/// A node is killed and another starts at its address. A grant that was meant for the first reaches
/// the second, whose rounds have the same numbers.
#[test]
fn a_grant_to_a_predecessor_at_the_same_address_is_no_grant() {
    let mut cluster = Cluster::new(3);
    cluster.join(9, 3);
    let now = cluster.now;
    let view = cluster.home(9).view_number().unwrap();
    let grant = |from: u64, to: u64| LeaseMessage::Grant {
        from: proto::Incarnation(from),
        to: proto::Incarnation(to),
        view,
        fenced_below: 0,
        round: 1,
        log_age_ms: 0,
        granted: true,
    };
    let addr = ([127, 0, 0, 1], 1).into();
    let effects = cluster.home(9).tick(now);
    cluster.fate = Box::new(|_, _, _| Vec::new());
    cluster.apply(9, effects);
    cluster.home(9).on_lease(now, addr, grant(1, 3));
    cluster.home(9).on_lease(now, addr, grant(2, 3));
    assert!(cluster.home(9).lease_left(now).is_zero());
    cluster.home(9).on_lease(now, addr, grant(1, 9));
    cluster.home(9).on_lease(now, addr, grant(2, 9));
    assert!(!cluster.home(9).lease_left(now).is_zero());
}

/// A node is killed and restarted at once, at the same address. It has forgotten what it ran, so a
/// re-send must not be taken for new.
#[test]
fn a_restart_at_the_same_address_answers_unknown_for_the_retention() {
    let mut cluster = Cluster::new(3);
    let keys: Vec<KeyHash> = (0..8).map(|nth| cluster.key_of(3, nth)).collect();
    for key in &keys {
        check(&mut cluster, &[(3, *key, BeginResult::Start)]);
    }
    cluster.advance(ms(100));
    cluster.crash(3);
    cluster.join(9, 3);
    cluster.advance(ms(5_000));
    assert!(cluster.all_ready(), "{:?}", cluster.ready());
    let members = cluster.members();
    let home = |key: &KeyHash| {
        bilberry_once::slot_owner(&members, key.slot())
            .unwrap()
            .incarnation
            .0
    };
    for key in &keys {
        check(&mut cluster, &[(home(key), *key, BeginResult::Unknown)]);
    }
    cluster.advance(ms(17 * 60_000));
    cluster.read_log();
    let key = keys[0];
    check(&mut cluster, &[(home(&key), key, BeginResult::Start)]);
}

/// The answer to a transfer is lost, and the transfer comes twice and out of order. The giver must
/// not take the slot for its own again, and no record may be lost or doubled.
#[test]
fn transfers_that_are_lost_doubled_and_reordered_move_each_record_once() {
    let mut cluster = Cluster::new(4);
    cluster.cfg.max_part_bytes = 300;
    let keys: Vec<KeyHash> = (0..40).map(|nth| cluster.key_of(4, nth)).collect();
    for key in &keys {
        check(&mut cluster, &[(4, *key, BeginResult::Start)]);
    }
    cluster.advance(ms(100));
    let mut sent = 0;
    cluster.fate = Box::new(move |_, _, packet| {
        sent += 1;
        match packet {
            Packet::TransferDone(..) if sent % 4 != 0 => Vec::new(),
            Packet::Transfer(_) if sent % 3 == 0 => Vec::new(),
            Packet::Transfer(_) => vec![ms(400 - sent % 400), ms(1 + sent % 7)],
            _ => vec![ms(1)],
        }
    });
    cluster.leave(4);
    cluster.advance(ms(9_000));
    assert!(cluster.home(4).is_handed_over());
    assert!(cluster.all_ready(), "{:?}", cluster.ready());
    let members = cluster.members();
    for key in &keys {
        let home = bilberry_once::slot_owner(&members, key.slot())
            .unwrap()
            .incarnation
            .0;
        check(
            &mut cluster,
            &[
                (home, *key, BeginResult::Done(response())),
                (4, *key, MOVING),
            ],
        );
    }
}

/// A planned leave while a run is in flight. A re-send goes to the new home, has to wait for the
/// old one's answer and must not start a second run.
#[test]
fn a_run_in_flight_when_its_slot_moves_is_attached_to_and_its_end_moves_too() {
    let mut cluster = Cluster::new(4);
    cluster.run = ms(2_000);
    let key = cluster.key_of(4, 0);
    check(&mut cluster, &[(4, key, BeginResult::Start)]);
    cluster.leave(4);
    let heir = bilberry_once::slot_owner(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0;
    check(&mut cluster, &[(heir, key, BeginResult::Wait)]);
    cluster.advance(ms(100));
    check(
        &mut cluster,
        &[
            (heir, key, BeginResult::Attach),
            (4, key, BeginResult::Attach),
        ],
    );
    assert!(!cluster.home(4).is_handed_over());
    cluster.advance(ms(3_000));
    assert!(cluster
        .node(heir)
        .seen
        .contains(&bilberry_once::Effect::RemoteRunEnded(key)));
    check(&mut cluster, &[(heir, key, BeginResult::Done(response()))]);
    assert!(cluster.home(4).is_handed_over());
}

/// A slot moves on twice before its first transfer came. The node in the middle owns it in no view
/// any more, and would keep the records for ever.
#[test]
fn a_slot_that_moved_on_is_passed_on() {
    let mut cluster = Cluster::new(3);
    let key = cluster.key_of(3, 0);
    check(&mut cluster, &[(3, key, BeginResult::Start)]);
    cluster.advance(ms(100));
    cluster.nodes[&3].sees_log = false;
    let mut joined = 4;
    while bilberry_once::slot_owner(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0
        == 3
    {
        cluster.join(joined, joined as u16);
        joined += 1;
    }
    let middle = bilberry_once::slot_owner(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0;
    cluster.leave(middle);
    assert!(!cluster.home(middle).is_handed_over());
    cluster.nodes[&3].sees_log = true;
    cluster.read_log();
    cluster.advance(ms(2_000));
    let heir = bilberry_once::slot_owner(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0;
    check(&mut cluster, &[(heir, key, BeginResult::Done(response()))]);
    assert!(cluster.home(middle).is_handed_over());
}

/// The log is down for an hour while all instances are up. Orders must go on.
#[test]
fn leases_go_on_through_an_hour_without_the_log_but_not_for_ever() {
    let mut cluster = Cluster::new(6);
    cluster.read_log();
    let key = cluster.key_of(3, 0);
    cluster.advance(ms(60 * 60_000));
    check(&mut cluster, &[(3, key, BeginResult::Start)]);
    cluster.advance(ms(61 * 60_000));
    let key = cluster.key_of(3, 1);
    check(&mut cluster, &[(3, key, NO_LEASE)]);
}

/// Two of three members crash at once. Nobody is left who could say that they hold no lease, and
/// the third would wait for ever. It waits a hundredth longer than the two could go on without the
/// log, because their clocks may run that much slower than its own.
#[test]
fn a_view_whose_quorum_is_gone_is_fenced_by_silence() {
    let mut cluster = Cluster::new(3);
    let key = cluster.key_of(1, 0);
    for dead in [1, 2] {
        cluster.crash(dead);
        cluster.depart(dead, Departure::Evicted);
    }
    for (minutes, expected) in [
        (1, NO_LEASE),
        (118, NO_LEASE),
        (2, NO_LEASE),
        (1, BeginResult::Start),
    ] {
        cluster.advance(ms(minutes * 60_000));
        cluster.read_log();
        assert_eq!(
            cluster.call(3, key, true),
            expected,
            "after {minutes} more minutes"
        );
    }
}

/// Regions lose each other, and each holds half of a service. One of them must go on, never both.
#[test]
fn an_even_split_leaves_one_side_with_leases() {
    let mut cluster = Cluster::new(6);
    cluster.fate = Box::new(|from, to, _| match (from <= 3) == (to <= 3) {
        true => vec![ms(1)],
        false => Vec::new(),
    });
    cluster.advance(ms(10_000));
    let now = cluster.now;
    let leased: Vec<u64> = (1..=6)
        .filter(|number| !cluster.home(*number).lease_left(now).is_zero())
        .collect();
    assert_eq!(leased, [1, 2, 3]);
}

/// A node is evicted by mistake, sees it, and has everything still. Its records must reach the new
/// homes, and then it has to come back as another incarnation.
#[test]
fn an_evicted_node_hands_over_and_is_told_to_start_anew() {
    let mut cluster = Cluster::new(6);
    let key = cluster.key_of(3, 0);
    check(&mut cluster, &[(3, key, BeginResult::Start)]);
    cluster.advance(ms(100));
    cluster.depart(3, Departure::Evicted);
    cluster.advance(ms(1_000));
    let heir = bilberry_once::slot_owner(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0;
    check(&mut cluster, &[(heir, key, BeginResult::Done(response()))]);
    assert!(cluster
        .node(3)
        .seen
        .contains(&bilberry_once::Effect::Expelled));
}

/// A node is started while it reaches the store but none of the others, and they evict it. It holds
/// nothing and waits for nothing that comes, so nothing wakes it; left running it would be in no view
/// for good, and its part of the service would be missing until an operator noticed.
#[test]
fn an_evicted_node_that_never_got_anything_ends() {
    let cluster = Cluster::new(6);
    let newcomer = common::instance(9, cluster.node(3).instance.addr.port());
    let mut members = cluster.members();
    members.retain(|member| member.addr != newcomer.addr);
    let others = members.clone();
    members.push(newcomer.clone());
    let view = |number, members: &[proto::Instance], departed: u64| journal::View {
        number,
        members: members.to_vec(),
        departed: vec![(proto::Incarnation(departed), Departure::Evicted)],
        recent_changes: Vec::new(),
    };
    let mut home = bilberry_once::Home::new(cluster.cfg.clone(), newcomer.incarnation);
    let mut now = cluster.now;
    home.on_view(now, &view(10, &cluster.members(), 0));
    home.on_view(now, &view(20, &members, 3));
    home.on_view(now, &view(30, &others, 9));
    let end = now + 2 * cluster.cfg.transfer_timeout;
    let mut seen = Vec::new();
    while let Some(due) = home.next_timer().filter(|due| *due <= end) {
        now = now.max(due);
        seen.extend(home.tick(now));
    }
    assert!(seen.contains(&bilberry_once::Effect::Expelled));
}

/// A response larger than the table, and more keys than it has room for. Live records must stay.
#[test]
fn a_full_table_refuses_new_keys_and_keeps_the_old() {
    let mut cluster = Cluster::new(1);
    let kept = cluster.key_of(1, 0);
    check(&mut cluster, &[(1, kept, BeginResult::Start)]);
    cluster.advance(ms(100));
    let mut nth = 1;
    let refused = loop {
        let key = cluster.key_of(1, nth);
        nth += 1;
        if cluster.call(1, key, false) != BeginResult::Start {
            break key;
        }
    };
    check(
        &mut cluster,
        &[(1, refused, BeginResult::NotRun(Reason::TableFull))],
    );
    check(&mut cluster, &[(1, kept, BeginResult::Done(response()))]);
    let max = cluster.cfg.max_bytes;
    assert!(cluster.home(1).record_usage().1 <= max);
    let now = cluster.now;
    let huge = proto::Response {
        body: vec![0; max].into(),
        ..response()
    };
    let key = cluster.key_of(1, 1);
    cluster.home(1).finish(now, key, RunOutcome::Done(huge));
    check(&mut cluster, &[(1, key, BeginResult::Unknown)]);
    assert!(cluster.home(1).record_usage().1 <= max);
}
