//! The tree of settings: checks, inheritance, differences and merges.
//!
//! Operators edit one JSON tree with three levels: root, place, service. A
//! level inherits every field of the level above and overrides only what
//! differs. This crate holds everything that can be decided about such a tree
//! without I/O, so that the operators' program and the daemons cannot disagree.

mod change;
mod checksum;
mod copy;
mod digest;
mod edit;
mod effective;
mod entry_set;
mod error;
mod field;
mod generations;
mod homes;
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
pub use effective::{CallerKeys, Effective, Once, Origin, Resolved};
pub use error::{Fault, SettingsError};
pub use field::{FIELDS, FieldSpec, Kind, field};
pub use generations::{Generation, OfferError};
pub use key_table::KeyTable;
pub use organisation::{InvalidKeyDigest, KeyDigest, NamedOrganisation, Organisation};
pub use route::{NamedRoute, Route, RouteEffects, RoutePart};
pub use route_table::RouteTable;
pub use tree::{Tree, valid_name};
