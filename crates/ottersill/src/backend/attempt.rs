//! Hosts: the lines to them, and the executions and probes that these carry.

use bytes::BytesMut;
use ottersill_config::fleet::BudgetKind;
use ottersill_routing::facade::RoutingEvent;
use ottersill_routing::interface::{AttemptOutcome, LoadReport, Role};
use slog::info;

use crate::backend::connection::{Assignment, BackendConnection, ConnectionState};
use crate::backend::reply::Reply;
use crate::event_loop::EventLoop;
use crate::in_flight::RequestPhase;
use crate::protocol::frame;
use crate::protocol::socket::{self, Outbox, ReadOutcome};
use crate::protocol::socket_failure::ConnectFailure;
use crate::protocol::statement_text::{DEADLINE_MARGIN, advertised_time_left};
use crate::reactor::Source;
use crate::timers::Timer;

impl EventLoop {
    /// Every change of a line's course, with the time by which it has to change again.
    fn set_backend_state(&mut self, id: usize, next: ConnectionState, until: f64) {
        let line = &mut self.backends[id];
        self.counters.check_invariant(line.state.may_become(next), "a line goes its ways only");
        line.state = next;
        self.timers.clear(line.timer.take());
        if next != ConnectionState::Closed {
            line.timer = Some(self.timers.set(until, Timer::Backend(id)));
        }
    }

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

    /// Finds a line for the load, the last used first, or opens one.
    fn assign_to_endpoint(
        &mut self,
        host: usize,
        load: Assignment,
        until: f64,
    ) -> Result<usize, AttemptOutcome> {
        while let Some(id) = self.endpoints.all[host].idle.pop() {
            // A last look: what the host has ended must not be taken for a connection.
            let line = &mut self.backends[id];
            let dry = matches!(
                socket::read(&line.socket, &mut line.inbox, frame::MAX_MESSAGE_BYTES),
                Ok(ReadOutcome::Drained)
            );
            if !dry || !line.inbox.is_empty() {
                self.counters.backend_connections_closed_by_endpoint += 1;
                self.close_backend(id);
                continue;
            }
            self.set_assignment(id, load, until);
            self.send_assignment(id);
            return Ok(id);
        }
        let dial = self.endpoints.all[host].dial.ok_or(AttemptOutcome::ConnectFailed)?;
        // One for a probe of each host is kept back, as what can't be probed can't be judged.
        let kept_back = if load == Assignment::HealthCheck {
            0
        } else {
            self.endpoints.all.len().min(self.limits.total / 4)
        };
        let taken = self.clients.len().min(self.limits.clients) + self.backends.len();
        if taken + kept_back >= self.limits.total
            && !self.close_one_lingering()
            && !self.close_longest_idle_backend()
        {
            self.counters.attempts_without_descriptor += 1;
            return Err(AttemptOutcome::NeverSent);
        }
        if !self.acquire_quota(BudgetKind::NewConnections) {
            self.counters.fleet_quota_refusals += 1;
            return Err(AttemptOutcome::NeverSent);
        }
        let id = self.backends.vacant_key();
        let opened = socket::connect(dial)
            .and_then(|socket| self.register(socket, Source::Backend(id)).map_err(ConnectFailure::Local));
        let (socket, token) = opened.map_err(|failure| {
            self.counters.backend_connections_failed += 1;
            self.log_connection_failure(host, ConnectionState::Dialing, &failure.to_string());
            let blamed = self.endpoints.connect_failed(host, self.now, self.timeouts.connect, &failure);
            if blamed { AttemptOutcome::ConnectFailed } else { AttemptOutcome::NeverSent }
        })?;
        self.endpoints.connect_begun(host, self.now);
        self.counters.backend_connections_opened += 1;
        let up_by = self.now + self.timeouts.connect;
        let timer = Some(self.timers.set(until.min(up_by), Timer::Backend(id)));
        let (inbox, outbox, reply) = (BytesMut::new(), Outbox::default(), Reply::default());
        let state = ConnectionState::Dialing;
        let line = BackendConnection {
            endpoint: host,
            state,
            assignment: Some(load),
            assigned_at: self.now,
            deadline: until,
            time_left_sent_at: self.now,
            idle_since: self.now,
            socket,
            token,
            timer,
            inbox,
            outbox,
            reply,
        };
        self.backends.insert(line);
        Ok(id)
    }

    /// A host that is down refuses hundreds of connections a second: one line a second tells as much.
    fn log_connection_failure(&mut self, host: usize, course: ConnectionState, why: &str) {
        let host = &mut self.endpoints.all[host];
        host.broken += 1;
        if self.now - host.logged_at >= 1.0 {
            info!(self.log, "connection broke"; "host" => host.name.as_str(), "course" => format!("{course:?}"),
                "why" => why, "since_last_line" => host.broken);
            (host.logged_at, host.broken) = (self.now, 0);
        }
    }

    fn set_assignment(&mut self, id: usize, load: Assignment, until: f64) {
        let line = &mut self.backends[id];
        (line.assignment, line.assigned_at, line.deadline) = (Some(load), self.now, until);
    }

    /// Writes the line's load. The clock is read here, and the client looked at last: the turn may have been held up since it
    /// began.
    fn send_assignment(&mut self, id: usize) {
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
    fn refresh_deadline(&mut self, id: usize) -> bool {
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
    fn flush_backend(&mut self, id: usize) -> bool {
        let line = &mut self.backends[id];
        let flushed = line.outbox.flush(&line.socket);
        let until = line.deadline;
        if line.state == ConnectionState::Sending && matches!(flushed, Ok(true)) {
            self.set_backend_state(id, ConnectionState::Sent, until);
        }
        flushed.is_ok()
    }

    pub fn on_backend_ready(&mut self, id: usize) {
        let Some(line) = self.backends.get_mut(id) else { return };
        if line.state == ConnectionState::Dialing {
            match socket::is_connected(&line.socket) {
                Ok(false) => return,
                Ok(true) => {
                    line.outbox.push(frame::STARTUP.clone());
                    let until = line.deadline.min(line.assigned_at + self.timeouts.connect);
                    self.set_backend_state(id, ConnectionState::Greeting, until);
                }
                Err(fault) => return self.fail_backend(id, &fault.to_string()),
            }
        }
        let sending = self.backends[id].state == ConnectionState::Sending;
        if sending && !(self.refresh_deadline(id) && self.may_still_send(id)) {
            // Its last byte, by which an execution counts, would come too late.
            if self.backends.contains(id) {
                self.withdraw(id);
            }
            return;
        }
        let wrote = self.flush_backend(id);
        let line = &mut self.backends[id];
        // An answer that came before the break still counts.
        let got = socket::read(&line.socket, &mut line.inbox, frame::MAX_MESSAGE_BYTES);
        if !self.read_reply(id) {
            return;
        }
        match got {
            Ok(ReadOutcome::Drained) if wrote => {}
            Ok(ReadOutcome::MoreLeft) if wrote => self.wake(Source::Backend(id)),
            _ => self.fail_backend(id, "the host ended it"),
        }
    }

    /// Takes in what is there whole; false if that ended the line.
    fn read_reply(&mut self, id: usize) -> bool {
        while let Some(line) = self.backends.get_mut(id) {
            let taken = match frame::take_message(&mut line.inbox) {
                Ok(None) => return true,
                Ok(Some(message)) => line.reply.add(message),
                Err(nonsense) => Err(nonsense),
            };
            match (taken, line.state) {
                (Ok(false), ConnectionState::Idle) if line.reply.is_empty() => {}
                (Ok(false), ConnectionState::Greeting | ConnectionState::Sent) => {}
                (Ok(true), ConnectionState::Greeting) => self.on_connection_ready(id),
                (Ok(true), ConnectionState::Sent) => self.on_reply_complete(id),
                (Err(nonsense), _) => return self.on_protocol_error(id, nonsense),
                _ => return self.on_protocol_error(id, "an answer to nothing"),
            }
        }
        false
    }

    /// The host has said what is no answer: its connection is of no further use. What was sent may have run, but the
    /// host is there: taken for a broken connection, this would cost it its role.
    fn on_protocol_error(&mut self, id: usize, nonsense: &str) -> bool {
        self.counters.backend_protocol_errors += 1;
        let line = &mut self.backends[id];
        if line.state != ConnectionState::Sent {
            self.fail_backend(id, nonsense);
            return false;
        }
        let (host, load, since) = (line.endpoint, line.assignment.take(), line.assigned_at);
        self.log_connection_failure(host, ConnectionState::Sent, nonsense);
        self.close_backend(id);
        self.finish_assignment(load, host, since, AttemptOutcome::Error, Reply::default());
        false
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
    fn may_still_send(&mut self, id: usize) -> bool {
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

    /// The line is up: what it was opened for goes out, unless that is over by now.
    fn on_connection_ready(&mut self, id: usize) {
        if self.backends[id].reply.connection_refusal().is_some() {
            // ReadyForQuery after an error: nothing that a host of this protocol does.
            return self.fail_backend(id, "the host said no");
        }
        if !self.may_still_send(id) {
            self.withdraw(id);
            return self.make_idle(id);
        }
        let until = self.backends[id].deadline;
        self.set_backend_state(id, ConnectionState::Idle, until);
        self.send_assignment(id);
    }

    fn make_idle(&mut self, id: usize) {
        // Half of what the host allows: one that ends at both sides at once would be a reset.
        self.set_backend_state(id, ConnectionState::Idle, self.now + self.timeouts.idle / 2.0);
        let line = &mut self.backends[id];
        line.idle_since = self.now;
        if line.inbox.is_empty() {
            // What is left of it would hold on to all that was read with it.
            line.inbox = BytesMut::new();
        }
        self.endpoints.all[line.endpoint].idle.push(id);
    }

    /// The load has its answer; the line is kept.
    fn on_reply_complete(&mut self, id: usize) {
        let line = &mut self.backends[id];
        let (host, load, since) = (line.endpoint, line.assignment.take(), line.assigned_at);
        let reply = std::mem::take(&mut line.reply);
        self.make_idle(id);
        self.finish_assignment(load, host, since, reply.outcome(), reply);
    }

    /// ReportSource the end of what the line carried.
    fn finish_assignment(
        &mut self,
        load: Option<Assignment>,
        host: usize,
        since: f64,
        ending: AttemptOutcome,
        mut reply: Reply,
    ) {
        match load {
            Some(Assignment::Request(request_id)) => {
                let request = self.requests.get(request_id);
                let proved = !matches!(
                    ending,
                    AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::Reset
                );
                let ran = request.is_some() && !ending.had_no_effect() && ending != AttemptOutcome::Completed;
                let orphan = matches!(request.map(|request| request.phase), Some(RequestPhase::Abandoned(_)));
                if let Some(place) = request.and_then(|request| request.cache_key) {
                    let only_reads = reply.piggybacked.role == Some(Role::Replica);
                    match ending {
                        AttemptOutcome::Completed => {
                            self.fingerprints.record_completion(
                                self.now,
                                place,
                                host,
                                self.now - since,
                                only_reads,
                            );
                        }
                        AttemptOutcome::ReadOnly if only_reads => {
                            self.fingerprints.record_read_only_rejection(place)
                        }
                        _ => {}
                    }
                }
                self.release_attempt_quota(host, proved);
                if ran {
                    self.requests.note_may_have_run(request_id);
                }
                if orphan {
                    self.requests.transition(request_id, RequestPhase::Vacant, &mut self.counters);
                } else if ending == AttemptOutcome::Completed {
                    self.complete(request_id, reply.take_client_messages());
                } else {
                    self.requests.transition(request_id, RequestPhase::Waiting, &mut self.counters);
                }
                self.report_attempt(request_id, host, ending, self.now - since, &reply);
            }
            Some(Assignment::HealthCheck)
                if matches!(
                    ending,
                    AttemptOutcome::Completed | AttemptOutcome::Error | AttemptOutcome::Full
                ) =>
            {
                let (ending, report) = reply.health_check_result();
                self.report_health_check(host, ending, report);
            }
            Some(Assignment::HealthCheck) => self.report_health_check(host, ending, LoadReport::default()),
            None => {}
        }
    }

    /// The connection failed, broke, ended or talks nonsense.
    fn fail_backend(&mut self, id: usize, why: &str) {
        let line = &mut self.backends[id];
        let (host, load, since, course) =
            (line.endpoint, line.assignment.take(), line.assigned_at, line.state);
        let reply = std::mem::take(&mut line.reply);
        match course {
            ConnectionState::Dialing | ConnectionState::Greeting => {
                self.counters.backend_connections_failed += 1
            }
            ConnectionState::Idle => self.counters.backend_connections_closed_by_endpoint += 1,
            _ => {}
        }
        if course != ConnectionState::Idle {
            self.log_connection_failure(host, course, why);
        }
        let ending = match course {
            ConnectionState::Greeting => reply.connection_refusal().unwrap_or(AttemptOutcome::ConnectFailed),
            ConnectionState::Sent if reply.is_completed() => AttemptOutcome::Completed,
            course => course.broken(),
        };
        self.close_backend(id);
        self.finish_assignment(load, host, since, ending, reply);
    }

    pub fn on_backend_timer(&mut self, id: usize) {
        let Some(line) = self.backends.get_mut(id) else { return };
        line.timer = None;
        match line.state {
            ConnectionState::Idle => {
                self.counters.backend_connections_closed_idle += 1;
                line.outbox.push(frame::TERMINATE.clone());
                self.flush_backend(id);
                self.close_backend(id);
            }
            ConnectionState::Dialing | ConnectionState::Greeting
                if self.now < line.deadline || line.assignment == Some(Assignment::HealthCheck) =>
            {
                self.fail_backend(id, "not up in time");
            }
            _ => self.abandon_backend(id, AttemptOutcome::TimedOut),
        }
    }

    /// Stops waiting for what the line carries, which closes it: it may still be running there.
    fn abandon_backend(&mut self, id: usize, late: AttemptOutcome) {
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

    fn close_backend(&mut self, id: usize) {
        self.set_backend_state(id, ConnectionState::Closed, f64::INFINITY);
        let line = self.backends.remove(id);
        self.handle.remove(line.token);
        self.endpoints.all[line.endpoint].idle.retain(|idle| *idle != id);
    }

    pub fn close_idle_backends_of(&mut self, host: usize) {
        while let Some(id) = self.endpoints.all[host].idle.pop() {
            self.close_backend(id);
        }
    }

    /// Closes the line that has stood idle for longest, for the sake of another connection.
    pub fn close_longest_idle_backend(&mut self) -> bool {
        let oldest = self.endpoints.all.iter().filter_map(|host| host.idle.first().copied());
        let oldest =
            oldest.min_by(|a, b| self.backends[*a].idle_since.total_cmp(&self.backends[*b].idle_since));
        if let Some(id) = oldest {
            self.close_backend(id);
        }
        oldest.is_some()
    }

    fn report_attempt(
        &mut self,
        request_id: usize,
        host: usize,
        ending: AttemptOutcome,
        took: f64,
        reply: &Reply,
    ) {
        let counter = match ending {
            AttemptOutcome::Completed => &mut self.counters.attempts_completed,
            AttemptOutcome::Error => &mut self.counters.attempts_error,
            AttemptOutcome::Full => &mut self.counters.attempts_refused,
            AttemptOutcome::TimedOut => &mut self.counters.attempts_timed_out,
            AttemptOutcome::ConnectFailed => &mut self.counters.attempts_connect_failed,
            AttemptOutcome::Reset => &mut self.counters.attempts_connection_reset,
            AttemptOutcome::Cancelled => &mut self.counters.attempts_cancelled,
            AttemptOutcome::NeverSent => &mut self.counters.attempts_not_sent,
            AttemptOutcome::Miss => &mut self.counters.attempts_wrong_endpoint,
            AttemptOutcome::ReadOnly => &mut self.counters.attempts_read_only,
        };
        *counter += 1;
        self.report(RoutingEvent::AttemptEnded {
            stmt: request_id,
            host,
            ending,
            took,
            note: reply.piggybacked,
            report: reply.load_report,
        });
    }

    fn report_health_check(&mut self, host: usize, ending: AttemptOutcome, report: LoadReport) {
        self.counters.health_checks_failed += u64::from(ending != AttemptOutcome::Completed);
        self.report(RoutingEvent::HealthCheckEnded { host, ending, report });
    }
}
