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
pub use fingerprints::request_prints;
pub use frame::{
    Answer, BodyToCome, CallFrame, CallingOrganisation, Envelope, Frame, GuardedVerdict, Header,
    IdleFrame, PieceFrame, QuotaAsk, RequestHead, RowDigestFrame, RowFrame, RowKeysFrame, RowsAsk,
    RowsFrame,
};
pub use hello::{Hello, HelloError, PROTOCOL_VERSION, Proof, SharedKey, Side};
pub use settings_part::{SettingsAsk, SettingsPart, SettingsReply};
