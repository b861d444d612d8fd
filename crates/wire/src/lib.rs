//! Messages between daemons, their encoding and the proof of a shared key.
//!
//! A daemon dials the daemons of the targets it routes to. The dialer asks, the
//! acceptor answers; both sides carry the generation of settings in force with
//! every message, so that a newer one spreads with the traffic.

mod codec;
mod frame;
mod hello;
mod packed;
mod prints;
mod rows;
mod settings_part;

pub use codec::{CodecError, decode, encode};
pub use frame::{
    Answer, BodyToCome, CallFrame, CallingOrganisation, Envelope, Frame, GuardedVerdict, Header,
    IdleFrame, PieceFrame, QuotaAsk, RequestHead, RowDigestFrame, RowFrame, RowKeysFrame, RowsAsk,
    RowsFrame,
};
pub use hello::{Hello, HelloError, PROTOCOL_VERSION, Proof, SharedKey, Side};
pub use prints::request_prints;
pub use settings_part::{SettingsAsk, SettingsPart, SettingsReply};
