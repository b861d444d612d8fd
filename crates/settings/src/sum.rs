//! Sums over parts of a tree: equal content has equal sums, and a sum follows a change at the
//! cost of what changed.

use sha2::{Digest as _, Sha256};

/// Sum of the digests of some entries, in any order.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Sum(u128);

impl Sum {
    /// The sum of one entry.
    pub(crate) fn of(name: &str, content: &[u8]) -> Sum {
        let digest = Sha256::new()
            .chain_update((name.len() as u64).to_le_bytes())
            .chain_update(name)
            .chain_update(content)
            .finalize();
        let (first, _) = digest.split_at(size_of::<u128>());
        Sum(u128::from_le_bytes(first.try_into().expect("16 bytes")))
    }

    pub(crate) fn add(&mut self, other: Sum) {
        self.0 = self.0.wrapping_add(other.0);
    }

    pub(crate) fn subtract(&mut self, other: Sum) {
        self.0 = self.0.wrapping_sub(other.0);
    }

    pub(crate) fn to_bytes(self) -> [u8; size_of::<u128>()] {
        self.0.to_le_bytes()
    }

    /// Half of its bits, enough to tell two parts apart before the whole is compared.
    pub(crate) fn short(self) -> u64 {
        self.0 as u64
    }
}
