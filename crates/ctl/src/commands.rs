//! Runs the commands of `bilberryctl`.

use crate::args::Args;
use crate::args::Check;
use crate::args::Command;
use crate::args::Explain;
use crate::args::Log;
use crate::error::CommandError;
use crate::publish::publish;
use crate::rules_file::read_rules;
use crate::status::status;
use crate::stream::Stream;
use journal::Record;
use rules::KeyDigest;
use std::path::Path;
use uuid::Uuid;

/// Runs the command given by the arguments.
pub(crate) async fn run(args: Args) -> Result<(), CommandError> {
    if args.version {
        println!("bilberryctl {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    match args.command.ok_or(CommandError::NoCommand)? {
        Command::Check(args) => check(&args),
        Command::Publish(args) => publish(args).await,
        Command::Status(args) => status(args).await,
        Command::Explain(args) => explain(args).await,
        Command::Log(args) => log(args).await,
        Command::Key(_) => {
            generate_key();
            Ok(())
        }
    }
}

/// Prints a new random key and its digest. The key goes to the organisation and is not stored.
fn generate_key() {
    let random_half = || Uuid::new_v4().simple().to_string();
    let key = random_half() + &random_half();
    println!("{key}\n{}", KeyDigest::of(&key));
}

/// Checks a rules file without contacting the store.
fn check(args: &Check) -> Result<(), CommandError> {
    let (_, rules) = read_rules(&args.file)?;
    println!(
        "{} operations, {} services with limits",
        rules.operations.len(),
        rules.limits.len()
    );
    Ok(())
}

/// Prints the rules that apply to a call, from a file or from the rules in force.
async fn explain(args: Explain) -> Result<(), CommandError> {
    let call_args: Vec<&str> = args.call.iter().map(String::as_str).collect();
    let (file, method, target) = match (call_args.as_slice(), args.store) {
        ([file, method, target], None) => (Some(file), method, target),
        ([method, target], Some(_)) => (None, method, target),
        _ => return Err(CommandError::InvalidExplainArgs),
    };
    let (service, path) = target
        .strip_prefix('/')
        .and_then(|target| target.split_once('/'))
        .ok_or(CommandError::InvalidExplainArgs)?;
    let path = format!("/{path}");
    let rules = match (file, args.store) {
        (Some(file), _) => read_rules(Path::new(file))?.1.into(),
        (None, Some(store)) => {
            let stream = Stream::open(store, &args.stream).await?;
            println!("version {}", stream.state.rules_version);
            stream.state.rules
        }
        (None, None) => return Err(CommandError::InvalidExplainArgs),
    };
    print!("{}", rules.explain(service, method, &path));
    Ok(())
}

/// Lists the publications retained in the store, and the one in force.
async fn log(args: Log) -> Result<(), CommandError> {
    let addr = args.store.ok_or(CommandError::MissingAddress)?;
    let stream = Stream::open(addr, &args.stream).await?;
    for record in stream.retained_records().await? {
        let Ok(Record::Publish {
            version,
            publication,
            operator,
            ..
        }) = proto::decode(&record.value)
        else {
            continue;
        };
        println!(
            "offset={} version={version} operator={operator} publication={publication:032x}",
            record.offset
        );
    }
    let state = stream.state;
    println!(
        "in force: version={} operator={} publication={:032x} next_offset={}",
        state.rules_version, state.operator, state.publication, state.next_offset
    );
    Ok(())
}
