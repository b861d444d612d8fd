//! Types of the messages that daemons exchange.

use lynxcleat_once::{FenceReply, Operation, Ticket};
use lynxcleat_policy::{
    AttemptId, BucketLevel, CallKind, Coverage, Departure, Elsewhere, Homes, NotRunReason,
    OfferShare, Refusal, RolloutUpdate, SeenLevel, SuspectUpdate, TargetEvidence, TargetExitId,
    TargetLoad, TargetNotice, ZoneUpdate,
};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::hello::{Hello, Proof};
use crate::settings_part::{SettingsReply, SettingsRequest};

/// A message with the sender's settings generation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// Current settings generation of the sender; 0 until it has one.
    #[serde(rename = "g")]
    pub generation: u64,
    /// The message.
    #[serde(rename = "f")]
    pub frame: Frame,
}

/// Name, in lower case, and value of an HTTP header.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header(pub String, pub ByteBuf);

/// Method, path and headers of a caller's request, without hop-by-hop headers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestHead {
    /// HTTP method.
    #[serde(rename = "m")]
    pub method: String,
    /// Path and query, unchanged from the caller's request.
    #[serde(rename = "p")]
    pub path: String,
    /// Headers in the order in which the caller sent them.
    #[serde(rename = "h")]
    pub headers: Vec<Header>,
}

/// A call sent to a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallFrame {
    /// Identifier of the attempt, assigned by the sender.
    #[serde(rename = "a")]
    pub attempt: AttemptId,
    /// Identifier of the call in logs and explanations.
    #[serde(rename = "i")]
    pub call: String,
    /// Number of the attempt among those of the call, from 1; 0 from daemons that do not tell it.
    #[serde(rename = "f", default)]
    pub number: u32,
    /// Requested service.
    #[serde(rename = "s")]
    pub service: String,
    /// Kind of the call.
    #[serde(rename = "k", default)]
    pub kind: CallKind,
    /// Priority; 0 is the highest.
    #[serde(rename = "p", default)]
    pub priority: u32,
    /// Whether a target makes the call while serving another one.
    #[serde(rename = "n", default, skip_serializing_if = "std::ops::Not::not")]
    pub nested: bool,
    /// Regions in which the call may be served.
    #[serde(rename = "r", default, skip_serializing_if = "Homes::is_anywhere")]
    pub homes: Homes,
    /// Whether the sender knows of the rollout to the target's version and counts the call towards
    /// the rollout's share of its calls.
    #[serde(rename = "v", default, skip_serializing_if = "std::ops::Not::not")]
    pub canary: bool,
    /// Where else the sender can offer the call if it is refused.
    #[serde(rename = "m", default, skip_serializing_if = "Elsewhere::is_nowhere")]
    pub elsewhere: Elsewhere,
    /// Statements of the target that the sender heard of. A daemon that started since then may
    /// not know them.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub notice: Option<TargetNotice>,
    /// Share of its calls out of which the sender offers this one; absent if it offers the call
    /// whatever the share.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub share: Option<OfferShare>,
    /// Time left until the goal of the route, in microseconds, if it has one.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub goal_left_us: Option<u64>,
    /// Time left until the deadline, in microseconds.
    #[serde(rename = "t")]
    pub left_us: u64,
    /// Present if the call has side effects.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<Operation>,
    /// Service of the host on which the call originated, if targets are configured to receive it.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub caller_service: Option<String>,
    /// Calling organisation, if its key was verified.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<CallingOrganisation>,
    /// Method, path and headers of the request.
    #[serde(rename = "h")]
    pub head: RequestHead,
    /// Body of the request; empty if it is streamed.
    #[serde(rename = "b")]
    pub body: ByteBuf,
    /// Present if the body is streamed.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub to_come: Option<BodyAnnouncement>,
}

/// Organisation on whose behalf a call is made.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallingOrganisation {
    /// Name.
    #[serde(rename = "n")]
    pub name: String,
    /// Priority, which takes precedence over that of the route; 0 is the highest.
    #[serde(rename = "p", default)]
    pub priority: u32,
}

/// Requests tokens from the daemon that owns the bucket of an organisation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaRequest {
    /// Number of the request.
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
    /// What the sender heard last of a bucket.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub seen: Option<SeenLevel>,
}

/// Announces a streamed body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BodyAnnouncement {
    /// Length in bytes, if the caller stated it.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub length: Option<u64>,
    /// Whether the body is sent before the call has a slot. The sender holds the whole body and can
    /// send it to another target.
    #[serde(rename = "a", default, skip_serializing_if = "std::ops::Not::not")]
    pub ahead: bool,
}

/// A chunk of a streamed body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BodyChunkFrame {
    /// Attempt to which the body belongs.
    #[serde(rename = "a")]
    pub attempt: AttemptId,
    /// Bytes that follow those of the previous chunk.
    #[serde(rename = "b")]
    pub bytes: ByteBuf,
    /// Whether this is the last chunk.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub last: bool,
}

/// Complete response of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// Headers in the order in which the target sent them.
    #[serde(rename = "h")]
    pub headers: Vec<Header>,
    /// Complete body.
    #[serde(rename = "b")]
    pub body: ByteBuf,
}

impl Answer {
    /// Returns the size of headers and body for storage accounting, in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|Header(name, value)| name.len() + value.len())
            .sum();
        headers + self.body.len()
    }
}

/// Result of a call that a daemon forwarded to the guard of its ticket.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum GuardedVerdict {
    /// The call ran, now or earlier.
    Ran {
        /// Response of the target.
        answer: Answer,
        /// Whether the response is that of an earlier call.
        replayed: bool,
    },
    /// The call was not run.
    NotRun {
        /// Reason.
        reason: NotRunReason,
        /// Delay before a retry, in microseconds.
        retry_after_us: u64,
    },
    /// It is unknown whether the call ran.
    Unknown,
    /// The memory for once-only operations is full.
    MemoryFull,
    /// The ticket was not issued by this guard.
    NotMine,
}

/// A row of the member table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowFrame {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Value; absent if the row was removed.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<ByteBuf>,
    /// Version that the store assigned to the row's last change.
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

/// All changes to the member table after one version and up to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowsFrame {
    /// Changes up to this version are excluded.
    #[serde(rename = "a")]
    pub after: u64,
    /// All changes after `after` and up to this version are included.
    #[serde(rename = "t")]
    pub through: u64,
    /// Whether the sender asks the receiver to be its neighbour.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub wanted: bool,
    /// Time since the store last answered a daemon that follows it, in milliseconds.
    #[serde(rename = "o")]
    pub age_ms: u64,
    /// A poll of the store by a watcher.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub poll: Option<WatcherPollFrame>,
    /// Changed rows.
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
    /// Present in the reply to a request with bucket checksums.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub keys: Option<RowKeysFrame>,
}

/// A poll of the store by the first member that watches it, as far as the sender knows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatcherPollFrame {
    /// Rank of the member.
    #[serde(rename = "r")]
    pub rank: u32,
    /// Time since the store answered, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// The keys of the member table in the buckets that differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowKeysFrame {
    /// Numbers of the buckets.
    #[serde(rename = "b")]
    pub buckets: ByteBuf,
    /// All keys in those buckets.
    #[serde(rename = "k")]
    pub keys: Vec<String>,
}

/// Requests changes to the member table and, optionally, the keys in the buckets that differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowsRequest {
    /// Changes after this version are requested.
    #[serde(rename = "a")]
    pub after: u64,
    /// Checksums of the requester's buckets; empty if keys are not to be compared.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub sums: Vec<u64>,
}

/// Reports that a target from which a rollout moves calls has no calls in progress and accepts
/// none.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutIdleFrame {
    /// Service of the rollout.
    #[serde(rename = "s")]
    pub service: String,
    /// Number of the rollout order.
    #[serde(rename = "o")]
    pub order: u64,
    /// Host of the target.
    #[serde(rename = "h")]
    pub host: String,
}

/// Departures of targets that the sender holds and does not know to be in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DeparturesFrame {
    /// Number of the request, if the sender asks the receiver to confirm that it holds them.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub ask: Option<u64>,
    /// For how long back the sender knows of all departures; present if `departures` are all that
    /// it holds.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub coverage: Option<Coverage>,
    /// The departures.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<Departure>,
}

/// A message. A request has a number, which the reply repeats.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// First message from each side.
    Hello(Box<Hello>),
    /// Proof of possession of the shared key, computed over both hellos.
    Proof(Proof),
    /// Keep-alive.
    Beat,
    /// The acceptor's target has stopped (`true`) or resumed (`false`) accepting new calls.
    Leaving(bool),
    /// Whether nothing listens at the address of the acceptor's target.
    Down(bool),
    /// A call for the acceptor's target.
    Call(Box<CallFrame>),
    /// Extends the flow-control window of a streamed body.
    Window {
        /// Attempt.
        #[serde(rename = "a")]
        attempt: AttemptId,
        /// Additional bytes that the receiver of this message may send.
        #[serde(rename = "b")]
        bytes: u64,
    },
    /// A chunk of a call's body.
    Piece(BodyChunkFrame),
    /// Changed load of the acceptor's target.
    Load(TargetLoad),
    /// Cancels an attempt.
    Cancel(AttemptId),
    /// Response of the target to a call.
    Answer {
        /// Attempt.
        #[serde(rename = "a")]
        attempt: AttemptId,
        /// Response.
        #[serde(rename = "r")]
        answer: Answer,
        /// Load of the target, if the measurement budget allowed sending it.
        #[serde(rename = "l")]
        figures: Option<TargetLoad>,
        /// Time for which the call was held and served, in microseconds.
        #[serde(rename = "t")]
        there_us: u32,
        /// Time that the call would have taken at the target's usual speed, in microseconds, if
        /// known.
        #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
        work_us: Option<u32>,
    },
    /// The call was not run.
    Refused {
        /// Attempt.
        #[serde(rename = "a")]
        attempt: AttemptId,
        /// Reason, and delay before a retry.
        #[serde(rename = "r")]
        refusal: Refusal,
        /// Load of the target, if the measurement budget allowed sending it.
        #[serde(rename = "l")]
        figures: Option<TargetLoad>,
    },
    /// The call was delivered to the target, but the response was lost.
    Lost(AttemptId),
    /// The target terminated while serving the call.
    Ended {
        /// Attempt.
        #[serde(rename = "a")]
        attempt: AttemptId,
        /// Identifier of the termination, the same for all calls that were in progress.
        #[serde(rename = "e")]
        end: TargetExitId,
    },
    /// Fences an operation at the acceptor's target.
    Fence {
        /// Number of the request.
        ask: u64,
        /// Operation.
        operation: Operation,
    },
    /// Reply to [`Frame::Fence`].
    Fenced {
        /// Number of the request.
        ask: u64,
        /// State of the operation at the target.
        reply: FenceReply<Answer>,
    },
    /// Forwards a call to the guard that issued its ticket.
    Guarded {
        /// Number of the request.
        ask: u64,
        /// Ticket.
        ticket: Ticket,
        /// Call.
        call: Box<CallFrame>,
    },
    /// Reply to [`Frame::Guarded`].
    GuardedReply {
        /// Number of the request.
        ask: u64,
        /// Result of the call.
        verdict: GuardedVerdict,
    },
    /// Requests the parts of the current settings that differ from the requester's copy.
    AskSettings(SettingsRequest),
    /// Reply to [`Frame::AskSettings`].
    Settings {
        /// Number of the request.
        ask: u64,
        /// Reply.
        reply: SettingsReply,
    },
    /// Evacuations of availability zones that have begun or ended, as known to the sender.
    Zones(Vec<ZoneUpdate>),
    /// States of rollouts known to the sender.
    Rollouts(Vec<RolloutUpdate>),
    /// Outcomes counted at the sender's target during a rollout.
    RolloutEvidence(TargetEvidence),
    /// A target from which a rollout moves calls has none in progress.
    RolloutIdle(RolloutIdleFrame),
    /// Changes to the member table known to the sender.
    Rows(RowsFrame),
    /// Requests during which targets terminated, as known to the sender.
    Suspects(Vec<SuspectUpdate>),
    /// Requests quota tokens of an organisation.
    AskQuota(QuotaRequest),
    /// Grants quota tokens of an organisation.
    Quota {
        /// Number of the request.
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
        /// Level of the bucket after the grant.
        #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
        level: Option<BucketLevel>,
    },
    /// Requests changes to the member table.
    AskRows(RowsRequest),
    /// Ends the neighbour relation between sender and receiver.
    EndNeighbour,
    /// Departures of targets. Encoded as an extension of [`Frame::Beat`], which is all that
    /// daemons see of it that do not know departures.
    #[serde(skip)]
    Departures(DeparturesFrame),
    /// Reply to [`Frame::Departures`] with a number: the sender holds the departures.
    DeparturesHeld {
        /// Number of the request.
        #[serde(rename = "a")]
        ask: u64,
    },
}
