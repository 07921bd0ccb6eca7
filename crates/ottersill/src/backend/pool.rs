//! The pool of backend connections: finding an idle one to an endpoint, opening and closing them.

use bytes::BytesMut;
use ottersill_config::fleet::BudgetKind;
use ottersill_routing::interface::AttemptOutcome;
use slog::info;

use crate::backend::connection::Assignment;
use crate::backend::connection::BackendConnection;
use crate::backend::connection::ConnectionState;
use crate::backend::reply::Reply;
use crate::event_loop::EventLoop;
use crate::protocol::frame;
use crate::protocol::socket;
use crate::protocol::socket::Outbox;
use crate::protocol::socket::ReadOutcome;
use crate::protocol::socket_failure::ConnectFailure;
use crate::reactor::Source;
use crate::timers::Timer;

impl EventLoop {
    /// Every change of a line's course, with the time by which it has to change again.
    pub(crate) fn set_backend_state(&mut self, id: usize, next: ConnectionState, until: f64) {
        let line = &mut self.backends[id];
        self.counters.check_invariant(line.state.may_become(next), "a line goes its ways only");
        line.state = next;
        self.timers.clear(line.timer.take());
        if next != ConnectionState::Closed {
            line.timer = Some(self.timers.set(until, Timer::Backend(id)));
        }
    }

    /// Finds a line for the load, the last used first, or opens one.
    pub(crate) fn assign_to_endpoint(
        &mut self,
        host: usize,
        load: Assignment,
        until: f64,
    ) -> Result<usize, AttemptOutcome> {
        while let Some(id) = self.backends.pop_idle(host) {
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
        let id = self.backends.next_id();
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
    pub(crate) fn log_connection_failure(&mut self, host: usize, course: ConnectionState, why: &str) {
        let host = &mut self.endpoints.all[host];
        host.broken += 1;
        if self.now - host.logged_at >= 1.0 {
            info!(self.log, "connection broke"; "host" => host.name.as_str(), "course" => format!("{course:?}"),
                "why" => why, "since_last_line" => host.broken);
            (host.logged_at, host.broken) = (self.now, 0);
        }
    }

    pub(crate) fn set_assignment(&mut self, id: usize, load: Assignment, until: f64) {
        let line = &mut self.backends[id];
        (line.assignment, line.assigned_at, line.deadline) = (Some(load), self.now, until);
    }

    pub(crate) fn make_idle(&mut self, id: usize) {
        // Half of what the host allows: one that ends at both sides at once would be a reset.
        self.set_backend_state(id, ConnectionState::Idle, self.now + self.timeouts.idle / 2.0);
        let line = &mut self.backends[id];
        line.idle_since = self.now;
        if line.inbox.is_empty() {
            // What is left of it would hold on to all that was read with it.
            line.inbox = BytesMut::new();
        }
        self.backends.push_idle(id);
    }

    pub(crate) fn close_backend(&mut self, id: usize) {
        self.set_backend_state(id, ConnectionState::Closed, f64::INFINITY);
        let line = self.backends.remove(id);
        self.handle.remove(line.token);
    }

    pub fn close_idle_backends_of(&mut self, host: usize) {
        while let Some(id) = self.backends.pop_idle(host) {
            self.close_backend(id);
        }
    }

    /// Closes the line that has stood idle for longest, for the sake of another connection.
    pub fn close_longest_idle_backend(&mut self) -> bool {
        let oldest = self.backends.longest_idle();
        if let Some(id) = oldest {
            self.close_backend(id);
        }
        oldest.is_some()
    }
}
