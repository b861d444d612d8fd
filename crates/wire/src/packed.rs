//! Compression of rows and settings, which contain many repeated names and values.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::codec::CodecError;

/// Upper bound on the size after decompression, in bytes. A part of the settings ends with the unit
/// that passes the sender's limit, and a table of 6,000 members has some 1.5 MB.
const UNPACKED_BYTES: usize = 4 << 20;

/// Encodes and compresses a value.
///
/// # Errors
/// Failure to encode the value; does not occur for the types of this crate.
pub(crate) fn pack(value: &impl Serialize) -> Result<Vec<u8>, CodecError> {
    let mut plain = Vec::new();
    ciborium::into_writer(value, &mut plain)?;
    Ok(lz4_flex::compress_prepend_size(&plain))
}

/// Decompresses and decodes the output of [`pack`].
///
/// # Errors
/// Malformed bytes, or a declared size above [`UNPACKED_BYTES`].
pub(crate) fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (found, rest) = lz4_flex::block::uncompressed_size(bytes)?;
    if found > UNPACKED_BYTES {
        return Err(CodecError::TooLarge {
            found,
            limit: UNPACKED_BYTES,
        });
    }
    let plain = lz4_flex::decompress(rest, found)?;
    Ok(ciborium::from_reader(plain.as_slice())?)
}
