//! A node that cannot reach the log: what it takes on, and where its rules come from.

use crate::driver::instance;
use crate::driver::Driver;
use bilberry_engine::Config;
use bilberry_engine::Counter;
use bilberry_engine::Input;
use bilberry_engine::RequestToken;
use bytes::Bytes;
use journal::Record;
use proto::Datagram;
use proto::MemberMessage;
use proto::Outcome;
use proto::Reason;
use proto::Request;
use proto::SyncProgress;
use proto::PROTOCOL_VERSION;
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

/// A node that has read the log up to this version.
fn reader(n: u16, version: u64) -> Driver {
    let mut d = Driver::with_config(n, Config::default());
    d.show(&Record::Join(instance(n)));
    for version in 1..=version {
        d.show(&publish(version));
    }
    d
}

fn cut_off(contacts: &[u16]) -> Driver {
    let contacts = contacts.iter().map(|n| instance(*n).addr).collect();
    let cfg = Config {
        contacts,
        ..Config::default()
    };
    let mut d = Driver::with_config(1, cfg);
    d.feed(Input::LogUnreachable);
    d
}

fn refusal(d: &mut Driver) -> Option<Reason> {
    d.answers.clear();
    d.feed(Input::Request {
        credential: None,
        token: RequestToken(9),
        caller: "shop".into(),
        context: None,
        parent: None,
        key: None,
        caller_timeout: None,
        request: Request::new("press", "GET", "/slots", Bytes::new()),
    });
    match d.answers.pop()? {
        Outcome::NotRun(refusal) => Some(refusal.reason),
        other => panic!("{other:?}"),
    }
}

fn heard(from: &Driver, n: u16) -> Input {
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

/// A node is started while the log is down. Working by no rules it could shed orders or run one
/// twice; asking the contact addresses gives it the rules that are in force.
#[test]
fn a_start_in_an_outage_gets_the_state_from_a_contact() {
    let peer = reader(2, 3);
    let mut d = cut_off(&[2]);
    assert_eq!(refusal(&mut d), Some(Reason::NoRules));
    assert_eq!(d.fetches, [(instance(2).addr, SyncProgress::default())]);

    let state = peer
        .engine
        .state_newer_than(SyncProgress::default())
        .unwrap();
    d.feed(Input::StateFetched(state));
    assert_eq!(d.engine.rules_version(), 3);
    assert!(!d.engine.is_listed());
    assert_eq!(refusal(&mut d), None);
    assert_eq!(d.appended(), []);
}

/// The contact does not answer either. The node goes on asking, at most about once a second.
#[test]
fn an_unanswered_fetch_is_tried_again() {
    let mut d = cut_off(&[2, 3]);
    d.pass(Duration::from_secs(20));
    assert!((20..=41).contains(&d.fetches.len()), "{:?}", d.fetches);
    assert_eq!(refusal(&mut d), Some(Reason::NoRules));
}

/// A node has read the first part of the log when it goes down. The rules of that part were
/// replaced long ago; working by them would be a reversal that callers notice.
#[test]
fn half_a_stream_is_no_state() {
    let mut d = Driver::new();
    d.offset = 1;
    d.feed(Input::Records(vec![(0, proto::encode(&publish(1)).into())]));
    assert_eq!(d.engine.rules_version(), 1);
    assert_eq!(refusal(&mut d), Some(Reason::NoRules));
    d.feed(Input::LogCaughtUp);
    assert_eq!(refusal(&mut d), None);
}

/// New rules reach only some nodes, because the log is slow for the others. These hear from
/// membership messages that there is something newer, and ask the sender.
#[test]
fn newer_state_spreads_between_nodes() {
    let peer = reader(2, 2);
    let mut d = reader(1, 1);
    d.feed(heard(&peer, 2));
    assert_eq!(d.fetches, [], "the log may be about to tell");
    d.pass(Duration::from_secs(1));
    let known = d.engine.journal().progress();
    assert_eq!(d.fetches, [(instance(2).addr, known)]);
    d.feed(Input::StateFetched(
        peer.engine.state_newer_than(known).unwrap(),
    ));
    assert_eq!(d.engine.rules_version(), 2);

    // In an outage that it knows of, it does not wait.
    let peer = reader(2, 3);
    d.feed(Input::LogUnreachable);
    d.feed(heard(&peer, 2));
    assert_eq!(d.fetches.len(), 2);
}

/// A peer's answer is old, or damaged. It must not take anything back.
#[test]
fn a_stale_state_is_refused() {
    let old = reader(2, 1)
        .engine
        .state_newer_than(SyncProgress::default())
        .unwrap();
    let mut d = reader(1, 2);
    d.feed(Input::StateFetched(old.slice(..old.len() / 2)));
    d.feed(Input::StateFetched(old));
    assert_eq!(d.engine.rules_version(), 2);
    assert_eq!(d.count(Counter::MalformedRecord), 1);
    assert_eq!(d.count(Counter::StateRestored), 0);
}

/// The store answers some nodes and not others while instances come and go. A node that took only the
/// newest view from a peer would not know the views in between, and would have to end, with all its
/// records of orders: a slow store would restart the fleet.
#[test]
fn a_listed_node_catches_up_view_by_view() {
    let mut peer = reader(2, 1);
    let mut d = reader(2, 1);
    let known = d.engine.journal().progress();
    for n in 3..6 {
        peer.show(&Record::Join(instance(n)));
    }
    d.feed(Input::StateFetched(
        peer.engine.state_newer_than(known).unwrap(),
    ));
    assert_eq!(d.engine.next_offset(), peer.engine.next_offset());
    d.pass(Duration::from_secs(60));
    assert_eq!(d.count(Counter::Expelled), 0);
    assert!(!d.stopped);
}
