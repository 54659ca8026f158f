//! Errors in rules files.

use std::fmt;

/// An error in a rules file, with its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleError {
    /// The line number, from 1.
    pub line: u32,
    /// The column in characters, from 1.
    pub column: u32,
    /// The kind of error.
    pub kind: RuleErrorKind,
}

/// The kind of an error in a rules file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RuleErrorKind {
    /// The rule does not end with the comment `# asked by NAME`.
    MissingRequester,
    /// The first word does not name a type of rule.
    UnknownRule(String),
    /// A required word or option is missing.
    Missing(&'static str),
    /// The rule has no option of this name.
    UnknownOption(String),
    /// An option occurs twice.
    RepeatedOption(String),
    /// The value of an argument or option is invalid.
    BadValue {
        /// The name of the argument or option.
        option: &'static str,
        /// The values that it accepts.
        allowed: &'static str,
    },
    /// An earlier line already defines the same operation, limit of a service, or organisation.
    Duplicate {
        /// The earlier line.
        earlier: u32,
    },
    /// An organisation on an earlier line has one of the keys.
    SharedKey {
        /// The earlier line.
        earlier: u32,
    },
    /// The rule never applies, because an earlier one matches all its calls.
    Unreachable {
        /// The earlier line.
        earlier: u32,
    },
    /// The file contains no `operation` rule.
    Empty,
    /// The file contains more than [`MAX_RULES`](crate::MAX_RULES) rules.
    TooManyRules,
    /// The file is larger than [`MAX_FILE_BYTES`](crate::MAX_FILE_BYTES).
    TooLarge,
}

impl fmt::Display for RuleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.kind)
    }
}

impl fmt::Display for RuleErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RuleErrorKind::MissingRequester => write!(
                f,
                "missing comment that names the requester: end the line with `# asked by NAME`"
            ),
            RuleErrorKind::UnknownRule(word) => write!(
                f,
                "unknown rule `{word}`: expected operation, limit, keys, resends or organisation"
            ),
            RuleErrorKind::Missing(what) => write!(f, "missing {what}"),
            RuleErrorKind::UnknownOption(word) => write!(f, "unknown option `{word}`"),
            RuleErrorKind::RepeatedOption(word) => write!(f, "duplicate option `{word}`"),
            RuleErrorKind::BadValue { option, allowed } => write!(f, "`{option}` takes {allowed}"),
            RuleErrorKind::Duplicate { earlier } => write!(f, "already set on line {earlier}"),
            RuleErrorKind::SharedKey { earlier } => {
                write!(f, "key already used by the organisation on line {earlier}")
            }
            RuleErrorKind::Unreachable { earlier } => {
                write!(f, "unreachable: line {earlier} matches first")
            }
            RuleErrorKind::Empty => write!(f, "file contains no operation rule"),
            RuleErrorKind::TooManyRules => {
                write!(f, "file contains more than {} rules", crate::MAX_RULES)
            }
            RuleErrorKind::TooLarge => write!(f, "file exceeds {} bytes", crate::MAX_FILE_BYTES),
        }
    }
}

impl std::error::Error for RuleError {}
