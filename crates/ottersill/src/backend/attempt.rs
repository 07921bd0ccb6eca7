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
    pub fn start_attempt(&mut self, request_id: usize, host: usize, time_out: f64) {
        let Some(request) = self.requests.get(request_id) else { return };
        self.counters.check_invariant(
            request.phase == RequestPhase::Waiting,
            "a statement has one execution out at a time",
        );
        let until = if time_out > 0.0 { request.deadline.min(self.now + time_out) } else { request.deadline };
        let client = request.client;
        // Seen in this turn, it is looked at again as the bytes go (`send`).
        let last_read_at = self.clients.get(client).map_or(0.0, |client| client.last_read_at);
        if last_read_at < self.now && !self.client_still_waits(request_id, client) {
            return self.report_attempt(request_id, host, AttemptOutcome::NeverSent, 0.0, &Reply::default());
        }
        if !self.acquire_attempt_quota(request_id, host) {
            self.counters.fleet_quota_refusals += 1;
            return self.report_attempt(request_id, host, AttemptOutcome::NeverSent, 0.0, &Reply::default());
        }
        self.counters.attempts += 1;
        match self.assign_to_endpoint(host, Assignment::Request(request_id), until) {
            Ok(line) => {
                self.requests.transition(request_id, RequestPhase::Executing(line), &mut self.counters)
            }
            Err(ending) => {
                self.release_attempt_quota(host, true);
                self.report_attempt(request_id, host, ending, 0.0, &Reply::default());
            }
        }
    }

    pub fn start_health_check(&mut self, host: usize) {
        if !self.acquire_quota(BudgetKind::HealthChecks) {
            self.counters.fleet_quota_refusals += 1;
            return self.report_health_check(host, AttemptOutcome::NeverSent, LoadReport::default());
        }
        self.counters.health_checks += 1;
        // The settings name no other time after which a host counts as not there.
        if let Err(ending) =
            self.assign_to_endpoint(host, Assignment::HealthCheck, self.now + self.timeouts.connect)
        {
            self.report_health_check(host, ending, LoadReport::default());
        }
    }

    /// Writes the line's load. The clock is read here, and the client looked at last: the turn may have been held up since it
    /// began.
    pub(crate) fn send_assignment(&mut self, id: usize) {
        let time = self.clock.now();
        let line = &mut self.backends[id];
        line.reply = Reply::default();
        line.time_left_sent_at = time;
        let until = line.deadline;
        match line.assignment {
            Some(Assignment::Request(request_id)) => {
                if let Some(request) = self.requests.get(request_id) {
                    request.text.write_to(advertised_time_left(until - time), &mut line.outbox);
                }
            }
            Some(Assignment::HealthCheck) => line.outbox.push(frame::SHOW_HEALTH.clone()),
            None => {}
        }
        self.set_backend_state(id, ConnectionState::Sending, until);
        let wanted = time < until && !self.client_has_ended(id);
        if !wanted || !self.flush_backend(id) {
            // Ended from there, where nothing else is in hand.
            self.wake(Source::Backend(id));
        }
    }

    /// Whether the client whose statement the line carries has ended its connection.
    fn client_has_ended(&self, id: usize) -> bool {
        let Some(Assignment::Request(request_id)) = self.backends[id].assignment else { return false };
        let client = self.requests.get(request_id).and_then(|request| self.clients.get(request.client));
        client.is_none_or(|client| socket::has_ended(&client.socket))
    }

    /// Brings the time left that a partly written statement tells up to date; false if what it tells has gone out and is out of
    /// date, or can't be changed.
    pub(crate) fn refresh_deadline(&mut self, id: usize) -> bool {
        let time = self.clock.now();
        let line = &mut self.backends[id];
        let Some(Assignment::Request(request_id)) = line.assignment else { return true };
        let Some(request) = self.requests.get(request_id) else { return false };
        if request.text.update_time_left(advertised_time_left(line.deadline - time), &mut line.outbox) {
            line.time_left_sent_at = time;
        }
        time - line.time_left_sent_at <= DEADLINE_MARGIN
    }

    /// False if the connection broke.
    pub(crate) fn flush_backend(&mut self, id: usize) -> bool {
        let line = &mut self.backends[id];
        let flushed = line.outbox.flush(&line.socket);
        let until = line.deadline;
        if line.state == ConnectionState::Sending && matches!(flushed, Ok(true)) {
            self.set_backend_state(id, ConnectionState::Sent, until);
        }
        flushed.is_ok()
    }

    /// A last look at the client before an execution of its statement begins: one that has closed its connection waits no
    /// more, though its turn to be read may not have come.
    fn client_still_waits(&mut self, request_id: usize, client: usize) -> bool {
        self.close_client_if_ended(client);
        self.requests
            .get(request_id)
            .is_some_and(|request| !matches!(request.phase, RequestPhase::Abandoned(_)))
    }

    /// Whether what a line was opened for may go out now that it is up: it was chosen some time ago.
    pub(crate) fn may_still_send(&mut self, id: usize) -> bool {
        let line = &self.backends[id];
        let (host, until) = (line.endpoint, line.deadline);
        match line.assignment {
            Some(Assignment::Request(request_id)) => {
                let client = self.requests.get(request_id).map(|request| request.client);
                self.clock.now() < until
                    && client.is_some_and(|client| self.client_still_waits(request_id, client))
                    && self.facade.may_begin(self.now, request_id, host)
            }
            Some(Assignment::HealthCheck) => self.facade.may_probe(host),
            None => false,
        }
    }

    /// Takes back what has not gone out to hosts that may get nothing new by now.
    pub fn withdraw_disallowed(&mut self) {
        let waits = |line: &BackendConnection| {
            matches!(line.state, ConnectionState::Dialing | ConnectionState::Greeting)
        };
        let told = |line: &BackendConnection| match line.assignment {
            Some(Assignment::Request(request_id)) => {
                !self.facade.may_begin(self.now, request_id, line.endpoint)
            }
            Some(Assignment::HealthCheck) => !self.facade.may_probe(line.endpoint),
            None => false,
        };
        let back = self.backends.iter().filter(|(_, line)| waits(line) && told(line)).map(|(id, _)| id);
        let back: Vec<usize> = back.collect();
        for id in back {
            self.withdraw(id);
        }
    }

    /// Stops waiting for what the line carries, which closes it: it may still be running there.
    pub(crate) fn abandon_backend(&mut self, id: usize, late: AttemptOutcome) {
        let line = &mut self.backends[id];
        let (host, load, since) = (line.endpoint, line.assignment.take(), line.assigned_at);
        let ending = line.state.given_up(late);
        self.close_backend(id);
        self.finish_assignment(load, host, since, ending, Reply::default());
    }

    pub fn cancel_attempt(&mut self, request_id: usize) {
        if let Some(RequestPhase::Executing(line)) =
            self.requests.get(request_id).map(|request| request.phase)
        {
            if !self.withdraw(line) {
                self.abandon_backend(line, AttemptOutcome::Cancelled);
            }
        }
    }

    /// Takes off a line what has not gone out whole; false if that has.
    pub fn withdraw(&mut self, id: usize) -> bool {
        let line = &mut self.backends[id];
        match line.state {
            ConnectionState::Dialing | ConnectionState::Greeting => {
                let (host, load, since) = (line.endpoint, line.assignment.take(), line.assigned_at);
                line.deadline = f64::INFINITY;
                self.finish_assignment(load, host, since, AttemptOutcome::NeverSent, Reply::default());
                true
            }
            // A part may be out: the rest of it, sent later, would be an execution for nobody.
            ConnectionState::Sending => {
                self.abandon_backend(id, AttemptOutcome::NeverSent);
                true
            }
            _ => false,
        }
    }
}
