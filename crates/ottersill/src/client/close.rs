//! The end of a client connection that the router ends, whatever the reason.
//!
//! All answers are written; then the connection is shut for writing, and nothing is read from there on: a request that crosses
//! the shutdown stays unread, so its client may send it again elsewhere. The socket is closed once the client has ended too.
//! Closing over unread bytes resets the connection and discards what the client has not acknowledged of its last answer, so
//! in that case the close waits for the acknowledgement. Both waits are bounded.

use std::net::Shutdown;

use ottersill_routing::facade::RoutingEvent;

use crate::client::connection::ConnectionPhase;
use crate::event_loop::EventLoop;
use crate::in_flight::RequestPhase;
use crate::protocol::socket;
use crate::reactor::Source;

/// A connection that is shut is closed after so many seconds, though its client has not ended: a slow one may still be reading
/// its last answer, which a reset would discard, and whatever it sends after the close is answered by one.
pub const LINGER_TIMEOUT: f64 = 3.0;

impl EventLoop {
    /// Ends a connection on which nothing is in hand and all is written.
    pub(crate) fn begin_close(&mut self, id: usize) {
        self.set_client_phase(id, ConnectionPhase::Lingering);
        self.set_client_timer(id, self.context.now() + LINGER_TIMEOUT);
        let client = &mut self.clients[id];
        client.discard_input();
        // It fails where the client has reset the connection, which is seen next.
        let _ = client.socket.shutdown(Shutdown::Write);
        self.count_stored_bytes(id);
        self.finish_close(id);
    }

    /// A client that was rejected is read no more; only its last answer has to go out.
    pub(crate) fn flush_rejected(&mut self, id: usize) {
        let client = &mut self.clients[id];
        match client.outbox.flush(&client.socket) {
            Ok(true) => self.begin_close(id),
            Ok(false) if !socket::has_ended(&client.socket) => {}
            _ => self.close_client(id),
        }
    }

    /// Closes a connection that was shut once its client has ended too.
    pub(crate) fn finish_close(&mut self, id: usize) {
        let socket = &self.clients[id].socket;
        if socket::has_ended(socket) && !socket::close_would_reset(socket) {
            self.close_client(id);
        }
    }

    /// Closes the connections that idle.
    pub fn close_idle_clients(&mut self) {
        let all: Vec<usize> = self.clients.iter().map(|(id, _)| id).collect();
        // Each gets a last look, as what has come by now counts as taken.
        all.into_iter().for_each(|id| self.on_client_ready(id));
    }

    /// Looks for the client's end, which may not have had its turn to be read.
    pub fn close_client_if_ended(&mut self, id: usize) {
        if self.clients.get(id).is_some_and(|client| socket::has_ended(&client.socket)) {
            self.close_client(id);
        }
    }

    /// Ends the connection; a statement of it that is in hand has lost its client.
    pub(crate) fn close_client(&mut self, id: usize) {
        let client = self.clients.remove(id);
        self.context.timers.clear(client.timer);
        if self.listener.is_retrying() {
            self.context.wake(Source::Listener);
        }
        self.context.deregister(client.token);
        if let ConnectionPhase::Busy(request_id) = client.phase {
            self.context.counters.statements_abandoned += 1;
            let Some(request) = self.requests.get(request_id) else { return };
            let next = match request.phase {
                RequestPhase::Executing(backend) => RequestPhase::Abandoned(backend),
                _ => RequestPhase::Vacant,
            };
            self.requests.transition(request_id, next, &mut self.context.counters);
            self.report(RoutingEvent::ClientGone(request_id));
            if let RequestPhase::Abandoned(backend) = next {
                // Nobody waits for it any more: what is not on its way stays here.
                self.withdraw(backend);
            }
        }
    }
}
