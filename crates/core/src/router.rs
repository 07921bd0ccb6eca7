//! The entry points of the crate: what happens is handed to the concerns in a fixed order.

use crate::clock::TICK;
use crate::eligibility::View;
use crate::ids::{EndpointId, GroupId, Id, RequestId};
use crate::interface::{Ending, Front, Listed, Outcome, Parts, Report, Reports, Statement, Terms, Workload};
use crate::request::RequestState;
use crate::state::RouterState;
use crate::stats;

/// Decides for each request which endpoint it is sent to, whether it is retried, and when it is shed.
///
/// It does no I/O and has no clock: each call hands in the time, and the [`Front`] that it is lent carries out what it
/// decides. Indices of endpoints, groups, tenants and requests are those of the caller; they are small and dense.
pub struct Router {
    state: RouterState,
    /// The endpoint list has to be asked for.
    must_request_list: bool,
    /// The group that the last tick looked at though nothing waits there.
    idle_group: usize,
}

impl Router {
    /// A router that knows no endpoint yet; asks `front` for the first timer call.
    pub fn start(now: f64, terms: Terms, front: &mut impl Front) -> Router {
        front.wake(TICK);
        Router {
            must_request_list: terms.list_on_request,
            idle_group: 0,
            state: RouterState::new(now, terms),
        }
    }

    /// Seconds that an answer of a workload is taken to need before any came.
    pub fn typical(workload: &Workload) -> f64 {
        stats::initial_latency(workload)
    }

    /// A request arrives; `index` is its own until it has its final answer and no attempt is in flight.
    pub fn statement(&mut self, now: f64, index: usize, stmt: Statement, front: &mut impl Front) {
        let id = RequestId::new(index);
        self.state.take_in(now, id, &stmt);
        if !self.state.is_admitted(now, id) {
            self.state.shed(now, id, front);
            return;
        }
        self.state.try_dispatch(now, id, front);
        self.state.poll(now, GroupId::new(stmt.group), front);
    }

    /// An attempt ended.
    pub fn outcome(&mut self, now: f64, outcome: &Outcome, front: &mut impl Front) {
        let state = &mut self.state;
        let id = RequestId::new(outcome.stmt);
        let before = *state.requests.get(id);
        state.stalls.record_call(now);
        state.learn(now, &before, outcome);
        state.record_effect(now, id, outcome);
        state.learn_of_role(now, &before, outcome);
        let is_abandoned = matches!(state.requests.state(id), RequestState::Abandoned(_));
        if outcome.closed || is_abandoned {
            state.transition(id, RequestState::Free);
        } else {
            state.transition(id, RequestState::Waiting);
            if !state.may_retry(id, state.classes.get(before.class).effect()) {
                state.shed(now, id, front);
            }
        }
        state.dispatch_waiting(now, before.group, front);
    }

    /// A health check ended; `report` is what the endpoint said, if it answered.
    pub fn probed(&mut self, now: f64, host: usize, ending: Ending, report: Report, front: &mut impl Front) {
        let state = &mut self.state;
        let id = EndpointId::new(host);
        state.endpoints[id].health_check.end();
        if ending == Ending::NeverSent {
            // It lay with this router: taken for an answer, it would end an ejection.
            return;
        }
        state.record_health_check(now, id, ending);
        if report.role.is_some() && state.terms.reports == Reports::WithAnswers {
            state.endpoints[id].role.record_sends_reports();
        }
        state.hear(now, id, report, false);
        state.dispatch_waiting(now, state.endpoints[id].group(), front);
    }

    /// The endpoint list, or entries of it that have changed. New endpoints come in the order of their indices.
    pub fn hosts(&mut self, now: f64, list: &[Listed], front: &mut impl Front) {
        for listing in list {
            self.state.apply_update(now, listing);
        }
        self.state.dispatch_all_waiting(now, front);
    }

    /// What the fleet leaves this router of its budgets; they apply beside the router's own limits.
    pub fn parts(&mut self, now: f64, parts: &Parts, front: &mut impl Front) {
        let state = &mut self.state;
        for part in &parts.hosts {
            let endpoint = &mut state.endpoints[EndpointId::new(part.host)];
            endpoint.limit.set_quota(part.units);
            endpoint.slow_start.set_tokens(part.tokens);
        }
        if let Some(routers) = parts.routers {
            state.terms.routers = routers;
        }
        if let Some(retries) = parts.second_tries {
            state.retries.set(retries);
        }
        state.dispatch_all_waiting(now, front);
    }

    /// The endpoint list was asked for and did not come.
    pub fn list_failed(&mut self) {
        self.must_request_list = self.state.terms.list_on_request;
    }

    /// The client left, or its time is up: nothing is owed any more.
    pub fn hangup(&mut self, index: usize) {
        let id = RequestId::new(index);
        let class = self.state.requests.get(id).class;
        self.state.classes.get_mut(class).client_retries().expect(1.0);
        let next = match self.state.requests.state(id).endpoint() {
            Some(endpoint) => RequestState::Abandoned(endpoint),
            None => RequestState::Free,
        };
        self.state.transition(id, next);
    }

    /// What is done at regular intervals; asks `front` for the next call.
    pub fn timer(&mut self, now: f64, front: &mut impl Front) {
        if std::mem::take(&mut self.must_request_list) {
            front.follow();
        }
        self.state.stalls.record_call(now);
        self.state.classes.tick();
        self.state.eject_silent(now);
        self.state.cancel_stuck_reads(now, front);
        self.state.adjust_write_throttles(now);
        self.visit_groups(now, front);
        self.state.forget_watermarks();
        front.wake(TICK);
    }

    /// Looks at the groups in which something waits, and at one more in turn.
    fn visit_groups(&mut self, now: f64, front: &mut impl Front) {
        let state = &mut self.state;
        self.idle_group = (self.idle_group + 1) % state.replica_sets.len().max(1);
        for group in state.replica_sets.ids() {
            if group.index() == self.idle_group || !state.requests.waiting(group).is_empty() {
                state.dispatch_waiting(now, group, front);
                state.poll(now, group, front);
            }
        }
    }

    /// Whether an endpoint is taken for one that is not warm yet.
    pub fn is_cold(&self, now: f64, host: usize) -> bool {
        View::new(now, &self.state).is_warming(EndpointId::new(host))
    }

    /// How many requests wait in a group.
    pub fn waiting(&self, group: usize) -> usize {
        self.state.requests.waiting(GroupId::new(group)).len()
    }

    /// Whether an attempt that was decided on may still be sent, as the list, a role or the time may have changed
    /// meanwhile.
    pub fn may_begin(&self, now: f64, index: usize, host: usize) -> bool {
        let endpoint = EndpointId::new(host);
        let request = self.state.requests.get(RequestId::new(index));
        !self.state.is_excluded(endpoint) && View::new(now, &self.state).meets_rules(endpoint, request)
    }

    /// The same of a health check.
    pub fn may_probe(&self, host: usize) -> bool {
        !self.state.is_excluded(EndpointId::new(host))
    }
}
