//! Errors in settings.

use std::fmt;

/// An error in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable(String),
    /// The file is not valid INI.
    Syntax(String),
    /// A required key is missing.
    Missing {
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
    },
    /// A value is not allowed for its key.
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
    /// A key appears twice in its section.
    Duplicate {
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// The section or key does not exist.
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
            SettingsError::Unreadable(path) => write!(f, "cannot read {path}"),
            SettingsError::Syntax(message) => write!(f, "invalid INI: {message}"),
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
                write!(f, "[{section}] {key}: set twice")
            }
            SettingsError::Unknown { section, key } => {
                write!(f, "[{section}] {key}: unknown section or key")
            }
        }
    }
}

impl std::error::Error for SettingsError {}
