//! Updates the state of the group, the endpoint and the class from the result of an attempt.

use crate::concurrency_limit::{Observation, PRIMARY_READ_FRACTION};
use crate::eligibility::View;
use crate::ids::{EndpointId, Id, RequestId};
use crate::interface::{AttemptOutcome, AttemptResult, Consistency, Role};
use crate::outlier;
use crate::request::TrackedRequest;
use crate::state::RouterState;

impl RouterState {
    /// Records what a result shows about the effects of its request: whether an attempt may have run, whether the
    /// statement writes, whether a write of a session has been committed.
    pub(crate) fn record_effect(&mut self, now: f64, id: RequestId, result: &AttemptResult) {
        let endpoint = EndpointId::new(result.endpoint);
        let had_no_effect = result.outcome.had_no_effect();
        let request = *self.requests.get(id);
        if let Some(session) = self.remembered_session(&request) {
            // An answer that breaks off before or after its row contains no commit position; the commit was made no
            // later than now.
            let reported = result.observed.lsn.filter(|_| result.outcome == AttemptOutcome::Completed);
            let commit = (!had_no_effect).then(|| reported.unwrap_or(now));
            self.watermarks.end_write(request.group, session, commit);
        }
        let request = self.requests.get_mut(id);
        if !had_no_effect && result.outcome != AttemptOutcome::Completed {
            request.record_possible_effect(endpoint);
        }
        if result.outcome == AttemptOutcome::ReadOnly {
            // The statement writes, which its classification missed; the endpoint is not at fault.
            request.class = self.classes.write_class(request.class);
        }
    }

    /// Applies what a result shows about the role and replication position of its endpoint; `request` is its state
    /// before the result.
    pub(crate) fn update_role(&mut self, now: f64, request: &TrackedRequest, result: &AttemptResult) {
        let id = EndpointId::new(result.endpoint);
        let needs_primary = self.classes.get(request.class).consistency() == Consistency::Primary;
        let is_refused = matches!(result.outcome, AttemptOutcome::WrongEndpoint | AttemptOutcome::ReadOnly);
        if result.outcome == AttemptOutcome::WrongEndpoint && !needs_primary {
            // The endpoint would reject the next read too. If it waits before it rejects, that read would be late.
            self.endpoints[id].position.record_rejected_read();
        }
        self.apply_answer(now, id, result.observed, result.report);
        // An endpoint that reports being the primary in the same answer refused the statement, not the role.
        let claims_primary = result.observed.role == Some(Role::Primary);
        if is_refused && needs_primary && !claims_primary {
            self.record_not_primary(now, id);
        } else if self.may_have_lost_primary(request, result) {
            self.clear_primary(id);
        }
    }

    /// Whether the result may mean that the endpoint has failed as the primary. An endpoint that has answered other
    /// attempts since has not: the time-out is due to load (departure 7 of docs/design.md).
    fn may_have_lost_primary(&self, request: &TrackedRequest, result: &AttemptResult) -> bool {
        let endpoint = &self.endpoints[EndpointId::new(result.endpoint)];
        match result.outcome {
            AttemptOutcome::TimedOut => endpoint.last_answer_at() < request.sent_at,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => true,
            _ => false,
        }
    }

    /// Updates all estimates from a result; `request` is its state before the result.
    pub(crate) fn record_result(&mut self, now: f64, request: &TrackedRequest, result: &AttemptResult) {
        // A long latency does not indicate overload if the request itself is long, and a request that is short could
        // hide overload.
        let latency = (result.elapsed - request.extra_work).max(0.0);
        self.update_throughput(now, request, result);
        self.update_admission(now, request, result, latency);
        self.update_endpoint(now, request, result, latency);
        self.update_class(request, result, latency);
        // A retry that completed does not count against the retry budget.
        if result.outcome == AttemptOutcome::Completed && request.possible_effect.is_some() {
            self.retries.refund();
        }
    }

    /// Counts an answer relative to the current capacity of its endpoint and of its group (departure 30 of
    /// docs/design.md).
    fn update_throughput(&mut self, now: f64, request: &TrackedRequest, result: &AttemptResult) {
        if result.outcome != AttemptOutcome::Completed {
            return;
        }
        let id = EndpointId::new(result.endpoint);
        let consistency = self.classes.get(request.class).consistency();
        let needs_primary = matches!(consistency, Consistency::Primary | Consistency::Fresh);
        let view = View::new(now, self);
        let endpoint_capacity = view.capacity(id);
        let group_capacity = view.group_capacity(request.group).max(endpoint_capacity);
        let throughput = &mut self.replica_sets[request.group].throughput;
        throughput.record_answer(self.throughput_ticks, needs_primary, endpoint_capacity, group_capacity);
    }

    /// Guards against overload that no router can detect by itself: adjusts the group's admission ratio (departure 18
    /// of docs/design.md).
    fn update_admission(&mut self, now: f64, request: &TrackedRequest, result: &AttemptResult, latency: f64) {
        let slo_time = self.classes.get(request.class).settings().slo_time;
        if result.outcome == AttemptOutcome::Completed {
            self.latency_pressure.record(latency / slo_time);
        }
        let indicates_load = match result.outcome {
            AttemptOutcome::Completed | AttemptOutcome::Refused => true,
            // A time-out indicates load only if completed attempts take long too; otherwise an answer was lost.
            AttemptOutcome::TimedOut => self.latency_pressure.is_high(),
            _ => false,
        };
        let is_late = result.outcome == AttemptOutcome::Refused || result.elapsed.min(latency) > slo_time;
        let group = self.endpoints[EndpointId::new(result.endpoint)].group();
        self.throttled_or_active.insert(group);
        let group = &mut self.replica_sets[group];
        let since_result = group.record_result(now);
        if indicates_load && !self.stall_detector.has_stalled_since(request.sent_at) {
            group.admit_ratio.record(since_result, is_late);
        }
    }

    /// Adjusts the concurrency limit of the endpoint, and ejects it if its connections fail (departures 1, 5 and 7 of
    /// docs/design.md).
    fn update_endpoint(&mut self, now: f64, request: &TrackedRequest, result: &AttemptResult, latency: f64) {
        let id = EndpointId::new(result.endpoint);
        let slo_time = self.classes.get(request.class).settings().slo_time;
        let has_stalled = self.stall_detector.has_stalled_since(request.sent_at);
        let endpoint = &mut self.endpoints[id];
        let seconds_since_answer = now - endpoint.last_answer_at();
        let has_answered_others = endpoint.last_answer_at() > request.sent_at;
        let relative_latency = (!has_stalled).then_some(latency / slo_time);
        let observation = endpoint.limit.observe(seconds_since_answer, relative_latency, self.config.routers);
        match result.outcome {
            AttemptOutcome::Completed => {
                endpoint.record_answer(now);
                self.record_success_at(id, &observation);
            }
            AttemptOutcome::Error => {
                endpoint.record_answer(now);
                endpoint.limit.record_failure(&observation);
            }
            AttemptOutcome::Refused => {
                endpoint.record_answer(now);
                endpoint.limit.record_full(now, &observation);
            }
            AttemptOutcome::WrongEndpoint | AttemptOutcome::ReadOnly => endpoint.record_answer(now),
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
                endpoint.outlier.record_no_answer();
                if has_answered_others {
                    endpoint.limit.record_isolated_time_out(&observation);
                } else {
                    endpoint.limit.record_failure(&observation);
                }
            }
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => {
                if outlier::failed_connection_ejects(seconds_since_answer) {
                    self.eject(now, id, true);
                }
            }
            AttemptOutcome::NeverSent => {}
        }
    }

    /// Applies a completed attempt to its endpoint: ends an ejection and adjusts the concurrency limit.
    fn record_success_at(&mut self, id: EndpointId, observation: &Observation) {
        let endpoint = &mut self.endpoints[id];
        if endpoint.outlier.readmit() {
            endpoint.limit.begin_recovery();
        }
        // Reads may use only a fraction of the primary's limit, so the limit counts as used up once they fill that
        // fraction.
        let is_primary = self.replica_sets[endpoint.group()].tracker.is_primary(id);
        let fraction = if is_primary { PRIMARY_READ_FRACTION } else { 1.0 };
        endpoint.limit.record_success(observation, fraction);
    }

    /// Updates the expected latency of the class and its fraction of all recent work.
    fn update_class(&mut self, request: &TrackedRequest, result: &AttemptResult, latency: f64) {
        let has_stalled = self.stall_detector.has_stalled_since(request.sent_at);
        let class = self.classes.get_mut(request.class);
        if result.outcome == AttemptOutcome::Completed {
            class.record_work(Some(latency));
            if !has_stalled {
                class.record_latency(latency);
            }
        } else if !result.outcome.had_no_effect() {
            class.record_work(None);
        }
    }
}
