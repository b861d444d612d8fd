//! Digests of request contents, by which repeated requests are recognised.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Hexadecimal digits in each half of a fingerprint.
const HALF_DIGITS: usize = 16;

/// 128 bits of a digest, which makes accidental collisions between requests negligible.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Fingerprint(pub u64, pub u64);

/// Error returned when a string is not a valid fingerprint.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("invalid fingerprint {0:?}: expected 32 hexadecimal digits")]
pub struct ParseFingerprintError(pub String);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, ParseFingerprintError> {
        let error = || ParseFingerprintError(text.to_owned());
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * HALF_DIGITS || !is_hex {
            return Err(error());
        }
        let (first, second) = text.split_at(HALF_DIGITS);
        let half = |digits| u64::from_str_radix(digits, 16).map_err(|_| error());
        Ok(Fingerprint(half(first)?, half(second)?))
    }
}

/// How much of a request's body its fingerprints cover. Requests whose fingerprints cover
/// different parts never have the same ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BodyCoverage {
    /// All of the body.
    #[default]
    Whole,
    /// The beginning of a longer body.
    Beginning {
        /// Length of the whole body, if its sender stated it.
        length: Option<u64>,
    },
    /// None of it. Such fingerprints show that some request is suspect, not which one.
    Nothing,
}

impl BodyCoverage {
    /// Coverage of a body of which `available` bytes were read, up to its end or until there
    /// were more than `limit`.
    pub fn of_read(available: usize, limit: usize, length: Option<u64>) -> Self {
        match available <= limit {
            true => BodyCoverage::Whole,
            false => BodyCoverage::Beginning { length },
        }
    }

    /// Whether a request may be refused, or found harmless, by such fingerprints.
    pub fn identifies_request(self) -> bool {
        self != BodyCoverage::Nothing
    }
}

/// Fingerprints of one request.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct RequestFingerprints {
    /// Digest of the method, host, path and body.
    #[serde(rename = "c")]
    pub content: Fingerprint,
    /// Digest that also covers the other headers and the calling service.
    #[serde(rename = "f")]
    pub full: Fingerprint,
}
