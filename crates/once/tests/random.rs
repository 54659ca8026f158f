//! Homes under random calls, pauses, kills, evictions and losses: no key is ever started twice.

mod common;

use common::ms;
use common::Cluster;
use journal::Departure;
use proptest::prelude::*;
use proto::KeyHash;

/// One thing that happens. Numbers choose among the members there are.
#[derive(Debug, Clone)]
enum Event {
    /// A call with a key reaches all nodes, wherever their callers think its home is.
    Call(u8),
    /// Time passes, in milliseconds.
    Pass(u16),
    /// A node is frozen, or goes on.
    Pause(u8),
    /// A node stops reading the log, or reads on.
    Blind(u8),
    /// A node is killed, and evicted perhaps.
    Kill(u8, bool),
    /// A node is evicted while it lives.
    Evict(u8),
    /// A node leaves as planned.
    Leave(u8),
    /// A new node joins, at an address of its own or at that of a member, which is killed.
    Join(Option<u8>),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..12_u8).prop_map(Event::Call),
        4 => (1..6_000_u16).prop_map(Event::Pass),
        2 => any::<u8>().prop_map(Event::Pause),
        2 => any::<u8>().prop_map(Event::Blind),
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

fn apply(cluster: &mut Cluster, joined: &mut u64, event: Event) {
    match event {
        Event::Call(n) => {
            let key = KeyHash(u128::from(n) * 1_000_003);
            let fresh = !cluster.starts.contains_key(&key);
            let numbers: Vec<u64> = cluster.nodes.keys().copied().collect();
            for number in numbers {
                if !cluster.node(number).paused {
                    // Only the very first attempt is new; a caller cannot know that it ran.
                    cluster.call(number, key, fresh && !cluster.starts.contains_key(&key));
                }
            }
        }
        Event::Pass(time) => cluster.advance(ms(u64::from(time))),
        Event::Pause(n) => {
            if let Some(node) = member(cluster, n).and_then(|n| cluster.nodes.get_mut(&n)) {
                node.paused = !node.paused;
            }
        }
        Event::Blind(n) => {
            if let Some(node) = member(cluster, n).and_then(|n| cluster.nodes.get_mut(&n)) {
                node.sees_log = !node.sees_log;
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
            *joined += 1;
            let replaced = at.and_then(|n| member(cluster, n));
            let port = replaced.and_then(|number| cluster.nodes.get(&number));
            let port = port.map_or(*joined as u16, |node| node.instance.addr.port());
            if let Some(number) = replaced {
                cluster.crash(number);
            }
            cluster.join(*joined, port);
        }
    }
}

/// Runs the events on a network that loses, doubles and delays by `seed`.
fn check(seed: u64, events: Vec<Event>) {
    let mut cluster = Cluster::new(4);
    let mut state = seed;
    cluster.fate = Box::new(move |_, _, _| {
        state = proto::hash64(&state);
        match state % 10 {
            0 => Vec::new(),
            1 => vec![ms(1), ms(state / 16 % 5_000)],
            2 => vec![ms(state / 16 % 5_000)],
            _ => vec![ms(1 + state / 16 % 20)],
        }
    });
    let mut joined = 100;
    for event in events {
        apply(&mut cluster, &mut joined, event);
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

    /// Nodes are killed, frozen, evicted and replaced while datagrams and transfers are lost, late
    /// and doubled. Whatever the order, a customer must not get two of one order.
    #[test]
    fn no_key_is_started_twice(seed: u64, events in proptest::collection::vec(event(), 1..40)) {
        check(seed, events);
    }
}
