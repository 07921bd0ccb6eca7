//! Plays the changes of discovery's list, one each second.

use std::thread;
use std::time::{Duration, Instant};

use crate::stand_in::{MembershipChange, StandInStore};

use super::plan::CHANGE_INTERVAL;

/// Until the first change.
const FIRST_CHANGE: Duration = Duration::from_millis(500);

/// Makes all changes; returns after the last.
pub(super) fn play_changes(store: &StandInStore, changes: &[MembershipChange]) {
    let mut due = Instant::now() + FIRST_CHANGE;
    for change in changes {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        store.change_members(change);
        due += CHANGE_INTERVAL;
    }
}
