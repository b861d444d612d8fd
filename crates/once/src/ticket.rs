//! Identifiers of operations, and the tickets that carry them to callers and back.
//!
//! A ticket is signed, so a caller can neither forge one nor redirect it to another
//! guard. It is not secret, and anyone who holds it may ask for the operation's outcome.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

const VERSION: &str = "t1";
const MAC_BYTES: usize = 12;
const MAX_TEXT_BYTES: usize = 256;

/// Identifies one run of a daemon. Chosen at random when it starts, and never reused.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies an operation: the incarnation that minted its ticket, and a sequence number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct OpId {
    /// Incarnation of the guard.
    pub incarnation: Incarnation,
    /// Sequence number, unique within the incarnation.
    pub seq: u64,
}

/// Permission to run one operation at most once.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Ticket {
    /// Identifier of the operation.
    pub op: OpId,
    /// When the ticket was minted, by the guard's clock, in milliseconds since 1970.
    pub minted_ms: u64,
    /// Mesh address of the guard.
    pub guard: String,
}

/// Why a text is not a valid ticket of this deployment.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum TicketError {
    /// It does not have the format of a ticket.
    #[error("malformed ticket")]
    Malformed,
    /// Its signature does not match.
    #[error("ticket signature mismatch: it was altered or signed with another key")]
    BadSignature,
}

/// The key with which tickets are signed.
#[derive(Clone)]
pub struct TicketKey(Hmac<Sha256>);

impl TicketKey {
    /// Derives the key from the deployment's shared secret.
    pub fn new(secret: &[u8]) -> Self {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(secret).expect("HMAC accepts keys of any length");
        mac.update(b"lynxcleat ticket");
        TicketKey(mac)
    }

    /// Encodes and signs a ticket, as text for a header.
    pub fn sign(&self, ticket: &Ticket) -> String {
        let body = body(ticket);
        format!("{VERSION}.{}.{body}", self.signature(&body))
    }

    /// Decodes a ticket and verifies its signature.
    ///
    /// # Errors
    /// The text is not a ticket, or not one signed with this key.
    pub fn verify(&self, text: &str) -> Result<Ticket, TicketError> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(TicketError::Malformed);
        }
        let mut parts = text.splitn(3, '.');
        let (version, signature, body_text) = (parts.next(), parts.next(), parts.next());
        let (Some(VERSION), Some(signature), Some(body_text)) = (version, signature, body_text)
        else {
            return Err(TicketError::Malformed);
        };
        let ticket = parse_body(body_text).ok_or(TicketError::Malformed)?;
        let signature = hex::decode(signature).map_err(|_| TicketError::Malformed)?;
        let mut mac = self.0.clone();
        mac.update(body(&ticket).as_bytes());
        if signature.len() != MAC_BYTES {
            return Err(TicketError::BadSignature);
        }
        mac.verify_truncated_left(&signature)
            .map_err(|_| TicketError::BadSignature)?;
        Ok(ticket)
    }

    fn signature(&self, body: &str) -> String {
        let mut mac = self.0.clone();
        mac.update(body.as_bytes());
        hex::encode(&mac.finalize().into_bytes()[..MAC_BYTES])
    }
}

fn body(ticket: &Ticket) -> String {
    let Ticket {
        op,
        minted_ms,
        guard,
    } = ticket;
    format!("{}.{:x}.{minted_ms:x}.{guard}", op.incarnation, op.seq)
}

fn parse_body(text: &str) -> Option<Ticket> {
    let mut parts = text.splitn(4, '.');
    let mut number = || u64::from_str_radix(parts.next()?, 16).ok();
    let op = OpId {
        incarnation: Incarnation(number()?),
        seq: number()?,
    };
    let minted_ms = number()?;
    let guard = parts.next()?.to_owned();
    Some(Ticket {
        op,
        minted_ms,
        guard,
    })
}
