//! Lingering close: how the router ends a client connection, whatever the reason.
//!
//! Once all answers are written, the connection is shut down for writing and nothing more is read from it: a request that
//! crosses the shutdown stays unread, so its client may safely send it again elsewhere. The socket is closed once the client
//! has ended its side too. Closing a socket with unread input resets the connection and discards what the client has not yet
//! acknowledged of its last answer, so in that case the close waits for the acknowledgement. Both waits are bounded.

use std::net::Shutdown;

use crate::client::connection::ConnectionPhase;
use crate::client::{ClientEvent, Clients};
use crate::protocol::socket;
use crate::reactor::{Context, Source};

/// How long after the shutdown a connection is closed although its client has not ended its side. A slow client may still be
/// reading its last answer, which a reset would discard, and anything that it sends after the close is answered by a reset.
pub const LINGER_TIMEOUT_SECONDS: f64 = 3.0;

impl Clients {
    /// Begins to close a connection that has no request in flight and whose answers are all written.
    pub(super) fn begin_close(&mut self, id: usize, context: &mut Context) {
        self.set_phase(id, ConnectionPhase::Lingering, context);
        self.set_timer(id, context.now() + LINGER_TIMEOUT_SECONDS, context);
        let client = &mut self.table[id];
        client.discard_input();
        // Fails if the client has reset the connection, which is detected below.
        let _ = client.socket.shutdown(Shutdown::Write);
        self.table.count_stored_bytes(id);
        self.finish_close(id, context);
    }

    /// Writes what is left of the last answer to a rejected client, from which nothing more is read, then begins to close its
    /// connection.
    pub(super) fn flush_rejected(&mut self, id: usize, context: &mut Context) {
        let client = &mut self.table[id];
        match client.outbox.flush(&client.socket) {
            Ok(true) => self.begin_close(id, context),
            Ok(false) if !socket::has_ended(&client.socket) => {}
            _ => self.remove(id, context),
        }
    }

    /// Closes a connection that is shut down if its client has ended its side and the close causes no reset.
    pub(super) fn finish_close(&mut self, id: usize, context: &mut Context) {
        let socket = &self.table[id].socket;
        if socket::has_ended(socket) && !socket::close_would_reset(socket) {
            self.remove(id, context);
        }
    }

    /// Closes the connection if the client has ended its side, even if it has not been read since.
    #[must_use]
    pub fn close_if_ended(&mut self, id: usize, context: &mut Context) -> Option<ClientEvent> {
        let has_ended = self.table.get(id).is_some_and(|client| socket::has_ended(&client.socket));
        if has_ended { self.close(id, context) } else { None }
    }

    /// Closes a connection at once; a request in flight on it is abandoned.
    pub(super) fn close(&mut self, id: usize, context: &mut Context) -> Option<ClientEvent> {
        let phase = self.table[id].phase;
        self.remove(id, context);
        let ConnectionPhase::Busy(request_id) = phase else { return None };
        context.counters.statements_abandoned += 1;
        Some(ClientEvent::Disconnected { request_id })
    }

    /// Removes a connection from the table and closes its socket. If accepting is being retried, it is retried at once, as a
    /// descriptor is free now.
    pub(super) fn remove(&mut self, id: usize, context: &mut Context) {
        let client = self.table.remove(id);
        context.timers.clear(client.timer);
        if self.listener.is_retrying() {
            context.wake(Source::Listener);
        }
        context.deregister(client.token);
    }
}
