//! Locking that ignores poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `shared`, even if another thread panicked while holding the lock.
pub(crate) fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
