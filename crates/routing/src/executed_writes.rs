//! The statement ids of writes that have run or may have run. A statement with such an id would have the write run twice: it is
//! a copy that was under way when the write was answered, or its client left before the answer and sends it again.

use std::collections::{BTreeSet, VecDeque};

/// How long an id is kept: longer than a copy lies unread, and longer than clients and the fronts ahead of them retry on another
/// connection.
const RETENTION_SECONDS: f64 = 60.0;
/// Number of ids that are kept. Beyond it the oldest is dropped.
const MAX_IDS: usize = 16_384;

/// The ids, oldest first. Times are seconds.
#[derive(Debug, Default)]
pub struct ExecutedWrites {
    by_time: VecDeque<(f64, u64)>,
    ids: BTreeSet<u64>,
}

impl ExecutedWrites {
    /// Records a write that may have run at or before `now`.
    pub fn record(&mut self, now: f64, id: u64) {
        self.drop_expired(now);
        if !self.ids.insert(id) {
            return;
        }
        if self.by_time.len() >= MAX_IDS {
            self.drop_oldest();
        }
        self.by_time.push_back((now, id));
    }

    /// Returns whether a write with this id may have run.
    pub fn contains(&mut self, now: f64, id: u64) -> bool {
        self.drop_expired(now);
        self.ids.contains(&id)
    }

    /// Returns the number of ids that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_time.len()
    }

    /// Returns whether no id is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_time.is_empty()
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
