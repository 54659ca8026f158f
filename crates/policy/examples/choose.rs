//! Prints the distribution of calls over instances and the share of calls that cross regions, by
//! load: `cargo run --release -p bilberry-policy --example choose`.

#[path = "../tests/cluster_sim/mod.rs"]
mod cluster_sim;

use cluster_sim::ClusterSim;

fn main() {
    println!(
        "36 nodes, 2 regions; seed 1; skew: region 0's share of the demand; max/equal: calls to \
         the busiest server as a multiple of an equal share; crossings: calls to another region"
    );
    println!("servers demand skew   max/equal  crossings  longest queue");
    for servers in [6, 12, 35] {
        for skew in [0.5, 0.7] {
            for demand in [0.1, 0.5, 0.7, 0.9, 0.95] {
                let mut sim = ClusterSim::new(36, servers);
                sim.run(3_000, demand, skew);
                sim.reset_counters();
                sim.run(10_000, demand, skew);
                println!(
                    "{servers:7} {demand:6.2} {skew:4.1} {:11.2} {:9.1}% {:14}",
                    sim.max_share_ratio(),
                    sim.cross_region_share() * 100.0,
                    sim.longest_queue(),
                );
            }
        }
    }
}
