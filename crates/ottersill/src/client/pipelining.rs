//! Pipelined statements: those that a client sends before its statement in flight is answered.

use crate::client::Clients;
use crate::protocol::frame;
use crate::protocol::statement_text::peek_time_left_seconds;
use crate::reactor::Context;

/// Maximum number of pipelined statements whose deadlines are checked before a statement is sent: it bounds the cost of each
/// statement. Statements further behind are checked once those ahead of them are answered.
pub const MAX_CHECKED_PIPELINED: usize = 16;

/// Length of a message's header: its tag and its length field.
const MESSAGE_HEADER_BYTES: usize = 5;

impl Clients {
    /// Returns the deadline of a client's statement, in Unix seconds: the earliest of its own deadline, the answer deadline of a
    /// router that is shutting down, and the deadlines of the statements pipelined behind it.
    pub fn statement_deadline(&mut self, id: usize, own_deadline: f64, context: &Context) -> f64 {
        own_deadline.min(self.answer_deadline).min(self.earliest_pipelined_deadline(id, context))
    }

    /// Returns the earliest deadline of the statements that the client has pipelined, in Unix seconds. Answers are sent in
    /// order, so a statement that waits for a longer one ahead of it would be answered too late.
    fn earliest_pipelined_deadline(&mut self, id: usize, context: &Context) -> f64 {
        let Some(client) = self.table.get_mut(id) else { return f64::INFINITY };
        client.sync_arrivals(context.clock.earliest_arrival_at());
        let (mut offset, mut deadline) = (0, f64::INFINITY);
        for _ in 0..MAX_CHECKED_PIPELINED {
            let Ok(Some(length)) = frame::message_length(&client.inbox[offset..]) else { break };
            let text = &client.inbox[offset + MESSAGE_HEADER_BYTES..offset + length];
            if let Some(time_left_seconds) = peek_time_left_seconds(text) {
                deadline = deadline.min(client.arrival_time(offset, context.now()) + time_left_seconds);
            }
            offset += length;
        }
        deadline
    }
}
