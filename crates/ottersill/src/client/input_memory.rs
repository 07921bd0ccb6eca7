//! The memory for the input of clients: how much of it each client may use.

use crate::client::Clients;
use crate::client::connection::{ClientConnection, ConnectionPhase};
use crate::client::pipelining::MAX_CHECKED_PIPELINED;
use crate::protocol::frame;

/// Maximum number of bytes read ahead while a request is in flight and memory is plentiful. Reading ahead detects the end of
/// the connection behind pipelined statements, and finds those whose deadline is earlier than that of the request in flight.
/// Input beyond it is left unread; it counts as accepted, and is never dropped.
const MAX_READ_AHEAD_BYTES: usize = MAX_CHECKED_PIPELINED * frame::MAX_MESSAGE_BYTES;

/// Returns the length of the message that a client between statements is sending, as far as it is known.
fn next_message_bytes(client: &ClientConnection) -> usize {
    match client.phase {
        ConnectionPhase::AwaitingStartup => frame::MAX_STARTUP_BYTES,
        ConnectionPhase::Idle => frame::declared_length(&client.inbox).unwrap_or_default(),
        _ => 0,
    }
}

impl Clients {
    /// Returns how many bytes the input of a client may hold. A message of typical length always fits, and so does what the
    /// buffer has room for already. A longer message fits if the memory that is left holds all of it, and more is read ahead
    /// from half of the memory. Anything else stays unread.
    pub(super) fn max_input_bytes(&self, id: usize) -> usize {
        let client = &self.table[id];
        let used = self.table.stored_statement_bytes();
        let left = self.limits.statement_bytes.saturating_sub(used);
        let left_to_read_ahead = (self.limits.statement_bytes / 2).saturating_sub(used);
        let most_read_ahead = match client.phase {
            ConnectionPhase::Busy(_) => MAX_READ_AHEAD_BYTES,
            _ => frame::MAX_MESSAGE_BYTES,
        };
        let next_message = Some(next_message_bytes(client)).filter(|length| *length <= left);
        frame::TYPICAL_MESSAGE_BYTES
            .max(client.inbox.capacity())
            .max(left_to_read_ahead.min(most_read_ahead))
            .max(next_message.unwrap_or_default())
    }
}
