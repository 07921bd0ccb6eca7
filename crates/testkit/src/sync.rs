//! Locking that goes on after a thread panicked with the lock held.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `shared`, also if another thread panicked while it held the lock.
pub(crate) fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
