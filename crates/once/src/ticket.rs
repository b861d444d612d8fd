//! Names of operations, and the tickets that carry them to callers and back.
//!
//! A ticket is signed, so a caller can neither invent one nor move it to
//! another guard. It is no secret: whoever holds it may ask for its outcome.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

const VERSION: &str = "t1";
const MAC_BYTES: usize = 12;
const TEXT_LIMIT: usize = 256;

/// One run of a daemon. Chosen at random when it starts, never used again.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One operation: the incarnation that minted its ticket, and a number in it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct OpId {
    /// The guard.
    pub incarnation: Incarnation,
    /// Number within the guard's incarnation.
    pub seq: u64,
}

/// The right to run one operation once.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Ticket {
    /// The operation.
    pub op: OpId,
    /// The guard's clock when it minted the ticket, in milliseconds since 1970.
    pub minted_ms: u64,
    /// Mesh address of the guard.
    pub guard: String,
}

/// Why a text is not a ticket of this deployment.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum TicketError {
    /// It does not have the parts of a ticket.
    #[error("not a ticket")]
    Malformed,
    /// Its signature does not match.
    #[error("the ticket was not minted here or was altered")]
    BadSignature,
}

/// The key under which tickets are signed.
#[derive(Clone)]
pub struct TicketKey(Hmac<Sha256>);

impl TicketKey {
    /// A key from the deployment's shared secret.
    pub fn new(secret: &[u8]) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes any key length");
        mac.update(b"lynxcleat ticket");
        TicketKey(mac)
    }

    /// The text of a ticket, for a header.
    pub fn seal(&self, ticket: &Ticket) -> String {
        let body = body(ticket);
        format!("{VERSION}.{}.{body}", self.sign(&body))
    }

    /// Reads a ticket's text and checks its signature.
    ///
    /// # Errors
    /// A text that is no ticket, or one not signed under this key.
    pub fn open(&self, text: &str) -> Result<Ticket, TicketError> {
        if text.len() > TEXT_LIMIT {
            return Err(TicketError::Malformed);
        }
        let mut parts = text.splitn(3, '.');
        let (version, sign, rest) = (parts.next(), parts.next(), parts.next());
        let (Some(VERSION), Some(sign), Some(rest)) = (version, sign, rest) else {
            return Err(TicketError::Malformed);
        };
        let ticket = parse_body(rest).ok_or(TicketError::Malformed)?;
        let claimed = hex::decode(sign).map_err(|_| TicketError::Malformed)?;
        let mut mac = self.0.clone();
        mac.update(body(&ticket).as_bytes());
        if claimed.len() != MAC_BYTES {
            return Err(TicketError::BadSignature);
        }
        mac.verify_truncated_left(&claimed)
            .map_err(|_| TicketError::BadSignature)?;
        Ok(ticket)
    }

    fn sign(&self, body: &str) -> String {
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
