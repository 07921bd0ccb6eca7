//! The statement ids of writes that may have run and whose clients left before the answer. A client that comes back with the same
//! id would have the write run twice.

use std::collections::{BTreeSet, VecDeque};

/// How long an id is kept: longer than clients and the fronts ahead of them retry on another connection.
const RETENTION_SECONDS: f64 = 60.0;
/// Number of ids that are kept. Beyond it the oldest is dropped.
const MAX_IDS: usize = 4096;

/// The ids, oldest first. Times are seconds.
#[derive(Debug, Default)]
pub struct UnansweredWrites {
    by_time: VecDeque<(f64, u64)>,
    ids: BTreeSet<u64>,
}

impl UnansweredWrites {
    /// Records a write whose client left at or before `now`.
    pub fn record(&mut self, now: f64, id: u64) {
        self.drop_expired(now);
        if !self.ids.insert(id) {
            return;
        }
        self.by_time.push_back((now, id));
        if self.by_time.len() > MAX_IDS {
            self.drop_oldest();
        }
    }

    /// Returns whether a write with this id may have run and was not answered.
    pub fn contains(&mut self, now: f64, id: u64) -> bool {
        self.drop_expired(now);
        self.ids.contains(&id)
    }

    fn drop_expired(&mut self, now: f64) {
        while self.by_time.front().is_some_and(|(recorded_at, _)| now - recorded_at > RETENTION_SECONDS) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, id)) = self.by_time.pop_front() {
            self.ids.remove(&id);
        }
    }
}
