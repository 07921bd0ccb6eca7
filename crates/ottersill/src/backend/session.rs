//! A backend connection that became ready, or whose timer expired: its startup, the answers read on it, its failures.

use std::io;
use std::mem;

use ottersill_routing::interface::AttemptOutcome;

use crate::backend::connection::{Assignment, ConnectionState};
use crate::backend::pool::log_connection_failure;
use crate::backend::{BackendEvent, Backends, FinishedAssignment, TransferEnd};
use crate::discovery::registry::EndpointRegistry;
use crate::protocol::frame;
use crate::protocol::frame::ProtocolError;
use crate::protocol::socket;
use crate::protocol::socket::ReadOutcome;
use crate::reactor::{Context, Source};

impl Backends {
    /// A connection became ready: goes on with its startup, writes and reads. None if it is not up yet, or gone.
    #[must_use]
    pub fn on_ready(&mut self, id: usize, context: &mut Context) -> Option<TransferEnd> {
        if self.table.get(id)?.state == ConnectionState::Dialing {
            match self.on_dialed(id, context) {
                Ok(true) => {}
                Ok(false) => return None,
                Err(fault) => return Some(TransferEnd::NeverUp(fault)),
            }
        }
        let wrote = self.flush(id, context);
        let connection = &mut self.table[id];
        // An answer that came before the break still counts.
        let read = socket::read(&connection.socket, &mut connection.inbox, frame::MAX_MESSAGE_BYTES);
        Some(match read {
            Ok(ReadOutcome::Drained) if wrote => TransferEnd::Drained,
            Ok(ReadOutcome::MoreLeft) if wrote => TransferEnd::MoreLeft,
            _ => TransferEnd::Broken,
        })
    }

    /// Begins the startup of a connection that is up by now; false if it is not.
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

    /// Takes in what was read whole, until the event loop has to be told of something.
    #[must_use]
    pub fn next_event(
        &mut self,
        id: usize,
        endpoints: &mut EndpointRegistry,
        context: &mut Context,
    ) -> BackendEvent {
        let Some(connection) = self.table.get_mut(id) else { return BackendEvent::Gone };
        loop {
            let taken = match frame::take_message(&mut connection.inbox) {
                Ok(None) => return BackendEvent::AllRead,
                Ok(Some(message)) => connection.reply.add(message),
                Err(error) => Err(error),
            };
            match (taken, connection.state) {
                (Ok(false), ConnectionState::Idle) if connection.reply.is_empty() => {}
                (Ok(false), ConnectionState::Greeting | ConnectionState::Sent) => {}
                (Ok(true), ConnectionState::Greeting) => return self.on_greeted(id, endpoints, context),
                (Ok(true), ConnectionState::Sent) => {
                    return BackendEvent::Finished(self.on_reply_complete(id, context));
                }
                (Err(error), _) => return self.on_protocol_error(id, &error, endpoints, context),
                _ => {
                    let error = ProtocolError::UnsolicitedAnswer;
                    return self.on_protocol_error(id, &error, endpoints, context);
                }
            }
        }
    }

    /// The events of a transfer are handled: the connection is read again later, or is closed if it broke.
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
            TransferEnd::MoreLeft => {
                context.wake(Source::Backend(id));
                None
            }
            TransferEnd::Broken => Some(self.fail(id, "the host ended it", endpoints, context)),
            TransferEnd::NeverUp(fault) => Some(self.fail(id, &fault.to_string(), endpoints, context)),
        }
    }

    /// The endpoint's first ReadyForQuery has come.
    fn on_greeted(
        &mut self,
        id: usize,
        endpoints: &mut EndpointRegistry,
        context: &mut Context,
    ) -> BackendEvent {
        if self.table[id].reply.connection_refusal().is_none() {
            return BackendEvent::Up;
        }
        // ReadyForQuery after an error: nothing that an endpoint of this protocol does.
        BackendEvent::Finished(self.fail(id, "the endpoint refused it", endpoints, context))
    }

    /// What the connection carries has its answer; the connection is kept.
    fn on_reply_complete(&mut self, id: usize, context: &mut Context) -> FinishedAssignment {
        let reply = mem::take(&mut self.table[id].reply);
        let finished = self.take_assignment(id, reply.outcome());
        self.make_idle(id, context);
        FinishedAssignment { reply, ..finished }
    }

    /// The endpoint broke the protocol: its connection is of no further use. What was sent may have run, but the
    /// endpoint is there: taken for a broken connection, this would cost it its role.
    fn on_protocol_error(
        &mut self,
        id: usize,
        error: &ProtocolError,
        endpoints: &mut EndpointRegistry,
        context: &mut Context,
    ) -> BackendEvent {
        let reason = &error.to_string();
        context.counters.backend_protocol_errors += 1;
        if self.table[id].state != ConnectionState::Sent {
            return BackendEvent::Closed(self.fail(id, reason, endpoints, context));
        }
        let finished = self.take_assignment(id, AttemptOutcome::Error);
        log_connection_failure(finished.endpoint, ConnectionState::Sent, reason, endpoints, context);
        self.close(id, context);
        BackendEvent::Closed(finished)
    }

    /// The connection failed, broke, ended or broke the protocol.
    fn fail(
        &mut self,
        id: usize,
        why: &str,
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
            log_connection_failure(connection.endpoint, state, why, endpoints, context);
        }
        let outcome = match state {
            ConnectionState::Greeting => reply.connection_refusal().unwrap_or(AttemptOutcome::ConnectFailed),
            ConnectionState::Sent if reply.is_completed() => AttemptOutcome::Completed,
            state => state.broken(),
        };
        let finished = self.take_assignment(id, outcome);
        self.close(id, context);
        FinishedAssignment { reply, ..finished }
    }

    /// The time of a connection is over: of its idling, its startup, or what it carries.
    #[must_use]
    pub fn on_timer(
        &mut self,
        id: usize,
        endpoints: &mut EndpointRegistry,
        context: &mut Context,
    ) -> Option<FinishedAssignment> {
        let connection = self.table.get_mut(id)?;
        connection.timer = None;
        match connection.state {
            ConnectionState::Idle => {
                self.end_idle(id, context);
                None
            }
            ConnectionState::Dialing | ConnectionState::Greeting
                if context.now() < connection.deadline
                    || connection.assignment == Some(Assignment::HealthCheck) =>
            {
                Some(self.fail(id, "not up in time", endpoints, context))
            }
            _ => Some(self.abandon(id, AttemptOutcome::TimedOut, context)),
        }
    }

    /// Ends a connection that has been idle for its time.
    fn end_idle(&mut self, id: usize, context: &mut Context) {
        context.counters.backend_connections_closed_idle += 1;
        self.table[id].outbox.push(frame::TERMINATE.clone());
        self.flush(id, context);
        self.close(id, context);
    }
}
