//! Handshake of a link: identification of both sides and mutual authentication by the shared key.
//!
//! Each side sends an HMAC over both hellos and its own role, so that a proof can be neither
//! replayed, nor reflected, nor used on another link. The key itself is never transmitted. Messages
//! after the handshake are not encrypted: until TLS is added, the mesh must run on a network that
//! the operators control.

use hmac::{Hmac, KeyInit, Mac};
use lynxcleat_once::Incarnation;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sha2::Sha256;
use thiserror::Error;

/// Version of the protocol. Links between different versions are refused.
pub const PROTOCOL_VERSION: u16 = 8;
/// Minimum length of the shared key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Identifies the sender of the first message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
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
    /// Address at which the sender accepts links.
    pub mesh: String,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Start time of the sender, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Whether the sender's target accepts no new calls.
    pub leaving: bool,
    /// Whether nothing listens at the address of the sender's target.
    #[serde(default)]
    pub down: bool,
    /// Random number generated for this link.
    pub nonce: u128,
}

/// Role of a daemon on a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The side that opened the connection.
    Dialer,
    /// The side that accepted the connection.
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

/// HMAC that proves possession of the shared key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Proof(pub ByteBuf);

/// Reason for refusing a link.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum HelloError {
    /// The shared key is shorter than the minimum.
    #[error("the shared key has {0} bytes; at least {MIN_KEY_BYTES} are needed")]
    ShortKey(usize),
    /// The peer uses another protocol version.
    #[error("peer uses protocol version {theirs}, expected {PROTOCOL_VERSION}")]
    Version {
        /// Protocol version of the peer.
        theirs: u16,
    },
    /// The peer belongs to another deployment.
    #[error("peer belongs to deployment {theirs:?}, expected {ours:?}")]
    Deployment {
        /// Deployment of the peer.
        theirs: String,
        /// Deployment of this daemon.
        ours: String,
    },
    /// The proof was made with another key or for another link or role.
    #[error("the proof of the shared key does not match")]
    BadProof,
    /// Another message was received instead of a hello or a proof.
    #[error("unexpected message before the link was authenticated")]
    OutOfOrder,
}

/// Secret key shared by the daemons of a deployment.
#[derive(Clone)]
pub struct SharedKey(Vec<u8>);

impl SharedKey {
    /// Creates a key from its bytes.
    ///
    /// # Errors
    /// A key shorter than the minimum length.
    pub fn new(secret: &[u8]) -> Result<Self, HelloError> {
        if secret.len() < MIN_KEY_BYTES {
            return Err(HelloError::ShortKey(secret.len()));
        }
        Ok(SharedKey(secret.to_vec()))
    }

    /// Returns the key's bytes, from which other keys are derived.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Computes the proof that `side` sends.
    pub fn prove(&self, side: Side, dialer: &Hello, acceptor: &Hello) -> Proof {
        let mac = self.mac(side, dialer, acceptor);
        Proof(ByteBuf::from(mac.finalize().into_bytes().to_vec()))
    }

    /// Verifies the proof received from `side`.
    ///
    /// # Errors
    /// A proof made with another key, or for another link or role.
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
    /// Checks that the peer that sent `theirs` is compatible with the sender of `self`.
    ///
    /// # Errors
    /// A different protocol version or deployment.
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
