//! Small functions for state shared between tasks.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

/// Locks a mutex. The state behind our locks is changed in single steps, so a
/// panic elsewhere does not make it unusable.
pub fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts work in hand, so that a stop can wait for its end.
#[derive(Debug, Default)]
pub struct Busy {
    count: AtomicUsize,
    changed: Notify,
}

/// One piece of work in hand.
#[derive(Debug)]
pub struct BusyGuard(Arc<Busy>);

impl Busy {
    /// Counts one piece of work until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> BusyGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        BusyGuard(Arc::clone(self))
    }

    /// Pieces of work in hand.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Waits until no work is in hand.
    pub async fn idle(&self) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.count() == 0 {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.0.changed.notify_waiters();
        }
    }
}
