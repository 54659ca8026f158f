//! Random calls, pauses, kills, evictions and packet losses: no key is ever started twice.

mod common;

use common::ms;
use common::Cluster;
use journal::Departure;
use proptest::prelude::*;
use proto::KeyHash;

/// A random event. Numbers of nodes select one of the current members.
#[derive(Debug, Clone)]
enum Event {
    /// A call with a key is made at all nodes that are not paused, as if each caller assumed a
    /// different home.
    Call(u8),
    /// Time passes, in milliseconds.
    Advance(u16),
    /// A node is paused or resumed.
    TogglePause(u8),
    /// A node loses or regains access to the log.
    ToggleLogAccess(u8),
    /// A node is killed, and also evicted if the flag is set.
    Kill(u8, bool),
    /// A live node is evicted.
    Evict(u8),
    /// A node leaves as planned.
    Leave(u8),
    /// A new node joins, at a new address or at that of a member, which is killed.
    Join(Option<u8>),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..12_u8).prop_map(Event::Call),
        4 => (1..6_000_u16).prop_map(Event::Advance),
        2 => any::<u8>().prop_map(Event::TogglePause),
        2 => any::<u8>().prop_map(Event::ToggleLogAccess),
        1 => any::<(u8, bool)>().prop_map(|(n, evict)| Event::Kill(n, evict)),
        1 => any::<u8>().prop_map(Event::Evict),
        1 => any::<u8>().prop_map(Event::Leave),
        2 => any::<Option<u8>>().prop_map(Event::Join),
    ]
}

fn member(cluster: &Cluster, n: u8) -> Option<u64> {
    let members = cluster.members();
    let member = members.get(usize::from(n) % members.len().max(1))?;
    Some(member.incarnation.0)
}

fn apply(cluster: &mut Cluster, last_number: &mut u64, event: Event) {
    match event {
        Event::Call(n) => {
            let key = KeyHash(u128::from(n) * 1_000_003);
            let is_new_key = !cluster.starts.contains_key(&key);
            let numbers: Vec<u64> = cluster.nodes.keys().copied().collect();
            for number in numbers {
                if !cluster.node(number).paused {
                    // Only the very first attempt is marked as such; a caller cannot know whether
                    // an attempt ran.
                    cluster.call(
                        number,
                        key,
                        is_new_key && !cluster.starts.contains_key(&key),
                    );
                }
            }
        }
        Event::Advance(time) => cluster.advance(ms(u64::from(time))),
        Event::TogglePause(n) => {
            if let Some(node) = member(cluster, n).and_then(|n| cluster.nodes.get_mut(&n)) {
                node.paused = !node.paused;
            }
        }
        Event::ToggleLogAccess(n) => {
            if let Some(node) = member(cluster, n).and_then(|n| cluster.nodes.get_mut(&n)) {
                node.reads_log = !node.reads_log;
            }
            cluster.read_log();
        }
        Event::Kill(n, evict) => {
            if let Some(number) = member(cluster, n) {
                cluster.crash(number);
                if evict {
                    cluster.depart(number, Departure::Evicted);
                }
            }
        }
        Event::Evict(n) => {
            if let Some(number) = member(cluster, n) {
                cluster.depart(number, Departure::Evicted);
            }
        }
        Event::Leave(n) => {
            if let Some(number) = member(cluster, n).filter(|n| cluster.nodes.contains_key(n)) {
                cluster.leave(number);
            }
        }
        Event::Join(at) => {
            *last_number += 1;
            let replaced = at.and_then(|n| member(cluster, n));
            let port = replaced.and_then(|number| cluster.nodes.get(&number));
            let port = port.map_or(*last_number as u16, |node| node.instance.addr.port());
            if let Some(number) = replaced {
                cluster.crash(number);
            }
            cluster.join(*last_number, port);
        }
    }
}

/// Applies the events on a network that loses, duplicates and delays packets by `seed`.
fn check(seed: u64, events: Vec<Event>) {
    let mut cluster = Cluster::new(4);
    let mut state = seed;
    cluster.delays = Box::new(move |_, _, _| {
        state = proto::hash64(&state);
        match state % 10 {
            0 => Vec::new(),
            1 => vec![ms(1), ms(state / 16 % 5_000)],
            2 => vec![ms(state / 16 % 5_000)],
            _ => vec![ms(1 + state / 16 % 20)],
        }
    });
    let mut last_number = 100;
    for event in events {
        apply(&mut cluster, &mut last_number, event);
        if let Some((key, starts)) = cluster.starts.iter().find(|(_, starts)| **starts > 1) {
            panic!("{key:?} was started {starts} times");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Nodes are killed, paused, evicted and replaced while datagrams and transfers are lost,
    /// delayed and duplicated. In no order of events may a customer get a duplicate order.
    #[test]
    fn each_key_is_started_at_most_once(seed: u64, events in proptest::collection::vec(event(), 1..40)) {
        check(seed, events);
    }
}
