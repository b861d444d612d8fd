//! Questions for settings and parts of them, packed: routes repeat the same names and values.

use lynxcleat_settings::{CopyBase, CopyRequest, Digest, Generation, TreePart};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::codec::CodecError;
use crate::packed::{pack, unpack};

/// Asks for what the asker lacks of the settings in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettingsAsk {
    /// Number of the ask.
    #[serde(rename = "a")]
    pub ask: u64,
    /// Generation in force at the asker; an older one is of no use to it.
    #[serde(rename = "g")]
    pub in_force: u64,
    /// The first unit that is wanted.
    #[serde(rename = "f")]
    first: u16,
    /// Digest of the tree that the asker began with; absent where `sums` say what it has.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    base: Option<String>,
    /// Sums of the units from the first on, eight bytes each.
    #[serde(rename = "s", default, skip_serializing_if = "is_empty")]
    sums: ByteBuf,
}

impl SettingsAsk {
    /// A question of a side that has some generation in force, and so much of a newer one.
    pub fn new(ask: u64, in_force: u64, wanted: &CopyRequest) -> Self {
        let (base, sums) = match &wanted.base {
            CopyBase::Tree(digest) => (Some(digest.to_string()), Vec::new()),
            CopyBase::Units(sums) => {
                let bytes = sums.iter().flat_map(|sum| sum.to_le_bytes());
                (None, bytes.collect())
            }
        };
        SettingsAsk {
            ask,
            in_force,
            first: wanted.first,
            base,
            sums: ByteBuf::from(sums),
        }
    }

    /// What the asker wants.
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

/// A part of a generation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettingsPart {
    /// Its number.
    #[serde(rename = "g")]
    pub generation: u64,
    /// Digest by which its content is known.
    #[serde(rename = "d")]
    pub digest: String,
    /// Digest of its entries, by which the copy is checked.
    #[serde(rename = "e")]
    pub entries_digest: String,
    /// The part, packed.
    #[serde(rename = "b")]
    body: ByteBuf,
}

impl SettingsPart {
    /// Packs a part of a generation whose entries have a digest.
    ///
    /// # Errors
    /// Never for a part of a tree; kept typed all the same.
    pub fn pack(
        generation: &Generation,
        entries_digest: &str,
        part: &TreePart,
    ) -> Result<Self, CodecError> {
        Ok(SettingsPart {
            generation: generation.number,
            digest: generation.digest.to_string(),
            entries_digest: entries_digest.to_owned(),
            body: ByteBuf::from(pack(part)?),
        })
    }

    /// Bytes of the packed part.
    pub fn bytes(&self) -> usize {
        self.body.len()
    }

    /// The part.
    ///
    /// # Errors
    /// Bytes that are no part.
    pub fn unpack(&self) -> Result<TreePart, CodecError> {
        unpack(&self.body)
    }
}

/// What becomes of a question.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SettingsReply {
    /// Nothing newer is in force there.
    Nothing,
    /// Others are being sent as much as may be; there will be room later.
    Busy {
        /// After so many milliseconds.
        after_ms: u64,
    },
    /// The tree that the asker began with is not known there.
    UnknownBase,
    /// A part.
    Part(Box<SettingsPart>),
}

fn is_empty(bytes: &ByteBuf) -> bool {
    bytes.is_empty()
}
