//! What each command does.

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
            make_key();
            Ok(())
        }
    }
}

/// The key goes to the organisation and is kept nowhere else.
fn make_key() {
    let random = || Uuid::new_v4().simple().to_string();
    let key = random() + &random();
    println!("{key}\n{}", KeyDigest::of(&key));
}

fn check(args: &Check) -> Result<(), CommandError> {
    let (_, rules) = read_rules(&args.file)?;
    println!(
        "{} operations, {} services with limits",
        rules.operations.len(),
        rules.limits.len()
    );
    Ok(())
}

async fn explain(args: Explain) -> Result<(), CommandError> {
    let words: Vec<&str> = args.call.iter().map(String::as_str).collect();
    let (file, method, target) = match (words.as_slice(), args.store) {
        ([file, method, target], None) => (Some(file), method, target),
        ([method, target], Some(_)) => (None, method, target),
        _ => return Err(CommandError::BadCall),
    };
    let (service, path) = target
        .strip_prefix('/')
        .and_then(|target| target.split_once('/'))
        .ok_or(CommandError::BadCall)?;
    let path = format!("/{path}");
    let rules = match (file, args.store) {
        (Some(file), _) => read_rules(Path::new(file))?.1.into(),
        (None, Some(store)) => {
            let stream = Stream::open(store, &args.stream).await?;
            println!("version {}", stream.state.rules_version);
            stream.state.rules
        }
        (None, None) => return Err(CommandError::BadCall),
    };
    print!("{}", rules.explain(service, method, &path));
    Ok(())
}

async fn log(args: Log) -> Result<(), CommandError> {
    let addr = args.store.ok_or(CommandError::NoAddress)?;
    let stream = Stream::open(addr, &args.stream).await?;
    for item in stream.records().await? {
        let Ok(Record::Publish {
            version,
            publication,
            operator,
            ..
        }) = proto::decode(&item.value)
        else {
            continue;
        };
        println!(
            "offset={} version={version} operator={operator} publication={publication:032x}",
            item.offset
        );
    }
    let state = stream.state;
    println!(
        "in force: version={} operator={} publication={:032x} next_offset={}",
        state.rules_version, state.operator, state.publication, state.next_offset
    );
    Ok(())
}
