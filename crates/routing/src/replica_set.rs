//! A replicated group of endpoints.

use crate::admission::{AdmitRatio, WriteThrottle};
use crate::ids::EndpointId;
use crate::primary::PrimaryTracker;
use crate::throughput::Throughput;

/// Seconds since the last answer within which a group counts as heard of often. Its endpoints are then known by their
/// concurrency limits; where routers are many no group is.
const RECENTLY_HEARD: f64 = 0.2;

/// One group: its members, its primary, and what it admits.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaSet {
    members: Vec<EndpointId>,
    /// When an attempt in the group last ended.
    last_result_at: f64,
    pub(crate) tracker: PrimaryTracker,
    pub(crate) admit_ratio: AdmitRatio,
    pub(crate) write_throttle: WriteThrottle,
    pub(crate) throughput: Throughput,
}

impl ReplicaSet {
    /// A group without members, which nothing has been heard of.
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

    /// An endpoint was listed in the group for the first time.
    pub(crate) fn add(&mut self, endpoint: EndpointId) {
        self.members.push(endpoint);
    }

    /// Nothing is needed of an endpoint any more that left.
    pub(crate) fn remove(&mut self, endpoint: EndpointId) {
        self.members.retain(|member| *member != endpoint);
    }

    /// All endpoints that were ever listed in the group and are not forgotten.
    pub(crate) fn members(&self) -> &[EndpointId] {
        &self.members
    }

    /// The primary, if one is known.
    pub(crate) fn primary(&self) -> Option<EndpointId> {
        self.tracker.primary()
    }

    /// Whether an attempt in the group ended a moment ago.
    pub(crate) fn is_heard_often(&self, now: f64) -> bool {
        now - self.last_result_at < RECENTLY_HEARD
    }

    /// An attempt ended; returns the seconds since the one before.
    pub(crate) fn record_result(&mut self, now: f64) -> f64 {
        let since_last = now - self.last_result_at;
        self.last_result_at = now;
        since_last
    }

    /// The part of its requests that is to be admitted. Groups that are heard of often need no admission ratio for reads.
    pub(crate) fn admit_ratio(&self, now: f64, is_write: bool, is_long: bool) -> f64 {
        if is_write {
            self.write_throttle.admit_ratio()
        } else if self.is_heard_often(now) {
            1.0
        } else {
            self.admit_ratio.of_reads(is_long)
        }
    }
}
