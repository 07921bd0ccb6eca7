//! How old the data of an endpoint is, and what sessions have to see.
//!
//! Positions in the replication log are times in seconds on the router's clock: an endpoint at position `p` has every
//! commit up to `p`.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeBounds;

use crate::ids::{GroupId, Table};

/// Seconds in which an endpoint that fell behind is not expected to catch up altogether.
const CATCH_UP_TIME: f64 = 0.03;
/// Watermarks of sessions that are remembered one by one; beyond, all are folded into the floor of their group.
const MAX_WATERMARKS: usize = 10_000;

/// An endpoint's position in the replication log, by its own reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicationPosition {
    position: f64,
    /// How old it was when it was reported, in seconds.
    lag: f64,
    reported_at: f64,
    /// The endpoint rejected a read as too fresh for it, and has not reported its position since.
    rejects_reads: bool,
}

impl ReplicationPosition {
    /// The newest position that was reported.
    pub(crate) fn known(&self) -> f64 {
        self.position
    }

    /// How far the endpoint lagged when it last reported, in seconds.
    pub(crate) fn lag(&self) -> f64 {
        self.lag
    }

    /// When the endpoint last reported its position.
    pub(crate) fn reported_at(&self) -> f64 {
        self.reported_at
    }

    /// Whether the endpoint rejected a read as too fresh for it, and has not reported its position since.
    pub(crate) fn rejects_reads(&self) -> bool {
        self.rejects_reads
    }

    /// The endpoint reported its position; an answer that rejects a read may carry one too, and clears nothing.
    pub(crate) fn record(&mut self, now: f64, position: f64, in_answer: bool) {
        self.position = self.position.max(position);
        self.lag = now - self.position;
        self.reported_at = now;
        self.rejects_reads &= in_answer;
    }

    /// The endpoint's position is not known any more.
    pub(crate) fn forget(&mut self) {
        *self = ReplicationPosition { rejects_reads: self.rejects_reads, ..ReplicationPosition::default() };
    }

    /// The endpoint rejected a read as too fresh for it.
    pub(crate) fn record_rejected_read(&mut self) {
        self.rejects_reads = true;
    }

    /// The position that the endpoint should have by now. Where routers are many each hears of it rarely: one that fell
    /// behind is expected to catch up meanwhile.
    pub(crate) fn expected(&self, now: f64) -> f64 {
        let caught_up = now - self.reported_at;
        let lag = (self.lag - caught_up).max(self.lag.min(CATCH_UP_TIME));
        self.position.max(now - lag)
    }
}

/// The last write of one session.
#[derive(Clone, Copy, Debug, Default)]
struct Watermark {
    position: f64,
    writes_in_flight: u32,
}

/// Read your writes, where the router has to remember them: for each session of a group the position that an endpoint
/// needs to have to serve its reads.
#[derive(Clone, Debug, Default)]
pub(crate) struct SessionWatermarks {
    sessions: BTreeMap<(GroupId, u64), Watermark>,
    /// For each group the position that all forgotten watermarks lie within. Who joins later, from an older copy, must come
    /// up to it.
    floors: Table<GroupId, f64>,
    /// The groups in which a position, the members or a watermark have changed since watermarks were last forgotten.
    changed_groups: BTreeSet<GroupId>,
}

impl SessionWatermarks {
    /// A write of the session goes out.
    pub(crate) fn begin_write(&mut self, group: GroupId, session: u64) {
        self.sessions.entry((group, session)).or_default().writes_in_flight += 1;
    }

    /// A write of the session ended; `commit` is no earlier than its commit, `None` if it had no effect.
    pub(crate) fn end_write(&mut self, group: GroupId, session: u64, commit: Option<f64>) {
        let watermark = self.sessions.entry((group, session)).or_default();
        watermark.position = watermark.position.max(commit.unwrap_or(0.0));
        watermark.writes_in_flight = watermark.writes_in_flight.saturating_sub(1);
        self.changed_groups.insert(group);
    }

    /// The position that the session's reads need; infinite while a write is in flight, as its answer may be on its way
    /// or broken off.
    pub(crate) fn required(&self, group: GroupId, session: Option<u64>) -> f64 {
        let watermark = session.and_then(|session| self.sessions.get(&(group, session)));
        match watermark {
            None => self.floors.get(group).copied().unwrap_or(0.0),
            Some(watermark) if watermark.writes_in_flight > 0 => f64::INFINITY,
            Some(watermark) => watermark.position,
        }
    }

    /// Has the reads of all sessions that wrote ask for that position at the least.
    pub(crate) fn raise_to(&mut self, position: f64) {
        let watermarks = self.sessions.values_mut().map(|watermark| &mut watermark.position);
        for required in watermarks.chain(self.floors.iter_mut()) {
            *required = required.max(position);
        }
    }

    /// A position in the group has moved, or a member has come, gone or returned.
    pub(crate) fn record_change_of(&mut self, group: GroupId) {
        // A write marks its group when it ends: what changed before it does not matter.
        if !self.sessions.is_empty() {
            self.changed_groups.insert(group);
        }
    }

    /// Forgets the watermarks that no endpoint of the group lacks, or all that may be forgotten if they are too many.
    /// Looks only at groups in which that may have changed; returns how many watermarks it looked at.
    pub(crate) fn forget(&mut self, is_lacking: impl Fn(GroupId, f64) -> bool) -> u64 {
        let changed = std::mem::take(&mut self.changed_groups);
        if self.sessions.len() > MAX_WATERMARKS {
            return self.forget_among(.., |_, watermark| watermark.writes_in_flight > 0);
        }
        let is_kept = |group, watermark: &Watermark| {
            watermark.writes_in_flight > 0 || is_lacking(group, watermark.position)
        };
        changed.into_iter().map(|group| self.forget_among((group, 0)..=(group, u64::MAX), is_kept)).sum()
    }

    /// Forgets those of the sessions that are not to be kept; returns how many there were.
    fn forget_among(
        &mut self,
        among: impl RangeBounds<(GroupId, u64)>,
        is_kept: impl Fn(GroupId, &Watermark) -> bool,
    ) -> u64 {
        let mut looked_at = 0;
        let among = self.sessions.range(among).inspect(|_| looked_at += 1);
        let forgotten = among.filter(|((group, _), watermark)| !is_kept(*group, watermark));
        let forgotten: Vec<((GroupId, u64), f64)> =
            forgotten.map(|(session, watermark)| (*session, watermark.position)).collect();
        for (session, position) in forgotten {
            self.sessions.remove(&session);
            let (group, _) = session;
            self.floors.grow_to(group, || 0.0);
            self.floors[group] = self.floors[group].max(position);
        }
        looked_at
    }
}
