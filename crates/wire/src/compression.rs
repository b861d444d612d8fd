//! Compression of rows and settings, which contain many repeated names and values.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::codec::CodecError;

/// Maximum size after decompression, in bytes. A part of the settings ends with the unit that
/// exceeds the sender's limit, and a table of 6,000 members has about 1.5 MB.
const MAX_DECOMPRESSED_BYTES: usize = 4 << 20;

/// Encodes and compresses a value.
///
/// # Errors
/// Failure to encode the value; does not occur for the types of this crate.
pub(crate) fn compress(value: &impl Serialize) -> Result<Vec<u8>, CodecError> {
    let mut encoded = Vec::new();
    ciborium::into_writer(value, &mut encoded)?;
    Ok(lz4_flex::compress_prepend_size(&encoded))
}

/// Decompresses and decodes the output of [`compress`].
///
/// # Errors
/// Malformed bytes, or a declared size above [`MAX_DECOMPRESSED_BYTES`].
pub(crate) fn decompress<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (found, rest) = lz4_flex::block::uncompressed_size(bytes)?;
    if found > MAX_DECOMPRESSED_BYTES {
        return Err(CodecError::TooLarge {
            found,
            limit: MAX_DECOMPRESSED_BYTES,
        });
    }
    let encoded = lz4_flex::decompress(rest, found)?;
    Ok(ciborium::from_reader(encoded.as_slice())?)
}
