//! What can be wrong with a rules file.

use std::fmt;

/// A fault in a rules file, with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleError {
    /// The line, from 1.
    pub line: u32,
    /// The column in characters, from 1.
    pub column: u32,
    /// What is wrong there.
    pub kind: RuleErrorKind,
}

/// What is wrong with a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RuleErrorKind {
    /// The rule has no comment `# asked by NAME`.
    NobodyAsked,
    /// The first word is no kind of rule.
    UnknownKind(String),
    /// A word is missing.
    Missing(&'static str),
    /// An option that this kind of rule does not have.
    UnknownOption(String),
    /// An option stands twice.
    RepeatedOption(String),
    /// A value is not what the option takes.
    BadValue {
        /// The option.
        option: &'static str,
        /// What it takes.
        allowed: &'static str,
    },
    /// The same operation, or the same bound of a service, was set on an earlier line.
    Duplicate {
        /// The earlier line.
        earlier: u32,
    },
    /// A key of the organisation was given to another one on an earlier line.
    SharedKey {
        /// The earlier line.
        earlier: u32,
    },
    /// The rule can never decide a call, because an earlier one always matches first.
    Unreachable {
        /// The earlier line.
        earlier: u32,
    },
    /// The file holds no rule.
    Empty,
    /// The file holds more rules than allowed.
    TooManyRules,
    /// The file is larger than allowed.
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
            RuleErrorKind::NobodyAsked => write!(
                f,
                "no comment says who asked for it: end the line with `# asked by NAME`"
            ),
            RuleErrorKind::UnknownKind(word) => write!(
                f,
                "`{word}` is no kind of rule: use operation, limit, keys, resends or organisation"
            ),
            RuleErrorKind::Missing(what) => write!(f, "{what} is missing"),
            RuleErrorKind::UnknownOption(word) => write!(f, "`{word}` is no option of this rule"),
            RuleErrorKind::RepeatedOption(word) => write!(f, "`{word}` stands twice"),
            RuleErrorKind::BadValue { option, allowed } => write!(f, "`{option}` takes {allowed}"),
            RuleErrorKind::Duplicate { earlier } => write!(f, "already set on line {earlier}"),
            RuleErrorKind::SharedKey { earlier } => {
                write!(
                    f,
                    "the organisation on line {earlier} has one of these keys"
                )
            }
            RuleErrorKind::Unreachable { earlier } => {
                write!(f, "never used: line {earlier} matches first")
            }
            RuleErrorKind::Empty => write!(f, "the file holds no rule"),
            RuleErrorKind::TooManyRules => {
                write!(f, "the file holds more than {} rules", crate::MAX_RULES)
            }
            RuleErrorKind::TooLarge => {
                write!(f, "the file exceeds {} bytes", crate::MAX_FILE_BYTES)
            }
        }
    }
}

impl std::error::Error for RuleError {}
