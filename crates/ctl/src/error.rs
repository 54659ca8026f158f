//! Why a command failed, and its exit code.

use platform::StoreError;
use rules::RuleError;
use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum CommandError {
    NoCommand,
    /// The words after `explain` are not what it takes.
    BadCall,
    /// Neither a store nor a node was given.
    NoAddress,
    OperatorName,
    Unreadable(PathBuf),
    Rules(PathBuf, Vec<RuleError>),
    Store(StoreError),
    /// Another publication came first.
    Overtaken {
        /// The version that the publication was to follow.
        expected: u64,
        /// The version in force.
        version: u64,
        /// Who published that.
        operator: Arc<str>,
    },
    /// The publication may still arrive.
    Open {
        publication: u128,
        cause: StoreError,
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
            | CommandError::Rules(..) => 2,
            CommandError::Store(_) | CommandError::Open { .. } => 3,
            CommandError::Overtaken { .. } => 4,
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
                    "explain takes FILE METHOD /SERVICE/PATH, or --store without FILE"
                )
            }
            CommandError::NoAddress => write!(f, "neither --store nor --node is given"),
            CommandError::OperatorName => write!(
                f,
                "the operator's name takes 1 to {} bytes; give it with --operator",
                journal::MAX_NAME_LEN
            ),
            CommandError::Unreadable(path) => write!(f, "{} cannot be read", path.display()),
            CommandError::Rules(path, errors) => {
                let lines = errors.iter().map(|e| format!("{}:{e}", path.display()));
                write!(f, "{}", lines.collect::<Vec<_>>().join("\n"))
            }
            CommandError::Store(e) => write!(f, "the store: {e}"),
            CommandError::Overtaken {
                expected,
                version,
                operator,
            } => write!(
                f,
                "rejected: published on top of version {expected}, but version {version} by \
                 {operator} is in force"
            ),
            CommandError::Open { publication, cause } => write!(
                f,
                "outcome open: publication {publication:032x} is not in the store yet ({cause}); \
                 see bilberryctl log before publishing again"
            ),
            CommandError::Silent(count) => write!(f, "{count} nodes did not answer"),
        }
    }
}

impl From<StoreError> for CommandError {
    fn from(e: StoreError) -> Self {
        CommandError::Store(e)
    }
}
