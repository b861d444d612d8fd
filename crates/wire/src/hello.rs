//! The first messages of a link: who speaks, and the proof of the shared key.
//!
//! Each side proves the key over both hellos and its own side, so a proof can
//! be neither replayed, nor reflected, nor moved to another link. The key itself
//! never crosses the network. Messages after the proof are not encrypted: the
//! mesh is for the operators' own network until TLS is added.

use hmac::{Hmac, KeyInit, Mac};
use lynxcleat_once::Incarnation;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sha2::Sha256;
use thiserror::Error;

/// Version of the messages in this crate. Links between versions are refused.
pub const PROTOCOL_VERSION: u16 = 8;
/// Shortest shared key, in bytes.
const KEY_BYTES_MIN: usize = 16;

/// Who speaks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the speaker.
    pub version: u16,
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the host.
    pub host: String,
    /// Place of the host.
    pub place: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Region of the host.
    pub region: String,
    /// Service of the host's target.
    pub service: String,
    /// Address at which the speaker accepts links.
    pub mesh: String,
    /// The speaker's incarnation.
    pub incarnation: Incarnation,
    /// When the speaker started, in milliseconds since 1970.
    pub started_ms: u64,
    /// Whether its target takes no new calls.
    pub leaving: bool,
    /// Whether nothing listens at its target's address.
    #[serde(default)]
    pub down: bool,
    /// A fresh random number.
    pub nonce: u128,
}

/// The side of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// Opened the connection.
    Dialer,
    /// Accepted it.
    Acceptor,
}

impl Side {
    fn label(self) -> &'static [u8] {
        match self {
            Side::Dialer => b"lynxcleat link dialer",
            Side::Acceptor => b"lynxcleat link acceptor",
        }
    }
}

/// Proof that a side holds the shared key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Proof(pub ByteBuf);

/// Why a link is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum HelloError {
    /// The shared key is too short to be one.
    #[error("the shared key has {0} bytes; at least {KEY_BYTES_MIN} are needed")]
    ShortKey(usize),
    /// The other side speaks another version.
    #[error("protocol version {theirs}, ours is {PROTOCOL_VERSION}")]
    Version {
        /// The other side's version.
        theirs: u16,
    },
    /// The other side belongs to another deployment.
    #[error("deployment {theirs:?}, ours is {ours:?}")]
    Deployment {
        /// The other side's deployment.
        theirs: String,
        /// Our deployment.
        ours: String,
    },
    /// The proof does not match: another key.
    #[error("the proof of the shared key does not match")]
    BadProof,
    /// Something else came where a hello or a proof was due.
    #[error("unexpected message before the link was proved")]
    OutOfOrder,
}

/// The deployment's shared key.
#[derive(Clone)]
pub struct SharedKey(Vec<u8>);

impl SharedKey {
    /// Takes the key's bytes.
    ///
    /// # Errors
    /// A key that is too short.
    pub fn new(secret: &[u8]) -> Result<Self, HelloError> {
        if secret.len() < KEY_BYTES_MIN {
            return Err(HelloError::ShortKey(secret.len()));
        }
        Ok(SharedKey(secret.to_vec()))
    }

    /// The bytes, for deriving other keys.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// The proof that `side` sends.
    pub fn prove(&self, side: Side, dialer: &Hello, acceptor: &Hello) -> Proof {
        let mac = self.mac(side, dialer, acceptor);
        Proof(ByteBuf::from(mac.finalize().into_bytes().to_vec()))
    }

    /// Checks the proof that `side` sent.
    ///
    /// # Errors
    /// A proof made under another key or for another link.
    pub fn check(
        &self,
        side: Side,
        dialer: &Hello,
        acceptor: &Hello,
        proof: &Proof,
    ) -> Result<(), HelloError> {
        self.mac(side, dialer, acceptor)
            .verify_slice(&proof.0)
            .map_err(|_| HelloError::BadProof)
    }

    fn mac(&self, side: Side, dialer: &Hello, acceptor: &Hello) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes any key length");
        mac.update(side.label());
        for hello in [dialer, acceptor] {
            let mut bytes = Vec::new();
            ciborium::into_writer(hello, &mut bytes).expect("a hello encodes into memory");
            mac.update(&(bytes.len() as u64).to_be_bytes());
            mac.update(&bytes);
        }
        mac
    }
}

impl Hello {
    /// Checks that `theirs` may speak to `self`.
    ///
    /// # Errors
    /// Another version or deployment.
    pub fn check(&self, theirs: &Hello) -> Result<(), HelloError> {
        if theirs.version != PROTOCOL_VERSION {
            let theirs = theirs.version;
            return Err(HelloError::Version { theirs });
        }
        if theirs.deployment != self.deployment {
            return Err(HelloError::Deployment {
                theirs: theirs.deployment.clone(),
                ours: self.deployment.clone(),
            });
        }
        Ok(())
    }
}
