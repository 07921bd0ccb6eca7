//! Reading the clients that have become ready, before any of their messages is handled: a statement counts as accepted from its
//! last byte, so ids are held in the order in which the statements arrived, whichever connection the system reports first.

use std::io::{self, ErrorKind};
use std::time::SystemTime;

use crate::client::connection::{ClientConnection, ConnectionPhase};
use crate::client::session::{ClientMessage, take_message};
use crate::client::{ClientEvent, Clients};
use crate::protocol::frame::MAX_MESSAGE_BYTES;
use crate::protocol::read_buffer::ReadOutcome;
use crate::protocol::receive::receive;
use crate::reactor::Context;

/// Maximum number of bytes read from a client at a time: reading takes long if they arrived one by one.
const MAX_BYTES_PER_VISIT: usize = 16 * 1024;

/// Bytes per read of the rest of a rejected message, which is not stored.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// Maximum number of reads of the rest of a rejected message in a row: enough for the longest message.
const MAX_DISCARDS_PER_VISIT: usize = MAX_MESSAGE_BYTES.div_ceil(DISCARD_BUFFER_BYTES);

/// A client that was read.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedClient {
    /// Its number.
    pub id: usize,
    /// When its last byte arrived, by the system's clock; none if nothing was read.
    pub arrived_at: Option<SystemTime>,
}

impl Clients {
    /// Reads these clients. Returns them, each with the time at which its last byte arrived.
    pub fn receive_all(&mut self, ids: &[usize], context: &mut Context) -> Vec<ReceivedClient> {
        let receive = |id: &usize| ReceivedClient { id: *id, arrived_at: self.receive(*id, context) };
        ids.iter().map(receive).collect()
    }

    /// Holds the ids of the statements of these clients in the order in which the statements arrived. Returns the clients in that
    /// order. Their messages are handled by [`on_ready`](Self::on_ready).
    pub fn hold_ids_in_order(
        &mut self,
        mut received: Vec<ReceivedClient>,
        context: &mut Context,
    ) -> Vec<usize> {
        received.sort_by_key(|client| client.arrived_at);
        let in_order: Vec<usize> = received.into_iter().map(|client| client.id).collect();
        in_order.iter().for_each(|id| self.hold_ids(*id, context));
        in_order
    }

    /// Closes a client if it was found to have ended the connection as it was read.
    #[must_use]
    pub fn close_if_received_end(&mut self, id: usize, context: &mut Context) -> Option<ClientEvent> {
        let received = self.table.get(id)?.received.as_ref()?;
        if matches!(received, Ok(ReadOutcome::Ended) | Err(_)) { self.close(id, context) } else { None }
    }

    /// Reads a client unless what was read before still waits to be handled. Returns when the last byte arrived, if any did.
    fn receive(&mut self, id: usize, context: &mut Context) -> Option<SystemTime> {
        let client = self.table.get_mut(id)?;
        if !client.may_receive() {
            return None;
        }
        if let Some(outcome) = &mut client.received {
            // No event reports again what has become ready since then.
            if matches!(outcome, Ok(ReadOutcome::Drained)) {
                *outcome = Ok(ReadOutcome::MoreToRead);
            }
            return None;
        }
        let max_bytes = self.max_input_bytes(id);
        let client = &mut self.table[id];
        client.last_read_at = context.now();
        let arrived_at = client.unread_since.take().unwrap_or(context.clock.earliest_arrival_at());
        let last_arrival = client.receive(max_bytes.min(client.inbox.len() + MAX_BYTES_PER_VISIT));
        client.sync_arrivals(arrived_at);
        self.table.count_stored_bytes(id);
        last_arrival
    }

    /// Reads a client that was not read in this iteration.
    pub(super) fn receive_one(&mut self, id: usize, context: &mut Context) {
        if self.table[id].received.is_none() {
            self.receive(id, context);
        }
    }

    /// Holds the ids of the statements of a client that have become complete. A startup message ahead of them is handled first.
    fn hold_ids(&mut self, id: usize, context: &mut Context) {
        while self.table.get(id).is_some_and(|client| client.phase == ConnectionPhase::AwaitingStartup) {
            let Ok(Some(ClientMessage::Startup(startup, bytes))) = take_message(&mut self.table[id]) else {
                return;
            };
            context.work.count_message(bytes);
            self.on_startup(id, startup, context);
            self.table[id].sync_arrivals(context.clock.earliest_arrival_at());
        }
        if let Some(client) = self.table.get_mut(id) {
            client.scan_pipeline(&self.statement_ids, context.now());
        }
    }
}

impl ClientConnection {
    /// Whether input is read: not once the connection is about to end, nor before the messages are handled that were left to a
    /// later iteration.
    fn may_receive(&self) -> bool {
        !self.is_deferred && !matches!(self.phase, ConnectionPhase::Rejected | ConnectionPhase::Lingering)
    }

    /// Writes pending output, and reads until `max_bytes` bytes are in the inbox or no more are available. Returns when the last
    /// byte arrived, if any did.
    fn receive(&mut self, max_bytes: usize) -> Option<SystemTime> {
        let mut last_arrival = None;
        let flushed = self.outbox.flush(&self.socket);
        let outcome =
            flushed.and_then(|_| self.discard_unread_rest()).and_then(|discarded| match discarded {
                Some(outcome) => Ok(outcome),
                None => self.read_into_inbox(max_bytes, &mut last_arrival),
            });
        self.received = Some(outcome);
        last_arrival
    }

    fn read_into_inbox(
        &mut self,
        max_bytes: usize,
        last_arrival: &mut Option<SystemTime>,
    ) -> io::Result<ReadOutcome> {
        let socket = &self.socket;
        self.inbox.read_by(max_bytes, |buffer| {
            let received = receive(socket, buffer)?;
            if received.bytes > 0 {
                *last_arrival = received.arrived_at.or_else(|| Some(SystemTime::now()));
            }
            Ok(received.bytes)
        })
    }

    /// Reads the rest of a rejected message without storing it, so that a client that has left is found out at once, however
    /// little memory there is. Returns none if nothing of the rest is left to read.
    fn discard_unread_rest(&mut self) -> io::Result<Option<ReadOutcome>> {
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        for _ in 0..MAX_DISCARDS_PER_VISIT {
            let Some(rest) = self.rejected_rest.filter(|_| self.inbox.is_empty()) else { return Ok(None) };
            match receive(&self.socket, &mut buffer[..rest.bytes.min(DISCARD_BUFFER_BYTES)]) {
                Ok(received) if received.bytes == 0 => return Ok(Some(ReadOutcome::Ended)),
                Ok(received) => {
                    self.count_discarded(rest, received.bytes);
                    self.discarded_bytes += received.bytes;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(Some(ReadOutcome::Drained)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(Some(ReadOutcome::MoreToRead))
    }
}
