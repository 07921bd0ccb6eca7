//! The entry points of the crate: what happens is handed to the concerns in a fixed order.

use std::collections::BTreeSet;

use crate::clock::TICK_SECONDS;
use crate::eligibility::View;
use crate::ids::{EndpointId, GroupId, Id, RequestId};
use crate::interface::{
    AttemptOutcome, AttemptResult, EndpointUpdate, FleetQuota, LoadReport, ReportSource, Request,
    RequestClass, RoutingConfig, Transport, Work,
};
use crate::request::RequestState;
use crate::state::RouterState;
use crate::stats;

/// Decides for each request which endpoint it is sent to, whether it is retried, and when it is shed.
///
/// It does no I/O and has no clock: each call hands in the time, and the [`Transport`] that it is lent carries out what it
/// decides. Indices of endpoints, groups, tenants and requests are those of the caller; they are small and dense.
pub struct Router {
    state: RouterState,
    /// The endpoint list has to be asked for.
    must_request_list: bool,
    /// The group that the last tick looked at though nothing waits there.
    rotation_group: usize,
}

impl Router {
    /// A router that knows no endpoint yet; asks `transport` for the first timer call.
    pub fn start(now: f64, config: RoutingConfig, transport: &mut impl Transport) -> Router {
        transport.schedule_tick(TICK_SECONDS);
        Router {
            must_request_list: config.list_on_request,
            rotation_group: 0,
            state: RouterState::new(now, config),
        }
    }

    /// Seconds that an answer of a workload is taken to need before any came.
    #[must_use]
    pub fn typical(workload: &RequestClass) -> f64 {
        stats::initial_latency(workload)
    }

    /// A request arrives; `index` is its own until it has its final answer and no attempt is in flight.
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

    /// An attempt ended.
    pub fn on_attempt_result(&mut self, now: f64, result: &AttemptResult, transport: &mut impl Transport) {
        let state = &mut self.state;
        let id = RequestId::new(result.request);
        let before = *state.requests.get(id);
        state.stalls.record_call(now);
        state.record_result(now, &before, result);
        state.record_effect(now, id, result);
        state.update_role(now, &before, result);
        let is_abandoned = matches!(state.requests.state(id), RequestState::Abandoned(_));
        if result.closed || is_abandoned {
            state.transition(id, RequestState::Free);
        } else {
            state.transition(id, RequestState::Waiting);
            if !state.may_retry(id) {
                state.shed(now, id, transport);
            }
        }
        state.dispatch_waiting(now, before.group, transport);
    }

    /// A health check ended; `report` is what the endpoint said, if it answered.
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
        state.endpoints[id].health_check.end();
        if outcome == AttemptOutcome::NeverSent {
            // Its endpoint is not the cause: taken for an answer, it would end an ejection.
            return;
        }
        state.record_health_check(now, id, outcome);
        if report.role.is_some() && state.config.reports == ReportSource::WithAnswers {
            state.endpoints[id].role.record_sends_reports();
        }
        state.apply_report(now, id, report, false);
        let group = state.endpoints[id].group();
        state.dispatch_waiting(now, group, transport);
        // What still waits needs another one checked. After a check that failed the next tick does that, as a refusal comes
        // at once.
        if report.role.is_some() {
            state.poll_further(now, group, transport);
        }
    }

    /// The endpoint list, or entries of it that have changed. New endpoints come in the order of their indices, or under
    /// those of endpoints that are forgotten.
    pub fn on_endpoint_list(&mut self, now: f64, list: &[EndpointUpdate], transport: &mut impl Transport) {
        if list.is_empty() {
            return;
        }
        for listing in list {
            self.state.apply_update(now, listing);
        }
        self.state.dispatch_all_waiting(now, transport);
    }

    /// What the fleet leaves this router of its budgets; they apply beside the router's own limits.
    pub fn on_quota(&mut self, now: f64, quotas: &FleetQuota, transport: &mut impl Transport) {
        let state = &mut self.state;
        for quota in &quotas.endpoints {
            let endpoint = &mut state.endpoints[EndpointId::new(quota.endpoint)];
            endpoint.limit.set_quota(quota.units);
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

    /// The endpoints that left the list and of which the router needs nothing any more: nothing is in flight there, no
    /// request names them, and nothing may be sent there. They may be handed to [`Router::forget_endpoints`].
    #[must_use]
    pub fn forgettable_endpoints(&self, now: f64) -> Vec<usize> {
        self.state.forgettable(now).into_iter().map(Id::index).collect()
    }

    /// Forgets these endpoints, but for those that the router still needs. Returns which it has forgotten: their indices
    /// may be listed as other endpoints' from now on.
    pub fn forget_endpoints(&mut self, now: f64, endpoints: &[usize]) -> Vec<usize> {
        let endpoints = endpoints.iter().copied().map(EndpointId::new).collect();
        self.state.forget(now, endpoints).into_iter().map(Id::index).collect()
    }

    /// From now on positions are told on a clock that was set: those that were told before can't be compared with them.
    pub fn on_clock_step(&mut self, now: f64) {
        self.state.forget_positions(now);
    }

    /// The endpoint list was asked for and did not come.
    pub fn on_endpoint_list_failed(&mut self) {
        self.must_request_list = self.state.config.list_on_request;
    }

    /// The client left, or its time is up: no answer is needed any more.
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

    /// What is done at regular intervals; asks `transport` for the next call.
    pub fn on_tick(&mut self, now: f64, transport: &mut impl Transport) {
        if std::mem::take(&mut self.must_request_list) {
            transport.request_endpoint_list();
        }
        self.state.stalls.record_call(now);
        self.state.classes.tick();
        self.state.throughput_ticks.advance();
        self.state.eject_silent(now);
        self.state.cancel_stuck_reads(now, transport);
        self.state.adjust_write_throttles(now);
        self.visit_groups(now, transport);
        self.state.forget_watermarks();
        transport.schedule_tick(TICK_SECONDS);
    }

    /// Looks at the groups in which something waits, and at one more in turn.
    fn visit_groups(&mut self, now: f64, transport: &mut impl Transport) {
        let state = &mut self.state;
        let groups = state.replica_sets.len();
        self.rotation_group = (self.rotation_group + 1) % groups.max(1);
        let mut visited: BTreeSet<GroupId> = state.requests.groups_waiting().collect();
        if self.rotation_group < groups {
            visited.insert(GroupId::new(self.rotation_group));
        }
        for group in visited {
            state.work.groups += 1;
            state.dispatch_waiting(now, group, transport);
            state.poll(now, group, transport);
        }
    }

    /// Whether an endpoint is taken for one that is not warm yet.
    #[must_use]
    pub fn is_warming(&self, now: f64, endpoint: usize) -> bool {
        View::new(now, &self.state).is_warming(EndpointId::new(endpoint))
    }

    /// How many requests wait in a group.
    #[must_use]
    pub fn waiting(&self, group: usize) -> usize {
        self.state.requests.waiting(GroupId::new(group)).len()
    }

    /// What the router has looked at since it started.
    #[must_use]
    pub fn work(&self) -> Work {
        self.state.work
    }

    /// Whether an attempt that was decided on may still be sent, as the list, a role or the time may have changed
    /// meanwhile.
    #[must_use]
    pub fn may_begin(&self, now: f64, index: usize, endpoint: usize) -> bool {
        let endpoint = EndpointId::new(endpoint);
        let request = self.state.requests.get(RequestId::new(index));
        !self.state.is_excluded(endpoint)
            && View::new(now, &self.state).meets_correctness_rules(endpoint, request)
    }

    /// The same of a health check.
    #[must_use]
    pub fn may_check_health(&self, endpoint: usize) -> bool {
        !self.state.is_excluded(EndpointId::new(endpoint))
    }
}
