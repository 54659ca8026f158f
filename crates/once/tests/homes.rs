//! Scenario tests of homes, leases and moves, with one failure each.

mod common;

use bilberry_once::slot_home;
use bilberry_once::BeginResult;
use bilberry_once::Effect;
use bilberry_once::RunOutcome;
use common::ms;
use common::response;
use common::Cluster;
use common::Packet;
use common::FINGERPRINT;
use journal::Departure;
use proto::CallId;
use proto::Incarnation;
use proto::KeyHash;
use proto::LeaseMessage;
use proto::Reason;

/// Makes each of `calls` in order and checks its result.
fn check(cluster: &mut Cluster, calls: &[(u64, KeyHash, BeginResult)]) {
    for (number, key, expected) in calls {
        assert_eq!(
            cluster.call(*number, *key, false),
            *expected,
            "at node {number}"
        );
    }
}

const CALL: CallId = CallId {
    from: Incarnation(1),
    number: 1,
};
const NO_LEASE: BeginResult = BeginResult::NotRun(Reason::NoLease);
const MOVING: BeginResult = BeginResult::NotRun(Reason::Moving);

#[test]
fn key_runs_once_and_response_is_replayed() {
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

/// A node is paused for longer than its lease between accepting a call and starting its run.
/// Meanwhile it is evicted, and its successor starts the same key. A second start would give the
/// customer a duplicate order.
#[test]
fn paused_home_with_expired_lease_starts_no_run() {
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
    let new_home = slot_home(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0;
    assert_eq!(cluster.call(new_home, key, true), BeginResult::Start);
    let now = cluster.now;
    assert_eq!(cluster.home(3).start(now, key), Err(Reason::NoLease));
}

/// A node is evicted as dead but is alive, without access to the log. It may start runs until its
/// lease has expired, so the next home has to wait for that.
#[test]
fn evicted_live_home_loses_lease_before_successor_starts() {
    let mut cluster = Cluster::new(6);
    let key = cluster.key_of(3, 0);
    cluster.nodes[&3].reads_log = false;
    cluster.depart(3, Departure::Evicted);
    let new_home = slot_home(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0;
    for _ in 0..80 {
        cluster.advance(ms(100));
        let now = cluster.now;
        let successor_started = cluster.call(new_home, key, true) == BeginResult::Start;
        let lease = cluster.home(3).lease_left(now);
        assert!(!successor_started || lease.is_zero(), "{lease:?}");
        if successor_started {
            return;
        }
    }
    panic!("node {new_home} did not start the run within 8 s of the eviction");
}

/// A node uses a view several changes old, and enough of that view's members lag behind as well to
/// form a quorum and grant it a lease. Its successor must wait until all earlier views are fenced,
/// not only the last one, or both hold a lease.
#[test]
fn successor_waits_for_members_lagging_several_views() {
    let mut cluster = Cluster::new(3);
    for lagging in [2, 3] {
        cluster.nodes[&lagging].reads_log = false;
    }
    cluster.join(4, 4);
    let key = cluster.key_of(3, 0);
    cluster.depart(3, Departure::Evicted);
    cluster.advance(ms(20_000));
    let now = cluster.now;
    assert!(!cluster.home(3).lease_left(now).is_zero());
    let new_home = slot_home(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0;
    assert_ne!(cluster.call(new_home, key, true), BeginResult::Start);
}

/// Grants are delayed beyond the usable part of the lease. Counted from their arrival, they would
/// keep alive a lease that the granters consider expired.
#[test]
fn delayed_grant_counts_from_request_time() {
    let mut cluster = Cluster::new(2);
    cluster.delays = Box::new(|_, _, packet| match packet {
        Packet::Lease(_, LeaseMessage::Reply { .. }) => vec![ms(2_900)],
        _ => vec![ms(1)],
    });
    cluster.advance(ms(30_000));
    let now = cluster.now;
    assert!(cluster.home(1).lease_left(now).is_zero());
}

/// A node is killed and another one starts at its address. A grant for the first one reaches the
/// second, whose rounds have the same numbers. Accepting it would give the second a lease that no
/// member granted it.
#[test]
fn grant_to_previous_incarnation_at_same_address_is_ignored() {
    let mut cluster = Cluster::new(3);
    cluster.join(9, 3);
    let now = cluster.now;
    let view = cluster.home(9).view_number().unwrap();
    let grant = |from: u64, to: u64| LeaseMessage::Reply {
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
    cluster.delays = Box::new(|_, _, _| Vec::new());
    cluster.apply(9, effects);
    cluster.home(9).on_lease(now, addr, grant(1, 3));
    cluster.home(9).on_lease(now, addr, grant(2, 3));
    assert!(cluster.home(9).lease_left(now).is_zero());
    cluster.home(9).on_lease(now, addr, grant(1, 9));
    cluster.home(9).on_lease(now, addr, grant(2, 9));
    assert!(!cluster.home(9).lease_left(now).is_zero());
}

/// A node is killed and restarted at once at the same address, without its records. A re-send must
/// not be treated as a new call.
#[test]
fn restart_at_same_address_answers_unknown_until_retention_ends() {
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
    let home = |key: &KeyHash| slot_home(&members, key.slot()).unwrap().incarnation.0;
    for key in &keys {
        check(&mut cluster, &[(home(key), *key, BeginResult::Unknown)]);
    }
    cluster.advance(ms(17 * 60_000));
    cluster.read_log();
    let key = keys[0];
    check(&mut cluster, &[(home(&key), key, BeginResult::Start)]);
}

/// Acknowledgements of a transfer are lost, and the transfer arrives twice and out of order. The
/// sender must not treat the slot as its own again, and no record may be lost or duplicated.
#[test]
fn lost_duplicated_and_reordered_transfers_move_each_record_once() {
    let mut cluster = Cluster::new(4);
    cluster.cfg.max_part_bytes = 300;
    let keys: Vec<KeyHash> = (0..40).map(|nth| cluster.key_of(4, nth)).collect();
    for key in &keys {
        check(&mut cluster, &[(4, *key, BeginResult::Start)]);
    }
    cluster.advance(ms(100));
    let mut sent = 0;
    cluster.delays = Box::new(move |_, _, packet| {
        sent += 1;
        match packet {
            Packet::TransferAck(..) if sent % 4 != 0 => Vec::new(),
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
        let home = slot_home(&members, key.slot()).unwrap().incarnation.0;
        check(
            &mut cluster,
            &[
                (home, *key, BeginResult::Done(response())),
                (4, *key, MOVING),
            ],
        );
    }
}

/// A node leaves as planned while a run is in flight. A re-send goes to the new home, must wait for
/// the outcome from the old one and must not start a second run.
#[test]
fn run_in_flight_during_move_is_attached_to_and_its_outcome_is_forwarded() {
    let mut cluster = Cluster::new(4);
    cluster.run_time = ms(2_000);
    let key = cluster.key_of(4, 0);
    check(&mut cluster, &[(4, key, BeginResult::Start)]);
    cluster.leave(4);
    let new_home = slot_home(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0;
    check(&mut cluster, &[(new_home, key, BeginResult::Wait)]);
    cluster.advance(ms(100));
    check(
        &mut cluster,
        &[
            (new_home, key, BeginResult::Attach),
            (4, key, BeginResult::Attach),
        ],
    );
    assert!(!cluster.home(4).is_handed_over());
    cluster.advance(ms(3_000));
    assert!(cluster
        .node(new_home)
        .driver_effects
        .contains(&bilberry_once::Effect::RemoteRunEnded(key)));
    check(
        &mut cluster,
        &[(new_home, key, BeginResult::Done(response()))],
    );
    assert!(cluster.home(4).is_handed_over());
}

/// A node is gone before it has reported the end of a run whose slot had moved, and the slot moves
/// again. Calls that wait at the intermediate node for the end of the run would never be answered.
#[test]
fn calls_that_wait_for_a_run_elsewhere_are_released_when_the_slot_moves_on() {
    let mut cluster = Cluster::new(4);
    cluster.run_time = ms(20_000);
    let key = cluster.key_of(4, 0);
    check(&mut cluster, &[(4, key, BeginResult::Start)]);
    cluster.leave(4);
    let home_of = |cluster: &Cluster| {
        let members = cluster.members();
        slot_home(&members, key.slot()).unwrap().incarnation.0
    };
    let intermediate = home_of(&cluster);
    cluster.advance(ms(100));
    check(&mut cluster, &[(intermediate, key, BeginResult::Attach)]);
    cluster.crash(4);
    let released = bilberry_once::Effect::RemoteRunEnded(key);
    let effects = |cluster: &Cluster| cluster.node(intermediate).driver_effects.clone();
    assert!(!effects(&cluster).contains(&released));

    cluster.leave(intermediate);
    cluster.advance(ms(1000));
    assert_ne!(home_of(&cluster), intermediate);
    assert!(effects(&cluster).contains(&released));
    let next = home_of(&cluster);
    check(
        &mut cluster,
        &[
            (intermediate, key, MOVING),
            (next, key, BeginResult::Attach),
        ],
    );
}

/// A slot moves again before its first transfer has arrived. The intermediate node owns it in no
/// current view, and would keep the records forever if it did not forward them.
#[test]
fn slot_that_moves_twice_is_forwarded() {
    let mut cluster = Cluster::new(3);
    let key = cluster.key_of(3, 0);
    check(&mut cluster, &[(3, key, BeginResult::Start)]);
    cluster.advance(ms(100));
    cluster.nodes[&3].reads_log = false;
    let mut joined = 4;
    while slot_home(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0
        == 3
    {
        cluster.join(joined, joined as u16);
        joined += 1;
    }
    let intermediate = slot_home(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0;
    cluster.leave(intermediate);
    assert!(!cluster.home(intermediate).is_handed_over());
    cluster.nodes[&3].reads_log = true;
    cluster.read_log();
    cluster.advance(ms(2_000));
    let new_home = slot_home(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0;
    check(
        &mut cluster,
        &[(new_home, key, BeginResult::Done(response()))],
    );
    assert!(cluster.home(intermediate).is_handed_over());
}

/// The log is unavailable for an hour while all instances are up. Runs must still start. After two
/// hours without the log they must not.
#[test]
fn leases_survive_one_hour_without_the_log_but_not_two() {
    let mut cluster = Cluster::new(6);
    cluster.read_log();
    let key = cluster.key_of(3, 0);
    cluster.advance(ms(60 * 60_000));
    check(&mut cluster, &[(3, key, BeginResult::Start)]);
    cluster.advance(ms(61 * 60_000));
    let key = cluster.key_of(3, 1);
    check(&mut cluster, &[(3, key, NO_LEASE)]);
}

/// Two of three members crash at once. No quorum is left that could confirm that they hold no
/// lease, so the third one would wait forever. It waits 1% longer than the two could continue
/// without the log, because their clocks may be that much slower than its own.
#[test]
fn view_without_quorum_is_fenced_after_max_log_staleness() {
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

/// Two groups of regions lose contact, and each has half of a service. Exactly one half must keep
/// its leases.
#[test]
fn even_split_leaves_leases_on_one_side_only() {
    let mut cluster = Cluster::new(6);
    cluster.delays = Box::new(|from, to, _| match (from <= 3) == (to <= 3) {
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

/// A live node is evicted by mistake and reads this in the log. Its records must reach the new
/// homes, and then it must be told to restart as a new incarnation.
#[test]
fn evicted_node_hands_over_records_and_is_expelled() {
    let mut cluster = Cluster::new(6);
    let key = cluster.key_of(3, 0);
    check(&mut cluster, &[(3, key, BeginResult::Start)]);
    cluster.advance(ms(100));
    cluster.depart(3, Departure::Evicted);
    cluster.advance(ms(1_000));
    let new_home = slot_home(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0;
    check(
        &mut cluster,
        &[(new_home, key, BeginResult::Done(response()))],
    );
    assert!(cluster
        .node(3)
        .driver_effects
        .contains(&bilberry_once::Effect::Expelled));
}

/// A node that has just started reaches the store but no other node, and the others evict it. It
/// holds no slot and expects no message, so only a timer can wake it up. Left running, it would
/// never be in a view again, and the service would be short of one instance until an operator
/// noticed.
#[test]
fn evicted_node_that_never_received_a_slot_is_expelled() {
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

/// A response is larger than the table, and there are more keys than fit. Retained records must
/// stay.
#[test]
fn full_table_refuses_new_keys_and_keeps_existing_records() {
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

/// A home refuses an attempt of a key. Another attempt that was already on its way runs before the
/// refusal is delivered, and a caller whose answer was "not run" has an order.
#[test]
fn refused_key_starts_no_run_while_its_refusal_is_delivered() {
    let mut cluster = Cluster::new(6);
    let key = cluster.key_of(3, 0);
    let other = cluster.key_of(3, 1);
    let now = cluster.now;
    let promised = cluster.home(3).hold_refused(now, key, CALL);
    assert!(promised > ms(100), "{promised:?}");
    check(
        &mut cluster,
        &[(3, other, BeginResult::Start), (3, key, BeginResult::Wait)],
    );
    cluster.advance(promised);
    check(&mut cluster, &[(3, key, BeginResult::Wait)]);
    cluster.advance(cluster.cfg.refusal_hold - promised);
    let ended = Effect::RefusalHoldEnded(key);
    assert!(cluster.node(3).driver_effects.contains(&ended));
    check(&mut cluster, &[(3, key, BeginResult::Start)]);
}

/// The slot of a refused key moves while the refusal is on its way. The new home does not know of
/// the refusal and could start another attempt at once.
#[test]
fn slot_is_transferred_after_the_refusals_of_its_keys_are_delivered() {
    let mut cluster = Cluster::new(3);
    let key = cluster.key_of(3, 0);
    let now = cluster.now;
    let promised = cluster.home(3).hold_refused(now, key, CALL);
    cluster.leave(3);
    let new_home = slot_home(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0;
    cluster.advance(promised);
    assert_ne!(cluster.call(new_home, key, false), BeginResult::Start);
    cluster.advance(ms(2_000));
    check(&mut cluster, &[(new_home, key, BeginResult::Start)]);
}

/// A home is paused, evicted, and resumes with a refusal to send. Its successor may have started the
/// key, so the refusal must not be taken as valid for all attempts.
#[test]
fn home_without_lease_gives_no_promise_about_a_refused_key() {
    let mut cluster = Cluster::new(6);
    let key = cluster.key_of(3, 0);
    cluster.nodes[&3].paused = true;
    cluster.depart(3, Departure::Evicted);
    cluster.advance(ms(20_000));
    let now = cluster.now;
    assert_eq!(cluster.home(3).hold_refused(now, key, CALL), ms(0));
    let mut cluster = Cluster::new(3);
    let key = cluster.key_of(3, 0);
    cluster.leave(3);
    let now = cluster.now;
    assert_eq!(cluster.home(3).hold_refused(now, key, CALL), ms(0));
}

/// A home took over a slot of a node that crashed. A key without a record may have run there, so a
/// refusal must not be taken as valid for all attempts.
#[test]
fn home_with_incomplete_records_gives_no_promise_about_a_refused_key() {
    let mut cluster = Cluster::new(3);
    let key = cluster.key_of(3, 0);
    cluster.crash(3);
    cluster.join(9, 3);
    cluster.advance(ms(5_000));
    let home = slot_home(&cluster.members(), key.slot())
        .unwrap()
        .incarnation
        .0;
    check(&mut cluster, &[(home, key, BeginResult::Unknown)]);
    let now = cluster.now;
    assert_eq!(cluster.home(home).hold_refused(now, key, CALL), ms(0));
}

/// The table of holds is bounded. A refusal that finds it full is valid for its attempt only.
#[test]
fn holds_of_refused_keys_are_bounded() {
    let mut cluster = Cluster::new(1);
    let now = cluster.now;
    let mut held = 0_usize;
    while !cluster
        .home(1)
        .hold_refused(now, KeyHash(held as u128), CALL)
        .is_zero()
    {
        held += 1;
        assert!(held < 100_000, "no bound");
    }
    cluster.advance(cluster.cfg.refusal_hold);
    let now = cluster.now;
    assert!(!cluster
        .home(1)
        .hold_refused(now, KeyHash(0), CALL)
        .is_zero());
}

/// The sender of a refused call retries it without passing the refusal on, so there is nothing to
/// wait for. If another call of the key was refused too, its refusal may still be on its way, and a
/// run would make it false.
#[test]
fn retry_of_a_refused_call_waits_only_for_refusals_of_other_calls() {
    let mut cluster = Cluster::new(6);
    let other = CallId { number: 2, ..CALL };
    for (nth, calls, expected) in [
        (0, vec![CALL], BeginResult::Start),
        (1, vec![CALL, other], BeginResult::Wait),
        (2, vec![other], BeginResult::Wait),
    ] {
        let key = cluster.key_of(3, nth);
        let now = cluster.now;
        for call in calls {
            cluster.home(3).hold_refused(now, key, call);
        }
        cluster.home(3).release_refused(key, CALL);
        check(&mut cluster, &[(3, key, expected)]);
    }
}
