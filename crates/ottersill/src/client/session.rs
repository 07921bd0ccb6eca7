//! The session of a client connection: reading it, its phases, its time limits.

use crate::client::connection::{ClientConnection, ConnectionPhase};
use crate::client::queries::MAX_PIPELINED;
use crate::event_loop::{EventLoop, TIMING_MARGIN};
use crate::protocol::frame;
use crate::protocol::frame::{ErrorCode, Startup};
use crate::protocol::socket;
use crate::protocol::socket::ReadOutcome;
use crate::reactor::Source;
use crate::timers::Timer;

/// A connection with no statement open may be closed after so many seconds, as the service page has it.
const IDLE_TIMEOUT: f64 = 2.0;

/// Who has sent nothing that can be answered gets an error or a close this long after connecting, who stops in the middle of a
/// message this long after its first byte; seconds. The service page owes it within 3 s: the rest is for a router that is request
/// up twice, before it reads that byte and before it answers.
pub const INCOMPLETE_INPUT_TIMEOUT: f64 = 2.6;

/// Who has sent a part of a message behind a statement that took long has this much after its answer; seconds.
const REMAINDER_TIMEOUT: f64 = 0.25;

/// Read ahead of the answer to the statement in hand while memory is plenty, so that the client's end is seen behind it, and
/// those are seen that have to be answered before that one has had its time. What is beyond waits at the client: it counts
/// as taken, and is never dropped.
const MAX_READ_AHEAD_BYTES: usize = MAX_PIPELINED * frame::MAX_MESSAGE_BYTES;

impl EventLoop {
    /// A connection became ready: writes what is left to write, and reads.
    pub fn on_client_ready(&mut self, id: usize) {
        let memory_is_plentiful = self.clients.stored_statement_bytes() < self.limits.statement_bytes / 2;
        let Some(client) = self.clients.get_mut(id) else { return };
        match client.phase {
            ConnectionPhase::Rejected => return self.flush_rejected(id),
            ConnectionPhase::Lingering => return self.finish_close(id),
            _ => {}
        }
        client.last_read_at = self.clock.now();
        let busy = matches!(client.phase, ConnectionPhase::Busy(_));
        // One message ahead of the one in hand at least.
        let most = if busy && memory_is_plentiful { MAX_READ_AHEAD_BYTES } else { frame::MAX_MESSAGE_BYTES };
        let read = client
            .outbox
            .flush(&client.socket)
            .and_then(|_| socket::read(&client.socket, &mut client.inbox, most));
        match read {
            Ok(ReadOutcome::Drained) => client.may_have_unread = false,
            // Its end lies behind what it has sent ahead, and must not wait for that to be read.
            Ok(ReadOutcome::MoreLeft) if socket::has_ended(&client.socket) => return self.close_client(id),
            Ok(ReadOutcome::MoreLeft) => {
                client.may_have_unread = true;
                // Its end may be on its way still, held up by what is not read. Where memory is short it has to wait.
                if busy && client.inbox.len() < most {
                    self.wake(Source::Client(id));
                }
            }
            Ok(ReadOutcome::Ended) | Err(_) => return self.close_client(id),
        }
        self.read_queries(id);
    }

    /// Guards against clients that connect and say nothing, stop halfway, or ask once and stay: each would hold a
    /// descriptor, and the usual clients find no room.
    pub fn on_client_timer(&mut self, id: usize) {
        self.clients[id].timer = None;
        if self.clients[id].phase == ConnectionPhase::Lingering {
            return self.close_client(id);
        }
        // A last look: what has come meanwhile is taken in instead.
        self.on_client_ready(id);
        let Some(client) = self.clients.get(id) else { return };
        if client.phase == ConnectionPhase::Lingering {
            return;
        }
        if client.may_have_unread && client.outbox.is_empty() {
            return self.set_client_timer(id, self.clock.now() + TIMING_MARGIN);
        }
        let due_at = self.client_deadline(client);
        if due_at > self.clock.now() {
            if due_at.is_finite() {
                self.set_client_timer(id, due_at);
            }
            return;
        }
        self.counters.client_connections_closed_idle += 1;
        let halfway = matches!(client.phase, ConnectionPhase::AwaitingStartup | ConnectionPhase::Idle)
            && !client.inbox.is_empty();
        if halfway && client.outbox.is_empty() {
            self.reject_protocol_violation(
                id,
                ErrorCode::ProtocolViolation,
                "a message that does not come whole",
            );
            self.read_queries(id);
        } else if matches!(client.phase, ConnectionPhase::AwaitingStartup | ConnectionPhase::Idle)
            && client.outbox.is_empty()
        {
            self.begin_close(id);
        } else {
            self.close_client(id);
        }
    }

    /// Takes in what is there whole, one query at a time: each waits for the answer before it to go out.
    pub(crate) fn read_queries(&mut self, id: usize) {
        loop {
            self.count_stored_bytes(id);
            let Some(client) = self.clients.get_mut(id) else { return };
            client.match_arrivals(self.clock.arrivals_since());
            if !client.outbox.is_empty() {
                return;
            }
            let arrived_at = client.arrived(0, self.clock.arrivals_since());
            let step = match client.phase {
                ConnectionPhase::Busy(_) => return,
                ConnectionPhase::Terminated | ConnectionPhase::Rejected => return self.begin_close(id),
                ConnectionPhase::Lingering => return,
                ConnectionPhase::AwaitingStartup => {
                    frame::take_startup(&mut client.inbox).map(|s| s.map(|s| self.on_startup(id, s)))
                }
                ConnectionPhase::Idle => frame::take_message(&mut client.inbox)
                    .map(|m| m.map(|m| self.on_query(id, &m, arrived_at))),
            };
            match step {
                Ok(Some(())) => {}
                // A long statement that there is no room for is rejected before it is whole.
                Ok(None)
                    if self.clients.stored_statement_bytes() > self.limits.statement_bytes
                        && self.clients[id].inbox.len() > frame::TYPICAL_MESSAGE_BYTES =>
                {
                    self.counters.client_connections_rejected += 1;
                    self.reject_connection(id, ErrorCode::TooMany, "no memory is left for this statement");
                }
                Ok(None) => return self.await_more_input(id),
                Err(error) => {
                    self.reject_protocol_violation(id, ErrorCode::ProtocolViolation, &error.to_string());
                }
            }
        }
    }

    /// All that came whole is answered by now; a part of a message may be left, whose rest is waited for.
    fn await_more_input(&mut self, id: usize) {
        let client = &self.clients[id];
        if client.may_have_unread {
            return self.wake(Source::Client(id));
        }
        if !client.inbox.is_empty() {
            let due_at = self.client_deadline(client);
            self.set_client_timer(id, due_at);
        } else if self.is_draining {
            self.begin_close(id);
        }
    }

    fn on_startup(&mut self, id: usize, startup: Startup) {
        match startup {
            Startup::Version3 => {
                self.set_client_phase(id, ConnectionPhase::Idle);
                self.send_to_client(id, [frame::AUTHENTICATION_OK.clone()]);
            }
            Startup::Encryption => self.send_to_client(id, [frame::ENCRYPTION_REFUSED.clone()]),
            // Cancelling is not offered; the protocol has this end without a message.
            Startup::Cancel => self.set_client_phase(id, ConnectionPhase::Terminated),
            Startup::OtherVersion => {
                self.reject_protocol_violation(id, ErrorCode::NotSupported, "only version 3 is spoken here");
            }
        }
    }

    fn on_query(&mut self, id: usize, message: &frame::Message, arrived_at: f64) {
        match message.tag() {
            b'Q' => match message.query() {
                Some(text) if text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';') => {
                    self.counters.empty_queries += 1;
                    self.send_to_client(
                        id,
                        [frame::EMPTY_QUERY_RESPONSE.clone(), frame::READY_FOR_QUERY.clone()],
                    );
                }
                Some(text) => self.on_statement(id, &text, arrived_at),
                None => self.reject_protocol_violation(
                    id,
                    ErrorCode::ProtocolViolation,
                    "a query without its end",
                ),
            },
            b'X' => self.set_client_phase(id, ConnectionPhase::Terminated),
            _ => self.reject_protocol_violation(
                id,
                ErrorCode::NotSupported,
                "only simple queries are spoken here",
            ),
        }
    }

    /// Every change of a client connection's phase.
    pub(crate) fn set_client_phase(&mut self, id: usize, next: ConnectionPhase) {
        let client = &mut self.clients[id];
        self.counters.check_invariant(
            client.phase.may_become(next),
            "a client connection changes its phase as allowed",
        );
        client.phase = next;
        client.phase_since = self.clock.now();
        if !matches!(next, ConnectionPhase::Busy(_)) && client.timer.is_none() {
            client.timer = Some(self.timers.set(self.clock.now() + IDLE_TIMEOUT, Timer::Client(id)));
        }
    }

    /// When the time of this client connection is over; never while a request is in flight.
    pub(crate) fn client_deadline(&self, client: &ClientConnection) -> f64 {
        let halfway = !client.inbox.is_empty();
        match client.phase {
            ConnectionPhase::Busy(_) => f64::INFINITY,
            // Nothing that was sent ahead is cut off, and an answer that nobody reads is no reason to stay. Who has sent a part of
            // a message gets its error before a router that stops may be killed.
            ConnectionPhase::AwaitingStartup | ConnectionPhase::Idle if !client.has_queried && halfway => {
                (client.connected_at + INCOMPLETE_INPUT_TIMEOUT).min(self.answers_by)
            }
            ConnectionPhase::AwaitingStartup | ConnectionPhase::Idle if !client.has_queried => {
                client.connected_at + INCOMPLETE_INPUT_TIMEOUT
            }
            ConnectionPhase::Idle if halfway => {
                let due_at = client.arrived(0, self.clock.now()) + INCOMPLETE_INPUT_TIMEOUT;
                due_at.max(client.phase_since + REMAINDER_TIMEOUT).min(self.answers_by)
            }
            ConnectionPhase::Idle if !client.outbox.is_empty() => {
                client.phase_since + INCOMPLETE_INPUT_TIMEOUT
            }
            _ => client.phase_since + IDLE_TIMEOUT,
        }
    }

    /// Has the client looked at then, and not before.
    pub(crate) fn set_client_timer(&mut self, id: usize, at: f64) {
        let timer = self.timers.set(at, Timer::Client(id));
        let before = self.clients[id].timer.replace(timer);
        self.timers.clear(before.filter(|before| *before != timer));
    }

    /// Counts what is stored for a client: what was read ahead, and its request in flight.
    pub(crate) fn count_stored_bytes(&mut self, id: usize) {
        let Some(client) = self.clients.get(id) else { return };
        let request_bytes = match client.phase {
            ConnectionPhase::Busy(request_id) => {
                self.requests.get(request_id).map_or(0, |request| request.text.len())
            }
            _ => 0,
        };
        self.clients.count_stored_bytes(id, request_bytes);
    }
}
