//! Names for what requests hold, so that a repeated request is known for one.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Hexadecimal digits of each of the two halves.
const HALF_DIGITS: usize = 16;

/// 128 bits of a digest: enough that two requests never share one by chance.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Fingerprint(pub u64, pub u64);

/// A text that is no fingerprint.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0:?} is not a fingerprint of 32 hexadecimal digits")]
pub struct NotAFingerprint(pub String);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

impl FromStr for Fingerprint {
    type Err = NotAFingerprint;

    fn from_str(text: &str) -> Result<Self, NotAFingerprint> {
        let fault = || NotAFingerprint(text.to_owned());
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * HALF_DIGITS || !is_hex {
            return Err(fault());
        }
        let (first, second) = text.split_at(HALF_DIGITS);
        let half = |digits| u64::from_str_radix(digits, 16).map_err(|_| fault());
        Ok(Fingerprint(half(first)?, half(second)?))
    }
}

/// What one request is known by.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct RequestPrints {
    /// Its method, host, path and body.
    #[serde(rename = "c")]
    pub content: Fingerprint,
    /// The same with its other headers and the service that it comes from.
    #[serde(rename = "f")]
    pub full: Fingerprint,
}
