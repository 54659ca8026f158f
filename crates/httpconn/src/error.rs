//! The error of a failed exchange.

use std::fmt;

/// Why an exchange returned no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection could not be established; nothing was sent.
    NotConnected,
    /// The connection was closed or reset before the response was complete.
    ConnectionClosed,
    /// The received bytes are not a valid HTTP response.
    Malformed,
    /// The response body exceeds the size limit.
    TooLarge,
    /// More bytes or interim responses were received than may precede or surround a response.
    ExcessiveOverhead,
    /// The memory for responses is used up, and this was the largest response of unknown length.
    NoMemory,
    /// Only responses to other requests were received.
    Unmatched,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            ExchangeError::NotConnected => "could not connect",
            ExchangeError::ConnectionClosed => "connection closed before the response was complete",
            ExchangeError::Malformed => "malformed HTTP response",
            ExchangeError::TooLarge => "response body exceeds the size limit",
            ExchangeError::ExcessiveOverhead => {
                "received too many bytes that are part of no response"
            }
            ExchangeError::NoMemory => "memory for responses is used up",
            ExchangeError::Unmatched => "received only responses to other requests",
        };
        f.write_str(text)
    }
}

impl std::error::Error for ExchangeError {}
