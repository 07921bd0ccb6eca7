//! A backend connection that became ready, or whose timer expired: its startup, the answers read on it, its failures.

use ottersill_routing::interface::AttemptOutcome;

use crate::backend::connection::{Assignment, ConnectionState};
use crate::backend::reply::Reply;
use crate::event_loop::EventLoop;
use crate::protocol::frame;
use crate::protocol::frame::ProtocolError;
use crate::protocol::socket;
use crate::protocol::socket::ReadOutcome;
use crate::reactor::Source;

impl EventLoop {
    /// A connection became ready: goes on with its startup, writes and reads.
    pub fn on_backend_ready(&mut self, id: usize) {
        let Some(connection) = self.backends.get_mut(id) else { return };
        if connection.state == ConnectionState::Dialing {
            match socket::is_connected(&connection.socket) {
                Ok(false) => return,
                Ok(true) => {
                    connection.outbox.push(frame::STARTUP.clone());
                    let deadline = connection.deadline.min(connection.assigned_at + self.timeouts.connect);
                    self.set_backend_state(id, ConnectionState::Greeting, deadline);
                }
                Err(fault) => return self.fail_backend(id, &fault.to_string()),
            }
        }
        let sending = self.backends[id].state == ConnectionState::Sending;
        if sending && !(self.refresh_deadline(id) && self.may_still_send(id)) {
            // Its last byte, by which an attempt counts, would come too late.
            if self.backends.contains(id) {
                self.withdraw(id);
            }
            return;
        }
        let wrote = self.flush_backend(id);
        let connection = &mut self.backends[id];
        // An answer that came before the break still counts.
        let read = socket::read(&connection.socket, &mut connection.inbox, frame::MAX_MESSAGE_BYTES);
        if !self.read_reply(id) {
            return;
        }
        match read {
            Ok(ReadOutcome::Drained) if wrote => {}
            Ok(ReadOutcome::MoreLeft) if wrote => self.wake(Source::Backend(id)),
            _ => self.fail_backend(id, "the host ended it"),
        }
    }

    /// The connection is up: what it was opened for goes out, unless that is over by now.
    fn on_connection_ready(&mut self, id: usize) {
        if self.backends[id].reply.connection_refusal().is_some() {
            // ReadyForQuery after an error: nothing that an endpoint of this protocol does.
            return self.fail_backend(id, "the host said no");
        }
        if !self.may_still_send(id) {
            self.withdraw(id);
            return self.make_idle(id);
        }
        let deadline = self.backends[id].deadline;
        self.set_backend_state(id, ConnectionState::Idle, deadline);
        self.send_assignment(id);
    }

    /// Takes in what is there whole; false if that ended the connection.
    fn read_reply(&mut self, id: usize) -> bool {
        while let Some(connection) = self.backends.get_mut(id) {
            let taken = match frame::take_message(&mut connection.inbox) {
                Ok(None) => return true,
                Ok(Some(message)) => connection.reply.add(message),
                Err(error) => Err(error),
            };
            match (taken, connection.state) {
                (Ok(false), ConnectionState::Idle) if connection.reply.is_empty() => {}
                (Ok(false), ConnectionState::Greeting | ConnectionState::Sent) => {}
                (Ok(true), ConnectionState::Greeting) => self.on_connection_ready(id),
                (Ok(true), ConnectionState::Sent) => self.on_reply_complete(id),
                (Err(error), _) => return self.on_protocol_error(id, error),
                _ => return self.on_protocol_error(id, ProtocolError::UnsolicitedAnswer),
            }
        }
        false
    }

    /// What the connection carries has its answer; the connection is kept.
    fn on_reply_complete(&mut self, id: usize) {
        let connection = &mut self.backends[id];
        let (endpoint, assignment, assigned_at) =
            (connection.endpoint, connection.assignment.take(), connection.assigned_at);
        let reply = std::mem::take(&mut connection.reply);
        self.make_idle(id);
        self.finish_assignment(assignment, endpoint, assigned_at, reply.outcome(), reply);
    }

    /// The endpoint broke the protocol: its connection is of no further use. What was sent may have run, but the
    /// endpoint is there: taken for a broken connection, this would cost it its role.
    fn on_protocol_error(&mut self, id: usize, error: ProtocolError) -> bool {
        let reason = error.to_string();
        self.counters.backend_protocol_errors += 1;
        let connection = &mut self.backends[id];
        if connection.state != ConnectionState::Sent {
            self.fail_backend(id, &reason);
            return false;
        }
        let (endpoint, assignment, assigned_at) =
            (connection.endpoint, connection.assignment.take(), connection.assigned_at);
        self.log_connection_failure(endpoint, ConnectionState::Sent, &reason);
        self.close_backend(id);
        self.finish_assignment(assignment, endpoint, assigned_at, AttemptOutcome::Error, Reply::default());
        false
    }

    /// The connection failed, broke, ended or broke the protocol.
    fn fail_backend(&mut self, id: usize, why: &str) {
        let connection = &mut self.backends[id];
        let (endpoint, assignment, assigned_at, state) =
            (connection.endpoint, connection.assignment.take(), connection.assigned_at, connection.state);
        let reply = std::mem::take(&mut connection.reply);
        match state {
            ConnectionState::Dialing | ConnectionState::Greeting => {
                self.counters.backend_connections_failed += 1;
            }
            ConnectionState::Idle => self.counters.backend_connections_closed_by_endpoint += 1,
            _ => {}
        }
        if state != ConnectionState::Idle {
            self.log_connection_failure(endpoint, state, why);
        }
        let outcome = match state {
            ConnectionState::Greeting => reply.connection_refusal().unwrap_or(AttemptOutcome::ConnectFailed),
            ConnectionState::Sent if reply.is_completed() => AttemptOutcome::Completed,
            state => state.broken(),
        };
        self.close_backend(id);
        self.finish_assignment(assignment, endpoint, assigned_at, outcome, reply);
    }

    /// The time of a connection is over: of its idling, its startup, or what it carries.
    pub fn on_backend_timer(&mut self, id: usize) {
        let Some(connection) = self.backends.get_mut(id) else { return };
        connection.timer = None;
        match connection.state {
            ConnectionState::Idle => {
                self.counters.backend_connections_closed_idle += 1;
                connection.outbox.push(frame::TERMINATE.clone());
                self.flush_backend(id);
                self.close_backend(id);
            }
            ConnectionState::Dialing | ConnectionState::Greeting
                if self.clock.now() < connection.deadline
                    || connection.assignment == Some(Assignment::HealthCheck) =>
            {
                self.fail_backend(id, "not up in time");
            }
            _ => self.abandon_backend(id, AttemptOutcome::TimedOut),
        }
    }
}
