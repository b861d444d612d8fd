//! Who is told what happens on links: set once, when a daemon is put together, so that links
//! know none of the parts that they carry messages for.

use std::sync::Arc;

use lynxcleat_wire::Frame;

use super::link::Link;
use crate::core::Core;

/// Who is told.
#[derive(Clone, Copy)]
pub struct Handlers {
    /// A link was made: the other side is told what is known here.
    pub greet: fn(&Core, &Link),
    /// A message carried a generation of settings.
    pub generation: fn(&Arc<Core>, &Arc<Link>, u64),
    /// A message arrived.
    pub frame: fn(&Arc<Core>, &Arc<Link>, Frame),
}
