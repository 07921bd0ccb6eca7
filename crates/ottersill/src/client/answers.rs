//! Messages sent to clients: the one final answer of each request, and errors.

use bytes::Bytes;
use slog::info;

use crate::client::Clients;
use crate::client::connection::ConnectionPhase;
use crate::clock::milliseconds;
use crate::protocol::frame;
use crate::protocol::frame::ErrorCode;
use crate::reactor::{Context, Source};

/// Builds a rejection that names the time after which the client may retry, in seconds; 0 names no time.
pub fn rejection(retry_after: f64, text: &str) -> Bytes {
    let retry_after_ms = (retry_after > 0.0).then(|| milliseconds(retry_after));
    frame::error("ERROR", ErrorCode::TooMany, text, retry_after_ms)
}

impl Clients {
    /// Sends the one final answer of the client's request in flight.
    pub fn answer<const N: usize>(&mut self, id: usize, slices: [Bytes; N], context: &mut Context) {
        self.set_phase(id, ConnectionPhase::Idle, context);
        self.send(id, slices, context);
        self.table.count_stored_bytes(id);
        let client = &self.table[id];
        if self.is_draining || client.may_have_unread || !client.inbox.is_empty() {
            context.wake(Source::Client(id));
        }
    }

    /// Writes messages to a client.
    pub fn send<const N: usize>(&mut self, id: usize, slices: [Bytes; N], context: &mut Context) {
        let client = &mut self.table[id];
        slices.into_iter().for_each(|slice| client.outbox.push(slice));
        // A write failure is handled when the connection is next read.
        if client.outbox.flush(&client.socket).is_err() {
            context.wake(Source::Client(id));
        }
    }

    /// Rejects a query that this service does not accept, and keeps the connection open.
    pub fn reject_query(&mut self, id: usize, code: ErrorCode, text: &str, context: &mut Context) {
        context.counters.invalid_queries += 1;
        self.refuse_statement(id, frame::error("ERROR", code, text, None), context);
    }

    /// Rejects a statement because no endpoint list has arrived yet. The statement was never sent, so a retry is safe.
    pub fn reject_without_list(&mut self, id: usize, retry_after: f64, context: &mut Context) {
        context.counters.rejected_without_endpoint_list += 1;
        let error = rejection(retry_after, "rejected: no list of hosts has come yet");
        self.refuse_statement(id, error, context);
    }

    /// Rejects a statement for which there is no memory. The statement was never sent, so a retry is safe.
    pub fn reject_without_memory(&mut self, id: usize, retry_after: f64, context: &mut Context) {
        context.counters.rejected_without_memory += 1;
        let error = rejection(retry_after, "rejected: no memory is left for this statement");
        self.refuse_statement(id, error, context);
    }

    /// Rejects a statement of a client for which there is no room. The connection is closed only with the last statement that
    /// the client has sent, because each statement that was read must be answered.
    pub fn reject_without_descriptor(&mut self, id: usize, context: &mut Context) {
        const REASON: &str = "no descriptor is left for this client";
        let client = &self.table[id];
        if client.inbox.is_empty() && !client.may_have_unread {
            return self.reject_connection(id, ErrorCode::TooMany, REASON, context);
        }
        self.refuse_statement(id, frame::error("ERROR", ErrorCode::TooMany, REASON, None), context);
    }

    /// Answers a statement with an error although it was not passed to the routing module.
    fn refuse_statement(&mut self, id: usize, error: Bytes, context: &mut Context) {
        self.table[id].refused_at = Some(context.now());
        self.send(id, [error, frame::READY_FOR_QUERY.clone()], context);
    }

    /// Rejects a client that has violated the protocol: nothing that it sends from here on can be interpreted.
    pub(super) fn reject_protocol_violation(
        &mut self,
        id: usize,
        code: ErrorCode,
        text: &str,
        context: &mut Context,
    ) {
        context.counters.client_protocol_errors += 1;
        if let Some(clients) = self.rejections.admit(context.now()) {
            let address = self.table[id].peer_address();
            info!(context.log, "client rejected"; "reason" => text, "client" => ?address, "clients" => clients);
        }
        self.reject_connection(id, code, text, context);
    }

    /// Sends a fatal error, after which the connection is closed.
    pub(super) fn reject_connection(
        &mut self,
        id: usize,
        code: ErrorCode,
        text: &str,
        context: &mut Context,
    ) {
        self.set_phase(id, ConnectionPhase::Rejected, context);
        self.table[id].pipeline.abandon();
        self.send(id, [frame::error("FATAL", code, text, None)], context);
    }
}
