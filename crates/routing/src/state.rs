//! The complete state of a router, one field per concern.
//!
//! [`crate::eligibility`] and [`crate::selection`] read it; [`crate::dispatch`], [`crate::feedback`] and
//! [`crate::monitoring`] change it; [`crate::router`] calls these in a fixed order.

use std::collections::BTreeSet;

use crate::admission::{Demands, LatencyPressure, TenantQuotas};
use crate::clock::{StallDetector, TickCount};
use crate::consistency::SessionWatermarks;
use crate::departure::Departures;
use crate::endpoint::Endpoint;
use crate::health_check::HealthCheckBudget;
use crate::ids::{EndpointId, GroupId, Id, RequestId, Table};
use crate::interface::{RoutingConfig, WorkCounts};
use crate::replica_set::ReplicaSet;
use crate::request::{RequestState, Requests};
use crate::retry::RetryBudget;
use crate::sampling::Sampler;
use crate::stats::Classes;

/// The state of one router.
pub(crate) struct RouterState {
    pub(crate) config: RoutingConfig,
    /// The tightest staleness bound of all workloads, in seconds.
    pub(crate) tightest_bound: Option<f64>,
    pub(crate) classes: Classes,
    pub(crate) endpoints: Table<EndpointId, Endpoint>,
    pub(crate) departures: Departures,
    pub(crate) replica_sets: Table<GroupId, ReplicaSet>,
    /// Groups whose write throttle the next tick may change: those in which an attempt has just ended, those that
    /// reject some writes, and new ones.
    pub(crate) throttled_or_active: BTreeSet<GroupId>,
    pub(crate) demands: Demands,
    /// Tick count by which the groups' counts of answers and rejections decay.
    pub(crate) throughput_ticks: TickCount,
    pub(crate) requests: Requests,
    pub(crate) watermarks: SessionWatermarks,
    pub(crate) tenants: TenantQuotas,
    pub(crate) retries: RetryBudget,
    pub(crate) health_checks: HealthCheckBudget,
    pub(crate) latency_pressure: LatencyPressure,
    pub(crate) stall_detector: StallDetector,
    pub(crate) sampler: Sampler,
    pub(crate) work_counts: WorkCounts,
}

impl RouterState {
    /// Returns the state of a router that has just started.
    pub(crate) fn new(now: f64, config: RoutingConfig) -> RouterState {
        let bounds = config.workloads.iter().filter_map(super::interface::WorkloadSettings::bound);
        RouterState {
            tightest_bound: bounds.reduce(f64::min),
            classes: Classes::new(&config),
            endpoints: Table::default(),
            departures: Departures::default(),
            replica_sets: Table::default(),
            throttled_or_active: BTreeSet::new(),
            demands: Demands::default(),
            throughput_ticks: TickCount::default(),
            requests: Requests::default(),
            watermarks: SessionWatermarks::default(),
            tenants: TenantQuotas::new(now, config.tenant_rates.len()),
            retries: RetryBudget::new(),
            health_checks: HealthCheckBudget::default(),
            latency_pressure: LatencyPressure::default(),
            stall_detector: StallDetector::new(now),
            sampler: Sampler::new(config.seed),
            work_counts: WorkCounts::default(),
            config,
        }
    }

    /// Returns the group with that identifier, and adds it if it is new.
    pub(crate) fn replica_set_mut(&mut self, group: GroupId) -> &mut ReplicaSet {
        let known = self.replica_sets.len();
        self.replica_sets.grow_to(group, ReplicaSet::new);
        let new = known..self.replica_sets.len();
        self.throttled_or_active.extend(new.map(GroupId::new));
        &mut self.replica_sets[group]
    }

    /// Returns whether nothing may be sent to the endpoint.
    pub(crate) fn is_excluded(&self, endpoint: EndpointId) -> bool {
        self.endpoints[endpoint].is_excluded(&self.config)
    }

    /// Changes a request's state, and updates the counts of attempts in flight at its endpoints.
    pub(crate) fn transition(&mut self, request: RequestId, to: RequestState) {
        let from = self.requests.transition(request, to);
        if let Some(endpoint) = from.endpoint() {
            self.endpoints[endpoint].limit.release();
        }
        if let Some(endpoint) = to.endpoint() {
            self.endpoints[endpoint].limit.acquire();
        }
    }
}
