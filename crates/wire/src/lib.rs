//! Messages between daemons, their encoding and authentication by a shared key.
//!
//! A daemon connects to the daemons of the targets to which it routes. The dialer sends requests
//! and the acceptor replies. Every message carries the sender's current settings generation, so
//! that a newer generation propagates with the traffic.

mod codec;
mod compression;
mod fingerprints;
mod frame;
mod hello;
mod rows;
mod settings_part;

pub use codec::{CodecError, decode, encode};
pub use fingerprints::{partial_request_fingerprints, request_fingerprints};
pub use frame::{
    Answer, BodyAnnouncement, BodyChunkFrame, CallFrame, CallingOrganisation, DeparturesFrame,
    Envelope, Frame, GuardedVerdict, Header, QuotaRequest, RequestHead, RolloutIdleFrame,
    RowDigestFrame, RowFrame, RowKeysFrame, RowsFrame, RowsRequest, WatcherPollFrame,
};
pub use hello::{Hello, HelloError, PROTOCOL_VERSION, Proof, SharedKey, Side};
pub use settings_part::{SettingsPart, SettingsReply, SettingsRequest};
