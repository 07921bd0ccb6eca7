//! Replication positions of endpoints, and the positions that sessions require for their reads.
//!
//! Positions in the replication log are times in seconds on the router's clock: an endpoint at position `p` has every
//! commit up to `p`.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeBounds;

use crate::ids::{GroupId, Table};

/// Smallest lag in seconds assumed for an endpoint that lagged at its last report, as it is not expected to have
/// caught up completely.
const MIN_EXPECTED_LAG_SECONDS: f64 = 0.03;
/// Largest number of sessions whose watermarks are kept one by one; above it, all of them are merged into the floors
/// of their groups.
const MAX_WATERMARKS: usize = 10_000;

/// The replication position of an endpoint, as reported by it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicationPosition {
    position: f64,
    /// The age of the position in seconds when it was reported.
    lag: f64,
    reported_at: f64,
    /// The endpoint has rejected a read because it lags too far, and has not reported its position since.
    rejects_reads: bool,
}

impl ReplicationPosition {
    /// The newest reported position.
    pub(crate) fn last_reported(&self) -> f64 {
        self.position
    }

    /// How far the endpoint lagged when it last reported its position, in seconds.
    pub(crate) fn lag(&self) -> f64 {
        self.lag
    }

    /// When the endpoint last reported its position, in seconds.
    pub(crate) fn reported_at(&self) -> f64 {
        self.reported_at
    }

    /// Whether the endpoint has rejected a read because it lags too far, and has not reported its position since.
    pub(crate) fn rejects_reads(&self) -> bool {
        self.rejects_reads
    }

    /// Records a reported position. An answer that rejects a read may contain a position too, so an answer does not
    /// reset [`ReplicationPosition::rejects_reads`].
    pub(crate) fn record(&mut self, now: f64, position: f64, in_answer: bool) {
        self.position = self.position.max(position);
        self.lag = now - self.position;
        self.reported_at = now;
        self.rejects_reads &= in_answer;
    }

    /// Resets the position to unknown.
    pub(crate) fn reset(&mut self) {
        *self = ReplicationPosition { rejects_reads: self.rejects_reads, ..ReplicationPosition::default() };
    }

    /// Records that the endpoint rejected a read because it lags too far.
    pub(crate) fn record_rejected_read(&mut self) {
        self.rejects_reads = true;
    }

    /// The position that the endpoint is expected to have by now. With many routers each receives reports of an
    /// endpoint rarely, so one that lagged is expected to catch up between them.
    pub(crate) fn expected(&self, now: f64) -> f64 {
        let since_report = now - self.reported_at;
        let lag = (self.lag - since_report).max(self.lag.min(MIN_EXPECTED_LAG_SECONDS));
        self.position.max(now - lag)
    }
}

/// The position of a session's last write.
#[derive(Clone, Copy, Debug, Default)]
struct Watermark {
    position: f64,
    writes_in_flight: u32,
}

/// Read-your-writes consistency where the router has to remember the writes: for each session of a group, the
/// position that an endpoint needs to serve the session's reads.
#[derive(Clone, Debug, Default)]
pub(crate) struct SessionWatermarks {
    sessions: BTreeMap<(GroupId, u64), Watermark>,
    /// For each group, a position that no dropped watermark exceeds. An endpoint that joins later from an older copy
    /// has to reach it before it serves reads of sessions.
    floors: Table<GroupId, f64>,
    /// The groups in which a position, the members or a watermark have changed since watermarks were last dropped.
    changed_groups: BTreeSet<GroupId>,
}

impl SessionWatermarks {
    /// Records that a write of the session is sent.
    pub(crate) fn begin_write(&mut self, group: GroupId, session: u64) {
        self.sessions.entry((group, session)).or_default().writes_in_flight += 1;
    }

    /// Records that a write of the session ended; `commit` is no earlier than its commit, `None` if the write had no
    /// effect.
    pub(crate) fn end_write(&mut self, group: GroupId, session: u64, commit: Option<f64>) {
        let watermark = self.sessions.entry((group, session)).or_default();
        watermark.position = watermark.position.max(commit.unwrap_or(0.0));
        watermark.writes_in_flight = watermark.writes_in_flight.saturating_sub(1);
        self.changed_groups.insert(group);
    }

    /// The position that the session's reads require. It is infinite while a write is in flight, as the write may
    /// have been committed although its answer is still on its way or was cut off.
    pub(crate) fn required(&self, group: GroupId, session: Option<u64>) -> f64 {
        let watermark = session.and_then(|session| self.sessions.get(&(group, session)));
        match watermark {
            None => self.floors.get(group).copied().unwrap_or(0.0),
            Some(watermark) if watermark.writes_in_flight > 0 => f64::INFINITY,
            Some(watermark) => watermark.position,
        }
    }

    /// Raises the position that the reads of all sessions require to at least `position`.
    pub(crate) fn raise_to(&mut self, position: f64) {
        let watermarks = self.sessions.values_mut().map(|watermark| &mut watermark.position);
        for required in watermarks.chain(self.floors.iter_mut()) {
            *required = required.max(position);
        }
    }

    /// Records that a position in the group has changed, or that a member has joined, left or returned.
    pub(crate) fn mark_changed(&mut self, group: GroupId) {
        // A write marks its group when it ends, so earlier changes need no record.
        if !self.sessions.is_empty() {
            self.changed_groups.insert(group);
        }
    }

    /// Drops the watermarks that every endpoint of the group has reached, or all without a write in flight if there
    /// are too many. Examines only the groups in which the result may have changed; returns how many watermarks were
    /// examined.
    pub(crate) fn prune(&mut self, is_needed: impl Fn(GroupId, f64) -> bool) -> u64 {
        let changed = std::mem::take(&mut self.changed_groups);
        if self.sessions.len() > MAX_WATERMARKS {
            return self.prune_range(.., |_, watermark| watermark.writes_in_flight > 0);
        }
        let is_kept = |group, watermark: &Watermark| {
            watermark.writes_in_flight > 0 || is_needed(group, watermark.position)
        };
        changed.into_iter().map(|group| self.prune_range((group, 0)..=(group, u64::MAX), is_kept)).sum()
    }

    /// Drops the watermarks in a range for which `is_kept` is false; returns how many were examined.
    fn prune_range(
        &mut self,
        range: impl RangeBounds<(GroupId, u64)>,
        is_kept: impl Fn(GroupId, &Watermark) -> bool,
    ) -> u64 {
        let mut examined = 0;
        let range = self.sessions.range(range).inspect(|_| examined += 1);
        let dropped = range.filter(|((group, _), watermark)| !is_kept(*group, watermark));
        let dropped: Vec<((GroupId, u64), f64)> =
            dropped.map(|(session, watermark)| (*session, watermark.position)).collect();
        for (session, position) in dropped {
            self.sessions.remove(&session);
            let (group, _) = session;
            self.floors.grow_to(group, || 0.0);
            self.floors[group] = self.floors[group].max(position);
        }
        examined
    }
}
