//! Requests for settings and replies with parts of them. Parts are compressed, since routes repeat
//! the same names and values.

use lynxcleat_settings::{CopyBase, CopyRequest, Digest, Generation, TreePart};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::codec::CodecError;
use crate::compression::{compress, decompress};

/// Requests the part of the current settings that the requester does not have.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettingsRequest {
    /// Number of the request.
    #[serde(rename = "a")]
    pub ask: u64,
    /// Current generation of the requester, which has no use for an older one.
    #[serde(rename = "g")]
    pub in_force: u64,
    /// Index of the first requested unit.
    #[serde(rename = "f")]
    first: u16,
    /// Digest of the tree on which the requester's copy is based; absent if `sums` describe the
    /// copy.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    base: Option<String>,
    /// Checksums of the units from `first` on, in little-endian byte order, eight bytes each.
    #[serde(rename = "s", default, skip_serializing_if = "is_empty")]
    sums: ByteBuf,
}

impl SettingsRequest {
    /// Creates a request for the missing part of a generation newer than `in_force`.
    pub fn new(ask: u64, in_force: u64, wanted: &CopyRequest) -> Self {
        let (base, sums) = match &wanted.base {
            CopyBase::Tree(digest) => (Some(digest.to_string()), Vec::new()),
            CopyBase::Units(sums) => {
                let bytes = sums.iter().flat_map(|sum| sum.to_le_bytes());
                (None, bytes.collect())
            }
        };
        SettingsRequest {
            ask,
            in_force,
            first: wanted.first,
            base,
            sums: ByteBuf::from(sums),
        }
    }

    /// Returns the requested range and the base of the requester's copy.
    pub fn wanted(&self) -> CopyRequest {
        let sums = || {
            let (sums, _) = self.sums.as_chunks();
            sums.iter().copied().map(u64::from_le_bytes).collect()
        };
        let base = match &self.base {
            Some(digest) => CopyBase::Tree(Digest::from_hex(digest.as_str())),
            None => CopyBase::Units(sums()),
        };
        CopyRequest {
            first: self.first,
            base,
        }
    }
}

/// Compressed part of a generation of settings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettingsPart {
    /// Number of the generation.
    #[serde(rename = "g")]
    pub generation: u64,
    /// Digest that identifies the content of the generation.
    #[serde(rename = "d")]
    pub digest: String,
    /// Digest of the generation's entries, by which the complete copy is verified.
    #[serde(rename = "e")]
    pub entries_digest: String,
    /// Compressed encoding of the part.
    #[serde(rename = "b")]
    body: ByteBuf,
    /// Age of the sender's knowledge of the accepted settings, in milliseconds; `None` if it is not
    /// known.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

impl SettingsPart {
    /// Compresses a part of a generation.
    ///
    /// # Errors
    /// Failure to encode the part; does not occur for parts of a tree.
    pub fn pack(
        generation: &Generation,
        entries_digest: &str,
        part: &TreePart,
    ) -> Result<Self, CodecError> {
        Ok(SettingsPart {
            generation: generation.number,
            digest: generation.digest.to_string(),
            entries_digest: entries_digest.to_owned(),
            body: ByteBuf::from(compress(part)?),
            age_ms: None,
        })
    }

    /// Returns the compressed size, in bytes.
    pub fn bytes(&self) -> usize {
        self.body.len()
    }

    /// Decompresses the part.
    ///
    /// # Errors
    /// Bytes that are not a valid part.
    pub fn unpack(&self) -> Result<TreePart, CodecError> {
        decompress(&self.body)
    }
}

/// Reply to a [`SettingsRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SettingsReply {
    /// The replying daemon has no newer generation.
    Nothing,
    /// The replying daemon is already sending as many parts to others as its limit allows.
    Busy {
        /// Delay before the next request, in milliseconds.
        after_ms: u64,
    },
    /// The replying daemon does not have the tree on which the requester's copy is based.
    UnknownBase,
    /// The requested part.
    Part(Box<SettingsPart>),
}

fn is_empty(bytes: &ByteBuf) -> bool {
    bytes.is_empty()
}
