//! Memory for the bodies of callers' calls in hand.
//!
//! Each body is bounded by its limit, but thousands of connections may each send
//! one. A call takes room for its body before it is read, as far as its length is known,
//! and for the rest as it comes; it is refused at once where there is none.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes in use.
#[derive(Debug, Default)]
pub struct BodyRoom {
    used: AtomicUsize,
}

/// Room taken by one call.
#[derive(Debug)]
pub struct Taken<'a> {
    room: &'a BodyRoom,
    bytes: usize,
}

impl BodyRoom {
    /// Takes `bytes`, unless more than `limit` would then be in use.
    pub fn take(&self, bytes: usize, limit: usize) -> Option<Taken<'_>> {
        let is_taken = self.reserve(bytes, limit);
        is_taken.then(|| Taken { room: self, bytes })
    }

    fn reserve(&self, bytes: usize, limit: usize) -> bool {
        let sum = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= limit);
        self.used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, sum)
            .is_ok()
    }
}

impl Taken<'_> {
    /// Takes `bytes` more. False where more than `limit` would then be in use.
    pub(super) fn grow(&mut self, bytes: usize, limit: usize) -> bool {
        let is_taken = self.room.reserve(bytes, limit);
        if is_taken {
            self.bytes += bytes;
        }
        is_taken
    }
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.room.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
