//! The state of one endpoint: its entry in the endpoint list, and what each concern has recorded about it.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::consistency::ReplicationPosition;
use crate::departure::Departure;
use crate::health_check::HealthCheck;
use crate::ids::{GroupId, Id};
use crate::interface::{EndpointState, EndpointUpdate, RoutingConfig};
use crate::outlier::OutlierState;
use crate::primary::RoleRecord;
use crate::slow_start::SlowStart;

/// Time constant in seconds with which a reported utilization decays.
const UTILIZATION_DECAY_SECONDS: f64 = 5.0;
/// Smallest spare capacity assumed for an endpoint.
const MIN_SPARE_CAPACITY: f64 = 0.05;

/// The last utilization that an endpoint reported, and when, in seconds.
#[derive(Clone, Copy, Debug)]
struct ReportedUtilization {
    value: f64,
    at: f64,
}

/// A database server.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    listing: EndpointUpdate,
    /// The group in which it was first listed.
    member_group: GroupId,
    /// It was listed as draining, and has not been listed as ready since.
    is_draining: bool,
    utilization: Option<ReportedUtilization>,
    /// When an attempt was last answered there, with whatever result, in seconds. Health checks do not count: they
    /// are answered outside the endpoint's request queue and prove less.
    last_answer_at: f64,
    /// Set while the endpoint is excluded and no longer listed.
    pub(crate) departure: Option<Departure>,
    pub(crate) role: RoleRecord,
    pub(crate) position: ReplicationPosition,
    pub(crate) health_check: HealthCheck,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) slow_start: SlowStart,
    pub(crate) outlier: OutlierState,
}

impl Endpoint {
    /// Creates an endpoint of which only its entry in the list is known, as if it had last been health-checked at
    /// `checked_at`.
    pub(crate) fn new(listing: EndpointUpdate, limit: f64, checked_at: f64) -> Endpoint {
        Endpoint {
            member_group: GroupId::new(listing.group),
            listing: EndpointUpdate { started_at: None, ..listing },
            is_draining: false,
            utilization: None,
            last_answer_at: 0.0,
            departure: None,
            role: RoleRecord::default(),
            position: ReplicationPosition::default(),
            health_check: HealthCheck::new(checked_at),
            limit: ConcurrencyLimit::new(limit),
            slow_start: SlowStart::default(),
            outlier: OutlierState::default(),
        }
    }

    /// Applies the endpoint's entry in a list; `initial_limit` becomes its concurrency limit if it was restarted.
    pub(crate) fn apply_update(&mut self, listing: &EndpointUpdate, initial_limit: f64) {
        if let Some(started_at) = listing.started_at
            && self.listing.started_at != listing.started_at
        {
            self.slow_start.begin(started_at);
            self.limit.reset(initial_limit);
        }
        match listing.state {
            EndpointState::Ready => self.is_draining = false,
            EndpointState::Draining => self.is_draining = true,
            // An endpoint that was draining before it was removed still counts as draining.
            EndpointState::Removed => {}
        }
        self.listing = *listing;
    }

    /// Whether the endpoint must not be sent anything: it is draining, or it has been removed from the list and
    /// removal is binding.
    pub(crate) fn is_excluded(&self, config: &RoutingConfig) -> bool {
        let is_removed = self.listing.state == EndpointState::Removed;
        self.is_draining || is_removed && !config.only_draining_excludes
    }

    /// The group in which it is listed.
    pub(crate) fn group(&self) -> GroupId {
        GroupId::new(self.listing.group)
    }

    /// The group in which it was first listed, and of which it is a member.
    pub(crate) fn member_group(&self) -> GroupId {
        self.member_group
    }

    /// Its site, if sites are known.
    pub(crate) fn site(&self) -> Option<usize> {
        self.listing.site
    }

    /// Its capacity relative to other endpoints.
    pub(crate) fn size(&self) -> f64 {
        self.listing.size
    }

    /// An opaque sort key that is the same at every router.
    pub(crate) fn order(&self) -> u64 {
        self.listing.order
    }

    /// When an attempt was last answered there, in seconds; `0.0` if none was.
    pub(crate) fn last_answer_at(&self) -> f64 {
        self.last_answer_at
    }

    /// Records that an attempt was answered, with whatever result.
    pub(crate) fn record_answer(&mut self, now: f64) {
        self.last_answer_at = now;
        self.outlier.record_answer();
    }

    /// Records the utilization that the endpoint reported, in `0.0..=1.0`.
    pub(crate) fn record_utilization(&mut self, now: f64, utilization: f64) {
        self.utilization = Some(ReportedUtilization { value: utilization.clamp(0.0, 1.0), at: now });
    }

    /// The free fraction of its capacity by its own report, or estimated from the latency of its answers if it sends
    /// none.
    pub(crate) fn spare_capacity(&self, now: f64) -> f64 {
        let utilization = match self.utilization {
            Some(reported) => reported.value * (-(now - reported.at) / UTILIZATION_DECAY_SECONDS).exp(),
            None => self.limit.utilization(),
        };
        (1.0 - utilization).clamp(MIN_SPARE_CAPACITY, 1.0)
    }

    /// Whether one more attempt is within `fraction` of its concurrency limit.
    pub(crate) fn has_capacity(&self, now: f64, fraction: f64, sample: f64) -> bool {
        self.limit.has_capacity(now - self.last_answer_at, fraction, sample)
    }

    /// Records that the endpoint has returned after its process was gone, so its earlier state no longer applies.
    pub(crate) fn restart(&mut self, now: f64) {
        self.slow_start.begin(now);
        self.limit.begin_recovery();
    }
}
