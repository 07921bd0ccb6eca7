//! Attempts and health checks: begun, sent, cancelled, given up.

use ottersill_config::fleet::BudgetKind;
use ottersill_routing::interface::{AttemptOutcome, LoadReport};

use crate::backend::connection::{Assignment, BackendConnection, ConnectionState};
use crate::backend::reply::Reply;
use crate::event_loop::EventLoop;
use crate::in_flight::RequestPhase;
use crate::protocol::frame;
use crate::protocol::socket;
use crate::protocol::statement_text::DEADLINE_MARGIN;
use crate::protocol::statement_text::advertised_time_left;
use crate::reactor::Source;

impl EventLoop {
    /// Sends a request that waits to an endpoint, as the routing module has decided. `timeout` is in seconds; 0 for none but the
    /// request's own.
    pub fn start_attempt(&mut self, request_id: usize, endpoint: usize, timeout: f64) {
        let Some(request) = self.requests.get(request_id) else { return };
        self.counters.check_invariant(
            request.phase == RequestPhase::Waiting,
            "a request has one attempt in flight at a time",
        );
        let deadline =
            if timeout > 0.0 { request.deadline.min(self.clock.now() + timeout) } else { request.deadline };
        let client = request.client;
        // If it was read in this iteration, it is looked at as the bytes go (`send_assignment`).
        let last_read_at = self.clients.get(client).map_or(0.0, |client| client.last_read_at);
        if last_read_at < self.clock.now() && !self.client_still_waits(request_id, client) {
            return self.report_attempt(
                request_id,
                endpoint,
                AttemptOutcome::NeverSent,
                0.0,
                &Reply::default(),
            );
        }
        if !self.acquire_attempt_quota(request_id, endpoint) {
            self.counters.fleet_quota_refusals += 1;
            return self.report_attempt(
                request_id,
                endpoint,
                AttemptOutcome::NeverSent,
                0.0,
                &Reply::default(),
            );
        }
        self.counters.attempts += 1;
        match self.assign_to_endpoint(endpoint, Assignment::Request(request_id), deadline) {
            Ok(connection) => {
                self.requests.transition(request_id, RequestPhase::Executing(connection), &mut self.counters);
            }
            Err(outcome) => {
                self.release_attempt_quota(endpoint, true);
                self.report_attempt(request_id, endpoint, outcome, 0.0, &Reply::default());
            }
        }
    }

    /// Begins a health check of an endpoint.
    pub fn start_health_check(&mut self, endpoint: usize) {
        if !self.acquire_quota(BudgetKind::HealthChecks) {
            self.counters.fleet_quota_refusals += 1;
            return self.report_health_check(endpoint, AttemptOutcome::NeverSent, LoadReport::default());
        }
        self.counters.health_checks += 1;
        // The settings name no other time after which an endpoint counts as unreachable.
        if let Err(outcome) = self.assign_to_endpoint(
            endpoint,
            Assignment::HealthCheck,
            self.clock.now() + self.timeouts.connect,
        ) {
            self.report_health_check(endpoint, outcome, LoadReport::default());
        }
    }

    /// Writes the connection's assignment. The clock is read here, and the client looked at last: the iteration may have been held up since it
    /// began.
    pub(crate) fn send_assignment(&mut self, id: usize) {
        let time = self.clock.read();
        let connection = &mut self.backends[id];
        connection.reply = Reply::default();
        connection.time_left_sent_at = time;
        let deadline = connection.deadline;
        match connection.assignment {
            Some(Assignment::Request(request_id)) => {
                if let Some(request) = self.requests.get(request_id) {
                    request.text.write_to(advertised_time_left(deadline - time), &mut connection.outbox);
                }
            }
            Some(Assignment::HealthCheck) => connection.outbox.push(frame::SHOW_HEALTH.clone()),
            None => {}
        }
        self.set_backend_state(id, ConnectionState::Sending, deadline);
        let wanted = time < deadline && !self.client_has_ended(id);
        if !wanted || !self.flush_backend(id) {
            // Ended from there, where nothing else is in hand.
            self.wake(Source::Backend(id));
        }
    }

    /// Whether the client whose statement the connection carries has ended its connection.
    fn client_has_ended(&self, id: usize) -> bool {
        let Some(Assignment::Request(request_id)) = self.backends[id].assignment else { return false };
        let client = self.requests.get(request_id).and_then(|request| self.clients.get(request.client));
        client.is_none_or(|client| socket::has_ended(&client.socket))
    }

    /// Updates the time left in a partly written statement; false if it is out of date and can't be changed any more.
    pub(crate) fn refresh_deadline(&mut self, id: usize) -> bool {
        let time = self.clock.read();
        let connection = &mut self.backends[id];
        let Some(Assignment::Request(request_id)) = connection.assignment else { return true };
        let Some(request) = self.requests.get(request_id) else { return false };
        if request
            .text
            .update_time_left(advertised_time_left(connection.deadline - time), &mut connection.outbox)
        {
            connection.time_left_sent_at = time;
        }
        time - connection.time_left_sent_at <= DEADLINE_MARGIN
    }

    /// Writes what the socket takes; false if the connection broke.
    pub(crate) fn flush_backend(&mut self, id: usize) -> bool {
        let connection = &mut self.backends[id];
        let flushed = connection.outbox.flush(&connection.socket);
        let deadline = connection.deadline;
        if connection.state == ConnectionState::Sending && matches!(flushed, Ok(true)) {
            self.set_backend_state(id, ConnectionState::Sent, deadline);
        }
        flushed.is_ok()
    }

    /// Whether the client still waits. Guards against attempts for a client that has closed its connection, which may not have
    /// been read yet.
    fn client_still_waits(&mut self, request_id: usize, client: usize) -> bool {
        self.close_client_if_ended(client);
        self.requests
            .get(request_id)
            .is_some_and(|request| !matches!(request.phase, RequestPhase::Abandoned(_)))
    }

    /// Whether what a connection was opened for may go out now that it is up: it was chosen some time ago.
    pub(crate) fn may_still_send(&mut self, id: usize) -> bool {
        let connection = &self.backends[id];
        let (endpoint, deadline) = (connection.endpoint, connection.deadline);
        match connection.assignment {
            Some(Assignment::Request(request_id)) => {
                let client = self.requests.get(request_id).map(|request| request.client);
                self.clock.read() < deadline
                    && client.is_some_and(|client| self.client_still_waits(request_id, client))
                    && self.facade.may_begin(self.clock.now(), request_id, endpoint)
            }
            Some(Assignment::HealthCheck) => self.facade.may_check_health(endpoint),
            None => false,
        }
    }

    /// Withdraws what has not gone out yet to endpoints that may get nothing new by now.
    pub fn withdraw_disallowed(&mut self) {
        let waits = |connection: &BackendConnection| {
            matches!(connection.state, ConnectionState::Dialing | ConnectionState::Greeting)
        };
        let is_disallowed = |connection: &BackendConnection| match connection.assignment {
            Some(Assignment::Request(request_id)) => {
                !self.facade.may_begin(self.clock.now(), request_id, connection.endpoint)
            }
            Some(Assignment::HealthCheck) => !self.facade.may_check_health(connection.endpoint),
            None => false,
        };
        let back = self
            .backends
            .iter()
            .filter(|(_, connection)| waits(connection) && is_disallowed(connection))
            .map(|(id, _)| id);
        let back: Vec<usize> = back.collect();
        for id in back {
            self.withdraw(id);
        }
    }

    /// Stops waiting for what the connection carries, which closes it: it may still be running there.
    pub(crate) fn abandon_backend(&mut self, id: usize, late: AttemptOutcome) {
        let connection = &mut self.backends[id];
        let (endpoint, assignment, assigned_at) =
            (connection.endpoint, connection.assignment.take(), connection.assigned_at);
        let outcome = connection.state.given_up(late);
        self.close_backend(id);
        self.finish_assignment(assignment, endpoint, assigned_at, outcome, Reply::default());
    }

    /// Cancels the attempt of a request, so that it can be retried.
    pub fn cancel_attempt(&mut self, request_id: usize) {
        if let Some(RequestPhase::Executing(connection)) =
            self.requests.get(request_id).map(|request| request.phase)
        {
            if !self.withdraw(connection) {
                self.abandon_backend(connection, AttemptOutcome::Cancelled);
            }
        }
    }

    /// Withdraws from a connection what has not gone out whole; false if that has.
    pub fn withdraw(&mut self, id: usize) -> bool {
        let connection = &mut self.backends[id];
        match connection.state {
            ConnectionState::Dialing | ConnectionState::Greeting => {
                let (endpoint, assignment, assigned_at) =
                    (connection.endpoint, connection.assignment.take(), connection.assigned_at);
                connection.deadline = f64::INFINITY;
                self.finish_assignment(
                    assignment,
                    endpoint,
                    assigned_at,
                    AttemptOutcome::NeverSent,
                    Reply::default(),
                );
                true
            }
            // A part may be out: the rest of it, sent later, would be an attempt for nobody.
            ConnectionState::Sending => {
                self.abandon_backend(id, AttemptOutcome::NeverSent);
                true
            }
            _ => false,
        }
    }
}
