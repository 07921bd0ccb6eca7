//! The end of a client connection that the router ends, whatever the reason.
//!
//! All answers are written; then the connection is shut for writing, and nothing is read from there on: a request that crosses
//! the shutdown stays unread, so its client may send it again elsewhere. The socket is closed once the client has ended too.
//! Closing over unread bytes resets the connection and discards what the client has not acknowledged of its last answer, so
//! in that case the close waits for the acknowledgement. Both waits are bounded.

use std::net::Shutdown;

use crate::client::connection::ConnectionPhase;
use crate::client::{ClientEvent, Clients};
use crate::protocol::socket;
use crate::reactor::{Context, Source};

/// A connection that is shut is closed after so many seconds, though its client has not ended: a slow one may still be reading
/// its last answer, which a reset would discard, and whatever it sends after the close is answered by one.
pub const LINGER_TIMEOUT: f64 = 3.0;

impl Clients {
    /// Ends a connection on which nothing is in hand and all is written.
    pub(super) fn begin_close(&mut self, id: usize, context: &mut Context) {
        self.set_phase(id, ConnectionPhase::Lingering, context);
        self.set_timer(id, context.now() + LINGER_TIMEOUT, context);
        let client = &mut self.table[id];
        client.discard_input();
        // It fails where the client has reset the connection, which is seen next.
        let _ = client.socket.shutdown(Shutdown::Write);
        self.table.count_stored_bytes(id, 0);
        self.finish_close(id, context);
    }

    /// A client that was rejected is read no more; only its last answer has to go out.
    pub(super) fn flush_rejected(&mut self, id: usize, context: &mut Context) {
        let client = &mut self.table[id];
        match client.outbox.flush(&client.socket) {
            Ok(true) => self.begin_close(id, context),
            Ok(false) if !socket::has_ended(&client.socket) => {}
            _ => self.remove(id, context),
        }
    }

    /// Closes a connection that was shut once its client has ended too.
    pub(super) fn finish_close(&mut self, id: usize, context: &mut Context) {
        let socket = &self.table[id].socket;
        if socket::has_ended(socket) && !socket::close_would_reset(socket) {
            self.remove(id, context);
        }
    }

    /// Looks for the client's end, which may not have had its turn to be read, and closes the connection then.
    #[must_use]
    pub fn close_if_ended(&mut self, id: usize, context: &mut Context) -> Option<ClientEvent> {
        let has_ended = self.table.get(id).is_some_and(|client| socket::has_ended(&client.socket));
        if has_ended { self.close(id, context) } else { None }
    }

    /// Closes a connection; a statement of it that is in hand has lost its client.
    pub(super) fn close(&mut self, id: usize, context: &mut Context) -> Option<ClientEvent> {
        let phase = self.table[id].phase;
        self.remove(id, context);
        let ConnectionPhase::Busy(request_id) = phase else { return None };
        context.counters.statements_abandoned += 1;
        Some(ClientEvent::Left { request_id })
    }

    /// Closes a connection on which nothing is in hand.
    pub(super) fn remove(&mut self, id: usize, context: &mut Context) {
        let client = self.table.remove(id);
        context.timers.clear(client.timer);
        if self.listener.is_retrying() {
            context.wake(Source::Listener);
        }
        context.deregister(client.token);
    }
}
