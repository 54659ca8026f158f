//! Replays a trace file, and prints what happened.

fn main() {
    let path = std::env::args().nth(1).expect("a trace file");
    let text = std::fs::read_to_string(path).expect("a readable trace file");
    let (world, result) = trial::replay_all(&text);
    for line in &world.trace {
        println!("{line}");
    }
    println!("{result:?}");
}
