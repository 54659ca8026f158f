//! `bilberryctl`: checks and publishes rules and shows the status of nodes.

mod args;
mod commands;
mod error;
mod nodes;
mod publish;
mod rules_file;
mod status;
mod stream;

use gumdrop::Options;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args = args::Args::parse_args_default_or_exit();
    match actix_rt::System::new().block_on(commands::run(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            e.exit_code()
        }
    }
}
