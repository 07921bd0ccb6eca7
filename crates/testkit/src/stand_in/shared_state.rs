//! The state of the stand-in store, shared by the threads that hold the store's handle and those that serve connections to
//! endpoints and discovery.

use std::sync::{Condvar, Mutex, MutexGuard};

use crate::sync::lock;

use super::answer_delay::Turns;
use super::state::State;

/// The store's state behind a lock, with a notification of changes of the endpoint list.
#[derive(Default)]
pub(super) struct SharedState {
    state: Mutex<State>,
    list_changed: Condvar,
    discovery_turns: Turns,
}

impl SharedState {
    /// Locks the state until the guard is dropped.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// The turns of calls to a discovery that works on one at a time.
    pub(super) fn discovery_turns(&self) -> &Turns {
        &self.discovery_turns
    }

    /// Notified when discovery's list changes, and when discovery stops or resumes answering.
    pub(super) fn list_changed(&self) -> &Condvar {
        &self.list_changed
    }

    /// Changes the list under a new version, and wakes the calls that wait for one.
    pub(super) fn change_list(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.lock();
        state.version += 1;
        change(&mut state);
        self.list_changed.notify_all();
    }
}
