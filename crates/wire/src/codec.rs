//! CBOR encoding of messages. The web socket bounds a message's size; what does
//! not decode closes the connection it came on, and no other.

use thiserror::Error;

use crate::frame::Envelope;

/// A message that cannot be read or written.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The bytes are not a message.
    #[error("malformed message: {0}")]
    Malformed(#[from] ciborium::de::Error<std::io::Error>),
    /// Bytes follow the message.
    #[error("{0} bytes follow the message")]
    Trailing(usize),
    /// Packed content cannot be unpacked.
    #[error("malformed packed content: {0}")]
    Packed(#[from] lz4_flex::block::DecompressError),
    /// Packed content says that it is larger than any may be.
    #[error("{found} bytes of packed content, {limit} allowed")]
    TooLarge {
        /// Bytes that it says it has.
        found: usize,
        /// Bytes that are allowed.
        limit: usize,
    },
    /// The message cannot be encoded.
    #[error("cannot encode: {0}")]
    Encode(#[from] ciborium::ser::Error<std::io::Error>),
}

/// Depth of nesting that a message may have.
const DEPTH_LIMIT: usize = 32;

/// The bytes of a message.
///
/// # Errors
/// Never for messages built from this crate's types; kept typed all the same.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, CodecError> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(envelope, &mut bytes)?;
    Ok(bytes)
}

/// Reads one message that fills `bytes`.
///
/// # Errors
/// Bytes that are not exactly one message.
pub fn decode(mut bytes: &[u8]) -> Result<Envelope, CodecError> {
    let envelope = ciborium::de::from_reader_with_recursion_limit(&mut bytes, DEPTH_LIMIT)?;
    if bytes.is_empty() {
        Ok(envelope)
    } else {
        Err(CodecError::Trailing(bytes.len()))
    }
}
