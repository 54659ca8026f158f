//! Why an exchange gave no whole response.

use std::fmt;

/// Why an exchange gave no whole response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection could be made; nothing was sent.
    NotConnected,
    /// The connection was closed or reset before the response was whole.
    ConnectionClosed,
    /// What came is no response.
    Malformed,
    /// The response is larger than allowed.
    TooLarge,
    /// Only responses to other requests came.
    Unmatched,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            ExchangeError::NotConnected => "no connection could be made",
            ExchangeError::ConnectionClosed => "the connection broke before the response was whole",
            ExchangeError::Malformed => "what came is no response",
            ExchangeError::TooLarge => "the response is too large",
            ExchangeError::Unmatched => "only responses to other requests came",
        };
        f.write_str(text)
    }
}

impl std::error::Error for ExchangeError {}
