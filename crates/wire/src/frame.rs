//! The messages.

use lynxcleat_once::{FenceReply, Operation, Ticket};
use lynxcleat_policy::{
    AttemptId, CallKind, Elsewhere, Homes, NotRunReason, Refusal, RolloutUpdate, SuspectUpdate,
    TargetEvidence, TargetExitId, TargetLoad, ZoneUpdate,
};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::hello::{Hello, Proof};
use crate::settings_part::{SettingsAsk, SettingsReply};

/// One message with the sender's generation of settings.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// Generation in force at the sender; 0 before it has one.
    #[serde(rename = "g")]
    pub generation: u64,
    /// The message.
    #[serde(rename = "f")]
    pub frame: Frame,
}

/// A header's name, in lower case, and its value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header(pub String, pub ByteBuf);

/// The head of a caller's request, without hop-by-hop headers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestHead {
    /// HTTP method.
    #[serde(rename = "m")]
    pub method: String,
    /// Path and query, as the caller sent them.
    #[serde(rename = "p")]
    pub path: String,
    /// Headers in the caller's order.
    #[serde(rename = "h")]
    pub headers: Vec<Header>,
}

/// A call on its way to a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallFrame {
    /// Name of this attempt at the sender.
    #[serde(rename = "a")]
    pub attempt: AttemptId,
    /// Name of the call, for logs and explanations.
    #[serde(rename = "i")]
    pub call: String,
    /// The service asked for.
    #[serde(rename = "s")]
    pub service: String,
    /// What kind of call it is.
    #[serde(rename = "k", default)]
    pub kind: CallKind,
    /// Its rank; 0 is the highest.
    #[serde(rename = "p", default)]
    pub priority: u32,
    /// Whether a target makes it while it runs a call of its own.
    #[serde(rename = "n", default, skip_serializing_if = "std::ops::Not::not")]
    pub nested: bool,
    /// The only regions in which it may be served.
    #[serde(rename = "r", default, skip_serializing_if = "Homes::is_anywhere")]
    pub homes: Homes,
    /// Whether the sender knows of the rollout that moves calls to the target's version, and
    /// counts it as a part of its share while that runs.
    #[serde(rename = "v", default, skip_serializing_if = "std::ops::Not::not")]
    pub canary: bool,
    /// Where the sender can offer it if it is refused.
    #[serde(rename = "m", default, skip_serializing_if = "Elsewhere::is_nowhere")]
    pub elsewhere: Elsewhere,
    /// Time left until its goal, in microseconds, where its route has one.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub goal_left_us: Option<u64>,
    /// Time left until the deadline, in microseconds.
    #[serde(rename = "t")]
    pub left_us: u64,
    /// Present for a call with effects.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<Operation>,
    /// Service of the host where the call began, where targets want to know it.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub caller_service: Option<String>,
    /// The calling organisation, if its key was checked.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<CallingOrganisation>,
    /// Head of the request.
    #[serde(rename = "h")]
    pub head: RequestHead,
    /// Body of the request; empty where it comes in pieces.
    #[serde(rename = "b")]
    pub body: ByteBuf,
    /// Present where the body comes in pieces.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub to_come: Option<BodyToCome>,
}

/// Organisation on whose behalf a call is made.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallingOrganisation {
    /// Name of the organisation.
    #[serde(rename = "n")]
    pub name: String,
    /// Priority, which takes precedence over that of the route; 0 is the highest.
    #[serde(rename = "p", default)]
    pub priority: u32,
}

/// Requests tokens from the daemon that owns the bucket of an organisation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaAsk {
    /// Number of the ask.
    #[serde(rename = "a")]
    pub ask: u64,
    /// Name of the organisation.
    #[serde(rename = "o")]
    pub organisation: String,
    /// Host of the daemon that owns the bucket; other daemons forward the request to it.
    #[serde(rename = "k")]
    pub owner: String,
    /// Tokens requested.
    #[serde(rename = "w")]
    pub tokens: u32,
    /// Unused tokens returned.
    #[serde(rename = "r", default)]
    pub returned: u32,
}

/// What is said beforehand of a body in pieces.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BodyToCome {
    /// Its length in bytes, where the caller stated it.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub length: Option<u64>,
    /// Whether it comes ahead of a slot: its sender has all of it and can send it elsewhere.
    #[serde(rename = "a", default, skip_serializing_if = "std::ops::Not::not")]
    pub ahead: bool,
}

/// One piece of a body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PieceFrame {
    /// The attempt whose body it is of.
    #[serde(rename = "a")]
    pub attempt: AttemptId,
    /// The bytes, which follow those of the piece before.
    #[serde(rename = "b")]
    pub bytes: ByteBuf,
    /// Whether it is the last one.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub last: bool,
}

/// A target's complete answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// Headers in the target's order.
    #[serde(rename = "h")]
    pub headers: Vec<Header>,
    /// The whole body.
    #[serde(rename = "b")]
    pub body: ByteBuf,
}

impl Answer {
    /// What storing the answer costs, in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|Header(name, value)| name.len() + value.len())
            .sum();
        headers + self.body.len()
    }
}

/// What a guard tells the daemon that passed a call on to it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum GuardedVerdict {
    /// It ran, now or earlier.
    Ran {
        /// Its answer.
        answer: Answer,
        /// Whether it ran for an earlier call.
        replayed: bool,
    },
    /// It was not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back, in microseconds.
        retry_after_us: u64,
    },
    /// It may have run.
    Unknown,
    /// The memory of once-only operations is full.
    MemoryFull,
    /// The guard does not know the ticket as its own.
    NotMine,
}

/// One row of the members' table on its way to a peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowFrame {
    /// Its key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value; absent where the row was removed.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<ByteBuf>,
    /// Version that the store gave to the change that made it so.
    #[serde(rename = "n")]
    pub version: u64,
}

/// Digest of the sender's rows up to a version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowDigestFrame {
    /// Rows with a later version are excluded.
    #[serde(rename = "t")]
    pub through: u64,
    /// XOR of the hashes of key and version of the included rows.
    #[serde(rename = "s")]
    pub sum: u64,
}

/// All changes of the members' table after one version and up to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowsFrame {
    /// Changes up to this version are excluded.
    #[serde(rename = "a")]
    pub after: u64,
    /// Nothing up to this version is missing.
    #[serde(rename = "t")]
    pub through: u64,
    /// Whether the sender wants the receiver as a neighbour.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub wanted: bool,
    /// Time since the store last answered somebody who follows it, in milliseconds.
    #[serde(rename = "o")]
    pub age_ms: u64,
    /// The rows that changed.
    #[serde(
        rename = "r",
        default,
        skip_serializing_if = "Vec::is_empty",
        with = "crate::rows"
    )]
    pub rows: Vec<RowFrame>,
    /// Present if the sender may have missed removals.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<RowDigestFrame>,
    /// Present in the reply to a request with bucket sums.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub keys: Option<RowKeysFrame>,
}

/// The keys of the members' table in the buckets that differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowKeysFrame {
    /// Numbers of the buckets.
    #[serde(rename = "b")]
    pub buckets: ByteBuf,
    /// All keys in those buckets.
    #[serde(rename = "k")]
    pub keys: Vec<String>,
}

/// Request for changes of the members' table and, optionally, for the keys in the buckets that
/// differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowsAsk {
    /// Changes after this version are requested.
    #[serde(rename = "a")]
    pub after: u64,
    /// Sums of the asker's buckets; empty if keys are not to be compared.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub sums: Vec<u64>,
}

/// The half of a target that calls are moved away from has none in hand and takes none.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IdleFrame {
    /// Service of the rollout.
    #[serde(rename = "s")]
    pub service: String,
    /// Number of its order.
    #[serde(rename = "o")]
    pub order: u64,
    /// Host of the target.
    #[serde(rename = "h")]
    pub host: String,
}

/// A message. Asks carry a number that their reply repeats.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// First message of either side.
    Hello(Box<Hello>),
    /// Proof of the shared key over both hellos.
    Proof(Proof),
    /// The link is alive.
    Beat,
    /// The acceptor's target takes no new calls, or takes them again.
    Leaving(bool),
    /// Nothing listens at the address of the acceptor's target, or something does again.
    Down(bool),
    /// A call for the acceptor's target.
    Call(Box<CallFrame>),
    /// The sender may send so many bytes more of a call's body in pieces.
    Window {
        /// The attempt.
        #[serde(rename = "a")]
        attempt: AttemptId,
        /// Bytes beyond those that it was told of before.
        #[serde(rename = "b")]
        bytes: u64,
    },
    /// A piece of a call's body.
    Piece(PieceFrame),
    /// The load of the acceptor's target, which changed.
    Load(TargetLoad),
    /// A call is no longer wanted.
    Cancel(AttemptId),
    /// The target's answer.
    Answer {
        /// The attempt.
        #[serde(rename = "a")]
        attempt: AttemptId,
        /// The answer.
        #[serde(rename = "r")]
        answer: Answer,
        /// Load of the target, where the measuring budget allowed it.
        #[serde(rename = "l")]
        figures: Option<TargetLoad>,
        /// Time held and served, in microseconds.
        #[serde(rename = "t")]
        there_us: u32,
        /// Time that the call would have taken at usual speed, where it is known.
        #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
        work_us: Option<u32>,
    },
    /// The call was not run.
    Refused {
        /// The attempt.
        #[serde(rename = "a")]
        attempt: AttemptId,
        /// Why, and when to come back.
        #[serde(rename = "r")]
        refusal: Refusal,
        /// Load of the target, where the measuring budget allowed it.
        #[serde(rename = "l")]
        figures: Option<TargetLoad>,
    },
    /// The call was delivered and its answer was lost.
    Lost(AttemptId),
    /// The target ended with the call in hand.
    Ended {
        /// The attempt.
        #[serde(rename = "a")]
        attempt: AttemptId,
        /// The same for all calls that were in hand.
        #[serde(rename = "e")]
        end: TargetExitId,
    },
    /// Fence an operation at the acceptor's target.
    Fence {
        /// Number of the ask.
        ask: u64,
        /// The operation.
        operation: Operation,
    },
    /// What became of a fenced operation.
    Fenced {
        /// Number of the ask.
        ask: u64,
        /// What the half says.
        reply: FenceReply<Answer>,
    },
    /// A call with a ticket that the acceptor minted.
    Guarded {
        /// Number of the ask.
        ask: u64,
        /// The ticket.
        ticket: Ticket,
        /// The call.
        call: Box<CallFrame>,
    },
    /// What the guard tells.
    GuardedReply {
        /// Number of the ask.
        ask: u64,
        /// The verdict.
        verdict: GuardedVerdict,
    },
    /// Asks for the settings in force, as far as they differ from what the asker has.
    AskSettings(SettingsAsk),
    /// What the other side has of them.
    Settings {
        /// Number of the ask.
        ask: u64,
        /// The reply.
        reply: SettingsReply,
    },
    /// Availability zones that were evacuated, or are no more, as the sender knows.
    Zones(Vec<ZoneUpdate>),
    /// Where rollouts stand, as the sender knows.
    Rollouts(Vec<RolloutUpdate>),
    /// What the half of the sender's target counted while a rollout runs.
    RolloutEvidence(TargetEvidence),
    /// The half of a target that calls are moved away from has none in hand.
    RolloutIdle(IdleFrame),
    /// Changes of the members' table that the sender knows of.
    Rows(RowsFrame),
    /// Requests under which targets ended, as the sender knows.
    Suspects(Vec<SuspectUpdate>),
    /// Requests quota tokens of an organisation.
    AskQuota(QuotaAsk),
    /// Grants quota tokens of an organisation.
    Quota {
        /// Number of the ask.
        #[serde(rename = "a")]
        ask: u64,
        /// Tokens granted, one per call.
        #[serde(rename = "t")]
        tokens: u32,
        /// Delay until another token may be available, in microseconds, if fewer were granted than
        /// requested.
        #[serde(rename = "b")]
        retry_after_us: u64,
        /// Whether the request could not be forwarded to the owner, so no tokens were granted.
        #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
        unreachable: bool,
    },
    /// Asks for the changes of the members' table.
    AskRows(RowsAsk),
    /// The sender no longer wants the receiver as a neighbour.
    EndNeighbour,
}
