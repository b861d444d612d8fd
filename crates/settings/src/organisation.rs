//! Organisations: their keys, quotas and priorities.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

use crate::entry_set::{Entry, EntryMetadata, EntrySet};
use crate::error::{Fault, SettingsError};
use crate::tree::Tree;

/// Maximum length of an organisation name, in bytes; the name is sent to targets in a header.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of keys per organisation.
const MAX_KEYS: u64 = 64;
/// Maximum rate, in calls per 1,000 seconds.
pub const MAX_RATE: u64 = 1_000_000_000_000;
/// Maximum burst, in calls.
pub const MAX_BURST: u64 = 1_000_000_000;

/// The organisations of a tree by name.
pub(crate) type OrganisationSet = EntrySet<NamedOrganisation>;

/// SHA-256 digest of a key, stored in the settings instead of the key.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; 32]);

/// The text is not a valid key digest.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("invalid key digest: expected 64 hexadecimal digits")]
pub struct InvalidKeyDigest;

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        KeyDigest(Sha256::digest(key).into())
    }

    pub(crate) fn bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

/// Formats only the first four bytes, enough to distinguish keys in a log.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({}..)", hex::encode(&self.0[..4]))
    }
}

impl FromStr for KeyDigest {
    type Err = InvalidKeyDigest;

    fn from_str(text: &str) -> Result<Self, InvalidKeyDigest> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| InvalidKeyDigest)?;
        Ok(KeyDigest(bytes))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Keys, quota and priority of an organisation.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Digests of the keys that authenticate its callers.
    #[serde(default)]
    pub key_digests: Vec<KeyDigest>,
    /// Fleet-wide limit of calls per 1,000 seconds; 0 for unlimited.
    #[serde(default)]
    pub rate_per_1000_s: u64,
    /// Calls allowed at once in excess of the rate.
    #[serde(default)]
    pub burst: u64,
    /// Priority of its calls, which takes precedence over that of their routes; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
}

impl Organisation {
    fn fault(&self) -> Option<Fault> {
        Fault::check_range(self.key_digests.len() as u64, 0..=MAX_KEYS, "keys")
            .or_else(|| Fault::check_range(self.rate_per_1000_s, 0..=MAX_RATE, "calls/1000 s"))
            .or_else(|| Fault::check_range(self.burst, 0..=MAX_BURST, "calls"))
    }
}

/// A validated organisation with its name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NamedOrganisation {
    /// Name in the tree.
    pub name: String,
    /// The organisation.
    pub organisation: Organisation,
    metadata: EntryMetadata,
}

impl NamedOrganisation {
    /// Checks an organisation and its name.
    ///
    /// # Errors
    /// Fails with the first fault of the name or of the organisation.
    pub fn new(name: &str, organisation: Organisation) -> Result<Self, SettingsError> {
        let fault = match is_valid_name(name) {
            true => organisation.fault(),
            false => Some(Fault::BadOrganisationName),
        };
        if let Some(fault) = fault {
            return Err(SettingsError::at(
                format!("{}{name}", Self::PATH_PREFIX),
                fault,
            ));
        }
        Ok(NamedOrganisation {
            name: name.to_owned(),
            metadata: EntryMetadata::of(name, &organisation),
            organisation,
        })
    }
}

impl Entry for NamedOrganisation {
    type Content = Organisation;
    const PATH_PREFIX: &'static str = "organisations.";
    const BUCKETS: usize = 64;

    fn try_new(name: &str, organisation: Organisation) -> Result<Self, SettingsError> {
        NamedOrganisation::new(name, organisation)
    }

    fn parse_fault(reason: String) -> Fault {
        Fault::BadOrganisation(reason)
    }

    fn name(&self) -> &str {
        &self.name
    }

    fn content(&self) -> &Organisation {
        &self.organisation
    }

    fn metadata(&self) -> &EntryMetadata {
        &self.metadata
    }

    fn set_of(tree: &Tree) -> &EntrySet<Self> {
        tree.organisation_set()
    }

    fn set_of_mut(tree: &mut Tree) -> &mut EntrySet<Self> {
        tree.organisation_set_mut()
    }
}

/// Checks that no key belongs to two organisations.
pub(crate) fn check_keys(organisations: &OrganisationSet) -> Result<(), SettingsError> {
    let mut owners = HashMap::new();
    for named in organisations.iter() {
        for digest in &named.organisation.key_digests {
            let other = owners.insert(digest, &named.name);
            if let Some(other) = other.filter(|other| **other != named.name) {
                let path = format!("{}{}", NamedOrganisation::PATH_PREFIX, named.name);
                let other = other.clone();
                return Err(SettingsError::at(path, Fault::SharedKey { other }));
            }
        }
    }
    Ok(())
}

fn is_valid_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed)
}
