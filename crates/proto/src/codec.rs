//! Encoding of messages by `postcard`.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Why bytes are not a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// The bytes end early or hold no such message.
    Malformed,
    /// Bytes are left after the message.
    TrailingBytes,
}

/// Encodes a message.
///
/// # Panics
///
/// Never for the messages of this package: they hold nothing that `postcard` refuses.
///
/// # Examples
///
/// ```
/// use bilberry_proto::{decode, encode, Frame};
///
/// let bytes = encode(&Frame::Ping(4));
/// assert_eq!(decode::<Frame>(&bytes), Ok(Frame::Ping(4)));
/// ```
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("plain messages always encode")
}

/// Decodes a message that takes up all of `bytes`.
///
/// # Errors
///
/// [`DecodeError`] if the bytes are not exactly one message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        Ok(_) => Err(DecodeError::TrailingBytes),
        Err(_) => Err(DecodeError::Malformed),
    }
}
