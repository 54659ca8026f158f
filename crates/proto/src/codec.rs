//! Encoding of messages with `postcard`.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Why bytes could not be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// The bytes are truncated or not a valid message.
    Malformed,
    /// The message is followed by further bytes.
    TrailingBytes,
}

/// Encodes a message.
///
/// # Panics
///
/// Never for the messages of this package, which contain only types that `postcard` can encode.
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
    postcard::to_stdvec(message).expect("messages contain only types that postcard can encode")
}

/// Decodes a message that occupies all of `bytes`.
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
