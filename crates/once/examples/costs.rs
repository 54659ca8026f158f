//! Prints the traffic of leases, how long slots are unavailable after an eviction, and the size of
//! a record: `cargo run --release -p bilberry-once --example costs`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::ms;
use common::Cluster;
use journal::Departure;
use proto::KeyHash;

const MINUTE: u64 = 60_000;

fn main() {
    for members in [6, 12, 35] {
        let mut cluster = Cluster::new(members);
        cluster.lease_bytes.clear();
        cluster.advance(ms(MINUTE));
        let bytes: usize = cluster.lease_bytes.values().sum();
        let per_node = bytes as f64 * 1000.0 / (members * MINUTE) as f64;
        cluster.crash(members);
        cluster.depart(members, Departure::Evicted);
        let evicted = cluster.now;
        while !cluster.all_ready() {
            cluster.advance(ms(10));
        }
        let unavailable = cluster.now.since(evicted);
        println!(
            "{members} members: {per_node:.0} lease bytes/s sent by a node, slots unavailable for {unavailable:?}"
        );
    }
    let mut cluster = Cluster::new(1);
    let keys: Vec<KeyHash> = (0..1000).map(|nth| cluster.key_of(1, nth)).collect();
    for key in keys {
        cluster.call(1, key, true);
    }
    cluster.advance(ms(1_000));
    let (records, bytes) = cluster.home(1).record_usage();
    println!(
        "{} bytes counted for a record with a body of 4 bytes",
        bytes / records
    );
}
