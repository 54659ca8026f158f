//! Why an exchange gave no whole response.

use std::fmt;

/// Why an exchange gave no whole response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be made; nothing was sent.
    NotConnected,
    /// The connection was closed or reset before the response was whole.
    Broken,
    /// What came is no response.
    Malformed,
    /// The response is larger than allowed.
    TooLarge,
    /// Only responses to other requests came.
    Foreign,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Failure::NotConnected => "no connection could be made",
            Failure::Broken => "the connection broke before the response was whole",
            Failure::Malformed => "what came is no response",
            Failure::TooLarge => "the response is too large",
            Failure::Foreign => "only responses to other requests came",
        };
        f.write_str(text)
    }
}

impl std::error::Error for Failure {}
