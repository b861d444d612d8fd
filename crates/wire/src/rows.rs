//! Encoding of rows of the members' table: compressed from [`PACKED_MIN_ROWS`] rows on.

use serde::de::Error as _;
use serde::ser::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_bytes::ByteBuf;

use crate::frame::RowFrame;
use crate::packed::{pack, unpack};

/// Smallest number of rows that is compressed; below it the overhead outweighs the savings.
const PACKED_MIN_ROWS: usize = 4;

#[derive(Serialize)]
enum RowsOut<'a> {
    #[serde(rename = "r")]
    Plain(&'a [RowFrame]),
    #[serde(rename = "z")]
    Packed(ByteBuf),
}

#[derive(Deserialize)]
enum RowsIn {
    #[serde(rename = "r")]
    Plain(Vec<RowFrame>),
    #[serde(rename = "z")]
    Packed(ByteBuf),
}

pub(crate) fn serialize<S: Serializer>(rows: &[RowFrame], to: S) -> Result<S::Ok, S::Error> {
    let out = match rows.len() < PACKED_MIN_ROWS {
        true => RowsOut::Plain(rows),
        false => RowsOut::Packed(ByteBuf::from(pack(&rows).map_err(S::Error::custom)?)),
    };
    out.serialize(to)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<RowFrame>, D::Error> {
    match RowsIn::deserialize(from)? {
        RowsIn::Plain(rows) => Ok(rows),
        RowsIn::Packed(bytes) => unpack(&bytes).map_err(D::Error::custom),
    }
}
