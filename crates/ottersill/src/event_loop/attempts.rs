//! The event loop's handling of attempts and health checks: starts them as the routing module has decided, sends them,
//! withdraws them.

use ottersill_config::fleet::BudgetKind;
use ottersill_routing::facade::RoutingEvent;
use ottersill_routing::fair_queue::URGENT_SHARE;
use ottersill_routing::interface::{AttemptOutcome, LoadReport};

use crate::backend::connection::{Assignment, BackendConnection, ConnectionState};
use crate::backend::reply::Reply;
use crate::backend::{BackendEvent, Synchronization};
use crate::event_loop::EventLoop;
use crate::in_flight::RequestPhase;
use crate::protocol::socket;
use crate::reactor::Source;

impl EventLoop {
    /// Starts an attempt of a waiting request at an endpoint, as the routing module has decided. `timeout` is in seconds; with 0
    /// only the request's own deadline applies.
    pub(super) fn start_attempt(&mut self, request_id: usize, endpoint: usize, timeout: f64) {
        let Some(request) = self.requests.get(request_id) else { return };
        self.context.counters.check_invariant(
            request.phase == RequestPhase::Waiting,
            "a request has one attempt in flight at a time",
        );
        let now = self.context.now();
        let deadline = if timeout > 0.0 { request.deadline.min(now + timeout) } else { request.deadline };
        if !self.client_is_known_to_wait(request_id) {
            return self.report_unsent_attempt(request_id, endpoint, AttemptOutcome::NeverSent);
        }
        if !self.acquire_attempt_quota(request_id, endpoint) {
            self.context.counters.fleet_quota_refusals += 1;
            return self.report_unsent_attempt(request_id, endpoint, AttemptOutcome::NeverSent);
        }
        self.context.counters.attempts += 1;
        match self.assign_to_endpoint(endpoint, Assignment::Request(request_id), deadline) {
            Ok(connection) => {
                let next = RequestPhase::AttemptInFlight(connection);
                self.requests.transition(request_id, next, &mut self.context.counters);
            }
            Err(outcome) => {
                self.release_attempt_quota(endpoint, true);
                self.report_unsent_attempt(request_id, endpoint, outcome);
            }
        }
    }

    fn report_unsent_attempt(&mut self, request_id: usize, endpoint: usize, outcome: AttemptOutcome) {
        self.report_attempt(request_id, endpoint, outcome, 0.0, &Reply::default());
    }

    /// Starts a health check of an endpoint.
    pub(super) fn start_health_check(&mut self, endpoint: usize) {
        if !self.acquire_quota(BudgetKind::HealthChecks) {
            self.context.counters.fleet_quota_refusals += 1;
            return self.report_health_check(endpoint, AttemptOutcome::NeverSent, LoadReport::default());
        }
        self.context.counters.health_checks += 1;
        // The settings have no other timeout after which an endpoint is treated as unreachable.
        let usual_limit = self.backends.connect_timeout();
        let deadline = self.context.now() + self.facade.health_check_time_limit(endpoint, usual_limit);
        if let Err(outcome) = self.assign_to_endpoint(endpoint, Assignment::HealthCheck, deadline) {
            self.report_health_check(endpoint, outcome, LoadReport::default());
        }
    }

    /// Assigns an attempt or health check to the most recently used idle connection to that endpoint, or to a new connection.
    /// Returns the connection's number.
    fn assign_to_endpoint(
        &mut self,
        endpoint: usize,
        assignment: Assignment,
        deadline: f64,
    ) -> Result<usize, AttemptOutcome> {
        if let Some(id) = self.backends.take_idle(endpoint, &mut self.context) {
            self.backends.assign(id, assignment, deadline, &self.context);
            self.send_assignment(id);
            return Ok(id);
        }
        let address = self.endpoints[endpoint].address.ok_or(AttemptOutcome::ConnectFailed)?;
        self.check_may_connect(assignment)?;
        let task = (assignment, deadline);
        self.backends.open(endpoint, address, task, &mut self.endpoints, &mut self.context)
    }

    /// Checks that the limit on descriptors and the fleet's budget allow one more connection. Closes idle connections to make
    /// room.
    fn check_may_connect(&mut self, assignment: Assignment) -> Result<(), AttemptOutcome> {
        // Attempts leave one descriptor per endpoint for its health check, as without one its health stays unknown.
        let reserved = match assignment {
            Assignment::HealthCheck => 0,
            Assignment::Request(_) => self.descriptors_for_health_checks(),
        };
        let taken = self.connection_descriptors_in_use() + self.discovery.shared_descriptors();
        let has_room = taken + reserved < self.limits.total || self.free_descriptor();
        if !has_room {
            self.context.counters.attempts_without_descriptor += 1;
            return Err(AttemptOutcome::NeverSent);
        }
        if !self.acquire_quota(BudgetKind::NewConnections) {
            self.context.counters.fleet_quota_refusals += 1;
            return Err(AttemptOutcome::NeverSent);
        }
        Ok(())
    }

    /// Closes a connection that is not needed now, to free its descriptor. Returns false if there is none.
    pub(super) fn free_descriptor(&mut self) -> bool {
        self.clients.close_one_lingering(&mut self.context)
            || self.backends.close_longest_idle(&mut self.context)
            || self.discovery.close_spare_call(&mut self.context)
    }

    /// Returns how many descriptors client and backend connections hold, out of those that they share.
    pub(super) fn connection_descriptors_in_use(&self) -> usize {
        self.clients.descriptors_in_use() + self.backends.len()
    }

    /// Returns how many descriptors are left to health checks.
    pub(super) fn descriptors_for_health_checks(&self) -> usize {
        self.endpoints.len().min(self.limits.total / 4)
    }

    /// Writes the connection's assignment. Reads the clock anew, and checks last whether the client has disconnected, as the
    /// process may have stalled since the iteration began.
    fn send_assignment(&mut self, id: usize) {
        let time = self.context.clock.read();
        let deadline = self.backends.write_assignment(id, time, &self.requests, &mut self.context);
        let is_wanted = time < deadline && !self.client_has_ended(id);
        if !is_wanted || !self.backends.flush(id, &mut self.context) {
            // The wake-up handles the failure later, when no other event is being processed.
            self.context.wake(Source::Backend(id));
        }
    }

    /// Returns whether the client whose statement the connection carries has closed its own connection.
    fn client_has_ended(&self, id: usize) -> bool {
        let assignment = self.backends.get(id).and_then(|connection| connection.assignment);
        let Some(Assignment::Request(request_id)) = assignment else { return false };
        let client = self.requests.get(request_id).and_then(|request| self.clients.get(request.client));
        client.is_none_or(|client| socket::has_ended(&client.socket))
    }

    /// Returns whether the client still waits. Does not check a client that was read in this iteration, as
    /// [`send_assignment`](Self::send_assignment) checks it again when the bytes are written.
    fn client_is_known_to_wait(&mut self, request_id: usize) -> bool {
        let client = self.requests.get(request_id).and_then(|request| self.clients.get(request.client));
        let last_read_at = client.map_or(0.0, |client| client.last_read_at);
        last_read_at >= self.context.now() || self.client_still_waits(request_id)
    }

    /// Returns whether the client still waits. Guards against attempts for a client that has closed its connection, where the
    /// close has not been read yet.
    fn client_still_waits(&mut self, request_id: usize) -> bool {
        let Some(request) = self.requests.get(request_id) else { return false };
        self.close_client_if_ended(request.client);
        let request = self.requests.get(request_id);
        request.is_some_and(|request| !matches!(request.phase, RequestPhase::Abandoned(_)))
    }

    /// Handles readiness of a backend connection.
    pub fn on_backend_ready(&mut self, id: usize) {
        self.context.work.begin_share(URGENT_SHARE);
        if self.backends.is_sending(id) && !self.may_continue_sending(id) {
            // The last byte, from which on the endpoint may run the statement, would arrive too late.
            if self.backends.get(id).is_some() {
                self.withdraw(id);
            }
            return;
        }
        let Some(end) = self.backends.on_ready(id, &mut self.context) else { return };
        if self.handle_backend_events(id) {
            let finished = self.backends.end_transfer(id, &end, &mut self.endpoints, &mut self.context);
            finished.into_iter().for_each(|finished| self.finish_assignment(finished));
        }
    }

    /// Handles the messages read on a connection. Returns false if that closed the connection, or if some are left.
    fn handle_backend_events(&mut self, id: usize) -> bool {
        loop {
            match self.backends.next_event(id, &mut self.endpoints, &mut self.context) {
                BackendEvent::Up => self.on_backend_up(id),
                BackendEvent::Synchronized(synchronization) => self.on_synchronized(&synchronization),
                BackendEvent::Finished(finished) => self.finish_assignment(finished),
                BackendEvent::Closed(finished) => {
                    self.finish_assignment(finished);
                    return false;
                }
                BackendEvent::AllRead => return true,
                BackendEvent::ShareUsed => {
                    // The next read detects again whether the connection has ended.
                    self.context.wake(Source::Backend(id));
                    return false;
                }
                BackendEvent::Gone => return false,
            }
        }
    }

    /// Reports what an endpoint shows in the answer to the empty query ahead of an attempt, whose own answer may take long or never
    /// arrive. Ahead of a health check it is left to the health check, which is answered at once.
    fn on_synchronized(&mut self, synchronization: &Synchronization) {
        if synchronization.assignment != Some(Assignment::HealthCheck) {
            self.report(RoutingEvent::EndpointReported {
                endpoint: synchronization.endpoint,
                observed: synchronization.observed,
                report: synchronization.load_report,
            });
        }
    }

    /// Handles a completed connection startup: sends the assignment for which the connection was opened, unless it may no
    /// longer be sent.
    fn on_backend_up(&mut self, id: usize) {
        if self.may_still_send(id) {
            self.backends.become_ready_to_send(id, &mut self.context);
            self.send_assignment(id);
        } else {
            self.withdraw(id);
            self.backends.make_idle(id, &mut self.context);
        }
    }

    /// Handles the expired timer of a backend connection.
    pub(super) fn on_backend_timer(&mut self, id: usize) {
        let finished = self.backends.on_timer(id, &mut self.endpoints, &mut self.context);
        finished.into_iter().for_each(|finished| self.finish_assignment(finished));
    }

    /// Returns whether the rest of a partly written assignment may still be sent.
    fn may_continue_sending(&mut self, id: usize) -> bool {
        let time = self.context.clock.read();
        self.backends.refresh_deadline(id, time, &self.requests) && self.may_still_send(id)
    }

    /// Returns whether the connection's assignment may still be sent. The routing module chose the endpoint some time ago.
    fn may_still_send(&mut self, id: usize) -> bool {
        let Some(connection) = self.backends.get(id) else { return false };
        let (endpoint, deadline) = (connection.endpoint, connection.deadline);
        match connection.assignment {
            Some(Assignment::Request(request_id)) => {
                self.context.clock.read() < deadline
                    && self.client_still_waits(request_id)
                    && self.facade.may_send_attempt(self.context.now(), request_id, endpoint)
            }
            Some(Assignment::HealthCheck) => self.facade.may_send_health_check(endpoint),
            None => false,
        }
    }

    /// Withdraws unsent assignments from connections to endpoints that may no longer be sent anything new.
    pub(super) fn withdraw_disallowed(&mut self) {
        let is_unsent = |connection: &BackendConnection| {
            matches!(connection.state, ConnectionState::Dialing | ConnectionState::Greeting)
        };
        let is_disallowed = |connection: &BackendConnection| match connection.assignment {
            Some(Assignment::Request(request_id)) => {
                !self.facade.may_send_attempt(self.context.now(), request_id, connection.endpoint)
            }
            Some(Assignment::HealthCheck) => !self.facade.may_send_health_check(connection.endpoint),
            None => false,
        };
        let disallowed = self
            .backends
            .iter()
            .filter(|(_, connection)| is_unsent(connection) && is_disallowed(connection))
            .map(|(id, _)| id);
        let disallowed: Vec<usize> = disallowed.collect();
        for id in disallowed {
            self.withdraw(id);
        }
    }

    /// Withdraws a connection's assignment if it is not fully sent.
    pub(super) fn withdraw(&mut self, id: usize) {
        if let Some(finished) = self.backends.withdraw(id, &mut self.context) {
            self.finish_assignment(finished);
        }
    }

    /// Cancels the attempt of a request, so that the request can be retried.
    pub(super) fn cancel_attempt(&mut self, request_id: usize) {
        let phase = self.requests.get(request_id).map(|request| request.phase);
        if let Some(RequestPhase::AttemptInFlight(connection)) = phase {
            let finished = self.backends.cancel(connection, &mut self.context);
            self.finish_assignment(finished);
        }
    }
}
