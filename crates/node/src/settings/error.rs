//! What can be wrong with settings.

use std::fmt;

/// What is wrong with the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable(String),
    /// The file is not INI.
    Syntax(String),
    /// A key is missing.
    Missing {
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
    },
    /// A value is not what the key takes.
    InvalidValue {
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// A key stands twice in its section.
    Duplicate {
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// A section or key that there is none of.
    Unknown {
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable(path) => write!(f, "{path} cannot be read"),
            SettingsError::Syntax(message) => write!(f, "not INI: {message}"),
            SettingsError::Missing { section, key } => write!(f, "[{section}] {key} is missing"),
            SettingsError::InvalidValue {
                section,
                key,
                value,
                allowed,
            } => {
                write!(f, "[{section}] {key} = {value}: takes {allowed}")
            }
            SettingsError::Duplicate { section, key } => {
                write!(f, "[{section}] {key}: stands twice")
            }
            SettingsError::Unknown { section, key } => write!(f, "[{section}] {key}: unknown"),
        }
    }
}

impl std::error::Error for SettingsError {}
