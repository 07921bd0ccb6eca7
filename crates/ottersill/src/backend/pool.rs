//! The pool of backend connections: finding an idle one to an endpoint, opening and closing them.

use std::net::SocketAddr;

use bytes::BytesMut;
use ottersill_config::fleet::BudgetKind;
use ottersill_routing::interface::AttemptOutcome;
use slog::info;

use crate::backend::connection::{Assignment, BackendConnection, ConnectionState};
use crate::backend::reply::Reply;
use crate::event_loop::EventLoop;
use crate::protocol::frame;
use crate::protocol::socket;
use crate::protocol::socket::{Outbox, ReadOutcome};
use crate::protocol::socket_failure::ConnectFailure;
use crate::reactor::Source;
use crate::timers::Timer;

impl EventLoop {
    /// Every change of a connection's state, with the time by which it has to change again.
    pub(crate) fn set_backend_state(&mut self, id: usize, next: ConnectionState, deadline: f64) {
        let connection = &mut self.backends[id];
        self.counters.check_invariant(
            connection.state.may_become(next),
            "a backend connection changes its state as allowed",
        );
        connection.state = next;
        self.timers.clear(connection.timer.take());
        if next != ConnectionState::Closed {
            connection.timer = Some(self.timers.set(deadline, Timer::Backend(id)));
        }
    }

    /// Gives an assignment to an idle connection to that endpoint, the last used first, or to a new one.
    pub(crate) fn assign_to_endpoint(
        &mut self,
        endpoint: usize,
        assignment: Assignment,
        deadline: f64,
    ) -> Result<usize, AttemptOutcome> {
        if let Some(id) = self.take_idle_backend(endpoint) {
            self.set_assignment(id, assignment, deadline);
            self.send_assignment(id);
            return Ok(id);
        }
        let address = self.endpoints[endpoint].dial.ok_or(AttemptOutcome::ConnectFailed)?;
        self.check_may_connect(assignment)?;
        self.open_backend(endpoint, address, assignment, deadline)
    }

    /// The idle connection to an endpoint that was used last. Those that the endpoint has ended are closed: they must not be
    /// taken for connections.
    fn take_idle_backend(&mut self, endpoint: usize) -> Option<usize> {
        while let Some(id) = self.backends.pop_idle(endpoint) {
            let connection = &mut self.backends[id];
            let read = socket::read(&connection.socket, &mut connection.inbox, frame::MAX_MESSAGE_BYTES);
            if matches!(read, Ok(ReadOutcome::Drained)) && connection.inbox.is_empty() {
                return Some(id);
            }
            self.counters.backend_connections_closed_by_endpoint += 1;
            self.close_backend(id);
        }
        None
    }

    /// Whether one more connection may be opened, by the limit on descriptors and the fleet's budget. Idle connections are
    /// closed to make room.
    fn check_may_connect(&mut self, assignment: Assignment) -> Result<(), AttemptOutcome> {
        // One for a health check of each endpoint is kept back: an endpoint that can't be checked can't be judged.
        let reserved = match assignment {
            Assignment::HealthCheck => 0,
            Assignment::Request(_) => self.endpoints.len().min(self.limits.total / 4),
        };
        let taken = self.clients.len().min(self.limits.clients) + self.backends.len();
        let is_full = taken + reserved >= self.limits.total;
        if is_full && !self.close_one_lingering() && !self.close_longest_idle_backend() {
            self.counters.attempts_without_descriptor += 1;
            return Err(AttemptOutcome::NeverSent);
        }
        if !self.acquire_quota(BudgetKind::NewConnections) {
            self.counters.fleet_quota_refusals += 1;
            return Err(AttemptOutcome::NeverSent);
        }
        Ok(())
    }

    /// Opens a connection for an assignment.
    fn open_backend(
        &mut self,
        endpoint: usize,
        address: SocketAddr,
        assignment: Assignment,
        deadline: f64,
    ) -> Result<usize, AttemptOutcome> {
        let id = self.backends.next_id();
        let opened = socket::connect(address)
            .and_then(|socket| self.register(socket, Source::Backend(id)).map_err(ConnectFailure::Local));
        let (socket, token) = opened.map_err(|failure| self.on_connect_failed(endpoint, &failure))?;
        self.endpoints.connect_begun(endpoint, self.clock.now());
        self.counters.backend_connections_opened += 1;
        let connected_by = self.clock.now() + self.timeouts.connect;
        let timer = self.timers.set(deadline.min(connected_by), Timer::Backend(id));
        self.backends.insert(BackendConnection {
            endpoint,
            state: ConnectionState::Dialing,
            assignment: Some(assignment),
            assigned_at: self.clock.now(),
            deadline,
            time_left_sent_at: self.clock.now(),
            idle_since: self.clock.now(),
            socket,
            token,
            timer: Some(timer),
            inbox: BytesMut::new(),
            outbox: Outbox::default(),
            reply: Reply::default(),
        });
        Ok(id)
    }

    /// What a connection that could not even be begun means for its attempt.
    fn on_connect_failed(&mut self, endpoint: usize, failure: &ConnectFailure) -> AttemptOutcome {
        self.counters.backend_connections_failed += 1;
        self.log_connection_failure(endpoint, ConnectionState::Dialing, &failure.to_string());
        let counts =
            self.endpoints.connect_failed(endpoint, self.clock.now(), self.timeouts.connect, failure);
        if counts { AttemptOutcome::ConnectFailed } else { AttemptOutcome::NeverSent }
    }

    /// Logs a broken connection. An endpoint that is down refuses hundreds of connections a second: one log line a second
    /// tells as much.
    pub(crate) fn log_connection_failure(&mut self, endpoint: usize, state: ConnectionState, why: &str) {
        let endpoint = &mut self.endpoints[endpoint];
        endpoint.broken += 1;
        if self.clock.now() - endpoint.logged_at >= 1.0 {
            info!(self.log, "connection broke"; "host" => endpoint.name.as_str(), "course" => format!("{state:?}"),
                "why" => why, "since_last_line" => endpoint.broken);
            (endpoint.logged_at, endpoint.broken) = (self.clock.now(), 0);
        }
    }

    /// Gives a connection what it is to carry.
    pub(crate) fn set_assignment(&mut self, id: usize, assignment: Assignment, deadline: f64) {
        let connection = &mut self.backends[id];
        (connection.assignment, connection.assigned_at, connection.deadline) =
            (Some(assignment), self.clock.now(), deadline);
    }

    /// Keeps a connection for the next assignment.
    pub(crate) fn make_idle(&mut self, id: usize) {
        // Half of what the endpoint allows: one that ends at both sides at once would be a reset.
        self.set_backend_state(id, ConnectionState::Idle, self.clock.now() + self.timeouts.idle / 2.0);
        let connection = &mut self.backends[id];
        connection.idle_since = self.clock.now();
        if connection.inbox.is_empty() {
            // What is left of it would hold on to all that was read with it.
            connection.inbox = BytesMut::new();
        }
        self.backends.push_idle(id);
    }

    /// Closes a connection that carries nothing.
    pub(crate) fn close_backend(&mut self, id: usize) {
        self.set_backend_state(id, ConnectionState::Closed, f64::INFINITY);
        let connection = self.backends.remove(id);
        self.handle.remove(connection.token);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle_backends_of(&mut self, endpoint: usize) {
        while let Some(id) = self.backends.pop_idle(endpoint) {
            self.close_backend(id);
        }
    }

    /// Closes the connections to an endpoint that carry nothing, idle or not up yet.
    pub fn close_unassigned_backends_of(&mut self, endpoint: usize) {
        self.close_idle_backends_of(endpoint);
        if self.backends.count_to(endpoint) > 0 {
            let to_endpoint = self.backends.iter().filter(|(_, connection)| connection.endpoint == endpoint);
            let unassigned = to_endpoint.filter(|(_, connection)| connection.assignment.is_none());
            let unassigned: Vec<usize> = unassigned.map(|(id, _)| id).collect();
            unassigned.into_iter().for_each(|id| self.close_backend(id));
        }
    }

    /// Closes the connection that has been idle for longest, to make room for another; false if none is idle.
    pub fn close_longest_idle_backend(&mut self) -> bool {
        let oldest = self.backends.longest_idle();
        if let Some(id) = oldest {
            self.close_backend(id);
        }
        oldest.is_some()
    }
}
