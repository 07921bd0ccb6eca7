//! The session of a client connection: handles its input message by message.

use std::mem;

use bytes::Bytes;
use slog::info;

use crate::client::connection::{ClientConnection, ConnectionPhase, RejectedRest};
use crate::client::{ClientEvent, Clients};
use crate::protocol::frame;
use crate::protocol::frame::{Encryption, ErrorCode, ProtocolError, Startup};
use crate::protocol::read_buffer::ReadOutcome;
use crate::protocol::socket;
use crate::reactor::{Context, Source};

/// A complete message of a client.
pub(super) enum ClientMessage {
    /// A startup message, and its length in bytes.
    Startup(Startup, usize),
    Regular(frame::Message),
}

/// Removes the next message from the inbox of a client that has not sent its startup message yet or is between statements.
pub(super) fn take_message(client: &mut ClientConnection) -> Result<Option<ClientMessage>, ProtocolError> {
    if client.phase == ConnectionPhase::AwaitingStartup {
        let inbox_bytes = client.inbox.len();
        let startup = client.inbox.take(frame::take_startup)?;
        let bytes = inbox_bytes - client.inbox.len();
        return Ok(startup.map(|startup| ClientMessage::Startup(startup, bytes)));
    }
    let message = client.inbox.take(frame::take_message)?;
    Ok(message.map(ClientMessage::Regular))
}

impl Clients {
    /// Handles a connection whose turn it is: writes pending output, reads input if that was not done yet, and returns the first
    /// event of it.
    #[must_use]
    pub fn on_ready(&mut self, id: usize, context: &mut Context) -> Option<ClientEvent> {
        match self.table.get(id)?.phase {
            ConnectionPhase::Rejected => {
                self.flush_rejected(id, context);
                None
            }
            ConnectionPhase::Lingering => {
                self.finish_close(id, context);
                None
            }
            _ if self.table[id].is_deferred => self.continue_deferred(id, context),
            _ => {
                self.receive_one(id, context);
                self.handle_received(id, context)
            }
        }
    }

    /// Handles the result of reading a client, and returns the first event of its input.
    fn handle_received(&mut self, id: usize, context: &mut Context) -> Option<ClientEvent> {
        let max_bytes = self.max_input_bytes(id);
        let client = &mut self.table[id];
        let is_busy = matches!(client.phase, ConnectionPhase::Busy(_));
        match client.received.take()? {
            Ok(ReadOutcome::Drained) => client.may_have_unread = false,
            // The end of the connection is detected at once, without waiting until the input ahead of it has been read.
            Ok(ReadOutcome::MoreToRead) if socket::has_ended(&client.socket) => {
                return self.close(id, context);
            }
            Ok(ReadOutcome::MoreToRead) => {
                client.may_have_unread = true;
                client.unread_since.get_or_insert(context.now());
                // The end of the connection may arrive only once the unread input has been read, so reading continues.
                // While memory is short, reading is postponed.
                if is_busy && client.inbox.len() < max_bytes {
                    context.wake(Source::Client(id));
                }
            }
            Ok(ReadOutcome::Ended) | Err(_) => return self.close(id, context),
        }
        self.next_event(id, context)
    }

    /// Handles further messages of a client that had its share of an earlier iteration. Nothing more is read before they are
    /// handled, except the end of the connection.
    fn continue_deferred(&mut self, id: usize, context: &mut Context) -> Option<ClientEvent> {
        let client = &mut self.table[id];
        client.last_read_at = context.now();
        client.may_have_unread = true;
        if client.outbox.flush(&client.socket).is_err() || socket::has_ended(&client.socket) {
            return self.close(id, context);
        }
        self.next_event(id, context)
    }

    /// Leaves the messages in the inbox to a later iteration, as the client had its share of this one.
    fn defer(&mut self, id: usize, context: &mut Context) {
        self.table[id].is_deferred = true;
        context.wake(Source::Client(id));
        context.counters.clients_deferred += 1;
        if let Some(times) = self.deferrals.admit(context.now()) {
            let address = self.table[id].peer_address();
            info!(context.log, "client slowed"; "reason" => "more messages than its share of an iteration",
                "client" => ?address, "times" => times);
        }
    }

    /// Handles the complete messages in the inbox up to the next statement, and returns that. Queries are handled one at a
    /// time: each waits until the answer to the one before is written. Returns none if there is no complete statement, if a
    /// request is in flight, or if the client's share of the iteration is used up: its other messages are left to a later one.
    #[must_use]
    pub fn next_event(&mut self, id: usize, context: &mut Context) -> Option<ClientEvent> {
        loop {
            let client = self.table.get_mut(id)?;
            client.sync_arrivals(context.clock.earliest_arrival_at());
            let discarded = client.discard_rejected_rest() + mem::take(&mut client.discarded_bytes);
            if discarded > 0 {
                context.work.count_discarded(discarded);
                client.sync_arrivals(context.clock.earliest_arrival_at());
            }
            client.scan_pipeline(&self.statement_ids, context.now());
            client.is_deferred = false;
            self.table.count_stored_bytes(id);
            let client = &self.table[id];
            if !client.outbox.is_empty() {
                return None;
            }
            let arrived_at = client.arrivals.time_of(0, context.clock.earliest_arrival_at());
            match client.phase {
                ConnectionPhase::AwaitingStartup | ConnectionPhase::Idle => {}
                ConnectionPhase::Busy(_) | ConnectionPhase::Lingering => return None,
                ConnectionPhase::Terminated | ConnectionPhase::Rejected => {
                    self.begin_close(id, context);
                    return None;
                }
            }
            if context.work.is_share_used() && !client.inbox.is_empty() {
                self.defer(id, context);
                return None;
            }
            match take_message(&mut self.table[id]) {
                Ok(Some(ClientMessage::Startup(startup, bytes))) => {
                    context.work.count_message(bytes);
                    self.on_startup(id, startup, context);
                }
                Ok(Some(ClientMessage::Regular(message))) => {
                    context.work.count_message(message.0.len());
                    let read_ahead_id = self.table[id].pipeline.take(message.0.len());
                    if let Some(text) = self.on_message(id, &message, context) {
                        return Some(ClientEvent::Statement { text, arrived_at, read_ahead_id });
                    }
                }
                // A long statement for which there is no memory is rejected before it is complete.
                Ok(None) if self.lacks_memory_for(id) => match self.pass_over_statement(id, context) {
                    Some(event) => return Some(event),
                    None => self.reject_connection_without_memory(id, context),
                },
                Ok(None) => {
                    self.await_more_input(id, context);
                    return None;
                }
                Err(error) => {
                    let reason = error.to_string();
                    self.reject_protocol_violation(id, ErrorCode::ProtocolViolation, &reason, context);
                }
            }
        }
    }

    /// Passes over a statement for which there is no memory: what has arrived of it is discarded, and so is the rest as it
    /// arrives. Returns none if the message is no statement.
    fn pass_over_statement(&mut self, id: usize, context: &Context) -> Option<ClientEvent> {
        let client = &mut self.table[id];
        if client.phase != ConnectionPhase::Idle || client.inbox.first() != Some(&b'Q') {
            return None;
        }
        let bytes = frame::declared_length(&client.inbox)?;
        let arrived_at = client.arrivals.time_of(0, context.clock.earliest_arrival_at());
        client.rejected_rest = Some(RejectedRest { bytes, arrived_at });
        Some(ClientEvent::MemoryExhausted)
    }

    /// Ends the connection of a client for whose startup, or for whose message that is no statement, there is no memory.
    fn reject_connection_without_memory(&mut self, id: usize, context: &mut Context) {
        context.counters.client_connections_rejected += 1;
        let reason = "no memory is left for this message";
        self.reject_connection(id, ErrorCode::TooMany, reason, context);
    }

    /// Whether memory is too short to read the rest of the client's unfinished message.
    fn lacks_memory_for(&self, id: usize) -> bool {
        self.table[id].inbox.len() >= self.max_input_bytes(id)
    }

    /// Waits for more input once all complete messages are answered: for the rest of an incomplete message, or for a new one.
    /// Closes the connection if the router is draining and no incomplete message is left.
    fn await_more_input(&mut self, id: usize, context: &mut Context) {
        let client = &self.table[id];
        if client.may_have_unread {
            return context.wake(Source::Client(id));
        }
        if client.partial_message_since(context.now()).is_some() {
            let deadline = self.deadline(client, context.now());
            self.set_timer(id, deadline, context);
        } else if self.is_draining {
            self.begin_close(id, context);
        }
    }

    pub(super) fn on_startup(&mut self, id: usize, startup: Startup, context: &mut Context) {
        match startup {
            Startup::Version3 => {
                self.set_phase(id, ConnectionPhase::Idle, context);
                self.send(id, [frame::AUTHENTICATION_OK.clone()], context);
            }
            Startup::Encryption(encryption) => self.refuse_encryption(id, encryption, context),
            // Cancelling is not supported; the protocol specifies that the connection closes without a message.
            Startup::Cancel => self.set_phase(id, ConnectionPhase::Terminated, context),
            Startup::OtherVersion => {
                let reason = "only version 3 is spoken here";
                self.reject_protocol_violation(id, ErrorCode::NotSupported, reason, context);
            }
        }
    }

    /// Refuses encryption, which a client requests once of each kind at most. Guards against clients that request it again and
    /// again.
    fn refuse_encryption(&mut self, id: usize, encryption: Encryption, context: &mut Context) {
        let client = &mut self.table[id];
        if client.refused_encryption.contains(&encryption) {
            context.counters.encryption_requests_repeated += 1;
            let reason = "a repeated request for encryption";
            return self.reject_protocol_violation(id, ErrorCode::ProtocolViolation, reason, context);
        }
        client.refused_encryption.push(encryption);
        self.send(id, [frame::ENCRYPTION_REFUSED.clone()], context);
    }

    /// Handles a message; returns the text of a statement, which is left to the caller.
    fn on_message(&mut self, id: usize, message: &frame::Message, context: &mut Context) -> Option<Bytes> {
        match message.tag() {
            b'Q' => return self.on_query(id, message.query(), context),
            b'X' => self.set_phase(id, ConnectionPhase::Terminated, context),
            _ => {
                let reason = "only simple queries are spoken here";
                self.reject_protocol_violation(id, ErrorCode::NotSupported, reason, context);
            }
        }
        None
    }

    /// Answers an empty query; returns the text of any other.
    fn on_query(&mut self, id: usize, text: Option<Bytes>, context: &mut Context) -> Option<Bytes> {
        let Some(text) = text else {
            let reason = "a query without its end";
            self.reject_protocol_violation(id, ErrorCode::ProtocolViolation, reason, context);
            return None;
        };
        if !text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';') {
            return Some(text);
        }
        context.counters.empty_queries += 1;
        let answer = [frame::EMPTY_QUERY_RESPONSE.clone(), frame::READY_FOR_QUERY.clone()];
        self.send(id, answer, context);
        None
    }

    /// Records that a request of the client is now in flight.
    pub fn begin_request(&mut self, id: usize, request_id: usize, context: &mut Context) {
        self.set_phase(id, ConnectionPhase::Busy(request_id), context);
        self.table[id].has_queried = true;
        // The rest of the input is read ahead, as no event reports it again.
        if self.table[id].may_have_unread {
            context.wake(Source::Client(id));
        }
    }
}
