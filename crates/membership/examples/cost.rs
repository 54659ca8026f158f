//! Prints what membership costs a node, by the size of the fleet:
//! `cargo run --release -p bilberry-membership --example cost`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::instance;
use common::Fleet;
use proto::PeerState;
use std::time::Duration;
use std::time::Instant;

/// Bytes that UDP and IP add to each datagram.
const HEADERS: u64 = 28;

struct Sent {
    messages: u64,
    bytes: u64,
    far: u64,
}

fn sent(fleet: &Fleet) -> Sent {
    let sum = |of: fn(&common::Node) -> u64| fleet.nodes.iter().map(of).sum::<u64>();
    Sent {
        messages: sum(|node| node.sent),
        bytes: sum(|node| node.sent_bytes + node.sent * HEADERS),
        far: sum(|node| node.far_bytes),
    }
}

/// What a run of this many seconds costs a node: messages and bytes a second, far bytes a second.
fn measure(fleet: &mut Fleet, secs: u64) -> [f64; 3] {
    let before = sent(fleet);
    fleet.run(Duration::from_secs(secs));
    let after = sent(fleet);
    let per = (fleet.nodes.iter().filter(|node| node.up).count() as u64 * secs) as f64;
    [
        (after.messages - before.messages) as f64 / per,
        (after.bytes - before.bytes) as f64 / per,
        (after.far - before.far) as f64 / per,
    ]
}

/// Milliseconds until every node that is up holds `about` for `state`.
fn until(fleet: &mut Fleet, about: usize, state: PeerState) -> u64 {
    let begin = fleet.now;
    while fleet.states(about) != [Some(state)] {
        fleet.run(Duration::from_millis(50));
        if fleet.now.since(begin) > Duration::from_secs(60) {
            break;
        }
    }
    fleet.now.since(begin).as_millis() as u64
}

fn main() {
    println!("2 regions, 20 services, headers of UDP and IP included, both ways about twice this");
    println!("                 quiet, sent per node and second  one node dead, 20 s       leave");
    println!("nodes   messages     bytes  far bytes   us  messages     bytes  dead ms  known ms");
    for size in [6, 24, 96, 192, 700] {
        let mut fleet = Fleet::new(1);
        for number in 0..size {
            fleet.start(instance(number, 20, 2), &[]);
        }
        fleet.list_all();
        fleet.run(Duration::from_secs(30));
        let begin = Instant::now();
        let [messages, bytes, far] = measure(&mut fleet, 30);
        // Includes the example's own network, so it is an upper bound.
        let micros = begin.elapsed().as_micros() as f64 / (size as f64 * 30.0);

        fleet.nodes[1].up = false;
        let dead = until(&mut fleet, 1, PeerState::Dead);
        let rest = 20_u64.saturating_sub(dead / 1000).max(1);
        let [dead_messages, dead_bytes, _] = measure(&mut fleet, rest);
        fleet.leave(2);
        let known = until(&mut fleet, 2, PeerState::Leaving);
        println!(
            "{size:5} {messages:10.2} {bytes:9.0} {far:10.0} {micros:4.0} {dead_messages:9.2} \
             {dead_bytes:9.0} {dead:8} {known:9}"
        );
    }
    lost();
    join_storm();
    rolling();
}

/// A failure domain is lost, then the regions lose each other. Evictions do not reach the log.
fn lost() {
    println!(
        "\none of 6 failure domains lost, then regions apart: sent per node and second over 30 s"
    );
    for size in [24, 96, 192] {
        let mut fleet = Fleet::new(4);
        for number in 0..size {
            fleet.start(instance(number, 20, 2), &[]);
        }
        fleet.list_all();
        fleet.run(Duration::from_secs(30));
        for node in &mut fleet.nodes {
            node.up = *node.instance.failure_domain != *"domain-0";
        }
        let [messages, bytes, _] = measure(&mut fleet, 30);
        let evictions = fleet.evicted().len();
        fleet.cut = Box::new(|from, to| from % 2 != to % 2);
        let [cut_messages, cut_bytes, _] = measure(&mut fleet, 30);
        println!(
            "{size:5} {messages:10.2} {bytes:9.0} bytes, {evictions} evicted; \
             {cut_messages:10.2} {cut_bytes:9.0} bytes"
        );
    }
}

/// All nodes start at once without a roster and with one contact.
fn join_storm() {
    println!(
        "\nall start at once, without the log, one contact: sent per node and second over 30 s"
    );
    for size in [6, 24, 96, 192] {
        let mut fleet = Fleet::new(2);
        for number in 0..size {
            fleet.start(instance(number, 20, 2), &[0]);
        }
        let [messages, bytes, _] = measure(&mut fleet, 30);
        let known = fleet.nodes.iter().map(|node| node.members.peers().count());
        let fewest = known.min().unwrap_or(0) + 1;
        println!("{size:5} {messages:10.2} {bytes:9.0} bytes; every node knows at least {fewest}");
    }
}

/// One node after another is replaced at its address, one every two seconds.
fn rolling() {
    println!("\nrolling replacement, one every 2 s, without the log: sent per node and second");
    for size in [6, 24, 96] {
        let mut fleet = Fleet::listed(3, size);
        fleet.run(Duration::from_secs(10));
        let before = sent(&fleet);
        for number in 0..size {
            fleet.nodes[number].up = false;
            let mut newcomer = instance(number, 2, 2);
            newcomer.incarnation.0 ^= 0xABCD;
            fleet.start(newcomer, &[(number + 1) % size]);
            fleet.run(Duration::from_secs(2));
        }
        let after = sent(&fleet);
        let per = (size * size * 2) as f64;
        fleet.run(Duration::from_secs(20));
        let alive = (size..2 * size).all(|about| fleet.states(about) == [Some(PeerState::Alive)]);
        println!(
            "{size:5} {:10.2} {:9.0} bytes; all newcomers known everywhere 20 s later: {alive}",
            (after.messages - before.messages) as f64 / per,
            (after.bytes - before.bytes) as f64 / per,
        );
    }
}
