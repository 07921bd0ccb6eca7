//! The pool of backend connections: finds idle connections to an endpoint, opens and closes connections.

use std::net::SocketAddr;

use ottersill_routing::interface::AttemptOutcome;
use slog::info;

use crate::backend::connection::{Assignment, BackendConnection, ConnectionState};
use crate::backend::reply::Reply;
use crate::backend::{Backends, FinishedAssignment};
use crate::discovery::registry::EndpointRegistry;
use crate::protocol::frame;
use crate::protocol::read_buffer::{ReadBuffer, ReadOutcome};
use crate::protocol::socket;
use crate::protocol::socket::Outbox;
use crate::protocol::socket_failure::ConnectFailure;
use crate::reactor::{Context, Source};
use crate::timers::Timer;

impl Backends {
    /// Changes a connection's state, the only place that does so, and sets the timer of the time by which it has to change again.
    pub(super) fn set_state(
        &mut self,
        id: usize,
        next: ConnectionState,
        deadline: f64,
        context: &mut Context,
    ) {
        let connection = &mut self.table[id];
        context.counters.check_invariant(
            connection.state.may_become(next),
            "a backend connection changes its state only as ConnectionState::may_become allows",
        );
        connection.state = next;
        context.timers.clear(connection.timer.take());
        if next != ConnectionState::Closed {
            connection.timer = Some(context.timers.set(deadline, Timer::Backend(id)));
        }
    }

    /// Takes the most recently used idle connection to an endpoint out of the pool. Closes connections that the endpoint has
    /// closed, so that no attempt is sent on them. Also closes those whose idle time is over, as a router that was stalled
    /// handles requests before expired timers.
    pub fn take_idle(&mut self, endpoint: usize, context: &mut Context) -> Option<usize> {
        while let Some(id) = self.table.pop_idle(endpoint) {
            let idle_time = self.idle_time();
            let connection = &mut self.table[id];
            if connection.idle_since + idle_time <= context.now() {
                self.close(id, context);
                continue;
            }
            let read = connection.inbox.read(&connection.socket, frame::MAX_MESSAGE_BYTES);
            if matches!(read, Ok(ReadOutcome::Drained)) && connection.inbox.is_empty() {
                return Some(id);
            }
            context.counters.backend_connections_closed_by_endpoint += 1;
            self.close(id, context);
        }
        None
    }

    /// Starts to open a connection for an assignment. Returns the connection's number.
    ///
    /// # Errors
    /// If the connection can't be started: the outcome of the attempt or health check.
    pub fn open(
        &mut self,
        endpoint: usize,
        address: SocketAddr,
        (assignment, deadline): (Assignment, f64),
        endpoints: &mut EndpointRegistry,
        context: &mut Context,
    ) -> Result<usize, AttemptOutcome> {
        let id = self.table.next_id();
        let opened = socket::connect(address)
            .and_then(|socket| context.register(socket, Source::Backend(id)).map_err(ConnectFailure::Local));
        let (socket, token) =
            opened.map_err(|failure| self.on_connect_failed(endpoint, &failure, endpoints, context))?;
        let now = context.now();
        endpoints.record_connect_started(endpoint, now);
        context.counters.backend_connections_opened += 1;
        let connected_by = now + self.timeouts.connect;
        let timer = context.timers.set(deadline.min(connected_by), Timer::Backend(id));
        self.table.insert(BackendConnection {
            endpoint,
            state: ConnectionState::Dialing,
            assignment: Some(assignment),
            assigned_at: now,
            deadline,
            time_left_sent_at: now,
            is_synchronized: false,
            idle_since: now,
            socket,
            token,
            timer: Some(timer),
            inbox: ReadBuffer::default(),
            outbox: Outbox::default(),
            reply: Reply::default(),
        });
        Ok(id)
    }

    /// Records that a connection could not be started. Returns the outcome of its attempt or health check.
    fn on_connect_failed(
        &self,
        endpoint: usize,
        failure: &ConnectFailure,
        endpoints: &mut EndpointRegistry,
        context: &mut Context,
    ) -> AttemptOutcome {
        context.counters.backend_connections_failed += 1;
        log_connection_failure(endpoint, ConnectionState::Dialing, &failure.to_string(), endpoints, context);
        let counts =
            endpoints.record_connect_failure(endpoint, context.now(), self.timeouts.connect, failure);
        if counts { AttemptOutcome::ConnectFailed } else { AttemptOutcome::NeverSent }
    }

    /// Assigns an attempt or health check to a connection.
    pub fn assign(&mut self, id: usize, assignment: Assignment, deadline: f64, context: &Context) {
        let connection = &mut self.table[id];
        connection.assignment = Some(assignment);
        connection.assigned_at = context.now();
        connection.deadline = deadline;
    }

    /// Returns a connection to the pool, for the next assignment.
    pub fn make_idle(&mut self, id: usize, context: &mut Context) {
        self.set_state(id, ConnectionState::Idle, context.now() + self.idle_time(), context);
        let connection = &mut self.table[id];
        connection.idle_since = context.now();
        connection.inbox.release_messages();
        self.table.push_idle(id);
    }

    /// Returns how long an idle connection is kept, in seconds: half of what the endpoint allows, as a connection that both sides
    /// close at the same time would be a reset.
    fn idle_time(&self) -> f64 {
        self.timeouts.idle / 2.0
    }

    /// Closes a connection without an assignment.
    pub(super) fn close(&mut self, id: usize, context: &mut Context) {
        self.set_state(id, ConnectionState::Closed, f64::INFINITY, context);
        let connection = self.table.remove(id);
        context.deregister(connection.token);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle_of(&mut self, endpoint: usize, context: &mut Context) {
        while let Some(id) = self.table.pop_idle(endpoint) {
            self.close(id, context);
        }
    }

    /// Closes the connections to an endpoint that have no assignment, whether they are idle or not established yet.
    pub fn close_unassigned_of(&mut self, endpoint: usize, context: &mut Context) {
        self.close_idle_of(endpoint, context);
        if self.table.count_to(endpoint) > 0 {
            let to_endpoint = self.table.iter().filter(|(_, connection)| connection.endpoint == endpoint);
            let unassigned = to_endpoint.filter(|(_, connection)| connection.assignment.is_none());
            let unassigned: Vec<usize> = unassigned.map(|(id, _)| id).collect();
            unassigned.into_iter().for_each(|id| self.close(id, context));
        }
    }

    /// Returns the number of connections to an endpoint.
    pub fn count_to(&self, endpoint: usize) -> usize {
        self.table.count_to(endpoint)
    }

    /// Closes the connection that has been idle for longest, to make room for another. Returns false if none is idle.
    pub fn close_longest_idle(&mut self, context: &mut Context) -> bool {
        let oldest = self.table.longest_idle();
        if let Some(id) = oldest {
            self.close(id, context);
        }
        oldest.is_some()
    }

    /// Removes a connection's assignment, which has ended with that outcome.
    pub(super) fn take_assignment(&mut self, id: usize, outcome: AttemptOutcome) -> FinishedAssignment {
        let connection = &mut self.table[id];
        FinishedAssignment {
            assignment: connection.assignment.take(),
            endpoint: connection.endpoint,
            assigned_at: connection.assigned_at,
            outcome,
            reply: Reply::default(),
        }
    }
}

/// Logs a failed connection, with the number of failures since the last log line. An endpoint that is down can refuse
/// hundreds of connections per second, so there is at most one log line per second and endpoint.
pub fn log_connection_failure(
    endpoint: usize,
    state: ConnectionState,
    reason: &str,
    endpoints: &mut EndpointRegistry,
    context: &Context,
) {
    let endpoint = &mut endpoints[endpoint];
    if let Some(failures) = endpoint.connection_failures.admit(context.now()) {
        info!(context.log, "backend connection failed"; "endpoint" => endpoint.name.as_str(), "state" => format!("{state:?}"),
            "reason" => reason, "failures" => failures);
    }
}
