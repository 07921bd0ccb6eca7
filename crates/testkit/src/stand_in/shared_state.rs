//! The state of the stand-in store as its threads share it: the store's handle, and the connections to endpoints and discovery.

use std::sync::{Condvar, Mutex, MutexGuard};

use crate::sync::lock;

use super::state::State;

/// State that several threads read and change.
#[derive(Default)]
pub(super) struct SharedState {
    state: Mutex<State>,
    list_changed: Condvar,
}

impl SharedState {
    /// The state, for this thread alone until the guard is dropped.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Wakes up when discovery's list or its silence changes.
    pub(super) fn list_changed(&self) -> &Condvar {
        &self.list_changed
    }

    /// Makes a change of the list, and wakes the calls that wait for one.
    pub(super) fn change_list(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.lock();
        state.version += 1;
        change(&mut state);
        self.list_changed.notify_all();
    }
}
