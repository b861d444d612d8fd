//! Settings tree: validation, inheritance, diffs and merges.
//!
//! Operators edit a JSON tree with three levels: root, place and service. A level inherits the
//! fields of the level above and sets only those that differ. This crate has all logic on the
//! tree that needs no I/O, so that the command-line tool and the daemons apply the same rules.

mod change;
mod checksum;
mod copy;
mod digest;
mod edit;
mod effective;
mod entry_set;
mod error;
mod field;
mod generation;
mod home_regions;
mod key_table;
mod organisation;
mod route;
mod route_set;
mod route_table;
mod tree;

pub use change::{Change, Conflict, diff, merge};
pub use copy::{
    CopiedBucket, CopiedEntry, CopyBase, CopyError, CopyProgress, CopyRequest, TreeCopy, TreePart,
};
pub use digest::{Digest, digest};
pub use edit::TreeEdit;
pub use effective::{CallerKeys, Effective, Once, Origin, ResolvedField};
pub use error::{Fault, SettingsError};
pub use field::{FIELDS, FieldKind, FieldSpec, field};
pub use generation::{Generation, OfferError};
pub use key_table::KeyTable;
pub use organisation::{
    InvalidKeyDigest, KeyDigest, MAX_BURST, MAX_RATE, NamedOrganisation, Organisation,
};
pub use route::{MAX_ATTEMPTS, MAX_TIMEOUT_MS, NamedRoute, Route, RouteEffects, RoutePart};
pub use route_table::RouteTable;
pub use tree::{Tree, is_valid_name};
