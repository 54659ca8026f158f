//! Why a command failed, and its exit code.

use journal::Rejection;
use logservice::LogError;
use rules::RuleError;
use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum CommandError {
    NoCommand,
    /// The words after `explain` are not what it takes.
    BadCall,
    /// Neither a log service nor a node was given.
    NoAddress,
    OperatorName,
    Unreadable(PathBuf),
    Rules(PathBuf, Vec<RuleError>),
    Log(LogError),
    /// The log's older records have expired, and no snapshot stands for them.
    NoState,
    /// The log has its state; it cannot begin again.
    HasState,
    Rejected {
        /// The version that the publication was to follow.
        expected: u64,
        rejection: Rejection,
        /// Who published the version that came first.
        winner: Option<(String, u64)>,
    },
    /// The publication may still arrive.
    Open {
        publication: u128,
        cause: Option<LogError>,
    },
    /// So many nodes did not answer.
    Silent(usize),
}

impl CommandError {
    /// The exit codes are listed in docs/OPERATIONS.md.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Silent(_) => 1,
            CommandError::NoCommand
            | CommandError::BadCall
            | CommandError::NoAddress
            | CommandError::OperatorName
            | CommandError::Unreadable(_)
            | CommandError::HasState
            | CommandError::Rules(..) => 2,
            CommandError::Log(_) | CommandError::NoState | CommandError::Open { .. } => 3,
            CommandError::Rejected { .. } => 4,
        })
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::NoCommand => write!(f, "no command; see bilberryctl --help"),
            CommandError::BadCall => {
                write!(
                    f,
                    "explain takes FILE METHOD /SERVICE/PATH, or --log without FILE"
                )
            }
            CommandError::NoAddress => write!(f, "neither --log nor --node is given"),
            CommandError::OperatorName => write!(
                f,
                "the operator's name takes 1 to {} bytes; give it with --operator",
                journal::MAX_NAME
            ),
            CommandError::Unreadable(path) => write!(f, "{} cannot be read", path.display()),
            CommandError::Rules(path, errors) => {
                let lines = errors.iter().map(|e| format!("{}:{e}", path.display()));
                write!(f, "{}", lines.collect::<Vec<_>>().join("\n"))
            }
            CommandError::Log(e) => write!(f, "{e}"),
            CommandError::NoState => write!(
                f,
                "the log has lost its older records and holds no snapshot of them; \
                 see `begin again` in docs/OPERATIONS.md"
            ),
            CommandError::HasState => {
                write!(f, "the log has its state; publish without --begin-again")
            }
            CommandError::Rejected {
                expected,
                rejection: Rejection::Overtaken(version),
                winner,
            } => {
                write!(f, "rejected: published on top of version {expected}, but ")?;
                match winner {
                    Some((operator, offset)) => write!(
                        f,
                        "version {version} by {operator} (offset {offset}) came first"
                    ),
                    None => write!(f, "version {version} is in force"),
                }
            }
            CommandError::Rejected { .. } => write!(f, "rejected: the file has faults"),
            CommandError::Open { publication, cause } => {
                write!(
                    f,
                    "outcome open: publication {publication:032x} is not in the log yet"
                )?;
                match cause {
                    Some(e) => write!(f, " ({e}); see bilberryctl log before publishing again"),
                    None => write!(f, "; see bilberryctl log before publishing again"),
                }
            }
            CommandError::Silent(count) => write!(f, "{count} nodes did not answer"),
        }
    }
}

impl From<LogError> for CommandError {
    fn from(e: LogError) -> Self {
        CommandError::Log(e)
    }
}
