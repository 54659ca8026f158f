//! A node that cannot reach the log: which requests it accepts, and where it gets its rules from.

use crate::driver::instance;
use crate::driver::Driver;
use bilberry_engine::Config;
use bilberry_engine::Counter;
use bilberry_engine::Input;
use bilberry_engine::RequestToken;
use bytes::Bytes;
use journal::Record;
use proto::Datagram;
use proto::FreshnessMessage;
use proto::MemberMessage;
use proto::Outcome;
use proto::QuotaMessage;
use proto::Reason;
use proto::Request;
use proto::SyncProgress;
use proto::PROTOCOL_VERSION;
use std::collections::HashSet;
use std::time::Duration;

const RULES: &str =
    "operation press GET /slots class=lookup idempotent deadline=2s # asked by Anna";

fn publish(version: u64) -> Record {
    Record::Publish {
        version,
        publication: u128::from(version),
        operator: "anna".into(),
        file: RULES.into(),
    }
}

/// A node that has read the log up to this rules version.
fn node_with_rules(n: u16, version: u64) -> Driver {
    let mut driver = Driver::with_config(n, Config::default());
    driver.read_record(&Record::Join(instance(n)));
    for version in 1..=version {
        driver.read_record(&publish(version));
    }
    driver
}

fn node_in_outage(contacts: &[u16]) -> Driver {
    let contacts = contacts.iter().map(|n| instance(*n).addr).collect();
    let cfg = Config {
        contacts,
        ..Config::default()
    };
    let mut driver = Driver::with_config(1, cfg);
    driver.feed(Input::LogUnreachable);
    driver
}

/// Sends a request and returns the reason why it was refused, or `None` if it was accepted.
fn request_refusal(driver: &mut Driver) -> Option<Reason> {
    driver.answers.clear();
    driver.feed(Input::Request {
        credential: None,
        token: RequestToken(9),
        caller: "shop".into(),
        context: None,
        parent: None,
        key: None,
        caller_timeout: None,
        request: Request::new("press", "GET", "/slots", Bytes::new()),
    });
    match driver.answers.pop()? {
        Outcome::NotRun(refusal) => Some(refusal.reason),
        other => panic!("{other:?}"),
    }
}

fn state_fetched(from: u16, state: Bytes) -> Input {
    Input::StateFetched {
        from: instance(from).addr,
        state,
    }
}

fn version_report(from: u16, request_id: u64, rules_version: u64) -> Input {
    Input::Datagram {
        from: instance(from).addr,
        datagram: Datagram::Freshness {
            version: PROTOCOL_VERSION,
            message: FreshnessMessage::Report {
                request_id,
                rules_version,
                age_ms: u32::MAX,
            },
        },
    }
}

fn progress_message(from: &Driver, n: u16) -> Input {
    Input::Datagram {
        from: instance(n).addr,
        datagram: Datagram::Member {
            version: PROTOCOL_VERSION,
            progress: from.engine.journal().progress(),
            message: MemberMessage::Gossip {
                updates: Vec::new(),
            },
        },
    }
}

/// A node is started during an outage of the log. Without rules it could shed orders or run one
/// twice, so it fetches the rules in force from a contact address.
#[test]
fn a_node_started_in_an_outage_gets_the_state_from_a_contact() {
    let peer = node_with_rules(2, 3);
    let mut driver = node_in_outage(&[2]);
    assert_eq!(request_refusal(&mut driver), Some(Reason::NoRules));
    assert_eq!(
        driver.fetches,
        [(instance(2).addr, SyncProgress::default())]
    );

    let state = peer
        .engine
        .state_newer_than(SyncProgress::default())
        .unwrap();
    driver.feed(state_fetched(2, state));
    assert_eq!(driver.engine.rules_version(), 3);
    assert!(!driver.engine.is_listed());
    assert_eq!(request_refusal(&mut driver), None);
    assert_eq!(driver.take_appends(), []);
}

/// The newest rules are held by a node that the restarted one cannot reach at first, and its other
/// peer has missed them. Orders would run under rules that are no longer in force.
#[test]
fn a_node_started_in_an_outage_waits_for_the_rules_version_of_each_listed_node() {
    let mut peer = node_with_rules(2, 1);
    peer.read_record(&Record::Join(instance(3)));
    let mut driver = node_in_outage(&[2]);
    let state = peer.engine.state_newer_than(SyncProgress::default());
    driver.feed(state_fetched(2, state.unwrap()));
    assert_eq!(request_refusal(&mut driver), Some(Reason::NoRules));
    assert!(!driver.engine.is_ready());
    let known = driver.engine.journal().progress();
    assert_eq!(
        driver.engine.state_newer_than(SyncProgress::default()),
        None
    );

    driver.advance(Duration::from_secs(60));
    assert_eq!(request_refusal(&mut driver), Some(Reason::NoRules));
    let (to, request_id) = *driver.version_queries.last().unwrap();
    assert_eq!(to, instance(3).addr);
    driver.feed(version_report(3, request_id.wrapping_add(1), 1));
    assert_eq!(
        request_refusal(&mut driver),
        Some(Reason::NoRules),
        "the report answers a query of another process"
    );
    driver.feed(version_report(3, request_id, 2));
    assert_eq!(request_refusal(&mut driver), Some(Reason::NoRules));
    driver.fetches.clear();
    driver.advance(Duration::from_secs(1));
    assert!(driver.fetches.contains(&(instance(3).addr, known)));

    peer.read_record(&publish(2));
    let state = peer.engine.state_newer_than(known).unwrap();
    driver.feed(state_fetched(3, state));
    assert_eq!(driver.engine.rules_version(), 2);
    assert_eq!(request_refusal(&mut driver), None);
}

/// The nodes that hold the newest rules announce them and restart before they have reported them.
/// Work would run under the rules before these.
#[test]
fn a_node_started_in_an_outage_waits_for_rules_that_were_announced_to_it() {
    let mut newest = node_with_rules(3, 2);
    newest.read_record(&Record::Join(instance(2)));
    let mut peer = node_with_rules(2, 1);
    peer.read_record(&Record::Join(instance(3)));
    let mut driver = node_in_outage(&[2]);
    driver.feed(progress_message(&newest, 3));
    let state = peer.engine.state_newer_than(SyncProgress::default());
    driver.feed(state_fetched(2, state.unwrap()));
    let (_, request_id) = *driver.version_queries.last().unwrap();
    driver.feed(version_report(3, request_id, 0));
    driver.advance(Duration::from_secs(10));
    assert_eq!(request_refusal(&mut driver), Some(Reason::NoRules));

    let known = driver.engine.journal().progress();
    let state = newest.engine.state_newer_than(known).unwrap();
    driver.feed(state_fetched(3, state));
    driver.feed(version_report(2, request_id, 1));
    assert_eq!(driver.engine.rules_version(), 2);
    assert_eq!(request_refusal(&mut driver), None);
}

/// A node that holds a peer's rules back has the quotas of these rules. If it lent tokens by them, an
/// organisation whose quota was lowered could go on to use the former one.
#[test]
fn a_node_lends_no_quota_tokens_by_rules_that_are_not_in_force() {
    let mut peer = node_with_rules(2, 1);
    peer.read_record(&Record::Join(instance(3)));
    let mut driver = node_in_outage(&[2]);
    let borrow = || Input::Datagram {
        from: instance(2).addr,
        datagram: Datagram::Quota {
            version: PROTOCOL_VERSION,
            message: QuotaMessage::Borrow {
                from: instance(2).incarnation,
                to: instance(1).incarnation,
                group: 0,
                request_id: 1,
                vote_stamp: 0,
                wanted: Vec::new(),
            },
        },
    };
    let state = peer.engine.state_newer_than(SyncProgress::default());
    driver.feed(state_fetched(2, state.unwrap()));
    driver.feed(borrow());
    assert_eq!(driver.lender_stamps, [0], "no votes are accepted");
    let (_, request_id) = *driver.version_queries.last().unwrap();
    driver.feed(version_report(3, request_id, 1));
    driver.feed(borrow());
    assert_ne!(driver.lender_stamps[1], 0);
}

/// A node restarts in a large fleet, most of which does not answer. Queries to all of them twice
/// a second would exceed what a node may send.
#[test]
fn queries_to_missing_nodes_are_bounded_and_reach_each_of_them() {
    let mut peer = node_with_rules(2, 1);
    for n in 3..=132 {
        peer.read_record(&Record::Join(instance(n)));
    }
    let mut driver = node_in_outage(&[2]);
    let state = peer.engine.state_newer_than(SyncProgress::default());
    driver.feed(state_fetched(2, state.unwrap()));
    driver.advance(Duration::from_secs(10));
    let queried: HashSet<_> = driver.version_queries.iter().map(|(to, _)| *to).collect();
    assert_eq!(queried.len(), 130);
    assert!(driver.version_queries.len() <= 64 * 21);
}

/// Two nodes restart at the same time in an outage, and a third one that holds newer rules cannot
/// be reached. If the two confirmed each other's rules, both would run orders under outdated ones.
#[test]
fn two_restarted_nodes_do_not_replace_the_report_of_a_third() {
    let mut peer = node_with_rules(2, 1);
    peer.read_record(&Record::Join(instance(3)));
    peer.read_record(&Record::Join(instance(4)));
    let mut driver = node_in_outage(&[2]);
    let state = peer.engine.state_newer_than(SyncProgress::default());
    driver.feed(state_fetched(2, state.unwrap()));
    let (_, request_id) = *driver.version_queries.last().unwrap();
    // Node 3 has just restarted and knows no rules yet.
    driver.feed(version_report(3, request_id, 0));
    driver.advance(Duration::from_secs(10));
    assert_eq!(request_refusal(&mut driver), Some(Reason::NoRules));
    driver.feed(version_report(4, request_id, 1));
    assert_eq!(request_refusal(&mut driver), None);
}

/// A listed node is gone for good, so it never reports. The node must not refuse requests any longer
/// once the store answers.
#[test]
fn a_waiting_node_takes_the_rules_of_the_store() {
    let mut peer = node_with_rules(2, 1);
    peer.read_record(&Record::Join(instance(3)));
    let mut driver = node_in_outage(&[2]);
    let state = peer.engine.state_newer_than(SyncProgress::default());
    driver.feed(state_fetched(2, state.unwrap()));
    driver.advance(Duration::from_secs(60));
    assert_eq!(request_refusal(&mut driver), Some(Reason::NoRules));
    driver.offset = peer.offset;
    driver.feed(Input::LogCaughtUp);
    assert_eq!(request_refusal(&mut driver), None);
    driver.version_queries.clear();
    driver.advance(Duration::from_secs(5));
    assert_eq!(driver.version_queries, []);
}

/// The contacts do not answer either. The node keeps asking them, 20 to 41 times in 20 s.
#[test]
fn an_unanswered_fetch_is_retried() {
    let mut driver = node_in_outage(&[2, 3]);
    driver.advance(Duration::from_secs(20));
    assert!(
        (20..=41).contains(&driver.fetches.len()),
        "{:?}",
        driver.fetches
    );
    assert_eq!(request_refusal(&mut driver), Some(Reason::NoRules));
}

/// The log fails when a node has read only its first part. The rules in that part were replaced
/// long ago. If the node applied them, callers would be served by outdated rules.
#[test]
fn rules_are_not_applied_before_the_log_is_read_to_its_end() {
    let mut driver = Driver::new();
    // The record that is fed here without `read_record` occupies offset 0.
    driver.offset = 1;
    driver.feed(Input::Records(vec![(0, proto::encode(&publish(1)).into())]));
    assert_eq!(driver.engine.rules_version(), 1);
    assert_eq!(request_refusal(&mut driver), Some(Reason::NoRules));
    driver.feed(Input::LogCaughtUp);
    assert_eq!(request_refusal(&mut driver), None);
}

/// New rules reach only some of the nodes because the log is slow for the others. Those learn from
/// membership messages that a peer has newer state, and fetch it.
#[test]
fn a_node_fetches_newer_state_from_a_peer() {
    let peer = node_with_rules(2, 2);
    let mut driver = node_with_rules(1, 1);
    driver.feed(progress_message(&peer, 2));
    assert_eq!(driver.fetches, [], "the log may be about to deliver it");
    driver.advance(Duration::from_secs(1));
    let known = driver.engine.journal().progress();
    assert_eq!(driver.fetches, [(instance(2).addr, known)]);
    driver.feed(state_fetched(
        2,
        peer.engine.state_newer_than(known).unwrap(),
    ));
    assert_eq!(driver.engine.rules_version(), 2);

    // During a known outage it does not wait for the log.
    let peer = node_with_rules(2, 3);
    driver.feed(Input::LogUnreachable);
    driver.feed(progress_message(&peer, 2));
    assert_eq!(driver.fetches.len(), 2);
}

/// The state from a peer is old or damaged. It must not revert anything.
#[test]
fn stale_or_damaged_state_is_rejected() {
    let old = node_with_rules(2, 1)
        .engine
        .state_newer_than(SyncProgress::default())
        .unwrap();
    let mut driver = node_with_rules(1, 2);
    driver.feed(state_fetched(2, old.slice(..old.len() / 2)));
    driver.feed(state_fetched(2, old));
    assert_eq!(driver.engine.rules_version(), 2);
    assert_eq!(driver.count(Counter::MalformedRecord), 1);
    assert_eq!(driver.count(Counter::StateRestored), 0);
}

/// The store answers some nodes and not others while instances come and go. If a node took only the
/// latest view from a peer, it would miss the views in between and have to exit, losing its
/// idempotency records. A slow store would then restart the whole fleet.
#[test]
fn a_listed_node_catches_up_view_by_view() {
    let mut peer = node_with_rules(2, 1);
    let mut driver = node_with_rules(2, 1);
    let known = driver.engine.journal().progress();
    for n in 3..6 {
        peer.read_record(&Record::Join(instance(n)));
    }
    driver.feed(state_fetched(
        2,
        peer.engine.state_newer_than(known).unwrap(),
    ));
    assert_eq!(driver.engine.next_offset(), peer.engine.next_offset());
    driver.advance(Duration::from_secs(60));
    assert_eq!(driver.count(Counter::Expelled), 0);
    assert!(!driver.stopped);
}
