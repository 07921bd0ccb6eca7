//! What is sent to clients: the one final answer of each request, and errors.

use bytes::Bytes;
use slog::info;

use crate::client::Clients;
use crate::client::connection::ConnectionPhase;
use crate::clock::milliseconds;
use crate::protocol::frame;
use crate::protocol::frame::ErrorCode;
use crate::reactor::{Context, Source};

/// A rejection, with when to come again, in seconds; 0 for no such time.
pub fn rejection(retry_after: f64, text: &str) -> Bytes {
    let come_again = (retry_after > 0.0).then(|| milliseconds(retry_after));
    frame::error("ERROR", ErrorCode::TooMany, text, come_again)
}

impl Clients {
    /// Sends the one final answer of the request that is in flight for that client.
    pub fn answer<const N: usize>(&mut self, id: usize, slices: [Bytes; N], context: &mut Context) {
        self.set_phase(id, ConnectionPhase::Idle, context);
        self.send(id, slices, context);
        self.table.count_stored_bytes(id, 0);
        let client = &self.table[id];
        if self.is_draining || client.may_have_unread || !client.inbox.is_empty() {
            context.wake(Source::Client(id));
        }
    }

    /// Writes messages to a client.
    pub fn send<const N: usize>(&mut self, id: usize, slices: [Bytes; N], context: &mut Context) {
        let client = &mut self.table[id];
        slices.into_iter().for_each(|slice| client.outbox.push(slice));
        // A failure shows when the connection is read next.
        if client.outbox.flush(&client.socket).is_err() {
            context.wake(Source::Client(id));
        }
    }

    /// The connection is in order, the query is none of this service's.
    pub fn reject_query(&mut self, id: usize, code: ErrorCode, text: &str, context: &mut Context) {
        context.counters.invalid_queries += 1;
        let error = frame::error("ERROR", code, text, None);
        self.send(id, [error, frame::READY_FOR_QUERY.clone()], context);
    }

    /// Rejects a statement as no endpoint list has come yet. It was never sent, so coming again is harmless.
    pub fn reject_without_list(&mut self, id: usize, retry_after: f64, context: &mut Context) {
        context.counters.rejected_without_endpoint_list += 1;
        let error = rejection(retry_after, "rejected: no list of hosts has come yet");
        self.send(id, [error, frame::READY_FOR_QUERY.clone()], context);
    }

    /// Rejects a statement of a client for which there is no room. The connection ends with the last one that it has sent, as each
    /// that was read is owed an answer.
    pub fn reject_without_descriptor(&mut self, id: usize, context: &mut Context) {
        const WHY: &str = "no descriptor is left for this client";
        let client = &self.table[id];
        if client.inbox.is_empty() && !client.may_have_unread {
            return self.reject_connection(id, ErrorCode::TooMany, WHY, context);
        }
        let error = frame::error("ERROR", ErrorCode::TooMany, WHY, None);
        self.send(id, [error, frame::READY_FOR_QUERY.clone()], context);
    }

    /// What this client sends can't be trusted any more.
    pub(super) fn reject_protocol_violation(
        &mut self,
        id: usize,
        code: ErrorCode,
        text: &str,
        context: &mut Context,
    ) {
        context.counters.client_protocol_errors += 1;
        info!(context.log, "client rejected"; "reason" => text);
        self.reject_connection(id, code, text, context);
    }

    pub(super) fn reject_connection(
        &mut self,
        id: usize,
        code: ErrorCode,
        text: &str,
        context: &mut Context,
    ) {
        self.set_phase(id, ConnectionPhase::Rejected, context);
        self.send(id, [frame::error("FATAL", code, text, None)], context);
    }
}
