//! Prints how calls spread over instances, and how many cross regions, by load:
//! `cargo run --release -p bilberry-policy --example choose`.

#[path = "../tests/cluster_sim/mod.rs"]
mod cluster_sim;

use cluster_sim::ClusterSim;

fn main() {
    println!("36 nodes, 2 regions; skew: region 0's part of the demand; seed 1");
    println!("servers demand skew  most/share  far calls  longest queue");
    for servers in [6, 12, 35] {
        for skew in [0.5, 0.7] {
            for demand in [0.1, 0.5, 0.7, 0.9, 0.95] {
                let mut many = ClusterSim::new(36, servers);
                many.run(3_000, demand, skew);
                many.reset();
                many.run(10_000, demand, skew);
                println!(
                    "{servers:7} {demand:6.2} {skew:4.1} {:11.2} {:9.1}% {:14}",
                    many.most_over_share(),
                    many.far_share() * 100.0,
                    many.longest_queue(),
                );
            }
        }
    }
}
