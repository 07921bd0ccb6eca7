//! What is sent to clients: the one final answer of each request, and errors.

use bytes::Bytes;
use slog::info;

use crate::client::connection::ConnectionPhase;
use crate::event_loop::EventLoop;
use crate::in_flight::RequestPhase;
use crate::protocol::frame;
use crate::protocol::frame::ErrorCode;
use crate::reactor::Source;

impl EventLoop {
    /// Answers a request with the result of an endpoint.
    pub fn complete(&mut self, request_id: usize, [description, row, complete]: [Bytes; 3]) {
        self.context.counters.completed += 1;
        self.answer(request_id, [description, row, complete, frame::READY_FOR_QUERY.clone()]);
    }

    /// Answers a request by a rejection, with when to come again, in seconds; 0 for no such time.
    pub fn reject(&mut self, request_id: usize, retry_after: f64) {
        self.context.counters.rejected += 1;
        let error = self.rejection(retry_after, "rejected: nothing ran");
        self.answer(request_id, [error, frame::READY_FOR_QUERY.clone()]);
    }

    /// Answers a request by an abort.
    pub fn abort(&mut self, request_id: usize) {
        self.context.counters.aborted += 1;
        let error = frame::error("ERROR", ErrorCode::CompletionUnknown, "aborted: it may have run", None);
        self.answer(request_id, [error, frame::READY_FOR_QUERY.clone()]);
    }

    /// The one final answer of a request that is not abandoned.
    fn answer<const N: usize>(&mut self, request_id: usize, slices: [Bytes; N]) {
        let Some(request) = self.requests.get(request_id) else { return };
        let client = request.client;
        self.requests.transition(request_id, RequestPhase::Vacant, &mut self.context.counters);
        self.set_client_phase(client, ConnectionPhase::Idle);
        self.send_to_client(client, slices);
        self.count_stored_bytes(client);
        let client_at = &self.clients[client];
        if self.is_draining || client_at.may_have_unread || !client_at.inbox.is_empty() {
            self.context.wake(Source::Client(client));
        }
    }

    pub(crate) fn rejection(&self, retry_after: f64, text: &str) -> Bytes {
        let come_again = (retry_after > 0.0).then_some((retry_after * 1000.0).ceil() as u64);
        frame::error("ERROR", ErrorCode::TooMany, text, come_again)
    }

    pub(crate) fn send_to_client<const N: usize>(&mut self, id: usize, slices: [Bytes; N]) {
        let client = &mut self.clients[id];
        slices.into_iter().for_each(|slice| client.outbox.push(slice));
        // A failure shows when the connection is read next.
        if client.outbox.flush(&client.socket).is_err() {
            self.context.wake(Source::Client(id));
        }
    }

    /// The connection is in order, the query is none of this service's.
    pub(crate) fn reject_query(&mut self, id: usize, code: ErrorCode, text: &str) {
        self.context.counters.invalid_queries += 1;
        self.send_to_client(id, [frame::error("ERROR", code, text, None), frame::READY_FOR_QUERY.clone()]);
    }

    /// Rejects a statement of a client for which there is no room. The connection ends with the last one that it has sent, as each
    /// that was read is owed an answer.
    pub(crate) fn reject_without_descriptor(&mut self, id: usize) {
        const WHY: &str = "no descriptor is left for this client";
        let client = &self.clients[id];
        if client.inbox.is_empty() && !client.may_have_unread {
            self.reject_connection(id, ErrorCode::TooMany, WHY);
        } else {
            self.send_to_client(
                id,
                [frame::error("ERROR", ErrorCode::TooMany, WHY, None), frame::READY_FOR_QUERY.clone()],
            );
        }
    }

    /// What this client sends can't be trusted any more.
    pub(crate) fn reject_protocol_violation(&mut self, id: usize, code: ErrorCode, text: &str) {
        self.context.counters.client_protocol_errors += 1;
        info!(self.context.log, "client rejected"; "reason" => text);
        self.reject_connection(id, code, text);
    }

    pub(crate) fn reject_connection(&mut self, id: usize, code: ErrorCode, text: &str) {
        self.set_client_phase(id, ConnectionPhase::Rejected);
        self.send_to_client(id, [frame::error("FATAL", code, text, None)]);
    }
}
