//! A lock that a panic elsewhere does not make unusable.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
