//! Runs the random test for a range of seeds and prints a report for each seed that fails.

use gumdrop::Options;
use std::process::ExitCode;

/// Runs random calls and faults for a range of seeds.
#[derive(Debug, Options)]
struct Args {
    /// Print this help.
    #[options()]
    help: bool,
    /// The seeds, as `FIRST..END`; the end is exclusive.
    #[options(meta = "RANGE", default = "1..1000")]
    seeds: String,
    /// No process ends or is evicted, so each key keeps its home.
    #[options(no_short)]
    homes_stay: bool,
    /// Backend servers announce themselves, name rate limits and say that they leave.
    #[options(no_short)]
    server_reports: bool,
    /// Nodes restart while the store is unavailable and others hold newer rules. There are no other
    /// faults.
    #[options(no_short)]
    restarts_in_outages: bool,
    /// Continue after a failure, and print only the violations.
    #[options()]
    all: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let range = args.seeds.split_once("..");
    let Some((Ok(first), Ok(end))) = range.map(|(a, b)| (a.parse::<u64>(), b.parse::<u64>()))
    else {
        eprintln!("{}", Args::usage());
        return ExitCode::from(2);
    };
    let mut failed = 0;
    for seed in first..end {
        let result = if args.server_reports {
            trial::check_seed_with_server_reports(seed)
        } else if args.restarts_in_outages {
            trial::check_seed_with_restarts_in_outages(seed)
        } else {
            trial::check_seed(seed, !args.homes_stay)
        };
        let Err(report) = result else {
            continue;
        };
        failed += 1;
        if args.all {
            println!("{}", report.lines().last().unwrap_or_default());
        } else {
            println!("{report}");
            break;
        }
    }
    println!("seeds {first}..{end}: {failed} failed");
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
