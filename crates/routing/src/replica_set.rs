//! The state of a replicated group of endpoints.

use crate::admission::{AdmitRatio, WriteThrottle};
use crate::ids::EndpointId;
use crate::primary::PrimaryTracker;
use crate::throughput::Throughput;

/// Seconds since the last result during which a group counts as having frequent results. The concurrency limits of
/// its endpoints are then up to date; with many routers no group has frequent results.
const FREQUENT_RESULT_SECONDS: f64 = 0.2;

/// One group: its members, its primary, and what it admits.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaSet {
    members: Vec<EndpointId>,
    /// When an attempt in the group last ended, in seconds.
    last_result_at: f64,
    pub(crate) tracker: PrimaryTracker,
    pub(crate) admit_ratio: AdmitRatio,
    pub(crate) write_throttle: WriteThrottle,
    pub(crate) throughput: Throughput,
}

impl ReplicaSet {
    /// Creates a group without members or results.
    pub(crate) fn new() -> ReplicaSet {
        ReplicaSet {
            members: Vec::new(),
            last_result_at: 0.0,
            tracker: PrimaryTracker::default(),
            admit_ratio: AdmitRatio::new(),
            write_throttle: WriteThrottle::default(),
            throughput: Throughput::default(),
        }
    }

    /// Adds an endpoint that is listed in the group for the first time.
    pub(crate) fn add(&mut self, endpoint: EndpointId) {
        self.members.push(endpoint);
    }

    /// Removes an endpoint that has left and whose state is no longer needed.
    pub(crate) fn remove(&mut self, endpoint: EndpointId) {
        self.members.retain(|member| *member != endpoint);
    }

    /// All endpoints that have been listed in the group and not been removed since.
    pub(crate) fn members(&self) -> &[EndpointId] {
        &self.members
    }

    /// The primary, if it is known.
    pub(crate) fn primary(&self) -> Option<EndpointId> {
        self.tracker.primary()
    }

    /// Whether an attempt in the group has just ended.
    pub(crate) fn has_frequent_results(&self, now: f64) -> bool {
        now - self.last_result_at < FREQUENT_RESULT_SECONDS
    }

    /// Records that an attempt ended; returns the seconds since the previous one ended.
    pub(crate) fn record_result(&mut self, now: f64) -> f64 {
        let since_last = now - self.last_result_at;
        self.last_result_at = now;
        since_last
    }

    /// The fraction of the group's requests to admit. Groups with frequent results need no admission ratio for reads.
    pub(crate) fn admit_ratio(&self, now: f64, is_write: bool, is_long: bool) -> f64 {
        if is_write {
            self.write_throttle.admit_ratio()
        } else if self.has_frequent_results(now) {
            1.0
        } else {
            self.admit_ratio.for_reads(is_long)
        }
    }
}
