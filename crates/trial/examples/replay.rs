//! Replays a trace file and prints the recorded events and the result.

fn main() {
    let path = std::env::args().nth(1).expect("usage: replay TRACE_FILE");
    let text = std::fs::read_to_string(path).expect("cannot read the trace file");
    let (world, result) = trial::replay_with_world(&text);
    for line in &world.event_trace {
        println!("{line}");
    }
    println!("{result:?}");
}
