//! Applies the changes of discovery's endpoint list, one per second.

use std::thread;
use std::time::{Duration, Instant};

use crate::stand_in::{MembershipChange, StandInStore};

use super::plan::CHANGE_INTERVAL;

/// Delay of the first change.
const FIRST_CHANGE_DELAY: Duration = Duration::from_millis(500);

/// Applies all changes, and returns after the last one.
pub(super) fn apply_changes(store: &StandInStore, changes: &[MembershipChange]) {
    let mut due = Instant::now() + FIRST_CHANGE_DELAY;
    for change in changes {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        store.change_members(change);
        due += CHANGE_INTERVAL;
    }
}
