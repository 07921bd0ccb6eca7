//! The end of a client connection that the router ends, whatever the reason.
//!
//! All answers are written; then the connection is shut for writing, and nothing is read from there on: a request that crosses
//! the shutdown stays unread, so its client may send it again elsewhere. The socket is closed once the client has ended too.
//! Closing over unread bytes resets the connection and discards what the client has not acknowledged of its last answer, so
//! in that case the close waits for the acknowledgement. Both waits are bounded.

use std::net::Shutdown;

use crate::client::connection::{ClientConnection, ConnectionPhase};
use crate::event_loop::{EventLoop, TIMING_MARGIN};
use crate::protocol::socket;

/// A connection that is shut is closed after so many seconds, though its client has not ended: a slow one may still be reading
/// its last answer, which a reset would discard, and whatever it sends after the close is answered by one.
pub const LINGER_TIMEOUT: f64 = 3.0;
/// Shut connections of which one is chosen to make room for another.
const MAX_LINGERING_CANDIDATES: usize = 8;

impl EventLoop {
    /// Ends a connection on which nothing is in hand and all is written.
    pub(crate) fn begin_close(&mut self, id: usize) {
        self.set_client_phase(id, ConnectionPhase::Lingering);
        self.set_client_timer(id, self.now + LINGER_TIMEOUT);
        let client = &mut self.clients[id];
        client.discard_input();
        // It fails where the client has reset the connection, which is seen next.
        let _ = client.socket.shutdown(Shutdown::Write);
        self.count_stored_bytes(id);
        self.finish_close(id);
    }

    /// A client that was dismissed is heard no more; only its last answer has to go out.
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

    /// Closes a connection that was shut for the sake of another one: of the oldest, one that this does not reset. One that it
    /// resets has had the time of a round trip at least.
    pub fn close_one_lingering(&mut self) -> bool {
        let lingering = self.clients.iter().filter(|(_, client)| client.phase == ConnectionPhase::Lingering);
        let mut oldest: Vec<(usize, &ClientConnection)> = lingering.collect();
        oldest.sort_by(|a, b| a.1.phase_since.total_cmp(&b.1.phase_since));
        oldest.truncate(MAX_LINGERING_CANDIDATES);
        let clean = oldest.iter().find(|(_, client)| !socket::close_would_reset(&client.socket));
        let first = oldest.first().filter(|(_, client)| client.phase_since < self.now - TIMING_MARGIN);
        let chosen = clean.or(first).map(|(id, _)| *id);
        chosen.into_iter().for_each(|id| self.close_client(id));
        chosen.is_some()
    }
}
