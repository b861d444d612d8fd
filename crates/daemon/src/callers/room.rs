//! Memory for the bodies of callers' calls in hand.
//!
//! Each body is bounded by its limit, but thousands of connections may each send
//! one. A call takes room for its body before it is read, and is refused at once
//! where there is none.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes in use.
#[derive(Debug, Default)]
pub struct BodyRoom {
    used: AtomicUsize,
}

/// Room taken by one call.
#[derive(Debug)]
pub(super) struct Taken<'a> {
    room: &'a BodyRoom,
    bytes: usize,
}

impl BodyRoom {
    /// Takes `bytes`, unless more than `limit` would then be in use.
    pub(super) fn take(&self, bytes: usize, limit: usize) -> Option<Taken<'_>> {
        let taken = self
            .used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |used| {
                used.checked_add(bytes).filter(|sum| *sum <= limit)
            });
        taken.ok().map(|_| Taken { room: self, bytes })
    }
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.room.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
