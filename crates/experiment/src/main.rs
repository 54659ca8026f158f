//! `bilberry-experiment`: runs one load experiment for all variants, prints a table of the results,
//! and optionally plots the goodput.

use bilberry_experiment::report;
use bilberry_experiment::scenario;
use bilberry_experiment::scenario::ExperimentResult;
use bilberry_experiment::trigger;
use bilberry_experiment::variant;
use bilberry_experiment::variant::Variant;
use gumdrop::Options;
use std::process::ExitCode;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Mutex;

/// How many variants run at the same time.
const THREADS: usize = 3;

/// The demand levels of the `demand` experiment, as multiples of capacity.
const DEMANDS: [f64; 5] = [0.5, 0.9, 1.2, 2.0, 4.0];

/// Runs one experiment.
#[derive(Debug, Options)]
struct Args {
    /// Print this help.
    #[options()]
    help: bool,
    /// `demand`, `slow`, `cold`, `crash`, `domain`, `regions`, `log`, `log-slow` or `rolling`.
    #[options(free, required)]
    name: String,
    /// Seed of the random number generators.
    #[options(default = "1")]
    seed: u64,
    /// Run only the variants whose names contain this text.
    #[options(default = "")]
    only: String,
    /// Path of the SVG plot to write; none if it is left out.
    #[options()]
    plot: Option<String>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let variants: Vec<Variant> = variant::all()
        .into_iter()
        .filter(|variant| variant.name.contains(&args.only))
        .collect();
    println!("experiment {}, seed {}", args.name, args.seed);
    let results = match &*args.name {
        "demand" => run_demand_levels(&args, &variants),
        name if trigger::ALL.iter().any(|trigger| trigger.name == name) => {
            let mut results = Vec::new();
            for trigger in trigger::ALL.iter().filter(|trigger| trigger.name == name) {
                let run = |variant: &Variant| scenario::run_trigger(args.seed, variant, trigger);
                results = run_in_parallel(&variants, run);
                report::print_table(trigger.title, &results);
            }
            results
        }
        _ => {
            eprintln!("{}", Args::usage());
            return ExitCode::from(2);
        }
    };
    let Some(path) = args.plot else {
        return ExitCode::SUCCESS;
    };
    let title = format!("{}, seed {}", args.name, args.seed);
    match report::plot_goodput(&path, &title, &results) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cannot write the plot to {path}: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all demand levels and returns the results at the highest one.
fn run_demand_levels(args: &Args, variants: &[Variant]) -> Vec<ExperimentResult> {
    let mut results = Vec::new();
    for demand in DEMANDS {
        let run = |variant: &Variant| scenario::run_steady_demand(args.seed, variant, demand);
        results = run_in_parallel(variants, run);
        report::print_table(&format!("demand at {demand} times capacity"), &results);
    }
    results
}

/// Runs all variants, [`THREADS`] at a time, and returns the results in the order of the variants.
fn run_in_parallel(
    variants: &[Variant],
    run: impl Fn(&Variant) -> ExperimentResult + Sync,
) -> Vec<ExperimentResult> {
    let next_index = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let index = next_index.fetch_add(1, Ordering::Relaxed);
                let Some(variant) = variants.get(index) else {
                    return;
                };
                let result = run(variant);
                let mut results = results
                    .lock()
                    .expect("no thread panics while it holds the lock");
                results.push((index, result));
            });
        }
    });
    let mut results = results
        .into_inner()
        .expect("no thread panics while it holds the lock");
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}
