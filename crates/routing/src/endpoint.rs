//! What is known of one endpoint: its entry in the endpoint list, and its state in each concern.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::consistency::ReplicationPosition;
use crate::health_check::HealthCheck;
use crate::ids::{GroupId, Id};
use crate::interface::{EndpointState, EndpointUpdate, RoutingConfig};
use crate::outlier::Outlier;
use crate::primary::RoleRecord;
use crate::slow_start::SlowStart;

/// Time constant in seconds with which a reported utilization fades.
const UTILIZATION_MEMORY: f64 = 5.0;
/// The least spare capacity that an endpoint is taken to have.
const MIN_SPARE_CAPACITY: f64 = 0.05;

/// The utilization that an endpoint reported last.
#[derive(Clone, Copy, Debug)]
struct ReportedUtilization {
    value: f64,
    at: f64,
}

/// A database server.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    listing: EndpointUpdate,
    /// The group that it was first listed in.
    member_of: GroupId,
    /// It was listed as draining, and not as ready since.
    is_drained: bool,
    utilization: Option<ReportedUtilization>,
    /// When an attempt there was last answered, in whatever way; health checks are answered beside the queue and prove
    /// less.
    last_answer_at: f64,
    pub(crate) role: RoleRecord,
    pub(crate) position: ReplicationPosition,
    pub(crate) health_check: HealthCheck,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) slow_start: SlowStart,
    pub(crate) outlier: Outlier,
}

impl Endpoint {
    /// An endpoint that nothing is known of but its entry in the list, as if health-checked last at `checked_at`.
    pub(crate) fn new(listing: EndpointUpdate, limit: f64, checked_at: f64) -> Endpoint {
        Endpoint {
            member_of: GroupId::new(listing.group),
            listing: EndpointUpdate { started_at: None, ..listing },
            is_drained: false,
            utilization: None,
            last_answer_at: 0.0,
            role: RoleRecord::default(),
            position: ReplicationPosition::default(),
            health_check: HealthCheck::new(checked_at),
            limit: ConcurrencyLimit::new(limit),
            slow_start: SlowStart::default(),
            outlier: Outlier::default(),
        }
    }

    /// Takes over the endpoint's entry in a list; `initial_limit` applies if it was started anew.
    pub(crate) fn apply_update(&mut self, listing: &EndpointUpdate, initial_limit: f64) {
        if let Some(started_at) = listing.started_at
            && self.listing.started_at != listing.started_at
        {
            self.slow_start.begin(started_at);
            self.limit.reset(initial_limit);
        }
        match listing.state {
            EndpointState::Ready => self.is_drained = false,
            EndpointState::Draining => self.is_drained = true,
            // One that drained before it left still counts as draining.
            EndpointState::Removed => {}
        }
        self.listing = *listing;
    }

    /// Whether nothing may be sent to it: it drains, or it is gone from the list where that is binding.
    pub(crate) fn is_excluded(&self, config: &RoutingConfig) -> bool {
        let is_gone = self.listing.state == EndpointState::Removed;
        self.is_drained || is_gone && !config.only_draining_bars
    }

    /// The group that it is listed in.
    pub(crate) fn group(&self) -> GroupId {
        GroupId::new(self.listing.group)
    }

    /// The group that it is a member of since it was first listed.
    pub(crate) fn member_of(&self) -> GroupId {
        self.member_of
    }

    /// Its site, where sites are told.
    pub(crate) fn site(&self) -> Option<usize> {
        self.listing.site
    }

    /// Its capacity relative to others.
    pub(crate) fn size(&self) -> f64 {
        self.listing.size
    }

    /// An opaque number that is the same at every router.
    pub(crate) fn order(&self) -> u64 {
        self.listing.order
    }

    /// When an attempt there was last answered; `0.0` if none was.
    pub(crate) fn last_answer_at(&self) -> f64 {
        self.last_answer_at
    }

    /// An attempt there was answered, in whatever way.
    pub(crate) fn record_answer(&mut self, now: f64) {
        self.last_answer_at = now;
        self.outlier.record_answer();
    }

    /// It reported its utilization, of `0.0..=1.0`.
    pub(crate) fn record_utilization(&mut self, now: f64, utilization: f64) {
        self.utilization = Some(ReportedUtilization { value: utilization.clamp(0.0, 1.0), at: now });
    }

    /// The part of its capacity that is free, by its own report, or where it sends none by how its answers come.
    pub(crate) fn spare_capacity(&self, now: f64) -> f64 {
        let utilization = match self.utilization {
            Some(reported) => reported.value * (-(now - reported.at) / UTILIZATION_MEMORY).exp(),
            None => self.limit.utilization(),
        };
        (1.0 - utilization).clamp(MIN_SPARE_CAPACITY, 1.0)
    }

    /// Whether one more attempt lies within `fraction` of its concurrency limit.
    pub(crate) fn has_capacity(&self, now: f64, fraction: f64, sample: f64) -> bool {
        self.limit.has_capacity(now - self.last_answer_at, fraction, sample)
    }

    /// It is back after an absence: what it was before no longer counts.
    pub(crate) fn restart(&mut self, now: f64) {
        self.slow_start.begin(now);
        self.limit.begin_recovery();
    }
}
