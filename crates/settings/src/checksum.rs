//! Incremental checksums of parts of a tree: equal content has equal checksums, and an update
//! costs only as much as the changed entries.

use sha2::{Digest as _, Sha256};

/// Order-independent checksum of a set of entries: the wrapping sum of their truncated digests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Checksum(u128);

impl Checksum {
    /// Computes the checksum of one entry.
    pub(crate) fn of(name: &str, content: &[u8]) -> Checksum {
        let digest = Sha256::new()
            .chain_update((name.len() as u64).to_le_bytes())
            .chain_update(name)
            .chain_update(content)
            .finalize();
        let (first, _) = digest.split_at(size_of::<u128>());
        Checksum(u128::from_le_bytes(first.try_into().expect("16 bytes")))
    }

    pub(crate) fn add(&mut self, other: Checksum) {
        self.0 = self.0.wrapping_add(other.0);
    }

    pub(crate) fn subtract(&mut self, other: Checksum) {
        self.0 = self.0.wrapping_sub(other.0);
    }

    pub(crate) fn to_bytes(self) -> [u8; size_of::<u128>()] {
        self.0.to_le_bytes()
    }

    /// The low 64 bits, enough to find differing parts; the full digest is compared afterwards.
    pub(crate) fn low_bits(self) -> u64 {
        self.0 as u64
    }
}
