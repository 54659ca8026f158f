//! Errors of commands and their exit codes.

use platform::StoreError;
use rules::RuleError;
use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// The error with which a command ended.
#[derive(Debug)]
pub(crate) enum CommandError {
    NoCommand,
    /// The arguments after `explain` do not have the form that it takes.
    InvalidExplainArgs,
    /// The command needs the address of the store or of a node, and none was given.
    MissingAddress,
    /// The operator's name is empty or too long.
    InvalidOperatorName,
    UnreadableFile(PathBuf),
    InvalidRules(PathBuf, Vec<RuleError>),
    Store(StoreError),
    /// The version in force is not the expected one; another publication came first.
    VersionConflict {
        /// The version that the publication was based on.
        expected: u64,
        /// The version in force.
        version: u64,
        /// The operator who published the version in force.
        operator: Arc<str>,
    },
    /// The store did not confirm the publication, which may still take effect.
    OutcomeUnknown {
        publication: u128,
        cause: StoreError,
    },
    /// This many nodes did not answer.
    NoResponse(usize),
}

impl CommandError {
    /// The exit code of the process. docs/OPERATIONS.md lists all exit codes.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::NoResponse(_) => 1,
            CommandError::NoCommand
            | CommandError::InvalidExplainArgs
            | CommandError::MissingAddress
            | CommandError::InvalidOperatorName
            | CommandError::UnreadableFile(_)
            | CommandError::InvalidRules(..) => 2,
            CommandError::Store(_) | CommandError::OutcomeUnknown { .. } => 3,
            CommandError::VersionConflict { .. } => 4,
        })
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::NoCommand => write!(f, "no command; see bilberryctl --help"),
            CommandError::InvalidExplainArgs => {
                write!(
                    f,
                    "explain takes FILE METHOD /SERVICE/PATH, or METHOD /SERVICE/PATH with --store"
                )
            }
            CommandError::MissingAddress => write!(f, "neither --store nor --node is given"),
            CommandError::InvalidOperatorName => write!(
                f,
                "the operator name must be 1 to {} bytes long; set it with --operator",
                journal::MAX_NAME_LEN
            ),
            CommandError::UnreadableFile(path) => write!(f, "{} cannot be read", path.display()),
            CommandError::InvalidRules(path, errors) => {
                let lines = errors.iter().map(|e| format!("{}:{e}", path.display()));
                write!(f, "{}", lines.collect::<Vec<_>>().join("\n"))
            }
            CommandError::Store(e) => write!(f, "store request failed: {e}"),
            CommandError::VersionConflict {
                expected,
                version,
                operator,
            } => write!(
                f,
                "rejected: published on top of version {expected}, but version {version} by \
                 {operator} is in force"
            ),
            CommandError::OutcomeUnknown { publication, cause } => write!(
                f,
                "outcome unknown: publication {publication:032x} is not in the store yet \
                 ({cause}); check bilberryctl log before publishing again"
            ),
            CommandError::NoResponse(count) => write!(f, "{count} nodes did not answer"),
        }
    }
}

impl From<StoreError> for CommandError {
    fn from(e: StoreError) -> Self {
        CommandError::Store(e)
    }
}
