//! Handles ready backend connections and their expired timers: startup, received answers, failures.

use std::io;
use std::mem;

use ottersill_routing::interface::AttemptOutcome;

use crate::backend::connection::{Assignment, ConnectionState, ExpectedReply};
use crate::backend::pool::log_connection_failure;
use crate::backend::{BackendEvent, Backends, FinishedAssignment, Synchronization, TransferEnd};
use crate::discovery::registry::EndpointRegistry;
use crate::protocol::frame;
use crate::protocol::frame::ProtocolError;
use crate::protocol::read_buffer::ReadOutcome;
use crate::protocol::socket;
use crate::reactor::{Context, Source};
use crate::timers::Timer;

/// How late a timer may be handled without the router counting as late itself.
const TIMER_TOLERANCE_SECONDS: f64 = 0.02;

impl Backends {
    /// Handles readiness of a connection: continues its startup, writes and reads. Returns `None` if the connection is not
    /// established yet, or no longer exists.
    #[must_use]
    pub fn on_ready(&mut self, id: usize, context: &mut Context) -> Option<TransferEnd> {
        if self.table.get(id)?.state == ConnectionState::Dialing {
            match self.on_dialed(id, context) {
                Ok(true) => {}
                Ok(false) => return None,
                Err(fault) => return Some(TransferEnd::ConnectFailed(fault)),
            }
        }
        let wrote = self.flush(id, context);
        let connection = &mut self.table[id];
        // Reads even if the write failed: an answer that arrived before the failure still counts.
        let read = connection.inbox.read(&connection.socket, frame::MAX_MESSAGE_BYTES);
        Some(match read {
            Ok(ReadOutcome::Drained) if wrote => TransferEnd::Drained,
            Ok(ReadOutcome::MoreToRead) if wrote => TransferEnd::MoreToRead,
            _ => TransferEnd::Broken,
        })
    }

    /// Starts the startup handshake once the TCP connection is established. Returns false if it is not established yet.
    fn on_dialed(&mut self, id: usize, context: &mut Context) -> io::Result<bool> {
        let connection = &mut self.table[id];
        if !socket::is_connected(&connection.socket)? {
            return Ok(false);
        }
        connection.outbox.push(frame::STARTUP.clone());
        let deadline = connection.deadline.min(connection.assigned_at + self.timeouts.connect);
        self.set_state(id, ConnectionState::Greeting, deadline, context);
        Ok(true)
    }

    /// Processes the complete messages in the read buffer, up to the first event that the event loop has to handle.
    #[must_use]
    pub fn next_event(
        &mut self,
        id: usize,
        endpoints: &mut EndpointRegistry,
        context: &mut Context,
    ) -> BackendEvent {
        let Some(connection) = self.table.get_mut(id) else { return BackendEvent::Gone };
        loop {
            if context.work.is_share_used() && !connection.inbox.is_empty() {
                return BackendEvent::ShareUsed;
            }
            let taken = match connection.inbox.take(frame::take_message) {
                Ok(None) => return BackendEvent::AllRead,
                Ok(Some(message)) => {
                    context.work.count_message(message.0.len());
                    connection.reply.add(message)
                }
                Err(error) => Err(error),
            };
            let reply = &connection.reply;
            match (taken, connection.expected_reply()) {
                (Ok(false), ExpectedReply::Nothing | ExpectedReply::Synchronization) if reply.is_empty() => {}
                (Ok(false), ExpectedReply::Synchronization) if reply.answers_empty_query() => {}
                (Ok(true), ExpectedReply::Synchronization) if reply.answers_empty_query() => {
                    return BackendEvent::Synchronized(self.on_synchronized(id));
                }
                // No assignment is an empty query.
                (Ok(false), ExpectedReply::Answer) if !reply.answers_empty_query() => {}
                (Ok(true), ExpectedReply::Answer) => {
                    return BackendEvent::Finished(self.on_reply_complete(id, context));
                }
                (Ok(false), ExpectedReply::Greeting) => {}
                (Ok(true), ExpectedReply::Greeting) => return self.on_greeted(id, endpoints, context),
                (Err(error), _) => return self.on_protocol_error(id, &error, endpoints, context),
                _ => {
                    let error = ProtocolError::UnsolicitedAnswer;
                    return self.on_protocol_error(id, &error, endpoints, context);
                }
            }
        }
    }

    /// Ends a transfer whose events are handled: schedules another read if more bytes are left, and closes the connection if it
    /// failed.
    #[must_use]
    pub fn end_transfer(
        &mut self,
        id: usize,
        end: &TransferEnd,
        endpoints: &mut EndpointRegistry,
        context: &mut Context,
    ) -> Option<FinishedAssignment> {
        match end {
            TransferEnd::Drained => None,
            TransferEnd::MoreToRead => {
                context.wake(Source::Backend(id));
                None
            }
            TransferEnd::Broken => Some(self.fail(id, "connection closed or failed", endpoints, context)),
            TransferEnd::ConnectFailed(fault) => Some(self.fail(id, &fault.to_string(), endpoints, context)),
        }
    }

    /// Handles the endpoint's first ReadyForQuery.
    fn on_greeted(
        &mut self,
        id: usize,
        endpoints: &mut EndpointRegistry,
        context: &mut Context,
    ) -> BackendEvent {
        if self.table[id].reply.connection_refusal().is_none() {
            return BackendEvent::Up;
        }
        // An endpoint that follows the protocol sends no ReadyForQuery after an error at startup.
        BackendEvent::Finished(self.fail(id, "the endpoint refused the connection", endpoints, context))
    }

    /// Handles the answer to the empty query ahead of the connection's assignment: the assignment's own answer is next.
    fn on_synchronized(&mut self, id: usize) -> Synchronization {
        let connection = &mut self.table[id];
        connection.is_synchronized = true;
        let reply = mem::take(&mut connection.reply);
        Synchronization {
            assignment: connection.assignment,
            endpoint: connection.endpoint,
            observed: reply.piggybacked,
            load_report: reply.load_report,
        }
    }

    /// Handles the complete answer to the connection's assignment. The connection is kept.
    fn on_reply_complete(&mut self, id: usize, context: &mut Context) -> FinishedAssignment {
        let reply = mem::take(&mut self.table[id].reply);
        let finished = self.take_assignment(id, reply.outcome());
        self.make_idle(id, context);
        FinishedAssignment { reply, ..finished }
    }

    /// Closes a connection on which the endpoint violated the protocol. A sent statement may have run. Its outcome is `Error`,
    /// not that of a failed connection, as the endpoint is reachable and would otherwise lose its known role.
    fn on_protocol_error(
        &mut self,
        id: usize,
        error: &ProtocolError,
        endpoints: &mut EndpointRegistry,
        context: &mut Context,
    ) -> BackendEvent {
        let reason = &error.to_string();
        context.counters.backend_protocol_errors += 1;
        context.counters.backend_answers_unsolicited += u64::from(*error == ProtocolError::UnsolicitedAnswer);
        if self.table[id].state != ConnectionState::Sent {
            return BackendEvent::Closed(self.fail(id, reason, endpoints, context));
        }
        let finished = self.take_assignment(id, AttemptOutcome::Error);
        log_connection_failure(finished.endpoint, ConnectionState::Sent, reason, endpoints, context);
        self.close(id, context);
        BackendEvent::Closed(finished)
    }

    /// Closes a connection that could not be established, failed, was closed by the endpoint, or violated the protocol.
    fn fail(
        &mut self,
        id: usize,
        reason: &str,
        endpoints: &mut EndpointRegistry,
        context: &mut Context,
    ) -> FinishedAssignment {
        let connection = &mut self.table[id];
        let state = connection.state;
        let reply = mem::take(&mut connection.reply);
        match state {
            ConnectionState::Dialing | ConnectionState::Greeting => {
                context.counters.backend_connections_failed += 1;
            }
            ConnectionState::Idle => context.counters.backend_connections_closed_by_endpoint += 1,
            _ => {}
        }
        if state != ConnectionState::Idle {
            log_connection_failure(connection.endpoint, state, reason, endpoints, context);
        }
        let outcome = match state {
            ConnectionState::Greeting => reply.connection_refusal().unwrap_or(AttemptOutcome::ConnectFailed),
            ConnectionState::Sent if reply.is_completed() => AttemptOutcome::Completed,
            state => state.outcome_if_broken(),
        };
        let finished = self.take_assignment(id, outcome);
        self.close(id, context);
        FinishedAssignment { reply, ..finished }
    }

    /// Handles the end of a connection's time limit: that of its idle time, its startup, or its assignment.
    #[must_use]
    pub fn on_timer(
        &mut self,
        id: usize,
        endpoints: &mut EndpointRegistry,
        context: &mut Context,
    ) -> Option<FinishedAssignment> {
        let connection = self.table.get_mut(id)?;
        let timer = connection.timer.take();
        let lateness = timer.map_or(0.0, |timer| context.now() - timer.expires_at());
        match connection.state {
            ConnectionState::Idle => {
                self.close_idle(id, context);
                None
            }
            ConnectionState::Dialing | ConnectionState::Greeting
                if context.now() < connection.deadline
                    || connection.assignment == Some(Assignment::HealthCheck) =>
            {
                if lateness > TIMER_TOLERANCE_SECONDS {
                    self.extend_establishment(id, lateness, context);
                    return None;
                }
                Some(self.fail(id, "connection not established in time", endpoints, context))
            }
            _ => Some(self.abandon(id, AttemptOutcome::TimedOut, context)),
        }
    }

    /// Gives a connection that is being established the time by which this router was late, during which it neither read what the
    /// endpoint sent nor sent its own part. Guards against endpoints that count as failed because the router was stalled.
    fn extend_establishment(&mut self, id: usize, lateness: f64, context: &mut Context) {
        let connection = &mut self.table[id];
        if connection.assignment == Some(Assignment::HealthCheck) {
            connection.deadline += lateness;
        }
        let expires_at = (context.now() + lateness).min(connection.deadline);
        connection.timer = Some(context.timers.set(expires_at, Timer::Backend(id)));
        context.counters.connect_timeouts_extended += 1;
    }

    /// Closes a connection whose idle time is over.
    fn close_idle(&mut self, id: usize, context: &mut Context) {
        context.counters.backend_connections_closed_idle += 1;
        self.table[id].outbox.push(frame::TERMINATE.clone());
        self.flush(id, context);
        self.close(id, context);
    }
}
