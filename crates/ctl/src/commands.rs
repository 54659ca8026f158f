//! What each command does.

use crate::args::Args;
use crate::args::Check;
use crate::args::Command;
use crate::args::Publish;
use journal::Record;
use journal::Rejection;
use journal::State;
use logservice::LogClient;
use logservice::LogError;
use rules::RuleError;
use rules::Rules;
use std::fmt;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum CommandError {
    NoCommand,
    Unreadable(std::path::PathBuf),
    Rules(std::path::PathBuf, Vec<RuleError>),
    Log(LogError),
    Rejected(Rejection),
    /// The publication is in no record that could be read.
    NotFound,
}

impl CommandError {
    /// 2: bad arguments or file; 3: the log did not answer, the outcome is open; 4: rejected.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::NoCommand | CommandError::Unreadable(_) | CommandError::Rules(..) => 2,
            CommandError::Log(_) | CommandError::NotFound => 3,
            CommandError::Rejected(_) => 4,
        })
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::NoCommand => write!(f, "no command; see bilberryctl --help"),
            CommandError::Unreadable(path) => write!(f, "{} cannot be read", path.display()),
            CommandError::Rules(path, errors) => {
                let lines = errors.iter().map(|e| format!("{}:{e}", path.display()));
                write!(f, "{}", lines.collect::<Vec<_>>().join("\n"))
            }
            CommandError::Log(e) => write!(f, "{e}"),
            CommandError::Rejected(Rejection::Overtaken(version)) => {
                write!(f, "rejected: version {version} came in force meanwhile")
            }
            CommandError::Rejected(Rejection::BadFile) => write!(f, "rejected: bad file"),
            CommandError::NotFound => write!(f, "the publication is not in the log"),
        }
    }
}

impl From<LogError> for CommandError {
    fn from(e: LogError) -> Self {
        CommandError::Log(e)
    }
}

pub(crate) async fn run(args: Args) -> Result<(), CommandError> {
    match args.command.ok_or(CommandError::NoCommand)? {
        Command::Check(args) => check(&args),
        Command::Publish(args) => publish(args).await,
    }
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

async fn publish(args: Publish) -> Result<(), CommandError> {
    let (file, _) = read_rules(&args.file)?;
    let log = LogClient::new(&args.log, &args.stream);
    let mut state = State::default();
    read_to_end(&log, &mut state).await?;
    let publication = uuid::Uuid::new_v4().as_u128();
    let operator = args
        .operator
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_default();
    let record = Record::Publish {
        expected: state.version,
        publication,
        operator: operator.into(),
        file: file.into(),
    };
    // Whether or not the answer comes, only the stream tells what became of it.
    let appended = log.append(proto::encode(&record).into()).await;
    read_to_end(&log, &mut state).await?;
    match (state.verdicts.get(&publication), appended) {
        (Some(verdict), _) => match verdict.result {
            Ok(version) => println!("version {version} is in force"),
            Err(rejection) => return Err(CommandError::Rejected(rejection)),
        },
        (None, Err(e)) => return Err(CommandError::Log(e)),
        (None, Ok(_)) => return Err(CommandError::NotFound),
    }
    Ok(())
}

fn read_rules(path: &Path) -> Result<(String, Rules), CommandError> {
    let unreadable = |_| CommandError::Unreadable(path.to_owned());
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    let rules = Rules::parse(&text).map_err(|e| CommandError::Rules(path.to_owned(), e))?;
    Ok((text, rules))
}

async fn read_to_end(log: &LogClient, state: &mut State) -> Result<(), LogError> {
    loop {
        let batch = log.read(state.next, Duration::ZERO).await?;
        for (offset, record) in &batch.records {
            state.apply(*offset, record);
        }
        if state.next >= batch.end || batch.records.is_empty() {
            return Ok(());
        }
    }
}
