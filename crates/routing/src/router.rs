//! Entry points of the crate. Each passes an event on to the modules that handle it, in a fixed order.

use std::collections::BTreeSet;

use crate::clock::TICK_SECONDS;
use crate::eligibility::View;
use crate::ids::{EndpointId, GroupId, Id, RequestId};
use crate::interface::{
    AttemptOutcome, AttemptResult, EndpointUpdate, FleetQuota, LoadReport, ReportSource, Request,
    RoutingConfig, Transport, WorkCounts, WorkloadSettings,
};
use crate::request::RequestState;
use crate::state::RouterState;
use crate::stats;

/// Decides which endpoint each request is sent to, whether it is retried, and when it is shed.
///
/// The router does no I/O and has no clock: the caller passes the time to each call, and the [`Transport`] that it
/// passes along carries out the decisions. Indices of endpoints, groups, tenants and requests are assigned by the
/// caller; they are small and dense.
pub struct Router {
    state: RouterState,
    /// Whether the next tick requests the endpoint list.
    must_request_list: bool,
    /// The group that the last tick visited in rotation, whether or not a request waits there.
    rotation_group: usize,
}

impl Router {
    /// Returns a router that knows no endpoints, and schedules its first tick with `transport`.
    pub fn start(now: f64, config: RoutingConfig, transport: &mut impl Transport) -> Router {
        transport.schedule_tick(TICK_SECONDS);
        Router {
            must_request_list: config.list_on_request,
            rotation_group: 0,
            state: RouterState::new(now, config),
        }
    }

    /// Returns the latency in seconds that is assumed for a workload before it has had any answer.
    #[must_use]
    pub fn initial_latency(workload: &WorkloadSettings) -> f64 {
        stats::initial_latency(workload)
    }

    /// Handles the arrival of a request. `index` belongs to the request until it has its final answer and no attempt of
    /// it is in flight.
    pub fn on_request(&mut self, now: f64, index: usize, request: Request, transport: &mut impl Transport) {
        let id = RequestId::new(index);
        self.state.register(now, id, &request);
        if !self.state.is_admitted(now, id) {
            self.state.shed(now, id, transport);
            return;
        }
        self.state.try_dispatch(now, id, transport);
        self.state.poll(now, GroupId::new(request.group), transport);
    }

    /// Handles the end of an attempt.
    pub fn on_attempt_result(&mut self, now: f64, result: &AttemptResult, transport: &mut impl Transport) {
        let state = &mut self.state;
        let id = RequestId::new(result.request);
        let before = *state.requests.get(id);
        state.stall_detector.record_call(now);
        state.record_result(now, &before, result);
        state.record_effect(now, id, result);
        state.update_role(now, &before, result);
        let is_abandoned = matches!(state.requests.state(id), RequestState::Abandoned(_));
        if result.has_final_answer || is_abandoned {
            state.transition(id, RequestState::Free);
        } else {
            state.transition(id, RequestState::Waiting);
            if !state.may_retry(id) {
                state.shed(now, id, transport);
            }
        }
        state.dispatch_waiting(now, before.group, transport);
    }

    /// Handles the end of a health check; `report` is what the endpoint reported, if it answered.
    pub fn on_health_check(
        &mut self,
        now: f64,
        endpoint: usize,
        outcome: AttemptOutcome,
        report: LoadReport,
        transport: &mut impl Transport,
    ) {
        let state = &mut self.state;
        let id = EndpointId::new(endpoint);
        state.endpoints[id].health_check.end(now, outcome);
        if outcome == AttemptOutcome::NeverSent {
            // The endpoint is not the cause. Treated as an answer, this outcome would end an ejection.
            return;
        }
        state.record_health_check(now, id, outcome);
        if report.role.is_some() && state.config.reports == ReportSource::WithAnswers {
            state.endpoints[id].role.record_sends_reports();
        }
        state.apply_report(now, id, report, false);
        let group = state.endpoints[id].group();
        state.dispatch_waiting(now, group, transport);
        // Checks further members for the requests that still wait. After a failed check this is left to the next tick,
        // since a refusal comes back immediately.
        if report.role.is_some() {
            state.poll_further(now, group, transport);
        }
    }

    /// Handles what an endpoint reported without the end of an attempt or health check: `observed` is what its answer
    /// itself shows, `report` the load report that came with it.
    pub fn on_endpoint_report(
        &mut self,
        now: f64,
        endpoint: usize,
        observed: LoadReport,
        report: Option<LoadReport>,
        transport: &mut impl Transport,
    ) {
        let id = EndpointId::new(endpoint);
        self.state.apply_answer(now, id, observed, report);
        let group = self.state.endpoints[id].group();
        self.state.dispatch_waiting(now, group, transport);
    }

    /// Applies the endpoint list, or those of its entries that have changed. New endpoints appear in the order of their
    /// indices, or reuse the indices of forgotten endpoints.
    pub fn on_endpoint_list(&mut self, now: f64, list: &[EndpointUpdate], transport: &mut impl Transport) {
        if list.is_empty() {
            return;
        }
        for listing in list {
            self.state.apply_update(now, listing);
        }
        self.state.dispatch_all_waiting(now, transport);
    }

    /// Applies the quotas that the fleet grants this router; they apply in addition to the router's own limits.
    pub fn on_quota(&mut self, now: f64, quotas: &FleetQuota, transport: &mut impl Transport) {
        let state = &mut self.state;
        for quota in &quotas.endpoints {
            let endpoint = &mut state.endpoints[EndpointId::new(quota.endpoint)];
            endpoint.limit.set_quota(quota.in_flight_quota);
            endpoint.slow_start.set_tokens(quota.tokens);
        }
        if let Some(routers) = quotas.routers {
            state.config.routers = routers;
        }
        if let Some(retries) = quotas.retries {
            state.retries.set(retries);
        }
        state.dispatch_all_waiting(now, transport);
    }

    /// Returns the endpoints that have left the list and that the router no longer needs: nothing is in flight there,
    /// no request refers to them, and nothing may be sent to them. They can be passed to [`Router::forget_endpoints`].
    #[must_use]
    pub fn forgettable_endpoints(&self, now: f64) -> Vec<usize> {
        self.state.forgettable(now).into_iter().map(Id::index).collect()
    }

    /// Forgets these endpoints, except those that the router still needs. Returns the forgotten ones; the caller may
    /// reuse their indices for other endpoints.
    pub fn forget_endpoints(&mut self, now: f64, endpoints: &[usize]) -> Vec<usize> {
        let endpoints = endpoints.iter().copied().map(EndpointId::new).collect();
        self.state.forget(now, endpoints).into_iter().map(Id::index).collect()
    }

    /// Forgets all replication positions, because the clock that they are measured on was set: earlier positions can't
    /// be compared with later ones.
    pub fn on_clock_step(&mut self, now: f64) {
        self.state.forget_positions(now);
    }

    /// Handles a request for the endpoint list that got no answer; the next tick repeats it where the list is sent only
    /// on request.
    pub fn on_endpoint_list_failed(&mut self) {
        self.must_request_list = self.state.config.list_on_request;
    }

    /// Handles a client that left, or whose deadline has passed: its request no longer needs an answer.
    pub fn on_client_gone(&mut self, index: usize) {
        let id = RequestId::new(index);
        let class = self.state.requests.get(id).class;
        self.state.classes.get_mut(class).client_retries().expect_retries(1.0);
        let next = match self.state.requests.state(id).endpoint() {
            Some(endpoint) => RequestState::Abandoned(endpoint),
            None => RequestState::Free,
        };
        self.state.transition(id, next);
    }

    /// Does the periodic work, and schedules the next tick with `transport`.
    pub fn on_tick(&mut self, now: f64, transport: &mut impl Transport) {
        if std::mem::take(&mut self.must_request_list) {
            transport.request_endpoint_list();
        }
        self.state.stall_detector.record_call(now);
        self.state.classes.tick();
        self.state.throughput_ticks.advance();
        self.state.eject_silent(now);
        self.state.cancel_stuck_reads(now, transport);
        self.state.adjust_write_throttles(now);
        self.visit_groups(now, transport);
        self.state.forget_watermarks();
        transport.schedule_tick(TICK_SECONDS);
    }

    /// Dispatches and polls in the groups where requests wait, and in one more group in rotation.
    fn visit_groups(&mut self, now: f64, transport: &mut impl Transport) {
        let state = &mut self.state;
        let groups = state.replica_sets.len();
        self.rotation_group = (self.rotation_group + 1) % groups.max(1);
        let mut visited: BTreeSet<GroupId> = state.requests.groups_waiting().collect();
        if self.rotation_group < groups {
            visited.insert(GroupId::new(self.rotation_group));
        }
        for group in visited {
            state.work_counts.groups += 1;
            state.dispatch_waiting(now, group, transport);
            state.poll(now, group, transport);
        }
    }

    /// Returns whether the endpoint is treated as not warm yet.
    #[must_use]
    pub fn is_warming(&self, now: f64, endpoint: usize) -> bool {
        View::new(now, &self.state).is_warming(EndpointId::new(endpoint))
    }

    /// Returns the number of requests that wait in a group.
    #[must_use]
    pub fn waiting(&self, group: usize) -> usize {
        self.state.requests.waiting(GroupId::new(group)).len()
    }

    /// Returns counts of what the router has examined since it started.
    #[must_use]
    pub fn work_counts(&self) -> WorkCounts {
        self.state.work_counts
    }

    /// Returns whether an attempt that was decided on may still be sent: the endpoint list, a role or the time may have
    /// changed since.
    #[must_use]
    pub fn may_send_attempt(&self, now: f64, index: usize, endpoint: usize) -> bool {
        let endpoint = EndpointId::new(endpoint);
        let request = self.state.requests.get(RequestId::new(index));
        !self.state.is_excluded(endpoint)
            && View::new(now, &self.state).meets_correctness_rules(endpoint, request)
    }

    /// Returns within how many seconds a health check has to be answered; see [`Facade`](crate::facade::Facade).
    pub fn health_check_time_limit(&mut self, endpoint: usize, usual: f64) -> f64 {
        self.state.endpoints[EndpointId::new(endpoint)].health_check.time_limit(usual)
    }

    /// Returns whether a health check that was decided on may still be sent.
    #[must_use]
    pub fn may_send_health_check(&self, endpoint: usize) -> bool {
        !self.state.is_excluded(EndpointId::new(endpoint))
    }
}
