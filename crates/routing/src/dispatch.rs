//! Dispatching requests: sends attempts, gives requests their final answers, and cancels attempts in order to retry
//! them.

use crate::clock::TICK_SECONDS;
use crate::eligibility::View;
use crate::ids::{EndpointId, GroupId, Id, RequestId};
use crate::interface::{Consistency, Effect, Transport};
use crate::request::{RequestState, TrackedRequest};
use crate::retry;
use crate::selection;
use crate::state::RouterState;

/// Seconds after which a client that is rejected within its SLO time may retry.
const RETRY_AFTER_SECONDS: f64 = 0.1;
/// Average number of client retries to expect after a client's first attempt is rejected.
const RETRIES_AFTER_FIRST_ATTEMPT: f64 = 1.0;
/// Average number of client retries to expect after a client's retry is rejected.
const RETRIES_AFTER_RETRY: f64 = 0.5;
/// Timeout of a trial of an ejected endpoint, as a fraction of the SLO time, so that another attempt elsewhere may
/// still be in time.
const TRIAL_TIMEOUT_FRACTION: f64 = 0.5;
/// Fraction of its time left after which a request that was never sent is rejected: waiting longer would cost its
/// client more than the answer may still be worth (departure 2 of docs/design.md).
const MAX_UNSENT_FRACTION: f64 = 0.5;

impl RouterState {
    /// Dispatches the requests that wait in a group, as far as endpoints accept them.
    pub(crate) fn dispatch_waiting(&mut self, now: f64, group: GroupId, transport: &mut impl Transport) {
        for request in self.requests.waiting(group).to_vec() {
            self.try_dispatch(now, request, transport);
        }
    }

    /// Dispatches the waiting requests of all groups, after the state of endpoints has changed.
    pub(crate) fn dispatch_all_waiting(&mut self, now: f64, transport: &mut impl Transport) {
        let waiting: Vec<GroupId> = self.requests.groups_waiting().collect();
        for group in waiting {
            self.work_counts.groups += 1;
            self.dispatch_waiting(now, group, transport);
        }
    }

    /// Sends an attempt of a waiting request if an endpoint accepts it, rejects the request if it is too late for an
    /// attempt, or leaves it waiting.
    pub(crate) fn try_dispatch(&mut self, now: f64, id: RequestId, transport: &mut impl Transport) {
        self.sampler.advance();
        let request = self.requests.get(id);
        if now >= dispatch_deadline(request, self.classes.get(request.class).effect()) {
            self.shed(now, id, transport);
            return;
        }
        let endpoint = selection::choose(View::new(now, self), self.requests.get(id));
        if let Some(endpoint) = endpoint {
            self.send(now, id, endpoint, transport);
        }
    }

    /// Sends an attempt; all attempts are sent here.
    fn send(&mut self, now: f64, id: RequestId, endpoint: EndpointId, transport: &mut impl Transport) {
        let request = *self.requests.get(id);
        let class = self.classes.get(request.class);
        let is_trial = self.endpoints[endpoint].outlier.is_ejected();
        let timeout = if is_trial { class.settings().slo_time * TRIAL_TIMEOUT_FRACTION } else { 0.0 };
        self.endpoints[endpoint].outlier.record_attempt(now);
        if request.possible_effect.is_some() {
            self.retries.withdraw();
        }
        if let Some(session) = self.remembered_session(&request) {
            self.watermarks.begin_write(request.group, session);
        }
        self.requests.get_mut(id).record_attempt(now, endpoint);
        self.transition(id, RequestState::InFlight(endpoint));
        transport.start_attempt(id.index(), endpoint.index(), timeout);
    }

    /// Returns the session of a write, if the router has to remember the writes of sessions.
    pub(crate) fn remembered_session(&self, request: &TrackedRequest) -> Option<u64> {
        let is_remembered = self.config.must_remember_writes && self.classes.get(request.class).is_write();
        request.session.filter(|_| is_remembered)
    }

    /// Sheds a request: gives it its final answer immediately, a rejection if its client may safely repeat it, else an
    /// abort.
    pub(crate) fn shed(&mut self, now: f64, id: RequestId, transport: &mut impl Transport) {
        let request = *self.requests.get(id);
        self.transition(id, RequestState::Free);
        let class = self.classes.get_mut(request.class);
        let is_first_attempt = request.weight > 0.0;
        let expected_retries =
            if is_first_attempt { RETRIES_AFTER_FIRST_ATTEMPT } else { RETRIES_AFTER_RETRY };
        class.client_retries().expect_retries(expected_retries);
        let settings = class.settings();
        if settings.bound().is_some() {
            self.demands.record_rejected_read(request.group, request.weight);
        }
        if !retry::client_may_repeat(settings.effect, request.possible_effect) {
            transport.abort(id.index());
            return;
        }
        let needs_primary = matches!(settings.consistency, Consistency::Primary | Consistency::Fresh);
        self.replica_sets[request.group].throughput.record_rejection(self.throughput_ticks, needs_primary);
        // A client that returns after its SLO time only adds load; before that, the sooner it returns the better.
        let is_late = now >= request.arrived_at + settings.slo_time;
        let max_retry_after = self.config.max_retry_after;
        let retry_after = if is_late { max_retry_after } else { max_retry_after.min(RETRY_AFTER_SECONDS) };
        transport.reject(id.index(), retry_after);
    }

    /// Returns whether a request may be retried after an attempt failed, by its present class: a `ReadOnly` answer
    /// reveals that the text writes, which also holds for earlier attempts that may have run.
    pub(crate) fn may_retry(&self, id: RequestId) -> bool {
        let request = self.requests.get(id);
        let effect = self.classes.get(request.class).effect();
        let may_have_run = request.possible_effect.is_some();
        // Guards against retries that feed the overload which caused them.
        let is_refused = may_have_run && (effect == Effect::NonIdempotent || !self.retries.is_available());
        !is_refused && request.attempts < self.config.max_attempts
    }

    /// Cancels reads at ejected endpoints that have stopped answering, at the last moment at which another endpoint can
    /// still answer in time (departure 6 of docs/design.md).
    pub(crate) fn cancel_stuck_reads(&mut self, now: f64, transport: &mut impl Transport) {
        let in_flight: Vec<RequestId> = self.requests.in_flight_ids().collect();
        for id in in_flight {
            self.work_counts.requests += 1;
            let request = self.requests.get(id);
            if let RequestState::InFlight(endpoint) = self.requests.state(id)
                && self.is_stuck(request, endpoint)
                && self.is_last_moment(now, request)
                && self.may_cancel_and_retry(request)
            {
                let attempt = request.attempts - 1;
                self.transition(id, RequestState::Cancelling(endpoint));
                transport.cancel_attempt(id.index(), attempt);
            }
        }
    }

    /// Returns whether the request's attempt is at an ejected endpoint that has answered nothing since the attempt was
    /// sent.
    fn is_stuck(&self, request: &TrackedRequest, endpoint: EndpointId) -> bool {
        let endpoint = &self.endpoints[endpoint];
        endpoint.outlier.is_ejected() && endpoint.last_answer_at() < request.sent_at
    }

    /// Returns whether another attempt sent now would be only just in time.
    fn is_last_moment(&self, now: f64, request: &TrackedRequest) -> bool {
        let estimate = self.classes.get(request.class).estimate(request.extra_work);
        now >= request.start_by - estimate && now < request.start_by
    }

    /// Returns whether the attempt may be cancelled and followed by another one.
    fn may_cancel_and_retry(&self, request: &TrackedRequest) -> bool {
        let may_repeat = self.classes.get(request.class).effect() == Effect::Idempotent;
        let has_attempts_left = request.attempts < self.config.max_attempts;
        self.config.may_cancel_attempts && has_attempts_left && may_repeat && self.retries.is_available()
    }
}

/// Time at which a waiting request gets its final answer: once an attempt would be too late or no longer safe or, if
/// none was sent, after half of its time, less one tick.
fn dispatch_deadline(request: &TrackedRequest, effect: Effect) -> f64 {
    if request.attempts > 0 {
        return request.start_by.min(retry::safe_until(effect, request.possible_effect));
    }
    let unsent_time = request.time_left * MAX_UNSENT_FRACTION - TICK_SECONDS;
    request.start_by.min(request.arrived_at + unsent_time)
}
