//! Encoding of rows of the member table, compressed if there are at least [`MIN_COMPRESSED_ROWS`].

use serde::de::Error as _;
use serde::ser::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_bytes::ByteBuf;

use crate::compression::{compress, decompress};
use crate::frame::RowFrame;

/// Minimum number of rows to compress; below it the overhead exceeds the savings.
const MIN_COMPRESSED_ROWS: usize = 4;

#[derive(Serialize)]
enum EncodedRows<'a> {
    #[serde(rename = "r")]
    Plain(&'a [RowFrame]),
    #[serde(rename = "z")]
    Compressed(ByteBuf),
}

#[derive(Deserialize)]
enum DecodedRows {
    #[serde(rename = "r")]
    Plain(Vec<RowFrame>),
    #[serde(rename = "z")]
    Compressed(ByteBuf),
}

pub(crate) fn serialize<S: Serializer>(
    rows: &[RowFrame],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let encoded = match rows.len() < MIN_COMPRESSED_ROWS {
        true => EncodedRows::Plain(rows),
        false => EncodedRows::Compressed(ByteBuf::from(compress(&rows).map_err(S::Error::custom)?)),
    };
    encoded.serialize(serializer)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<RowFrame>, D::Error> {
    match DecodedRows::deserialize(deserializer)? {
        DecodedRows::Plain(rows) => Ok(rows),
        DecodedRows::Compressed(bytes) => decompress(&bytes).map_err(D::Error::custom),
    }
}
