//! A backend connection that became ready, or whose timer expired: its startup, the answers read on it, its failures.

use ottersill_routing::interface::AttemptOutcome;

use crate::backend::connection::{Assignment, ConnectionState};
use crate::backend::reply::Reply;
use crate::event_loop::EventLoop;
use crate::protocol::frame;
use crate::protocol::socket;
use crate::protocol::socket::ReadOutcome;
use crate::reactor::Source;

impl EventLoop {
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

    /// The load has its answer; the line is kept.
    fn on_reply_complete(&mut self, id: usize) {
        let line = &mut self.backends[id];
        let (host, load, since) = (line.endpoint, line.assignment.take(), line.assigned_at);
        let reply = std::mem::take(&mut line.reply);
        self.make_idle(id);
        self.finish_assignment(load, host, since, reply.outcome(), reply);
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
}
