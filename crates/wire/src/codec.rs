//! CBOR encoding of messages. The WebSocket layer limits the size of a message. A message that
//! cannot be decoded closes only the connection on which it was received.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::frame::{DeparturesFrame, Envelope, Frame};

/// Failure to encode or decode a message.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The bytes are not a valid message.
    #[error("malformed message: {0}")]
    Malformed(#[from] ciborium::de::Error<std::io::Error>),
    /// The input continues after the end of the message.
    #[error("{0} bytes follow the message")]
    Trailing(usize),
    /// Compressed content cannot be decompressed.
    #[error("malformed compressed content: {0}")]
    Packed(#[from] lz4_flex::block::DecompressError),
    /// The declared size of compressed content exceeds the limit.
    #[error("compressed content declares a size of {found} bytes; the limit is {limit}")]
    TooLarge {
        /// Declared size after decompression, in bytes.
        found: usize,
        /// Maximum size after decompression, in bytes.
        limit: usize,
    },
    /// The message could not be encoded.
    #[error("cannot encode message: {0}")]
    Encode(#[from] ciborium::ser::Error<std::io::Error>),
}

/// An envelope as it is encoded. Decoders ignore fields that they do not know, so that a daemon of
/// an earlier build reads the frame alone.
#[derive(Deserialize)]
struct EncodedEnvelope {
    #[serde(rename = "g")]
    generation: u64,
    #[serde(rename = "f")]
    frame: Frame,
    #[serde(rename = "d", default)]
    departures: Option<DeparturesFrame>,
}

/// An envelope with departures, as it is encoded.
#[derive(Serialize)]
struct DeparturesEnvelope<'a> {
    #[serde(rename = "g")]
    generation: u64,
    #[serde(rename = "f")]
    frame: Frame,
    #[serde(rename = "d")]
    departures: &'a DeparturesFrame,
}

/// Memory allocated for what a message has beside a body, in bytes. It grows where needed.
const HEAD_BYTES: usize = 1 << 10;
/// Maximum nesting depth of a message.
const MAX_NESTING_DEPTH: usize = 32;

/// Encodes a message.
///
/// # Errors
/// Failure to encode the message; does not occur for the types of this crate.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, CodecError> {
    let mut bytes = Vec::with_capacity(HEAD_BYTES + body_bytes(&envelope.frame));
    match &envelope.frame {
        Frame::Departures(departures) => {
            let extended = DeparturesEnvelope {
                generation: envelope.generation,
                frame: Frame::Beat,
                departures,
            };
            ciborium::into_writer(&extended, &mut bytes)?;
        }
        _ => ciborium::into_writer(envelope, &mut bytes)?,
    }
    Ok(bytes)
}

/// Size of the body that a message carries, in bytes.
fn body_bytes(frame: &Frame) -> usize {
    match frame {
        Frame::Call(call) => call.body.len(),
        Frame::Piece(piece) => piece.bytes.len(),
        Frame::Answer { answer, .. } => answer.body.len(),
        _ => 0,
    }
}

/// Decodes a message that must occupy all of `bytes`.
///
/// # Errors
/// Malformed or truncated input, or bytes after the end of the message.
pub fn decode(mut bytes: &[u8]) -> Result<Envelope, CodecError> {
    let encoded: EncodedEnvelope =
        ciborium::de::from_reader_with_recursion_limit(&mut bytes, MAX_NESTING_DEPTH)?;
    if !bytes.is_empty() {
        return Err(CodecError::Trailing(bytes.len()));
    }
    let departures = encoded.departures.map(Frame::Departures);
    Ok(Envelope {
        generation: encoded.generation,
        frame: departures.unwrap_or(encoded.frame),
    })
}
